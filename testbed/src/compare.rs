//! Compares two versions of the program by interleaved runs of the same scenarios with the same seeds, and
//! says for each figure whether the difference is statistically significant.
//!
//! The test is Student's t-test for paired samples on the differences between the two runs of each seed,
//! two-sided at 95%. A figure is better or worse if its mean difference is significant, and noise if it is
//! not.

use crate::run::Report;

/// Two-sided 95% quantiles of Student's t, by degrees of freedom from 1 on; the last one also serves for more
/// than 30.
const T_QUANTILES_95: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
];

/// Result of comparing a figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The new version is significantly better.
    Better,
    /// The new version is significantly worse.
    Worse,
    /// There is no significant difference.
    Noise,
}

/// One figure over all pairs of runs.
#[derive(Debug)]
pub struct Compared {
    /// Name of the figure.
    pub name: &'static str,
    /// Means of the old and of the new version.
    pub means: [f64; 2],
    /// Mean and standard deviation of the ratio new / old; `None` if the old value is 0 in any run.
    pub ratio: Option<(f64, f64)>,
    /// See the module documentation.
    pub verdict: Verdict,
}

/// A figure: its name, whether higher is better, and how to read it from a report.
type Figure = (&'static str, bool, fn(&Report) -> f64);

const FIGURES: [Figure; 10] = [
    ("served_share", true, |report| report.figures.served_share),
    ("worth_share", true, |report| report.figures.worth_share),
    ("worst_window", true, |report| report.figures.worst_window),
    ("refused_share", false, |report| report.figures.refused_share),
    ("latency p50 us", false, |report| report.figures.latency_us[0] as f64),
    ("latency p99 us", false, |report| report.figures.latency_us[1] as f64),
    ("latency p999 us", false, |report| report.figures.latency_us[2] as f64),
    ("cross_zone_share", false, |report| report.figures.cross_zone_share),
    ("attempts_per_request", false, |report| report.figures.attempts_per_request),
    ("broken rules", false, |report| report.figures.rules.values().sum::<usize>() as f64),
];

/// Compares pairs of runs with the same seed: the old version first, then the new one.
pub fn compare(pairs: &[(Report, Report)]) -> Vec<Compared> {
    let compare_figure = |(name, more_is_better, value_of): &Figure| {
        let values: Vec<[f64; 2]> = pairs.iter().map(|(base, new)| [value_of(base), value_of(new)]).collect();
        let differences: Vec<f64> = values.iter().map(|[base, new]| new - base).collect();
        let ratios: Vec<f64> =
            values.iter().filter(|[base, _]| *base != 0.0).map(|[base, new]| new / base).collect();
        let mean = |n: usize| moments(&values.iter().map(|pair| pair[n]).collect::<Vec<_>>()).0;
        Compared {
            name,
            means: [mean(0), mean(1)],
            ratio: (ratios.len() == values.len() && !ratios.is_empty()).then(|| moments(&ratios)),
            verdict: verdict(&differences, *more_is_better),
        }
    };
    FIGURES.iter().map(compare_figure).collect()
}

/// Mean and sample standard deviation.
fn moments(values: &[f64]) -> (f64, f64) {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count.max(1.0);
    let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (count - 1.0).max(1.0);
    (mean, variance.sqrt())
}

fn verdict(differences: &[f64], more_is_better: bool) -> Verdict {
    let (mean, deviation) = moments(differences);
    let Some(t) = differences.len().checked_sub(2).map(|n| T_QUANTILES_95[n.min(T_QUANTILES_95.len() - 1)])
    else {
        return Verdict::Noise;
    };
    if mean == 0.0 || mean.abs() <= t * deviation / (differences.len() as f64).sqrt() {
        Verdict::Noise
    } else if (mean > 0.0) == more_is_better {
        Verdict::Better
    } else {
        Verdict::Worse
    }
}

#[cfg(test)]
mod tests;
