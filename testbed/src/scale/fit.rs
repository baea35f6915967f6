//! Straight lines through points: the slope, and how far it can be trusted.

use serde::{Deserialize, Serialize};

use super::Run;

/// `y = intercept + slope * x` by least squares.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Fit {
    /// At `x = 0`.
    pub intercept: f64,
    /// For each step of `x`.
    pub slope: f64,
    /// The standard error of the slope.
    pub slope_error: f64,
    /// The root mean square of what the line leaves over, in the unit of `y`.
    pub residual: f64,
    /// Points it rests on.
    pub points: usize,
}

impl Fit {
    /// Nothing through fewer than two places on the axis, or where a figure is not finite.
    pub fn through(points: &[(f64, f64)]) -> Option<Fit> {
        let n = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
        let (x, y) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
        let together: f64 = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum();
        if !spread.is_finite() || !together.is_finite() || spread <= 0.0 {
            return None;
        }
        let slope = together / spread;
        let intercept = y - slope * x;
        let left: f64 = points.iter().map(|point| (point.1 - intercept - slope * point.0).powi(2)).sum();
        let free = (n - 2.0).max(1.0);
        Some(Fit {
            intercept,
            slope,
            slope_error: (left / free / spread).sqrt(),
            residual: (left / n).sqrt(),
            points: points.len(),
        })
    }

    /// A figure over the axis, all seeds together.
    pub fn of(seeds: &[Run], figure: &str) -> Option<Fit> {
        let points = seeds.iter().flat_map(|run| &run.points);
        let known = points.filter_map(|point| Some((point.x, *point.figures.get(figure)?)));
        Fit::through(&known.collect::<Vec<_>>())
    }

    /// Where the line is at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

#[cfg(test)]
mod tests;
