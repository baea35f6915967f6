//! Linear regression: a straight line through points, with the standard error of its slope.

use serde::{Deserialize, Serialize};

use super::Run;

/// The least-squares line `y = intercept + slope * x`.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Fit {
    /// `y` at `x = 0`.
    pub intercept: f64,
    /// Change of `y` for a change of `x` by 1.
    pub slope: f64,
    /// The standard error of the slope.
    pub slope_error: f64,
    /// The root mean square of the residuals, in the unit of `y`.
    pub residual: f64,
    /// Number of points.
    pub points: usize,
}

impl Fit {
    /// Fits a line. `None` if there are fewer than two distinct values of `x`, or a coordinate is not finite.
    pub fn through(points: &[(f64, f64)]) -> Option<Fit> {
        let n = points.len() as f64;
        let mean = |coordinate: fn(&(f64, f64)) -> f64| points.iter().map(coordinate).sum::<f64>() / n;
        let (x, y) = (mean(|point| point.0), mean(|point| point.1));
        let x_squares: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
        let xy_products: f64 = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum();
        if !x_squares.is_finite() || !xy_products.is_finite() || x_squares <= 0.0 {
            return None;
        }
        let slope = xy_products / x_squares;
        let intercept = y - slope * x;
        let residual_squares: f64 =
            points.iter().map(|point| (point.1 - intercept - slope * point.0).powi(2)).sum();
        let degrees_of_freedom = (n - 2.0).max(1.0);
        Some(Fit {
            intercept,
            slope,
            slope_error: (residual_squares / degrees_of_freedom / x_squares).sqrt(),
            residual: (residual_squares / n).sqrt(),
            points: points.len(),
        })
    }

    /// Fits a line to a figure over the axis, with the points of all seeds.
    pub fn of_figure(seeds: &[Run], figure: &str) -> Option<Fit> {
        let all_points = seeds.iter().flat_map(|run| &run.points);
        let points = all_points.filter_map(|point| Some((point.x, *point.figures.get(figure)?)));
        Fit::through(&points.collect::<Vec<_>>())
    }

    /// The line's value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

#[cfg(test)]
mod tests;
