use super::*;

#[test]
fn what_is_written_is_read_back() {
    for text in ["", "a", "\"\\\n\u{1}", "ü😀"] {
        let mut out = String::new();
        quote(&mut out, text);
        assert_eq!(read(&out).expect(text).text(), Some(text));
    }
    assert_eq!(read(r#""\ud83d\ude00\u00fc""#).expect("escapes").text(), Some("😀ü"));
}

#[test]
fn members_are_found_among_others() {
    let value = read(r#" {"a":[1,{"b":null}],"attrs":{"depth":3,"w":"4"},"z":true} "#).expect("good");
    let attrs = value.get("attrs").expect("attrs");
    assert_eq!(
        (attrs.get("depth").and_then(Json::text), attrs.get("w").and_then(Json::text)),
        (Some("3"), Some("4"))
    );
}

#[test]
fn nonsense_is_refused() {
    let deep = "[".repeat(100_000);
    for text in
        ["", "{", "{\"a\"}", "{\"a\":1,}", "\"\\ud800\"", "\"\\u12", "1 2", "nul", "-", &deep, "\"\\é\""]
    {
        assert_eq!(read(text), None, "{text:.20}");
    }
}
