//! The files of versions: truncated at every byte, with a bit flipped in every byte, and interrupted between any two
//! steps of an update.

use ochreward_stream::last_good::{Unusable, VersionStore, decode_file, encode_file};
use ochreward_stream::{Digest, Kind, Resource, Snapshot, SubscriberState, Version};
use std::collections::BTreeMap;
use std::fs;

fn snapshot(number: u64) -> Snapshot {
    let version = Version::new(1, number);
    let text: std::sync::Arc<str> = format!("{{\"max_open\":{number}}}").into();
    let resource = Resource { version, digest: Digest::of(&text), text };
    Snapshot { version, resources: BTreeMap::from([(Kind::Settings, resource)]) }
}

fn store_and_promote(files: &VersionStore, number: u64) {
    files.put_on_trial(&snapshot(number)).expect("written");
    files.promote().expect("promoted");
}

#[test]
fn a_truncated_or_corrupted_last_good_file_falls_back_to_the_previous_one() {
    let folder = tempfile::tempdir().expect("a folder");
    let files = VersionStore::open(folder.path().into(), "n0").expect("files");
    store_and_promote(&files, 1);
    store_and_promote(&files, 2);
    let path = folder.path().join("good");
    let whole = fs::read(&path).expect("a file");
    assert_eq!(files.load().snapshot.map(|(s, from)| (s.version.number, from)), Some((2, "good")));
    let damaged_files = (0..whole.len())
        .map(|cut| whole[..cut].to_vec())
        .chain((0..whole.len()).map(|at| {
            let mut corrupted = whole.clone();
            corrupted[at] ^= 1 << (at % 8);
            corrupted
        }))
        .chain([[&whole[..], b"x"].concat()]);
    for bytes in damaged_files {
        fs::write(&path, &bytes).expect("written");
        let loaded = files.load();
        assert_eq!(loaded.snapshot.map(|(s, from)| (s.version.number, from)), Some((1, "good.prev")));
        assert_eq!(loaded.unusable_files.len(), 1);
    }
}

#[test]
fn foreign_future_and_other_instances_files_are_refused_with_the_reason() {
    let folder = tempfile::tempdir().expect("a folder");
    let files = VersionStore::open(folder.path().into(), "n0").expect("files");
    let refusal = |bytes: &[u8]| {
        fs::write(folder.path().join("good"), bytes).expect("written");
        files.load().unusable_files.pop().map(|(_, why)| why)
    };
    assert_eq!(refusal(b"{\"settings\":{}}"), Some(Unusable::Foreign));
    let mut future = encode_file(b"{}");
    future[8] = 2;
    assert_eq!(refusal(&future), Some(Unusable::UnknownFormat(2)));
    assert!(matches!(refusal(&encode_file(b"{}")), Some(Unusable::Unreadable(_))));
    VersionStore::open(folder.path().into(), "n1")
        .expect("files")
        .put_on_trial(&snapshot(7))
        .expect("written");
    fs::rename(folder.path().join("trial"), folder.path().join("good")).expect("renamed");
    assert_eq!(files.load().unusable_files, [("good", Unusable::Foreign)]);
    assert_eq!(files.load().snapshot, None);
    // A text that does not match its digest is refused even if the file's checksum matches.
    let mut other = snapshot(3);
    other.resources.get_mut(&Kind::Settings).expect("a type").text = "{}".into();
    files.put_on_trial(&other).expect("written");
    files.promote().expect("promoted");
    assert_eq!(files.load().unusable_files, [("good", Unusable::Damaged)]);
}

#[test]
fn an_interruption_between_any_two_steps_leaves_a_usable_version() {
    // The steps of a promotion, each state as a power failure would leave it.
    let folder = tempfile::tempdir().expect("a folder");
    let files = VersionStore::open(folder.path().into(), "n0").expect("files");
    store_and_promote(&files, 1);
    let at = |name: &str| folder.path().join(name);
    let loads =
        |expected: u64| assert_eq!(files.load().snapshot.map(|(s, _)| s.version.number), Some(expected));
    fs::write(at("trial.part"), b"OCHR").expect("written");
    loads(1);
    files.put_on_trial(&snapshot(2)).expect("written");
    loads(1);
    assert_eq!(files.load_running().snapshot.map(|(s, _)| s.version.number), Some(2));
    fs::hard_link(at("good"), at("good.prev.part")).expect("linked");
    loads(1);
    // A temporary file left behind by an earlier interruption does not block the next promotion.
    files.promote().expect("promoted");
    loads(2);
    files.discard_trial().expect("nothing to discard");
    assert_eq!(files.on_trial(), None);
    fs::remove_file(at("good")).expect("removed");
    loads(1);
}

#[test]
fn memory_is_stored_and_a_truncated_file_is_reported() {
    let folder = tempfile::tempdir().expect("a folder");
    let files = VersionStore::open(folder.path().into(), "n0").expect("files");
    assert_eq!(files.load_memory(), Err(Unusable::Missing));
    let memory = SubscriberState { highest: Version::new(2, 9), ..SubscriberState::default() };
    files.store_memory(&memory).expect("written");
    assert_eq!(files.load_memory(), Ok(memory));
    let bytes = fs::read(folder.path().join("memory")).expect("a file");
    fs::write(folder.path().join("memory"), &bytes[..bytes.len() - 1]).expect("written");
    assert_eq!(files.load_memory(), Err(Unusable::Truncated));
    assert_eq!(decode_file(&encode_file(b"body")), Ok(&b"body"[..]));
}
