//! Tests of which list of workers the program uses: lists of another numbering, answers that are late, large, truncated or
//! refused, and the drains that any of them carries.

use crate::stand::{
    Client, Executor, Names, Program, Reply, config, config_at, fields, until, until_counted,
};
use crate::{accept_silent, id};
use rustix::process::Signal;
use serde_json::json;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The time that the platform allows from the announcement of a drain to the last send, with its tolerance for sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// Deadline of requests that must not time out during a test.
const LONG_DEADLINE_MS: u64 = 20_000;

/// Starts a dispatcher with two workers.
fn setup() -> (Program, [Executor; 2], Names) {
    let (workers, names) = ([Executor::start(), Executor::start()], Names::start());
    let program = Program::start(&config(&workers.each_ref(), &names));
    (program, workers, names)
}

/// Sends requests after the drain grace period and asserts that the second worker receives each of them.
fn assert_second_worker_serves_all(program: &Program, workers: &[Executor; 2]) {
    // The client connects only now because the program closes connections that are idle for 2.5 s.
    let mut client = Client::connect(program.address);
    for seq in 1..=20 {
        client.serve(seq, &fields("flow-read", &id(seq as u64), LONG_DEADLINE_MS), b"");
        let started = Instant::now();
        let mut connection = loop {
            assert!(workers[0].poll().is_none(), "request {seq} was sent to the draining worker");
            assert!(
                started.elapsed() < Duration::from_secs(5),
                "request {seq} was not sent to any worker within 5 s"
            );
            if let Some(connection) = workers[1].poll() {
                break connection;
            }
        };
        connection.ok(b"served");
        assert_eq!(client.receive(), Some((seq, Reply::Served(b"served".to_vec()))));
    }
}

#[test]
fn drain_is_obeyed_after_a_list_of_another_numbering_with_a_higher_number() {
    let (program, workers, names) = setup();
    let (first, second) = (workers[0].address, workers[1].address);
    // A state from before this process started, under a number of the previous numbering.
    names.set(8, &[("s0", first, 0), ("s1", second, 0)]);
    until("the list is not accepted", || program.counters()["lists_applied"] >= 1);
    // From here on the numbers are of the current numbering, which counts from 1 at the start of the process.
    names.set(2, &[("s0", first, 0), ("s1", second, 0)]);
    let before = program.counters()["dns_answers"];
    until("the name service does not answer", || program.counters()["dns_answers"] > before + 3);
    names.set(3, &[("s0", first, 1), ("s1", second, 0)]);
    let announced = names.sent(3);
    std::thread::sleep(DRAIN_GRACE.saturating_sub(announced.elapsed()));
    assert_second_worker_serves_all(&program, &workers);
    until_counted(&program, "lists_lower", "no list with a lower number is received");
}

#[test]
fn answers_slower_than_the_silence_timeout_are_accepted() {
    // All below the 2.5 s for which an answer is accepted.
    for travel_ms in [700, 1_000, 1_800] {
        let (program, workers, names) = setup();
        let (first, second) = (workers[0].address, workers[1].address);
        names.travel_ms.store(travel_ms, Ordering::SeqCst);
        names.set(2, &[("s0", first, 0), ("s1", second, 0)]);
        until("late answers are not accepted", || program.counters()["dns_answers"] >= 5);
        names.set(3, &[("s0", first, 1), ("s1", second, 0)]);
        let announced = names.sent(3) + Duration::from_millis(u64::from(travel_ms));
        std::thread::sleep(DRAIN_GRACE + announced.saturating_duration_since(Instant::now()));
        assert_second_worker_serves_all(&program, &workers);
    }
}

#[test]
fn answer_of_nearly_the_largest_datagram_is_accepted() {
    let (program, workers, names) = setup();
    let (first, second) = (workers[0].address, workers[1].address);
    let unused = SocketAddr::from(([127, 0, 0, 1], 9));
    // An entry takes about 140 bytes; a datagram holds 65,507.
    for (number, entries) in [(2, 60), (3, 100), (4, 440)] {
        let ids: Vec<String> = (2..entries).map(|n| format!("s{n}")).collect();
        let mut list = vec![("s0", first, 1), ("s1", second, 0)];
        list.extend(ids.iter().map(|id| (id.as_str(), unused, 1)));
        names.set(number, &list);
        until("a large list is not accepted", || {
            program.counters()["lists_applied"] >= u64::from(number) - 1
        });
    }
    assert_second_worker_serves_all(&program, &workers);
}

