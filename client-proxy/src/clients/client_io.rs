//! The client stream as hyper sees it.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio_util::sync::CancellationToken;

use crate::monitored_stream::Io;

/// The client stream as hyper sees it: during the last phase of a shutdown it reads no further requests.
pub(super) struct ClientIo {
    pub(super) io: Io,
    pub(super) kill_imminent: CancellationToken,
}

impl AsyncRead for ClientIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.kill_imminent.is_cancelled() && self.io.0.is_read_ahead_empty() {
            // There is no time left to respond to anything that would be read now. `ConnectionState` ends the
            // connection.
            return Poll::Pending;
        }
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl AsyncWrite for ClientIo {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // `MonitoredStream::drain` shuts the stream down later.
        Poll::Ready(Ok(()))
    }
}
