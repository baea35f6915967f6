//! Follows the endpoint list and passes updates to the balancer and the endpoint pool. `discovery_proto`
//! decides which poll comes next, when it times out and what a response means; this module has the
//! connections.

mod polling;
mod source_selector;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use balancer::{DiscoveryMode as Mode, EndpointEntry, EndpointUpdate};
use discovery_client::{DiscoveryConnection, PollError, SupersededPolls};
use discovery_proto::{EndpointList, ListReader, PollTiming, Subscription, SupersededPoll};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use crate::driver::{DiscoveryCommand, Driver};
use crate::endpoint_pool::EndpointPool;
use crate::names::Names;
use crate::process_state::{CachedList, ProcessState};

pub use self::source_selector::SourceSelector;

/// Minimum time between polls that discovery should have held open but returned at once, which could
/// otherwise go on in a tight loop. Well below 200 ms, the time within which a watch has to be resumed.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long readiness waits for the first response of discovery if a cached list can be served without it.
const FIRST_POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// How long it waits if the cached list cannot be served: a restarted process has to be ready within 10 s.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(9);
/// How long a superseded poll is waited for: an earlier address closes its connections this long after the
/// reload ("Reloading" in the operators' terms).
const SUPERSEDED_POLL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Follows the endpoint list.
pub struct Discovery {
    sources: SourceSelector,
    mode: Mode,
    driver: Rc<Driver>,
    /// Where the list is stored for the next process, if there can be one.
    state: Option<Rc<ProcessState>>,
    subscription: Subscription<EndpointPool>,
    rng: Pcg32,
    connection: Option<DiscoveryConnection>,
    superseded_polls: SupersededPolls<SupersededPoll>,
    /// Address of the last poll.
    last_address: Option<SocketAddr>,
    failing: bool,
    started_at: Instant,
    ready: watch::Sender<bool>,
}

impl Discovery {
    /// Does not poll before [`Discovery::run`].
    pub fn new(
        sources: SourceSelector,
        mode: Mode,
        names: Names,
        seed: u64,
        endpoints: Rc<EndpointPool>,
        driver: Rc<Driver>,
        state: Option<Rc<ProcessState>>,
    ) -> Discovery {
        let raw_entries = state.as_ref().map(|_| RefCell::default());
        let Names { zones, kinds, .. } = names;
        let timing = match mode {
            _ if !sources.is_shared() => PollTiming::DIRECT,
            Mode::Pull => PollTiming::QUEUED,
            Mode::Push => PollTiming::AGENT,
        };
        Discovery {
            sources,
            mode,
            subscription: Subscription::new(
                timing,
                ListReader { zones, kinds, endpoints, ids: driver.ids(), raw_entries },
            ),
            driver,
            state,
            rng: Pcg32::seed_from_u64(seed),
            connection: None,
            superseded_polls: SupersededPolls::new(SUPERSEDED_POLL_TIMEOUT),
            last_address: None,
            failing: false,
            started_at: Instant::now(),
            ready: watch::Sender::new(false),
        }
    }

    /// Becomes true once there are endpoints to send requests to, or once waiting for them has taken too long.
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Follows the list for as long as the program runs, starting from the list that is `cached`.
    pub async fn run(
        mut self,
        cached: Option<CachedList>,
        commands: mpsc::UnboundedReceiver<DiscoveryCommand>,
    ) {
        let entries = cached.and_then(|cached| self.restore_cached_list(cached));
        // The balancer needs a first snapshot, even if no list can be served.
        self.driver.apply_endpoint_update(EndpointUpdate::CachedSnapshot(entries.unwrap_or_default()));
        self.driver.apply_operator_overrides();
        match self.mode {
            Mode::Push => self.follow().await,
            Mode::Pull => self.follow_commands(commands).await,
        }
    }

