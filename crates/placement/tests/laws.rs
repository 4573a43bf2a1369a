//! The cut is exact, choices stay within what is uncertain, figures are bounded and books are right.

use ochreward_placement::*;
use proptest::prelude::*;

/// A world told in full.
#[derive(Clone, Debug)]
struct Table {
    zones: usize,
    recompute: Vec<(f64, f64)>,
    transfer: Vec<(f64, f64)>,
}

impl World for Table {
    fn zones(&self) -> usize {
        self.zones
    }

    fn recompute(&self, function: Function, zone: Zone) -> Cost {
        let (mean, deviation) =
            self.recompute[(function as usize * self.zones + zone) % self.recompute.len()];
        Cost::within(mean, deviation)
    }

    fn transfer(&self, from: Zone, to: Zone) -> Cost {
        let (mean, deviation) = self.transfer[(from * self.zones + to) % self.transfer.len()];
        Cost::within(mean, deviation)
    }
}

fn table() -> impl Strategy<Value = Table> {
    let figure = || (0.0_f64..1e6, 0.0_f64..1e5);
    (1_usize..6, prop::collection::vec(figure(), 1..60), prop::collection::vec(figure(), 1..36))
        .prop_map(|(zones, recompute, transfer)| Table { zones, recompute, transfer })
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec((0_u64..40, 0.0_f64..=1.0), 0..12)
        .prop_map(|steps| steps.into_iter().map(|(function, chance)| Step { function, chance }).collect())
}

fn near(a: f64, b: f64) -> bool {
    (a - b).abs() <= 1e-6 * (1.0 + a.abs() + b.abs())
}

proptest! {
    #[test]
    fn the_best_cut_is_that_of_brute_force(world in table(), steps in steps(), home in 0_usize..6) {
        let (home, steps) = (home % world.zones, &steps[..steps.len().min(6)]);
        let ways = Ways::of(&world, steps);
        let (quick, slow) = (ways.best(home), brute_force(&world, steps, home));
        prop_assert!(near(quick.cost.mean, slow), "{quick:?} {slow:?}");
        let again = ways.of_cut(&world, steps, home, quick.cut, quick.zone);
        prop_assert!(near(quick.cost.mean, again.mean) && near(quick.cost.var, again.var));
        // No other first cut is better.
        for cut in 0..=steps.len() {
            for zone in 0..world.zones {
                prop_assert!(ways.of_cut(&world, steps, home, cut, zone).mean >= slow - 1e-6 * (1.0 + slow));
            }
        }
        prop_assert!(quick.cut <= steps.len() && quick.zone < world.zones);
    }

    #[test]
    fn the_terms_of_an_estimate_are_never_negative_and_one_is_nothing(world in table(), steps in steps()) {
        let rests = Ways::of(&world, &steps).rests();
        prop_assert_eq!(rests.len(), world.zones);
        prop_assert!(rests.iter().all(|r| *r >= 0.0) && rests.contains(&0.0));
    }

    #[test]
    fn nothing_flips_within_its_uncertainty(world in table(), steps in steps(), noise in prop::collection::vec(-1.0_f64..1.0, 40)) {
        let mut choices = Choices::default();
        let first = choices.decide(0, 1, 0, &steps, &world);
        for shift in noise {
            // The same world, with each cost off by no more than a third of what is uncertain of it.
            let off = |(mean, deviation): &(f64, f64)| ((mean + shift * deviation / 3.0).max(0.0), *deviation);
            let near = Table {
                recompute: world.recompute.iter().map(off).collect(),
                transfer: world.transfer.iter().map(off).collect(),
                ..world.clone()
            };
            let now = choices.decide(1, 1, 0, &steps, &near);
            let ways = Ways::of(&near, &steps);
            let (old, new) = (ways.of_cut(&near, &steps, 0, first.cut, first.zone), ways.best(0).cost);
            let clear = new.mean + (old.var + new.var).sqrt() < old.mean;
            prop_assert!(clear || (now.cut, now.zone) == (first.cut, first.zone), "{first:?} {now:?}");
            if clear { break; }
        }
    }

    #[test]
    fn whatever_is_called_what_is_kept_is_bounded(calls in prop::collection::vec((any::<u64>(), 0_usize..40, any::<u32>()), 1..200)) {
        let mut stands = Stands::new(3, 1_000_000, Cost::sure(1e4), Cost::sure(5e5)).expect("a world");
        let mut choices = Choices::default();
        for (function, zone, at) in calls {
            stands.called(u64::from(at), function, at as usize % 5, zone);
            let step = [Step { function, chance: 0.5 }];
            let plan = choices.decide(u64::from(at), function, zone % 3, &step, &stands);
            prop_assert!(plan.cost.mean.is_finite() && plan.cost.var >= 0.0);
            prop_assert!(stands.functions() <= MOST_FUNCTIONS && choices.len() <= MOST_CHOICES);
        }
    }
}

