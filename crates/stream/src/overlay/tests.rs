use super::*;
use serde_json::json;

#[test]
fn later_layers_win_key_by_key_and_each_key_tells_its_layer() {
    let fleet = json!({"a": {"b": 1, "c": [1, 2]}, "d": "x"});
    let zone = json!({"a": {"b": 2}});
    let instance = json!({"a": {"c": [3]}, "e": {}});
    let (mut whole, mut from) = (json!({}), BTreeMap::new());
    for (layer, value) in [("fleet", &fleet), ("zone", &zone), ("instance", &instance)] {
        lay(&mut whole, value);
        sources(value, layer, &mut from);
    }
    assert_eq!(whole, json!({"a": {"b": 2, "c": [3]}, "d": "x", "e": {}}));
    let from: Vec<(&str, &str)> = from.iter().map(|(k, l)| (k.as_str(), l.as_str())).collect();
    assert_eq!(from, [("a.b", "zone"), ("a.c", "instance"), ("d", "fleet"), ("e", "instance")]);
    let changed = differences(&fleet, &whole);
    let keys: Vec<&str> = changed.iter().map(|(k, ..)| k.as_str()).collect();
    assert_eq!(keys, ["a.b", "a.c", "e"]);
    assert_eq!(changed[0], ("a.b".to_string(), Some(json!(1)), Some(json!(2))));
}
