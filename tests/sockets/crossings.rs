//! Rare moments, each forced: what crosses a client's leaving, an executor's answer or close, a signal, a silence of the
//! name service. Where several things must fall into one turn of the loop, the program stands still while they are
//! prepared. docs/design/rare-moments.md lists them.

use crate::stand::{
    Client, Executor, Line, Names, PATIENCE, Program, Reply, call, config, config_at, fields, message,
    until_counted,
};
use crate::{accept_silent, hung, id};
use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

const LONG: u64 = 20_000;

/// A dispatcher with one executor, and a client of it.
fn bed() -> (Program, Executor, Names, Client) {
    let (executor, names) = (Executor::start(), Names::start());
    let program = Program::start(&config(&[&executor], &names));
    let client = Client::connect(program.address);
    (program, executor, names, client)
}

/// The same with two executors.
fn bed_of_two() -> (Program, [Executor; 2], Names, Client) {
    let (executors, names) = ([Executor::start(), Executor::start()], Names::start());
    let program = Program::start(&config(&executors.each_ref(), &names));
    let client = Client::connect(program.address);
    (program, executors, names, client)
}

/// A dispatcher with one executor to which connections come up only once a place is made, and a client of it.
fn hung_bed() -> (Program, TcpListener, Vec<TcpStream>, Client) {
    let (address, listener, fill) = hung();
    let mut config = config_at(&[address], &Names::start());
    config["settings"]["limits"]["connect_timeout_us"] = json!(20_000_000);
    let program = Program::start(&config);
    let client = Client::connect(program.address);
    (program, listener, fill, client)
}

/// Makes a place, and returns the lines of the first connection that says something, of which there must be one.
fn comes_up(listener: &TcpListener, fill: Vec<TcpStream>) -> BufReader<TcpStream> {
    drop(fill);
    let speaks = |stream: TcpStream| {
        let mut reader = BufReader::new(stream);
        matches!(reader.fill_buf(), Ok(bytes) if !bytes.is_empty()).then_some(reader)
    };
    listener.incoming().map_while(Result::ok).find_map(speaks).expect("a connection that speaks")
}

fn next_line(reader: &mut impl BufRead) -> String {
    let mut line = String::new();
    reader.read_line(&mut line).expect("a line");
    line
}

/// Has the program answer a call, so that all that was sent before it on this connection has been read.
fn has_read(client: &mut Client, seq: i32) {
    client.other("isWell", seq);
    assert_eq!(client.receive(), Some((seq, Reply::Well(true))));
}

fn until(program: &Program, name: &str, value: u64) {
    let began = Instant::now();
    while program.counters()[name] < value {
        assert!(began.elapsed() < PATIENCE, "{name} never came to {value}: {:?}", program.counters());
    }
}

/// Figures of time that a line may tell beyond what its client has left: the platform's slack.
const WAIT_SLACK_MS: u64 = 150;

fn busy(line: &mut Line) {
    line.answer("BUSY", json!({}), b"");
}

// ---- A client that leaves ----

#[test]
fn an_attempt_that_waits_for_its_connection_is_not_begun_once_its_client_took_it_back() {
    // The first call of a function begins a load, which the module lets go on when the client has gone: but one that was
    // not sent yet has begun nothing.
    let (program, listener, fill, mut client) = hung_bed();
    client.serve(1, &fields("flow-read", &id(1), LONG), b"");
    has_read(&mut client, 2);
    client.forget(3, 1);
    has_read(&mut client, 4);
    client.serve(5, &fields("flow-read", &id(2), LONG), b"");
    has_read(&mut client, 6);
    let line = next_line(&mut comes_up(&listener, fill));
    assert!(line.contains(&id(2)), "the first line is that of the second request: {line}");
    assert_eq!(program.counters()["attempts_withdrawn"], 1);
}

#[test]
fn an_attempt_that_waits_for_its_connection_is_not_begun_once_its_client_closed() {
    for how in [Shutdown::Both, Shutdown::Write] {
        let (program, listener, fill, mut client) = hung_bed();
        client.serve(1, &fields("flow-read", &id(1), LONG), b"");
        has_read(&mut client, 2);
        client.stream.shutdown(how).expect("closed");
        if how == Shutdown::Write {
            // It may only have said that it sends no more: it is told that nothing ran.
            assert!(matches!(client.receive(), Some((1, Reply::Refused(_)))));
            assert_eq!(client.receive(), None);
        }
        until(&program, "attempts_withdrawn", 1);
        let mut other = Client::connect(program.address);
        other.serve(1, &fields("flow-read", &id(2), LONG), b"");
        has_read(&mut other, 2);
        let line = next_line(&mut comes_up(&listener, fill));
        assert!(line.contains(&id(2)), "{how:?}: {line}");
    }
}

#[test]
fn a_line_that_waited_for_its_connection_tells_what_its_client_has_left_by_then() {
    let (_program, listener, fill, mut client) = hung_bed();
    client.serve(1, &fields("flow-read", &id(1), 5_000), b"one");
    let asked = Instant::now();
    client.serve(2, &fields("level-log", &id(2), 4_000), b"two");
    has_read(&mut client, 3);
    std::thread::sleep(Duration::from_millis(700));
    let spent = asked.elapsed().as_millis() as u64;
    let mut lines = comes_up(&listener, fill);
    for (ttl, body) in [(5_000, "b25l"), (4_000, "dHdv")] {
        let line: serde_json::Value = serde_json::from_str(&next_line(&mut lines)).expect("a line of JSON");
        let wait = line["attrs"]["w"].as_u64().expect("a time to wait");
        assert!(wait <= ttl - spent + WAIT_SLACK_MS, "{wait} ms of {ttl} after {spent} ms: {line}");
        assert!(wait > 0 && line["content"] == body, "all else is as it was: {line}");
    }
}

