//! Bytes that were read ahead of their use, and when they were sent.

use std::collections::VecDeque;

use bytes::BytesMut;
use tokio::io::ReadBuf;
use tokio::time::Instant;

/// Number of segments with a time of their own; bytes beyond them count as sent at the time of the last
/// segment, that is, too early.
pub(super) const MAX_SEGMENTS: usize = 64;

/// Bytes that were read ahead, and the earliest time at which the last of them may have been sent.
pub(super) struct Segment {
    pub(super) bytes: BytesMut,
    pub(super) sent_after: Instant,
}

/// Looks for the empty line that ends a request head.
#[derive(Default)]
struct HeadScan {
    /// Something other than empty lines has come: those before a request are not part of it.
    has_begun: bool,
    is_line_empty: bool,
    /// Bytes up to the end, or all so far.
    scanned: usize,
}

impl HeadScan {
    /// Whether the head has its end in `bytes`, which follow what was scanned before.
    fn is_complete_with(&mut self, bytes: &[u8]) -> bool {
        for byte in bytes {
            self.scanned += 1;
            match byte {
                b'\n' if self.is_line_empty && self.has_begun => return true,
                b'\n' => self.is_line_empty = true,
                b'\r' => {}
                _ => (self.has_begun, self.is_line_empty) = (true, false),
            }
        }
        false
    }
}

/// Bytes that were read ahead, oldest first.
#[derive(Default)]
pub(super) struct ReadAhead {
    pub(super) segments: VecDeque<Segment>,
    pub(super) length: usize,
}

impl ReadAhead {
    pub(super) fn push(&mut self, bytes: &[u8], sent_after: Instant) {
        self.length += bytes.len();
        let is_full = self.segments.len() >= MAX_SEGMENTS;
        // A buffer that is extended doubles, and stays as large when a part of it has been taken.
        let fits = |last: &Segment| last.bytes.capacity() - last.bytes.len() >= bytes.len();
        match self.segments.back_mut().filter(|last| is_full || last.sent_after == sent_after && fits(last)) {
            Some(last) => last.bytes.extend_from_slice(bytes),
            None => self.segments.push_back(Segment { bytes: bytes.into(), sent_after }),
        }
    }

    pub(super) fn put_back(&mut self, bytes: &[u8], sent_after: Instant) {
        if !bytes.is_empty() {
            self.length += bytes.len();
            self.segments.push_front(Segment { bytes: bytes.into(), sent_after });
        }
    }

    /// Joins the segments of the first request head into one, as far as it has arrived, so that it can be taken at
    /// once; the time of its last byte counts. Returns its length if it is complete.
    pub(super) fn join_head(&mut self) -> Option<usize> {
        let mut scan = HeadScan::default();
        let end = self.segments.iter().position(|segment| scan.is_complete_with(&segment.bytes));
        let joined = end.map_or(self.segments.len(), |end| end + 1);
        if joined > 1 {
            let length = self.segments.range(..joined).map(|segment| segment.bytes.len()).sum();
            let mut head = BytesMut::with_capacity(length);
            let mut sent_after = None;
            for segment in self.segments.drain(..joined) {
                head.extend_from_slice(&segment.bytes);
                sent_after = Some(segment.sent_after);
            }
            self.segments.extend(sent_after.map(|sent_after| Segment { bytes: head, sent_after }));
            self.segments.rotate_right(1);
        }
        end.map(|_| scan.scanned)
    }

    /// Moves up to `limit` bytes of a single segment into `buf` and returns the earliest time at which they may have been
    /// sent; `None` if there are none.
    pub(super) fn take(&mut self, buf: &mut ReadBuf<'_>, limit: usize) -> Option<Instant> {
        let first = self.segments.front_mut()?;
        let sent_after = first.sent_after;
        let taken = first.bytes.split_to(first.bytes.len().min(buf.remaining()).min(limit));
        buf.put_slice(&taken);
        self.length -= taken.len();
        if first.bytes.is_empty() {
            self.segments.pop_front();
        }
        Some(sent_after)
    }
}
