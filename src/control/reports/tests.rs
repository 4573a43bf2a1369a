use super::*;

#[test]
fn report_weight_decays_and_is_zero_without_a_report() {
    let report = Report::hear(1_000_000, 7.0, 2);
    assert_eq!(report.others(1_000_000), (5.0, 1.0));
    let (others, weight) = report.others(1_400_000);
    assert!(others == 5.0 && (0.36..0.38).contains(&weight), "{weight}");
    assert!(report.others(5_000_000).1 < 0.001);
    assert_eq!(Report::default().others(0), (0.0, 0.0));
    assert_eq!(
        Report::hear(9, 1.0, 5).others(9).0,
        0.0,
        "a delayed report may state fewer requests than this router's own"
    );
}

#[test]
fn only_plausible_values_named_by_the_settings_are_read() {
    let fields = Fields::of(&[ReportField::Other, ReportField::Inflight]);
    assert_eq!(fields.held(&[0.5, 7.0]), Some(7.0));
    for invalid in [f64::NAN, f64::INFINITY, -1.0, 1e9] {
        assert_eq!(fields.held(&[0.5, invalid]), None, "{invalid}");
    }
    assert_eq!(fields.held(&[0.5]), None, "the report has too few values");
    assert!(!Fields::of(&[ReportField::Queue]).told());
    assert_eq!(Fields::default().held(&[1.0]), None);
}
