//! A connection that fails if its peer stops reading. Also holds the permit of a large response until all of
//! the response is written.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Sleep, sleep};

/// A write fails if the peer accepts no byte for this long.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Permits one large response to be written; their number is limited.
pub type WritePermit = OwnedSemaphorePermit;

/// The response that is being written on a connection.
#[derive(Default)]
pub struct WriteProgress {
    permit: RefCell<Option<WritePermit>>,
}

impl WriteProgress {
    /// Holds the permit until all of the response is written or the connection is dropped.
    pub fn hold(&self, permit: WritePermit) {
        self.permit.replace(Some(permit));
    }
}

/// See the module documentation.
pub struct StallDetectingStream {
    stream: TcpStream,
    progress: Rc<WriteProgress>,
    stall_timer: Option<Pin<Box<Sleep>>>,
}

impl StallDetectingStream {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream, progress: Rc<WriteProgress>) -> StallDetectingStream {
        StallDetectingStream { stream, progress, stall_timer: None }
    }

    /// Called while a write is pending. Fails once it has been pending for [`STALL_TIMEOUT`].
    fn poll_stall_timer(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let stall_timer = self.stall_timer.get_or_insert_with(|| Box::pin(sleep(STALL_TIMEOUT)));
        match stall_timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for StallDetectingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for StallDetectingStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.stream).poll_write(cx, bytes) {
            Poll::Pending => self.poll_stall_timer(cx),
            ready => {
                self.stall_timer = None;
                ready
            }
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.stream).poll_write_vectored(cx, slices) {
            Poll::Pending => self.poll_stall_timer(cx),
            ready => {
                self.stall_timer = None;
                ready
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if flushed.is_ready() {
            self.progress.permit.take();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
