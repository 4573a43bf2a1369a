//! The service against a fleet of model instances: killed after each record that it writes, with lost answers and with
//! refusals; and each documented outcome on its own.

use ochreward_control::record::Record;
use ochreward_control::{Action, ConnectionId, PublishOutcome, RolloutPlan, Service, Timestamp};
use ochreward_stream::wire::{Code, Fault, Health, Hello, PROTOCOL, ToService};
use ochreward_stream::{Kind, Snapshot, Version};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

fn plan() -> RolloutPlan {
    let canary = Some(("role".to_string(), "canary".to_string()));
    RolloutPlan { canary, waves: vec![0.5, 1.0], answer_timeout_us: 1_000, observation_us: 200 }
}

fn document(n: u64) -> Value {
    json!({"fleet": {"settings": {"limits": {"max_open": n}}, "bans": {"executors": []}},
           "zone": {"b": {"limits": {"sockets": 64}}}})
}

/// A model of an instance: accepts every offer, or rejects one version number.
#[derive(Clone, Default)]
struct InstanceModel {
    running: Option<Arc<Snapshot>>,
    refuses: Option<u64>,
    /// All versions that it was offered, in order.
    offers: Vec<Version>,
}

/// The service with its log, its instances and their connections.
struct Harness {
    service: Service,
    now: Timestamp,
    log: Vec<Record>,
    models: BTreeMap<String, InstanceModel>,
    instance_names: BTreeMap<ConnectionId, String>,
    last_connection: ConnectionId,
    /// The service is killed once the log holds this many records; its further records and actions are lost.
    killed_after: Option<usize>,
    killed: bool,
}

impl Harness {
    fn new(count: usize) -> Harness {
        let now = Timestamp { us: 1, unix_ms: 1_000 };
        let service = Service::recover(plan(), 100, Vec::new(), now, "s");
        let models = (0..count).map(|i| (format!("n{i:02}"), InstanceModel::default())).collect();
        let (log, instance_names) = (Vec::new(), BTreeMap::new());
        let mut harness = Harness {
            service,
            now,
            log,
            models,
            instance_names,
            last_connection: 0,
            killed_after: None,
            killed: false,
        };
        harness.settle();
        harness
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
        self.last_connection += 1;
        self.instance_names.insert(self.last_connection, name.to_string());
        let result = self.service.received(self.now, self.last_connection, ToService::Hello(hello));
        assert_eq!(result, Ok(()));
        self.settle();
    }

    /// Appends records and carries out actions, as the server does, until none are left or the service is killed.
    fn settle(&mut self) {
        loop {
            let (records, actions) = self.service.flush();
            if self.killed || (records.is_empty() && actions.is_empty()) {
                return;
            }
            for record in records {
                if self.killed_after.is_some_and(|limit| self.log.len() >= limit) {
                    self.killed = true;
                    return;
                }
                self.log.push(record);
            }
            for action in actions {
                if let Action::Offer(conn, nonce, snapshot, held) = action {
                    self.offered(conn, nonce, snapshot, &held);
                }
            }
        }
    }

