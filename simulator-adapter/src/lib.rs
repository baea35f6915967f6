//! Adapter between the simulator's protocol and [`balancer::Balancer`], and the JSON form of the settings,
//! which the client proxy's configuration file uses too.
#![forbid(unsafe_code)]

mod adapter;
mod conversion;
mod settings;
mod wire;

pub use adapter::{AdapterError, run};
pub use conversion::convert_load_report;
pub use settings::{WireSettings, convert_settings};
pub use wire::Metrics;
