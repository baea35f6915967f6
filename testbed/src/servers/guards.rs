//! What ends with a request's connection.

use super::Server;
use crate::run_context::RunContext;

/// Records the end of an attempt when dropped: after its response, or when its connection has ended.
pub(super) struct AttemptGuard {
    pub(super) attempt: crate::ledger::Attempt,
    pub(super) run: RunContext,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.run.ledger.borrow_mut().end_attempt(self.attempt);
    }
}

/// Cancels a queued request when dropped, if the server stops work whose connection has ended.
pub(super) struct CancelGuard<'s> {
    pub(super) server: &'s Server,
    pub(super) id: Option<u64>,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id.filter(|_| self.server.traits.cancels_abandoned_work) {
            self.server.advance();
            self.server.completions.borrow_mut().remove(&id);
            self.server.model.borrow_mut().cancel(id);
            self.server.changed.notify_one();
        }
    }
}
