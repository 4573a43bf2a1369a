use super::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{Rng, SeedableRng};

const T0: Micros = 1_000_000_000;

fn worker(n: usize) -> WorkerId {
    format!("s{n}").into()
}

#[test]
fn a_hint_reaches_a_hundred_through_a_fifth_lost_and_dies_out() {
    for seed in 0..50 {
        let (mut rng, mut sent) = (Pcg32::seed_from_u64(seed), 0);
        let mut all: Vec<Hints> = (0..100).map(|_| Hints::new(T0)).collect();
        assert!(all[0].seen(T0, &worker(1), 99));
        let mut knows = 1;
        for round in 0..40 {
            let now = T0 + round * ROUND;
            let said: Vec<(usize, Vec<u8>)> =
                (0..100).filter_map(|n| Some((n, all[n].round(now)?))).collect();
            for (n, bytes) in said {
                for _ in 0..FANOUT {
                    let to = (n + 1 + rng.next_u32() as usize % 99) % 100;
                    sent += 1;
                    if rng.next_u32() % 100 >= 20 {
                        knows += all[to].heard(now, &bytes, 99).len();
                    }
                }
            }
        }
        assert!(knows >= 99, "seed {seed}: {knows} know");
        assert!(all.iter().all(|h| h.due() == Micros::MAX), "it dies out");
        assert!(sent <= 100 * FANOUT * 8, "{sent} notes");
    }
}

#[test]
fn what_is_seen_twice_is_one_event_and_a_later_death_another() {
    let mut hints = Hints::new(T0);
    assert!(hints.seen(T0, &worker(1), 9));
    assert!(!hints.seen(T0 + SAME / 2, &worker(1), 9));
    assert!(hints.seen(T0 + SAME, &worker(1), 9));
    assert!(!hints.seen(T0, &"x".repeat(MOST_ID + 1).into(), 9));
    let mut other = Hints::new(T0);
    let bytes = hints.round(T0 + SAME).expect("told");
    assert_eq!(other.heard(T0 + SAME, &bytes, 9), [worker(1)]);
    assert!(other.heard(T0 + SAME, &bytes, 9).is_empty());
    assert!(Hints::new(T0).heard(T0, &[255; 40], 9).is_empty(), "any bytes");
}

#[test]
fn a_liar_costs_a_bounded_number_of_looks_and_bounded_memory() {
    let mut hints = Hints::new(T0);
    let mut looks = 0;
    for n in 0..5_000 {
        let now = T0 + n as u64 * 1_000;
        hints.seen(now, &worker(n), 9);
        looks += usize::from(hints.may_look(now, &worker(n)));
    }
    assert!(hints.rumours.len() <= MOST);
    assert!(looks <= 16 + 50, "{looks} looks in 5 s");
    assert!(hints.may_look(T0 + 10_000_000, &worker(1)));
}

#[test]
fn a_refused_look_is_made_once_more_and_no_more_for_a_while() {
    let mut hints = Hints::new(T0);
    hints.seen(T0, &worker(1), 9);
    assert!(hints.may_look(T0, &worker(1)) && !hints.may_look(T0 + 1_000_000, &worker(1)));
    hints.refused(T0, &worker(1));
    assert_eq!(hints.look_again(T0), None);
    assert_eq!(hints.look_again(T0 + AGAIN), Some(worker(1)));
    hints.refused(T0 + AGAIN, &worker(1));
    assert_eq!(hints.look_again(T0 + 9 * AGAIN), None, "twice is enough");
    hints.seen(T0 + 3_000_000, &worker(1), 9);
    assert!(!hints.may_look(T0 + 3_000_000, &worker(1)) && hints.may_look(T0 + LOOK_AGAIN, &worker(1)));
}
