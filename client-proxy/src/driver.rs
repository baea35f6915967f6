//! Drives the decisions: sole owner of the balancer, its ids, clock and wake timers. What happens becomes
//! events, and actions are carried out; nothing is decided here.

mod actions;
mod metrics;
mod response_ticket;

pub use metrics::OutcomeRecorder;
pub use response_ticket::{FinalAnswer, FinalResponse, ResponseTicket};

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use balancer::{
    AttemptEnd, Balancer, EndpointUpdate, Event, Millis, NewRequest, RequestId, RequestMetadata, Settings,
    SettingsError,
};
use discovery_proto::EndpointIds;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use self::actions::attempt_end;
use self::metrics::OutcomeCounts;
use crate::clock::{Clock, unix_ms};
use crate::endpoint_pool::{AttemptResult, EndpointPool};
use crate::names::Names;
use crate::process_state::{ProcessState, State};
use crate::upstream_request::UpstreamRequest;

/// What the decisions want of discovery.
#[derive(Debug, PartialEq, Eq)]
pub enum DiscoveryCommand {
    /// Changes from now on.
    Watch,
    /// The whole list once.
    Fetch,
}

struct PendingRequest {
    order: Rc<UpstreamRequest>,
    /// Waits for a body that goes on as it comes.
    _coming: Option<AbortOnDropHandle<()>>,
    /// There until the final answer is out or the client has left.
    reply: Option<oneshot::Sender<FinalAnswer>>,
    /// `None` once it has ended.
    attempts: Vec<Option<InFlightAttempt>>,
}

/// An attempt that is out.
struct InFlightAttempt {
    sent: Instant,
    /// Dropping it calls the attempt off.
    _call_off: oneshot::Sender<()>,
}

impl PendingRequest {
    fn is_over(&self) -> bool {
        self.reply.is_none() && self.attempts.iter().all(Option::is_none)
    }
}

struct DriverState {
    balancer: Balancer,
    jobs: HashMap<RequestId, PendingRequest>,
    next_id: u64,
    /// Events that came up while another was handled.
    queue: VecDeque<Event>,
}

/// See the module documentation.
pub struct Driver {
    state: RefCell<DriverState>,
    clock: Clock,
    endpoints: Rc<EndpointPool>,
    asks: mpsc::UnboundedSender<DiscoveryCommand>,
    ids: Rc<EndpointIds>,
    /// What operators have said of endpoints, for the next process too.
    handover: Rc<ProcessState>,
    /// The part of it that the decisions were told.
    told: RefCell<State>,
    /// How long an endpoint is cold at the most.
    cold: Millis,
    /// Behind the numbers of the settings.
    names: Names,
    /// Some zones are nearer than others.
    locality: bool,
    ended: RefCell<Vec<OutcomeCounts>>,
    /// Requests that were taken and have not ended.
    taken: Cell<usize>,
}

impl Driver {
    /// A driver whose wishes of discovery come out of `asks`.
    ///
    /// # Errors
    /// When the decisions cannot work with the settings.
    pub fn new(
        settings: Settings,
        names: Names,
        seed: u64,
        endpoints: Rc<EndpointPool>,
        handover: Rc<ProcessState>,
        asks: mpsc::UnboundedSender<DiscoveryCommand>,
    ) -> Result<Rc<Driver>, SettingsError> {
        let (ids, told, cold) = (Rc::default(), RefCell::default(), settings.contract.warm_up);
        let ended = RefCell::new(vec![OutcomeCounts::default(); settings.classes.len()]);
        let locality = settings.locality.is_some();
        let balancer = Balancer::new(settings, seed)?;
        let state = DriverState { balancer, jobs: HashMap::new(), next_id: 0, queue: VecDeque::new() };
        let (state, clock, taken) = (RefCell::new(state), handover.clock(), Cell::new(0));
        let driver = Driver {
            state,
            clock,
            endpoints,
            asks,
            ids,
            handover,
            told,
            cold,
            names,
            locality,
            ended,
            taken,
        };
        Ok(Rc::new(driver))
    }

    /// The clock of the decisions.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// The numbers of all endpoints that the decisions have not forgotten.
    pub fn ids(&self) -> Rc<EndpointIds> {
        Rc::clone(&self.ids)
    }

    /// Passes on news of the list of endpoints.
    pub fn apply_endpoint_update(self: &Rc<Self>, news: EndpointUpdate) {
        self.handle_event(Event::EndpointUpdate(news));
    }

    /// An operator takes an endpoint out. It is durable before it is done.
    ///
    /// # Errors
    /// What to tell the operator; then nothing has changed.
    pub async fn detach(self: &Rc<Self>, name: &str) -> Result<(), String> {
        let out = name.to_owned();
        self.override_endpoint(name, move |state| {
            state.back.remove(&out);
            state.back_monotonic.remove(&out);
            state.out.insert(out);
        })
        .await
    }

    /// An operator puts an endpoint back. One that is not out stays as it is.
    ///
    /// # Errors
    /// What to tell the operator; then nothing has changed.
    pub async fn attach(self: &Rc<Self>, name: &str) -> Result<(), String> {
        let (clock, cold, back) = (self.clock, self.cold, name.to_owned());
        self.override_endpoint(name, move |state| {
            // Here and not at the call, which may have waited for slow writes before this one.
            let now = clock.now();
            // What came back so long ago is warm by now.
            state.forget_put_back_before(now - cold);
            if state.out.remove(&back) {
                state.back_monotonic.insert(&back, now);
                state.back.insert(back, unix_ms());
            }
        })
        .await
    }

