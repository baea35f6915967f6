//! What a relay holds of the list, without I/O and without a clock: entries as discovery wrote them, a
//! compacted log of their changes for each service, and what each scope's watchers are told, encoded once.

mod log;
mod scope;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use discovery_proto::EndpointListError;
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;

use self::log::Log;
pub use self::scope::Scope;

/// An entry is one line of a list; one that is longer is none.
const MAX_ENTRY_LENGTH: usize = 4 * 1024;
/// A whole list that takes out more than one in so many of what is held has to be said twice.
const SUSPICIOUS_SHRINK_FACTOR: usize = 2;
/// Fewer than this may go at once: small lists shrink by halves in ordinary service.
const MIN_SUSPICIOUS_SHRINK: usize = 8;

/// What was read of an answer of the source.
pub struct Update {
    /// The version that it brings the list to.
    pub index: u64,
    /// It is the whole list.
    pub whole: bool,
    /// ParsedEntries that could not be read.
    pub unreadable: usize,
    entries: Vec<Entry>,
}

impl Update {
    /// Reads the body of an answer.
    ///
    /// # Errors
    /// Where it is no list.
    pub fn read(body: &[u8]) -> Result<Update, EndpointListError> {
        #[derive(Deserialize)]
        struct List<'a> {
            index: u64,
            #[serde(default)]
            snapshot: bool,
            #[serde(borrow)]
            endpoints: Vec<&'a RawValue>,
        }
        let List { index, snapshot: whole, endpoints } = serde_json::from_slice(body)?;
        let entries: Vec<Entry> = endpoints.iter().filter_map(|raw| Entry::read(raw.get())).collect();
        let unreadable = endpoints.len() - entries.len();
        if whole && unreadable > 0 && entries.is_empty() {
            return Err(EndpointListError::NoReadableEntries);
        }
        Ok(Update { index, whole, unreadable, entries })
    }

    /// ParsedEntries that could be read.
    pub fn readable(&self) -> usize {
        self.entries.len()
    }
}

/// An endpoint, as discovery wrote it.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    name: Rc<str>,
    service: Rc<str>,
    text: Bytes,
    gone: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum Status {
    Serving,
    Draining,
    Deleted,
}

impl Entry {
    /// Nothing where its name or state cannot be read: the rest is for who uses it.
    fn read(text: &str) -> Option<Entry> {
        #[derive(Deserialize)]
        struct Head {
            name: String,
            status: Status,
        }
        let head: Head = (text.len() <= MAX_ENTRY_LENGTH).then(|| serde_json::from_str(text).ok())??;
        let (service, name) = (service_of(&head.name).into(), head.name.into());
        let text = Bytes::copy_from_slice(text.as_bytes());
        Some(Entry { name, service, text, gone: matches!(head.status, Status::Deleted) })
    }

    /// The word that it is gone, for one that a whole list no longer has.
    fn deleted(&self) -> Entry {
        let mut said: serde_json::Map<String, Value> = serde_json::from_slice(&self.text).unwrap_or_default();
        said.insert("name".into(), (*self.name).into());
        said.insert("status".into(), "DELETED".into());
        Entry { text: Value::Object(said).to_string().into(), gone: true, ..self.clone() }
    }

    /// Whether both say the same, however it is spaced and ordered.
    fn says_the_same(&self, other: &Entry) -> bool {
        let parsed = |entry: &Entry| serde_json::from_slice::<Value>(&entry.text).ok();
        self.text == other.text || parsed(self) == parsed(other)
    }
}

/// The service of an endpoint: its name up to the last `-`, in lower case as authorities are compared.
fn service_of(name: &str) -> String {
    name.rsplit_once('-').map_or(name, |(service, _)| service).to_ascii_lowercase()
}

/// What became of an answer of the source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// So many endpoints have changed.
    Changed(usize),
    /// A whole list that takes out most of what is held: it counts when it is said again.
    AwaitingConfirmation,
}

/// What a caller is to be told.
#[derive(Debug)]
pub enum CatalogAnswer {
    /// This.
    News(EncodedList),
    /// Nothing is newer than the version that the caller holds.
    Nothing,
    /// The caller holds a newer version.
    Behind,
}

/// An answer: a head with the version, and the rest, which many answers share.
#[derive(Clone, Debug)]
pub struct EncodedList {
    /// The version that the caller holds from then on.
    pub index: u64,
    /// All but the version.
    pub rest: Bytes,
}

