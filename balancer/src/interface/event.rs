//! Events: what the caller reports about requests, attempts, endpoints and timers.

use super::{EndpointId, Millis, RequestId};
use crate::hashing::hash;

/// State of an endpoint according to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It accepts requests.
    Up,
    /// It completes the requests it has and accepts no new ones.
    Draining,
    /// It was removed from the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Index of its zone.
    pub zone: usize,
    /// Index of its kind.
    pub kind: usize,
    /// Its cell: a few endpoints that share their record of the idempotency keys they have seen.
    pub cell: u32,
    /// Its weight relative to other endpoints; see [`WeightBasis`](super::WeightBasis) for its meaning.
    pub weight: f64,
    /// When its process last started, on the caller's clock; `None` if so long ago that slow start is over.
    pub started_at: Option<Millis>,
    /// Its state.
    pub state: EndpointState,
}

impl EndpointEntry {
    /// An endpoint that is up and warmed up, with zone 0, kind 0, cell 0 and weight 1.
    pub fn new(endpoint: EndpointId) -> EndpointEntry {
        let (started, phase) = (None, EndpointState::Up);
        EndpointEntry { endpoint, zone: 0, kind: 0, cell: 0, weight: 1.0, started_at: started, state: phase }
    }
}

/// An update of the endpoint list from discovery.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointUpdate {
    /// The entries that changed.
    Changes(Vec<EndpointEntry>),
    /// The full list. Endpoints that are absent from it were removed.
    FullSnapshot(Vec<EndpointEntry>),
    /// The full list that was cached before a restart of the client proxy; it may be stale.
    CachedSnapshot(Vec<EndpointEntry>),
    /// The entries that changed, in a late response to a poll that has been repeated elsewhere meanwhile: it
    /// says nothing about the later poll.
    SupersededChanges(Vec<EndpointEntry>),
    /// The full list in such a response.
    SupersededSnapshot(Vec<EndpointEntry>),
    /// A watch or poll failed, or an established watch was interrupted.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint served the request.
    Served,
    /// The endpoint responded with an error; the request may have been executed.
    Error,
    /// The endpoint rejected the request without executing it.
    Rejected,
    /// No response in time; the request may have been executed, or may still be running.
    TimedOut,
    /// No connection could be established: the request was not executed.
    ConnectFailed,
    /// The connection was reset; the request may have been executed.
    Reset,
    /// The attempt was cancelled; the request may have been executed.
    Cancelled,
    /// No byte of the request was sent.
    NeverSent,
    /// An outcome that this version does not recognise.
    Unknown,
}

/// The load that an endpoint reports about itself; each value may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests being processed.
    pub outstanding: Option<f64>,
    /// Requests queued.
    pub backlog: Option<f64>,
    /// Its CPU utilization, 0 to 1.
    pub utilization: Option<f64>,
    /// Its recent service time in milliseconds.
    pub recent_ms: Option<f64>,
    /// Requests served per second.
    pub throughput: Option<f64>,
    /// Errors per second.
    pub errors_per_s: Option<f64>,
}

/// What the head of a request says about it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// Its class, as an index into [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// Its tenant, as an index into [`Settings::tenants`](super::Settings::tenants).
    pub tenant: usize,
    /// The client marked it as a retry.
    pub is_retry: bool,
    /// It modifies data that the endpoints store.
    pub is_write: bool,
    /// Its expected cost, in milliseconds on a reference core.
    pub size_hint: Option<f64>,
    /// Key of the object that it concerns, for key affinity.
    pub key: Option<String>,
    /// Hash of the id that the client gives it. If the same request comes again, it is the same.
    pub identity: Option<u64>,
}

impl RequestMetadata {
    /// The identity of a request with this id. It is the same in all versions of the program.
    pub fn identity_of(id: &str) -> u64 {
        hash(id)
    }
}

/// A request from a client.
#[derive(Clone, Debug, PartialEq)]
pub struct NewRequest {
    /// Its identifier, not used before.
    pub id: RequestId,
    /// How long the client waits for the response to this request, from now on.
    pub timeout: Millis,
    /// Its body is still being received and is forwarded as it arrives, so the request can be sent only once.
    /// [`Event::BodyComplete`] follows.
    pub body_pending: bool,
    /// Its class, tenant and other properties.
    pub metadata: RequestMetadata,
}

/// The end of an attempt. The caller reports exactly one for each attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since the attempt was sent.
    pub latency: Millis,
    /// The client has its final response, from this attempt or an earlier one, or it has disconnected.
    pub request_ended: bool,
    /// The load that the endpoint reported with its response.
    pub load_report: LoadReport,
    /// The request cannot be sent again: a part of its body was sent and is no longer buffered.
    pub cannot_resend: bool,
}

/// An input of the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Discovery sent an update of the endpoint list, or could not be reached.
    EndpointUpdate(EndpointUpdate),
    /// A client sent a request. The balancer must send exactly one final response to it.
    Request(NewRequest),
    /// The last byte of a request with a pending body has been received.
    BodyComplete {
        /// The request.
        id: RequestId,
        /// How long the client waits for the response, from now on.
        timeout: Millis,
    },
    /// The first byte of the response to an attempt of a streamed class has been received.
    FirstByte {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// An attempt has ended.
    AttemptFinished(AttemptEnd),
    /// The client disconnected; no final response must be sent any more.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// The client closed its sending side. It may have disconnected, so no further attempt starts; a response
    /// to an attempt in flight can still be delivered.
    ClientHalfClosed {
        /// The request.
        id: RequestId,
    },
    /// Another process of this client proxy forwards a request with this identity.
    ForwardedByPeer {
        /// Hash of the id that the client gave it.
        identity: u64,
    },
    /// An operator disabled an endpoint: it counts as draining until it is enabled, whatever the endpoint
    /// list says.
    Disabled {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// An operator enabled an endpoint. Its process may have been restarted since it was disabled, so it goes
    /// through slow start.
    Enabled {
        /// The endpoint.
        endpoint: EndpointId,
        /// When it was enabled, on the caller's clock.
        at: Millis,
    },
    /// A timer set with [`Action::SetTimer`](super::Action::SetTimer) is due.
    TimerFired {
        /// The token of that action.
        token: u64,
    },
    /// A health check has ended.
    ProbeFinished {
        /// The endpoint.
        endpoint: EndpointId,
        /// How the health check ended.
        outcome: Outcome,
        /// How long it took.
        latency: Millis,
        /// The load that the endpoint reported with its response.
        load_report: LoadReport,
    },
    /// Another balancer has sent a message.
    PeerMessage {
        /// Index of the sender.
        from: u32,
        /// The message.
        content: Vec<u8>,
    },
}
