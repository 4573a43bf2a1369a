//! The files of versions, cut and bent at every byte, and cut between any two steps of a change.

use ochreward_stream::last_good::{LastGood, Unusable, seal, unseal};
use ochreward_stream::{Digest, Kind, Memory, Resource, Snapshot, Version};
use std::collections::BTreeMap;
use std::fs;

fn snapshot(number: u64) -> Snapshot {
    let version = Version::new(1, number);
    let text: std::sync::Arc<str> = format!("{{\"max_open\":{number}}}").into();
    let resource = Resource { version, digest: Digest::of(&text), text };
    Snapshot { version, resources: BTreeMap::from([(Kind::Settings, resource)]) }
}

fn promoted(files: &LastGood, number: u64) {
    files.put_on_trial(&snapshot(number)).expect("written");
    files.promote().expect("promoted");
}

#[test]
fn at_every_cut_and_every_bent_bit_of_the_last_good_file_the_one_before_is_used() {
    let folder = tempfile::tempdir().expect("a folder");
    let files = LastGood::open(folder.path().into(), "n0").expect("files");
    promoted(&files, 1);
    promoted(&files, 2);
    let path = folder.path().join("good");
    let whole = fs::read(&path).expect("a file");
    assert_eq!(files.load().snapshot.map(|(s, from)| (s.version.number, from)), Some((2, "good")));
    let spoilt = (0..whole.len())
        .map(|cut| whole[..cut].to_vec())
        .chain((0..whole.len()).map(|at| {
            let mut bent = whole.clone();
            bent[at] ^= 1 << (at % 8);
            bent
        }))
        .chain([[&whole[..], b"x"].concat()]);
    for bytes in spoilt {
        fs::write(&path, &bytes).expect("written");
        let loaded = files.load();
        assert_eq!(loaded.snapshot.map(|(s, from)| (s.version.number, from)), Some((1, "good.prev")));
        assert_eq!(loaded.passed_over.len(), 1);
    }
}

#[test]
fn foreign_future_and_other_instances_files_are_refused_by_name() {
    let folder = tempfile::tempdir().expect("a folder");
    let files = LastGood::open(folder.path().into(), "n0").expect("files");
    let why = |bytes: &[u8]| {
        fs::write(folder.path().join("good"), bytes).expect("written");
        files.load().passed_over.pop().map(|(_, why)| why)
    };
    assert_eq!(why(b"{\"settings\":{}}"), Some(Unusable::Foreign));
    let mut future = seal(b"{}");
    future[8] = 2;
    assert_eq!(why(&future), Some(Unusable::FutureForm(2)));
    assert!(matches!(why(&seal(b"{}")), Some(Unusable::Unreadable(_))));
    LastGood::open(folder.path().into(), "n1").expect("files").put_on_trial(&snapshot(7)).expect("written");
    fs::rename(folder.path().join("trial"), folder.path().join("good")).expect("renamed");
    assert_eq!(files.load().passed_over, [("good", Unusable::Foreign)]);
    assert_eq!(files.load().snapshot, None);
    // A text that is not what its digest says is no version, though the checksum fits.
    let mut other = snapshot(3);
    other.resources.get_mut(&Kind::Settings).expect("a type").text = "{}".into();
    files.put_on_trial(&other).expect("written");
    files.promote().expect("promoted");
    assert_eq!(files.load().passed_over, [("good", Unusable::Damaged)]);
}

#[test]
fn a_cut_between_any_two_steps_leaves_a_version_to_run() {
    // The steps of a promotion, each state as a power cut would leave it.
    let folder = tempfile::tempdir().expect("a folder");
    let files = LastGood::open(folder.path().into(), "n0").expect("files");
    promoted(&files, 1);
    let at = |name: &str| folder.path().join(name);
    let runs = |wanted: u64| assert_eq!(files.load().snapshot.map(|(s, _)| s.version.number), Some(wanted));
    fs::write(at("trial.part"), b"OCHR").expect("written");
    runs(1);
    files.put_on_trial(&snapshot(2)).expect("written");
    runs(1);
    assert_eq!(files.load_running().snapshot.map(|(s, _)| s.version.number), Some(2));
    fs::hard_link(at("good"), at("good.prev.part")).expect("linked");
    runs(1);
    // What an earlier cut left behind does not stop the next promotion.
    files.promote().expect("promoted");
    runs(2);
    files.discard_trial().expect("nothing to discard");
    assert_eq!(files.on_trial(), None);
    fs::remove_file(at("good")).expect("removed");
    runs(1);
}

#[test]
fn memory_is_kept_and_a_torn_one_is_told() {
    let folder = tempfile::tempdir().expect("a folder");
    let files = LastGood::open(folder.path().into(), "n0").expect("files");
    assert_eq!(files.memory(), Err(Unusable::Missing));
    let memory = Memory { highest: Version::new(2, 9), ..Memory::default() };
    files.remember(&memory).expect("written");
    assert_eq!(files.memory(), Ok(memory));
    let bytes = fs::read(folder.path().join("memory")).expect("a file");
    fs::write(folder.path().join("memory"), &bytes[..bytes.len() - 1]).expect("written");
    assert_eq!(files.memory(), Err(Unusable::Torn));
    assert_eq!(unseal(&seal(b"body")), Ok(&b"body"[..]));
}
