//! The relay's copy of the endpoint list, without I/O and without a clock: the entries as discovery sent
//! them, a compacted change log per service, and the encoded responses of each scope, shared by its watchers.

mod entry;
mod log;
mod scope;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;

use self::log::Log;

pub(crate) use self::entry::Entry;
pub use self::entry::Update;
pub use self::scope::Scope;

/// A full snapshot that removes more than one in this many of the known endpoints has to be confirmed by a
/// second one.
const SUSPICIOUS_SHRINK_FACTOR: usize = 2;
/// A snapshot that removes fewer endpoints than this needs no confirmation: a small service may well lose
/// half of its endpoints in normal operation.
const MIN_SUSPICIOUS_SHRINK: usize = 8;

/// The result of [`Catalog::apply`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The update was applied and has changed this many endpoints.
    Changed(usize),
    /// The update was not applied: it is a full snapshot that would remove most of the known endpoints. The
    /// next full snapshot is applied whatever it contains.
    AwaitingConfirmation,
}

/// The result of [`Catalog::list_after`].
#[derive(Debug)]
pub enum CatalogResponse {
    /// A full snapshot or a list of changes.
    List(EncodedList),
    /// There are no changes after the downstream's version.
    Unchanged,
    /// The downstream has a newer version than the catalog.
    Behind,
}

/// An encoded response body: a head with the version, and a tail that many responses share.
#[derive(Clone, Debug)]
pub struct EncodedList {
    /// The version that the downstream has after this response.
    pub index: u64,
    /// Everything but the version.
    pub tail: Bytes,
}

