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
const DIAL_WITHIN: Duration = Duration::from_millis(500);
/// Guards against a discovery that answers without end what does not wait: a breath before the next call,
/// well within the 200 ms in which a watch goes on.
const BREATH: Duration = Duration::from_millis(50);
/// A list may be long, but not endless.
const LIST_MOST: usize = 8 * 1024 * 1024;
/// How long to wait for a first answer where endpoints are known from before.
const START_WITHIN: Duration = Duration::from_secs(1);

/// Keeps the list of endpoints as discovery tells it.
pub struct Discovery {
    whom: SourceSelector,
    mode: Mode,
    driver: Rc<Driver>,
    /// Where the list is handed on to the next process, if there is to be one.
    handover: Option<Rc<ProcessState>>,
    follower: Subscription<EndpointPool>,
    rng: Pcg32,
    link: Option<DiscoveryConnection>,
    /// Where the last call went.
    asked: Option<SocketAddr>,
    failing: bool,
    ready: watch::Sender<bool>,
}

impl Discovery {
    /// Nothing is asked before [`Discovery::run`].
    pub fn new(
        whom: SourceSelector,
        mode: Mode,
        names: Names,
        seed: u64,
        endpoints: Rc<EndpointPool>,
        driver: Rc<Driver>,
        handover: Option<Rc<ProcessState>>,
    ) -> Discovery {
        let listed = handover.as_ref().map(|_| RefCell::default());
        let Names { zones, kinds, .. } = names;
        let pace = match mode {
            _ if !whom.is_shared() => PollTiming::DIRECT,
            Mode::Pull => PollTiming::QUEUED,
            Mode::Push => PollTiming::AGENT,
        };
        Discovery {
            whom,
            mode,
            follower: Subscription::new(
                pace,
                ListReader { zones, kinds, endpoints, ids: driver.ids(), raw_entries: listed },
            ),
            driver,
            handover,
            rng: Pcg32::seed_from_u64(seed),
            link: None,
            asked: None,
            failing: false,
            ready: watch::Sender::new(false),
        }
    }

