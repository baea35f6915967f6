//! A supposed fleet: how large its services are, which ones each of them calls, and so what one client proxy has to hold.
//! Nobody has told us the real shape; the law is here to be replaced by it.

use std::collections::BTreeMap;

use rand_core::Rng;
use rand_pcg::Pcg32;

use super::{Options, Point, Run, ScaleError};
use crate::chance;

/// As the operators have said.
pub const SERVICES: usize = 2_100;
/// Order servers of all services, each with its client proxy. As the operators have said.
pub const ENDPOINTS: u32 = 36_000;
/// By zone: its region. As many as the operators have said; which are where is supposed.
pub const REGIONS: [usize; 9] = [0, 0, 0, 1, 1, 2, 2, 3, 3];
/// The size of the i-th largest service goes by 1 / i to this power. Supposed: as a rule skews of this kind are between a
/// half and one.
pub const SKEW: f64 = 0.8;
/// How many services one calls: each number in this range as likely as another, 20 on average. Supposed.
const CALLS: std::ops::RangeInclusive<u32> = 10..=30;

/// Who there is, and who calls whom.
pub struct Fleet {
    /// Endpoints of each service, the largest first.
    pub sizes: Vec<u32>,
    /// By service: those that it calls, by number, without itself. All its client proxies call the same ones.
    pub calls: Vec<Vec<usize>>,
}

impl Fleet {
    /// Sizes are the same for every seed; who calls whom is drawn, each service as likely as another.
    pub fn draw(seed: u64) -> Fleet {
        let sizes = sizes();
        let mut rng = chance::stream(seed, "calls");
        let calls = (0..SERVICES).map(|caller| called(&mut rng, caller)).collect();
        Fleet { sizes, calls }
    }

    /// Endpoints that each client proxy of this service has to hold.
    pub fn held_by(&self, service: usize) -> u32 {
        self.calls[service].iter().map(|&called| self.sizes[called]).sum()
    }

    /// Of the 20 largest services.
    pub fn worst(&self) -> u32 {
        self.sizes[..20].iter().sum()
    }

    /// By service: the client proxies that a change of one of its endpoints concerns.
    pub fn concerned(&self) -> Vec<u32> {
        let mut concerned = vec![0; SERVICES];
        for (calls, size) in self.calls.iter().zip(&self.sizes) {
            calls.iter().for_each(|&called| concerned[called] += size);
        }
        concerned
    }
}

/// `c / i^SKEW`, rounded down and at least 1, with the largest `c` that does not pass [`ENDPOINTS`]; what is left goes
/// one each to the largest services.
fn sizes() -> Vec<u32> {
    let with = |c: f64| -> Vec<u32> {
        (1..=SERVICES).map(|i| ((c / (i as f64).powf(SKEW)) as u32).max(1)).collect()
    };
    let (mut low, mut high) = (1.0, f64::from(ENDPOINTS));
    for _ in 0..60 {
        let c = (low + high) / 2.0;
        let fits = with(c).iter().sum::<u32>() <= ENDPOINTS;
        (low, high) = if fits { (c, high) } else { (low, c) };
    }
    let mut sizes = with(low);
    let left = ENDPOINTS - sizes.iter().sum::<u32>();
    sizes.iter_mut().take(left as usize).for_each(|size| *size += 1);
    sizes
}

fn called(rng: &mut Pcg32, caller: usize) -> Vec<usize> {
    let count = CALLS.start() + rng.next_u32() % (CALLS.end() - CALLS.start() + 1);
    let mut called = Vec::new();
    while called.len() < count as usize {
        let service = (chance::unit(rng) * SERVICES as f64) as usize;
        if service != caller && !called.contains(&service) {
            called.push(service);
        }
    }
    called
}

/// The value that so many percent of the weight do not pass.
fn percentile(values: &mut [(u32, u32)], percent: f64) -> u32 {
    values.sort_unstable();
    let all: u64 = values.iter().map(|(_, weight)| u64::from(*weight)).sum();
    let wanted = all as f64 * percent / 100.0;
    let mut below = 0.0;
    let found = values.iter().find(|(_, weight)| {
        below += f64::from(*weight);
        below >= wanted
    });
    found.or(values.last()).map_or(0, |(value, _)| *value)
}

/// The mean by weight.
fn mean(values: &[(u32, u32)]) -> f64 {
    let all: f64 = values.iter().map(|(_, weight)| f64::from(*weight)).sum();
    values.iter().map(|(value, weight)| f64::from(*value) * f64::from(*weight)).sum::<f64>() / all
}

/// The run `services`: drawn, not measured.
///
/// # Errors
/// None at present.
pub fn make(options: &Options) -> Result<Run, ScaleError> {
    let fleet = Fleet::draw(options.seed);
    // Each with as many client proxies as the service has.
    let mut held: Vec<(u32, u32)> =
        (0..SERVICES).map(|service| (fleet.held_by(service), fleet.sizes[service])).collect();
    // Each with as many endpoints as the service has: one of these changes.
    let concerned = fleet.concerned().into_iter();
    let mut concerned: Vec<(u32, u32)> = concerned.zip(fleet.sizes.iter().copied()).collect();
    let points = [1.0, 5.0, 10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 100.0].map(|percent| Point {
        x: percent,
        figures: BTreeMap::from([
            ("endpoints_called".to_owned(), f64::from(percentile(&mut held, percent))),
            ("client_proxies_concerned".to_owned(), f64::from(percentile(&mut concerned, percent))),
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
                CALLS.start(),
                CALLS.end()
            ),
        ),
        ("endpoints_called, mean over client proxies", format!("{:.1}", mean(&held))),
        ("endpoints_called by one that calls the 20 largest", fleet.worst().to_string()),
        ("client_proxies_concerned, mean over endpoints", format!("{:.1}", mean(&concerned))),
        ("zones, by region", format!("{REGIONS:?}")),
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
