//! The client stream as hyper sees it.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio_util::sync::CancellationToken;

use super::ClientContext;
use super::connection_state::ConnectionState;
use crate::endpoint_pool::BUFFER_SIZE;
use crate::memory_budget::MemoryPools;
use crate::monitored_stream::{Io, MAX_AWAITED_HEAD};

/// The client stream as hyper sees it: during the last phase of a shutdown it reads no further requests, and it
/// reads no more of a long head than there is memory for.
pub(super) struct ClientIo {
    io: Io,
    conn: Rc<ConnectionState>,
    kill_imminent: CancellationToken,
    memory: Rc<MemoryPools>,
    /// Requests that had begun when this HTTP connection began.
    requests_at_start: usize,
    /// Requests that had begun when the current head was first read.
    requests_before: usize,
    /// Bytes read since the last of them.
    head_bytes: usize,
    /// There is memory for the first head, even if that is long.
    is_long_head_reserved: bool,
}

impl ClientIo {
    /// With `is_long_head_reserved` there is memory for the first head, however long.
    pub(super) fn new(
        conn: &Rc<ConnectionState>,
        context: &ClientContext,
        is_long_head_reserved: bool,
    ) -> ClientIo {
        ClientIo {
            io: Io(Rc::clone(&conn.stream)),
            conn: Rc::clone(conn),
            kill_imminent: context.shutdown.kill_imminent.clone(),
            memory: Rc::clone(&context.memory),
            requests_at_start: conn.requests_begun.get(),
            requests_before: conn.requests_begun.get(),
            head_bytes: 0,
            is_long_head_reserved,
        }
    }

    /// Whether another connection waits for the memory that this one keeps to serve its next request.
    fn is_next_turn_due(&self) -> bool {
        self.conn.requests_begun.get() > self.requests_at_start && self.memory.exchanges.is_awaited()
    }

    /// Bytes of the current head, and of what follows it, that may be read on.
    fn head_limit(&mut self) -> usize {
        let requests_begun = self.conn.requests_begun.get();
        if std::mem::replace(&mut self.requests_before, requests_begun) != requests_begun {
            (self.head_bytes, self.is_long_head_reserved) = (0, false);
        }
        if self.is_long_head_reserved { BUFFER_SIZE } else { MAX_AWAITED_HEAD - self.head_bytes }
    }
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
        if self.conn.is_in_body() {
            return Pin::new(&mut self.io).poll_read(cx, buf);
        }
        if self.is_next_turn_due() {
            self.conn.yields_memory.set(true);
            return Poll::Pending;
        }
        // Requests behind the next one stay unread, so that others can have their turns in between.
        let limit = self.head_limit().min(self.io.0.read_ahead_head_bytes().unwrap_or(usize::MAX));
        if limit == 0 {
            // The connection waits for memory for the rest without its buffers.
            self.conn.has_long_head.set(true);
            return Poll::Pending;
        }
        let filled = buf.filled().len();
        ready!(self.io.poll_read_up_to(cx, buf, limit))?;
        if !self.is_long_head_reserved {
            self.head_bytes += buf.filled().len() - filled;
        }
        Poll::Ready(Ok(()))
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
