//! Request bodies on their way from clients to endpoints, and the minimum rate at which clients have to send
//! them.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::{Instant, Sleep, sleep, timeout};

use crate::memory_budget::{MemoryBudget, MemoryPermit};
use crate::monitored_stream::MonitoredStream;
use crate::request_arrival::{Progress, RequestArrival};

/// A body of up to this size is read completely before the request is forwarded.
pub const MAX_BUFFERED_BODY: usize = 64 * 1024;
/// Bodies are written in chunks of this size at most. The HTTP library takes one more while it holds less than 16 KiB,
/// so its write buffer, which doubles as it grows, stays at 32 KiB.
pub const CHUNK_SIZE: usize = 8 * 1024;
/// Messages of up to this size leave the buffers of their connections as they are.
pub const SHORT_MESSAGE_BYTES: usize = 4 * 1024;
/// Buffers of bodies whose length is not known grow by this much, as memory is reserved for it.
const BUFFER_STEP: usize = 16 * 1024;
/// A client has to send at least this many bytes per second of the time that its body is waited for.
const MIN_BYTES_PER_SECOND: f64 = 64_000.0;
/// A client that sends nothing of its body for this long is stalled, whatever its average rate: clients have
/// to get an end within 3 s.
const MAX_STALL: Duration = Duration::from_millis(2_500);

/// How long a request waits for memory before it is rejected.
pub const MEMORY_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a body could not be read completely.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BodyError {
    /// It arrived below the minimum rate or stalled.
    #[error("the body did not come in time")]
    Late,
    /// It ended early or is malformed.
    #[error("the body broke off")]
    Incomplete,
    /// The memory budget for bodies is used up.
    #[error("there is no room for the body at present")]
    NoMemory,
    /// It is complete, but its client has left.
    #[error("the client has left")]
    Abandoned,
}

/// A body with a minimum rate. It is read only as fast as it is polled, and only the time spent waiting for
/// it counts against the client.
pub struct PacedBody {
    body: Incoming,
    /// Received and not returned yet.
    pending: Bytes,
    grace: Duration,
    received: u64,
    waited: Duration,
    waiting_since: Option<Instant>,
    timer: Option<Pin<Box<Sleep>>>,
}

impl PacedBody {
    /// Allows for `grace` on top of the time that the minimum rate gives.
    pub fn new(body: Incoming, grace: Duration) -> PacedBody {
        PacedBody {
            body,
            pending: Bytes::new(),
            grace,
            received: 0,
            waited: Duration::ZERO,
            waiting_since: None,
            timer: None,
        }
    }

    /// Whether the body is known to have ended.
    pub fn is_end_stream(&self) -> bool {
        self.pending.is_empty() && self.body.is_end_stream()
    }

    /// Whether all that has been received was taken, and more is waited for.
    pub fn is_waiting(&self) -> bool {
        self.waiting_since.is_some()
    }

    /// Total time spent waiting for the client.
    pub fn waited(&self) -> Duration {
        self.waited
    }

    /// The next chunk. Trailers are skipped.
    pub fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            if !self.pending.is_empty() {
                return Poll::Ready(Some(Ok(next_chunk(&mut self.pending))));
            }
            let polled = Pin::new(&mut self.body).poll_frame(cx);
            if polled.is_ready()
                && let Some(waiting_since) = self.waiting_since.take()
            {
                self.waited += waiting_since.elapsed();
            }
            match polled {
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) if !data.is_empty() => {
                        self.received += data.len() as u64;
                        self.pending = data;
                    }
                    _ => {}
                },
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Some(Err(BodyError::Incomplete))),
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Pending => {
                    let waiting_since = *self.waiting_since.get_or_insert_with(Instant::now);
                    let allowed =
                        self.grace + Duration::from_secs_f64(self.received as f64 / MIN_BYTES_PER_SECOND);
                    // A client that sends a large part at once and then stops would otherwise be waited for
                    // as long as its average rate allows.
                    let until = waiting_since + allowed.saturating_sub(self.waited).min(MAX_STALL);
                    let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(Duration::ZERO)));
                    if timer.deadline() != until {
                        timer.as_mut().reset(until);
                    }
                    ready!(timer.as_mut().poll(cx));
                    return Poll::Ready(Some(Err(BodyError::Late)));
                }
            }
        }
    }

    /// Reads a little more than [`MAX_BUFFERED_BODY`] bytes at most, reserving memory for them. Returns them,
    /// the permit, and whether that was the complete body.
    ///
    /// # Errors
    /// If the body cannot be read or there is no memory for it within `wait`.
    pub async fn read_prefix(
        &mut self,
        memory: &MemoryBudget,
        wait: &mut MemoryWait,
    ) -> Result<(Bytes, Option<MemoryPermit>, bool), BodyError> {
        let length = self.body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
        let mut reserved = length.unwrap_or(0).min(MAX_BUFFERED_BODY + CHUNK_SIZE);
        let mut permit = wait.reserve(memory.reserve_buffered(reserved)).await?;
        // Grows by what is reserved. `BytesMut` would double its size.
        let mut prefix = Vec::with_capacity(reserved);
        while !self.is_end_stream() && prefix.len() <= MAX_BUFFERED_BODY {
            let Some(data) = std::future::poll_fn(|cx| self.poll_data(cx)).await.transpose()? else {
                return Ok((prefix.into(), Some(permit), true));
            };
            if prefix.len() + data.len() > reserved {
                permit.merge(wait.reserve(memory.reserve_buffered(BUFFER_STEP)).await?);
                reserved += BUFFER_STEP;
                prefix.reserve_exact(reserved - prefix.len());
            }
            prefix.extend_from_slice(&data);
        }
        Ok((prefix.into(), Some(permit), self.is_end_stream()))
    }
}