impl EncodedList {
    /// An empty list of changes.
    pub fn unchanged(index: u64) -> EncodedList {
        EncodedList { index, tail: Bytes::from_static(br#""snapshot":false,"endpoints":[]}"#) }
    }

    /// The part before the tail.
    pub fn head(&self) -> Bytes {
        format!("{{\"index\":{},", self.index).into()
    }
}

/// For how long removed endpoints are remembered, so that a downstream with an older version can still be
/// sent their removal as a change.
#[derive(Clone, Copy, Debug)]
pub struct TombstoneRetention {
    /// The maximum number of tombstones of one service.
    pub max_per_service: usize,
    /// The maximum time since the removal.
    pub max_age: Duration,
}

/// See the module documentation.
pub struct Catalog {
    retention: TombstoneRetention,
    /// The current version; `None` before the first full snapshot.
    index: Option<u64>,
    /// The highest version served before the source was reset to a lower one.
    max_index_before_reset: Option<u64>,
    /// Whether the last full snapshot was not applied and awaits confirmation.
    awaits_confirmation: bool,
    endpoint_count: usize,
    all_services: Log,
    services: HashMap<Rc<str>, Service>,
    /// The scopes of the configuration, by name.
    configured_scopes: HashMap<Rc<str>, Rc<Scope>>,
    /// The same scopes, by the services that they contain.
    scopes_by_service: HashMap<Rc<str>, Vec<Rc<Scope>>>,
    full_scope: Rc<Scope>,
}

struct Service {
    log: Log,
    /// The scope of this service alone, created on its first request.
    own_scope: Option<Rc<Scope>>,
    /// The scopes of the configuration that contain it.
    scopes: Vec<Rc<Scope>>,
}

impl Catalog {
    /// Starts without a list. `scopes` has the services of each configured scope, by the scope's name.
    pub fn new(
        retention: TombstoneRetention,
        scopes: impl IntoIterator<Item = (String, Vec<String>)>,
    ) -> Catalog {
        let (mut configured_scopes, mut scopes_by_service) =
            (HashMap::new(), HashMap::<Rc<str>, Vec<Rc<Scope>>>::new());
        for (name, services) in scopes {
            let services = services.iter().map(|service| service.to_ascii_lowercase().into());
            let services: BTreeSet<Rc<str>> = services.collect();
            let scope = Rc::new(Scope::new(services.iter().cloned().collect()));
            for service in services {
                scopes_by_service.entry(service).or_default().push(Rc::clone(&scope));
            }
            configured_scopes.insert(name.to_ascii_lowercase().into(), scope);
        }
        Catalog {
            retention,
            index: None,
            max_index_before_reset: None,
            awaits_confirmation: false,
            endpoint_count: 0,
            all_services: Log::default(),
            services: HashMap::new(),
            configured_scopes,
            scopes_by_service,
            full_scope: Rc::new(Scope::all_services()),
        }
    }

    /// The current version; `None` before the first full snapshot.
    pub fn index(&self) -> Option<u64> {
        self.index
    }

    /// The number of endpoints in the current list.
    pub fn endpoint_count(&self) -> usize {
        self.endpoint_count
    }

    /// The scope of all services.
    pub fn full_scope(&self) -> Rc<Scope> {
        Rc::clone(&self.full_scope)
    }

    /// The configured scope or the service of this name, if there is one. Names come from an authority,
    /// without its port.
    pub fn scope(&mut self, name: &str) -> Option<Rc<Scope>> {
        let name = name.to_ascii_lowercase();
        if let Some(scope) = self.configured_scopes.get(name.as_str()) {
            return Some(Rc::clone(scope));
        }
        let (name, service) = self.services.get_key_value(name.as_str())?;
        let (name, own_scope) = (Rc::clone(name), service.own_scope.clone());
        let own_scope = own_scope.unwrap_or_else(|| Rc::new(Scope::new(vec![Rc::clone(&name)])));
        if let Some(service) = self.services.get_mut(&name) {
            service.own_scope = Some(Rc::clone(&own_scope));
        }
        Some(own_scope)
    }

    /// Applies a response that the session has accepted, and notifies the watchers of the scopes that it
    /// changes.
    pub fn apply(&mut self, update: Update, now: Duration) -> ApplyOutcome {
        let Update { index, full_snapshot, entries, .. } = update;
        // A source that has lost its list sends a snapshot without most endpoints. Passing it on at once
        // would make the whole fleet lose its endpoints, so a second snapshot has to confirm it first.
        if full_snapshot && !self.awaits_confirmation && self.is_suspicious_shrink(&entries) {
            self.awaits_confirmation = true;
            return ApplyOutcome::AwaitingConfirmation;
        }
        if full_snapshot {
            self.awaits_confirmation = false;
        }
        let previous = self.index.replace(index);
        if let Some(previous) = previous.filter(|previous| index < *previous) {
            self.reset_version(previous, index, now);
        }
        let mut affected = Affected::default();
        if full_snapshot {
            self.remove_absent(&entries, index, now, &mut affected);
        }
        let mut changed = 0;
        for entry in entries {
            changed += usize::from(self.put(entry, index, now, &mut affected));
        }
        if previous.is_none() {
            // Changes before the first list are not known.
            self.all_services.limit_history(index);
            self.services.values_mut().for_each(|service| service.log.limit_history(index));
        }
        changed += affected.removed;
        if changed > 0 || previous.is_none() {
            self.notify(&affected);
        }
        ApplyOutcome::Changed(changed)
    }

    fn is_suspicious_shrink(&self, entries: &[Entry]) -> bool {
        let remaining = entries
            .iter()
            .filter(|entry| !entry.is_removed && self.all_services.is_listed(&entry.name))
            .count();
        let removed = self.endpoint_count.saturating_sub(remaining);
        removed >= MIN_SUSPICIOUS_SHRINK && removed > self.endpoint_count / SUSPICIOUS_SHRINK_FACTOR
    }

    /// Handles a source that was reset from version `previous` to the lower version `index`. Versions up to
    /// `previous` can no longer be compared, so every entry counts as changed at `index`.
    fn reset_version(&mut self, previous: u64, index: u64, now: Duration) {
        self.max_index_before_reset = self.max_index_before_reset.max(Some(previous));
        self.all_services.renumber(index);
        self.services.values_mut().for_each(|service| service.log.renumber(index));
        self.full_scope.notify_changed();
        for service in self.services.values() {
            service.own_scope.iter().chain(&service.scopes).for_each(|scope| scope.notify_changed());
        }
        self.expire_tombstones(now);
    }

    /// Removes every endpoint that a full snapshot does not contain.
    fn remove_absent(&mut self, entries: &[Entry], index: u64, now: Duration, affected: &mut Affected) {
        let present: HashSet<&str> = entries.iter().map(|entry| &*entry.name).collect();
        let absent = self.all_services.listed().filter(|entry| !present.contains(&*entry.name));
        let absent: Vec<Entry> = absent.map(Entry::tombstone).collect();
        affected.removed = absent.len();
        for entry in absent {
            self.put(entry, index, now, affected);
        }
    }

    /// Adds or updates an entry. Returns whether that changes anything.
    fn put(&mut self, entry: Entry, index: u64, now: Duration, affected: &mut Affected) -> bool {
        let current = self.all_services.get(&entry.name);
        let was_listed = current.is_some_and(|current| !current.is_removed);
        let is_same = current.is_some_and(|current| current.is_equivalent(&entry));
        // The removal of an unknown endpoint is of no interest to anyone.
        if is_same || (entry.is_removed && current.is_none()) {
            return false;
        }
        self.endpoint_count = self.endpoint_count + usize::from(!entry.is_removed) - usize::from(was_listed);
        if !self.services.contains_key(&entry.service) {
            let scopes = self.scopes_by_service.get(&entry.service).cloned().unwrap_or_default();
            let mut log = Log::default();
            // The service may have had endpoints before, whose tombstones have been dropped.
            log.limit_history(self.all_services.history_start());
            let service = Service { log, own_scope: None, scopes };
            self.services.insert(Rc::clone(&entry.service), service);
        }
        if let Some(service) = self.services.get_mut(&entry.service) {
            affected.services.insert(Rc::clone(&entry.service));
            service.log.put(entry.clone(), index, now);
        }
        self.all_services.put(entry, index, now);
        true
    }

    fn notify(&self, affected: &Affected) {
        self.full_scope.notify_changed();
        for service in affected.services.iter().filter_map(|name| self.services.get(name)) {
            service.own_scope.iter().chain(&service.scopes).for_each(|scope| scope.notify_changed());
        }
    }

    /// Drops tombstones beyond the retention, and services of which nothing is left.
    pub fn expire_tombstones(&mut self, now: Duration) {
        let retention = self.retention;
        let dropped: Vec<Rc<str>> = self
            .services
            .values_mut()
            .flat_map(|service| service.log.expire_tombstones(retention, now))
            .collect();
        dropped.iter().for_each(|name| self.all_services.drop_tombstone(name));
        // An empty service is kept while it is watched, so that its watchers are notified when it returns.
        let is_watched = |scope: &Rc<Scope>| scope.watchers_and_encodings().0 > 0;
        self.services
            .retain(|_, service| service.log.len() > 0 || service.own_scope.as_ref().is_some_and(is_watched));
    }

    /// The response for a downstream that has version `after`, or no list at all.
    pub fn list_after(&self, scope: &Scope, after: Option<u64>) -> CatalogResponse {
        let Some(index) = self.index else { return CatalogResponse::Behind };
        let after = match after {
            // A version from before the source was reset cannot be compared: this needs a full snapshot.
            Some(after) if after > index && self.max_index_before_reset.is_some_and(|max| after <= max) => {
                None
            }
            Some(after) if after > index => return CatalogResponse::Behind,
            after => after,
        };
        let logs = self.logs(scope);
        // A service without a log may have had endpoints before, whose tombstones have been dropped.
        let has_all_logs = scope.services().is_none_or(|services| services.len() == logs.len());
        let history_start = logs
            .iter()
            .map(|log| log.history_start())
            .chain((!has_all_logs).then(|| self.all_services.history_start()))
            .max();
        let tail = scope.encode(after, history_start.unwrap_or(0), &logs);
        tail.map_or(CatalogResponse::Unchanged, |tail| CatalogResponse::List(EncodedList { index, tail }))
    }

    fn logs<'a>(&'a self, scope: &Scope) -> Vec<&'a Log> {
        match scope.services() {
            None => vec![&self.all_services],
            Some(services) => {
                services.iter().filter_map(|name| Some(&self.services.get(name)?.log)).collect()
            }
        }
    }
}

/// What an update has changed.
#[derive(Default)]
struct Affected {
    services: HashSet<Rc<str>>,
    removed: usize,
}

#[cfg(test)]
mod tests;
