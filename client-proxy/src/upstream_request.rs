//! A client's request in the form in which attempts send it to endpoints.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use tokio::time::{Instant, sleep_until};

use crate::headers::request_id;
use crate::memory_budget::MemoryPermit;
use crate::monitored_stream::{HangUp, MonitoredStream, PeerStatus};
use crate::request_arrival::MAX_COMPLETION_ERROR;
use crate::request_body::{BodyError, CHUNK_SIZE, Payload, SHORT_MESSAGE_BYTES, StreamedRequestBody};
use crate::request_end::{RequestEnd, Unread};

/// A client that is still connected has at least 0 ms left. The deadline passed to an endpoint may be up to
/// 150 ms too long; this is the part of it that may be passed beyond the remaining time that is certain, so
/// that 50 ms are left for a process that is stalled for a moment.
const DEADLINE_SLACK: Duration = Duration::from_millis(100);

/// How often to check how much of a long request has arrived.
const ARRIVAL_RECHECK: Duration = Duration::from_millis(20);

/// Body of a forwarded request. On drop it leaves the unread rest to `RequestEnd`.
pub struct RequestBody {
    payload: Payload,
    end: Rc<RequestEnd>,
}

impl RequestBody {
    /// `end` is notified when the body has been read completely.
    pub fn new(payload: Payload, end: Rc<RequestEnd>) -> RequestBody {
        RequestBody { payload, end }
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        let payload = std::mem::replace(&mut self.payload, Payload::Buffered(Bytes::new()));
        if let Payload::Streamed(body) = payload {
            self.end.leave_unread(Unread::Streamed(body));
        }
    }
}

/// The client's deadline, which may begin after its response has.
pub enum ClientDeadline {
    /// The complete request has been read.
    At(Instant),
    /// The request is still being read.
    AfterRequestEnd {
        /// Tells when the last byte of the request was read.
        end: Rc<RequestEnd>,
        /// How long the client waits from then on.
        client_timeout: Duration,
    },
}

impl ClientDeadline {
    /// The deadline, if the complete request has been read.
    pub fn get(&self) -> Option<Instant> {
        match self {
            ClientDeadline::At(deadline) => Some(*deadline),
            ClientDeadline::AfterRequestEnd { end, client_timeout } => {
                end.reached_at().map(|reached_at| reached_at + *client_timeout)
            }
        }
    }
}

/// A client's request, as it is forwarded.
pub struct UpstreamRequest {
    /// Unchanged from the client.
    pub method: Method,
    /// Path and query, unchanged.
    pub uri: Uri,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Unchanged from the client.
    pub body: RequestBody,
    /// When the head, or the last byte of a buffered body, was received.
    pub received_at: Instant,
    /// The earliest time at which the client may have sent the end of what has been read; `received_at` or
    /// earlier. The rest of a streamed body may have been in the socket buffer just as long.
    pub sent_after: Instant,
    /// How long the client waits, counted from the last byte of its request.
    pub client_timeout: Duration,
    /// Connection of the client.
    pub client: Option<Rc<MonitoredStream>>,
    /// What has been learned by the attempts so far.
    pub attempts: AttemptState,
    /// Memory of a head with many fields.
    pub field_memory: Option<MemoryPermit>,
}

/// What the attempts of a request have shown, for the rest of the newest one and for the next.
#[derive(Default)]
pub struct AttemptState {
    /// One failed without a response byte on a connection that had been idle for longer than endpoints surely
    /// keep one.
    pub avoids_idle: Cell<bool>,
    /// The newest one began in the middle of the body, and the client may have left long before.
    is_unconfirmed: Cell<bool>,
}

impl UpstreamRequest {
    /// An empty request of a client that waits from now on.
    #[cfg(test)]
    pub fn empty(client_timeout: Duration) -> UpstreamRequest {
        let (method, uri, headers) = Default::default();
        UpstreamRequest {
            method,
            uri,
            headers,
            body: RequestBody::new(Payload::Buffered(Bytes::new()), Rc::default()),
            received_at: Instant::now(),
            sent_after: Instant::now(),
            client_timeout,
            client: None,
            attempts: AttemptState::default(),
            field_memory: None,
        }
    }

