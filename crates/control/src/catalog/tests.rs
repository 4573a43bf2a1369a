use super::*;

fn zone(name: &str) -> BTreeMap<String, String> {
    BTreeMap::from([("zone".to_string(), name.to_string())])
}

#[test]
fn a_type_keeps_its_version_until_a_layer_changes_it() {
    let mut catalog = Catalog::default();
    let documents = [
        json!({"fleet": {"limits": {"sockets": 64}, "bans": {"executors": ["a"]}}}),
        json!({"fleet": {"limits": {"sockets": 64}, "bans": {"executors": ["b"]}}}),
        json!({"fleet": {"limits": {"sockets": 64}, "bans": {"executors": ["b"]}},
                   "zone": {"x": {"limits": {"sockets": 32}}}}),
    ];
    for document in &documents {
        let next = catalog.next(1, document.clone(), None, 0).expect("a new version");
        catalog.add(next);
        assert_eq!(
            catalog.next(1, document.clone(), None, 0),
            None,
            "the same document twice is one version"
        );
    }
    let types = |n: u64| {
        let of = |k| catalog.get(n).map_or(0, |p| p.types[&k].number);
        (of(Kind::Limits), of(Kind::Bans))
    };
    assert_eq!((types(1), types(2), types(3)), ((1, 1), (1, 2), (3, 2)));
    let text = |catalog: &mut Catalog, zone_name: &str| {
        catalog
            .snapshot(3, "n", &zone(zone_name))
            .and_then(|s| s.resources.get(&Kind::Limits).map(|r| r.text.to_string()))
    };
    assert_eq!(text(&mut catalog, "x").as_deref(), Some("{\"sockets\":32}"));
    assert_eq!(text(&mut catalog, "y").as_deref(), Some("{\"sockets\":64}"));
    let sources = catalog.explain(3, "n", &zone("x")).expect("a version");
    assert_eq!(sources["limits.sockets"], (json!(32), "zone.x".to_string()));
    assert_eq!(sources["bans.executors"], (json!(["b"]), "fleet".to_string()));
}

#[test]
fn the_oldest_versions_are_removed_except_those_in_use() {
    let mut catalog = Catalog::default();
    for n in 0..100 {
        let next = catalog.next(1, json!({"fleet": {"limits": {"sockets": 64 + n}}}), None, 0);
        catalog.add(next.expect("a new version"));
        catalog.trim(&[2]);
    }
    assert_eq!(catalog.iter().count(), MAX_VERSIONS);
    assert!(catalog.get(1).is_none() && catalog.get(2).is_some() && catalog.get(100).is_some());
}
