//! Processes that the rig starts end with the test process, also when it panics or is killed.

use super::fleet_slot;
use ochreward_rig::fleet::Fleet;
use ochreward_rig::stand::until;
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

/// Environment variable that makes this test the child that starts a fleet and then ends, by its value: `panic` or `kill`.
const END_MODE: &str = "ORPHANS_END";
const OWN_TEST: &str = "orphans::processes_started_by_the_rig_end_with_it_after_a_panic_or_a_kill";

/// Starts a fleet with one process paused, prints its process pids, and ends once its standard input closes.
fn start_fleet_and_end(mode: &str) {
    let mut fleet = Fleet::start(77, 3);
    fleet.stop(1);
    let pids: Vec<String> = (0..3).filter_map(|n| Some(fleet.process(n)?.to_string())).collect();
    println!("\npids {}", pids.join(" "));
    let _ = std::io::stdin().read_line(&mut String::new());
    assert_ne!(mode, "panic", "a panic was ordered");
    unreachable!("the parent kills this process before its input ends");
}

/// Returns whether a process runs or is paused. A zombie counts as ended.
fn is_running(pid: &str) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    stat.rsplit_once(") ").is_some_and(|(_, rest)| !rest.starts_with(['Z', 'X']))
}

#[test]
fn processes_started_by_the_rig_end_with_it_after_a_panic_or_a_kill() {
    if let Ok(mode) = std::env::var(END_MODE) {
        return start_fleet_and_end(&mode);
    }
    let _slot = fleet_slot();
    for mode in ["panic", "kill"] {
        let mut child = Command::new(std::env::current_exe().expect("the test binary's path"))
            .args(["--exact", OWN_TEST, "--nocapture"])
            .env(END_MODE, mode)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("a child process");
        let lines = BufReader::new(child.stdout.take().expect("piped")).lines().map_while(Result::ok);
        let pids = lines
            .into_iter()
            .find_map(|l| l.strip_prefix("pids ").map(String::from))
            .expect("a line of process ids");
        let pids: Vec<&str> = pids.split(' ').collect();
        assert!(pids.len() == 3 && pids.iter().all(|pid| is_running(pid)), "{mode}: {pids:?}");
        match mode {
            "kill" => child.kill().expect("killed"),
            _ => drop(child.stdin.take()),
        }
        assert!(!child.wait().expect("an exit status").success(), "{mode}");
        until("processes of the rig end after it", || !pids.iter().any(|pid| is_running(pid)));
    }
}
