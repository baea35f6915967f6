//! The public interface of the balancer: settings and events are its input, actions its output. The decisions
//! themselves are in `logic`.

mod action;
mod event;
mod settings;
mod validation;

pub use action::Action;
pub use event::{
    AttemptEnd, EndpointEntry, EndpointState, EndpointUpdate, Event, LoadReport, NewRequest, Outcome,
    RequestMetadata,
};
pub use settings::{
    Class, Contract, DiscoveryMode, Effect, KeyScope, Limits, LoadReportSettings, LoadReporting, Locality,
    ObjectiveWeights, Prices, Settings, SettingsError, Tenant, WeightBasis,
};

/// A duration, or a point in time on the caller's clock, in milliseconds.
///
/// The clock must be monotonic; its origin does not matter.
pub type Millis = f64;

/// Identifies a request. The caller chooses it and never reuses one with the same balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifies an endpoint; it stays the same when the endpoint's process restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u32);

/// A zone that is ejected: it receives nothing but trial requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EjectedZone {
    /// Index of the zone.
    pub zone: usize,
    /// When it was ejected, on the caller's clock.
    pub ejected_at: Millis,
    /// True if attempts to its endpoints got no response in time; false if connections to them failed.
    pub unresponsive: bool,
    /// All zones, or all but the balancer's own, are ejected: the fault may lie in the balancer's own
    /// network.
    pub own_network_suspected: bool,
}
