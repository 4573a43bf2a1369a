//! Model check of the ledger: explores every order in which members send requests, answer, crash and restart,
//! messages are lost, late or duplicated, and clocks run at different rates, within the bounds of each test.
//! In every state the sum of all spendable amounts is at most the whole. A member that takes no action for a
//! while stands for a stalled process.

use ochreward_budget::{LeaseGrant, LeaseRequest, Ledger, ResourceTerms, SafetyRules};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// Time step, in microseconds; a lease lasts two.
const STEP: u64 = 1_000_000;
const LEASE: u64 = 2 * STEP;
/// Total amount of the resource.
const WHOLE: u64 = 1_200;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Ask(LeaseRequest),
    Grant(LeaseGrant),
}

/// Messages in transit: from, to, content. A set: a delivered message may stay, to be delivered again.
type Network = BTreeSet<(usize, usize, Message)>;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    time: u64,
    members: Vec<Ledger>,
    network: Network,
    asks: u8,
    crashes: u8,
    duplicates: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    AdvanceTime,
    Ask(usize, usize),
    Deliver(usize, usize, Message),
    DeliverAndKeep(usize, usize, Message),
    Lose(usize, usize, Message),
    Restart(usize),
}

struct Fleet {
    members: usize,
    rules: SafetyRules,
    steps: u64,
    asks: u8,
    crashes: u8,
    duplicates: u8,
}

impl Fleet {
    /// Returns a member's clock: that of the first is about a fortieth fast, that of the second a fortieth
    /// slow, the others are exact.
    fn clock(member: usize, time: u64) -> u64 {
        let real = (time + 10) * STEP;
        match member {
            0 => real + real / 41,
            1 => real - real / 41,
            _ => real,
        }
    }

    fn ledger(&self, member: usize, instance: u64, time: u64, started_long_ago: bool) -> Ledger {
        let terms = ResourceTerms {
            total: WHOLE,
            floor_per_mille: 500,
            lease_time: LEASE,
            grace: 0,
            clock_margin_percent: 5,
        };
        let started_at = if started_long_ago { 0 } else { Fleet::clock(member, time) };
        let mut ledger = Ledger::new(terms, instance, started_at).with_rules(self.rules);
        ledger.set_parts(self.members);
        ledger
    }

    fn deliver(&self, state: &mut State, from: usize, to: usize, message: &Message) {
        let now = Fleet::clock(to, state.time);
        let name = from.to_string();
        match message {
            Message::Ask(ask) => {
                let grant = state.members[to].handle_request(now, &name, ask);
                if grant.amount > 0 {
                    state.network.insert((to, from, Message::Grant(grant)));
                }
            }
            Message::Grant(grant) => {
                state.members[to].handle_grant(now, &name, grant);
            }
        }
    }

    fn spendable_sum(state: &State) -> u64 {
        state.members.iter().enumerate().map(|(n, m)| m.spendable(Fleet::clock(n, state.time))).sum()
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let members = (0..self.members).map(|n| self.ledger(n, n as u64 + 1, 0, true)).collect();
        vec![State { time: 0, members, network: Network::new(), asks: 0, crashes: 0, duplicates: 0 }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.time < self.steps {
            actions.push(Action::AdvanceTime);
        }
        if state.asks < self.asks {
            let pairs = (0..self.members).flat_map(|a| (0..self.members).map(move |b| (a, b)));
            actions.extend(pairs.filter(|(a, b)| a != b).map(|(a, b)| Action::Ask(a, b)));
        }
        for (from, to, message) in &state.network {
            actions.push(Action::Deliver(*from, *to, message.clone()));
            actions.push(Action::Lose(*from, *to, message.clone()));
            if state.duplicates < self.duplicates {
                actions.push(Action::DeliverAndKeep(*from, *to, message.clone()));
            }
        }
        if state.crashes < self.crashes {
            actions.extend((0..self.members).map(Action::Restart));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::AdvanceTime => state.time += 1,
            Action::Ask(from, to) => {
                state.asks += 1;
                let now = Fleet::clock(from, state.time);
                let ask = state.members[from].request_lease(now, &to.to_string(), WHOLE, 1)?;
                state.network.insert((from, to, Message::Ask(ask)));
            }
            Action::Deliver(from, to, message) => {
                state.network.remove(&(from, to, message.clone()));
                self.deliver(&mut state, from, to, &message);
            }
            Action::DeliverAndKeep(from, to, message) => {
                state.duplicates += 1;
                self.deliver(&mut state, from, to, &message);
            }
            Action::Lose(from, to, message) => {
                state.network.remove(&(from, to, message));
            }
            Action::Restart(member) => {
                state.crashes += 1;
                let instance = (member as u64 + 1) + 100 * u64::from(state.crashes);
                state.members[member] = self.ledger(member, instance, state.time, false);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("no more than the whole", |_, state| {
                Fleet::spendable_sum(state) <= WHOLE
            }),
            Property::<Self>::sometimes("something is lent", |_, state| {
                (0..state.members.len()).any(|n| state.members[n].borrowed(Fleet::clock(n, state.time)) > 0)
            }),
        ]
    }
}

fn check(fleet: Fleet) -> (usize, bool) {
    let (members, threads) =
        (fleet.members, std::thread::available_parallelism().map_or(2, usize::from).min(4));
    let checker = fleet.checker().threads(threads).spawn_bfs().join();
    let violated = checker.discovery("no more than the whole");
    println!(
        "{members} members: {} states explored, violated: {}",
        checker.unique_state_count(),
        violated.is_some()
    );
    assert!(
        checker.discovery("something is lent").is_some() || violated.is_some(),
        "the model lends something"
    );
    (checker.unique_state_count(), violated.is_some())
}

#[test]
fn three_members_never_spend_more_than_the_whole() {
    let fleet =
        Fleet { members: 3, rules: SafetyRules::default(), steps: 4, asks: 2, crashes: 1, duplicates: 1 };
    let (states, violated) = check(fleet);
    assert!(states > 10_000 && !violated, "{states} states");
}

#[test]
fn four_members_never_spend_more_than_the_whole() {
    let fleet =
        Fleet { members: 4, rules: SafetyRules::default(), steps: 3, asks: 2, crashes: 1, duplicates: 0 };
    let (states, violated) = check(fleet);
    assert!(states > 10_000 && !violated, "{states} states");
}

#[test]
fn each_disabled_safety_rule_is_detected() {
    let sound = SafetyRules::default();
    let faults = [
        ("measured from the arrival of the grant", SafetyRules { from_request: false, ..sound }),
        ("of an earlier process ignored after a start", SafetyRules { limit_after_start: false, ..sound }),
        ("extended after their expiry", SafetyRules { drop_expired: false, ..sound }),
        ("taken by a later process of the same name", SafetyRules { check_instance: false, ..sound }),
    ];
    for (fault, rules) in faults {
        let fleet = Fleet { members: 2, rules, steps: 8, asks: 2, crashes: 1, duplicates: 1 };
        let (_, violated) = check(fleet);
        assert!(violated, "the checker finds leases {fault}");
    }
}
