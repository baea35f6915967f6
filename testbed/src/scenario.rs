//! The scenario file: fleet, load, order servers and scheduled faults of one run, validated before anything
//! starts.

mod fault;
mod validation;

pub use self::fault::{Direction, Event, Fault, Lie, LinkSet, Selector, StateFolder};

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use thiserror::Error;

/// One simulated workload. Durations carry their unit (`"250ms"`); shares are fractions from 0 to 1.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name in reports.
    pub name: String,
    /// One-sentence description.
    pub about: String,
    /// How long clients send requests.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// Start of the run that is left out of the figures; the rules are checked during it, too.
    #[serde(with = "humantime_serde")]
    pub warm_up: Duration,
    /// The client proxies.
    pub fleet: Fleet,
    /// The load on the whole fleet.
    pub load: Load,
    /// Request classes.
    pub class: Vec<Class>,
    /// Kinds of order servers, which differ in hardware and limits.
    pub kind: Vec<Kind>,
    /// Zones; client proxies and order servers are assigned to them round-robin.
    pub zone: Vec<Zone>,
    /// One-way network latencies.
    #[serde(default)]
    pub latency: Latency,
    /// Response times of the discovery service.
    #[serde(default)]
    pub discovery: DiscoverySettings,
    /// Number of order servers in a cell, within which idempotency keys are shared; by default a zone is one
    /// cell.
    pub cell: Option<usize>,
    /// Limits that the rules are checked against.
    #[serde(default)]
    pub contract: Contract,
    /// Scheduled faults.
    #[serde(default)]
    pub event: Vec<Event>,
    /// Lowest acceptable figures of the run; the rules have to hold in any case.
    #[serde(default)]
    pub expect: Expect,
}

/// The client proxies.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Number of client proxies.
    pub proxies: usize,
    /// Memory limit of each client proxy, written into its configuration.
    #[serde(default = "Fleet::memory")]
    pub memory_mb: u64,
    /// Limit of open file descriptors of each client proxy, written into its configuration.
    #[serde(default = "Fleet::sockets")]
    pub sockets: u64,
    /// CPU limit of each client proxy, in cores, written into its configuration.
    #[serde(default = "Fleet::cores")]
    pub cores: f64,
    /// The testbed opens the listening sockets for clients and passes them to each client proxy process, so
    /// that they survive a restart.
    #[serde(default)]
    pub inherited: bool,
    /// The second configuration file, to which `$GW_FLEET` points, with one table for each component. If
    /// empty, there is no such file. The testbed adds what is known only at run time: `zones.own`, and, where
    /// there is a table `membership`, its `listen`, `advertise` and `seeds`.
    #[serde(default)]
    pub parts: toml::Table,
}

impl Fleet {
    fn memory() -> u64 {
        64
    }

    fn sockets() -> u64 {
        512
    }

    fn cores() -> f64 {
        0.5
    }
}

/// The load that clients generate.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests per second, summed over all client proxies, with random arrival times.
    pub per_second: f64,
    /// Maximum number of retries of a client after a 429 or 503.
    #[serde(default)]
    pub retries: u32,
    /// Clients also retry failed requests, without backoff, where the class is safe or all order servers
    /// share its idempotency keys.
    #[serde(default)]
    pub retry_failed: bool,
    /// Timeout of each try, as a share of the class's `patience`.
    #[serde(default = "full_share")]
    #[serde(rename = "try_share")]
    pub try_timeout_share: f64,
    /// Share of the clients that wait for the `Retry-After` of a 429 or 503.
    #[serde(default = "full_share")]
    #[serde(rename = "honour")]
    pub retry_after_compliance: f64,
    /// Backoff of clients that got no `Retry-After` or ignore it; by default a quarter of the class's `aim`.
    #[serde(default, with = "humantime_serde")]
    pub backoff: Option<Duration>,
    /// Share of the requests whose client closes its connection before the timeout.
    #[serde(default)]
    #[serde(rename = "impatient")]
    pub disconnect_share: f64,
    /// Retries carry `X-Resent: 1`.
    #[serde(default)]
    #[serde(rename = "marks_retries")]
    pub sends_resent_header: bool,
    /// Relative load of the client proxies in each zone; 1 for zones that are not listed.
    #[serde(default)]
    pub zones: BTreeMap<String, f64>,
    /// Periods of increased load.
    #[serde(default)]
    pub burst: Vec<Burst>,
}

fn full_share() -> f64 {
    1.0
}

/// Response times of the discovery service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DiscoverySettings {
    /// Processing time of a poll; polls are processed one after another.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "call")]
    pub poll_duration: Duration,
    /// A poll that has waited this long for its turn fails.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "patience")]
    pub poll_timeout: Duration,
    /// A client proxy counts as notified of a change this long after it, if discovery was reachable all that
    /// time.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "told_after")]
    pub notification_grace: Duration,
}

impl Default for DiscoverySettings {
    fn default() -> DiscoverySettings {
        let (poll_duration, poll_timeout) = (Duration::from_millis(1), Duration::from_secs(3));
        DiscoverySettings { poll_duration, poll_timeout, notification_grace: Duration::from_secs(6) }
    }
}

/// A period of increased load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start of the burst.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// Duration of the burst.
    #[serde(with = "humantime_serde")]
    pub lasts: Duration,
    /// Factor on the base load.
    pub times: f64,
}

