//! Races, each forced: events that coincide with a client's departure, an executor's answer or close, a signal, or a name
//! service outage. Where several events must fall into one turn of the event loop, the program is paused while they are
//! prepared. docs/design/rare-moments.md lists the cases.

use crate::stand::{
    Client, Executor, Line, Names, PATIENCE, Program, Reply, call, config, config_at, fields, message,
    until_counted,
};
use crate::{accept_silent, hung, id};
use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

const LONG_TTL_MS: u64 = 20_000;

/// Starts a dispatcher with one executor, and connects a client.
fn fixture() -> (Program, Executor, Names, Client) {
    let (executor, names) = (Executor::start(), Names::start());
    let program = Program::start(&config(&[&executor], &names));
    let client = Client::connect(program.address);
    (program, executor, names, client)
}

/// Does the same with two executors.
fn fixture_with_two_executors() -> (Program, [Executor; 2], Names, Client) {
    let (executors, names) = ([Executor::start(), Executor::start()], Names::start());
    let program = Program::start(&config(&executors.each_ref(), &names));
    let client = Client::connect(program.address);
    (program, executors, names, client)
}

/// Starts a dispatcher whose only executor has a full accept queue, so that connections are established only once the queue
/// is drained, and connects a client.
fn fixture_with_full_accept_queue() -> (Program, TcpListener, Vec<TcpStream>, Client) {
    let (address, listener, fill) = hung();
    let mut config = config_at(&[address], &Names::start());
    config["settings"]["limits"]["connect_timeout_us"] = json!(20_000_000);
    let program = Program::start(&config);
    let client = Client::connect(program.address);
    (program, listener, fill, client)
}

/// Drains the accept queue and returns a reader of the first connection that sends data, of which there must be one.
fn accept_first_speaker(listener: &TcpListener, fill: Vec<TcpStream>) -> BufReader<TcpStream> {
    drop(fill);
    let sends_data = |stream: TcpStream| {
        let mut reader = BufReader::new(stream);
        matches!(reader.fill_buf(), Ok(bytes) if !bytes.is_empty()).then_some(reader)
    };
    listener.incoming().map_while(Result::ok).find_map(sends_data).expect("a connection that sends data")
}

fn next_line(reader: &mut impl BufRead) -> String {
    let mut line = String::new();
    reader.read_line(&mut line).expect("a line");
    line
}

/// Has a health check answered, so that everything sent before it on this connection has been read.
fn assert_has_read(client: &mut Client, seq: i32) {
    client.other("isWell", seq);
    assert_eq!(client.receive(), Some((seq, Reply::Well(true))));
}

fn wait_for_counter(program: &Program, name: &str, value: u64) {
    let began = Instant::now();
    while program.counters()[name] < value {
        assert!(began.elapsed() < PATIENCE, "{name} never reached {value}: {:?}", program.counters());
    }
}

/// The platform's tolerance for a stated waiting time beyond the time that the client has left.
const WAIT_SLACK_MS: u64 = 150;

fn answer_busy(line: &mut Line) {
    line.answer("BUSY", json!({}), b"");
}

// ---- Clients that leave ----

#[test]
fn an_attempt_waiting_for_its_connection_is_not_sent_after_its_client_cancels() {
    // The first call of a function starts a load, which the module lets finish when the client leaves. An attempt that was
    // not sent yet has started none and must be withdrawn.
    let (program, listener, fill, mut client) = fixture_with_full_accept_queue();
    client.serve(1, &fields("flow-read", &id(1), LONG_TTL_MS), b"");
    assert_has_read(&mut client, 2);
    client.forget(3, 1);
    assert_has_read(&mut client, 4);
    client.serve(5, &fields("flow-read", &id(2), LONG_TTL_MS), b"");
    assert_has_read(&mut client, 6);
    let line = next_line(&mut accept_first_speaker(&listener, fill));
    assert!(line.contains(&id(2)), "the first line is that of the second request: {line}");
    assert_eq!(program.counters()["attempts_withdrawn"], 1);
}

#[test]
fn an_attempt_waiting_for_its_connection_is_not_sent_after_its_client_closes() {
    for how in [Shutdown::Both, Shutdown::Write] {
        let (program, listener, fill, mut client) = fixture_with_full_accept_queue();
        client.serve(1, &fields("flow-read", &id(1), LONG_TTL_MS), b"");
        assert_has_read(&mut client, 2);
        client.stream.shutdown(how).expect("closed");
        if how == Shutdown::Write {
            // A half-closed client can still read: it gets a refusal, since nothing ran.
            assert!(matches!(client.receive(), Some((1, Reply::Refused(_)))));
            assert_eq!(client.receive(), None);
        }
        wait_for_counter(&program, "attempts_withdrawn", 1);
        let mut other = Client::connect(program.address);
        other.serve(1, &fields("flow-read", &id(2), LONG_TTL_MS), b"");
        assert_has_read(&mut other, 2);
        let line = next_line(&mut accept_first_speaker(&listener, fill));
        assert!(line.contains(&id(2)), "{how:?}: {line}");
    }
}

