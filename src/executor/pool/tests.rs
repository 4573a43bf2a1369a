use super::*;
use crate::net::Poll;
use std::io::Read;
use std::net::TcpListener;

const OWNER: u8 = 2;

/// A pool with one worker, whose listener is given back.
fn pool() -> (Poll, Pool, TcpListener, Rc<Counters>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let counters = Rc::new(Counters::default());
    let limits = Limits {
        connections: 8,
        unread: 1 << 20,
        streams: 32,
        connect_timeout: 1_000_000,
        keepalive: 15_000_000,
        classes: vec!["flow-read".to_string()],
        tells_warm: true,
        tells_crowd: true,
        report: Vec::new(),
    };
    let mut pool = Pool::new(OWNER, limits, counters.clone());
    pool.list(&[worker(&listener, State::Ready)]);
    (Poll::new().expect("an epoll instance"), pool, listener, counters)
}

fn worker(listener: &TcpListener, state: State) -> Executor {
    Executor {
        id: "s0".into(),
        address: listener.local_addr().expect("an address"),
        zone: "east".into(),
        kind: "std".into(),
        cell: 0,
        state,
        started_ms: 0,
    }
}

fn turn(poll: &mut Poll, pool: &mut Pool) {
    let mut happened = Vec::new();
    poll.wait(20_000, &mut happened).expect("a turn");
    happened.into_iter().for_each(|ready| pool.ready(poll, 1_000, ready));
}

fn long_ago() -> Instant {
    Instant::now().checked_sub(2 * LIST_READ_MOST).expect("the machine runs for longer")
}

#[test]
fn nothing_is_written_while_the_answers_of_the_name_service_were_not_read_for_a_while() {
    let (mut poll, mut pool, listener, counters) = pool();
    pool.load(&mut poll, 1_000, 1, &"s0".into(), &"7f3a9c21e0b4d655".into(), 1);
    let (mut stream, _) = listener.accept().expect("a connection");
    stream.set_nonblocking(true).expect("a stream that does not wait");
    pool.list_read_at = long_ago();
    for _ in 0..5 {
        turn(&mut poll, &mut pool);
    }
    assert!(stream.read(&mut [0]).is_err(), "it was written though a drain may have come");
    assert!(counters.writes_held.get() > 0);
    pool.list_was_read();
    turn(&mut poll, &mut pool);
    assert!(stream.read(&mut [0]).is_ok(), "it is written once the answers have been read");
}

#[test]
fn what_waits_for_the_end_of_a_turn_goes_out_then_however_long_the_turn_took() {
    let (mut poll, mut pool, listener, _) = pool();
    pool.hold_writes();
    pool.load(&mut poll, 1_000, 1, &"s0".into(), &"7f3a9c21e0b4d655".into(), 1);
    let (mut stream, _) = listener.accept().expect("a connection");
    turn(&mut poll, &mut pool);
    stream.set_nonblocking(true).expect("a stream that does not wait");
    assert!(stream.read(&mut [0]).is_err(), "it was written before the end of the turn");
    pool.list_read_at = long_ago();
    assert!(pool.holds_writes());
    pool.list_was_read();
    pool.release_writes(&poll, 1_000);
    assert!(!pool.holds_writes());
    assert!(stream.read(&mut [0]).is_ok(), "it is written at the end of the turn");
}

#[test]
fn what_was_held_is_withdrawn_if_its_worker_drains() {
    let (mut poll, mut pool, listener, _) = pool();
    pool.list_read_at = long_ago();
    pool.load(&mut poll, 1_000, 1, &"s0".into(), &"7f3a9c21e0b4d655".into(), 1);
    let (mut stream, _) = listener.accept().expect("a connection");
    turn(&mut poll, &mut pool);
    pool.list_was_read();
    pool.list(&[worker(&listener, State::Draining)]);
    turn(&mut poll, &mut pool);
    let mut sent = Vec::new();
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a time-out");
    stream.read_to_end(&mut sent).expect("the end of the connection");
    assert!(sent.is_empty(), "it was written to a worker that drains");
    assert!(matches!(pool.reports[..], [Report::Order(1, Outcome::Moot, 0)]));
}
