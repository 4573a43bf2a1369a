use super::*;
use crate::config::Config;

fn standing(text: &str) -> Vec<(String, Standing)> {
    let config = Config::read(text).expect("good");
    features(&config.parts.settings).into_iter().map(|f| (f.name, f.standing)).collect()
}

#[test]
fn two_deployments_differ_by_their_settings_alone() {
    let zones = standing(include_str!("../../../deploy/example.json"));
    let rooms = standing(include_str!("../../../deploy/rooms.json"));
    let differ: Vec<&str> = zones
        .iter()
        .zip(&rooms)
        .filter(|(h, r)| h.0 == r.0 && h.1 != r.1)
        .map(|(h, _)| h.0.as_str())
        .collect();
    let want = [
        "backups",
        "load reports",
        "orders to hold copies",
        "notes on copies",
        "notes on crowds",
        "crossing zones",
    ];
    assert_eq!(differ, want);
}

#[test]
fn what_the_program_does_not_do_is_said() {
    let text = include_str!("../../../deploy/rooms.json")
        .replace(r#""miss_mode": "load""#, r#""miss_mode": "miss""#);
    let unmet: Vec<String> =
        standing(&text).into_iter().filter(|f| f.1 == Standing::Unmet).map(|f| f.0).collect();
    assert_eq!(unmet, ["loads on a miss"]);
}

#[test]
fn reports_that_only_probes_carry_are_left_off() {
    let text =
        include_str!("../../../deploy/rooms.json").replace(r#""how": "inline""#, r#""how": "on_probe""#);
    assert!(standing(&text).contains(&("load reports".to_string(), Standing::Off)));
}
