use super::*;

#[test]
fn a_storm_of_one_kind_is_rationed_and_costs_others_nothing() {
    let mut ration = Ration::default();
    let storm = (0..1_000).filter(|n| ration.take(n * 1_000, ("a.rs", 1))).count();
    assert_eq!(storm, 20 + 4);
    assert_eq!(ration.dropped(("a.rs", 1)), 1_000 - 24);
    assert_eq!(ration.dropped(("a.rs", 1)), 0);
    assert!(ration.take(1_000_000, ("a.rs", 2)));
    assert!(ration.take(10_000_000, ("a.rs", 1)));
}
