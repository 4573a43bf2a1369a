use super::*;

const VALID: &[u8] = b"PUT /_executors/detach/s%2d1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok";

#[test]
fn request_is_parsed_once_complete_and_altered_ones_do_not_panic() {
    for end in 0..VALID.len() {
        assert_eq!(parse_request(&VALID[..end]), None, "{end}");
    }
    let asked = Asked { method: "PUT".into(), path: "/_executors/detach/s%2d1".into() };
    assert_eq!(parse_request(VALID), Some(Ok(asked)));
    for at in 0..VALID.len() {
        for value in 0..=255 {
            let mut altered = VALID.to_vec();
            altered[at] = value;
            let _ = parse_request(&altered);
        }
    }
}

#[test]
fn invalid_requests_get_matching_status() {
    let long = format!("GET /{} HTTP/1.1\r\n", "a".repeat(MAX_HEAD_BYTES));
    let heads = format!("GET / HTTP/1.1\r\n{}", "a: b\r\n".repeat(MAX_HEAD_BYTES / 6 + 1));
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
        assert_eq!(parse_request(text.as_bytes()), Some(Err(Bad(status))), "{text:.60}");
    }
}

#[test]
fn percent_escapes_are_decoded() {
    assert_eq!(unescape("s%2d1").as_deref(), Some("s-1"));
    for bad in ["%", "%2", "%+1", "%ff", "%zz"] {
        assert_eq!(unescape(bad), None, "{bad}");
    }
}