#[test]
fn a_client_that_breaks_the_protocol_gets_the_answers_that_it_is_owed_before_its_connection_ends() {
    let (program, executor, _names, _other) = bed();
    // Nonsense behind a request in one write on a new connection; and one offence after another behind a request that is out.
    let nonsense = [vec![0x00, 0x00, 0x00, 0x04], b"ruin".to_vec()].concat();
    let offences = (0..20).flat_map(|_| message(1, &fields("flow-read", &id(9), LONG), b"")).collect();
    for (n, spoil) in [(1, nonsense), (2, offences)] {
        let mut client = Client::connect(program.address);
        let asked = message(1, &fields("flow-read", &id(n), LONG), b"");
        let spoil: Vec<u8> = spoil;
        if n == 1 {
            client.stream.write_all(&[asked, spoil].concat()).expect("sent");
        } else {
            client.stream.write_all(&asked).expect("sent");
            executor.next();
            // A number that goes back, again and again.
            client.stream.write_all(&message(5, &fields("flow-read", &id(3), LONG), b"")).expect("sent");
            executor.next();
            client.stream.write_all(&spoil).expect("sent");
        }
        let mut finals: Vec<i32> = Vec::new();
        while let Some((seq, reply)) = client.receive() {
            if matches!(reply, Reply::Failed | Reply::Refused(_)) {
                finals.push(seq);
            }
        }
        let owed = if n == 1 { vec![1] } else { vec![1, 5] };
        assert_eq!(
            finals, owed,
            "each request that was read has one final answer, and the connection has ended"
        );
    }
    assert_eq!(program.counters()["clients_malformed"], 2);
}

#[test]
fn a_call_that_waited_longer_than_its_client_goes_to_no_executor() {
    let (program, executor, _names, mut other) = bed();
    has_read(&mut other, 1);
    program.stand_still();
    // One that has gone, and one that only sends no more; both before their calls were read.
    let mut gone = Client::connect(program.address);
    gone.serve(1, &fields("flow-read", &id(1), LONG), b"");
    drop(gone);
    let mut half = Client::connect(program.address);
    half.serve(1, &fields("alert-send", &id(2), LONG), b"");
    half.stream.shutdown(Shutdown::Write).expect("closed");
    program.go_on();
    assert!(matches!(half.receive(), Some((1, Reply::Refused(_)))));
    until(&program, "requests_deserted", 2);
    has_read(&mut other, 2);
    assert_eq!((program.counters()["attempts_sent"], executor.left()), (0, 0));
}

#[test]
fn a_request_is_not_sent_on_when_its_clients_leaving_is_seen_with_the_answer() {
    // In one turn: the executor turns the request away, and only behind that its client leaves in one of three ways.
    for way in ["forget", "close", "reset"] {
        let (program, executors, _names, mut client) = bed_of_two();
        client.serve(1, &fields("flow-read", &id(1), LONG), b"");
        let mut line = first(&executors);
        has_read(&mut client, 2);
        program.stand_still();
        busy(&mut line);
        match way {
            "forget" => client.forget(3, 1),
            "close" => client.stream.shutdown(Shutdown::Both).expect("closed"),
            _ => {
                let linger = Some(Duration::ZERO);
                rustix::net::sockopt::set_socket_linger(&client.stream, linger).expect("set");
                let from = client.stream.local_addr().expect("an address");
                drop(client);
                program.until_reset(from);
            }
        }
        program.go_on();
        until(&program, "ended_full", if way == "close" { 1 } else { 0 });
        let gone = if way == "close" { "requests_hung_up" } else { "requests_forgotten" };
        until(&program, gone, 1);
        let mut other = Client::connect(program.address);
        has_read(&mut other, 1);
        assert_eq!(program.counters()["attempts_sent"], 1, "{way}");
        assert_eq!(executors.iter().map(Executor::left).sum::<usize>(), 0, "{way}");
    }
}

/// The next request, whichever executor it goes to.
fn first(executors: &[Executor]) -> Line {
    let began = Instant::now();
    loop {
        if let Some(line) = executors.iter().find_map(Executor::poll) {
            return line;
        }
        assert!(began.elapsed() < PATIENCE, "no request comes");
    }
}

#[test]
fn what_runs_for_a_client_that_sends_no_more_is_still_answered() {
    let (program, executor, _names, mut client) = bed();
    client.serve(1, &fields("alert-send", &id(1), LONG), b"");
    let mut line = executor.next();
    client.stream.shutdown(Shutdown::Write).expect("closed");
    until(&program, "requests_hung_up", 1);
    line.ok(b"all the same");
    assert_eq!(client.receive(), Some((1, Reply::Served(b"all the same".to_vec()))));
    assert_eq!(client.receive(), None);
}

/// Has the client ask on from this number, and take nothing of the long answers, until it is left to wait. Returns the
/// number of the first call that waits with it.
fn until_blocked(program: &Program, executors: &[Executor], client: &mut Client, from: i32) -> i32 {
    let mut other = Client::connect(program.address);
    let mut number = 0;
    for seq in from..1_000 {
        let before = program.counters();
        client.serve(seq, &fields("flow-read", &id(seq as u64), LONG), b"");
        // It is taken, or it waits: then much that another asks after it is answered first.
        let (began, mut answered) = (Instant::now(), 0);
        let taken = loop {
            let now = program.counters();
            if now["requests_taken"] > before["requests_taken"] {
                break true;
            }
            if now["clients_blocked"] > 0 && answered >= 20 {
                break false;
            }
            assert!(began.elapsed() < PATIENCE, "a call is neither taken nor left to wait");
            number += 1;
            answered += 1;
            has_read(&mut other, number);
        };
        if !taken {
            return seq;
        }
        first(executors).ok(&vec![7; 230_000]);
        until(program, "answers_served", before["answers_served"] + 1);
    }
    panic!("it is read from without end");
}

