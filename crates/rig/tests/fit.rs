//! Tests of the curve fit for scale measurements, on points whose growth is known.

use ochreward_rig::fit::{Fit, Growth};

const SIZES: [f64; 4] = [150.0, 500.0, 1_500.0, 3_000.0];

fn fitted(figure: impl Fn(f64) -> f64) -> Fit {
    let points: Vec<(f64, f64)> = SIZES.iter().map(|size| (*size, figure(*size))).collect();
    Fit::of(&points).expect("a fit")
}

#[test]
fn linear_logarithmic_and_flat_growth_are_distinguished() {
    let linear = fitted(|n| 40.0 + 0.5 * n);
    assert_eq!(linear.growth, Growth::Linear);
    assert!((linear.slope - 0.5).abs() < 1e-9 && (linear.constant - 40.0).abs() < 1e-6);
    assert!(linear.residual < 1e-9 && (linear.at(16_000.0) - 8_040.0).abs() < 1e-3);
    let logarithmic = fitted(|n| 3.0 + 2.0 * n.ln());
    assert_eq!(logarithmic.growth, Growth::Logarithmic);
    assert!((logarithmic.slope - 2.0).abs() < 1e-9 && logarithmic.residual < 1e-9);
    let flat = fitted(|n| if n > 400.0 { 1_000.0 } else { 1_040.0 });
    assert_eq!((flat.growth, flat.slope), (Growth::Flat, 0.0));
    assert!(flat.residual > 0.0 && flat.residual < 0.05);
}

#[test]
fn too_few_sizes_or_invalid_points_give_no_fit() {
    assert_eq!(Fit::of(&[(150.0, 1.0)]), None);
    assert_eq!(Fit::of(&[(150.0, 1.0), (150.0, 2.0)]), None);
    assert_eq!(Fit::of(&[(0.0, 1.0), (150.0, 2.0)]), None);
    assert_eq!(Fit::of(&[(1.0, f64::NAN), (2.0, 2.0)]), None);
}
