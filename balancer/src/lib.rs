#![doc = include_str!("../../README.md")]
#![forbid(unsafe_code)]

mod decaying_mean;
mod endpoint;
mod hashing;
mod interface;
mod logic;
mod proportional_integral;
mod sampling;
mod state;

pub use interface::*;
pub use state::Balancer;
