use super::*;

fn serve_message() -> Vec<u8> {
    message(CALL, "serve", 7, |out| {
        put_field(out, MAP, 1);
        put_strings(out, &[("op", "call")]);
        put_field(out, STRING, 2);
        put_bytes(out, b"\x00body");
        put_field(out, 15, 9);
        out.extend([I32, 0, 0, 0, 1, 0, 0, 0, 5]);
        out.push(STOP);
    })
}

#[test]
fn call_is_decoded_and_unknown_fields_are_skipped() {
    let Call::Serve { seq, fields, body } = read_call(&serve_message()[4..]).expect("good") else {
        panic!("no serve")
    };
    assert_eq!((seq, fields["op"].as_str(), body.as_slice()), (7, "call", b"\x00body".as_slice()));
}

#[test]
fn truncated_messages_are_errors_and_altered_ones_do_not_panic() {
    let whole = serve_message();
    for end in 4..whole.len() - 1 {
        assert!(read_call(&whole[4..end]).is_err(), "{end}");
    }
    for at in 4..whole.len() {
        for value in [0, 0x7f, 0xff] {
            let mut altered = whole.clone();
            altered[at] = value;
            let _ = read_call(&altered[4..]);
        }
    }
}

#[test]
fn huge_announced_size_is_an_error_at_once() {
    let mut oversized = message(CALL, "x", 1, |out| {
        put_field(out, 15, 1);
        out.push(STRUCT);
        put_size(out, 0x7fff_ffff);
    });
    oversized.extend([0; 8]);
    assert!(read_call(&oversized[4..]).is_err());
    assert_eq!(frame_size(&[0x7f, 0, 0, 0]), Err(Malformed("a frame larger than allowed")));
}
