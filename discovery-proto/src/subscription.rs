//! A [`Session`] and a [`ListReader`] together: responses go in, updates for the balancer come out.

use balancer::{EndpointEntry, EndpointUpdate, Millis};
use thiserror::Error;

use crate::list::{EndpointList, EndpointLocations, ListReader, ParsedEntries};
use crate::session::{PollRequest, PollTiming, ResponseSummary, Session, SupersededPoll, Verdict};
use crate::starts::ReceivedAt;

/// Why a complete response is not a usable endpoint list.
#[derive(Debug, Error)]
pub enum EndpointListError {
    /// It is not JSON, or lacks a required field.
    #[error("malformed endpoint list: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A full snapshot none of whose entries is valid: applying it would remove every endpoint.
    #[error("full snapshot without a single readable entry")]
    NoReadableEntries,
}

/// The result of a response.
#[derive(Debug)]
pub enum ListResponse {
    /// The list, or the changes to it, were applied.
    Applied {
        /// The version that the list has now.
        index: u64,
        /// The update for the balancer; an empty list of changes if nothing is new.
        update: EndpointUpdate,
        /// Whether the poll was a watch, or a resync that starts one, and its response has no entry.
        empty_watch: bool,
    },
    /// The response was ignored: its version does not fit the current list, or a change in it could not be
    /// parsed. The next poll requests a full snapshot.
    Rejected {
        /// The version of the response.
        index: u64,
    },
}

/// A response that could be parsed.
struct ParsedResponse {
    summary: ResponseSummary,
    is_empty: bool,
    entries: ParsedEntries,
}

/// Follows the endpoint list of one discovery. See the module documentation.
pub struct Subscription<P> {
    timing: PollTiming,
    session: Session,
    reader: ListReader<P>,
    /// Why entries of the last response were skipped.
    entry_errors: Vec<String>,
}

impl<P: EndpointLocations> Subscription<P> {
    /// Starts without a list.
    pub fn new(timing: PollTiming, reader: ListReader<P>) -> Subscription<P> {
        Subscription { timing, session: Session::new(timing, None), reader, entry_errors: Vec::new() }
    }

    /// The reader, which has the endpoint IDs and the raw entries.
    pub fn reader(&self) -> &ListReader<P> {
        &self.reader
    }

    /// The next poll.
    pub fn next_poll(&self) -> PollRequest {
        self.session.next_poll()
    }

    /// Restores a list cached by an earlier process. If `resume` is set, the next poll asks only for the
    /// changes after its version, else for a full snapshot.
    pub fn restore(&mut self, list: EndpointList, resume: bool, now: Millis) -> Vec<EndpointEntry> {
        self.session = Session::new(self.timing, Some(list.index).filter(|_| resume));
        let parsed = self.parse(list.endpoints);
        let mut entries = self.reader.apply(parsed, true);
        self.reader.ids.translate_cached(&mut entries, ReceivedAt { local: now, discovery_unix_ms: None });
        entries
    }

    fn parse(&mut self, endpoints: Vec<serde_json::Value>) -> ParsedEntries {
        let mut parsed = self.reader.parse(endpoints);
        self.entry_errors = std::mem::take(&mut parsed.errors);
        parsed
    }

    /// Why entries of the last response could not be parsed and were skipped.
    pub fn entry_errors(&self) -> &[String] {
        &self.entry_errors
    }

    /// Makes the next poll request a full snapshot.
    pub fn request_full_snapshot(&mut self) {
        self.session = Session::new(self.timing, None);
    }

    /// The next poll goes to another source of the same list. It is a resync, since that source may already
    /// have newer changes.
    pub fn source_changed(&mut self) {
        self.session.source_changed();
    }

    /// The next poll goes to a different discovery, whose versions cannot be compared with those seen so far.
    pub fn reset_versions(&mut self) {
        self.session.reset_versions();
    }

    /// The poll that is under way, which the caller is about to repeat.
    pub fn supersede_poll(&mut self) -> SupersededPoll {
        self.session.supersede_poll()
    }

    /// The version of the current list; `None` if the next poll has to request a full snapshot.
    pub fn version(&self) -> Option<u64> {
        self.session.version()
    }

    /// Applies the complete body of the response to [`Subscription::next_poll`]. Start times in the update
    /// are on the caller's clock.
    ///
    /// # Errors
    /// If it is not a usable list. The poll has failed then, and the caller must report that to
    /// [`Subscription::on_failure`].
    pub fn on_response(
        &mut self,
        body: &[u8],
        received: ReceivedAt,
    ) -> Result<ListResponse, EndpointListError> {
        let response = self.parse_response(body)?;
        let (index, is_empty) = (response.summary.index, response.is_empty);
        let waited = !self.session.next_poll().wait.is_zero();
        if self.session.on_response(response.summary) == Verdict::Rejected {
            return Ok(ListResponse::Rejected { index });
        }
        let full_snapshot = response.summary.full_snapshot;
        let entries = self.apply(response, received);
        let update = if full_snapshot {
            EndpointUpdate::FullSnapshot(entries)
        } else {
            EndpointUpdate::Changes(entries)
        };
        Ok(ListResponse::Applied { index, update, empty_watch: is_empty && waited })
    }

    /// Applies the complete body of the response to a superseded poll, as long as no later poll has been
    /// answered. The version and the next poll stay as they are: the poll that repeats this one brings the
    /// same changes, and what came after them. `None` if nothing is new or the response does not fit.
    ///
    /// # Errors
    /// If it is not a usable list.
    pub fn on_superseded_response(
        &mut self,
        poll: SupersededPoll,
        body: &[u8],
        received: ReceivedAt,
    ) -> Result<Option<EndpointUpdate>, EndpointListError> {
        let response = self.parse_response(body)?;
        let has_news = response.summary.full_snapshot || !response.is_empty;
        if !has_news || self.session.on_superseded_response(poll, response.summary) == Verdict::Rejected {
            return Ok(None);
        }
        let full_snapshot = response.summary.full_snapshot;
        let entries = self.apply(response, received);
        Ok(Some(if full_snapshot {
            EndpointUpdate::SupersededSnapshot(entries)
        } else {
            EndpointUpdate::SupersededChanges(entries)
        }))
    }

    fn parse_response(&mut self, body: &[u8]) -> Result<ParsedResponse, EndpointListError> {
        self.entry_errors.clear();
        let EndpointList { index, snapshot: full_snapshot, endpoints } = serde_json::from_slice(body)?;
        let is_empty = endpoints.is_empty();
        let entries = self.parse(endpoints);
        let (readable, unreadable) = (entries.entries.len(), self.entry_errors.len());
        // Applying a full snapshot without any valid entry would remove every endpoint.
        if full_snapshot && !is_empty && readable == 0 {
            return Err(EndpointListError::NoReadableEntries);
        }
        let summary = ResponseSummary { index, full_snapshot, readable, unreadable };
        Ok(ParsedResponse { summary, is_empty, entries })
    }

    fn apply(&mut self, response: ParsedResponse, received: ReceivedAt) -> Vec<EndpointEntry> {
        let mut entries = self.reader.apply(response.entries, response.summary.full_snapshot);
        self.reader.ids.translate_response(&mut entries, received);
        entries
    }

    /// Records a poll that failed, was rejected or timed out, or whose response was not a valid list
    /// (`invalid_response`). Returns the backoff before the next poll, for callers that have no backoff of
    /// their own.
    pub fn on_failure(&mut self, invalid_response: bool) -> std::time::Duration {
        self.session.on_failure(invalid_response)
    }
}
