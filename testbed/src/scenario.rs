//! The scenario file: fleet, load, order servers and scheduled faults of one run, validated before anything
//! starts.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;
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

/// A scheduled fault or recovery.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Time since the start of the load.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// Delays the event, from `at` on, until at least this share of one second's requests is served.
    pub when_served: Option<f64>,
    /// The fault and its targets: `fault.cut = { links = { way = "back" }, lasts = "5s" }`.
    pub fault: Fault,
}

/// Selects the client proxies or order servers that a fault affects: those that match all given fields, or
/// all.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Selector {
    /// Their indices.
    pub number: Option<Vec<usize>>,
    /// Name of their zone.
    pub zone: Option<String>,
    /// Kind of the order servers.
    pub kind: Option<String>,
    /// Share of the matching ones, drawn at random from the seed.
    pub part: Option<f64>,
}

/// Selects the links that a fault affects: those that match all given fields, or all.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkSet {
    /// Client proxies at one end.
    pub proxies: Selector,
    /// Order servers at the other end.
    pub servers: Selector,
    /// Client proxies at the other end instead of order servers; the fault then affects the datagrams between
    /// them.
    pub peers: Option<Selector>,
    /// Only links between different zones.
    #[serde(rename = "across")]
    pub cross_zone_only: bool,
    /// Affected direction, for faults that can affect one direction only; both by default.
    pub way: Option<Direction>,
}

/// A fault and its targets.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Client proxies get SIGKILL and restart after `restart_after`.
    Kill {
        /// Affected client proxies.
        #[serde(default)]
        proxies: Selector,
        /// Time until the restart; without it they stay down.
        #[serde(default, with = "humantime_serde")]
        restart_after: Option<Duration>,
        /// State folder that they find at the restart.
        #[serde(default)]
        folder: StateFolder,
    },
    /// Client proxies get SIGSTOP, and SIGCONT later.
    Stop {
        /// Affected client proxies.
        #[serde(default)]
        proxies: Selector,
        /// Duration of the fault.
        #[serde(with = "humantime_serde")]
        lasts: Duration,
    },
    /// Rolling restart: client proxies get SIGTERM one after another, and each is restarted when it has
    /// exited.
    Roll {
        /// Affected client proxies.
        #[serde(default)]
        proxies: Selector,
        /// State folder that they find at the restart.
        #[serde(default)]
        folder: StateFolder,
    },
    /// Client proxies are replaced one after another while they serve: the new process takes over the
    /// listening socket. Needs `fleet.inherited`.
    Upgrade {
        /// Affected client proxies.
        #[serde(default)]
        proxies: Selector,
    },
    /// Order servers accept requests and send no response.
    Silent {
        /// Affected order servers.
        servers: Selector,
        /// Duration of the fault.
        #[serde(with = "humantime_serde")]
        lasts: Duration,
    },
    /// Order servers respond with 500.
    Error {
        /// Affected order servers.
        servers: Selector,
        /// Duration of the fault.
        #[serde(with = "humantime_serde")]
        lasts: Duration,
    },
    /// Order servers process requests more slowly.
    Slow {
        /// Affected order servers.
        servers: Selector,
        /// Factor on the processing time.
        times: f64,
        /// Duration of the fault.
        #[serde(with = "humantime_serde")]
        lasts: Duration,
    },
    /// Order servers stop processing for a while and then continue.
    Pause {
        /// Affected order servers.
        servers: Selector,
        /// Duration of the fault.
        #[serde(with = "humantime_serde")]
        lasts: Duration,
    },
    /// The machines of order servers disappear from the network, and the servers restart with reduced
    /// capacity.
    Lose {
        /// Affected order servers.
        servers: Selector,
        /// Time until discovery removes them. It lists them again as soon as they are back.
        #[serde(default = "known_after", with = "humantime_serde")]
        known_after: Duration,
        /// Time until they restart.
        #[serde(with = "humantime_serde")]
        lasts: Duration,
    },
    /// Order servers drain, and are removed from discovery 5 s later.
    Drain {
        /// Affected order servers.
        servers: Selector,
    },
    /// Links between client proxies and order servers, or between client proxies, deliver nothing.
    Cut {
        /// Affected links.
        #[serde(default)]
        links: LinkSet,
        /// Duration of the fault.
        #[serde(with = "humantime_serde")]
        lasts: Duration,
    },
    /// Links have a higher latency.
    Delay {
        /// Affected links.
        #[serde(default)]
        links: LinkSet,
        /// Added latency in each affected direction.
        #[serde(with = "humantime_serde")]
        by: Duration,
        /// Duration of the fault.
        #[serde(with = "humantime_serde")]
        lasts: Duration,
    },
    /// Links drop packets. On connections the lost data arrives after a retransmission.
    Loss {
        /// Affected links.
        #[serde(default)]
        links: LinkSet,
        /// Share of the packets that are dropped.
        part: f64,
        /// Duration of the fault.
        #[serde(with = "humantime_serde")]
        lasts: Duration,
    },
    /// Some of the datagrams are delivered twice.
    Duplicate {
        /// Affected links; needs `peers`.
        links: LinkSet,
        /// Share of the datagrams that are affected.
        part: f64,
        /// Duration of the fault.
        #[serde(with = "humantime_serde")]
        lasts: Duration,
    },
    /// Some of the datagrams are delivered after later ones.
    Reorder {
        /// Affected links; needs `peers`.
        links: LinkSet,
        /// Share of the datagrams that are affected.
        part: f64,
        /// Maximum added delay of an affected datagram.
        #[serde(with = "humantime_serde")]
        by: Duration,
        /// Duration of the fault.
        #[serde(with = "humantime_serde")]
        lasts: Duration,
    },
    /// New connections are refused.
    Refuse {
        /// Affected links.
        #[serde(default)]
        links: LinkSet,
        /// Duration of the fault.
        #[serde(with = "humantime_serde")]
        lasts: Duration,
    },
    /// All open connections on the links are reset.
    Reset {
        /// Affected links.
        #[serde(default)]
        links: LinkSet,
    },
    /// Discovery refuses connections.
    DiscoveryDown {
        /// Duration of the fault.
        #[serde(with = "humantime_serde")]
        lasts: Duration,
    },
    /// Discovery accepts polls and does not respond.
    DiscoverySilent {
        /// Duration of the fault.
        #[serde(with = "humantime_serde")]
        lasts: Duration,
    },
    /// Discovery responds with wrong full snapshots.
    DiscoveryLies {
        /// What is wrong with them.
        lie: Lie,
        /// Duration of the fault.
        #[serde(with = "humantime_serde")]
        lasts: Duration,
    },
    /// Discovery moves to another address, which client proxies learn from their configuration file and
    /// SIGHUP. The old address accepts no new connections, and closes the open ones after 1.5 s.
    DiscoveryMoved {},
    /// Operators disable order servers at client proxies (operator override), restart them, and enable them
    /// again.
    #[serde(rename = "hand")]
    OperatorOverride {
        /// Affected order servers.
        servers: Selector,
        /// Client proxies at which they are disabled.
        #[serde(default)]
        proxies: Selector,
        /// Time until they restart.
        #[serde(with = "humantime_serde")]
        lasts: Duration,
    },
    /// Writes of client proxies to their files fail.
    DiskFull {
        /// Affected client proxies.
        #[serde(default)]
        proxies: Selector,
        /// Duration of the fault.
        #[serde(with = "humantime_serde")]
        lasts: Duration,
    },
    /// The state folders of client proxies are inaccessible: opening a file there fails. Their content is
    /// unchanged when they are back.
    DiskGone {
        /// Affected client proxies.
        #[serde(default)]
        proxies: Selector,
        /// Duration of the fault.
        #[serde(with = "humantime_serde")]
        lasts: Duration,
    },
    /// Discovery responds with endpoint lists from the past.
    DiscoveryStale {
        /// Age of the lists.
        #[serde(with = "humantime_serde")]
        by: Duration,
        /// Duration of the fault.
        #[serde(with = "humantime_serde")]
        lasts: Duration,
    },
}

