//! What a client proxy adds to a call, with control going on beside and without.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use rand_core::Rng;
use rand_pcg::Pcg32;

use super::load::Clients;
use super::{Figures, Loaded, Shape, figures, fixed, made, place};
use crate::chance::stream;
use crate::scale::{Options, Run, ScaleError};

const ENDPOINTS: usize = 340;
/// Calls a second: of the mean client, up to ten times that.
const RATES: [f64; 4] = [139.0, 350.0, 700.0, 1_390.0];
const LASTS: Duration = Duration::from_secs(15);
const DIRECT: Duration = Duration::from_secs(5);
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
             the way through the testbed's own client and server is in it, and direct_us, the same without a client \
             proxy, is not taken off",
        ),
        ("quiet", "no changes; else one a second, a new process of an endpoint by chance"),
        ("cpu_us_request", "all that the process used, by requests"),
        ("endpoints", "340, a ninth in the own zone"),
        (
            "load",
            "arrivals by chance, each at its time whatever the answers do; 15 s with changes, 15 s without",
        ),
    ]);
    made("client-latency", "calls a second", options, fixed, &RATES, |x, rng| {
        latency_point(options, x, [LASTS, DIRECT], rng)
    })
}

pub(super) fn latency_point(
    options: &Options,
    rate: f64,
    [lasts, direct]: [Duration; 2],
    rng: &mut Pcg32,
) -> Result<Figures, ScaleError> {
    let shape = Shape { endpoints: ENDPOINTS, one_near: false, per_second: rate, quiet: Duration::ZERO };
    let mut loaded = Loaded::start(options, &shape, rng)?;
    loaded.forget();
    let (from, cpu) = (Instant::now(), loaded.process.cpu()?);
    sleep(lasts);
    let (quiet_lasted, quiet_cpu) = (from.elapsed().as_secs_f64(), loaded.process.cpu()? - cpu);
    let quiet = loaded.clients.take();
    let late = quiet.late.value_at_quantile(0.99) as f64 / 1e3;

    let (from, cpu, mut nth) = (Instant::now(), loaded.process.cpu()?, 0);
    while from.elapsed() < lasts {
        loaded.replace(&[1 + rng.next_u32() as usize % (shape.endpoints - 1)]);
        nth += 1;
        sleep((from + (CHANGE_EVERY * nth).min(lasts)).saturating_duration_since(Instant::now()));
    }
    let (lasted, cpu) = (from.elapsed().as_secs_f64(), loaded.process.cpu()? - cpu);
    let busy = loaded.clients.take();
    let late = late.max(busy.late.value_at_quantile(0.99) as f64 / 1e3);
    let late = late.max(loaded.listing.late.take_ms()).max(loaded.servers.late.take_ms());

    // With the client proxy at rest but there, as it is in the other figures.
    let Loaded { servers, clients, process, listing, .. } = loaded;
    drop(clients);
    let straight = SocketAddr::V4(place(0, 0, servers.port));
    let clients = Clients::start(straight, rate, stream(options.seed, "direct"));
    sleep(direct);
    let alone = clients.take();
    drop((clients, listing));

    let us = |of: &hdrhistogram::Histogram<u64>, quantile| of.value_at_quantile(quantile) as f64;
    let (served, quiet_served) = (busy.latency.len().max(1) as f64, quiet.latency.len().max(1) as f64);
    Ok(figures([
        ("added_us_p50", us(&busy.latency, 0.5)),
        ("added_us_p99", us(&busy.latency, 0.99)),
        ("added_us_p999", us(&busy.latency, 0.999)),
        ("added_us_p50_quiet", us(&quiet.latency, 0.5)),
        ("added_us_p99_quiet", us(&quiet.latency, 0.99)),
        ("direct_us_p50", us(&alone.latency, 0.5)),
        ("direct_us_p99", us(&alone.latency, 0.99)),
        ("core_share", cpu.as_secs_f64() / lasted),
        ("core_share_quiet", quiet_cpu.as_secs_f64() / quiet_lasted),
        ("cpu_us_request", cpu.as_secs_f64() * 1e6 / served),
        ("cpu_us_request_quiet", quiet_cpu.as_secs_f64() * 1e6 / quiet_served),
        ("requests", served + quiet_served),
        ("unserved", (busy.unserved + quiet.unserved) as f64),
        ("memory_mb", process.status("VmRSS")?),
        ("late_ms_p99", late),
    ]))
}
