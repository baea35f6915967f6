//! One play: puts the stand-ins and the processes together, and takes the figures down.

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
use crate::clients::{Beside, Clients, arrivals};
use crate::datagrams::Datagrams;
use crate::discovery::Discovery;
use crate::events::{Environment, check_processes, one_way_latency, sample_usage};
use crate::fleet::{FleetError, Proxy, Usage, peer_address};
use crate::ledger::{Figures, Ledger, Rule, Second, ServedStats};
use crate::link::Link;
use crate::scenario::{Expect, Scenario};
use crate::servers::{Play, Server, Traits};
use crate::station::Shape;

/// From when all are ready until the load begins.
const LOAD_START_DELAY: Duration = Duration::from_millis(300);
/// How often it is looked at what the processes use.
const USAGE_SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// How late the testbed may send, at the 99th percentile, for a play to count.
const MAX_SEND_DELAY_US: u64 = 10_000;
/// Against hanging only: a client proxy that was told to end.
const EXIT_TIMEOUT: Duration = Duration::from_secs(15);
/// Descriptors for the testbed itself, and for each request that is open.
const RESERVED_DESCRIPTORS: u64 = 256;

/// Why there is no play.
#[derive(Debug, Error)]
pub enum RunError {
    /// The system refuses something.
    #[error("{0}")]
    System(#[from] io::Error),
    /// A client proxy does not start.
    #[error("{0}")]
    Fleet(#[from] FleetError),
    /// There are not enough descriptors.
    #[error("the scenario needs about {needed} descriptors, and the system allows {allowed}")]
    Descriptors {
        /// Counted ahead.
        needed: u64,
        /// The hard limit.
        allowed: u64,
    },
}

/// What is reported of one client proxy.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ProxyReport {
    /// Its number.
    pub proxy: usize,
    /// What it took.
    #[serde(flatten)]
    pub usage: Usage,
    /// To other client proxies, as datagrams.
    pub peer_bytes: u64,
    /// First tries that count, and the part of them that was served in the end.
    pub requests: usize,
    /// See `requests`.
    pub served_share: f64,
}

/// A play as it is written down.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Report {
    /// Its scenario.
    pub scenario: String,
    /// Its seed.
    pub seed: u64,
    /// Too late to count: the machine was too slow for it.
    pub void: bool,
    /// What came out.
    #[serde(flatten)]
    pub figures: Figures,
    /// The share served of each class.
    pub classes: BTreeMap<String, f64>,
    /// What was expected and did not come.
    pub missed: Vec<String>,
    /// Of each client proxy.
    pub proxies: Vec<ProxyReport>,
}

impl Report {
    /// All rules held, and what was expected came.
    pub fn passed(&self) -> bool {
        !self.void && self.missed.is_empty() && self.figures.rules.values().all(|breaks| *breaks == 0)
    }
}

/// How a play is played.
pub struct Options {
    /// The program.
    pub binary: PathBuf,
    /// All chance is from it.
    pub seed: u64,
    /// For the files of the processes; it is there and empty.
    pub dir: PathBuf,
    /// Whether to say how it goes.
    pub progress: bool,
}

/// Plays a scenario once. No process is left when this returns, or is dropped.
///
/// # Errors
/// Where it cannot be played.
pub fn run_once(scenario: &Scenario, options: &Options) -> Result<Report, RunError> {
    raise_limit(scenario)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        tokio::select! {
            played = run_scenario(scenario, options) => played,
            ended = shutdown_requested() => Err(ended.into()),
        }
    })
}

/// Waits for Ctrl-C or SIGTERM: the processes go with what waits for them.
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

/// Raises the limit of descriptors as far as it goes, and counts what the scenario needs.
///
/// # Errors
/// Where there are not enough of them.
pub fn raise_limit(scenario: &Scenario) -> Result<(), RunError> {
    let limit = getrlimit(Resource::Nofile);
    let hard = limit.maximum.unwrap_or(u64::MAX);
    // Fails only where the limit is as it is, which the count shows.
    let _ = setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, maximum: limit.maximum });
    let (proxies, servers) = (scenario.fleet.proxies as u64, server_count(scenario) as u64);
    // A listening socket for each pair, and connections from each client proxy and to it.
    let needed = RESERVED_DESCRIPTORS + proxies * servers + proxies * (servers.min(64) + 32);
    if needed > hard { Err(RunError::Descriptors { needed, allowed: hard }) } else { Ok(()) }
}

