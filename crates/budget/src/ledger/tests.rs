use super::*;

const S: Micros = 1_000_000;

fn pair() -> (Ledger, Ledger) {
    let terms = Terms { whole: 1_000, ..Terms::default() };
    let (mut a, mut b) = (Ledger::new(terms.clone(), 1, 0), Ledger::new(terms, 2, 0));
    a.divide(2);
    b.divide(2);
    (a, b)
}

#[test]
fn one_that_begins_has_its_floor_and_one_without_a_part_nothing() {
    let (a, _) = pair();
    assert_eq!((a.spendable(0), a.spendable(3 * S)), (250, 500));
    assert_eq!(Ledger::new(Terms { whole: 9, ..Terms::default() }, 1, 0).spendable(9 * S), 0);
}

#[test]
fn the_floor_is_never_lent_whoever_asks_for_whatever() {
    let (mut a, mut b) = pair();
    let ask = b.ask(5 * S, "a", u64::MAX, u32::MAX).expect("a question");
    let grant = a.asked(5 * S, "b", &ask);
    assert_eq!(grant.amount, 250);
    assert_eq!(a.asked(5 * S, "b", &ask), grant, "the same question, the same lease");
    let more = b.ask(5 * S, "a", 1, 1).expect("a question");
    assert_eq!(a.asked(5 * S, "b", &more).amount, 0);
    assert_eq!(a.spendable(5 * S), 250);
}

#[test]
fn a_lease_ends_for_its_borrower_first() {
    let (mut a, mut b) = pair();
    let ask = b.ask(5 * S, "a", 100, 1).expect("a question");
    let grant = a.asked(6 * S, "b", &ask);
    assert!(b.granted(6 * S, "a", &grant));
    assert!(!b.granted(6 * S, "a", &grant), "once");
    assert_eq!((a.spendable(6 * S), b.spendable(6 * S)), (400, 600));
    assert_eq!((a.spendable(7 * S), b.spendable(7 * S)), (400, 500), "two seconds from the question");
    assert_eq!(a.spendable(8 * S + S / 10), 500, "and from the grant, and a twentieth more");
    let ask = b.ask(10 * S, "a", 100, 1).expect("a question");
    let grant = a.asked(12 * S, "b", &ask);
    assert!(!b.granted(12 * S, "a", &grant), "it is late");
}

#[test]
fn what_is_needed_here_is_lent_only_to_those_who_want_it_for_more() {
    let (mut a, mut b) = pair();
    a.need(500, 2);
    let ask = b.ask(5 * S, "a", 400, 1).expect("a question");
    assert_eq!(a.asked(5 * S, "b", &ask).amount, 0);
    let ask = b.ask(5 * S, "a", 400, 4).expect("a question");
    assert_eq!(a.asked(5 * S, "b", &ask).amount, 250);
}

#[test]
fn tables_are_bounded_against_one_that_asks_without_end() {
    let terms = Terms { whole: 1 << 40, ..Terms::default() };
    let mut a = Ledger::new(terms, 1, 0);
    a.divide(2);
    for number in 0..5_000 {
        let ask = Ask { instance: 7, number, amount: 1, lease: u64::MAX, worth: 9 };
        a.asked(5 * S, "x", &ask);
    }
    assert_eq!(a.lent(5 * S), MOST_LEASES as u64);
    assert_eq!(a.lent(8 * S), 0, "nobody gets a longer lease than the terms say");
    assert_eq!((0..99).filter_map(|_| a.ask(9 * S, "x", 1, 1)).count(), MOST_ASKED);
}