#[test]
fn a_client_that_takes_no_answers_may_still_take_back_a_request() {
    let (program, executors, _names, mut client) = bed_of_two();
    client.serve(1, &fields("flow-read", &id(1), LONG), b"");
    let mut open = first(&executors);
    let waits = until_blocked(&program, &executors, &mut client, 2);
    client.forget(waits + 1, 1);
    until(&program, "requests_forgotten", 1);
    busy(&mut open);
    let mut other = Client::connect(program.address);
    other.serve(1, &fields("flow-read", &id(9_999), LONG), b"");
    let mut line = first(&executors);
    assert_eq!(line.value["rid"], id(9_999), "the one that was taken back is not sent on");
    line.ok(b"");
    assert_eq!(other.receive(), Some((1, Reply::Served(vec![]))));
    // What it asked meanwhile is served once it takes answers, and nothing is lost.
    for seq in 2..waits {
        assert_eq!(client.receive(), Some((seq, Reply::Served(vec![7; 230_000]))));
    }
    first(&executors).ok(b"waited");
    assert_eq!(client.receive(), Some((waits, Reply::Served(b"waited".to_vec()))));
    assert_eq!(executors.iter().map(Executor::left).sum::<usize>(), 0);
}

#[test]
fn what_lies_behind_more_calls_than_may_wait_is_seen_though_the_client_takes_no_answers() {
    for way in ["forget", "close"] {
        let (program, executors, _names, mut client) = bed_of_two();
        client.serve(1, &fields("alert-send", &id(1), LONG), b"");
        let mut open = first(&executors);
        let waits = until_blocked(&program, &executors, &mut client, 2);
        // Far more than is kept for it, in calls that are as long as may be.
        let long = vec![7; 16 * 1024];
        let last = waits + 20;
        for seq in waits + 1..=last {
            client.serve(seq, &fields("flow-read", &id(seq as u64), LONG), &long);
        }
        if way == "forget" {
            client.forget(last + 1, 1);
            until(&program, "requests_forgotten", 1);
        } else {
            client.stream.shutdown(Shutdown::Write).expect("closed");
            until(&program, "requests_hung_up", 1);
        }
        busy(&mut open);
        let mut other = Client::connect(program.address);
        other.serve(1, &fields("flow-read", &id(9_999), LONG), b"");
        let mut line = first(&executors);
        assert_eq!(line.value["rid"], id(9_999), "{way}: the one whose client left is not sent on");
        line.ok(b"");
        assert_eq!(other.receive(), Some((1, Reply::Served(vec![]))));
        // Once it takes answers, it has one for each call: those that could not be kept were refused, none of them was run.
        let mut answered = std::collections::BTreeMap::new();
        let owed = last - i32::from(way == "forget");
        while answered.len() < owed as usize {
            if let Some(line) = &mut executors.iter().find_map(Executor::poll) {
                line.ok(b"waited");
            }
            let (seq, reply) = client.receive().expect("an answer");
            assert!(answered.insert(seq, reply).is_none(), "{way}: a second answer to {seq}");
        }
        let refused = answered.values().filter(|r| matches!(r, Reply::Refused(_))).count() as u64;
        let counters = program.counters();
        assert!(counters["requests_unkept"] > 0 && counters["requests_unkept"] <= refused, "{counters:?}");
        assert!((2..waits).all(|seq| answered[&seq] == Reply::Served(vec![7; 230_000])), "{way}");
    }
}

#[test]
fn a_call_that_waits_with_a_client_that_closed_goes_to_no_executor() {
    let (program, executors, _names, mut client) = bed_of_two();
    let waits = until_blocked(&program, &executors, &mut client, 1);
    // It sends no more, but takes its answers; then it has gone for good.
    client.stream.shutdown(Shutdown::Write).expect("closed");
    for seq in 1..waits {
        assert_eq!(client.receive(), Some((seq, Reply::Served(vec![7; 230_000]))));
    }
    assert!(matches!(client.receive(), Some((seq, Reply::Refused(_))) if seq == waits));
    assert_eq!(client.receive(), None);
    let sent = executors.iter().map(Executor::left).sum::<usize>();
    assert_eq!((sent, program.counters()["requests_deserted"]), (0, 1));
}

#[test]
fn a_number_that_was_taken_back_is_not_used_again() {
    let (program, executor, _names, mut client) = bed();
    client.serve(1, &fields("flow-read", &id(1), LONG), b"");
    let mut line = executor.next();
    client.forget(2, 1);
    client.serve(1, &fields("flow-read", &id(2), LONG), b"");
    assert!(matches!(client.receive(), Some((1, Reply::Exception(_)))));
    // An answer to the first that crosses all this goes nowhere.
    line.ok(b"late");
    has_read(&mut client, 3);
    assert_eq!((executor.left(), program.counters()["attempts_sent"]), (0, 1));
}

// ---- Executors ----

