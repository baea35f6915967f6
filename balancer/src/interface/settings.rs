//! The settings of a balancer: service objectives, limits and costs of the site that it runs in.

use thiserror::Error;

use super::Millis;

/// Which endpoints recognise an idempotency key after one endpoint has received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All endpoints.
    All,
    /// The endpoints in the zone of the first attempt.
    Zone,
    /// The endpoints in the cell of the first attempt.
    Cell,
}

/// The effect of executing a request a second time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// None: the request is idempotent.
    Safe,
    /// None where its idempotency key is known: for `ttl` after the first attempt, endpoints within `scope`
    /// deduplicate it.
    Keyed {
        /// Which endpoints recognise the key.
        scope: KeyScope,
        /// How long they recognise it, counted from when the first attempt was sent.
        ttl: Millis,
    },
    /// Harmful: the request must never be executed twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency objective: a response within this time counts with the full priority weight.
    pub latency_objective: Millis,
    /// The latency objective is extended by this multiple of the request's own work, up to the deadline.
    pub objective_stretch: f64,
    /// How long the client waits in total, including its own retries.
    pub deadline: Millis,
    /// Priority weight: the value of serving one request.
    pub priority_weight: f64,
    /// The fraction of the priority weight that a response after the objective still counts with, 0 to 1.
    pub late_priority_weight: f64,
    /// The effect of executing such a request a second time.
    pub effect: Effect,
    /// Whether responses are streamed.
    pub streamed: bool,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its share of the service, 0 to 1.
    pub service_share: f64,
    /// Requests per second, through all balancers together, that count with their full priority weight.
    pub quota_per_s: f64,
}

/// How the balancer is notified of changes of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes are pushed without being requested.
    Push,
    /// Changes arrive only in response to [`Action::Watch`](super::Action::Watch) or
    /// [`Action::Fetch`](super::Action::Fetch).
    Pull,
}

/// Limits that the site imposes.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether requests may be hedged, with two attempts in flight at the same time.
    pub hedging: bool,
    /// Whether endpoints may be sent health checks.
    pub probes: bool,
    /// Whether balancers may send each other messages.
    pub peer_messages: bool,
    /// Whether rejections carry a `Retry-After` header.
    pub retry_after: bool,
    /// The longest `Retry-After` that clients obey.
    pub max_retry_after: Millis,
    /// Connect timeout.
    pub connect_timeout: Millis,
    /// Idle timeout after which endpoints close a connection.
    pub connection_idle_timeout: Millis,
    /// How many attempts one connection carries at the same time.
    pub streams_per_connection: u32,
    /// Maximum number of requests in flight; the caller does not pass on requests beyond it.
    pub max_requests_in_flight: u32,
    /// CPU time that this balancer may use per second, in microseconds.
    pub cpu_us_per_s: f64,
    /// CPU time that it may use per request, for all events of the request together, in microseconds; `None`
    /// means no limit.
    pub cpu_us_per_request: Option<f64>,
}

/// Which responses from endpoints carry load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReporting {
    /// None.
    Never,
    /// Responses to health checks.
    WithProbes,
    /// All responses.
    WithResponses,
}

/// Contents of load reports, with one flag for each value of a [`LoadReport`](super::LoadReport).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReportSettings {
    /// Which responses carry load reports.
    pub carried_by: LoadReporting,
    /// Whether reports contain `LoadReport::outstanding`.
    pub outstanding: bool,
    /// Whether reports contain `LoadReport::backlog`.
    pub backlog: bool,
    /// Whether reports contain `LoadReport::utilization`.
    pub utilization: bool,
    /// Whether reports contain `LoadReport::recent_ms`.
    pub recent_ms: bool,
    /// Whether reports contain `LoadReport::throughput`.
    pub throughput: bool,
    /// Whether reports contain `LoadReport::errors_per_s`.
    pub errors_per_s: bool,
}

/// Meaning of [`EndpointEntry::weight`](super::EndpointEntry::weight).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightBasis {
    /// No meaning: all endpoints have the same weight.
    Equal,
    /// The capacity that the endpoint was registered with.
    Nominal,
    /// Approximately its capacity.
    Approximate,
    /// Its capacity divided by its load at some earlier time.
    LoadAdjusted,
}

