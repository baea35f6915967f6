//! What a client wants done, and its body on the way to an endpoint.

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

use crate::monitored_stream::{HangUp, MonitoredStream};
use crate::request_body::{BodyError, CHUNK_SIZE, Payload, StreamedRequestBody};
use crate::request_end::{RequestEnd, Unread};

/// A client that is still there has some time left, at least 0. Passing so much more than is known to be left
/// stays within the 150 ms by which a passed deadline may be too long, with room for a process that is held
/// up for a moment.
const DEADLINE_SLACK: Duration = Duration::from_millis(100);

/// The body of a request that goes on. Leaves what was not read of it to whoever ends the request.
pub struct RequestBody {
    payload: Payload,
    end: Rc<RequestEnd>,
}

impl RequestBody {
    /// `end` is told when all of it has been read.
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

/// What a client wants done, as it is passed on.
pub struct UpstreamRequest {
    /// Unchanged from the client.
    pub method: Method,
    /// Path and query, unchanged.
    pub uri: Uri,
    /// All that is meant for the endpoint.
    pub headers: HeaderMap,
    /// Unchanged from the client.
    pub body: RequestBody,
    /// When its head, or all of a body that was read whole, had come.
    pub received_at: Instant,
    /// It was not sent whole before this, as far as known; `came` or earlier. The rest of a body that still
    /// comes may have been with the system for as long.
    pub sent_after: Instant,
    /// How long the client waits from its last byte on.
    pub client_timeout: Duration,
    /// The connection that it came over.
    pub client: Option<Rc<MonitoredStream>>,
    /// How long a connection had been idle over which an attempt of it brought nothing.
    pub suspect_idle_time: Cell<Option<Duration>>,
}

impl UpstreamRequest {
    /// One that says nothing, of a client that waits from now on.
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
            suspect_idle_time: Cell::default(),
        }
    }

    /// The body, if it goes on as it comes.
    pub fn streamed_body(&self) -> Option<&StreamedRequestBody> {
        match &self.body.payload {
            Payload::Buffered(_) => None,
            Payload::Streamed(body) => Some(body),
        }
    }

    /// When the client's time is up; not known while its body comes.
    pub fn deadline(&self) -> Option<Instant> {
        let completed_at =
            self.streamed_body().map_or(Some(self.received_at), StreamedRequestBody::completed_at);
        completed_at.map(|completed_at| completed_at + self.client_timeout)
    }

    /// The deadline that an attempt beginning now is passed, in whole milliseconds: what is left to the
    /// client, or until `until` if that is sooner.
    pub fn remaining_ms(&self, until: Option<Instant>) -> u64 {
        let now = Instant::now();
        let latest = until.into_iter().chain(self.deadline()).min();
        let remaining = latest.map_or(self.client_timeout, |latest| latest.saturating_duration_since(now));
        // Prevents a deadline that leaves out how long the request lay unread: before its connection was
        // taken in, or behind the answer to the one before.
        let certain = (self.sent_after + self.client_timeout).saturating_duration_since(now);
        remaining.min(certain.max(DEADLINE_SLACK)).as_millis() as u64
    }

    /// Waits until the client's time is up. Never, if its body does not come whole.
    pub async fn deadline_passed(&self) {
        if let Some(body) = self.streamed_body()
            && body.wait_until_complete().await.is_err()
        {
            return std::future::pending().await;
        }
        if let Some(deadline) = self.deadline() {
            sleep_until(deadline).await;
        }
    }

    /// Whether the client has closed its side by now, asked of the system at this moment: nothing new is sent
    /// for it.
    pub fn is_abandoned(&self) -> bool {
        self.client.as_ref().is_some_and(|client| client.query_hang_up().is_some())
    }

    /// Whether an attempt may begin at this moment: its client waits, and has time left.
    pub fn may_begin(&self) -> bool {
        let in_time = self.deadline().is_none_or(|deadline| Instant::now() < deadline);
        in_time && !self.is_abandoned()
    }

    /// Waits until the client has closed its side, with all of its request sent.
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

    /// Whether its body cannot be sent again.
    pub fn is_body_spent(&self) -> bool {
        self.streamed_body().is_some_and(StreamedRequestBody::is_spent)
    }
}

/// The body of one attempt.
pub struct AttemptBody {
    request: Rc<UpstreamRequest>,
    yielded: u64,
    stream: Rc<MonitoredStream>,
}

impl AttemptBody {
    /// Tells `watched` when all of the body has been handed to the writer.
    pub fn new(request: Rc<UpstreamRequest>, stream: Rc<MonitoredStream>) -> AttemptBody {
        let attempt_body = AttemptBody { request, yielded: 0, stream };
        if attempt_body.is_end_stream() {
            attempt_body.stream.mark_body_handed_over();
        }
        attempt_body
    }

    /// The next piece of what is held in memory.
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
            if let Some(body) = request.streamed_body() {
                body.mark_complete();
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
