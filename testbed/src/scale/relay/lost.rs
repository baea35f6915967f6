//! Several relays: how a change comes through two of them, what becomes of the watchers of one that is lost, and how one
//! serves all who come at once.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use rand_pcg::Pcg32;
use rustix::process::Signal;

use super::super::law::ENDPOINTS;
use super::super::real::{figures, made};
use super::process::Relay;
use super::watchers::{Answer, Plan, Watchers};
use super::{
    Figures, InForce, Options, ScaleError, Setting, fixed, late, ms, plans, scope_name, seconds, settled,
    wait_until,
};
use crate::chance::{exponential, uniform};
use crate::ledger::microseconds;
use crate::scale::Run;

const HOPS: [f64; 2] = [1.0, 2.0];
const HOPS_WATCHERS: usize = 1_000;
const HOPS_CHANGES: usize = 80;
const HOPS_CHANGES_A_SECOND: f64 = 10.0;

/// When a change is in force behind one relay, and behind two.
///
/// # Errors
/// Where it cannot be set up.
pub fn hops(options: &Options) -> Result<Run, ScaleError> {
    let fixed = fixed(&[
        ("hops", "relays between discovery and a watcher; the upper one of two is asked for the whole list"),
        ("watchers_count", "1,000"),
        ("changes", "80, each of an endpoint by chance, 10 a second at times by chance"),
    ]);
    made("relay-hops", "relays between discovery and a watcher", options, fixed, &HOPS, |x, rng| {
        let mut setting = Setting::open(options, ENDPOINTS as usize, rng)?;
        let mut chain: Vec<Relay> = Vec::new();
        for hop in 0..x as usize {
            let above = chain.last().map(|relay| relay.process.address);
            let last = hop + 1 == x as usize;
            chain.push(setting.relay(above, !last)?);
        }
        let near: Vec<SocketAddr> = chain.last().map(|relay| relay.process.address).into_iter().collect();
        let callers = setting.callers(HOPS_WATCHERS, rng);
        let (watchers, _) = settled(&plans(&callers, &near, &[], rng), options.seed)?;
        setting.listing.late.take_ms();
        let mut changes = Vec::new();
        for _ in 0..HOPS_CHANGES {
            let number = setting.any(rng);
            changes.push(setting.change(&[number]));
            sleep(seconds(exponential(rng) / HOPS_CHANGES_A_SECOND));
        }
        sleep(Duration::from_secs(1));
        let seen = InForce::of(&setting, &changes, &callers, &watchers.take(), |_| true);
        Ok(figures(seen.figures().into_iter().chain([late(&setting, &watchers)])))
    })
}

/// How a relay is lost.
const WAYS: [(&str, Signal); 3] =
    [("killed", Signal::KILL), ("stopped", Signal::STOP), ("terminated", Signal::TERM)];
const LOST_WATCHERS: [f64; 3] = [500.0, 2_000.0, 4_000.0];
/// The change is made so long after the relay was lost, and is of so many endpoints.
const CHANGED_AFTER: Duration = Duration::from_millis(100);
const CHANGED: usize = 100;
const LOOKED_AT: u32 = 10;

/// What becomes of the watchers of a relay that is lost.
///
/// # Errors
/// Where it cannot be set up.
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
    made("relay-lost", "watchers of two near relays together", options, fixed, axis, |x, rng| {
        let mut all = Figures::new();
        for (way, signal) in WAYS {
            let found = lose(options, x as usize, endpoints, signal, rng)?;
            let late = found.get("late_ms_p99").copied().unwrap_or(0.0);
            let late = all.get("late_ms_p99").map_or(late, |known: &f64| known.max(late));
            all.extend(found.into_iter().map(|(name, figure)| (format!("{name}_{way}"), figure)));
            all.insert("late_ms_p99".to_owned(), late);
        }
        Ok(all)
    })
}

