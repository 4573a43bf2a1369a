//! Signal handlers are installed before anything listens. The test has a file of its own, so that its process has no
//! handlers of other tests.

use ochreward::config::Config;
use ochreward::node::Node;

/// Returns the bit set of signals that this process handles, as reported by the kernel.
fn handled_signals() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find_map(|l| l.strip_prefix("SigCgt:")).expect("a line of caught signals");
    u64::from_str_radix(line.trim(), 16).expect("hex")
}

#[test]
fn signals_are_handled_before_anything_listens() {
    let stop = 1 << (rustix::process::Signal::TERM.as_raw() - 1);
    assert_eq!(handled_signals() & stop, 0, "no handler is installed yet");
    let mut config = Config::read(include_str!("../deploy/example.json")).expect("the shipped example");
    // The inherited listener is no valid socket, so that start-up ends where the program would listen.
    config.inherited = Some(999);
    assert!(Node::new(config, Vec::new(), None, None, (None, None, None), None).is_err());
    assert_eq!(
        handled_signals() & stop,
        stop,
        "SIGTERM is handled from here on, so that connections waiting at the listener are settled"
    );
}
