//! Deadline of the final response. A submitted request has one owner at a time, from its last byte to the
//! last byte of its response, and one deadline, the client's. Whatever an attempt, the balancer or an order
//! server does, a final response is sent by that deadline, and a short response that has begun is truncated
//! if it has no end shortly after it.

mod pace;

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time::{Instant, Sleep, sleep, sleep_until};

use self::pace::ResponsePace;
use crate::endpoint_pool::STALL_TIMEOUT;
use crate::request_body::MAX_BUFFERED_BODY;
use crate::upstream_request::{ClientDeadline, UpstreamRequest};

/// How long a response that may be a short one is waited for past the client's deadline, all its chunks
/// together, unless a steady pace shows that it is a long one. Without an end 500 ms after the deadline, or
/// 550 ms on a real network, the request of a short response counts as lost; 150 ms of that are left for a
/// process that is stalled for a moment.
const MAX_LATENESS: Duration = Duration::from_millis(400);
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
        ResponseForwarder::new(self.request.client_deadline(self.slack), length)
    }
}

/// Watches a response that is being forwarded.
pub struct ResponseForwarder {
    deadline: ClientDeadline,
    length: Option<u64>,
    forwarded: u64,
    pace: ResponsePace,
    /// When waiting for the next chunk began.
    waiting_since: Option<Instant>,
    /// Total time that earlier chunks were waited for. Time in which the client accepts nothing does not
    /// count.
    waited: Duration,
    /// Part of `waited` that was past the deadline.
    waited_past_deadline: Duration,
    timer: Option<Pin<Box<Sleep>>>,
}

impl ResponseForwarder {
    fn new(deadline: ClientDeadline, length: Option<u64>) -> ResponseForwarder {
        ResponseForwarder {
            deadline,
            length,
            forwarded: 0,
            pace: ResponsePace::default(),
            waiting_since: None,
            waited: Duration::ZERO,
            waited_past_deadline: Duration::ZERO,
            timer: None,
        }
    }

    /// Bytes that have been forwarded.
    pub fn forwarded(&self) -> u64 {
        self.forwarded
    }

    /// Records that more of the response was forwarded.
    pub fn record_forwarded(&mut self, bytes: usize) {
        let now = Instant::now();
        let waiting_since = self.waiting_since.take().unwrap_or(now);
        self.waited += now - waiting_since;
        if let Some(deadline) = self.deadline.get() {
            self.waited_past_deadline += now.saturating_duration_since(waiting_since.max(deadline));
        }
        self.forwarded += bytes as u64;
        if !self.is_long() {
            self.pace.record(bytes as u64, self.waited);
        }
    }

    /// Whether only the first bytes of the response have a deadline.
    fn is_long(&self) -> bool {
        self.length.unwrap_or(self.forwarded) > MAX_BUFFERED_BODY as u64
    }

    /// Called while the next chunk is pending; ready once the response is overdue, or its endpoint has stalled.
    pub fn poll_overdue(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let waiting_since = *self.waiting_since.get_or_insert_with(Instant::now);
        let stalled_at = waiting_since + STALL_TIMEOUT;
        let due = match self.deadline.get().filter(|_| !self.is_long()) {
            // A client of a short response would otherwise wait past its deadline for an endpoint that has
            // stalled, or for one that goes on sending without an end.
            Some(deadline) => self.response_due(deadline, waiting_since).min(stalled_at),
            None => stalled_at,
        };
        self.poll_timer(cx, due)
    }

    /// When a response that is not known to be a long one has to have ended, if nothing more of it comes.
    fn response_due(&self, deadline: Instant, waiting_since: Instant) -> Instant {
        let limit = waiting_since.max(deadline) + MAX_LATENESS.saturating_sub(self.waited_past_deadline);
        let steady_until =
            self.pace.steady_until().map(|until| waiting_since + until.saturating_sub(self.waited));
        steady_until.map_or(limit, |until| until.max(limit))
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
