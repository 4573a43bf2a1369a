//! The subscriber's state machine: each documented outcome on its own, and a comparison with a small reference model
//! under random sequences of events. A failure prints the shortest sequence that causes it.

use ochreward_stream::subscriber::{CloseReason, FollowedService, OfferId, Options, Withdrawal};
use ochreward_stream::trial::Rules;
use ochreward_stream::wire::{Code, Entry, Fault, FromService, Health, PROTOCOL, ToService, next_piece};
use ochreward_stream::{Action, Digest, Kind, Resource, Snapshot, Subscriber, SubscriberState, Version};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// A fixed seed, so that every run generates the same sequences.
const SEED: RngSeed = RngSeed::Fixed(0x0c4e);
const SILENCE: u64 = 1_000_000;

fn options(has_base: bool) -> Options {
    Options {
        instance: "n0".into(),
        labels: BTreeMap::new(),
        services: vec!["127.0.0.1:1".parse().expect("an address"), "127.0.0.1:2".parse().expect("one")],
        backoff: (1_000, 10_000),
        silence: SILENCE,
        trial: Rules { length: 100_000, margin: 0.05, least: 10 },
        most_bytes: 1 << 20,
        has_base,
        seed: 4,
    }
}

fn version(epoch: u64, number: u64) -> Version {
    Version::new(epoch, number)
}

fn snapshot(version: Version, content: u8) -> Snapshot {
    let text: Arc<str> = format!("{{\"c\":{content}}}").into();
    let resource = Resource { version, digest: Digest::of(&text), text };
    Snapshot { version, resources: BTreeMap::from([(Kind::Settings, resource)]) }
}

fn welcome(epoch: u64, store: &str) -> FromService {
    FromService::Welcome { protocol: PROTOCOL, store: store.into(), epoch, heartbeat_us: 50_000 }
}

/// Returns the messages of an offer.
fn offer(nonce: u64, of: &Snapshot, sent: bool) -> Vec<FromService> {
    let entry = |(kind, r): (&Kind, &Resource)| Entry {
        kind: *kind,
        version: r.version,
        digest: r.digest.clone(),
        bytes: r.text.len() as u64,
        sent,
    };
    let entries = of.resources.iter().map(entry).collect();
    let mut out = vec![FromService::Offer { nonce, version: of.version, entries }];
    for (kind, r) in of.resources.iter().filter(|_| sent) {
        let mut from = 0;
        while from < r.text.len() {
            let text = next_piece(&r.text, from).to_string();
            from += text.len();
            out.push(FromService::Part { nonce, kind: *kind, text });
        }
    }
    out.push(FromService::End { nonce });
    out
}

// ---- Documented outcomes ----

/// A subscriber together with its time, the last nonce and its counts of answers.
struct Harness {
    subscriber: Subscriber,
    now: u64,
    nonce: u64,
    health: Health,
}

impl Harness {
    fn new(running: Option<Snapshot>) -> Harness {
        let subscriber =
            Subscriber::new(options(true), 0, SubscriberState::default(), running.clone(), running);
        let mut harness = Harness { subscriber, now: 0, nonce: 0, health: Health::default() };
        harness.connect(welcome(1, "a"));
        harness
    }

    fn connect(&mut self, hello: FromService) -> Vec<Action> {
        while !self.subscriber.steps.iter().any(|s| matches!(s, Action::Connect(_))) {
            self.advance_by(SILENCE / 10);
        }
        self.nonce = 0;
        self.subscriber.steps.clear();
        self.subscriber.on_connected(self.now);
        self.subscriber.on_message(self.now, hello);
        self.subscriber.steps.drain(..).collect()
    }

    fn advance_by(&mut self, time: u64) {
        self.now += time;
        self.subscriber.advance(self.now, self.health);
    }

    /// Lets a number of samples pass, each with 100 answers of which so many are bad.
    fn serve(&mut self, samples: usize, bad: u64) {
        for _ in 0..samples {
            self.health.answers += 100;
            self.health.failed += bad;
            self.advance_by(10_000);
        }
    }

