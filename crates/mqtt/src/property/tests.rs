use super::*;

fn read(bytes: &[u8], packet_type: PacketType) -> Result<Properties, &'static str> {
    let mut whole = Vec::new();
    put_variable_byte_integer(&mut whole, bytes.len() as u32);
    whole.extend(bytes);
    Properties::read(&mut Reader::new(&whole), Location::Packet(packet_type)).map_err(|v| v.description)
}

#[test]
fn each_property_is_allowed_exactly_in_the_packet_types_of_table_2_4() {
    // One value of each property, and the packet types that may carry it (MQTT 5.0, table 2-4); 0 is the will.
    let table: [(&[u8], &[u8]); 27] = [
        (&[0x01, 1], &[3, 0]),
        (&[0x02, 0, 0, 0, 1], &[3, 0]),
        (&[0x03, 0, 1, b'a'], &[3, 0]),
        (&[0x08, 0, 1, b'a'], &[3, 0]),
        (&[0x09, 0, 1, b'a'], &[3, 0]),
        (&[0x0b, 1], &[3, 8]),
        (&[0x11, 0, 0, 0, 1], &[1, 2, 14]),
        (&[0x12, 0, 1, b'a'], &[2]),
        (&[0x13, 0, 1], &[2]),
        (&[0x15, 0, 1, b'a'], &[1, 2, 15]),
        (&[0x15, 0, 1, b'a', 0x16, 0, 1, b'a'], &[1, 2, 15]),
        (&[0x17, 1], &[1]),
        (&[0x18, 0, 0, 0, 1], &[0]),
        (&[0x19, 1], &[1]),
        (&[0x1a, 0, 1, b'a'], &[2]),
        (&[0x1c, 0, 1, b'a'], &[2, 14]),
        (&[0x1f, 0, 1, b'a'], &[2, 4, 5, 6, 7, 9, 11, 14, 15]),
        (&[0x21, 0, 1], &[1, 2]),
        (&[0x22, 0, 1], &[1, 2]),
        (&[0x23, 0, 1], &[3]),
        (&[0x24, 1], &[2]),
        (&[0x25, 1], &[2]),
        (&[0x26, 0, 1, b'a', 0, 1, b'b'], &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 14, 15]),
        (&[0x27, 0, 0, 0, 1], &[1, 2]),
        (&[0x28, 1], &[2]),
        (&[0x29, 1], &[2]),
        (&[0x2a, 1], &[2]),
    ];
    for (bytes, packet_types) in table {
        let mut whole = Vec::new();
        put_variable_byte_integer(&mut whole, bytes.len() as u32);
        whole.extend(bytes);
        let all = PacketType::ALL.map(Location::Packet).into_iter().chain([Location::Will]);
        for location in
            all.filter(|p| !matches!(p, Location::Packet(PacketType::Pingreq | PacketType::Pingresp)))
        {
            let number = if let Location::Packet(packet_type) = location { packet_type as u8 } else { 0 };
            let result = Properties::read(&mut Reader::new(&whole), location);
            assert_eq!(result.is_ok(), packet_types.contains(&number), "{bytes:?} {location:?} {result:?}");
            if let Ok(properties) = result {
                let mut out = Vec::new();
                properties.write(&mut out);
                assert_eq!(out, whole);
                assert_eq!(properties.first_disallowed(location), None);
            }
        }
    }
}

#[test]
fn duplicate_unknown_and_out_of_range_properties_are_distinguished() {
    assert_eq!(read(&[0x24, 1, 0x24, 1], PacketType::Connack), Err("a duplicate property"));
    assert_eq!(read(&[0x0b, 1, 0x0b, 2], PacketType::Subscribe), Err("a duplicate property"));
    assert_eq!(read(&[0x0b, 1, 0x0b, 2], PacketType::Publish).map(|p| p.subscription_ids), Ok(vec![1, 2]));
    assert_eq!(read(&[0x04, 1], PacketType::Connack), Err("an unknown property"));
    assert_eq!(read(&[0xff, 0x01], PacketType::Connack), Err("an unknown property"));
    assert_eq!(read(&[0x25, 2], PacketType::Connack), Err("a property whose value must be 0 or 1"));
    assert_eq!(read(&[0x21, 0, 0], PacketType::Connect), Err("a receive maximum of 0"));
    assert_eq!(read(&[0x27, 0, 0, 0, 0], PacketType::Connect), Err("a maximum packet size of 0"));
    assert_eq!(read(&[0x0b, 0], PacketType::Publish), Err("a subscription identifier of 0"));
    assert_eq!(read(&[0x16, 0, 0], PacketType::Auth), Err("authentication data without a method"));
    assert_eq!(read(&[0x21, 0], PacketType::Connect), Err("a truncated packet"));
}
