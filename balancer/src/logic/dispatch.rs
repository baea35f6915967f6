//! Dispatch of requests: attempts, retries and final responses. Every attempt starts in `send` and every
//! final response of the balancer starts in `finish`; these two enforce the rules.

use super::{
    EVALUATION_INTERVAL, HEDGE_MAX_RESPONSE_RATE, MAX_RETRY_BUDGET, OVERDUE_RATIO, SLOW_EJECTION_TIME,
};
use crate::endpoint::Endpoint;
use crate::hashing::hash;
use crate::interface::{
    Action, AttemptEnd, Class, Effect, EndpointState, KeyScope, Millis, NewRequest, Outcome, RequestId,
};
use crate::state::{Attempt, Balancer, Request, TimerPurpose};

/// Lower limit of the ratio with which work sent to a slow endpoint is scaled up; see
/// [`Endpoint::count_work`].
const MIN_WEIGHT_RATIO: f64 = 0.2;
/// What each first attempt adds to the retry budget.
const RETRY_BUDGET_PER_REQUEST: f64 = 0.15;
/// The time-out for hedging leaves this multiple of the expected latency until the latency objective.
const HEDGE_LATENCY_RATIO: f64 = 2.0;
/// Until overdue attempts were observed, all of them are assumed to get a response; the assumption counts
/// as much as this number of attempts.
const OVERDUE_PRIOR: f64 = 2.0;
/// `Retry-After` of a rejected request is its latency objective divided by this, so that the client can
/// retry twice within the objective.
const RETRY_AFTER_DIVISOR: f64 = 4.0;

impl Balancer {
    /// Whether the rules allow an attempt of this request to this endpoint now.
    pub(super) fn is_eligible(&self, request: &Request, index: usize) -> bool {
        let endpoint = &self.endpoints[index];
        // A draining endpoint receives nothing from the first notification on, long before the grace period
        // ends.
        let is_available = endpoint.entry.state == EndpointState::Up && endpoint.selection_weight > 0.0;
        is_available
            && self.may_have_attempt(request)
            && self.runs_once(request, index)
            && self.may_try_failed(request, endpoint)
            && self.is_within_slow_start(request, endpoint)
    }

    /// No attempt starts after the final response, after the client's deadline, or above the limit of
    /// attempts.
    fn may_have_attempt(&self, request: &Request) -> bool {
        let is_in_time = request.awaits_response() && self.now < request.deadline && !request.ran_elsewhere;
        let has_attempt_left = request.attempts_made() < self.settings.limits.max_attempts as usize;
        is_in_time && has_attempt_left && !request.cannot_resend
    }

    /// A request has at most one attempt in flight, and it must not take effect twice: no attempt starts
    /// where an earlier one may have been executed and would not be deduplicated.
    fn runs_once(&self, request: &Request, index: usize) -> bool {
        let used_endpoint =
            |attempt: &Attempt| attempt.endpoint == index && (attempt.in_flight || attempt.may_have_run);
        let is_harmless =
            |attempt: &Attempt| !attempt.may_have_run || self.is_retry_harmless(request, attempt, index);
        request.attempts_in_flight() == 0
            && !request.attempts.iter().any(used_endpoint)
            && request.attempts.iter().all(is_harmless)
    }

    /// An unsafe request that fails cannot be retried, so unsafe requests are not used as trials of half-open
    /// endpoints. If all classes are unsafe, they are, but later than other requests would be.
    fn may_try_failed(&self, request: &Request, endpoint: &Endpoint) -> bool {
        let is_unsafe = self.settings.classes[request.class].effect == Effect::Unsafe;
        let is_late = self.now > endpoint.outlier.ejected_until + 2.0 * SLOW_EJECTION_TIME;
        endpoint.outlier.trials_left == 0 || !is_unsafe || (is_late && self.only_unsafe)
    }

    /// An endpoint in slow start gets only requests that its budget covers, and only from balancers with
    /// the endpoint in their subsets: the budgets are calculated for those, and requests from other
    /// balancers that use it as a substitute or last resort would exceed them.
    fn is_within_slow_start(&self, request: &Request, endpoint: &Endpoint) -> bool {
        let slow_start = &endpoint.slow_start;
        let has_budget = || slow_start.budget >= self.slow_start_cost(request);
        self.warmth(endpoint) >= 1.0 || (slow_start.in_own_subset && has_budget())
    }

