//! Which poll comes next, and how stale the endpoint list can become: a state machine without I/O and without
//! a clock.
//!
//! A change must take effect within [`MAX_STALENESS`] of the moment when discovery has it. In each state one
//! timeout covers connecting, waiting and the response together. The worst case is a watch that stalls, the
//! backoff after it and the poll that follows; the timeouts are chosen so that their sum stays within that
//! bound.

use std::time::Duration;

/// The bound on staleness: from the moment when discovery has a change and is reachable, whatever poll has
/// failed meanwhile, until the change takes effect.
const MAX_STALENESS: Duration = Duration::from_secs(6);
/// The first and the longest backoff after a failed poll, if polls cost discovery nothing.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// If polls cost discovery work, the balancer chooses the backoff. This is the longest that it chooses after
/// a broken watch, `MAX_WATCH_BACKOFF` in the balancer.
const MAX_BALANCER_BACKOFF: Duration = Duration::from_millis(800);

/// How long discovery may hold polls open, and the timeouts of polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollTiming {
    /// How long discovery holds a watch open if nothing changes. Short, because a stalled watch is noticed
    /// only when this time is over, and renewing a watch costs discovery nothing.
    pub watch_wait: Duration,
    /// How much longer than that the response to a watch may take.
    pub response_margin: Duration,
    /// How long discovery holds a resync open if nothing was missed. Above zero, the resync already starts
    /// the next watch, which saves a separate poll.
    pub resync_wait: Duration,
    /// The timeout of a resync, from connecting to the last byte of the response.
    pub resync_timeout: Duration,
    /// The timeout of a poll for a full snapshot, likewise.
    pub snapshot_timeout: Duration,
    /// Replaces the timeout of a resync or a full snapshot after a failed poll. While polls go on failing it
    /// applies to every second one.
    pub extended_timeout: Option<Duration>,
}

impl PollTiming {
    /// For a client proxy that polls a relay, or a discovery agent that has the list in memory.
    pub const DIRECT: PollTiming = PollTiming {
        watch_wait: Duration::from_millis(1_500),
        response_margin: Duration::from_millis(500),
        resync_wait: Duration::ZERO,
        resync_timeout: Duration::from_millis(2_500),
        snapshot_timeout: Duration::from_millis(2_500),
        extended_timeout: None,
    };
    /// For a client proxy whose discovery agent may respond as late as a discovery that a whole fleet polls.
    /// Not every poll can have the longer timeout: a poll that hangs, the backoff and the next poll have to
    /// stay within 6 s.
    pub const AGENT: PollTiming = PollTiming {
        resync_timeout: Duration::from_millis(2_300),
        snapshot_timeout: Duration::from_millis(2_300),
        extended_timeout: Some(Duration::from_millis(3_200)),
        ..PollTiming::DIRECT
    };
    /// For a client proxy that polls the same discovery as its whole fleet. Polls queue there, and discovery
    /// still works on one whose caller has given up, which keeps the queue full. So the timeouts exceed 3 s,
    /// the longest that a poll was queued in the operators' scenarios; discovery rejects at once a poll that
    /// would wait longer.
    pub const QUEUED: PollTiming = PollTiming {
        resync_wait: Duration::from_millis(100),
        resync_timeout: Duration::from_millis(3_200),
        snapshot_timeout: Duration::from_millis(3_200),
        ..PollTiming::DIRECT
    };
    /// For a relay. A relay that stalls must leave its downstreams enough time for their own polls, and there
    /// are few relays, so frequent polls are affordable. The full snapshot of a large fleet takes longer than
    /// a change.
    pub const RELAY: PollTiming = PollTiming {
        watch_wait: Duration::from_millis(500),
        response_margin: Duration::from_millis(250),
        resync_wait: Duration::ZERO,
        resync_timeout: Duration::from_millis(750),
        snapshot_timeout: Duration::from_secs(10),
        extended_timeout: None,
    };

    /// How long until a watch that stalls right after its start times out.
    const fn watch_timeout_ms(&self) -> u128 {
        self.watch_wait.as_millis() + self.response_margin.as_millis()
    }
}

/// The worst case without relays: a watch that stalls right after its start, the longest backoff, and a
/// resync that takes all of its timeout.
const STALLED_WATCH_RECOVERY_MS: u128 = PollTiming::QUEUED.watch_timeout_ms()
    + MAX_BALANCER_BACKOFF.as_millis()
    + PollTiming::QUEUED.resync_timeout.as_millis();
