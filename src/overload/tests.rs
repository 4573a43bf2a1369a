//! Tests of the timing of leases, the admission level and circuits, and of what the decision module receives.

use super::*;

const S: Micros = 1_000_000;

fn new_overload(instance: u64) -> Overload {
    let options = Options {
        resends_per_s: 100,
        orders_per_s: 0,
        floor: 500,
        lease_us: 2 * S,
        max_queue_us: 50_000,
        level_hold_us: S,
        ramp_us: 4 * S,
        trial_interval_us: S / 4,
    };
    Overload::new(options, instance, 0)
}

fn view(others: &[&str]) -> GroupView {
    GroupView { own: "me".into(), parts: 2, peers: others.iter().map(|n| Arc::from(*n)).collect() }
}

/// Demands `rate` resends per second for three seconds without delivering any message; returns those sent.
fn demand_resends(
    overload: &mut Overload,
    from: Micros,
    rate: u64,
    others: &[&str],
) -> Vec<(Arc<str>, Vec<u8>)> {
    let mut messages = Vec::new();
    for step in 0..30 {
        let now = from + step * S / 10;
        let tokens = Tokens { requested: rate / 10, ..Tokens::default() };
        overload
            .budget(now, &Budget { resend_tokens: Some(tokens), max_resend_worth: 40, ..Budget::default() });
        messages.extend(overload.advance(now, &view(others)));
    }
    messages
}

#[test]
fn without_peers_spends_own_part_and_sends_nothing() {
    let mut overload = new_overload(1);
    assert!(demand_resends(&mut overload, 5 * S, 500, &[]).is_empty());
    assert_eq!(overload.spendable_rate(0, 9 * S), 50_000);
    let budget = overload.budget(9 * S, &Budget::default());
    assert_eq!(budget.resend_tokens.map(|t| t.available), Some(6), "tokens of a tenth of a second, plus one");
    assert_eq!((budget.load_order_tokens, budget.admission_level), (None, 0));
}

#[test]
fn requests_missing_tokens_and_gets_a_lease_from_an_idle_peer() {
    let (mut a, mut b) = (new_overload(1), new_overload(2));
    a.advance(5 * S, &view(&["b"]));
    let asked = demand_resends(&mut b, 5 * S, 80, &["a"]);
    let mut asks = asked
        .iter()
        .filter_map(|(_, w)| Message::decode(w).filter(|w| matches!(w, Message::Ask(0, _))).map(|_| w));
    let last = asks.next_back().expect("a lease request");
    let grant = a.handle_message(7 * S + S / 2, &"b".into(), last).expect("a grant");
    assert!(b.handle_message(7 * S + S / 2, &"a".into(), &grant).is_none());
    let (available, lent) = (b.spendable_rate(0, 7 * S + S / 2), 50_000 - a.spendable_rate(0, 7 * S + S / 2));
    assert!(lent > 0 && available == 50_000 + lent, "{lent} lent, {available} available");
}

#[test]
fn standing_queue_raises_the_level_in_the_budget() {
    let mut overload = new_overload(1);
    for step in 0..40 {
        let now = 5 * S + step * S / 10;
        (0..8).for_each(|_| {
            overload.record_answer(now, &"s1".into(), 1, Some(if step == 0 { 20_000 } else { 220_000 }))
        });
        overload.advance(now, &view(&[]));
    }
    let budget = overload.budget(10 * S, &Budget::default());
    assert!(budget.admission_level > 10 && budget.mean_retry_after >= S, "{budget:?}");
}

#[test]
fn failed_executor_is_blocked_then_readmitted_by_a_trial_and_a_ramp() {
    let (mut overload, worker): (Overload, WorkerId) = (new_overload(1), "s1".into());
    overload.set_workers((0..12).map(|n| format!("s{n}").into()).collect());
    overload.connect_failed(5 * S, &worker);
    overload.advance(5 * S, &view(&[]));
    let left = |overload: &mut Overload, now, last: &Budget| {
        overload.budget(now, last).worker_gates.get("s1").map(|(left, _)| *left)
    };
    assert_eq!(left(&mut overload, 5 * S, &Budget::default()), Some(0));
    assert_eq!(left(&mut overload, 5 * S + S / 4, &Budget::default()), Some(1), "one trial is allowed");
    let trial_sent = Budget { worker_gates: [(worker.clone(), (0, 1))].into(), ..Budget::default() };
    assert_eq!(left(&mut overload, 5 * S + S / 4, &trial_sent), Some(0));
    assert_eq!(overload.stats().trials, 1);
    overload.record_answer(5 * S + S / 3, &worker, 1, Some(9));
    let messages = overload.advance(5 * S + S / 3, &view(&["b"]));
    assert!(messages.iter().any(|(_, w)| Message::decode(w) == Some(Message::Back(worker.clone(), 0))));
    assert_eq!(overload.circuit_counts(), (0, 1));
    assert_eq!(left(&mut overload, 10 * S, &Budget::default()), None, "the ramp is over");
}

#[test]
fn invalid_messages_change_nothing() {
    let mut overload = new_overload(1);
    let ask = ochreward_budget::LeaseRequest { instance: 1, number: 1, amount: 1, lease: 1, worth: 1 };
    for message in
        [vec![], vec![255; 30], Message::Ask(1, ask.clone()).encode(), Message::Ask(200, ask).encode()]
    {
        assert_eq!(overload.handle_message(5 * S, &"x".into(), &message), None);
    }
    assert_eq!(overload.stats(), Stats::default());
}
