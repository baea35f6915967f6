//! A TCP stream that can be observed while an HTTP connection owns it: how much of a request was written,
//! when bytes arrived, and whether the peer has closed or reset it.

mod hang_up;
mod head_arrival;
mod read_ahead;
mod stream_io;

pub use self::head_arrival::{Arrival, MAX_AWAITED_HEAD};
pub use self::stream_io::Io;

use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Waker};
use std::time::Duration;

use rustix::io::ioctl_fionread;
use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use self::read_ahead::ReadAhead;
use self::stream_io::is_transient;
use crate::socket_budget::SocketPermit;

/// How the peer ended the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HangUp {
    /// It closed its writing side; it may still read.
    Closed,
    /// It reset the connection.
    Reset,
}

/// What is known of the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerStatus {
    /// It has not ended the connection.
    Connected,
    /// It has ended the connection.
    HungUp(HangUp),
    /// So much data is unread that the socket buffer may be full, and then an end of the stream is not received.
    Unknown,
}

/// Bytes that are read ahead at most to detect an end of stream behind unread data.
const MAX_READ_AHEAD: usize = 2 * 1024;
/// With so many bytes unread, an end of stream may be hidden: it is not received while the socket buffer is full.
const MAX_UNREAD: usize = 16 * 1024;
/// How often to check for an end of stream behind more data than is read ahead.
const READ_AHEAD_RECHECK: Duration = Duration::from_millis(20);

/// What the system may hold of the data written to a connection. A socket is writable again once a third of its
/// buffer is free, and a peer that reads 64 kB/s must not take seconds until then: it would count as stalled.
const SEND_BUFFER_BYTES: usize = 128 * 1024;

/// Divisor of a receive buffer's size: up to this part of it may be filled with data while the window is open.
const RECEIVE_BUFFER_SHARE: usize = 4;

/// A peer of unknown status counts as gone once it was last known to be connected this long ago: no attempt
/// may begin over 100 ms after a client has closed, and the rest is for a process that is stalled.
const MAX_UNKNOWN_TIME: Duration = Duration::from_millis(50);

/// Whether a request may still be sent; called just before its first byte is written.
pub type MayBegin = Box<dyn Fn() -> bool>;

/// A TCP stream that can be observed while an HTTP connection owns it.
pub struct MonitoredStream {
    stream: TcpStream,
    /// Bytes read ahead, which the next read returns first.
    read_ahead_buffer: RefCell<ReadAhead>,
    /// When the socket buffer was last known to be empty: all data that is read later was sent after this.
    last_empty: Cell<Instant>,
    /// A read has returned `WouldBlock`, so the runtime will report any data that arrives.
    is_readiness_armed: Cell<bool>,
    /// The reader found no data at its last poll and is woken as soon as some arrives.
    is_reader_waiting: Cell<bool>,
    /// The earliest time at which the data that was last read may have been sent.
    last_read_sent_after: Cell<Instant>,
    /// The end of stream or reset behind the bytes read ahead.
    hung_up: Cell<Option<HangUp>>,
    /// Called before the first byte of a request is written; `None` once that was written.
    may_begin: RefCell<Option<MayBegin>>,
    /// A request was not sent because `may_begin` returned false.
    withheld: Cell<bool>,
    written: Cell<u64>,
    has_partial_write: Cell<bool>,
    /// hyper has been given the complete request body.
    body_handed_over: Cell<bool>,
    /// Counter to increment once the request is completely written; taken then.
    full_writes: Cell<Option<Rc<Cell<u64>>>>,
    /// When the request was completely written.
    fully_written_at: Cell<Option<Instant>>,
    /// When the first byte arrived since the last reset of this field.
    first_byte_at: Cell<Option<Instant>>,
    /// When the peer stopped accepting data that is waiting to be written.
    write_stalled_since: Cell<Option<Instant>>,
    _slot: SocketPermit,
}

