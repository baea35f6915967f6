//! The end of a request on its connection: whether its last byte has been read, and what is left of a body that its answer
//! did not wait for.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{Sleep, sleep, timeout};

use crate::request_body::{BodyError, PacedBody, StreamedRequestBody};

/// The rest of a body that nobody asks for any more.
pub enum Unread {
    /// Of a request that is not forwarded.
    PacedBody(PacedBody),
    /// Of one that was.
    Streamed(Box<StreamedRequestBody>),
}

impl Unread {
    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        match self {
            Unread::PacedBody(rest) => rest.poll_data(cx),
            Unread::Streamed(rest) => rest.poll_rest(cx),
        }
    }
}

/// Whether a request has been read to its end, and the rest of a body that its answer did not wait for.
///
/// Prevents requests behind such a body from being lost, and bytes of it from being taken for a request.
#[derive(Default)]
pub struct RequestEnd {
    is_reached: Cell<bool>,
    /// Nobody reads a rest that is left from now on.
    is_abandoned: Cell<bool>,
    unread: RefCell<Option<Unread>>,
    /// When the rest is given up. Only there once it is read.
    timer: RefCell<Option<Pin<Box<Sleep>>>>,
    waker: Cell<Option<Waker>>,
}

impl RequestEnd {
    /// The last byte of the request has been read.
    pub fn mark_reached(&self) {
        if !self.is_reached.replace(true) {
            self.wake();
        }
    }

    /// Whether its last byte has been read.
    pub fn is_reached(&self) -> bool {
        self.is_reached.get()
    }

    /// Whether a rest is left that may still be read.
    pub fn is_unread(&self) -> bool {
        self.unread.borrow().is_some()
    }

    /// Leaves the rest to [`RequestEnd::poll_drain`].
    pub fn leave_unread(&self, unread: Unread) {
        if !self.is_abandoned.get() {
            self.unread.replace(Some(unread));
            self.wake();
        }
    }

    /// Drops the rest, now or when it is left.
    pub fn abandon(&self) {
        self.unread.take();
        if !self.is_abandoned.replace(true) {
            self.wake();
        }
    }

    /// The same for the task that would read it, but for what has been read of it already: its end may be
    /// there.
    pub fn finish_buffered(&self) {
        let _ = self.poll_unread(&mut Context::from_waker(Waker::noop()));
        self.waker.take();
        self.abandon();
    }

    /// Waits for `most` at the longest until the rest is left, or its last byte has been read by who still
    /// has it. Whether the end is reached then.
    pub async fn wait_until_reached(&self, timeout_after: Duration) -> bool {
        let finished = std::future::poll_fn(|cx| {
            self.store_waker(cx);
            ready!(self.poll_unread(cx));
            if self.is_reached() || self.is_abandoned.get() { Poll::Ready(()) } else { Poll::Pending }
        });
        // Past that time it counts as not read.
        let _ = timeout(timeout_after, finished).await;
        self.abandon();
        self.is_reached()
    }

    /// Reads the rest that is left to its end and drops it, for `most` at the longest.
    pub fn poll_drain(&self, cx: &mut Context<'_>, timeout_after: Duration) -> Poll<()> {
        self.store_waker(cx);
        if self.poll_unread(cx).is_pending() {
            let mut timer = self.timer.borrow_mut();
            ready!(timer.get_or_insert_with(|| Box::pin(sleep(timeout_after))).as_mut().poll(cx));
            self.abandon();
        }
        Poll::Ready(())
    }

    fn store_waker(&self, cx: &Context<'_>) {
        let waker = self.waker.take().filter(|waker| waker.will_wake(cx.waker()));
        self.waker.set(Some(waker.unwrap_or_else(|| cx.waker().clone())));
    }

    fn wake(&self) {
        self.waker.take().into_iter().for_each(Waker::wake);
    }

    /// Reads what there is of it.
    fn poll_unread(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut unread = self.unread.borrow_mut();
        while let Some(rest) = &mut *unread {
            match ready!(rest.poll_data(cx)) {
                Some(Ok(_)) => continue,
                Some(Err(_)) => self.is_abandoned.set(true),
                None => self.mark_reached(),
            }
            *unread = None;
        }
        Poll::Ready(())
    }
}

#[cfg(test)]
mod tests;
