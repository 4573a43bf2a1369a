use super::*;
use proptest::prelude::*;

fn claim(name: &str) -> Claim {
    let address = SocketAddr::from(([127, 0, 0, 1], 7));
    Claim {
        name: name.into(),
        address,
        instance: 1,
        incarnation: 2,
        state: State::Alive,
        record: Record::default(),
    }
}

fn header() -> Header {
    Header { group: group_hash("g"), own: claim("n0"), sequence: 3, digest: 9, alive: 4, load: 500 }
}

#[test]
fn encoded_packet_decodes_to_the_same_and_stays_within_the_size_limit() {
    let body = Body::PingRequest { number: 7, target: "n1".into(), address: SocketAddr::from(([0; 16], 9)) };
    let claims: Vec<Claim> = (0..200).map(|n| claim(&format!("{n:0>64}"))).collect();
    let (packet, count) = encode(&header(), &body, &claims);
    assert!(
        packet.len() <= MAX_PACKET_BYTES && (8..40).contains(&count),
        "{count} claims in {}",
        packet.len()
    );
    let decoded = decode(&packet, group_hash("g")).expect("valid packet");
    assert_eq!((decoded.header, decoded.body, decoded.claims.len()), (header(), body, count));
}

#[test]
fn truncated_corrupt_and_out_of_bounds_packets_are_rejected() {
    let (packet, _) = encode(&header(), &Body::Claims, &[claim("n1")]);
    for cut in 0..packet.len() {
        assert!(decode(&packet[..cut], group_hash("g")).is_err(), "truncated to {cut} bytes");
    }
    for at in 0..packet.len() {
        let mut corrupt = packet.clone();
        corrupt[at] ^= 0x20;
        assert!(decode(&corrupt, group_hash("g")).is_err(), "corrupt at byte {at}");
    }
    assert_eq!(decode(&packet, group_hash("other")), Err(DecodeError::OtherGroup));
    let mut old = packet[..packet.len() - 4].to_vec();
    old[2] = 0;
    old.extend(crc32fast::hash(&old).to_le_bytes());
    assert_eq!(decode(&old, group_hash("g")), Err(DecodeError::OtherVersion(0)));
    let (long, _) =
        encode(&header(), &Body::CompareBuckets { digests: vec![0; BUCKETS + 1], answer: true }, &[]);
    assert_eq!(decode(&long, group_hash("g")), Err(DecodeError::OutOfBounds));
    let (long, _) = encode(&header(), &Body::Message { channel: 1, bytes: vec![0; MAX_NOTE_BYTES + 1] }, &[]);
    assert_eq!(decode(&long, group_hash("g")), Err(DecodeError::OutOfBounds));
    let (note, _) = encode(&header(), &Body::Message { channel: 1, bytes: vec![255; MAX_NOTE_BYTES] }, &[]);
    assert!(note.len() <= MAX_PACKET_BYTES && decode(&note, group_hash("g")).is_ok());
    let (long, _) = encode(&header(), &Body::Claims, &[claim(&"x".repeat(65))]);
    assert_eq!(decode(&long, group_hash("g")), Err(DecodeError::OutOfBounds));
}

#[test]
fn replay_window_rejects_replays_and_accepts_reordered_packets() {
    let mut window = ReplayWindow::default();
    for (sequence, new) in [(5, true), (5, false), (3, true), (3, false), (70, true), (5, false), (69, true)]
    {
        assert_eq!(window.accept(1, sequence), new, "{sequence}");
    }
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode(&bytes, 1);
        let mut packet = b"oP\x01".to_vec();
        packet.extend(bytes);
        packet.extend(crc32fast::hash(&packet).to_le_bytes());
        let _ = decode(&packet, 1);
    }
}
