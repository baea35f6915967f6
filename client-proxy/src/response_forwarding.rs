//! The end of a request that was taken in. One owner at a time has it, from the request's last byte to the
//! last byte of its answer, and one deadline, the client's: whatever an attempt, the decisions or an order
//! server do, that deadline gives the final answer, and an answer that has begun and stays away ends by it
//! too.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time::{Instant, Sleep, sleep, sleep_until};

use crate::endpoint_pool::STALL_TIMEOUT;
use crate::request_body::MAX_BUFFERED_BODY;
use crate::upstream_request::UpstreamRequest;

/// Past the client's time the next piece of an answer may stay away for so long, where the answer may still
/// be a short one. Three times the longest pause that sound endpoints were seen to make in their first 64
/// KiB, and short enough for the half second after which a request without its end is lost.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(300);
/// How often it is looked whether the first bytes of an answer have left.
const SENT_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// The end of a request that has no answer yet.
pub struct PendingResponse {
    request: Rc<UpstreamRequest>,
    slack: Duration,
}

impl PendingResponse {
    /// The decisions have the order's time, and are given `slack` on top of it.
    pub fn new(request: Rc<UpstreamRequest>, slack: Duration) -> PendingResponse {
        PendingResponse { request, slack }
    }

    /// Waits until an answer has to leave. Never, if the request does not come whole.
    pub async fn overdue(&self) {
        self.request.deadline_passed().await;
        sleep(self.slack).await;
    }

    /// The end of it from now on: an answer, of this length where that is known, is passed on.
    pub fn start_forwarding(&self, length: Option<u64>) -> ResponseForwarder {
        let deadline = self.request.deadline().map(|deadline| deadline + self.slack);
        ResponseForwarder { deadline, length, forwarded: 0, waiting_since: None, timer: None }
    }
}

/// The end of a request whose answer is being passed on.
pub struct ResponseForwarder {
    /// Nothing where the request itself has not come whole yet.
    deadline: Option<Instant>,
    length: Option<u64>,
    forwarded: u64,
    /// Since when the next piece is waited for.
    waiting_since: Option<Instant>,
    timer: Option<Pin<Box<Sleep>>>,
}

impl ResponseForwarder {
    /// So much more of the answer has come.
    pub fn record_forwarded(&mut self, bytes: usize) {
        self.forwarded += bytes as u64;
        self.waiting_since = None;
    }

    /// Ready once the next piece, which has not come, has stayed away for too long.
    pub fn poll_stalled(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let waiting_since = *self.waiting_since.get_or_insert_with(Instant::now);
        let is_streamed = self.length.unwrap_or(self.forwarded) > MAX_BUFFERED_BODY as u64;
        let due = match self.deadline.filter(|_| !is_streamed) {
            // Guards against a client left without an end by an endpoint that has fallen silent.
            Some(deadline) => deadline.max(waiting_since + CHUNK_TIMEOUT).min(waiting_since + STALL_TIMEOUT),
            None => waiting_since + STALL_TIMEOUT,
        };
        self.poll_timer(cx, due)
    }

    /// Ready once some of an answer that has broken off has left, which `begun` tells.
    ///
    /// Guards against a connection that is closed without a word: what has been handed to the writer but has
    /// not left goes down with an answer that breaks off, and then the request has had no answer at all.
    pub fn poll_response_started(&mut self, cx: &mut Context<'_>, is_started: bool) -> Poll<()> {
        if is_started {
            return Poll::Ready(());
        }
        // Not by the writer's word: it only says that what it holds is not full.
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
