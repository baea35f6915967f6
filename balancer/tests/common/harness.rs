//! A harness that runs one balancer on virtual time and checks each of its actions against the rules that
//! every balancer must keep.

use std::collections::BTreeMap;

use balancer::*;

use super::tracked_request::*;

/// One balancer, its virtual clock, and the requests and timers that it has to handle.
pub struct Harness {
    pub settings: Settings,
    pub balancer: Balancer,
    /// The virtual time, in milliseconds.
    pub now: f64,
    /// All endpoints that the balancer was notified of and whose identifiers it has not released.
    pub endpoint_list: BTreeMap<EndpointId, EndpointEntry>,
    pub requests: BTreeMap<RequestId, TrackedRequest>,
    /// Time and token of each pending timer.
    pub timers: Vec<(f64, u64)>,
    /// All actions so far.
    pub actions: Vec<Action>,
    /// Requests that may have attempts in flight.
    in_flight: std::collections::BTreeSet<RequestId>,
    last_request_id: u64,
}

impl Harness {
    pub fn new(settings: Settings, endpoint_list: Vec<EndpointEntry>) -> Harness {
        Harness::with_seed(settings, endpoint_list, 1)
    }

    pub fn with_seed(settings: Settings, endpoint_list: Vec<EndpointEntry>, seed: u64) -> Harness {
        let balancer = Balancer::new(settings.clone(), seed).expect("valid settings");
        let mut harness = Harness {
            settings,
            balancer,
            now: 1000.0,
            endpoint_list: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: Vec::new(),
            actions: Vec::new(),
            in_flight: Default::default(),
            last_request_id: 0,
        };
        harness.update_endpoints(EndpointUpdate::CachedSnapshot(endpoint_list));
        harness
    }

