//! Identities of the requests that were forwarded recently, by this balancer or by another process of the same
//! client proxy.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::{Millis, RequestId};

/// How long an identity is remembered: longer than a client waits for a response and then comes again.
const REMEMBERED_TIME: Millis = 10_000.0;
/// Identities that are remembered at most; beyond that the oldest are forgotten.
const MAX_IDENTITIES: usize = 4_096;

/// See the module documentation.
#[derive(Debug, Default)]
pub(crate) struct ForwardedRequests {
    /// The request of this balancer that was forwarded under each identity; `None` if another process forwarded it.
    owners: BTreeMap<u64, Option<RequestId>>,
    /// The same identities, and when each was added; the oldest first. One that has been removed may still be here.
    added: VecDeque<(Millis, u64)>,
}

impl ForwardedRequests {
    /// Whether a request with this identity was forwarded that is not `id`.
    pub(crate) fn is_forwarded_by_other(&self, identity: u64, id: RequestId) -> bool {
        self.owners.get(&identity).is_some_and(|owner| *owner != Some(id))
    }

    /// Remembers a forwarded request; returns whether it is new.
    pub(crate) fn add(&mut self, identity: u64, owner: Option<RequestId>, now: Millis) -> bool {
        self.forget_old(now);
        if self.owners.contains_key(&identity) {
            return false;
        }
        self.owners.insert(identity, owner);
        self.added.push_back((now, identity));
        true
    }

    /// Forgets a request of this balancer that was certainly not executed.
    pub(crate) fn remove(&mut self, identity: u64, id: RequestId) {
        if self.owners.get(&identity) == Some(&Some(id)) {
            self.owners.remove(&identity);
            self.added.retain(|(_, added)| *added != identity);
        }
    }

    /// All identities of requests of this balancer.
    pub(crate) fn own(&self) -> impl Iterator<Item = u64> {
        self.owners.iter().filter(|(_, owner)| owner.is_some()).map(|(identity, _)| *identity)
    }

    fn forget_old(&mut self, now: Millis) {
        let is_old = |at: &Millis| *at + REMEMBERED_TIME <= now;
        while self.added.len() >= MAX_IDENTITIES || self.added.front().is_some_and(|(at, _)| is_old(at)) {
            let Some((_, identity)) = self.added.pop_front() else { return };
            self.owners.remove(&identity);
        }
    }
}

#[cfg(test)]
mod tests;
