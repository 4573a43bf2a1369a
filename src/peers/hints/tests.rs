use super::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};

const T0: Micros = 1_000_000_000;

fn worker(n: usize) -> WorkerId {
    format!("s{n}").into()
}

#[test]
fn hint_reaches_100_members_at_20_percent_loss_and_then_stops_spreading() {
    for seed in 0..50 {
        let (mut rng, mut sent) = (Pcg32::seed_from_u64(seed), 0);
        let mut all: Vec<Hints> = (0..100).map(|_| Hints::new(T0)).collect();
        assert!(all[0].observe(T0, &worker(1), 99));
        let mut informed = 1;
        for round in 0..40 {
            let now = T0 + round * ROUND_US;
            let notes: Vec<(usize, Vec<u8>)> =
                (0..100).filter_map(|n| Some((n, all[n].next_note(now)?))).collect();
            for (n, bytes) in notes {
                for _ in 0..FANOUT {
                    let to = (n + 1 + rng.next_u32() as usize % 99) % 100;
                    sent += 1;
                    if rng.next_u32() % 100 >= 20 {
                        informed += all[to].receive(now, &bytes, 99).len();
                    }
                }
            }
        }
        assert!(informed >= 99, "seed {seed}: {informed} members informed");
        assert!(all.iter().all(|h| h.due() == Micros::MAX), "rumours are still being passed on");
        assert!(sent <= 100 * FANOUT * 8, "{sent} notes");
    }
}

#[test]
fn repeated_observations_are_one_event_and_a_later_failure_is_a_new_one() {
    let mut hints = Hints::new(T0);
    assert!(hints.observe(T0, &worker(1), 9));
    assert!(!hints.observe(T0 + SAME_EVENT_US / 2, &worker(1), 9));
    assert!(hints.observe(T0 + SAME_EVENT_US, &worker(1), 9));
    assert!(!hints.observe(T0, &"x".repeat(MAX_ID_BYTES + 1).into(), 9));
    let mut other = Hints::new(T0);
    let bytes = hints.next_note(T0 + SAME_EVENT_US).expect("a note");
    assert_eq!(other.receive(T0 + SAME_EVENT_US, &bytes, 9), [worker(1)]);
    assert!(other.receive(T0 + SAME_EVENT_US, &bytes, 9).is_empty());
    assert!(Hints::new(T0).receive(T0, &[255; 40], 9).is_empty(), "bytes that are not a note");
}

#[test]
fn false_hints_cause_a_bounded_number_of_probes_and_bounded_memory() {
    let mut hints = Hints::new(T0);
    let mut probes = 0;
    for n in 0..5_000 {
        let now = T0 + n as u64 * 1_000;
        hints.observe(now, &worker(n), 9);
        probes += usize::from(hints.may_probe(now, &worker(n)));
    }
    assert!(hints.rumours.len() <= MAX_RUMOURS);
    assert!(probes <= 16 + 50, "{probes} probes in 5 s");
    assert!(hints.may_probe(T0 + 10_000_000, &worker(1)));
}

#[test]
fn refused_probe_is_retried_once_and_then_waits_for_the_probe_interval() {
    let mut hints = Hints::new(T0);
    hints.observe(T0, &worker(1), 9);
    assert!(hints.may_probe(T0, &worker(1)) && !hints.may_probe(T0 + 1_000_000, &worker(1)));
    hints.probe_refused(T0, &worker(1));
    assert_eq!(hints.next_retry(T0), None);
    assert_eq!(hints.next_retry(T0 + PROBE_RETRY_US), Some(worker(1)));
    hints.probe_refused(T0 + PROBE_RETRY_US, &worker(1));
    assert_eq!(hints.next_retry(T0 + 9 * PROBE_RETRY_US), None, "only one retry is made");
    hints.observe(T0 + 3_000_000, &worker(1), 9);
    assert!(
        !hints.may_probe(T0 + 3_000_000, &worker(1)) && hints.may_probe(T0 + PROBE_INTERVAL_US, &worker(1))
    );
}