#[test]
fn a_second_answer_is_not_taken_for_that_of_a_second_attempt() {
    let (program, executor, _names, mut client) = bed();
    client.serve(1, &fields("alert-send", &id(1), LONG), b"");
    let mut one = executor.next();
    // It never ran, and says so twice; between the two the request has gone out again under its id.
    one.answer("MISS", json!({}), b"");
    let mut two = executor.next();
    one.answer("MISS", json!({}), b"");
    until(&program, "late_answers", 1);
    two.ok(b"once");
    assert_eq!(client.receive(), Some((1, Reply::Served(b"once".to_vec()))));
    assert_eq!((program.counters()["attempts_sent"], executor.left()), (2, 0));
}

#[test]
fn a_repeat_is_not_sent_after_its_keys_window_however_long_its_connection_takes() {
    let (one, names) = (Executor::start(), Names::start());
    let mut config = config(&[&one], &names);
    config["settings"]["limits"]["connect_timeout_us"] = json!(20_000_000);
    config["settings"]["lanes"][1]["repeat_window_us"] = json!(1_500_000);
    let program = Program::start(&config);
    let mut client = Client::connect(program.address);
    client.serve(1, &fields("level-log", &id(1), LONG), b"");
    let mut line = one.next();
    // It may have run; the only other executor is one to which no connection comes up.
    let (address, listener, fill) = hung();
    names.set(5, &[("s0", one.address, 1), ("s1", address, 0)]);
    until(&program, "lists_applied", 1);
    line.answer("ERR", json!({}), b"");
    until(&program, "ended_error", 1);
    let before = program.counters();
    assert_eq!(
        (before["attempts_sent"], before["attempts_withdrawn"]),
        (2, 0),
        "the repeat waits: {before:?}"
    );
    // Its time is far longer than the window; only then may there be room for it.
    until(&program, "attempts_withdrawn", 1);
    assert_eq!(program.counters()["ended_timeout"], 0, "the window ended it, not its time");
    // The key is good everywhere, so that the client may try again.
    assert!(matches!(client.receive(), Some((1, Reply::Refused(_)))));
    client.serve(2, &fields("flow-read", &id(2), LONG), b"");
    has_read(&mut client, 3);
    let line = next_line(&mut comes_up(&listener, fill));
    assert!(line.contains(&id(2)), "{line}");
}

#[test]
fn a_repeat_is_not_sent_after_its_keys_window_though_its_connection_came_up_while_the_process_stood_still() {
    const WINDOW: Duration = Duration::from_millis(1_500);
    let (one, names) = (Executor::start(), Names::start());
    let mut config = config(&[&one], &names);
    config["settings"]["limits"]["connect_timeout_us"] = json!(20_000_000);
    config["settings"]["lanes"][1]["repeat_window_us"] = json!(WINDOW.as_micros() as u64);
    let program = Program::start(&config);
    let mut client = Client::connect(program.address);
    client.serve(1, &fields("level-log", &id(1), LONG), b"");
    let began = Instant::now();
    let mut line = one.next();
    let (address, listener, fill) = hung();
    names.set(5, &[("s0", one.address, 1), ("s1", address, 0)]);
    until(&program, "lists_applied", 1);
    line.answer("ERR", json!({}), b"");
    until(&program, "ended_error", 1);
    assert_eq!(program.counters()["attempts_sent"], 2, "the repeat waits for its connection");
    program.stand_still();
    drop(fill);
    let waiting = accept_silent(&listener);
    std::thread::sleep((WINDOW + Duration::from_millis(100)).saturating_sub(began.elapsed()));
    program.go_on();
    // The key is good everywhere, so that the client may try again.
    assert!(matches!(client.receive(), Some((1, Reply::Refused(_)))));
    assert_eq!(program.counters()["attempts_withdrawn"], 1);
    waiting.set_nonblocking(true).expect("a stream that does not wait");
    let came = (&waiting).read(&mut [0; 1024]);
    assert!(!matches!(came, Ok(bytes) if bytes > 0), "it was sent after its window");
}

#[test]
fn a_request_that_comes_with_the_close_of_an_idle_connection_goes_out_on_another() {
    // Whichever of the two the system tells of first.
    for close_first in [false, true] {
        let (executor, names) = (TcpListener::bind("127.0.0.1:0").expect("a listener"), Names::start());
        let address = executor.local_addr().expect("an address");
        let program = Program::start(&config_at(&[address], &names));
        let mut client = Client::connect(program.address);
        client.serve(1, &fields("flow-read", &id(1), LONG), b"");
        let (mut stream, _) = executor.accept().expect("a connection");
        next_line(&mut BufReader::new(&stream));
        let ok = |n: u64| format!("{}\n", json!({"verb": "OK", "rid": id(n), "content": "AA=="}));
        stream.write_all(ok(1).as_bytes()).expect("sent");
        assert_eq!(client.receive(), Some((1, Reply::Served(vec![0]))));
        program.stand_still();
        // An alert is never sent a second time: on the connection that closes it would be lost.
        let asked = fields("alert-send", &id(2), LONG);
        if close_first {
            drop(stream);
            client.serve(2, &asked, b"");
        } else {
            client.serve(2, &asked, b"");
            drop(stream);
        }
        program.go_on();
        until(&program, "executor_connects", 2);
        let (mut stream, _) = executor.accept().expect("another connection");
        let line = next_line(&mut BufReader::new(&stream));
        assert!(line.contains(&id(2)), "{line}");
        stream.write_all(ok(2).as_bytes()).expect("sent");
        assert_eq!(client.receive(), Some((2, Reply::Served(vec![0]))));
    }
}

