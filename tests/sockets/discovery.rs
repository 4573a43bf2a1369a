//! Which list of workers is in use: numbers of another numbering, answers that are late, large, cut off or doubted, and
//! drains that any of them tells.

use crate::id;
use crate::stand::{Client, Executor, Names, Program, Reply, config, fields, until, until_counted};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// What the platform allows from the telling of a drain to the last send, with its slack on sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(300);
const LONG: u64 = 20_000;

/// A dispatcher with two workers, and a client of it.
fn setup() -> (Program, [Executor; 2], Names, Client) {
    let (workers, names) = ([Executor::start(), Executor::start()], Names::start());
    let program = Program::start(&config(&workers.each_ref(), &names));
    let client = Client::connect(program.address);
    (program, workers, names, client)
}

/// Calls that come after the grace, each of which the second worker must get.
fn all_go_to_the_second(client: &mut Client, workers: &[Executor; 2]) {
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
    let (program, workers, names, mut client) = setup();
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
    all_go_to_the_second(&mut client, &workers);
    until_counted(&program, "lists_lower", "the lower number is never seen");
}

#[test]
fn lists_are_taken_whose_answers_travel_longer_than_a_socket_may_stay_silent() {
    // Up to the longest that an answer is awaited.
    for travel_ms in [700, 1_000, 1_800] {
        let (program, workers, names, mut client) = setup();
        let (first, second) = (workers[0].address, workers[1].address);
        names.travel_ms.store(travel_ms, Ordering::SeqCst);
        names.set(2, &[("s0", first, 0), ("s1", second, 0)]);
        until("a list whose answers are late is never taken", || program.counters()["dns_answers"] >= 5);
        names.set(3, &[("s0", first, 1), ("s1", second, 0)]);
        let told = names.sent(3) + Duration::from_millis(u64::from(travel_ms));
        std::thread::sleep(DRAIN_GRACE + told.saturating_duration_since(Instant::now()));
        all_go_to_the_second(&mut client, &workers);
    }
}

#[test]
fn a_list_is_taken_whose_answer_is_as_large_as_a_datagram_may_be() {
    let (program, workers, names, mut client) = setup();
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
    all_go_to_the_second(&mut client, &workers);
}