    /// The endpoints of a list from before this process; `None` if it cannot be read, or must not be served
    /// before discovery has confirmed it.
    fn restore_cached_list(&mut self, cached: CachedList) -> Option<Vec<EndpointEntry>> {
        let CachedList { list, is_followed } = cached;
        let list: EndpointList = match serde_json::from_value(list) {
            Ok(list) => list,
            Err(error) => {
                tracing::info!("cached endpoint list ignored: {error}");
                return None;
            }
        };
        // What the agent has counts as received from the first moment of a process, which cannot know it.
        if self.mode == Mode::Push && !is_followed {
            tracing::info!("cached endpoint list (version {}) awaits confirmation by discovery", list.index);
            if !list.endpoints.is_empty() {
                self.become_ready_unconfirmed();
            }
            return None;
        }
        // In `Push` mode the full snapshot costs nothing extra, so the old version is not resumed from.
        let entries = self.subscription.restore(list, self.mode == Mode::Pull, self.driver.clock().now());
        self.log_problems();
        if !entries.is_empty() {
            let ready = self.ready.clone();
            spawn_local(async move {
                sleep(FIRST_POLL_TIMEOUT).await;
                ready.send_replace(true);
            });
        }
        Some(entries)
    }

    /// Makes the process ready without a list if discovery has not responded in time. Requests are rejected
    /// until it does.
    fn become_ready_unconfirmed(&self) {
        let (ready, at) = (self.ready.clone(), self.started_at + CONFIRMATION_TIMEOUT);
        spawn_local(async move {
            sleep_until(at).await;
            if !ready.send_replace(true) {
                tracing::info!(
                    "ready without an endpoint list: requests are rejected until discovery responds"
                );
            }
        });
    }

    /// `Pull` mode: polls whenever the balancer says so.
    async fn follow_commands(&mut self, mut commands: mpsc::UnboundedReceiver<DiscoveryCommand>) {
        loop {
            let command = tokio::select! {
                command = commands.recv() => command,
                // A new address ends the balancer's backoff after a failure, which concerned the old address.
                () = self.sources.wait_for_move() => Some(DiscoveryCommand::Watch),
                (poll, response) = self.superseded_polls.next_response() => {
                    self.apply_superseded_response(poll, &response);
                    continue;
                }
            };
            let Some(command) = command else { return };
            self.poll_for(command).await;
        }
    }

    /// `Push` mode: polls continuously, retrying while the agent does not respond.
    async fn follow(&mut self) {
        loop {
            if let Err(error) = self.poll().await {
                let backoff = self.record_failure(&error);
                if let Some(backoff) = self.failover_backoff(&error) {
                    sleep(backoff).await;
                    continue;
                }
                let jitter = 0.5 + 0.5 * f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
                self.back_off(backoff.mul_f64(jitter)).await;
            }
        }
    }

    /// Waits before the next poll. A new address ends the backoff, which concerned the old address.
    async fn back_off(&mut self, backoff: Duration) {
        let until = Instant::now() + backoff;
        loop {
            tokio::select! {
                () = sleep_until(until) => return,
                () = self.sources.wait_for_move() => return,
                (poll, response) = self.superseded_polls.next_response() => {
                    self.apply_superseded_response(poll, &response);
                }
            }
        }
    }

    /// `Pull` mode: the balancer decides when to poll and when to retry.
    async fn poll_for(&mut self, command: DiscoveryCommand) {
        if command == DiscoveryCommand::Fetch {
            self.subscription.request_full_snapshot();
        }
        loop {
            if let Err(error) = self.poll().await {
                self.record_failure(&error);
                // All client proxies see a relay fail at the same time, so each fails over to another relay
                // after a backoff of its own.
                if let Some(backoff) = self.failover_backoff(&error) {
                    sleep(backoff).await;
                    continue;
                }
                self.driver.apply_endpoint_update(EndpointUpdate::Failed);
                return;
            }
        }
    }

    /// Backoff before the same poll is repeated at another relay, or at the same one after a local error;
    /// `None` if no relay is left.
    fn failover_backoff(&mut self, error: &PollError) -> Option<Duration> {
        // A local error, such as a lack of descriptors, is not the relay's fault. Marking relays as failed
        // for it could exclude them for up to a minute.
        if error.is_local() && !self.sources.is_shared() {
            return Some(MIN_POLL_INTERVAL);
        }
        self.sources.record_failure()
    }

    /// Logs the first of several failures in a row. Returns the backoff before the next poll, for the mode in
    /// which the balancer does not set one.
    fn record_failure(&mut self, error: &PollError) -> Duration {
        if !self.failing {
            self.failing = true;
            tracing::info!("discovery poll failed: {error}");
        }
        self.subscription.on_failure(error.is_invalid_response())
    }
}

#[cfg(test)]
mod tests;
