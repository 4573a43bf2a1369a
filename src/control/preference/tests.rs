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
    ring.update(&[], &all);
    ring
}

#[test]
fn order_sorts_workers_by_distance() {
    let ring = ring(0..300);
    for n in 0..50 {
        let mut all: Vec<usize> = (0..300).collect();
        all.sort_by_key(|w| distance(&function(n), &worker(*w)));
        assert_eq!(ring.order(&function(n)).collect::<Vec<_>>(), all, "function {n}");
    }
}

#[test]
fn empty_ring_yields_no_workers() {
    assert_eq!(PreferenceRing::default().order(&function(1)).next(), None);
}

#[test]
fn shares_are_even_in_small_and_large_fleets() {
    for count in [2, 3, 12, 100, 400] {
        let ring = ring(0..count);
        let mut first = vec![0_u32; count];
        let functions = 400 * count;
        for n in 0..functions {
            first[ring.order(&function(n)).next().expect("a worker")] += 1;
        }
        let (least, most) = (first.iter().min(), first.iter().max());
        let share = |of: Option<&u32>| f64::from(*of.expect("a worker")) / 400.0;
        // With 400 functions per worker placed uniformly at random, the extremes are about 0.85 and 1.15 by chance alone.
        assert!(
            share(least) > 0.6 && share(most) < 1.35,
            "{count} workers: {} to {}",
            share(least),
            share(most)
        );
    }
}

#[test]
fn added_worker_moves_only_its_own_share_of_functions() {
    for count in [12, 100, 1_000] {
        let (before, after) = (ring(0..count), ring(0..count + 1));
        let functions = 10_000;
        let mut moved = 0;
        for n in 0..functions {
            let (old, new) = (before.order(&function(n)).next(), after.order(&function(n)).next());
            if old != new {
                assert_eq!(new, Some(count), "functions move only to the new worker");
                moved += 1;
            }
        }
        let share = f64::from(moved) / functions as f64 * (count + 1) as f64;
        assert!((0.6..1.4).contains(&share), "{count} workers: {share} of an even share moved");
    }
}

proptest! {
    #[test]
    fn order_does_not_depend_on_the_history_of_the_worker_list(
        steps in prop::collection::vec((0_usize..40, any::<bool>(), 1_usize..30), 1..30),
        name in 0_usize..1_000,
    ) {
        // Workers join and leave one by one and in groups; slots differ between dispatchers.
        let mut present = std::collections::BTreeMap::new();
        let mut updated = PreferenceRing::default();
        let mut next_slot = 1_000;
        for (first, joins, count) in steps {
            let mut removed = Vec::new();
            let mut added = Vec::new();
            for n in first..first + count {
                if joins && !present.contains_key(&n) {
                    present.insert(n, next_slot);
                    added.push((next_slot, worker(n)));
                    next_slot += 1;
                } else if !joins && let Some(slot) = present.remove(&n) {
                    removed.push((slot, worker(n)));
                }
            }
            updated.update(&removed, &added);
        }
        let rebuilt = ring(present.keys().copied());
        let names: std::collections::BTreeMap<usize, usize> = present.iter().map(|(n, slot)| (*slot, *n)).collect();
        let order: Vec<usize> = updated.order(&function(name)).map(|slot| names[&slot]).collect();
        prop_assert_eq!(order, rebuilt.order(&function(name)).collect::<Vec<_>>());
        prop_assert_eq!(updated.count(), present.len());
    }
}