#[test]
fn an_answer_that_comes_with_its_connections_close_counts() {
    let (program, executor, _names, mut client) = bed();
    client.serve(1, &fields("alert-send", &id(1), LONG), b"");
    client.serve(2, &fields("alert-send", &id(2), LONG), b"");
    let (mut one, mut two) = (executor.next(), executor.next());
    program.stand_still();
    one.ok(b"before the close");
    let _ = one.connection.shutdown(Shutdown::Both);
    let _ = two.connection.shutdown(Shutdown::Both);
    program.go_on();
    let mut got = [client.receive().expect("an answer"), client.receive().expect("an answer")];
    got.sort_by_key(|(seq, _)| *seq);
    let seq = if one.value["rid"] == id(1) { 0 } else { 1 };
    assert_eq!(got[seq].1, Reply::Served(b"before the close".to_vec()));
    assert_eq!(got[1 - seq].1, Reply::Failed, "it may have run, and is not sent again");
    assert_eq!(executor.left(), 0);
    assert!(!two.try_answer("OK", json!({}), b"") || program.counters()["answers_served"] == 1);
}

// ---- The name service ----

#[test]
fn a_path_to_the_name_service_that_falls_silent_is_given_up_for_another() {
    let (old, new, names) = (Executor::start(), Executor::start(), Names::start());
    let program = Program::start(&config(&[&old], &names));
    until_counted(&program, "dns_answers", "the name service is never heard");
    names.fall_silent();
    names.set(5, &[("s0", old.address, 1), ("s9", new.address, 0)]);
    until(&program, "lists_applied", 1);
    let mut client = Client::connect(program.address);
    client.serve(1, &fields("flow-read", &id(1), LONG), b"");
    new.next().ok(b"new");
    assert_eq!(client.receive(), Some((1, Reply::Served(b"new".to_vec()))));
    assert!(program.counters()["dns_reopened"] >= 1);
}

#[test]
fn a_drain_that_is_told_beside_an_answer_is_known_before_the_request_goes_on() {
    let (executors, names) = ([Executor::start(), Executor::start()], Names::start());
    let (a, b) = (executors[0].address, executors[1].address);
    let program = Program::start(&config(&[&executors[0], &executors[1]], &names));
    until_counted(&program, "dns_answers", "the name service is never heard");
    let mut client = Client::connect(program.address);
    client.serve(1, &fields("flow-read", &id(1), LONG), b"");
    let mut line = first(&executors);
    has_read(&mut client, 2);
    // Both drain from here on: told in an answer that the program has been sent before it goes on.
    program.stand_still();
    busy(&mut line);
    names.set(5, &[("s0", a, 1), ("s1", b, 1)]);
    program.go_on();
    // Whichever was read first, the request is answered, and nothing goes out once the list is applied.
    assert!(client.receive().is_some());
    until(&program, "lists_applied", 1);
    let sent = program.counters()["attempts_sent"];
    client.serve(3, &fields("flow-read", &id(3), LONG), b"");
    assert!(matches!(client.receive(), Some((3, Reply::Refused(_)))));
    assert_eq!(program.counters()["attempts_sent"], sent);
}

#[test]
fn a_new_configuration_is_read_and_discovery_moves_while_idle_clients_hold_all_descriptors() {
    let (old, new, names, next) = (Executor::start(), Executor::start(), Names::start(), Names::start());
    let mut config = config(&[&old], &names);
    // The system gives fewer than the program needs for all its parts.
    let program = Program::limited(24, &config);
    // Far more than there is room for: some wait in the system's queue all the while, each place is taken again at once.
    let clients: Vec<Client> = (0..100).map(|_| Client::connect(program.address)).collect();
    until(&program, "accepts_paused", 3);
    next.set(5, &[("s9", new.address, 0)]);
    config["names"] = json!(next.address.to_string());
    std::fs::write(&program.path, config.to_string()).expect("written");
    program.signal(rustix::process::Signal::HUP);
    assert_eq!(program.line(), "ochreward: the new configuration is in use");
    until(&program, "lists_applied", 1);
    let counters = program.counters();
    assert_eq!((counters["reloads"], counters["reloads_refused"]), (1, 0));
    drop(clients);
    let mut client = Client::connect(program.address);
    client.serve(1, &fields("flow-read", &id(1), LONG), b"");
    new.next().ok(b"new");
    assert_eq!(client.receive(), Some((1, Reply::Served(b"new".to_vec()))));
}

#[test]
fn a_system_that_gives_fewer_descriptors_than_the_settings_say_leaves_some_for_executors() {
    let (executors, names) = ([(); 8].map(|()| Executor::start()), Names::start());
    // The settings say 1,024.
    let program = Program::limited(48, &config(&executors.each_ref(), &names));
    let clients: Vec<Client> = (0..100).map(|_| Client::connect(program.address)).collect();
    until(&program, "accepts_paused", 3);
    let mut client = Client::connect(program.address);
    for seq in 1..=8 {
        client.serve(seq, &fields("alert-send", &id(seq as u64), LONG), b"");
    }
    // Each goes to an executor of its own, and needs a connection of its own.
    let mut lines: Vec<Line> = (0..8).map(|_| first(&executors)).collect();
    lines.iter_mut().for_each(|line| line.ok(b"served"));
    for _ in 1..=8 {
        assert!(matches!(client.receive(), Some((_, Reply::Served(_)))));
    }
    assert_eq!(program.counters()["executor_connects_failed"], 0);
    drop(clients);
}

