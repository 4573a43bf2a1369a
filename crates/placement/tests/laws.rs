//! Property and unit tests: plans have the minimum cost, choices do not change within their uncertainty, tables are bounded
//! and calibration sums are correct.

use ochreward_placement::*;
use proptest::prelude::*;

/// A world whose costs are given as tables of means and deviations.
#[derive(Clone, Debug)]
struct CostTable {
    zones: usize,
    recompute: Vec<(f64, f64)>,
    transfer: Vec<(f64, f64)>,
}

impl CostModel for CostTable {
    fn zones(&self) -> usize {
        self.zones
    }

    fn recompute(&self, function: Function, zone: Zone) -> Cost {
        let (mean, deviation) =
            self.recompute[(function as usize * self.zones + zone) % self.recompute.len()];
        Cost::with_deviation(mean, deviation)
    }

    fn transfer(&self, from: Zone, to: Zone) -> Cost {
        let (mean, deviation) = self.transfer[(from * self.zones + to) % self.transfer.len()];
        Cost::with_deviation(mean, deviation)
    }
}

fn cost_table() -> impl Strategy<Value = CostTable> {
    let cost = || (0.0_f64..1e6, 0.0_f64..1e5);
    (1_usize..6, prop::collection::vec(cost(), 1..60), prop::collection::vec(cost(), 1..36))
        .prop_map(|(zones, recompute, transfer)| CostTable { zones, recompute, transfer })
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec((0_u64..40, 0.0_f64..=1.0), 0..12)
        .prop_map(|steps| steps.into_iter().map(|(function, chance)| Step { function, chance }).collect())
}

fn is_close(a: f64, b: f64) -> bool {
    (a - b).abs() <= 1e-6 * (1.0 + a.abs() + b.abs())
}

proptest! {
    #[test]
    fn the_best_plan_has_the_cost_found_by_brute_force(world in cost_table(), steps in steps(), home in 0_usize..6) {
        let (home, steps) = (home % world.zones, &steps[..steps.len().min(6)]);
        let ways = Planner::new(&world, steps);
        let (best, least) = (ways.best(home), brute_force(&world, steps, home));
        prop_assert!(is_close(best.cost.mean, least), "{best:?} {least:?}");
        let recomputed = ways.cost_of_cut(&world, steps, home, best.cut, best.zone);
        prop_assert!(is_close(best.cost.mean, recomputed.mean) && is_close(best.cost.var, recomputed.var));
        // No other cut costs less.
        for cut in 0..=steps.len() {
            for zone in 0..world.zones {
                let cost = ways.cost_of_cut(&world, steps, home, cut, zone);
                prop_assert!(cost.mean >= least - 1e-6 * (1.0 + least));
            }
        }
        prop_assert!(best.cut <= steps.len() && best.zone < world.zones);
    }

    #[test]
    fn extra_costs_by_zone_are_not_negative_and_one_is_zero(world in cost_table(), steps in steps()) {
        let rests = Planner::new(&world, &steps).extra_cost_by_zone();
        prop_assert_eq!(rests.len(), world.zones);
        prop_assert!(rests.iter().all(|r| *r >= 0.0) && rests.contains(&0.0));
    }

    #[test]
    fn choices_do_not_change_within_their_uncertainty(world in cost_table(), steps in steps(), noise in prop::collection::vec(-1.0_f64..1.0, 40)) {
        let mut choices = Choices::default();
        let first = choices.decide(0, 1, 0, &steps, &world);
        for shift in noise {
            // The same world, with each mean shifted by at most a third of its standard deviation.
            let shifted = |(mean, deviation): &(f64, f64)| ((mean + shift * deviation / 3.0).max(0.0), *deviation);
            let shifted_world = CostTable {
                recompute: world.recompute.iter().map(shifted).collect(),
                transfer: world.transfer.iter().map(shifted).collect(),
                ..world.clone()
            };
            let plan = choices.decide(1, 1, 0, &steps, &shifted_world);
            let ways = Planner::new(&shifted_world, &steps);
            let current = ways.cost_of_cut(&shifted_world, &steps, 0, first.cut, first.zone);
            let best = ways.best(0).cost;
            let clearly_better = best.mean + (current.var + best.var).sqrt() < current.mean;
            prop_assert!(
                clearly_better || (plan.cut, plan.zone) == (first.cut, first.zone),
                "{first:?} {plan:?}"
            );
            if clearly_better { break; }
        }
    }

    #[test]
    fn tables_stay_within_bounds_for_any_calls(
        calls in prop::collection::vec((any::<u64>(), 0_usize..40, any::<u32>()), 1..200),
    ) {
        let mut estimates = WarmCopies::new(3, 1_000_000, Cost::exact(1e4), Cost::exact(5e5)).expect("a world");
        let mut choices = Choices::default();
        for (function, zone, at) in calls {
            estimates.record_call(u64::from(at), function, at as usize % 5, zone);
            let step = [Step { function, chance: 0.5 }];
            let plan = choices.decide(u64::from(at), function, zone % 3, &step, &estimates);
            prop_assert!(plan.cost.mean.is_finite() && plan.cost.var >= 0.0);
            prop_assert!(estimates.functions() <= MAX_FUNCTIONS && choices.len() <= MAX_CHOICES);
        }
    }
}

