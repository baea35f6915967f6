//! The end of a request on its connection: whether its last byte has been read, and what is left of a body that its answer
//! did not wait for.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{Sleep, sleep, timeout};

use crate::request_body::{BodyError, PacedBody, Streaming};

/// The rest of a body that nobody asks for any more.
pub enum Unread {
    /// Of a request that is not forwarded.
    PacedBody(PacedBody),
    /// Of one that was.
    Streaming(Box<Streaming>),
}

impl Unread {
    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        match self {
            Unread::PacedBody(rest) => rest.poll_data(cx),
            Unread::Streaming(rest) => rest.poll_rest(cx),
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
    is_forgotten: Cell<bool>,
    unread: RefCell<Option<Unread>>,
    /// When the rest is given up. Only there once it is read.
    limit: RefCell<Option<Pin<Box<Sleep>>>>,
    reader: Cell<Option<Waker>>,
}

impl RequestEnd {
    /// The last byte of the request has been read.
    pub fn reach(&self) {
        if !self.is_reached.replace(true) {
            self.wake_reader();
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
    pub fn leave(&self, unread: Unread) {
        if !self.is_forgotten.get() {
            self.unread.replace(Some(unread));
            self.wake_reader();
        }
    }

    /// Drops the rest, now or when it is left.
    pub fn forget(&self) {
        self.unread.take();
        if !self.is_forgotten.replace(true) {
            self.wake_reader();
        }
    }

    /// The same for the task that would read it, but for what has been read of it already: its end may be
    /// there.
    pub fn settle(&self) {
        let _ = self.poll_rest(&mut Context::from_waker(Waker::noop()));
        self.reader.take();
        self.forget();
    }

    /// Waits for `most` at the longest until the rest is left, or its last byte has been read by who still
    /// has it. Whether the end is reached then.
    pub async fn settled(&self, most: Duration) -> bool {
        let settled = std::future::poll_fn(|cx| {
            self.keep_reader(cx);
            ready!(self.poll_rest(cx));
            if self.is_reached() || self.is_forgotten.get() { Poll::Ready(()) } else { Poll::Pending }
        });
        // Past that time it counts as not read.
        let _ = timeout(most, settled).await;
        self.forget();
        self.is_reached()
    }

    /// Reads the rest that is left to its end and drops it, for `most` at the longest.
    pub fn poll_drain(&self, cx: &mut Context<'_>, most: Duration) -> Poll<()> {
        self.keep_reader(cx);
        if self.poll_rest(cx).is_pending() {
            let mut limit = self.limit.borrow_mut();
            ready!(limit.get_or_insert_with(|| Box::pin(sleep(most))).as_mut().poll(cx));
            self.forget();
        }
        Poll::Ready(())
    }

    fn keep_reader(&self, cx: &Context<'_>) {
        let reader = self.reader.take().filter(|reader| reader.will_wake(cx.waker()));
        self.reader.set(Some(reader.unwrap_or_else(|| cx.waker().clone())));
    }

    fn wake_reader(&self) {
        self.reader.take().into_iter().for_each(Waker::wake);
    }

    /// Reads what there is of it.
    fn poll_rest(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut unread = self.unread.borrow_mut();
        while let Some(rest) = &mut *unread {
            match ready!(rest.poll_data(cx)) {
                Some(Ok(_)) => continue,
                Some(Err(_)) => self.is_forgotten.set(true),
                None => self.reach(),
            }
            *unread = None;
        }
        Poll::Ready(())
    }
}

#[cfg(test)]
mod tests;
