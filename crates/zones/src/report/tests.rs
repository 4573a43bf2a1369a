use super::*;
use proptest::prelude::*;

fn zone_word(zone: &str) -> ZoneReport {
    ZoneReport {
        zone: zone.into(),
        opinion: Opinion::Silent,
        epoch: u64::MAX,
        step: TOP_STEP,
        reason: Reason::Gone,
        age_ms: u32::MAX,
        answers: u32::MAX,
        rate: u32::MAX,
        peak: u32::MAX,
    }
}

#[test]
fn a_written_report_is_read_back_and_stays_within_900_bytes() {
    let names: Vec<String> = (0..MAX_ZONES).map(|n| format!("{n:0>32}")).collect();
    let report = Report { zones: names.iter().map(|n| zone_word(n)).collect() };
    let bytes = report.encode();
    assert!(bytes.len() <= 900, "{}", bytes.len());
    assert_eq!(Report::decode(&bytes), Some(report.clone()));
    assert_eq!(Report::decode(&bytes[..bytes.len() - 1]), None);
    for invalid in [
        ZoneReport { step: TOP_STEP + 1, ..zone_word("a") },
        zone_word(""),
        zone_word(&"x".repeat(MAX_NAME_LEN + 1)),
    ] {
        assert_eq!(Report::decode(&Report { zones: vec![invalid] }.encode()), None);
    }
    let many = Report { zones: vec![zone_word("a"); MAX_ZONES + 1] };
    assert_eq!(Report::decode(&many.encode()), None);
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..60)) {
        let _ = Report::decode(&bytes);
    }
}
