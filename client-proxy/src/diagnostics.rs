//! Why requests were refused, attempts ended and client connections closed: counted for operators, and logged
//! with the request's id.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use balancer::Outcome;
use serde::Serialize;
use serde_json::{Value, json};

/// Why a client connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CloseReason {
    /// The client closed or reset it, or sent something that is not HTTP.
    ByClient,
    /// Its last response asked the client to reconnect.
    AskedToReconnect,
    /// The client sent no complete request head in time, or rested for too long.
    HeadTimeout,
    /// The client did not read its response.
    ReadTimeout,
    /// The process is shutting down.
    Shutdown,
    /// The rest of a request was not read.
    UnreadBody,
    /// There was no memory for a long request head.
    NoMemory,
}

/// Why a request was answered without an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// It is malformed.
    Malformed,
    /// Its body ended early or came too slowly.
    IncompleteBody,
    /// There was no memory for it.
    NoMemory,
    /// The process is shutting down.
    Shutdown,
    /// An earlier response of its connection asked the client to reconnect.
    AfterReconnect,
    /// The client has closed its writing side.
    ClientClosed,
    /// The balancer rejected it.
    Rejected,
    /// The balancer failed it.
    Failed,
    /// There was no response by its deadline.
    Overdue,
}

/// Counts since the start of the process.
#[derive(Default)]
pub struct Diagnostics {
    closes: RefCell<BTreeMap<CloseReason, u64>>,
    refusals: RefCell<BTreeMap<RefusalReason, u64>>,
    attempts: RefCell<BTreeMap<&'static str, u64>>,
    retries: Cell<u64>,
}

impl Diagnostics {
    /// Records the end of a client connection.
    pub fn connection_closed(&self, reason: CloseReason) {
        tracing::debug!(?reason, "client connection closed");
        increment(&self.closes, reason);
    }

    /// Records that the request with this id was answered without an endpoint.
    pub fn request_refused(&self, id: &str, reason: RefusalReason) {
        tracing::debug!(id, ?reason, "request refused");
        increment(&self.refusals, reason);
    }

    /// Records the beginning of an attempt; the first one has the number 0.
    pub fn attempt_began(&self, id: &str, number: usize) {
        if number > 0 {
            tracing::debug!(id, number, "request retried");
            self.retries.set(self.retries.get() + 1);
        }
    }

    /// Records the end of an attempt.
    pub fn attempt_ended(&self, id: &str, number: usize, outcome: Outcome) {
        if outcome != Outcome::Served {
            tracing::debug!(id, number, ?outcome, "attempt failed");
        }
        increment(&self.attempts, outcome_name(outcome));
    }

    /// All counts.
    pub fn to_json(&self) -> Value {
        json!({
            "closes": *self.closes.borrow(),
            "refusals": *self.refusals.borrow(),
            "attempts": *self.attempts.borrow(),
            "retries": self.retries.get(),
        })
    }
}

fn increment<K: Ord>(counts: &RefCell<BTreeMap<K, u64>>, key: K) {
    *counts.borrow_mut().entry(key).or_default() += 1;
}

/// Name of an outcome for operators.
fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "served",
        Outcome::Error => "error",
        Outcome::Rejected => "rejected",
        Outcome::TimedOut => "timed_out",
        Outcome::ConnectFailed => "connect_failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NeverSent => "never_sent",
        Outcome::Unknown => "unknown",
    }
}
