//! How old the list held may be, and which call comes next: a state machine without I/O and without a clock of its own.
//!
//! A change is to be acted on within [`FRESH_WITHIN`] of discovery having it. Each state has one deadline that covers
//! dial, wait and answer together, and their sum over a watch that falls silent, the pause after it and the call that
//! follows stays within that.

use std::time::Duration;

/// A change counts as told so long after discovery had it and could be reached, whatever call failed meanwhile.
const FRESH_WITHIN: Duration = Duration::from_secs(6);
/// How long a watch waits. Short: its silence shows when the wait is over, and going on with it costs discovery nothing.
const WATCH_FOR: Duration = Duration::from_millis(1_500);
/// How long its answer may take beyond that.
const ANSWER_WITHIN: Duration = Duration::from_millis(500);
/// A call that finds out what was missed has so long from its dial to the last byte of its answer.
const RESYNC_WITHIN: Duration = Duration::from_millis(2_500);
/// The same where a whole fleet asks one discovery: calls queue, and one that is given up is worked on in vain, so that
/// the queue stays full. None was kept for longer than 3 s on the operators' days; what would be is refused at once.
const QUEUED_WITHIN: Duration = Duration::from_millis(3_200);
/// How long it waits there where nothing was missed: it begins the watch with that, which would else be one more call in
/// the queue.
const START_FOR: Duration = Duration::from_millis(100);
/// Pauses after a call that failed, where calls cost nothing: the first, and the longest.
const PAUSE: Duration = Duration::from_millis(50);
const PAUSE_MOST: Duration = Duration::from_millis(500);
/// Where calls cost discovery work the decisions say how long to pause: after a watch that broke up to so long, which is
/// `ASK_ANEW_MOST` there.
const DECIDED_MOST: Duration = Duration::from_millis(800);

/// A watch that falls silent the moment it has begun, the longest pause and a call as slow as may be.
const SILENCE: u128 =
    WATCH_FOR.as_millis() + ANSWER_WITHIN.as_millis() + DECIDED_MOST.as_millis() + QUEUED_WITHIN.as_millis();
const _: () =
    assert!(SILENCE <= FRESH_WITHIN.as_millis() && PAUSE_MOST.as_millis() <= DECIDED_MOST.as_millis());

/// One call to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Asks for what is newer than this version; for the whole list where there is none.
    pub after: Option<u64>,
    /// How long discovery may wait for news.
    pub wait: Duration,
    /// Given up if its answer is not there whole by then, counted from the beginning of its dial.
    pub within: Duration,
}

impl Call {
    /// Path and query.
    pub fn path(&self) -> String {
        match self.after {
            None => "/v1/endpoints".to_owned(),
            Some(after) => format!("/v1/endpoints?after={after}&wait_ms={}", self.wait.as_millis()),
        }
    }
}

/// What an answer holds, as far as it matters here.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    /// The version that it brings the list to.
    pub index: u64,
    /// It is the whole list.
    pub whole: bool,
    /// Entries that were read.
    pub read: usize,
    /// And those that could not be.
    pub unreadable: usize,
}

/// What becomes of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the list from now on, or the changes to it.
    Taken,
    /// Nothing of it holds; the whole list is asked for next.
    Doubtful,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The last call was answered, and the next one goes on with its watch.
    Watching,
    /// The next call finds out at once what was missed.
    Resyncing,
    /// A call failed, and the next one resyncs after a pause.
    BackingOff { pause: Duration },
}

/// See the module's page.
#[derive(Debug)]
pub struct Session {
    state: State,
    /// The version of the list held; `None` asks for the whole.
    held: Option<u64>,
    /// The newest version that discovery has told.
    newest: Option<u64>,
    /// Whole lists older than that in a row.
    older: u32,
    /// Calls wait for those of other client proxies.
    queued: bool,
}

impl Session {
    /// Nothing was asked yet; `known` is the version of what is held from before, if it is built on. `queued` says that one
    /// discovery is asked by all, not an agent that has the list at hand.
    pub fn new(known: Option<u64>, queued: bool) -> Session {
        Session { state: State::Resyncing, held: known, newest: None, older: 0, queued }
    }

    /// The next call.
    pub fn call(&self) -> Call {
        match self.state {
            State::Watching => Call { after: self.held, wait: WATCH_FOR, within: WATCH_FOR + ANSWER_WITHIN },
            _ if self.queued => {
                let wait = self.held.map_or(Duration::ZERO, |_| START_FOR);
                Call { after: self.held, wait, within: QUEUED_WITHIN }
            }
            _ => Call { after: self.held, wait: Duration::ZERO, within: RESYNC_WITHIN },
        }
    }

    /// Discovery has moved: what the new one knows beyond the list held is asked for at once.
    pub fn moved(&mut self) {
        self.state = State::Resyncing;
    }

    /// An answer came whole and could be read.
    pub fn answered(&mut self, told: Told) -> Verdict {
        let Told { index, whole, read, unreadable } = told;
        let sound = if whole {
            // Guards against an old answer over a newer one. A discovery that was set back says so twice.
            let old = self.newest.is_some_and(|newest| index < newest);
            self.older = if old { self.older + 1 } else { 0 };
            !old || self.older > 1
        } else {
            // Guards against changes to a list that is not the one held, and against a change that nobody acts on
            // because it could not be read.
            let follows = self.held.is_some_and(|held| index > held || index == held && read == 0);
            follows && unreadable == 0
        };
        if !sound {
            (self.state, self.held) = (State::Resyncing, None);
            return Verdict::Doubtful;
        }
        // The whole list is no watch; the call that begins one waits in the queue again.
        let next = if self.queued && self.held.is_none() { State::Resyncing } else { State::Watching };
        (self.state, self.held, self.newest, self.older) = (next, Some(index), Some(index), 0);
        Verdict::Taken
    }

    /// The call failed, was refused, was given up, or (`spoilt`) had an answer that is no list. The pause from here is
    /// for who decides about it.
    pub fn failed(&mut self, spoilt: bool) -> Duration {
        let pause = match self.state {
            State::BackingOff { pause } => (2 * pause).min(PAUSE_MOST),
            _ => PAUSE,
        };
        self.state = State::BackingOff { pause };
        if spoilt {
            self.held = None;
        }
        pause
    }
}

#[cfg(test)]
mod tests;