    /// Takes the steps and returns what they tell the service of versions that were given up: version and running one.
    fn reverted(&mut self) -> Vec<(Version, Option<Version>)> {
        let reverted = |step: Action| match step {
            Action::Send(ToService::Reverted { version, running, .. }) => Some((version, running)),
            _ => None,
        };
        self.subscriber.steps.drain(..).filter_map(reverted).collect()
    }

    /// Offers a version and accepts all checks; returns the code of the NACK, or `None` for an ACK.
    fn offer(&mut self, of: &Snapshot) -> Option<Code> {
        self.nonce += 1;
        offer(self.nonce, of, true).into_iter().for_each(|m| self.subscriber.on_message(self.now, m));
        self.answer()
    }

    /// Carries out all steps and returns the subscriber's only answer to the last nonce.
    fn answer(&mut self) -> Option<Code> {
        let mut answers = Vec::new();
        while let Some(step) = self.subscriber.steps.pop_front() {
            match step {
                Action::Check(ticket, _) => self.subscriber.on_checked(ticket, Ok(())),
                Action::Apply(ticket, _) => self.subscriber.on_applied(self.now, ticket, Ok(())),
                Action::Send(ToService::Ack { nonce, .. }) if nonce == self.nonce => answers.push(None),
                Action::Send(ToService::Nack { nonce, code, .. }) if nonce == self.nonce => {
                    answers.push(Some(code))
                }
                _ => {}
            }
        }
        assert_eq!(answers.len(), 1, "expected exactly one answer to a nonce: {answers:?}");
        answers[0]
    }
}

#[test]
fn lower_repeated_skipped_and_conflicting_versions_get_the_documented_answers() {
    let mut harness = Harness::new(None);
    assert_eq!(harness.offer(&snapshot(version(1, 2), 2)), None);
    assert_eq!(harness.offer(&snapshot(version(1, 2), 2)), None, "repeated");
    assert_eq!(harness.offer(&snapshot(version(1, 2), 9)), Some(Code::Conflict), "two services, one version");
    assert_eq!(harness.offer(&snapshot(version(1, 1), 1)), Some(Code::OutOfOrder));
    assert_eq!(harness.offer(&snapshot(version(1, 7), 7)), None, "skipped numbers");
    assert_eq!(
        harness.offer(&snapshot(version(2, 8), 7)),
        Some(Code::Damaged),
        "an epoch above the service's"
    );
    assert_eq!(harness.subscriber.version(), Some(version(1, 7)));
}

#[test]
fn only_a_service_with_a_higher_epoch_or_the_same_store_is_followed() {
    let mut harness = Harness::new(None);
    harness.subscriber.on_connection_lost(harness.now);
    assert!(harness.connect(welcome(3, "a")).iter().any(|s| matches!(s, Action::StoreState(_))));
    for (hello, why) in [(welcome(2, "a"), CloseReason::OlderEpoch), (welcome(3, "b"), CloseReason::Rival)] {
        harness.subscriber.on_connection_lost(harness.now);
        assert!(harness.connect(hello).contains(&Action::Disconnect(why)));
    }
    assert!(!harness.connect(welcome(4, "b")).iter().any(|s| matches!(s, Action::Disconnect(_))));
    assert_eq!(harness.subscriber.memory().leader, FollowedService { epoch: 4, store: "b".into() });
    // The epoch is compared first: a higher number under a lower epoch is a lower version.
    assert_eq!(harness.offer(&snapshot(version(4, 2), 1)), None);
    assert_eq!(harness.offer(&snapshot(version(3, 9), 1)), Some(Code::OutOfOrder));
}

#[test]
fn an_unsent_type_is_a_gap_unless_the_subscriber_holds_it() {
    let mut harness = Harness::new(None);
    let first = snapshot(version(1, 1), 1);
    harness.nonce += 1;
    offer(1, &first, false).into_iter().for_each(|m| harness.subscriber.on_message(0, m));
    assert_eq!(harness.answer(), Some(Code::Gap));
    assert_eq!(harness.offer(&first), None);
    let same = Snapshot { version: version(1, 2), ..first };
    harness.nonce += 1;
    offer(harness.nonce, &same, false).into_iter().for_each(|m| harness.subscriber.on_message(0, m));
    assert_eq!(harness.answer(), None);
    assert_eq!(harness.subscriber.version(), Some(version(1, 2)));
}

