//! The client connection's handle for the final response to its request.

use std::rc::Rc;
use std::time::Duration;

use balancer::{Event, Millis, RequestId};
use tokio::sync::oneshot;

use super::{Driver, OutcomeRecorder};
use crate::diagnostics::RefusalReason;
use crate::endpoint_pool::{Served, UpstreamBody};
use crate::monitored_stream::HangUp;
use crate::request_body::BodyError;
use crate::response_forwarding::{PendingResponse, ResponseForwarder};
use crate::upstream_request::UpstreamRequest;

/// How a request ended.
pub enum FinalOutcome {
    /// Response of an endpoint.
    Served(Served),
    /// Rejected with no effect, so a retry is safe. Holds the time after which the client should retry.
    Rejected(Option<Millis>),
    /// Failed; the request may or may not have taken effect.
    Failed,
}

impl FinalOutcome {
    /// Why no endpoint served the request; `None` if one did.
    fn refusal_reason(&self) -> Option<RefusalReason> {
        match self {
            FinalOutcome::Served(_) => None,
            FinalOutcome::Rejected(_) => Some(RefusalReason::Rejected),
            FinalOutcome::Failed => Some(RefusalReason::Failed),
        }
    }
}

/// The final response to a request, and what its connection needs to forward it.
pub struct FinalResponse {
    /// The complete response, or the beginning of a streamed one.
    pub outcome: FinalOutcome,
    /// Dropped when the response has been sent.
    pub recorder: Option<OutcomeRecorder>,
    /// Enforces the deadline of a streamed response.
    pub forwarder: ResponseForwarder,
}

/// The client connection's handle for a submitted request.
pub struct ResponseTicket {
    pub(super) id: RequestId,
    pub(super) request: Rc<UpstreamRequest>,
    pub(super) outcome: oneshot::Receiver<FinalOutcome>,
    /// Taken when the final response is returned.
    pub(super) recorder: Option<OutcomeRecorder>,
    pub(super) driver: Rc<Driver>,
}

impl ResponseTicket {
    /// Waits for the final response, which is a failure if there is none `slack` after the deadline that the
    /// balancer was given. The result includes the forwarder that has to watch the rest of a streamed
    /// response.
    ///
    /// # Errors
    /// If the request body ends early or too slowly, or the client resets the connection: then nobody waits
    /// for a response.
    pub async fn final_response(mut self, slack: Duration) -> Result<FinalResponse, BodyError> {
        let request = Rc::clone(&self.request);
        let pending_response = PendingResponse::new(Rc::clone(&request), slack);
        let body_failed = async {
            match request.streamed_body() {
                Some(body) => match body.wait_until_complete().await {
                    Ok(_) => std::future::pending().await,
                    Err(error) => error,
                },
                None => std::future::pending().await,
            }
        };
        let disconnected = async {
            match request.client_hung_up().await {
                HangUp::Reset => BodyError::Incomplete,
                HangUp::Closed => {
                    // The client may still read, so attempts in flight may still get their response to it.
                    self.driver.handle_event(Event::ClientHalfClosed { id: self.id });
                    std::future::pending().await
                }
            }
        };
        let mut is_overdue = false;
        let outcome = tokio::select! {
            biased;
            error = body_failed => return Err(error),
            outcome = &mut self.outcome => outcome.unwrap_or(FinalOutcome::Failed),
            _ = pending_response.overdue() => {
                tracing::info!(id = request.id(), "request timed out: no response by the deadline");
                is_overdue = true;
                FinalOutcome::Failed
            }
            error = disconnected => return Err(error),
        };
        if let Some(reason) = outcome.refusal_reason() {
            let reason = if is_overdue { RefusalReason::Overdue } else { reason };
            self.driver.diagnostics.request_refused(request.id(), reason);
        }
        // The only place that counts outcomes: every final response to a client passes here.
        let recorder = self.recorder.take();
        if let Some(recorder) = &recorder {
            recorder.record(|counts| match &outcome {
                FinalOutcome::Served(_) => counts.served += 1,
                FinalOutcome::Rejected(_) => counts.rejected += 1,
                FinalOutcome::Failed => counts.failed += 1,
            });
        }
        let length = match &outcome {
            FinalOutcome::Served(Served { body: UpstreamBody::Streamed(stream), .. }) => {
                stream.size_hint().exact()
            }
            _ => Some(0),
        };
        Ok(FinalResponse { outcome, recorder, forwarder: pending_response.start_forwarding(length) })
    }
}

impl Drop for ResponseTicket {
    fn drop(&mut self) {
        self.driver.client_disconnected(self.id);
    }
}
