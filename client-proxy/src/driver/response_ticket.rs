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
pub enum FinalAnswer {
    /// An endpoint's own.
    Served(Served),
    /// Trying again does no harm; how long the client ought to keep away.
    Refused(Option<Millis>),
    /// Promises nothing.
    Failed,
}

/// The final answer to a request, and what the end of the request is up to from here on.
pub struct FinalResponse {
    /// All of it, or what there is to begin with.
    pub answer: FinalAnswer,
    /// Goes when the answer has gone out.
    pub counted: Option<OutcomeRecorder>,
    /// For an answer that goes on as it comes.
    pub passing: ResponseForwarder,
}

/// The client's side of a request that was taken in.
pub struct ResponseTicket {
    pub(super) id: RequestId,
    pub(super) order: Rc<UpstreamRequest>,
    pub(super) answer: oneshot::Receiver<FinalAnswer>,
    /// There until the final answer is.
    pub(super) counted: Option<OutcomeRecorder>,
    pub(super) driver: Rc<Driver>,
}

impl ResponseTicket {
    /// The final answer; a failure if the decisions have none `slack` after the client's time is up for them.
    /// With it comes what the rest of the request's end is up to: an answer may go on for long.
    ///
    /// # Errors
    /// When the request's body did not come whole: then there is no request to answer.
    pub async fn answer(mut self, slack: Duration) -> Result<FinalResponse, BodyError> {
        let order = Rc::clone(&self.order);
        let awaited = PendingResponse::new(Rc::clone(&order), slack);
        let broken = async {
            match order.long() {
                Some(long) => match long.settled().await {
                    Ok(_) => std::future::pending().await,
                    Err(trouble) => trouble,
                },
                None => std::future::pending().await,
            }
        };
        let left = async {
            match order.abandoned().await {
                HangUp::Reset => BodyError::Incomplete,
                HangUp::Closed => {
                    // It may still read, so what is out may still be answered.
                    self.driver.handle_event(Event::ClientHalfClosed { id: self.id });
                    std::future::pending().await
                }
            }
        };
        let answer = tokio::select! {
            biased;
            trouble = broken => return Err(trouble),
            answer = &mut self.answer => answer.unwrap_or(FinalAnswer::Failed),
            _ = awaited.due() => {
                eprintln!("client-proxy: a request was left without an answer until its time was up");
                FinalAnswer::Failed
            }
            trouble = left => return Err(trouble),
        };
        // The one place that counts how requests ended: every final answer to a client comes out here.
        let counted = self.counted.take();
        if let Some(counted) = &counted {
            counted.count(|ended| match &answer {
                FinalAnswer::Served(_) => ended.served += 1,
                FinalAnswer::Refused(_) => ended.refused += 1,
                FinalAnswer::Failed => ended.failed += 1,
            });
        }
        let length = match &answer {
            FinalAnswer::Served(Served { body: UpstreamBody::Streamed(rest), .. }) => {
                rest.size_hint().exact()
            }
            _ => Some(0),
        };
        Ok(FinalResponse { answer, counted, passing: awaited.pass_on(length) })
    }
}

impl Drop for ResponseTicket {
    fn drop(&mut self) {
        self.driver.gone(self.id);
    }
}
