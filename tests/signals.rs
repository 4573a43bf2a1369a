//! When signals are handled. A file of its own, so that its process has no other test's handlers.

use ochreward::config::Config;
use ochreward::node::Node;

/// The signals that this process handles, a bit each, as the kernel tells.
fn handled() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find_map(|l| l.strip_prefix("SigCgt:")).expect("handled signals");
    u64::from_str_radix(line.trim(), 16).expect("hex")
}

#[test]
fn signals_are_handled_before_anything_listens() {
    let stop = 1 << (rustix::process::Signal::TERM.as_raw() - 1);
    assert_eq!(handled() & stop, 0, "nothing handles it yet");
    let mut config = Config::read(include_str!("../deploy/example.json")).expect("the shipped example");
    // The listening socket is none, so that the program goes no further than to where it would listen.
    config.inherited = Some(999);
    assert!(Node::new(config, Vec::new(), None, None, (None, None, None), None).is_err());
    assert_eq!(handled() & stop, stop, "a stop from here on settles who waits at the listener");
}
