//! Derives the parts' limits from the configured memory and descriptors.
//!
//! Given the configuration, the settings and whether another process of this dispatcher runs; two processes get half of
//! each resource.

use super::request_specs::NETWORK_MARGIN_US;
use crate::config::{Config, Settings};
use crate::control::DEFAULT_FUNCTION_BYTES;
use crate::core::EngineLimits;
use crate::executor;
use crate::front::thrift;

/// Descriptors reserved for files, timers, listeners and all else that is not a connection.
const RESERVED_DESCRIPTORS: usize = 32;

/// Returns how many descriptors the process may hold: the configured number, or the system's limit if that is lower. The
/// share reserved for executors and the name service is cut from this number, so it must not exceed what the system grants.
fn descriptors(config: &Config) -> usize {
    let configured = config.parts.resources.sockets;
    let granted = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    granted.and_then(|g| usize::try_from(g).ok()).map_or(configured, |g| g.min(configured))
}

/// Returns the bytes that the decision module may use for functions: the operator's figure, or three eighths of the memory
/// limit, up to the module's default. Bodies, half-read answers and unsent answers use the rest. Two processes get half each.
pub(super) fn function_bytes(config: &Config, configured: Option<usize>, two_processes: bool) -> usize {
    let memory = config.parts.resources.memory;
    configured.unwrap_or((memory / 8 * 3).min(DEFAULT_FUNCTION_BYTES)) / if two_processes { 2 } else { 1 }
}

/// Returns the limits of the core, the executor pool and the Thrift front, and the number of connections of the operators'
/// interface. `station_connections` is the number of connections reserved for stations.
pub(super) fn derive_limits(
    config: &Config,
    settings: &Settings,
    two_processes: bool,
    station_connections: usize,
) -> (EngineLimits, executor::PoolSettings, thrift::Limits, usize) {
    let processes = if two_processes { 2 } else { 1 };
    let descriptors = descriptors(config);
    let (memory, sockets) = (config.parts.resources.memory / processes, descriptors / processes);
    // Usual clients hold at most a third of the descriptors, but idle clients (connected, silent or done asking) come on
    // top. Without room beyond the third, new connections wait in the accept queue while their clients' time runs. So
    // executors get a quarter, many times what they need, and clients get the rest.
    let executors = (sockets / 4).max(8);
    let operators = if config.admin_address.is_some() { (descriptors / 16).clamp(8, 32) } else { 0 };
    let clients =
        sockets.saturating_sub(executors + RESERVED_DESCRIPTORS + operators + station_connections).max(8);
    let bounds = EngineLimits {
        attempts: settings.module.max_attempts,
        load_wait: settings.load_wait,
        held_bytes: memory / 8,
        held_requests: settings.max_open,
        retry_after: settings.module.max_retry_after,
        send_lag: settings.connect_timeout + NETWORK_MARGIN_US,
    };
    let pool = executor::PoolSettings {
        max_connections: executors,
        // Answers that never end, on all connections at once, must not exhaust the memory.
        max_unread_bytes: memory / 4,
        max_requests_per_connection: settings.streams_per_conn,
        connect_timeout: settings.connect_timeout,
        keepalive: settings.keepalive,
        classes: settings.classes.clone(),
        reports_warm: settings.tells_warm,
        reports_concurrency: settings.tells_crowd,
        report: settings.report.clone(),
    };
    (bounds, pool, thrift::Limits { connections: clients, unsent: memory / 4 }, operators)
}
