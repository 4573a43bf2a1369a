use super::*;
use proptest::prelude::*;

#[test]
fn power_nears_one_for_exact_hints_and_zero_for_noise() {
    let (mut exact, mut noise) = (HintExponent::default(), HintExponent::default());
    for n in 0..2_000 {
        let ratio = [0.25, 0.5, 1.0, 2.0, 4.0][n % 5];
        exact.learn(ratio, ratio);
        noise.learn(ratio, [3.0, 0.4, 1.0][n % 3]);
    }
    assert!(exact.exponent() > 0.85, "{}", exact.exponent());
    assert!(noise.exponent() < 0.1, "{}", noise.exponent());
}

#[test]
fn function_without_hints_is_compared_with_its_class() {
    let (mut function, mut class) = (HintMean::default(), HintMean::default());
    (0..50).for_each(|_| class.add(100.0));
    assert_eq!(function.ratio(200.0, &class), 2.0);
    (0..50).for_each(|_| function.add(200.0));
    assert!(
        (function.ratio(200.0, &class) - 1.0).abs() < 0.05,
        "with hints of its own, the function is compared with itself"
    );
}

proptest! {
    #[test]
    fn sizes_stay_bounded_for_arbitrary_hints(works in prop::collection::vec(any::<u64>(), 1..50), errors in prop::collection::vec(any::<f64>(), 1..50)) {
        let (mut function, mut class, mut power) = (HintMean::default(), HintMean::default(), HintExponent::default());
        for (work, error) in works.iter().zip(errors) {
            let size = WorkHint::estimate(Some(*work), &mut function, &mut class, power);
            prop_assert!((0.1..=10.0).contains(&size.run_time_factor) && (0.1..=10.0).contains(&size.ratio));
            power.learn(size.ratio, error);
            prop_assert!((0.0..=1.0).contains(&power.exponent()));
        }
    }
}
