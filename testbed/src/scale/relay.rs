//! Runs with real relay processes between a minimal discovery server and many watchers on real sockets. The
//! fleet is the modelled one: each watcher polls for the services that its own service calls.

mod cost;
mod lost;
mod process;
mod watchers;

pub use cost::{burst, by_endpoints, by_unconcerned, by_watchers};
pub use lost::{hops, lost, returning};

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand_core::Rng;
use rand_pcg::Pcg32;

use self::process::{Config, Relay};
use self::watchers::{Totals, WatcherPlan, WatcherResponse, Watchers};
use super::law::{ENDPOINTS, Fleet};
use super::real::listing::{Endpoint, Listing};
use super::real::{Figures, KINDS, ZONES, endpoint_address, now_ms};
use super::{Options, ScaleError};
use crate::chance::uniform;
use crate::ledger::microseconds;

/// Port in the endpoints' addresses. Nothing connects to them.
const PORT: u16 = 9000;
/// Watchers that start per second, in runs that do not measure the start.
const STARTS_PER_SECOND: f64 = 2_500.0;
/// Time from the last watcher's start until the measurement; a watch waits for 1.5 s.
const SETTLE: Duration = Duration::from_secs(2);
/// Only a safeguard against a run that hangs.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(20);
/// The platform's requirement for the time until a change is in force. Later ones are counted.
const IN_FORCE_OBJECTIVE: Duration = Duration::from_secs(3);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Prefix of the name of the scope of a service's client proxies.
const CALLERS_OF: &str = "from-";

/// The modelled fleet, as discovery and relays see it.
struct Environment {
    fleet: Fleet,
    /// The service of each endpoint in the list.
    services: Vec<usize>,
    listing: Listing,
    /// The `[scopes]` section of a relay's configuration.
    scopes: String,
    dir: PathBuf,
    binary: PathBuf,
    /// The current version of the list.
    version: u64,
    relay_count: u32,
}

fn service_name(service: usize) -> String {
    format!("service{service:04}")
}

fn scope_name(service: usize) -> String {
    format!("{CALLERS_OF}{}", service_name(service))
}

/// A change of the list: its version, its time, and the services whose endpoints changed.
struct Change {
    version: u64,
    at: Instant,
    services: Vec<usize>,
}

impl Environment {
    /// Creates a list of `count` of the fleet's endpoints, spread over all services, and starts discovery.
    fn open(options: &Options, count: usize, rng: &mut Pcg32) -> Result<Environment, ScaleError> {
        let fleet = Fleet::draw(options.seed);
        let sizes = fleet.sizes.iter().enumerate();
        let fleet_services: Vec<usize> =
            sizes.flat_map(|(service, size)| std::iter::repeat_n(service, *size as usize)).collect();
        let services: Vec<usize> =
            (0..count).map(|n| fleet_services[n * fleet_services.len() / count]).collect();
        let now = now_ms();
        let endpoint = |number: usize| Endpoint {
            number: number as u32,
            address: endpoint_address(number, 0, PORT),
            zone: ZONES[number % ZONES.len()].0.to_owned(),
            kind: KINDS[number / ZONES.len() % KINDS.len()],
            since_ms: now - 3_600_000 - (uniform(rng) * 600_000_000.0) as u64,
        };
        let endpoints: Vec<Endpoint> = (0..count).map(endpoint).collect();
        let name = |endpoint: &Endpoint| {
            let service = service_name(services[endpoint.number as usize]);
            format!("{service}-{:08x}", endpoint.number.wrapping_mul(0x9e37_79b9))
        };
        let listing = Listing::open_named(endpoints, name)?;
        let mut scopes = "[scopes]\n".to_owned();
        for (caller, called) in fleet.calls.iter().enumerate() {
            let called: Vec<String> = called.iter().map(|&service| service_name(service)).collect();
            scopes += &format!("{} = {called:?}\n", scope_name(caller));
        }
        let binary = options.binary.with_file_name("discovery-relay");
        if !binary.exists() {
            let problem =
                "relay executable not found; it has to be in the client proxy's directory".to_owned();
            return Err(ScaleError::File { path: binary, problem });
        }
        let dir = options.dir.clone();
        Ok(Environment { fleet, services, listing, scopes, dir, binary, version: 1, relay_count: 0 })
    }

    /// Starts a relay that polls `source`, or discovery if there is no source.
    fn relay(&mut self, source: Option<SocketAddr>, full_list: bool) -> Result<Relay, ScaleError> {
        self.relay_count += 1;
        let dir = self.dir.join(format!("relay-{}", self.relay_count));
        fs::create_dir_all(&dir)?;
        let source = source.unwrap_or(self.listing.address);
        let scope = scope_name(0);
        let scopes = &self.scopes;
        Relay::start(
            &self.binary,
            &dir,
            &Config { source, full_list, scopes, scope: (!full_list).then_some(&scope) },
        )
    }

