//! The two gates that keep the rules, `send` and `finish`, and the attempts that pass through them.

use super::{EVALUATION_INTERVAL, HEDGE_BELOW, MAX_RETRY_BUDGET, OVERDUE_RATIO, SLOW_EJECTION_TIME};
use crate::endpoint::Endpoint;
use crate::hashing::hash;
use crate::interface::{
    Action, AttemptEnd, Class, Effect, EndpointState, KeyScope, Millis, NewRequest, Outcome, RequestId,
};
use crate::state::{Attempt, Balancer, Request, TimerPurpose};

/// Work sent to a slow endpoint tells what a sound one would get; one slower than this tells no more.
const MIN_SOUNDNESS: f64 = 0.2;
/// Retry budget: what each first attempt adds, and the most that can be saved up.
const RETRY_BUDGET_PER_REQUEST: f64 = 0.15;
/// An attempt that may be repeated is given up when so many times what its class usually takes is left.
const HEDGE_NEEDS: f64 = 2.0;
const OVERDUE_PRIOR: f64 = 2.0;
/// A refused client is asked to come back after its latency objective over this: soon enough for two more
/// tries within it.
const RETRY_AFTER_DIVISOR: f64 = 4.0;
/// Where handshakes are free, idle connections are kept far beyond a busy balancer's next request.
const IDLE_CONNECTION_TTL: Millis = 1_000.0;

impl Balancer {
    /// Whether the rules let this request go to this endpoint now.
    pub(super) fn is_eligible(&self, request: &Request, h: usize) -> bool {
        let endpoint = &self.endpoints[h];
        // From the first notification of a drain on, long before its grace is over.
        let is_available = endpoint.entry.state == EndpointState::Up && endpoint.selection_weight > 0.0;
        is_available
            && self.may_have_attempt(request)
            && self.runs_once(request, h)
            && self.may_try_failed(request, endpoint)
            && self.is_within_slow_start(request, endpoint)
    }

    /// Nothing is sent after the final response, nor after the client's deadline, nor beyond the limit of
    /// attempts.
    fn may_have_attempt(&self, request: &Request) -> bool {
        let is_in_time = request.waits() && self.now < request.deadline;
        let has_attempt_left = request.attempts_made() < self.settings.limits.max_attempts as usize;
        is_in_time && has_attempt_left && !request.cannot_resend
    }

    /// Never two attempts at a time, and no second effect where a retry would not be dropped.
    fn runs_once(&self, request: &Request, h: usize) -> bool {
        let was_there = |attempt: &Attempt| attempt.endpoint == h && (attempt.open || attempt.may_have_run);
        let is_harmless =
            |attempt: &Attempt| !attempt.may_have_run || self.is_retry_harmless(request, attempt, h);
        request.open_attempts() == 0
            && !request.attempts.iter().any(was_there)
            && request.attempts.iter().all(is_harmless)
    }

    /// Prevents lost effects: no unsafe request tries an endpoint that has failed; or late, where all are
    /// unsafe.
    fn may_try_failed(&self, request: &Request, endpoint: &Endpoint) -> bool {
        let is_unsafe = self.settings.classes[request.class].effect == Effect::Unsafe;
        let is_late = self.now > endpoint.outlier.ejected_until + 2.0 * SLOW_EJECTION_TIME;
        endpoint.outlier.trials_left == 0 || !is_unsafe || (is_late && self.only_unsafe)
    }

    /// An endpoint in slow start gets only what its budget holds, and only from balancers in whose subset it
    /// is: budgets are calculated for them, and what substitutes or a last resort got would come on top.
    fn is_within_slow_start(&self, request: &Request, endpoint: &Endpoint) -> bool {
        let slow_start = &endpoint.slow_start;
        let has_budget = || slow_start.budget >= self.charge(request);
        self.warmth(endpoint) >= 1.0 || (slow_start.in_own_subset && has_budget())
    }

