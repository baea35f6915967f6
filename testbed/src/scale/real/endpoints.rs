//! The cost of an idle client proxy by the length of its list.

use std::thread::sleep;
use std::time::{Duration, Instant};

use rand_core::Rng;
use rand_pcg::Pcg32;

use super::listing::Listing;
use super::process::Process;
use super::{
    Figures, PORT, SETTLE, config, endpoint_address, endpoints, figures, fixed, fleet_config, now_ms,
    run_points,
};
use crate::scale::{Options, Run, ScaleError};

/// Lengths of the lists.
const LISTS: [f64; 7] = [200.0, 340.0, 1_000.0, 2_000.0, 4_000.0, 10_000.0, 36_000.0];
/// How long the idle client proxy is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(15);
/// Number of changes over which the cost is averaged, and the interval between them.
const CHANGES: u32 = 80;
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// The run `client-endpoints`: the cost of an idle client proxy, and of a change of one endpoint, by the
/// length of its list.
///
/// # Errors
/// If the run cannot be set up.
pub fn client_endpoints(options: &Options) -> Result<Run, ScaleError> {
    let fixed = fixed(&[
        ("load", "no requests"),
        ("rest", "15 s from 2 s after ready"),
        (
            "change",
            "one endpoint's process is new (address, since_ms): 80 of them, ten a second, less what rest costs",
        ),
        (
            "start",
            "cpu from the start of the process, ready_ms from its first call to discovery until /ready says 200, \
                   asked every 2 ms",
        ),
    ]);
    run_points("client-endpoints", "endpoints in the list", options, fixed, &LISTS, |x, rng| {
        endpoints_point(options, x as usize, IDLE_PERIOD, CHANGES, rng)
    })
}

pub(super) fn endpoints_point(
    options: &Options,
    count: usize,
    idle_period: Duration,
    changes: u32,
    rng: &mut Pcg32,
) -> Result<Figures, ScaleError> {
    let listing = Listing::open(endpoints(count, PORT, rng))?;
    let snapshot_bytes = listing.snapshot_bytes();
    let process =
        Process::start(&options.binary, &options.dir, &config(&listing, count, rng), &fleet_config())?;
    let start_cpu = process.cpu()?;
    let first_poll_at = listing.first_poll_at().unwrap_or(process.ready_at);
    let ready = process.ready_at.saturating_duration_since(first_poll_at);
    sleep(SETTLE);
    listing.timer_delay.take_ms();

    let (from, cpu, traffic) = (Instant::now(), process.cpu()?, listing.traffic());
    sleep(idle_period);
    let (idle_s, cpu) = (from.elapsed().as_secs_f64(), process.cpu()? - cpu);
    let idle_core_share = cpu.as_secs_f64() / idle_s;
    let idle_traffic = listing.traffic();
    let memory_mb = process.status("VmRSS")?;

    let (from, cpu) = (Instant::now(), process.cpu()?);
    for nth in 1..=changes {
        let number = rng.next_u32() as usize % count;
        listing.change(&[number], |endpoint| {
            (endpoint.address, endpoint.since_ms) = (endpoint_address(number, nth as usize, PORT), now_ms());
        });
        sleep((from + CHANGE_INTERVAL * nth).saturating_duration_since(Instant::now()));
    }
    let (changing_s, cpu) = (from.elapsed().as_secs_f64(), process.cpu()? - cpu);
    let final_traffic = listing.traffic();
    let change_count = f64::from(changes);
    Ok(figures([
        ("memory_mb", memory_mb),
        ("memory_peak_mb", process.status("VmHWM")?),
        ("idle_core_share", idle_core_share),
        ("change_cpu_ms", (cpu.as_secs_f64() - idle_core_share * changing_s) * 1e3 / change_count),
        ("down_bytes_s", (idle_traffic.down_bytes - traffic.down_bytes) as f64 / idle_s),
        ("up_bytes_s", (idle_traffic.up_bytes - traffic.up_bytes) as f64 / idle_s),
        ("calls_s", (idle_traffic.polls - traffic.polls) as f64 / idle_s),
        ("change_down_bytes", (final_traffic.down_bytes - idle_traffic.down_bytes) as f64 / change_count),
        (
            "change_answers",
            (final_traffic.change_responses - idle_traffic.change_responses) as f64 / change_count,
        ),
        ("connections", final_traffic.connections as f64),
        ("whole_list_bytes", snapshot_bytes as f64),
        ("start_cpu_ms", start_cpu.as_secs_f64() * 1e3),
        ("ready_ms", ready.as_secs_f64() * 1e3),
        ("threads", process.status("Threads")?),
        ("descriptors", process.descriptors()? as f64),
        ("late_ms_p99", listing.timer_delay.take_ms()),
    ]))
}