    fn offered(&mut self, conn: ConnectionId, nonce: u64, snapshot: Arc<Snapshot>, held: &[Kind]) {
        let Some(model) = self.models.get_mut(&self.instance_names[&conn]) else { return };
        let version = snapshot.version;
        // Only types that the instance holds may be omitted from an offer.
        let holds = |k: &Kind| {
            model.running.as_ref().is_some_and(|r| {
                r.resources.get(k).map(|r| &r.digest) == snapshot.resources.get(k).map(|r| &r.digest)
            })
        };
        assert!(held.iter().all(holds));
        assert!(
            model.running.as_ref().is_none_or(|r| r.version < version),
            "offered a version that it already runs"
        );
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

    /// Advances the time in small steps, with a heartbeat from each instance at each step.
    fn advance_steps(&mut self, steps: u64) {
        for _ in 0..steps {
            if self.killed {
                return;
            }
            self.now.us += 50;
            self.now.unix_ms += 1;
            let conns: Vec<(ConnectionId, String)> =
                self.instance_names.iter().map(|(c, n)| (*c, n.clone())).collect();
            for (conn, name) in conns {
                let running = self.models[&name].running.as_ref().map(|r| r.version);
                let beat = ToService::Heartbeat { running, health: Health::default() };
                let _ = self.service.received(self.now, conn, beat);
            }
            self.service.advance(self.now);
            self.settle();
        }
    }

    /// Starts the service again from the records written before it was killed.
    fn restart(&mut self) {
        self.service = Service::recover(plan(), 100, self.log.clone(), self.now, "other");
        (self.killed_after, self.killed) = (None, false);
        self.instance_names.clear();
        self.settle();
        // No instance has reconnected yet: no wave may begin without them.
        self.advance_steps(2);
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
fn a_rollout_survives_a_kill_after_any_record_without_skipping_or_repeating_a_wave() {
    let run = |killed_after: Option<usize>| {
        let mut harness = Harness::new(9);
        harness.killed_after = killed_after;
        harness.connect_all();
        if !harness.killed {
            harness.service.publish(harness.now, document(1), false);
            harness.settle();
        }
        harness.advance_steps(60);
        if killed_after.is_some() {
            assert!(harness.killed, "{killed_after:?}");
            harness.restart();
            // A client without a reply publishes again; publishing the same document twice creates one version.
            if harness.service.catalog().latest().is_none() {
                harness.service.publish(harness.now, document(1), false);
                harness.settle();
            }
            harness.advance_steps(120);
        }
        harness
    };
    let uninterrupted = run(None);
    assert_eq!(uninterrupted.phase(), "done");
    let records = uninterrupted.log.len();
    assert!(records > 20, "{records}");
    for killed_after in 1..records {
        let harness = run(Some(killed_after));
        assert_eq!(
            harness.phase(),
            "done",
            "killed after {killed_after}: {}",
            harness.service.status(harness.now)
        );
        let waves = harness.waves(1);
        assert_eq!(waves.iter().map(|(w, _)| *w).collect::<Vec<_>>(), [0, 1, 2], "{killed_after}");
        let members: Vec<&String> = waves.iter().flat_map(|(_, m)| m).collect();
        assert_eq!(members.len(), 9, "{killed_after}");
        assert_eq!(members.iter().collect::<BTreeSet<_>>().len(), 9, "{killed_after}");
        for (name, model) in &harness.models {
            assert_eq!(model.running.as_ref().map(|r| r.version.number), Some(1), "{name}");
        }
    }
}

#[test]
fn compacted_records_restore_the_same_state_as_all_records() {
    let mut harness = Harness::new(6);
    harness.connect_all();
    for n in 1..4 {
        harness.service.publish(harness.now, document(n), n == 1);
        harness.settle();
        harness.advance_steps(if n == 3 { 1 } else { 60 });
    }
    let status = |records: Vec<Record>| {
        let mut status = Service::recover(plan(), 100, records, harness.now, "x").status(harness.now);
        // The time of the last message on a stream is not recorded.
        status["instances"]
            .as_array_mut()
            .expect("instances")
            .iter_mut()
            .for_each(|i| i["heard_ms_ago"] = json!(0));
        status
    };
    assert_eq!(status(harness.log.clone()), status(harness.service.snapshot_records()));
}

#[test]
fn a_refusal_halts_the_rollout_and_resuming_excludes_the_instance() {
    let mut harness = Harness::new(8);
    harness.connect_all();
    harness.models.get_mut("n05").expect("one").refuses = Some(1);
    harness.service.publish(harness.now, document(1), false);
    harness.settle();
    harness.advance_steps(60);
    let status = harness.service.status(harness.now);
    let rollout = &status["rollout"];
    assert_eq!(rollout["phase"], "halted");
    assert!(rollout["why"].as_str().is_some_and(|w| w.contains("n05")), "{rollout}");
    let count = |key: &str| rollout[key].as_array().map_or(0, Vec::len);
    assert_eq!((count("refused"), count("unknown")), (1, 0));
    assert_eq!(count("changed") + count("unchanged"), 7);
    let running = harness.models.values().filter(|m| m.running.is_some()).count();
    assert_eq!(count("changed"), running);
    assert!(harness.service.resume(harness.now));
    harness.settle();
    harness.advance_steps(60);
    assert_eq!(harness.phase(), "done");
    assert_eq!(harness.models["n05"].offers.len(), 1, "a refused version is not offered again");
    assert_eq!(harness.models.values().filter(|m| m.running.is_some()).count(), 7);
}

#[test]
fn a_rollback_publishes_the_old_content_under_a_new_number() {
    let mut harness = Harness::new(3);
    harness.connect_all();
    for n in 1..=2 {
        harness.service.publish(harness.now, document(n), true);
        harness.settle();
        harness.advance_steps(20);
    }
    assert_eq!(
        harness.service.publish(harness.now, document(2), true),
        PublishOutcome::Same(Version::new(1, 2))
    );
    assert_eq!(harness.service.rollback(harness.now, 9, true), PublishOutcome::Unknown);
    assert_eq!(harness.service.rollback(harness.now, 1, true), PublishOutcome::New(Version::new(1, 3)));
    harness.settle();
    harness.advance_steps(20);
    for model in harness.models.values() {
        let text = model.running.as_ref().map(|r| r.resources[&Kind::Settings].text.to_string());
        assert_eq!(text.as_deref(), Some("{\"limits\":{\"max_open\":1}}"));
        let numbers: Vec<u64> = model.offers.iter().map(|v| v.number).collect();
        assert_eq!(numbers, [1, 2, 3]);
    }
    assert_eq!(harness.service.history()[2]["rollback_of"], "1.1");
}

#[test]
fn an_answer_lost_with_its_connection_is_recovered_from_the_next_hello() {
    let mut harness = Harness::new(2);
    harness.connect_all();
    harness.service.publish(harness.now, document(1), true);
    // The offers reach the instances, but their answers are lost.
    let (records, actions) = harness.service.flush();
    harness.log.extend(records);
    for action in actions {
        if let Action::Offer(conn, _, snapshot, _) = action {
            let name = harness.instance_names[&conn].clone();
            harness.models.get_mut(&name).expect("one").running = Some(snapshot);
            harness.service.lost(conn);
        }
    }
    assert_eq!(harness.phase(), "offering");
    harness.instance_names.clear();
    harness.connect_all();
    harness.advance_steps(20);
    assert_eq!(harness.phase(), "done");
    assert!(harness.models.values().all(|m| m.offers.is_empty()));
}

#[test]
fn a_subscriber_that_followed_a_higher_epoch_deposes_the_service() {
    let mut harness = Harness::new(0);
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
    assert!(harness.service.received(harness.now, 1, ToService::Hello(hello.clone())).is_err());
    assert_eq!(harness.service.publish(harness.now, document(1), true), PublishOutcome::Deposed(7));
    let other = Hello { protocol: PROTOCOL + 1, epoch: 0, ..hello };
    assert!(harness.service.received(harness.now, 2, ToService::Hello(other)).is_err());
    assert!(
        harness
            .service
            .received(harness.now, 3, ToService::Ack { nonce: 1, version: Version::new(1, 1) })
            .is_err()
    );
}

#[test]
fn a_new_connection_of_an_instance_replaces_a_half_open_one() {
    let mut harness = Harness::new(1);
    harness.connect("n00");
    let first = harness.last_connection;
    harness.connect("n00");
    assert!(!harness.service.is_subscriber(first) && harness.service.is_subscriber(harness.last_connection));
    // The end of the first connection does not affect the second.
    harness.service.lost(first);
    assert_eq!(harness.service.status(harness.now)["instances"][0]["standing"], "current");
}

#[test]
fn a_gap_is_answered_with_all_types_and_not_recorded_as_a_refusal() {
    let mut harness = Harness::new(1);
    harness.connect("n00");
    harness.service.publish(harness.now, document(1), true);
    let (_, actions) = harness.service.flush();
    let offer = |actions: Vec<Action>| {
        actions.into_iter().find_map(|action| {
            if let Action::Offer(conn, nonce, snapshot, held) = action {
                Some((conn, nonce, snapshot, held))
            } else {
                None
            }
        })
    };
    let (conn, nonce, snapshot, _) = offer(actions).expect("an offer");
    let nack = ToService::Nack { nonce, version: snapshot.version, code: Code::Gap, faults: Vec::new() };
    assert_eq!(harness.service.received(harness.now, conn, nack.clone()), Ok(()));
    let (records, actions) = harness.service.flush();
    assert!(!records.iter().any(|r| matches!(r, Record::Answered { .. })));
    let (_, again, _, held) = offer(actions).expect("a second offer");
    assert!(again > nonce && held.is_empty());
    assert!(harness.service.received(harness.now, conn, nack).is_err(), "an answer to no offer");
}
