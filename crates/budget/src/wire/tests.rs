use super::*;
use proptest::prelude::*;

#[test]
fn a_written_message_is_read_back_and_a_truncated_one_refused() {
    let ask = Ask { instance: u64::MAX, number: 1, amount: 2, lease: 3, worth: 4 };
    let grant = Grant { instance: 1, number: 2, amount: 3, lease: 4 };
    for word in [
        Word::Ask(0, ask),
        Word::Grant(0, grant),
        Word::Wish(9),
        Word::Back("s1".into(), 7),
        Word::Tried("s1".into()),
    ] {
        let bytes = word.written();
        assert_eq!(Word::read(&bytes), Some(word));
        assert_eq!(Word::read(&bytes[..bytes.len() - 1]), None);
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..40)) {
        let _ = Word::read(&bytes);
    }
}
