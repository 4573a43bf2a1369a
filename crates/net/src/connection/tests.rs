use super::*;
use std::io::Write;
use std::net::TcpListener;
use std::time::Duration;

/// A handler that consumes all bytes and counts them.
struct Sink;

impl ProtocolHandler for Sink {
    type Out = usize;

    fn on_received(&mut self, input: &mut Ring, out: &mut usize) -> Result<(), Malformed> {
        *out += input.len();
        input.consume(input.len());
        Ok(())
    }
}

#[test]
fn close_after_many_short_reads_is_detected_in_the_same_turn() {
    // A ring so small that the pending data takes many reads.
    const RING_BYTES: usize = 8;
    const SENT_BYTES: usize = 1_000;
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let mut peer = std::net::TcpStream::connect(address).expect("a connection");
    let (stream, _) = listener.accept().expect("a connection");
    stream.set_nonblocking(true).expect("a non-blocking stream");
    peer.write_all(&[7; SENT_BYTES]).expect("sent");
    drop(peer);
    std::thread::sleep(Duration::from_millis(50));
    let mut poll = Poll::new().expect("an epoll instance");
    let token = poll.token(1, 0);
    let mut link =
        Connection::accepted(&poll, stream.into(), token, Sink, (RING_BYTES, RING_BYTES)).expect("a link");
    let mut events = Vec::new();
    poll.wait(1_000_000, &mut events).expect("a turn");
    let mut received = 0;
    let _ = link.handle_event(&mut poll, events[0], &mut received);
    assert_eq!((received, link.io.read_closed), (SENT_BYTES, true));
}
