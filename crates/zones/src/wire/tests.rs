use super::*;
use proptest::prelude::*;

fn word(zone: &str) -> ZoneWord {
    ZoneWord {
        zone: zone.into(),
        opinion: Opinion::Silent,
        epoch: u64::MAX,
        step: TOP,
        reason: Reason::Gone,
        age_ms: u32::MAX,
        good: u32::MAX,
        rate: u32::MAX,
        peak: u32::MAX,
    }
}

#[test]
fn what_is_written_is_read_and_fits_a_note() {
    let names: Vec<String> = (0..MOST_ZONES).map(|n| format!("{n:0>32}")).collect();
    let report = Report { zones: names.iter().map(|n| word(n)).collect() };
    let bytes = report.written();
    assert!(bytes.len() <= 900, "{}", bytes.len());
    assert_eq!(Report::read(&bytes), Some(report.clone()));
    assert_eq!(Report::read(&bytes[..bytes.len() - 1]), None);
    for broken in [ZoneWord { step: TOP + 1, ..word("a") }, word(""), word(&"x".repeat(MOST_NAME + 1))] {
        assert_eq!(Report::read(&Report { zones: vec![broken] }.written()), None);
    }
    let many = Report { zones: vec![word("a"); MOST_ZONES + 1] };
    assert_eq!(Report::read(&many.written()), None);
}

proptest! {
    #[test]
    fn no_bytes_make_it_panic(bytes in prop::collection::vec(any::<u8>(), 0..60)) {
        let _ = Report::read(&bytes);
    }
}
