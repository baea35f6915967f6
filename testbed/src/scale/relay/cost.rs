//! What one relay costs: by its watchers, by those whom a change does not concern, by the length of the list, and by how
//! much changes at once.

use std::thread::sleep;
use std::time::{Duration, Instant};

use rand_core::Rng;
use rand_pcg::Pcg32;

use super::super::law::{ENDPOINTS, SERVICES};
use super::super::real::{figures, made};
use super::process::Relay;
use super::watchers::Watchers;
use super::{
    Change, Figures, IN_FORCE_WITHIN, InForce, LOOK_EVERY, Options, ScaleError, Setting, Used, Window, fixed,
    late, per, plans, seconds, settled,
};
use crate::scale::Run;

/// Quiet windows and windows with changes take turns, so that what else the machine does falls on both.
const TURNS: usize = 3;
const WINDOW: Duration = Duration::from_millis(1_500);

const CHANGE: (&str, &str) = (
    "change",
    "one endpoint has a new process, address and since_ms; 3 windows of 1.5 s with changes at equal times take turns with 3 \
     quiet ones; change_cpu is what is used more in those with changes",
);

/// A relay with watchers that have their lists.
struct Scene<'a> {
    setting: &'a mut Setting,
    relay: Relay,
    /// By watcher, whose client proxy it is.
    callers: Vec<usize>,
    watchers: Watchers,
}

impl<'a> Scene<'a> {
    fn start(
        setting: &'a mut Setting,
        callers: Vec<usize>,
        seed: u64,
        rng: &mut Pcg32,
    ) -> Result<Scene<'a>, ScaleError> {
        let relay = setting.relay(None, false)?;
        let (watchers, _) = settled(&plans(&callers, &[relay.process.address], &[], rng), seed)?;
        setting.listing.late.take_ms();
        Ok(Scene { setting, relay, callers, watchers })
    }

    fn used(&self) -> Result<Used, ScaleError> {
        Used::by_now(&self.relay, &self.watchers)
    }

    /// Changes of one endpoint each, so many a second, in turns with nothing at all.
    fn with_changes(
        &mut self,
        rate: f64,
        mut which: impl FnMut(&Setting) -> usize,
    ) -> Result<Figures, ScaleError> {
        let (mut quiet, mut busy) = (Window::default(), Window::default());
        let mut changes = Vec::new();
        for _ in 0..TURNS {
            let from = self.used()?;
            sleep(WINDOW);
            let between = self.used()?;
            quiet.add(&from, &between);
            let count = (rate * WINDOW.as_secs_f64()).round() as u32;
            for nth in 0..count {
                sleep((between.at + WINDOW * nth / count).saturating_duration_since(Instant::now()));
                let number = which(self.setting);
                changes.push(self.setting.change(&[number]));
            }
            sleep((between.at + WINDOW).saturating_duration_since(Instant::now()));
            // What the last one costs is used by then.
            sleep(LOOK_EVERY);
            busy.add(&between, &self.used()?);
        }
        let seen = self.in_force(&changes);
        let more = busy.cpu_s - quiet.share() * busy.seconds;
        let (n, each) = (changes.len() as f64, self.callers.len() as f64);
        let own = [
            ("memory_mb", self.relay.process.status("VmRSS")?),
            ("descriptors", self.relay.process.descriptors()? as f64),
            ("idle_core_share", quiet.share()),
            ("calls_s", quiet.calls / quiet.seconds),
            ("call_cpu_us", per(quiet.cpu_s * 1e6, quiet.calls)),
            ("down_bytes_s", per(quiet.down_bytes / quiet.seconds, each)),
            ("up_bytes_s", per(quiet.up_bytes / quiet.seconds, each)),
            ("change_cpu_us", more * 1e6 / n),
            ("change_cpu_ms", more * 1e3 / n),
            ("change_cpu_us_concerned", per(more * 1e6, seen.concerned as f64)),
            ("concerned", seen.concerned as f64 / n),
            ("changing_core_share", busy.share()),
        ];
        Ok(figures(own.into_iter().chain(seen.figures()).chain(self.ends())))
    }

    /// What was seen of these changes, once all have come to whom they concern.
    fn in_force(&self, changes: &[Change]) -> InForce {
        let (began, mut answers) = (Instant::now(), Vec::new());
        loop {
            sleep(Duration::from_millis(300));
            answers.extend(self.watchers.take());
            let seen = InForce::of(self.setting, changes, &self.callers, &answers, |_| true);
            if seen.seen.len() == seen.concerned as u64 || began.elapsed() > IN_FORCE_WITHIN {
                return seen;
            }
        }
    }

    /// How the testbed and the calls fared.
    fn ends(&self) -> [(&'static str, f64); 4] {
        let totals = self.watchers.totals();
        [
            late(self.setting, &self.watchers),
            ("refused", totals.refused as f64),
            ("failed", totals.failed as f64),
            ("doubted", totals.doubted as f64),
        ]
    }
}