fn known_after() -> Duration {
    Duration::from_secs(2)
}

/// A wrong endpoint list from discovery.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Lie {
    /// The list is empty.
    Nobody,
    /// Every other endpoint is missing.
    Half,
    /// The response is truncated in the middle of the list.
    CutShort,
}

/// The state folder of a client proxy at its restart.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum StateFolder {
    /// As the previous process left it.
    #[default]
    Kept,
    /// Empty.
    Emptied,
    /// Each file is truncated, and one of the remaining bytes is changed, both at random from the seed.
    #[serde(rename = "spoilt")]
    Corrupted,
}

/// A direction of a link.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// From the client proxy to the order server, or to its peer.
    #[serde(rename = "out")]
    Forward,
    /// From the order server, or the peer, to the client proxy.
    #[serde(rename = "back")]
    Reverse,
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

/// Longest chain of `based_on`, so that a cycle ends in an error.
const MAX_BASE_DEPTH: usize = 8;

fn read_table(path: &Path) -> Result<toml::Table, ScenarioError> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path);
    let text = text.map_err(|error| ScenarioError::File { file: file.clone(), error })?;
    text.parse().map_err(|error| ScenarioError::Form { file, error: Box::new(error) })
}

impl Scenario {
    /// Reads and checks a scenario.
    ///
    /// # Errors
    /// Names the file, the key and the reason.
    pub fn read(path: &Path) -> Result<Scenario, ScenarioError> {
        let file = path.display().to_string();
        let form_error = |error| ScenarioError::Form { file: file.clone(), error: Box::new(error) };
        let mut table = read_table(path)?;
        // Keys that the file lacks come from the scenario in the same folder that `based_on` names, and so
        // on.
        let mut depth = 0;
        while let Some(base) = table.remove("based_on") {
            depth += 1;
            let base = base.as_str().filter(|_| depth <= MAX_BASE_DEPTH);
            let base_error =
                || ("based_on".to_owned(), "is not a string, or the chain is longer than 8 scenarios");
            let base = base.ok_or_else(base_error).map_err(|(key, reason)| ScenarioError::Value {
                file: file.clone(),
                key,
                reason,
            })?;
            for (key, value) in read_table(&path.with_file_name(base).with_extension("toml"))? {
                table.entry(key).or_insert(value);
            }
        }
        let scenario: Scenario = table.try_into().map_err(form_error)?;
        let value_error = |(key, reason)| ScenarioError::Value { file: file.clone(), key, reason };
        scenario.check().map_err(value_error).map(|()| scenario)
    }

