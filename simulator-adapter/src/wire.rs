//! The messages of the simulator's protocol. Each message is one line of JSON; unknown fields are ignored.
//!
//! The names in the JSON are fixed by the simulator; variants and fields are named in the balancer's terms
//! here and keep the outer names by `#[serde(rename)]`. All times are in milliseconds. `proxy` is the number
//! of a balancer; an adapter can run several.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

use crate::settings::WireSettings;

/// A message from the simulator.
///
/// Messages come in batches: [`BatchStart`](Incoming::BatchStart) sets the time for all messages up to
/// [`BatchEnd`](Incoming::BatchEnd), which requests the reply.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Incoming<'a> {
    #[serde(rename = "TURN")]
    BatchStart { time: f64 },
    #[serde(rename = "YOUR_TURN")]
    BatchEnd {},
    #[serde(rename = "UP")]
    StartBalancer {
        proxy: u32,
        #[serde(rename = "prng")]
        seed: u64,
        settings: Box<WireSettings>,
    },
    #[serde(rename = "DESTROY")]
    StopBalancer { proxy: u32 },
    /// Sets the content of an endpoint list, or of an update, to which
    /// [`EndpointUpdate`](Incoming::EndpointUpdate) refers.
    #[serde(rename = "POOL")]
    EndpointList {
        #[serde(rename = "rosterId")]
        list_id: u8,
        #[serde(rename = "rows")]
        entries: Vec<ListEntry>,
    },
    #[serde(rename = "VIEW")]
    EndpointUpdate {
        proxy: u32,
        #[serde(default, rename = "rosterId")]
        list_id: u8,
        #[serde(rename = "form")]
        kind: UpdateKind,
    },
    #[serde(rename = "INBOUND", rename_all = "camelCase")]
    Request {
        proxy: u32,
        #[serde(borrow, rename = "job")]
        request: Cow<'a, str>,
        #[serde(default)]
        is_retry: bool,
        #[serde(default, rename = "update")]
        is_write: bool,
        #[serde(rename = "patienceLeft")]
        remaining_deadline: f64,
        #[serde(rename = "band")]
        class: usize,
        size_hint: Option<f64>,
        #[serde(default, rename = "owner")]
        tenant: usize,
        #[serde(rename = "targetKey")]
        key: Option<String>,
    },
    FirstByte {
        proxy: u32,
        #[serde(borrow, rename = "job")]
        request: Cow<'a, str>,
        #[serde(rename = "leg")]
        attempt: u32,
    },
    #[serde(rename = "FINISHED")]
    AttemptFinished {
        proxy: u32,
        #[serde(borrow, rename = "job")]
        request: Cow<'a, str>,
        #[serde(rename = "leg")]
        attempt: u32,
        #[serde(rename = "how")]
        status_code: i64,
        latency: f64,
        /// The client has its final response.
        #[serde(default, rename = "terminal")]
        request_ended: bool,
        #[serde(default)]
        metrics: Metrics,
    },
    #[serde(rename = "VANISHED")]
    ClientDisconnected {
        proxy: u32,
        #[serde(borrow, rename = "job")]
        request: Cow<'a, str>,
    },
    #[serde(rename = "REMINDER")]
    TimerFired {
        proxy: u32,
        #[serde(rename = "mark")]
        token: u64,
    },
    #[serde(rename = "ECHO")]
    ProbeFinished {
        proxy: u32,
        #[serde(rename = "host")]
        endpoint: u32,
        #[serde(rename = "how")]
        status_code: i64,
        latency: f64,
        #[serde(default)]
        metrics: Metrics,
    },
    #[serde(rename = "DATAGRAM")]
    PeerMessage {
        proxy: u32,
        #[serde(rename = "src")]
        sender: u32,
        content: String,
    },
}

