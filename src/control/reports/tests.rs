use super::*;

#[test]
fn report_weight_decays_and_is_zero_without_a_report() {
    let report = LoadReport::new(1_000_000, 7.0, 2);
    assert_eq!(report.held_for_others(1_000_000), (5.0, 1.0));
    let (others, weight) = report.held_for_others(1_400_000);
    assert!(others == 5.0 && (0.36..0.38).contains(&weight), "{weight}");
    assert!(report.held_for_others(5_000_000).1 < 0.001);
    assert_eq!(LoadReport::default().held_for_others(0), (0.0, 0.0));
    assert_eq!(
        LoadReport::new(9, 1.0, 5).held_for_others(9).0,
        0.0,
        "a delayed report may state fewer requests than this router's own"
    );
}

#[test]
fn only_plausible_values_named_by_the_settings_are_read() {
    let fields = ReportFields::of(&[ReportField::Other, ReportField::Inflight]);
    assert_eq!(fields.held(&[0.5, 7.0]), Some(7.0));
    for invalid in [f64::NAN, f64::INFINITY, -1.0, 1e9] {
        assert_eq!(fields.held(&[0.5, invalid]), None, "{invalid}");
    }
    assert_eq!(fields.held(&[0.5]), None, "the report has too few values");
    assert!(!ReportFields::of(&[ReportField::Queue]).reports_held());
    assert_eq!(ReportFields::default().held(&[1.0]), None);
}