    /// Multiplies the numbers of client proxies, order servers and requests by `times`. Faults that select by
    /// `number` affect the same indices as before; those that select by `part`, `zone` or `kind` affect more.
    ///
    /// # Errors
    /// If the result exceeds a limit, such as 250 client proxies.
    pub fn scaled(mut self, times: usize, file: &str) -> Result<Scenario, ScenarioError> {
        self.fleet.proxies *= times;
        self.load.per_second *= times as f64;
        self.kind.iter_mut().for_each(|kind| kind.servers *= times);
        let value_error = |(key, reason)| ScenarioError::Value { file: file.to_owned(), key, reason };
        self.check().map_err(value_error).map(|()| self)
    }

    fn check(&self) -> Result<(), (String, &'static str)> {
        let Scenario { fleet, load, class, kind, zone, contract, .. } = self;
        let is_positive = |value: f64| value.is_finite() && value > 0.0;
        let require = |condition: bool, key: &str, reason| {
            if condition { Ok(()) } else { Err((key.to_owned(), reason)) }
        };
        require(self.warm_up < self.duration, "warm_up", "must be shorter than the duration")?;
        require((1..=250).contains(&fleet.proxies), "fleet.proxies", "is not 1 to 250")?;
        require(is_positive(fleet.cores), "fleet.cores", "is not above 0")?;
        require(is_positive(load.per_second), "load.per_second", "is not above 0")?;
        require(
            load.burst.iter().all(|burst| is_positive(burst.times)),
            "load.burst.times",
            "is not above 0",
        )?;
        require(
            load.try_timeout_share > 0.0 && load.try_timeout_share <= 1.0,
            "load.try_share",
            "must be above 0 and at most 1",
        )?;
        require((0.0..=1.0).contains(&load.retry_after_compliance), "load.honour", "is not from 0 to 1")?;
        require((0.0..=1.0).contains(&load.disconnect_share), "load.impatient", "is not from 0 to 1")?;
        require(self.cell != Some(0), "cell", "is 0")?;
        require(!class.is_empty(), "class", "needs at least one entry")?;
        require(!kind.is_empty(), "kind", "needs at least one entry")?;
        require(!zone.is_empty(), "zone", "needs at least one entry")?;
        require(class.iter().all(|class| is_positive(class.share)), "class.share", "is not above 0")?;
        require(
            class.iter().all(|class| is_positive(class.priority_weight)),
            "class.worth",
            "is not above 0",
        )?;
        require(class.iter().all(|class| !class.work.is_zero()), "class.work", "is 0")?;
        require(
            class.iter().all(|class| {
                !class.latency_objective.is_zero() && class.latency_objective <= class.client_timeout
            }),
            "class.aim",
            "is 0, or longer than the patience",
        )?;
        require(kind.iter().all(|kind| is_positive(kind.speed)), "kind.speed", "is not above 0")?;
        require(
            kind.iter().all(|kind| kind.cores > 0 && kind.slots > 0),
            "kind.slots",
            "needs at least one core and one slot",
        )?;
        require(
            kind.iter().all(|kind| (0.0..1.0).contains(&kind.slowdown_per_request)),
            "kind.crowding",
            "is not from 0 to under 1",
        )?;
        let servers: usize = kind.iter().map(|kind| kind.servers).sum();
        require((1..=1000).contains(&servers), "kind.servers", "must be 1 to 1000 in total")?;
        require(
            contract.initial_capacity_share > 0.0 && contract.initial_capacity_share <= 1.0,
            "contract.cold_from",
            "must be above 0 and at most 1",
        )?;
        let zones: BTreeSet<&String> = zone.iter().map(|zone| &zone.name).collect();
        let kinds: BTreeSet<&String> = kind.iter().map(|kind| &kind.name).collect();
        let classes: BTreeSet<&String> = class.iter().map(|class| &class.name).collect();
        require(classes.len() == class.len(), "class.name", "is used twice")?;
        require(kinds.len() == kind.len(), "kind.name", "is used twice")?;
        require(zones.len() == zone.len(), "zone.name", "is used twice")?;
        require(load.zones.keys().all(|name| zones.contains(name)), "load.zones", "unknown zone")?;
        require(load.zones.values().all(|part| is_positive(*part)), "load.zones", "is not above 0")?;
        for (n, event) in self.event.iter().enumerate() {
            let key = |part: &str| format!("event[{n}].{part}");
            require(event.at < self.duration, &key("at"), "is after the end of the scenario")?;
            let is_upgrade = matches!(event.fault, Fault::Upgrade { .. });
            require(!is_upgrade || fleet.inherited, &key("upgrade"), "requires fleet.inherited = true")?;
            if let Fault::Loss { part, .. } | Fault::Duplicate { part, .. } | Fault::Reorder { part, .. } =
                &event.fault
            {
                require((0.0..=0.9).contains(part), &key("part"), "is not from 0 to 0.9")?;
            }
            if let Some(links) = event.fault.links() {
                let (needs_peers, forbids_peers) = match event.fault {
                    Fault::Duplicate { .. } | Fault::Reorder { .. } => (true, false),
                    Fault::Refuse { .. } | Fault::Reset { .. } => (false, true),
                    _ => (false, false),
                };
                require(
                    links.peers.is_some() || !needs_peers,
                    &key("links.peers"),
                    "is missing: this fault affects datagrams",
                )?;
                require(
                    links.peers.is_none() || !forbids_peers,
                    &key("links.peers"),
                    "is not allowed: this fault does not affect datagrams",
                )?;
                let has_membership = links.peers.is_none() || fleet.parts.contains_key("membership");
                require(has_membership, &key("links.peers"), "requires fleet.parts.membership")?;
            }
            let valid_share = event.when_served.is_none_or(|share| (0.0..=1.0).contains(&share));
            require(valid_share, &key("when_served"), "is not from 0 to 1")?;
            for (key_prefix, selector, selects_proxies) in event.fault.selectors() {
                let limit = if selects_proxies { fleet.proxies } else { servers };
                let numbers = selector.number.iter().flatten().all(|n| *n < limit);
                let in_zone = selector.zone.as_ref().is_none_or(|name| zones.contains(name));
                let of_kind = selector.kind.as_ref().is_none_or(|name| kinds.contains(name));
                let part = selector.part.is_none_or(|part| (0.0..=1.0).contains(&part));
                require(numbers, &key(&format!("{key_prefix}.number")), "no such index")?;
                require(in_zone, &key(&format!("{key_prefix}.zone")), "unknown zone")?;
                require(of_kind, &key(&format!("{key_prefix}.kind")), "unknown kind")?;
                require(part, &key(&format!("{key_prefix}.part")), "is not from 0 to 1")?;
            }
        }
        Ok(())
    }
}

