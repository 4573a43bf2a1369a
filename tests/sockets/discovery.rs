//! Which list of workers is in use: numbers of another numbering, answers that are late, large, cut off or doubted, and
//! drains that any of them tells.

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

/// What the platform allows from the telling of a drain to the last send, with its slack on sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(300);
const LONG: u64 = 20_000;

/// A dispatcher with two workers.
fn setup() -> (Program, [Executor; 2], Names) {
    let (workers, names) = ([Executor::start(), Executor::start()], Names::start());
    let program = Program::start(&config(&workers.each_ref(), &names));
    (program, workers, names)
}

/// Calls that come after the grace, each of which the second worker must get.
fn all_go_to_the_second(program: &Program, workers: &[Executor; 2]) {
    // A client that connects and says nothing for 2.5 s is closed, so that it comes only now.
    let mut client = Client::connect(program.address);
    for seq in 1..=20 {
        client.serve(seq, &fields("flow-read", &id(seq as u64), LONG), b"");
        let began = Instant::now();
        let mut line = loop {
            assert!(workers[0].poll().is_none(), "call {seq} went to the worker that drains");
            assert!(began.elapsed() < Duration::from_secs(5), "call {seq} went nowhere");
            if let Some(line) = workers[1].poll() {
                break line;
            }
        };
        line.ok(b"served");
        assert_eq!(client.receive(), Some((seq, Reply::Served(b"served".to_vec()))));
    }
}

#[test]
fn a_drain_is_obeyed_though_a_list_of_another_numbering_had_a_higher_number() {
    let (program, workers, names) = setup();
    let (first, second) = (workers[0].address, workers[1].address);
    // The state of a process before this one, with the number that it had there.
    names.set(8, &[("s0", first, 0), ("s1", second, 0)]);
    until("the list is never taken", || program.counters()["lists_applied"] >= 1);
    // From here on the numbers are those of this process, counted from 1 at its start.
    names.set(2, &[("s0", first, 0), ("s1", second, 0)]);
    let before = program.counters()["dns_answers"];
    until("the name service falls silent", || program.counters()["dns_answers"] > before + 3);
    names.set(3, &[("s0", first, 1), ("s1", second, 0)]);
    let told = names.sent(3);
    std::thread::sleep(DRAIN_GRACE.saturating_sub(told.elapsed()));
    all_go_to_the_second(&program, &workers);
    until_counted(&program, "lists_lower", "the lower number is never seen");
}

#[test]
fn lists_are_taken_whose_answers_travel_longer_than_a_socket_may_stay_silent() {
    // Up to the longest that an answer is awaited.
    for travel_ms in [700, 1_000, 1_800] {
        let (program, workers, names) = setup();
        let (first, second) = (workers[0].address, workers[1].address);
        names.travel_ms.store(travel_ms, Ordering::SeqCst);
        names.set(2, &[("s0", first, 0), ("s1", second, 0)]);
        until("a list whose answers are late is never taken", || program.counters()["dns_answers"] >= 5);
        names.set(3, &[("s0", first, 1), ("s1", second, 0)]);
        let told = names.sent(3) + Duration::from_millis(u64::from(travel_ms));
        std::thread::sleep(DRAIN_GRACE + told.saturating_duration_since(Instant::now()));
        all_go_to_the_second(&program, &workers);
    }
}

#[test]
fn a_list_is_taken_whose_answer_is_as_large_as_a_datagram_may_be() {
    let (program, workers, names) = setup();
    let (first, second) = (workers[0].address, workers[1].address);
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
    // About 140 bytes an entry; a datagram holds 65,507.
    for (number, entries) in [(2, 60), (3, 100), (4, 440)] {
        let ids: Vec<String> = (2..entries).map(|n| format!("s{n}")).collect();
        let mut list = vec![("s0", first, 1), ("s1", second, 0)];
        list.extend(ids.iter().map(|id| (id.as_str(), nowhere, 1)));
        names.set(number, &list);
        until("a large list is never taken", || program.counters()["lists_applied"] >= u64::from(number) - 1);
    }
    all_go_to_the_second(&program, &workers);
}

