//! One poll of discovery: its connection, its response, and the late responses of earlier polls meanwhile.

use std::time::Duration;

use balancer::{DiscoveryMode as Mode, EndpointUpdate};
use discovery_client::{DiscoveryResponse, Exchange, PollError, dial, exchange, list_request, origin_time};
use discovery_proto::{ListResponse, ReceivedAt, SupersededPoll};
use hyper::HeaderMap;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout_at};

use super::{Discovery, MIN_POLL_INTERVAL};

/// Part of the timeout of a poll: discovery counts as unreachable if a dial takes longer.
const DIAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit for the size of an endpoint list.
const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;

impl Discovery {
    /// Makes one poll and applies its response.
    pub(super) async fn poll(&mut self) -> Result<(), PollError> {
        let polled_at = Instant::now();
        let DiscoveryResponse { connection, headers, body } = self.fetch_response().await?;
        let received = self.received_at(&headers);
        let response = self.subscription.on_response(&body, received);
        self.log_problems();
        let response = response?;
        self.sources.record_success();
        self.connection = Some(connection);
        if self.failing {
            self.failing = false;
            tracing::info!("discovery responds again");
        }
        let (index, update, empty_watch) = match response {
            ListResponse::Applied { index, update, empty_watch } => (index, update, empty_watch),
            ListResponse::Rejected { index } => {
                tracing::info!("discovery: version {index} rejected: fetching a full snapshot");
                sleep(MIN_POLL_INTERVAL).await;
                return Ok(());
            }
        };
        self.superseded_polls.clear();
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

    /// Sends the next poll and waits for its response. Whenever discovery moves meanwhile, the poll is repeated
    /// at the new address at once. What a poll that has been repeated, or will be since it timed out, still
    /// brings is applied until a later one is answered.
    async fn fetch_response(&mut self) -> Result<DiscoveryResponse, PollError> {
        loop {
            let (due, mut exchange) = self.start_poll();
            let result = loop {
                tokio::select! {
                    result = timeout_at(due, &mut exchange) => break Some(result),
                    (poll, response) = self.superseded_polls.next_response() => {
                        self.apply_superseded_response(poll, &response);
                    }
                    () = self.sources.wait_for_move() => break None,
                }
            };
            if let Some(Ok(response)) = result {
                return response;
            }
            self.superseded_polls.add(self.subscription.supersede_poll(), exchange);
            if let Some(Err(timed_out)) = result {
                return Err(timed_out.into());
            }
        }
    }

    /// The next poll, and when it times out.
    fn start_poll(&mut self) -> (Instant, Exchange) {
        if self.sources.has_moved() {
            // The connection leads to the old address.
            self.connection = None;
            self.subscription.source_changed();
        }
        let (address, endpoint) = self.sources.next_source();
        let previous = self.last_address.replace(address);
        // Relays serve the list of the same discovery, so a change of relay does not start a new session.
        // The same address configured again is the same discovery too.
        if self.sources.is_shared() && previous.is_some_and(|previous| previous != address) {
            self.subscription.reset_versions();
        }
        let call = self.subscription.next_poll();
        let request = list_request(endpoint, &call.path());
        // Taken for the duration of the poll: if it fails or times out, the connection is dropped and the
        // next poll dials.
        let connection = self.connection.take();
        let exchange = exchange(connection, dial(address, DIAL_TIMEOUT), request, MAX_LIST_BYTES);
        (Instant::now() + call.timeout, Box::pin(exchange))
    }

    /// Applies the late response to a superseded poll. All addresses lead to the same discovery, so a change
    /// counts as told once any of them has written it.
    pub(super) fn apply_superseded_response(&mut self, poll: SupersededPoll, response: &DiscoveryResponse) {
        let received = self.received_at(&response.headers);
        let update = self.subscription.on_superseded_response(poll, &response.body, received);
        self.log_problems();
        match update {
            Ok(Some(update)) => {
                if let Some(index) = self.subscription.version() {
                    self.publish_list(index);
                }
                self.driver.apply_endpoint_update(update);
                self.ready.send_replace(true);
            }
            Ok(None) => {}
            Err(error) => {
                tracing::info!("late response of discovery ignored: {error}");
            }
        }
    }

    /// When a response with these headers was received, which is now.
    fn received_at(&self, headers: &HeaderMap) -> ReceivedAt {
        let discovery_unix_ms = origin_time(headers).map(|time| time.as_secs_f64() * 1e3);
        ReceivedAt { local: self.driver.clock().now(), discovery_unix_ms }
    }

    /// Logs which entries of the last list could not be parsed.
    pub(super) fn log_problems(&self) {
        for problem in self.subscription.entry_errors() {
            tracing::info!("discovery: endpoint entry ignored: {problem}");
        }
    }

    /// Stores the list for the next process.
    fn publish_list(&self, index: u64) {
        let (Some(state), Some(raw)) = (&self.state, &self.subscription.reader().raw_entries) else { return };
        let endpoints: Vec<Value> = raw.borrow().values().cloned().collect();
        state.publish_list(json!({"index": index, "snapshot": true, "endpoints": endpoints}));
    }
}
