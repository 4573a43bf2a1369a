//! The adapter binary, driven by batches on its standard input.

use serde_json::{Value, json};
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_ochreward-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("piped").write_all(input.as_bytes()).expect("the adapter reads");
    child.wait_with_output().expect("the adapter ends")
}

fn replies(batches: &[Value]) -> Vec<Vec<Value>> {
    let input: String = batches.iter().map(|b| format!("{b}\n")).collect();
    let output = run(&input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).expect("UTF-8");
    text.lines()
        .map(|l| {
            serde_json::from_str::<Value>(l).expect("JSON")["orders"].as_array().expect("orders").clone()
        })
        .collect()
}

fn start_batch() -> Value {
    json!({"clock_us": 1000, "arrivals": [
        {"what": "spawn", "i": "router/0", "rng_seed": 5, "config": {
            "balancers": 1, "my_zone": 0, "tick_us": 1000, "later_key": {"x": [1]},
            "lanes": [{"promise_us": 500000, "deadline_us": 2000000, "effect": "idempotent", "credit": 1.0}],
            "limits": {"send_cap": 3, "may_duplicate": true, "retry_after": true, "max_retry_after_us": 1000000},
            "rules": {"cold_share": 0.2, "fall_multiple": 3, "fall_us": 1000000, "warm_after_us": 5000000},
            "family_info": {"keep_alive_us": 9000000, "tells_warm": true, "miss_mode": "load"}}},
        {"what": "endpoints", "i": "router/0", "how": "remembered", "stamp": 1, "items": [
            {"worker": "10.0.0.1:80", "failure_domain": 0, "hw": 0, "cohort": 0, "condition": "healthy",
             "units": 1, "ready_at_us": null}]}]})
}

fn request(rid: u64) -> Value {
    json!({"what": "ask", "i": "router/0", "rid": rid, "per_copy": 2, "mem_mb": 300, "retry": false, "write": false,
           "predicted_us": null, "unit_key": "fn:a", "org": null, "warm_ms": 400, "ttl_us": 2000000, "type": 0})
}

#[test]
fn a_request_is_sent_to_the_listed_worker_and_served() {
    let answer = json!({"clock_us": 500000, "arrivals": [
        {"what": "closed_attempt", "i": "router/0", "rid": 4, "go": 0, "final": true, "lag_us": 490000,
         "worker": "10.0.0.1:80", "remark": 2, "status": "S", "telemetry": null},
        {"what": "unheard_of", "i": "router/0"}]});
    let out = replies(&[start_batch(), json!({"clock_us": 9000, "arrivals": [request(4)]}), answer]);
    assert!(out[0].is_empty());
    let send = out[1].iter().find(|o| o["what"] == "pass_on").expect("sent");
    assert_eq!((send["rid"].as_u64(), send["worker"].as_str()), (Some(4), Some("10.0.0.1:80")));
    assert_eq!(send["i"], "router/0");
    assert!(out[1].iter().any(|o| o["what"] == "set_timer" && o["alarm_time_us"] == 2009000));
    assert!(out[2].iter().all(|o| o["what"] != "pass_on" && o["what"] != "report_failure"));
}

#[test]
fn a_request_without_any_worker_is_refused() {
    let gone = json!({"clock_us": 2000, "arrivals": [
        {"what": "endpoints", "i": "router/0", "how": "all", "stamp": 2, "items": []}, request(9)]});
    let out = replies(&[start_batch(), gone]);
    assert!(out[1].iter().any(|o| o["what"] == "push_back" && o["rid"] == 9), "{:?}", out[1]);
}

#[test]
fn a_stopped_instance_sends_no_replies() {
    let stop = json!({"clock_us": 2000, "arrivals": [{"what": "stop", "i": "router/0"}, request(1)]});
    assert!(replies(&[start_batch(), stop])[1].is_empty());
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_end_of_input_exits_cleanly() {
    assert_eq!(replies(&[json!({"clock_us": 1, "arrivals": []})]), vec![Vec::<Value>::new()]);
}

#[test]
fn a_malformed_line_is_reported_by_its_number() {
    let output = run("{\"clock_us\":1,\"arrivals\":[]}\n{\"clock_us\":oops}\n");
    assert!(!output.status.success());
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(message.contains("line 2"), "{message}");
    assert!(!message.contains("panicked"), "{message}");
}
