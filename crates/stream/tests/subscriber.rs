//! The state machine against a small reference model, under random orders of everything, and each written outcome by
//! itself. A failure prints the shortest history that causes it.

use ochreward_stream::subscriber::{Ending, Leader, Options, Ticket};
use ochreward_stream::trial::Rules;
use ochreward_stream::wire::{Code, Entry, Fault, FromService, Health, PROTOCOL, ToService, piece};
use ochreward_stream::{Digest, Kind, Memory, Resource, Snapshot, Step, Subscriber, Version};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// The same histories every time; another seed plays others.
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

/// The messages of an offer.
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
            let text = piece(&r.text, from).to_string();
            from += text.len();
            out.push(FromService::Part { nonce, kind: *kind, text });
        }
    }
    out.push(FromService::End { nonce });
    out
}

// ---- Each outcome by itself ----

struct Bench {
    it: Subscriber,
    now: u64,
    nonce: u64,
    health: Health,
}

impl Bench {
    fn new(running: Option<Snapshot>) -> Bench {
        let it = Subscriber::new(options(true), 0, Memory::default(), running.clone(), running);
        let mut bench = Bench { it, now: 0, nonce: 0, health: Health::default() };
        bench.connect(welcome(1, "a"));
        bench
    }

    fn connect(&mut self, hello: FromService) -> Vec<Step> {
        while !self.it.steps.iter().any(|s| matches!(s, Step::Connect(_))) {
            self.pass(SILENCE / 10);
        }
        self.nonce = 0;
        self.it.steps.clear();
        self.it.connected_now(self.now);
        self.it.received(self.now, hello);
        self.it.steps.drain(..).collect()
    }

    fn pass(&mut self, time: u64) {
        self.now += time;
        self.it.advance(self.now, self.health);
    }

    /// Offers a version, and says yes to all checks; what it was answered.
    fn offer(&mut self, of: &Snapshot) -> Option<Code> {
        self.nonce += 1;
        offer(self.nonce, of, true).into_iter().for_each(|m| self.it.received(self.now, m));
        self.answer()
    }

    fn answer(&mut self) -> Option<Code> {
        let mut answers = Vec::new();
        while let Some(step) = self.it.steps.pop_front() {
            match step {
                Step::Check(ticket, _) => self.it.checked(ticket, Ok(())),
                Step::Apply(ticket, _) => self.it.applied(self.now, ticket, Ok(())),
                Step::Send(ToService::Ack { nonce, .. }) if nonce == self.nonce => answers.push(None),
                Step::Send(ToService::Nack { nonce, code, .. }) if nonce == self.nonce => {
                    answers.push(Some(code))
                }
                _ => {}
            }
        }
        assert_eq!(answers.len(), 1, "one answer to a nonce: {answers:?}");
        answers[0]
    }
}

#[test]
fn out_of_order_repeated_skipped_and_conflicting_versions_have_their_outcomes() {
    let mut bench = Bench::new(None);
    assert_eq!(bench.offer(&snapshot(version(1, 2), 2)), None);
    assert_eq!(bench.offer(&snapshot(version(1, 2), 2)), None, "repeated");
    assert_eq!(bench.offer(&snapshot(version(1, 2), 9)), Some(Code::Conflict), "two services, one version");
    assert_eq!(bench.offer(&snapshot(version(1, 1), 1)), Some(Code::OutOfOrder));
    assert_eq!(bench.offer(&snapshot(version(1, 7), 7)), None, "skipped numbers");
    assert_eq!(bench.offer(&snapshot(version(2, 8), 7)), Some(Code::Damaged), "an epoch that nobody has");
    assert_eq!(bench.it.version(), Some(version(1, 7)));
}

#[test]
fn a_service_with_a_lower_epoch_or_a_rival_is_not_followed_and_a_higher_one_is() {
    let mut bench = Bench::new(None);
    bench.it.lost(bench.now);
    assert!(bench.connect(welcome(3, "a")).iter().any(|s| matches!(s, Step::Remember(_))));
    for (hello, why) in [(welcome(2, "a"), Ending::OlderEpoch), (welcome(3, "b"), Ending::Rival)] {
        bench.it.lost(bench.now);
        assert!(bench.connect(hello).contains(&Step::Disconnect(why)));
    }
    assert!(!bench.connect(welcome(4, "b")).iter().any(|s| matches!(s, Step::Disconnect(_))));
    assert_eq!(bench.it.memory().leader, Leader { epoch: 4, store: "b".into() });
    // A higher number of an older epoch is lower.
    assert_eq!(bench.offer(&snapshot(version(4, 2), 1)), None);
    assert_eq!(bench.offer(&snapshot(version(3, 9), 1)), Some(Code::OutOfOrder));
}