#[test]
fn idle_clients_fill_the_descriptors_while_discovery_is_down_and_all_else_goes_on() {
    // The smallest limit that the platform may set, told and enforced.
    let (executor, names) = (Executor::start(), Names::start());
    let mut config = config(&[&executor], &names);
    config["limits"]["sockets"] = json!(32);
    let program = Program::limited(32, &config);
    until_counted(&program, "dns_answers", "the name service is never heard");
    names.fall_silent();
    let mut idle: Vec<Client> = (0..40).map(|_| Client::connect(program.address)).collect();
    idle.iter_mut().for_each(|c| drop(c.stream.write_all(&call(1, "isWell", 1, &[2, 0, 1, 1, 0]))));
    // New clients are served, a connection to the executor comes up, and the name service is found again.
    for n in 1..=20 {
        let mut client = Client::connect(program.address);
        client.serve(1, &fields("alert-send", &id(n), LONG), b"");
        executor.next().ok(b"served");
        assert_eq!(client.receive(), Some((1, Reply::Served(b"served".to_vec()))));
    }
    names.set(5, &[("s0", executor.address, 0)]);
    until(&program, "lists_applied", 1);
    let counters = program.counters();
    assert_eq!((counters["executor_connects_failed"], counters["answers_failed"]), (0, 0), "{counters:?}");
}

// ---- Standing still ----

#[test]
fn an_idle_connection_whose_request_was_not_read_yet_is_not_closed_for_another() {
    let (executors, names) = ([(); 4].map(|()| Executor::start()), Names::start());
    let mut config = config(&executors.each_ref(), &names);
    config["limits"]["sockets"] = json!(32);
    let program = Program::start(&config);
    // Eight clients have all places, and have been answered.
    let mut clients: Vec<Client> = (0..8).map(|_| Client::connect(program.address)).collect();
    clients.iter_mut().for_each(|client| has_read(client, 1));
    program.stand_still();
    // In one turn: another client connects, and behind that each of the eight asks. All have been idle long enough.
    let began = Instant::now();
    let mut ninth = Client::connect(program.address);
    ninth.serve(1, &fields("alert-send", &id(9), LONG), b"");
    for (n, client) in (1..).zip(&mut clients) {
        client.serve(2, &fields("alert-send", &id(n), LONG), b"");
    }
    while began.elapsed() < Duration::from_millis(200) {
        std::thread::yield_now();
    }
    program.go_on();
    for _ in 0..8 {
        first(&executors).ok(b"served");
    }
    for client in &mut clients {
        assert_eq!(client.receive(), Some((2, Reply::Served(b"served".to_vec()))));
    }
    first(&executors).ok(b"later");
    assert_eq!(ninth.receive(), Some((1, Reply::Served(b"later".to_vec()))));
}

#[test]
fn a_second_attempt_that_falls_due_while_the_process_stands_still_is_not_begun_for_one_that_left_meanwhile() {
    let names = Names::start();
    let begun = ["stays", "forget", "half-close", "close"].map(|way| {
        let executors = [Executor::start(), Executor::start()];
        let mut config = config(&[&executors[0], &executors[1]], &names);
        // Before any answer a run is taken for a quarter of this, and the second look comes after five runs: 3 s.
        config["settings"]["lanes"][0]["promise_us"] = json!(2_400_000);
        let program = Program::start(&config);
        let mut client = Client::connect(program.address);
        let mut asked = fields("flow-read", &id(1), LONG);
        asked.insert("info".to_string(), "memory_mb:512;lanes:2;load_ms:1".to_string());
        client.serve(1, &asked, b"");
        let held = first(&executors);
        has_read(&mut client, 2);
        program.stand_still();
        match way {
            "forget" => client.forget(3, 1),
            "half-close" => client.stream.shutdown(Shutdown::Write).expect("closed"),
            "close" => client.stream.shutdown(Shutdown::Both).expect("closed"),
            _ => {}
        }
        (way, executors, program, client, held, Instant::now())
    });
    for (way, executors, program, _client, _held, began) in begun {
        // The look falls due by the clock, while the process stands still.
        while began.elapsed() < Duration::from_millis(3_500) {
            std::thread::yield_now();
        }
        assert_eq!(executors.iter().map(Executor::left).sum::<usize>(), 0, "{way}: it was not due before");
        program.go_on();
        if way == "stays" {
            assert_eq!(first(&executors).value["rid"], id(1), "it was due: the request goes to another");
            continue;
        }
        until(&program, if way == "forget" { "requests_forgotten" } else { "requests_hung_up" }, 1);
        let mut other = Client::connect(program.address);
        has_read(&mut other, 1);
        assert_eq!(program.counters()["attempts_sent"], 1, "{way}");
        assert_eq!(executors.iter().map(Executor::left).sum::<usize>(), 0, "{way}");
    }
}

#[test]
fn a_turn_sees_all_that_is_ready_however_many_that_are() {
    let (executors, names) = ([Executor::start(), Executor::start()], Names::start());
    let program = Program::start(&config(&[&executors[0], &executors[1]], &names));
    let mut crowd: Vec<Client> = (0..560).map(|_| Client::connect(program.address)).collect();
    crowd.iter_mut().for_each(|client| has_read(client, 1));
    let mut leaver = Client::connect(program.address);
    leaver.serve(1, &fields("flow-read", &id(1), LONG), b"");
    let mut line = first(&executors);
    has_read(&mut leaver, 2);
    // In one turn: hundreds say something, then the executor turns the request away, hundreds more say something, and only
    // then its client leaves.
    program.stand_still();
    let (before, after) = crowd.split_at_mut(300);
    before.iter_mut().for_each(|client| client.other("isWell", 2));
    busy(&mut line);
    after.iter_mut().for_each(|client| client.other("isWell", 2));
    leaver.forget(3, 1);
    program.go_on();
    crowd.iter_mut().for_each(|client| assert_eq!(client.receive(), Some((2, Reply::Well(true)))));
    until(&program, "requests_forgotten", 1);
    has_read(&mut leaver, 4);
    assert_eq!(program.counters()["attempts_sent"], 1);
    assert_eq!(executors.iter().map(Executor::left).sum::<usize>(), 0);
    assert_eq!(program.counters()["clients_evicted"], 0);
}

