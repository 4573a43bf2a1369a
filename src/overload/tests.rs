//! When budgets and the level are asked, and what the module is told.

use super::*;

const S: Micros = 1_000_000;

fn overload(instance: u64) -> Overload {
    let options = Options {
        resends: 100,
        orders: 0,
        floor: 500,
        lease: 2 * S,
        queue: 50_000,
        stay: S,
        ramp: 4 * S,
        trial: S / 4,
    };
    Overload::new(options, instance, 0)
}

fn view(others: &[&str]) -> View {
    View { own: "me".into(), parts: 2, others: others.iter().map(|n| Arc::from(*n)).collect() }
}

/// It wants so many resends a second, for a while, and hears nobody.
fn wants(o: &mut Overload, from: Micros, rate: u64, others: &[&str]) -> Vec<(Arc<str>, Vec<u8>)> {
    let mut said = Vec::new();
    for step in 0..30 {
        let now = from + step * S / 10;
        let tokens = Tokens { requested: rate / 10, ..Tokens::default() };
        o.budget(now, &Budget { resend_tokens: Some(tokens), max_resend_worth: 40, ..Budget::default() });
        said.extend(o.advance(now, &view(others)));
    }
    said
}

#[test]
fn alone_it_has_its_part_and_says_nothing() {
    let mut o = overload(1);
    assert!(wants(&mut o, 5 * S, 500, &[]).is_empty());
    assert_eq!(o.spendable(0, 9 * S), 50_000);
    let budget = o.budget(9 * S, &Budget::default());
    assert_eq!(budget.resend_tokens.map(|t| t.available), Some(6), "a tenth of a second's, and one");
    assert_eq!((budget.load_order_tokens, budget.admission_level), (None, 0));
}

#[test]
fn what_it_lacks_it_asks_for_and_gets_from_one_that_needs_nothing() {
    let (mut a, mut b) = (overload(1), overload(2));
    a.advance(5 * S, &view(&["b"]));
    let asked = wants(&mut b, 5 * S, 80, &["a"]);
    let mut asks =
        asked.iter().filter_map(|(_, w)| Word::read(w).filter(|w| matches!(w, Word::Ask(0, _))).map(|_| w));
    let last = asks.next_back().expect("it asks");
    let grant = a.heard(7 * S + S / 2, &"b".into(), last).expect("an answer");
    assert!(b.heard(7 * S + S / 2, &"a".into(), &grant).is_none());
    let (has, lent) = (b.spendable(0, 7 * S + S / 2), 50_000 - a.spendable(0, 7 * S + S / 2));
    assert!(lent > 0 && has == 50_000 + lent, "{lent} lent, {has} had");
}

#[test]
fn a_standing_queue_raises_the_level_that_the_module_is_told() {
    let mut o = overload(1);
    for step in 0..40 {
        let now = 5 * S + step * S / 10;
        (0..8).for_each(|_| o.answered(now, &"s1".into(), 1, Some(if step == 0 { 20_000 } else { 220_000 })));
        o.advance(now, &view(&[]));
    }
    let budget = o.budget(10 * S, &Budget::default());
    assert!(budget.admission_level > 10 && budget.mean_retry_after >= S, "{budget:?}");
}

#[test]
fn an_executor_that_fails_is_barred_and_let_in_by_a_trial_and_a_ramp() {
    let (mut o, worker): (Overload, WorkerId) = (overload(1), "s1".into());
    o.listed((0..12).map(|n| format!("s{n}").into()).collect());
    o.refused(5 * S, &worker);
    o.advance(5 * S, &view(&[]));
    let left = |o: &mut Overload, now, last: &Budget| {
        o.budget(now, last).worker_gates.get("s1").map(|(left, _)| *left)
    };
    assert_eq!(left(&mut o, 5 * S, &Budget::default()), Some(0));
    assert_eq!(left(&mut o, 5 * S + S / 4, &Budget::default()), Some(1), "its trial");
    let made = Budget { worker_gates: [(worker.clone(), (0, 1))].into(), ..Budget::default() };
    assert_eq!(left(&mut o, 5 * S + S / 4, &made), Some(0));
    assert_eq!(o.stats().trials, 1);
    o.answered(5 * S + S / 3, &worker, 1, Some(9));
    let told = o.advance(5 * S + S / 3, &view(&["b"]));
    assert!(told.iter().any(|(_, w)| Word::read(w) == Some(Word::Back(worker.clone(), 0))));
    assert_eq!(o.circuits(), (0, 1));
    assert_eq!(left(&mut o, 10 * S, &Budget::default()), None, "the ramp is over");
}

#[test]
fn words_that_are_none_change_nothing() {
    let mut o = overload(1);
    let ask = ochreward_budget::Ask { instance: 1, number: 1, amount: 1, lease: 1, worth: 1 };
    for word in [vec![], vec![255; 30], Word::Ask(1, ask.clone()).written(), Word::Ask(200, ask).written()] {
        assert_eq!(o.heard(5 * S, &"x".into(), &word), None);
    }
    assert_eq!(o.stats(), Stats::default());
}
