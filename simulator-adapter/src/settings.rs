//! The settings in JSON form and their conversion to [`balancer::Settings`].
//!
//! The simulator's `UP` message and a client proxy's configuration file have the same JSON format. Its names
//! are fixed from outside; where they differ from the balancer's terms, a field has the balancer's term here
//! and keeps the outer name by `#[serde(rename)]`. Times are in milliseconds unless a name says otherwise.

use balancer::{
    Class, Contract, DiscoveryMode, Effect, KeyScope, Limits, LoadReportSettings, LoadReporting,
    ObjectiveWeights, Prices, Settings, Tenant, WeightBasis,
};
use serde::Deserialize;

/// The settings of one balancer, as they stand in the simulator's `UP` message and in a configuration file.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WireSettings {
    /// Index of this balancer among all balancers, from 0.
    #[serde(rename = "me")]
    pub balancer_index: u32,
    /// Number of balancers that share the endpoints.
    #[serde(rename = "balancers")]
    pub balancer_count: u32,
    /// Behaviour of the clients.
    #[serde(default, rename = "callers")]
    pub clients: WireClients,
    /// Request classes.
    pub classes: Vec<WireClass>,
    /// Time limits and slow-start parameters that every balancer must respect.
    pub contract: WireContract,
    /// `work`: priority weight counts for each unit of work. Any other value: it counts for each request.
    #[serde(default, rename = "countedBy")]
    pub weight_counted_by: String,
    /// Tenants; may be empty.
    #[serde(default, rename = "customers")]
    pub tenants: Vec<WireTenant>,
    /// Whether discovery pushes changes of the endpoint list or has to be polled.
    #[serde(rename = "discovery")]
    pub discovery_mode: WireDiscoveryMode,
    /// Caching by endpoints.
    #[serde(default, rename = "familyInfo")]
    pub endpoint_cache: WireEndpointCache,
    /// Weights of the measures of service quality.
    #[serde(default, rename = "goal")]
    pub objective_weights: WireObjectiveWeights,
    /// Names of the endpoint kinds.
    #[serde(default)]
    pub kinds: Vec<String>,
    /// Limits on the balancer and the features that it may use.
    pub limits: WireLimits,
    /// Fraction of its priority weight that a request keeps when its tenant is over quota.
    #[serde(default = "one", rename = "overShareWorth")]
    pub over_quota_weight: f64,
    /// Price of each unit of cost.
    #[serde(default)]
    pub prices: WirePrices,
    /// Load reports of endpoints.
    #[serde(default, rename = "report")]
    pub load_reports: WireLoadReports,
    /// Resolution of the caller's events and timers, in milliseconds.
    #[serde(rename = "tick")]
    pub tick_ms: f64,
    /// Meaning of the endpoints' weights: `nominal`, `rough` or `live`; any other value means equal weights.
    #[serde(default, rename = "weights")]
    pub weight_basis: String,
    /// Index of this balancer's zone in `zones`.
    #[serde(default, rename = "zone")]
    pub own_zone: usize,
    /// Names of the zones.
    #[serde(default)]
    pub zones: Vec<String>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WireClass {
    #[serde(default)]
    pub name: String,
    #[serde(rename = "aim")]
    pub latency_objective: f64,
    #[serde(default, rename = "aimStretch")]
    pub objective_stretch: f64,
    #[serde(rename = "hardLimit")]
    pub deadline: f64,
    #[serde(rename = "semantics")]
    pub effect: WireEffect,
    pub key_scope: Option<WireKeyScope>,
    #[serde(default)]
    pub key_ttl: f64,
    #[serde(default, rename = "lateWorth")]
    pub late_priority_weight: f64,
    #[serde(rename = "points")]
    pub priority_weight: f64,
    #[serde(default)]
    pub streamed: bool,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WireEffect {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WireKeyScope {
    All,
    Zone,
    Cell,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WireContract {
    #[serde(rename = "askWithin")]
    pub max_notification_delay: Option<f64>,
    #[serde(rename = "cold")]
    pub warm_up: f64,
    #[serde(rename = "coldFrom")]
    pub initial_capacity: f64,
    pub drain_grace: f64,
    #[serde(rename = "fall")]
    pub overload_window: f64,
    #[serde(rename = "fallMultiple")]
    pub overload_multiple: f64,
    #[serde(rename = "graceToAnswer")]
    pub response_grace: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WireTenant {
    #[serde(default)]
    pub name: String,
    #[serde(rename = "portion")]
    pub service_share: f64,
    pub quota_per_s: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
pub enum WireDiscoveryMode {
    #[serde(rename = "automatic")]
    Push,
    #[serde(rename = "subscribe")]
    Pull,
}

#[derive(Debug, Default, Deserialize)]
pub struct WireClients {
    #[serde(default, rename = "marksRetry")]
    pub mark_retries: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct WireObjectiveWeights {
    #[serde(rename = "whole")]
    pub overall: f64,
    pub worst_class: f64,
    pub worst_tenant: f64,
    pub worst_window: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WireLoadReports {
    pub fields: Vec<String>,
    #[serde(rename = "how")]
    pub carried_by: String,
}

#[derive(Debug, Default, Deserialize)]
pub struct WireEndpointCache {
    #[serde(default, rename = "warmKeys")]
    pub key_affinity: bool,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WireLimits {
    #[serde(rename = "attemptsCap")]
    pub max_attempts: u32,
    #[serde(default, rename = "cancelling")]
    pub cancellation: bool,
    #[serde(default = "unlimited", rename = "connIdle")]
    pub connection_idle_timeout: f64,
    #[serde(default)]
    pub cpu_us_per_request: f64,
    #[serde(default = "unlimited")]
    pub cpu_us_per_s: f64,
    #[serde(default, rename = "dialTimeout")]
    pub connect_timeout: f64,
    #[serde(default = "unlimited_count", rename = "maxOpen")]
    pub max_requests_in_flight: u32,
    #[serde(default)]
    pub max_retry_after: f64,
    #[serde(default = "one_stream", rename = "maxStreams")]
    pub streams_per_connection: u32,
    #[serde(default)]
    pub peer_messages: bool,
    #[serde(default)]
    pub probes: bool,
    #[serde(default)]
    pub retry_after: bool,
    #[serde(default, rename = "secondCopies")]
    pub hedging: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct WirePrices {
    pub connection: f64,
    pub cross_zone: f64,
    pub discovery: f64,
    pub handshake: f64,
    #[serde(rename = "lateFail")]
    pub late_failure: f64,
    #[serde(rename = "peer")]
    pub peer_message: f64,
    pub probe: f64,
    pub waste: f64,
}

pub(crate) fn one() -> f64 {
    1.0
}

fn one_stream() -> u32 {
    1
}

fn unlimited_count() -> u32 {
    u32::MAX
}

/// The value of a time limit (milliseconds or microseconds) that the settings omit.
fn unlimited() -> f64 {
    f64::MAX
}

fn convert_load_reports(reports: &WireLoadReports) -> LoadReportSettings {
    let includes = |name: &str| reports.fields.iter().any(|field| field == name);
    LoadReportSettings {
        carried_by: match reports.carried_by.as_str() {
            "answers" => LoadReporting::WithResponses,
            "probe" => LoadReporting::WithProbes,
            _ => LoadReporting::Never,
        },
        outstanding: includes("outstanding"),
        backlog: includes("backlog"),
        utilization: includes("utilization"),
        recent_ms: includes("recent_ms"),
        throughput: includes("throughput"),
        errors_per_s: includes("errors_per_s"),
    }
}

/// Converts the settings to the balancer's form. Names of classes, tenants, kinds and zones are dropped: the
/// balancer knows these by index only.
pub fn convert_settings(wire: WireSettings) -> Settings {
    let classes = wire.classes.into_iter().map(|class| Class {
        latency_objective: class.latency_objective,
        objective_stretch: class.objective_stretch,
        deadline: class.deadline,
        priority_weight: class.priority_weight,
        late_priority_weight: class.late_priority_weight,
        effect: match class.effect {
            WireEffect::Safe => Effect::Safe,
            WireEffect::Unsafe => Effect::Unsafe,
            WireEffect::Keyed => Effect::Keyed {
                scope: match class.key_scope {
                    Some(WireKeyScope::All) => KeyScope::All,
                    Some(WireKeyScope::Zone) => KeyScope::Zone,
                    // Without a scope, assume the narrowest: with too wide a scope, a retry could reach an
                    // endpoint that has not seen the key, and the request could take effect twice.
                    Some(WireKeyScope::Cell) | None => KeyScope::Cell,
                },
                ttl: class.key_ttl,
            },
        },
        streamed: class.streamed,
    });
    let tenants = wire
        .tenants
        .into_iter()
        .map(|tenant| Tenant { service_share: tenant.service_share, quota_per_s: tenant.quota_per_s });
    Settings {
        balancer_index: wire.balancer_index,
        balancer_count: wire.balancer_count,
        zone: wire.own_zone,
        zone_count: wire.zones.len().max(1),
        locality: None,
        kind_count: wire.kinds.len().max(1),
        classes: classes.collect(),
        tenants: tenants.collect(),
        over_quota_weight: wire.over_quota_weight,
        weight_by_work: wire.weight_counted_by == "work",
        key_affinity: wire.endpoint_cache.key_affinity,
        clients_mark_retries: wire.clients.mark_retries,
        objective_weights: ObjectiveWeights {
            overall: wire.objective_weights.overall,
            worst_window: wire.objective_weights.worst_window,
            worst_class: wire.objective_weights.worst_class,
            worst_tenant: wire.objective_weights.worst_tenant,
        },
        load_reports: convert_load_reports(&wire.load_reports),
        weight_basis: match wire.weight_basis.as_str() {
            "nominal" => WeightBasis::Nominal,
            "rough" => WeightBasis::Approximate,
            "live" => WeightBasis::LoadAdjusted,
            _ => WeightBasis::Equal,
        },
        discovery_mode: match wire.discovery_mode {
            WireDiscoveryMode::Push => DiscoveryMode::Push,
            WireDiscoveryMode::Pull => DiscoveryMode::Pull,
        },
        timer_resolution: wire.tick_ms,
        limits: Limits {
            max_attempts: wire.limits.max_attempts,
            cancellation: wire.limits.cancellation,
            hedging: wire.limits.hedging,
            probes: wire.limits.probes,
            peer_messages: wire.limits.peer_messages,
            retry_after: wire.limits.retry_after,
            max_retry_after: wire.limits.max_retry_after,
            connect_timeout: wire.limits.connect_timeout,
            connection_idle_timeout: wire.limits.connection_idle_timeout,
            streams_per_connection: wire.limits.streams_per_connection,
            max_requests_in_flight: wire.limits.max_requests_in_flight,
            cpu_us_per_s: wire.limits.cpu_us_per_s,
            cpu_us_per_request: Some(wire.limits.cpu_us_per_request).filter(|us| *us != 0.0),
        },
        contract: Contract {
            response_grace: wire.contract.response_grace,
            drain_grace: wire.contract.drain_grace,
            initial_capacity: wire.contract.initial_capacity,
            warm_up: wire.contract.warm_up,
            overload_multiple: wire.contract.overload_multiple,
            overload_window: wire.contract.overload_window,
            max_notification_delay: wire.contract.max_notification_delay,
        },
        prices: Prices {
            cross_zone: wire.prices.cross_zone,
            waste: wire.prices.waste,
            late_failure: wire.prices.late_failure,
            handshake: wire.prices.handshake,
            connection: wire.prices.connection,
            discovery: wire.prices.discovery,
            probe: wire.prices.probe,
            peer_message: wire.prices.peer_message,
        },
    }
}

#[cfg(test)]
mod tests;