/// The worst case with relays: the watches of two relays stall one after the other, each followed by a
/// backoff, and then the client proxy's own watch stalls and it fails over.
const TWO_HOP_RECOVERY_MS: u128 = 2 * (PollTiming::RELAY.watch_timeout_ms() + MIN_BACKOFF.as_millis())
    + PollTiming::DIRECT.watch_timeout_ms()
    + crate::FAILOVER_SPREAD.as_millis();
const _: () = assert!(
    STALLED_WATCH_RECOVERY_MS <= MAX_STALENESS.as_millis()
        && TWO_HOP_RECOVERY_MS <= MAX_STALENESS.as_millis()
);
const _: () = assert!(MAX_BACKOFF.as_millis() <= MAX_BALANCER_BACKOFF.as_millis());

/// One poll of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// Requests the changes after this version; a full snapshot if `None`.
    pub after: Option<u64>,
    /// How long discovery may hold the poll open until there is a change.
    pub wait: Duration,
    /// The poll fails if its response is not complete by then, counted from the start of connecting.
    pub timeout: Duration,
}

impl PollRequest {
    /// Path and query.
    pub fn path(&self) -> String {
        match self.after {
            None => "/v1/endpoints".to_owned(),
            Some(after) => format!("/v1/endpoints?after={after}&wait_ms={}", self.wait.as_millis()),
        }
    }
}

/// What a [`Session`] needs to know of a response.
#[derive(Clone, Copy, Debug)]
pub struct ResponseSummary {
    /// The version that the list has after this response.
    pub index: u64,
    /// Whether it is a full snapshot.
    pub full_snapshot: bool,
    /// The number of valid entries.
    pub readable: usize,
    /// The number of entries that could not be parsed.
    pub unreadable: usize,
}

/// A poll that is repeated before its response has arrived, since it timed out or discovery has moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SupersededPoll {
    /// The version of which it requests the changes; a full snapshot if `None`.
    after: Option<u64>,
    /// The version of the last response that had been applied when it was superseded.
    newest: Option<u64>,
}

impl SupersededPoll {
    /// Whether this response may be applied, on top of the list as it was when the poll was superseded.
    fn accepts(&self, response: ResponseSummary) -> bool {
        let ResponseSummary { index, full_snapshot, unreadable, .. } = response;
        if full_snapshot {
            self.newest.is_none_or(|newest| index >= newest)
        } else {
            unreadable == 0 && self.after.is_some_and(|after| index > after)
        }
    }
}

/// Whether a response may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The list, or the changes to it, are to be applied.
    Applied,
    /// The response must be ignored as a whole; the next poll requests a full snapshot.
    Rejected,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The last poll succeeded; the next one renews its watch.
    Watching,
    /// The next poll fetches what was missed, with a short wait or none.
    Resyncing,
    /// A poll failed; the next one resyncs after a backoff.
    BackingOff { backoff: Duration, is_extended: bool },
}

/// Decides which poll comes next. See the module documentation.
#[derive(Debug)]
pub struct Session {
    timing: PollTiming,
    state: State,
    /// The version of the current list; `None` if the next poll has to request a full snapshot.
    version: Option<u64>,
    /// The version of the last response that was applied.
    newest: Option<u64>,
    /// The number of consecutive full snapshots older than `newest`.
    older_snapshots: u32,
    /// The newest version that superseded polls have brought since the last response that was applied.
    late_version: Option<u64>,
    /// Whether `late_version` arrived after the poll under way was sent, whose response may be older then.
    is_overtaken: bool,
}

impl Session {
    /// Starts with a resync. `cached` is the version of a list from an earlier process, if polls may ask for
    /// the changes after it.
    pub fn new(timing: PollTiming, cached: Option<u64>) -> Session {
        Session {
            timing,
            state: State::Resyncing,
            version: cached,
            newest: None,
            older_snapshots: 0,
            late_version: None,
            is_overtaken: false,
        }
    }

    /// The next poll.
    pub fn next_poll(&self) -> PollRequest {
        let PollTiming {
            watch_wait,
            response_margin,
            resync_wait,
            resync_timeout,
            snapshot_timeout,
            extended_timeout,
        } = self.timing;
        let extended =
            extended_timeout.filter(|_| matches!(self.state, State::BackingOff { is_extended: true, .. }));
        match (self.state, self.version) {
            (State::Watching, after) => {
                PollRequest { after, wait: watch_wait, timeout: watch_wait + response_margin }
            }
            (_, None) => PollRequest {
                after: None,
                wait: Duration::ZERO,
                timeout: extended.unwrap_or(snapshot_timeout),
            },
            (_, after) => {
                PollRequest { after, wait: resync_wait, timeout: extended.unwrap_or(resync_timeout) }
            }
        }
    }

