//! The top-level modules of the program have no cyclic dependencies.

mod sources;

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Returns the top-level modules that a source names after `crate::`, also in braces. Test modules are ignored.
fn modules_named_in(text: &str) -> BTreeSet<String> {
    let text = text.split("#[cfg(test)]\nmod tests {").next().unwrap_or_default();
    let mut names = BTreeSet::new();
    for rest in text.split("crate::").skip(1) {
        let word =
            |t: &str| t.chars().take_while(|c| c.is_ascii_alphanumeric() || *c == '_').collect::<String>();
        match rest.strip_prefix('{').and_then(|inner| inner.split_once('}')) {
            Some((inner, _)) => names.extend(inner.split(',').map(|item| word(item.trim()))),
            None => drop(names.insert(word(rest))),
        }
    }
    names
}

fn module_uses() -> BTreeMap<String, BTreeSet<String>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut files = Vec::new();
    sources::below(&root, &mut files);
    let mut module_uses = BTreeMap::<String, BTreeSet<String>>::new();
    for file in files {
        let inner = file.strip_prefix(&root).expect("inside");
        let first = inner.iter().next().expect("a name").to_string_lossy();
        let module = first.trim_end_matches(".rs").to_string();
        let text = std::fs::read_to_string(&file).expect("a source");
        module_uses.entry(module).or_default().extend(modules_named_in(&text));
    }
    let modules: BTreeSet<String> = module_uses.keys().cloned().collect();
    for (module, used) in &mut module_uses {
        used.retain(|u| modules.contains(u) && u != module);
    }
    module_uses
}

/// Returns a cycle of dependencies, if there is one.
fn find_cycle(module_uses: &BTreeMap<String, BTreeSet<String>>) -> Option<Vec<String>> {
    fn visit(
        module_uses: &BTreeMap<String, BTreeSet<String>>,
        path: &mut Vec<String>,
        visited: &mut BTreeSet<String>,
    ) -> bool {
        let last = path[path.len() - 1].clone();
        for next in module_uses.get(&last).into_iter().flatten() {
            if let Some(from) = path.iter().position(|w| w == next) {
                path.drain(..from);
                return true;
            }
            if !visited.contains(next) {
                path.push(next.clone());
                if visit(module_uses, path, visited) {
                    return true;
                }
                path.pop();
            }
        }
        visited.insert(last);
        false
    }
    let mut visited = BTreeSet::new();
    module_uses.keys().find_map(|from| {
        let mut path = vec![from.clone()];
        visit(module_uses, &mut path, &mut visited).then_some(path)
    })
}

#[test]
fn no_modules_use_each_other_directly_or_indirectly() {
    let module_uses = module_uses();
    assert!(module_uses.len() > 15, "sources were found: {module_uses:?}");
    assert_eq!(find_cycle(&module_uses), None);
}

#[test]
fn an_injected_module_cycle_is_detected() {
    let mut module_uses = module_uses();
    // `config` uses the options of `peers`; a use of `config` by `peers` through a third module closes a cycle.
    module_uses.get_mut("peers").expect("a module").insert("handover".into());
    module_uses.get_mut("handover").expect("a module").insert("config".into());
    let found = find_cycle(&module_uses).expect("a cycle");
    assert!(["peers", "handover", "config"].iter().all(|m| found.iter().any(|f| f == m)), "{found:?}");
    assert_eq!(
        modules_named_in("use crate::{a, b::{c}};\ncrate::d::E\n#[cfg(test)]\nmod tests {\nuse crate::f;"),
        ["a", "b", "d"].map(String::from).into()
    );
}
