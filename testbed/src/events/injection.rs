//! Injects the faults of a scenario.

use std::rc::Rc;
use std::time::Duration;

use rand_pcg::Pcg32;
use rustix::process::Signal;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::selection::Path;
use super::{Environment, directions};
use crate::chance::stream;
use crate::datagrams::Lane;
use crate::fleet::FleetError;
use crate::ledger::Rule;
use crate::link::Link;
use crate::scenario::{Fault, Selector};
use crate::servers::ResponseMode;

/// Time from the start of a drain until discovery removes the order server.
const DRAINED_SERVER_REMOVAL_DELAY: Duration = Duration::from_secs(5);

/// Time after discovery's move at which its old address closes the polls that are still open.
const OLD_ADDRESS_CLOSE_DELAY: Duration = Duration::from_millis(1500);

/// Time after discovery's move within which each client proxy that was notified polls the new address.
const DISCOVERY_MOVE_GRACE: Duration = Duration::from_secs(4);

/// Upper bound on a client proxy's exit after SIGTERM: it takes the longest deadline plus 0.7 s; beyond this
/// bound it counts as hanging.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);

impl Environment {
    pub(super) async fn inject(self: &Rc<Self>, fault: Fault, mut rng: Pcg32) {
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
