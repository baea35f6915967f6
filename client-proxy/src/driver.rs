//! Connects the balancer to sockets and timers. The driver owns the balancer, assigns request IDs, turns what
//! happens into events and carries out the balancer's actions. It takes no decisions itself.

mod actions;
mod metrics;
mod response_ticket;

pub use metrics::OutcomeRecorder;
pub use response_ticket::{FinalOutcome, FinalResponse, ResponseTicket};

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
use crate::diagnostics::Diagnostics;
use crate::endpoint_pool::{AttemptResult, EndpointPool};
use crate::names::Names;
use crate::peer_link::PeerLink;
use crate::process_state::{ProcessState, State};
use crate::upstream_request::UpstreamRequest;

/// What the balancer asks of discovery.
#[derive(Debug, PartialEq, Eq)]
pub enum DiscoveryCommand {
    /// Report changes from now on.
    Watch,
    /// Fetch the full endpoint list once.
    Fetch,
}

struct PendingRequest {
    request: Rc<UpstreamRequest>,
    /// Waits for the end of a streamed request body.
    _body_task: Option<AbortOnDropHandle<()>>,
    /// Present until the final response was sent or the client has disconnected.
    reply: Option<oneshot::Sender<FinalOutcome>>,
    /// `None` once the attempt has ended.
    attempts: Vec<Option<InFlightAttempt>>,
}

/// An attempt in flight.
struct InFlightAttempt {
    sent: Instant,
    /// Dropping it cancels the attempt.
    _cancel: oneshot::Sender<()>,
}

impl PendingRequest {
    fn is_finished(&self) -> bool {
        self.reply.is_none() && self.attempts.iter().all(Option::is_none)
    }
}

struct DriverState {
    balancer: Balancer,
    requests: HashMap<RequestId, PendingRequest>,
    next_id: u64,
    /// Events that occurred while another one was handled.
    pending_events: VecDeque<Event>,
}

/// See the module documentation.
pub struct Driver {
    state: RefCell<DriverState>,
    clock: Clock,
    endpoints: Rc<EndpointPool>,
    commands: mpsc::UnboundedSender<DiscoveryCommand>,
    ids: Rc<EndpointIds>,
    /// Operator overrides, which are also kept for the next process.
    process_state: Rc<ProcessState>,
    /// The state whose operator overrides the balancer has already received.
    applied_state: RefCell<State>,
    /// Longest time for which an endpoint can be in slow start.
    warm_up: Millis,
    /// Names behind the numbers in the settings.
    names: Names,
    /// Whether the settings define locality, so that some zones are nearer than others.
    locality: bool,
    outcomes: RefCell<Vec<OutcomeCounts>>,
    /// Requests that were completely received and have not ended.
    requests_in_progress: Cell<usize>,
    diagnostics: Diagnostics,
    /// Link to the other process of an upgrade; present where there may be one.
    peer_link: RefCell<Option<Rc<PeerLink>>>,
}

impl Driver {
    /// A driver that sends the balancer's commands for discovery to `commands`.
    ///
    /// # Errors
    /// If the balancer rejects the settings.
    pub fn new(
        settings: Settings,
        names: Names,
        seed: u64,
        endpoints: Rc<EndpointPool>,
        process_state: Rc<ProcessState>,
        commands: mpsc::UnboundedSender<DiscoveryCommand>,
    ) -> Result<Rc<Driver>, SettingsError> {
        let (ids, applied_state, warm_up) = (Rc::default(), RefCell::default(), settings.contract.warm_up);
        let outcomes = RefCell::new(vec![OutcomeCounts::default(); settings.classes.len()]);
        let locality = settings.locality.is_some();
        let balancer = Balancer::new(settings, seed)?;
        let state =
            DriverState { balancer, requests: HashMap::new(), next_id: 0, pending_events: VecDeque::new() };
        let (state, clock, requests_in_progress) = (RefCell::new(state), process_state.clock(), Cell::new(0));
        let driver = Driver {
            state,
            clock,
            endpoints,
            commands,
            ids,
            process_state,
            applied_state,
            warm_up,
            names,
            locality,
            outcomes,
            requests_in_progress,
            diagnostics: Diagnostics::default(),
            peer_link: RefCell::default(),
        };
        Ok(Rc::new(driver))
    }

