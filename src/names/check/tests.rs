use super::*;
use crate::names::State;

fn executor(id: &str, port: u16) -> Executor {
    Executor {
        id: id.into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: "east".into(),
        kind: "std".into(),
        cell: 0,
        state: State::Ready,
        started_ms: 0,
    }
}

fn taken(verdict: Verdict) -> (Vec<String>, usize) {
    match verdict {
        Verdict::Take { executors, merged } => (executors.iter().map(|e| e.id.to_string()).collect(), merged),
        Verdict::Refuse { doubt, .. } => panic!("refused: {doubt}"),
    }
}

#[test]
fn an_empty_list_stands_only_after_its_hold() {
    let mut checker = Checker::default();
    let refused = Verdict::Refuse { doubt: Doubt::Empty, first: true };
    assert_eq!(checker.judge(10, vec![], 3), refused);
    assert_eq!(
        checker.judge(10 + EMPTY_HOLD_US - 1, vec![], 3),
        Verdict::Refuse { doubt: Doubt::Empty, first: false }
    );
    assert_eq!(taken(checker.judge(10 + EMPTY_HOLD_US, vec![], 3)), (vec![], 0));
    // Nothing held: an empty list is no news to doubt.
    assert_eq!(taken(Checker::default().judge(0, vec![], 0)), (vec![], 0));
}

#[test]
fn a_list_between_two_empty_ones_starts_the_hold_anew() {
    let mut checker = Checker::default();
    assert!(matches!(checker.judge(0, vec![], 2), Verdict::Refuse { .. }));
    taken(checker.judge(EMPTY_HOLD_US / 2, vec![executor("s1", 1)], 2));
    assert!(matches!(checker.judge(EMPTY_HOLD_US + 1, vec![], 1), Verdict::Refuse { .. }));
}

#[test]
fn one_id_at_two_addresses_is_refused_and_told_once() {
    let mut checker = Checker::default();
    let list = vec![executor("s2", 2), executor("s1", 1), executor("s2", 3)];
    let Verdict::Refuse { doubt, first } = checker.judge(0, list.clone(), 1) else { panic!("taken") };
    assert_eq!(
        (doubt.to_string().as_str(), first),
        ("executor s2 at two addresses, 127.0.0.1:2 and 127.0.0.1:3", true)
    );
    assert_eq!(checker.judge(1, list, 1), Verdict::Refuse { doubt, first: false });
    taken(checker.judge(2, vec![executor("s1", 1)], 1));
    assert!(matches!(checker.unreadable("ends early"), Verdict::Refuse { first: true, .. }));
}

#[test]
fn an_executor_named_twice_at_one_address_is_merged() {
    let list = vec![executor("s1", 1), executor("s0", 5), executor("s1", 1)];
    assert_eq!(taken(Checker::default().judge(0, list, 0)), (vec!["s1".into(), "s0".into()], 1));
}

#[test]
fn a_list_that_changes_every_entry_is_taken_whole() {
    let list: Vec<Executor> = (0..600).map(|n| executor(&format!("n{n:03}"), 1000 + n)).collect();
    let (ids, merged) = taken(Checker::default().judge(0, list, 36));
    assert_eq!((ids.len(), merged, ids[0].as_str(), ids[599].as_str()), (600, 0, "n000", "n599"));
}

#[test]
fn a_list_of_a_million_entries_and_an_id_of_64_kb_are_refused_with_what_to_do() {
    let mut checker = Checker::default();
    let many = (0..1_000_000).map(|n| executor(&format!("s{n}"), 1)).collect();
    let long = vec![executor(&"x".repeat(64 << 10), 1)];
    for (list, doubt) in [(many, Doubt::TooMany(1_000_000)), (long, Doubt::LongId(64 << 10))] {
        let Verdict::Refuse { doubt: told, first: true } = checker.judge(10, list, 3) else {
            panic!("taken");
        };
        assert_eq!(told, doubt);
        assert!(told.to_string().contains(": "), "{told}");
    }
    // The list held stands, and the next good one is taken.
    assert_eq!(taken(checker.judge(20, vec![executor("a", 1)], 3)), (vec!["a".to_string()], 0));
}