/// How long one request may still wait for memory, all waits together. Several requests may each hold part of a
/// budget and wait for more, which without an end would be a deadlock.
pub struct MemoryWait {
    left: Duration,
    spent: Duration,
}

impl MemoryWait {
    /// For a client that waits for `client_timeout`.
    pub fn new(client_timeout: Duration) -> MemoryWait {
        MemoryWait { left: client_timeout.min(MEMORY_TIMEOUT), spent: Duration::ZERO }
    }

    /// The time of all waits so far.
    pub fn spent(&self) -> Duration {
        self.spent
    }

    /// Waits for memory.
    ///
    /// # Errors
    /// If the time is up.
    pub async fn reserve(
        &mut self,
        memory: impl Future<Output = Option<MemoryPermit>>,
    ) -> Result<MemoryPermit, BodyError> {
        let began_at = Instant::now();
        let reserved = timeout(self.left, memory).await;
        self.spent += began_at.elapsed();
        self.left = self.left.saturating_sub(began_at.elapsed());
        reserved.ok().flatten().ok_or(BodyError::NoMemory)
    }
}

/// How far a streamed body has been read.
#[derive(Clone, Copy, PartialEq)]
enum BodyProgress {
    Receiving,
    /// The last byte was read, and the client's time counts from this.
    Complete(Instant),
    Failed(BodyError),
}

/// A body that is forwarded while it is received.
pub struct StreamedRequestBody {
    /// The part that was read first, with its memory permit. Kept for as long as the body can be sent again.
    prefix: RefCell<(Bytes, Option<MemoryPermit>)>,
    rest: RefCell<PacedBody>,
    arrival: RefCell<RequestArrival>,
    length: Option<u64>,
    progress: watch::Sender<BodyProgress>,
    /// Part of the rest was taken, so no further attempt can send the body.
    is_spent: Cell<bool>,
    _permit: MemoryPermit,
}

impl StreamedRequestBody {
    /// `prefix` has already been read; `length` is the length of the complete body, if known. None of it was sent
    /// before `sent_after`.
    pub fn new(
        prefix: (Bytes, Option<MemoryPermit>),
        rest: PacedBody,
        length: Option<u64>,
        sent_after: Instant,
        permit: MemoryPermit,
    ) -> StreamedRequestBody {
        let (rest, progress) = (RefCell::new(rest), watch::Sender::new(BodyProgress::Receiving));
        let arrival = RefCell::new(RequestArrival::new(length, sent_after));
        StreamedRequestBody {
            prefix: RefCell::new(prefix),
            rest,
            arrival,
            length,
            progress,
            is_spent: Cell::new(false),
            _permit: permit,
        }
    }

    /// The part that was read before forwarding began; empty once part of the rest has been taken.
    pub fn prefix(&self) -> Bytes {
        self.prefix.borrow().0.clone()
    }

    /// Length of the complete body, if known.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// The next chunk of the rest. Each chunk is returned once.
    pub fn poll_rest(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        let next = ready!(self.rest.borrow_mut().poll_data(cx));
        if next.is_some() {
            self.discard_prefix();
        }
        if let Some(Err(error)) = next {
            self.progress.send_replace(BodyProgress::Failed(error));
        }
        Poll::Ready(next)
    }

    /// Records that the last byte has been read; the client's time counts from `sent_at`.
    pub fn mark_complete(&self, sent_at: Instant) {
        // The rest can be read only once, so a second attempt would send a truncated body.
        self.discard_prefix();
        self.progress.send_replace(BodyProgress::Complete(sent_at));
    }

    /// The earliest time at which `client` may have sent the last byte; `None` while the client is waited for,
    /// or more is missing than its system can hold.
    pub fn may_be_complete_since(&self, client: &MonitoredStream) -> Option<Instant> {
        let rest = self.rest.borrow();
        if rest.is_waiting() {
            return None;
        }
        let progress = Progress {
            read: rest.received,
            unread: client.unread_bytes() as u64,
            is_window_open: client.is_receive_window_open(),
        };
        let mut arrival = self.arrival.borrow_mut();
        arrival.record(progress, Instant::now());
        arrival.may_be_complete_since(client.last_read_sent_after())
    }

    /// Frees the prefix: without the rest it is of no use.
    fn discard_prefix(&self) {
        self.is_spent.set(true);
        self.prefix.take();
    }

    /// Whether no further attempt can send the body.
    pub fn is_spent(&self) -> bool {
        self.is_spent.get()
    }

    /// When the client's time began, if the last byte was read.
    pub fn completed_at(&self) -> Option<Instant> {
        match *self.progress.borrow() {
            BodyProgress::Complete(at) => Some(at),
            _ => None,
        }
    }

    /// Waits until the body is complete or has failed.
    pub async fn wait_until_complete(&self) -> Result<Instant, BodyError> {
        let mut progress = self.progress.subscribe();
        match progress.wait_for(|progress| *progress != BodyProgress::Receiving).await.as_deref() {
            Ok(BodyProgress::Complete(at)) => Ok(*at),
            Ok(BodyProgress::Failed(error)) => Err(*error),
            // The sender is a field of `self`, so the channel is never closed.
            _ => Err(BodyError::Incomplete),
        }
    }
}

/// Body of a request.
pub enum Payload {
    /// The complete body.
    Buffered(Bytes),
    /// A body of which part is still unread.
    Streamed(Box<StreamedRequestBody>),
}

/// Splits the next chunk off the front of `remaining`.
pub fn next_chunk(remaining: &mut Bytes) -> Bytes {
    remaining.split_to(remaining.len().min(CHUNK_SIZE))
}

#[cfg(test)]
mod tests;
