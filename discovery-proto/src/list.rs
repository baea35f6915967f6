//! Parses endpoint lists in discovery's JSON form into the balancer's entries and into locations for the
//! connections.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use balancer::{EndpointEntry, EndpointId, EndpointState};
use serde::Deserialize;
use serde_json::Value;

use crate::ids::EndpointIds;

/// Where an endpoint is reached, and what decides whether connections to it can be kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointLocation {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// When its process last started, in Unix milliseconds; 0 if discovery does not say, which means long
    /// ago.
    pub since_ms: u64,
    /// Whether it accepts new work; false while it drains.
    pub serving: bool,
}

/// A store of connections to endpoints, such as a connection pool, that has to follow their locations.
pub trait EndpointLocations {
    /// All endpoints that currently have a location.
    fn endpoint_ids(&self) -> Vec<EndpointId>;
    /// Adds an endpoint, or updates its location.
    fn set_location(&self, endpoint: EndpointId, location: EndpointLocation);
    /// Removes an endpoint that discovery no longer lists, or that has no usable address.
    fn remove(&self, endpoint: EndpointId);
}

/// The body of a response of discovery.
#[derive(Deserialize)]
pub struct EndpointList {
    /// The version that the list has after this response.
    pub index: u64,
    /// Whether this is a full snapshot; else it contains only changes.
    #[serde(default)]
    pub snapshot: bool,
    /// The entries. Required: a body without this field is truncated or malformed, not an empty list.
    pub endpoints: Vec<Value>,
}

#[derive(Deserialize)]
struct WireEndpoint {
    name: String,
    /// Required only if the endpoint is serving: nothing else is sent requests.
    address: Option<String>,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "type")]
    kind: String,
    #[serde(default)]
    group: u32,
    status: Status,
    #[serde(default = "default_weight")]
    weight: f64,
    #[serde(default)]
    since_ms: u64,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum Status {
    Serving,
    Draining,
    Deleted,
}

fn default_weight() -> f64 {
    1.0
}

/// The parsed entries of a response.
pub struct ParsedEntries {
    /// Valid entries in the balancer's form, each with the endpoint's location. Start times are still in
    /// discovery's Unix milliseconds.
    pub entries: Vec<(EndpointEntry, Option<EndpointLocation>)>,
    /// One error for each entry that could not be parsed.
    pub errors: Vec<String>,
    raw: BTreeMap<String, Value>,
}

/// Parses endpoint lists and applies them to the store of connections.
pub struct ListReader<P> {
    /// Zone names; a name's position is the balancer's index of the zone.
    pub zones: Vec<String>,
    /// Names of the endpoint kinds, likewise.
    pub kinds: Vec<String>,
    /// The store whose locations follow the list.
    pub endpoints: Rc<P>,
    /// The endpoint IDs.
    pub ids: Rc<EndpointIds>,
    /// The current list by endpoint name, each entry as discovery sent it, for the next process. `None` if
    /// the list is not handed over.
    pub raw_entries: Option<RefCell<BTreeMap<String, Value>>>,
}

impl<P: EndpointLocations> ListReader<P> {
    /// Parses entries. Invalid ones are skipped and reported in [`ParsedEntries::errors`]. Nothing takes
    /// effect before [`ListReader::apply`].
    pub fn parse(&self, endpoints: Vec<Value>) -> ParsedEntries {
        let mut parsed = ParsedEntries {
            entries: Vec::with_capacity(endpoints.len()),
            errors: Vec::new(),
            raw: BTreeMap::new(),
        };
        for value in endpoints {
            let raw = self.raw_entries.as_ref().map(|_| value.clone());
            match self.parse_entry(value) {
                Ok((name, entry, location)) => {
                    if let Some(raw) = raw {
                        parsed.raw.insert(name, raw);
                    }
                    parsed.entries.push((entry, location));
                }
                Err(error) => parsed.errors.push(error),
            }
        }
        parsed
    }

    fn parse_entry(&self, value: Value) -> Result<(String, EndpointEntry, Option<EndpointLocation>), String> {
        let endpoint: WireEndpoint = serde_json::from_value(value).map_err(|error| error.to_string())?;
        if !endpoint.weight.is_finite() || endpoint.weight < 0.0 {
            return Err(format!("{}: invalid weight {}", endpoint.name, endpoint.weight));
        }
        let (phase, serving) = match endpoint.status {
            Status::Serving => (EndpointState::Up, true),
            Status::Draining => (EndpointState::Draining, false),
            Status::Deleted => (EndpointState::Removed, false),
        };
        let address = endpoint.address.as_deref().map(str::parse::<SocketAddr>);
        let location = match address {
            Some(Ok(address)) => Some(EndpointLocation { address, since_ms: endpoint.since_ms, serving }),
            // A drain or removal takes effect even without a valid address: no request is sent there anyway.
            _ if !serving => None,
            None => return Err(format!("{}: missing address", endpoint.name)),
            Some(Err(_)) => return Err(format!("{}: invalid address", endpoint.name)),
        };
        let index_of = |names: &[String], name| names.iter().position(|known| known == name);
        let entry = EndpointEntry {
            endpoint: self.ids.get_or_assign(&endpoint.name),
            // The balancer accepts an index out of range for a zone or kind that the settings do not name.
            zone: index_of(&self.zones, &endpoint.zone).unwrap_or(usize::MAX),
            kind: index_of(&self.kinds, &endpoint.kind).unwrap_or(usize::MAX),
            cell: endpoint.group,
            weight: endpoint.weight,
            started_at: (endpoint.since_ms > 0).then_some(endpoint.since_ms as f64),
            state: phase,
        };
        Ok((endpoint.name, entry, location.filter(|_| phase != EndpointState::Removed)))
    }

    /// Applies parsed entries to the store of connections and to the raw entries. A full snapshot also
    /// removes every endpoint that it does not contain.
    pub fn apply(&self, parsed: ParsedEntries, full_snapshot: bool) -> Vec<EndpointEntry> {
        let ParsedEntries { entries, raw, .. } = parsed;
        if full_snapshot {
            let listed: HashSet<EndpointId> = entries.iter().map(|(entry, _)| entry.endpoint).collect();
            let removed = self.endpoints.endpoint_ids().into_iter().filter(|id| !listed.contains(id));
            removed.for_each(|id| self.endpoints.remove(id));
        }
        for (entry, location) in &entries {
            match location {
                Some(location) => self.endpoints.set_location(entry.endpoint, *location),
                None => self.endpoints.remove(entry.endpoint),
            }
        }
        if let Some(raw_entries) = &self.raw_entries {
            let mut raw_entries = raw_entries.borrow_mut();
            if full_snapshot {
                raw_entries.clear();
            }
            raw_entries.extend(raw);
        }
        entries.into_iter().map(|(entry, _)| entry).collect()
    }
}
