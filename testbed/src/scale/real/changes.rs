//! Changes of the list under a load: what they cost, and how long until they are in force.

use std::collections::BTreeMap;
use std::ops::Range;
use std::thread::sleep;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand_core::Rng;
use rand_pcg::Pcg32;

use super::load::Arrival;
use super::{Figures, Loaded, Move, Shape, figures, fixed, made};
use crate::chance::stream;
use crate::ledger::microseconds;
use crate::scale::{Options, Run, ScaleError};

/// Endpoints of the list, where that is not the axis.
const ENDPOINTS: usize = 340;
/// Changes in force later than this are counted as missed; the platform asks for it.
const WITHIN: Duration = Duration::from_secs(3);
/// Requests a second of the mean client, and of one whose requests show sooner when a change is in force.
const MEAN_CLIENT: f64 = 139.0;
const PER_SECOND: f64 = 500.0;
const QUIET: Duration = Duration::from_secs(5);

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

/// How long changes took to be in force.
struct InForce {
    new: Histogram<u64>,
    stale: Histogram<u64>,
    missed: usize,
}

impl InForce {
    fn of(moves: &[Move], arrivals: &[Arrival]) -> InForce {
        let mut seen = InForce { new: microseconds(), stale: microseconds(), missed: 0 };
        for Move { at, from, to } in moves {
            let window: Range<Instant> = *at..*at + WITHIN;
            let after = arrivals.iter().filter(|arrival| window.contains(&arrival.at));
            let micros = |arrival: &Arrival| (arrival.at - *at).as_micros() as u64;
            let first = after.clone().find(|arrival| arrival.address == *to).map(micros);
            let last = after.rev().find(|arrival| arrival.address == *from).map(micros);
            match first {
                Some(first) => seen.new.saturating_record(first),
                None => seen.missed += 1,
            }
            seen.stale.saturating_record(last.unwrap_or(0));
        }
        seen
    }
}

fn ms(of: &Histogram<u64>, quantile: f64) -> f64 {
    of.value_at_quantile(quantile) as f64 / 1e3
}

/// Each with how long it lasts: enough changes to see something of the few.
const RATES: [(f64, u64); 6] = [(0.1, 30), (0.5, 20), (1.0, 15), (5.0, 10), (20.0, 10), (50.0, 10)];

/// What changes of one endpoint each cost, and when they are in force, by changes a second.
///
/// # Errors
/// Where it cannot be set up.
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
    made("client-changes", "changes a second, one endpoint each", options, fixed, &rates, |x, rng| {
        let lasts = RATES.iter().find(|(rate, _)| *rate == x).map_or(10, |(_, lasts)| *lasts);
        let shape = Shape { endpoints: ENDPOINTS, one_near: true, per_second: PER_SECOND, quiet: QUIET };
        changes_point(options, &shape, x, Duration::from_secs(lasts), rng)
    })
}

fn changes_point(
    options: &Options,
    shape: &Shape,
    rate: f64,
    lasts: Duration,
    rng: &mut Pcg32,
) -> Result<Figures, ScaleError> {
    let mut loaded = Loaded::start(options, shape, rng)?;
    loaded.forget();
    let (from, cpu, traffic) = (Instant::now(), loaded.process.cpu()?, loaded.listing.traffic());
    let count = (rate * lasts.as_secs_f64()).round() as u32;
    let mut moves = Vec::new();
    for nth in 0..count {
        sleep((from + (lasts * nth) / count).saturating_duration_since(Instant::now()));
        if rate > 1.0 && nth % 2 == 1 {
            loaded.replace(&[1 + rng.next_u32() as usize % (shape.endpoints - 1)]);
        } else {
            moves.push(loaded.replace(&[0]));
        }
    }
    sleep((from + lasts).saturating_duration_since(Instant::now()));
    let (lasted, cpu) = (from.elapsed().as_secs_f64(), loaded.process.cpu()? - cpu);
    let told = loaded.listing.traffic();
    let seen = InForce::of(&moves, &loaded.servers.take());
    let share = cpu.as_secs_f64() / lasted;
    let most = |of: &Histogram<u64>| of.max() as f64 / 1e3;
    let own = [
        ("core_share", share),
        ("quiet_core_share", loaded.quiet),
        ("down_bytes_s", (told.down_bytes - traffic.down_bytes) as f64 / lasted),
        ("up_bytes_s", (told.up_bytes - traffic.up_bytes) as f64 / lasted),
        ("calls_s", (told.calls - traffic.calls) as f64 / lasted),
        ("observed", moves.len() as f64),
        ("missed", seen.missed as f64),
        ("in_force_ms_p50", ms(&seen.new, 0.5)),
        ("in_force_ms_p99", ms(&seen.new, 0.99)),
        ("in_force_ms_max", most(&seen.new)),
        ("stale_ms_p99", ms(&seen.stale, 0.99)),
        ("stale_ms_max", most(&seen.stale)),
        ("memory_mb", loaded.process.status("VmRSS")?),
    ];
    Ok(figures(own.into_iter().chain(loaded.testbed())))
}

