//! A model of the fleet: the sizes of its services, and which services each of them calls, which gives the
//! number of endpoints that a client proxy has in its list. The real distribution is not known and should
//! replace this model.

use std::collections::BTreeMap;

use rand_core::Rng;
use rand_pcg::Pcg32;

use super::{Options, Point, Run, ScaleError};
use crate::chance;

/// Number of services, as stated by the operators.
pub const SERVICES: usize = 2_100;
/// Order servers of all services, each with its client proxy, as stated by the operators.
pub const ENDPOINTS: u32 = 36_000;
/// The region of each zone. The numbers of zones and regions are the operators'; which zone is in which
/// region is assumed.
pub const ZONE_REGIONS: [usize; 9] = [0, 0, 0, 1, 1, 2, 2, 3, 3];
/// Exponent of the distribution of sizes: the i-th largest service has a size proportional to `1 / i^SKEW`.
/// Assumed; such exponents are usually between 0.5 and 1.
pub const SKEW: f64 = 0.8;
/// The number of services that one service calls, uniformly distributed, 20 on average. Assumed.
const CALLED_SERVICES: std::ops::RangeInclusive<u32> = 10..=30;

/// The services of the fleet and the calls between them.
pub struct Fleet {
    /// Number of endpoints of each service, largest first.
    pub sizes: Vec<u32>,
    /// For each service the indices of the services that it calls, itself excluded. All its client proxies
    /// call the same.
    pub calls: Vec<Vec<usize>>,
}

impl Fleet {
    /// Generates a fleet. The sizes are the same for every seed; the called services are drawn uniformly.
    pub fn draw(seed: u64) -> Fleet {
        let sizes = sizes();
        let mut rng = chance::stream(seed, "calls");
        let calls = (0..SERVICES).map(|caller| draw_callees(&mut rng, caller)).collect();
        Fleet { sizes, calls }
    }

    /// Number of endpoints in the list of each client proxy of this service.
    pub fn endpoints_called_by(&self, service: usize) -> u32 {
        self.calls[service].iter().map(|&callee| self.sizes[callee]).sum()
    }

    /// Number of endpoints of the 20 largest services together.
    pub fn twenty_largest(&self) -> u32 {
        self.sizes[..20].iter().sum()
    }

    /// For each service the number of client proxies that call it, and so are affected by a change of one of
    /// its endpoints.
    pub fn affected_proxies(&self) -> Vec<u32> {
        let mut affected_proxies = vec![0; SERVICES];
        for (calls, size) in self.calls.iter().zip(&self.sizes) {
            calls.iter().for_each(|&callee| affected_proxies[callee] += size);
        }
        affected_proxies
    }
}

/// `scale / i^SKEW`, rounded down and at least 1, with the largest `scale` whose sum does not exceed
/// [`ENDPOINTS`]. The remaining endpoints go to the largest services, one to each.
fn sizes() -> Vec<u32> {
    let sizes_for = |scale: f64| -> Vec<u32> {
        (1..=SERVICES).map(|rank| ((scale / (rank as f64).powf(SKEW)) as u32).max(1)).collect()
    };
    let (mut lower, mut upper) = (1.0, f64::from(ENDPOINTS));
    for _ in 0..60 {
        let scale = (lower + upper) / 2.0;
        let fits = sizes_for(scale).iter().sum::<u32>() <= ENDPOINTS;
        (lower, upper) = if fits { (scale, upper) } else { (lower, scale) };
    }
    let mut sizes = sizes_for(lower);
    let remainder = ENDPOINTS - sizes.iter().sum::<u32>();
    sizes.iter_mut().take(remainder as usize).for_each(|size| *size += 1);
    sizes
}

fn draw_callees(rng: &mut Pcg32, caller: usize) -> Vec<usize> {
    let count =
        CALLED_SERVICES.start() + rng.next_u32() % (CALLED_SERVICES.end() - CALLED_SERVICES.start() + 1);
    let mut callees = Vec::new();
    while callees.len() < count as usize {
        let service = (chance::uniform(rng) * SERVICES as f64) as usize;
        if service != caller && !callees.contains(&service) {
            callees.push(service);
        }
    }
    callees
}

/// The weighted percentile of `(value, weight)` pairs: the smallest value that at least `percent` of the
/// weight is at or below.
fn percentile(values: &mut [(u32, u32)], percent: f64) -> u32 {
    values.sort_unstable();
    let total_weight: u64 = values.iter().map(|(_, weight)| u64::from(*weight)).sum();
    let target = total_weight as f64 * percent / 100.0;
    let mut cumulative = 0.0;
    let found = values.iter().find(|(_, weight)| {
        cumulative += f64::from(*weight);
        cumulative >= target
    });
    found.or(values.last()).map_or(0, |(value, _)| *value)
}

/// The weighted mean of `(value, weight)` pairs.
fn mean(values: &[(u32, u32)]) -> f64 {
    let total_weight: f64 = values.iter().map(|(_, weight)| f64::from(*weight)).sum();
    values.iter().map(|(value, weight)| f64::from(*value) * f64::from(*weight)).sum::<f64>() / total_weight
}

/// The run `services`: generated from the model, not measured.
///
/// # Errors
/// Never fails; the signature is that of all runs.
pub fn make(options: &Options) -> Result<Run, ScaleError> {
    let fleet = Fleet::draw(options.seed);
    // Weighted by the number of client proxies of the service.
    let mut endpoint_counts: Vec<(u32, u32)> =
        (0..SERVICES).map(|service| (fleet.endpoints_called_by(service), fleet.sizes[service])).collect();
    // Weighted by the number of endpoints of the service, one of which changes.
    let affected_proxies = fleet.affected_proxies().into_iter();
    let mut affected_proxies: Vec<(u32, u32)> = affected_proxies.zip(fleet.sizes.iter().copied()).collect();
    let points = [1.0, 5.0, 10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 100.0].map(|percent| Point {
        x: percent,
        figures: BTreeMap::from([
            ("endpoints_called".to_owned(), f64::from(percentile(&mut endpoint_counts, percent))),
            ("client_proxies_concerned".to_owned(), f64::from(percentile(&mut affected_proxies, percent))),
        ]),
    });
    let fixed = [
        ("how", "drawn from the law, nothing measured".to_owned()),
        ("services", SERVICES.to_string()),
        ("endpoints", ENDPOINTS.to_string()),
        ("law of sizes", format!("c / i^{SKEW}, rounded down, at least 1; supposed")),
        ("largest, median and smallest service", {
            let sizes = &fleet.sizes;
            format!("{}, {}, {}", sizes[0], sizes[SERVICES / 2], sizes[SERVICES - 1])
        }),
        (
            "services called",
            format!(
                "{} to {}, each number and each service as likely as another; supposed",
                CALLED_SERVICES.start(),
                CALLED_SERVICES.end()
            ),
        ),
        ("endpoints_called, mean over client proxies", format!("{:.1}", mean(&endpoint_counts))),
        ("endpoints_called by one that calls the 20 largest", fleet.twenty_largest().to_string()),
        ("client_proxies_concerned, mean over endpoints", format!("{:.1}", mean(&affected_proxies))),
        ("zones, by region", format!("{ZONE_REGIONS:?}")),
    ];
    Ok(Run {
        run: "services".to_owned(),
        axis: "percentile, of client proxies and of endpoints".to_owned(),
        seed: options.seed,
        void: None,
        fixed: fixed.map(|(name, value)| (name.to_owned(), value)).into(),
        points: points.into(),
    })
}

#[cfg(test)]
mod tests;
