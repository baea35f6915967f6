//! Pace of a response of unknown length: whether its endpoint sends it steadily, so that it is a long response
//! which takes its time, or has all but stopped. Without I/O and without a clock: times are those for which the
//! response was waited for so far, so that a slow client does not make its endpoint look slow or bursty.

use std::collections::VecDeque;
use std::time::Duration;

use crate::request_body::MAX_BUFFERED_BODY;

/// The lowest steady rate is the one at which a response exceeds `MAX_BUFFERED_BODY` within this time.
const LONG_RESPONSE_TIME: Duration = Duration::from_secs(2);
/// All that arrives within this time is one burst.
const BURST_TIME: Duration = Duration::from_millis(100);
/// Chunks that arrive within this time are recorded as one, which bounds the number of records.
const CHUNK_RESOLUTION: Duration = Duration::from_millis(5);
/// A response makes progress in steps of at least this many bytes: a few bytes now and then are no progress.
const STEP_BYTES: u64 = 1024;
/// The next step may take longer than the slowest one after the first by this factor, since pauses vary.
const STEP_TOLERANCE: f64 = 1.5;
/// The least time for the next step. A response that stops at its limit, 400 ms past the client's deadline, ends
/// within the 550 ms after which its request counts as lost.
const MIN_STEP_TIMEOUT: Duration = Duration::from_millis(150);
/// The longest time for the next step. An endpoint that holds the rest of a response back for longer has stalled.
const MAX_STEP_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes that arrived together.
#[derive(Clone, Copy, Debug, Default)]
struct Burst {
    bytes: u64,
    /// Time between the first and the last of them.
    duration: Duration,
}

/// What arrived within the last `BURST_TIME`.
#[derive(Debug, Default)]
struct RecentChunks {
    /// When each arrived, and its bytes; the oldest first.
    chunks: VecDeque<(Duration, u64)>,
}

impl RecentChunks {
    /// Adds a chunk that arrived at `now`, and returns the burst that it belongs to.
    fn add(&mut self, bytes: u64, now: Duration) -> Burst {
        while self.chunks.front().is_some_and(|(at, _)| now - *at >= BURST_TIME) {
            self.chunks.pop_front();
        }
        match self.chunks.back_mut() {
            Some((at, together)) if now - *at < CHUNK_RESOLUTION => *together += bytes,
            _ => self.chunks.push_back((now, bytes)),
        }
        let began_at = self.chunks.front().map_or(now, |(at, _)| *at);
        Burst { bytes: self.chunks.iter().map(|(_, bytes)| bytes).sum(), duration: now - began_at }
    }
}

/// A number of bytes of the response, and when it was reached.
#[derive(Clone, Copy, Debug)]
struct Mark {
    at: Duration,
    received: u64,
}

/// Pace of one response. See the module documentation.
#[derive(Debug, Default)]
pub(super) struct ResponsePace {
    received: u64,
    first_byte_at: Option<Duration>,
    recent: RecentChunks,
    largest_burst: Burst,
    last_step: Option<Mark>,
    longest_step: Duration,
}

impl ResponsePace {
    /// Records that `bytes` more have arrived after the response was waited for `waited` in all.
    pub(super) fn record(&mut self, bytes: u64, waited: Duration) {
        self.received += bytes;
        self.first_byte_at.get_or_insert(waited);
        let burst = self.recent.add(bytes, waited);
        if burst.bytes > self.largest_burst.bytes {
            self.largest_burst = burst;
        }
        let step = *self.last_step.get_or_insert(Mark { at: waited, received: 0 });
        if self.received - step.received >= STEP_BYTES {
            // A slow beginning says nothing about the pauses between later pieces.
            if step.received > 0 {
                self.longest_step = self.longest_step.max(waited - step.at);
            }
            self.last_step = Some(Mark { at: waited, received: self.received });
        }
    }

    /// Up to which time waited the response counts as steady if nothing more of it arrives; `None` if it does
    /// not count as steady already.
    pub(super) fn steady_until(&self) -> Option<Duration> {
        let step = self.last_step.filter(|step| self.is_fast_enough(*step))?;
        let timeout = self.longest_step.mul_f64(STEP_TOLERANCE).clamp(MIN_STEP_TIMEOUT, MAX_STEP_TIMEOUT);
        Some(step.at + timeout)
    }

    /// Whether the rate up to `step` was at least the lowest steady one. The largest burst does not count: it
    /// says nothing about what follows, and of regular pieces one more has arrived than pauses have passed.
    fn is_fast_enough(&self, step: Mark) -> bool {
        let Some(first_byte_at) = self.first_byte_at else { return false };
        let bytes = step.received.saturating_sub(self.largest_burst.bytes);
        let time = (step.at - first_byte_at).saturating_sub(self.largest_burst.duration);
        let needed = MAX_BUFFERED_BODY as f64 * time.as_secs_f64();
        bytes > 0 && bytes as f64 * LONG_RESPONSE_TIME.as_secs_f64() >= needed
    }
}

#[cfg(test)]
mod tests;
