//! One watch on the source: answers into the catalog, and how old what is held may be.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use discovery_client::{
    DiscoveryConnection, DiscoveryResponse, PollError, age, dial, exchange, list_request,
};
use discovery_proto::{Fallback, PollTiming, ResponseSummary, Session, Sources, Verdict};
use hyper::header::{DATE, HeaderValue};
use rand_pcg::Pcg32;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::catalog::{ApplyOutcome, Catalog, Update};

/// A part of each call's time: a dial that takes longer is to a source that cannot be reached.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Guards against a source that answers without end what does not wait.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Before the same source is called again where a dial failed locally.
const LOCAL_BACKOFF: Duration = Duration::from_millis(50);
/// A list that takes out most of what is held has to be true for so long.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(500);
/// The whole list of the largest fleet is a tenth of this.
const MAX_LIST_LENGTH: usize = 64 * 1024 * 1024;
/// How often what has been gone for long is dropped.
const FORGET_INTERVAL: Duration = Duration::from_secs(1);

/// That the source had nothing newer than what is held.
#[derive(Clone, Debug)]
pub struct Confirmation {
    /// When.
    pub at: Instant,
    /// When by discovery's own clock, if discovery says so.
    pub date: Option<HeaderValue>,
}

/// The relay's own call to its source. See the module documentation.
pub struct Upstream {
    catalog: Rc<RefCell<Catalog>>,
    sources: Sources,
    session: Session,
    rng: Pcg32,
    /// The last one; nothing before the first list.
    confirmed: watch::Sender<Option<Confirmation>>,
    began: Instant,
    link: Option<DiscoveryConnection>,
    failing: bool,
    forgot: Instant,
}

impl Upstream {
    /// Nothing is asked before [`Upstream::run`].
    pub fn new(catalog: Rc<RefCell<Catalog>>, sources: Sources, rng: Pcg32) -> Upstream {
        let now = Instant::now();
        Upstream {
            catalog,
            sources,
            session: Session::new(PollTiming::RELAY, None),
            rng,
            confirmed: watch::Sender::new(None),
            began: now,
            link: None,
            failing: false,
            forgot: now,
        }
    }

    /// The last confirmation by the source; nothing before the first list.
    pub fn confirmed(&self) -> watch::Receiver<Option<Confirmation>> {
        self.confirmed.subscribe()
    }

    /// Follows the source for as long as the program runs.
    pub async fn run(mut self) {
        loop {
            if let Err(error) = self.next().await {
                let pause = self.failed(&error);
                sleep(pause).await;
            }
            if self.forgot.elapsed() >= FORGET_INTERVAL {
                self.forgot = Instant::now();
                self.catalog.borrow_mut().forget(self.began.elapsed());
            }
        }
    }

    /// One call and what it tells.
    async fn next(&mut self) -> Result<(), PollError> {
        if self.sources.fail_back(self.began.elapsed(), &mut self.rng) {
            self.link = None;
        }
        let call = self.session.next_poll();
        let asked = Instant::now();
        // Guards against a dead or silent link: whatever fails, the next call begins with a new one.
        let link = self.link.take();
        let address = self.sources.address();
        let host = address.to_string().parse().expect("an address is a header value");
        let request = list_request(host, &call.path());
        let exchanged = exchange(link, dial(address, CONNECT_TIMEOUT), request, MAX_LIST_LENGTH);
        let DiscoveryResponse { connection: link, headers, body } =
            timeout(call.timeout, exchanged).await??;
        let update = Update::read(&body)?;
        let waited = !call.wait.is_zero();
        let (index, whole, read, unreadable) =
            (update.index, update.whole, update.readable(), update.unreadable);
        self.link = Some(link);
        self.sources.on_response();
        if self.session.on_response(ResponseSummary {
            index,
            full_snapshot: whole,
            readable: read,
            unreadable,
        }) == Verdict::Rejected
        {
            eprintln!("relay: version {index} does not follow what is held: asking for all of it");
            sleep(MIN_POLL_INTERVAL).await;
            return Ok(());
        }
        let taken = self.catalog.borrow_mut().take(update, self.began.elapsed());
        if taken == ApplyOutcome::AwaitingConfirmation {
            eprintln!(
                "relay: version {index} would take out most of what is held: asking for all of it again"
            );
            self.session.request_full_snapshot();
            sleep(CONFIRMATION_DELAY).await;
            return Ok(());
        }
        if self.failing || self.confirmed.borrow().is_none() {
            self.failing = false;
            let listed = self.catalog.borrow().listed();
            eprintln!("relay: {} answers: version {index}, {listed} order servers", self.sources.address());
        }
        let at = Instant::now().checked_sub(age(&headers));
        let date = headers.get(DATE).cloned();
        self.confirmed.send_replace(at.map(|at| Confirmation { at, date }));
        if taken == ApplyOutcome::Changed(0) && waited && asked.elapsed() < MIN_POLL_INTERVAL {
            sleep(MIN_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Says so once, however long it lasts; the pause before the next call.
    fn failed(&mut self, error: &PollError) -> Duration {
        if !self.failing {
            self.failing = true;
            eprintln!("relay: {}: {error}", self.sources.address());
        }
        let pause = self.session.on_failure(error.is_invalid_response());
        // Guards against sources that are left alone for up to a minute because this process lacks a
        // descriptor.
        if error.is_local() {
            return pause.min(LOCAL_BACKOFF);
        }
        match self.sources.on_failure(self.began.elapsed(), &mut self.rng) {
            // Relays are few: they need not be spread as client proxies are.
            Fallback::NextSource(spread) => spread.min(pause),
            Fallback::AllFailed => pause,
        }
    }
}

#[cfg(test)]
mod tests;
