//! Injects the faults of a scenario at their scheduled times.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use rand_pcg::Pcg32;
use rustix::process::Signal;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::task::AbortOnDropHandle;

use crate::chance::{stream, uniform};
use crate::clients::ClientProxy;
use crate::datagrams::{Datagrams, Lane};
use crate::discovery::Discovery;
use crate::fleet::{FleetError, Proxy};
use crate::ledger::Rule;
use crate::link::Link;
use crate::scenario::{Direction, Event, Fault, Latency, LinkSet, Selector, Zone};
use crate::servers::{ResponseMode, RunContext, Server};

/// How often the condition of an event with `when_served` is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time from the start of a drain until discovery removes the order server.
const DRAINED_SERVER_REMOVAL_DELAY: Duration = Duration::from_secs(5);
/// Time after discovery's move at which its old address closes the polls that are still open.
const OLD_ADDRESS_CLOSE_DELAY: Duration = Duration::from_millis(1500);
/// Time after discovery's move within which each client proxy that was notified polls the new address.
const DISCOVERY_MOVE_GRACE: Duration = Duration::from_secs(4);
/// Upper bound on a client proxy's exit after SIGTERM: it takes the longest deadline plus 0.7 s; beyond this
/// bound it counts as hanging.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);

/// The parts of a running scenario that faults can affect.
pub struct Environment {
    /// Clock and ledger of the run.
    pub play: RunContext,
    /// The client proxy processes.
    pub proxies: Vec<Rc<Proxy>>,
    /// The clients' view of each client proxy.
    pub beside: Vec<Rc<ClientProxy>>,
    /// The order servers.
    pub servers: Vec<Rc<Server>>,
    /// Links for requests, indexed by client proxy and order server.
    pub links: Vec<Vec<Rc<Link>>>,
    /// The discovery service.
    pub discovery: Rc<Discovery>,
    /// The link for the polls of each client proxy.
    pub discovery_links: Vec<RefCell<Rc<Link>>>,
    /// Datagrams between client proxies, if they have a membership table.
    pub peers: Option<Rc<Datagrams>>,
    /// Seed of all random streams of the run.
    pub seed: u64,
    /// Zones, by index.
    pub zones: Vec<Zone>,
    /// Names of the order servers' kinds, by index.
    pub kinds: Vec<String>,
}

impl Environment {
    /// Zone index of a client proxy.
    pub fn zone_of(&self, proxy: usize) -> usize {
        proxy % self.zones.len()
    }

    fn select(&self, selector: &Selector, all: Vec<usize>, rng: &mut Pcg32) -> Vec<usize> {
        let matches_number = |n: &usize| selector.number.as_ref().is_none_or(|numbers| numbers.contains(n));
        let mut candidates: Vec<usize> = all.into_iter().filter(matches_number).collect();
        let Some(part) = selector.part else { return candidates };
        let count = (part * candidates.len() as f64).round() as usize;
        let mut selected: Vec<usize> = (0..count)
            .map(|_| candidates.swap_remove((uniform(rng) * candidates.len() as f64) as usize))
            .collect();
        selected.sort_unstable();
        selected
    }

    fn proxies(&self, selector: &Selector, rng: &mut Pcg32) -> Vec<usize> {
        let matches =
            |n: &usize| selector.zone.as_ref().is_none_or(|zone| self.zones[self.zone_of(*n)].name == *zone);
        self.select(selector, (0..self.proxies.len()).filter(matches).collect(), rng)
    }

    fn servers(&self, selector: &Selector, rng: &mut Pcg32) -> Vec<usize> {
        let matches = |n: &usize| {
            let traits = &self.servers[*n].traits;
            selector.zone.as_ref().is_none_or(|zone| self.zones[traits.zone].name == *zone)
                && selector.kind.as_ref().is_none_or(|kind| self.kinds[traits.kind] == *kind)
        };
        self.select(selector, (0..self.servers.len()).filter(matches).collect(), rng)
    }

