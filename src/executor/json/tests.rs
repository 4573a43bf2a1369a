use super::*;

#[test]
fn written_strings_parse_back_to_the_same_text() {
    for text in ["", "a", "\"\\\n\u{1}", "ü😀"] {
        let mut out = String::new();
        write_string(&mut out, text);
        assert_eq!(parse(&out).expect(text).text(), Some(text));
    }
    assert_eq!(parse(r#""\ud83d\ude00\u00fc""#).expect("escapes").text(), Some("😀ü"));
}

#[test]
fn members_are_found_by_name_among_values_of_other_types() {
    let value = parse(r#" {"a":[1,{"b":null}],"attrs":{"depth":3,"w":"4"},"z":true} "#).expect("good");
    let attrs = value.get("attrs").expect("attrs");
    assert_eq!(
        (attrs.get("depth").and_then(Json::text), attrs.get("w").and_then(Json::text)),
        (Some("3"), Some("4"))
    );
}

#[test]
fn malformed_input_is_rejected() {
    let deep = "[".repeat(100_000);
    for text in
        ["", "{", "{\"a\"}", "{\"a\":1,}", "\"\\ud800\"", "\"\\u12", "1 2", "nul", "-", &deep, "\"\\é\""]
    {
        assert_eq!(parse(text), None, "{text:.20}");
    }
}
