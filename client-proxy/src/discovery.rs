//! Discovery: lists and watches, turned into news for the decisions and places for the connections. Which
//! call comes next, until when it has to be answered and what the answer says is `discovery_proto`'s; here
//! are the sockets.

mod source_selector;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use balancer::{DiscoveryMode as Mode, EndpointUpdate};
use discovery_client::{
    DiscoveryConnection, DiscoveryResponse, PollError, dial, exchange, list_request, origin_time,
};
use discovery_proto::{ListReader, ListResponse, PollTiming, ReceivedAt, Subscription};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::{Value, json};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use crate::driver::{DiscoveryCommand, Driver};
use crate::endpoint_pool::EndpointPool;
use crate::names::Names;
use crate::process_state::ProcessState;

pub use self::source_selector::SourceSelector;

/// A part of each call's time: a dial that takes longer is to a discovery that cannot be reached.
const DIAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Guards against a discovery that answers without end what does not wait: a breath before the next call,
/// well within the 200 ms in which a watch goes on.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A list may be long, but not endless.
const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;
/// How long to wait for a first answer where endpoints are known from before.
const FIRST_POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Keeps the list of endpoints as discovery tells it.
pub struct Discovery {
    sources: SourceSelector,
    mode: Mode,
    driver: Rc<Driver>,
    /// Where the list is handed on to the next process, if there is to be one.
    state: Option<Rc<ProcessState>>,
    subscription: Subscription<EndpointPool>,
    rng: Pcg32,
    connection: Option<DiscoveryConnection>,
    /// Where the last call went.
    last_address: Option<SocketAddr>,
    failing: bool,
    ready: watch::Sender<bool>,
}