    fn is_retry_harmless(&self, request: &Request, earlier: &Attempt, h: usize) -> bool {
        let next = &self.endpoints[h].entry;
        match self.settings.classes[request.class].effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed { scope, ttl } => {
                // The repeat must arrive while the key is remembered, so dialling time comes off.
                let arrives =
                    self.now + self.settings.limits.connect_timeout + self.settings.timer_resolution;
                arrives < earlier.sent + ttl
                    && match scope {
                        KeyScope::All => true,
                        KeyScope::Zone => earlier.place.0 == next.zone,
                        KeyScope::Cell => earlier.place == (next.zone, next.cell),
                    }
            }
        }
    }

    /// The one place that an attempt leaves from; false if the rules forbid it.
    fn send(&mut self, id: RequestId, request: &mut Request, h: usize, out: &mut Vec<Action>) -> bool {
        if !self.is_eligible(request, h) {
            return false;
        }
        let (work, charge) = (self.usual(request.class, request.size), self.charge(request));
        // While its body comes no endpoint works on it.
        let open = if request.body_pending { 0.0 } else { work };
        let soundest = self.soundest[self.rate_of(&self.endpoints[h])];
        let endpoint = &mut self.endpoints[h];
        let dialled = endpoint.connections.begin_attempt(self.settings.limits.streams_per_connection);
        self.load.open_work += open;
        let counted = endpoint.count_work(work, soundest, MIN_SOUNDNESS);
        endpoint.slow_start.budget -= charge;
        if endpoint.outlier.trials_left > 0 {
            endpoint.selection_weight = 0.0; // until it has answered: half open means one at a time
        }
        let attempt = Attempt::new(h, (endpoint.entry.zone, endpoint.entry.cell), self.now, open, dialled);
        request.attempts.push(Attempt { counted, ..attempt });
        let (endpoint, repeat) = (endpoint.entry.endpoint, self.hedge_after(request));
        out.push(Action::Send { id, endpoint, timeout: repeat });
        true
    }

    /// The one place that our final answers leave from: a refusal where it is true that nothing ran or that
    /// running again does no harm, a failure elsewhere.
    fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|r| r.waits()) else { return };
        let Class { latency_objective, effect, .. } = self.settings.classes[request.class];
        let harmless = effect == Effect::Safe || !request.may_have_run();
        let advice = (latency_objective / RETRY_AFTER_DIVISOR).min(self.settings.limits.max_retry_after);
        let retry_after = self.settings.limits.retry_after.then_some(advice);
        out.push(if harmless { Action::Reject { id, retry_after } } else { Action::Fail { id } });
        self.request_over(id, out);
    }

    /// The request has its final answer: cancel what is out, and forget it when nothing is.
    pub(super) fn request_over(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (first, streaming) = (!request.ended, request.streaming);
        request.ended = true;
        if request.open_attempts() == 0 {
            self.requests.remove(&id);
        } else if first && !streaming {
            self.cancel_attempts(id, None, out);
        }
    }

    /// What is out may still be answered, but nothing more is sent for a client that may have gone.
    pub(super) fn client_closed(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.cannot_resend = true;
        if request.open_attempts() == 0 {
            self.finish(id, out);
        }
    }

    /// Calls off the attempts that are out, where that is allowed.
    pub(super) fn cancel_attempts(&self, id: RequestId, except: Option<u32>, out: &mut Vec<Action>) {
        let open = self.requests.get(&id).into_iter().flat_map(|request| (0..).zip(&request.attempts));
        let open = open.filter(|(n, a)| a.open && Some(*n) != except && self.settings.limits.cancellation);
        out.extend(open.map(|(attempt, _)| Action::Cancel { id, attempt }));
    }

    pub(super) fn arrive(&mut self, new: &NewRequest, out: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(new.metadata.class) else {
            return out.push(Action::Reject { id: new.id, retry_after: None });
        };
        let tenant = new.metadata.tenant.min(self.tenant_rate.len() - 1);
        let size = new.metadata.size_hint.filter(|s| s.is_finite() && *s > 0.0).unwrap_or(1.0);
        let patience = if new.timeout.is_finite() { new.timeout } else { class.deadline };
        let key = new.metadata.key.as_deref().filter(|_| self.settings.key_affinity).map(hash);
        let mut request = Request::new(new.metadata.class, self.now, patience, size, key);
        (request.once, request.body_pending) = (new.body_pending, new.body_pending);
        self.classes[new.metadata.class].size.add(size);
        // A client's repeat belongs to its first try.
        self.classes[new.metadata.class].kept.n += f64::from(u8::from(!new.metadata.is_retry));
        self.tenant_rate[tenant] += 1.0;
        self.offered[new.metadata.class * self.tenant_rate.len() + tenant] +=
            self.usual(new.metadata.class, size);
        self.requests.insert(new.id, request);
        if self.sheds(new.metadata.class, tenant, new.metadata.is_retry) {
            return self.finish(new.id, out);
        }
        self.retry_budget = (self.retry_budget + RETRY_BUDGET_PER_REQUEST).min(MAX_RETRY_BUDGET);
        self.dispatch(new.id, out);
    }

    /// From now on the client waits, and the endpoint works.
    pub(super) fn body_completed(&mut self, id: RequestId, patience: Millis) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        (request.body_pending, request.arrived, request.deadline) = (false, self.now, self.now + patience);
        let work = self.usual(request.class, request.size);
        for attempt in request.attempts.iter_mut().filter(|attempt| attempt.open && attempt.work == 0.0) {
            (attempt.sent, attempt.work) = (self.now, work);
            self.load.open_work += work;
        }
        self.requests.insert(id, request);
    }

    /// Sends the request on, or holds it while no endpoint is ready, or ends it when its time is up.
    pub(super) fn dispatch(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let idle = |r: &&Request| !r.ended && r.open_attempts() == 0;
        let sent = self.requests.get(&id).filter(idle).is_none() || self.dispatch_to_selected(id, out);
        if !sent {
            self.hold(id, out);
        }
    }

    /// Tries the request again after a pause, or ends it when its time is up.
    fn hold(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let never_sent = request.attempts.last().is_some_and(|attempt| attempt.never_sent);
        let repeatable = !request.cannot_resend
            && request.attempts_made() < self.settings.limits.max_attempts as usize
            && (!request.may_have_run() || self.settings.classes[request.class].effect == Effect::Safe);
        // Guards against a request lost while no endpoint is ready, or held until its client can try no more.
        // Where the system here is in the way, another try of the client would come no further.
        let whole = request.may_have_run() || never_sent;
        let end = if whole { 1.0 } else { 0.5 } * (request.deadline - request.arrived);
        let last_chance = request.arrived + end - 2.0 * self.settings.timer_resolution;
        if !repeatable || self.now >= last_chance {
            return self.finish(id, out);
        }
        let pause = (last_chance - self.now).min(EVALUATION_INTERVAL);
        self.set_timer(pause, TimerPurpose::RetryDispatch(id), out);
    }

    /// One attempt to an endpoint of the ordinary path's choice.
    fn dispatch_to_selected(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(mut request) = self.requests.remove(&id) else { return false };
        let sent = self.pick(&request).is_some_and(|endpoint| self.send(id, &mut request, endpoint, out));
        self.requests.insert(id, request);
        sent
    }

    /// How likely an answer that is long overdue still comes: hardly, where answers are lost or endpoints
    /// silent.
    pub(super) fn overdue_response_rate(&self) -> f64 {
        self.load.overdue.shrunk(1.0, OVERDUE_PRIOR)
    }

    /// Guards against answers that are lost and endpoints that fall silent: a request that may be repeated
    /// goes elsewhere when its attempt clearly takes longer than its class usually does. That gives it up,
    /// so it comes as late as the latency objective allows, and only in a zone on trial or where overdue
    /// answers are seen not to come: else a heavy request would run twice.
    fn hedge_after(&self, request: &Request) -> Option<Millis> {
        let Class { latency_objective, effect, .. } = self.settings.classes[request.class];
        let usual = self.usual(request.class, request.size);
        let (left, aim_left) = (request.deadline - self.now, request.arrived + latency_objective - self.now);
        let tries = request.attempts.last().is_some_and(|attempt| self.open(attempt.endpoint) < 1.0);
        let lost = self.retry_budget >= 1.0 && (tries || self.overdue_response_rate() < HEDGE_BELOW);
        let wait = (OVERDUE_RATIO * usual).max(aim_left - HEDGE_NEEDS * usual);
        let useful = if lost { left.min(aim_left) } else { 0.0 };
        (effect != Effect::Unsafe && !request.once && wait + usual < useful).then_some(wait)
    }

    /// Guards against full connection tables: many balancers that each keep a rarely used connection to every
    /// endpoint take up its capacity, and then its last free place.
    pub(super) fn close_idle(&mut self, out: &mut Vec<Action>) {
        let (now, idle) = (self.now, self.settings.limits.connection_idle_timeout);
        let keep = if self.settings.prices.handshake > 0.0 { idle } else { IDLE_CONNECTION_TTL };
        for endpoint in self.endpoints.iter_mut().filter(|h| {
            h.connections.in_flight == 0 && h.connections.open > 0 && h.connections.last_idle_at + keep <= now
        }) {
            endpoint.connections.open = 0;
            if keep < idle {
                out.push(Action::CloseIdleConnections { endpoint: endpoint.entry.endpoint });
            }
        }
    }

    pub(super) fn stream_began(&mut self, id: RequestId, attempt: u32, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !request.ended {
            request.streaming = true;
            self.cancel_attempts(id, Some(attempt), out);
        }
    }

    pub(super) fn attempt_ended(&mut self, end: &AttemptEnd, out: &mut Vec<Action>) {
        let (id, outcome) = (end.id, end.outcome);
        let never_ran = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NeverSent);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempts.get_mut(end.attempt as usize);
        let Some(attempt) = attempt.filter(|a| a.open) else { return };
        attempt.open = false;
        self.load.open_work -= attempt.work;
        attempt.may_have_run = !never_ran;
        attempt.never_sent = outcome == Outcome::NeverSent;
        request.cannot_resend |= end.cannot_resend;
        let (h, counted) = (attempt.endpoint, if attempt.never_sent { attempt.counted } else { 0.0 });
        let (dialled, time_up) =
            (attempt.dialled, self.now + self.settings.timer_resolution >= request.deadline);
        let (class, size, over, arrived) = (request.class, request.size, request.ended, request.arrived);
        self.endpoints[h].connections.last_idle_at = self.now;
        // What was never sent tells nothing of what the endpoint can take.
        self.endpoints[h].recent_work = (self.endpoints[h].recent_work - counted).max(0.0);
        if let Some(failed) = self.endpoints[h].connections.end_attempt(dialled, outcome) {
            self.endpoints[h].connections.failures.add(failed);
            self.load.connect_failures.add(failed);
        }
        if outcome == Outcome::Served && self.now - arrived <= self.settings.classes[class].latency_objective
        {
            self.classes[class].kept.sum += 1.0;
        }
        self.learn(h, class, size, end, time_up);
        if over || end.request_ended {
            return self.request_over(id, out);
        }
        let Some(request) = self.requests.get(&id) else { return };
        if time_up {
            // The client's time is up: the answer is owed at once, whatever else is still out.
            self.finish(id, out);
        } else if request.open_attempts() == 0 {
            self.retry(id, outcome, out);
        }
    }

    /// Another attempt after one that failed, if the class, the budget and the time left allow it.
    fn retry(&mut self, id: RequestId, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let (class, size) = (request.class, request.size);
        let time = request.deadline - self.now > 0.5 * self.usual(class, size);
        // What was not written cost no endpoint any work, so it is not held against the budget.
        let price = if matches!(outcome, Outcome::ConnectFailed | Outcome::NeverSent) { 0.0 } else { 1.0 };
        let never_sent = outcome == Outcome::NeverSent;
        // Guards against a spin of attempts that end at once: beyond its number, each one is paused for.
        let at_once = !never_sent || request.attempts.len() < self.settings.limits.max_attempts as usize;
        if time && at_once && self.retry_budget >= price && self.dispatch_to_selected(id, out) {
            self.retry_budget -= price;
        } else if time && never_sent {
            self.hold(id, out);
        } else {
            self.finish(id, out);
        }
    }
}
