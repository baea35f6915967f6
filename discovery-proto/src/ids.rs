//! The numeric IDs of endpoint names, and the state that is kept per ID until the ID is released.

use std::cell::RefCell;
use std::collections::HashMap;

use balancer::{EndpointEntry, EndpointId};

use crate::starts::{ReceivedAt, StartTimes};

/// Maps endpoint names to numeric IDs and back, for the lifetime of the process.
#[derive(Default)]
pub struct EndpointIds {
    by_name: RefCell<HashMap<String, EndpointId>>,
    names: RefCell<HashMap<EndpointId, String>>,
    starts: RefCell<StartTimes>,
}

impl EndpointIds {
    /// The ID of a name, if one is assigned.
    pub fn get(&self, name: &str) -> Option<EndpointId> {
        self.by_name.borrow().get(name).copied()
    }

    /// The ID of a name, assigned on first use. It is the FNV-1a hash of the name, so every client proxy gets
    /// the same ID after every restart, except where two names collide.
    pub fn get_or_assign(&self, name: &str) -> EndpointId {
        if let Some(id) = self.get(name) {
            return id;
        }
        let fnv1a = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
        let mut id = EndpointId(name.bytes().fold(0x811c_9dc5, fnv1a));
        while self.names.borrow().contains_key(&id) {
            id = EndpointId(id.0.wrapping_add(1));
        }
        self.names.borrow_mut().insert(id, name.to_owned());
        self.by_name.borrow_mut().insert(name.to_owned(), id);
        id
    }

    /// Releases an ID that nothing refers to any more, with the start time kept for it.
    pub fn release(&self, endpoint: EndpointId) {
        if let Some(name) = self.names.borrow_mut().remove(&endpoint) {
            self.by_name.borrow_mut().remove(&name);
        }
        self.starts.borrow_mut().forget(endpoint);
    }

    /// Translates the start times in a response to the caller's monotonic clock.
    pub(crate) fn translate_response(&self, entries: &mut [EndpointEntry], received: ReceivedAt) {
        self.starts.borrow_mut().translate_response(entries, received);
    }

    /// Translates the start times in a list cached by an earlier process.
    pub(crate) fn translate_cached(&self, entries: &mut [EndpointEntry], received: ReceivedAt) {
        self.starts.borrow_mut().translate_cached(entries, received);
    }
}

#[cfg(test)]
mod tests;
