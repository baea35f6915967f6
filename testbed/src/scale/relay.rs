//! Runs with real relays, processes of their own, between a lean stand-in of discovery and many watchers on real sockets.
//! The fleet is the supposed one: each watcher asks for what its service calls.

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
use self::watchers::{Answer, Plan, Totals, Watchers};
use super::law::{ENDPOINTS, Fleet};
use super::real::listing::{Endpoint, Listing};
use super::real::{Figures, KINDS, ZONES, now_ms, place};
use super::{Options, ScaleError};
use crate::chance::uniform;
use crate::ledger::microseconds;

/// Where order servers listen; nobody connects to them.
const PORT: u16 = 9000;
/// Watchers that begin in a second, where their beginning is not what is measured.
const BEGIN_A_SECOND: f64 = 2_500.0;
/// From the last one's beginning until anything is measured; a watch waits for 1.5 s.
const SETTLE: Duration = Duration::from_secs(2);
/// Against hanging only.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(20);
/// Changes in force later than this are counted; the platform asks for it.
const WANTED_WITHIN: Duration = Duration::from_secs(3);
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// The name of the scope of a service's client proxies begins with this.
const CALLERS_OF: &str = "from-";

/// The supposed fleet, as discovery and relays have it.
struct Setting {
    fleet: Fleet,
    /// The service of each endpoint of the list.
    service: Vec<usize>,
    listing: Listing,
    /// `[scopes]` of a relay's configuration.
    scopes: String,
    dir: PathBuf,
    binary: PathBuf,
    /// The version of the list.
    version: u64,
    relays: u32,
}

fn service_name(service: usize) -> String {
    format!("service{service:04}")
}

fn scope_name(service: usize) -> String {
    format!("{CALLERS_OF}{}", service_name(service))
}

/// One change: its version, when it was made, and whom it concerns.
struct Change {
    version: u64,
    at: Instant,
    services: Vec<usize>,
}

impl Setting {
    /// With so many of the fleet's endpoints in the list, spread over all services.
    fn open(options: &Options, count: usize, rng: &mut Pcg32) -> Result<Setting, ScaleError> {
        let fleet = Fleet::draw(options.seed);
        let sizes = fleet.sizes.iter().enumerate();
        let all: Vec<usize> =
            sizes.flat_map(|(service, size)| std::iter::repeat_n(service, *size as usize)).collect();
        let service: Vec<usize> = (0..count).map(|n| all[n * all.len() / count]).collect();
        let now = now_ms();
        let endpoint = |number: usize| Endpoint {
            number: number as u32,
            address: place(number, 0, PORT),
            zone: ZONES[number % ZONES.len()].0.to_owned(),
            kind: KINDS[number / ZONES.len() % KINDS.len()],
            since_ms: now - 3_600_000 - (uniform(rng) * 600_000_000.0) as u64,
        };
        let endpoints: Vec<Endpoint> = (0..count).map(endpoint).collect();
        let name = |endpoint: &Endpoint| {
            let service = service_name(service[endpoint.number as usize]);
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
            let problem = "not there; the relay is looked for beside the client proxy".to_owned();
            return Err(ScaleError::File { path: binary, problem });
        }
        let dir = options.dir.clone();
        Ok(Setting { fleet, service, listing, scopes, dir, binary, version: 1, relays: 0 })
    }

    /// A relay below `source`; below discovery, where there is none.
    fn relay(&mut self, source: Option<SocketAddr>, whole: bool) -> Result<Relay, ScaleError> {
        self.relays += 1;
        let dir = self.dir.join(format!("relay-{}", self.relays));
        fs::create_dir_all(&dir)?;
        let source = source.unwrap_or(self.listing.address);
        let scope = scope_name(0);
        let scopes = &self.scopes;
        Relay::start(&self.binary, &dir, &Config { source, whole, scopes, scope: (!whole).then_some(&scope) })
    }

    /// So many client proxies of the fleet by chance, each as likely as another: their services.
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

    /// Gives these endpoints a new process each, as one change.
    fn change(&mut self, numbers: &[usize]) -> Change {
        self.version += 1;
        let (version, now) = (self.version, now_ms());
        let at = self.listing.change(numbers, |endpoint| {
            endpoint.address = place(endpoint.number as usize, version as usize, PORT);
            endpoint.since_ms = now;
        });
        let mut services: Vec<usize> = numbers.iter().map(|&number| self.service[number]).collect();
        services.sort_unstable();
        services.dedup();
        Change { version, at, services }
    }

    /// An endpoint of the list by chance.
    fn any(&self, rng: &mut Pcg32) -> usize {
        (uniform(rng) * self.service.len() as f64) as usize
    }

    /// By watcher, whether it concerns client proxies of these services.
    fn concerned(&self, change: &Change, callers: &[usize]) -> Vec<usize> {
        let concerns = |caller: usize| {
            self.fleet.calls[caller].iter().any(|called| change.services.binary_search(called).is_ok())
        };
        (0..callers.len()).filter(|&watcher| concerns(callers[watcher])).collect()
    }
}

/// Watchers that begin one after the other, each for what its service calls.
fn plans(callers: &[usize], near: &[SocketAddr], far: &[SocketAddr], rng: &mut Pcg32) -> Vec<Plan> {
    let lasts = Duration::from_secs_f64(callers.len() as f64 / BEGIN_A_SECOND + 1.5);
    let plan = |&caller: &usize| Plan {
        scope: scope_name(caller),
        near: near.to_vec(),
        far: far.to_vec(),
        begins: lasts.mul_f64(uniform(rng)),
    };
    callers.iter().map(plan).collect()
}

