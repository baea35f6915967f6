//! A TCP stream that others can observe while an HTTP connection owns it: how far a request was written, when
//! bytes came, and how the other side ended.

mod read_ahead;
mod stream_io;

pub use self::stream_io::Io;

use std::cell::{Cell, RefCell};
use std::io::{self, Read};
use std::mem::MaybeUninit;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::retry_on_intr;
use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use self::read_ahead::ReadAhead;
use self::stream_io::is_transient;
use crate::socket_budget::SocketPermit;

/// How the other side has ended what it sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HangUp {
    /// It sends nothing more; it may still read.
    Closed,
    /// The connection is broken.
    Reset,
}

/// What is read ahead at most, to see an end behind what nobody has asked for yet.
const MAX_READ_AHEAD: usize = 16 * 1024;
/// How often it is looked for an end behind more than that.
const READ_AHEAD_RECHECK: Duration = Duration::from_millis(20);

/// Whether a request that is about to be written may still be begun.
pub type MayBegin = Box<dyn Fn() -> bool>;

/// A TCP stream that others can look at while an HTTP connection owns it.
pub struct MonitoredStream {
    stream: TcpStream,
    /// What was read ahead, for whoever reads next.
    read_ahead_buffer: RefCell<ReadAhead>,
    /// When the system was last known to hold nothing that is unread: all that is read later was sent after
    /// this.
    last_empty: Cell<Instant>,
    /// The system has been asked and held nothing, so that the runtime would tell of all that comes.
    is_readiness_armed: Cell<bool>,
    /// The reader found nothing when it last asked, and is woken as soon as something comes.
    is_reader_waiting: Cell<bool>,
    /// What was last given to the reader was not sent before this.
    last_read_sent_after: Cell<Instant>,
    /// What ended it behind that.
    hung_up: Cell<Option<HangUp>>,
    /// Asked right before the first byte of a request goes out; there until it has.
    may_begin: RefCell<Option<MayBegin>>,
    /// A request was not begun, because it might not be any more.
    withheld: Cell<bool>,
    written: Cell<u64>,
    has_partial_write: Cell<bool>,
    /// All of the request has been handed over to be written.
    body_handed_over: Cell<bool>,
    /// Where a request is counted once it is written whole; taken out then.
    full_writes: Cell<Option<Rc<Cell<u64>>>>,
    /// When it was.
    fully_written_at: Cell<Option<Instant>>,
    /// When the first byte came since this was last forgotten.
    first_byte_at: Cell<Option<Instant>>,
    /// Since when the other side has taken none of what waits to be written.
    write_stalled_since: Cell<Option<Instant>>,
    _slot: SocketPermit,
}

