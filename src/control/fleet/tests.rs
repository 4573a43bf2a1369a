use super::*;
use proptest::prelude::*;

const HALF_LIFE: f64 = 5e6;
const WARM_AFTER: Micros = 14_000_000;

impl FleetSums {
    /// Injects a fault: the index lists all workers as slow as the slowest.
    pub(in crate::control) fn corrupt_slowness_index(&mut self) {
        let Some((_, slowest)) = self.slowness_range() else { return };
        let slots: Vec<usize> = self.by_slowness.iter().map(|(_, slot)| *slot).collect();
        self.by_slowness = slots.into_iter().map(|slot| (slowest.to_bits(), slot)).collect();
    }
}

/// Recomputes the sums from all workers: slowness, its weight, capacity, workers that are up.
pub(in crate::control) fn recompute_sums(
    workers: &[Worker],
    times: TimeConstants,
    share: impl Fn(&Worker) -> f64,
    now: Micros,
) -> [f64; 4] {
    let mut sums = [0.0; 4];
    for worker in workers {
        let warm = worker.ready_at.is_none_or(|ready| now >= ready.saturating_add(times.warm_after));
        let weight =
            if warm { worker.slowness.samples(now, times.half_life).min(MAX_WORKER_WEIGHT) } else { 0.0 };
        sums[0] += weight * worker.slowness.own_mean().unwrap_or(1.0);
        sums[1] += weight;
        if worker.up {
            sums[2] += if warm { 1.0 } else { share(worker) };
            sums[3] += 1.0;
        }
    }
    sums
}

pub(in crate::control) fn approx_eq(one: f64, other: f64) -> bool {
    (one - other).abs() <= 1e-6 * (1.0 + one.abs().max(other.abs()))
}

#[derive(Clone, Debug)]
enum Step {
    Answer(usize, f64),
    Restart(usize),
    Forget(usize),
    SetUp(usize, bool),
    Advance(Micros),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_usize..20, 0.1_f64..6.0).prop_map(|(w, s)| Step::Answer(w, s)),
        1 => (0_usize..20).prop_map(Step::Restart),
        1 => (0_usize..20).prop_map(Step::Forget),
        1 => (0_usize..20, any::<bool>()).prop_map(|(w, up)| Step::SetUp(w, up)),
        3 => prop_oneof![1_u64..100_000, 1_u64..60_000_000].prop_map(Step::Advance),
    ]
}

proptest! {
    #[test]
    fn incremental_sums_equal_those_recomputed_from_all_workers(steps in prop::collection::vec(step(), 1..200)) {
        let times = TimeConstants { half_life: HALF_LIFE, warm_after: WARM_AFTER };
        let mut workers = vec![Worker::default(); 20];
        let mut sums = FleetSums::of(times, &workers, 0);
        let mut now = 0;
        for step in steps {
            let changed = match step {
                Step::Answer(w, sample) => {
                    workers[w].slowness.add_limited(now, HALF_LIFE, sample, 10.0);
                    Some(w)
                }
                Step::Restart(w) => {
                    workers[w].ready_at = Some(now);
                    workers[w].slowness = DecayingMean::default();
                    Some(w)
                }
                Step::Forget(w) => {
                    workers[w].slowness = DecayingMean::default();
                    Some(w)
                }
                Step::SetUp(w, up) => {
                    workers[w].up = up;
                    Some(w)
                }
                Step::Advance(duration) => {
                    now += duration;
                    None
                }
            };
            changed.into_iter().for_each(|w| sums.update(w, &workers[w], now));
            sums.advance(now);
            let share = |w: &Worker| 0.2 + 0.8 * (now - w.ready_at.unwrap_or(now)) as f64 / WARM_AFTER as f64;
            let recomputed = recompute_sums(&workers, times, share, now);
            let (sum, weight) = sums.slowness(now);
            prop_assert!(approx_eq(sum, recomputed[0]), "slowness {sum}, recomputed {}", recomputed[0]);
            prop_assert!(approx_eq(weight, recomputed[1]), "weight {weight}, recomputed {}", recomputed[1]);
            let capacity = sums.capacity(|slot| share(&workers[slot]));
            prop_assert!(approx_eq(capacity, recomputed[2]), "capacity {capacity}, recomputed {}", recomputed[2]);
            prop_assert_eq!(sums.up() as f64, recomputed[3]);
            let order: Vec<f64> = sums.by_slowness().map(|(slowness, _)| slowness).collect();
            prop_assert!(order.is_sorted() && order.len() == workers.len());
            let inputs: Vec<f64> = workers.iter().filter_map(|w| w.slowness.own_mean()).collect();
            let range = inputs.iter().copied().reduce(f64::min).zip(inputs.iter().copied().reduce(f64::max));
            prop_assert_eq!(sums.slowness_range(), range);
        }
    }
}
