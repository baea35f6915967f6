//! Polls the source, applies its responses to the catalog, and records when the catalog was last confirmed to
//! be up to date.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use discovery_client::{
    DiscoveryConnection, DiscoveryResponse, Exchange, PollError, SupersededPolls, age, dial, exchange,
    list_request,
};
use discovery_proto::{Fallback, PollRequest, PollTiming, ResponseSummary, Session, Sources, Verdict};
use hyper::header::{DATE, HeaderValue};
use rand_pcg::Pcg32;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use crate::catalog::{ApplyOutcome, Catalog, Update};

/// Part of each poll's timeout: a source that takes longer to connect counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The delay before the next poll if the source responds at once to a watch that it should hold open, or
/// sends a response that is rejected. Without it, the relay would poll in a busy loop.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The maximum backoff if connecting failed for a local reason; the same source is polled again then.
const LOCAL_BACKOFF: Duration = Duration::from_millis(50);
/// The delay before the second poll that has to confirm a snapshot without most of the known endpoints.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(500);
/// The maximum length of a response body. The full snapshot of the largest fleet has a tenth of this.
const MAX_LIST_LENGTH: usize = 64 * 1024 * 1024;
/// How long a poll that has timed out is still waited for. With the timeout of a resync that is 3.2 s, as long as
/// a client proxy waits for a discovery in which polls queue.
const SUPERSEDED_POLL_TIMEOUT: Duration = Duration::from_millis(2_450);
/// How often expired tombstones are removed.
const TOMBSTONE_EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// When the catalog was up to date with the source.
#[derive(Clone, Debug)]
pub struct Confirmation {
    /// By the local clock.
    pub at: Instant,
    /// By discovery's own clock, if the response says so.
    pub date: Option<HeaderValue>,
}

/// Polls the source for as long as the relay runs. See the module documentation.
pub struct Upstream {
    catalog: Rc<RefCell<Catalog>>,
    sources: Sources,
    session: Session,
    rng: Pcg32,
    /// The last confirmation; `None` before the first list.
    confirmation: watch::Sender<Option<Confirmation>>,
    started: Instant,
    connection: Option<DiscoveryConnection>,
    /// Polls that have timed out and may be answered after all.
    superseded_polls: SupersededPolls<()>,
    is_failing: bool,
    last_expiry: Instant,
}

impl Upstream {
    /// Does not poll before [`Upstream::run`].
    pub fn new(catalog: Rc<RefCell<Catalog>>, sources: Sources, rng: Pcg32) -> Upstream {
        let now = Instant::now();
        Upstream {
            catalog,
            sources,
            session: Session::new(PollTiming::RELAY, None),
            rng,
            confirmation: watch::Sender::new(None),
            started: now,
            connection: None,
            superseded_polls: SupersededPolls::new(SUPERSEDED_POLL_TIMEOUT),
            is_failing: false,
            last_expiry: now,
        }
    }

    /// The last time at which the catalog was up to date; `None` before the first list.
    pub fn confirmation(&self) -> watch::Receiver<Option<Confirmation>> {
        self.confirmation.subscribe()
    }

    /// Polls the source for as long as the relay runs.
    pub async fn run(mut self) {
        loop {
            if let Err(error) = self.poll().await {
                let backoff = self.on_failure(&error);
                self.back_off(backoff).await;
            }
            if self.last_expiry.elapsed() >= TOMBSTONE_EXPIRY_INTERVAL {
                self.last_expiry = Instant::now();
                self.catalog.borrow_mut().expire_tombstones(self.started.elapsed());
            }
        }
    }

    /// Sends one poll and applies its response, or that of an earlier poll if it arrives first.
    async fn poll(&mut self) -> Result<(), PollError> {
        if self.sources.fail_back(self.started.elapsed(), &mut self.rng) {
            self.connection = None;
        }
        let poll = self.session.next_poll();
        let polled_at = Instant::now();
        let mut exchange = self.start_exchange(&poll);
        tokio::select! {
            result = timeout_at(polled_at + poll.timeout, &mut exchange) => match result {
                Ok(response) => self.apply_timely_response(response?, &poll, polled_at).await,
                Err(timed_out) => {
                    self.superseded_polls.add((), exchange);
                    Err(timed_out.into())
                }
            },
            ((), response) = self.superseded_polls.next_response() => {
                self.apply_late_response(&response).await;
                Ok(())
            }
        }
    }