impl EncodedList {
    /// Nothing is newer.
    pub fn nothing(index: u64) -> EncodedList {
        EncodedList { index, rest: Bytes::from_static(br#""snapshot":false,"endpoints":[]}"#) }
    }

    /// What comes before the rest.
    pub fn head(&self) -> Bytes {
        format!("{{\"index\":{},", self.index).into()
    }
}

/// Names that are gone are kept so many a service, and so long, for who asks from before.
#[derive(Clone, Copy, Debug)]
pub struct TombstoneRetention {
    /// A service.
    pub most: usize,
    /// Since they went.
    pub long: Duration,
}

/// See the module documentation.
pub struct Catalog {
    keep: TombstoneRetention,
    /// The version held; nothing before the first whole list.
    index: Option<u64>,
    /// The greatest version told before the source was set back.
    before_set_back: Option<u64>,
    /// The last whole list was doubted.
    doubted: bool,
    listed: usize,
    everything: Log,
    services: HashMap<Rc<str>, Service>,
    /// Those of the configuration, and by the services that they hold.
    named: HashMap<Rc<str>, Rc<Scope>>,
    holding: HashMap<Rc<str>, Vec<Rc<Scope>>>,
    whole: Rc<Scope>,
}

struct Service {
    log: Log,
    /// Of this service alone; made when somebody asks for it.
    own: Option<Rc<Scope>>,
    /// Those of the configuration that it belongs to.
    scopes: Vec<Rc<Scope>>,
}

impl Catalog {
    /// Holds nothing yet. Scopes: by name, the services of each.
    pub fn new(keep: TombstoneRetention, scopes: impl IntoIterator<Item = (String, Vec<String>)>) -> Catalog {
        let (mut named, mut holding) = (HashMap::new(), HashMap::<Rc<str>, Vec<Rc<Scope>>>::new());
        for (name, services) in scopes {
            let services = services.iter().map(|service| service.to_ascii_lowercase().into());
            let services: BTreeSet<Rc<str>> = services.collect();
            let scope = Rc::new(Scope::of(services.iter().cloned().collect()));
            for service in services {
                holding.entry(service).or_default().push(Rc::clone(&scope));
            }
            named.insert(name.to_ascii_lowercase().into(), scope);
        }
        Catalog {
            keep,
            index: None,
            before_set_back: None,
            doubted: false,
            listed: 0,
            everything: Log::default(),
            services: HashMap::new(),
            named,
            holding,
            whole: Rc::new(Scope::everything()),
        }
    }

    /// The version held; nothing before the first whole list.
    pub fn index(&self) -> Option<u64> {
        self.index
    }

    /// Endpoints listed.
    pub fn listed(&self) -> usize {
        self.listed
    }

    /// The scope of all services.
    pub fn whole(&self) -> Rc<Scope> {
        Rc::clone(&self.whole)
    }

    /// The scope that an authority names, port left out; nothing where none does.
    pub fn scope(&mut self, name: &str) -> Option<Rc<Scope>> {
        let name = name.to_ascii_lowercase();
        if let Some(scope) = self.named.get(name.as_str()) {
            return Some(Rc::clone(scope));
        }
        let (name, service) = self.services.get_key_value(name.as_str())?;
        let (name, own) = (Rc::clone(name), service.own.clone());
        let own = own.unwrap_or_else(|| Rc::new(Scope::of(vec![Rc::clone(&name)])));
        if let Some(service) = self.services.get_mut(&name) {
            service.own = Some(Rc::clone(&own));
        }
        Some(own)
    }

    /// Takes in an answer of the source, which the session has found sound, and wakes whom it concerns.
    pub fn take(&mut self, update: Update, now: Duration) -> ApplyOutcome {
        let Update { index, whole, entries, .. } = update;
        // Guards against a source that has lost its list: nobody is told of a removal that is said but once.
        if whole && !self.doubted && self.shrinks(&entries) {
            self.doubted = true;
            return ApplyOutcome::AwaitingConfirmation;
        }
        if whole {
            self.doubted = false;
        }
        let held = self.index.replace(index);
        if let Some(held) = held.filter(|held| index < *held) {
            self.set_back(held, index, now);
        }
        let mut concerned = Concerned::default();
        if whole {
            self.absent_are_gone(&entries, index, now, &mut concerned);
        }
        let mut changed = 0;
        for entry in entries {
            changed += usize::from(self.put(entry, index, now, &mut concerned));
        }
        if held.is_none() {
            // What came before the first list is not known.
            self.everything.begin(index);
            self.services.values_mut().for_each(|service| service.log.begin(index));
        }
        changed += concerned.gone;
        if changed > 0 || held.is_none() {
            self.wake(&concerned);
        }
        ApplyOutcome::Changed(changed)
    }

    fn shrinks(&self, entries: &[Entry]) -> bool {
        let stay = entries.iter().filter(|entry| !entry.gone && self.everything.has(&entry.name)).count();
        let gone = self.listed.saturating_sub(stay);
        gone >= MIN_SUSPICIOUS_SHRINK && gone > self.listed / SUSPICIOUS_SHRINK_FACTOR
    }

    /// All that is held counts as changed at `index`: versions up to `held` mean something else by now.
    fn set_back(&mut self, held: u64, index: u64, now: Duration) {
        self.before_set_back = self.before_set_back.max(Some(held));
        self.everything.renumber(index);
        self.services.values_mut().for_each(|service| service.log.renumber(index));
        self.whole.changed();
        for service in self.services.values() {
            service.own.iter().chain(&service.scopes).for_each(|scope| scope.changed());
        }
        self.forget(now);
    }

    /// Whoever a whole list does not name is gone.
    fn absent_are_gone(&mut self, entries: &[Entry], index: u64, now: Duration, concerned: &mut Concerned) {
        let named: HashSet<&str> = entries.iter().map(|entry| &*entry.name).collect();
        let absent = self.everything.listed().filter(|entry| !named.contains(&*entry.name));
        let absent: Vec<Entry> = absent.map(Entry::deleted).collect();
        concerned.gone = absent.len();
        for entry in absent {
            self.put(entry, index, now, concerned);
        }
    }

    /// Whether it says anything new.
    fn put(&mut self, entry: Entry, index: u64, now: Duration, concerned: &mut Concerned) -> bool {
        let held = self.everything.get(&entry.name);
        let was = held.is_some_and(|held| !held.gone);
        let same = held.is_some_and(|held| held.says_the_same(&entry));
        // Who has never heard of it needs not hear that it is gone.
        if same || (entry.gone && held.is_none()) {
            return false;
        }
        self.listed = self.listed + usize::from(!entry.gone) - usize::from(was);
        if !self.services.contains_key(&entry.service) {
            let scopes = self.holding.get(&entry.service).cloned().unwrap_or_default();
            let mut log = Log::default();
            // Names that it had once may have been dropped since.
            log.begin(self.everything.begins());
            let service = Service { log, own: None, scopes };
            self.services.insert(Rc::clone(&entry.service), service);
        }
        if let Some(service) = self.services.get_mut(&entry.service) {
            concerned.services.insert(Rc::clone(&entry.service));
            service.log.put(entry.clone(), index, now);
        }
        self.everything.put(entry, index, now);
        true
    }

    fn wake(&self, concerned: &Concerned) {
        self.whole.changed();
        for service in concerned.services.iter().filter_map(|name| self.services.get(name)) {
            service.own.iter().chain(&service.scopes).for_each(|scope| scope.changed());
        }
    }

    /// Drops the names that have been gone for long, and the services that have none left.
    pub fn forget(&mut self, now: Duration) {
        let keep = self.keep;
        let dropped: Vec<Rc<str>> =
            self.services.values_mut().flat_map(|service| service.log.forget(keep, now)).collect();
        dropped.iter().for_each(|name| self.everything.drop_gone(name));
        // Who still watches a service that nothing is left of hears of it when it comes back.
        let watched = |own: &Rc<Scope>| own.watched().0 > 0;
        self.services.retain(|_, service| service.log.len() > 0 || service.own.as_ref().is_some_and(watched));
    }

    /// What a caller that holds version `after` is told; one that holds nothing is told all.
    pub fn tell(&self, scope: &Scope, after: Option<u64>) -> CatalogAnswer {
        let Some(index) = self.index else { return CatalogAnswer::Behind };
        let after = match after {
            // Versions from before the source was set back mean nothing here.
            Some(after) if after > index && self.before_set_back.is_some_and(|most| after <= most) => None,
            Some(after) if after > index => return CatalogAnswer::Behind,
            after => after,
        };
        let logs = self.logs(scope);
        // A service that nothing is left of may have had names that were dropped since.
        let known = scope.services().is_none_or(|services| services.len() == logs.len());
        let begins =
            logs.iter().map(|log| log.begins()).chain((!known).then(|| self.everything.begins())).max();
        let rest = scope.told(after, begins.unwrap_or(0), &logs);
        rest.map_or(CatalogAnswer::Nothing, |rest| CatalogAnswer::News(EncodedList { index, rest }))
    }

    fn logs<'a>(&'a self, scope: &Scope) -> Vec<&'a Log> {
        match scope.services() {
            None => vec![&self.everything],
            Some(services) => {
                services.iter().filter_map(|name| Some(&self.services.get(name)?.log)).collect()
            }
        }
    }
}

/// Whom an answer of the source concerns.
#[derive(Default)]
struct Concerned {
    services: HashSet<Rc<str>>,
    gone: usize,
}

#[cfg(test)]
mod tests;
