//! Whether the peer of a stream has closed or reset it, also behind data that has not been read.

use std::io::{self, Read};
use std::pin::pin;
use std::task::{Context, Poll, Waker};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::retry_on_intr;
use socket2::SockRef;
use tokio::io::Interest;
use tokio::time::{Instant, sleep};

use super::{
    HangUp, MAX_READ_AHEAD, MAX_UNKNOWN_TIME, MAX_UNREAD, MonitoredStream, PeerStatus, READ_AHEAD_RECHECK,
};

impl MonitoredStream {
    /// Whether the peer has closed or reset the connection, as far as the runtime has reported. Reads ahead
    /// up to the limit, since an end of stream behind unread data would otherwise go unnoticed.
    pub fn read_ahead_for_end(&self) -> Option<HangUp> {
        self.read_ahead(|chunk| self.stream.try_read(chunk))
    }

    /// As [`MonitoredStream::read_ahead_for_end`], but asks the system now, also behind more data than is
    /// read ahead.
    ///
    /// The runtime may have polled its sockets last long ago if the process was stalled, so it may not have
    /// reported an end that has already arrived.
    pub fn query_hang_up(&self) -> Option<HangUp> {
        let hung_up = self.read_ahead(|chunk| (&*SockRef::from(&self.stream)).read(chunk));
        if hung_up.is_some() || !self.is_read_ahead_full() {
            return hung_up;
        }
        self.poll_read_closed().then_some(HangUp::Closed)
    }

    /// Number of bytes that are read ahead, with those that the system has now, up to the limit.
    pub fn query_read_ahead(&self) -> usize {
        self.query_hang_up();
        self.read_ahead_buffer.borrow().length
    }

    /// The status of the peer, asked of the system now.
    pub fn query_status(&self) -> PeerStatus {
        match self.query_hang_up() {
            Some(hung_up) => PeerStatus::HungUp(hung_up),
            None if self.may_hide_end() => PeerStatus::Unknown,
            None => PeerStatus::Connected,
        }
    }

    /// Whether a peer of unknown status counts as gone: its socket buffer was last known to be empty, with no
    /// end of the stream, over [`MAX_UNKNOWN_TIME`] ago.
    pub fn is_unknown_for_too_long(&self) -> bool {
        self.last_empty.get().elapsed() > MAX_UNKNOWN_TIME
    }

    fn is_read_ahead_full(&self) -> bool {
        self.read_ahead_buffer.borrow().length >= MAX_READ_AHEAD
    }

    /// Whether the peer may have ended the connection without the system knowing.
    fn may_hide_end(&self) -> bool {
        self.is_read_ahead_full() && (self.unread_bytes() >= MAX_UNREAD || !self.is_receive_window_open())
    }

    fn read_ahead(&self, read: impl Fn(&mut [u8]) -> io::Result<usize>) -> Option<HangUp> {
        let mut buffer = self.read_ahead_buffer.borrow_mut();
        let asked = Instant::now();
        while self.hung_up.get().is_none() && buffer.length < MAX_READ_AHEAD {
            let mut chunk = [0; 1024];
            let limit = chunk.len().min(MAX_READ_AHEAD - buffer.length);
            match read(&mut chunk[..limit]) {
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

    /// Whether the system has received an end of stream, also behind unread data. An interrupted call is
    /// repeated; any other failure says nothing about the connection.
    fn poll_read_closed(&self) -> bool {
        let mut poll_fds = [PollFd::new(&self.stream, PollFlags::RDHUP)];
        let polled = retry_on_intr(|| poll(&mut poll_fds, Some(&Timespec::default())));
        let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        polled.is_ok() && poll_fds[0].revents().intersects(closed)
    }

    /// Whether the runtime has reported an end of stream, also behind more data than is read ahead.
    fn is_read_closed(&self) -> bool {
        let ready = pin!(self.stream.ready(Interest::READABLE));
        let ready = ready.poll(&mut Context::from_waker(Waker::noop()));
        matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Waits until the peer closes its writing side or resets the connection, or has been of unknown status
    /// for [`MAX_UNKNOWN_TIME`]; the last counts as closed.
    pub async fn wait_for_hang_up(&self) -> HangUp {
        loop {
            if let Some(hung_up) = self.read_ahead_for_end() {
                return hung_up;
            }
            if !self.is_read_ahead_full() {
                // Fails only when the runtime shuts down.
                let _ = self.stream.readable().await;
                // The socket buffer was empty until now: the runtime wakes this task as soon as data arrives.
                self.last_empty.set(Instant::now());
            } else if self.may_hide_end() && self.is_unknown_for_too_long() {
                return HangUp::Closed;
            } else {
                sleep(READ_AHEAD_RECHECK).await;
            }
        }
    }
}
