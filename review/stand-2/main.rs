//! The cases of the second review. `stand CASE FOLDER` plays one case from the repository's root and writes FOLDER/record.txt.
//! It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 the disruption is
//! left out.

mod broker;
mod stand;
mod util;

use broker::Broker;
use stand::{Behaviour, Executor, Names, Reply, Runs, ask};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use util::*;

/// How a run ended.
enum Verdict {
    Held,
    Broken(String),
    CouldNotRun(String),
}

type Outcome = Result<Verdict, String>;

/// The longest run, in milliseconds.
const LONGEST_MS: u64 = 112_000;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (words.get(1), words.get(2)) else {
        eprintln!("usage: stand CASE FOLDER");
        std::process::exit(2);
    };
    let world = World::new(Path::new(folder));
    let record = world.record.clone();
    let play: fn(&World) -> Outcome = match case.as_str() {
        "stored-version" => stored_version,
        "broker-back" => broker_back,
        "agent-killed" => agent_killed,
        "agent-reload" => agent_reload,
        "store-copy" => store_copy,
        "deposed" => deposed,
        "log-stalled" => log_stalled,
        _ => {
            eprintln!("no such case");
            std::process::exit(2);
        }
    };
    let late = record.clone();
    std::thread::spawn(move || {
        sleep_ms(LONGEST_MS);
        late.line("end     could not run: it took too long");
        end_all();
        std::process::exit(2);
    });
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| play(&world)));
    let verdict = match outcome {
        Ok(Ok(verdict)) => verdict,
        Ok(Err(why)) => Verdict::CouldNotRun(why),
        Err(_) => Verdict::CouldNotRun("the stand-in failed".to_string()),
    };
    end_all();
    drop(world);
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_string()),
        Verdict::Broken(why) => (1, format!("the rule was broken: {why}")),
        Verdict::CouldNotRun(why) => (2, format!("could not run: {why}")),
    };
    record.line(format!("end     {text}"));
    println!("{case}: {text}");
    std::process::exit(code);
}

fn need(holds: bool, what: &str) -> Result<(), String> {
    if holds { Ok(()) } else { Err(what.to_string()) }
}

fn is_ready(ops: SocketAddr) -> bool {
    http(ops, "GET", "/_ready").is_some_and(|(status, _)| status == 200)
}

/// The variables with which the platform starts a dispatcher.
fn variables(name: &str, listen: SocketAddr, config: &str) -> Vec<(&'static str, String)> {
    vec![
        ("ROUTER_NAME", name.to_string()),
        ("ROUTER_LISTEN", listen.to_string()),
        ("ROUTER_CONFIG", config.to_string()),
    ]
}

/// Two executors that serve after 20 ms; a request whose id begins with `ee` ends in an error at its first run.
fn executors(world: &World, runs: &Runs) -> (Executor, Executor) {
    let behaviour: Behaviour = Arc::new(|rid, before| match rid.starts_with("ee") && before == 0 {
        true => (50, "ERR"),
        false => (20, "OK"),
    });
    let start = |name| Executor::start(name, &world.record, runs, behaviour.clone());
    (start("s-1"), start("s-2"))
}

/// Starts the control service and waits until it listens.
fn control_service(world: &World, listen: SocketAddr, store: &str, operator: &str) -> Result<Process, String> {
    let words = format!("control serve --operator {operator} --store {store} --listen {listen}");
    let process = Process::start(world, "control", &words, &[]);
    need(until(5_000, || process.output().contains("listens on")), "the control service did not start")?;
    Ok(process)
}

fn publish(world: &World, control: SocketAddr, name: &str, text: &str, words: &str) -> Result<String, String> {
    let file = world.write(name, text);
    world.record.line(format!("version {name}:\n{}", text.trim_end()));
    let (code, output) = run_to_end(world, &format!("control publish {file} {words} --control {control}"));
    need(code == 0, &format!("a version could not be published: {output}"))?;
    Ok(output)
}