impl Discovery {
    /// Nothing is asked before [`Discovery::run`].
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
            last_address: None,
            failing: false,
            ready: watch::Sender::new(false),
        }
    }

    /// Turns true once there are endpoints to send to.
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Follows the list for as long as the program runs, beginning with what was `known` before.
    pub async fn run(
        mut self,
        known: Option<Value>,
        mut commands: mpsc::UnboundedReceiver<DiscoveryCommand>,
    ) {
        let mut has_cached_list = false;
        match known.map(serde_json::from_value) {
            Some(Ok(list)) => {
                // Where lists are pushed the whole list is to be had for nothing, so no old version is built
                // on.
                let entries =
                    self.subscription.restore(list, self.mode == Mode::Pull, self.driver.clock().now());
                self.log_problems();
                if !entries.is_empty() {
                    let ready = self.ready.clone();
                    spawn_local(async move {
                        sleep(FIRST_POLL_TIMEOUT).await;
                        ready.send_replace(true);
                    });
                }
                self.driver.apply_endpoint_update(EndpointUpdate::CachedSnapshot(entries));
                has_cached_list = true;
            }
            Some(Err(error)) => eprintln!("client-proxy: known: not a list, so left out: {error}"),
            None => {}
        }
        if !has_cached_list {
            // The decisions begin with an event, also where nothing was known.
            self.driver.apply_endpoint_update(EndpointUpdate::CachedSnapshot(Vec::new()));
        }
        self.driver.apply_operator_overrides();
        match self.mode {
            Mode::Push => self.follow().await,
            Mode::Pull => loop {
                let command = tokio::select! {
                    command = commands.recv() => command,
                    // A move ends the pause that the decisions make after a failure: that was of the old
                    // address.
                    () = self.sources.wait_for_move() => Some(DiscoveryCommand::Watch),
                };
                let Some(command) = command else { return };
                self.poll_for(command).await;
            },
        }
    }

    /// Lists that are pushed: goes on asking the agent, also through its silence.
    async fn follow(&mut self) {
        loop {
            if let Err(error) = self.poll().await {
                let backoff = self.record_failure(&error);
                if let Some(backoff) = self.failover_backoff(&error) {
                    sleep(backoff).await;
                    continue;
                }
                let jitter = 0.5 + 0.5 * f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
                tokio::select! {
                    () = sleep(backoff.mul_f64(jitter)) => {}
                    // A move ends the pause: that was of the old address.
                    () = self.sources.wait_for_move() => {}
                }
            }
        }
    }

    /// Lists that are asked for: the decisions say when, and back off by themselves.
    async fn poll_for(&mut self, command: DiscoveryCommand) {
        if command == DiscoveryCommand::Fetch {
            self.subscription.request_full_snapshot();
        }
        loop {
            if let Err(error) = self.poll().await {
                self.record_failure(&error);
                // All see a relay fail at once, so each goes on to another after a pause of its own.
                if let Some(backoff) = self.failover_backoff(&error) {
                    sleep(backoff).await;
                    continue;
                }
                self.driver.apply_endpoint_update(EndpointUpdate::Failed);
                return;
            }
        }
    }

    /// One call and what it tells.
    async fn poll(&mut self) -> Result<(), PollError> {
        let polled_at = Instant::now();
        let DiscoveryResponse { connection: conn, headers, body } = loop {
            if self.sources.has_moved() {
                // A link to where discovery no longer is is of no more use.
                self.connection = None;
                self.subscription.source_changed();
            }
            let (address, endpoint) = self.sources.next_source();
            let previous = self.last_address.replace(address);
            // Relays tell the same discovery's list; an address that is named once more is the same
            // discovery.
            if self.sources.is_shared() && previous.is_some_and(|previous| previous != address) {
                self.subscription.reset_versions();
            }
            let call = self.subscription.next_poll();
            let request = list_request(endpoint, &call.path());
            // Guards against a dead or silent link: whatever fails, the next call begins with a new one.
            let conn = self.connection.take();
            let dial = dial(address, DIAL_TIMEOUT);
            tokio::select! {
                reply = timeout(call.timeout, exchange(conn, dial, request, MAX_LIST_BYTES)) => break reply??,
                // Guards against waiting on where discovery no longer is: the same call is made at the new
                // address.
                () = self.sources.wait_for_move() => {}
            }
        };
        let discovery_unix_ms = origin_time(&headers).map(|time| time.as_secs_f64() * 1e3);
        let received = ReceivedAt { local: self.driver.clock().now(), discovery_unix_ms };
        let response = self.subscription.on_response(&body, received);
        self.log_problems();
        let response = response?;
        self.sources.record_success();
        self.connection = Some(conn);
        if self.failing {
            self.failing = false;
            eprintln!("client-proxy: discovery answers again");
        }
        let (index, update, empty_watch) = match response {
            ListResponse::Applied { index, update, empty_watch } => (index, update, empty_watch),
            ListResponse::Rejected { index } => {
                eprintln!(
                    "client-proxy: discovery: version {index} does not follow what is held: asking for all of it"
                );
                sleep(MIN_POLL_INTERVAL).await;
                return Ok(());
            }
        };
        self.publish_list(index);
        let is_unchanged = matches!(&update, EndpointUpdate::Changes(changes) if changes.is_empty());
        if !is_unchanged || self.mode == Mode::Pull {
            self.driver.apply_endpoint_update(update);
        }
        self.ready.send_replace(true);
        if empty_watch && polled_at.elapsed() < MIN_POLL_INTERVAL {
            sleep(MIN_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// After how long the same is to be asked again, of another relay or of the same one, if that is left.
    fn failover_backoff(&mut self, error: &PollError) -> Option<Duration> {
        // Guards against relays that are left alone for up to a minute because this process lacks a
        // descriptor.
        if error.is_local() && !self.sources.is_shared() {
            return Some(MIN_POLL_INTERVAL);
        }
        self.sources.record_failure()
    }

    fn log_problems(&self) {
        for problem in self.subscription.entry_errors() {
            eprintln!("client-proxy: discovery: an entry is left out: {problem}");
        }
    }

    /// Leaves the list for the next process.
    fn publish_list(&self, index: u64) {
        let (Some(state), Some(raw)) = (&self.state, &self.subscription.reader().raw_entries) else { return };
        let endpoints: Vec<Value> = raw.borrow().values().cloned().collect();
        state.publish_list(json!({"index": index, "snapshot": true, "endpoints": endpoints}));
    }

    /// Says so once, however long it lasts; the pause before the next call, where nobody else says when.
    fn record_failure(&mut self, error: &PollError) -> Duration {
        if !self.failing {
            self.failing = true;
            eprintln!("client-proxy: discovery: {error}");
        }
        self.subscription.on_failure(error.is_invalid_response())
    }
}

#[cfg(test)]
mod tests;
