use super::*;
use crate::config::Config;

fn statuses(text: &str) -> Vec<(String, FeatureStatus)> {
    let config = Config::read(text).expect("good");
    features(&config.parts.settings).into_iter().map(|f| (f.name, f.status)).collect()
}

#[test]
fn features_of_two_deployments_follow_from_their_settings() {
    let zones = statuses(include_str!("../../../deploy/example.json"));
    let rooms = statuses(include_str!("../../../deploy/rooms.json"));
    let differ: Vec<&str> = zones
        .iter()
        .zip(&rooms)
        .filter(|(zone, room)| zone.0 == room.0 && zone.1 != room.1)
        .map(|(zone, _)| zone.0.as_str())
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
fn unsupported_miss_mode_is_reported_as_unmet() {
    let text = include_str!("../../../deploy/rooms.json")
        .replace(r#""miss_mode": "load""#, r#""miss_mode": "miss""#);
    let unmet: Vec<String> =
        statuses(&text).into_iter().filter(|f| f.1 == FeatureStatus::Unmet).map(|f| f.0).collect();
    assert_eq!(unmet, ["loads on a miss"]);
}

#[test]
fn load_reports_carried_only_by_probes_are_off() {
    let text =
        include_str!("../../../deploy/rooms.json").replace(r#""how": "inline""#, r#""how": "on_probe""#);
    assert!(statuses(&text).contains(&("load reports".to_string(), FeatureStatus::Off)));
}