fn server_count(scenario: &Scenario) -> usize {
    scenario.kind.iter().map(|kind| kind.servers).sum()
}

fn servers(scenario: &Scenario, play: &Play) -> Vec<Rc<Server>> {
    let contract = &scenario.contract;
    let kinds = scenario.kind.iter().enumerate();
    let each = kinds.flat_map(|(number, kind)| (0..kind.servers).map(move |nth| (number, kind, nth)));
    let mut dealt = vec![0; scenario.zone.len()];
    let server = |(number, kind, nth): (usize, &crate::scenario::Kind, usize)| {
        let shape = Shape {
            cores: kind.cores,
            speed: kind.speed,
            slots: kind.slots,
            waiting: kind.queue_capacity,
            crowded_from: kind.full_speed_concurrency.unwrap_or(u32::MAX),
            crowding: kind.slowdown_per_request,
            cold: contract.initial_capacity_share,
            warm_up: contract.warm_up_duration.as_secs_f64(),
        };
        let name = format!("s-{}-{nth}", kind.name);
        let zone = nth % scenario.zone.len();
        let (connections, stops_when_left) = (kind.connections, kind.cancels_abandoned_work);
        let cell = scenario.cell.map_or(0, |size| dealt[zone] / size);
        dealt[zone] += 1;
        let cell = zone + cell * scenario.zone.len();
        let traits = Traits { name, kind: number, zone, cell, shape, connections, stops_when_left };
        Server::new(traits, scenario.fleet.proxies, play.clone(), contract.clone())
    };
    each.map(server).collect()
}

async fn run_scenario(scenario: &Scenario, options: &Options) -> Result<Report, RunError> {
    let world = Rc::new(set_up(scenario, options).await?);
    let play = world.play.clone();
    let arrivals = arrivals(scenario, options.seed);
    let begun = Instant::now() + LOAD_START_DELAY;
    world.start_load(begun);
    let faults = Rc::clone(&world).spawn_events(&scenario.event, options.seed);
    spawn_local(sample_usage(world.proxies.clone(), USAGE_SAMPLE_INTERVAL));
    if options.progress {
        spawn_local(print_progress(play.clone(), scenario.duration));
    }
    let sent = spawn_local(Clients::new(play.clone(), scenario, world.beside.clone()).send(arrivals));
    let longest = scenario.class.iter().map(|class| class.client_timeout).max().unwrap_or_default();
    let settled = longest.mul_f64(1.0 + f64::from(scenario.load.retries)) + scenario.contract.lost_after;
    sent.await.map_err(io::Error::other)?;
    let settled = begun + scenario.duration + settled;
    while play.ledger.borrow().open_requests() > 0 && Instant::now() < settled {
        sleep(USAGE_SAMPLE_INTERVAL).await;
    }
    check_processes(
        &world,
        scenario.fleet.cores,
        scenario.fleet.memory_mb,
        scenario.fleet.sockets,
        begun.elapsed().as_secs_f64(),
    );
    // Guards against a roll that starts anew what is told to end.
    drop(faults);
    world.proxies.iter().for_each(|proxy| proxy.signal(Signal::TERM));
    for (n, proxy) in world.proxies.iter().enumerate() {
        if !proxy.ended(EXIT_TIMEOUT).await {
            let how = format!("client proxy {n} did not end within {EXIT_TIMEOUT:?} of SIGTERM");
            let now = play.now();
            play.ledger.borrow_mut().record_violation(Rule::Crash, now, &how);
        }
    }
    Ok(report(scenario, options, &play.ledger, &world))
}

/// Opens all doors, starts all client proxies, and waits until they are ready.
///
/// # Errors
/// Where that fails.
pub async fn set_up(scenario: &Scenario, options: &Options) -> Result<Environment, RunError> {
    set_up_with(scenario, options, None).await
}

