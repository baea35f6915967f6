//! What the harness knows of a request and its attempts.

use balancer::*;

/// An attempt that the balancer has sent.
#[derive(Clone, Debug)]
pub struct TrackedAttempt {
    pub sent_at: f64,
    pub endpoint: EndpointId,
    pub timeout: Option<f64>,
    /// `None` while the attempt is in flight.
    pub outcome: Option<Outcome>,
}

impl TrackedAttempt {
    pub fn may_have_run(&self) -> bool {
        use Outcome::{ConnectFailed, NeverSent, Rejected};
        !matches!(self.outcome, Some(Rejected | ConnectFailed | NeverSent))
    }
}

/// A request that was passed to the balancer.
#[derive(Clone, Debug)]
pub struct TrackedRequest {
    pub class: usize,
    pub deadline: f64,
    pub attempts: Vec<TrackedAttempt>,
    pub final_outcome: Option<FinalOutcome>,
    pub ended_at: f64,
    /// The first byte of a streamed response has been received.
    pub streaming: bool,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalOutcome {
    Served,
    Rejected,
    Failed,
    ClientDisconnected,
}
