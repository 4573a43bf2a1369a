use super::*;

#[test]
fn variable_byte_integers_have_the_sizes_that_the_specification_gives() {
    let table = [(0, 1), (127, 1), (128, 2), (16_383, 2), (16_384, 3), (2_097_151, 3), (2_097_152, 4)];
    for (value, size) in table.into_iter().chain([(MOST_VARIABLE, 4)]) {
        let mut out = Vec::new();
        put_variable_byte_integer(&mut out, value);
        assert_eq!(out.len(), size, "{value}");
        assert_eq!(decode_variable_byte_integer(&out), Ok(Some((value, size))));
        for cut in 0..size {
            assert_eq!(decode_variable_byte_integer(&out[..cut]), Ok(None));
        }
    }
    assert!(decode_variable_byte_integer(&[0x80, 0x80, 0x80, 0x80]).is_err());
    assert_eq!(decode_variable_byte_integer(&[0x80, 0x00]).map_err(|v| v.statement), Err("MQTT-1.5.5-1"));
}

#[test]
fn ill_formed_utf8_and_null_characters_are_malformed() {
    let read = |bytes: &[u8]| {
        let mut out = Vec::new();
        put_binary(&mut out, bytes);
        Reader::new(&out).string().map(str::to_string).map_err(|v| v.statement)
    };
    assert_eq!(read("a\u{feff}\u{20ac}".as_bytes()), Ok("a\u{feff}\u{20ac}".to_string()));
    assert_eq!(read(b"a\0b"), Err("MQTT-1.5.4-2"));
    assert_eq!(read(&[0xed, 0xa0, 0x80]), Err("MQTT-1.5.4-1"));
    assert_eq!(read(&[0xc0, 0x80]), Err("MQTT-1.5.4-1"));
}
