//! Tests of the selection: which of the candidates comes into use over a file.

use super::*;
use ochreward_stream::{Digest, Kind, Resource};
use serde_json::json;
use std::collections::BTreeMap;

fn own_file(memory_mb: u64) -> OwnFile {
    let class = json!({"name": "read", "effect": "idempotent", "promise_us": 1, "deadline_us": 2});
    let content = json!({"limits": {"memory_mb": memory_mb}, "settings": {"lanes": [class]}});
    OwnFile { content, has_settings: true }
}

fn version(number: u64, limits: &str) -> Arc<Snapshot> {
    let version = Version::new(1, number);
    let resource = Resource { version, digest: Digest::of(limits), text: limits.into() };
    Arc::new(Snapshot { version, resources: BTreeMap::from([(Kind::Limits, resource)]) })
}

fn selected(candidates: &[Arc<Snapshot>], own_file: &OwnFile) -> (Option<u64>, Vec<String>) {
    let selection = select(candidates, own_file);
    let keys = selection.withdrawn.into_iter().map(|w| w.faults[0].key.clone());
    (selection.version.map(|v| v.number), keys.collect())
}

// Guards against a version on trial, or a last good one, that is used over a file which forbids it.
#[test]
fn first_candidate_that_the_file_permits_is_selected_or_the_file_alone() {
    let candidates = [version(2, r#"{"memory_mb": 128}"#), version(1, r#"{"memory_mb": 64}"#)];
    assert_eq!(selected(&candidates, &own_file(192)), (Some(2), vec![]));
    let memory = || "limits.memory_mb".to_string();
    assert_eq!(selected(&candidates, &own_file(100)), (Some(1), vec![memory()]));
    assert_eq!(selected(&candidates, &own_file(32)), (None, vec![memory(), memory()]));
}

// Guards against a version that this program can't read and that counts as run all the same.
#[test]
fn unreadable_candidate_is_passed_over() {
    let candidates = [version(2, r#"{"memory_mb": "much"}"#), version(1, r#"{"memory_mb": 64}"#)];
    assert_eq!(selected(&candidates, &own_file(192)), (Some(1), vec!["limits.memory_mb".to_string()]));
}

// Guards against a file without settings that is taken for a configuration.
#[test]
fn nothing_is_selected_without_settings_in_file_or_version() {
    let mut bare = own_file(192);
    bare.content.as_object_mut().expect("an object").remove("settings");
    bare.has_settings = false;
    assert!(select(&[], &bare).effective.is_none());
    assert!(select(&[version(1, r#"{"memory_mb": 64}"#)], &bare).effective.is_none());
}
