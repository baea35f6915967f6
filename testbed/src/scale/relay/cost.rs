//! The cost of one relay by number of watchers, by watchers that no change concerns, by length of the list,
//! and by number of endpoints that change at once.

use std::thread::sleep;
use std::time::{Duration, Instant};

use rand_core::Rng;
use rand_pcg::Pcg32;

use super::super::law::{ENDPOINTS, SERVICES};
use super::super::real::{figures, run_points};
use super::process::Relay;
use super::watchers::Watchers;
use super::{
    CHECK_INTERVAL, Change, Environment, Figures, IN_FORCE_TIMEOUT, InForce, Options, ScaleError, Usage,
    Window, fixed, plans, ratio, seconds, start_watchers, timer_delay_figure,
};
use crate::scale::Run;

/// Windows without and with changes alternate, so that other load on the machine affects both.
const WINDOW_PAIRS: usize = 3;
const WINDOW: Duration = Duration::from_millis(1_500);

const CHANGE: (&str, &str) = (
    "change",
    "one endpoint has a new process, address and since_ms; 3 windows of 1.5 s with changes at equal times take turns with 3 \
     quiet ones; change_cpu is what is used more in those with changes",
);

/// A relay whose watchers have their lists.
struct LoadedRelay<'a> {
    environment: &'a mut Environment,
    relay: Relay,
    /// For each watcher, the service of the client proxy that it stands for.
    callers: Vec<usize>,
    watchers: Watchers,
}

impl<'a> LoadedRelay<'a> {
    fn start(
        environment: &'a mut Environment,
        callers: Vec<usize>,
        seed: u64,
        rng: &mut Pcg32,
    ) -> Result<LoadedRelay<'a>, ScaleError> {
        let relay = environment.relay(None, false)?;
        let (watchers, _) = start_watchers(&plans(&callers, &[relay.process.address], &[], rng), seed)?;
        environment.listing.timer_delay.take_ms();
        Ok(LoadedRelay { environment, relay, callers, watchers })
    }

    fn usage(&self) -> Result<Usage, ScaleError> {
        Usage::read(&self.relay, &self.watchers)
    }

    /// Measures windows with `rate` changes per second, of one endpoint each, alternating with windows
    /// without changes.
    fn measure_changes(
        &mut self,
        rate: f64,
        mut choose_endpoint: impl FnMut(&Environment) -> usize,
    ) -> Result<Figures, ScaleError> {
        let (mut quiet, mut busy) = (Window::default(), Window::default());
        let mut changes = Vec::new();
        for _ in 0..WINDOW_PAIRS {
            let from = self.usage()?;
            sleep(WINDOW);
            let between = self.usage()?;
            quiet.add(&from, &between);
            let count = (rate * WINDOW.as_secs_f64()).round() as u32;
            for nth in 0..count {
                sleep((between.at + WINDOW * nth / count).saturating_duration_since(Instant::now()));
                let number = choose_endpoint(self.environment);
                changes.push(self.environment.change(&[number]));
            }
            sleep((between.at + WINDOW).saturating_duration_since(Instant::now()));
            // The cost of the last change falls into this extra time.
            sleep(CHECK_INTERVAL);
            busy.add(&between, &self.usage()?);
        }
        let in_force = self.in_force(&changes);
        let change_cpu_s = busy.cpu_s - quiet.core_share() * busy.seconds;
        let (change_count, watcher_count) = (changes.len() as f64, self.callers.len() as f64);
        let own_figures = [
            ("memory_mb", self.relay.process.status("VmRSS")?),
            ("descriptors", self.relay.process.descriptors()? as f64),
            ("idle_core_share", quiet.core_share()),
            ("calls_s", quiet.polls / quiet.seconds),
            ("call_cpu_us", ratio(quiet.cpu_s * 1e6, quiet.polls)),
            ("down_bytes_s", ratio(quiet.down_bytes / quiet.seconds, watcher_count)),
            ("up_bytes_s", ratio(quiet.up_bytes / quiet.seconds, watcher_count)),
            ("change_cpu_us", change_cpu_s * 1e6 / change_count),
            ("change_cpu_ms", change_cpu_s * 1e3 / change_count),
            ("change_cpu_us_concerned", ratio(change_cpu_s * 1e6, in_force.concerned as f64)),
            ("concerned", in_force.concerned as f64 / change_count),
            ("changing_core_share", busy.core_share()),
        ];
        Ok(figures(own_figures.into_iter().chain(in_force.figures()).chain(self.validity_figures())))
    }

    /// Waits until these changes have reached all watchers that they concern, or for [`IN_FORCE_TIMEOUT`].
    fn in_force(&self, changes: &[Change]) -> InForce {
        let (started, mut responses) = (Instant::now(), Vec::new());
        loop {
            sleep(Duration::from_millis(300));
            responses.extend(self.watchers.take());
            let in_force = InForce::of(self.environment, changes, &self.callers, &responses, |_| true);
            if in_force.delay_us.len() == in_force.concerned as u64 || started.elapsed() > IN_FORCE_TIMEOUT {
                return in_force;
            }
        }
    }

    /// Figures of the testbed's delay and of failed polls.
    fn validity_figures(&self) -> [(&'static str, f64); 4] {
        let totals = self.watchers.totals();
        [
            timer_delay_figure(self.environment, &self.watchers),
            ("refused", totals.status_503 as f64),
            ("failed", totals.failed as f64),
            ("doubted", totals.rejected as f64),
        ]
    }
}