    /// Passes an event to the balancer, checks the resulting actions against the rules, and returns them.
    pub fn handle_event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            self.check_action(action);
        }
        self.actions.extend(actions.clone());
        actions
    }

    fn check_action(&mut self, action: &Action) {
        let now = self.now;
        match action {
            Action::Send { id, endpoint, timeout } => {
                let request = self.requests.get_mut(id).expect("attempt for an unknown request");
                assert_eq!(request.final_outcome, None, "attempt after the final response");
                assert!(!request.streaming, "attempt after a streamed response has begun");
                assert!(now < request.deadline, "attempt after the client's deadline");
                let counted =
                    request.attempts.iter().filter(|a| a.outcome != Some(Outcome::NeverSent)).count();
                assert!(counted < self.settings.limits.max_attempts as usize, "too many attempts");
                let in_flight = request.attempts.iter().filter(|a| a.outcome.is_none()).count();
                assert_eq!(in_flight, 0, "two attempts in flight together");
                let next = self.endpoint_list.get(endpoint).expect("attempt to an unknown endpoint");
                assert_eq!(next.state, EndpointState::Up, "attempt to a draining or removed endpoint");
                for earlier in request.attempts.iter().filter(|a| a.may_have_run()) {
                    let previous = &self.endpoint_list[&earlier.endpoint];
                    match self.settings.classes[request.class].effect {
                        Effect::Safe => {}
                        Effect::Unsafe => panic!("retry of an unsafe request that may have run"),
                        Effect::Keyed { scope, ttl } => {
                            assert!(now < earlier.sent_at + ttl, "retry after the idempotency key expired");
                            match scope {
                                KeyScope::All => {}
                                KeyScope::Zone => {
                                    assert_eq!(previous.zone, next.zone, "keyed retry in another zone");
                                }
                                KeyScope::Cell => {
                                    assert_eq!(previous.cell, next.cell, "keyed retry in another cell");
                                }
                            }
                        }
                    }
                }
                self.in_flight.insert(*id);
                request.attempts.push(TrackedAttempt {
                    sent_at: now,
                    endpoint: *endpoint,
                    timeout: *timeout,
                    outcome: None,
                });
            }
            Action::Cancel { id, attempt } => {
                assert!(self.settings.limits.cancellation, "cancelled an attempt though settings forbid it");
                assert!(
                    (*attempt as usize) < self.requests[id].attempts.len(),
                    "cancelled an attempt that was never sent"
                );
            }
            Action::Reject { id, .. } => {
                let request = &self.requests[id];
                let may_be_retried = match self.settings.classes.get(request.class).map(|c| c.effect) {
                    Some(Effect::Safe) | None => true,
                    Some(Effect::Keyed { scope: KeyScope::All, .. }) => true,
                    Some(_) => !request.attempts.iter().any(TrackedAttempt::may_have_run),
                };
                assert!(may_be_retried, "rejected a request that may have run");
                self.end_request(*id, FinalOutcome::Rejected);
            }
            Action::Fail { id } => self.end_request(*id, FinalOutcome::Failed),
            Action::SetTimer { at, token } => {
                assert!(at.is_finite() && *at > now, "timer that is not in the future");
                self.timers.push((*at, *token));
            }
            Action::Probe { endpoint } => {
                assert!(self.settings.limits.probes, "probed an endpoint though settings forbid it");
                assert!(self.endpoint_list.contains_key(endpoint), "probed an unknown endpoint");
            }
            Action::SendToPeer { content, .. } => {
                assert!(self.settings.limits.peer_messages, "sent a peer message though settings forbid it");
                assert!(content.len() <= 256, "peer message longer than 256 bytes");
            }
            Action::CloseIdleConnections { endpoint } => assert!(self.endpoint_list.contains_key(endpoint)),
            Action::ReleaseEndpointId { endpoint } => {
                let removed = self
                    .endpoint_list
                    .remove(endpoint)
                    .is_none_or(|entry| entry.state == EndpointState::Removed);
                assert!(removed, "released the identifier of an endpoint that is still in the list");
                let open = self.requests.values().filter(|request| request.final_outcome.is_none());
                let refers =
                    open.flat_map(|request| &request.attempts).any(|attempt| attempt.endpoint == *endpoint);
                assert!(!refers, "released the identifier of an endpoint to which an open request was sent");
            }
            Action::Watch | Action::Fetch | Action::Log(_) | Action::AnnounceForwarded { .. } => {}
        }
    }

    fn end_request(&mut self, id: RequestId, final_outcome: FinalOutcome) {
        let now = self.now;
        let grace = self.settings.contract.response_grace;
        let request = self.requests.get_mut(&id).expect("final response to an unknown request");
        assert_eq!(request.final_outcome, None, "second final response");
        assert!(now <= request.deadline + grace, "final response after the client's deadline");
        request.final_outcome = Some(final_outcome);
        request.ended_at = now;
    }

    /// Passes an update of the endpoint list to the balancer.
    pub fn update_endpoints(&mut self, update: EndpointUpdate) -> Vec<Action> {
        match &update {
            EndpointUpdate::Changes(entries) | EndpointUpdate::SupersededChanges(entries) => {
                self.endpoint_list.extend(entries.iter().map(|e| (e.endpoint, e.clone())));
            }
            EndpointUpdate::FullSnapshot(entries)
            | EndpointUpdate::SupersededSnapshot(entries)
            | EndpointUpdate::CachedSnapshot(entries) => {
                self.endpoint_list.values_mut().for_each(|e| e.state = EndpointState::Removed);
                self.endpoint_list.extend(entries.iter().map(|e| (e.endpoint, e.clone())));
            }
            EndpointUpdate::Failed => {}
        }
        self.handle_event(Event::EndpointUpdate(update))
    }

    /// Passes a new request to the balancer.
    pub fn request(&mut self, class: usize) -> RequestId {
        self.request_with(class, |_| {})
    }

    pub fn request_with(&mut self, class: usize, change: impl FnOnce(&mut NewRequest)) -> RequestId {
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        let timeout = self.settings.classes.get(class).map_or(500.0, |c| c.deadline);
        let metadata = RequestMetadata { class, ..RequestMetadata::default() };
        let mut new = NewRequest { id, timeout, body_pending: false, metadata };
        change(&mut new);
        let deadline = self.now + new.timeout;
        let request = TrackedRequest {
            class,
            deadline,
            attempts: Vec::new(),
            final_outcome: None,
            ended_at: 0.0,
            streaming: false,
        };
        self.requests.insert(id, request);
        self.handle_event(Event::Request(new));
        id
    }

    /// Ends an attempt that is in flight.
    pub fn finish_attempt(&mut self, id: RequestId, attempt: u32, outcome: Outcome) -> Vec<Action> {
        self.finish_attempt_with_report(id, attempt, outcome, LoadReport::default())
    }

    pub fn finish_attempt_with_report(
        &mut self,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
        load_report: LoadReport,
    ) -> Vec<Action> {
        let request = self.requests.get_mut(&id).expect("the test ends an attempt of an unknown request");
        let tracked = &mut request.attempts[attempt as usize];
        assert_eq!(tracked.outcome, None, "the test ends an attempt twice");
        tracked.outcome = Some(outcome);
        let latency = self.now - tracked.sent_at;
        if request.final_outcome.is_none() && (outcome == Outcome::Served || request.streaming) {
            request.final_outcome = Some(FinalOutcome::Served);
            request.ended_at = self.now;
        }
        let request_ended = request.final_outcome.is_some();
        self.handle_event(Event::AttemptFinished(AttemptEnd {
            id,
            attempt,
            outcome,
            latency,
            request_ended,
            load_report,
            cannot_resend: false,
        }))
    }

    pub fn disconnect_client(&mut self, id: RequestId) -> Vec<Action> {
        if let Some(request) = self.requests.get_mut(&id)
            && request.final_outcome.is_none()
        {
            request.final_outcome = Some(FinalOutcome::ClientDisconnected);
        }
        self.handle_event(Event::ClientDisconnected { id })
    }

    /// Indices of the attempts of a request that are in flight.
    pub fn attempts_in_flight(&self, id: RequestId) -> Vec<u32> {
        let attempts = (0..).zip(&self.requests[&id].attempts);
        attempts.filter(|(_, attempt)| attempt.outcome.is_none()).map(|(index, _)| index).collect()
    }

    pub fn endpoint_of(&self, id: RequestId, attempt: usize) -> EndpointId {
        self.requests[&id].attempts[attempt].endpoint
    }

    /// Advances the time by `duration`: timers fire, and attempts in flight time out at the client's
    /// deadline.
    pub fn advance(&mut self, duration: f64) {
        let until = self.now + duration;
        loop {
            self.timers.sort_by(|a, b| a.0.total_cmp(&b.0));
            let timer = self.timers.first().copied().filter(|timer| timer.0 <= until);
            let requests = &self.requests;
            self.in_flight.retain(|id| requests[id].attempts.iter().any(|a| a.outcome.is_none()));
            let in_flight = self.in_flight.iter().map(|id| (id, &requests[id]));
            let overdue = in_flight.filter(|(_, request)| !request.streaming).flat_map(|(id, request)| {
                let attempts = (0..).zip(&request.attempts).filter(|(_, a)| a.outcome.is_none());
                attempts.map(|(index, _): (u32, _)| (request.deadline, *id, index)).collect::<Vec<_>>()
            });
            let overdue = overdue.filter(|attempt| attempt.0 <= until).min_by(|a, b| a.0.total_cmp(&b.0));
            match (timer, overdue) {
                (Some((at, _)), Some((deadline, id, attempt))) if deadline < at => {
                    self.now = self.now.max(deadline);
                    self.finish_attempt(id, attempt, Outcome::TimedOut);
                }
                (Some((at, token)), _) => {
                    self.timers.remove(0);
                    self.now = self.now.max(at);
                    self.handle_event(Event::TimerFired { token });
                }
                (None, Some((deadline, id, attempt))) => {
                    self.now = self.now.max(deadline);
                    self.finish_attempt(id, attempt, Outcome::TimedOut);
                }
                (None, None) => break,
            }
        }
        self.now = until;
    }

    /// Serves the attempts in flight of each request in `pending` whose time has come, and removes the
    /// request from `pending`.
    pub fn serve_due(&mut self, pending: &mut Vec<(f64, RequestId)>) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(pending).into_iter().partition(|(at, _)| *at <= self.now);
        *pending = later;
        for (_, id) in due {
            for attempt in self.attempts_in_flight(id) {
                self.finish_attempt(id, attempt, Outcome::Served);
            }
        }
    }

    /// Number of requests rejected so far.
    pub fn rejections(&self) -> usize {
        self.actions.iter().filter(|action| matches!(action, Action::Reject { .. })).count()
    }

    /// Passes `count` requests, modified by `change`, to the balancer at the same time. Returns the endpoint
    /// of each request that was sent at once.
    pub fn request_burst(&mut self, count: usize, change: impl Fn(&mut NewRequest)) -> Vec<EndpointId> {
        let ids: Vec<RequestId> = (0..count).map(|_| self.request_with(0, &change)).collect();
        ids.iter()
            .filter_map(|id| self.requests[id].attempts.first())
            .map(|attempt| attempt.endpoint)
            .collect()
    }

    /// Passes `steps` requests to the balancer, one every `interval`, and serves each after
    /// `latency(endpoint)`. `starting` is a step and an endpoint that starts at this step. Returns time and
    /// endpoint of each request that was sent at once.
    pub fn run_with_starting_endpoint(
        &mut self,
        steps: usize,
        interval: f64,
        starting: (usize, EndpointEntry),
        latency: impl Fn(EndpointId) -> f64,
    ) -> Vec<(f64, EndpointId)> {
        let (mut sent, mut pending) = (Vec::new(), Vec::new());
        for step in 0..steps {
            if step == starting.0 {
                let entry = EndpointEntry { started_at: Some(self.now), ..starting.1.clone() };
                self.update_endpoints(EndpointUpdate::Changes(vec![entry]));
            }
            let id = self.request(0);
            if let Some(attempt) = self.requests[&id].attempts.first() {
                sent.push((attempt.sent_at, attempt.endpoint));
                pending.push((self.now + latency(attempt.endpoint), id));
            }
            self.advance(interval);
            self.serve_due(&mut pending);
        }
        sent
    }

    pub fn assert_all_requests_ended(&self) {
        for (id, request) in &self.requests {
            assert!(request.final_outcome.is_some(), "no final response to {id:?}: {request:?}");
        }
    }

    /// Serves `count` requests one after the other, each in `latency(endpoint)`. Returns the number of first
    /// attempts to each endpoint.
    pub fn serve_sequentially(
        &mut self,
        count: usize,
        class: usize,
        latency: impl Fn(EndpointId) -> f64,
    ) -> BTreeMap<EndpointId, usize> {
        let mut counts = BTreeMap::new();
        for _ in 0..count {
            let id = self.request(class);
            let endpoint = self.endpoint_of(id, 0);
            *counts.entry(endpoint).or_insert(0) += 1;
            self.advance(latency(endpoint));
            if self.requests[&id].final_outcome.is_none() {
                for attempt in self.attempts_in_flight(id) {
                    self.finish_attempt(id, attempt, Outcome::Served);
                }
            }
        }
        counts
    }
}