    /// Sends a poll to the current source.
    fn start_exchange(&mut self, poll: &PollRequest) -> Exchange {
        // Taken, so that the connection is dropped if this poll fails: it may be closed or stalled, and the
        // next poll needs a new one then.
        let connection = self.connection.take();
        let address = self.sources.address();
        let host = address.to_string().parse().expect("a socket address is a valid header value");
        let request = list_request(host, &poll.path());
        Box::pin(exchange(connection, dial(address, CONNECT_TIMEOUT), request, MAX_LIST_LENGTH))
    }

    /// Applies the response to the poll that was sent last.
    async fn apply_timely_response(
        &mut self,
        response: DiscoveryResponse,
        poll: &PollRequest,
        polled_at: Instant,
    ) -> Result<(), PollError> {
        let is_first = self.confirmation.borrow().is_none();
        let outcome = self.apply_response(&response).await?;
        self.connection = Some(response.connection);
        self.sources.on_response();
        let (Some(ApplyOutcome::Changed(changed)), Some(index)) = (outcome, self.session.version()) else {
            return Ok(());
        };
        if self.is_failing || is_first {
            self.is_failing = false;
            let endpoint_count = self.catalog.borrow().endpoint_count();
            eprintln!(
                "relay: source {} responding: version {index}, {endpoint_count} endpoints",
                self.sources.address()
            );
        }
        if changed == 0 && !poll.wait.is_zero() && polled_at.elapsed() < MIN_POLL_INTERVAL {
            sleep(MIN_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Applies the response to a poll that had timed out. It says nothing about the source that is polled now.
    async fn apply_late_response(&mut self, response: &DiscoveryResponse) {
        if let Err(error) = self.apply_response(response).await {
            eprintln!("relay: late response of a source ignored: {error}");
        }
    }

    /// Applies a response. `None` if it does not fit the current list; the next poll requests a full snapshot
    /// then.
    async fn apply_response(
        &mut self,
        response: &DiscoveryResponse,
    ) -> Result<Option<ApplyOutcome>, PollError> {
        let DiscoveryResponse { headers, body, .. } = response;
        let update = Update::parse(body)?;
        let (index, full_snapshot, readable, unreadable) =
            (update.index, update.full_snapshot, update.readable(), update.unreadable);
        if self.session.on_response(ResponseSummary { index, full_snapshot, readable, unreadable })
            == Verdict::Rejected
        {
            eprintln!("relay: version {index} does not fit the current list: requesting a full snapshot");
            sleep(MIN_POLL_INTERVAL).await;
            return Ok(None);
        }
        // The others requested the changes after an older version.
        self.superseded_polls.clear();
        let outcome = self.catalog.borrow_mut().apply(update, self.started.elapsed());
        if outcome == ApplyOutcome::AwaitingConfirmation {
            eprintln!(
                "relay: version {index} would remove most endpoints: requesting a second full snapshot"
            );
            self.session.request_full_snapshot();
            sleep(CONFIRMATION_DELAY).await;
            return Ok(Some(outcome));
        }
        let at = Instant::now().checked_sub(age(headers));
        let date = headers.get(DATE).cloned();
        self.confirmation.send_replace(at.map(|at| Confirmation { at, date }));
        Ok(Some(outcome))
    }

    /// Waits before the next poll, or until an earlier one is answered.
    async fn back_off(&mut self, backoff: Duration) {
        tokio::select! {
            () = sleep(backoff) => {}
            ((), response) = self.superseded_polls.next_response() => self.apply_late_response(&response).await,
        }
    }

    /// Selects the next source and returns the backoff before the next poll. Logs only the first failure in a
    /// row.
    fn on_failure(&mut self, error: &PollError) -> Duration {
        if !self.is_failing {
            self.is_failing = true;
            eprintln!("relay: polling source {} failed: {error}", self.sources.address());
        }
        let backoff = self.session.on_failure(error.is_invalid_response());
        // A local error, such as a lack of descriptors, says nothing about the source, so it must not put the
        // source into quarantine for up to a minute.
        if error.is_local() {
            return backoff.min(LOCAL_BACKOFF);
        }
        match self.sources.on_failure(self.started.elapsed(), &mut self.rng) {
            // Relays are few, so they need not be spread over as much time as client proxies.
            Fallback::NextSource(spread) => spread.min(backoff),
            Fallback::AllFailed => backoff,
        }
    }
}

#[cfg(test)]
mod tests;
