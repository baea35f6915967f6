//! One run of a scenario: starts the simulated order servers, discovery, clients and the client proxies, and
//! reports.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use rustix::process::{Resource, Rlimit, Signal, getrlimit, setrlimit};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

use crate::chance::stream;
use crate::clients::{ClientProxy, Clients, arrivals};
use crate::datagrams::Datagrams;
use crate::discovery::Discovery;
use crate::events::{Environment, check_processes, one_way_latency, sample_usage};
use crate::fleet::{FleetError, Proxy, Usage, peer_address};
use crate::ledger::{Figures, Ledger, Rule, Second, ServedStats};
use crate::link::Link;
use crate::run_context::RunContext;
use crate::scenario::{Expect, Scenario};
use crate::servers::{Server, Traits};
use crate::station::ServerSpec;

/// Time between readiness of all client proxies and the start of the load.
const LOAD_START_DELAY: Duration = Duration::from_millis(300);
/// Sampling interval of the processes' resource usage.
const USAGE_SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Largest 99th percentile of the testbed's sending delay at which a run is valid.
const MAX_SEND_DELAY_US: u64 = 10_000;
/// Upper bound on a client proxy's exit after SIGTERM; beyond it the process counts as hanging.
const EXIT_TIMEOUT: Duration = Duration::from_secs(15);
/// Descriptors reserved for the testbed itself and for open requests.
const RESERVED_DESCRIPTORS: u64 = 256;

/// Why a run failed.
#[derive(Debug, Error)]
pub enum RunError {
    /// A system call or a task failed.
    #[error("{0}")]
    System(#[from] io::Error),
    /// A client proxy could not be set up or did not start.
    #[error("{0}")]
    Fleet(#[from] FleetError),
    /// The limit of open descriptors is too low.
    #[error("the scenario needs about {needed} descriptors, and the system allows {allowed}")]
    Descriptors {
        /// Estimate for the scenario.
        needed: u64,
        /// The hard limit.
        allowed: u64,
    },
}

/// Figures of one client proxy.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ProxyReport {
    /// Index of the client proxy.
    pub proxy: usize,
    /// Resource usage.
    #[serde(flatten)]
    pub usage: Usage,
    /// Bytes sent to other client proxies in datagrams.
    pub peer_bytes: u64,
    /// Number of requests after the warm-up, retries not counted.
    pub requests: usize,
    /// Share of them that was served, by the first try or a retry.
    pub served_share: f64,
}

/// The report of a run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of all random streams.
    pub seed: u64,
    /// The run is invalid: the machine was too slow for the testbed to send requests on time.
    pub void: bool,
    /// Figures of the whole fleet.
    #[serde(flatten)]
    pub figures: Figures,
    /// Share of the requests of each class that was served.
    pub classes: BTreeMap<String, f64>,
    /// Expectations of the scenario that were not met.
    pub missed: Vec<String>,
    /// Figures of each client proxy.
    pub proxies: Vec<ProxyReport>,
}

impl Report {
    /// Whether the run is valid, no rule was violated, and all expectations were met.
    pub fn passed(&self) -> bool {
        !self.void && self.missed.is_empty() && self.figures.rules.values().all(|breaks| *breaks == 0)
    }
}

/// Options of a run.
pub struct Options {
    /// Path of the client proxy's program.
    pub binary: PathBuf,
    /// Seed of all random streams.
    pub seed: u64,
    /// Existing, empty directory for the files of the processes.
    pub dir: PathBuf,
    /// Whether to print the progress each second.
    pub progress: bool,
}

/// Runs a scenario once. All client proxy processes have ended when this returns or is dropped.
///
/// # Errors
/// If the run cannot be set up, a system call fails, or SIGINT or SIGTERM arrives.
pub fn run_once(scenario: &Scenario, options: &Options) -> Result<Report, RunError> {
    raise_limit(scenario)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        tokio::select! {
            result = run_scenario(scenario, options) => result,
            interrupted = shutdown_requested() => Err(interrupted.into()),
        }
    })
}

/// Waits for SIGINT or SIGTERM, so that the caller can drop the run, which ends its processes.
pub async fn shutdown_requested() -> io::Error {
    match signal(SignalKind::terminate()) {
        Ok(mut terminate) => tokio::select! {
            _ = terminate.recv() => {}
            _ = tokio::signal::ctrl_c() => {}
        },
        Err(error) => return error,
    }
    io::ErrorKind::Interrupted.into()
}

/// Raises the limit of open descriptors to the hard limit, and checks it against an estimate for the
/// scenario.
///
/// # Errors
/// If the hard limit is below the estimate.
pub fn raise_limit(scenario: &Scenario) -> Result<(), RunError> {
    let limit = getrlimit(Resource::Nofile);
    let hard = limit.maximum.unwrap_or(u64::MAX);
    // If this fails, the limit stays as it is; the check below reports a hard limit that is too low.
    let _ = setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, maximum: limit.maximum });
    let (proxies, servers) = (scenario.fleet.proxies as u64, server_count(scenario) as u64);
    // A listening socket for each pair of client proxy and order server, and the connections of each client
    // proxy.
    let needed = RESERVED_DESCRIPTORS + proxies * servers + proxies * (servers.min(64) + 32);
    if needed > hard { Err(RunError::Descriptors { needed, allowed: hard }) } else { Ok(()) }
}

