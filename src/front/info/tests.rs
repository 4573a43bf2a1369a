use super::*;

fn fields(overrides: &[(&str, Option<&str>)]) -> Fields {
    let mut fields: Fields = [
        ("op", "call"),
        ("call", "9b1f03aa5c7e2d41"),
        ("ttl", "1500"),
        ("row", "7f3a9c21e0b4d655"),
        ("info", "memory_mb:512;lanes:2;load_ms:640"),
    ]
    .map(|(k, v)| (k.to_string(), v.to_string()))
    .into();
    for (name, value) in overrides {
        match value {
            Some(value) => fields.insert(name.to_string(), value.to_string()),
            None => fields.remove(*name),
        };
    }
    fields
}

#[test]
fn valid_fields_are_parsed() {
    let sketch = ParsedRequest::read(&fields(&[])).expect("good");
    assert_eq!((sketch.ttl_us, sketch.lanes, sketch.load_us), (1_500_000, 2.0, Some(640_000)));
}

#[test]
fn work_hint_and_retry_mark_are_parsed() {
    let sketch = ParsedRequest::read(&fields(&[("work", Some("8.2")), ("rep", Some("1"))])).expect("good");
    assert_eq!((sketch.work_us, sketch.again), (Some(8_200), true));
    let plain = ParsedRequest::read(&fields(&[("work", Some("0"))])).expect("good");
    assert_eq!((plain.work_us, plain.again), (None, false), "a hint of zero counts as absent");
}

#[test]
fn each_invalid_field_is_reported_by_name() {
    let invalid = [
        ("op", None),
        ("call", Some("xyz")),
        ("ttl", Some("soon")),
        ("ttl", Some("-1")),
        ("row", Some("7f")),
        ("dedupe", Some("no hex")),
        ("info", Some("lanes=2")),
        ("info", Some("lanes:NaN")),
        ("info", Some("lanes:0")),
        ("info", Some("memory_mb:1e300")),
        ("info", Some("load_ms:-1")),
        ("work", Some("x")),
        ("work", Some("1e9")),
    ];
    for (name, value) in invalid {
        assert_eq!(ParsedRequest::read(&fields(&[(name, value)])).expect_err(name).field, name);
    }
}
