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
    Header { group: group("g"), own: claim("n0"), stamp: 3, digest: 9, alive: 4, load: 500 }
}

#[test]
fn what_is_written_is_read_and_no_packet_is_too_large() {
    let body = Body::Seek { number: 7, target: "n1".into(), address: SocketAddr::from(([0; 16], 9)) };
    let claims: Vec<Claim> = (0..200).map(|n| claim(&format!("{n:0>64}"))).collect();
    let (packet, count) = write(&header(), &body, &claims);
    assert!(packet.len() <= MOST_PACKET && (8..40).contains(&count), "{count} claims in {}", packet.len());
    let read = read(&packet, group("g")).expect("good");
    assert_eq!((read.header, read.body, read.claims.len()), (header(), body, count));
}

#[test]
fn each_cut_and_each_bent_byte_is_told() {
    let (packet, _) = write(&header(), &Body::Claims, &[claim("n1")]);
    for cut in 0..packet.len() {
        assert!(read(&packet[..cut], group("g")).is_err(), "cut at {cut}");
    }
    for at in 0..packet.len() {
        let mut bent = packet.clone();
        bent[at] ^= 0x20;
        assert!(read(&bent, group("g")).is_err(), "bent at {at}");
    }
    assert_eq!(read(&packet, group("other")), Err(Unread::Group));
    let mut old = packet[..packet.len() - 4].to_vec();
    old[2] = 0;
    old.extend(crc32fast::hash(&old).to_le_bytes());
    assert_eq!(read(&old, group("g")), Err(Unread::Version(0)));
    let (long, _) = write(&header(), &Body::Differ { marks: vec![0; MARKS + 1], answer: true }, &[]);
    assert_eq!(read(&long, group("g")), Err(Unread::Bounds));
    let (long, _) = write(&header(), &Body::Note { channel: 1, bytes: vec![0; MOST_NOTE + 1] }, &[]);
    assert_eq!(read(&long, group("g")), Err(Unread::Bounds));
    let (note, _) = write(&header(), &Body::Note { channel: 1, bytes: vec![255; MOST_NOTE] }, &[]);
    assert!(note.len() <= MOST_PACKET && read(&note, group("g")).is_ok());
    let (long, _) = write(&header(), &Body::Claims, &[claim(&"x".repeat(65))]);
    assert_eq!(read(&long, group("g")), Err(Unread::Bounds));
}

#[test]
fn a_replay_is_told_and_what_overtook_another_is_not_one() {
    let mut window = Window::default();
    for (stamp, new) in [(5, true), (5, false), (3, true), (3, false), (70, true), (5, false), (69, true)] {
        assert_eq!(window.take(1, stamp), new, "{stamp}");
    }
}

proptest! {
    #[test]
    fn no_bytes_make_it_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = read(&bytes, 1);
        let mut whole = b"oP\x01".to_vec();
        whole.extend(bytes);
        whole.extend(crc32fast::hash(&whole).to_le_bytes());
        let _ = read(&whole, 1);
    }
}