#[test]
fn a_line_delayed_by_its_connection_states_the_remaining_time() {
    let (_program, listener, fill, mut client) = fixture_with_full_accept_queue();
    client.serve(1, &fields("flow-read", &id(1), 5_000), b"one");
    let asked = Instant::now();
    client.serve(2, &fields("level-log", &id(2), 4_000), b"two");
    assert_has_read(&mut client, 3);
    std::thread::sleep(Duration::from_millis(700));
    let spent = asked.elapsed().as_millis() as u64;
    let mut lines = accept_first_speaker(&listener, fill);
    for (ttl, body) in [(5_000, "b25l"), (4_000, "dHdv")] {
        let line: serde_json::Value = serde_json::from_str(&next_line(&mut lines)).expect("a line of JSON");
        let wait = line["attrs"]["w"].as_u64().expect("a time to wait");
        assert!(wait <= ttl - spent + WAIT_SLACK_MS, "{wait} ms of {ttl} after {spent} ms: {line}");
        assert!(wait > 0 && line["content"] == body, "the rest of the line is unchanged: {line}");
    }
}

#[test]
fn a_client_that_violates_the_protocol_gets_its_pending_answers_before_the_close() {
    let (program, executor, _names, _other) = fixture();
    // Malformed bytes behind a request in one write on a new connection, and repeated violations behind requests in flight.
    let malformed = [vec![0x00, 0x00, 0x00, 0x04], b"ruin".to_vec()].concat();
    let violations =
        (0..20).flat_map(|_| message(1, &fields("flow-read", &id(9), LONG_TTL_MS), b"")).collect();
    for (n, violation) in [(1, malformed), (2, violations)] {
        let mut client = Client::connect(program.address);
        let asked = message(1, &fields("flow-read", &id(n), LONG_TTL_MS), b"");
        let violation: Vec<u8> = violation;
        if n == 1 {
            client.stream.write_all(&[asked, violation].concat()).expect("sent");
        } else {
            client.stream.write_all(&asked).expect("sent");
            executor.next();
            // Sequence numbers that repeatedly go backwards.
            client
                .stream
                .write_all(&message(5, &fields("flow-read", &id(3), LONG_TTL_MS), b""))
                .expect("sent");
            executor.next();
            client.stream.write_all(&violation).expect("sent");
        }
        let mut finals: Vec<i32> = Vec::new();
        while let Some((seq, reply)) = client.receive() {
            if matches!(reply, Reply::Failed | Reply::Refused(_)) {
                finals.push(seq);
            }
        }
        let expected = if n == 1 { vec![1] } else { vec![1, 5] };
        assert_eq!(
            finals, expected,
            "each request that was read gets one final answer before the connection ends"
        );
    }
    assert_eq!(program.counters()["clients_malformed"], 2);
}

#[test]
fn a_call_read_after_its_client_left_reaches_no_executor() {
    let (program, executor, _names, mut other) = fixture();
    assert_has_read(&mut other, 1);
    program.stand_still();
    // One client closes and one half-closes, both before their calls are read.
    let mut gone = Client::connect(program.address);
    gone.serve(1, &fields("flow-read", &id(1), LONG_TTL_MS), b"");
    drop(gone);
    let mut half = Client::connect(program.address);
    half.serve(1, &fields("alert-send", &id(2), LONG_TTL_MS), b"");
    half.stream.shutdown(Shutdown::Write).expect("closed");
    program.go_on();
    assert!(matches!(half.receive(), Some((1, Reply::Refused(_)))));
    wait_for_counter(&program, "requests_deserted", 2);
    assert_has_read(&mut other, 2);
    assert_eq!((program.counters()["attempts_sent"], executor.left()), (0, 0));
}

#[test]
fn a_refused_request_is_not_resent_when_its_client_left_in_the_same_turn() {
    // In one turn of the loop the executor refuses the request, and after that the client leaves in one of three ways.
    for way in ["forget", "close", "reset"] {
        let (program, executors, _names, mut client) = fixture_with_two_executors();
        client.serve(1, &fields("flow-read", &id(1), LONG_TTL_MS), b"");
        let mut line = next_request(&executors);
        assert_has_read(&mut client, 2);
        program.stand_still();
        answer_busy(&mut line);
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
        wait_for_counter(&program, "ended_full", if way == "close" { 1 } else { 0 });
        let gone = if way == "close" { "requests_hung_up" } else { "requests_forgotten" };
        wait_for_counter(&program, gone, 1);
        let mut other = Client::connect(program.address);
        assert_has_read(&mut other, 1);
        assert_eq!(program.counters()["attempts_sent"], 1, "{way}");
        assert_eq!(executors.iter().map(Executor::left).sum::<usize>(), 0, "{way}");
    }
}

/// Returns the next request at any of the executors.
fn next_request(executors: &[Executor]) -> Line {
    let began = Instant::now();
    loop {
        if let Some(line) = executors.iter().find_map(Executor::poll) {
            return line;
        }
        assert!(began.elapsed() < PATIENCE, "no request arrives");
    }
}

