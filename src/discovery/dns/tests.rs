use super::*;

const SERVICE: &str = "_back._tcp.pool.lan";

fn record(out: &mut Vec<u8>, name: &[u8], record_type: u16, data: &[u8]) {
    out.extend(name);
    out.extend(record_type.to_be_bytes());
    out.extend([0, 1, 0, 0, 0, 0]);
    out.extend((data.len() as u16).to_be_bytes());
    out.extend(data);
}

/// Returns an answer with one ready executor, its names compressed against the question.
fn answer() -> Vec<u8> {
    let mut out = encode_query(9, SERVICE);
    out.truncate(out.len() - 11);
    out[2] = 0x84;
    (out[7], out[9], out[11]) = (1, 1, 2);
    let host = out.len() + 12 + 6;
    let mut srv = vec![0, 0, 0, 40, 0x1f, 0x90];
    srv.extend(b"\x01s\x04east\x05hosts\x00");
    record(&mut out, &[0xc0, 12], TYPE_SRV, &srv);
    record(&mut out, &[0], TYPE_SOA, &[&[0, 0][..], &7u32.to_be_bytes(), &[0; 16]].concat());
    let host = [0xc0 | (host >> 8) as u8, host as u8];
    record(&mut out, &host, TYPE_A, &[10, 1, 0, 9]);
    record(&mut out, &host, TYPE_TXT, b"\x08kind=std\x06cell=2\x0cstarted=1234");
    out
}

#[test]
fn compressed_answer_is_parsed() {
    let parsed = parse_answer(&answer(), SERVICE).expect("valid");
    assert_eq!((parsed.id, parsed.serial, parsed.executors.len()), (9, 7, 1));
    let executor = &parsed.executors[0];
    assert_eq!(
        (&*executor.id, executor.zone.as_str(), executor.kind.as_str(), executor.cell),
        ("s", "east", "std", 2)
    );
    assert_eq!((executor.address.to_string().as_str(), executor.started_ms), ("10.1.0.9:8080", 1234));
}

#[test]
fn truncated_answers_are_refused_and_corrupt_ones_do_not_panic() {
    let whole = answer();
    for end in 0..whole.len() {
        assert!(parse_answer(&whole[..end], SERVICE).is_err(), "{end}");
    }
    for at in 0..whole.len() {
        for value in 0..=255 {
            let mut corrupt = whole.clone();
            corrupt[at] = value;
            let _ = parse_answer(&corrupt, SERVICE);
        }
    }
}

#[test]
fn compression_pointer_to_itself_is_refused() {
    let mut message = vec![0, 9, 0x84, 0, 0, 1, 0, 0, 0, 0, 0, 0];
    message.extend([0xc0, 12, 0, 33, 0, 1]);
    assert_eq!(
        parse_answer(&message, SERVICE),
        Err(InvalidAnswer("a compression pointer that leads nowhere"))
    );
}
