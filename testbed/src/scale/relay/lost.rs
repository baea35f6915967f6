//! Runs with several relays or many new watchers: propagation of a change through two relays, failover of the
//! watchers of a failed relay, and a relay whose watchers all connect at once.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use rand_pcg::Pcg32;
use rustix::process::Signal;

use super::super::law::ENDPOINTS;
use super::super::real::{figures, run_points};
use super::process::Relay;
use super::watchers::{WatcherPlan, WatcherResponse, Watchers};
use super::{
    Environment, Figures, InForce, Options, ScaleError, fixed, plans, quantile_ms, scope_name, seconds,
    start_watchers, timer_delay_figure, wait_until,
};
use crate::chance::{exponential, uniform};
use crate::ledger::microseconds;
use crate::scale::Run;

const HOPS: [f64; 2] = [1.0, 2.0];
const HOPS_WATCHERS: usize = 1_000;
const HOPS_CHANGES: usize = 80;
const HOPS_CHANGES_PER_SECOND: f64 = 10.0;

/// The run `relay-hops`: the time until a change is in force behind one relay, and behind two.
///
/// # Errors
/// If the run cannot be set up.
pub fn hops(options: &Options) -> Result<Run, ScaleError> {
    let fixed = fixed(&[
        ("hops", "relays between discovery and a watcher; the upper one of two is asked for the whole list"),
        ("watchers_count", "1,000"),
        ("changes", "80, each of an endpoint by chance, 10 a second at times by chance"),
    ]);
    run_points("relay-hops", "relays between discovery and a watcher", options, fixed, &HOPS, |x, rng| {
        let mut environment = Environment::open(options, ENDPOINTS as usize, rng)?;
        let mut chain: Vec<Relay> = Vec::new();
        for hop in 0..x as usize {
            let above = chain.last().map(|relay| relay.process.address);
            let last = hop + 1 == x as usize;
            chain.push(environment.relay(above, !last)?);
        }
        let near: Vec<SocketAddr> = chain.last().map(|relay| relay.process.address).into_iter().collect();
        let callers = environment.callers(HOPS_WATCHERS, rng);
        let (watchers, _) = start_watchers(&plans(&callers, &near, &[], rng), options.seed)?;
        environment.listing.timer_delay.take_ms();
        let mut changes = Vec::new();
        for _ in 0..HOPS_CHANGES {
            let number = environment.random_endpoint(rng);
            changes.push(environment.change(&[number]));
            sleep(seconds(exponential(rng) / HOPS_CHANGES_PER_SECOND));
        }
        sleep(Duration::from_secs(1));
        let in_force = InForce::of(&environment, &changes, &callers, &watchers.take(), |_| true);
        Ok(figures(in_force.figures().into_iter().chain([timer_delay_figure(&environment, &watchers)])))
    })
}

/// The ways in which a relay fails.
const FAILURES: [(&str, Signal); 3] =
    [("killed", Signal::KILL), ("stopped", Signal::STOP), ("terminated", Signal::TERM)];
const LOST_WATCHERS: [f64; 3] = [500.0, 2_000.0, 4_000.0];
/// Delay of the change after the relay's failure.
const CHANGE_DELAY: Duration = Duration::from_millis(100);
/// Endpoints that change.
const CHANGED_ENDPOINTS: usize = 100;
const OBSERVED_SECONDS: u32 = 10;

/// The run `relay-lost`: the failover of the watchers of a failed relay.
///
/// # Errors
/// If the run cannot be set up.
pub fn lost(options: &Options) -> Result<Run, ScaleError> {
    lost_run(options, &LOST_WATCHERS, ENDPOINTS as usize)
}

