//! The agent: supervision of several instances, agent-checks by load balancers, and the command line.

use crate::stand::{Client, Executor, Names, PATIENCE, Program, Reply, config, fields, file};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Instant;

/// Returns a loopback address that nothing else uses, since instances need theirs in the configuration before they listen.
pub fn unused_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let (pid, number) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    SocketAddr::from(([127, 64 + (pid >> 8 & 63) as u8, pid as u8, number], 8080))
}

struct Fixture {
    agent: Program,
    executor: Executor,
    _names: Names,
    /// The address and the agent-check address of each instance.
    instances: Vec<(SocketAddr, SocketAddr)>,
}

impl Fixture {
    fn new() -> Fixture {
        let (executor, names) = (Executor::start(), Names::start());
        let instances: Vec<_> = (0..2).map(|_| (unused_address(), unused_address())).collect();
        let mut text = "[agent]\nlisten = \"127.0.0.1:0\"\ncheck_every_ms = 20\ndrain_ms = 0\n".to_string();
        for (n, (listen, check)) in instances.iter().enumerate() {
            let config_path = file(&config(&[&executor], &names).to_string());
            text += &format!(
                "[[agent.instance]]\nname = \"n{n}\"\nlisten = \"{listen}\"\ncheck = \"{check}\"\nconfig = {:?}\n",
                config_path.display().to_string()
            );
        }
        let path = file(&text).display().to_string();
        let agent = Program::run(&["agent", "--operator", &path], &json!({}));
        Fixture { agent, executor, _names: names, instances }
    }

    fn command(&self, arguments: &[&str]) -> (bool, String) {
        let output = Command::new(env!("CARGO_BIN_EXE_ochreward"))
            .args(arguments)
            .args(["--agent", &self.agent.address.to_string()])
            .output()
            .expect("the command line runs");
        (output.status.success(), String::from_utf8(output.stdout).expect("text"))
    }

    /// Queries the agent-check line like a load balancer that sends its server's name first.
    fn agent_check(&self, instance: usize) -> String {
        let mut stream = TcpStream::connect(self.instances[instance].1).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("a read time-out");
        stream.write_all(b"server-7\n").expect("sent");
        let mut line = String::new();
        stream.read_to_string(&mut line).expect("a line");
        line
    }

    fn wait_for_agent_check(&self, instance: usize, line: &str) {
        let began = Instant::now();
        while self.agent_check(instance) != line {
            assert!(began.elapsed() < PATIENCE, "the agent-check never answers {line:?}");
        }
    }

    fn starts(&self, instance: usize) -> u64 {
        let (_, status) = self.command(&["status"]);
        let line = status.lines().nth(instance).expect("a line");
        line.rsplit('=').next().and_then(|n| n.parse().ok()).expect("a count")
    }

    fn pid(&self, instance: usize) -> i32 {
        let (_, status) = self.command(&["status"]);
        let line = status.lines().nth(instance).expect("a line");
        let pid = line.split(' ').find_map(|w| w.strip_prefix("pid="));
        pid.and_then(|p| p.parse().ok()).expect("a process")
    }
}

#[test]
fn balancers_and_operators_can_query_each_instances_state() {
    let fixture = Fixture::new();
    fixture.wait_for_agent_check(0, "ready up\n");
    fixture.wait_for_agent_check(1, "ready up\n");
    assert_eq!(fixture.command(&["health", "n0"]), (true, "ready\n".to_string()));
    assert_eq!(fixture.command(&["drain", "n0"]), (true, "drain\n".to_string()));
    assert_eq!(fixture.agent_check(0), "drain\n");
    assert_eq!(fixture.command(&["health", "n0"]), (false, "drain\n".to_string()));
    assert_eq!(fixture.command(&["health"]), (true, "ready\n".to_string()));
    // A draining instance still serves new clients.
    let mut client = Client::connect(fixture.instances[0].0);
    client.serve(1, &fields("flow-read", "0000000000000001", 20_000), b"");
    fixture.executor.next().ok(b"served");
    assert_eq!(client.receive(), Some((1, Reply::Served(b"served".to_vec()))));
    assert_eq!(fixture.command(&["ready", "n0"]), (true, "ready\n".to_string()));
    assert_eq!(fixture.agent_check(0), "ready up\n");
    assert!(!fixture.command(&["drain", "n7"]).0);
    assert!(!fixture.command(&["drain"]).0);
}

#[test]
fn a_dead_instance_is_restarted_and_a_stopped_one_is_not() {
    let fixture = Fixture::new();
    fixture.wait_for_agent_check(0, "ready up\n");
    let pid = rustix::process::Pid::from_raw(fixture.pid(0)).expect("a process");
    rustix::process::kill_process(pid, rustix::process::Signal::KILL).expect("killed");
    let began = Instant::now();
    while fixture.starts(0) < 2 {
        assert!(began.elapsed() < PATIENCE, "the instance is never started again");
    }
    fixture.wait_for_agent_check(0, "ready up\n");
    assert!(fixture.command(&["restart", "n0"]).0);
    while fixture.starts(0) < 3 {
        assert!(began.elapsed() < PATIENCE, "the instance is never restarted");
    }
    fixture.wait_for_agent_check(0, "ready up\n");
    fixture.wait_for_agent_check(1, "ready up\n");
    assert!(fixture.command(&["stop", "n1"]).0);
    fixture.wait_for_agent_check(1, "down\n");
    assert_eq!(fixture.command(&["health", "n1"]), (false, "down\n".to_string()));
    assert_eq!((fixture.starts(0), fixture.starts(1)), (3, 1));
}

#[test]
fn a_stopping_agent_stops_its_instances_first() {
    let mut fixture = Fixture::new();
    fixture.wait_for_agent_check(0, "ready up\n");
    fixture.wait_for_agent_check(1, "ready up\n");
    fixture.agent.signal(rustix::process::Signal::TERM);
    assert_eq!(fixture.agent.child.wait().expect("an exit status").code(), Some(0));
    for (listen, _) in &fixture.instances {
        assert!(TcpStream::connect(listen).is_err(), "an instance outlived its agent");
    }
}

#[test]
fn faults_of_an_operator_file_name_their_key() {
    let faults = [
        ("[[mqtt]]\nbroker = \"nowhere\"", "mqtt[0].broker"),
        ("[[mqtt]]\nbroker = \"127.0.0.1:1\"\nreceive_maximun = 3", "mqtt[0].receive_maximun"),
        ("[agent]\nlisten = \"127.0.0.1:1\"\n[[agent.instance]]\nname = \"a b\"", "agent.instance[0].name"),
    ];
    for (text, key) in faults {
        let output = Command::new(env!("CARGO_BIN_EXE_ochreward"))
            .args(["check", "--operator"])
            .arg(file(text))
            .output()
            .expect("the command line runs");
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && message.contains(&format!("key '{key}'")), "{key}: {message}");
    }
}