    async fn override_endpoint(
        self: &Rc<Self>,
        name: &str,
        change: impl FnOnce(&mut State) + Send + 'static,
    ) -> Result<(), String> {
        self.ids.get(name).ok_or_else(|| format!("no order server has the ID {name}"))?;
        let written = self.handover.change(change).await;
        written.map_err(|error| format!("it cannot be written down: {error}"))?;
        self.apply_operator_overrides();
        Ok(())
    }

    /// Tells the decisions what operators have said since they were told last.
    pub fn apply_operator_overrides(self: &Rc<Self>) {
        let now = self.handover.state();
        let told = self.told.replace(now.clone());
        for name in now.out.difference(&told.out) {
            self.handle_event(Event::Disabled { endpoint: self.ids.get_or_assign(name) });
        }
        let (now, told) = (&now.back_monotonic, &told.back_monotonic);
        for (name, at) in now.iter().filter(|(name, at)| told.get(name) != Some(*at)) {
            self.handle_event(Event::Enabled { endpoint: self.ids.get_or_assign(name), at });
        }
    }

    /// Takes a request in. Its answer comes out of the ticket; dropping that says that the client has left.
    pub fn take(self: &Rc<Self>, metadata: RequestMetadata, order: UpstreamRequest) -> ResponseTicket {
        let (reply, answer) = oneshot::channel();
        let (order, taken) = (Rc::new(order), Rc::new(Cell::new(false)));
        let id = {
            let mut state = self.state.borrow_mut();
            let id = RequestId(state.next_id);
            state.next_id += 1;
            let coming = order.long().map(|_| self.wait_for_body(id, Rc::clone(&order), Rc::clone(&taken)));
            let job = PendingRequest {
                order: Rc::clone(&order),
                _coming: coming,
                reply: Some(reply),
                attempts: Vec::new(),
            };
            state.jobs.insert(id, job);
            id
        };
        if order.long().is_none() {
            self.count_accepted(&taken);
        }
        let deadline = order.deadline();
        let patience =
            deadline.map_or(order.patience, |deadline| deadline.saturating_duration_since(Instant::now()));
        let (patience, body_pending) = (patience.as_secs_f64() * 1e3, order.long().is_some());
        let class = metadata.class;
        self.handle_event(Event::Request(NewRequest { id, timeout: patience, body_pending, metadata }));
        let counted = OutcomeRecorder { class, taken, driver: Rc::clone(self) };
        ResponseTicket { id, order, answer, counted: Some(counted), driver: Rc::clone(self) }
    }

    /// A request is taken with its last byte.
    fn count_accepted(&self, taken: &Cell<bool>) {
        if !taken.replace(true) {
            self.taken.set(self.taken.get() + 1);
        }
    }

    /// Tells the decisions when the last byte of a body has come, from which the client's time counts.
    fn wait_for_body(
        self: &Rc<Self>,
        id: RequestId,
        order: Rc<UpstreamRequest>,
        taken: Rc<Cell<bool>>,
    ) -> AbortOnDropHandle<()> {
        let driver = Rc::clone(self);
        AbortOnDropHandle::new(spawn_local(async move {
            if let Some(long) = order.long()
                && let Ok(came) = long.settled().await
            {
                driver.count_accepted(&taken);
                let left = (came + order.patience).saturating_duration_since(Instant::now());
                driver.handle_event(Event::BodyComplete { id, timeout: left.as_secs_f64() * 1e3 });
            }
        }))
    }

    /// The client has left, or has been answered without the decisions.
    fn gone(self: &Rc<Self>, id: RequestId) {
        let waited = self.state.borrow_mut().jobs.get_mut(&id).and_then(|job| job.reply.take()).is_some();
        if waited {
            self.handle_event(Event::ClientDisconnected { id });
        }
    }

    fn attempt_ended(self: &Rc<Self>, id: RequestId, attempt: usize, end: AttemptResult) {
        let event = {
            let mut state = self.state.borrow_mut();
            let Some(job) = state.jobs.get_mut(&id) else { return };
            // Guards against an end that crosses a cancel: each attempt has exactly one.
            let Some(out) = job.attempts.get_mut(attempt).and_then(Option::take) else { return };
            if let Some(served) = end.served
                && let Some(reply) = job.reply.take()
            {
                // One who has just left gets nothing; the decisions learn of the outcome all the same.
                let _ = reply.send(FinalAnswer::Served(served));
            }
            let took = end.took.unwrap_or_else(|| out.sent.elapsed());
            attempt_end(id, attempt, end.outcome, took, job.reply.is_none(), end.report, end.spent)
        };
        self.handle_event(event);
    }

    /// Hands an event to the decisions and carries out what they want, with all that follows at once.
    fn handle_event(self: &Rc<Self>, event: Event) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        state.queue.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = state.queue.pop_front() {
            let about = match &event {
                Event::AttemptFinished(AttemptEnd { id, .. }) | Event::ClientDisconnected { id } => Some(*id),
                _ => None,
            };
            state.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.execute(state, action);
            }
            if let Some(id) = about {
                forget_if_over(state, id);
            }
        }
    }
}

/// Drops a request once nothing more can be said of it.
fn forget_if_over(state: &mut DriverState, id: RequestId) {
    if state.jobs.get(&id).is_some_and(PendingRequest::is_over) {
        state.jobs.remove(&id);
    }
}

#[cfg(test)]
pub(crate) mod tests;