/// Relative weights of the parts of the service objective.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObjectiveWeights {
    /// Service over the whole time.
    pub overall: f64,
    /// Service during the worst seconds.
    pub worst_window: f64,
    /// Service of the class that is served worst.
    pub worst_class: f64,
    /// Service of the tenant that is served worst, within its quota.
    pub worst_tenant: f64,
}

/// Parameters of the protocol between clients, balancers and endpoints that every balancer must follow.
#[derive(Clone, Debug, PartialEq)]
pub struct Contract {
    /// How long after the client's deadline a final response is still valid.
    pub response_grace: Millis,
    /// How long attempts may still start at an endpoint after the notification that it is draining.
    pub drain_grace: Millis,
    /// Slow start: the minimum fraction of its capacity that an endpoint has when it starts, 0 to 1.
    pub initial_capacity: f64,
    /// Slow start: the maximum time until an endpoint has its full capacity.
    pub warm_up: Millis,
    /// Work above this multiple of its current capacity, ...
    pub overload_multiple: f64,
    /// ... within this time, makes an endpoint in slow start fail.
    pub overload_window: Millis,
    /// With [`DiscoveryMode::Pull`]: the balancer counts as notified of a change after this time, whether or
    /// not it polled discovery.
    pub max_notification_delay: Option<Millis>,
}

/// Price of each kind of cost; 1 is the priority weight of all requests together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// An attempt to an endpoint in another zone.
    pub cross_zone: f64,
    /// Work of endpoints that led to no response, as a fraction of the work that clients requested.
    pub waste: f64,
    /// Priority weight of requests that failed after their latency objective.
    pub late_failure: f64,
    /// A new connection.
    pub handshake: f64,
    /// A hundred open connections to each endpoint.
    pub connection: f64,
    /// A hundred lines of the endpoint list, received from discovery.
    pub discovery: f64,
    /// A health check.
    pub probe: f64,
    /// A message of the maximum size to another balancer.
    pub peer_message: f64,
}

/// Proximity of zones, for locality-aware routing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Locality {
    /// The zone of this balancer, if known; without it no zone is nearer than another.
    pub own_zone: Option<usize>,
    /// The region of each zone, as an arbitrary number. Zones of one region are near each other.
    pub regions: Vec<usize>,
}

/// The settings of one balancer, fixed for its lifetime.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Index of this balancer, from 0.
    pub balancer_index: u32,
    /// How many balancers share the endpoints.
    pub balancer_count: u32,
    /// The zone of this balancer.
    pub zone: usize,
    /// How many zones there are.
    pub zone_count: usize,
    /// Proximity of zones; `None` if all zones are used alike.
    pub locality: Option<Locality>,
    /// How many kinds of endpoints there are.
    pub kind_count: usize,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants; empty if requests belong to none.
    pub tenants: Vec<Tenant>,
    /// The fraction of its priority weight that a request above its tenant's quota keeps.
    pub over_quota_weight: f64,
    /// Whether the priority weight applies to each unit of work rather than to each request.
    pub weight_by_work: bool,
    /// Whether endpoints cache by key: one that recently served a key has less work with it.
    pub key_affinity: bool,
    /// Whether clients mark their retries.
    pub clients_mark_retries: bool,
    /// Weights of the service objective.
    pub objective_weights: ObjectiveWeights,
    /// Contents of the load reports from endpoints.
    pub load_reports: LoadReportSettings,
    /// Meaning of the endpoints' weights.
    pub weight_basis: WeightBasis,
    /// How the endpoint list is received.
    pub discovery_mode: DiscoveryMode,
    /// Resolution of the caller's clock and timers.
    pub timer_resolution: Millis,
    /// Limits of the site.
    pub limits: Limits,
    /// Parameters of the protocol with clients and endpoints.
    pub contract: Contract,
    /// Prices of each kind of cost.
    pub prices: Prices,
}

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("settings: {field} {problem}")]
pub struct SettingsError {
    field: String,
    problem: &'static str,
}

impl SettingsError {
    pub(super) fn new(field: impl Into<String>, problem: &'static str) -> SettingsError {
        SettingsError { field: field.into(), problem }
    }

    /// Path of the invalid field, such as `classes[1].deadline`.
    pub fn field(&self) -> &str {
        &self.field
    }
}
