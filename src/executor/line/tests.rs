use super::*;

#[test]
fn each_word_maps_to_its_outcome() {
    let of = |verb: &str| read(format!(r#"{{"verb":"{verb}","rid":"r"}}"#).as_bytes()).expect(verb).outcome;
    assert_eq!(of("OK"), Outcome::Ok);
    assert_eq!(of("MISS"), Outcome::Miss);
    assert_eq!(of("BUSY"), Outcome::Full);
    assert_eq!(of("ERR"), Outcome::Error);
    assert_eq!(of("VOID"), Outcome::Moot);
    assert_eq!(of("WHAT"), Outcome::Unknown);
}

#[test]
fn a_load_report_is_read_by_the_names_of_the_settings() {
    let line = br#"{"verb":"OK","rid":"r","attrs":{"load":"inflight:7;util:0.61;x1:2"}}"#;
    let load = read(line).expect("good").load;
    let names = ["x1", "inflight", "queue"].map(String::from);
    let values = report(&names, load.as_deref());
    assert_eq!(values[..2], [2.0, 7.0]);
    assert!(values[2].is_nan(), "not told");
    assert!(report(&[], load.as_deref()).is_empty(), "the settings name none");
    assert!(report(&names, None).is_empty(), "no report");
    for odd in ["", ";;;", "inflight", "inflight:", "inflight:x", "inflightest:3", ":", "x1:0x10"] {
        assert!(report(&names, Some(odd)).iter().all(|v| v.is_nan()), "{odd}");
    }
    let long = format!(r#"{{"verb":"OK","rid":"r","attrs":{{"load":"inflight:{}"}}}}"#, "1".repeat(300));
    assert_eq!(read(long.as_bytes()).expect("an answer all the same").load, None);
}

#[test]
fn notes_and_depths_are_read_as_text_or_numbers() {
    let line = br#"{"verb":"OK","rid":7,"attrs":{"note":"fresh","depth":"3"},"content":"AGI="}"#;
    let answer = read(line).expect("good");
    assert_eq!((answer.rid.as_str(), answer.found, answer.crowd), ("7", Found::BeganLoad, Some(3)));
    assert_eq!(answer.body, b"\x00b");
    let failed = read(br#"{"verb":"ERR","rid":"r","attrs":{"note":"crashed","depth":9}}"#).expect("good");
    assert_eq!((failed.found, failed.crowd), (Found::LoadFailed, None));
    assert_eq!(read(br#"{"verb":"OK","rid":"r","content":"%%"}"#), None);
    assert_eq!(read(b"\xff\xfe"), None);
}

#[test]
fn a_request_is_written_as_the_protocol_shows() {
    let (line, wait) = go("9b", "level-log", "7f", 1_234_567, Some("5c"), b"\x00b");
    let want = "{\"verb\":\"go\",\"rid\":\"9b\",\"attrs\":{\"c\":\"level-log\",\"k\":\"7f\",\"w\":1234,\"i\":\"5c\"},\"content\":\"AGI=\"}\n";
    assert_eq!(String::from_utf8_lossy(&line), want);
    assert_eq!((&line[wait.clone()], wait_figure(56_700, wait.len()).as_str()), (&b"1234"[..], "  56"));
    assert_eq!(String::from_utf8_lossy(&halt("9b")), "{\"verb\":\"halt\",\"rid\":\"9b\"}\n");
    let stage = stage("L1", "7f", 2);
    let want = "{\"verb\":\"stage\",\"rid\":\"L1\",\"attrs\":{\"k\":\"7f\",\"pods\":2}}\n";
    assert_eq!(String::from_utf8_lossy(&stage), want);
}
