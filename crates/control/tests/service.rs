//! The service against a fleet of small models: killed after every record that it writes, with answers lost, with
//! refusals; and what each written outcome looks like.

use ochreward_control::record::Record;
use ochreward_control::{Act, Conn, Now, Outcome, Plan, Service};
use ochreward_stream::wire::{Code, Fault, Health, Hello, PROTOCOL, ToService};
use ochreward_stream::{Kind, Snapshot, Version};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

fn plan() -> Plan {
    let canary = Some(("role".to_string(), "canary".to_string()));
    Plan { canary, waves: vec![0.5, 1.0], answer: 1_000, watch: 200 }
}

fn document(n: u64) -> Value {
    json!({"fleet": {"settings": {"limits": {"max_open": n}}, "bans": {"executors": []}},
           "zone": {"b": {"limits": {"sockets": 64}}}})
}

/// An instance: takes what it is offered, or turns one number down.
#[derive(Clone, Default)]
struct Model {
    running: Option<Arc<Snapshot>>,
    refuses: Option<u64>,
    /// Every version that it was ever offered, in order.
    offers: Vec<Version>,
}

struct World {
    service: Service,
    now: Now,
    log: Vec<Record>,
    models: BTreeMap<String, Model>,
    names: BTreeMap<Conn, String>,
    next_conn: Conn,
    /// Records are taken up to this many; what is done after the last one is lost with the service.
    dies_after: Option<usize>,
    dead: bool,
}

impl World {
    fn new(count: usize) -> World {
        let now = Now { us: 1, unix_ms: 1_000 };
        let service = Service::recover(plan(), 100, Vec::new(), now, "s");
        let models = (0..count).map(|i| (format!("n{i:02}"), Model::default())).collect();
        let (log, names) = (Vec::new(), BTreeMap::new());
        let mut it = World { service, now, log, models, names, next_conn: 0, dies_after: None, dead: false };
        it.settle();
        it
    }

    fn connect_all(&mut self) {
        let names: Vec<String> = self.models.keys().cloned().collect();
        names.iter().for_each(|name| self.connect(name));
    }

    fn connect(&mut self, name: &str) {
        let model = &self.models[name];
        let role = if name == "n00" { "canary" } else { "usual" };
        let zone = if name < "n04" { "a" } else { "b" };
        let hello = Hello {
            protocol: PROTOCOL,
            instance: name.to_string(),
            labels: BTreeMap::from([("role".into(), role.into()), ("zone".into(), zone.into())]),
            running: model.running.as_ref().map(|r| r.version),
            highest: Version::default(),
            epoch: 0,
            holds: model.running.as_ref().map(|r| r.holds()).unwrap_or_default(),
            refused: Vec::new(),
        };
        self.next_conn += 1;
        self.names.insert(self.next_conn, name.to_string());
        let result = self.service.received(self.now, self.next_conn, ToService::Hello(hello));
        assert_eq!(result, Ok(()));
        self.settle();
    }

    /// Carries records and acts, as the server does, until nothing is left, or until it is killed.
    fn settle(&mut self) {
        loop {
            let (records, acts) = self.service.flush();
            if self.dead || (records.is_empty() && acts.is_empty()) {
                return;
            }
            for record in records {
                if self.dies_after.is_some_and(|most| self.log.len() >= most) {
                    self.dead = true;
                    return;
                }
                self.log.push(record);
            }
            for act in acts {
                if let Act::Offer(conn, nonce, snapshot, held) = act {
                    self.offered(conn, nonce, snapshot, &held);
                }
            }
        }
    }

    fn offered(&mut self, conn: Conn, nonce: u64, snapshot: Arc<Snapshot>, held: &[Kind]) {
        let Some(model) = self.models.get_mut(&self.names[&conn]) else { return };
        let version = snapshot.version;
        // Only what it holds is left out.
        let has = |k: &Kind| {
            model.running.as_ref().is_some_and(|r| {
                r.resources.get(k).map(|r| &r.digest) == snapshot.resources.get(k).map(|r| &r.digest)
            })
        };
        assert!(held.iter().all(has));
        assert!(model.running.as_ref().is_none_or(|r| r.version < version), "offered what it runs");
        model.offers.push(version);
        let answer = if model.refuses == Some(version.number) {
            let faults = vec![Fault { key: "settings".into(), why: "no".into() }];
            ToService::Nack { nonce, version, code: Code::Invalid, faults }
        } else {
            model.running = Some(snapshot);
            ToService::Ack { nonce, version }
        };
        assert_eq!(self.service.received(self.now, conn, answer), Ok(()));
    }