/// The same, where the order servers' addresses may be those of others, who answer in their place.
///
/// # Errors
/// Where that fails.
pub async fn set_up_with(
    scenario: &Scenario,
    options: &Options,
    others: Option<&[SocketAddr]>,
) -> Result<Environment, RunError> {
    let play = Play::new(Ledger::new(scenario.warm_up.as_secs_f64()));
    let servers = servers(scenario, &play);
    let (mut links, mut addresses) = (Vec::new(), Vec::new());
    for proxy in 0..scenario.fleet.proxies {
        let own = proxy % scenario.zone.len();
        let mut row: Vec<Rc<Link>> = Vec::new();
        let mut known = Vec::new();
        for (n, server) in servers.iter().enumerate() {
            let name = format!("link {proxy} {}", server.traits.name);
            let link = Link::new(stream(options.seed, &name));
            let takes = one_way_latency(&scenario.zone, &scenario.latency, own, server.traits.zone);
            link.delay(takes, takes);
            known.push(match others.and_then(|others| others.get(n)) {
                Some(other) => *other,
                None => server.open(proxy, own != server.traits.zone, Rc::clone(&link))?,
            });
            row.push(link);
        }
        links.push(row);
        addresses.push(known);
    }
    let zones = scenario.zone.iter().map(|zone| zone.name.clone()).collect();
    let kinds: Vec<String> = scenario.kind.iter().map(|kind| kind.name.clone()).collect();
    let shape = scenario.discovery.clone();
    let discovery = Discovery::new(play.clone(), servers.clone(), zones, kinds.clone(), addresses, shape);
    let peers = match scenario.fleet.parts.contains_key("membership") {
        true => {
            let count = scenario.zone.len();
            let takes =
                |from, to| one_way_latency(&scenario.zone, &scenario.latency, from % count, to % count);
            let behind = (0..scenario.fleet.proxies).map(peer_address).collect();
            Some(Datagrams::open(behind, options.seed, takes).await?)
        }
        false => None,
    };
    let mut proxies = Vec::new();
    let mut calls = Vec::new();
    for number in 0..scenario.fleet.proxies {
        let link = Link::new(stream(options.seed, &format!("link {number} discovery")));
        let told = discovery.open(number, Rc::clone(&link))?;
        calls.push(RefCell::new(link));
        let peers = peers.as_deref();
        proxies.push(Proxy::new(scenario, number, told, peers, options.seed, &options.binary, &options.dir)?);
    }
    let starts: Vec<_> =
        proxies.iter().cloned().map(|p| spawn_local(async move { p.start().await })).collect();
    for start in starts {
        start.await.map_err(io::Error::other)??;
    }
    let beside: Vec<Rc<Beside>> = proxies.iter().map(|proxy| Rc::new(Beside::new(proxy.address))).collect();
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

fn report(scenario: &Scenario, options: &Options, ledger: &RefCell<Ledger>, world: &Environment) -> Report {
    let figures = ledger.borrow().figures(scenario.duration.as_secs_f64());
    let Expect { served_share, worth_share, worst_window } = scenario.expect;
    let wants = [
        ("served_share", served_share, figures.served_share),
        ("worth_share", worth_share, figures.worth_share),
        ("worst_window", worst_window, figures.worst_window),
    ];
    let missed = wants.into_iter().filter_map(|(name, least, is)| {
        least.filter(|least| is < *least).map(|least| format!("{name} is {is:.4}, expected was {least}"))
    });
    let served = |class| figures.by_class.get(&class).map_or(1.0, |part: &ServedStats| part.served_share);
    let proxies = world.proxies.iter().enumerate();
    let proxies = proxies.map(|(proxy, one)| {
        let ServedStats { requests, served_share } =
            figures.by_proxy.get(&proxy).copied().unwrap_or_default();
        let peer_bytes = world.peers.as_ref().map_or(0, |peers| peers.sent(proxy));
        ProxyReport { proxy, usage: one.usage(), peer_bytes, requests, served_share }
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

/// Says each second how the play goes.
async fn print_progress(play: Play, duration: Duration) {
    for second in 1..=duration.as_secs() {
        // A second later, when most of what was asked for is answered.
        sleep_until(play.instant(second as f64 + 1.0)).await;
        let figures = play.ledger.borrow().figures(second as f64);
        if let Some(Second { asked, served, refused, failed, weighted_served_share, .. }) =
            figures.seconds.last()
        {
            eprintln!(
                "{second:4} s: {asked:5} asked, {served} served, {refused} refused, {failed} failed, worth {weighted_served_share:.3}"
            );
        }
    }
}
