//! What an idle client proxy costs by the length of its list.

use std::thread::sleep;
use std::time::{Duration, Instant};

use rand_core::Rng;
use rand_pcg::Pcg32;

use super::listing::Listing;
use super::process::Process;
use super::{Figures, PORT, SETTLE, config, endpoints, figures, fixed, made, now_ms, parts, place};
use crate::scale::{Options, Run, ScaleError};

/// Endpoints of the lists.
const LISTS: [f64; 7] = [200.0, 340.0, 1_000.0, 2_000.0, 4_000.0, 10_000.0, 36_000.0];
/// How long it is looked at an idle client proxy.
const REST: Duration = Duration::from_secs(15);
/// Changes whose mean is taken, and the time between two.
const CHANGES: u32 = 80;
const CHANGE_EVERY: Duration = Duration::from_millis(100);

/// What an idle client proxy costs by the length of its list, and what one change of one endpoint does.
///
/// # Errors
/// Where it cannot be set up.
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
    made("client-endpoints", "endpoints in the list", options, fixed, &LISTS, |x, rng| {
        endpoints_point(options, x as usize, REST, CHANGES, rng)
    })
}

pub(super) fn endpoints_point(
    options: &Options,
    count: usize,
    rest: Duration,
    changes: u32,
    rng: &mut Pcg32,
) -> Result<Figures, ScaleError> {
    let listing = Listing::open(endpoints(count, PORT, rng))?;
    let whole = listing.whole_bytes();
    let process = Process::start(&options.binary, &options.dir, &config(&listing, count, rng), &parts())?;
    let start_cpu = process.cpu()?;
    let asked = listing.asked_first().unwrap_or(process.ready);
    let ready = process.ready.saturating_duration_since(asked);
    sleep(SETTLE);
    listing.late.take_ms();

    let (from, cpu, traffic) = (Instant::now(), process.cpu()?, listing.traffic());
    sleep(rest);
    let (lasted, cpu) = (from.elapsed().as_secs_f64(), process.cpu()? - cpu);
    let idle = cpu.as_secs_f64() / lasted;
    let at_rest = listing.traffic();
    let memory = process.status("VmRSS")?;

    let (from, cpu) = (Instant::now(), process.cpu()?);
    for nth in 1..=changes {
        let number = rng.next_u32() as usize % count;
        listing.change(&[number], |endpoint| {
            (endpoint.address, endpoint.since_ms) = (place(number, nth as usize, PORT), now_ms());
        });
        sleep((from + CHANGE_EVERY * nth).saturating_duration_since(Instant::now()));
    }
    let (changing, cpu) = (from.elapsed().as_secs_f64(), process.cpu()? - cpu);
    let told = listing.traffic();
    let n = f64::from(changes);
    Ok(figures([
        ("memory_mb", memory),
        ("memory_peak_mb", process.status("VmHWM")?),
        ("idle_core_share", idle),
        ("change_cpu_ms", (cpu.as_secs_f64() - idle * changing) * 1e3 / n),
        ("down_bytes_s", (at_rest.down_bytes - traffic.down_bytes) as f64 / lasted),
        ("up_bytes_s", (at_rest.up_bytes - traffic.up_bytes) as f64 / lasted),
        ("calls_s", (at_rest.calls - traffic.calls) as f64 / lasted),
        ("change_down_bytes", (told.down_bytes - at_rest.down_bytes) as f64 / n),
        ("change_answers", (told.told - at_rest.told) as f64 / n),
        ("connections", told.connections as f64),
        ("whole_list_bytes", whole as f64),
        ("start_cpu_ms", start_cpu.as_secs_f64() * 1e3),
        ("ready_ms", ready.as_secs_f64() * 1e3),
        ("threads", process.status("Threads")?),
        ("descriptors", process.descriptors()? as f64),
        ("late_ms_p99", listing.late.take_ms()),
    ]))
}