    /// Why requests, attempts and connections ended.
    pub fn diagnostics(&self) -> &Diagnostics {
        &self.diagnostics
    }

    /// Exchanges with the other process of an upgrade which requests are forwarded.
    pub fn connect_peers(&self, peer_link: Rc<PeerLink>) {
        self.peer_link.replace(Some(peer_link));
    }

    /// Identities of the requests that were forwarded recently and may have been executed.
    pub fn forwarded_identities(&self) -> Vec<u64> {
        self.state.borrow().balancer.forwarded_identities()
    }

    /// Notifies the balancer of requests that another process forwards.
    pub fn note_forwarded_by_peers(self: &Rc<Self>) {
        let peer_link = self.peer_link.borrow().clone();
        for identity in peer_link.iter().flat_map(|peer_link| peer_link.receive(self)) {
            self.handle_event(Event::ForwardedByPeer { identity });
        }
    }

    /// The clock whose time the balancer is given.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// The IDs of all endpoints that the balancer still tracks.
    pub fn ids(&self) -> Rc<EndpointIds> {
        Rc::clone(&self.ids)
    }

    /// Passes an update of the endpoint list to the balancer.
    pub fn apply_endpoint_update(self: &Rc<Self>, update: EndpointUpdate) {
        self.handle_event(Event::EndpointUpdate(update));
    }

    /// Disables an endpoint on behalf of an operator. The override is durable before it takes effect.
    ///
    /// # Errors
    /// The message for the operator; nothing has changed then.
    pub async fn detach(self: &Rc<Self>, name: &str) -> Result<(), String> {
        let disabled = name.to_owned();
        self.override_endpoint(name, move |state| {
            state.enabled_unix_ms.remove(&disabled);
            state.enabled_at.remove(&disabled);
            state.disabled.insert(disabled);
        })
        .await
    }