#[test]
fn a_gap_in_deltas_is_told_and_a_type_that_is_held_need_not_be_sent() {
    let mut bench = Bench::new(None);
    let first = snapshot(version(1, 1), 1);
    bench.nonce += 1;
    offer(1, &first, false).into_iter().for_each(|m| bench.it.received(0, m));
    assert_eq!(bench.answer(), Some(Code::Gap));
    assert_eq!(bench.offer(&first), None);
    let same = Snapshot { version: version(1, 2), ..first };
    bench.nonce += 1;
    offer(bench.nonce, &same, false).into_iter().for_each(|m| bench.it.received(0, m));
    assert_eq!(bench.answer(), None);
    assert_eq!(bench.it.version(), Some(version(1, 2)));
}

#[test]
fn what_is_not_what_was_announced_is_turned_down_and_the_stream_goes_on() {
    let mut bench = Bench::new(None);
    let good = snapshot(version(1, 1), 1);
    let text = good.resources[&Kind::Settings].text.to_string();
    type Bend = fn(&mut Vec<FromService>);
    let bends: [(Bend, Code); 6] = [
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
    for (bend, code) in bends {
        bench.nonce += 1;
        let mut messages = offer(bench.nonce, &good, true);
        bend(&mut messages);
        messages.into_iter().for_each(|m| bench.it.received(bench.now, m));
        assert_eq!(bench.answer(), Some(code), "{text}");
        assert!(bench.it.connected());
    }
    assert_eq!(bench.offer(&good), None);
}

#[test]
fn a_version_that_makes_things_worse_is_given_up_for_good_and_the_next_one_is_not() {
    let good = snapshot(version(1, 1), 1);
    let mut bench = Bench::new(Some(good.clone()));
    let serve = |bench: &mut Bench, steps: usize, bad: u64| {
        for _ in 0..steps {
            bench.health.answers += 100;
            bench.health.bad += bad;
            bench.pass(10_000);
        }
    };
    serve(&mut bench, 12, 1);
    assert_eq!(bench.offer(&snapshot(version(1, 2), 2)), None);
    serve(&mut bench, 3, 60);
    let steps: Vec<Step> = bench.it.steps.drain(..).collect();
    let to =
        steps.iter().find_map(|s| if let Step::Return(to, from, _) = s { Some((to, *from)) } else { None });
    assert_eq!(to, Some((&Some(Arc::new(good)), version(1, 2))));
    assert!(steps.iter().any(|s| matches!(s, Step::Send(ToService::Reverted { .. }))));
    assert_eq!(bench.it.version(), Some(version(1, 1)));
    assert_eq!(bench.offer(&snapshot(version(1, 2), 2)), Some(Code::Refused));
    assert_eq!(bench.offer(&snapshot(version(1, 3), 3)), None);
    serve(&mut bench, 12, 1);
    assert!(bench.it.steps.iter().any(|s| matches!(s, Step::Keep(v, _) if *v == version(1, 3))));
    assert_eq!(bench.it.good(), Some(version(1, 3)));
}

#[test]
fn with_nothing_to_go_back_to_a_version_is_kept_whatever_it_does() {
    let mut it =
        Subscriber::new(options(false), 0, Memory::default(), Some(snapshot(version(1, 1), 1)), None);
    assert!(it.on_trial());
    for step in 0..30 {
        it.advance(step * 10_000, Health { answers: step * 100, bad: step * 100 });
    }
    assert!(it.steps.iter().any(|s| matches!(s, Step::Keep(..))));
}

#[test]
fn a_process_that_ended_during_a_trial_may_try_the_same_version_again_but_no_other_content() {
    let memory = Memory {
        leader: Leader { epoch: 1, store: "a".into() },
        highest: version(1, 5),
        content: Some(snapshot(version(1, 5), 5).content()),
        refused: VecDeque::new(),
    };
    let good = snapshot(version(1, 4), 4);
    let it = Subscriber::new(options(true), 0, memory, Some(good.clone()), Some(good));
    let mut bench = Bench { it, now: 0, nonce: 0, health: Health::default() };
    bench.connect(welcome(1, "a"));
    assert_eq!(bench.offer(&snapshot(version(1, 5), 6)), Some(Code::Conflict));
    assert_eq!(bench.offer(&snapshot(version(1, 5), 5)), None);
}

#[test]
fn silence_and_a_connection_that_never_comes_up_end_it_and_the_next_service_is_tried() {
    let mut it = Subscriber::new(options(true), 0, Memory::default(), None, None);
    let mut now = 0;
    let mut services = Vec::new();
    for _ in 0..6 {
        while it.steps.is_empty() {
            now = it.due().max(now + 1);
            it.advance(now, Health::default());
        }
        match it.steps.pop_front() {
            Some(Step::Connect(to)) => services.push(to.port()),
            Some(Step::Disconnect(why)) => assert_eq!(why, Ending::NeverUp),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(services, [1, 2, 1]);
    while !matches!(it.steps.pop_front(), Some(Step::Connect(_))) {
        now = it.due().max(now + 1);
        it.advance(now, Health::default());
    }
    it.connected_now(now);
    it.received(now, welcome(1, "a"));
    it.steps.clear();
    let heard = now;
    while !it.steps.iter().any(|s| matches!(s, Step::Disconnect(_))) {
        now = it.due().max(now + 1);
        it.advance(now, Health::default());
    }
    assert_eq!(now, heard + SILENCE);
    assert!(it.steps.contains(&Step::Disconnect(Ending::Silent)));
}

// ---- Random orders ----

#[derive(Clone, Debug)]
enum Op {
    Connect {
        epoch: u64,
        store: bool,
    },
    Lose,
    Offer {
        epoch: u64,
        number: u64,
        content: u8,
        sent: bool,
    },
    /// So many of the messages that the service has yet to send.
    Deliver(usize),
    /// Says yes or no to the oldest check or application that waits.
    Answer(bool),
    Pass {
        time: u64,
        answers: u64,
        bad: u64,
    },
    Nonsense(u8),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        2 => (1..4u64, any::<bool>()).prop_map(|(epoch, store)| Op::Connect { epoch, store }),
        1 => Just(Op::Lose),
        6 => (1..4u64, 1..8u64, 0..3u8, prop::bool::weighted(0.8))
            .prop_map(|(epoch, number, content, sent)| Op::Offer { epoch, number, content, sent }),
        6 => (1..4usize).prop_map(Op::Deliver),
        6 => prop::bool::weighted(0.8).prop_map(Op::Answer),
        4 => (0..60_000u64, 0..100u64, 0..100u64)
            .prop_map(|(time, answers, bad)| Op::Pass { time, answers, bad: bad.min(answers) }),
        1 => (0..4u8).prop_map(Op::Nonsense),
    ]
}

/// What the reference model knows.
struct Model {
    it: Subscriber,
    now: u64,
    health: Health,
    up: bool,
    nonce: u64,
    undelivered: VecDeque<FromService>,
    /// Nonces offered on this connection that have no answer.
    open: BTreeSet<u64>,
    pending: VecDeque<Step>,
    approved: Vec<Snapshot>,
    running: Option<Version>,
    highest: Version,
}

impl Model {
    fn run(&mut self, op: &Op) {
        match op {
            Op::Connect { epoch, store } if !self.up => {
                let began = self.now;
                while !self.steps().iter().any(|s| matches!(s, Step::Connect(_))) {
                    self.now = self.it.due().max(self.now);
                    assert!(self.now < began + 60 * SILENCE, "it never connects");
                    self.it.advance(self.now, self.health);
                }
                (self.up, self.nonce) = (true, 0);
                self.open.clear();
                self.undelivered.clear();
                self.it.connected_now(self.now);
                self.undelivered.push_back(welcome(*epoch, if *store { "a" } else { "b" }));
            }
            Op::Lose if self.up => self.lose(),
            Op::Offer { epoch, number, content, sent } if self.up => {
                self.nonce += 1;
                let of = snapshot(version(*epoch, *number), *content);
                self.undelivered.extend(offer(self.nonce, &of, *sent));
            }
            Op::Deliver(count) => {
                for _ in 0..*count {
                    let Some(message) = self.undelivered.pop_front().filter(|_| self.up) else { break };
                    if let FromService::Offer { nonce, .. } = &message {
                        self.open.insert(*nonce);
                    }
                    self.it.received(self.now, message);
                    self.steps();
                }
            }
            Op::Answer(yes) => self.answer(*yes),
            Op::Pass { time, answers, bad } => {
                self.now += time;
                self.health.answers += answers;
                self.health.bad += bad;
                self.it.advance(self.now, self.health);
            }
            Op::Nonsense(what) if self.up => {
                let message = match what {
                    0 => FromService::End { nonce: 999 },
                    1 => FromService::Part { nonce: 999, kind: Kind::Bans, text: "{}".into() },
                    2 => welcome(1, "a"),
                    _ => FromService::Beat {},
                };
                self.it.received(self.now, message);
            }
            _ => {}
        }
        self.steps();
    }

    fn lose(&mut self) {
        self.it.lost(self.now);
        self.down();
    }

    fn down(&mut self) {
        self.up = false;
        self.open.clear();
        self.undelivered.clear();
    }

    fn answer(&mut self, yes: bool) {
        let no = || Err((Code::Invalid, vec![Fault { key: "k".into(), why: "w".into() }]));
        match self.pending.pop_front() {
            Some(Step::Check(ticket, snapshot)) => {
                if yes {
                    self.approved.push((*snapshot).clone());
                }
                self.it.checked(ticket, if yes { Ok(()) } else { no() });
            }
            Some(Step::Apply(ticket, snapshot)) => {
                // Nothing runs that was not checked, and nothing lower than what has run.
                assert!(self.approved.contains(&snapshot), "{snapshot:?} was never checked");
                assert!(snapshot.version >= self.highest, "{} after {}", snapshot.version, self.highest);
                if yes {
                    (self.running, self.highest) = (Some(snapshot.version), snapshot.version);
                }
                self.it.applied(self.now, ticket, if yes { Ok(()) } else { no() });
            }
            _ => {}
        }
        self.steps();
    }

    /// Takes the steps and holds them against what was promised.
    fn steps(&mut self) -> Vec<Step> {
        let steps: Vec<Step> = self.it.steps.drain(..).collect();
        for step in &steps {
            match step {
                Step::Check(..) | Step::Apply(..) => self.pending.push_back(step.clone()),
                Step::Send(ToService::Ack { nonce, version }) => {
                    assert!(self.open.remove(nonce), "a second answer to {nonce}");
                    assert_eq!(self.running, Some(*version), "an ACK of what does not run");
                }
                Step::Send(ToService::Nack { nonce, .. }) => {
                    assert!(self.open.remove(nonce), "a second answer to {nonce}");
                }
                Step::Return(to, from, _) => {
                    assert_eq!(self.running, Some(*from));
                    self.running = to.as_ref().map(|s| s.version);
                }
                Step::Disconnect(_) => self.down(),
                _ => {}
            }
        }
        assert_eq!(self.it.version(), self.running);
        steps
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, rng_seed: SEED, ..ProptestConfig::default() })]

    #[test]
    fn whatever_comes_in_whatever_order_the_promises_hold(ops in prop::collection::vec(op(), 1..120)) {
        let it = Subscriber::new(options(true), 0, Memory::default(), None, None);
        let mut model = Model {
            it, now: 0, health: Health::default(), up: false, nonce: 0, undelivered: VecDeque::new(),
            open: BTreeSet::new(), pending: VecDeque::new(), approved: Vec::new(), running: None,
            highest: Version::default(),
        };
        for op in &ops {
            model.run(op);
        }
        // Once all has been delivered and answered, nothing is left open.
        model.run(&Op::Deliver(usize::MAX >> 1));
        for _ in 0..200 {
            model.answer(true);
        }
        prop_assert!(model.open.is_empty(), "never answered: {:?}", model.open);
    }
}

#[test]
fn a_result_for_another_ticket_changes_nothing() {
    let mut bench = Bench::new(None);
    let stray = Ticket { connection: 9, nonce: 9 };
    bench.it.checked(stray, Ok(()));
    bench.it.applied(0, stray, Ok(()));
    assert_eq!((bench.it.version(), bench.it.steps.len()), (None, 0));
}