    /// Whether an attempt at the endpoint has no second effect if `earlier` was executed.
    fn is_retry_harmless(&self, request: &Request, earlier: &Attempt, index: usize) -> bool {
        let next = &self.endpoints[index].entry;
        match self.settings.classes[request.class].effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed { scope, ttl } => {
                // The retry must arrive while the key is still recognised, so the time to connect counts too.
                let arrives_at =
                    self.now + self.settings.limits.connect_timeout + self.settings.timer_resolution;
                arrives_at < earlier.sent_at + ttl
                    && match scope {
                        KeyScope::All => true,
                        KeyScope::Zone => earlier.zone_and_cell.0 == next.zone,
                        KeyScope::Cell => earlier.zone_and_cell == (next.zone, next.cell),
                    }
            }
        }
    }

    /// Starts an attempt; all attempts start here. Returns false if the rules forbid it.
    fn send(
        &mut self,
        id: RequestId,
        request: &mut Request,
        index: usize,
        actions: &mut Vec<Action>,
    ) -> bool {
        if !self.is_eligible(request, index) || !self.claim_identity(id, request, actions) {
            return false;
        }
        let (work, cost) =
            (self.expected_latency(request.class, request.size), self.slow_start_cost(request));
        // No endpoint works on a request whose body is pending.
        let work_in_flight = if request.body_pending { 0.0 } else { work };
        let max_weight = self.max_selection_weights[self.peer_index(&self.endpoints[index])];
        let endpoint = &mut self.endpoints[index];
        let opened_connection =
            endpoint.connections.begin_attempt(self.settings.limits.streams_per_connection);
        self.load.work_in_flight += work_in_flight;
        let counted_work = endpoint.count_work(work, max_weight, MIN_WEIGHT_RATIO);
        endpoint.slow_start.budget -= cost;
        if endpoint.outlier.trials_left > 0 {
            endpoint.selection_weight = 0.0; // until it responds: half-open means one request at a time
        }
        let attempt = Attempt::new(
            index,
            (endpoint.entry.zone, endpoint.entry.cell),
            self.now,
            work_in_flight,
            opened_connection,
        );
        request.attempts.push(Attempt { counted_work, ..attempt });
        let (endpoint, timeout) = (endpoint.entry.endpoint, self.hedge_timeout(request));
        actions.push(Action::Send { id, endpoint, timeout });
        true
    }

    /// Makes sure that no other request with the identity of this one was forwarded. Returns false if one
    /// was.
    fn claim_identity(&mut self, id: RequestId, request: &mut Request, actions: &mut Vec<Action>) -> bool {
        let is_safe = self.settings.classes[request.class].effect == Effect::Safe;
        let Some(identity) = request.identity.filter(|_| !is_safe) else { return true };
        request.ran_elsewhere = self.forwarded.is_forwarded_by_other(identity, id);
        if !request.ran_elsewhere && self.forwarded.add(identity, Some(id), self.now) {
            actions.push(Action::AnnounceForwarded { identity });
        }
        !request.ran_elsewhere
    }

    /// Sends the final response of a request that no endpoint served; all such responses start here. The
    /// request is rejected if it was certainly not executed or if a retry is harmless, otherwise it fails.
    fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|r| r.awaits_response()) else { return };
        let Class { latency_objective, effect, .. } = self.settings.classes[request.class];
        let is_harmless = effect == Effect::Safe || !request.may_have_run();
        let delay = (latency_objective / RETRY_AFTER_DIVISOR).min(self.settings.limits.max_retry_after);
        let retry_after = self.settings.limits.retry_after.then_some(delay);
        actions.push(if is_harmless { Action::Reject { id, retry_after } } else { Action::Fail { id } });
        self.end_request(id, actions);
    }

    /// Marks a request as ended, by its final response or because the client disconnected. Its attempts in
    /// flight are cancelled; once none is left, the request is removed.
    pub(super) fn end_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (is_first, streaming) = (!request.ended, request.streaming);
        request.ended = true;
        if request.attempts_in_flight() == 0 {
            if let Some(identity) = request.identity.filter(|_| !request.may_have_run()) {
                self.forwarded.remove(identity, id);
            }
            self.requests.remove(&id);
        } else if is_first && !streaming {
            self.cancel_attempts(id, None, actions);
        }
    }

    /// Attempts in flight may still get a response, but no further attempt starts: the client may have
    /// disconnected.
    pub(super) fn client_half_closed(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.cannot_resend = true;
        if request.attempts_in_flight() == 0 {
            self.finish(id, actions);
        }
    }

    /// Cancels the attempts in flight, if that is allowed.
    pub(super) fn cancel_attempts(&self, id: RequestId, except: Option<u32>, actions: &mut Vec<Action>) {
        let attempts = self.requests.get(&id).into_iter().flat_map(|request| (0..).zip(&request.attempts));
        let cancelled = attempts.filter(|(number, attempt)| {
            attempt.in_flight && Some(*number) != except && self.settings.limits.cancellation
        });
        actions.extend(cancelled.map(|(attempt, _)| Action::Cancel { id, attempt }));
    }

    /// Registers a new request, then sheds or dispatches it.
    pub(super) fn request_arrived(&mut self, new: &NewRequest, actions: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(new.metadata.class) else {
            return actions.push(Action::Reject { id: new.id, retry_after: None });
        };
        let tenant = new.metadata.tenant.min(self.recent_tenant_requests.len() - 1);
        let size = new.metadata.size_hint.filter(|size| size.is_finite() && *size > 0.0).unwrap_or(1.0);
        let timeout = if new.timeout.is_finite() { new.timeout } else { class.deadline };
        let key = new.metadata.key.as_deref().filter(|_| self.settings.key_affinity).map(hash);
        let mut request = Request::new(new.metadata.class, self.now, timeout, size, key);
        (request.send_once, request.body_pending) = (new.body_pending, new.body_pending);
        request.identity = new.metadata.identity;
        let is_safe = class.effect == Effect::Safe;
        request.ran_elsewhere = request
            .identity
            .is_some_and(|identity| !is_safe && self.forwarded.is_forwarded_by_other(identity, new.id));
        self.class_stats[new.metadata.class].size.add(size);
        // A client's retry does not count as another request.
        self.class_stats[new.metadata.class].in_objective.weight +=
            f64::from(u8::from(!new.metadata.is_retry));
        self.recent_tenant_requests[tenant] += 1.0;
        self.offered_work[new.metadata.class * self.recent_tenant_requests.len() + tenant] +=
            self.expected_latency(new.metadata.class, size);
        self.requests.insert(new.id, request);
        let ran_elsewhere = self.requests.get(&new.id).is_some_and(|request| request.ran_elsewhere);
        if ran_elsewhere || self.should_shed(new.metadata.class, tenant, new.metadata.is_retry) {
            return self.finish(new.id, actions);
        }
        self.retry_budget = (self.retry_budget + RETRY_BUDGET_PER_REQUEST).min(MAX_RETRY_BUDGET);
        self.dispatch(new.id, actions);
    }

    /// The client's timeout and the endpoint's work count from the last byte of the body.
    pub(super) fn body_completed(&mut self, id: RequestId, timeout: Millis) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        (request.body_pending, request.arrived_at, request.deadline) = (false, self.now, self.now + timeout);
        let work = self.expected_latency(request.class, request.size);
        for attempt in request.attempts.iter_mut().filter(|attempt| attempt.in_flight && attempt.work == 0.0)
        {
            (attempt.sent_at, attempt.work) = (self.now, work);
            self.load.work_in_flight += work;
        }
        self.requests.insert(id, request);
    }

    /// Starts an attempt of a request that has none in flight. If no endpoint is eligible, it is retried
    /// later or finished.
    pub(super) fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let needs_attempt = |request: &&Request| !request.ended && request.attempts_in_flight() == 0;
        let is_sent =
            self.requests.get(&id).filter(needs_attempt).is_none() || self.dispatch_to_selected(id, actions);
        if !is_sent {
            self.retry_later(id, actions);
        }
    }

    /// Dispatches the request again after a backoff, or finishes it when there is not enough time left.
    fn retry_later(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let never_sent = request.attempts.last().is_some_and(|attempt| attempt.never_sent);
        let is_retriable = !request.cannot_resend
            && request.attempts_made() < self.settings.limits.max_attempts as usize
            && (!request.may_have_run() || self.settings.classes[request.class].effect == Effect::Safe);
        // A request waits while no endpoint is eligible, but by default for only half of its time: after a
        // rejection the client itself can retry in the rest. It waits for all of its time if it may have been
        // executed, or if an attempt was not sent because of the local system, which would stop the client's
        // retry as well.
        let may_wait_fully = request.may_have_run() || never_sent;
        let wait_time = if may_wait_fully { 1.0 } else { 0.5 } * (request.deadline - request.arrived_at);
        let last_chance = request.arrived_at + wait_time - 2.0 * self.settings.timer_resolution;
        if !is_retriable || self.now >= last_chance {
            return self.finish(id, actions);
        }
        let backoff = (last_chance - self.now).min(EVALUATION_INTERVAL);
        self.set_timer(backoff, TimerPurpose::RetryDispatch(id), actions);
    }

    /// Starts an attempt at the endpoint that [`Balancer::select_endpoint`] selects. Returns false if there
    /// is none.
    fn dispatch_to_selected(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(mut request) = self.requests.remove(&id) else { return false };
        let is_sent = self
            .select_endpoint(&request)
            .is_some_and(|endpoint| self.send(id, &mut request, endpoint, actions));
        self.requests.insert(id, request);
        is_sent
    }

    /// Estimated probability that an overdue attempt still gets a response. It is low when responses are
    /// lost or endpoints have stalled.
    pub(super) fn overdue_response_rate(&self) -> f64 {
        self.load.overdue_responses.shrunk(1.0, OVERDUE_PRIOR)
    }

    /// Time-out after which an attempt is given up and the request is sent to another endpoint, in case the
    /// response is lost or the endpoint has stalled.
    ///
    /// Giving up an attempt wastes its work, and a heavy request would be executed twice. The time-out is
    /// therefore as long as the latency objective allows, and it is set only in a zone that is on trial or
    /// ramps up after an ejection, or while overdue attempts rarely get a response.
    fn hedge_timeout(&self, request: &Request) -> Option<Millis> {
        let Class { latency_objective, effect, .. } = self.settings.classes[request.class];
        let expected = self.expected_latency(request.class, request.size);
        let (time_left, objective_left) =
            (request.deadline - self.now, request.arrived_at + latency_objective - self.now);
        let is_zone_on_trial =
            request.attempts.last().is_some_and(|attempt| self.zone_weight(attempt.endpoint) < 1.0);
        let should_hedge = self.retry_budget >= 1.0
            && (is_zone_on_trial || self.overdue_response_rate() < HEDGE_MAX_RESPONSE_RATE);
        let timeout = (OVERDUE_RATIO * expected).max(objective_left - HEDGE_LATENCY_RATIO * expected);
        let limit = if should_hedge { time_left.min(objective_left) } else { 0.0 };
        (effect != Effect::Unsafe && !request.send_once && timeout + expected < limit).then_some(timeout)
    }

    /// Once a response is streamed to the client, the other attempts of the request are cancelled.
    pub(super) fn response_started(&mut self, id: RequestId, attempt: u32, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !request.ended {
            request.streaming = true;
            self.cancel_attempts(id, Some(attempt), actions);
        }
    }

    /// Records the end of an attempt; retries or finishes the request if it still awaits a response.
    pub(super) fn attempt_ended(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let (id, outcome) = (end.id, end.outcome);
        let never_ran = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NeverSent);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempts.get_mut(end.attempt as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.in_flight) else { return };
        attempt.in_flight = false;
        self.load.work_in_flight -= attempt.work;
        attempt.may_have_run = !never_ran;
        attempt.never_sent = outcome == Outcome::NeverSent;
        request.cannot_resend |= end.cannot_resend;
        let (index, uncounted_work) =
            (attempt.endpoint, if attempt.never_sent { attempt.counted_work } else { 0.0 });
        let (opened_connection, is_time_up) =
            (attempt.opened_connection, self.now + self.settings.timer_resolution >= request.deadline);
        let (class, size, ended, arrived_at) =
            (request.class, request.size, request.ended, request.arrived_at);
        self.endpoints[index].connections.last_idle_at = self.now;
        // An attempt that was never sent says nothing about the endpoint's capacity.
        self.endpoints[index].recent_work = (self.endpoints[index].recent_work - uncounted_work).max(0.0);
        if let Some(failed) = self.endpoints[index].connections.end_attempt(opened_connection, outcome) {
            self.endpoints[index].connections.failures.add(failed);
            self.load.connect_failures.add(failed);
        }
        if outcome == Outcome::Served
            && self.now - arrived_at <= self.settings.classes[class].latency_objective
        {
            self.class_stats[class].in_objective.sum += 1.0;
        }
        self.record_outcome(index, class, size, end, is_time_up);
        if ended || end.request_ended {
            return self.end_request(id, actions);
        }
        let Some(request) = self.requests.get(&id) else { return };
        if is_time_up {
            // The client's deadline has passed: the final response is due now, even with attempts in flight.
            self.finish(id, actions);
        } else if request.attempts_in_flight() == 0 {
            self.retry(id, outcome, actions);
        }
    }

    /// Retries a request after a failed attempt, if its class, the retry budget and the time left allow it.
    fn retry(&mut self, id: RequestId, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let (class, size) = (request.class, request.size);
        let has_time = request.deadline - self.now > 0.5 * self.expected_latency(class, size);
        // An attempt that was not sent caused no work, so its retry is free.
        let cost = if matches!(outcome, Outcome::ConnectFailed | Outcome::NeverSent) { 0.0 } else { 1.0 };
        let never_sent = outcome == Outcome::NeverSent;
        // Attempts that cannot be sent do not count towards the limit and would be repeated in a tight
        // loop. Once there are as many attempts as the limit, each further one waits for a backoff.
        let may_retry_at_once =
            !never_sent || request.attempts.len() < self.settings.limits.max_attempts as usize;
        if has_time
            && may_retry_at_once
            && self.retry_budget >= cost
            && self.dispatch_to_selected(id, actions)
        {
            self.retry_budget -= cost;
        } else if has_time && never_sent {
            self.retry_later(id, actions);
        } else {
            self.finish(id, actions);
        }
    }
}