#[test]
fn answer_with_the_truncation_flag_is_queried_again_over_tcp() {
    let (program, workers, names) = setup();
    let (first, second) = (workers[0].address, workers[1].address);
    names.over_tcp.store(true, Ordering::SeqCst);
    // No record of the list fits.
    names.cut_at.store(60, Ordering::SeqCst);
    names.set(2, &[("s0", first, 1), ("s1", second, 0)]);
    until("the list is not accepted over TCP", || program.counters()["lists_applied"] >= 1);
    assert_second_worker_serves_all(&program, &workers);
    until_counted(&program, "dns_streams", "TCP is not used");
}

#[test]
fn drains_are_applied_from_an_answer_truncated_without_the_flag() {
    let (program, workers, names) = setup();
    let (first, second) = (workers[0].address, workers[1].address);
    // Holds the first record of the list and a part of the second.
    names.cut_at.store(110, Ordering::SeqCst);
    names.set(2, &[("s0", first, 1), ("s1", second, 0)]);
    until("the drain is not applied", || program.counters()["lists_applied"] >= 1);
    assert_second_worker_serves_all(&program, &workers);
    until_counted(&program, "lists_refused", "the truncated answer is not refused");
}

#[test]
fn drains_are_applied_from_a_list_refused_for_another_entry() {
    let (program, workers, names) = setup();
    let (first, second) = (workers[0].address, workers[1].address);
    let conflicting = SocketAddr::from(([127, 0, 0, 1], 9));
    names.set(2, &[("s0", first, 1), ("s1", second, 0), ("s9", conflicting, 0), ("s9", first, 0)]);
    until("the drain is not applied", || program.counters()["lists_applied"] >= 1);
    assert_second_worker_serves_all(&program, &workers);
    assert!(program.counters()["lists_refused"] >= 1);
}

#[test]
fn reloaded_configuration_does_not_restore_a_drained_worker_whatever_its_list_number() {
    let (program, workers, names) = setup();
    let (first, second) = (workers[0].address, workers[1].address);
    names.set(3, &[("s0", first, 1), ("s1", second, 0)]);
    until("the drain is not applied", || program.counters()["lists_applied"] >= 1);
    let mut reloaded = config(&workers.each_ref(), &names);
    reloaded["known"]["offset"] = json!(90);
    std::fs::write(&program.path, reloaded.to_string()).expect("written");
    program.signal(Signal::HUP);
    assert_eq!(program.line(), "ochreward: the new configuration is in use");
    assert_second_worker_serves_all(&program, &workers);
    // The number in the configuration does not make later lists of the service count as old either.
    names.set(4, &[("s0", first, 1), ("s1", second, 1)]);
    until("a list after the reload is not accepted", || program.counters()["lists_applied"] >= 2);
}

#[test]
fn request_waiting_for_a_connection_is_not_written_after_a_drain_in_the_same_turn() {
    let (address, listener, queue_fill) = crate::hung();
    let names = Names::start();
    let mut configuration = config_at(&[address], &names);
    configuration["settings"]["limits"]["connect_timeout_us"] = json!(20_000_000);
    let program = Program::start(&configuration);
    names.set(2, &[("s0", address, 0)]);
    until("the list is not accepted", || program.counters()["lists_applied"] >= 1);
    let mut client = Client::connect(program.address);
    client.serve(1, &fields("flow-read", &id(1), LONG_DEADLINE_MS), b"");
    until("the request does not wait for its connection", || program.counters()["attempts_sent"] == 1);
    names.hold();
    program.stand_still();
    // The connection is established and the drain is sent while the process is stopped, so that it handles both in one turn.
    drop(queue_fill);
    let mut connection = accept_silent(&listener);
    names.set(3, &[("s0", address, 1)]);
    names.let_go();
    program.go_on();
    assert!(
        matches!(client.receive(), Some((1, Reply::Refused(_)))),
        "the request is refused, which is safe because it was not sent"
    );
    connection.set_read_timeout(Some(Duration::from_secs(5))).expect("a time-out");
    let mut sent = Vec::new();
    let _ = connection.read_to_end(&mut sent);
    assert_eq!(String::from_utf8_lossy(&sent), "", "the request was sent to a draining worker");
}
