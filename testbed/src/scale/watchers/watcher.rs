//! A control-only client proxy that watches discovery.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use discovery_client::{DiscoveryResponse, dial, exchange, list_request};
use hyper::header::HeaderValue;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::{CHECK_INTERVAL, SCOPE_HEADER, TIMEOUT};
use crate::scale::ScaleError;
use crate::scale::hollow::{ControlOnlyProxy, NextStep};

/// As in the client proxy.
const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;

const DIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// State that all watchers share; they run on one thread.
pub(super) struct SharedState {
    pub(super) started: Instant,
    pub(super) address: SocketAddr,
    /// Each change of this value closes all connections.
    pub(super) disconnects: watch::Sender<u32>,
    pub(super) target_version: Cell<u64>,
    /// For each watcher, when it first had the target version.
    pub(super) reached_at: RefCell<Vec<Option<Instant>>>,
    /// For each watcher, whether it had a response since the last reset.
    pub(super) has_response: RefCell<Vec<bool>>,
    pub(super) failed_polls: Cell<u32>,
}

impl SharedState {
    pub(super) fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    pub(super) fn set_target(&self, version: u64) {
        self.target_version.set(version);
        self.reached_at.borrow_mut().iter_mut().for_each(|reached_at| *reached_at = None);
    }

    pub(super) fn reset_responses(&self) {
        self.has_response.borrow_mut().iter_mut().for_each(|has_response| *has_response = false);
    }
}

pub(super) async fn wait_until(what: &str, done: impl Fn() -> bool) -> Result<(), ScaleError> {
    let condition = async {
        while !done() {
            sleep(CHECK_INTERVAL).await;
        }
    };
    let result = timeout(TIMEOUT, condition).await;
    result
        .map_err(|_| ScaleError::SetUp(format!("timed out after {} s waiting for {what}", TIMEOUT.as_secs())))
}

/// Runs one control-only client proxy until the task is aborted.
pub(super) async fn run_watcher(
    number: usize,
    mut proxy: ControlOnlyProxy,
    scope: Option<u32>,
    mut next_steps: Vec<NextStep>,
    shared_state: Rc<SharedState>,
) {
    let (mut connection, mut disconnects) = (None, shared_state.disconnects.subscribe());
    let host: HeaderValue = shared_state.address.to_string().parse().expect("an address is a header value");
    while let Some(next) = next_steps.pop() {
        let sent_at = match next {
            NextStep::Timer { at, token } => {
                sleep(Duration::from_secs_f64((at - shared_state.now()).max(0.0) / 1e3)).await;
                proxy.on_timer(shared_state.now(), token, &mut next_steps);
                continue;
            }
            NextStep::Poll { delay_ms } => {
                if delay_ms > 0.0 {
                    sleep(Duration::from_secs_f64(delay_ms / 1e3)).await;
                }
                shared_state.now()
            }
        };
        let poll = proxy.next_poll();
        let mut request = list_request(host.clone(), &poll.path());
        if let Some(scope) = scope {
            request.headers_mut().insert(SCOPE_HEADER, scope.into());
        }
        let exchanged =
            exchange(connection.take(), dial(shared_state.address, DIAL_TIMEOUT), request, MAX_LIST_BYTES);
        let response = async {
            tokio::select! {
                result = timeout(poll.timeout, exchanged) => result.ok()?.ok(),
                _ = disconnects.changed() => None,
            }
        };
        let Some(DiscoveryResponse { connection: reusable, body, .. }) = response.await else {
            shared_state.failed_polls.set(shared_state.failed_polls.get() + 1);
            proxy.on_failure(shared_state.now(), false, &mut next_steps);
            continue;
        };
        connection = Some(reusable);
        match proxy.on_response(shared_state.now(), sent_at, &body, &mut next_steps) {
            Ok(version) => {
                shared_state.has_response.borrow_mut()[number] = true;
                if version.is_some_and(|version| version >= shared_state.target_version.get()) {
                    shared_state.reached_at.borrow_mut()[number].get_or_insert_with(Instant::now);
                }
            }
            // `on_response` has already reported the failure to the balancer.
            Err(_) => shared_state.failed_polls.set(shared_state.failed_polls.get() + 1),
        }
    }
}
