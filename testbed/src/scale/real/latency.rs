//! The latency that a client proxy adds to a request, with and without concurrent list changes.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand_core::Rng;
use rand_pcg::Pcg32;

use super::load::Clients;
use super::{Figures, LoadOptions, LoadedProxy, endpoint_address, figures, fixed, run_points};
use crate::chance::stream;
use crate::scale::{Options, Point, Run, ScaleError};

const ENDPOINTS: usize = 340;
/// Requests per second: from that of the average client to ten times as many.
const RATES: [f64; 4] = [139.0, 350.0, 700.0, 1_390.0];
/// Duration of the measurement without changes, and again with changes.
const PERIOD: Duration = Duration::from_secs(15);
/// Requests per second directly to an order server during the run, which measure the latency of the testbed
/// itself.
const DIRECT_RATE: f64 = 50.0;
/// If the direct latency is higher at the 99th percentile, the run cannot show whether the client proxy
/// keeps to its 1.6 ms, so the run is void.
const MAX_DIRECT_LATENCY_US: f64 = 1_600.0;
const WARM_UP: Duration = Duration::from_secs(1);
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// The run `client-latency`: the added latency by requests per second.
///
/// # Errors
/// If the run cannot be set up.
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
    let mut run = run_points("client-latency", "calls a second", options, fixed, &RATES, |x, rng| {
        latency_point(options, x, PERIOD, rng)
    })?;
    let direct_figures = ["direct_us_p99", "direct_us_p99_quiet"];
    let is_slow = |point: &Point| {
        direct_figures
            .iter()
            .any(|name| point.figures.get(*name).is_some_and(|us| *us > MAX_DIRECT_LATENCY_US))
    };
    if let Some(point) = run.points.iter().find(|point| is_slow(point)) {
        run.void =
            Some(format!("at {}: the testbed alone takes over 1.6 ms at the 99th percentile", point.x));
    }
    Ok(run)
}

pub(super) fn latency_point(
    options: &Options,
    rate: f64,
    period: Duration,
    rng: &mut Pcg32,
) -> Result<Figures, ScaleError> {
    let load_options = LoadOptions {
        endpoints: ENDPOINTS,
        single_local_endpoint: false,
        requests_per_second: rate,
        quiet_period: Duration::ZERO,
    };
    let mut loaded = LoadedProxy::start(options, &load_options, rng)?;
    let server_address = SocketAddr::V4(endpoint_address(0, 0, loaded.servers.port));
    let direct = Clients::start(server_address, DIRECT_RATE, stream(options.seed, "direct"));
    sleep(WARM_UP);
    direct.take();
    loaded.reset_counts();
    let (from, cpu) = (Instant::now(), loaded.process.cpu()?);
    sleep(period);
    let (quiet_s, quiet_cpu) = (from.elapsed().as_secs_f64(), loaded.process.cpu()? - cpu);
    let (quiet, direct_quiet) = (loaded.clients.take(), direct.take());

    let (from, cpu, mut nth) = (Instant::now(), loaded.process.cpu()?, 0);
    while from.elapsed() < period {
        loaded.replace(&[1 + rng.next_u32() as usize % (load_options.endpoints - 1)]);
        nth += 1;
        sleep((from + (CHANGE_INTERVAL * nth).min(period)).saturating_duration_since(Instant::now()));
    }
    let (changing_s, cpu) = (from.elapsed().as_secs_f64(), loaded.process.cpu()? - cpu);
    let (changing, direct) = (loaded.clients.take(), direct.take());

    let quantile_us = |histogram: &Histogram<u64>, quantile| histogram.value_at_quantile(quantile) as f64;
    let delay_ms =
        quantile_us(&changing.send_delay_us, 0.99).max(quantile_us(&quiet.send_delay_us, 0.99)) / 1e3;
    let delay_ms =
        delay_ms.max(loaded.listing.timer_delay.take_ms()).max(loaded.servers.timer_delay.take_ms());
    let (served, quiet_served) =
        (changing.latency_us.len().max(1) as f64, quiet.latency_us.len().max(1) as f64);
    Ok(figures([
        ("added_us_p50", quantile_us(&changing.latency_us, 0.5)),
        ("added_us_p99", quantile_us(&changing.latency_us, 0.99)),
        ("added_us_p50_quiet", quantile_us(&quiet.latency_us, 0.5)),
        ("added_us_p99_quiet", quantile_us(&quiet.latency_us, 0.99)),
        ("direct_us_p50", quantile_us(&direct.latency_us, 0.5)),
        ("direct_us_p99", quantile_us(&direct.latency_us, 0.99)),
        ("direct_us_p50_quiet", quantile_us(&direct_quiet.latency_us, 0.5)),
        ("direct_us_p99_quiet", quantile_us(&direct_quiet.latency_us, 0.99)),
        ("core_share", cpu.as_secs_f64() / changing_s),
        ("core_share_quiet", quiet_cpu.as_secs_f64() / quiet_s),
        ("cpu_us_request", cpu.as_secs_f64() * 1e6 / served),
        ("cpu_us_request_quiet", quiet_cpu.as_secs_f64() * 1e6 / quiet_served),
        ("requests", served),
        ("requests_quiet", quiet_served),
        ("unserved", (changing.unserved + quiet.unserved) as f64),
        ("memory_mb", loaded.process.status("VmRSS")?),
        ("late_ms_p99", delay_ms),
    ]))
}
