//! Translates the start times of endpoints' processes to the caller's monotonic clock. Discovery gives them
//! in Unix time. The caller's wall clock is not used for that, because it may have been stepped. If the age
//! of a process is not known for certain, the smallest possible age is assumed: it is better to keep a
//! process in slow start for too long than to end its slow start too early.

use std::collections::HashMap;

use balancer::{EndpointEntry, EndpointId, EndpointState, Millis};

/// When a response was received.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedAt {
    /// By the caller's monotonic clock.
    pub local: Millis,
    /// By discovery's own clock, in Unix milliseconds, if the response says so: the earliest possible time.
    pub discovery_unix_ms: Option<f64>,
}

/// Translated start times, each kept until its endpoint is forgotten.
#[derive(Debug, Default)]
pub(crate) struct StartTimes {
    known: HashMap<EndpointId, Start>,
    /// A lower bound of discovery's Unix time minus the caller's clock. Updated until the first response has
    /// been translated.
    offset: Option<Millis>,
    /// Set once a response has been translated: a start time that first appears in a later response is then
    /// that of a process that has just started.
    is_following: bool,
}

#[derive(Clone, Copy, Debug)]
struct Start {
    since_ms: f64,
    started: Millis,
}

impl StartTimes {
    /// Translates the start times in a response.
    pub(crate) fn translate_response(&mut self, entries: &mut [EndpointEntry], received: ReceivedAt) {
        self.translate(entries, received);
        self.is_following = true;
    }

    /// Translates the start times in a list cached by an earlier process, which may be old.
    pub(crate) fn translate_cached(&mut self, entries: &mut [EndpointEntry], received: ReceivedAt) {
        self.translate(entries, received);
    }

    pub(crate) fn forget(&mut self, endpoint: EndpointId) {
        self.known.remove(&endpoint);
    }

    fn translate(&mut self, entries: &mut [EndpointEntry], received: ReceivedAt) {
        if !self.is_following {
            self.update_offset(entries, received);
        }
        for entry in entries {
            let Some(since_ms) = entry.started_at else {
                if entry.state != EndpointState::Removed {
                    self.known.remove(&entry.endpoint);
                }
                continue;
            };
            let started = self.started(entry.endpoint, since_ms, received.local);
            entry.started_at = Some(started);
            if entry.state != EndpointState::Removed {
                self.known.insert(entry.endpoint, Start { since_ms, started });
            }
        }
    }

    /// The latest time at which the process can have started. The same process gets the same time in each
    /// response.
    fn started(&self, endpoint: EndpointId, since_ms: f64, now: Millis) -> Millis {
        let known = self.known.get(&endpoint).filter(|start| start.since_ms == since_ms);
        // Never in the future: that would keep the endpoint in slow start for longer than slow start lasts.
        let latest = known.map_or(now, |start| start.started);
        match self.offset {
            // Only for the first response. A start time that appears later is new even if discovery's clock
            // was stepped back, so that its Unix time looks old.
            Some(offset) if !self.is_following => latest.min(since_ms - offset),
            _ => latest,
        }
    }

    /// Discovery's clock has reached at least the time of its response, or else the newest start time in it.
    /// A single newest start time is not trusted: the clock of that endpoint's machine may be ahead. So the
    /// second newest counts.
    fn update_offset(&mut self, entries: &[EndpointEntry], received: ReceivedAt) {
        if let Some(unix_ms) = received.discovery_unix_ms {
            self.offset = Some(unix_ms - received.local);
            return;
        }
        let mut starts: Vec<f64> = entries.iter().filter_map(|entry| entry.started_at).collect();
        starts.sort_by(|a, b| b.total_cmp(a));
        if let Some(second_newest) = starts.get(1) {
            let offset = second_newest - received.local;
            self.offset = Some(self.offset.map_or(offset, |known| known.max(offset)));
        }
    }
}

#[cfg(test)]
mod tests;
