use super::*;
use crate::discovery::ExecutorState;

fn executor(id: &str, port: u16) -> Executor {
    Executor {
        id: id.into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: "east".into(),
        kind: "std".into(),
        cell: 0,
        state: ExecutorState::Ready,
        started_ms: 0,
        weight: 0,
    }
}

fn accepted(verdict: Verdict) -> (Vec<String>, usize) {
    match verdict {
        Verdict::Accept { executors, merged } => {
            (executors.iter().map(|e| e.id.to_string()).collect(), merged)
        }
        Verdict::Refuse { doubt, .. } => panic!("refused: {doubt}"),
    }
}

#[test]
fn empty_list_is_accepted_only_after_its_hold_time() {
    let mut checker = ListValidator::default();
    let refused = Verdict::Refuse { doubt: Doubt::Empty, first: true };
    assert_eq!(checker.validate(10, vec![], 3), refused);
    assert_eq!(
        checker.validate(10 + EMPTY_HOLD_US - 1, vec![], 3),
        Verdict::Refuse { doubt: Doubt::Empty, first: false }
    );
    assert_eq!(accepted(checker.validate(10 + EMPTY_HOLD_US, vec![], 3)), (vec![], 0));
    // While the list in use is empty, another empty one is valid.
    assert_eq!(accepted(ListValidator::default().validate(0, vec![], 0)), (vec![], 0));
}

#[test]
fn nonempty_list_between_two_empty_ones_restarts_the_hold_time() {
    let mut checker = ListValidator::default();
    assert!(matches!(checker.validate(0, vec![], 2), Verdict::Refuse { .. }));
    accepted(checker.validate(EMPTY_HOLD_US / 2, vec![executor("s1", 1)], 2));
    assert!(matches!(checker.validate(EMPTY_HOLD_US + 1, vec![], 1), Verdict::Refuse { .. }));
}

#[test]
fn id_with_two_addresses_is_refused_and_reported_once() {
    let mut checker = ListValidator::default();
    let list = vec![executor("s2", 2), executor("s1", 1), executor("s2", 3)];
    let Verdict::Refuse { doubt, first } = checker.validate(0, list.clone(), 1) else {
        panic!("list accepted")
    };
    assert_eq!(
        (doubt.to_string().as_str(), first),
        ("executor s2 at two addresses, 127.0.0.1:2 and 127.0.0.1:3", true)
    );
    assert_eq!(checker.validate(1, list, 1), Verdict::Refuse { doubt, first: false });
    accepted(checker.validate(2, vec![executor("s1", 1)], 1));
    assert!(matches!(checker.unreadable("ends early"), Verdict::Refuse { first: true, .. }));
}

#[test]
fn entries_with_the_same_id_and_address_are_merged() {
    let list = vec![executor("s1", 1), executor("s0", 5), executor("s1", 1)];
    assert_eq!(accepted(ListValidator::default().validate(0, list, 0)), (vec!["s1".into(), "s0".into()], 1));
}

#[test]
fn list_that_changes_every_entry_is_accepted_whole() {
    let list: Vec<Executor> = (0..600).map(|n| executor(&format!("n{n:03}"), 1000 + n)).collect();
    let (ids, merged) = accepted(ListValidator::default().validate(0, list, 36));
    assert_eq!((ids.len(), merged, ids[0].as_str(), ids[599].as_str()), (600, 0, "n000", "n599"));
}

#[test]
fn million_entries_or_an_id_of_64_kib_are_refused_with_a_remedy() {
    let mut checker = ListValidator::default();
    let too_many = (0..1_000_000).map(|n| executor(&format!("s{n}"), 1)).collect();
    let too_long = vec![executor(&"x".repeat(64 << 10), 1)];
    for (list, doubt) in [(too_many, Doubt::TooMany(1_000_000)), (too_long, Doubt::LongId(64 << 10))] {
        let Verdict::Refuse { doubt: reported, first: true } = checker.validate(10, list, 3) else {
            panic!("list accepted");
        };
        assert_eq!(reported, doubt);
        assert!(reported.to_string().contains(": "), "{reported}");
    }
    // The next valid list is accepted.
    assert_eq!(accepted(checker.validate(20, vec![executor("a", 1)], 3)), (vec!["a".to_string()], 0));
}