fn server_count(scenario: &Scenario) -> usize {
    scenario.kind.iter().map(|kind| kind.servers).sum()
}

fn servers(scenario: &Scenario, play: &RunContext) -> Vec<Rc<Server>> {
    let contract = &scenario.contract;
    let kinds = scenario.kind.iter().enumerate();
    let each = kinds.flat_map(|(number, kind)| (0..kind.servers).map(move |nth| (number, kind, nth)));
    let mut servers_in_zone = vec![0; scenario.zone.len()];
    let server = |(number, kind, nth): (usize, &crate::scenario::Kind, usize)| {
        let spec = ServerSpec {
            cores: kind.cores,
            speed: kind.speed,
            slots: kind.slots,
            queue_capacity: kind.queue_capacity,
            full_speed_concurrency: kind.full_speed_concurrency.unwrap_or(u32::MAX),
            slowdown_per_request: kind.slowdown_per_request,
            initial_speed: contract.initial_capacity_share,
            warm_up: contract.warm_up_duration.as_secs_f64(),
        };
        let name = format!("s-{}-{nth}", kind.name);
        let zone = nth % scenario.zone.len();
        let (connections, cancels_abandoned_work) = (kind.connections, kind.cancels_abandoned_work);
        let cell = scenario.cell.map_or(0, |size| servers_in_zone[zone] / size);
        servers_in_zone[zone] += 1;
        let cell = zone + cell * scenario.zone.len();
        let traits = Traits { name, kind: number, zone, cell, spec, connections, cancels_abandoned_work };
        Server::new(traits, scenario.fleet.proxies, play.clone(), contract.clone())
    };
    each.map(server).collect()
}

async fn run_scenario(scenario: &Scenario, options: &Options) -> Result<Report, RunError> {
    let environment = Rc::new(set_up(scenario, options).await?);
    let play = environment.play.clone();
    let arrivals = arrivals(scenario, options.seed);
    let load_start = Instant::now() + LOAD_START_DELAY;
    environment.start_load(load_start);
    let faults = Rc::clone(&environment).spawn_events(&scenario.event, options.seed);
    spawn_local(sample_usage(environment.proxies.clone(), USAGE_SAMPLE_INTERVAL));
    if options.progress {
        spawn_local(print_progress(play.clone(), scenario.duration));
    }
    let sent = spawn_local(Clients::new(play.clone(), scenario, environment.beside.clone()).send(arrivals));
    let longest_timeout = scenario.class.iter().map(|class| class.client_timeout).max().unwrap_or_default();
    let settle_time =
        longest_timeout.mul_f64(1.0 + f64::from(scenario.load.retries)) + scenario.contract.lost_after;
    sent.await.map_err(io::Error::other)?;
    let deadline = load_start + scenario.duration + settle_time;
    while play.ledger.borrow().open_requests() > 0 && Instant::now() < deadline {
        sleep(USAGE_SAMPLE_INTERVAL).await;
    }
    check_processes(
        &environment,
        scenario.fleet.cores,
        scenario.fleet.memory_mb,
        scenario.fleet.sockets,
        load_start.elapsed().as_secs_f64(),
    );
    // Without this, a rolling restart that is still under way would restart client proxies that are about to
    // get SIGTERM.
    drop(faults);
    environment.proxies.iter().for_each(|proxy| proxy.signal(Signal::TERM));
    for (n, proxy) in environment.proxies.iter().enumerate() {
        if !proxy.wait_for_exit(EXIT_TIMEOUT).await {
            let description = format!("client proxy {n} did not exit within {EXIT_TIMEOUT:?} of SIGTERM");
            let now = play.now();
            play.ledger.borrow_mut().record_violation(Rule::Crash, now, &description);
        }
    }
    Ok(report(scenario, options, &play.ledger, &environment))
}

/// Opens all listening sockets, starts all client proxies, and waits until they are ready.
///
/// # Errors
/// If a socket cannot be opened or a client proxy does not become ready.
pub async fn set_up(scenario: &Scenario, options: &Options) -> Result<Environment, RunError> {
    set_up_with(scenario, options, None).await
}

