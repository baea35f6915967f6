//! Injects the faults of a scenario at their scheduled times.

mod discovery_faults;
mod injection;
mod link_faults;
mod process_faults;
mod processes;
mod selection;
mod server_faults;

pub use self::processes::{check_processes, sample_usage};

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::task::AbortOnDropHandle;

use crate::chance::stream;
use crate::clients::ClientProxy;
use crate::datagrams::Datagrams;
use crate::discovery::Discovery;
use crate::fleet::Proxy;
use crate::link::Link;
use crate::run_context::RunContext;
use crate::scenario::{Direction, Event, Latency, Zone};
use crate::servers::Server;

/// How often the condition of an event with `when_served` is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

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