/// Returns the status of the control service as it prints it.
fn status(world: &World, control: SocketAddr) -> String {
    run_to_end(world, &format!("control status --control {control}")).1
}

// ---- The stored version over a file that was changed meanwhile ----

fn version_lanes(lanes: &[Lane]) -> String {
    let lane = |l: &Lane| {
        let window = if l.effect == "deduplicated" { 1_500_000 } else { 0 };
        format!(
            "[[fleet.settings.lanes]]\nname = \"{}\"\neffect = \"{}\"\nkey_scope = \"all\"\npromise_us = {}\ndeadline_us = {}\nrepeat_window_us = {window}\ncredit = 1.0\nlate_worth = 0.2\n",
            l.name, l.effect, l.promise_ms * 1000, l.deadline_ms * 1000
        )
    };
    lanes.iter().map(lane).collect()
}

fn stored_version(world: &World) -> Outcome {
    let runs = Runs::default();
    let (one, two) = executors(world, &runs);
    let workers = [("s-1", one.address), ("s-2", two.address)];
    let names = Names::start(&workers);
    let (listen, ops, control) = (free_address(), free_address(), free_address());
    let lanes = |effect| {
        [Lane::new("flow-read", "idempotent", 3_000), Lane::new("gauge-reset", effect, 2_000)]
    };
    let file = |effect| config("n0", listen, ops, names.address, &workers, &lanes(effect));
    let operator = world.write(
        "operator.toml",
        &format!(
            "[control.stream]\nservices = [\"{control}\"]\nfolder = \"{}\"\nbackoff_first_ms = 100\nbackoff_last_ms = 1000\ntrial_ms = 500\n\n[control.service]\nlisten = \"{control}\"\nstore = \"{}\"\n\n[control.service.rollout]\nwaves = [1.0]\nanswer_ms = 5000\nwatch_ms = 500\n",
            world.path("versions").display(),
            world.path("store").display()
        ),
    );
    let _service = control_service(world, control, &world.path("store").display().to_string(), &operator)?;
    let own = world.write("n0.json", &file("idempotent"));
    let start = || Process::start(world, "n0", &format!("run --operator {operator}"), &variables("n0", listen, &own));
    let mut n0 = start();
    need(until(10_000, || is_ready(ops)), "the dispatcher did not become ready")?;
    // An operator tunes the aim of a class for the fleet. At this time the file says that both classes may be repeated.
    let mut tuned = lanes("idempotent");
    tuned[0].promise_ms = 600;
    publish(world, control, "tuned.toml", &version_lanes(&tuned), "--wait --timeout 20")?;
    need(until(10_000, || world.path("versions/n0/good").exists()), "the version did not become the last good one")?;
    n0.signal(world, "TERM");
    need(n0.wait(10_000) == Some(0), "the dispatcher did not stop")?;
    // The platform's file now says that a reset of a gauge must never run twice.
    let effect = if world.trouble { "at_most_once" } else { "idempotent" };
    world.record.line(format!("file    n0.json: the effect of gauge-reset is {effect}"));
    world.write("n0.json", &file(effect));
    let n0 = start();
    need(until(10_000, || is_ready(ops)), "the dispatcher did not become ready again")?;
    sleep_ms(1_500);
    for number in 1..=4 {
        ask(&world.record, listen, "flow-read", &format!("0000000000000f{number:02}"), 2_000);
    }
    let mut twice = Vec::new();
    for number in 1..=4 {
        let call = format!("ee000000000000{number:02}");
        ask(&world.record, listen, "gauge-reset", &call, 2_000);
        let count = runs.lock().unwrap().get(&call).map_or(0, Vec::len);
        if count > 1 && effect == "at_most_once" {
            twice.push(format!("{call} ran {count} times"));
        }
        if count == 0 {
            return Ok(Verdict::CouldNotRun(format!("{call} reached no executor")));
        }
    }
    let told = n0.output().contains("starting on the last good version");
    world.record.line(format!("log     n0 says that it starts on the last good version: {told}"));
    Ok(match twice.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken(format!("of a class that must never run twice, {}", twice.join(", "))),
    })
}