    /// Time passes in small steps, everybody giving signs of life.
    fn pass(&mut self, steps: u64) {
        for _ in 0..steps {
            if self.dead {
                return;
            }
            self.now.us += 50;
            self.now.unix_ms += 1;
            let conns: Vec<(Conn, String)> = self.names.iter().map(|(c, n)| (*c, n.clone())).collect();
            for (conn, name) in conns {
                let running = self.models[&name].running.as_ref().map(|r| r.version);
                let beat = ToService::Beat { running, health: Health::default() };
                let _ = self.service.received(self.now, conn, beat);
            }
            self.service.advance(self.now);
            self.settle();
        }
    }

    /// Killed, and started again on what was written.
    fn restart(&mut self) {
        self.service = Service::recover(plan(), 100, self.log.clone(), self.now, "other");
        (self.dies_after, self.dead) = (None, false);
        self.names.clear();
        self.settle();
        // Nobody has come back yet: no wave may begin without them.
        self.pass(2);
        self.connect_all();
    }

    fn waves(&self, number: u64) -> Vec<(usize, BTreeSet<String>)> {
        let wave = |r: &Record| match r {
            Record::Wave { number: n, wave, members } if *n == number => Some((*wave, members.clone())),
            _ => None,
        };
        self.log.iter().filter_map(wave).collect()
    }

    fn phase(&self) -> Value {
        self.service.status(self.now)["rollout"]["phase"].clone()
    }
}

#[test]
fn killed_after_any_record_a_rollout_goes_on_without_skipping_or_repeating_a_wave() {
    let play = |dies_after: Option<usize>| {
        let mut world = World::new(9);
        world.dies_after = dies_after;
        world.connect_all();
        if !world.dead {
            world.service.publish(world.now, document(1), false);
            world.settle();
        }
        world.pass(60);
        if dies_after.is_some() {
            assert!(world.dead, "{dies_after:?}");
            world.restart();
            // Whoever publishes and hears nothing publishes again; the same twice is one version.
            if world.service.catalog().latest().is_none() {
                world.service.publish(world.now, document(1), false);
                world.settle();
            }
            world.pass(120);
        }
        world
    };
    let whole = play(None);
    assert_eq!(whole.phase(), "done");
    let records = whole.log.len();
    assert!(records > 20, "{records}");
    for dies_after in 1..records {
        let world = play(Some(dies_after));
        assert_eq!(world.phase(), "done", "killed after {dies_after}: {}", world.service.status(world.now));
        let waves = world.waves(1);
        assert_eq!(waves.iter().map(|(w, _)| *w).collect::<Vec<_>>(), [0, 1, 2], "{dies_after}");
        let members: Vec<&String> = waves.iter().flat_map(|(_, m)| m).collect();
        assert_eq!(members.len(), 9, "{dies_after}");
        assert_eq!(members.iter().collect::<BTreeSet<_>>().len(), 9, "{dies_after}");
        for (name, model) in &world.models {
            assert_eq!(model.running.as_ref().map(|r| r.version.number), Some(1), "{name}");
        }
    }
}

#[test]
fn what_condensed_records_say_is_what_all_of_them_said() {
    let mut world = World::new(6);
    world.connect_all();
    for n in 1..4 {
        world.service.publish(world.now, document(n), n == 1);
        world.settle();
        world.pass(if n == 3 { 1 } else { 60 });
    }
    let status = |records: Vec<Record>| {
        let mut status = Service::recover(plan(), 100, records, world.now, "x").status(world.now);
        // Only what a stream told is gone.
        status["instances"]
            .as_array_mut()
            .expect("instances")
            .iter_mut()
            .for_each(|i| i["heard_ms_ago"] = json!(0));
        status
    };
    assert_eq!(status(world.log.clone()), status(world.service.condensed()));
}

#[test]
fn a_refusal_halts_it_says_who_changed_and_resume_leaves_it_aside() {
    let mut world = World::new(8);
    world.connect_all();
    world.models.get_mut("n05").expect("one").refuses = Some(1);
    world.service.publish(world.now, document(1), false);
    world.settle();
    world.pass(60);
    let status = world.service.status(world.now);
    let rollout = &status["rollout"];
    assert_eq!(rollout["phase"], "halted");
    assert!(rollout["why"].as_str().is_some_and(|w| w.contains("n05")), "{rollout}");
    let count = |key: &str| rollout[key].as_array().map_or(0, Vec::len);
    assert_eq!((count("refused"), count("unknown")), (1, 0));
    assert_eq!(count("changed") + count("unchanged"), 7);
    let running = world.models.values().filter(|m| m.running.is_some()).count();
    assert_eq!(count("changed"), running);
    assert!(world.service.resume(world.now));
    world.settle();
    world.pass(60);
    assert_eq!(world.phase(), "done");
    assert_eq!(world.models["n05"].offers.len(), 1, "what was refused is not offered again");
    assert_eq!(world.models.values().filter(|m| m.running.is_some()).count(), 7);
}

