//! State of one client connection: when it times out and when it may be closed.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use super::LINGER_TIME;
use crate::memory_budget::MemoryPermit;
use crate::monitored_stream::MonitoredStream;
use crate::request_body::SHORT_MESSAGE_BYTES;
use crate::request_end::RequestEnd;

/// Time limit for a request head, counted from its first byte; also how long a connection may be idle, since
/// it occupies a slot. `FIRST_REQUEST_TIMEOUT` limits the first head of a connection, counted from accept.
/// Both are below the 3 s within which clients have to get an end.
pub(super) const HEAD_TIMEOUT: Duration = Duration::from_millis(2_200);

pub(super) const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_900);

/// A client that reads none of its response for this long is disconnected: by then no response is of use to
/// it. A client of a streamed response may pause for longer (`STREAM_STALL_TIMEOUT`).
pub(super) const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_millis(2_500);

pub(super) const STREAM_STALL_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Requests that a connection may have answered without an endpoint before it pauses, and for how long: 8,000 a
/// second, a few percent of a core.
pub(super) const LOCAL_BURST: usize = 16;
const LOCAL_PAUSE: Duration = Duration::from_millis(2);

/// How soon a connection that has just received data, or that is to be closed, is checked again.
pub(super) const RECHECK_INTERVAL: Duration = Duration::from_millis(1);

/// How long the buffers of a connection are kept after short messages, for a client that sends one request after
/// another.
const REST_DELAY: Duration = Duration::from_millis(20);

/// State that the timeouts and the graceful shutdown of a connection depend on.
pub(super) struct ConnectionState {
    pub(super) stream: Rc<MonitoredStream>,
    pub(super) opened_at: Instant,
    /// Requests without a complete response: at most one.
    pub(super) active_requests: Cell<usize>,
    /// When the last response ended; `None` before that.
    pub(super) idle_since: Cell<Option<Instant>>,
    /// The current or last response is streamed.
    pub(super) is_streaming: Cell<bool>,
    /// Requests that have begun.
    pub(super) requests_begun: Cell<usize>,
    /// The head that is being read is longer than there is memory for.
    pub(super) has_long_head: Cell<bool>,
    /// Others wait for the memory that this connection keeps for its next request.
    pub(super) yields_memory: Cell<bool>,
    /// Reading state of the newest request.
    pub(super) request_end: RefCell<Rc<RequestEnd>>,
    /// Responses that asked the client to reconnect (`Connection: close`).
    pub(super) close_responses: Cell<usize>,
    /// Responses in a row that came from no endpoint.
    pub(super) local_responses: Cell<usize>,
    /// Bytes written to the client before the newest response.
    written_before: Cell<u64>,
    /// The newest request has a body that is not short.
    has_long_request: Cell<bool>,
    /// Memory of a response that may not have been written completely.
    pub(super) unsent_memory: RefCell<Option<MemoryPermit>>,
    /// When the head of the next request was complete, if it has waited since.
    pub(super) head_arrived_at: Cell<Option<Instant>>,
}

impl ConnectionState {
    /// The state of a connection that has just been accepted.
    pub(super) fn new(stream: Rc<MonitoredStream>) -> ConnectionState {
        ConnectionState {
            stream,
            opened_at: Instant::now(),
            active_requests: Cell::new(0),
            idle_since: Cell::new(None),
            is_streaming: Cell::new(false),
            requests_begun: Cell::new(0),
            has_long_head: Cell::new(false),
            yields_memory: Cell::new(false),
            request_end: RefCell::default(),
            close_responses: Cell::new(0),
            local_responses: Cell::new(0),
            written_before: Cell::new(0),
            has_long_request: Cell::new(false),
            unsent_memory: RefCell::default(),
            head_arrived_at: Cell::new(None),
        }
    }

    /// When the next request head has to be complete. While a request is handled, this is always in the
    /// future.
    pub(super) fn head_deadline(&self) -> Instant {
        match (self.active_requests.get(), self.idle_since.get(), self.stream.first_byte_at()) {
            (0, None, None) => self.opened_at + HEAD_TIMEOUT,
            (0, None, Some(first_byte_at)) => {
                (first_byte_at + HEAD_TIMEOUT).min(self.opened_at + FIRST_REQUEST_TIMEOUT)
            }
            (0, Some(_), Some(first_byte_at)) => first_byte_at + HEAD_TIMEOUT,
            // The end of a streamed response may still be in the socket buffer while the client pauses.
            // Closing at the shorter idle timeout could truncate the response before the client has read it.
            (0, Some(idle_since), None) if self.is_streaming.get() => idle_since + STREAM_STALL_TIMEOUT,
            (0, Some(idle_since), None) => idle_since + HEAD_TIMEOUT,
            _ => Instant::now() + HEAD_TIMEOUT,
        }
    }

