//! Faults of a scenario, and what they affect.

use std::time::Duration;

use serde::Deserialize;

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
    /// Each poll of discovery takes longer, also those at a new address.
    DiscoverySlow {
        /// Added time of each poll.
        #[serde(with = "humantime_serde")]
        by: Duration,
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
