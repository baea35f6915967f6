//! When operators put endpoints back, by the machine's monotonic clock: between two processes of an upgrade
//! the wall clock may be stepped, and an endpoint must not be warm at once or cold for an hour by that.

use std::collections::BTreeMap;

use balancer::Millis;
use serde::{Deserialize, Serialize};

/// Times by the endpoints' names.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EnabledTimes {
    /// The boot whose monotonic clock it is: another one counts from elsewhere.
    #[serde(default)]
    boot_id: Option<String>,
    #[serde(default)]
    #[serde(rename = "at")]
    by_endpoint: BTreeMap<String, Millis>,
}

impl EnabledTimes {
    /// When that endpoint was put back.
    pub fn get(&self, name: &str) -> Option<Millis> {
        self.by_endpoint.get(name).copied()
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = (&str, Millis)> {
        self.by_endpoint.iter().map(|(name, at)| (name.as_str(), *at))
    }

    /// An endpoint is put back.
    pub fn insert(&mut self, name: &str, at: Millis) {
        self.by_endpoint.insert(name.to_owned(), at);
    }

    /// An endpoint is taken out again.
    pub fn remove(&mut self, name: &str) {
        self.by_endpoint.remove(name);
    }

    /// Forgets what is earlier than `at`.
    pub fn forget_before(&mut self, at: Millis) {
        self.by_endpoint.retain(|_, enabled_at| *enabled_at > at);
    }

    /// Makes what was read from the file hold for this process, at `now`: `unix` are the times by the wall
    /// clock, which each version of the program writes, and `known` is both as this process had them before.
    /// An endpoint without a time by the clock of this boot was put back just now, at the latest: it is cold
    /// from when that was read first.
    pub fn reconcile(
        &mut self,
        unix_ms: &BTreeMap<String, f64>,
        known: (&BTreeMap<String, f64>, &EnabledTimes),
        boot_id: Option<&str>,
        now: Millis,
    ) {
        let is_this_boot = boot_id.is_some() && self.boot_id.as_deref() == boot_id;
        let stored = std::mem::take(&mut self.by_endpoint);
        for (name, enabled_at) in unix_ms {
            let from_file = stored.get(name).copied().filter(|at| is_this_boot && *at <= now);
            let from_memory = known.1.get(name).filter(|_| known.0.get(name) == Some(enabled_at));
            self.by_endpoint.insert(name.clone(), from_file.or(from_memory).unwrap_or(now));
        }
        self.boot_id = boot_id.map(str::to_owned);
    }
}

#[cfg(test)]
mod tests;