#[test]
fn what_came_while_the_process_stood_still_has_that_much_less_time() {
    let (program, executor, _names, mut client) = bed();
    has_read(&mut client, 1);
    program.stand_still();
    let sent = Instant::now();
    client.serve(2, &fields("flow-read", &id(1), 10_000), b"");
    while sent.elapsed() < Duration::from_millis(700) {
        std::thread::yield_now();
    }
    let stood = sent.elapsed().as_millis() as u64;
    program.go_on();
    let line = executor.next();
    let wait = line.value["attrs"]["w"].as_u64().expect("a time to wait");
    assert!(wait <= 10_000 - stood, "{wait} ms after {stood} ms");
}

// ---- Signals ----

#[test]
fn a_connection_that_waits_to_be_accepted_at_the_stop_is_served() {
    let (executors, names) = ([(); 4].map(|()| Executor::start()), Names::start());
    let mut config = config(&executors.each_ref(), &names);
    config["limits"]["sockets"] = json!(32);
    let mut program = Program::start(&config);
    // Eight clients fill all places, each with a request open; the ninth waits in the system's queue.
    let mut clients: Vec<Client> = (0..9).map(|_| Client::connect(program.address)).collect();
    for (n, client) in (1..).zip(&mut clients) {
        client.serve(1, &fields("alert-send", &id(n), LONG), b"");
    }
    let mut lines: Vec<Line> = (0..8).map(|_| first(&executors)).collect();
    until(&program, "accepts_paused", 1);
    program.signal(rustix::process::Signal::TERM);
    // The stop goes through its steps by time; answers come only after the listener would have closed.
    let began = Instant::now();
    while began.elapsed() < Duration::from_millis(1_200) {
        assert_eq!(program.counters()["answers_served"], 0);
    }
    lines.iter_mut().for_each(|line| line.ok(b"held"));
    let mut ninth = clients.pop().expect("a client");
    for mut client in clients {
        assert_eq!(client.receive(), Some((1, Reply::Served(b"held".to_vec()))));
    }
    first(&executors).ok(b"waited");
    assert_eq!(ninth.receive(), Some((1, Reply::Served(b"waited".to_vec()))));
    assert_eq!(program.child.wait().expect("an end").code(), Some(0));
}

#[test]
fn a_stop_before_the_program_is_ready_ends_well_and_answers_who_has_asked() {
    // Nobody has told it a list, and the name service says nothing: it listens, and is not ready.
    let names = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let mut config = config_at(&[], &Names::start());
    config["names"] = json!(names.local_addr().expect("an address").to_string());
    config.as_object_mut().expect("a configuration").remove("known");
    config["ops"] = json!("127.0.0.1:0");
    let mut program = Program::start(&config);
    assert_eq!(program.call("GET", "/_ready"), 503);
    let mut client = Client::connect(program.address);
    client.serve(1, &fields("alert-send", &id(1), LONG), b"");
    program.signal(rustix::process::Signal::TERM);
    assert!(matches!(client.receive(), Some((1, Reply::Refused(_)))));
    assert_eq!(client.receive(), None, "its connection is ended, not reset");
    assert_eq!(program.child.wait().expect("an end").code(), Some(0));
}

#[test]
fn a_reload_and_two_stops_in_one_turn_lose_nothing() {
    let (mut program, executor, _names, mut client) = bed();
    client.serve(1, &fields("alert-send", &id(1), LONG), b"");
    let mut held = executor.next();
    program.stand_still();
    for signal in [rustix::process::Signal::TERM, rustix::process::Signal::HUP, rustix::process::Signal::TERM]
    {
        program.signal(signal);
    }
    // And a request that is half there, and one whose connection waits to be accepted.
    let whole = message(2, &fields("flow-read", &id(2), LONG), b"in two pieces");
    client.stream.write_all(&whole[..whole.len() / 2]).expect("sent");
    let mut late = Client::connect(program.address);
    late.serve(1, &fields("flow-read", &id(3), LONG), b"");
    program.go_on();
    assert_eq!(program.line(), "ochreward: the new configuration is in use");
    let mut third = executor.next();
    assert_eq!(third.value["rid"], id(3));
    third.ok(b"late");
    assert_eq!(late.receive(), Some((1, Reply::Served(b"late".to_vec()))));
    client.stream.write_all(&whole[whole.len() / 2..]).expect("sent");
    executor.next().ok(b"pieces");
    assert_eq!(client.receive(), Some((2, Reply::Served(b"pieces".to_vec()))));
    held.ok(b"held");
    assert_eq!(client.receive(), Some((1, Reply::Served(b"held".to_vec()))));
    assert_eq!(client.receive(), None);
    assert_eq!(program.child.wait().expect("an end").code(), Some(0));
}

#[test]
fn long_answers_that_their_client_takes_late_are_whole_after_the_stop() {
    let (mut program, executors, _names, mut client) = bed_of_two();
    let waits = until_blocked(&program, &executors, &mut client, 1);
    program.signal(rustix::process::Signal::TERM);
    // More than the system holds is still with the program, which waits for the client, and serves what waits with it.
    for seq in 1..waits {
        assert_eq!(client.receive(), Some((seq, Reply::Served(vec![7; 230_000]))));
    }
    first(&executors).ok(b"waited");
    assert_eq!(client.receive(), Some((waits, Reply::Served(b"waited".to_vec()))));
    assert_eq!(client.receive(), None);
    assert_eq!(program.child.wait().expect("an end").code(), Some(0));
}

