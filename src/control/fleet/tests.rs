use super::*;
use proptest::prelude::*;

const HALF: f64 = 5e6;
const WARM_AFTER: Micros = 14_000_000;

impl FleetSums {
    /// A fault that tests plant: the index says that all are as slow as the slowest.
    pub(in crate::control) fn claim_that_all_are_slow(&mut self) {
        let Some((_, slowest)) = self.slowness_range() else { return };
        let slots: Vec<usize> = self.by_slowness.iter().map(|(_, slot)| *slot).collect();
        self.by_slowness = slots.into_iter().map(|slot| (slowest.to_bits(), slot)).collect();
    }
}

/// The sums as a walk over all workers finds them: slowness, how much it counts, capacity, workers up.
pub(in crate::control) fn walked(
    workers: &[Worker],
    times: Times,
    share: impl Fn(&Worker) -> f64,
    now: Micros,
) -> [f64; 4] {
    let mut sums = [0.0; 4];
    for worker in workers {
        let warm = worker.ready_at.is_none_or(|ready| now >= ready.saturating_add(times.warm_after));
        let voice = if warm { worker.slow.samples(now, times.half).min(ONE_VOICE) } else { 0.0 };
        sums[0] += voice * worker.slow.own_mean().unwrap_or(1.0);
        sums[1] += voice;
        if worker.up {
            sums[2] += if warm { 1.0 } else { share(worker) };
            sums[3] += 1.0;
        }
    }
    sums
}

pub(in crate::control) fn close(one: f64, other: f64) -> bool {
    (one - other).abs() <= 1e-6 * (1.0 + one.abs().max(other.abs()))
}

#[derive(Clone, Debug)]
enum Step {
    Answer(usize, f64),
    Restart(usize),
    Forget(usize),
    Up(usize, bool),
    Pass(Micros),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_usize..20, 0.1_f64..6.0).prop_map(|(w, s)| Step::Answer(w, s)),
        1 => (0_usize..20).prop_map(Step::Restart),
        1 => (0_usize..20).prop_map(Step::Forget),
        1 => (0_usize..20, any::<bool>()).prop_map(|(w, up)| Step::Up(w, up)),
        3 => prop_oneof![1_u64..100_000, 1_u64..60_000_000].prop_map(Step::Pass),
    ]
}

proptest! {
    #[test]
    fn the_sums_are_those_of_a_walk(steps in prop::collection::vec(step(), 1..200)) {
        let times = Times { half: HALF, warm_after: WARM_AFTER };
        let mut workers = vec![Worker::default(); 20];
        let mut sums = FleetSums::of(times, &workers, 0);
        let mut now = 0;
        for step in steps {
            let changed = match step {
                Step::Answer(w, sample) => {
                    workers[w].slow.learn(now, HALF, sample, 10.0);
                    Some(w)
                }
                Step::Restart(w) => {
                    workers[w].ready_at = Some(now);
                    workers[w].slow = Evidence::default();
                    Some(w)
                }
                Step::Forget(w) => {
                    workers[w].slow = Evidence::default();
                    Some(w)
                }
                Step::Up(w, up) => {
                    workers[w].up = up;
                    Some(w)
                }
                Step::Pass(time) => {
                    now += time;
                    None
                }
            };
            changed.into_iter().for_each(|w| sums.update(w, &workers[w], now));
            sums.advance(now);
            let share = |w: &Worker| 0.2 + 0.8 * (now - w.ready_at.unwrap_or(now)) as f64 / WARM_AFTER as f64;
            let walked = walked(&workers, times, share, now);
            let (sum, count) = sums.slowness(now);
            prop_assert!(close(sum, walked[0]), "slowness {sum}, walked {}", walked[0]);
            prop_assert!(close(count, walked[1]), "counted {count}, walked {}", walked[1]);
            let capacity = sums.capacity(|slot| share(&workers[slot]));
            prop_assert!(close(capacity, walked[2]), "capacity {capacity}, walked {}", walked[2]);
            prop_assert_eq!(sums.up() as f64, walked[3]);
            let order: Vec<f64> = sums.by_slowness().map(|(slowness, _)| slowness).collect();
            prop_assert!(order.is_sorted() && order.len() == workers.len());
            let known: Vec<f64> = workers.iter().filter_map(|w| w.slow.own_mean()).collect();
            let range = known.iter().copied().reduce(f64::min).zip(known.iter().copied().reduce(f64::max));
            prop_assert_eq!(sums.slowness_range(), range);
        }
    }
}
