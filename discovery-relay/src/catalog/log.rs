//! A compacted change log: each endpoint once, at the version of its last change.

use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;
use std::rc::Rc;
use std::time::Duration;

use super::{Entry, TombstoneRetention};

/// A position in the log: a version, and the order of changes within it.
pub(super) type Position = (u64, u64);

/// See the module documentation.
#[derive(Default)]
pub(super) struct Log {
    /// All changes after this version are known. For an earlier version only a full snapshot is correct.
    history_start: u64,
    by_position: BTreeMap<Position, Entry>,
    /// The position of each endpoint, by name.
    positions: HashMap<Rc<str>, Position>,
    /// The positions of removed endpoints, in the order of their removal, and when they were removed.
    tombstones: BTreeMap<Position, Duration>,
    last_sequence: u64,
}

impl Log {
    /// Changes up to this version may be missing from the log.
    pub(super) fn limit_history(&mut self, index: u64) {
        self.history_start = self.history_start.max(index);
    }

    /// The version after which all changes are known.
    pub(super) fn history_start(&self) -> u64 {
        self.history_start
    }

    pub(super) fn len(&self) -> usize {
        self.by_position.len()
    }

    /// Whether an endpoint is listed, that is, known and not removed.
    pub(super) fn is_listed(&self, name: &str) -> bool {
        self.get(name).is_some_and(|entry| !entry.is_removed)
    }

    pub(super) fn get(&self, name: &str) -> Option<&Entry> {
        self.by_position.get(self.positions.get(name)?)
    }

    pub(super) fn listed(&self) -> impl Iterator<Item = &Entry> {
        self.by_position.values().filter(|entry| !entry.is_removed)
    }

    pub(super) fn put(&mut self, entry: Entry, index: u64, now: Duration) {
        self.last_sequence += 1;
        let position = (index, self.last_sequence);
        if let Some(previous) = self.positions.insert(Rc::clone(&entry.name), position) {
            self.by_position.remove(&previous);
            self.tombstones.remove(&previous);
        }
        if entry.is_removed {
            self.tombstones.insert(position, now);
        }
        self.by_position.insert(position, entry);
    }

    /// Moves all entries to this version, so that each counts as changed there, and drops the tombstones.
    pub(super) fn renumber(&mut self, index: u64) {
        let entries = std::mem::take(&mut self.by_position);
        (self.positions, self.tombstones) = Default::default();
        for entry in entries.into_values().filter(|entry| !entry.is_removed) {
            self.put(entry, index, Duration::ZERO);
        }
        self.history_start = index;
    }

    /// Drops tombstones that are too old or too many. Returns their names.
    pub(super) fn expire_tombstones(&mut self, retention: TombstoneRetention, now: Duration) -> Vec<Rc<str>> {
        let mut dropped = Vec::new();
        while let Some((&position, &removed_at)) = self.tombstones.first_key_value() {
            if self.tombstones.len() <= retention.max_per_service && removed_at + retention.max_age > now {
                break;
            }
            self.tombstones.remove(&position);
            if let Some(entry) = self.by_position.remove(&position) {
                self.positions.remove(&entry.name);
                dropped.push(entry.name);
            }
            self.history_start = self.history_start.max(position.0);
        }
        dropped
    }

    /// Drops the tombstone of an endpoint, if it has one.
    pub(super) fn drop_tombstone(&mut self, name: &str) {
        let Some(&position) =
            self.positions.get(name).filter(|position| self.tombstones.contains_key(position))
        else {
            return;
        };
        self.positions.remove(name);
        self.by_position.remove(&position);
        self.tombstones.remove(&position);
        self.history_start = self.history_start.max(position.0);
    }

    /// The changes after this version, in order.
    pub(super) fn changes_after(&self, after: u64) -> impl Iterator<Item = (&Position, &Entry)> {
        self.by_position.range((Bound::Excluded((after, u64::MAX)), Bound::Unbounded))
    }
}
