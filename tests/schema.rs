//! The configuration readers and the schemas generated from them agree: both accept every shipped example and both
//! reject each broken file.

use ochreward::config::{Config, Faults, Operator, version};
use serde_json::{Value, json};

fn example() -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:8080", "seed": "8c1f", "ops": "127.0.0.1:8081",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "names": "127.0.0.1:53",
        "known": {"offset": 1, "batch": [{"offset": 1, "topology": {"reset": true, "instances": [
            {"instanceId": "s0", "hostPort": "127.0.0.1:9", "zone": "a", "machineType": "std", "cell": 0,
             "lifecycle": "in_service", "startedAtMs": 0}]}}]},
        "settings": {
            "balancers": 1, "me": 0, "my_zone": 0, "zones": ["a"], "kinds": ["std"], "tick_us": 4000,
            "lanes": [{"name": "flow-read", "effect": "idempotent", "key_scope": "all", "promise_us": 800000,
                       "deadline_us": 2000000, "credit": 1.0}],
            "orgs": [{"name": "acme", "quota_per_s": 100}],
            "limits": {"cancel": true, "send_cap": 3, "max_open": 1000},
            "rules": {"cold_share": 0.15}, "family_info": {"orders": true}}})
}

/// Sets the value at a JSON pointer, or removes it for `None`.
fn with(mut value: Value, pointer: &str, to: Option<Value>) -> Value {
    let (parent, name) = pointer.rsplit_once('/').expect("a pointer");
    let parent = value.pointer_mut(parent).expect("a parent");
    match (parent, to) {
        (Value::Object(o), Some(to)) => drop(o.insert(name.to_string(), to)),
        (Value::Object(o), None) => drop(o.remove(name)),
        (Value::Array(a), Some(to)) => a[name.parse::<usize>().expect("an index")] = to,
        other => panic!("{other:?}"),
    }
    value
}

fn assert_same_verdict(schema: &Value, value: &Value, read: &Result<(), Faults>, good: bool) {
    let valid = jsonschema::validator_for(schema).expect("a schema").is_valid(value);
    assert_eq!((valid, read.is_ok()), (good, good), "{read:?} of {value:#}");
}

#[test]
fn reader_and_schema_agree_on_dispatcher_files() {
    let schema = Config::schema();
    let read = |v: &Value| Config::read(&v.to_string()).map(drop);
    assert_same_verdict(&schema, &example(), &read(&example()), true);
    let shipped = serde_json::from_str(include_str!("../deploy/example.json")).expect("JSON");
    assert_same_verdict(&schema, &shipped, &read(&shipped), true);
    let rooms = serde_json::from_str(include_str!("../deploy/rooms.json")).expect("JSON");
    assert_same_verdict(&schema, &rooms, &read(&rooms), true);
    let broken = [
        ("/listen", None),
        ("/names", Some(json!("here"))),
        ("/settings", None),
        ("/settings/lanes", Some(json!([]))),
        ("/settings/lanes/0/deadline_us", Some(json!(0))),
        ("/settings/lanes/0/name", Some(json!(7))),
        ("/settings/lanes/0/effect", Some(json!("sometimes"))),
        ("/settings/lanes/0/credit", Some(json!(-1))),
        ("/settings/limits/send_cap", Some(json!(0))),
        ("/settings/limits/send_cap", Some(json!(1.5))),
        ("/settings/limits/cancel", Some(json!("yes"))),
        ("/settings/rules/cold_share", Some(json!("most"))),
        ("/settings/orgs", Some(json!({}))),
        ("/limits/memory_mb", Some(json!(8))),
        ("/limits/sockets", Some(json!(1 << 30))),
        ("/known/batch/0/topology/instances/0/lifecycle", Some(json!("asleep"))),
    ];
    for (pointer, to) in broken {
        let value = with(example(), pointer, to);
        assert_same_verdict(&schema, &value, &read(&value), false);
    }
    for (pointer, to) in [("/ops", None), ("/settings/orgs", None), ("/seed", None), ("/limits", None)] {
        let value = with(example(), pointer, to);
        assert_same_verdict(&schema, &value, &read(&value), true);
    }
}

/// A fractional weight of the list once kept a dispatcher from starting.
#[test]
fn weights_of_the_list_never_refuse_a_file() {
    let schema = Config::schema();
    let weight = "/known/batch/0/topology/instances/0/weight";
    for value in [json!(4), json!(1.5), json!(0), json!(-3), json!(1e300), json!("4"), json!(null)] {
        let file = with(example(), weight, Some(value));
        assert_same_verdict(&schema, &file, &Config::read(&file.to_string()).map(drop), true);
    }
    for source in [json!("rough"), json!("off"), json!("unknown"), json!(1), json!(null)] {
        let file = with(example(), "/settings/weight_source", Some(source));
        assert_same_verdict(&schema, &file, &Config::read(&file.to_string()).map(drop), true);
    }
    let started = |weight: f64| {
        let file = with(example(), "/known/batch/0/topology/instances/0/weight", Some(json!(weight)));
        Config::read(&file.to_string()).expect("a valid file").initial_list.1[0].weight
    };
    assert_eq!([started(4.0), started(1.5), started(1e300)], [40, 15, u32::MAX], "ten times the weight");
}

