//! When operators enabled endpoints, on the machine's monotonic clock. The wall clock may be stepped between
//! the two processes of an upgrade; by that clock an endpoint's slow start could end at once or last for an
//! hour.

use std::collections::BTreeMap;

use balancer::Millis;
use serde::{Deserialize, Serialize};

/// Times at which endpoints were enabled, by endpoint name.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EnabledTimes {
    /// The boot that the times refer to: the monotonic clock starts anew with each boot.
    #[serde(default)]
    boot_id: Option<String>,
    #[serde(default)]
    #[serde(rename = "at")]
    by_endpoint: BTreeMap<String, Millis>,
}

impl EnabledTimes {
    /// When the endpoint was enabled.
    pub fn get(&self, name: &str) -> Option<Millis> {
        self.by_endpoint.get(name).copied()
    }

    /// All endpoints and times.
    pub fn iter(&self) -> impl Iterator<Item = (&str, Millis)> {
        self.by_endpoint.iter().map(|(name, at)| (name.as_str(), *at))
    }

    /// Records that an endpoint was enabled.
    pub fn insert(&mut self, name: &str, at: Millis) {
        self.by_endpoint.insert(name.to_owned(), at);
    }

    /// Removes an endpoint that is disabled again.
    pub fn remove(&mut self, name: &str) {
        self.by_endpoint.remove(name);
    }

    /// Removes times up to `at`.
    pub fn forget_before(&mut self, at: Millis) {
        self.by_endpoint.retain(|_, enabled_at| *enabled_at > at);
    }

    /// Converts times read from the file at `now` for use by this process. `unix_ms` are the wall-clock
    /// times, which every version of the program writes; `known` are both kinds of times as this process knew
    /// them before. An endpoint that has no time on the clock of this boot counts as enabled when its entry
    /// was first read, which is at or after the actual time, so its slow start is never too short.
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