const BURSTS: [f64; 4] = [1.0, 20.0, 340.0, 4_000.0];
const LISTS: [usize; 3] = [340, 4_000, 36_000];
/// Times that each burst is made; it has the first half of its time for itself, the other half is to compare with.
const TIMES: u32 = 5;
const HALF: Duration = Duration::from_millis(750);

/// What endpoints that change at once cost, and when they are in force, with lists of three lengths.
///
/// # Errors
/// Where it cannot be set up.
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
        let shape =
            Shape { endpoints: count, one_near: true, per_second: MEAN_CLIENT, quiet: Duration::ZERO };
        let mut loaded = Loaded::start(options, &shape, &mut rng)?;
        for size in BURSTS.map(|size| size as usize).into_iter().filter(|size| *size <= count) {
            let found = burst(&mut loaded, count, size, TIMES, &mut rng)?;
            let all = by_size.entry(size).or_default();
            let late = found.get("late_ms_p99").copied().unwrap_or(0.0);
            let late = all.get("late_ms_p99").map_or(late, |known| late.max(*known));
            all.extend(found.into_iter().map(|(name, figure)| (format!("{name}_of_{count}"), figure)));
            all.insert("late_ms_p99".to_owned(), late);
        }
    }
    made("client-burst", "endpoints that change at once", options, fixed, &BURSTS, |x, _| {
        Ok(by_size.remove(&(x as usize)).unwrap_or_default())
    })
}

fn burst(
    loaded: &mut Loaded,
    count: usize,
    size: usize,
    times: u32,
    rng: &mut Pcg32,
) -> Result<Figures, ScaleError> {
    loaded.forget();
    let (from, traffic) = (Instant::now(), loaded.listing.traffic());
    let (mut moves, mut used, mut calm) = (Vec::new(), Duration::ZERO, Duration::ZERO);
    for nth in 0..times {
        // The first one is watched; the others follow each other from a place by chance.
        let others = count - 1;
        let first = rng.next_u32() as usize % others;
        let numbers = (0..size - 1).map(|n| 1 + (first + n) % others);
        let numbers: Vec<usize> = std::iter::once(0).chain(numbers).collect();
        let before = loaded.process.cpu()?;
        moves.push(loaded.replace(&numbers));
        sleep((from + HALF * (2 * nth + 1)).saturating_duration_since(Instant::now()));
        let between = loaded.process.cpu()?;
        sleep((from + HALF * (2 * nth + 2)).saturating_duration_since(Instant::now()));
        (used, calm) = (used + (between - before), calm + (loaded.process.cpu()? - between));
    }
    let told = loaded.listing.traffic();
    let seen = InForce::of(&moves, &loaded.servers.take());
    let n = f64::from(times);
    let own = [
        ("cpu_ms", (used.as_secs_f64() - calm.as_secs_f64()) * 1e3 / n),
        ("calm_core_share", calm.as_secs_f64() / n / HALF.as_secs_f64()),
        ("down_bytes", (told.down_bytes - traffic.down_bytes) as f64 / n),
        ("missed", seen.missed as f64),
        ("in_force_ms_p50", ms(&seen.new, 0.5)),
        ("in_force_ms_max", seen.new.max() as f64 / 1e3),
        ("stale_ms_max", seen.stale.max() as f64 / 1e3),
        ("memory_mb", loaded.process.status("VmRSS")?),
        ("memory_peak_mb", loaded.process.status("VmHWM")?),
    ];
    Ok(figures(own.into_iter().chain(loaded.testbed())))
}

#[cfg(test)]
mod tests;