#[test]
fn content_that_differs_from_the_offer_is_rejected_and_the_connection_stays_open() {
    let mut harness = Harness::new(None);
    let good = snapshot(version(1, 1), 1);
    let text = good.resources[&Kind::Settings].text.to_string();
    type Corruption = fn(&mut Vec<FromService>);
    let corruptions: [(Corruption, Code); 6] = [
        (|m| drop(m.remove(1)), Code::Damaged),
        (|m| m.insert(1, m[1].clone()), Code::Damaged),
        (
            |m| {
                if let FromService::Part { text, .. } = &mut m[1] {
                    text.replace_range(1..2, "X")
                }
            },
            Code::Damaged,
        ),
        (
            |m| {
                if let FromService::Part { kind, .. } = &mut m[1] {
                    *kind = Kind::Bans
                }
            },
            Code::Damaged,
        ),
        (
            |m| {
                if let FromService::Offer { entries, .. } = &mut m[0] {
                    entries[0].bytes = 1 << 40
                }
            },
            Code::Oversize,
        ),
        (
            |m| {
                if let FromService::Offer { entries, .. } = &mut m[0] {
                    entries.push(entries[0].clone());
                }
            },
            Code::Damaged,
        ),
    ];
    for (corrupt, code) in corruptions {
        harness.nonce += 1;
        let mut messages = offer(harness.nonce, &good, true);
        corrupt(&mut messages);
        messages.into_iter().for_each(|m| harness.subscriber.on_message(harness.now, m));
        assert_eq!(harness.answer(), Some(code), "{text}");
        assert!(harness.subscriber.connected());
    }
    assert_eq!(harness.offer(&good), None);
}

#[test]
fn a_worse_version_is_rolled_back_and_refused_while_the_next_version_is_accepted() {
    let good = snapshot(version(1, 1), 1);
    let mut harness = Harness::new(Some(good.clone()));
    harness.serve(12, 1);
    assert_eq!(harness.offer(&snapshot(version(1, 2), 2)), None);
    harness.serve(3, 60);
    let steps: Vec<Action> = harness.subscriber.steps.drain(..).collect();
    let to = steps
        .iter()
        .find_map(|s| if let Action::RollBack(to, from, _) = s { Some((to, *from)) } else { None });
    assert_eq!(to, Some((&Some(Arc::new(good)), version(1, 2))));
    assert!(steps.iter().any(|s| matches!(s, Action::Send(ToService::Reverted { .. }))));
    assert_eq!(harness.subscriber.version(), Some(version(1, 1)));
    assert_eq!(harness.offer(&snapshot(version(1, 2), 2)), Some(Code::Refused));
    assert_eq!(harness.offer(&snapshot(version(1, 3), 3)), None);
    harness.serve(12, 1);
    assert!(
        harness
            .subscriber
            .steps
            .iter()
            .any(|s| matches!(s, Action::Promote(v, _) if v.version == version(1, 3)))
    );
    assert_eq!(harness.subscriber.last_good_version(), Some(version(1, 3)));
}

fn withdrawal(of: Version) -> Withdrawal {
    Withdrawal { version: of, faults: vec![Fault { key: "limits".into(), why: "is over".into() }] }
}

// Guards against a version on trial that the file forbids and that is promoted all the same once its trial has passed.
#[test]
fn trial_of_a_withdrawn_version_ends_and_the_last_good_one_runs() {
    let (good, trial) = (version(1, 1), version(1, 2));
    let mut harness = Harness::new(Some(snapshot(good, 1)));
    assert_eq!(harness.offer(&snapshot(trial, 2)), None);
    let candidates: Vec<Version> = harness.subscriber.candidates().iter().map(|c| c.version).collect();
    assert_eq!(candidates, [trial, good]);
    harness.subscriber.on_selected(Some(good), vec![withdrawal(trial)]);
    assert_eq!((harness.subscriber.version(), harness.subscriber.on_trial()), (Some(good), false));
    assert_eq!(harness.reverted(), [(trial, Some(good))]);
    harness.serve(30, 1);
    assert!(!harness.subscriber.steps.iter().any(|s| matches!(s, Action::Promote(..))));
    assert_eq!(harness.subscriber.last_good_version(), Some(good));
}

