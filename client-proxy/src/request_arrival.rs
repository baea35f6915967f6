//! When a client may have sent the last byte of its request, as far as can be told while part of the request is
//! still unread. Without I/O and without a clock.
//!
//! While an endpoint takes a long body slowly, the rest of the body waits in the buffers of the systems. The
//! client may have written all of it by then, and its time counts from there.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// The most bytes that the system of a client holds for it: what the client has written and what has not arrived
/// here yet (the default upper limit of Linux for a socket's send buffer).
const MAX_SEND_BUFFER: u64 = 4 << 20;
/// A sample is kept for each so many bytes.
const SAMPLE_BYTES: u64 = MAX_SEND_BUFFER / 16;
/// The client's time counts from this long after the request may first have been complete. An answer may be late by
/// half a second; 150 ms of that are left for a process that is stalled for a moment. A body that is held up
/// for less than this has its time from when it was read.
pub const MAX_COMPLETION_ERROR: Duration = Duration::from_millis(350);

/// How much of a body has been read, and how much is known to have arrived besides.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Bytes that have been read.
    pub read: u64,
    /// Bytes that wait in the socket buffer.
    pub unread: u64,
    /// The socket buffer has room for more.
    pub is_window_open: bool,
}

impl Progress {
    fn arrived(self) -> u64 {
        self.read + self.unread
    }
}

/// The progress at some time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Instant,
    progress: Progress,
}

impl Sample {
    fn arrived(&self) -> u64 {
        self.progress.arrived()
    }
}

/// How the body of one request has arrived.
#[derive(Debug)]
pub struct RequestArrival {
    /// Length of the complete body, if known.
    length: Option<u64>,
    /// Oldest first; the first one is the newest that more than [`MAX_SEND_BUFFER`] bytes have followed, if any.
    samples: VecDeque<Sample>,
    latest: Sample,
    /// What has arrived last was not written before this.
    written_after: Instant,
}

impl RequestArrival {
    /// A body of which nothing was sent before `sent_after`.
    pub fn new(length: Option<u64>, sent_after: Instant) -> RequestArrival {
        let latest = Sample { at: sent_after, progress: Progress::default() };
        RequestArrival { length, samples: VecDeque::from([latest]), latest, written_after: sent_after }
    }

    /// Records the progress at `now`.
    pub fn record(&mut self, progress: Progress, now: Instant) {
        let previous = std::mem::replace(&mut self.latest, Sample { at: now, progress });
        // While nothing is read, a receive window that is open was open before, so these bytes did not wait for it.
        let has_grown = progress.read == previous.progress.read && progress.unread > previous.progress.unread;
        if has_grown && progress.is_window_open {
            self.written_after = previous.at;
        }
        let arrived = progress.arrived();
        if self.samples.back().is_none_or(|last| last.arrived() + SAMPLE_BYTES <= arrived) {
            self.samples.push_back(self.latest);
        }
        while self.samples.get(1).is_some_and(|second| second.arrived() + MAX_SEND_BUFFER <= arrived) {
            self.samples.pop_front();
        }
    }

    /// The earliest time at which the client may have written the last byte, by the progress recorded last, where
    /// what was read last was not sent before `sent_after`. `None` if more is missing than the client's system
    /// can hold.
    pub fn may_be_complete_since(&self, sent_after: Instant) -> Option<Instant> {
        let arrived = self.latest.arrived();
        if self.length.is_some_and(|length| arrived + MAX_SEND_BUFFER < length) {
            return None;
        }
        // What arrives now had not been written when `MAX_SEND_BUFFER` bytes less had arrived.
        let is_followed = |sample: &&Sample| sample.arrived() + MAX_SEND_BUFFER <= arrived;
        let written_after = self.samples.front().filter(is_followed).map_or(sent_after, |sample| sample.at);
        Some(written_after.max(sent_after).max(self.written_after))
    }
}

#[cfg(test)]
mod tests;
