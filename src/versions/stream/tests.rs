//! Tests of the stream without a control service.

use super::*;
use std::collections::BTreeMap;

fn own_file() -> Arc<OwnFile> {
    Arc::new(OwnFile { content: serde_json::json!({}), has_settings: false })
}

fn start(own_file: Arc<OwnFile>) -> ConfigStream {
    let config = StreamConfig {
        services: Vec::new(),
        labels: BTreeMap::new(),
        folder: None,
        backoff: (1_000, 1_000),
        silence: 1_000_000,
        trial: 0,
        trial_margin: 0.0,
        trial_least: 1,
    };
    let options = StartOptions {
        config: &config,
        own_file,
        name: "n0",
        folder: None,
        memory_bytes: 1 << 20,
        seed: 1,
        standby: false,
    };
    let mut poll = Poll::new().expect("a poll");
    ConfigStream::new(&mut poll, (5, 6), 0, options, Rc::default()).expect("a stream")
}

// Guards against a rollback that is read late and replaces what a SIGHUP, or the next version, has brought meanwhile.
#[test]
fn rollback_is_outdated_once_another_file_or_version_is_in_use() {
    let file = own_file();
    let stream = start(file.clone());
    let rollback = |to, own_file: &Arc<OwnFile>| Rollback {
        to,
        own_file: own_file.clone(),
        selection: select(&[], own_file),
    };
    assert!(!stream.is_outdated(&rollback(None, &file)));
    assert!(stream.is_outdated(&rollback(None, &own_file())), "another file is in use");
    assert!(stream.is_outdated(&rollback(Some(Version::new(1, 1)), &file)), "another version is in use");
}
