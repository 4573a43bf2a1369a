use super::*;
use proptest::prelude::*;

#[test]
fn hints_that_tell_the_run_time_come_to_a_power_of_one_and_noise_to_none() {
    let (mut true_, mut noise) = (Power::default(), Power::default());
    for n in 0..2_000 {
        let ratio = [0.25, 0.5, 1.0, 2.0, 4.0][n % 5];
        true_.learn(ratio, ratio);
        noise.learn(ratio, [3.0, 0.4, 1.0][n % 3]);
    }
    assert!(true_.get() > 0.85, "{}", true_.get());
    assert!(noise.get() < 0.1, "{}", noise.get());
}

#[test]
fn a_function_not_seen_is_measured_against_its_class() {
    let (mut function, mut class) = (Usual::default(), Usual::default());
    (0..50).for_each(|_| class.add(100.0));
    assert_eq!(function.ratio(200.0, &class), 2.0);
    (0..50).for_each(|_| function.add(200.0));
    assert!((function.ratio(200.0, &class) - 1.0).abs() < 0.05, "its own hints count once there are some");
}

proptest! {
    #[test]
    fn whatever_is_hinted_sizes_stay_bounded(works in prop::collection::vec(any::<u64>(), 1..50), errors in prop::collection::vec(any::<f64>(), 1..50)) {
        let (mut f, mut c, mut power) = (Usual::default(), Usual::default(), Power::default());
        for (work, error) in works.iter().zip(errors) {
            let size = Size::weigh(Some(*work), &mut f, &mut c, power);
            prop_assert!((0.1..=10.0).contains(&size.size) && (0.1..=10.0).contains(&size.ratio));
            power.learn(size.ratio, error);
            prop_assert!((0.0..=1.0).contains(&power.get()));
        }
    }
}