    /// Waits until a request head is late.
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
            // A request may have arrived that was not read yet; closing now would lose it.
            sleep(RECHECK_INTERVAL).await;
            if self.head_deadline() <= Instant::now() {
                return;
            }
        }
    }

    /// Waits until the client has left a response unread for too long.
    pub(super) async fn wait_for_read_timeout(&self) {
        loop {
            let limit = if self.is_streaming.get() { STREAM_STALL_TIMEOUT } else { RESPONSE_STALL_TIMEOUT };
            let waited = self.stream.write_stalled_for();
            if waited >= limit {
                return;
            }
            sleep(limit - waited).await;
        }
    }

    /// Whether a request head has arrived in part, or a client may still be reading a streamed response.
    pub(super) fn is_mid_exchange(&self) -> bool {
        self.active_requests.get() == 0 && (self.stream.first_byte_at().is_some() || self.is_streaming.get())
    }

    /// Whether what is read next belongs to the body of a request, as far as known, and not to a head.
    pub(super) fn is_in_body(&self) -> bool {
        self.active_requests.get() > 0 || !self.request_end().is_reached()
    }

    /// Whether the connection may be closed now, asked of the system and of hyper: no request is being
    /// handled, all responses are in the socket buffer, and no data is waiting to be read. Once the process
    /// is about to be killed, unread data does not count any more: there is no time left for a response.
    pub(super) fn may_close(&self, kill_imminent: bool) -> bool {
        let is_answered = self.active_requests.get() == 0 && self.stream.write_stalled_for().is_zero();
        let is_idle = || self.stream.is_quiet() && !self.is_mid_exchange() && !self.request_end().is_unread();
        is_answered && (kill_imminent || is_idle())
    }

    /// Whether the connection needs no buffers before more arrives, or before there is memory for it.
    pub(super) fn is_at_rest(&self) -> bool {
        let is_idle = self.idle_since.get().is_some() && self.stream.first_byte_at().is_none();
        let is_answered = self.active_requests.get() == 0 && self.request_end().is_reached();
        let waits_for_memory = self.has_long_head.get() || self.yields_memory.get();
        is_answered && self.stream.write_stalled_for().is_zero() && (is_idle || waits_for_memory)
    }

    /// Waits until the connection is at rest: [`REST_DELAY`] after a short message, else at once. This is checked at
    /// each poll, as the end of a response wakes the task.
    pub(super) async fn wait_for_rest(&self) {
        loop {
            std::future::poll_fn(|_| if self.is_at_rest() { Poll::Ready(()) } else { Poll::Pending }).await;
            let waits_for_memory = self.has_long_head.get() || self.yields_memory.get();
            let keeps_buffers = !self.has_long_message() && !waits_for_memory;
            let rests_since =
                self.idle_since.get().filter(|since| keeps_buffers && since.elapsed() < REST_DELAY);
            let Some(rests_since) = rests_since else { return };
            sleep_until(rests_since + REST_DELAY).await;
        }
    }

    /// Whether the buffers may have grown for the newest request or its response.
    fn has_long_message(&self) -> bool {
        let response_bytes = self.stream.written().saturating_sub(self.written_before.get());
        self.has_long_request.get() || response_bytes > SHORT_MESSAGE_BYTES as u64
    }

    /// Records that a request has a body of so many bytes, or more.
    pub(super) fn note_request_body(&self, bytes: usize) {
        self.has_long_request.set(bytes > SHORT_MESSAGE_BYTES);
    }

    pub(super) fn request_end(&self) -> Rc<RequestEnd> {
        Rc::clone(&self.request_end.borrow())
    }

    /// Reads and discards the bodies that responses did not wait for.
    pub(super) async fn drain_bodies(&self) -> Infallible {
        std::future::poll_fn(|cx| {
            let _ = self.request_end.borrow().poll_drain(cx, LINGER_TIME);
            Poll::Pending
        })
        .await
    }

    /// Waits until the connection may be closed. This is checked at each poll, so that a client that sends
    /// one request after another is closed right behind a response.
    pub(super) async fn wait_until_closable(&self, kill_imminent: &CancellationToken) {
        let mut recheck = pin!(sleep(RECHECK_INTERVAL));
        std::future::poll_fn(|cx| {
            if self.may_close(kill_imminent.is_cancelled()) {
                return Poll::Ready(());
            }
            // The end of a response wakes this task, so no timer is needed while a request is handled.
            while self.active_requests.get() == 0 && recheck.as_mut().poll(cx).is_ready() {
                recheck.as_mut().reset(Instant::now() + RECHECK_INTERVAL);
            }
            Poll::Pending
        })
        .await;
    }

    /// Waits before the next request if the last ones needed no endpoint: a client that sends such requests as fast
    /// as it can would otherwise take all turns, and in the end all of the processor.
    pub(super) async fn wait_for_turn(&self) {
        match self.local_responses.get() {
            0 => {}
            responses if responses % LOCAL_BURST == 0 => sleep(LOCAL_PAUSE).await,
            // A new task runs behind all that are ready. The HTTP library would poll `yield_now` again at once.
            _ => drop(spawn_local(async {}).await),
        }
    }

    /// Records what the last response came from.
    pub(super) fn note_response(&self, is_from_endpoint: bool) {
        self.local_responses.set(if is_from_endpoint { 0 } else { self.local_responses.get() + 1 });
    }

    pub(super) fn begin_request(self: &Rc<Self>) -> ActiveRequest {
        self.active_requests.set(self.active_requests.get() + 1);
        self.requests_begun.set(self.requests_begun.get() + 1);
        self.written_before.set(self.stream.written());
        self.has_long_request.set(false);
        ActiveRequest { conn: Rc::clone(self), written_before: self.stream.written(), response_memory: None }
    }
}

/// A request in progress, until its response has been handed to hyper's writer.
pub(super) struct ActiveRequest {
    pub(super) conn: Rc<ConnectionState>,
    /// Bytes written to the client when this request arrived, that is, by the responses before it.
    pub(super) written_before: u64,
    response_memory: Option<MemoryPermit>,
}

impl ActiveRequest {
    /// Keeps the memory of the response until it has been written.
    pub(super) fn with_response_memory(mut self, memory: Option<MemoryPermit>) -> ActiveRequest {
        self.response_memory = memory;
        self
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        // The last chunks are still in the writer's buffer, and a client that reads slowly leaves them there.
        self.conn.unsent_memory.replace(self.response_memory.take());
        self.conn.active_requests.set(self.conn.active_requests.get() - 1);
        self.conn.idle_since.set(Some(Instant::now()));
        self.conn.stream.reset_first_byte();
        self.conn.stream.note_if_empty();
    }
}

#[cfg(test)]
pub(crate) mod tests;