    /// The client's id of the request; empty if it is not text.
    pub fn id(&self) -> &str {
        request_id(&self.headers)
    }

    /// Whether neither its fields nor its body make buffers grow.
    pub fn is_short(&self) -> bool {
        let is_body_short = match &self.body.payload {
            Payload::Buffered(body) => body.len() <= SHORT_MESSAGE_BYTES,
            Payload::Streamed(_) => false,
        };
        is_body_short && self.field_memory.is_none()
    }

    /// The body, if it is streamed.
    pub fn streamed_body(&self) -> Option<&StreamedRequestBody> {
        match &self.body.payload {
            Payload::Buffered(_) => None,
            Payload::Streamed(body) => Some(body),
        }
    }

    /// The client's deadline; not known before a streamed body is complete.
    pub fn deadline(&self) -> Option<Instant> {
        let completed_at =
            self.streamed_body().map_or(Some(self.received_at), StreamedRequestBody::completed_at);
        completed_at.map(|completed_at| completed_at + self.client_timeout)
    }

    /// The client's deadline, `slack` later, for a response that may outlive this request.
    pub fn client_deadline(&self, slack: Duration) -> ClientDeadline {
        match self.deadline() {
            Some(deadline) => ClientDeadline::At(deadline + slack),
            None => ClientDeadline::AfterRequestEnd {
                end: Rc::clone(&self.body.end),
                client_timeout: self.client_timeout + slack,
            },
        }
    }

    /// Remaining time, in whole milliseconds, to pass to an attempt that begins now: up to the client's
    /// deadline or `until`, whichever is earlier.
    pub fn remaining_ms(&self, until: Option<Instant>) -> u64 {
        let now = Instant::now();
        let latest = until.into_iter().chain(self.deadline()).min();
        let remaining = latest.map_or(self.client_timeout, |latest| latest.saturating_duration_since(now));
        // The request may have been unread for a while, before its connection was accepted or behind the
        // previous response, and the client's timeout counted down meanwhile.
        let certain = (self.sent_after + self.client_timeout).saturating_duration_since(now);
        remaining.min(certain.max(DEADLINE_SLACK)).as_millis() as u64
    }

    /// Waits until the client's deadline, or until the deadline that it has if its request was complete as soon
    /// as it may have been. Never completes if the body fails.
    pub async fn deadline_passed(&self) {
        if let Some(body) = self.streamed_body() {
            tokio::select! {
                biased;
                completed = body.wait_until_complete() => if completed.is_err() {
                    return std::future::pending().await;
                },
                _ = self.earliest_deadline_passed(body) => return,
            }
        }
        if let Some(deadline) = self.deadline() {
            sleep_until(deadline).await;
        }
    }

    /// Waits until a client whose request has not been read completely has waited for as long as it does, if it
    /// has sent all of it.
    async fn earliest_deadline_passed(&self, body: &StreamedRequestBody) {
        let Some(client) = &self.client else { return std::future::pending().await };
        loop {
            let sent_at = body.may_be_complete_since(client).map(|since| since + MAX_COMPLETION_ERROR);
            let now = Instant::now();
            let deadline = sent_at.map(|sent_at| sent_at + self.client_timeout);
            if deadline.is_some_and(|deadline| deadline <= now) {
                return;
            }
            let recheck_at = now + ARRIVAL_RECHECK;
            sleep_until(deadline.map_or(recheck_at, |deadline| deadline.min(recheck_at))).await;
        }
    }

    /// From when the client's time counts, if the last byte of the body has just been read.
    fn completed_at(&self, body: &StreamedRequestBody) -> Instant {
        let now = Instant::now();
        let since = self.client.as_ref().and_then(|client| body.may_be_complete_since(client));
        since.map_or(now, |since| now.min(since + MAX_COMPLETION_ERROR))
    }

    /// Whether an attempt may begin now: the client is connected and has time left. To be called right before
    /// its first byte is written.
    pub fn may_begin(&self) -> bool {
        self.attempts.is_unconfirmed.set(false);
        self.deadline().is_none_or(|deadline| Instant::now() < deadline) && self.check_client()
    }