// ---- A broker that a version leaves out and the next one brings back ----

fn broker_back(world: &World) -> Outcome {
    let runs = Runs::default();
    // Calls that begin with `aa` take two seconds, of the three that their class allows.
    let behaviour: Behaviour = Arc::new(|rid, _| (if rid.starts_with("aa") { 2_000 } else { 20 }, "OK"));
    let one = Executor::start("s-1", &world.record, &runs, behaviour.clone());
    let two = Executor::start("s-2", &world.record, &runs, behaviour);
    let workers = [("s-1", one.address), ("s-2", two.address)];
    let names = Names::start(&workers);
    let (listen, ops, control) = (free_address(), free_address(), free_address());
    let (broker, other) = (Broker::start("broker", &world.record), Broker::start("broker-2", &world.record));
    let lanes = [Lane::new("flow-read", "idempotent", 3_000), Lane::new("alert-send", "at_most_once", 3_000)];
    let own = world.write("n0.json", &config("n0", listen, ops, names.address, &workers, &lanes));
    let operator = world.write(
        "operator.toml",
        &format!(
            "[control.stream]\nservices = [\"{control}\"]\nfolder = \"{}\"\nbackoff_first_ms = 100\nbackoff_last_ms = 1000\n\n[control.service]\nlisten = \"{control}\"\nstore = \"{}\"\n",
            world.path("versions").display(),
            world.path("store").display()
        ),
    );
    let _service = control_service(world, control, &world.path("store").display().to_string(), &operator)?;
    let mut n0 =
        Process::start(world, "n0", &format!("run --operator {operator}"), &variables("n0", listen, &own));
    need(until(10_000, || is_ready(ops)), "the dispatcher did not become ready")?;
    let version = |address: SocketAddr| {
        format!("[[fleet.fronts.mqtt]]\nbroker = \"{address}\"\nclient_id = \"uplinks-n0\"\ntriggers = \"stations/n0/#\"\n")
    };
    publish(world, control, "uplinks.toml", &version(broker.address), "--at-once")?;
    need(until(20_000, || broker.is_subscribed("stations/n0/#")), "the dispatcher did not subscribe")?;
    let first = broker.trigger("stations/n0/7", "flow-read", "0000000000000001", 3_000);
    need(until(5_000, || broker.answers(&first).len() == 1), "the first trigger got no answer")?;
    let slow = broker.trigger("stations/n0/7", "flow-read", "aa00000000000002", 3_000);
    if world.trouble {
        // A version with a wrong address of the broker, taken back at once.
        publish(world, control, "moved.toml", &version(other.address), "--at-once")?;
        let moved = until(1_200, || n0.output().matches("a new version is in use").count() >= 2);
        let (code, output) = run_to_end(world, &format!("control rollback 1 --control {control}"));
        need(code == 0, &format!("the version could not be taken back: {output}"))?;
        need(moved, "the second version did not come into use in time")?;
        need(
            until(10_000, || n0.output().matches("a new version is in use").count() >= 3),
            "the version that takes it back did not come into use",
        )?;
    }
    need(until(6_000, || broker.answers(&slow).len() == 1), "the slow trigger got no answer")?;
    sleep_ms(3_000);
    status(world, control);
    need(broker.is_subscribed("stations/n0/#"), "the dispatcher does not subscribe any more")?;
    let mut calls = Vec::new();
    for number in 3..=6 {
        calls.push(broker.trigger("stations/n0/7", "flow-read", &format!("000000000000000{number}"), 3_000));
        sleep_ms(500);
    }
    // Ten times the time that a trigger has.
    let answered = |broker: &Broker| calls.iter().filter(|topic| !broker.answers(topic).is_empty()).count();
    until(30_000, || answered(&broker) == calls.len());
    need(n0.runs(), "the dispatcher ended")?;
    let missing = calls.len() - answered(&broker);
    world.record.line(format!("count   {} of {} triggers answered, {} not acknowledged", calls.len() - missing, calls.len(), broker.unacknowledged()));
    Ok(match missing {
        0 => Verdict::Held,
        _ => Verdict::Broken(format!("{missing} of {} triggers got no answer in 30 s", calls.len())),
    })
}