const WATCHERS: [f64; 6] = [100.0, 300.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0];
const CHANGES_A_SECOND: f64 = 20.0;

/// A relay by its watchers.
///
/// # Errors
/// Where it cannot be set up.
pub fn by_watchers(options: &Options) -> Result<Run, ScaleError> {
    watchers_run(options, &WATCHERS, ENDPOINTS as usize)
}

pub(super) fn watchers_run(options: &Options, axis: &[f64], endpoints: usize) -> Result<Run, ScaleError> {
    let fixed = fixed(&[
        CHANGE,
        ("changes", "20 a second, each of an endpoint by chance"),
        (
            "figures",
            "down_bytes_s and up_bytes_s are of one watcher, in the quiet windows; the others of the relay",
        ),
        ("call_cpu_us", "all that the relay uses in the quiet windows, by the calls that waited in vain"),
    ]);
    made("relay-watchers", "watchers of one relay", options, fixed, axis, |x, rng| {
        let mut setting = Setting::open(options, endpoints, rng)?;
        let callers = setting.callers(x as usize, rng);
        let mut scene = Scene::start(&mut setting, callers, options.seed, rng)?;
        scene.with_changes(CHANGES_A_SECOND, |setting| setting.any(rng))
    })
}

const UNCONCERNED: [f64; 5] = [0.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0];
const CONCERNED: usize = 40;
const SCOPES: usize = 10;
const SERVICE_CHANGES_A_SECOND: f64 = 50.0;

/// A relay by the watchers whom its changes do not concern.
///
/// # Errors
/// Where it cannot be set up.
pub fn by_unconcerned(options: &Options) -> Result<Run, ScaleError> {
    let fixed = fixed(&[
        CHANGE,
        ("changes", "50 a second, all of one service's endpoints"),
        ("concerned", "40 watchers of 10 scopes that hold the service"),
    ]);
    let axis = "watchers whom no change concerns";
    made("relay-unconcerned", axis, options, fixed, &UNCONCERNED, |x, rng| {
        let mut setting = Setting::open(options, ENDPOINTS as usize, rng)?;
        let (service, calling) = loop {
            let service = rng.next_u32() as usize % SERVICES;
            let calls = |caller: &usize| setting.fleet.calls[*caller].contains(&service);
            let calling: Vec<usize> = (0..SERVICES).filter(calls).collect();
            if calling.len() >= SCOPES {
                break (service, calling);
            }
        };
        let mut callers: Vec<usize> = (0..CONCERNED).map(|n| calling[n % SCOPES]).collect();
        while callers.len() < CONCERNED + x as usize {
            let drawn = setting.callers(CONCERNED + x as usize - callers.len(), rng);
            callers.extend(drawn.iter().filter(|&caller| !calling.contains(caller)));
        }
        let endpoints: Vec<usize> =
            (0..setting.service.len()).filter(|&number| setting.service[number] == service).collect();
        let mut scene = Scene::start(&mut setting, callers, options.seed, rng)?;
        scene.with_changes(SERVICE_CHANGES_A_SECOND, |_| endpoints[rng.next_u32() as usize % endpoints.len()])
    })
}

const LISTED: [f64; 5] = [200.0, 1_000.0, 4_000.0, 10_000.0, 36_000.0];
const FEW: usize = 40;