    /// Whether the client is connected, asked of the system now, or was until shortly before if that cannot
    /// be told.
    fn check_client(&self) -> bool {
        let Some(client) = &self.client else { return true };
        match client.query_status() {
            PeerStatus::Connected => true,
            PeerStatus::HungUp(_) => false,
            PeerStatus::Unknown if !client.is_unknown_for_too_long() => true,
            PeerStatus::Unknown => {
                // The end of the stream may be behind a long body, and is not visible before that has been
                // read. The attempt begins, and this is checked again before its last byte.
                let is_incomplete = self.streamed_body().is_some_and(|body| body.completed_at().is_none());
                self.attempts.is_unconfirmed.set(is_incomplete);
                is_incomplete
            }
        }
    }

    /// Whether the newest attempt must not be completed, since its client may have left long before it
    /// began. To be called when the complete body has been read.
    fn is_still_unconfirmed(&self) -> bool {
        self.attempts.is_unconfirmed.get()
            && self.client.as_ref().is_some_and(|client| client.query_status() != PeerStatus::Connected)
    }

    /// Waits until the client closes its writing side after its complete request.
    pub async fn client_hung_up(&self) -> HangUp {
        if let Some(body) = self.streamed_body()
            && body.wait_until_complete().await.is_err()
        {
            return std::future::pending().await;
        }
        match &self.client {
            Some(client) => client.wait_for_hang_up().await,
            None => std::future::pending().await,
        }
    }

    /// Whether the body cannot be sent again.
    pub fn is_body_spent(&self) -> bool {
        self.streamed_body().is_some_and(StreamedRequestBody::is_spent)
    }
}

/// Body of one attempt.
pub struct AttemptBody {
    request: Rc<UpstreamRequest>,
    yielded: u64,
    stream: Rc<MonitoredStream>,
}

impl AttemptBody {
    /// Tells `stream` when the complete body has been handed to the writer.
    pub fn new(request: Rc<UpstreamRequest>, stream: Rc<MonitoredStream>) -> AttemptBody {
        let attempt_body = AttemptBody { request, yielded: 0, stream };
        if attempt_body.is_end_stream() {
            attempt_body.stream.mark_body_handed_over();
        }
        attempt_body
    }

    /// The next chunk of the part that is in memory.
    fn next_buffered_chunk(&mut self, buffered: &Bytes) -> Option<Bytes> {
        let from = usize::try_from(self.yielded).ok().filter(|from| *from < buffered.len())?;
        let chunk = buffered.slice(from..buffered.len().min(from + CHUNK_SIZE));
        self.yielded += chunk.len() as u64;
        Some(chunk)
    }
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let request = Rc::clone(&self.request);
        let buffered = match &request.body.payload {
            Payload::Buffered(body) => body.clone(),
            Payload::Streamed(body) => body.prefix(),
        };
        let mut chunk = self.next_buffered_chunk(&buffered);
        if chunk.is_none()
            && let Some(body) = request.streamed_body()
            && let Some(data) =
                ready!(body.poll_rest(cx)).transpose().inspect_err(|_| request.body.end.abandon())?
        {
            self.yielded += data.len() as u64;
            chunk = Some(data);
        }
        if chunk.is_none() || self.is_end_stream() {
            if request.is_still_unconfirmed() {
                return Poll::Ready(Some(Err(BodyError::Abandoned)));
            }
            if let Some(body) = request.streamed_body() {
                body.mark_complete(request.completed_at(body));
                request.body.end.mark_reached();
            }
            self.stream.mark_body_handed_over();
        }
        Poll::Ready(chunk.map(|chunk| Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.size_hint().exact() == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        let length = match &self.request.body.payload {
            Payload::Buffered(body) => Some(body.len() as u64),
            Payload::Streamed(body) => body.length(),
        };
        length
            .map_or_else(SizeHint::default, |length| SizeHint::with_exact(length - self.yielded.min(length)))
    }
}
