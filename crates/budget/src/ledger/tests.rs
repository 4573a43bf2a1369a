use super::*;

const S: Micros = 1_000_000;

fn pair() -> (Ledger, Ledger) {
    let terms = ResourceTerms { total: 1_000, ..ResourceTerms::default() };
    let (mut a, mut b) = (Ledger::new(terms.clone(), 1, 0), Ledger::new(terms, 2, 0));
    a.set_parts(2);
    b.set_parts(2);
    (a, b)
}

#[test]
fn a_started_member_may_spend_its_floor_and_one_without_a_part_nothing() {
    let (a, _) = pair();
    assert_eq!((a.spendable(0), a.spendable(3 * S)), (250, 500));
    assert_eq!(Ledger::new(ResourceTerms { total: 9, ..ResourceTerms::default() }, 1, 0).spendable(9 * S), 0);
}

#[test]
fn the_floor_is_never_lent() {
    let (mut a, mut b) = pair();
    let ask = b.request_lease(5 * S, "a", u64::MAX, u32::MAX).expect("a request is allowed");
    let grant = a.handle_request(5 * S, "b", &ask);
    assert_eq!(grant.amount, 250);
    assert_eq!(a.handle_request(5 * S, "b", &ask), grant, "a repeated request yields the same lease");
    let more = b.request_lease(5 * S, "a", 1, 1).expect("a request is allowed");
    assert_eq!(a.handle_request(5 * S, "b", &more).amount, 0);
    assert_eq!(a.spendable(5 * S), 250);
}

#[test]
fn a_lease_expires_at_the_borrower_before_the_lender() {
    let (mut a, mut b) = pair();
    let ask = b.request_lease(5 * S, "a", 100, 1).expect("a request is allowed");
    let grant = a.handle_request(6 * S, "b", &ask);
    assert!(b.handle_grant(6 * S, "a", &grant));
    assert!(!b.handle_grant(6 * S, "a", &grant), "a grant is applied once");
    assert_eq!((a.spendable(6 * S), b.spendable(6 * S)), (400, 600));
    assert_eq!(
        (a.spendable(7 * S), b.spendable(7 * S)),
        (400, 500),
        "the borrower counts two seconds from the request"
    );
    assert_eq!(a.spendable(8 * S + S / 10), 500, "the lender counts two seconds from the grant and 5% more");
    let ask = b.request_lease(10 * S, "a", 100, 1).expect("a request is allowed");
    let grant = a.handle_request(12 * S, "b", &ask);
    assert!(!b.handle_grant(12 * S, "a", &grant), "a grant that arrives after its expiry is ignored");
}

#[test]
fn a_needed_amount_is_lent_only_for_a_use_of_higher_worth() {
    let (mut a, mut b) = pair();
    a.set_own_need(500, 2);
    let ask = b.request_lease(5 * S, "a", 400, 1).expect("a request is allowed");
    assert_eq!(a.handle_request(5 * S, "b", &ask).amount, 0);
    let ask = b.request_lease(5 * S, "a", 400, 4).expect("a request is allowed");
    assert_eq!(a.handle_request(5 * S, "b", &ask).amount, 250);
}

#[test]
fn lease_and_request_tables_stay_bounded_under_endless_requests() {
    let terms = ResourceTerms { total: 1 << 40, ..ResourceTerms::default() };
    let mut a = Ledger::new(terms, 1, 0);
    a.set_parts(2);
    for number in 0..5_000 {
        let ask = LeaseRequest { instance: 7, number, amount: 1, lease: u64::MAX, worth: 9 };
        a.handle_request(5 * S, "x", &ask);
    }
    assert_eq!(a.lent(5 * S), MAX_LEASES as u64);
    assert_eq!(a.lent(8 * S), 0, "no lease exceeds the configured duration");
    assert_eq!((0..99).filter_map(|_| a.request_lease(9 * S, "x", 1, 1)).count(), MAX_PENDING_REQUESTS);
}
