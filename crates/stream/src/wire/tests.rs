use super::*;

#[test]
fn frames_are_read_as_written_however_they_are_cut() {
    let sent = ToService::Ack { nonce: 7, version: Version::new(2, 9) };
    let bytes = frame(&sent);
    for cut in 0..bytes.len() {
        assert_eq!(body(&bytes[..cut]), Ok(None), "{cut}");
    }
    let read: ToService = parse(body(&bytes).expect("good").expect("whole")).expect("a message");
    assert_eq!(read, sent);
    assert!(body(&[0, 0, 0, 0]).is_err() && body(&[0xff; 8]).is_err());
    assert!(parse::<ToService>(b"{\"type\":\"hullo\"}").is_err());
}

#[test]
fn the_worst_piece_fits_a_frame_and_pieces_make_up_the_text() {
    let worst = "\u{1}".repeat(PIECE);
    let part = FromService::Part { nonce: u64::MAX, kind: Kind::Settings, text: worst };
    assert!(frame(&part).len() <= MOST_FRAME + 4);
    let text = "a\u{20ac}".repeat(PIECE);
    let (mut from, mut whole) = (0, String::new());
    while from < text.len() {
        let next = piece(&text, from);
        from += next.len();
        whole += next;
    }
    assert!(whole == text);
}