fn world() -> Stands {
    Stands::new(3, 10_000_000, Cost::within(20_000.0, 5_000.0), Cost::within(500_000.0, 50_000.0))
        .expect("a world")
}

fn best(world: &impl World, steps: &[Step], home: Zone) -> Plan {
    Ways::of(world, steps).best(home)
}

fn calls(functions: &[u64]) -> Vec<Step> {
    functions.iter().map(|f| Step { function: *f, chance: 0.9 }).collect()
}

#[test]
fn a_session_goes_where_its_copies_stand_and_stays_where_a_load_is_cheaper() {
    let mut stands = world();
    [1, 2, 3, 4].iter().for_each(|f| stands.called(0, *f, 1, 1));
    let plan = best(&stands, &calls(&[1, 2, 3, 4]), 0);
    assert_eq!((plan.cut, plan.zone), (0, 1));
    // The first two stand here as well: they are served here, and only the rest crosses.
    [1, 2].iter().for_each(|f| stands.called(0, *f, 0, 0));
    let plan = best(&stands, &calls(&[1, 2, 3, 4]), 0);
    assert_eq!((plan.cut, plan.zone), (2, 1));
    // Copies age out, and then nothing is to be had there.
    stands.at(20_000_000);
    assert_eq!(best(&stands, &calls(&[1, 2, 3, 4]), 0).zone, 0);
}

#[test]
fn a_zone_that_is_left_or_lost_or_whose_copies_are_void_draws_nothing() {
    let steps = calls(&[1, 2, 3]);
    let warm = || {
        let mut stands = world();
        [1, 2, 3].iter().for_each(|f| stands.called(0, *f, 1, 1));
        assert_eq!(best(&stands, &steps, 0).zone, 1);
        stands
    };
    let mut lost = warm();
    lost.lost(1);
    assert_eq!(best(&lost, &steps, 0).zone, 0);
    let mut released = warm();
    [1, 2, 3].iter().for_each(|f| released.released(*f));
    assert_eq!(best(&released, &steps, 0).zone, 0);
    let mut choices = Choices::default();
    choices.decide(0, 5, 0, &steps, &warm());
    choices.lost(1);
    assert!(choices.is_empty());
}

#[test]
fn what_sessions_here_call_often_is_loaded_here_though_it_stands_elsewhere() {
    let mut stands = world();
    let mut zone = Vec::new();
    for n in 0..400 {
        // Ten calls a second from here, answered there.
        stands.called(n * 100_000, 1, 0, 1);
        zone.push(best(&stands, &calls(&[1]), 0).zone);
    }
    assert_eq!((zone[0], zone[399]), (1, 0), "a load that serves so many is cheaper than so many crossings");
    assert!(stands.uses(1, 0) > 30.0 && stands.uses(1, 1) == 1.0);
}

#[test]
fn budgets_that_are_spent_and_worth_that_is_driven_out_make_a_load_dearer() {
    let cost = |left: f64, displaced: f64| {
        let mut stands = world();
        stands.zone(0, left, 0.0, displaced).expect("figures");
        stands.recompute(9, 0).mean
    };
    assert!(cost(0.2, 0.0) > 2.0 * cost(1.0, 0.0) && cost(1.0, 1e6) > cost(1.0, 0.0) + 9e5);
}

#[test]
fn figures_that_can_not_be_are_refused() {
    let mut stands = world();
    assert_eq!(stands.zone(7, 1.0, 0.0, 0.0), Err(Unusable::Zone(7)));
    assert!(matches!(stands.zone(0, f64::NAN, 0.0, 0.0), Err(Unusable::Figure(_))));
    assert!(matches!(stands.loaded(1, -3.0), Err(Unusable::Figure(_))));
    assert!(Stands::new(MOST_ZONES + 1, 1, Cost::default(), Cost::default()).is_err());
}

#[test]
fn the_books_of_what_was_foretold() {
    let mut books = Calibration::default();
    for n in 0..1_000 {
        books.chance(0.8, n % 5 != 0);
        books.cost(Cost::within(100.0, 10.0), if n % 10 == 0 { 200.0 } else { 105.0 });
    }
    let told = books.reliability();
    assert_eq!(told.len(), 1);
    assert!((told[0].foretold - 0.8).abs() < 1e-9 && (told[0].came - 0.8).abs() < 1e-9);
    assert!((books.brier() - 0.16).abs() < 1e-9);
    let (within, ratio) = books.costs();
    assert!((within - 0.9).abs() < 1e-9 && (1.1..1.2).contains(&ratio), "{within} {ratio}");
}
