use super::*;
use serde_json::json;

#[test]
fn judge_reports_panics_and_false_failure_verdicts() {
    let (history, name) = (History::default(), |n: usize| format!("n{n}"));
    history.note(
        "n0",
        json!({"fields": {"message": "a peer's state changed", "peer": "n1", "state": "Failed"}}),
    );
    assert!(judge(&history, &[false, true], name).is_ok());
    assert!(judge(&history, &[false, false], name).is_err());
    history.note("n0", json!("thread 'main' panicked at src/x.rs"));
    assert!(judge(&history, &[true, true], name).is_err());
}