// ---- An agent that is killed and started again ----

fn agent_file(world: &World, listen: SocketAddr, instances: &[(&str, SocketAddr, String, bool)], more: &str) -> String {
    let mut text = format!("{more}[agent]\nlisten = \"{listen}\"\n");
    for (name, at, config, mqtt) in instances {
        text += &format!("\n[[agent.instance]]\nname = \"{name}\"\nlisten = \"{at}\"\nconfig = \"{config}\"\nmqtt = {mqtt}\n");
    }
    world.write("operator.toml", &text)
}

/// Remembers the processes that an agent has started, so that they end with this run.
fn note_instances(agent: SocketAddr) -> Vec<u32> {
    let (_, text) = http(agent, "GET", "/status").unwrap_or_default();
    let ids: Vec<u32> = text.split_whitespace().filter_map(|w| w.strip_prefix("pid=")?.parse().ok()).collect();
    ids.iter().for_each(|id| remember(*id));
    ids
}

fn agent_says(agent: SocketAddr, name: &str) -> bool {
    http(agent, "GET", &format!("/health/{name}")).is_some_and(|(status, _)| status == 200)
}

fn agent_killed(world: &World) -> Outcome {
    let runs = Runs::default();
    // Calls that begin with `aa` take 1.7 s, of the two that their class allows.
    let behaviour: Behaviour = Arc::new(|rid, _| (if rid.starts_with("aa") { 1_700 } else { 20 }, "OK"));
    let one = Executor::start("s-1", &world.record, &runs, behaviour);
    let workers = [("s-1", one.address)];
    let names = Names::start(&workers);
    let (listen, ops, agent) = (free_address(), free_address(), free_address());
    let broker = Broker::start("broker", &world.record);
    let lanes = [Lane::new("flow-read", "idempotent", 3_000), Lane::new("alert-send", "at_most_once", 2_000)];
    let file = config("n0", listen, ops, names.address, &workers, &lanes);
    let own = world.write("n0.json", &file.replace(&format!(r#""ops":"{ops}","#), ""));
    let broker_text = format!(
        "[[mqtt]]\nbroker = \"{}\"\nclient_id = \"ochreward-{{name}}\"\ntriggers = \"ochreward/{{name}}/triggers/#\"\n\n",
        broker.address
    );
    let operator = agent_file(world, agent, &[("n0", listen, own, true)], &broker_text);
    let words = format!("agent --operator {operator}");
    let first_agent = Process::start(world, "agent", &words, &[]);
    need(until(10_000, || agent_says(agent, "n0")), "the instance did not become ready")?;
    note_instances(agent);
    need(until(5_000, || broker.is_subscribed("ochreward/n0/triggers/#")), "the instance did not subscribe")?;
    let first = broker.trigger("ochreward/n0/triggers/7", "alert-send", "0000000000000001", 2_000);
    need(until(5_000, || broker.answers(&first).len() == 1), "the first trigger got no answer")?;
    let alert = broker.trigger("ochreward/n0/triggers/7", "alert-send", "aa00000000000002", 2_000);
    sleep_ms(100);
    let mut second_agent = None;
    if world.trouble {
        // The agent is killed, and whatever keeps it running starts it again.
        first_agent.signal(world, "KILL");
        drop(first_agent);
        sleep_ms(50);
        second_agent = Some(Process::start(world, "agent-2", &words, &[]));
    } else {
        std::mem::forget(first_agent);
    }
    let start = std::time::Instant::now();
    while start.elapsed().as_millis() < 6_000 {
        note_instances(agent);
        sleep_ms(100);
    }
    let answers = broker.answers(&alert);
    let ran = runs.lock().unwrap().get("aa00000000000002").map_or(0, Vec::len);
    world.record.line(format!("count   the alert ran {ran} times and got the answers {answers:?}"));
    drop(second_agent);
    Ok(match answers.len() {
        1 if ran <= 1 => Verdict::Held,
        0 => Verdict::Broken("the alert got no answer".to_string()),
        _ => Verdict::Broken(format!("the alert ran {ran} times and got {} final answers: {answers:?}", answers.len())),
    })
}

// ---- A reload through the agent while an instance stands still ----

fn agent_reload(world: &World) -> Outcome {
    let runs = Runs::default();
    let (one, two) = executors(world, &runs);
    let workers = [("s-1", one.address), ("s-2", two.address)];
    let names = Names::start(&workers);
    let agent = free_address();
    let lanes = |effect| [Lane::new("flow-read", "idempotent", 3_000), Lane::new("gauge-reset", effect, 2_000)];
    let instances: Vec<(&str, SocketAddr, SocketAddr)> =
        ["n0", "n1"].into_iter().map(|name| (name, free_address(), free_address())).collect();
    let write = |effect| {
        let file = |(name, listen, ops): &(&'static str, SocketAddr, SocketAddr)| {
            world.write(&format!("{name}.json"), &config(name, *listen, *ops, names.address, &workers, &lanes(effect)))
        };
        instances.iter().map(file).collect::<Vec<String>>()
    };
    let files = write("idempotent");
    let specs: Vec<(&str, SocketAddr, String, bool)> =
        instances.iter().zip(files).map(|((name, listen, _), file)| (*name, *listen, file, false)).collect();
    let operator = agent_file(world, agent, &specs, "");
    let process = Process::start(world, "agent", &format!("agent --operator {operator}"), &[]);
    let both = || agent_says(agent, "n0") && agent_says(agent, "n1");
    need(until(10_000, both), "the instances did not become ready")?;
    let ids = note_instances(agent);
    need(ids.len() == 2, "the agent does not tell its instances' processes")?;
    if world.trouble {
        world.record.line(format!("signal  STOP to n0 (process {}), for four seconds", ids[0]));
        signal_process(ids[0], "STOP");
    }
    sleep_ms(3_500);
    // The platform's files now say that a reset of a gauge must never run twice; SIGHUP to the agent, which passes it on.
    write("at_most_once");
    world.record.line("file    n0.json, n1.json: the effect of gauge-reset is at_most_once");
    process.signal(world, "HUP");
    sleep_ms(500);
    if world.trouble {
        world.record.line(format!("signal  CONT to n0 (process {})", ids[0]));
        signal_process(ids[0], "CONT");
    }
    need(until(10_000, both), "the instances are not well any more")?;
    sleep_ms(5_000);
    let in_use = process.output().matches("the new configuration is in use").count();
    world.record.line(format!("log     instances that took the new configuration: {in_use}"));
    let mut twice = Vec::new();
    for (index, (name, listen, _)) in instances.iter().enumerate() {
        for number in 1..=3 {
            ask(&world.record, *listen, "flow-read", &format!("000000000000{index}f{number:02}"), 2_000);
        }
        for number in 1..=3 {
            let call = format!("ee0000000000{index}0{number:02}");
            let call = &call[..16];
            if ask(&world.record, *listen, "gauge-reset", call, 2_000) == Reply::Nothing {
                return Ok(Verdict::CouldNotRun(format!("{name} gave no answer")));
            }
            let count = runs.lock().unwrap().get(call).map_or(0, Vec::len);
            if count > 1 {
                twice.push(format!("{call} by {name} ran {count} times"));
            }
        }
    }
    Ok(match twice.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken(format!("of a class that must never run twice, {}", twice.join(", "))),
    })
}

// ---- A store of versions brought back from an older copy ----

fn copy_folder(from: &Path, to: &Path) -> std::io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        std::fs::copy(entry.path(), to.join(entry.file_name()))?;
    }
    Ok(())
}