impl MonitoredStream {
    /// Takes the stream, which sends small messages at once from now on.
    pub fn new(stream: TcpStream, slot: SocketPermit) -> Rc<MonitoredStream> {
        // Fails only where the connection is broken already, which the first use shows.
        let _ = stream.set_nodelay(true);
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

    /// Forgets what was written so far: a new request begins, to be counted in `whole` when all of it is
    /// written. Its first byte is written only if `may_begin` says so at that moment; otherwise the write
    /// fails.
    pub fn begin_request(&self, full_writes: &Rc<Cell<u64>>, may_begin: MayBegin) {
        self.may_begin.replace(Some(may_begin));
        self.withheld.set(false);
        self.full_writes.set(Some(Rc::clone(full_writes)));
        self.body_handed_over.set(false);
        self.fully_written_at.set(None);
        self.written.set(0);
        self.has_partial_write.set(false);
    }

    /// Whether what was to be begun was not, because it might not be any more.
    pub fn is_withheld(&self) -> bool {
        self.withheld.get()
    }

    /// Asks, before the first byte of a request, whether it may still go out.
    fn check_begin(&self) -> io::Result<()> {
        if self.may_begin.borrow().as_ref().is_some_and(|may_begin| !may_begin()) {
            self.withheld.set(true);
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    /// All of what was begun has been handed over to be written.
    pub fn mark_body_handed_over(&self) {
        self.body_handed_over.set(true);
    }

    /// Whether the last byte of what was begun is known not to have been written.
    pub fn is_partially_written(&self) -> bool {
        !self.body_handed_over.get() || self.written.get() == 0 || self.has_partial_write.get()
    }

    /// How many bytes were written since the beginning, or since [`MonitoredStream::begin`].
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// When the last byte of it was written.
    pub fn fully_written_at(&self) -> Option<Instant> {
        self.fully_written_at.get()
    }

    /// When the first byte came since [`MonitoredStream::reset_first_byte`].
    pub fn first_byte_at(&self) -> Option<Instant> {
        self.first_byte_at.get()
    }

    /// What comes from now on is something new.
    pub fn reset_first_byte(&self) {
        self.first_byte_at.set(None);
    }

    /// What the system holds of it at this moment may have been sent at any time after `instant`, or
    /// `instant` itself.
    pub fn set_unread_since(&self, instant: Instant) {
        self.last_empty.set(instant);
        self.is_readiness_armed.set(false);
    }

    /// The last byte that was given to the reader was not sent before this, as far as known. Later bytes are
    /// younger.
    pub fn last_read_sent_after(&self) -> Instant {
        self.last_read_sent_after.get()
    }

    /// Notes that the system holds nothing, if the runtime would have told of it.
    ///
    /// Prevents a request that its client sends the moment it has its answer from being taken for one that
    /// has waited for as long as that answer took.
    pub fn note_if_empty(&self) {
        if self.is_known_empty() {
            self.last_empty.set(Instant::now());
        }
    }

    /// Whether the runtime, which would know, was told of nothing that has come since the system was last
    /// asked. A reader that has to wait is no sign of it: its task may only have used up its turn.
    fn is_known_empty(&self) -> bool {
        let ready = pin!(self.stream.ready(Interest::READABLE));
        self.is_readiness_armed.get() && ready.poll(&mut Context::from_waker(Waker::noop())).is_pending()
    }

    /// The reader was given something at `now` that was not sent before `sent_after`.
    fn note_read(&self, sent_after: Instant, now: Instant) {
        self.last_read_sent_after.set(sent_after);
        if self.first_byte_at.get().is_none() {
            self.first_byte_at.set(Some(now));
        }
    }

    /// The system held nothing when it was asked at `asked`.
    fn found_empty(&self, asked: Instant) {
        self.last_empty.set(asked);
        self.is_readiness_armed.set(true);
    }

    /// Ends what goes to the other side, then reads and drops what still comes, until that side closes too or
    /// for `long`. Guards against a close over what was not read, which takes back what the other side has
    /// not read yet.
    pub async fn drain(&self, limit: Duration) {
        // Guards against a client that waits on for the rest of an answer that has broken off. Fails only
        // where the other side has closed.
        let _ = SockRef::from(&self.stream).shutdown(std::net::Shutdown::Write);
        let mut discarded = vec![0; 8 * 1024];
        let drained = async {
            while self.stream.readable().await.is_ok() {
                match self.stream.try_read(&mut discarded) {
                    Ok(0) => return,
                    Err(error) if !is_transient(&error) => return,
                    _ => {}
                }
            }
        };
        let _ = timeout(limit, drained).await;
    }

    /// Gives back what was read of it but not used, to be read again before anything else. How much there is
    /// then.
    pub fn put_back(&self, unused: &[u8]) -> usize {
        let mut buffer = self.read_ahead_buffer.borrow_mut();
        buffer.put_back(unused, self.last_read_sent_after.get());
        buffer.length
    }

    /// Whether nothing that was read of it waits to be used.
    pub fn is_read_ahead_empty(&self) -> bool {
        self.read_ahead_buffer.borrow().length == 0
    }

    /// Writes a few bytes at once, where there is room for them.
    pub fn write_now(&self, bytes: &[u8]) {
        // Fails only where the other side has closed or does not read: then it has no use for them.
        let _ = self.stream.try_write(bytes);
    }

    /// How long the other side has taken nothing of what is to be written to it.
    pub fn write_stalled_for(&self) -> Duration {
        self.write_stalled_since.get().map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Waits until the other side has taken nothing for `long` of what is to be written to it.
    pub async fn wait_for_write_stall(&self, limit: Duration) {
        loop {
            let stalled_for = self.write_stalled_for();
            if stalled_for >= limit {
                return;
            }
            sleep(limit - stalled_for).await;
        }
    }

    /// Whether the other side has ended what it sends, as far as the runtime was told: what comes before its
    /// end is read ahead, as far as there is room for it.
    ///
    /// Guards against an end that nobody sees because unread bytes lie before it.
    pub fn read_ahead_for_end(&self) -> Option<HangUp> {
        self.read_ahead(|chunk| self.stream.try_read(chunk))
    }

    /// The same, asked of the system at this moment, also behind more than is read ahead.
    ///
    /// Prevents an end from going unnoticed that has come in since the runtime last asked for news of its
    /// sockets, which may be long ago where the process was held up.
    pub fn query_hang_up(&self) -> Option<HangUp> {
        let hung_up = self.read_ahead(|chunk| (&*SockRef::from(&self.stream)).read(chunk));
        let is_all_read = self.read_ahead_buffer.borrow().length < MAX_READ_AHEAD;
        if hung_up.is_some() || is_all_read {
            return hung_up;
        }
        self.poll_read_closed().then_some(HangUp::Closed)
    }

    fn read_ahead(&self, read: impl Fn(&mut [u8]) -> io::Result<usize>) -> Option<HangUp> {
        let mut buffer = self.read_ahead_buffer.borrow_mut();
        let asked = Instant::now();
        while self.hung_up.get().is_none() && buffer.length < MAX_READ_AHEAD {
            let mut chunk = [0; 1024];
            match read(&mut chunk) {
                Ok(0) => self.hung_up.set(Some(HangUp::Closed)),
                Ok(read) => buffer.push(&chunk[..read], self.last_empty.get()),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.found_empty(asked);
                    break;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => self.hung_up.set(Some(HangUp::Reset)),
            }
        }
        self.hung_up.get().or_else(|| self.is_read_closed().then_some(HangUp::Closed))
    }

    /// Whether the system has received an end, also behind bytes that nobody has read. An interrupted call is
    /// made again; no other failure says anything of the connection.
    fn poll_read_closed(&self) -> bool {
        let mut poll_fds = [PollFd::new(&self.stream, PollFlags::RDHUP)];
        let polled = retry_on_intr(|| poll(&mut poll_fds, Some(&Timespec::default())));
        let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        polled.is_ok() && poll_fds[0].revents().intersects(closed)
    }

    /// Whether the runtime was told of an end, also behind more than is read ahead.
    fn is_read_closed(&self) -> bool {
        let ready = pin!(self.stream.ready(Interest::READABLE));
        let ready = ready.poll(&mut Context::from_waker(Waker::noop()));
        matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Waits until the other side has ended what it sends.
    pub async fn wait_for_hang_up(&self) -> HangUp {
        loop {
            if let Some(hung_up) = self.read_ahead_for_end() {
                return hung_up;
            }
            if self.read_ahead_buffer.borrow().length < MAX_READ_AHEAD {
                // Fails only where the runtime ends.
                let _ = self.stream.readable().await;
                // The system held nothing before, and the runtime wakes us as soon as something comes.
                self.last_empty.set(Instant::now());
            } else {
                sleep(READ_AHEAD_RECHECK).await;
            }
        }
    }

    /// Whether nothing has come in and the other side has not closed, asked of the system at this moment.
    ///
    /// Guards against a close that has arrived but that no task was told of yet: a request written now would
    /// be lost.
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
