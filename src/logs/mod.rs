//! Structured logs on standard error: one event for each change of state, never one for each request.
//!
//! A thread of the library's writes them, and what it can't keep up with is dropped, so that a standard error that
//! nobody reads never stops the loop. A storm of one kind is rationed and counted by [`Ration`].

mod ration;

use clap::ValueEnum;
use ration::Ration;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;
use tracing::level_filters::LevelFilter;
use tracing::{Event, Metadata, Subscriber};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::{EnvFilter, Layer, fmt};

/// Lines that may wait for standard error; later ones are dropped.
const MOST_WAITING: usize = 1_024;

/// Events that the ration kept back in this process.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Events that the ration kept back so far.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// How events are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// A line for people
    Text,
    /// A JSON object a line
    Json,
}

/// Rations the events of each place in the source.
struct Rationed {
    began: Instant,
    ration: Mutex<Ration>,
}

impl<S: Subscriber> Filter<S> for Rationed {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        let meta = event.metadata();
        let place = (meta.file().unwrap_or_default(), meta.line().unwrap_or_default());
        let now = self.began.elapsed().as_micros() as u64;
        let Ok(mut ration) = self.ration.lock() else { return false };
        let taken = ration.take(now, place);
        DROPPED.fetch_add(ration.dropped(place), Ordering::Relaxed);
        taken
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        None
    }
}

/// Logs can't be written as they were asked for.
#[derive(Debug, thiserror::Error)]
#[error(
    "--log-level, {0}: name a level, or TARGET=LEVEL and more of them after commas, such as info,ochreward::peers=debug"
)]
pub struct FilterError(#[from] tracing_subscriber::filter::ParseError);

/// Starts writing; what is returned writes the rest out when it goes.
pub fn start(format: Format, filter: &str) -> Result<WorkerGuard, FilterError> {
    let filter = EnvFilter::try_new(filter)?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MOST_WAITING)
        .finish(std::io::stderr());
    let rationed = Rationed { began: Instant::now(), ration: Mutex::default() };
    let layer = fmt::layer().with_writer(writer).with_ansi(false);
    let layer = match format {
        Format::Text => layer.with_target(false).boxed(),
        Format::Json => layer.json().flatten_event(true).boxed(),
    };
    let layered = tracing_subscriber::registry().with(filter).with(layer.with_filter(rationed));
    // A second start in one process, as tests may do, keeps the first.
    let _ = tracing::subscriber::set_global_default(layered);
    Ok(guard)
}
