use super::*;
use serde_json::{Value, json};

fn file() -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "promise_us": 1, "deadline_us": 2_000_000,
                "repeat_window_us": 1_000_000})
    };
    json!({
            "limits": {"memory_mb": 64, "sockets": 128},
            "settings": {
                "zones": ["a", "b"], "kinds": ["std"],
                "lanes": [class("flow-read", "idempotent"), class("level-log", "deduplicated"),
                    class("alert-send", "at_most_once")],
                "limits": {"max_open": 100},
                "rules": {"stop_sending_within_us": 200_000, "cold_share": 0.2, "warm_after_us": 5,
                    "fall_multiple": 2.0},
                "family_info": {"orders": true, "load_window_us": 5_000_000, "loads_anyway": 6,
                    "loads_per_request": 0.3}}})
}

fn parts(value: &Value) -> Parts {
    Parts::read(value).expect("a good file")
}

fn grounds() -> Grounds {
    let own = parts(&file());
    let classes = ["flow-read", "level-log", "alert-send"].map(String::from).into();
    let usage = Usage { classes, requests: 40, descriptors: 50, held: 3 << 20 };
    Grounds { platform: Some(own.clone()), running: Some(own.settings), usage }
}

fn keys(grounds: &Grounds, change: impl FnOnce(&mut Value)) -> Vec<String> {
    let mut value = file();
    change(&mut value);
    broken(grounds, &parts(&value)).into_iter().map(|f| f.key).collect()
}

#[test]
fn each_rule_names_the_key_that_would_break_it() {
    let g = grounds();
    assert_eq!(keys(&g, |_| {}), [""; 0]);
    let set =
        |pointer: &'static str, to: Value| move |v: &mut Value| *v.pointer_mut(pointer).expect("a key") = to;
    let cases = [
        ("/settings/family_info/loads_anyway", json!(7), "settings.family_info.loads_anyway"),
        ("/settings/family_info/loads_per_request", json!(0.31), "settings.family_info.loads_per_request"),
        ("/settings/family_info/load_window_us", json!(4_000_000), "settings.family_info.load_window_us"),
        ("/settings/family_info/load_window_us", json!(0), "settings.family_info.load_window_us"),
        ("/settings/rules/cold_share", json!(0.3), "settings.rules.cold_share"),
        ("/settings/rules/warm_after_us", json!(4), "settings.rules.warm_after_us"),
        ("/settings/rules/fall_multiple", json!(2.1), "settings.rules.fall_multiple"),
        ("/settings/rules/stop_sending_within_us", json!(200_001), "settings.rules.stop_sending_within_us"),
        ("/limits/memory_mb", json!(65), "limits.memory_mb"),
        ("/limits/memory_mb", json!(20), "limits.memory_mb"),
        ("/limits/sockets", json!(129), "limits.sockets"),
        ("/limits/sockets", json!(50), "limits.sockets"),
        ("/settings/limits/max_open", json!(39), "settings.limits.max_open"),
        ("/settings/lanes/2/effect", json!("idempotent"), "settings.lanes[alert-send].effect"),
        ("/settings/lanes/1/effect", json!("idempotent"), "settings.lanes[level-log].repeat_window_us"),
        ("/settings/lanes/1/repeat_window_us", json!(9), "settings.lanes[level-log].repeat_window_us"),
        ("/settings/zones", json!(["b", "a"]), "settings.zones"),
        ("/settings/kinds", json!([]), "settings.kinds"),
    ];
    for (pointer, to, key) in cases {
        assert_eq!(keys(&g, set(pointer, to.clone())), [key], "{pointer} {to}");
    }
    let narrower = [
        ("/settings/family_info/loads_anyway", json!(5)),
        ("/settings/family_info/load_window_us", json!(6_000_000)),
        ("/settings/family_info/orders", json!(false)),
        ("/settings/zones", json!(["a", "b", "c"])),
        ("/settings/lanes/0/effect", json!("at_most_once")),
    ];
    for (pointer, to) in narrower {
        assert_eq!(keys(&g, set(pointer, to)), [""; 0], "{pointer}");
    }
}

#[test]
fn a_class_in_use_must_be_retired_before_it_goes() {
    let remove = |v: &mut Value| drop(v["settings"]["lanes"].as_array_mut().map(|l| l.remove(0)));
    let mut g = grounds();
    assert_eq!(keys(&g, remove), ["settings.lanes[flow-read]"]);
    assert_eq!(keys(&g, |v| v["settings"]["lanes"][0]["retired"] = json!(true)), [""; 0]);
    if let Some(running) = &mut g.running {
        running.retired[0] = true;
    }
    assert_eq!(keys(&g, remove), [""; 0]);
    g = grounds();
    g.usage.classes.remove("flow-read");
    assert_eq!(keys(&g, remove), [""; 0]);
}

#[test]
fn the_drain_rule_is_the_platform_s_own() {
    let mut wide = file();
    wide["settings"]["rules"]["stop_sending_within_us"] = json!(2_000_000);
    let mut g = grounds();
    g.platform = Some(parts(&wide));
    let set = |us: u64| move |v: &mut Value| v["settings"]["rules"]["stop_sending_within_us"] = json!(us);
    assert_eq!(keys(&g, set(2_000_000)), [""; 0]);
    assert_eq!(keys(&g, set(2_000_001)), ["settings.rules.stop_sending_within_us"]);
}

#[test]
fn without_a_file_of_the_platform_the_brief_s_own_figures_bind() {
    let g = Grounds { platform: None, running: None, usage: Usage::default() };
    assert_eq!(keys(&g, |_| {}), [""; 0]);
    let wide = |v: &mut Value| v["settings"]["family_info"]["loads_anyway"] = json!(6.5);
    assert_eq!(keys(&g, wide), ["settings.family_info.loads_anyway"]);
    let late = |v: &mut Value| v["settings"]["rules"]["stop_sending_within_us"] = json!(250_001);
    assert_eq!(keys(&g, late), ["settings.rules.stop_sending_within_us"]);
}
