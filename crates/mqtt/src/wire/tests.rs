use super::*;

#[test]
fn variable_byte_integers_take_the_bytes_that_the_specification_says() {
    let table = [(0, 1), (127, 1), (128, 2), (16_383, 2), (16_384, 3), (2_097_151, 3), (2_097_152, 4)];
    for (value, size) in table.into_iter().chain([(MOST_VARIABLE, 4)]) {
        let mut out = Vec::new();
        put_variable(&mut out, value);
        assert_eq!(out.len(), size, "{value}");
        assert_eq!(variable(&out), Ok(Some((value, size))));
        for cut in 0..size {
            assert_eq!(variable(&out[..cut]), Ok(None));
        }
    }
    assert!(variable(&[0x80, 0x80, 0x80, 0x80]).is_err());
    assert_eq!(variable(&[0x80, 0x00]).map_err(|v| v.statement), Err("MQTT-1.5.5-1"));
}

#[test]
fn texts_that_the_specification_forbids_are_malformed() {
    let text = |bytes: &[u8]| {
        let mut out = Vec::new();
        put_binary(&mut out, bytes);
        Reader::new(&out).text().map(str::to_string).map_err(|v| v.statement)
    };
    assert_eq!(text("a\u{feff}\u{20ac}".as_bytes()), Ok("a\u{feff}\u{20ac}".to_string()));
    assert_eq!(text(b"a\0b"), Err("MQTT-1.5.4-2"));
    assert_eq!(text(&[0xed, 0xa0, 0x80]), Err("MQTT-1.5.4-1"));
    assert_eq!(text(&[0xc0, 0x80]), Err("MQTT-1.5.4-1"));
}