#[test]
fn a_rollback_is_a_new_number_with_the_old_content_and_only_what_differs_is_sent() {
    let mut world = World::new(3);
    world.connect_all();
    for n in 1..=2 {
        world.service.publish(world.now, document(n), true);
        world.settle();
        world.pass(20);
    }
    assert_eq!(world.service.publish(world.now, document(2), true), Outcome::Same(Version::new(1, 2)));
    assert_eq!(world.service.rollback(world.now, 9, true), Outcome::Unknown);
    assert_eq!(world.service.rollback(world.now, 1, true), Outcome::New(Version::new(1, 3)));
    world.settle();
    world.pass(20);
    for model in world.models.values() {
        let text = model.running.as_ref().map(|r| r.resources[&Kind::Settings].text.to_string());
        assert_eq!(text.as_deref(), Some("{\"limits\":{\"max_open\":1}}"));
        let numbers: Vec<u64> = model.offers.iter().map(|v| v.number).collect();
        assert_eq!(numbers, [1, 2, 3]);
    }
    assert_eq!(world.service.history()[2]["rollback_of"], "1.1");
}

#[test]
fn an_answer_that_was_lost_with_its_connection_is_made_up_for_by_the_next_hello() {
    let mut world = World::new(2);
    world.connect_all();
    world.service.publish(world.now, document(1), true);
    // The offers reach the instances, their answers nobody.
    let (records, acts) = world.service.flush();
    world.log.extend(records);
    for act in acts {
        if let Act::Offer(conn, _, snapshot, _) = act {
            let name = world.names[&conn].clone();
            world.models.get_mut(&name).expect("one").running = Some(snapshot);
            world.service.lost(conn);
        }
    }
    assert_eq!(world.phase(), "offering");
    world.names.clear();
    world.connect_all();
    world.pass(20);
    assert_eq!(world.phase(), "done");
    assert!(world.models.values().all(|m| m.offers.is_empty()));
}

#[test]
fn a_subscriber_that_followed_a_higher_epoch_deposes_this_service() {
    let mut world = World::new(0);
    let hello = Hello {
        protocol: PROTOCOL,
        instance: "n".into(),
        labels: BTreeMap::new(),
        running: None,
        highest: Version::new(7, 1),
        epoch: 7,
        holds: BTreeMap::new(),
        refused: Vec::new(),
    };
    assert!(world.service.received(world.now, 1, ToService::Hello(hello.clone())).is_err());
    assert_eq!(world.service.publish(world.now, document(1), true), Outcome::Deposed(7));
    let other = Hello { protocol: PROTOCOL + 1, epoch: 0, ..hello };
    assert!(world.service.received(world.now, 2, ToService::Hello(other)).is_err());
    assert!(
        world
            .service
            .received(world.now, 3, ToService::Ack { nonce: 1, version: Version::new(1, 1) })
            .is_err()
    );
}

#[test]
fn a_later_connection_of_an_instance_takes_the_place_of_a_half_open_one() {
    let mut world = World::new(1);
    world.connect("n00");
    let first = world.next_conn;
    world.connect("n00");
    assert!(!world.service.knows(first) && world.service.knows(world.next_conn));
    // The end of the first changes nothing for the second.
    world.service.lost(first);
    assert_eq!(world.service.status(world.now)["instances"][0]["standing"], "current");
}

#[test]
fn a_gap_is_answered_with_everything_and_no_refusal() {
    let mut world = World::new(1);
    world.connect("n00");
    world.service.publish(world.now, document(1), true);
    let (_, acts) = world.service.flush();
    let offer = |acts: Vec<Act>| {
        acts.into_iter()
            .find_map(|a| if let Act::Offer(c, n, s, held) = a { Some((c, n, s, held)) } else { None })
    };
    let (conn, nonce, snapshot, _) = offer(acts).expect("an offer");
    let nack = ToService::Nack { nonce, version: snapshot.version, code: Code::Gap, faults: Vec::new() };
    assert_eq!(world.service.received(world.now, conn, nack.clone()), Ok(()));
    let (records, acts) = world.service.flush();
    assert!(!records.iter().any(|r| matches!(r, Record::Answered { .. })));
    let (_, again, _, held) = offer(acts).expect("a second offer");
    assert!(again > nonce && held.is_empty());
    assert!(world.service.received(world.now, conn, nack).is_err(), "an answer to no offer");
}