fn world() -> WarmCopies {
    WarmCopies::new(
        3,
        10_000_000,
        Cost::with_deviation(20_000.0, 5_000.0),
        Cost::with_deviation(500_000.0, 50_000.0),
    )
    .expect("a world")
}

fn best(world: &impl CostModel, steps: &[Step], home: Zone) -> Plan {
    Planner::new(world, steps).best(home)
}

fn calls(functions: &[u64]) -> Vec<Step> {
    functions.iter().map(|f| Step { function: *f, chance: 0.9 }).collect()
}

#[test]
fn sessions_are_sent_to_warm_copies_and_stay_where_a_load_is_cheaper() {
    let mut estimates = world();
    [1, 2, 3, 4].iter().for_each(|f| estimates.record_call(0, *f, 1, 1));
    let plan = best(&estimates, &calls(&[1, 2, 3, 4]), 0);
    assert_eq!((plan.cut, plan.zone), (0, 1));
    // The first two are warm in the home zone as well, so they are served there and only the rest is transferred.
    [1, 2].iter().for_each(|f| estimates.record_call(0, *f, 0, 0));
    let plan = best(&estimates, &calls(&[1, 2, 3, 4]), 0);
    assert_eq!((plan.cut, plan.zone), (2, 1));
    // After the keep-alive time the copies in the other zone no longer attract the session.
    estimates.advance_to(20_000_000);
    assert_eq!(best(&estimates, &calls(&[1, 2, 3, 4]), 0).zone, 0);
}

#[test]
fn lost_zones_and_released_copies_do_not_attract_sessions() {
    let steps = calls(&[1, 2, 3]);
    let warm = || {
        let mut estimates = world();
        [1, 2, 3].iter().for_each(|f| estimates.record_call(0, *f, 1, 1));
        assert_eq!(best(&estimates, &steps, 0).zone, 1);
        estimates
    };
    let mut lost = warm();
    lost.zone_lost(1);
    assert_eq!(best(&lost, &steps, 0).zone, 0);
    let mut released = warm();
    [1, 2, 3].iter().for_each(|f| released.released(*f));
    assert_eq!(best(&released, &steps, 0).zone, 0);
    let mut choices = Choices::default();
    choices.decide(0, 5, 0, &steps, &warm());
    choices.zone_lost(1);
    assert!(choices.is_empty());
}

#[test]
fn functions_called_often_in_a_zone_are_loaded_there_despite_warm_copies_elsewhere() {
    let mut estimates = world();
    let mut chosen_zones = Vec::new();
    for n in 0..400 {
        // Ten calls per second by sessions in zone 0, answered in zone 1.
        estimates.record_call(n * 100_000, 1, 0, 1);
        chosen_zones.push(best(&estimates, &calls(&[1]), 0).zone);
    }
    assert_eq!(
        (chosen_zones[0], chosen_zones[399]),
        (1, 0),
        "one load that serves many calls is cheaper than many transfers"
    );
    assert!(estimates.expected_uses(1, 0) > 30.0 && estimates.expected_uses(1, 1) == 1.0);
}

#[test]
fn spent_budgets_and_evictions_raise_the_cost_of_a_load() {
    let cost = |budget_left: f64, eviction_cost: f64| {
        let mut estimates = world();
        estimates.update_zone(0, budget_left, 0.0, eviction_cost).expect("valid values");
        estimates.recompute(9, 0).mean
    };
    assert!(cost(0.2, 0.0) > 2.0 * cost(1.0, 0.0) && cost(1.0, 1e6) > cost(1.0, 0.0) + 9e5);
}

#[test]
fn invalid_zones_and_values_are_rejected() {
    let mut estimates = world();
    assert_eq!(estimates.update_zone(7, 1.0, 0.0, 0.0), Err(InvalidInput::Zone(7)));
    assert!(matches!(estimates.update_zone(0, f64::NAN, 0.0, 0.0), Err(InvalidInput::Value(_))));
    assert!(matches!(estimates.record_load(1, -3.0), Err(InvalidInput::Value(_))));
    assert!(WarmCopies::new(MAX_ZONES + 1, 1, Cost::default(), Cost::default()).is_err());
}

#[test]
fn calibration_reports_reliability_brier_score_and_cost_coverage() {
    let mut calibration = Calibration::default();
    for n in 0..1_000 {
        calibration.chance(0.8, n % 5 != 0);
        calibration.cost(Cost::with_deviation(100.0, 10.0), if n % 10 == 0 { 200.0 } else { 105.0 });
    }
    let bins = calibration.reliability();
    assert_eq!(bins.len(), 1);
    assert!((bins[0].predicted - 0.8).abs() < 1e-9 && (bins[0].observed - 0.8).abs() < 1e-9);
    assert!((calibration.brier() - 0.16).abs() < 1e-9);
    let (within, ratio) = calibration.costs();
    assert!((within - 0.9).abs() < 1e-9 && (1.1..1.2).contains(&ratio), "{within} {ratio}");
}