pub(super) fn lost_run(options: &Options, axis: &[f64], endpoints: usize) -> Result<Run, ScaleError> {
    let fixed = fixed(&[
        (
            "relays",
            "two near ones, between which the watchers are spread by chance, and a far one, all below the stand-in of \
             discovery; one near one is lost",
        ),
        ("ways", "killed: SIGKILL; stopped: SIGSTOP, and it stays stopped; terminated: SIGTERM"),
        (
            "moved_ms",
            "from the signal until a watcher of the lost relay has read an answer of another one, waiting in vain or not",
        ),
        ("unmoved", "watchers of the lost relay without such an answer after 10 s"),
        (
            "in_force_ms",
            "of one change of 100 endpoints by chance, 100 ms after the signal; _lost: of watchers of the lost relay",
        ),
        (
            "other_core_share",
            "of the near relay that is left, in the 10 s after; _max: in the worst second of them",
        ),
        ("down_bytes_watcher", "in the 10 s after, of watchers of the lost relay; _max: of any watcher"),
        ("pause", "where all relays have failed in turn: by chance up to 1.5 s"),
    ]);
    run_points("relay-lost", "watchers of two near relays together", options, fixed, axis, |x, rng| {
        let mut all = Figures::new();
        for (way, signal) in FAILURES {
            let found = fail_relay(options, x as usize, endpoints, signal, rng)?;
            let delay_ms = found.get("late_ms_p99").copied().unwrap_or(0.0);
            let delay_ms = all.get("late_ms_p99").map_or(delay_ms, |previous: &f64| previous.max(delay_ms));
            all.extend(found.into_iter().map(|(name, figure)| (format!("{name}_{way}"), figure)));
            all.insert("late_ms_p99".to_owned(), delay_ms);
        }
        Ok(all)
    })
}

fn fail_relay(
    options: &Options,
    count: usize,
    endpoints: usize,
    signal: Signal,
    rng: &mut Pcg32,
) -> Result<Figures, ScaleError> {
    let mut environment = Environment::open(options, endpoints, rng)?;
    let [failed, other, far] =
        [environment.relay(None, false)?, environment.relay(None, false)?, environment.relay(None, false)?];
    let near = [failed.process.address, other.process.address];
    let callers = environment.callers(count, rng);
    let (watchers, before) =
        start_watchers(&plans(&callers, &near, &[far.process.address], rng), options.seed)?;
    environment.listing.timer_delay.take_ms();
    let at_failed = served_by(&before, callers.len(), failed.process.address);
    let numbers: Vec<usize> = (0..CHANGED_ENDPOINTS).map(|_| environment.random_endpoint(rng)).collect();
    let (down_before, cpu_before) = (watchers.down_bytes_each(), other.process.cpu()?);
    let at = Instant::now();
    failed.signal(signal)?;
    sleep(CHANGE_DELAY);
    let change = [environment.change(&numbers)];
    let (mut last_cpu, mut max_core_share) = (cpu_before, 0.0_f64);
    for second in 1..=OBSERVED_SECONDS {
        sleep((at + Duration::from_secs(1) * second).saturating_duration_since(Instant::now()));
        let now = other.process.cpu()?;
        max_core_share = max_core_share.max((now - last_cpu).as_secs_f64());
        last_cpu = now;
    }
    let responses = watchers.take();
    let received: Vec<u64> =
        watchers.down_bytes_each().iter().zip(down_before).map(|(now, before)| now - before).collect();
    let mut moved_us = microseconds();
    let mut first_at: Vec<Option<Instant>> = vec![None; callers.len()];
    for response in responses.iter().filter(|response| response.relay != failed.process.address) {
        first_at[response.watcher].get_or_insert(response.at);
    }
    let (mut unmoved, mut lost_watchers, mut lost_bytes) = (0, 0, 0);
    for watcher in (0..callers.len()).filter(|&watcher| at_failed[watcher]) {
        lost_watchers += 1;
        lost_bytes += received[watcher];
        match first_at[watcher] {
            Some(first) => moved_us.saturating_record(first.saturating_duration_since(at).as_micros() as u64),
            None => unmoved += 1,
        }
    }
    let last_at_far = served_by(&responses, callers.len(), far.process.address);
    let to_far = (0..callers.len()).filter(|&watcher| at_failed[watcher] && last_at_far[watcher]).count();
    let in_force_lost =
        InForce::of(&environment, &change, &callers, &responses, |watcher| at_failed[watcher]);
    let in_force = InForce::of(&environment, &change, &callers, &responses, |_| true);
    let totals = watchers.totals();
    let own_figures = [
        ("lost", f64::from(lost_watchers)),
        ("moved_ms_p50", quantile_ms(&moved_us, 0.5)),
        ("moved_ms_p99", quantile_ms(&moved_us, 0.99)),
        ("moved_ms_max", moved_us.max() as f64 / 1e3),
        ("unmoved", f64::from(unmoved)),
        ("to_far", to_far as f64),
        ("in_force_lost_ms_p50", quantile_ms(&in_force_lost.delay_us, 0.5)),
        ("in_force_lost_ms_p99", quantile_ms(&in_force_lost.delay_us, 0.99)),
        ("down_bytes_watcher", lost_bytes as f64 / f64::from(lost_watchers).max(1.0)),
        ("down_bytes_watcher_max", received.iter().copied().max().unwrap_or(0) as f64),
        ("other_core_share", (last_cpu - cpu_before).as_secs_f64() / at.elapsed().as_secs_f64()),
        ("other_core_share_max", max_core_share),
        ("refused", totals.status_503 as f64),
        ("failed", totals.failed as f64),
        ("doubted", totals.rejected as f64),
        timer_delay_figure(&environment, &watchers),
    ];
    Ok(figures(own_figures.into_iter().chain(in_force.figures())))
}