    /// Draws client proxies of the fleet with equal probability. Returns the service of each.
    fn callers(&self, count: usize, rng: &mut Pcg32) -> Vec<usize> {
        let mut ends: Vec<u32> = self.fleet.sizes.clone();
        ends.iter_mut().fold(0, |before, end| {
            *end += before;
            *end
        });
        let drawn = |_| {
            let at = rng.next_u32() % ENDPOINTS;
            ends.partition_point(|end| *end <= at)
        };
        (0..count).map(drawn).collect()
    }

    /// Replaces the processes of these endpoints in one change.
    fn change(&mut self, numbers: &[usize]) -> Change {
        self.version += 1;
        let (version, now) = (self.version, now_ms());
        let at = self.listing.change(numbers, |endpoint| {
            endpoint.address = endpoint_address(endpoint.number as usize, version as usize, PORT);
            endpoint.since_ms = now;
        });
        let mut services: Vec<usize> = numbers.iter().map(|&number| self.services[number]).collect();
        services.sort_unstable();
        services.dedup();
        Change { version, at, services }
    }

    /// Draws an endpoint of the list.
    fn random_endpoint(&self, rng: &mut Pcg32) -> usize {
        (uniform(rng) * self.services.len() as f64) as usize
    }

    /// Returns the watchers whose services call one of the changed services.
    fn concerned(&self, change: &Change, callers: &[usize]) -> Vec<usize> {
        let concerns = |caller: usize| {
            self.fleet.calls[caller].iter().any(|called| change.services.binary_search(called).is_ok())
        };
        (0..callers.len()).filter(|&watcher| concerns(callers[watcher])).collect()
    }
}

/// Plans for watchers that start at random times, each with the scope of its service.
fn plans(callers: &[usize], near: &[SocketAddr], far: &[SocketAddr], rng: &mut Pcg32) -> Vec<WatcherPlan> {
    let start_period = Duration::from_secs_f64(callers.len() as f64 / STARTS_PER_SECOND + 1.5);
    let plan = |&caller: &usize| WatcherPlan {
        scope: scope_name(caller),
        near: near.to_vec(),
        far: far.to_vec(),
        start_delay: start_period.mul_f64(uniform(rng)),
    };
    callers.iter().map(plan).collect()
}

/// Starts the watchers, and waits until each has its list and the load is steady. Also returns the responses
/// until then.
fn start_watchers(plans: &[WatcherPlan], seed: u64) -> Result<(Watchers, Vec<WatcherResponse>), ScaleError> {
    let watchers = Watchers::start(plans, 1, seed);
    wait_until(IN_FORCE_TIMEOUT, || watchers.all_have_response())?;
    sleep(SETTLE);
    let responses = watchers.take();
    watchers.take_timer_delay_ms();
    Ok((watchers, responses))
}

fn wait_until(timeout: Duration, condition: impl Fn() -> bool) -> Result<(), ScaleError> {
    let started = Instant::now();
    while !condition() {
        if started.elapsed() > timeout {
            return Err(ScaleError::SetUp(format!(
                "timed out after {timeout:?}: some watchers have no response"
            )));
        }
        sleep(CHECK_INTERVAL);
    }
    Ok(())
}

/// Times until changes reached the watchers that they concern.
struct InForce {
    delay_us: Histogram<u64>,
    /// Changes that did not reach a watcher.
    missed: usize,
    /// Changes that took longer than [`IN_FORCE_OBJECTIVE`].
    too_late: usize,
    concerned: usize,
}

impl InForce {
    /// Evaluates these changes for the watchers that `counts` selects. `responses` has to include all
    /// since the first change.
    fn of(
        environment: &Environment,
        changes: &[Change],
        callers: &[usize],
        responses: &[WatcherResponse],
        counts: impl Fn(usize) -> bool,
    ) -> InForce {
        let mut by_watcher: Vec<Vec<WatcherResponse>> = vec![Vec::new(); callers.len()];
        responses
            .iter()
            .filter(|response| response.has_entries)
            .for_each(|response| by_watcher[response.watcher].push(*response));
        let mut found = InForce { delay_us: microseconds(), missed: 0, too_late: 0, concerned: 0 };
        for change in changes {
            for watcher in
                environment.concerned(change, callers).into_iter().filter(|&watcher| counts(watcher))
            {
                found.concerned += 1;
                let response = by_watcher[watcher].iter().find(|response| response.index >= change.version);
                let delay = response.map(|response| response.at.saturating_duration_since(change.at));
                match delay {
                    Some(delay) => found.delay_us.saturating_record(delay.as_micros() as u64),
                    None => found.missed += 1,
                }
                found.too_late += usize::from(delay.is_some_and(|delay| delay > IN_FORCE_OBJECTIVE));
            }
        }
        found
    }