const WATCHERS: [f64; 6] = [100.0, 300.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0];
const CHANGES_PER_SECOND: f64 = 20.0;

/// The run `relay-watchers`: the cost of a relay by number of watchers.
///
/// # Errors
/// If the run cannot be set up.
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
    run_points("relay-watchers", "watchers of one relay", options, fixed, axis, |x, rng| {
        let mut environment = Environment::open(options, endpoints, rng)?;
        let callers = environment.callers(x as usize, rng);
        let mut loaded = LoadedRelay::start(&mut environment, callers, options.seed, rng)?;
        loaded.measure_changes(CHANGES_PER_SECOND, |environment| environment.random_endpoint(rng))
    })
}

const UNCONCERNED: [f64; 5] = [0.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0];
const CONCERNED_WATCHERS: usize = 40;
const CONCERNED_SCOPES: usize = 10;
const SERVICE_CHANGES_PER_SECOND: f64 = 50.0;

/// The run `relay-unconcerned`: the cost of a relay by number of watchers that no change concerns.
///
/// # Errors
/// If the run cannot be set up.
pub fn by_unconcerned(options: &Options) -> Result<Run, ScaleError> {
    let fixed = fixed(&[
        CHANGE,
        ("changes", "50 a second, all of one service's endpoints"),
        ("concerned", "40 watchers of 10 scopes that hold the service"),
    ]);
    let axis = "watchers whom no change concerns";
    run_points("relay-unconcerned", axis, options, fixed, &UNCONCERNED, |x, rng| {
        let mut environment = Environment::open(options, ENDPOINTS as usize, rng)?;
        let (service, calling_services) = loop {
            let service = rng.next_u32() as usize % SERVICES;
            let calls = |caller: &usize| environment.fleet.calls[*caller].contains(&service);
            let calling_services: Vec<usize> = (0..SERVICES).filter(calls).collect();
            if calling_services.len() >= CONCERNED_SCOPES {
                break (service, calling_services);
            }
        };
        let mut callers: Vec<usize> =
            (0..CONCERNED_WATCHERS).map(|n| calling_services[n % CONCERNED_SCOPES]).collect();
        while callers.len() < CONCERNED_WATCHERS + x as usize {
            let drawn = environment.callers(CONCERNED_WATCHERS + x as usize - callers.len(), rng);
            callers.extend(drawn.iter().filter(|&caller| !calling_services.contains(caller)));
        }
        let endpoints: Vec<usize> = (0..environment.services.len())
            .filter(|&number| environment.services[number] == service)
            .collect();
        let mut loaded = LoadedRelay::start(&mut environment, callers, options.seed, rng)?;
        loaded.measure_changes(SERVICE_CHANGES_PER_SECOND, |_| {
            endpoints[rng.next_u32() as usize % endpoints.len()]
        })
    })
}

const LIST_LENGTHS: [f64; 5] = [200.0, 1_000.0, 4_000.0, 10_000.0, 36_000.0];
const ENDPOINTS_RUN_WATCHERS: usize = 40;

