//! Tests of the thread's jobs, without the thread.

use super::*;
use ochreward_stream::{Digest, Kind, Resource};
use serde_json::json;
use std::collections::BTreeMap;

// Guards against a rollback to a version that a file changed during the trial forbids: it came into use unchecked.
#[test]
fn rollback_to_a_version_that_the_file_forbids_comes_to_the_file_alone() {
    let class = json!({"name": "read", "effect": "idempotent", "promise_us": 1, "deadline_us": 2});
    let content = json!({"limits": {"memory_mb": 64}, "settings": {"lanes": [class]}});
    let own_file = Arc::new(OwnFile { content, has_settings: true });
    let (version, text) = (Version::new(1, 1), r#"{"memory_mb": 128}"#);
    let resource = Resource { version, digest: Digest::of(text), text: text.into() };
    let snapshot = Snapshot { version, resources: BTreeMap::from([(Kind::Limits, resource)]) };
    let result = run_job(None, Job::RollBack(Some(Arc::new(snapshot)), own_file));
    let Some(JobResult::RolledBack(_, selection)) = result else { panic!("no selection") };
    assert_eq!((selection.version, selection.withdrawn.len()), (None, 1));
    assert_eq!(selection.effective.map(|e| e.parts.resources.memory), Some(64 << 20));
}