fn store_copy(world: &World) -> Outcome {
    let runs = Runs::default();
    let (one, two) = executors(world, &runs);
    let workers = [("s-1", one.address), ("s-2", two.address)];
    let names = Names::start(&workers);
    let (listen, ops, control) = (free_address(), free_address(), free_address());
    let lanes = [Lane::new("flow-read", "idempotent", 3_000)];
    let own = world.write("n0.json", &config("n0", listen, ops, names.address, &workers, &lanes));
    let (store, copy) = (world.path("store"), world.path("copy"));
    let operator = world.write(
        "operator.toml",
        &format!(
            "[control.stream]\nservices = [\"{control}\"]\nfolder = \"{}\"\nbackoff_first_ms = 200\nbackoff_last_ms = 6000\ntrial_ms = 500\n\n[control.service]\nlisten = \"{control}\"\nstore = \"{}\"\n\n[control.service.rollout]\nwaves = [1.0]\nanswer_ms = 8000\nwatch_ms = 1000\n",
            world.path("versions").display(),
            store.display()
        ),
    );
    let store_text = store.display().to_string();
    let serve = || control_service(world, control, &store_text, &operator);
    let mut service = serve()?;
    let _n0 =
        Process::start(world, "n0", &format!("run --operator {operator}"), &variables("n0", listen, &own));
    need(until(10_000, || is_ready(ops)), "the dispatcher did not become ready")?;
    let ban = |id: &str| format!("[fleet.bans]\nexecutors = [{id}]\n");
    publish(world, control, "first.toml", &ban(""), "--wait --timeout 30")?;
    // The nightly copy of the store, then a restart of the service.
    service.signal(world, "TERM");
    need(service.wait(5_000) == Some(0), "the service did not stop")?;
    copy_folder(&store, &copy).map_err(|e| e.to_string())?;
    world.record.line("store   copied");
    service = serve()?;
    publish(world, control, "second.toml", &ban("\"s-1\""), "--wait --timeout 40")?;
    status(world, control);
    service.signal(world, "KILL");
    drop(service);
    if world.trouble {
        // Damage in the middle of the log, which the service refuses: a copy is brought back.
        let log = store.join("log");
        let mut bytes = std::fs::read(&log).map_err(|e| e.to_string())?;
        bytes[40] ^= 0xff;
        std::fs::write(&log, bytes).map_err(|e| e.to_string())?;
        let (code, _) = run_to_end(world, &format!("control serve --operator {operator} --store {store_text} --listen {control}"));
        need(code == 1, "the damaged log was not refused")?;
        std::fs::remove_dir_all(&store).map_err(|e| e.to_string())?;
        copy_folder(&copy, &store).map_err(|e| e.to_string())?;
        world.record.line("store   the copy is brought back");
    }
    sleep_ms(15_000);
    let _service = serve()?;
    // The operator publishes again: s-2 is to be left out.
    let output = publish(world, control, "third.toml", &ban("\"s-2\""), "--wait --timeout 60")?;
    let version = output.split_whitespace().next().unwrap_or_default().to_string();
    let shown = status(world, control);
    let runs_it = shown.lines().any(|l| l.trim_start().starts_with("n0 ") && l.contains("current") && l.contains(&version));
    world.record.line(format!("status  the service says that n0 runs {version}: {runs_it}"));
    // The grace of a ban, many times over.
    sleep_ms(2_000);
    for number in 1..=10 {
        ask(&world.record, listen, "flow-read", &format!("00000000000001{number:02}"), 2_000);
    }
    let runs = runs.lock().unwrap();
    let at_banned = runs.iter().filter(|(rid, at)| rid.starts_with("00000000000001") && at.contains(&"s-2".to_string()));
    let at_banned = at_banned.count();
    world.record.line(format!("count   {at_banned} of 10 requests went to s-2"));
    Ok(match (runs_it, at_banned) {
        (true, 1..) => Verdict::Broken(format!(
            "the service says that n0 runs {version}, which leaves s-2 out, and {at_banned} of 10 requests went to s-2"
        )),
        (_, 1..) => Verdict::CouldNotRun("the service does not say that n0 runs the version".to_string()),
        _ => Verdict::Held,
    })
}