#[test]
fn all_faults_of_a_file_are_reported_by_key() {
    let mut value = with(example(), "/names", None);
    for (pointer, to) in [("/settings/lanes/0/deadline_us", json!(0)), ("/limits/sockets", json!("many"))] {
        value = with(value, pointer, Some(to));
    }
    let Faults(faults) = Config::read(&value.to_string()).expect_err("faults");
    let mut keys: Vec<&str> = faults.iter().map(|f| f.key.as_str()).collect();
    keys.sort_unstable();
    assert_eq!(keys, ["limits.sockets", "names", "settings.lanes[0].deadline_us"]);
}

fn toml(text: &str) -> Value {
    toml::from_str(text).expect("TOML")
}

#[test]
fn reader_and_schema_agree_on_operator_files() {
    let schema = Operator::schema();
    let read = |text: &str| Operator::read(text).map(drop);
    for text in [
        include_str!("../deploy/operator.toml"),
        include_str!("../deploy/control.toml"),
        include_str!("../deploy/stations.toml"),
        include_str!("../deploy/peers.toml"),
        include_str!("../deploy/overload.toml"),
        include_str!("../deploy/zones.toml"),
        "",
    ] {
        assert_same_verdict(&schema, &toml(text), &read(text), true);
    }
    let broken = [
        "[agent]\n",
        "[overload]\nresends = 1",
        "[zones]\nstay = 1",
        "[zones]\nsilent_ms = 0",
        "[routing]\nfunction_memory_mb = 0",
        "[routing]\nfunctions = 1",
        "[overload]\nfloor_percent = 101",
        "[agnet]\nlisten = \"127.0.0.1:1\"",
        "[agent]\nlisten = \"127.0.0.1:1\"\ncheck_every_ms = 1",
        "[[mqtt]]\nbroker = \"nowhere\"",
        "[[mqtt]]\nbroker = \"127.0.0.1:1\"\nkeep_alive_s = 0",
        "[[agent.instance]]\nname = \"n\"",
        "[control.stream]\nservices = []",
        "[control.stream]\nservices = [\"127.0.0.1:1\"]\nlabels = { zone = 3 }",
        "[control.service]\nlisten = \"127.0.0.1:1\"",
        "[stations]\nlisten = \"127.0.0.1:1\"",
        "[stations]\nlisten = \"127.0.0.1:1\"\nusers = \"u\"\nreceive_maximum = 0",
        "[control.service]\nlisten = \"127.0.0.1:1\"\nstore = \"s\"\nrollout = { waves = [\"all\"] }",
    ];
    for text in broken {
        assert_same_verdict(&schema, &toml(text), &read(text), false);
    }
}

#[test]
fn zero_function_memory_is_reported_by_key() {
    let Faults(faults) = Operator::read("[routing]\nfunction_memory_mb = 0").expect_err("a fault");
    assert_eq!(faults[0].key, "routing.function_memory_mb");
    assert_eq!(faults[0].why, "must be between 1 and 65536");
    assert_eq!(
        Operator::read("[routing]\nfunction_memory_mb = 2").expect("good").function_bytes,
        Some(2 << 20)
    );
    assert_eq!(Operator::read("").expect("good").function_bytes, None);
}

#[test]
fn reader_and_schema_agree_on_versions() {
    let schema = version::schema();
    let read = |text: &str| version::read(text).map(drop);
    let good = [
        include_str!("../deploy/version.toml"),
        "[fleet.settings.limits]\nsend_cap = 2",
        "[zone.b.bans]\nexecutors = [\"s1\"]",
        "[[instance.n3.fronts.mqtt]]\nbroker = \"127.0.0.1:1883\"",
    ];
    for text in good {
        assert_same_verdict(&schema, &toml(text), &read(text), true);
    }
    let broken = [
        "[flet.settings]\n",
        "[fleet.settings.limits]\nsend_cap = 0",
        "[fleet.setings]\n",
        "[[zone.b.settings.lanes]]\ndeadline_us = 0",
        "[instance.n.bans]\nexecutors = \"s1\"",
        "[fleet.bans]\nexecutor = [\"s1\"]",
        "[[fleet.fronts.mqtt]]\nbroker = 7",
    ];
    for text in broken {
        assert_same_verdict(&schema, &toml(text), &read(text), false);
    }
}