#[test]
fn a_running_request_of_a_half_closed_client_is_still_answered() {
    let (program, executor, _names, mut client) = fixture();
    client.serve(1, &fields("alert-send", &id(1), LONG_TTL_MS), b"");
    let mut line = executor.next();
    client.stream.shutdown(Shutdown::Write).expect("closed");
    wait_for_counter(&program, "requests_hung_up", 1);
    line.ok(b"all the same");
    assert_eq!(client.receive(), Some((1, Reply::Served(b"all the same".to_vec()))));
    assert_eq!(client.receive(), None);
}

/// Sends calls from this sequence number on without reading the long answers, until the program blocks the client. Returns
/// the number of the first call that waits.
fn send_until_blocked(program: &Program, executors: &[Executor], client: &mut Client, from: i32) -> i32 {
    let mut other = Client::connect(program.address);
    let mut number = 0;
    for seq in from..1_000 {
        let before = program.counters();
        client.serve(seq, &fields("flow-read", &id(seq as u64), LONG_TTL_MS), b"");
        // The call is taken, or it waits: then 20 later calls of another client are answered first.
        let (began, mut answered) = (Instant::now(), 0);
        let taken = loop {
            let now = program.counters();
            if now["requests_taken"] > before["requests_taken"] {
                break true;
            }
            if now["clients_blocked"] > 0 && answered >= 20 {
                break false;
            }
            assert!(began.elapsed() < PATIENCE, "a call is neither taken nor blocked");
            number += 1;
            answered += 1;
            assert_has_read(&mut other, number);
        };
        if !taken {
            return seq;
        }
        next_request(executors).ok(&vec![7; 230_000]);
        wait_for_counter(program, "answers_served", before["answers_served"] + 1);
    }
    panic!("the client is never blocked");
}

#[test]
fn a_client_that_reads_no_answers_can_still_cancel_a_request() {
    let (program, executors, _names, mut client) = fixture_with_two_executors();
    client.serve(1, &fields("flow-read", &id(1), LONG_TTL_MS), b"");
    let mut open = next_request(&executors);
    let waits = send_until_blocked(&program, &executors, &mut client, 2);
    client.forget(waits + 1, 1);
    wait_for_counter(&program, "requests_forgotten", 1);
    answer_busy(&mut open);
    let mut other = Client::connect(program.address);
    other.serve(1, &fields("flow-read", &id(9_999), LONG_TTL_MS), b"");
    let mut line = next_request(&executors);
    assert_eq!(line.value["rid"], id(9_999), "the cancelled request is not resent");
    line.ok(b"");
    assert_eq!(other.receive(), Some((1, Reply::Served(vec![]))));
    // Its waiting calls are served once it reads answers, and nothing is lost.
    for seq in 2..waits {
        assert_eq!(client.receive(), Some((seq, Reply::Served(vec![7; 230_000]))));
    }
    next_request(&executors).ok(b"waited");
    assert_eq!(client.receive(), Some((waits, Reply::Served(b"waited".to_vec()))));
    assert_eq!(executors.iter().map(Executor::left).sum::<usize>(), 0);
}