    /// Enables an endpoint that an operator has disabled. Does nothing if it is not disabled.
    ///
    /// # Errors
    /// The message for the operator; nothing has changed then.
    pub async fn attach(self: &Rc<Self>, name: &str) -> Result<(), String> {
        let (clock, warm_up, enabled) = (self.clock, self.warm_up, name.to_owned());
        self.override_endpoint(name, move |state| {
            // Read here and not when the command arrived: this change may have waited for slow writes before
            // it.
            let now = clock.now();
            // Endpoints that were enabled longer ago than this have finished their slow start.
            state.forget_enabled_before(now - warm_up);
            if state.disabled.remove(&enabled) {
                state.enabled_at.insert(&enabled, now);
                state.enabled_unix_ms.insert(enabled, unix_ms());
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
        let written = self.process_state.change(change).await;
        written.map_err(|error| format!("it cannot be written down: {error}"))?;
        self.apply_operator_overrides();
        Ok(())
    }

    /// Passes to the balancer the operator overrides that have changed since the last call.
    pub fn apply_operator_overrides(self: &Rc<Self>) {
        let current = self.process_state.state();
        let applied = self.applied_state.replace(current.clone());
        for name in current.disabled.difference(&applied.disabled) {
            self.handle_event(Event::Disabled { endpoint: self.ids.get_or_assign(name) });
        }
        let (current, applied) = (&current.enabled_at, &applied.enabled_at);
        for (name, at) in current.iter().filter(|(name, at)| applied.get(name) != Some(*at)) {
            self.handle_event(Event::Enabled { endpoint: self.ids.get_or_assign(name), at });
        }
    }

    /// Submits a request. The ticket yields its final response; dropping the ticket signals that the client
    /// has disconnected.
    pub fn submit(self: &Rc<Self>, metadata: RequestMetadata, request: UpstreamRequest) -> ResponseTicket {
        // What a peer has announced by now may be this request.
        self.note_forwarded_by_peers();
        let (reply, outcome) = oneshot::channel();
        let (request, is_counted) = (Rc::new(request), Rc::new(Cell::new(false)));
        let id = {
            let mut state = self.state.borrow_mut();
            let id = RequestId(state.next_id);
            state.next_id += 1;
            let body_task = request
                .streamed_body()
                .map(|_| self.wait_for_body(id, Rc::clone(&request), Rc::clone(&is_counted)));
            let pending = PendingRequest {
                request: Rc::clone(&request),
                _body_task: body_task,
                reply: Some(reply),
                attempts: Vec::new(),
            };
            state.requests.insert(id, pending);
            id
        };
        if request.streamed_body().is_none() {
            self.count_accepted(&is_counted);
        }
        let deadline = request.deadline();
        let timeout = deadline
            .map_or(request.client_timeout, |deadline| deadline.saturating_duration_since(Instant::now()));
        let (timeout, body_pending) = (timeout.as_secs_f64() * 1e3, request.streamed_body().is_some());
        let class = metadata.class;
        self.handle_event(Event::Request(NewRequest { id, timeout, body_pending, metadata }));
        let recorder =
            OutcomeRecorder { id: request.id().into(), class, is_counted, driver: Rc::clone(self) };
        ResponseTicket { id, request, outcome, recorder: Some(recorder), driver: Rc::clone(self) }
    }

    /// A request counts as accepted once its last byte was received.
    fn count_accepted(&self, is_counted: &Cell<bool>) {
        if !is_counted.replace(true) {
            self.requests_in_progress.set(self.requests_in_progress.get() + 1);
        }
    }

    /// Notifies the balancer when the last byte of a streamed body was received: the client's timeout counts
    /// from there.
    fn wait_for_body(
        self: &Rc<Self>,
        id: RequestId,
        request: Rc<UpstreamRequest>,
        is_counted: Rc<Cell<bool>>,
    ) -> AbortOnDropHandle<()> {
        let driver = Rc::clone(self);
        AbortOnDropHandle::new(spawn_local(async move {
            if let Some(body) = request.streamed_body()
                && let Ok(completed_at) = body.wait_until_complete().await
            {
                driver.count_accepted(&is_counted);
                let remaining =
                    (completed_at + request.client_timeout).saturating_duration_since(Instant::now());
                driver.handle_event(Event::BodyComplete { id, timeout: remaining.as_secs_f64() * 1e3 });
            }
        }))
    }

    /// The client has disconnected, or got a response that did not come from the balancer.
    fn client_disconnected(self: &Rc<Self>, id: RequestId) {
        let was_waiting =
            self.state.borrow_mut().requests.get_mut(&id).and_then(|pending| pending.reply.take()).is_some();
        if was_waiting {
            self.handle_event(Event::ClientDisconnected { id });
        }
    }

    fn attempt_ended(self: &Rc<Self>, id: RequestId, attempt: usize, result: AttemptResult) {
        let event = {
            let mut state = self.state.borrow_mut();
            let Some(pending) = state.requests.get_mut(&id) else { return };
            // The attempt may have been cancelled just as it ended; the balancer expects exactly one end of
            // each attempt.
            let Some(in_flight) = pending.attempts.get_mut(attempt).and_then(Option::take) else { return };
            if let Some(served) = result.served
                && let Some(reply) = pending.reply.take()
            {
                // Fails if the client has just disconnected; the balancer is notified of the outcome all the
                // same.
                let _ = reply.send(FinalOutcome::Served(served));
            }
            self.diagnostics.attempt_ended(pending.request.id(), attempt, result.outcome);
            let latency = result.service_time.unwrap_or_else(|| in_flight.sent.elapsed());
            attempt_end(
                id,
                attempt,
                result.outcome,
                latency,
                pending.reply.is_none(),
                result.report,
                result.is_body_spent,
            )
        };
        self.handle_event(event);
    }

    /// Passes an event to the balancer and carries out the resulting actions, with all events that these
    /// cause at once.
    fn handle_event(self: &Rc<Self>, event: Event) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        state.pending_events.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = state.pending_events.pop_front() {
            let request_id = match &event {
                Event::AttemptFinished(AttemptEnd { id, .. }) | Event::ClientDisconnected { id } => Some(*id),
                _ => None,
            };
            state.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.execute(state, action);
            }
            if let Some(id) = request_id {
                remove_if_finished(state, id);
            }
        }
    }
}

/// Removes a request that has its final response and no attempt in flight.
fn remove_if_finished(state: &mut DriverState, id: RequestId) {
    if state.requests.get(&id).is_some_and(PendingRequest::is_finished) {
        state.requests.remove(&id);
    }
}

#[cfg(test)]
pub(crate) mod tests;
