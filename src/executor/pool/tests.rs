use super::*;
use crate::net::Poll;
use std::io::Read;
use std::net::TcpListener;

const OWNER: u8 = 2;

/// Returns a pool whose executor list has one entry, and the listener of that executor.
fn pool() -> (Poll, Pool, TcpListener, Rc<Counters>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let counters = Rc::new(Counters::default());
    let limits = PoolSettings {
        max_connections: 8,
        max_unread_bytes: 1 << 20,
        max_requests_per_connection: 32,
        connect_timeout: 1_000_000,
        keepalive: 15_000_000,
        classes: vec!["flow-read".to_string()],
        reports_warm: true,
        reports_concurrency: true,
        report: Vec::new(),
    };
    let mut pool = Pool::new(OWNER, limits, counters.clone());
    pool.set_executors(&[executor(&listener, ExecutorState::Ready)], |_| None);
    (Poll::new().expect("an epoll instance"), pool, listener, counters)
}

fn executor(listener: &TcpListener, state: ExecutorState) -> Executor {
    Executor {
        id: "s0".into(),
        address: listener.local_addr().expect("an address"),
        zone: "east".into(),
        kind: "std".into(),
        cell: 0,
        state,
        started_ms: 0,
        weight: 0,
    }
}

fn run_event_loop_once(poll: &mut Poll, pool: &mut Pool) {
    let mut events = Vec::new();
    poll.wait(20_000, &mut events).expect("an iteration of the event loop");
    events.into_iter().for_each(|ready| pool.handle_event(poll, 1_000, ready));
}

fn stale_list_read() -> Instant {
    Instant::now().checked_sub(2 * MAX_LIST_READ_AGE).expect("the machine has been up for longer")
}

#[test]
fn writes_are_held_back_until_the_name_service_answers_have_been_read() {
    let (mut poll, mut pool, listener, counters) = pool();
    pool.load(&mut poll, 1_000, 1, &"s0".into(), &"7f3a9c21e0b4d655".into(), 1);
    let (mut stream, _) = listener.accept().expect("a connection");
    stream.set_nonblocking(true).expect("a non-blocking stream");
    pool.list_read_at = stale_list_read();
    for _ in 0..5 {
        run_event_loop_once(&mut poll, &mut pool);
    }
    assert!(stream.read(&mut [0]).is_err(), "the line was written although a drain may be unread");
    assert!(counters.writes_held.get() > 0);
    pool.mark_list_read();
    run_event_loop_once(&mut poll, &mut pool);
    assert!(stream.read(&mut [0]).is_ok(), "the line is written once the answers have been read");
}

#[test]
fn held_lines_are_written_on_release_even_after_a_long_loop_iteration() {
    let (mut poll, mut pool, listener, _) = pool();
    pool.hold_writes();
    pool.load(&mut poll, 1_000, 1, &"s0".into(), &"7f3a9c21e0b4d655".into(), 1);
    let (mut stream, _) = listener.accept().expect("a connection");
    run_event_loop_once(&mut poll, &mut pool);
    stream.set_nonblocking(true).expect("a non-blocking stream");
    assert!(stream.read(&mut [0]).is_err(), "the line was written before the release");
    pool.list_read_at = stale_list_read();
    assert!(pool.has_held_writes());
    pool.mark_list_read();
    pool.release_writes(&poll, 1_000);
    assert!(!pool.has_held_writes());
    assert!(stream.read(&mut [0]).is_ok(), "the line is written on release");
}

#[test]
fn held_lines_are_withdrawn_if_their_executor_drains() {
    let (mut poll, mut pool, listener, _) = pool();
    pool.list_read_at = stale_list_read();
    pool.load(&mut poll, 1_000, 1, &"s0".into(), &"7f3a9c21e0b4d655".into(), 1);
    let (mut stream, _) = listener.accept().expect("a connection");
    run_event_loop_once(&mut poll, &mut pool);
    pool.mark_list_read();
    pool.set_executors(&[executor(&listener, ExecutorState::Draining)], |_| None);
    run_event_loop_once(&mut poll, &mut pool);
    let mut sent = Vec::new();
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a time-out");
    stream.read_to_end(&mut sent).expect("the end of the connection");
    assert!(sent.is_empty(), "the line was written to a draining executor");
    assert!(matches!(pool.completions[..], [Completion::Order(1, Outcome::NotSent, 0)]));
}
