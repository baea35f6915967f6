//! Deadline of the final response. A submitted request has one owner at a time, from its last byte to the
//! last byte of its response, and one deadline, the client's. Whatever an attempt, the balancer or an order
//! server does, a final response is sent by that deadline, and a response that has begun and then stalls is
//! truncated by it too.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time::{Instant, Sleep, sleep, sleep_until};

use crate::endpoint_pool::STALL_TIMEOUT;
use crate::request_body::MAX_BUFFERED_BODY;
use crate::upstream_request::UpstreamRequest;

/// How long the next chunk of a response may be delayed past the client's deadline while the response may
/// still be a short one. Three times the longest pause observed in the first 64 KiB from healthy endpoints,
/// and within the 500 ms after which a request without an end counts as lost.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(300);
/// How often to check whether the first bytes of a response have been sent.
const SENT_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// The deadline of a request without a response.
pub struct PendingResponse {
    request: Rc<UpstreamRequest>,
    slack: Duration,
}

impl PendingResponse {
    /// The balancer is given the deadline of `request`; the response is due `slack` later.
    pub fn new(request: Rc<UpstreamRequest>, slack: Duration) -> PendingResponse {
        PendingResponse { request, slack }
    }

    /// Waits until the final response is overdue. Never completes if the request body fails.
    pub async fn overdue(&self) {
        self.request.deadline_passed().await;
        sleep(self.slack).await;
    }

    /// Begins forwarding a response, whose length is given if known.
    pub fn start_forwarding(&self, length: Option<u64>) -> ResponseForwarder {
        let deadline = self.request.deadline().map(|deadline| deadline + self.slack);
        ResponseForwarder { deadline, length, forwarded: 0, waiting_since: None, timer: None }
    }
}

/// Watches a response that is being forwarded.
pub struct ResponseForwarder {
    /// `None` while the request itself is still being received.
    deadline: Option<Instant>,
    length: Option<u64>,
    forwarded: u64,
    /// When waiting for the next chunk began.
    waiting_since: Option<Instant>,
    timer: Option<Pin<Box<Sleep>>>,
}

impl ResponseForwarder {
    /// Records that more of the response was forwarded.
    pub fn record_forwarded(&mut self, bytes: usize) {
        self.forwarded += bytes as u64;
        self.waiting_since = None;
    }

    /// Called while the next chunk is pending; ready once it is overdue.
    pub fn poll_stalled(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let waiting_since = *self.waiting_since.get_or_insert_with(Instant::now);
        let is_streamed = self.length.unwrap_or(self.forwarded) > MAX_BUFFERED_BODY as u64;
        let due = match self.deadline.filter(|_| !is_streamed) {
            // A client of a short response would otherwise wait past its deadline for an endpoint that has
            // stalled.
            Some(deadline) => deadline.max(waiting_since + CHUNK_TIMEOUT).min(waiting_since + STALL_TIMEOUT),
            None => waiting_since + STALL_TIMEOUT,
        };
        self.poll_timer(cx, due)
    }

    /// Ready once part of a response that has failed was sent to the client, which `is_started` tells.
    ///
    /// An error closes the connection and discards what hyper has buffered but not sent. If that were all of
    /// the response so far, the client would get no response at all.
    pub fn poll_response_started(&mut self, cx: &mut Context<'_>, is_started: bool) -> Poll<()> {
        if is_started {
            return Poll::Ready(());
        }
        // Polled by a timer: hyper's writer only reports that its buffer has space, not that it was flushed.
        if self.poll_timer(cx, Instant::now() + SENT_CHECK_INTERVAL).is_ready() {
            cx.waker().wake_by_ref();
        }
        Poll::Pending
    }

    fn poll_timer(&mut self, cx: &mut Context<'_>, due: Instant) -> Poll<()> {
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(due)));
        if timer.deadline() != due {
            timer.as_mut().reset(due);
        }
        timer.as_mut().poll(cx)
    }
}

#[cfg(test)]
mod tests;
