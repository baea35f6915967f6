//! Bodies on their way: requests to endpoints, and how the pace of those that send them is judged.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Incoming};
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::{Instant, Sleep, sleep, timeout};

use crate::memory_budget::{MemoryBudget, MemoryPermit};

/// A body up to this is read whole before it goes on.
pub const MAX_BUFFERED_BODY: usize = 64 * 1024;
/// Whole bodies are written in pieces of this size, so that no connection's buffer grows to the size of a
/// body.
pub const CHUNK_SIZE: usize = 16 * 1024;
/// What a body has to make for each second that it is waited for, in bytes.
const MIN_BYTES_PER_SECOND: f64 = 64_000.0;
/// A client whose body stands still for so long has stopped, whatever its pace was: it is owed an end within
/// 3 s.
const MAX_STALL: Duration = Duration::from_millis(2_500);

/// A request that finds no room for its body for so long is given up.
const MEMORY_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a body did not come whole.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BodyError {
    /// It fell behind the pace.
    #[error("the body did not come in time")]
    Late,
    /// It ended early, or not in the form that the protocol asks for.
    #[error("the body broke off")]
    Incomplete,
    /// The memory for bodies is in use.
    #[error("there is no room for the body at present")]
    NoMemory,
}

/// A body that is read no faster than it is asked for. Only the time that it is waited for counts against it.
pub struct PacedBody {
    body: Incoming,
    grace: Duration,
    received: u64,
    waited: Duration,
    waiting_since: Option<Instant>,
    timer: Option<Pin<Box<Sleep>>>,
}

impl PacedBody {
    /// Allows for `grace` beyond the pace.
    pub fn new(body: Incoming, grace: Duration) -> PacedBody {
        PacedBody { body, grace, received: 0, waited: Duration::ZERO, waiting_since: None, timer: None }
    }

    /// Whether it is known to hold nothing more.
    pub fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    /// How long it has kept us waiting so far.
    pub fn waited(&self) -> Duration {
        self.waited
    }

    /// The next part of it. Trailers are no part of it.
    pub fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
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
                        return Poll::Ready(Some(Ok(data)));
                    }
                    _ => {}
                },
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Some(Err(BodyError::Incomplete))),
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Pending => {
                    let waiting_since = *self.waiting_since.get_or_insert_with(Instant::now);
                    let allowed =
                        self.grace + Duration::from_secs_f64(self.received as f64 / MIN_BYTES_PER_SECOND);
                    // Guards against a client that has sent much at once and then stops: its pace allows it
                    // seconds.
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

    /// Reads up to about [`MAX_BUFFERED_BODY`] bytes with room for them; whether that was all.
    ///
    /// # Errors
    /// When it does not come, or there is no room for it.
    pub async fn read_prefix(
        &mut self,
        memory: &MemoryBudget,
    ) -> Result<(Bytes, Option<MemoryPermit>, bool), BodyError> {
        let length = self.body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
        let known = length.unwrap_or(0).min(MAX_BUFFERED_BODY);
        let mut permit = reserve_with_timeout(memory.reserve_buffered(known)).await?;
        let (mut prefix, mut reserved) = (BytesMut::with_capacity(known), known);
        while !self.is_end_stream() && prefix.len() <= MAX_BUFFERED_BODY {
            match std::future::poll_fn(|cx| self.poll_data(cx)).await.transpose()? {
                Some(data) => prefix.extend_from_slice(&data),
                None => return Ok((prefix.freeze(), Some(permit), true)),
            }
            if prefix.len() > reserved {
                permit.merge(reserve_with_timeout(memory.reserve_buffered(CHUNK_SIZE)).await?);
                reserved += CHUNK_SIZE;
            }
        }
        Ok((prefix.freeze(), Some(permit), self.is_end_stream()))
    }
}

/// Guards against requests that wait for room which others hold that wait as well.
async fn reserve_with_timeout(
    memory: impl Future<Output = Option<MemoryPermit>>,
) -> Result<MemoryPermit, BodyError> {
    timeout(MEMORY_TIMEOUT, memory).await.ok().flatten().ok_or(BodyError::NoMemory)
}

/// How far a long body has come.
#[derive(Clone, Copy, PartialEq)]
enum BodyProgress {
    Receiving,
    /// Its last byte was read, and when.
    Complete(Instant),
    Failed(BodyError),
}

/// A body that goes on as it comes.
pub struct StreamedRequestBody {
    /// Kept for as long as the body can be sent again, with what it takes of the room.
    prefix: RefCell<(Bytes, Option<MemoryPermit>)>,
    rest: RefCell<PacedBody>,
    length: Option<u64>,
    progress: watch::Sender<BodyProgress>,
    /// Some of the rest has been taken, so no second attempt could send it.
    is_spent: Cell<bool>,
    _permit: MemoryPermit,
}

impl StreamedRequestBody {
    /// `first` has been read of it already; `length` is that of the whole, where it is known.
    pub fn new(
        prefix: (Bytes, Option<MemoryPermit>),
        rest: PacedBody,
        length: Option<u64>,
        permit: MemoryPermit,
    ) -> StreamedRequestBody {
        let (rest, progress) = (RefCell::new(rest), watch::Sender::new(BodyProgress::Receiving));
        StreamedRequestBody {
            prefix: RefCell::new(prefix),
            rest,
            length,
            progress,
            is_spent: Cell::new(false),
            _permit: permit,
        }
    }

    /// What was read before it went on; nothing once some of the rest has been taken.
    pub fn prefix(&self) -> Bytes {
        self.prefix.borrow().0.clone()
    }

    /// The length of the whole, where it is known.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// The next part of the rest, which can be had once.
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

    /// Its last byte has been read.
    pub fn mark_complete(&self) {
        // From here on there is nothing to read, so a second attempt would send a shorter one.
        self.discard_prefix();
        self.progress.send_replace(BodyProgress::Complete(Instant::now()));
    }

    /// Some of the rest is gone, so the first part is of no more use either.
    fn discard_prefix(&self) {
        self.is_spent.set(true);
        self.prefix.take();
    }

    /// Whether no attempt can send it any more.
    pub fn is_spent(&self) -> bool {
        self.is_spent.get()
    }

    /// When its last byte was read, if it was.
    pub fn completed_at(&self) -> Option<Instant> {
        match *self.progress.borrow() {
            BodyProgress::Complete(at) => Some(at),
            _ => None,
        }
    }

    /// Waits until it has come whole, or never will.
    pub async fn wait_until_complete(&self) -> Result<Instant, BodyError> {
        let mut progress = self.progress.subscribe();
        match progress.wait_for(|progress| *progress != BodyProgress::Receiving).await.as_deref() {
            Ok(BodyProgress::Complete(at)) => Ok(*at),
            Ok(BodyProgress::Failed(error)) => Err(*error),
            // Its sender is here.
            _ => Err(BodyError::Incomplete),
        }
    }
}

/// The body of a request.
pub enum Payload {
    /// All of it.
    Buffered(Bytes),
    /// The rest is still to come, or was not read yet.
    Streamed(Box<StreamedRequestBody>),
}

/// Takes the next piece off the front of what is left.
pub fn next_chunk(remaining: &mut Bytes) -> Bytes {
    remaining.split_to(remaining.len().min(CHUNK_SIZE))
}

#[cfg(test)]
mod tests;
