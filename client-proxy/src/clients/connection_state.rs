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
    pub(super) opened: Instant,
    /// Requests that are being answered: one at the most.
    pub(super) busy: Cell<usize>,
    /// Since when there is none.
    pub(super) idle: Cell<Option<Instant>>,
    /// The answer goes on as it comes.
    pub(super) long: Cell<bool>,
    /// The end of the newest request.
    pub(super) request_end: RefCell<Rc<RequestEnd>>,
    /// Answers that asked the client to come back on a new connection.
    pub(super) sent_away: Cell<usize>,
}

impl ConnectionState {
    /// Until when a head has to be there; that of a request which is being answered is far off.
    pub(super) fn due(&self) -> Instant {
        match (self.busy.get(), self.idle.get(), self.stream.heard()) {
            (0, None, None) => self.opened + HEAD_TIMEOUT,
            (0, None, Some(heard)) => (heard + HEAD_TIMEOUT).min(self.opened + FIRST_REQUEST_TIMEOUT),
            (0, Some(_), Some(heard)) => heard + HEAD_TIMEOUT,
            // Guards against a close that reaches a client before it has read its answer: the last of it may
            // be with the system only, and the client may rest.
            (0, Some(idle), None) if self.long.get() => idle + STREAM_STALL_TIMEOUT,
            (0, Some(idle), None) => idle + HEAD_TIMEOUT,
            _ => Instant::now() + HEAD_TIMEOUT,
        }
    }

    /// Waits until a head ought to have come and has not.
    pub(super) async fn overdue(&self) {
        loop {
            let due = self.due();
            if due > Instant::now() {
                sleep_until(due).await;
                continue;
            }
            if self.stream.is_quiet() {
                return;
            }
            // Guards against a close over a request that has come in but was not read yet.
            sleep(RECHECK_INTERVAL).await;
            if self.due() <= Instant::now() {
                return;
            }
        }
    }

    /// Waits until an answer has been left unread for too long.
    pub(super) async fn unread(&self) {
        loop {
            let most = if self.long.get() { STREAM_STALL_TIMEOUT } else { RESPONSE_STALL_TIMEOUT };
            let waited = self.stream.write_stalled_for();
            if waited >= most {
                return;
            }
            sleep(most - waited).await;
        }
    }

    /// Whether the first part of a head has come, and no more, or a long answer may still be read.
    pub(super) fn is_begun(&self) -> bool {
        self.busy.get() == 0 && (self.stream.heard().is_some() || self.long.get())
    }

    /// Whether the connection may be closed at this moment, as far as the system and the HTTP connection
    /// know: nothing is being answered, all answers are with the system and nothing has come in that waits.
    /// After the last call what has not been read yet waits in vain.
    pub(super) fn may_close(&self, last_call: bool) -> bool {
        let is_answered = self.busy.get() == 0 && self.stream.write_stalled_for().is_zero();
        let is_idle = || self.stream.is_quiet() && !self.is_begun() && !self.request_end().is_unread();
        is_answered && (last_call || is_idle())
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
    pub(super) async fn closable(&self, last_call: &CancellationToken) {
        let mut look_again = pin!(sleep(RECHECK_INTERVAL));
        std::future::poll_fn(|cx| {
            if self.may_close(last_call.is_cancelled()) {
                return Poll::Ready(());
            }
            // The end of an answer wakes the task by itself.
            while self.busy.get() == 0 && look_again.as_mut().poll(cx).is_ready() {
                look_again.as_mut().reset(Instant::now() + RECHECK_INTERVAL);
            }
            Poll::Pending
        })
        .await;
    }

    pub(super) fn enter(self: &Rc<Self>) -> ActiveRequest {
        self.busy.set(self.busy.get() + 1);
        ActiveRequest { door: Rc::clone(self), before: self.stream.written() }
    }
}

/// A request that is being answered, until its answer has been handed to the writer.
pub(super) struct ActiveRequest {
    pub(super) door: Rc<ConnectionState>,
    /// What had been written to the client when the request came in: the answers before this one.
    pub(super) before: u64,
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.door.busy.set(self.door.busy.get() - 1);
        self.door.idle.set(Some(Instant::now()));
        self.door.stream.reset_first_byte();
        self.door.stream.note_if_empty();
    }
}

#[cfg(test)]
pub(crate) mod tests;
