//! Carries out what the decisions want done, and reports how attempts ended.

use std::rc::Rc;
use std::time::Duration;

use balancer::{Action, AttemptEnd, EndpointId, Event, LoadReport, Millis, Outcome, RequestId};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

use super::{DiscoveryCommand, Driver, DriverState, FinalAnswer, InFlightAttempt, forget_if_over};
use crate::endpoint_pool::millis;

impl Driver {
    pub(super) fn execute(self: &Rc<Self>, state: &mut DriverState, action: Action) {
        match action {
            Action::Send { id, endpoint, timeout } => self.send(state, id, endpoint, timeout),
            Action::Cancel { id, attempt } => {
                let Some(job) = state.jobs.get_mut(&id) else { return };
                let attempt = attempt as usize;
                if let Some(out) = job.attempts.get_mut(attempt).and_then(Option::take) {
                    let (latency, over) = (out.sent.elapsed(), job.reply.is_none());
                    let report = LoadReport::default();
                    let end = attempt_end(id, attempt, Outcome::Cancelled, latency, over, report, false);
                    state.queue.push_back(end);
                }
            }
            Action::Reject { id, retry_after } => answer(state, id, FinalAnswer::Refused(retry_after)),
            Action::Fail { id } => answer(state, id, FinalAnswer::Failed),
            Action::SetTimer { at, token } => {
                let (driver, at) = (Rc::clone(self), self.clock.instant(at));
                spawn_local(async move {
                    sleep_until(at).await;
                    driver.handle_event(Event::TimerFired { token });
                });
            }
            Action::CloseIdleConnections { endpoint } => self.endpoints.close_idle(endpoint),
            Action::ReleaseEndpointId { endpoint } => self.ids.release(endpoint),
            // The receiver lives as long as the program; where it has gone, so has the program.
            Action::Watch => drop(self.asks.send(DiscoveryCommand::Watch)),
            Action::Fetch => drop(self.asks.send(DiscoveryCommand::Fetch)),
            Action::Log(line) => eprintln!("client-proxy: {line}"),
            // The decisions neither probe nor talk to each other; where that changes it must be seen.
            Action::Probe { .. } | Action::SendToPeer { .. } => {
                eprintln!("client-proxy: probes and messages to peers are not carried out");
            }
        }
    }

    fn send(
        self: &Rc<Self>,
        state: &mut DriverState,
        id: RequestId,
        endpoint: EndpointId,
        timeout: Option<Millis>,
    ) {
        let Some(job) = state.jobs.get_mut(&id) else { return };
        let (attempt, sent) = (job.attempts.len(), Instant::now());
        if job.reply.is_none() || job.order.deadline().is_some_and(|deadline| sent >= deadline) {
            // Guards against an attempt for one who has left or whose time is up.
            job.attempts.push(None);
            let over = job.reply.is_none();
            let report = LoadReport::default();
            let end = attempt_end(id, attempt, Outcome::NeverSent, Duration::ZERO, over, report, false);
            state.queue.push_back(end);
            return;
        }
        let (call_off, called_off) = oneshot::channel::<()>();
        job.attempts.push(Some(InFlightAttempt { sent, _call_off: call_off }));
        let until = timeout.map(|timeout| sent + millis(timeout));
        let (driver, order) = (Rc::clone(self), Rc::clone(&job.order));
        spawn_local(async move {
            let end = tokio::select! {
                biased;
                _ = called_off => return, // and its connection closes
                end = driver.endpoints.attempt(endpoint, &order, until) => end,
            };
            driver.attempt_ended(id, attempt, end);
        });
    }
}

fn answer(state: &mut DriverState, id: RequestId, answer: FinalAnswer) {
    if let Some(reply) = state.jobs.get_mut(&id).and_then(|job| job.reply.take()) {
        // One who has just left gets nothing.
        let _ = reply.send(answer);
    }
    forget_if_over(state, id);
}

pub(super) fn attempt_end(
    id: RequestId,
    attempt: usize,
    outcome: Outcome,
    latency: Duration,
    ended: bool,
    report: LoadReport,
    spent: bool,
) -> Event {
    let latency = latency.as_secs_f64() * 1e3;
    Event::AttemptFinished(AttemptEnd {
        id,
        attempt: attempt as u32,
        outcome,
        latency,
        request_ended: ended,
        load_report: report,
        cannot_resend: spent,
    })
}