/// The run `relay-endpoints`: the cost of a relay by length of the list.
///
/// # Errors
/// If the run cannot be set up.
pub fn by_endpoints(options: &Options) -> Result<Run, ScaleError> {
    let fixed = fixed(&[
        CHANGE,
        ("changes", "20 a second, each of an endpoint by chance"),
        ("watchers_count", "40"),
        ("endpoints", "of the fleet's list every so-manieth; the scopes are those of the whole fleet"),
        ("start", "from the start of the process until a call for a scope is answered; asked every 5 ms"),
    ]);
    run_points("relay-endpoints", "endpoints in the list", options, fixed, &LIST_LENGTHS, |x, rng| {
        let mut environment = Environment::open(options, x as usize, rng)?;
        let relay = environment.relay(None, false)?;
        let start_figures = [
            ("start_ms", relay.startup_time.as_secs_f64() * 1e3),
            ("start_cpu_ms", relay.process.cpu()?.as_secs_f64() * 1e3),
            ("start_memory_mb", relay.process.status("VmRSS")?),
            ("list_mb", environment.listing.snapshot_bytes() as f64 / 1e6),
        ];
        drop(relay);
        let callers = environment.callers(ENDPOINTS_RUN_WATCHERS, rng);
        let mut loaded = LoadedRelay::start(&mut environment, callers, options.seed, rng)?;
        let mut all_figures =
            loaded.measure_changes(CHANGES_PER_SECOND, |environment| environment.random_endpoint(rng))?;
        all_figures.extend(figures(start_figures));
        Ok(all_figures)
    })
}

const BURSTS: [f64; 3] = [1.0, 340.0, 4_000.0];
const BURST_WATCHERS: usize = 2_000;
const BURST_COUNT: usize = 4;
/// Length of the windows: one without changes before each burst, and one from the burst on.
const BURST_WINDOW_S: f64 = 1.8;

/// The run `relay-burst`: the cost of a relay by number of endpoints that change at once.
///
/// # Errors
/// If the run cannot be set up.
pub fn burst(options: &Options) -> Result<Run, ScaleError> {
    let fixed = fixed(&[
        ("watchers_count", "2,000"),
        ("bursts", "4 of each, 1.8 s after 1.8 quiet s; 1 and 340 are by chance, 4,000 are all of one zone"),
        ("cpu_ms", "what the relay used more in the 1.8 s after a burst than in the quiet ones, by bursts"),
        ("down_bytes_watcher", "of one watcher in the 1.8 s after, with its calls that wait in vain"),
    ]);
    run_points("relay-burst", "endpoints that change at once", options, fixed, &BURSTS, |x, rng| {
        let mut environment = Environment::open(options, ENDPOINTS as usize, rng)?;
        let callers = environment.callers(BURST_WATCHERS, rng);
        let loaded = LoadedRelay::start(&mut environment, callers, options.seed, rng)?;
        let (mut quiet, mut busy, mut changes) = (Window::default(), Window::default(), Vec::new());
        let (mut mean_bytes_sum, mut max_bytes) = (0.0, 0);
        for nth in 0..BURST_COUNT {
            let numbers: Vec<usize> = if x as usize == 4_000 {
                // The zones repeat every 9 endpoints, so these are all in one zone.
                (0..4_000).map(|n| n * 9 + nth % 9).collect()
            } else {
                (0..x as usize).map(|_| loaded.environment.random_endpoint(rng)).collect()
            };
            let from = loaded.usage()?;
            sleep(seconds(BURST_WINDOW_S));
            let before = loaded.watchers.down_bytes_each();
            quiet.add(&from, &loaded.usage()?);
            let from = loaded.usage()?;
            changes.push(loaded.environment.change(&numbers));
            sleep(seconds(BURST_WINDOW_S));
            busy.add(&from, &loaded.usage()?);
            let received =
                loaded.watchers.down_bytes_each().into_iter().zip(before).map(|(now, before)| now - before);
            let received: Vec<u64> = received.collect();
            max_bytes = max_bytes.max(received.iter().copied().max().unwrap_or(0));
            mean_bytes_sum += received.iter().sum::<u64>() as f64 / received.len() as f64;
        }
        let in_force = loaded.in_force(&changes);
        let burst_count = BURST_COUNT as f64;
        let own_figures = [
            ("cpu_ms", (busy.cpu_s - quiet.core_share() * busy.seconds) * 1e3 / burst_count),
            ("idle_core_share", quiet.core_share()),
            ("down_bytes_watcher", mean_bytes_sum / burst_count),
            ("down_bytes_watcher_max", max_bytes as f64),
            (
                "quiet_down_bytes_watcher",
                quiet.down_bytes / quiet.seconds * BURST_WINDOW_S / BURST_WATCHERS as f64,
            ),
            ("concerned", in_force.concerned as f64 / burst_count),
            ("memory_mb", loaded.relay.process.status("VmRSS")?),
            ("memory_peak_mb", loaded.relay.process.status("VmHWM")?),
        ];
        Ok(figures(own_figures.into_iter().chain(in_force.figures()).chain(loaded.validity_figures())))
    })
}
