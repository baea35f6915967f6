//! Waiting for the head of a request with no more memory than what has arrived of it: the buffers of an HTTP
//! connection are needed only once it can be parsed.

use std::future::poll_fn;
use std::mem::MaybeUninit;
use std::task::{Context, Poll, ready};

use tokio::io::ReadBuf;
use tokio::time::Instant;

use super::{HangUp, MonitoredStream};

/// Bytes of a head that are waited for; a longer one is parsed as far as it has arrived.
pub const MAX_AWAITED_HEAD: usize = 4 * 1024;

/// What has arrived on a connection at rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// A complete head, or what the peer has sent of one before it closed.
    Head,
    /// A longer head than [`MAX_AWAITED_HEAD`], or its beginning.
    LongHead,
    /// The peer has closed or reset the connection, and nothing else is unread.
    End,
}

/// Bytes of it that are read at once: a usual head is shorter, and what is behind it stays unread.
const AWAITED_BYTES: usize = 1024;

impl MonitoredStream {
    /// Reads ahead until the head of a request has arrived.
    pub async fn wait_for_head(&self) -> Arrival {
        poll_fn(|cx| self.poll_head(cx)).await
    }

    /// Length of the next head, if all of it has been read ahead.
    pub fn read_ahead_head_bytes(&self) -> Option<usize> {
        self.read_ahead_buffer.borrow_mut().join_head()
    }

    fn poll_head(&self, cx: &mut Context<'_>) -> Poll<Arrival> {
        loop {
            if let Some(arrival) = self.arrival() {
                return Poll::Ready(arrival);
            }
            let mut chunk = [MaybeUninit::uninit(); AWAITED_BYTES];
            let mut buf = ReadBuf::uninit(&mut chunk);
            let was_waiting = self.is_reader_waiting.take();
            let received = ready!(self.poll_receive(cx, &mut buf, AWAITED_BYTES, was_waiting));
            match received {
                Ok(()) if buf.filled().is_empty() => self.hung_up.set(Some(HangUp::Closed)),
                Ok(()) => {
                    let sent_after = self.last_read_sent_after.get();
                    self.read_ahead_buffer.borrow_mut().push(buf.filled(), sent_after);
                }
                Err(_) => self.hung_up.set(Some(HangUp::Reset)),
            }
        }
    }

    /// What has arrived, if nothing more is waited for.
    fn arrival(&self) -> Option<Arrival> {
        let mut read_ahead = self.read_ahead_buffer.borrow_mut();
        if read_ahead.length > 0 && self.first_byte_at.get().is_none() {
            self.first_byte_at.set(Some(Instant::now()));
        }
        if read_ahead.join_head().is_some_and(|length| length <= MAX_AWAITED_HEAD) {
            return Some(Arrival::Head);
        }
        if read_ahead.length >= MAX_AWAITED_HEAD {
            return Some(Arrival::LongHead);
        }
        self.hung_up.get().map(|_| if read_ahead.length > 0 { Arrival::Head } else { Arrival::End })
    }
}
