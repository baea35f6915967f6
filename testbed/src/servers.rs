//! Simulated order servers: HTTP/1 over simulated links, with the queueing model of [`crate::station`] behind
//! it.

mod guards;
mod http;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

use crate::ledger::{Rule, Txn};
use crate::run_context::RunContext;
use crate::scenario::Contract;
use crate::station::{QueueModel, Seconds, ServerSpec};

/// Tolerance for random variation when the work sent to a server in its warm-up is compared with the
/// contract.
const WARM_UP_TOLERANCE: f64 = 1.1;
/// Interval at which the reported utilisation (`util`) is updated.
const UTILIZATION_INTERVAL: Duration = Duration::from_millis(250);

/// How a server responds to requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMode {
    /// Serves requests.
    Well,
    /// Accepts requests and never responds.
    Silent,
    /// Responds 500 at once.
    Error,
}

/// The properties of a server that stay the same throughout a run.
pub struct Traits {
    /// Endpoint name in discovery.
    pub name: String,
    /// Index of its kind in the scenario.
    pub kind: usize,
    /// Index of its zone in the scenario.
    pub zone: usize,
    /// Number of its cell, unique across zones. The servers of a cell share the idempotency keys they have
    /// seen.
    pub cell: usize,
    /// Its capacity in the queueing model.
    pub spec: ServerSpec,
    /// Maximum number of open connections; requests on connections beyond it are rejected.
    pub connections: usize,
    /// Whether a request is cancelled when its connection ends before the response.
    pub cancels_abandoned_work: bool,
}

/// A simulated order server.
pub struct Server {
    /// Its fixed properties.
    pub traits: Traits,
    run: RunContext,
    contract: Contract,
    model: RefCell<QueueModel>,
    completions: RefCell<HashMap<u64, oneshot::Sender<()>>>,
    changed: Notify,
    response_mode: Cell<ResponseMode>,
    draining: Cell<bool>,
    connections: Cell<usize>,
    next_id: Cell<u64>,
    /// When its process started; `None` if before the run.
    started: Cell<Option<Seconds>>,
    /// During the warm-up: arrival time and work of each request within the overload window.
    recent_work: RefCell<VecDeque<(Seconds, Seconds)>>,
    overload_recorded: Cell<bool>,
    util: Cell<f64>,
    /// When each client proxy was notified that this server drains.
    drain_notified_at: RefCell<Vec<Option<Seconds>>>,
    /// Whether an operator has disabled this server, for each client proxy.
    operator_disabled: RefCell<Vec<bool>>,
}

impl Server {
    /// Creates a warmed-up server for `proxies` client proxies.
    pub fn new(traits: Traits, proxies: usize, run: RunContext, contract: Contract) -> Rc<Server> {
        let spec = ServerSpec { initial_speed: 1.0, ..traits.spec.clone() };
        let model = RefCell::new(QueueModel::new(spec, run.now()));
        let server = Rc::new(Server {
            traits,
            run,
            contract,
            model,
            completions: RefCell::default(),
            changed: Notify::new(),
            response_mode: Cell::new(ResponseMode::Well),
            draining: Cell::new(false),
            connections: Cell::new(0),
            next_id: Cell::new(0),
            started: Cell::new(None),
            recent_work: RefCell::default(),
            overload_recorded: Cell::new(false),
            util: Cell::new(0.0),
            drain_notified_at: RefCell::new(vec![None; proxies]),
            operator_disabled: RefCell::new(vec![false; proxies]),
        });
        spawn_local(Rc::clone(&server).run_queue());
        spawn_local(Rc::clone(&server).track_utilization());
        server
    }

    /// Resets the queueing model at the start of the load, since that has changed the clock of the run.
    pub fn begin(&self) {
        let spec = ServerSpec { initial_speed: 1.0, ..self.traits.spec.clone() };
        self.model.replace(QueueModel::new(spec, self.run.now()));
    }

    /// Sets how it responds to requests from now on.
    pub fn set_response_mode(&self, mode: ResponseMode) {
        self.response_mode.set(mode);
    }

    /// Divides its normal speed by `times`.
    pub fn slow(&self, times: f64) {
        let speed = self.traits.spec.speed / times;
        self.advance();
        self.model.borrow_mut().set_speed(speed);
        self.changed.notify_one();
    }

    /// Stops all work for that long.
    pub fn pause(&self, lasts: Duration) {
        self.advance();
        self.model.borrow_mut().pause(self.run.now() + lasts.as_secs_f64());
        self.changed.notify_one();
    }

