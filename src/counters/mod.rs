//! Counts of what is taken in, sent and answered; printed on SIGUSR1 and at exit.

use std::cell::Cell;
use std::fmt;
use std::io::Write;

macro_rules! counters {
    ($($name:ident: $text:literal,)*) => {
        /// One cell a count. Everything runs on one thread, so that all parts share one of these.
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
    clients_accepted: "Connections accepted from clients.",
    clients_closed: "Connections of clients that ended.",
    clients_evicted: "Idle connections of clients closed for want of room.",
    clients_blocked: "Times that a client took no answers, so that what it asks was left to wait.",
    clients_malformed: "Connections of clients closed for nonsense.",
    accepts_paused: "Times that accepting stopped for want of descriptors.",
    requests_taken: "Requests taken in.",
    requests_invalid: "Requests with unusable fields, answered as failed.",
    requests_forgotten: "Requests that their client gave up.",
    requests_too_late: "Requests refused because the process was about to end.",
    requests_crossed: "Requests dropped since they crossed the end of their connection.",
    requests_unread: "Requests taken back before they were handed on.",
    requests_unkept: "Requests refused since their client takes no answers and has more waiting than is kept.",
    requests_deserted: "Requests refused since their client had closed its end before they were read.",
    requests_hung_up: "Requests whose client closed its end while they were open.",
    answers_served: "Final answers: served.",
    answers_refused: "Final answers: refused.",
    answers_failed: "Final answers: failed.",
    answers_lost: "Final answers whose client had gone.",
    health_checks: "Health checks answered.",
    attempts_sent: "Attempts sent to executors.",
    attempts_withdrawn: "Attempts taken back before their first byte was sent.",
    attempts_cancelled: "Attempts given up by a halt.",
    ended_ok: "Attempts that ended ok.",
    ended_error: "Attempts that ended in an error.",
    ended_full: "Attempts that found the executor full.",
    ended_miss: "Attempts that missed.",
    ended_timeout: "Attempts that timed out.",
    ended_no_connect: "Attempts that found no connection.",
    ended_reset: "Attempts whose connection broke.",
    ended_moot: "Attempts that were never sent or came too late.",
    ended_cancelled: "Attempts withdrawn.",
    late_answers: "Answers of executors that nothing waited for.",
    executors_malformed: "Connections to executors closed for nonsense.",
    executor_connects: "Connections begun to executors.",
    executor_connects_failed: "Connections to executors that never came up.",
    executor_idle_closed: "Idle connections to executors closed.",
    loads_ordered: "Orders to load.",
    loads_left: "Looks at idle copies that got no order, as others use them.",
    cold_turns: "Attempts that took a turn at a cold executor.",
    dns_queries: "Queries sent to the name service.",
    dns_sent_bytes: "Bytes sent to the name service.",
    dns_received_bytes: "Bytes of packets of the name service.",
    dns_answers: "Answers of the name service used.",
    dns_reopened: "New sockets to the name service, as nothing had come on the old one for a while.",
    dns_dropped: "Packets of the name service dropped.",
    lists_applied: "Lists of executors told to the module.",
    lists_refused: "Answers of the name service whose list was not believed: unreadable, cut off, empty at once, or an id at two addresses.",
    lists_merged: "Entries of lists that repeated another exactly and were dropped.",
    lists_stale: "Answers of the name service with a list no newer than the one held.",
    lists_lower: "Answers with another list under no higher number than the one in use: of these only drains counted.",
    lists_renumbered: "Lists taken into use under a lower number, as the name service kept to it.",
    list_age_ms: "Milliseconds since an answer was asked for that agreed with the list in use.",
    dns_streams: "Queries to the name service over TCP, as an answer did not hold all.",
    dns_send_errors: "Queries to the name service that the system did not take.",
    dns_receive_errors: "Errors that a socket to the name service told.",
    writes_held: "Times that a write to an executor waited until the name service's answers had been read.",
    mqtt_connects: "Connections begun to the MQTT broker.",
    mqtt_messages: "MQTT messages received.",
    mqtt_duplicates: "MQTT messages that had been answered before.",
    mqtt_answers: "Final answers published over MQTT.",
    mqtt_acknowledged: "MQTT messages acknowledged.",
    mqtt_malformed: "MQTT connections closed for nonsense.",
    station_triggers: "Triggers of stations that connect here.",
    station_duplicates: "Triggers of stations that were under way or answered before.",
    station_limited: "Triggers of stations turned down by quota.",
    station_answers: "Final answers given to stations.",
    station_answers_lost: "Final answers whose station's session had gone, or had no room.",
    station_violations: "Connections of stations ended for what they sent.",
    station_refused: "Connections of stations turned away.",
    station_sessions: "Sessions of stations.",
    door_accepted: "Connections accepted from operators.",
    door_calls: "Calls of operators.",
    door_malformed: "What operators sent that is no call.",
    door_evicted: "Connections of operators closed for want of room.",
    door_yes: "Calls of operators answered with a yes.",
    door_no: "Calls of operators answered with a no.",
    bans_begun: "Executors taken out of use.",
    bans_ended: "Executors taken back into use.",
    handovers_asked: "Successors that asked for what this process knew.",
    handovers_given: "Handovers to a successor.",
    handovers_taken: "Handovers from the process before.",
    handovers_missed: "Handovers that came to nothing.",
    reloads: "Times that a new configuration was taken into use.",
    reloads_refused: "New configurations with a fault, not taken into use.",
    stream_connects: "Connections begun to control services.",
    stream_closes: "Connections to control services that ended.",
    stream_sent_bytes: "Bytes sent to control services.",
    stream_received_bytes: "Bytes received from control services.",
    stream_stale_ms: "Milliseconds since a control service was last heard; the highest number if never.",
    versions_applied: "Versions taken into use.",
    versions_refused: "Versions turned down.",
    versions_kept: "Versions that became the last good one.",
    versions_returned: "Versions given up after a trial.",
    version_epoch: "The epoch of the version in use; 0 if none is.",
    version_number: "The number of the version in use; 0 if none is.",
    peers_sent: "Packets sent to peers.",
    peers_sent_bytes: "Bytes sent to peers.",
    peers_received: "Packets received at the peers' address, whatever they hold.",
    peers_received_bytes: "Bytes of these.",
    hints_sent: "Packets to peers that carry hints of executors' deaths; counted in peers_sent as well.",
    hints_sent_bytes: "Bytes of their notes.",
    overload_sent: "Packets to peers that carry words on budgets and the level; counted in peers_sent as well.",
    overload_sent_bytes: "Bytes of their notes.",
    zones_sent: "Packets to peers that carry reports on zones; counted in peers_sent as well.",
    zones_sent_bytes: "Bytes of their notes.",
    peers_taken: "Packets of peers taken.",
    peers_garbage: "Packets to the peers' address that were damaged, or of another version or group.",
    peers_replayed: "Packets of peers that came again.",
    peers_absurd: "Claims of peers that no member could have made, or for which there was no room.",
    peers_accusations: "Peers that this dispatcher began to suspect.",
    peers_denials: "Times that this dispatcher denied being gone.",
    peers_stalls: "Times that this dispatcher stood still for longer than a probe may take.",
    peers_conflicts: "Names of peers seen at two addresses.",
    peers_alive: "Dispatchers alive, this one among them, as far as it knows.",
    hints_told: "Executors whose death was seen here and told to peers.",
    hints_heard: "Executors of whose death peers told, of which that was news.",
    hints_looks: "Connections begun to look at executors of which peers told.",
    hints_refused: "Of these, those that were refused.",
    peers_words_given: "Words given to peers that start, of executors and what was learned.",
    peers_lists_taken: "Lists of executors taken from a peer at the start.",
    peers_lists_refused: "Lists of peers that were not taken: old, empty, doubled, or contradicting each other.",
    overload_level: "The level of admission in force.",
    overload_shed: "Requests that the level of admission turned away.",
    zones_left: "Zones to which less than the usual is sent.",
    zones_moves: "Changes of the fleet's step to a zone that this dispatcher made.",
    resends_wanted: "Second and later tries that the fleet's budget was asked for.",
    resends_made: "Second and later tries that it allowed.",
    circuits_open: "Executors that are kept from but for trials.",
    circuits_ramping: "Executors that are let in again by a ramp.",
    trials_made: "Trials of executors that were kept from.",
    leases_lent: "Leases given to peers.",
    leases_borrowed: "Leases had from peers.",
    log_events_dropped: "Events that were not logged, for their number.",
    loop_lag_most_us: "The longest turn of the loop, in microseconds.",
}

/// Adds one.
pub fn count(cell: &Cell<u64>) {
    cell.set(cell.get() + 1);
}

/// Adds so many.
pub fn add(cell: &Cell<u64>, count: usize) {
    cell.set(cell.get().saturating_add(count as u64));
}

/// Keeps the larger.
pub fn record_max(cell: &Cell<u64>, value: u64) {
    cell.set(cell.get().max(value));
}

/// Writes a line to standard output. Danger: where nobody reads it any more, `println` would panic.
pub fn print_line(line: impl fmt::Display) {
    let _ = writeln!(std::io::stdout().lock(), "{line}");
}