impl MonitoredStream {
    /// Takes over the stream, sets TCP_NODELAY and limits its send buffer.
    pub fn new(stream: TcpStream, slot: SocketPermit) -> Rc<MonitoredStream> {
        // These fail only on a broken connection, which the first read or write reports.
        let _ = stream.set_nodelay(true);
        let _ = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
        let (written, has_partial_write, body_handed_over, full_writes) = Default::default();
        let (fully_written_at, first_byte_at, write_stalled_since, read_ahead_buffer, hung_up) =
            Default::default();
        let (may_begin, withheld) = Default::default();
        let (is_readiness_armed, is_reader_waiting) = Default::default();
        let now = Instant::now();
        Rc::new(MonitoredStream {
            stream,
            read_ahead_buffer,
            last_empty: Cell::new(now),
            is_readiness_armed,
            is_reader_waiting,
            last_read_sent_after: Cell::new(now),
            hung_up,
            may_begin,
            withheld,
            written,
            has_partial_write,
            body_handed_over,
            full_writes,
            fully_written_at,
            first_byte_at,
            write_stalled_since,
            _slot: slot,
        })
    }

    /// Resets the write state for a new request. `full_writes` is incremented when the request is completely
    /// written. The first byte is written only if `may_begin` returns true at that moment; otherwise the
    /// write fails.
    pub fn begin_request(&self, full_writes: &Rc<Cell<u64>>, may_begin: MayBegin) {
        self.may_begin.replace(Some(may_begin));
        self.withheld.set(false);
        self.full_writes.set(Some(Rc::clone(full_writes)));
        self.body_handed_over.set(false);
        self.fully_written_at.set(None);
        self.written.set(0);
        self.has_partial_write.set(false);
    }

    /// Whether the request was not sent because `may_begin` returned false.
    pub fn is_withheld(&self) -> bool {
        self.withheld.get()
    }

