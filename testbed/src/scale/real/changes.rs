//! List changes under load: their cost, and the time until they are in force.

use std::collections::BTreeMap;
use std::ops::Range;
use std::thread::sleep;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand_core::Rng;
use rand_pcg::Pcg32;

use super::load::Arrival;
use super::{AddressChange, Figures, LoadOptions, LoadedProxy, figures, fixed, run_points};
use crate::chance::stream;
use crate::ledger::microseconds;
use crate::scale::{Options, Run, ScaleError};

/// Length of the list in runs where it is not the axis.
const ENDPOINTS: usize = 340;
/// The platform's requirement for the time until a change is in force. Later changes count as missed.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(3);
/// Requests per second of the average client.
const AVERAGE_CLIENT_RATE: f64 = 139.0;
/// A higher rate, at which the first request after a change comes sooner.
const FAST_CLIENT_RATE: f64 = 500.0;
const QUIET_PERIOD: Duration = Duration::from_secs(5);

const IN_FORCE: (&str, &str) = (
    "in_force_ms",
    "an order server's process moves to a new address, without a cold start; from the change's making at discovery until \
     the first request arrives at the new address, so up to the time between two requests too long. It is the only one of \
     the own zone, so that every request is for it",
);
const STALE: (&str, &str) =
    ("stale_ms", "from the change until the last request arrives at the old address; 0 if none does");
const LOAD: (&str, &str) =
    ("load", "500 requests a second, arrivals by chance; order servers answer at once");

/// Times until changes were in force.
struct InForce {
    /// Until the first request arrived at the new address.
    new_us: Histogram<u64>,
    /// Until the last request arrived at the old address.
    stale_us: Histogram<u64>,
    missed: usize,
}

impl InForce {
    fn of(address_changes: &[AddressChange], arrivals: &[Arrival]) -> InForce {
        let mut found = InForce { new_us: microseconds(), stale_us: microseconds(), missed: 0 };
        for AddressChange { at, from, to } in address_changes {
            let window: Range<Instant> = *at..*at + IN_FORCE_LIMIT;
            let after = arrivals.iter().filter(|arrival| window.contains(&arrival.at));
            let micros = |arrival: &Arrival| (arrival.at - *at).as_micros() as u64;
            let first = after.clone().find(|arrival| arrival.address == *to).map(micros);
            let last = after.rev().find(|arrival| arrival.address == *from).map(micros);
            match first {
                Some(first) => found.new_us.saturating_record(first),
                None => found.missed += 1,
            }
            found.stale_us.saturating_record(last.unwrap_or(0));
        }
        found
    }
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e3
}

/// Changes per second, and the duration in seconds. It is longer at low rates, to get enough changes.
const RATES: [(f64, u64); 6] = [(0.1, 30), (0.5, 20), (1.0, 15), (5.0, 10), (20.0, 10), (50.0, 10)];

/// The run `client-changes`: the cost of changes of one endpoint each, and the time until they are in force,
/// by changes per second.
///
/// # Errors
/// If the run cannot be set up.
pub fn client_changes(options: &Options) -> Result<Run, ScaleError> {
    let fixed = fixed(&[
        IN_FORCE,
        STALE,
        LOAD,
        ("endpoints", "340"),
        (
            "changes",
            "at equal times; above one a second every other one is of an endpoint by chance, cold, elsewhere",
        ),
        ("quiet_core_share", "in 5 s without changes before, with the same load"),
    ]);
    let rates = RATES.map(|(rate, _)| rate);
    run_points("client-changes", "changes a second, one endpoint each", options, fixed, &rates, |x, rng| {
        let seconds = RATES.iter().find(|(rate, _)| *rate == x).map_or(10, |(_, seconds)| *seconds);
        let load_options = LoadOptions {
            endpoints: ENDPOINTS,
            single_local_endpoint: true,
            requests_per_second: FAST_CLIENT_RATE,
            quiet_period: QUIET_PERIOD,
        };
        changes_point(options, &load_options, x, Duration::from_secs(seconds), rng)
    })
}

fn changes_point(
    options: &Options,
    load_options: &LoadOptions,
    rate: f64,
    period: Duration,
    rng: &mut Pcg32,
) -> Result<Figures, ScaleError> {
    let mut loaded = LoadedProxy::start(options, load_options, rng)?;
    loaded.reset_counts();
    let (from, cpu, traffic) = (Instant::now(), loaded.process.cpu()?, loaded.listing.traffic());
    let count = (rate * period.as_secs_f64()).round() as u32;
    let mut address_changes = Vec::new();
    for nth in 0..count {
        sleep((from + (period * nth) / count).saturating_duration_since(Instant::now()));
        if rate > 1.0 && nth % 2 == 1 {
            loaded.replace(&[1 + rng.next_u32() as usize % (load_options.endpoints - 1)]);
        } else {
            address_changes.push(loaded.replace(&[0]));
        }
    }
    sleep((from + period).saturating_duration_since(Instant::now()));
    let (elapsed_s, cpu) = (from.elapsed().as_secs_f64(), loaded.process.cpu()? - cpu);
    let final_traffic = loaded.listing.traffic();
    let in_force = InForce::of(&address_changes, &loaded.servers.take());
    let core_share = cpu.as_secs_f64() / elapsed_s;
    let max_ms = |histogram: &Histogram<u64>| histogram.max() as f64 / 1e3;
    let own_figures = [
        ("core_share", core_share),
        ("quiet_core_share", loaded.quiet_core_share),
        ("down_bytes_s", (final_traffic.down_bytes - traffic.down_bytes) as f64 / elapsed_s),
        ("up_bytes_s", (final_traffic.up_bytes - traffic.up_bytes) as f64 / elapsed_s),
        ("calls_s", (final_traffic.polls - traffic.polls) as f64 / elapsed_s),
        ("observed", address_changes.len() as f64),
        ("missed", in_force.missed as f64),
        ("in_force_ms_p50", quantile_ms(&in_force.new_us, 0.5)),
        ("in_force_ms_p99", quantile_ms(&in_force.new_us, 0.99)),
        ("in_force_ms_max", max_ms(&in_force.new_us)),
        ("stale_ms_p99", quantile_ms(&in_force.stale_us, 0.99)),
        ("stale_ms_max", max_ms(&in_force.stale_us)),
        ("memory_mb", loaded.process.status("VmRSS")?),
    ];
    Ok(figures(own_figures.into_iter().chain(loaded.validity_figures())))
}

