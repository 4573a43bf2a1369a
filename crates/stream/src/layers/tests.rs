use super::*;
use serde_json::json;

#[test]
fn later_layers_override_key_by_key_and_each_key_has_its_source_layer() {
    let fleet = json!({"a": {"b": 1, "c": [1, 2]}, "d": "x"});
    let zone = json!({"a": {"b": 2}});
    let instance = json!({"a": {"c": [3]}, "e": {}});
    let (mut merged, mut layer_of_key) = (json!({}), BTreeMap::new());
    for (layer, value) in [("fleet", &fleet), ("zone", &zone), ("instance", &instance)] {
        merge(&mut merged, value);
        record_sources(value, layer, &mut layer_of_key);
    }
    assert_eq!(merged, json!({"a": {"b": 2, "c": [3]}, "d": "x", "e": {}}));
    let layer_of_key: Vec<(&str, &str)> =
        layer_of_key.iter().map(|(k, l)| (k.as_str(), l.as_str())).collect();
    assert_eq!(layer_of_key, [("a.b", "zone"), ("a.c", "instance"), ("d", "fleet"), ("e", "instance")]);
    let changed = differences(&fleet, &merged);
    let keys: Vec<&str> = changed.iter().map(|(k, ..)| k.as_str()).collect();
    assert_eq!(keys, ["a.b", "a.c", "e"]);
    assert_eq!(changed[0], ("a.b".to_string(), Some(json!(1)), Some(json!(2))));
}