    /// Starts its drain: new requests are rejected.
    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// Whether it is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Records that a client proxy was notified of the drain; the first notification counts.
    pub fn notify_draining(&self, proxy: usize) {
        let now = self.run.now();
        if let Some(notified_at) = self.drain_notified_at.borrow_mut().get_mut(proxy) {
            notified_at.get_or_insert(now);
        }
    }

    /// Records that a client proxy was notified that this server serves. An operator override there stays.
    pub fn notify_serving(&self, proxy: usize) {
        if let Some(notified_at) = self.drain_notified_at.borrow_mut().get_mut(proxy)
            && !self.operator_disabled.borrow()[proxy]
        {
            *notified_at = None;
        }
    }

    /// Records that an operator has disabled this server at a client proxy, or enabled it again. While
    /// disabled, it counts as draining there.
    pub fn set_operator_override(&self, proxy: usize, disabled: bool) {
        self.operator_disabled.borrow_mut()[proxy] = disabled;
        if disabled { self.notify_draining(proxy) } else { self.notify_serving(proxy) }
    }

    /// Restarts its process: all requests are lost, and it warms up again.
    pub fn restart(&self) {
        let now = self.run.now();
        self.completions.borrow_mut().clear();
        self.recent_work.borrow_mut().clear();
        self.model.replace(QueueModel::new(self.traits.spec.clone(), now));
        self.started.set(Some(now));
        self.draining.set(false);
        (0..self.operator_disabled.borrow().len()).for_each(|proxy| self.notify_serving(proxy));
        self.response_mode.set(ResponseMode::Well);
        self.overload_recorded.set(false);
        self.changed.notify_one();
    }

    /// When its process started; `None` if before the run.
    pub fn started(&self) -> Option<Seconds> {
        self.started.get()
    }

    /// Records a violation if the work sent during the warm-up exceeds what the contract allows.
    fn check_warm_up_load(&self, now: Seconds, work: Seconds) {
        let Contract {
            warm_up_duration: warm_up, overload_window: window, overload_multiple: multiple, ..
        } = self.contract;
        let (warm_up, window) = (warm_up.as_secs_f64(), window.as_secs_f64());
        if self.started.get().is_none_or(|started| now > started + warm_up) {
            return;
        }
        let mut recent_work = self.recent_work.borrow_mut();
        recent_work.push_back((now, work));
        while recent_work.front().is_some_and(|(at, _)| *at < now - window) {
            recent_work.pop_front();
        }
        let all: Seconds = recent_work.iter().map(|(_, work)| work).sum();
        let largest = recent_work.iter().map(|(_, work)| *work).fold(0.0, f64::max);
        let capacity = self.model.borrow().capacity();
        if all > multiple * capacity * window * WARM_UP_TOLERANCE + largest
            && !self.overload_recorded.replace(true)
        {
            let how = format!(
                "{} was sent {all:.3} s of work, and can do {capacity:.3} a second",
                self.traits.name
            );
            self.run.ledger.borrow_mut().record_violation(Rule::Cold, now, &how);
        }
    }

    /// Advances the queueing model to the current time and completes the requests that are done.
    fn advance(&self) {
        let done = self.model.borrow_mut().advance(self.run.now());
        for (id, _) in done {
            if let Some(done) = self.completions.borrow_mut().remove(&id) {
                // The send fails if the client proxy has disconnected; the work was done nevertheless.
                let _ = done.send(());
            }
        }
    }

    async fn run_queue(self: Rc<Self>) {
        loop {
            self.advance();
            let next = self.model.borrow().next_event();
            match next {
                Some(next) => tokio::select! {
                    _ = sleep_until(self.run.instant(next)) => {}
                    _ = self.changed.notified() => {}
                },
                None => self.changed.notified().await,
            }
        }
    }

    async fn track_utilization(self: Rc<Self>) {
        let mut before = self.model.borrow().busy();
        loop {
            sleep(UTILIZATION_INTERVAL).await;
            let busy = self.model.borrow().busy();
            let max_busy = UTILIZATION_INTERVAL.as_secs_f64() * f64::from(self.traits.spec.cores);
            self.util.set(((busy - before) / max_busy).clamp(0.0, 1.0));
            before = busy;
        }
    }
}

/// Response body for a served request. It names the request, so that a client detects a response to another
/// one.
pub fn body_of(txn: Txn) -> String {
    format!("done {:016x}", txn.0)
}