/// A relay by the length of the list.
///
/// # Errors
/// Where it cannot be set up.
pub fn by_endpoints(options: &Options) -> Result<Run, ScaleError> {
    let fixed = fixed(&[
        CHANGE,
        ("changes", "20 a second, each of an endpoint by chance"),
        ("watchers_count", "40"),
        ("endpoints", "of the fleet's list every so-manieth; the scopes are those of the whole fleet"),
        ("start", "from the start of the process until a call for a scope is answered; asked every 5 ms"),
    ]);
    made("relay-endpoints", "endpoints in the list", options, fixed, &LISTED, |x, rng| {
        let mut setting = Setting::open(options, x as usize, rng)?;
        let relay = setting.relay(None, false)?;
        let start = [
            ("start_ms", relay.start.as_secs_f64() * 1e3),
            ("start_cpu_ms", relay.process.cpu()?.as_secs_f64() * 1e3),
            ("start_memory_mb", relay.process.status("VmRSS")?),
            ("list_mb", setting.listing.whole_bytes() as f64 / 1e6),
        ];
        drop(relay);
        let callers = setting.callers(FEW, rng);
        let mut scene = Scene::start(&mut setting, callers, options.seed, rng)?;
        let mut found = scene.with_changes(CHANGES_A_SECOND, |setting| setting.any(rng))?;
        found.extend(figures(start));
        Ok(found)
    })
}

const BURSTS: [f64; 3] = [1.0, 340.0, 4_000.0];
const BURST_WATCHERS: usize = 2_000;
const TIMES: usize = 4;
/// Quiet times of this length and bursts take turns.
const BURST_LASTS: f64 = 1.8;

/// A relay by what changes at once.
///
/// # Errors
/// Where it cannot be set up.
pub fn burst(options: &Options) -> Result<Run, ScaleError> {
    let fixed = fixed(&[
        ("watchers_count", "2,000"),
        ("bursts", "4 of each, 1.8 s after 1.8 quiet s; 1 and 340 are by chance, 4,000 are all of one zone"),
        ("cpu_ms", "what the relay used more in the 1.8 s after a burst than in the quiet ones, by bursts"),
        ("down_bytes_watcher", "of one watcher in the 1.8 s after, with its calls that wait in vain"),
    ]);
    made("relay-burst", "endpoints that change at once", options, fixed, &BURSTS, |x, rng| {
        let mut setting = Setting::open(options, ENDPOINTS as usize, rng)?;
        let callers = setting.callers(BURST_WATCHERS, rng);
        let scene = Scene::start(&mut setting, callers, options.seed, rng)?;
        let (mut quiet, mut busy, mut changes) = (Window::default(), Window::default(), Vec::new());
        let (mut down, mut worst) = (0.0, 0);
        for nth in 0..TIMES {
            let numbers: Vec<usize> = if x as usize == 4_000 {
                // Endpoints go round the zones.
                (0..4_000).map(|n| n * 9 + nth % 9).collect()
            } else {
                (0..x as usize).map(|_| scene.setting.any(rng)).collect()
            };
            let from = scene.used()?;
            sleep(seconds(BURST_LASTS));
            let before = scene.watchers.down_each();
            quiet.add(&from, &scene.used()?);
            let from = scene.used()?;
            changes.push(scene.setting.change(&numbers));
            sleep(seconds(BURST_LASTS));
            busy.add(&from, &scene.used()?);
            let got = scene.watchers.down_each().into_iter().zip(before).map(|(now, before)| now - before);
            let got: Vec<u64> = got.collect();
            worst = worst.max(got.iter().copied().max().unwrap_or(0));
            down += got.iter().sum::<u64>() as f64 / got.len() as f64;
        }
        let seen = scene.in_force(&changes);
        let n = TIMES as f64;
        let own = [
            ("cpu_ms", (busy.cpu_s - quiet.share() * busy.seconds) * 1e3 / n),
            ("idle_core_share", quiet.share()),
            ("down_bytes_watcher", down / n),
            ("down_bytes_watcher_max", worst as f64),
            (
                "quiet_down_bytes_watcher",
                quiet.down_bytes / quiet.seconds * BURST_LASTS / BURST_WATCHERS as f64,
            ),
            ("concerned", seen.concerned as f64 / n),
            ("memory_mb", scene.relay.process.status("VmRSS")?),
            ("memory_peak_mb", scene.relay.process.status("VmHWM")?),
        ];
        Ok(figures(own.into_iter().chain(seen.figures()).chain(scene.ends())))
    })
}
