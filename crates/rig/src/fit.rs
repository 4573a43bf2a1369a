//! Fits the growth of a measured value with the size of a group: a least-squares line over the size and one over its logarithm, of
//! which the one with the smaller residual is taken, or a constant where neither changes enough.

use serde::{Deserialize, Serialize};

/// A value whose fitted change over the measured sizes is at most this share of its mean counts as flat.
const FLAT_SHARE: f64 = 0.15;

/// How a value grows with the size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Growth {
    /// Not beyond its usual variation.
    Flat,
    /// By the same amount each time the size doubles.
    Logarithmic,
    /// By the same amount for each additional member.
    Linear,
}

/// The curve that fits best.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// The kind of growth.
    pub growth: Growth,
    /// The fitted value at size zero, at size one for logarithmic growth, or the mean for flat growth.
    pub constant: f64,
    /// The increase for each member, or for each factor of e for logarithmic growth; 0 for flat growth.
    pub slope: f64,
    /// The root mean square of the residuals, as a share of the mean.
    pub residual: f64,
}

impl Fit {
    /// Fits points of size and value; `None` for fewer than two different sizes, a size that is not positive, or a value that is not
    /// finite.
    pub fn of(points: &[(f64, f64)]) -> Option<Fit> {
        let usable =
            points.iter().all(|(size, figure)| *size > 0.0 && size.is_finite() && figure.is_finite());
        if !usable {
            return None;
        }
        let linear = least_squares(points, |size| size)?;
        let logarithmic = least_squares(points, f64::ln)?;
        let mean = points.iter().map(|(_, figure)| figure).sum::<f64>() / points.len() as f64;
        let relative = |residual: f64| if mean == 0.0 { 0.0 } else { residual / mean.abs() };
        let (better, growth, span) = if logarithmic.residual < linear.residual {
            (logarithmic, Growth::Logarithmic, span(points, f64::ln))
        } else {
            (linear, Growth::Linear, span(points, |size| size))
        };
        if (better.slope * span).abs() <= FLAT_SHARE * mean.abs() {
            let residual = root_mean_square(points, |_| mean);
            return Some(Fit {
                growth: Growth::Flat,
                constant: mean,
                slope: 0.0,
                residual: relative(residual),
            });
        }
        Some(Fit {
            growth,
            constant: better.constant,
            slope: better.slope,
            residual: relative(better.residual),
        })
    }

    /// Returns the fitted value at a size.
    pub fn at(&self, size: f64) -> f64 {
        match self.growth {
            Growth::Flat => self.constant,
            Growth::Logarithmic => self.constant + self.slope * size.ln(),
            Growth::Linear => self.constant + self.slope * size,
        }
    }
}

struct Line {
    constant: f64,
    slope: f64,
    residual: f64,
}

fn span(points: &[(f64, f64)], scale: impl Fn(f64) -> f64) -> f64 {
    let scaled = || points.iter().map(|(size, _)| scale(*size));
    scaled().fold(f64::MIN, f64::max) - scaled().fold(f64::MAX, f64::min)
}

fn root_mean_square(points: &[(f64, f64)], model: impl Fn(f64) -> f64) -> f64 {
    let squares = points.iter().map(|(size, figure)| (figure - model(*size)).powi(2));
    (squares.sum::<f64>() / points.len() as f64).sqrt()
}

fn least_squares(points: &[(f64, f64)], scale: impl Fn(f64) -> f64) -> Option<Line> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(size, _)| scale(*size)).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, figure)| figure).sum::<f64>() / count;
    let spread = points.iter().map(|(size, _)| (scale(*size) - mean_x).powi(2)).sum::<f64>();
    if points.len() < 2 || spread == 0.0 {
        return None;
    }
    let covariance =
        points.iter().map(|(size, figure)| (scale(*size) - mean_x) * (figure - mean_y)).sum::<f64>();
    let slope = covariance / spread;
    let constant = mean_y - slope * mean_x;
    let residual = root_mean_square(points, |size| constant + slope * scale(size));
    Some(Line { constant, slope, residual })
}
