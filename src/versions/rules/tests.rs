use super::*;
use serde_json::{Value, json};

fn platform_file() -> Value {
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

fn parse(value: &Value) -> VersionedConfig {
    VersionedConfig::read(value).expect("a good file")
}

fn check_context() -> CheckContext {
    let own = parse(&platform_file());
    let classes = ["flow-read", "level-log", "alert-send"].map(String::from).into();
    let usage = Usage { classes, requests: 40, descriptors: 50, held_bytes: 3 << 20 };
    CheckContext { platform: Some(own.clone()), running: Some(own.settings), usage }
}

fn violated_keys(context: &CheckContext, change: impl FnOnce(&mut Value)) -> Vec<String> {
    let mut value = platform_file();
    change(&mut value);
    violations(context, &parse(&value)).into_iter().map(|f| f.key).collect()
}

#[test]
fn each_violated_rule_names_its_key() {
    let context = check_context();
    assert_eq!(violated_keys(&context, |_| {}), [""; 0]);
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
        (
            "/settings/lanes/1/repeat_window_us",
            json!(1_000_001),
            "settings.lanes[level-log].repeat_window_us",
        ),
        ("/settings/zones", json!(["b", "a"]), "settings.zones"),
        ("/settings/kinds", json!([]), "settings.kinds"),
    ];
    for (pointer, to, key) in cases {
        assert_eq!(violated_keys(&context, set(pointer, to.clone())), [key], "{pointer} {to}");
    }
    let narrower = [
        ("/settings/family_info/loads_anyway", json!(5)),
        ("/settings/family_info/load_window_us", json!(6_000_000)),
        ("/settings/family_info/orders", json!(false)),
        ("/settings/zones", json!(["a", "b", "c"])),
        ("/settings/lanes/0/effect", json!("at_most_once")),
    ];
    for (pointer, to) in narrower {
        assert_eq!(violated_keys(&context, set(pointer, to)), [""; 0], "{pointer}");
    }
}

#[test]
fn a_class_in_use_must_be_retired_before_removal() {
    let remove = |v: &mut Value| drop(v["settings"]["lanes"].as_array_mut().map(|l| l.remove(0)));
    let mut context = check_context();
    assert_eq!(violated_keys(&context, remove), ["settings.lanes[flow-read]"]);
    assert_eq!(violated_keys(&context, |v| v["settings"]["lanes"][0]["retired"] = json!(true)), [""; 0]);
    if let Some(running) = &mut context.running {
        running.retired[0] = true;
    }
    assert_eq!(violated_keys(&context, remove), [""; 0]);
    context = check_context();
    context.usage.classes.remove("flow-read");
    assert_eq!(violated_keys(&context, remove), [""; 0]);
}

#[test]
fn the_drain_limit_is_taken_from_the_platform_s_file() {
    let mut wide = platform_file();
    wide["settings"]["rules"]["stop_sending_within_us"] = json!(2_000_000);
    let mut context = check_context();
    context.platform = Some(parse(&wide));
    let set = |us: u64| move |v: &mut Value| v["settings"]["rules"]["stop_sending_within_us"] = json!(us);
    assert_eq!(violated_keys(&context, set(2_000_000)), [""; 0]);
    assert_eq!(violated_keys(&context, set(2_000_001)), ["settings.rules.stop_sending_within_us"]);
}

#[test]
fn default_limits_apply_without_a_platform_file() {
    let context = CheckContext { platform: None, running: None, usage: Usage::default() };
    assert_eq!(violated_keys(&context, |_| {}), [""; 0]);
    let wide = |v: &mut Value| v["settings"]["family_info"]["loads_anyway"] = json!(6.5);
    assert_eq!(violated_keys(&context, wide), ["settings.family_info.loads_anyway"]);
    let late = |v: &mut Value| v["settings"]["rules"]["stop_sending_within_us"] = json!(250_001);
    assert_eq!(violated_keys(&context, late), ["settings.rules.stop_sending_within_us"]);
}
