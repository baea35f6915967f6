//! `AsyncRead` and `AsyncWrite` for a monitored stream.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use rustix::net::{RecvFlags, recv};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::time::Instant;

use super::{HangUp, MonitoredStream};

/// Bytes that one read returns at most.
const READ_BYTES: usize = 16 * 1024;

/// Whether a failed socket call should be repeated: it would have blocked or was interrupted, which says
/// nothing about the connection.
pub(super) fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// Reads from and writes to a [`MonitoredStream`].
pub struct Io(pub Rc<MonitoredStream>);

impl AsyncRead for Io {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        self.poll_read_up_to(cx, buf, READ_BYTES)
    }
}

impl Io {
    /// Reads at most `limit` bytes, and no more than [`READ_BYTES`].
    pub fn poll_read_up_to(
        &self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        limit: usize,
    ) -> Poll<io::Result<()>> {
        let monitored = &self.0;
        let limit = buf.remaining().min(limit).min(READ_BYTES);
        let (was_waiting, now) = (monitored.is_reader_waiting.take(), Instant::now());
        if let Some(sent_after) = monitored.read_ahead_buffer.borrow_mut().take(buf, limit) {
            monitored.note_read(sent_after, now);
            return Poll::Ready(Ok(()));
        }
        monitored.poll_receive(cx, buf, limit, was_waiting)
    }
}

impl MonitoredStream {
    /// Reads at most `limit` bytes from the socket. `was_waiting` says whether the reader found no data at its
    /// last poll.
    pub(super) fn poll_receive(
        &self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        limit: usize,
        was_waiting: bool,
    ) -> Poll<io::Result<()>> {
        let now = Instant::now();
        match self.hung_up.get() {
            Some(HangUp::Closed) => return Poll::Ready(Ok(())),
            Some(HangUp::Reset) => return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            None => {}
        }
        if was_waiting {
            self.last_empty.set(now);
        }
        loop {
            let ready = self.stream.poll_read_ready(cx);
            if ready.is_pending() && self.is_known_empty() {
                self.last_empty.set(now);
                self.is_reader_waiting.set(true);
            }
            ready!(ready)?;
            // Read into a buffer on the stack: the reader's own is as long as its longest message, and initialising
            // it would make all of it resident for a few bytes.
            let mut chunk = [MaybeUninit::uninit(); READ_BYTES];
            let received = self.stream.try_io(Interest::READABLE, || {
                let ((received, _), _) = recv(&self.stream, &mut chunk[..limit], RecvFlags::empty())?;
                buf.put_slice(received);
                Ok(())
            });
            match received {
                Ok(()) => {
                    self.note_read(self.last_empty.get(), now);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.found_empty(now),
                Err(error) if is_transient(&error) => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for Io {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let monitored = &self.0;
        // Until the complete buffer has been written, the last byte of the request is not.
        monitored.has_partial_write.set(true);
        loop {
            let ready = monitored.stream.poll_write_ready(cx);
            if ready.is_pending() && monitored.write_stalled_since.get().is_none() {
                monitored.write_stalled_since.set(Some(Instant::now()));
            }
            ready!(ready)?;
            monitored.check_begin()?;
            match monitored.stream.try_write(buf) {
                Ok(written) => {
                    monitored.may_begin.take();
                    monitored.write_stalled_since.set(None);
                    monitored.written.set(monitored.written.get() + written as u64);
                    monitored.has_partial_write.set(written < buf.len());
                    return Poll::Ready(Ok(written));
                }
                Err(error) if is_transient(&error) => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes once all of its buffered data has been written.
        if !self.0.is_partially_written()
            && let Some(full_writes) = self.0.full_writes.take()
        {
            full_writes.set(full_writes.get() + 1);
            self.0.fully_written_at.set(Some(Instant::now()));
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let closed = SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write);
        // The peer has already closed the connection.
        Poll::Ready(closed.or_else(|e| if e.kind() == io::ErrorKind::NotConnected { Ok(()) } else { Err(e) }))
    }
}
