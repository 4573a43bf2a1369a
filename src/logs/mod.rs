//! Structured logs on standard error: one event per change of state, never one per request.
//!
//! A thread of the logging library writes them. Lines that exceed its queue are dropped, so that a blocked standard
//! error never blocks the event loop. Bursts of events from one call site are rate-limited, and the dropped ones
//! counted.

mod ration;

use clap::ValueEnum;
use ration::RateLimiter;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;
use tracing::level_filters::LevelFilter;
use tracing::{Event, Metadata, Subscriber};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::{EnvFilter, Layer, fmt};

/// The maximum number of lines queued for standard error; further ones are dropped.
const MAX_QUEUED_LINES: usize = 1_024;

/// The number of events dropped by the rate limit in this process.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of events dropped by the rate limit so far.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// The format of log events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// One line of readable text per event
    Text,
    /// One JSON object per line
    Json,
}

/// A filter that limits the rate of events per call site.
struct RateLimitFilter {
    started_at: Instant,
    limiter: Mutex<RateLimiter>,
}

impl<S: Subscriber> Filter<S> for RateLimitFilter {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        let meta = event.metadata();
        let call_site = (meta.file().unwrap_or_default(), meta.line().unwrap_or_default());
        let now = self.started_at.elapsed().as_micros() as u64;
        let Ok(mut limiter) = self.limiter.lock() else { return false };
        let allowed = limiter.allow(now, call_site);
        DROPPED.fetch_add(limiter.take_dropped(call_site), Ordering::Relaxed);
        allowed
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        None
    }
}

/// The log filter of the command line can't be parsed.
#[derive(Debug, thiserror::Error)]
#[error(
    "--log-level, {0}: give a level, or a comma-separated list of TARGET=LEVEL, such as info,ochreward::peers=debug"
)]
pub struct FilterError(#[from] tracing_subscriber::filter::ParseError);

/// Starts logging. The returned guard flushes the queued lines when it is dropped.
pub fn start(format: Format, filter: &str) -> Result<WorkerGuard, FilterError> {
    let filter = EnvFilter::try_new(filter)?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .finish(std::io::stderr());
    let rate_limit = RateLimitFilter { started_at: Instant::now(), limiter: Mutex::default() };
    let layer = fmt::layer().with_writer(writer).with_ansi(false);
    let layer = match format {
        Format::Text => layer.with_target(false).boxed(),
        Format::Json => layer.json().flatten_event(true).boxed(),
    };
    let subscriber = tracing_subscriber::registry().with(filter).with(layer.with_filter(rate_limit));
    // A second call in one process, as in tests, keeps the first subscriber.
    let _ = tracing::subscriber::set_global_default(subscriber);
    Ok(guard)
}
