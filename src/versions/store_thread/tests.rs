//! Tests of the thread's jobs, without the thread.

use super::*;
use ochreward_stream::{Digest, Kind, Resource};
use serde_json::json;
use std::collections::BTreeMap;

const MEMORY: &str = r#"{"memory_mb": 32}"#;

fn own_file() -> Arc<OwnFile> {
    let class = json!({"name": "read", "effect": "idempotent", "promise_us": 1, "deadline_us": 2});
    let content = json!({"limits": {"memory_mb": 64}, "settings": {"lanes": [class]}});
    Arc::new(OwnFile { content, has_settings: true })
}

fn snapshot(number: u64, limits: &str) -> Snapshot {
    let version = Version::new(1, number);
    let resource = Resource { version, digest: Digest::of(limits), text: limits.into() };
    Snapshot { version, resources: BTreeMap::from([(Kind::Limits, resource)]) }
}

/// Runs the check of a version, which stores it as the one on trial.
fn check_and_store(files: &VersionStore, number: u64) {
    let ticket = OfferId { connection: 1, nonce: number };
    let context = CheckContext { platform: own_file().platform(), running: None, usage: Default::default() };
    let version = Arc::new(snapshot(number, MEMORY));
    let result = run_job(Some(files), Job::Check(ticket, version, own_file(), Box::new(context)));
    assert!(matches!(result, Some(JobResult::Checked(_, _, _, Ok(_)))));
}

// Guards against the next version, stored while the trial of the one before ends, that becomes the last good one without a
// trial of its own, or is deleted with the one before.
#[test]
fn end_of_a_trial_leaves_the_next_version_on_trial() {
    let folder = std::env::temp_dir().join(format!("ochreward-trial-{}", std::process::id()));
    let files = VersionStore::open(folder.clone(), "n0").expect("a folder");
    check_and_store(&files, 1);
    check_and_store(&files, 2);
    let promote = |number| run_job(Some(&files), Job::Promote(Arc::new(snapshot(number, MEMORY))));
    let last_good = || files.load().snapshot.map(|(s, _)| s.version.number);
    promote(1);
    assert_eq!(last_good(), Some(1), "version 2 has not stood its trial");
    run_job(Some(&files), Job::RollBack { to: None, from: Version::new(1, 1), own_file: own_file() });
    assert_eq!(files.on_trial(), Some(Version::new(1, 2)));
    promote(2);
    assert_eq!(last_good(), Some(2));
    std::fs::remove_dir_all(folder).expect("removed");
}

// Guards against a rollback to a version that a file changed during the trial forbids: it came into use unchecked.
#[test]
fn rollback_to_a_version_that_the_file_forbids_comes_to_the_file_alone() {
    let snapshot = Arc::new(snapshot(1, r#"{"memory_mb": 128}"#));
    let result =
        run_job(None, Job::RollBack { to: Some(snapshot), from: Version::new(1, 2), own_file: own_file() });
    let Some(JobResult::RolledBack(rollback)) = result else { panic!("no rollback") };
    let selection = rollback.selection;
    assert_eq!((selection.version, selection.withdrawn.len()), (None, 1));
    assert_eq!(selection.effective.map(|e| e.parts.resources.memory), Some(64 << 20));
}
