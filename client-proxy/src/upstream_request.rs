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
use crate::request_body::{BodyError, CHUNK_SIZE, Payload, Streaming};
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
        let payload = std::mem::replace(&mut self.payload, Payload::Whole(Bytes::new()));
        if let Payload::Streaming(long) = payload {
            self.end.leave(Unread::Streaming(long));
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
    pub came: Instant,
    /// It was not sent whole before this, as far as known; `came` or earlier. The rest of a body that still
    /// comes may have been with the system for as long.
    pub sent_after: Instant,
    /// How long the client waits from its last byte on.
    pub patience: Duration,
    /// The connection that it came over.
    pub client: Option<Rc<MonitoredStream>>,
    /// How long a connection had been idle over which an attempt of it brought nothing.
    pub max_idle: Cell<Option<Duration>>,
}

impl UpstreamRequest {
    /// One that says nothing, of a client that waits from now on.
    #[cfg(test)]
    pub fn empty(patience: Duration) -> UpstreamRequest {
        let (method, uri, headers) = Default::default();
        UpstreamRequest {
            method,
            uri,
            headers,
            body: RequestBody::new(Payload::Whole(Bytes::new()), Rc::default()),
            came: Instant::now(),
            sent_after: Instant::now(),
            patience,
            client: None,
            max_idle: Cell::default(),
        }
    }

    /// The body, if it goes on as it comes.
    pub fn long(&self) -> Option<&Streaming> {
        match &self.body.payload {
            Payload::Whole(_) => None,
            Payload::Streaming(long) => Some(long),
        }
    }

    /// When the client's time is up; not known while its body comes.
    pub fn deadline(&self) -> Option<Instant> {
        let came = self.long().map_or(Some(self.came), Streaming::came);
        came.map(|came| came + self.patience)
    }

    /// The deadline that an attempt beginning now is passed, in whole milliseconds: what is left to the
    /// client, or until `until` if that is sooner.
    pub fn remaining_ms(&self, until: Option<Instant>) -> u64 {
        let now = Instant::now();
        let latest = until.into_iter().chain(self.deadline()).min();
        let left = latest.map_or(self.patience, |latest| latest.saturating_duration_since(now));
        // Prevents a deadline that leaves out how long the request lay unread: before its connection was
        // taken in, or behind the answer to the one before.
        let sure = (self.sent_after + self.patience).saturating_duration_since(now);
        left.min(sure.max(DEADLINE_SLACK)).as_millis() as u64
    }

    /// Waits until the client's time is up. Never, if its body does not come whole.
    pub async fn time_up(&self) {
        if let Some(long) = self.long()
            && long.settled().await.is_err()
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
    pub async fn abandoned(&self) -> HangUp {
        if let Some(long) = self.long()
            && long.settled().await.is_err()
        {
            return std::future::pending().await;
        }
        match &self.client {
            Some(client) => client.hung_up().await,
            None => std::future::pending().await,
        }
    }

    /// Whether its body cannot be sent again.
    pub fn is_spent(&self) -> bool {
        self.long().is_some_and(Streaming::is_spent)
    }
}

/// The body of one attempt.
pub struct AttemptBody {
    order: Rc<UpstreamRequest>,
    given: u64,
    watched: Rc<MonitoredStream>,
}

impl AttemptBody {
    /// Tells `watched` when all of the body has been handed to the writer.
    pub fn new(order: Rc<UpstreamRequest>, watched: Rc<MonitoredStream>) -> AttemptBody {
        let outgoing = AttemptBody { order, given: 0, watched };
        if outgoing.is_end_stream() {
            outgoing.watched.mark_body_written();
        }
        outgoing
    }

    /// The next piece of what is held in memory.
    fn piece(&mut self, held: &Bytes) -> Option<Bytes> {
        let from = usize::try_from(self.given).ok().filter(|from| *from < held.len())?;
        let piece = held.slice(from..held.len().min(from + CHUNK_SIZE));
        self.given += piece.len() as u64;
        Some(piece)
    }
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let order = Rc::clone(&self.order);
        let held = match &order.body.payload {
            Payload::Whole(body) => body.clone(),
            Payload::Streaming(long) => long.first(),
        };
        let mut piece = self.piece(&held);
        if piece.is_none()
            && let Some(long) = order.long()
            && let Some(data) =
                ready!(long.poll_rest(cx)).transpose().inspect_err(|_| order.body.end.forget())?
        {
            self.given += data.len() as u64;
            piece = Some(data);
        }
        if piece.is_none() || self.is_end_stream() {
            if let Some(long) = order.long() {
                long.came_whole();
                order.body.end.reach();
            }
            self.watched.mark_body_written();
        }
        Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.size_hint().exact() == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        let length = match &self.order.body.payload {
            Payload::Whole(body) => Some(body.len() as u64),
            Payload::Streaming(long) => long.length(),
        };
        length.map_or_else(SizeHint::default, |length| SizeHint::with_exact(length - self.given.min(length)))
    }
}