/// Whether a request may run twice.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Semantics {
    /// Read-only.
    Safe,
    /// Carries an idempotency key, by which order servers recognise a repeat.
    Keyed,
    /// Must run at most once.
    Unsafe,
}

/// Which order servers share idempotency keys.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Scope {
    /// All order servers.
    #[default]
    All,
    /// Those of the same zone.
    Zone,
    /// Those of the same cell.
    Cell,
}

/// A request class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name in the header `X-Lane`.
    pub name: String,
    /// Whether a request may run twice.
    pub semantics: Semantics,
    /// Which order servers share the idempotency key, if the class is keyed.
    #[serde(default)]
    pub scope: Scope,
    /// How long order servers remember the idempotency key.
    #[serde(default = "key_ttl", with = "humantime_serde")]
    pub key_ttl: Duration,
    /// Relative share of the load.
    pub share: f64,
    /// Mean CPU time of a request on a core of speed 1.
    #[serde(with = "humantime_serde")]
    pub work: Duration,
    /// Priority weight; a response counts with it if it comes within `aim`.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// A response that takes longer than this does not count towards `worth_share`.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "aim")]
    pub latency_objective: Duration,
    /// How long a client waits for the final response.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "patience")]
    pub client_timeout: Duration,
}

fn key_ttl() -> Duration {
    Duration::from_secs(10)
}

/// A kind of order servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name in discovery's endpoint list.
    pub name: String,
    /// Number of order servers of this kind.
    pub servers: usize,
    /// Number of cores; see [`crate::station::ServerSpec`] for this and the following fields.
    pub cores: u32,
    /// Speed of a core, relative to a standard core.
    pub speed: f64,
    /// Number of requests that are processed concurrently.
    pub slots: u32,
    /// Number of requests that can be queued.
    #[serde(rename = "waiting")]
    pub queue_capacity: u32,
    /// Maximum number of open connections; further ones are rejected with 503.
    #[serde(default = "Kind::connections")]
    pub connections: usize,
    /// Number of requests, processed and queued, up to which the server keeps its full speed; by default all.
    #[serde(rename = "crowded_from")]
    pub full_speed_concurrency: Option<u32>,
    /// Share of the remaining speed that each further request costs.
    #[serde(default)]
    #[serde(rename = "crowding")]
    pub slowdown_per_request: f64,
    /// The server stops processing a request whose connection has been closed.
    #[serde(default)]
    #[serde(rename = "stops_when_left")]
    pub cancels_abandoned_work: bool,
}

impl Kind {
    fn connections() -> usize {
        1000
    }
}

/// A failure domain.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Name in discovery's endpoint list.
    pub name: String,
    /// The region that the zone is in.
    pub region: String,
}

/// One-way network latencies.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Latency {
    /// Within a zone.
    #[serde(default, with = "humantime_serde")]
    pub zone: Duration,
    /// Between zones of a region.
    #[serde(default, with = "humantime_serde")]
    pub region: Duration,
    /// Between regions.
    #[serde(default, with = "humantime_serde")]
    pub far: Duration,
}

/// Limits that the rules are checked against.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Contract {
    /// Share of its capacity that an order server has right after its start.
    #[serde(rename = "cold_from")]
    pub initial_capacity_share: f64,
    /// Time after its start at which an order server reaches full capacity.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "cold")]
    pub warm_up_duration: Duration,
    /// An order server that is warming up must not be sent more work than this multiple of its current
    /// capacity within `fall`.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Length of the sliding window for `fall_multiple`.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "fall")]
    pub overload_window: Duration,
    /// How long an order server may still get new attempts after the client proxy was notified of its drain.
    #[serde(with = "humantime_serde")]
    pub drain_grace: Duration,
    /// A request without a final response counts as lost this long after its client's timeout.
    #[serde(with = "humantime_serde")]
    pub lost_after: Duration,
}

impl Default for Contract {
    fn default() -> Contract {
        Contract {
            initial_capacity_share: 0.25,
            warm_up_duration: Duration::from_secs(8),
            overload_multiple: 3.0,
            overload_window: Duration::from_secs(2),
            drain_grace: Duration::from_millis(1500),
            lost_after: Duration::from_millis(550),
        }
    }
}

/// Lowest acceptable figures of a run.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// Lowest share of the requests that is served.
    pub served_share: Option<f64>,
    /// Lowest share of the priority weight that is served within the latency objective.
    pub worth_share: Option<f64>,
    /// Lowest such share in the worst second.
    pub worst_window: Option<f64>,
}

/// Why a scenario is rejected.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("{file}: {error}")]
    File {
        /// Path of the file.
        file: String,
        /// Cause.
        error: std::io::Error,
    },
    /// The file is not valid TOML or does not have the fields of a scenario. The parser reports line, key and
    /// reason.
    #[error("{file}: {error}")]
    Form {
        /// Path of the file.
        file: String,
        /// Line, key and reason.
        error: Box<toml::de::Error>,
    },
    /// A value is out of range or contradicts another one.
    #[error("{file}: {key}: {reason}")]
    Value {
        /// Path of the file.
        file: String,
        /// Dotted path of the key.
        key: String,
        /// Reason for the rejection.
        reason: &'static str,
    },
}