    /// The poll that is under way, which the caller is about to repeat.
    pub fn supersede_poll(&mut self) -> SupersededPoll {
        self.is_overtaken = false;
        SupersededPoll { after: self.version, newest: self.newest }
    }

    /// Records the complete response to a superseded poll, and decides whether to apply it. The next poll stays
    /// as it is.
    pub fn on_superseded_response(&mut self, poll: SupersededPoll, response: ResponseSummary) -> Verdict {
        let is_older = self.late_version.is_some_and(|late| response.index < late);
        if is_older || !poll.accepts(response) {
            return Verdict::Rejected;
        }
        self.late_version = Some(response.index);
        self.is_overtaken = true;
        Verdict::Applied
    }

    /// The version of the current list; `None` if the next poll has to request a full snapshot.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Makes the next poll request a full snapshot, for a caller that does not act on the last response.
    pub fn request_full_snapshot(&mut self) {
        (self.state, self.version) = (State::Resyncing, None);
    }

    /// The next poll goes to another source of the same list. It is a resync, since that source may already
    /// have newer changes.
    pub fn source_changed(&mut self) {
        self.state = State::Resyncing;
        self.is_overtaken = false;
    }

    /// The next poll goes to a different discovery, whose versions cannot be compared with those seen so far:
    /// its first full snapshot is applied even if its version is lower.
    pub fn reset_versions(&mut self) {
        (self.newest, self.older_snapshots) = (None, 0);
    }

    /// Whether discovery prepared this response before the version that a superseded poll has brought since.
    /// Applied, it would undo that version. Only a version from that of the list on can be compared.
    fn would_undo_late_version(&self, response: ResponseSummary) -> bool {
        let ResponseSummary { index, full_snapshot, readable, .. } = response;
        self.is_overtaken
            && (full_snapshot || readable > 0)
            && self.version.is_none_or(|version| index >= version)
            && self.late_version.is_some_and(|late| index < late)
    }

    /// Records a complete response that could be parsed, and decides whether to apply it.
    pub fn on_response(&mut self, response: ResponseSummary) -> Verdict {
        let ResponseSummary { index, full_snapshot, readable, unreadable } = response;
        let is_overtaken = self.would_undo_late_version(response);
        self.is_overtaken = false;
        let is_valid = if is_overtaken {
            false
        } else if full_snapshot {
            // A response delayed on its way must not overwrite a newer list. If discovery itself was set back
            // to an older version, it repeats that version in the next full snapshot.
            let is_older = self.newest.is_some_and(|newest| index < newest);
            self.older_snapshots = if is_older { self.older_snapshots + 1 } else { 0 };
            !is_older || self.older_snapshots > 1
        } else {
            // Changes apply only on top of the current version. An unreadable change cannot be applied, and
            // would be lost once the version moves past it.
            let follows =
                self.version.is_some_and(|version| index > version || index == version && readable == 0);
            follows && unreadable == 0
        };
        if !is_valid {
            self.request_full_snapshot();
            return Verdict::Rejected;
        }
        // A full snapshot does not start a watch. If a poll has to start one, that is the next poll.
        let next = if !self.timing.resync_wait.is_zero() && self.version.is_none() {
            State::Resyncing
        } else {
            State::Watching
        };
        (self.state, self.version, self.newest, self.older_snapshots) = (next, Some(index), Some(index), 0);
        self.late_version = None;
        Verdict::Applied
    }

    /// Records a poll that failed, was rejected or timed out, or whose response was not a valid list
    /// (`invalid_response`). Returns the backoff before the next poll, for callers that have no backoff of
    /// their own.
    pub fn on_failure(&mut self, invalid_response: bool) -> Duration {
        let (backoff, is_extended) = match self.state {
            State::BackingOff { backoff, is_extended } => ((2 * backoff).min(MAX_BACKOFF), !is_extended),
            _ => (MIN_BACKOFF, true),
        };
        self.state = State::BackingOff { backoff, is_extended };
        self.is_overtaken = false;
        if invalid_response {
            self.version = None;
        }
        backoff
    }
}

#[cfg(test)]
mod tests;