#[test]
fn an_answer_that_says_that_it_is_cut_off_is_asked_for_over_tcp() {
    let (program, workers, names) = setup();
    let (first, second) = (workers[0].address, workers[1].address);
    names.over_tcp.store(true, Ordering::SeqCst);
    // Nothing of the list fits.
    names.cut_at.store(60, Ordering::SeqCst);
    names.set(2, &[("s0", first, 1), ("s1", second, 0)]);
    until("the list is never taken over TCP", || program.counters()["lists_applied"] >= 1);
    all_go_to_the_second(&program, &workers);
    until_counted(&program, "dns_streams", "TCP is never used");
}

#[test]
fn an_answer_that_is_cut_off_without_a_word_tells_the_drains_that_it_holds() {
    let (program, workers, names) = setup();
    let (first, second) = (workers[0].address, workers[1].address);
    // The first record of the list and a part of the second.
    names.cut_at.store(110, Ordering::SeqCst);
    names.set(2, &[("s0", first, 1), ("s1", second, 0)]);
    until("the drain is never taken", || program.counters()["lists_applied"] >= 1);
    all_go_to_the_second(&program, &workers);
    until_counted(&program, "lists_refused", "the answer is not cut off");
}

#[test]
fn a_list_that_is_doubted_for_one_entry_tells_the_drains_of_the_others() {
    let (program, workers, names) = setup();
    let (first, second) = (workers[0].address, workers[1].address);
    let elsewhere = SocketAddr::from(([127, 0, 0, 1], 9));
    names.set(2, &[("s0", first, 1), ("s1", second, 0), ("s9", elsewhere, 0), ("s9", first, 0)]);
    until("the drain is never taken", || program.counters()["lists_applied"] >= 1);
    all_go_to_the_second(&program, &workers);
    assert!(program.counters()["lists_refused"] >= 1);
}

#[test]
fn a_configuration_read_anew_brings_no_drained_worker_back_whatever_number_its_list_has() {
    let (program, workers, names) = setup();
    let (first, second) = (workers[0].address, workers[1].address);
    names.set(3, &[("s0", first, 1), ("s1", second, 0)]);
    until("the drain is never taken", || program.counters()["lists_applied"] >= 1);
    let mut told = config(&workers.each_ref(), &names);
    told["known"]["offset"] = json!(90);
    std::fs::write(&program.path, told.to_string()).expect("written");
    program.signal(Signal::HUP);
    assert_eq!(program.line(), "ochreward: the new configuration is in use");
    all_go_to_the_second(&program, &workers);
    // Nor does its number make later lists of the service seem old.
    names.set(4, &[("s0", first, 1), ("s1", second, 1)]);
    until("a list after the new configuration is never taken", || program.counters()["lists_applied"] >= 2);
}

#[test]
fn what_waits_for_a_connection_is_not_written_before_a_drain_that_came_in_the_same_turn() {
    let (address, listener, fill) = crate::hung();
    let names = Names::start();
    let mut told = config_at(&[address], &names);
    told["settings"]["limits"]["connect_timeout_us"] = json!(20_000_000);
    let program = Program::start(&told);
    names.set(2, &[("s0", address, 0)]);
    until("the list is never taken", || program.counters()["lists_applied"] >= 1);
    let mut client = Client::connect(program.address);
    client.serve(1, &fields("flow-read", &id(1), LONG), b"");
    until("the request never waits for its connection", || program.counters()["attempts_sent"] == 1);
    names.hold();
    program.stand_still();
    // The connection comes up and then the drain is told while the process stands still: it sees both in one turn.
    drop(fill);
    let mut connection = accept_silent(&listener);
    names.set(3, &[("s0", address, 1)]);
    names.let_go();
    program.go_on();
    assert!(matches!(client.receive(), Some((1, Reply::Refused(_)))), "it is refused, which is harmless");
    connection.set_read_timeout(Some(Duration::from_secs(5))).expect("a time-out");
    let mut sent = Vec::new();
    let _ = connection.read_to_end(&mut sent);
    assert_eq!(String::from_utf8_lossy(&sent), "", "it was sent to a worker that drains");
}
