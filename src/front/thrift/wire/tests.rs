use super::*;

fn serve() -> Vec<u8> {
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
fn a_call_is_read_and_unknown_fields_are_skipped() {
    let Call::Serve { seq, fields, body } = read(&serve()[4..]).expect("good") else { panic!("no serve") };
    assert_eq!((seq, fields["op"].as_str(), body.as_slice()), (7, "call", b"\x00body".as_slice()));
}

#[test]
fn every_cut_of_a_message_is_an_error_and_none_a_panic() {
    let whole = serve();
    for end in 4..whole.len() - 1 {
        assert!(read(&whole[4..end]).is_err(), "{end}");
    }
    for at in 4..whole.len() {
        for value in [0, 0x7f, 0xff] {
            let mut bent = whole.clone();
            bent[at] = value;
            let _ = read(&bent[4..]);
        }
    }
}

#[test]
fn a_huge_claimed_size_is_an_error_at_once() {
    let mut deep = message(CALL, "x", 1, |out| {
        put_field(out, 15, 1);
        out.push(STRUCT);
        put_size(out, 0x7fff_ffff);
    });
    deep.extend([0; 8]);
    assert!(read(&deep[4..]).is_err());
    assert_eq!(frame(&[0x7f, 0, 0, 0]), Err(Malformed("a frame larger than allowed")));
}
