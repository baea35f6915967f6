//! What a client proxy adds to a call, with control going on beside and without.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand_core::Rng;
use rand_pcg::Pcg32;

use super::load::Clients;
use super::{Figures, Loaded, Shape, figures, fixed, made, place};
use crate::chance::stream;
use crate::scale::{Options, Point, Run, ScaleError};

const ENDPOINTS: usize = 340;
/// Calls a second: of the mean client, up to ten times that.
const RATES: [f64; 4] = [139.0, 350.0, 700.0, 1_390.0];
/// With changes, and as long without.
const LASTS: Duration = Duration::from_secs(15);
/// Calls a second straight to an order server, all the time: what the testbed and the machine take by themselves.
const DIRECT: f64 = 50.0;
/// Where the testbed alone takes longer at the 99th percentile, nothing can be said of a client proxy's 1.6 ms.
const DIRECT_MOST_US: f64 = 1_600.0;
const WARM_UP: Duration = Duration::from_secs(1);
const CHANGE_EVERY: Duration = Duration::from_secs(1);

/// What it adds by calls a second.
///
/// # Errors
/// Where it cannot be set up.
pub fn client_latency(options: &Options) -> Result<Run, ScaleError> {
    let fixed = fixed(&[
        (
            "added_us",
            "from a request's sending to its answer's last byte through the client proxy, order servers answering at once; \
             what the testbed's own client and server take is in it: direct_us, of 50 calls a second straight to an order \
             server meanwhile",
        ),
        ("quiet", "no changes; else one a second, a new process of an endpoint by chance"),
        ("cpu_us_request", "all that the process used, by requests"),
        ("endpoints", "340, a ninth in the own zone"),
        (
            "load",
            "arrivals by chance, each at its time whatever the answers do; 15 s without changes, then 15 s with",
        ),
        ("void_here", "also where direct_us is over 1.6 ms at the 99th percentile"),
    ]);
    let mut run = made("client-latency", "calls a second", options, fixed, &RATES, |x, rng| {
        latency_point(options, x, LASTS, rng)
    })?;
    let alone = ["direct_us_p99", "direct_us_p99_quiet"];
    let slow = |point: &Point| {
        alone.iter().any(|name| point.figures.get(*name).is_some_and(|us| *us > DIRECT_MOST_US))
    };
    if let Some(point) = run.points.iter().find(|point| slow(point)) {
        run.void =
            Some(format!("at {}: the testbed alone takes over 1.6 ms at the 99th percentile", point.x));
    }
    Ok(run)
}

pub(super) fn latency_point(
    options: &Options,
    rate: f64,
    lasts: Duration,
    rng: &mut Pcg32,
) -> Result<Figures, ScaleError> {
    let shape = Shape { endpoints: ENDPOINTS, one_near: false, per_second: rate, quiet: Duration::ZERO };
    let mut loaded = Loaded::start(options, &shape, rng)?;
    let straight = SocketAddr::V4(place(0, 0, loaded.servers.port));
    let direct = Clients::start(straight, DIRECT, stream(options.seed, "direct"));
    sleep(WARM_UP);
    direct.take();
    loaded.forget();
    let (from, cpu) = (Instant::now(), loaded.process.cpu()?);
    sleep(lasts);
    let (quiet_lasted, quiet_cpu) = (from.elapsed().as_secs_f64(), loaded.process.cpu()? - cpu);
    let (quiet, direct_quiet) = (loaded.clients.take(), direct.take());

    let (from, cpu, mut nth) = (Instant::now(), loaded.process.cpu()?, 0);
    while from.elapsed() < lasts {
        loaded.replace(&[1 + rng.next_u32() as usize % (shape.endpoints - 1)]);
        nth += 1;
        sleep((from + (CHANGE_EVERY * nth).min(lasts)).saturating_duration_since(Instant::now()));
    }
    let (lasted, cpu) = (from.elapsed().as_secs_f64(), loaded.process.cpu()? - cpu);
    let (busy, direct) = (loaded.clients.take(), direct.take());

    let us = |of: &Histogram<u64>, quantile| of.value_at_quantile(quantile) as f64;
    let late = us(&busy.late, 0.99).max(us(&quiet.late, 0.99)) / 1e3;
    let late = late.max(loaded.listing.late.take_ms()).max(loaded.servers.late.take_ms());
    let (served, quiet_served) = (busy.latency.len().max(1) as f64, quiet.latency.len().max(1) as f64);
    Ok(figures([
        ("added_us_p50", us(&busy.latency, 0.5)),
        ("added_us_p99", us(&busy.latency, 0.99)),
        ("added_us_p50_quiet", us(&quiet.latency, 0.5)),
        ("added_us_p99_quiet", us(&quiet.latency, 0.99)),
        ("direct_us_p50", us(&direct.latency, 0.5)),
        ("direct_us_p99", us(&direct.latency, 0.99)),
        ("direct_us_p50_quiet", us(&direct_quiet.latency, 0.5)),
        ("direct_us_p99_quiet", us(&direct_quiet.latency, 0.99)),
        ("core_share", cpu.as_secs_f64() / lasted),
        ("core_share_quiet", quiet_cpu.as_secs_f64() / quiet_lasted),
        ("cpu_us_request", cpu.as_secs_f64() * 1e6 / served),
        ("cpu_us_request_quiet", quiet_cpu.as_secs_f64() * 1e6 / quiet_served),
        ("requests", served),
        ("requests_quiet", quiet_served),
        ("unserved", (busy.unserved + quiet.unserved) as f64),
        ("memory_mb", loaded.process.status("VmRSS")?),
        ("late_ms_p99", late),
    ]))
}
