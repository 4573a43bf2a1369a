use super::*;
use serde_json::json;

#[test]
fn every_fault_is_reported_once_under_its_key() {
    let value = json!({"a": "x", "c": {"d": -1}, "e": [1, "two", 3.5], "z": 1, "f": 0});
    let top = Key::top(&value);
    top.only(&["a", "b", "c", "e", "f"]);
    let _ = (
        top.get("a").number(),
        top.get("b").text(),
        top.get("c").get("d").integer(),
        top.get("f").positive_integer(),
    );
    top.get("e").entries().iter().for_each(|k| {
        k.integer();
    });
    let Faults(faults) = top.finish(()).expect_err("faults");
    let keys: Vec<&str> = faults.iter().map(|f| f.key.as_str()).collect();
    assert_eq!(keys, ["z", "a", "b", "c.d", "f", "e[1]", "e[2]"]);
}
