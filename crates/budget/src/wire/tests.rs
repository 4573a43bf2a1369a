use super::*;
use proptest::prelude::*;

#[test]
fn a_written_message_is_read_back_and_a_truncated_one_refused() {
    let ask = LeaseRequest { instance: u64::MAX, number: 1, amount: 2, lease: 3, worth: 4 };
    let grant = LeaseGrant { instance: 1, number: 2, amount: 3, lease: 4 };
    for word in [
        Message::Ask(0, ask),
        Message::Grant(0, grant),
        Message::Wish(9),
        Message::Back("s1".into(), 7),
        Message::Tried("s1".into()),
    ] {
        let bytes = word.encode();
        assert_eq!(Message::decode(&bytes), Some(word));
        assert_eq!(Message::decode(&bytes[..bytes.len() - 1]), None);
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..40)) {
        let _ = Message::decode(&bytes);
    }
}