// Guards against a rollback to a version that the file forbids: it counted as run, while something else did.
#[test]
fn withdrawn_rollback_target_is_reported_and_stays_a_candidate() {
    let (good, trial) = (version(1, 1), version(1, 2));
    let mut harness = Harness::new(Some(snapshot(good, 1)));
    harness.serve(12, 1);
    assert_eq!(harness.offer(&snapshot(trial, 2)), None);
    harness.serve(3, 60);
    assert_eq!(harness.reverted(), [(trial, Some(good))]);
    harness.subscriber.on_selected(None, vec![withdrawal(good)]);
    assert_eq!((harness.subscriber.version(), harness.subscriber.on_trial()), (None, false));
    assert_eq!(harness.reverted(), [(good, None)]);
    // A later file permits it again: it runs without a trial, and nothing is reported.
    harness.subscriber.on_selected(Some(good), Vec::new());
    assert_eq!((harness.subscriber.version(), harness.subscriber.on_trial()), (Some(good), false));
    assert_eq!(harness.reverted(), []);
}

// Guards against a last good version that can't be used and to which a worse one is rolled back, with no settings beneath.
#[test]
fn without_settings_of_its_own_an_instance_forgets_a_withdrawn_version() {
    let (good, next) = (version(1, 1), version(1, 2));
    let mut harness = Harness::new(Some(snapshot(good, 1)));
    harness.subscriber.set_has_base(false);
    harness.subscriber.on_selected(None, vec![withdrawal(good)]);
    assert!(harness.subscriber.candidates().is_empty());
    harness.serve(12, 1);
    assert_eq!(harness.offer(&snapshot(next, 2)), None);
    harness.serve(30, 60);
    assert_eq!(harness.subscriber.version(), Some(next), "there is nothing to roll back to");
}

#[test]
fn without_a_version_to_roll_back_to_a_worse_version_is_kept() {
    let mut subscriber = Subscriber::new(
        options(false),
        0,
        SubscriberState::default(),
        Some(snapshot(version(1, 1), 1)),
        None,
    );
    assert!(subscriber.on_trial());
    for step in 0..30 {
        subscriber.advance(step * 10_000, Health { answers: step * 100, failed: step * 100 });
    }
    assert!(subscriber.steps.iter().any(|s| matches!(s, Action::Promote(..))));
}

#[test]
fn after_a_restart_during_a_trial_the_same_version_is_accepted_only_with_the_same_content() {
    let memory = SubscriberState {
        leader: FollowedService { epoch: 1, store: "a".into() },
        highest: version(1, 5),
        content: Some(snapshot(version(1, 5), 5).content_digest()),
        refused: VecDeque::new(),
    };
    let good = snapshot(version(1, 4), 4);
    let subscriber = Subscriber::new(options(true), 0, memory, Some(good.clone()), Some(good));
    let mut harness = Harness { subscriber, now: 0, nonce: 0, health: Health::default() };
    harness.connect(welcome(1, "a"));
    assert_eq!(harness.offer(&snapshot(version(1, 5), 6)), Some(Code::Conflict));
    assert_eq!(harness.offer(&snapshot(version(1, 5), 5)), None);
}

