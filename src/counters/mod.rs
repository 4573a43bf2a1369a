//! The counters of the process, printed as one line on SIGUSR1 and at exit. The field names and their order are the
//! output format.

use std::cell::Cell;
use std::fmt;
use std::io::Write;

macro_rules! counters {
    ($($name:ident: $text:literal,)*) => {
        /// All counters, one cell each. The program runs on a single thread, so all modules share one instance without locks.
        #[derive(Default)]
        pub struct Counters { $(#[doc = $text] pub $name: Cell<u64>,)* }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("counters")?;
                $(write!(f, " {}={}", stringify!($name), self.$name.get())?;)*
                Ok(())
            }
        }
    };
}

counters! {
    clients_accepted: "Client connections accepted.",
    clients_closed: "Client connections that ended.",
    clients_evicted: "Idle client connections closed to make room.",
    clients_blocked: "Times that a client did not read its answers, so that its further requests were left unread.",
    clients_malformed: "Client connections closed for malformed input.",
    accepts_paused: "Times that accepting paused for lack of descriptors.",
    requests_taken: "Requests accepted.",
    requests_invalid: "Requests with invalid fields, answered as failed.",
    requests_forgotten: "Requests abandoned by their client.",
    requests_too_late: "Requests refused because the process was about to end.",
    requests_crossed: "Requests dropped because they arrived while their connection was being closed.",
    requests_unread: "Requests withdrawn by their client before they were handed to the module.",
    requests_unkept: "Requests refused because their client reads no answers and its queue of waiting answers is full.",
    requests_deserted: "Requests refused because their client had closed its end before they were read.",
    requests_hung_up: "Open requests whose client closed its end.",
    answers_served: "Final answers: served.",
    answers_refused: "Final answers: refused.",
    answers_failed: "Final answers: failed.",
    repeats_run: "Requests that may have run before and were given to the module to run again.",
    repeats_not_run: "Requests that may have run before and could not safely run again: failed without an attempt.",
    answers_lost: "Final answers whose client was gone.",
    health_checks: "Health checks answered.",
    attempts_sent: "Attempts sent to executors.",
    attempts_withdrawn: "Attempts withdrawn before their first byte was sent.",
    attempts_cancelled: "Attempts ended by a cancellation.",
    ended_ok: "Attempts that ended ok.",
    ended_error: "Attempts that ended in an error.",
    ended_full: "Attempts that found the executor full.",
    ended_miss: "Attempts that ended in a miss.",
    ended_timeout: "Attempts that timed out.",
    ended_no_connect: "Attempts for which no connection could be made.",
    ended_reset: "Attempts whose connection was reset.",
    ended_moot: "Attempts that were never sent or whose result came too late.",
    ended_cancelled: "Attempts that ended as cancelled.",
    late_answers: "Answers of executors for which no attempt was waiting.",
    executors_malformed: "Executor connections closed for malformed input.",
    executor_connects: "Connections started to executors.",
    executor_connects_failed: "Connections to executors that could not be established.",
    executor_idle_closed: "Idle connections to executors closed.",
    loads_ordered: "Load orders sent.",
    loads_left: "Checks of idle copies that led to no load order, because other dispatchers use the copies.",
    cold_turns: "Attempts that used a slot at a cold executor.",
    dns_queries: "Queries sent to the name service.",
    dns_sent_bytes: "Bytes sent to the name service.",
    dns_received_bytes: "Bytes received from the name service.",
    dns_answers: "Answers of the name service that were used.",
    dns_reopened: "Sockets to the name service replaced because nothing had arrived on the old one for a while.",
    dns_dropped: "Packets from the name service that were dropped.",
    lists_applied: "Lists of executors passed to the module.",
    lists_refused: "Answers of the name service whose list was rejected: unreadable, truncated, suddenly empty, or one id at two addresses.",
    lists_merged: "List entries dropped as exact duplicates of another.",
    lists_stale: "Answers of the name service with a list no newer than the one held.",
    lists_lower: "Answers with a different list whose number is not higher than that of the list in use; only drains were taken from them.",
    lists_renumbered: "Lists taken into use under a lower number because the name service kept returning it.",
    list_age_ms: "Milliseconds since the query of the last answer that agreed with the list in use.",
    dns_streams: "Queries to the name service over TCP because an answer over UDP was incomplete.",
    dns_send_errors: "Queries to the name service that the operating system did not accept.",
    dns_receive_errors: "Errors reported by a socket to the name service.",
    writes_held: "Times that a write to an executor was held back until the answers of the name service had been read.",
    mqtt_connects: "Connections started to the MQTT broker.",
    mqtt_messages: "MQTT messages received.",
    mqtt_duplicates: "MQTT messages that had already been answered.",
    mqtt_while_draining: "MQTT messages that arrived while their broker was being drained.",
    mqtt_resumed: "Brokers configured again while they were being drained.",
    mqtt_answers: "Final answers published over MQTT.",
    mqtt_acknowledged: "MQTT messages acknowledged.",
    mqtt_malformed: "MQTT connections closed for malformed input.",
    station_triggers: "Triggers from directly connected stations.",
    station_duplicates: "Triggers of stations that were already in progress or answered.",
    station_repeats: "Triggers of stations marked as delivered before, whose call this process does not know.",
    station_limited: "Triggers of stations rejected by quota.",
    station_answers: "Final answers sent to stations.",
    station_answers_lost: "Final answers whose station's session was gone or had no room.",
    station_violations: "Station connections closed for a protocol violation.",
    station_refused: "Station connections refused.",
    station_sessions: "Sessions of stations.",
    door_accepted: "Operator connections accepted.",
    door_calls: "Requests of operators.",
    door_malformed: "Malformed requests of operators.",
    door_evicted: "Operator connections closed to make room.",
    door_yes: "Operator requests answered with success.",
    door_no: "Operator requests answered with an error status.",
    bans_begun: "Executors banned.",
    bans_ended: "Bans of executors lifted.",
    handovers_asked: "Requests of a successor process for this process's state.",
    handovers_given: "Handovers sent to a successor process.",
    handovers_taken: "Handovers received from the predecessor process.",
    handovers_missed: "Handovers that failed.",
    reloads: "New configurations taken into use.",
    reloads_refused: "New configurations rejected because of a fault.",
    stream_connects: "Connections started to control services.",
    stream_closes: "Connections to control services that ended.",
    stream_sent_bytes: "Bytes sent to control services.",
    stream_received_bytes: "Bytes received from control services.",
    stream_stale_ms: "Milliseconds since anything was received from a control service; the highest number if nothing ever was.",
    versions_applied: "Versions taken into use.",
    versions_refused: "Versions rejected.",
    versions_kept: "Versions stored as the last good one.",
    versions_returned: "Versions rolled back after a trial.",
    versions_withdrawn: "Versions that gave way to the instance's own file: at a start, after a reload, or from another process.",
    version_epoch: "The epoch of the version in use; 0 if none is.",
    version_number: "The number of the version in use; 0 if none is.",
    peers_sent: "Packets sent to peers.",
    peers_sent_bytes: "Bytes sent to peers.",
    peers_received: "Packets received at the peers' address, whatever their content.",
    peers_received_bytes: "Bytes of the packets received at the peers' address.",
    hints_sent: "Packets to peers that carry hints of failed executors; also counted in peers_sent.",
    hints_sent_bytes: "Bytes of these hints.",
    overload_sent: "Packets to peers that carry messages about budgets and the admission level; also counted in peers_sent.",
    overload_sent_bytes: "Bytes of these messages.",
    zones_sent: "Packets to peers that carry zone reports; also counted in peers_sent.",
    zones_sent_bytes: "Bytes of these reports.",
    peers_taken: "Packets from peers that were accepted.",
    peers_garbage: "Packets to the peers' address that were damaged, or of another version or group.",
    peers_replayed: "Replayed packets from peers.",
    peers_absurd: "Claims of peers that no member could have made, or for which there was no room.",
    peers_accusations: "Peers that this dispatcher began to suspect.",
    peers_denials: "Times that this dispatcher refuted a claim of its own failure.",
    peers_stalls: "Times that this dispatcher was stalled for longer than a probe may take.",
    peers_conflicts: "Names of peers seen at two addresses.",
    peers_alive: "Dispatchers alive in this dispatcher's view, itself included.",
    hints_told: "Executors whose failure was detected here and reported to peers.",
    hints_heard: "Executors whose failure was reported by peers and was not known here before.",
    hints_looks: "Connections started to check executors whose failure peers reported.",
    hints_refused: "Checks of executors reported by peers whose connection was refused.",
    peers_words_given: "Snapshots of executors and learned state sent to starting peers.",
    peers_lists_taken: "Lists of executors taken from a peer at the start.",
    peers_lists_refused: "Lists from peers that were rejected: old, empty, with duplicates, or contradicting each other.",
    overload_level: "The admission level in force.",
    overload_shed: "Requests shed by the admission level.",
    zones_left: "Zones to which less than the usual share is sent.",
    zones_moves: "Changes of the fleet's step for a zone that this dispatcher made.",
    resends_wanted: "Second and later tries requested from the fleet's budget.",
    resends_made: "Second and later tries allowed by the fleet's budget.",
    circuits_open: "Executors with an open circuit breaker, which get only trial attempts.",
    circuits_ramping: "Executors in slow start after their circuit breaker closed.",
    trials_made: "Trial attempts at executors with an open circuit breaker.",
    leases_lent: "Leases granted to peers.",
    leases_borrowed: "Leases obtained from peers.",
    log_events_dropped: "Log events dropped by the rate limit.",
    worker_restarts: "Executors whose process was replaced under their id.",
    worker_starts_limited: "Starts of executors that count from their list, because the announced time cannot be right or none was announced.",
    cold_sends_without_permit: "Attempts at cold executors that used no slot: always 0.",
    cold_budget_parts: "Parts into which a cold executor's budget is divided; this process has one.",
    loop_lag_most_us: "The longest iteration of the event loop, in microseconds.",
}

/// Increments a counter by one.
pub fn count(cell: &Cell<u64>) {
    cell.set(cell.get() + 1);
}

/// Adds `count` to a counter, saturating at the maximum.
pub fn add(cell: &Cell<u64>, count: usize) {
    cell.set(cell.get().saturating_add(count as u64));
}

/// Raises a counter to `value` if that is larger.
pub fn record_max(cell: &Cell<u64>, value: u64) {
    cell.set(cell.get().max(value));
}

/// Writes a line to standard output and ignores errors; `println!` would panic once the reader has closed the pipe.
pub fn print_line(line: impl fmt::Display) {
    let _ = writeln!(std::io::stdout().lock(), "{line}");
}