    /// Checks before the first byte of a request whether it may still be sent.
    fn check_begin(&self) -> io::Result<()> {
        if self.may_begin.borrow().as_ref().is_some_and(|may_begin| !may_begin()) {
            self.withheld.set(true);
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    /// Records that hyper has been given the complete request body.
    pub fn mark_body_handed_over(&self) {
        self.body_handed_over.set(true);
    }

    /// Whether the last byte of the request is known not to have been written.
    pub fn is_partially_written(&self) -> bool {
        !self.body_handed_over.get() || self.written.get() == 0 || self.has_partial_write.get()
    }

    /// Bytes written since the connection was opened, or since [`MonitoredStream::begin_request`].
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// When the last byte of the request was written.
    pub fn fully_written_at(&self) -> Option<Instant> {
        self.fully_written_at.get()
    }

    /// When the first byte arrived since the last [`MonitoredStream::reset_first_byte`].
    pub fn first_byte_at(&self) -> Option<Instant> {
        self.first_byte_at.get()
    }

    /// Makes the next byte that arrives count as the first one.
    pub fn reset_first_byte(&self) {
        self.first_byte_at.set(None);
    }

    /// Declares that data in the socket buffer may have been sent at any time from `instant` on.
    pub fn set_unread_since(&self, instant: Instant) {
        self.last_empty.set(instant);
        self.is_readiness_armed.set(false);
    }

    /// The earliest time at which the last byte that was read may have been sent, as far as known. Later
    /// bytes were sent later.
    pub fn last_read_sent_after(&self) -> Instant {
        self.last_read_sent_after.get()
    }

    /// Records that the socket buffer is empty, if the runtime would have reported any data.
    ///
    /// Without this a request that the client sends as soon as it has its response would be taken for one
    /// that has waited for as long as that response took.
    pub fn note_if_empty(&self) {
        if self.is_known_empty() {
            self.last_empty.set(Instant::now());
        }
    }

    /// Whether the runtime would have reported data that arrived since the last `WouldBlock`, and has not. A
    /// pending read alone does not prove this: its task may have exhausted its cooperative budget.
    fn is_known_empty(&self) -> bool {
        let ready = pin!(self.stream.ready(Interest::READABLE));
        self.is_readiness_armed.get() && ready.poll(&mut Context::from_waker(Waker::noop())).is_pending()
    }

    /// Records a read at `now` of data that was not sent before `sent_after`.
    fn note_read(&self, sent_after: Instant, now: Instant) {
        self.last_read_sent_after.set(sent_after);
        if self.first_byte_at.get().is_none() {
            self.first_byte_at.set(Some(now));
        }
    }

    /// The socket buffer was empty at `asked`.
    fn found_empty(&self, asked: Instant) {
        self.last_empty.set(asked);
        self.is_readiness_armed.set(true);
    }

    /// Shuts down the writing side, then reads and discards data until the peer closes too, up to `limit`.
    /// Closing a socket with unread data sends a reset, upon which the peer may lose data that it has not
    /// read yet.
    pub async fn drain(&self, limit: Duration) {
        // Tells a client that waits for the rest of a truncated response that there is no more. Fails only if
        // the peer has closed.
        let _ = SockRef::from(&self.stream).shutdown(std::net::Shutdown::Write);
        let drained = async {
            while self.stream.readable().await.is_ok() {
                match self.stream.try_read(&mut [0; 8 * 1024]) {
                    Ok(0) => return,
                    Err(error) if !is_transient(&error) => return,
                    _ => {}
                }
            }
        };
        let _ = timeout(limit, drained).await;
    }

    /// Puts back bytes that were read but not used; they are read again before anything else. Returns the
    /// total number of bytes read ahead.
    pub fn put_back(&self, unused: &[u8]) -> usize {
        let mut buffer = self.read_ahead_buffer.borrow_mut();
        buffer.put_back(unused, self.last_read_sent_after.get());
        buffer.length
    }

    /// Number of bytes that have arrived and have not been read, including those read ahead.
    pub fn unread_bytes(&self) -> usize {
        // Fails only if the connection has failed, and then nothing more is read.
        let in_socket_buffer = ioctl_fionread(&self.stream).unwrap_or_default();
        self.read_ahead_buffer.borrow().length + usize::try_from(in_socket_buffer).unwrap_or(usize::MAX)
    }

    /// Whether so little is unread that the peer may certainly send more. The system counts its own structures
    /// against the receive buffer as well.
    pub fn is_receive_window_open(&self) -> bool {
        let capacity = SockRef::from(&self.stream).recv_buffer_size().unwrap_or_default();
        self.unread_bytes() < capacity / RECEIVE_BUFFER_SHARE
    }

    /// Whether no bytes have been read ahead.
    pub fn is_read_ahead_empty(&self) -> bool {
        self.read_ahead_buffer.borrow().length == 0
    }

    /// Writes a few bytes at once if the socket buffer has space.
    pub fn write_now(&self, bytes: &[u8]) {
        // Fails only if the peer has closed or does not read, and then the bytes are of no use to it.
        let _ = self.stream.try_write(bytes);
    }

    /// How long the peer has accepted none of the data that is waiting to be written.
    pub fn write_stalled_for(&self) -> Duration {
        self.write_stalled_since.get().map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Waits until the peer has accepted none of the data that is waiting to be written for `limit`.
    pub async fn wait_for_write_stall(&self, limit: Duration) {
        loop {
            let stalled_for = self.write_stalled_for();
            if stalled_for >= limit {
                return;
            }
            sleep(limit - stalled_for).await;
        }
    }

    /// Whether no data has arrived and the peer has not closed, asked of the system now.
    ///
    /// A close may have arrived that no task has been notified of; a request written after it would be lost.
    pub fn is_quiet(&self) -> bool {
        if !self.is_read_ahead_empty() || self.hung_up.get().is_some() {
            return false;
        }
        let (mut byte, asked) = ([MaybeUninit::uninit()], Instant::now());
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        let is_empty = peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
        if is_empty {
            self.found_empty(asked);
        }
        is_empty
    }
}

#[cfg(test)]
mod tests;