#[test]
fn a_cancel_or_close_behind_a_full_call_queue_is_seen_though_no_answers_are_read() {
    for way in ["forget", "close"] {
        let (program, executors, _names, mut client) = fixture_with_two_executors();
        client.serve(1, &fields("alert-send", &id(1), LONG_TTL_MS), b"");
        let mut open = next_request(&executors);
        let waits = send_until_blocked(&program, &executors, &mut client, 2);
        // Calls of the maximum length, far more than are queued for it.
        let long = vec![7; 16 * 1024];
        let last = waits + 20;
        for seq in waits + 1..=last {
            client.serve(seq, &fields("flow-read", &id(seq as u64), LONG_TTL_MS), &long);
        }
        if way == "forget" {
            client.forget(last + 1, 1);
            wait_for_counter(&program, "requests_forgotten", 1);
        } else {
            client.stream.shutdown(Shutdown::Write).expect("closed");
            wait_for_counter(&program, "requests_hung_up", 1);
        }
        answer_busy(&mut open);
        let mut other = Client::connect(program.address);
        other.serve(1, &fields("flow-read", &id(9_999), LONG_TTL_MS), b"");
        let mut line = next_request(&executors);
        assert_eq!(
            line.value["rid"],
            id(9_999),
            "{way}: the request that was cancelled or whose client left is not resent"
        );
        line.ok(b"");
        assert_eq!(other.receive(), Some((1, Reply::Served(vec![]))));
        // Once it reads answers, it gets one for each call: calls that could not be queued are refused without having run.
        let mut answered = std::collections::BTreeMap::new();
        let expected = last - i32::from(way == "forget");
        while answered.len() < expected as usize {
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
fn a_waiting_call_of_a_half_closed_client_reaches_no_executor() {
    let (program, executors, _names, mut client) = fixture_with_two_executors();
    let waits = send_until_blocked(&program, &executors, &mut client, 1);
    // The client half-closes, then reads its answers.
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
fn a_cancelled_sequence_number_cannot_be_reused() {
    let (program, executor, _names, mut client) = fixture();
    client.serve(1, &fields("flow-read", &id(1), LONG_TTL_MS), b"");
    let mut line = executor.next();
    client.forget(2, 1);
    client.serve(1, &fields("flow-read", &id(2), LONG_TTL_MS), b"");
    assert!(matches!(client.receive(), Some((1, Reply::Exception(_)))));
    // A late answer to the first request is dropped.
    line.ok(b"late");
    assert_has_read(&mut client, 3);
    assert_eq!((executor.left(), program.counters()["attempts_sent"]), (0, 1));
}

// ---- Executors ----

#[test]
fn a_duplicate_answer_is_not_attributed_to_the_second_attempt() {
    let (program, executor, _names, mut client) = fixture();
    client.serve(1, &fields("alert-send", &id(1), LONG_TTL_MS), b"");
    let mut one = executor.next();
    // The executor answers MISS twice; between the two answers the request has been resent under the same id.
    one.answer("MISS", json!({}), b"");
    let mut two = executor.next();
    one.answer("MISS", json!({}), b"");
    wait_for_counter(&program, "late_answers", 1);
    two.ok(b"once");
    assert_eq!(client.receive(), Some((1, Reply::Served(b"once".to_vec()))));
    assert_eq!((program.counters()["attempts_sent"], executor.left()), (2, 0));
}

#[test]
fn a_repeat_waiting_for_its_connection_is_withdrawn_after_its_keys_window() {
    let (one, names) = (Executor::start(), Names::start());
    let mut config = config(&[&one], &names);
    config["settings"]["limits"]["connect_timeout_us"] = json!(20_000_000);
    config["settings"]["lanes"][1]["repeat_window_us"] = json!(1_500_000);
    let program = Program::start(&config);
    let mut client = Client::connect(program.address);
    client.serve(1, &fields("level-log", &id(1), LONG_TTL_MS), b"");
    let mut line = one.next();
    // The first attempt may have run; no connection to the only other executor is established.
    let (address, listener, fill) = hung();
    names.set(5, &[("s0", one.address, 1), ("s1", address, 0)]);
    wait_for_counter(&program, "lists_applied", 1);
    line.answer("ERR", json!({}), b"");
    wait_for_counter(&program, "ended_error", 1);
    let before = program.counters();
    assert_eq!(
        (before["attempts_sent"], before["attempts_withdrawn"]),
        (2, 0),
        "the repeat waits for its connection: {before:?}"
    );
    // The deadline is far later than the window, so that only the window can withdraw it; the accept queue is drained after.
    wait_for_counter(&program, "attempts_withdrawn", 1);
    assert_eq!(
        program.counters()["ended_timeout"],
        0,
        "the repeat ended by its window and not by its deadline"
    );
    // The key is valid at every executor, so that the client may retry: the answer is a refusal.
    assert!(matches!(client.receive(), Some((1, Reply::Refused(_)))));
    client.serve(2, &fields("flow-read", &id(2), LONG_TTL_MS), b"");
    assert_has_read(&mut client, 3);
    let line = next_line(&mut accept_first_speaker(&listener, fill));
    assert!(line.contains(&id(2)), "{line}");
}

#[test]
fn a_repeat_is_not_sent_after_its_keys_window_when_it_connected_during_a_pause() {
    const WINDOW: Duration = Duration::from_millis(1_500);
    let (one, names) = (Executor::start(), Names::start());
    let mut config = config(&[&one], &names);
    config["settings"]["limits"]["connect_timeout_us"] = json!(20_000_000);
    config["settings"]["lanes"][1]["repeat_window_us"] = json!(WINDOW.as_micros() as u64);
    let program = Program::start(&config);
    let mut client = Client::connect(program.address);
    client.serve(1, &fields("level-log", &id(1), LONG_TTL_MS), b"");
    let began = Instant::now();
    let mut line = one.next();
    let (address, listener, fill) = hung();
    names.set(5, &[("s0", one.address, 1), ("s1", address, 0)]);
    wait_for_counter(&program, "lists_applied", 1);
    line.answer("ERR", json!({}), b"");
    wait_for_counter(&program, "ended_error", 1);
    assert_eq!(program.counters()["attempts_sent"], 2, "the repeat waits for its connection");
    program.stand_still();
    drop(fill);
    let waiting = accept_silent(&listener);
    std::thread::sleep((WINDOW + Duration::from_millis(100)).saturating_sub(began.elapsed()));
    program.go_on();
    // The key is valid at every executor, so that the client may retry: the answer is a refusal.
    assert!(matches!(client.receive(), Some((1, Reply::Refused(_)))));
    assert_eq!(program.counters()["attempts_withdrawn"], 1);
    waiting.set_nonblocking(true).expect("a stream that does not wait");
    let received = (&waiting).read(&mut [0; 1024]);
    assert!(!matches!(received, Ok(bytes) if bytes > 0), "the repeat was sent after its window");
}

#[test]
fn a_request_arriving_with_the_close_of_an_idle_connection_uses_a_new_one() {
    // In either order of the two events.
    for close_first in [false, true] {
        let (executor, names) = (TcpListener::bind("127.0.0.1:0").expect("a listener"), Names::start());
        let address = executor.local_addr().expect("an address");
        let program = Program::start(&config_at(&[address], &names));
        let mut client = Client::connect(program.address);
        client.serve(1, &fields("flow-read", &id(1), LONG_TTL_MS), b"");
        let (mut stream, _) = executor.accept().expect("a connection");
        next_line(&mut BufReader::new(&stream));
        let ok = |n: u64| format!("{}\n", json!({"verb": "OK", "rid": id(n), "content": "AA=="}));
        stream.write_all(ok(1).as_bytes()).expect("sent");
        assert_eq!(client.receive(), Some((1, Reply::Served(vec![0]))));
        program.stand_still();
        // An alert is never resent, so that it would be lost on the closing connection.
        let asked = fields("alert-send", &id(2), LONG_TTL_MS);
        if close_first {
            drop(stream);
            client.serve(2, &asked, b"");
        } else {
            client.serve(2, &asked, b"");
            drop(stream);
        }
        program.go_on();
        wait_for_counter(&program, "executor_connects", 2);
        let (mut stream, _) = executor.accept().expect("another connection");
        let line = next_line(&mut BufReader::new(&stream));
        assert!(line.contains(&id(2)), "{line}");
        stream.write_all(ok(2).as_bytes()).expect("sent");
        assert_eq!(client.receive(), Some((2, Reply::Served(vec![0]))));
    }
}

#[test]
fn an_answer_arriving_with_its_connections_close_counts() {
    let (program, executor, _names, mut client) = fixture();
    client.serve(1, &fields("alert-send", &id(1), LONG_TTL_MS), b"");
    client.serve(2, &fields("alert-send", &id(2), LONG_TTL_MS), b"");
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
    assert_eq!(got[1 - seq].1, Reply::Failed, "it may have run and is not resent");
    assert_eq!(executor.left(), 0);
    assert!(!two.try_answer("OK", json!({}), b"") || program.counters()["answers_served"] == 1);
}

// ---- The name service ----

#[test]
fn a_silent_name_service_socket_is_replaced() {
    let (old, new, names) = (Executor::start(), Executor::start(), Names::start());
    let program = Program::start(&config(&[&old], &names));
    until_counted(&program, "dns_answers", "the name service never answers");
    names.fall_silent();
    names.set(5, &[("s0", old.address, 1), ("s9", new.address, 0)]);
    wait_for_counter(&program, "lists_applied", 1);
    let mut client = Client::connect(program.address);
    client.serve(1, &fields("flow-read", &id(1), LONG_TTL_MS), b"");
    new.next().ok(b"new");
    assert_eq!(client.receive(), Some((1, Reply::Served(b"new".to_vec()))));
    assert!(program.counters()["dns_reopened"] >= 1);
}

#[test]
fn a_drain_listed_in_the_turn_of_an_answer_is_applied_to_later_requests() {
    let (executors, names) = ([Executor::start(), Executor::start()], Names::start());
    let (a, b) = (executors[0].address, executors[1].address);
    let program = Program::start(&config(&[&executors[0], &executors[1]], &names));
    until_counted(&program, "dns_answers", "the name service never answers");
    let mut client = Client::connect(program.address);
    client.serve(1, &fields("flow-read", &id(1), LONG_TTL_MS), b"");
    let mut line = next_request(&executors);
    assert_has_read(&mut client, 2);
    // Both executors drain from here on, by a list that reaches the program before it resumes.
    program.stand_still();
    answer_busy(&mut line);
    names.set(5, &[("s0", a, 1), ("s1", b, 1)]);
    program.go_on();
    // Whichever is read first, the request is answered, and nothing is sent once the list is applied.
    assert!(client.receive().is_some());
    wait_for_counter(&program, "lists_applied", 1);
    let sent = program.counters()["attempts_sent"];
    client.serve(3, &fields("flow-read", &id(3), LONG_TTL_MS), b"");
    assert!(matches!(client.receive(), Some((3, Reply::Refused(_)))));
    assert_eq!(program.counters()["attempts_sent"], sent);
}

#[test]
fn a_reload_and_a_new_name_service_work_while_idle_clients_hold_all_descriptors() {
    let (old, new, names, next) = (Executor::start(), Executor::start(), Names::start(), Names::start());
    let mut config = config(&[&old], &names);
    // The system allows fewer descriptors than the program needs in all.
    let program = Program::limited(24, &config);
    // Far more clients than descriptors: some always wait in the accept queue and take each freed descriptor at once.
    let clients: Vec<Client> = (0..100).map(|_| Client::connect(program.address)).collect();
    wait_for_counter(&program, "accepts_paused", 3);
    next.set(5, &[("s9", new.address, 0)]);
    config["names"] = json!(next.address.to_string());
    std::fs::write(&program.path, config.to_string()).expect("written");
    program.signal(rustix::process::Signal::HUP);
    assert_eq!(program.line(), "ochreward: the new configuration is in use");
    wait_for_counter(&program, "lists_applied", 1);
    let counters = program.counters();
    assert_eq!((counters["reloads"], counters["reloads_refused"]), (1, 0));
    drop(clients);
    let mut client = Client::connect(program.address);
    client.serve(1, &fields("flow-read", &id(1), LONG_TTL_MS), b"");
    new.next().ok(b"new");
    assert_eq!(client.receive(), Some((1, Reply::Served(b"new".to_vec()))));
}

#[test]
fn a_descriptor_limit_below_the_settings_leaves_some_for_executors() {
    let (executors, names) = ([(); 8].map(|()| Executor::start()), Names::start());
    // The settings allow 1,024 descriptors, the system 48.
    let program = Program::limited(48, &config(&executors.each_ref(), &names));
    let clients: Vec<Client> = (0..100).map(|_| Client::connect(program.address)).collect();
    wait_for_counter(&program, "accepts_paused", 3);
    let mut client = Client::connect(program.address);
    for seq in 1..=8 {
        client.serve(seq, &fields("alert-send", &id(seq as u64), LONG_TTL_MS), b"");
    }
    // Each request goes to a different executor and needs a new connection.
    let mut lines: Vec<Line> = (0..8).map(|_| next_request(&executors)).collect();
    lines.iter_mut().for_each(|line| line.ok(b"served"));
    for _ in 1..=8 {
        assert!(matches!(client.receive(), Some((_, Reply::Served(_)))));
    }
    assert_eq!(program.counters()["executor_connects_failed"], 0);
    drop(clients);
}

#[test]
fn idle_clients_filling_the_descriptors_during_a_discovery_outage_block_nothing() {
    // The smallest descriptor limit that the platform may set, both configured and enforced.
    let (executor, names) = (Executor::start(), Names::start());
    let mut config = config(&[&executor], &names);
    config["limits"]["sockets"] = json!(32);
    let program = Program::limited(32, &config);
    until_counted(&program, "dns_answers", "the name service never answers");
    names.fall_silent();
    let mut idle: Vec<Client> = (0..40).map(|_| Client::connect(program.address)).collect();
    idle.iter_mut().for_each(|c| drop(c.stream.write_all(&call(1, "isWell", 1, &[2, 0, 1, 1, 0]))));
    // New clients are served, the executor is connected, and the name service is reached again.
    for n in 1..=20 {
        let mut client = Client::connect(program.address);
        client.serve(1, &fields("alert-send", &id(n), LONG_TTL_MS), b"");
        executor.next().ok(b"served");
        assert_eq!(client.receive(), Some((1, Reply::Served(b"served".to_vec()))));
    }
    names.set(5, &[("s0", executor.address, 0)]);
    wait_for_counter(&program, "lists_applied", 1);
    let counters = program.counters();
    assert_eq!((counters["executor_connects_failed"], counters["answers_failed"]), (0, 0), "{counters:?}");
}

// ---- Pauses of the process ----

#[test]
fn a_connection_with_an_unread_request_is_not_evicted() {
    let (executors, names) = ([(); 4].map(|()| Executor::start()), Names::start());
    let mut config = config(&executors.each_ref(), &names);
    config["limits"]["sockets"] = json!(32);
    let program = Program::start(&config);
    // Eight clients hold all client descriptors and have been answered.
    let mut clients: Vec<Client> = (0..8).map(|_| Client::connect(program.address)).collect();
    clients.iter_mut().for_each(|client| assert_has_read(client, 1));
    program.stand_still();
    // In one turn another client connects, and then each of the eight sends a request. All eight have been idle long enough to
    // be evicted.
    let began = Instant::now();
    let mut ninth = Client::connect(program.address);
    ninth.serve(1, &fields("alert-send", &id(9), LONG_TTL_MS), b"");
    for (n, client) in (1..).zip(&mut clients) {
        client.serve(2, &fields("alert-send", &id(n), LONG_TTL_MS), b"");
    }
    while began.elapsed() < Duration::from_millis(200) {
        std::thread::yield_now();
    }
    program.go_on();
    for _ in 0..8 {
        next_request(&executors).ok(b"served");
    }
    for client in &mut clients {
        assert_eq!(client.receive(), Some((2, Reply::Served(b"served".to_vec()))));
    }
    next_request(&executors).ok(b"later");
    assert_eq!(ninth.receive(), Some((1, Reply::Served(b"later".to_vec()))));
}

#[test]
fn a_second_attempt_due_during_a_pause_is_not_sent_for_a_client_that_left() {
    let names = Names::start();
    let begun = ["stays", "forget", "half-close", "close"].map(|way| {
        let executors = [Executor::start(), Executor::start()];
        let mut config = config(&[&executors[0], &executors[1]], &names);
        // Before any answer a run is assumed to take a quarter of this, and the second attempt is due after five runs: 3 s.
        config["settings"]["lanes"][0]["promise_us"] = json!(2_400_000);
        let program = Program::start(&config);
        let mut client = Client::connect(program.address);
        let mut asked = fields("flow-read", &id(1), LONG_TTL_MS);
        asked.insert("info".to_string(), "memory_mb:512;lanes:2;load_ms:1".to_string());
        client.serve(1, &asked, b"");
        let held = next_request(&executors);
        assert_has_read(&mut client, 2);
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
        // The second attempt falls due while the process is paused.
        while began.elapsed() < Duration::from_millis(3_500) {
            std::thread::yield_now();
        }
        assert_eq!(
            executors.iter().map(Executor::left).sum::<usize>(),
            0,
            "{way}: the second attempt was not due before the pause"
        );
        program.go_on();
        if way == "stays" {
            assert_eq!(
                next_request(&executors).value["rid"],
                id(1),
                "the second attempt was due and goes to the other executor"
            );
            continue;
        }
        wait_for_counter(
            &program,
            if way == "forget" { "requests_forgotten" } else { "requests_hung_up" },
            1,
        );
        let mut other = Client::connect(program.address);
        assert_has_read(&mut other, 1);
        assert_eq!(program.counters()["attempts_sent"], 1, "{way}");
        assert_eq!(executors.iter().map(Executor::left).sum::<usize>(), 0, "{way}");
    }
}

#[test]
fn one_turn_processes_all_ready_events_however_many() {
    let (executors, names) = ([Executor::start(), Executor::start()], Names::start());
    let program = Program::start(&config(&[&executors[0], &executors[1]], &names));
    let mut crowd: Vec<Client> = (0..560).map(|_| Client::connect(program.address)).collect();
    crowd.iter_mut().for_each(|client| assert_has_read(client, 1));
    let mut leaver = Client::connect(program.address);
    leaver.serve(1, &fields("flow-read", &id(1), LONG_TTL_MS), b"");
    let mut line = next_request(&executors);
    assert_has_read(&mut leaver, 2);
    // In one turn hundreds of clients send a call, then the executor refuses the request, hundreds more send a call, and
    // only then does its client cancel it.
    program.stand_still();
    let (before, after) = crowd.split_at_mut(300);
    before.iter_mut().for_each(|client| client.other("isWell", 2));
    answer_busy(&mut line);
    after.iter_mut().for_each(|client| client.other("isWell", 2));
    leaver.forget(3, 1);
    program.go_on();
    crowd.iter_mut().for_each(|client| assert_eq!(client.receive(), Some((2, Reply::Well(true)))));
    wait_for_counter(&program, "requests_forgotten", 1);
    assert_has_read(&mut leaver, 4);
    assert_eq!(program.counters()["attempts_sent"], 1);
    assert_eq!(executors.iter().map(Executor::left).sum::<usize>(), 0);
    assert_eq!(program.counters()["clients_evicted"], 0);
}

#[test]
fn a_request_that_arrived_during_a_pause_has_its_time_reduced() {
    let (program, executor, _names, mut client) = fixture();
    assert_has_read(&mut client, 1);
    program.stand_still();
    let sent = Instant::now();
    client.serve(2, &fields("flow-read", &id(1), 10_000), b"");
    while sent.elapsed() < Duration::from_millis(700) {
        std::thread::yield_now();
    }
    let paused_ms = sent.elapsed().as_millis() as u64;
    program.go_on();
    let line = executor.next();
    let wait = line.value["attrs"]["w"].as_u64().expect("a time to wait");
    assert!(wait <= 10_000 - paused_ms, "{wait} ms after a pause of {paused_ms} ms");
}

// ---- Signals ----

#[test]
fn a_connection_waiting_in_the_accept_queue_at_the_stop_is_served() {
    let (executors, names) = ([(); 4].map(|()| Executor::start()), Names::start());
    let mut config = config(&executors.each_ref(), &names);
    config["limits"]["sockets"] = json!(32);
    let mut program = Program::start(&config);
    // Eight clients hold all client descriptors, each with an open request; the ninth waits in the accept queue.
    let mut clients: Vec<Client> = (0..9).map(|_| Client::connect(program.address)).collect();
    for (n, client) in (1..).zip(&mut clients) {
        client.serve(1, &fields("alert-send", &id(n), LONG_TTL_MS), b"");
    }
    let mut lines: Vec<Line> = (0..8).map(|_| next_request(&executors)).collect();
    wait_for_counter(&program, "accepts_paused", 1);
    program.signal(rustix::process::Signal::TERM);
    // The phases of the stop are timed; the answers come only after the time at which the listener would have closed.
    let began = Instant::now();
    while began.elapsed() < Duration::from_millis(1_200) {
        assert_eq!(program.counters()["answers_served"], 0);
    }
    lines.iter_mut().for_each(|line| line.ok(b"held"));
    let mut ninth = clients.pop().expect("a client");
    for mut client in clients {
        assert_eq!(client.receive(), Some((1, Reply::Served(b"held".to_vec()))));
    }
    next_request(&executors).ok(b"waited");
    assert_eq!(ninth.receive(), Some((1, Reply::Served(b"waited".to_vec()))));
    assert_eq!(program.child.wait().expect("an end").code(), Some(0));
}

#[test]
fn a_stop_before_readiness_exits_cleanly_and_answers_pending_requests() {
    // Without a configured list and with a silent name service the program listens but is not ready.
    let names = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let mut config = config_at(&[], &Names::start());
    config["names"] = json!(names.local_addr().expect("an address").to_string());
    config.as_object_mut().expect("a configuration").remove("known");
    config["ops"] = json!("127.0.0.1:0");
    let mut program = Program::start(&config);
    assert_eq!(program.call("GET", "/_ready"), 503);
    let mut client = Client::connect(program.address);
    client.serve(1, &fields("alert-send", &id(1), LONG_TTL_MS), b"");
    program.signal(rustix::process::Signal::TERM);
    assert!(matches!(client.receive(), Some((1, Reply::Refused(_)))));
    assert_eq!(client.receive(), None, "the connection is closed, not reset");
    assert_eq!(program.child.wait().expect("an end").code(), Some(0));
}

#[test]
fn a_reload_and_two_stops_in_one_turn_lose_no_request() {
    let (mut program, executor, _names, mut client) = fixture();
    client.serve(1, &fields("alert-send", &id(1), LONG_TTL_MS), b"");
    let mut held = executor.next();
    program.stand_still();
    for signal in [rustix::process::Signal::TERM, rustix::process::Signal::HUP, rustix::process::Signal::TERM]
    {
        program.signal(signal);
    }
    // One request is half sent, and another's connection waits to be accepted.
    let whole = message(2, &fields("flow-read", &id(2), LONG_TTL_MS), b"in two pieces");
    client.stream.write_all(&whole[..whole.len() / 2]).expect("sent");
    let mut late = Client::connect(program.address);
    late.serve(1, &fields("flow-read", &id(3), LONG_TTL_MS), b"");
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
fn long_answers_read_late_by_their_client_are_complete_after_a_stop() {
    let (mut program, executors, _names, mut client) = fixture_with_two_executors();
    let waits = send_until_blocked(&program, &executors, &mut client, 1);
    program.signal(rustix::process::Signal::TERM);
    // The program still holds more than the system buffers. It waits for the client, and serves its waiting call.
    for seq in 1..waits {
        assert_eq!(client.receive(), Some((seq, Reply::Served(vec![7; 230_000]))));
    }
    next_request(&executors).ok(b"waited");
    assert_eq!(client.receive(), Some((waits, Reply::Served(b"waited".to_vec()))));
    assert_eq!(client.receive(), None);
    assert_eq!(program.child.wait().expect("an end").code(), Some(0));
}

#[test]
fn the_shipped_example_loses_no_call_on_a_stop_under_load() {
    // deploy/example.json, started as in the README but at addresses of the test.
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
    // Eight clients send one call after the other until their connection closes between two calls. A client would resend a
    // call that coincides with the close on a new connection, and find the listener closed.
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
    wait_for_counter(&program, "answers_served", 400);
    program.signal(rustix::process::Signal::TERM);
    let answered: u64 = loads.into_iter().map(|l| l.join().expect("a client")).sum();
    let last = program.line();
    assert_eq!(program.child.wait().expect("an end").code(), Some(0));
    let count = |name: &str| -> u64 {
        let pair = last.split(' ').find_map(|p| p.strip_prefix(&format!("{name}=")));
        pair.and_then(|v| v.parse().ok()).unwrap_or_else(|| panic!("no {name}: {last}"))
    };
    // Every request taken was answered once, and the clients received all answers.
    assert_eq!((count("requests_taken"), count("answers_lost")), (answered + 1, 0), "{last}");
    assert_eq!(count("answers_served") + count("answers_refused"), answered + 1, "{last}");
}

// ---- Omitted settings ----

#[test]
fn a_request_gets_exactly_one_answer_whichever_settings_are_omitted() {
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
            // The first attempt may have run: the request is resent within its window, and otherwise answered without being served.
            let mut asked = fields("level-log", &id(2), 2_000);
            if what == "no tenants" {
                asked.remove("org");
            }
            client.serve(2, &asked, b"");
            executor.next().answer("ERR", json!({}), b"");
            let no_repeat = what.contains("window");
            if !no_repeat {
                executor.next().ok(b"again");
            }
            let (seq, reply) = client.receive().expect("an answer");
            assert_eq!((seq, reply == Reply::Served(b"again".to_vec())), (2, !no_repeat), "{what}");
        }
        assert_eq!(executor.left(), 0, "{what}");
        let (code, counters) = program.end();
        assert_eq!((code, counters["answers_lost"]), (Some(0), 0), "{what}");
    }
}