const BURSTS: [f64; 4] = [1.0, 20.0, 340.0, 4_000.0];
const LISTS: [usize; 3] = [340, 4_000, 36_000];
/// Repetitions of each burst. Each has a window for the burst and a window without changes to compare it
/// with.
const REPETITIONS: u32 = 5;
const WINDOW: Duration = Duration::from_millis(750);

/// The run `client-burst`: the cost of endpoints that change at once, and the time until they are in force,
/// with lists of three lengths.
///
/// # Errors
/// If the run cannot be set up.
pub fn client_burst(options: &Options) -> Result<Run, ScaleError> {
    let fixed = fixed(&[
        IN_FORCE,
        STALE,
        ("load", "139 requests a second, arrivals by chance; order servers answer at once"),
        (
            "endpoints",
            "340, 4000 and 36000, as the figures' names say; a burst of 340 or 4000 is the whole list there",
        ),
        (
            "bursts",
            "5 of each, every 1.5 s; each endpoint keeps its name and has a new process: address and since_ms",
        ),
        (
            "cpu_ms",
            "mean of what the process used in the 750 ms from a burst more than in the 750 ms after these",
        ),
    ]);
    let mut by_size: BTreeMap<usize, Figures> = BTreeMap::new();
    let mut rng = stream(options.seed, "client-burst lists");
    for count in LISTS {
        let load_options = LoadOptions {
            endpoints: count,
            single_local_endpoint: true,
            requests_per_second: AVERAGE_CLIENT_RATE,
            quiet_period: Duration::ZERO,
        };
        let mut loaded = LoadedProxy::start(options, &load_options, &mut rng)?;
        for size in BURSTS.map(|size| size as usize).into_iter().filter(|size| *size <= count) {
            let found = burst(&mut loaded, count, size, REPETITIONS, &mut rng)?;
            let all = by_size.entry(size).or_default();
            let delay_ms = found.get("late_ms_p99").copied().unwrap_or(0.0);
            let delay_ms = all.get("late_ms_p99").map_or(delay_ms, |previous| delay_ms.max(*previous));
            all.extend(found.into_iter().map(|(name, figure)| (format!("{name}_of_{count}"), figure)));
            all.insert("late_ms_p99".to_owned(), delay_ms);
        }
    }
    run_points("client-burst", "endpoints that change at once", options, fixed, &BURSTS, |x, _| {
        Ok(by_size.remove(&(x as usize)).unwrap_or_default())
    })
}

fn burst(
    loaded: &mut LoadedProxy,
    count: usize,
    size: usize,
    repetitions: u32,
    rng: &mut Pcg32,
) -> Result<Figures, ScaleError> {
    loaded.reset_counts();
    let (from, traffic) = (Instant::now(), loaded.listing.traffic());
    let (mut address_changes, mut burst_cpu, mut calm_cpu) = (Vec::new(), Duration::ZERO, Duration::ZERO);
    for nth in 0..repetitions {
        // Endpoint 0 is the observed one. The others are consecutive, from a random one on.
        let others = count - 1;
        let first = rng.next_u32() as usize % others;
        let numbers = (0..size - 1).map(|n| 1 + (first + n) % others);
        let numbers: Vec<usize> = std::iter::once(0).chain(numbers).collect();
        let before = loaded.process.cpu()?;
        address_changes.push(loaded.replace(&numbers));
        sleep((from + WINDOW * (2 * nth + 1)).saturating_duration_since(Instant::now()));
        let between = loaded.process.cpu()?;
        sleep((from + WINDOW * (2 * nth + 2)).saturating_duration_since(Instant::now()));
        (burst_cpu, calm_cpu) =
            (burst_cpu + (between - before), calm_cpu + (loaded.process.cpu()? - between));
    }
    let final_traffic = loaded.listing.traffic();
    let in_force = InForce::of(&address_changes, &loaded.servers.take());
    let burst_count = f64::from(repetitions);
    let own_figures = [
        ("cpu_ms", (burst_cpu.as_secs_f64() - calm_cpu.as_secs_f64()) * 1e3 / burst_count),
        ("calm_core_share", calm_cpu.as_secs_f64() / burst_count / WINDOW.as_secs_f64()),
        ("down_bytes", (final_traffic.down_bytes - traffic.down_bytes) as f64 / burst_count),
        ("missed", in_force.missed as f64),
        ("in_force_ms_p50", quantile_ms(&in_force.new_us, 0.5)),
        ("in_force_ms_max", in_force.new_us.max() as f64 / 1e3),
        ("stale_ms_max", in_force.stale_us.max() as f64 / 1e3),
        ("memory_mb", loaded.process.status("VmRSS")?),
        ("memory_peak_mb", loaded.process.status("VmHWM")?),
    ];
    Ok(figures(own_figures.into_iter().chain(loaded.validity_figures())))
}

#[cfg(test)]
mod tests;
