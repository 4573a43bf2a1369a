use super::*;

#[test]
fn a_report_fades_and_none_is_worth_nothing() {
    let report = Report::hear(1_000_000, 7.0, 2);
    assert_eq!(report.others(1_000_000), (5.0, 1.0));
    let (others, worth) = report.others(1_400_000);
    assert!(others == 5.0 && (0.36..0.38).contains(&worth), "{worth}");
    assert!(report.others(5_000_000).1 < 0.001);
    assert_eq!(Report::default().others(0), (0.0, 0.0));
    assert_eq!(Report::hear(9, 1.0, 5).others(9).0, 0.0, "fewer than our own: a late report");
}

#[test]
fn only_what_the_settings_name_and_can_be_believed_is_read() {
    let fields = Fields::of(&[ReportField::Other, ReportField::Inflight]);
    assert_eq!(fields.held(&[0.5, 7.0]), Some(7.0));
    for bad in [f64::NAN, f64::INFINITY, -1.0, 1e9] {
        assert_eq!(fields.held(&[0.5, bad]), None, "{bad}");
    }
    assert_eq!(fields.held(&[0.5]), None, "cut short");
    assert!(!Fields::of(&[ReportField::Queue]).told());
    assert_eq!(Fields::default().held(&[1.0]), None);
}
