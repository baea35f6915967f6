//! Parsing of the source's responses: an endpoint's entry, and the update that a response is.

use std::rc::Rc;

use bytes::Bytes;
use discovery_proto::EndpointListError;
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;

/// The maximum length of an entry, which is one JSON object. A longer one counts as unreadable.
pub(super) const MAX_ENTRY_LENGTH: usize = 4 * 1024;

/// A parsed response of the source.
pub struct Update {
    /// The version that the list has after this response.
    pub index: u64,
    /// Whether it is a full snapshot.
    pub full_snapshot: bool,
    /// The number of entries that could not be parsed.
    pub unreadable: usize,
    pub(super) entries: Vec<Entry>,
}

impl Update {
    /// Parses the body of a response.
    ///
    /// # Errors
    /// If it is not a usable list.
    pub fn parse(body: &[u8]) -> Result<Update, EndpointListError> {
        #[derive(Deserialize)]
        struct List<'a> {
            index: u64,
            #[serde(default)]
            snapshot: bool,
            #[serde(borrow)]
            endpoints: Vec<&'a RawValue>,
        }
        let List { index, snapshot: full_snapshot, endpoints } = serde_json::from_slice(body)?;
        let entries: Vec<Entry> = endpoints.iter().filter_map(|raw| Entry::parse(raw.get())).collect();
        let unreadable = endpoints.len() - entries.len();
        if full_snapshot && unreadable > 0 && entries.is_empty() {
            return Err(EndpointListError::NoReadableEntries);
        }
        Ok(Update { index, full_snapshot, unreadable, entries })
    }

    /// The number of valid entries.
    pub fn readable(&self) -> usize {
        self.entries.len()
    }
}

/// An endpoint's entry, with its JSON as discovery sent it.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(super) name: Rc<str>,
    pub(super) service: Rc<str>,
    pub(super) json: Bytes,
    pub(super) is_removed: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum Status {
    Serving,
    Draining,
    Deleted,
}

impl Entry {
    /// `None` if the name or the status cannot be parsed. The other fields are checked only by the client
    /// proxy that uses the entry.
    pub(super) fn parse(json: &str) -> Option<Entry> {
        #[derive(Deserialize)]
        struct Head {
            name: String,
            status: Status,
        }
        let head: Head = (json.len() <= MAX_ENTRY_LENGTH).then(|| serde_json::from_str(json).ok())??;
        let (service, name) = (service_of(&head.name).into(), head.name.into());
        let json = Bytes::copy_from_slice(json.as_bytes());
        Some(Entry { name, service, json, is_removed: matches!(head.status, Status::Deleted) })
    }

    /// The entry that reports the removal of an endpoint that a full snapshot no longer contains.
    pub(super) fn tombstone(&self) -> Entry {
        let mut fields: serde_json::Map<String, Value> =
            serde_json::from_slice(&self.json).unwrap_or_default();
        fields.insert("name".into(), (*self.name).into());
        fields.insert("status".into(), "DELETED".into());
        Entry { json: Value::Object(fields).to_string().into(), is_removed: true, ..self.clone() }
    }

    /// Whether both have the same JSON value, whatever its white space and the order of its fields.
    pub(super) fn is_equivalent(&self, other: &Entry) -> bool {
        let parsed = |entry: &Entry| serde_json::from_slice::<Value>(&entry.json).ok();
        self.json == other.json || parsed(self) == parsed(other)
    }
}

/// The service of an endpoint: its name up to the last `-`, in lower case, since authorities are compared
/// without regard to case.
pub(super) fn service_of(name: &str) -> String {
    name.rsplit_once('-').map_or(name, |(service, _)| service).to_ascii_lowercase()
}