fn lose(
    options: &Options,
    count: usize,
    endpoints: usize,
    signal: Signal,
    rng: &mut Pcg32,
) -> Result<Figures, ScaleError> {
    let mut setting = Setting::open(options, endpoints, rng)?;
    let [gone, other, far] =
        [setting.relay(None, false)?, setting.relay(None, false)?, setting.relay(None, false)?];
    let near = [gone.process.address, other.process.address];
    let callers = setting.callers(count, rng);
    let (watchers, before) = settled(&plans(&callers, &near, &[far.process.address], rng), options.seed)?;
    setting.listing.late.take_ms();
    let at_gone = whose(&before, callers.len(), gone.process.address);
    let numbers: Vec<usize> = (0..CHANGED).map(|_| setting.any(rng)).collect();
    let (down, cpu) = (watchers.down_each(), other.process.cpu()?);
    let at = Instant::now();
    gone.signal(signal)?;
    sleep(CHANGED_AFTER);
    let change = [setting.change(&numbers)];
    let (mut used, mut busiest) = (cpu, 0.0_f64);
    for second in 1..=LOOKED_AT {
        sleep((at + Duration::from_secs(1) * second).saturating_duration_since(Instant::now()));
        let now = other.process.cpu()?;
        busiest = busiest.max((now - used).as_secs_f64());
        used = now;
    }
    let answers = watchers.take();
    let got: Vec<u64> = watchers.down_each().iter().zip(down).map(|(now, before)| now - before).collect();
    let mut moved = microseconds();
    let mut first: Vec<Option<Instant>> = vec![None; callers.len()];
    for answer in answers.iter().filter(|answer| answer.relay != gone.process.address) {
        first[answer.watcher].get_or_insert(answer.at);
    }
    let (mut unmoved, mut lost_count, mut lost_bytes) = (0, 0, 0);
    for watcher in (0..callers.len()).filter(|&watcher| at_gone[watcher]) {
        lost_count += 1;
        lost_bytes += got[watcher];
        match first[watcher] {
            Some(first) => moved.saturating_record(first.saturating_duration_since(at).as_micros() as u64),
            None => unmoved += 1,
        }
    }
    let last_at_far = whose(&answers, callers.len(), far.process.address);
    let to_far = (0..callers.len()).filter(|&watcher| at_gone[watcher] && last_at_far[watcher]).count();
    let of_lost = InForce::of(&setting, &change, &callers, &answers, |watcher| at_gone[watcher]);
    let seen = InForce::of(&setting, &change, &callers, &answers, |_| true);
    let totals = watchers.totals();
    let own = [
        ("lost", f64::from(lost_count)),
        ("moved_ms_p50", ms(&moved, 0.5)),
        ("moved_ms_p99", ms(&moved, 0.99)),
        ("moved_ms_max", moved.max() as f64 / 1e3),
        ("unmoved", f64::from(unmoved)),
        ("to_far", to_far as f64),
        ("in_force_lost_ms_p50", ms(&of_lost.seen, 0.5)),
        ("in_force_lost_ms_p99", ms(&of_lost.seen, 0.99)),
        ("down_bytes_watcher", lost_bytes as f64 / f64::from(lost_count).max(1.0)),
        ("down_bytes_watcher_max", got.iter().copied().max().unwrap_or(0) as f64),
        ("other_core_share", (used - cpu).as_secs_f64() / at.elapsed().as_secs_f64()),
        ("other_core_share_max", busiest),
        ("refused", totals.refused as f64),
        ("failed", totals.failed as f64),
        ("doubted", totals.doubted as f64),
        late(&setting, &watchers),
    ];
    Ok(figures(own.into_iter().chain(seen.figures())))
}

/// By watcher, whether its last answer that was noted came from this relay: each first one of a relay is.
fn whose(answers: &[Answer], watchers: usize, relay: SocketAddr) -> Vec<bool> {
    let mut last = vec![false; watchers];
    answers.iter().for_each(|answer| last[answer.watcher] = answer.relay == relay);
    last
}

const RETURNING: [f64; 4] = [500.0, 1_000.0, 2_000.0, 4_000.0];
/// Who has nobody to ask comes back after a pause of up to this, by chance.
const RETURN_WITHIN: Duration = Duration::from_millis(1_500);
/// Against hanging only.
const SERVED_WITHIN: Duration = Duration::from_secs(60);

/// How one relay serves all who come at once and hold nothing.
///
/// # Errors
/// Where it cannot be set up.
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
    made("relay-return", "watchers that come at once", options, fixed, &RETURNING, |x, rng| {
        let mut setting = Setting::open(options, ENDPOINTS as usize, rng)?;
        let relay = setting.relay(None, false)?;
        let callers = setting.callers(x as usize, rng);
        let mut plan = |&caller: &usize| Plan {
            scope: scope_name(caller),
            near: vec![relay.process.address],
            far: Vec::new(),
            begins: RETURN_WITHIN.mul_f64(uniform(rng)),
        };
        let plans: Vec<Plan> = callers.iter().map(&mut plan).collect();
        let cpu = relay.process.cpu()?;
        setting.listing.late.take_ms();
        let watchers = Watchers::start(&plans, 1, options.seed);
        wait_until(SERVED_WITHIN, || watchers.all_answered())?;
        let cpu = relay.process.cpu()?.saturating_sub(cpu);
        let (mut served, mut own_time) = (microseconds(), microseconds());
        // One that is late in noting its first answer is waited for.
        sleep(Duration::from_millis(100));
        let mut seen = vec![false; callers.len()];
        for answer in watchers.take().iter().filter(|answer| answer.whole) {
            if !std::mem::replace(&mut seen[answer.watcher], true) {
                let after = answer.at.saturating_duration_since(watchers.began);
                served.saturating_record(after.as_micros() as u64);
                let own = after.saturating_sub(plans[answer.watcher].begins);
                own_time.saturating_record(own.as_micros() as u64);
            }
        }
        let totals = watchers.totals();
        let own = [
            ("served", served.len() as f64),
            ("served_ms_p50", ms(&served, 0.5)),
            ("served_ms_p99", ms(&served, 0.99)),
            ("served_ms_max", served.max() as f64 / 1e3),
            ("own_ms_p50", ms(&own_time, 0.5)),
            ("own_ms_p99", ms(&own_time, 0.99)),
            ("own_ms_max", own_time.max() as f64 / 1e3),
            ("refused", totals.refused as f64),
            ("failed", totals.failed as f64),
            ("cpu_ms", cpu.as_secs_f64() * 1e3),
            ("down_bytes_watcher", totals.down_bytes as f64 / x),
            ("memory_mb", relay.process.status("VmRSS")?),
            ("memory_peak_mb", relay.process.status("VmHWM")?),
            late(&setting, &watchers),
        ];
        Ok(figures(own))
    })
}