    /// The paths that a fault affects.
    fn selected_paths(&self, links: &LinkSet, rng: &mut Pcg32) -> Vec<Path<'_>> {
        let proxies = self.proxies(&links.proxies, rng);
        if let Some(others) = &links.peers {
            let Some(peers) = &self.peers else { return Vec::new() };
            let others = self.proxies(others, rng);
            let crosses_zones = |n: usize, m: usize| self.zone_of(n) != self.zone_of(m);
            let pairs = proxies.iter().flat_map(|&n| others.iter().map(move |&m| (n, m)));
            let pairs = pairs.filter(|&(n, m)| n != m && (!links.cross_zone_only || crosses_zones(n, m)));
            return pairs.map(|(n, m)| Path::Datagrams(peers.lane(n, m), peers.lane(m, n))).collect();
        }
        let servers = self.servers(&links.servers, rng);
        let crosses_zones = |n: usize, m: usize| self.zone_of(n) != self.servers[m].traits.zone;
        let pairs = proxies.iter().flat_map(|&n| servers.iter().map(move |&m| (n, m)));
        let pairs = pairs.filter(|&(n, m)| !links.cross_zone_only || crosses_zones(n, m));
        pairs.map(|(n, m)| Path::Connections(&self.links[n][m])).collect()
    }

    /// Starts the clocks of the run and of the order servers at `at`, the start of the load.
    pub fn start_load(&self, at: Instant) {
        self.play.begin(at);
        self.servers.iter().for_each(|server| server.begin());
    }

    /// Spawns a task for each event that waits for its time and injects the fault; dropping the handles
    /// cancels them. Each event has a random stream of its own, so that its choices do not depend on the
    /// timing of others.
    pub fn spawn_events(self: Rc<Self>, events: &[Event], seed: u64) -> Vec<AbortOnDropHandle<()>> {
        let tasks = events.iter().enumerate().map(|(n, event)| {
            let (environment, event) = (Rc::clone(&self), event.clone());
            let rng = stream(seed, &format!("event {n}"));
            AbortOnDropHandle::new(spawn_local(async move {
                sleep_until(environment.play.instant(event.at.as_secs_f64())).await;
                if let Some(share) = event.when_served {
                    environment.until_served(share).await;
                }
                environment.inject(event.fault, rng).await;
            }))
        });
        tasks.collect()
    }

    /// Waits until at least `share` of one second's requests is served. A second is judged one second after
    /// its end, so that most of its responses have arrived.
    async fn until_served(&self, share: f64) {
        loop {
            let second = self.play.now() - 2.0;
            if self.play.ledger.borrow().served_in(second).is_some_and(|served| served >= share) {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn record_fault(&self, description: String) {
        let now = self.play.now();
        self.play.ledger.borrow_mut().record_fault(now, description);
    }

    async fn inject(self: &Rc<Self>, fault: Fault, mut rng: Pcg32) {
        match fault {
            Fault::Kill { proxies, restart_after, folder } => {
                let proxies = self.proxies(&proxies, &mut rng);
                self.record_fault(format!("kill {} client proxies", proxies.len()));
                for &n in &proxies {
                    self.beside[n].fault_started(self.play.now());
                    self.proxies[n].signal(Signal::KILL);
                }
                if let Some(pause) = restart_after {
                    sleep(pause).await;
                    let mut starts = Vec::new();
                    for n in proxies {
                        self.proxies[n].prepare_state_folder(folder, &mut rng);
                        starts.push(spawn_local(Rc::clone(self).restart(n)));
                    }
                    for start in starts {
                        let _ = start.await;
                    }
                }
            }
            Fault::Stop { proxies, lasts } => {
                let proxies = self.proxies(&proxies, &mut rng);
                self.record_fault(format!("stop {} client proxies", proxies.len()));
                for &n in &proxies {
                    self.beside[n].fault_started(self.play.now());
                    self.proxies[n].signal(Signal::STOP);
                }
                sleep(lasts).await;
                for &n in &proxies {
                    self.proxies[n].signal(Signal::CONT);
                    self.beside[n].fault_ended(self.play.now());
                }
            }
            Fault::Upgrade { proxies } => {
                let proxies = self.proxies(&proxies, &mut rng);
                self.record_fault(format!("upgrade {} client proxies", proxies.len()));
                for n in proxies {
                    if let Err(error) = self.proxies[n].upgrade(EXIT_TIMEOUT).await {
                        self.failed_to_start(&error);
                    }
                }
            }
            Fault::Roll { proxies, folder } => {
                let proxies = self.proxies(&proxies, &mut rng);
                self.record_fault(format!("roll {} client proxies", proxies.len()));
                for n in proxies {
                    self.beside[n].fault_started(self.play.now());
                    self.proxies[n].signal(Signal::TERM);
                    if !self.proxies[n].wait_for_exit(EXIT_TIMEOUT).await {
                        self.proxies[n].signal(Signal::KILL);
                    }
                    self.proxies[n].prepare_state_folder(folder, &mut rng);
                    Rc::clone(self).restart(n).await;
                }
            }
            Fault::Silent { servers, lasts } => {
                self.set_response_mode(&servers, ResponseMode::Silent, lasts, &mut rng).await;
            }
            Fault::Error { servers, lasts } => {
                self.set_response_mode(&servers, ResponseMode::Error, lasts, &mut rng).await;
            }
            Fault::Slow { servers, times, lasts } => {
                let servers = self.servers(&servers, &mut rng);
                self.record_fault(format!("{} servers {times} times slower", servers.len()));
                servers.iter().for_each(|&n| self.servers[n].slow(times));
                sleep(lasts).await;
                servers.iter().for_each(|&n| self.servers[n].slow(1.0));
            }
            Fault::Pause { servers, lasts } => {
                let servers = self.servers(&servers, &mut rng);
                self.record_fault(format!("{} servers pause", servers.len()));
                servers.iter().for_each(|&n| self.servers[n].pause(lasts));
            }
            Fault::Lose { servers, known_after, lasts } => {
                let servers = self.servers(&servers, &mut rng);
                self.record_fault(format!("lose {} servers", servers.len()));
                servers.iter().for_each(|&n| self.links.iter().for_each(|links| links[n].cut(true, true)));
                sleep(known_after.min(lasts)).await;
                servers.iter().for_each(|&n| self.discovery.set_removed(n, true));
                sleep(lasts.saturating_sub(known_after)).await;
                self.record_fault(format!("{} servers return cold", servers.len()));
                for &n in &servers {
                    self.servers[n].restart();
                    for links in &self.links {
                        links[n].reset();
                        links[n].cut(false, false);
                    }
                    self.discovery.set_removed(n, false);
                }
            }
            Fault::Drain { servers } => {
                let servers = self.servers(&servers, &mut rng);
                self.record_fault(format!("drain {} servers", servers.len()));
                servers.iter().for_each(|&n| self.servers[n].drain());
                self.discovery.refresh();
                let (discovery, drained) = (Rc::clone(&self.discovery), servers.clone());
                spawn_local(async move { discovery.assume_notified(&drained).await });
                sleep(DRAINED_SERVER_REMOVAL_DELAY).await;
                servers.iter().for_each(|&n| self.discovery.set_removed(n, true));
            }
            Fault::Cut { links, lasts } => {
                let ((forward, reverse), links) =
                    (directions(links.way), self.selected_paths(&links, &mut rng));
                self.record_fault(format!("cut {} links", links.len()));
                links.iter().for_each(|link| link.set(forward, reverse, Link::cut, Lane::cut));
                sleep(lasts).await;
                self.record_fault(format!("{} links heal", links.len()));
                links.iter().for_each(|link| link.set(false, false, Link::cut, Lane::cut));
            }
            Fault::Delay { links, by, lasts } => {
                let ((forward, reverse), links) =
                    (directions(links.way), self.selected_paths(&links, &mut rng));
                self.record_fault(format!("{} links slower by {by:?}", links.len()));
                let by = [forward, reverse].map(|affected| by * u32::from(affected));
                links.iter().for_each(|link| link.set(by[0], by[1], Link::slow, Lane::slow));
                sleep(lasts).await;
                let none = Duration::ZERO;
                links.iter().for_each(|link| link.set(none, none, Link::slow, Lane::slow));
            }
            Fault::Loss { links, part, lasts } => {
                let ((forward, reverse), links) =
                    (directions(links.way), self.selected_paths(&links, &mut rng));
                self.record_fault(format!("{} links lose {part}", links.len()));
                let loss = |affected: bool| if affected { part } else { 0.0 };
                links.iter().for_each(|link| link.set(loss(forward), loss(reverse), Link::lose, Lane::lose));
                sleep(lasts).await;
                links.iter().for_each(|link| link.set(0.0, 0.0, Link::lose, Lane::lose));
            }
            Fault::Duplicate { links, part, lasts } => {
                let (affected, links) = (directions(links.way), self.selected_paths(&links, &mut rng));
                self.record_fault(format!("{} links double {part}", links.len()));
                let lanes = || links.iter().flat_map(|link| link.lanes(affected));
                lanes().for_each(|lane| lane.double(part));
                sleep(lasts).await;
                lanes().for_each(|lane| lane.double(0.0));
            }
            Fault::Reorder { links, part, by, lasts } => {
                let (affected, links) = (directions(links.way), self.selected_paths(&links, &mut rng));
                self.record_fault(format!("{} links put {part} out of order", links.len()));
                let lanes = || links.iter().flat_map(|link| link.lanes(affected));
                lanes().for_each(|lane| lane.reorder(part, by));
                sleep(lasts).await;
                lanes().for_each(|lane| lane.reorder(0.0, Duration::ZERO));
            }
            Fault::Refuse { links, lasts } => {
                let links = self.selected_paths(&links, &mut rng);
                self.record_fault(format!("{} links refuse", links.len()));
                links.iter().filter_map(Path::connections).for_each(|link| link.refuse(true));
                sleep(lasts).await;
                links.iter().filter_map(Path::connections).for_each(|link| link.refuse(false));
            }
            Fault::Reset { links } => {
                let links = self.selected_paths(&links, &mut rng);
                self.record_fault(format!("reset {} links", links.len()));
                links.iter().filter_map(Path::connections).for_each(Link::reset);
            }
            Fault::DiscoveryDown { lasts } => {
                self.record_fault("discovery down".to_owned());
                self.discovery.set_down(true);
                sleep(lasts).await;
                self.discovery.set_down(false);
            }
            Fault::DiscoverySilent { lasts } => {
                self.record_fault("discovery silent".to_owned());
                self.discovery.set_stalled(true);
                sleep(lasts).await;
                self.discovery.set_stalled(false);
            }
            Fault::DiscoveryLies { lie, lasts } => {
                self.record_fault(format!("discovery lies: {lie:?}"));
                self.discovery.set_lie(Some(lie));
                sleep(lasts).await;
                self.discovery.set_lie(None);
            }
            Fault::DiscoveryMoved {} => {
                self.record_fault("discovery moves".to_owned());
                let mut notified = Vec::new();
                for (n, call) in self.discovery_links.iter().enumerate() {
                    let link = Link::new(stream(self.seed, &format!("link {n} discovery moved")));
                    let moved = self.discovery.listen(n, Rc::clone(&link));
                    match moved.and_then(|address| self.proxies[n].set_discovery(address).map(|()| address)) {
                        Ok(address) => notified.push((n, address)),
                        Err(error) => self.record_fault(format!("client proxy {n} is not told: {error}")),
                    }
                    let old = call.replace(link);
                    old.refuse(true);
                    spawn_local(async move {
                        sleep(OLD_ADDRESS_CLOSE_DELAY).await;
                        old.reset();
                    });
                }
                sleep(DISCOVERY_MOVE_GRACE).await;
                let has_polled = |(n, address): &&(usize, _)| self.discovery.last_polled_at(*n, *address);
                let followed = notified.iter().filter(has_polled).count();
                self.record_fault(format!("{followed} client proxies have followed discovery"));
            }
            Fault::OperatorOverride { servers, proxies, lasts } => {
                let (servers, proxies) = (self.servers(&servers, &mut rng), self.proxies(&proxies, &mut rng));
                self.record_fault(format!("{} servers out by hand at {}", servers.len(), proxies.len()));
                self.set_operator_override(&servers, &proxies, true).await;
                // Operators restart the machine only after its requests in flight have finished.
                sleep(lasts.mul_f64(0.8)).await;
                for &n in &servers {
                    self.servers[n].restart();
                    self.links.iter().for_each(|links| links[n].reset());
                }
                self.discovery.refresh();
                sleep(lasts.mul_f64(0.2)).await;
                self.record_fault(format!("{} servers put back", servers.len()));
                self.set_operator_override(&servers, &proxies, false).await;
            }
            Fault::DiskFull { proxies, lasts } => {
                let proxies = self.proxies(&proxies, &mut rng);
                self.record_fault(format!("no room for {} client proxies", proxies.len()));
                proxies.iter().for_each(|&n| self.proxies[n].disk_full(true));
                sleep(lasts).await;
                proxies.iter().for_each(|&n| self.proxies[n].disk_full(false));
            }
            Fault::DiskGone { proxies, lasts } => {
                let proxies = self.proxies(&proxies, &mut rng);
                self.record_fault(format!("no folder for {} client proxies", proxies.len()));
                let mut results: Vec<_> = proxies.iter().map(|&n| self.proxies[n].disk_gone(true)).collect();
                sleep(lasts).await;
                results.extend(proxies.iter().map(|&n| self.proxies[n].disk_gone(false)));
                for error in results.into_iter().filter_map(Result::err) {
                    self.record_fault(format!("a folder cannot be moved: {error}"));
                }
            }
            Fault::DiscoveryStale { by, lasts } => {
                self.record_fault(format!("discovery {} s old", by.as_secs_f64()));
                self.discovery.set_stale(by.as_secs_f64());
                sleep(lasts).await;
                self.discovery.set_stale(0.0);
            }
        }
    }

    /// Disables order servers by operator override, or enables them again, at all given client proxies
    /// concurrently. Once a client proxy has confirmed that a server is disabled, the server counts as
    /// draining there.
    async fn set_operator_override(self: &Rc<Self>, servers: &[usize], proxies: &[usize], disabled: bool) {
        let calls = proxies.iter().map(|&n| {
            let (environment, servers) = (Rc::clone(self), servers.to_vec());
            spawn_local(async move {
                let mut rejected = 0;
                for m in servers {
                    let accepted = environment.proxies[n]
                        .set_operator_override(&environment.servers[m].traits.name, disabled)
                        .await;
                    if accepted {
                        environment.servers[m].set_operator_override(n, disabled);
                    } else {
                        rejected += 1;
                    }
                }
                rejected
            })
        });
        let calls: Vec<_> = calls.collect();
        let mut rejected = 0;
        for call in calls {
            rejected += call.await.unwrap_or(0);
        }
        if rejected > 0 {
            self.record_fault(format!("{rejected} calls by hand were refused"));
        }
    }

    async fn set_response_mode(
        &self,
        servers: &Selector,
        mode: ResponseMode,
        lasts: Duration,
        rng: &mut Pcg32,
    ) {
        let servers = self.servers(servers, rng);
        self.record_fault(format!("{} servers {mode:?}", servers.len()));
        servers.iter().for_each(|&n| self.servers[n].set_response_mode(mode));
        sleep(lasts).await;
        servers.iter().for_each(|&n| self.servers[n].set_response_mode(ResponseMode::Well));
    }

    async fn restart(self: Rc<Self>, n: usize) {
        match self.proxies[n].start().await {
            Ok(()) => self.beside[n].fault_ended(self.play.now()),
            Err(error) => self.failed_to_start(&error),
        }
    }

    fn failed_to_start(&self, error: &FleetError) {
        let now = self.play.now();
        self.play.ledger.borrow_mut().record_violation(Rule::Crash, now, &error.to_string());
    }
}

/// A path between a client proxy and an order server, or between two client proxies.
enum Path<'w> {
    Connections(&'w Link),
    /// The forward and the reverse direction.
    Datagrams(&'w Lane, &'w Lane),
}

impl Path<'_> {
    /// Sets a property of both directions.
    fn set<T>(&self, forward: T, reverse: T, link: fn(&Link, T, T), lane: fn(&Lane, T)) {
        match self {
            Path::Connections(connection_link) => link(connection_link, forward, reverse),
            Path::Datagrams(to, from) => {
                lane(to, forward);
                lane(from, reverse);
            }
        }
    }

    /// The affected directions of a datagram path; none for connections.
    fn lanes(&self, (forward, reverse): (bool, bool)) -> impl Iterator<Item = &Lane> {
        let affected = match self {
            Path::Connections(_) => [None, None],
            Path::Datagrams(to, from) => [forward.then_some(*to), reverse.then_some(*from)],
        };
        affected.into_iter().flatten()
    }

    /// The link, if this is a path of connections.
    fn connections(&self) -> Option<&Link> {
        if let Path::Connections(link) = self { Some(link) } else { None }
    }
}

/// Whether a fault affects the forward and the reverse direction.
fn directions(way: Option<Direction>) -> (bool, bool) {
    (way != Some(Direction::Reverse), way != Some(Direction::Forward))
}

/// One-way latency between two zones.
pub fn one_way_latency(zones: &[Zone], latency: &Latency, from: usize, to: usize) -> Duration {
    if from == to {
        latency.zone
    } else if zones[from].region == zones[to].region {
        latency.region
    } else {
        latency.far
    }
}

/// Samples the resource usage of the processes until cancelled.
pub async fn sample_usage(proxies: Vec<Rc<Proxy>>, every: Duration) {
    loop {
        proxies.iter().for_each(|proxy| proxy.sample_usage());
        sleep(every).await;
    }
}

/// Checks the rules on processes: resource limits, and no unexpected exit.
pub fn check_processes(environment: &Environment, cores: f64, memory_mb: u64, sockets: u64, elapsed_s: f64) {
    let ledger: &RefCell<_> = &environment.play.ledger;
    let now = environment.play.now();
    for (n, (proxy, beside)) in environment.proxies.iter().zip(&environment.beside).enumerate() {
        let (usage, interrupted) = (proxy.usage(), beside.had_fault(now, now));
        let violation = |rule, how: String| ledger.borrow_mut().record_violation(rule, now, &how);
        if proxy.has_exited() && !interrupted {
            violation(
                Rule::Crash,
                format!("client proxy {n} exited unexpectedly: {}", proxy.last_log_lines()),
            );
        }
        if usage.memory_mb > memory_mb as f64 {
            violation(
                Rule::Limits,
                format!("client proxy {n} exceeded its memory limit: {:.1} MB", usage.memory_mb),
            );
        }
        if usage.descriptors > sockets as usize {
            violation(
                Rule::Limits,
                format!("client proxy {n} exceeded its limit of open descriptors: {}", usage.descriptors),
            );
        }
        if usage.cpu_s > cores * elapsed_s {
            violation(Rule::Limits, format!("client proxy {n} exceeded its CPU limit: {:.2} s", usage.cpu_s));
        }
    }
}
