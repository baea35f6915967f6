//! Whether a request has been read to its last byte, and what is left of a body that its response did not
//! wait for.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{Instant, Sleep, sleep, timeout};

use crate::request_body::{BodyError, PacedBody, StreamedRequestBody};

/// The unread rest of a body that is not needed any more.
pub enum Unread {
    /// Body of a request that was not forwarded.
    PacedBody(PacedBody),
    /// Body of a request that was forwarded.
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

/// Tracks whether a request has been read to its end, and drains a body that its response did not wait for.
///
/// Unless such a body is drained, requests pipelined behind it are lost, or bytes of it are parsed as a
/// request.
#[derive(Default)]
pub struct RequestEnd {
    /// When the last byte of the request was read.
    reached_at: Cell<Option<Instant>>,
    /// Nobody drains an unread body from now on.
    is_abandoned: Cell<bool>,
    unread: RefCell<Option<Unread>>,
    /// Limits the time for draining; set when draining first has to wait.
    timer: RefCell<Option<Pin<Box<Sleep>>>>,
    waker: Cell<Option<Waker>>,
}

impl RequestEnd {
    /// Records that the last byte of the request has been read.
    pub fn mark_reached(&self) {
        if self.reached_at.get().is_none() {
            self.reached_at.set(Some(Instant::now()));
            self.wake();
        }
    }

    /// Whether the last byte of the request has been read.
    pub fn is_reached(&self) -> bool {
        self.reached_at.get().is_some()
    }

    /// When the last byte of the request was read; `None` before that. The task that drains is woken then.
    pub fn reached_at(&self) -> Option<Instant> {
        self.reached_at.get()
    }

    /// Whether an unread body was left that may still be drained.
    pub fn is_unread(&self) -> bool {
        self.unread.borrow().is_some()
    }

    /// Leaves the unread body to [`RequestEnd::poll_drain`].
    pub fn leave_unread(&self, unread: Unread) {
        if !self.is_abandoned.get() {
            self.unread.replace(Some(unread));
            self.wake();
        }
    }

    /// Drops the unread body, now or when it is left later.
    pub fn abandon(&self) {
        self.unread.take();
        if !self.is_abandoned.replace(true) {
            self.wake();
        }
    }

    /// As [`RequestEnd::abandon`], but first reads what hyper has already buffered: the end of the body may
    /// be there. To be called by the task that drains, which is not woken.
    pub fn finish_buffered(&self) {
        let _ = self.poll_unread(&mut Context::from_waker(Waker::noop()));
        self.waker.take();
        self.abandon();
    }

    /// Waits up to `timeout_after` for the end of the request, draining the body if it is left here. Returns
    /// whether the end was reached.
    pub async fn wait_until_reached(&self, timeout_after: Duration) -> bool {
        let finished = std::future::poll_fn(|cx| {
            self.store_waker(cx);
            ready!(self.poll_unread(cx));
            if self.is_reached() || self.is_abandoned.get() { Poll::Ready(()) } else { Poll::Pending }
        });
        // After a timeout the end counts as not reached.
        let _ = timeout(timeout_after, finished).await;
        self.abandon();
        self.is_reached()
    }

    /// Drains the body that was left, for up to `timeout_after`.
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

    /// Reads and discards what has arrived of the body.
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