/// How an update relates to the endpoint list that the balancer has.
#[derive(Clone, Copy, Debug, Deserialize)]
pub enum UpdateKind {
    #[serde(rename = "Partial")]
    Changes,
    #[serde(rename = "Complete")]
    FullSnapshot,
    #[serde(rename = "Persisted")]
    CachedSnapshot,
    #[serde(rename = "Error")]
    Failed,
}

/// One entry of an endpoint list.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ListEntry {
    #[serde(rename = "host")]
    pub endpoint: u32,
    #[serde(default, rename = "rackZone")]
    pub zone: usize,
    #[serde(default, rename = "machine")]
    pub kind: usize,
    #[serde(default = "crate::settings::one")]
    pub weight: f64,
    /// When its process started; 0 means long ago.
    #[serde(default, rename = "launched")]
    pub started_at: f64,
    #[serde(rename = "phase")]
    pub state: ListEntryState,
    #[serde(default, rename = "block")]
    pub cell: u32,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListEntryState {
    Up,
    Draining,
    Removed,
}

/// Load report of an endpoint; each value may be missing.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct Metrics {
    /// Requests being handled.
    pub outstanding: Option<f64>,
    /// Requests queued.
    pub backlog: Option<f64>,
    /// CPU utilization, 0 to 1.
    pub utilization: Option<f64>,
    /// Recent service time in milliseconds.
    pub recent_ms: Option<f64>,
    /// Requests served per second.
    pub throughput: Option<f64>,
    /// Errors per second.
    pub errors_per_s: Option<f64>,
}

/// A message to the simulator.
#[derive(Debug, Serialize)]
pub enum Outgoing<'a> {
    #[serde(rename = "RELAY")]
    SendAttempt {
        proxy: u32,
        #[serde(rename = "job")]
        request: &'a str,
        #[serde(rename = "allowFor", skip_serializing_if = "Option::is_none")]
        timeout: Option<f64>,
        #[serde(rename = "host")]
        endpoint: u32,
    },
    #[serde(rename = "ABORT_ATTEMPT")]
    CancelAttempt {
        proxy: u32,
        #[serde(rename = "job")]
        request: &'a str,
        #[serde(rename = "leg")]
        attempt: u32,
    },
    #[serde(rename = "DECLINE")]
    RejectRequest {
        proxy: u32,
        #[serde(rename = "job")]
        request: &'a str,
        #[serde(rename = "comeBack", skip_serializing_if = "Option::is_none")]
        retry_after: Option<f64>,
    },
    #[serde(rename = "DROP_REQUEST")]
    FailRequest {
        proxy: u32,
        #[serde(rename = "job")]
        request: &'a str,
    },
    #[serde(rename = "NOTIFY_ME")]
    SetTimer {
        proxy: u32,
        #[serde(rename = "alarmTime")]
        at: f64,
        #[serde(rename = "mark")]
        token: u64,
    },
    #[serde(rename = "INSPECT")]
    ProbeEndpoint {
        proxy: u32,
        #[serde(rename = "host")]
        endpoint: u32,
    },
    #[serde(rename = "FREE_LINKS")]
    CloseIdleConnections {
        proxy: u32,
        #[serde(rename = "host")]
        endpoint: u32,
    },
    #[serde(rename = "BROADCAST_TO")]
    SendToPeer { proxy: u32, to: Recipient, content: String },
    #[serde(rename = "TAIL")]
    WatchDiscovery { proxy: u32, active: bool },
    #[serde(rename = "LOOKUP")]
    PollDiscovery { proxy: u32 },
    #[serde(rename = "TRACE")]
    Log { proxy: u32, message: &'a str },
    /// The balancer could not be started, or it panicked.
    #[serde(rename = "BROKEN")]
    BalancerFailed { proxy: u32, message: &'a str },
    #[serde(rename = "EOR")]
    EndOfReply {},
}

/// Recipient of a peer message: the index of a balancer, or the word `all`.
#[derive(Debug, Serialize)]
#[serde(untagged)]
pub enum Recipient {
    One(u32),
    All(&'static str),
}
