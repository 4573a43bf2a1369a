use super::*;

#[test]
fn incomplete_frames_yield_nothing_and_a_whole_frame_parses_as_sent() {
    let sent = ToService::Ack { nonce: 7, version: Version::new(2, 9) };
    let bytes = encode_frame(&sent);
    for cut in 0..bytes.len() {
        assert_eq!(body(&bytes[..cut]), Ok(None), "{cut}");
    }
    let read: ToService = decode(body(&bytes).expect("good").expect("whole")).expect("a message");
    assert_eq!(read, sent);
    assert!(body(&[0, 0, 0, 0]).is_err() && body(&[0xff; 8]).is_err());
    assert!(decode::<ToService>(b"{\"type\":\"hullo\"}").is_err());
}

#[test]
fn a_fully_escaped_piece_fits_a_frame_and_pieces_concatenate_to_the_text() {
    let worst = "\u{1}".repeat(PIECE_BYTES);
    let part = FromService::Part { nonce: u64::MAX, kind: Kind::Settings, text: worst };
    assert!(encode_frame(&part).len() <= MAX_FRAME_BYTES + 4);
    let text = "a\u{20ac}".repeat(PIECE_BYTES);
    let (mut from, mut whole) = (0, String::new());
    while from < text.len() {
        let next = next_piece(&text, from);
        from += next.len();
        whole += next;
    }
    assert!(whole == text);
}
