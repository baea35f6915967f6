//! State of one client connection: when it is overdue, and when it may be closed.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use super::LINGER_TIME;
use crate::monitored_stream::MonitoredStream;
use crate::request_end::RequestEnd;

/// A head has so long from its first byte, and a connection on which none begins is closed after as long: it
/// holds a place. A first request has to come within the other of its connection: peers are owed an end
/// within 3 s.
pub(super) const HEAD_TIMEOUT: Duration = Duration::from_millis(2_200);

pub(super) const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_900);

/// A client that takes nothing of its answer for so long is let go: no answer is of use to it any more. One
/// that is given a long answer may rest for longer.
pub(super) const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_millis(2_500);

pub(super) const STREAM_STALL_TIMEOUT: Duration = Duration::from_millis(5_000);

/// How soon after a request has come in it is looked for again at the end.
pub(super) const RECHECK_INTERVAL: Duration = Duration::from_millis(1);

/// What the watch over a connection goes by.
pub(super) struct ConnectionState {
    pub(super) stream: Rc<MonitoredStream>,
    pub(super) opened_at: Instant,
    /// Requests that are being answered: one at the most.
    pub(super) active_requests: Cell<usize>,
    /// Since when there is none.
    pub(super) idle_since: Cell<Option<Instant>>,
    /// The answer goes on as it comes.
    pub(super) is_streaming: Cell<bool>,
    /// The end of the newest request.
    pub(super) request_end: RefCell<Rc<RequestEnd>>,
    /// Answers that asked the client to come back on a new connection.
    pub(super) close_responses: Cell<usize>,
}

impl ConnectionState {
    /// Until when a head has to be there; that of a request which is being answered is far off.
    pub(super) fn head_deadline(&self) -> Instant {
        match (self.active_requests.get(), self.idle_since.get(), self.stream.first_byte_at()) {
            (0, None, None) => self.opened_at + HEAD_TIMEOUT,
            (0, None, Some(first_byte_at)) => {
                (first_byte_at + HEAD_TIMEOUT).min(self.opened_at + FIRST_REQUEST_TIMEOUT)
            }
            (0, Some(_), Some(first_byte_at)) => first_byte_at + HEAD_TIMEOUT,
            // Guards against a close that reaches a client before it has read its answer: the last of it may
            // be with the system only, and the client may rest.
            (0, Some(idle_since), None) if self.is_streaming.get() => idle_since + STREAM_STALL_TIMEOUT,
            (0, Some(idle_since), None) => idle_since + HEAD_TIMEOUT,
            _ => Instant::now() + HEAD_TIMEOUT,
        }
    }

    /// Waits until a head ought to have come and has not.
    pub(super) async fn wait_for_head_timeout(&self) {
        loop {
            let due = self.head_deadline();
            if due > Instant::now() {
                sleep_until(due).await;
                continue;
            }
            if self.stream.is_quiet() {
                return;
            }
            // Guards against a close over a request that has come in but was not read yet.
            sleep(RECHECK_INTERVAL).await;
            if self.head_deadline() <= Instant::now() {
                return;
            }
        }
    }

    /// Waits until an answer has been left unread for too long.
    pub(super) async fn wait_for_unread_response(&self) {
        loop {
            let limit = if self.is_streaming.get() { STREAM_STALL_TIMEOUT } else { RESPONSE_STALL_TIMEOUT };
            let waited = self.stream.write_stalled_for();
            if waited >= limit {
                return;
            }
            sleep(limit - waited).await;
        }
    }

    /// Whether the first part of a head has come, and no more, or a long answer may still be read.
    pub(super) fn is_in_use(&self) -> bool {
        self.active_requests.get() == 0 && (self.stream.first_byte_at().is_some() || self.is_streaming.get())
    }

    /// Whether the connection may be closed at this moment, as far as the system and the HTTP connection
    /// know: nothing is being answered, all answers are with the system and nothing has come in that waits.
    /// After the last call what has not been read yet waits in vain.
    pub(super) fn may_close(&self, kill_imminent: bool) -> bool {
        let is_answered = self.active_requests.get() == 0 && self.stream.write_stalled_for().is_zero();
        let is_idle = || self.stream.is_quiet() && !self.is_in_use() && !self.request_end().is_unread();
        is_answered && (kill_imminent || is_idle())
    }

    pub(super) fn request_end(&self) -> Rc<RequestEnd> {
        Rc::clone(&self.request_end.borrow())
    }

    /// Reads and drops what answers did not wait for of the bodies of their requests.
    pub(super) async fn drain_bodies(&self) -> Infallible {
        std::future::poll_fn(|cx| {
            let _ = self.request_end.borrow().poll_drain(cx, LINGER_TIME);
            Poll::Pending
        })
        .await
    }

    /// Waits until the connection may be closed. It is looked at whenever this is polled, so that a client
    /// that sends again and again is closed right behind an answer.
    pub(super) async fn wait_until_closable(&self, kill_imminent: &CancellationToken) {
        let mut recheck = pin!(sleep(RECHECK_INTERVAL));
        std::future::poll_fn(|cx| {
            if self.may_close(kill_imminent.is_cancelled()) {
                return Poll::Ready(());
            }
            // The end of an answer wakes the task by itself.
            while self.active_requests.get() == 0 && recheck.as_mut().poll(cx).is_ready() {
                recheck.as_mut().reset(Instant::now() + RECHECK_INTERVAL);
            }
            Poll::Pending
        })
        .await;
    }

    pub(super) fn begin_request(self: &Rc<Self>) -> ActiveRequest {
        self.active_requests.set(self.active_requests.get() + 1);
        ActiveRequest { conn: Rc::clone(self), written_before: self.stream.written() }
    }
}

/// A request that is being answered, until its answer has been handed to the writer.
pub(super) struct ActiveRequest {
    pub(super) conn: Rc<ConnectionState>,
    /// What had been written to the client when the request came in: the answers before this one.
    pub(super) written_before: u64,
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.conn.active_requests.set(self.conn.active_requests.get() - 1);
        self.conn.idle_since.set(Some(Instant::now()));
        self.conn.stream.reset_first_byte();
        self.conn.stream.note_if_empty();
    }
}

#[cfg(test)]
pub(crate) mod tests;