// ---- A service that was told of a higher epoch ----

fn deposed(world: &World) -> Outcome {
    let runs = Runs::default();
    let (one, two) = executors(world, &runs);
    let workers = [("s-1", one.address), ("s-2", two.address)];
    let names = Names::start(&workers);
    let (first, second) = (free_address(), free_address());
    let lanes = [Lane::new("flow-read", "idempotent", 3_000)];
    let operator = |name: &str, services: &str, labels: &str| {
        let text = format!(
            "[control.stream]\nservices = [{services}]\nlabels = {{ {labels} }}\nfolder = \"{}\"\nbackoff_first_ms = 100\nbackoff_last_ms = 500\ntrial_ms = 500\n",
            world.path("versions").display()
        );
        world.write(name, &text)
    };
    let service_file = world.write(
        "service.toml",
        &format!(
            "[control.service]\nlisten = \"{first}\"\nstore = \"{}\"\n\n[control.service.rollout]\ncanary = \"role=canary\"\nwaves = [1.0]\nanswer_ms = 5000\nwatch_ms = 8000\n",
            world.path("store").display()
        ),
    );
    let (store, copy) = (world.path("store"), world.path("copy"));
    let mut leader = control_service(world, first, &store.display().to_string(), &service_file)?;
    leader.signal(world, "TERM");
    need(leader.wait(5_000) == Some(0), "the service did not stop")?;
    let leader = control_service(world, first, &store.display().to_string(), &service_file)?;
    let instance = |name: &str, operator: &str| -> Result<(Process, SocketAddr), String> {
        let (listen, ops) = (free_address(), free_address());
        let own = world.write(&format!("{name}.json"), &config(name, listen, ops, names.address, &workers, &lanes));
        let process =
            Process::start(world, name, &format!("run --operator {operator}"), &variables(name, listen, &own));
        need(until(10_000, || is_ready(ops)), "an instance did not become ready")?;
        Ok((process, listen))
    };
    let both = format!("\"{first}\", \"{second}\"");
    // The seed of the files is even, so that an instance begins with the first service of its list.
    let turned = format!("\"{second}\", \"{first}\"");
    let (_n0, _) = instance("n0", &operator("n0.toml", &both, "role = \"canary\""))?;
    let (n1, at_n1) = instance("n1", &operator("n1.toml", &both, "role = \"plain\""))?;
    need(until(10_000, || status(world, first).matches("current").count() >= 2), "the instances did not connect")?;
    let mut successor = None;
    let mut n2 = None;
    if world.trouble {
        copy_folder(&store, &copy).map_err(|e| e.to_string())?;
    }
    let ban = "[fleet.bans]\nexecutors = [\"s-2\"]\n";
    publish(world, first, "ban.toml", ban, "")?;
    sleep_ms(1_500);
    if world.trouble {
        // A second service leads, on a copy of the store; n2 follows it until it is gone, and comes to the first one.
        successor = Some(control_service(world, second, &copy.display().to_string(), &service_file)?);
        n2 = Some(instance("n2", &operator("n2.toml", &turned, "role = \"plain\""))?);
        need(until(10_000, || { sleep_ms(300); status(world, second).contains("n2") && status(world, second).contains("current") }), "n2 did not come to the second service")?;
        let second_service = successor.take().unwrap();
        second_service.signal(world, "KILL");
        drop(second_service);
        need(until(10_000, || leader.output().contains("leads, this service has")), "the first service was not told")?;
        world.record.line("log     the first service says that a higher epoch leads");
        status(world, first);
    }
    let before = n1.output().matches("a new version is in use").count();
    sleep_ms(14_000);
    let shown = status(world, first);
    let after = n1.output().matches("a new version is in use").count();
    for number in 1..=6 {
        ask(&world.record, at_n1, "flow-read", &format!("00000000000001{number:02}"), 2_000);
    }
    drop((successor, n2));
    world.record.line(format!("count   versions taken into use by n1: {before} before, {after} after"));
    if !world.trouble {
        return Ok(if after > 0 { Verdict::Held } else { Verdict::CouldNotRun("the rollout did not end".to_string()) });
    }
    need(before == 0, "n1 took the version before the service was told")?;
    need(shown.contains("publishes nothing"), "the service does not say that another has taken over")?;
    Ok(match after {
        0 => Verdict::Held,
        _ => Verdict::Broken("a service that was told of a higher epoch went on: n1 took its version after that".to_string()),
    })
}

