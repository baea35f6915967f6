//! The final response to a request, as its client connection waits for it.

use std::rc::Rc;
use std::time::Duration;

use balancer::{Event, Millis, RequestId};
use tokio::sync::oneshot;

use super::{Driver, OutcomeRecorder};
use crate::endpoint_pool::{Served, UpstreamBody};
use crate::monitored_stream::HangUp;
use crate::request_body::BodyError;
use crate::response_forwarding::{PendingResponse, ResponseForwarder};
use crate::upstream_request::UpstreamRequest;

/// A final answer.
pub enum FinalOutcome {
    /// An endpoint's own.
    Served(Served),
    /// Trying again does no harm; how long the client ought to keep away.
    Rejected(Option<Millis>),
    /// Promises nothing.
    Failed,
}

/// The final answer to a request, and what the end of the request is up to from here on.
pub struct FinalResponse {
    /// All of it, or what there is to begin with.
    pub outcome: FinalOutcome,
    /// Goes when the answer has gone out.
    pub recorder: Option<OutcomeRecorder>,
    /// For an answer that goes on as it comes.
    pub forwarder: ResponseForwarder,
}

/// The client's side of a request that was taken in.
pub struct ResponseTicket {
    pub(super) id: RequestId,
    pub(super) request: Rc<UpstreamRequest>,
    pub(super) outcome: oneshot::Receiver<FinalOutcome>,
    /// There until the final answer is.
    pub(super) recorder: Option<OutcomeRecorder>,
    pub(super) driver: Rc<Driver>,
}

impl ResponseTicket {
    /// The final answer; a failure if the decisions have none `slack` after the client's time is up for them.
    /// With it comes what the rest of the request's end is up to: an answer may go on for long.
    ///
    /// # Errors
    /// When the request's body did not come whole: then there is no request to answer.
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
                    // It may still read, so what is out may still be answered.
                    self.driver.handle_event(Event::ClientHalfClosed { id: self.id });
                    std::future::pending().await
                }
            }
        };
        let outcome = tokio::select! {
            biased;
            error = body_failed => return Err(error),
            outcome = &mut self.outcome => outcome.unwrap_or(FinalOutcome::Failed),
            _ = pending_response.overdue() => {
                eprintln!("client-proxy: a request was left without an answer until its time was up");
                FinalOutcome::Failed
            }
            error = disconnected => return Err(error),
        };
        // The one place that counts how requests ended: every final answer to a client comes out here.
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
