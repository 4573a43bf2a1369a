use super::*;

const SERVICE: &str = "_back._tcp.pool.lan";

fn record(out: &mut Vec<u8>, name: &[u8], kind: u16, data: &[u8]) {
    out.extend(name);
    out.extend(kind.to_be_bytes());
    out.extend([0, 1, 0, 0, 0, 0]);
    out.extend((data.len() as u16).to_be_bytes());
    out.extend(data);
}

/// One ready executor, its names compressed against the question.
fn answer() -> Vec<u8> {
    let mut out = query(9, SERVICE);
    out.truncate(out.len() - 11);
    out[2] = 0x84;
    (out[7], out[9], out[11]) = (1, 1, 2);
    let host = out.len() + 12 + 6;
    let mut srv = vec![0, 0, 0, 40, 0x1f, 0x90];
    srv.extend(b"\x01s\x04east\x05hosts\x00");
    record(&mut out, &[0xc0, 12], SRV, &srv);
    record(&mut out, &[0], SOA, &[&[0, 0][..], &7u32.to_be_bytes(), &[0; 16]].concat());
    let host = [0xc0 | (host >> 8) as u8, host as u8];
    record(&mut out, &host, A, &[10, 1, 0, 9]);
    record(&mut out, &host, TXT, b"\x08kind=std\x06cell=2\x0cstarted=1234");
    out
}

#[test]
fn a_compressed_answer_is_read() {
    let read = read(&answer(), SERVICE).expect("good");
    assert_eq!((read.id, read.serial, read.executors.len()), (9, 7, 1));
    let e = &read.executors[0];
    assert_eq!((&*e.id, e.zone.as_str(), e.kind.as_str(), e.cell), ("s", "east", "std", 2));
    assert_eq!((e.address.to_string().as_str(), e.started_ms), ("10.1.0.9:8080", 1234));
}

#[test]
fn no_cut_or_bent_answer_panics() {
    let whole = answer();
    for end in 0..whole.len() {
        assert!(read(&whole[..end], SERVICE).is_err(), "{end}");
    }
    for at in 0..whole.len() {
        for value in 0..=255 {
            let mut bent = whole.clone();
            bent[at] = value;
            let _ = read(&bent, SERVICE);
        }
    }
}

#[test]
fn a_pointer_to_itself_is_refused() {
    let mut message = vec![0, 9, 0x84, 0, 0, 1, 0, 0, 0, 0, 0, 0];
    message.extend([0xc0, 12, 0, 33, 0, 1]);
    assert_eq!(read(&message, SERVICE), Err(BadAnswer("a compression pointer that leads nowhere")));
}