    fn figures(&self) -> [(&'static str, f64); 6] {
        [
            ("in_force_ms_p50", quantile_ms(&self.delay_us, 0.5)),
            ("in_force_ms_p99", quantile_ms(&self.delay_us, 0.99)),
            ("in_force_ms_max", self.delay_us.max() as f64 / 1e3),
            ("observed", self.concerned as f64),
            ("missed", self.missed as f64),
            ("over_3_s", self.too_late as f64),
        ]
    }
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e3
}

/// Resource usage of a relay and its watchers since their start.
#[derive(Clone, Copy)]
struct Usage {
    at: Instant,
    cpu: Duration,
    totals: Totals,
}

impl Usage {
    fn read(relay: &Relay, watchers: &Watchers) -> Result<Usage, ScaleError> {
        Ok(Usage { at: Instant::now(), cpu: relay.process.cpu()?, totals: watchers.totals() })
    }
}

/// Sums over several measurement windows of the same kind.
#[derive(Clone, Copy, Default)]
struct Window {
    seconds: f64,
    cpu_s: f64,
    polls: f64,
    up_bytes: f64,
    down_bytes: f64,
}

impl Window {
    fn add(&mut self, from: &Usage, to: &Usage) {
        self.seconds += (to.at - from.at).as_secs_f64();
        self.cpu_s += to.cpu.saturating_sub(from.cpu).as_secs_f64();
        self.polls += (to.totals.polls - from.totals.polls) as f64;
        self.up_bytes += (to.totals.up_bytes - from.totals.up_bytes) as f64;
        self.down_bytes += (to.totals.down_bytes - from.totals.down_bytes) as f64;
    }

    fn core_share(&self) -> f64 {
        self.cpu_s / self.seconds
    }
}

/// The testbed's timer delay since the last call, which decides whether the run is valid.
fn timer_delay_figure(environment: &Environment, watchers: &Watchers) -> (&'static str, f64) {
    ("late_ms_p99", watchers.take_timer_delay_ms().max(environment.listing.timer_delay.take_ms()))
}

fn fixed(more: &[(&str, &str)]) -> BTreeMap<String, String> {
    let always = [
        ("relay", "a process of the real program, release build, one thread"),
        (
            "list",
            "36,000 endpoints of 2,100 services as in the run `services`, where the axis says nothing else; one scope for \
             each calling service, 2,100 in the relay's file",
        ),
        (
            "watchers",
            "on real sockets, on one thread of the testbed: calls, pauses and choice of the relay are the client proxy's \
             own; entries are counted, not followed. Each stands for a client proxy by chance of the 36,000, and asks for \
             the scope of its service",
        ),
        (
            "in_force_ms",
            "from the change's making at the stand-in of discovery until the answer with it was read by a watcher that it \
             concerns; what a client proxy does with it is in the runs client-changes and client-burst",
        ),
        (
            "missed",
            "changes that never came to a watcher whom they concern; over_3_s: that came later than 3 s",
        ),
        ("bytes", "of HTTP with its heads, without those of TCP and IP"),
        ("cpu", "the process's own time by /proc/PID/task/*/schedstat, whatever else runs on the machine"),
        ("void", "a thread of the testbed over 10 ms late at the 99th percentile"),
    ];
    let mut fixed: BTreeMap<String, String> =
        always.iter().chain(more).map(|(name, text)| ((*name).to_owned(), (*text).to_owned())).collect();
    let read_line = |file: &str, key: &str| {
        let text = fs::read_to_string(file).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix(key).map(str::trim).map(str::to_owned));
        line.unwrap_or_else(|| "not known".to_owned())
    };
    let cores = read_line("/proc/self/status", "Cpus_allowed_list:");
    fixed.insert(
        "cores".to_owned(),
        format!("{cores} of the machine's, shared by relays, watchers, the stand-in, and other work of the machine"),
    );
    let descriptors = read_line("/proc/self/limits", "Max open files");
    let soft = descriptors.split_whitespace().next().unwrap_or("not known");
    fixed.insert("descriptors".to_owned(), format!("{soft} a process, unchanged"));
    fixed
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn ratio(sum: f64, count: f64) -> f64 {
    if count > 0.0 { sum / count } else { 0.0 }
}

#[cfg(test)]
mod tests;
