use super::*;

const GOOD: &[u8] = b"PUT /_executors/detach/s%2d1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok";

#[test]
fn a_call_is_read_once_it_is_whole_and_no_cut_or_bent_one_panics() {
    for end in 0..GOOD.len() {
        assert_eq!(read(&GOOD[..end]), None, "{end}");
    }
    let asked = Asked { method: "PUT".into(), path: "/_executors/detach/s%2d1".into() };
    assert_eq!(read(GOOD), Some(Ok(asked)));
    for at in 0..GOOD.len() {
        for value in 0..=255 {
            let mut bent = GOOD.to_vec();
            bent[at] = value;
            let _ = read(&bent);
        }
    }
}

#[test]
fn what_is_no_call_is_told_so() {
    let long = format!("GET /{} HTTP/1.1\r\n", "a".repeat(MOST_HEAD));
    let heads = format!("GET / HTTP/1.1\r\n{}", "a: b\r\n".repeat(MOST_HEAD / 6 + 1));
    let bad = [
        ("\u{1}", 400),
        ("GET /\r\n", 400),
        ("GET  / HTTP/1.1\r\n", 400),
        ("GET x HTTP/1.1\r\n", 400),
        ("GET / HTTP/2\r\n", 400),
        ("GET / HTTP/1.1\r\nno header\r\n", 400),
        ("GET / HTTP/1.1\r\n a: b\r\n", 400),
        ("GET / HTTP/1.1\r\nContent-Length: -1\r\n", 400),
        ("GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n", 400),
        ("GET / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n", 413),
        ("GET / HTTP/1.1\r\nContent-Length: 999999\r\n\r\n", 413),
        ("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n", 411),
        (&long, 431),
        (&heads, 431),
    ];
    for (text, status) in bad {
        assert_eq!(read(text.as_bytes()), Some(Err(Bad(status))), "{text:.60}");
    }
}

#[test]
fn escapes_stand_for_their_bytes() {
    assert_eq!(unescape("s%2d1").as_deref(), Some("s-1"));
    for bad in ["%", "%2", "%+1", "%ff", "%zz"] {
        assert_eq!(unescape(bad), None, "{bad}");
    }
}