impl Fault {
    /// The selectors of the fault: key, selector, and whether it selects client proxies.
    fn selectors(&self) -> Vec<(&'static str, &Selector, bool)> {
        match self {
            Fault::Kill { proxies, .. }
            | Fault::Stop { proxies, .. }
            | Fault::Roll { proxies, .. }
            | Fault::DiskFull { proxies, .. }
            | Fault::DiskGone { proxies, .. }
            | Fault::Upgrade { proxies } => vec![("proxies", proxies, true)],
            Fault::OperatorOverride { proxies, servers, .. } => {
                vec![("proxies", proxies, true), ("servers", servers, false)]
            }
            Fault::Silent { servers, .. }
            | Fault::Error { servers, .. }
            | Fault::Slow { servers, .. }
            | Fault::Pause { servers, .. }
            | Fault::Lose { servers, .. }
            | Fault::Drain { servers } => vec![("servers", servers, false)],
            _ => {
                let Some(LinkSet { proxies, servers, peers, .. }) = self.links() else { return Vec::new() };
                let other_end = match peers {
                    Some(peers) => ("links.peers", peers, true),
                    None => ("links.servers", servers, false),
                };
                vec![("links.proxies", proxies, true), other_end]
            }
        }
    }

    /// The selected links, if the fault affects links.
    fn links(&self) -> Option<&LinkSet> {
        match self {
            Fault::Cut { links, .. }
            | Fault::Delay { links, .. }
            | Fault::Loss { links, .. }
            | Fault::Duplicate { links, .. }
            | Fault::Reorder { links, .. }
            | Fault::Refuse { links, .. }
            | Fault::Reset { links } => Some(links),
            _ => None,
        }
    }
}
