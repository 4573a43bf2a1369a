//! What bounds the parts, derived from the configuration.

use super::jobs::MARGIN;
use crate::config::{Config, Settings};
use crate::control::USUAL_FUNCTION_BYTES;
use crate::core::Bounds;
use crate::executor;
use crate::front::thrift;

/// Descriptors kept for all that is no connection.
const RESERVED: usize = 32;

/// The descriptors that the process may hold: the configuration's, or the system's where that allows fewer. Danger: of
/// those that are not there, none can be kept back for executors and the name service.
fn descriptors(config: &Config) -> usize {
    let told = config.parts.resources.sockets;
    let given = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    given.and_then(|g| usize::try_from(g).ok()).map_or(told, |g| g.min(told))
}

/// Bytes that functions may take in the module: what the operator says, or three eighths of the limit on memory; bodies,
/// answers that are half read and answers that are not taken have the rest. Two processes have half of it each.
pub(super) fn function_bytes(config: &Config, told: Option<usize>, shared: bool) -> usize {
    let memory = config.parts.resources.memory;
    told.unwrap_or((memory / 8 * 3).min(USUAL_FUNCTION_BYTES)) / if shared { 2 } else { 1 }
}

/// What bounds the parts, derived from the configuration; two processes have half of it each. The last is the number
/// of operators that may call at a time.
pub(super) fn limits(
    config: &Config,
    settings: &Settings,
    shared: bool,
    stations: usize,
) -> (Bounds, executor::Limits, thrift::Limits, usize) {
    let part = if shared { 2 } else { 1 };
    let descriptors = descriptors(config);
    let (memory, sockets) = (config.parts.resources.memory / part, descriptors / part);
    // Danger: usual clients hold a third at most, but those that ask once and stay, or say nothing, come on top;
    // with no room beyond the third, connections wait in the queue of the system while their time runs. So
    // executors are kept a quarter, many times what they need, and clients may have the rest.
    let executors = (sockets / 4).max(8);
    let places = if config.ops.is_some() { (descriptors / 16).clamp(8, 32) } else { 0 };
    let clients = sockets.saturating_sub(executors + RESERVED + places + stations).max(8);
    let bounds = Bounds {
        attempts: settings.module.max_attempts,
        load_wait: settings.load_wait,
        held_bytes: memory / 8,
        held_requests: settings.max_open,
        retry_after: settings.module.max_retry_after,
        send_lag: settings.connect_timeout + MARGIN,
    };
    let pool = executor::Limits {
        connections: executors,
        // Danger: answers that never end, on all connections at once, must not fill the memory.
        unread: memory / 4,
        streams: settings.streams_per_conn,
        connect_timeout: settings.connect_timeout,
        keepalive: settings.keepalive,
        classes: settings.classes.clone(),
        tells_warm: settings.tells_warm,
        tells_crowd: settings.tells_crowd,
        report: settings.report.clone(),
    };
    (bounds, pool, thrift::Limits { connections: clients, unsent: memory / 4 }, places)
}
