use super::*;

#[test]
fn reason_codes_round_trip_and_are_allowed_in_as_many_packet_types_as_specified() {
    for code in 0..=u8::MAX {
        assert_eq!(
            ReasonCode::from_code(code).map(ReasonCode::code),
            ReasonCode::from_code(code).map(|_| code)
        );
    }
    assert_eq!(ReasonCode::ALL.len(), 43);
    // The number of codes in the specification's table for each packet type.
    let counts = [
        (PacketType::Connack, 22),
        (PacketType::Puback, 9),
        (PacketType::Pubrec, 9),
        (PacketType::Pubrel, 2),
        (PacketType::Pubcomp, 2),
        (PacketType::Suback, 12),
        (PacketType::Unsuback, 7),
        (PacketType::Disconnect, 29),
        (PacketType::Auth, 3),
        (PacketType::Publish, 0),
    ];
    for (packet_type, count) in counts {
        assert_eq!(
            ReasonCode::ALL.iter().filter(|r| r.is_allowed_in(packet_type)).count(),
            count,
            "{packet_type:?}"
        );
    }
}