/// Like [`set_up`], but discovery lists the addresses in `others` instead of the simulated order servers, if
/// given: other programs respond there.
///
/// # Errors
/// If a socket cannot be opened or a client proxy does not become ready.
pub async fn set_up_with(
    scenario: &Scenario,
    options: &Options,
    others: Option<&[SocketAddr]>,
) -> Result<Environment, RunError> {
    let play = RunContext::new(Ledger::new(scenario.warm_up.as_secs_f64()));
    let servers = servers(scenario, &play);
    let (mut links, mut addresses) = (Vec::new(), Vec::new());
    for proxy in 0..scenario.fleet.proxies {
        let own_zone = proxy % scenario.zone.len();
        let mut row: Vec<Rc<Link>> = Vec::new();
        let mut server_addresses = Vec::new();
        for (n, server) in servers.iter().enumerate() {
            let name = format!("link {proxy} {}", server.traits.name);
            let link = Link::new(stream(options.seed, &name));
            let latency = one_way_latency(&scenario.zone, &scenario.latency, own_zone, server.traits.zone);
            link.delay(latency, latency);
            server_addresses.push(match others.and_then(|others| others.get(n)) {
                Some(other) => *other,
                None => server.open(proxy, own_zone != server.traits.zone, Rc::clone(&link))?,
            });
            row.push(link);
        }
        links.push(row);
        addresses.push(server_addresses);
    }
    let zones = scenario.zone.iter().map(|zone| zone.name.clone()).collect();
    let kinds: Vec<String> = scenario.kind.iter().map(|kind| kind.name.clone()).collect();
    let settings = scenario.discovery.clone();
    let discovery = Discovery::new(play.clone(), servers.clone(), zones, kinds.clone(), addresses, settings);
    let peers = match scenario.fleet.parts.contains_key("membership") {
        true => {
            let count = scenario.zone.len();
            let latency =
                |from, to| one_way_latency(&scenario.zone, &scenario.latency, from % count, to % count);
            let peer_addresses = (0..scenario.fleet.proxies).map(peer_address).collect();
            Some(Datagrams::open(peer_addresses, options.seed, latency).await?)
        }
        false => None,
    };
    let mut proxies = Vec::new();
    let mut calls = Vec::new();
    for number in 0..scenario.fleet.proxies {
        let link = Link::new(stream(options.seed, &format!("link {number} discovery")));
        let discovery_address = discovery.listen(number, Rc::clone(&link))?;
        calls.push(RefCell::new(link));
        let peers = peers.as_deref();
        proxies.push(Proxy::new(
            scenario,
            number,
            discovery_address,
            peers,
            options.seed,
            &options.binary,
            &options.dir,
        )?);
    }
    let starts: Vec<_> =
        proxies.iter().cloned().map(|p| spawn_local(async move { p.start().await })).collect();
    for start in starts {
        start.await.map_err(io::Error::other)??;
    }
    let beside: Vec<Rc<ClientProxy>> =
        proxies.iter().map(|proxy| Rc::new(ClientProxy::new(proxy.address))).collect();
    Ok(Environment {
        play: play.clone(),
        proxies,
        beside,
        servers,
        links,
        discovery,
        discovery_links: calls,
        peers,
        seed: options.seed,
        zones: scenario.zone.clone(),
        kinds,
    })
}

fn report(
    scenario: &Scenario,
    options: &Options,
    ledger: &RefCell<Ledger>,
    environment: &Environment,
) -> Report {
    let figures = ledger.borrow().figures(scenario.duration.as_secs_f64());
    let Expect { served_share, worth_share, worst_window } = scenario.expect;
    let expectations = [
        ("served_share", served_share, figures.served_share),
        ("worth_share", worth_share, figures.worth_share),
        ("worst_window", worst_window, figures.worst_window),
    ];
    let missed = expectations.into_iter().filter_map(|(name, min, actual)| {
        min.filter(|min| actual < *min).map(|min| format!("{name} is {actual:.4}, expected at least {min}"))
    });
    let served = |class| figures.by_class.get(&class).map_or(1.0, |part: &ServedStats| part.served_share);
    let proxies = environment.proxies.iter().enumerate();
    let proxies = proxies.map(|(proxy, process)| {
        let ServedStats { requests, served_share } =
            figures.by_proxy.get(&proxy).copied().unwrap_or_default();
        let peer_bytes = environment.peers.as_ref().map_or(0, |peers| peers.sent_bytes(proxy));
        ProxyReport { proxy, usage: process.usage(), peer_bytes, requests, served_share }
    });
    Report {
        scenario: scenario.name.clone(),
        seed: options.seed,
        void: figures.testbed_late_us > MAX_SEND_DELAY_US,
        classes: (0..).zip(&scenario.class).map(|(n, class)| (class.name.clone(), served(n))).collect(),
        missed: missed.collect(),
        proxies: proxies.collect(),
        figures,
    }
}

/// Prints the figures of each second to standard error.
async fn print_progress(play: RunContext, duration: Duration) {
    for second in 1..=duration.as_secs() {
        // One second after its end, when most of its requests have got their final response.
        sleep_until(play.instant(second as f64 + 1.0)).await;
        let figures = play.ledger.borrow().figures(second as f64);
        if let Some(Second { asked, served, refused, failed, weighted_served_share, .. }) =
            figures.seconds.last()
        {
            eprintln!(
                "{second:4} s: {asked:5} requests, {served} served, {refused} rejected, {failed} failed, \
                 served weight {weighted_served_share:.3}"
            );
        }
    }
}