/// For each watcher, whether its last recorded response came from this relay. The first response after a
/// change of the relay is always recorded.
fn served_by(responses: &[WatcherResponse], watchers: usize, relay: SocketAddr) -> Vec<bool> {
    let mut last = vec![false; watchers];
    responses.iter().for_each(|response| last[response.watcher] = response.relay == relay);
    last
}

const RECONNECTING_WATCHERS: [f64; 4] = [500.0, 1_000.0, 2_000.0, 4_000.0];
/// A client proxy without a working relay reconnects after a random backoff of up to this.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(1_500);
/// Only a safeguard against a run that hangs.
const SERVED_TIMEOUT: Duration = Duration::from_secs(60);

/// The run `relay-return`: one relay and watchers without a list that all connect at once.
///
/// # Errors
/// If the run cannot be set up.
pub fn returning(options: &Options) -> Result<Run, ScaleError> {
    let fixed = fixed(&[
        (
            "return",
            "all come without a version, at one relay, and have no other one; each at a time by chance within 1.5 s, which is \
             the pause that a client proxy makes by chance while nobody answers",
        ),
        ("served_ms", "from the first moment of these 1.5 s until each has read the whole list of its scope"),
        ("own_ms", "the same from each one's own beginning"),
        ("pause", "after a call that was refused or failed: by chance up to 1.5 s"),
        ("cpu_ms", "what the relay used until all were served"),
    ]);
    run_points(
        "relay-return",
        "watchers that come at once",
        options,
        fixed,
        &RECONNECTING_WATCHERS,
        |x, rng| {
            let mut environment = Environment::open(options, ENDPOINTS as usize, rng)?;
            let relay = environment.relay(None, false)?;
            let callers = environment.callers(x as usize, rng);
            let mut plan = |&caller: &usize| WatcherPlan {
                scope: scope_name(caller),
                near: vec![relay.process.address],
                far: Vec::new(),
                start_delay: MAX_RECONNECT_DELAY.mul_f64(uniform(rng)),
            };
            let plans: Vec<WatcherPlan> = callers.iter().map(&mut plan).collect();
            let cpu = relay.process.cpu()?;
            environment.listing.timer_delay.take_ms();
            let watchers = Watchers::start(&plans, 1, options.seed);
            wait_until(SERVED_TIMEOUT, || watchers.all_have_response())?;
            let cpu = relay.process.cpu()?.saturating_sub(cpu);
            let (mut served_us, mut own_us) = (microseconds(), microseconds());
            // A watcher counts its first response shortly before it records it.
            sleep(Duration::from_millis(100));
            let mut has_list = vec![false; callers.len()];
            for response in watchers.take().iter().filter(|response| response.full_snapshot) {
                if !std::mem::replace(&mut has_list[response.watcher], true) {
                    let since_start = response.at.saturating_duration_since(watchers.started);
                    served_us.saturating_record(since_start.as_micros() as u64);
                    let since_own_start = since_start.saturating_sub(plans[response.watcher].start_delay);
                    own_us.saturating_record(since_own_start.as_micros() as u64);
                }
            }
            let totals = watchers.totals();
            let own_figures = [
                ("served", served_us.len() as f64),
                ("served_ms_p50", quantile_ms(&served_us, 0.5)),
                ("served_ms_p99", quantile_ms(&served_us, 0.99)),
                ("served_ms_max", served_us.max() as f64 / 1e3),
                ("own_ms_p50", quantile_ms(&own_us, 0.5)),
                ("own_ms_p99", quantile_ms(&own_us, 0.99)),
                ("own_ms_max", own_us.max() as f64 / 1e3),
                ("refused", totals.status_503 as f64),
                ("failed", totals.failed as f64),
                ("cpu_ms", cpu.as_secs_f64() * 1e3),
                ("down_bytes_watcher", totals.down_bytes as f64 / x),
                ("memory_mb", relay.process.status("VmRSS")?),
                ("memory_peak_mb", relay.process.status("VmHWM")?),
                timer_delay_figure(&environment, &watchers),
            ];
            Ok(figures(own_figures))
        },
    )
}
