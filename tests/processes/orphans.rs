//! Whatever the rig starts ends with it, however it ends.

use super::place;
use ochreward_rig::fleet::Fleet;
use ochreward_rig::stand::until;
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

/// Set for the process that starts a fleet and comes to a bad end; how.
const END: &str = "ORPHANS_END";
const OWN: &str = "orphans::whatever_the_rig_starts_ends_with_it_also_after_a_panic_or_a_kill";

/// Starts a fleet, one of which stands still, tells who they are, and waits for its end.
fn come_to_an_end(how: &str) {
    let mut fleet = Fleet::start(77, 3);
    fleet.stop(1);
    let ids: Vec<String> = (0..3).filter_map(|n| Some(fleet.process(n)?.to_string())).collect();
    println!("\nids {}", ids.join(" "));
    let _ = std::io::stdin().read_line(&mut String::new());
    assert_ne!(how, "panic", "as it was told");
    unreachable!("it was to be killed");
}

/// Whether a process runs or stands still; one that only waits to be collected does not.
fn lives(id: &str) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    stat.rsplit_once(") ").is_some_and(|(_, rest)| !rest.starts_with(['Z', 'X']))
}

#[test]
fn whatever_the_rig_starts_ends_with_it_also_after_a_panic_or_a_kill() {
    if let Ok(how) = std::env::var(END) {
        return come_to_an_end(&how);
    }
    let _place = place();
    for how in ["panic", "kill"] {
        let mut child = Command::new(std::env::current_exe().expect("a path"))
            .args(["--exact", OWN, "--nocapture"])
            .env(END, how)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("a process of its own");
        let lines = BufReader::new(child.stdout.take().expect("piped")).lines().map_while(Result::ok);
        let ids = lines.into_iter().find_map(|l| l.strip_prefix("ids ").map(String::from)).expect("its ids");
        let ids: Vec<&str> = ids.split(' ').collect();
        assert!(ids.len() == 3 && ids.iter().all(|id| lives(id)), "{how}: {ids:?}");
        match how {
            "kill" => child.kill().expect("killed"),
            _ => drop(child.stdin.take()),
        }
        assert!(!child.wait().expect("an end").success(), "{how}");
        until("what the rig started goes on without it", || !ids.iter().any(|id| lives(id)));
    }
}