    /// Turns true once there are endpoints to send to.
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.subscribe()
    }

    /// Follows the list for as long as the program runs, beginning with what was `known` before.
    pub async fn run(mut self, known: Option<Value>, mut asks: mpsc::UnboundedReceiver<DiscoveryCommand>) {
        let mut heard = false;
        match known.map(serde_json::from_value) {
            Some(Ok(list)) => {
                // Where lists are pushed the whole list is to be had for nothing, so no old version is built
                // on.
                let entries = self.follower.restore(list, self.mode == Mode::Pull, self.driver.clock().now());
                self.log_problems();
                if !entries.is_empty() {
                    let ready = self.ready.clone();
                    spawn_local(async move {
                        sleep(START_WITHIN).await;
                        ready.send_replace(true);
                    });
                }
                self.driver.apply_endpoint_update(EndpointUpdate::CachedSnapshot(entries));
                heard = true;
            }
            Some(Err(error)) => eprintln!("client-proxy: known: not a list, so left out: {error}"),
            None => {}
        }
        if !heard {
            // The decisions begin with an event, also where nothing was known.
            self.driver.apply_endpoint_update(EndpointUpdate::CachedSnapshot(Vec::new()));
        }
        self.driver.apply_operator_overrides();
        match self.mode {
            Mode::Push => self.follow().await,
            Mode::Pull => loop {
                let ask = tokio::select! {
                    ask = asks.recv() => ask,
                    // A move ends the pause that the decisions make after a failure: that was of the old
                    // address.
                    () = self.whom.moves() => Some(DiscoveryCommand::Watch),
                };
                let Some(ask) = ask else { return };
                self.answer(ask).await;
            },
        }
    }

    /// Lists that are pushed: goes on asking the agent, also through its silence.
    async fn follow(&mut self) {
        loop {
            if let Err(error) = self.next().await {
                let pause = self.failed(&error);
                if let Some(pause) = self.go_elsewhere(&error) {
                    sleep(pause).await;
                    continue;
                }
                let jitter = 0.5 + 0.5 * f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
                tokio::select! {
                    () = sleep(pause.mul_f64(jitter)) => {}
                    // A move ends the pause: that was of the old address.
                    () = self.whom.moves() => {}
                }
            }
        }
    }

    /// Lists that are asked for: the decisions say when, and back off by themselves.
    async fn answer(&mut self, ask: DiscoveryCommand) {
        if ask == DiscoveryCommand::Fetch {
            self.follower.request_full_snapshot();
        }
        loop {
            if let Err(error) = self.next().await {
                self.failed(&error);
                // All see a relay fail at once, so each goes on to another after a pause of its own.
                if let Some(pause) = self.go_elsewhere(&error) {
                    sleep(pause).await;
                    continue;
                }
                self.driver.apply_endpoint_update(EndpointUpdate::Failed);
                return;
            }
        }
    }

    /// One call and what it tells.
    async fn next(&mut self) -> Result<(), PollError> {
        let asked = Instant::now();
        let DiscoveryResponse { connection: link, headers, body } = loop {
            if self.whom.moved() {
                // A link to where discovery no longer is is of no more use.
                self.link = None;
                self.follower.source_changed();
            }
            let (address, endpoint) = self.whom.next();
            let before = self.asked.replace(address);
            // Relays tell the same discovery's list; an address that is named once more is the same
            // discovery.
            if self.whom.is_shared() && before.is_some_and(|before| before != address) {
                self.follower.reset_versions();
            }
            let call = self.follower.next_poll();
            let request = list_request(endpoint, &call.path());
            // Guards against a dead or silent link: whatever fails, the next call begins with a new one.
            let link = self.link.take();
            let dial = dial(address, DIAL_WITHIN);
            tokio::select! {
                called = timeout(call.timeout, exchange(link, dial, request, LIST_MOST)) => break called??,
                // Guards against waiting on where discovery no longer is: the same call is made at the new
                // address.
                () = self.whom.moves() => {}
            }
        };
        let discovery_unix_ms = origin_time(&headers).map(|time| time.as_secs_f64() * 1e3);
        let received = ReceivedAt { local: self.driver.clock().now(), discovery_unix_ms };
        let answer = self.follower.on_response(&body, received);
        self.log_problems();
        let answer = answer?;
        self.whom.answered();
        self.link = Some(link);
        if self.failing {
            self.failing = false;
            eprintln!("client-proxy: discovery answers again");
        }
        let (index, news, in_vain) = match answer {
            ListResponse::Applied { index, update: news, empty_watch: in_vain } => (index, news, in_vain),
            ListResponse::Rejected { index } => {
                eprintln!(
                    "client-proxy: discovery: version {index} does not follow what is held: asking for all of it"
                );
                sleep(BREATH).await;
                return Ok(());
            }
        };
        self.hand_on(index);
        let nothing = matches!(&news, EndpointUpdate::Changes(changes) if changes.is_empty());
        if !nothing || self.mode == Mode::Pull {
            self.driver.apply_endpoint_update(news);
        }
        self.ready.send_replace(true);
        if in_vain && asked.elapsed() < BREATH {
            sleep(BREATH).await;
        }
        Ok(())
    }

    /// After how long the same is to be asked again, of another relay or of the same one, if that is left.
    fn go_elsewhere(&mut self, error: &PollError) -> Option<Duration> {
        // Guards against relays that are left alone for up to a minute because this process lacks a
        // descriptor.
        if error.is_local() && !self.whom.is_shared() {
            return Some(BREATH);
        }
        self.whom.failed()
    }

    fn log_problems(&self) {
        for problem in self.follower.entry_errors() {
            eprintln!("client-proxy: discovery: an entry is left out: {problem}");
        }
    }

    /// Leaves the list for the next process.
    fn hand_on(&self, index: u64) {
        let (Some(handover), Some(listed)) = (&self.handover, &self.follower.reader().raw_entries) else {
            return;
        };
        let endpoints: Vec<Value> = listed.borrow().values().cloned().collect();
        handover.hand_on(json!({"index": index, "snapshot": true, "endpoints": endpoints}));
    }

    /// Says so once, however long it lasts; the pause before the next call, where nobody else says when.
    fn failed(&mut self, error: &PollError) -> Duration {
        if !self.failing {
            self.failing = true;
            eprintln!("client-proxy: discovery: {error}");
        }
        self.follower.on_failure(error.is_invalid_response())
    }
}

#[cfg(test)]
mod tests;
