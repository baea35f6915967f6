//! Two versions of the program on the same days: interleaved plays with the same seeds, and for each figure whether the
//! difference is more than chance.
//!
//! The test: for each seed the difference between the two plays, and of these differences Student's t for paired samples,
//! two-sided at 95%. A figure is better or worse where the mean difference is beyond that, and noise where it is not.

use crate::run::Report;

/// Two-sided 95% quantiles of Student's t, by degrees of freedom from 1 on; beyond the last one it is taken for that.
const T_QUANTILES_95: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
];

/// What can be said of a difference.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The version at hand does better.
    Better,
    /// It does worse.
    Worse,
    /// The difference may be chance, or there is none.
    Noise,
}

/// One figure over all pairs of plays.
#[derive(Debug)]
pub struct Compared {
    /// Its name.
    pub name: &'static str,
    /// The means of the older version and of the one at hand.
    pub means: [f64; 2],
    /// The mean of the ratios of the two, and their standard deviation; nothing where the older one is 0.
    pub ratio: Option<(f64, f64)>,
    /// See the module's page.
    pub verdict: Verdict,
}

/// A figure: its name, whether more of it is better, and where it stands.
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

/// Compares pairs of plays: the older version first, then the one at hand, with the same seed.
pub fn compare(pairs: &[(Report, Report)]) -> Vec<Compared> {
    let one = |(name, more, of): &Figure| {
        let values: Vec<[f64; 2]> = pairs.iter().map(|(base, own)| [of(base), of(own)]).collect();
        let differences: Vec<f64> = values.iter().map(|[base, own]| own - base).collect();
        let ratios: Vec<f64> =
            values.iter().filter(|[base, _]| *base != 0.0).map(|[base, own]| own / base).collect();
        let mean = |n: usize| moments(&values.iter().map(|pair| pair[n]).collect::<Vec<_>>()).0;
        Compared {
            name,
            means: [mean(0), mean(1)],
            ratio: (ratios.len() == values.len() && !ratios.is_empty()).then(|| moments(&ratios)),
            verdict: verdict(&differences, *more),
        }
    };
    FIGURES.iter().map(one).collect()
}

/// The mean, and the standard deviation of the sample.
fn moments(values: &[f64]) -> (f64, f64) {
    let n = values.len() as f64;
    let mean = values.iter().sum::<f64>() / n.max(1.0);
    let spread = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (n - 1.0).max(1.0);
    (mean, spread.sqrt())
}

fn verdict(differences: &[f64], more_is_better: bool) -> Verdict {
    let (mean, spread) = moments(differences);
    let Some(t) = differences.len().checked_sub(2).map(|n| T_QUANTILES_95[n.min(T_QUANTILES_95.len() - 1)])
    else {
        return Verdict::Noise;
    };
    if mean == 0.0 || mean.abs() <= t * spread / (differences.len() as f64).sqrt() {
        Verdict::Noise
    } else if (mean > 0.0) == more_is_better {
        Verdict::Better
    } else {
        Verdict::Worse
    }
}

#[cfg(test)]
mod tests;