// ---- A log whose reader stands still ----

fn log_stalled(world: &World) -> Outcome {
    let runs = Runs::default();
    let (one, two) = executors(world, &runs);
    let workers = [("s-1", one.address), ("s-2", two.address)];
    let names = Names::start(&workers);
    let (listen, ops) = (free_address(), free_address());
    let lanes = [Lane::new("flow-read", "idempotent", 3_000)];
    let own = world.write("n0.json", &config("n0", listen, ops, names.address, &workers, &lanes));
    // Standard output and error go to one pipe, as the platform takes its log; its reader is a process of its own.
    let log = world.path("n0.log");
    let n0 = Process::start_piped(world, "n0", &variables("n0", listen, &own), &log);
    need(until(10_000, || is_ready(ops)), "the dispatcher did not become ready")?;
    if ask(&world.record, listen, "flow-read", "0000000000000001", 2_000) != Reply::Served {
        return Ok(Verdict::CouldNotRun("the first request was not served".to_string()));
    }
    if world.trouble {
        world.record.line(format!("signal  STOP to the reader of the log (process {})", n0.reader));
        signal_process(n0.reader, "STOP");
    }
    // For 75 s an executor goes in and out of service; the dispatcher tells each change on standard error. Requests go on.
    for change in 0..680 {
        names.drain(if change % 2 == 0 { &["s-2"] } else { &[] });
        sleep_ms(110);
        let call = format!("0000000000001{change:03}");
        if change % 68 == 0 && ask(&world.record, listen, "flow-read", &call, 2_000) != Reply::Served {
            return Ok(Verdict::CouldNotRun("a request was not served before the reload".to_string()));
        }
    }
    names.drain(&[]);
    sleep_ms(500);
    // New configurations, as the platform gives them: a line of each may still fit into the pipe.
    let mut lost = Vec::new();
    for number in 1..=6 {
        if lost.is_empty() {
            n0.process.signal(world, "HUP");
        }
        sleep_ms(500);
        let call = format!("000000000000020{number}");
        if ask(&world.record, listen, "flow-read", &call, 2_000) == Reply::Nothing {
            lost.push(call);
        }
        if lost.len() >= 3 {
            break;
        }
    }
    let ready = is_ready(ops);
    world.record.line(format!("count   {} requests got no answer; the operators' address answers: {ready}", lost.len()));
    signal_process(n0.reader, "CONT");
    Ok(match lost.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken(format!("the dispatcher stands still: {} requests got no answer", lost.len())),
    })
}
