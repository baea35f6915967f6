//! Carries out the balancer's actions and reports how attempts ended.

use std::rc::Rc;
use std::time::Duration;

use balancer::{Action, AttemptEnd, EndpointId, Event, LoadReport, Millis, Outcome, RequestId};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

use super::{DiscoveryCommand, Driver, DriverState, FinalOutcome, InFlightAttempt, remove_if_finished};
use crate::endpoint_pool::duration_from_ms;

impl Driver {
    pub(super) fn execute(self: &Rc<Self>, state: &mut DriverState, action: Action) {
        match action {
            Action::Send { id, endpoint, timeout } => self.send(state, id, endpoint, timeout),
            Action::Cancel { id, attempt } => {
                let Some(pending) = state.requests.get_mut(&id) else { return };
                let attempt = attempt as usize;
                if let Some(in_flight) = pending.attempts.get_mut(attempt).and_then(Option::take) {
                    self.diagnostics.attempt_ended(pending.request.id(), attempt, Outcome::Cancelled);
                    let (latency, request_ended) = (in_flight.sent.elapsed(), pending.reply.is_none());
                    let load_report = LoadReport::default();
                    let event = attempt_end(
                        id,
                        attempt,
                        Outcome::Cancelled,
                        latency,
                        request_ended,
                        load_report,
                        false,
                    );
                    state.pending_events.push_back(event);
                }
            }
            Action::Reject { id, retry_after } => respond(state, id, FinalOutcome::Rejected(retry_after)),
            Action::Fail { id } => respond(state, id, FinalOutcome::Failed),
            Action::SetTimer { at, token } => {
                let (driver, at) = (Rc::clone(self), self.clock.instant(at));
                spawn_local(async move {
                    sleep_until(at).await;
                    driver.handle_event(Event::TimerFired { token });
                });
            }
            Action::AnnounceForwarded { identity } => {
                if let Some(peer_link) = &*self.peer_link.borrow() {
                    peer_link.announce(identity);
                }
            }
            Action::CloseIdleConnections { endpoint } => self.endpoints.close_idle(endpoint),
            Action::ReleaseEndpointId { endpoint } => self.ids.release(endpoint),
            // The receiver lives as long as the program, so a failed send means that the program is exiting.
            Action::Watch => drop(self.commands.send(DiscoveryCommand::Watch)),
            Action::Fetch => drop(self.commands.send(DiscoveryCommand::Fetch)),
            Action::Log(line) => tracing::info!("{line}"),
            // The balancer does not use these actions at present. Should that change, the log has to show
            // that they are missing here.
            Action::Probe { .. } | Action::SendToPeer { .. } => {
                tracing::info!("balancer action ignored: probes and peer messages are not implemented");
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
        let Some(pending) = state.requests.get_mut(&id) else { return };
        let (attempt, sent) = (pending.attempts.len(), Instant::now());
        if pending.reply.is_none() || pending.request.deadline().is_some_and(|deadline| sent >= deadline) {
            // The client has disconnected or its deadline has passed since the balancer chose this endpoint:
            // sending the request now would be wasted work.
            pending.attempts.push(None);
            let request_ended = pending.reply.is_none();
            let load_report = LoadReport::default();
            let event = attempt_end(
                id,
                attempt,
                Outcome::NeverSent,
                Duration::ZERO,
                request_ended,
                load_report,
                false,
            );
            state.pending_events.push_back(event);
            return;
        }
        self.diagnostics.attempt_began(pending.request.id(), attempt);
        let (cancel, cancelled) = oneshot::channel::<()>();
        pending.attempts.push(Some(InFlightAttempt { sent, _cancel: cancel }));
        let until = timeout.map(|timeout| sent + duration_from_ms(timeout));
        let (driver, request) = (Rc::clone(self), Rc::clone(&pending.request));
        spawn_local(async move {
            let event = tokio::select! {
                biased;
                _ = cancelled => return, // and its connection closes
                event = driver.endpoints.attempt(endpoint, &request, until) => event,
            };
            driver.attempt_ended(id, attempt, event);
        });
    }
}

fn respond(state: &mut DriverState, id: RequestId, outcome: FinalOutcome) {
    if let Some(reply) = state.requests.get_mut(&id).and_then(|pending| pending.reply.take()) {
        // Fails if the client has just disconnected.
        let _ = reply.send(outcome);
    }
    remove_if_finished(state, id);
}

pub(super) fn attempt_end(
    id: RequestId,
    attempt: usize,
    outcome: Outcome,
    latency: Duration,
    request_ended: bool,
    load_report: LoadReport,
    is_body_spent: bool,
) -> Event {
    let latency = latency.as_secs_f64() * 1e3;
    Event::AttemptFinished(AttemptEnd {
        id,
        attempt: attempt as u32,
        outcome,
        latency,
        request_ended,
        load_report,
        cannot_resend: is_body_spent,
    })
}