#[test]
fn the_shipped_example_serves_calls_and_a_stop_under_load_loses_none() {
    // deploy/example.json, as the README starts it, at addresses of the test's own.
    let (executor, names) = (Executor::start(), Names::start());
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/example.json");
    let text = std::fs::read_to_string(example).expect("the example");
    let mut config: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    config["listen"] = json!("127.0.0.1:0");
    config["ops"] = json!("127.0.0.1:0");
    config["names"] = json!(names.address.to_string());
    config["known"]["batch"][0]["topology"]["instances"][0]["hostPort"] = json!(executor.address.to_string());
    let mut program = Program::start(&config);
    program.until_ready();
    let mut client = Client::connect(program.address);
    client.serve(1, &fields("flow-read", &id(u64::MAX), 1_500), b"");
    executor.next().ok(b"served");
    assert_eq!(client.receive(), Some((1, Reply::Served(b"served".to_vec()))));
    drop(client);
    let address = program.address;
    std::thread::spawn(move || {
        while let Some(mut line) = executor.line() {
            if line.verb() == "go" && !line.try_answer("OK", json!({"note": "up"}), b"") {
                break;
            }
        }
    });
    // Eight clients ask one call after the other, until their connection ends between two calls. A call that crosses the
    // end would be sent anew, on a new connection, and find that the listener has gone.
    let mut loads = Vec::new();
    for n in 0..8u64 {
        loads.push(std::thread::spawn(move || {
            let mut client = Client::connect(address);
            for seq in 1.. {
                let fields = fields("alert-send", &id(n << 32 | seq as u64), 1_500);
                let sent = client.try_serve(seq, &fields, b"");
                match sent.ok().and_then(|()| client.receive()) {
                    Some((got, Reply::Served(_) | Reply::Refused(_))) => assert_eq!(got, seq, "client {n}"),
                    Some((_, other)) => panic!("client {n}, call {seq}: {other:?}"),
                    None => return seq as u64 - 1,
                }
            }
            0
        }));
    }
    until(&program, "answers_served", 400);
    program.signal(rustix::process::Signal::TERM);
    let answered: u64 = loads.into_iter().map(|l| l.join().expect("a client")).sum();
    let last = program.line();
    assert_eq!(program.child.wait().expect("an end").code(), Some(0));
    let count = |name: &str| -> u64 {
        let pair = last.split(' ').find_map(|p| p.strip_prefix(&format!("{name}=")));
        pair.and_then(|v| v.parse().ok()).unwrap_or_else(|| panic!("no {name}: {last}"))
    };
    // What was taken was answered, once each, and the clients have had all of it.
    assert_eq!((count("requests_taken"), count("answers_lost")), (answered + 1, 0), "{last}");
    assert_eq!(count("answers_served") + count("answers_refused"), answered + 1, "{last}");
}

// ---- Settings that leave things out ----

#[test]
fn whatever_the_settings_leave_out_a_request_gets_its_one_answer() {
    type Change = fn(&mut serde_json::Value);
    let changes: [(&str, Change); 8] = [
        ("no zones", |c| c["settings"]["zones"] = json!([])),
        ("one class, and no key", |c| {
            let lanes = c["settings"]["lanes"].as_array_mut().expect("classes");
            lanes.truncate(1);
        }),
        ("no tenants", |c| drop(c["settings"].as_object_mut().expect("settings").remove("orgs"))),
        ("no rules, no figures of the family", |c| {
            let settings = c["settings"].as_object_mut().expect("settings");
            settings.remove("rules");
            settings.remove("family_info");
        }),
        ("a long deadline", |c| c["settings"]["lanes"][0]["deadline_us"] = json!(600_000_000)),
        ("a window shorter than an attempt", |c| c["settings"]["lanes"][1]["repeat_window_us"] = json!(1)),
        ("no window", |c| {
            drop(c["settings"]["lanes"][1].as_object_mut().expect("a class").remove("repeat_window_us"))
        }),
        ("the smallest limits", |c| c["limits"] = json!({"cores": 0.1, "memory_mb": 16, "sockets": 32})),
    ];
    for (what, change) in changes {
        let (executor, names) = (Executor::start(), Names::start());
        let mut config = config(&[&executor], &names);
        change(&mut config);
        let keyed = config["settings"]["lanes"].as_array().is_some_and(|l| l.len() > 1);
        let program = Program::start(&config);
        let mut client = Client::connect(program.address);
        let mut asked = fields("flow-read", &id(1), 2_000);
        if what == "no tenants" {
            asked.remove("org");
        }
        client.serve(1, &asked, b"");
        executor.next().ok(b"served");
        assert_eq!(client.receive(), Some((1, Reply::Served(b"served".to_vec()))), "{what}");
        if keyed {
            // It may have run: inside its window it is sent again, else it has its one answer unserved.
            let mut asked = fields("level-log", &id(2), 2_000);
            if what == "no tenants" {
                asked.remove("org");
            }
            client.serve(2, &asked, b"");
            executor.next().answer("ERR", json!({}), b"");
            let short = what.contains("window");
            if !short {
                executor.next().ok(b"again");
            }
            let (seq, reply) = client.receive().expect("an answer");
            assert_eq!((seq, reply == Reply::Served(b"again".to_vec())), (2, !short), "{what}");
        }
        assert_eq!(executor.left(), 0, "{what}");
        let (code, counters) = program.end();
        assert_eq!((code, counters["answers_lost"]), (Some(0), 0), "{what}");
    }
}
