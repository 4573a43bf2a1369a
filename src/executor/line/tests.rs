use super::*;

#[test]
fn each_verb_maps_to_its_outcome() {
    let outcome_of = |verb: &str| {
        parse_answer(format!(r#"{{"verb":"{verb}","rid":"r"}}"#).as_bytes()).expect(verb).outcome
    };
    assert_eq!(outcome_of("OK"), Outcome::Ok);
    assert_eq!(outcome_of("MISS"), Outcome::Miss);
    assert_eq!(outcome_of("BUSY"), Outcome::Full);
    assert_eq!(outcome_of("ERR"), Outcome::Error);
    assert_eq!(outcome_of("VOID"), Outcome::NotSent);
    assert_eq!(outcome_of("WHAT"), Outcome::Unknown);
}

#[test]
fn load_report_values_follow_the_names_in_the_settings() {
    let line = br#"{"verb":"OK","rid":"r","attrs":{"load":"inflight:7;util:0.61;x1:2"}}"#;
    let load = parse_answer(line).expect("good").load;
    let names = ["x1", "inflight", "queue"].map(String::from);
    let values = load_values(&names, load.as_deref());
    assert_eq!(values[..2], [2.0, 7.0]);
    assert!(values[2].is_nan(), "missing from the report");
    assert!(load_values(&[], load.as_deref()).is_empty(), "the settings name no values");
    assert!(load_values(&names, None).is_empty(), "no report");
    for malformed in ["", ";;;", "inflight", "inflight:", "inflight:x", "inflightest:3", ":", "x1:0x10"] {
        assert!(load_values(&names, Some(malformed)).iter().all(|v| v.is_nan()), "{malformed}");
    }
    let long = format!(r#"{{"verb":"OK","rid":"r","attrs":{{"load":"inflight:{}"}}}}"#, "1".repeat(300));
    assert_eq!(parse_answer(long.as_bytes()).expect("a valid answer").load, None);
}

#[test]
fn notes_and_depths_parse_as_strings_or_numbers() {
    let line = br#"{"verb":"OK","rid":7,"attrs":{"note":"fresh","depth":"3"},"content":"AGI="}"#;
    let answer = parse_answer(line).expect("good");
    assert_eq!((answer.rid.as_str(), answer.found, answer.crowd), ("7", ReplicaStatus::LoadStarted, Some(3)));
    assert_eq!(answer.body, b"\x00b");
    let failed =
        parse_answer(br#"{"verb":"ERR","rid":"r","attrs":{"note":"crashed","depth":9}}"#).expect("good");
    assert_eq!((failed.found, failed.crowd), (ReplicaStatus::LoadFailed, None));
    assert_eq!(parse_answer(br#"{"verb":"OK","rid":"r","content":"%%"}"#), None);
    assert_eq!(parse_answer(b"\xff\xfe"), None);
}

#[test]
fn commands_match_the_protocol() {
    let (line, timeout) = go_line("9b", "level-log", "7f", 1_234_567, Some("5c"), b"\x00b");
    let want = "{\"verb\":\"go\",\"rid\":\"9b\",\"attrs\":{\"c\":\"level-log\",\"k\":\"7f\",\"w\":1234,\"i\":\"5c\"},\"content\":\"AGI=\"}\n";
    assert_eq!(String::from_utf8_lossy(&line), want);
    assert_eq!(
        (&line[timeout.clone()], format_timeout(56_700, timeout.len()).as_str()),
        (&b"1234"[..], "  56")
    );
    assert_eq!(String::from_utf8_lossy(&halt_line("9b")), "{\"verb\":\"halt\",\"rid\":\"9b\"}\n");
    let stage = stage_line("L1", "7f", 2);
    let want = "{\"verb\":\"stage\",\"rid\":\"L1\",\"attrs\":{\"k\":\"7f\",\"pods\":2}}\n";
    assert_eq!(String::from_utf8_lossy(&stage), want);
}
