use super::*;
use proptest::prelude::*;

fn worker(n: usize) -> WorkerId {
    format!("s-{n:05}").into()
}

fn function(n: usize) -> FunctionId {
    format!("{n:016x}").into()
}

fn ring(workers: impl Iterator<Item = usize>) -> PreferenceRing {
    let all: Vec<(usize, WorkerId)> = workers.map(|n| (n, worker(n))).collect();
    let mut ring = PreferenceRing::default();
    ring.change(&[], &all);
    ring
}

#[test]
fn the_order_is_that_of_the_distances() {
    let ring = ring(0..300);
    for n in 0..50 {
        let mut all: Vec<usize> = (0..300).collect();
        all.sort_by_key(|w| distance(&function(n), &worker(*w)));
        assert_eq!(ring.order(&function(n)).collect::<Vec<_>>(), all, "function {n}");
    }
}

#[test]
fn a_ring_without_workers_prefers_none() {
    assert_eq!(PreferenceRing::default().order(&function(1)).next(), None);
}

#[test]
fn shares_are_even_for_few_workers_and_for_many() {
    for count in [2, 3, 12, 100, 400] {
        let ring = ring(0..count);
        let mut first = vec![0_u32; count];
        let functions = 400 * count;
        for n in 0..functions {
            first[ring.order(&function(n)).next().expect("a worker")] += 1;
        }
        let (least, most) = (first.iter().min(), first.iter().max());
        let share = |of: Option<&u32>| f64::from(*of.expect("a worker")) / 400.0;
        // Of 400 drawn evenly, the least and the most of so many are 0.85 and 1.15 by chance alone.
        assert!(
            share(least) > 0.6 && share(most) < 1.35,
            "{count} workers: {} to {}",
            share(least),
            share(most)
        );
    }
}

#[test]
fn one_worker_more_moves_its_own_share_and_nothing_else() {
    for count in [12, 100, 1_000] {
        let (before, after) = (ring(0..count), ring(0..count + 1));
        let functions = 10_000;
        let mut moved = 0;
        for n in 0..functions {
            let (old, new) = (before.order(&function(n)).next(), after.order(&function(n)).next());
            if old != new {
                assert_eq!(new, Some(count), "what moves goes to the new worker");
                moved += 1;
            }
        }
        let share = f64::from(moved) / functions as f64 * (count + 1) as f64;
        assert!((0.6..1.4).contains(&share), "{count} workers: {share} of an even share moved");
    }
}

proptest! {
    #[test]
    fn the_order_is_the_same_however_the_list_came(
        steps in prop::collection::vec((0_usize..40, any::<bool>(), 1_usize..30), 1..30),
        name in 0_usize..1_000,
    ) {
        // Workers come and go one by one and many at once; slots differ from dispatcher to dispatcher.
        let mut there = std::collections::BTreeMap::new();
        let mut grown = PreferenceRing::default();
        let mut next_slot = 1_000;
        for (first, comes, count) in steps {
            let mut gone = Vec::new();
            let mut new = Vec::new();
            for n in first..first + count {
                if comes && !there.contains_key(&n) {
                    there.insert(n, next_slot);
                    new.push((next_slot, worker(n)));
                    next_slot += 1;
                } else if !comes && let Some(slot) = there.remove(&n) {
                    gone.push((slot, worker(n)));
                }
            }
            grown.change(&gone, &new);
        }
        let whole = ring(there.keys().copied());
        let names: std::collections::BTreeMap<usize, usize> = there.iter().map(|(n, slot)| (*slot, *n)).collect();
        let order: Vec<usize> = grown.order(&function(name)).map(|slot| names[&slot]).collect();
        prop_assert_eq!(order, whole.order(&function(name)).collect::<Vec<_>>());
        prop_assert_eq!(grown.count(), there.len());
    }
}
