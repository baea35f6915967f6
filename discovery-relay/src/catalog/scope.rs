//! A set of services whose endpoints are served as one list: the encoded responses for its watchers, and the
//! means to notify them.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use tokio::sync::watch;

use super::log::Log;

/// The maximum number of encoded change lists kept per scope: the watchers of one scope have only a few
/// different versions.
const MAX_CACHED_CHANGE_LISTS: usize = 16;

/// See the module documentation.
#[derive(Debug)]
pub struct Scope {
    /// `None` for all services.
    services: Option<Vec<Rc<str>>>,
    /// The number of changes so far.
    changes: watch::Sender<u64>,
    encoded: RefCell<Encoded>,
}

/// What was encoded since the last change.
#[derive(Debug, Default)]
struct Encoded {
    full_snapshot: Option<Bytes>,
    /// Change lists by the version of the first change in them. Any two watchers whose next change is the
    /// same share one, whatever version each of them has.
    change_lists: Vec<(u64, Bytes)>,
    /// How many lists were encoded in total.
    encodings: u64,
}

impl Scope {
    pub(super) fn new(services: Vec<Rc<str>>) -> Scope {
        Scope { services: Some(services), changes: watch::Sender::new(0), encoded: RefCell::default() }
    }

    pub(super) fn all_services() -> Scope {
        Scope { services: None, changes: watch::Sender::new(0), encoded: RefCell::default() }
    }

    pub(super) fn services(&self) -> Option<&[Rc<str>]> {
        self.services.as_deref()
    }

    /// Drops the encoded lists and notifies the watchers.
    pub(super) fn notify_changed(&self) {
        let mut encoded = self.encoded.borrow_mut();
        (encoded.full_snapshot, encoded.change_lists) = (None, Vec::new());
        self.changes.send_modify(|count| *count += 1);
    }

    /// Notified of each change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// The number of watchers, and how many lists were encoded for them in total.
    pub fn watchers_and_encodings(&self) -> (usize, u64) {
        (self.changes.receiver_count(), self.encoded.borrow().encodings)
    }

    /// The encoded changes after version `after`, or `None` if there are none. A full snapshot if `after` is
    /// `None` or earlier than `history_start`, up to which changes may be missing from the logs.
    pub(super) fn encode(&self, after: Option<u64>, history_start: u64, logs: &[&Log]) -> Option<Bytes> {
        let mut encoded = self.encoded.borrow_mut();
        let Some(after) = after.filter(|after| *after >= history_start) else {
            if let Some(full_snapshot) = &encoded.full_snapshot {
                return Some(full_snapshot.clone());
            }
            let full_snapshot =
                encode_entries(true, logs.iter().flat_map(|log| log.listed()).map(|entry| &entry.json));
            encoded.encodings += 1;
            encoded.full_snapshot = Some(full_snapshot.clone());
            return Some(full_snapshot);
        };
        let first = logs
            .iter()
            .filter_map(|log| log.changes_after(after).next())
            .map(|((index, _), _)| *index)
            .min()?;
        if let Some((_, cached)) = encoded.change_lists.iter().find(|(index, _)| *index == first) {
            return Some(cached.clone());
        }
        let changes = logs.iter().flat_map(|log| log.changes_after(after)).map(|(_, entry)| &entry.json);
        let changes = encode_entries(false, changes);
        encoded.encodings += 1;
        if encoded.change_lists.len() < MAX_CACHED_CHANGE_LISTS {
            encoded.change_lists.push((first, changes.clone()));
        }
        Some(changes)
    }
}

/// Encodes a response body without its version.
fn encode_entries<'a>(full_snapshot: bool, entries: impl Iterator<Item = &'a Bytes>) -> Bytes {
    let mut json = BytesMut::from(format!("\"snapshot\":{full_snapshot},\"endpoints\":[").as_bytes());
    for (n, entry) in entries.enumerate() {
        if n > 0 {
            json.extend_from_slice(b",");
        }
        json.extend_from_slice(entry);
    }
    json.extend_from_slice(b"]}");
    json.freeze()
}