#[test]
fn a_silent_or_unestablished_connection_is_closed_and_the_next_service_is_tried() {
    let mut subscriber = Subscriber::new(options(true), 0, SubscriberState::default(), None, None);
    let mut now = 0;
    let mut services = Vec::new();
    for _ in 0..6 {
        while subscriber.steps.is_empty() {
            now = subscriber.next_due().max(now + 1);
            subscriber.advance(now, Health::default());
        }
        match subscriber.steps.pop_front() {
            Some(Action::Connect(to)) => services.push(to.port()),
            Some(Action::Disconnect(why)) => assert_eq!(why, CloseReason::NeverUp),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(services, [1, 2, 1]);
    while !matches!(subscriber.steps.pop_front(), Some(Action::Connect(_))) {
        now = subscriber.next_due().max(now + 1);
        subscriber.advance(now, Health::default());
    }
    subscriber.on_connected(now);
    subscriber.on_message(now, welcome(1, "a"));
    subscriber.steps.clear();
    let heard = now;
    while !subscriber.steps.iter().any(|s| matches!(s, Action::Disconnect(_))) {
        now = subscriber.next_due().max(now + 1);
        subscriber.advance(now, Health::default());
    }
    assert_eq!(now, heard + SILENCE);
    assert!(subscriber.steps.contains(&Action::Disconnect(CloseReason::Silent)));
}

// ---- Random sequences of events ----

#[derive(Clone, Debug)]
enum Op {
    Connect {
        epoch: u64,
        store: bool,
    },
    LoseConnection,
    Offer {
        epoch: u64,
        number: u64,
        content: u8,
        sent: bool,
    },
    /// Delivers up to this number of the service's undelivered messages.
    Deliver(usize),
    /// Accepts or rejects the oldest pending check or application.
    Resolve(bool),
    Advance {
        time: u64,
        answers: u64,
        bad: u64,
    },
    /// Sends a message that is out of place in the protocol.
    Unexpected(u8),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        2 => (1..4u64, any::<bool>()).prop_map(|(epoch, store)| Op::Connect { epoch, store }),
        1 => Just(Op::LoseConnection),
        6 => (1..4u64, 1..8u64, 0..3u8, prop::bool::weighted(0.8))
            .prop_map(|(epoch, number, content, sent)| Op::Offer { epoch, number, content, sent }),
        6 => (1..4usize).prop_map(Op::Deliver),
        6 => prop::bool::weighted(0.8).prop_map(Op::Resolve),
        4 => (0..60_000u64, 0..100u64, 0..100u64)
            .prop_map(|(time, answers, bad)| Op::Advance { time, answers, bad: bad.min(answers) }),
        1 => (0..4u8).prop_map(Op::Unexpected),
    ]
}

/// The reference model.
struct Model {
    subscriber: Subscriber,
    now: u64,
    health: Health,
    up: bool,
    nonce: u64,
    undelivered: VecDeque<FromService>,
    /// Nonces offered on this connection and not yet answered.
    unanswered: BTreeSet<u64>,
    pending: VecDeque<Action>,
    approved: Vec<Snapshot>,
    running: Option<Version>,
    highest: Version,
}

impl Model {
    fn run(&mut self, op: &Op) {
        match op {
            Op::Connect { epoch, store } if !self.up => {
                let began = self.now;
                while !self.take_steps().iter().any(|s| matches!(s, Action::Connect(_))) {
                    self.now = self.subscriber.next_due().max(self.now);
                    assert!(self.now < began + 60 * SILENCE, "the subscriber never connects");
                    self.subscriber.advance(self.now, self.health);
                }
                (self.up, self.nonce) = (true, 0);
                self.unanswered.clear();
                self.undelivered.clear();
                self.subscriber.on_connected(self.now);
                self.undelivered.push_back(welcome(*epoch, if *store { "a" } else { "b" }));
            }
            Op::LoseConnection if self.up => self.lose_connection(),
            Op::Offer { epoch, number, content, sent } if self.up => {
                self.nonce += 1;
                let of = snapshot(version(*epoch, *number), *content);
                self.undelivered.extend(offer(self.nonce, &of, *sent));
            }
            Op::Deliver(count) => {
                for _ in 0..*count {
                    let Some(message) = self.undelivered.pop_front().filter(|_| self.up) else { break };
                    if let FromService::Offer { nonce, .. } = &message {
                        self.unanswered.insert(*nonce);
                    }
                    self.subscriber.on_message(self.now, message);
                    self.take_steps();
                }
            }
            Op::Resolve(accept) => self.resolve(*accept),
            Op::Advance { time, answers, bad } => {
                self.now += time;
                self.health.answers += answers;
                self.health.failed += bad;
                self.subscriber.advance(self.now, self.health);
            }
            Op::Unexpected(what) if self.up => {
                let message = match what {
                    0 => FromService::End { nonce: 999 },
                    1 => FromService::Part { nonce: 999, kind: Kind::Bans, text: "{}".into() },
                    2 => welcome(1, "a"),
                    _ => FromService::Heartbeat {},
                };
                self.subscriber.on_message(self.now, message);
            }
            _ => {}
        }
        self.take_steps();
    }

    fn lose_connection(&mut self) {
        self.subscriber.on_connection_lost(self.now);
        self.connection_ended();
    }

    /// Forgets what belonged to the connection.
    fn connection_ended(&mut self) {
        self.up = false;
        self.unanswered.clear();
        self.undelivered.clear();
    }

    /// Reports the result of the oldest pending check or application.
    fn resolve(&mut self, accept: bool) {
        let rejection = || Err((Code::Invalid, vec![Fault { key: "k".into(), why: "w".into() }]));
        match self.pending.pop_front() {
            Some(Action::Check(ticket, snapshot)) => {
                if accept {
                    self.approved.push((*snapshot).clone());
                }
                self.subscriber.on_checked(ticket, if accept { Ok(()) } else { rejection() });
            }
            Some(Action::Apply(ticket, snapshot)) => {
                // Only a checked version is applied, and none lower than a version that has run.
                assert!(self.approved.contains(&snapshot), "{snapshot:?} was never checked");
                assert!(snapshot.version >= self.highest, "{} after {}", snapshot.version, self.highest);
                if accept {
                    (self.running, self.highest) = (Some(snapshot.version), snapshot.version);
                }
                self.subscriber.on_applied(self.now, ticket, if accept { Ok(()) } else { rejection() });
            }
            _ => {}
        }
        self.take_steps();
    }

    /// Takes the steps and checks them against the state machine's invariants.
    fn take_steps(&mut self) -> Vec<Action> {
        let steps: Vec<Action> = self.subscriber.steps.drain(..).collect();
        for step in &steps {
            match step {
                Action::Check(..) | Action::Apply(..) => self.pending.push_back(step.clone()),
                Action::Send(ToService::Ack { nonce, version }) => {
                    assert!(self.unanswered.remove(nonce), "a second answer to {nonce}");
                    assert_eq!(self.running, Some(*version), "an ACK of a version that does not run");
                }
                Action::Send(ToService::Nack { nonce, .. }) => {
                    assert!(self.unanswered.remove(nonce), "a second answer to {nonce}");
                }
                Action::RollBack(to, from, _) => {
                    assert_eq!(self.running, Some(*from));
                    self.running = to.as_ref().map(|s| s.version);
                }
                Action::Disconnect(_) => self.connection_ended(),
                _ => {}
            }
        }
        assert_eq!(self.subscriber.version(), self.running);
        steps
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, rng_seed: SEED, ..ProptestConfig::default() })]

    #[test]
    fn invariants_hold_under_any_sequence_of_events(ops in prop::collection::vec(op(), 1..120)) {
        let subscriber = Subscriber::new(options(true), 0, SubscriberState::default(), None, None);
        let mut model = Model {
            subscriber, now: 0, health: Health::default(), up: false, nonce: 0, undelivered: VecDeque::new(),
            unanswered: BTreeSet::new(), pending: VecDeque::new(), approved: Vec::new(), running: None,
            highest: Version::default(),
        };
        for op in &ops {
            model.run(op);
        }
        // Once everything is delivered and answered, no nonce is left unanswered.
        model.run(&Op::Deliver(usize::MAX >> 1));
        for _ in 0..200 {
            model.resolve(true);
        }
        prop_assert!(model.unanswered.is_empty(), "never answered: {:?}", model.unanswered);
    }
}

#[test]
fn a_result_for_an_unknown_ticket_is_ignored() {
    let mut harness = Harness::new(None);
    let stray = OfferId { connection: 9, nonce: 9 };
    harness.subscriber.on_checked(stray, Ok(()));
    harness.subscriber.on_applied(0, stray, Ok(()));
    assert_eq!((harness.subscriber.version(), harness.subscriber.steps.len()), (None, 0));
}