/// Begins them, and waits until each has its list and all is calm.
/// Also what they were answered meanwhile.
fn settled(plans: &[Plan], seed: u64) -> Result<(Watchers, Vec<Answer>), ScaleError> {
    let watchers = Watchers::start(plans, 1, seed);
    wait_until(IN_FORCE_WITHIN, || watchers.all_answered())?;
    sleep(SETTLE);
    let answers = watchers.take();
    watchers.take_late_ms();
    Ok((watchers, answers))
}

fn wait_until(within: Duration, holds: impl Fn() -> bool) -> Result<(), ScaleError> {
    let began = Instant::now();
    while !holds() {
        if began.elapsed() > within {
            return Err(ScaleError::SetUp(format!("watchers have no answer after {within:?}")));
        }
        sleep(LOOK_EVERY);
    }
    Ok(())
}

/// When changes came to those whom they concern.
struct InForce {
    seen: Histogram<u64>,
    /// Not at all.
    missed: usize,
    /// Later than wanted.
    too_late: usize,
    concerned: usize,
}

impl InForce {
    /// Of these changes, by what was answered since before the first of them; the watchers that count are picked.
    fn of(
        setting: &Setting,
        changes: &[Change],
        callers: &[usize],
        answers: &[Answer],
        counts: impl Fn(usize) -> bool,
    ) -> InForce {
        let mut each: Vec<Vec<Answer>> = vec![Vec::new(); callers.len()];
        answers.iter().filter(|answer| answer.news).for_each(|answer| each[answer.watcher].push(*answer));
        let mut found = InForce { seen: microseconds(), missed: 0, too_late: 0, concerned: 0 };
        for change in changes {
            for watcher in setting.concerned(change, callers).into_iter().filter(|&watcher| counts(watcher)) {
                found.concerned += 1;
                let answer = each[watcher].iter().find(|answer| answer.index >= change.version);
                let after = answer.map(|answer| answer.at.saturating_duration_since(change.at));
                match after {
                    Some(after) => found.seen.saturating_record(after.as_micros() as u64),
                    None => found.missed += 1,
                }
                found.too_late += usize::from(after.is_some_and(|after| after > WANTED_WITHIN));
            }
        }
        found
    }

    fn figures(&self) -> [(&'static str, f64); 6] {
        [
            ("in_force_ms_p50", ms(&self.seen, 0.5)),
            ("in_force_ms_p99", ms(&self.seen, 0.99)),
            ("in_force_ms_max", self.seen.max() as f64 / 1e3),
            ("observed", self.concerned as f64),
            ("missed", self.missed as f64),
            ("over_3_s", self.too_late as f64),
        ]
    }
}

fn ms(of: &Histogram<u64>, quantile: f64) -> f64 {
    of.value_at_quantile(quantile) as f64 / 1e3
}

/// What a relay and its watchers used by now.
#[derive(Clone, Copy)]
struct Used {
    at: Instant,
    cpu: Duration,
    totals: Totals,
}

impl Used {
    fn by_now(relay: &Relay, watchers: &Watchers) -> Result<Used, ScaleError> {
        Ok(Used { at: Instant::now(), cpu: relay.process.cpu()?, totals: watchers.totals() })
    }
}

/// Several windows of the same kind together.
#[derive(Clone, Copy, Default)]
struct Window {
    seconds: f64,
    cpu_s: f64,
    calls: f64,
    up_bytes: f64,
    down_bytes: f64,
}

impl Window {
    fn add(&mut self, from: &Used, to: &Used) {
        self.seconds += (to.at - from.at).as_secs_f64();
        self.cpu_s += to.cpu.saturating_sub(from.cpu).as_secs_f64();
        self.calls += (to.totals.calls - from.totals.calls) as f64;
        self.up_bytes += (to.totals.up_bytes - from.totals.up_bytes) as f64;
        self.down_bytes += (to.totals.down_bytes - from.totals.down_bytes) as f64;
    }

    fn share(&self) -> f64 {
        self.cpu_s / self.seconds
    }
}

/// The testbed's lateness since this was last asked, for the verdict on the run.
fn late(setting: &Setting, watchers: &Watchers) -> (&'static str, f64) {
    ("late_ms_p99", watchers.take_late_ms().max(setting.listing.late.take_ms()))
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
    let own = |file: &str, key: &str| {
        let text = fs::read_to_string(file).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix(key).map(str::trim).map(str::to_owned));
        line.unwrap_or_else(|| "not known".to_owned())
    };
    let cores = own("/proc/self/status", "Cpus_allowed_list:");
    fixed.insert(
        "cores".to_owned(),
        format!("{cores} of the machine's, shared by relays, watchers, the stand-in, and other work of the machine"),
    );
    let descriptors = own("/proc/self/limits", "Max open files");
    let soft = descriptors.split_whitespace().next().unwrap_or("not known");
    fixed.insert("descriptors".to_owned(), format!("{soft} a process, unchanged"));
    fixed
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn per(sum: f64, count: f64) -> f64 {
    if count > 0.0 { sum / count } else { 0.0 }
}

#[cfg(test)]
mod tests;
