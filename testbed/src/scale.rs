//! Scale runs. Each run varies one dimension of the fleet's size and measures the cost at each point. Slopes
//! and their errors are fitted over the runs of several seeds; `docs/CAPACITY.md` extrapolates from them.

pub mod depth;
pub mod fit;
pub mod hollow;
pub mod law;
pub mod page;
pub mod real;
pub mod relay;
pub mod report;
pub mod timeline;
pub mod usage;
pub mod virtual_fleet;
pub mod watchers;

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a run failed, or its figures could not be read.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// No run has this name.
    #[error("no run named {0}; see `scale list`")]
    Unknown(String),
    /// A system call failed, or a child process could not be started.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A file could not be read, or its content is invalid.
    #[error("{path}: {problem}")]
    File {
        /// The path of the file.
        path: PathBuf,
        /// What is wrong with it.
        problem: String,
    },
    /// The run could not be set up, or did not make progress.
    #[error("{0}")]
    SetUp(String),
}

/// The figures measured at one point of the axis.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Point {
    /// The position on the axis.
    pub x: f64,
    /// Figures by name. The name has the unit, as in `memory_mb`, `idle_core_share`, `change_cpu_ms`,
    /// `down_bytes_s`.
    pub figures: BTreeMap<String, f64>,
}

/// The result of one run: one axis, one seed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Run {
    /// The name of the run, one of [`RUNS`].
    pub run: String,
    /// The quantity that varies between points, with its unit.
    pub axis: String,
    /// The seed of all random choices.
    pub seed: u64,
    /// If the run is invalid, the reason: the testbed itself was too slow.
    pub void: Option<String>,
    /// The conditions that are the same at all points: counts, sizes, distributions, limits of the machine.
    pub fixed: BTreeMap<String, String>,
    /// The points by ascending `x`.
    pub points: Vec<Point>,
}

/// Options from the command line.
pub struct Options {
    /// The client proxy's executable.
    pub binary: PathBuf,
    /// The seed of all random choices.
    pub seed: u64,
    /// Directory for the files of the child processes.
    pub dir: PathBuf,
}

/// A run that the command line offers.
pub struct RunDefinition {
    /// The name on the command line and in the JSON.
    pub name: &'static str,
    /// A one-line description.
    pub about: &'static str,
    /// Executes the run.
    pub execute: fn(&Options) -> Result<Run, ScaleError>,
}

/// All runs that exist.
pub const RUNS: &[RunDefinition] = &[
    RunDefinition {
        name: "client-endpoints",
        about: "cost of a client proxy by endpoints in its list",
        execute: real::client_endpoints,
    },
    RunDefinition {
        name: "client-changes",
        about: "cost of a client proxy by list changes per second",
        execute: real::client_changes,
    },
    RunDefinition {
        name: "client-burst",
        about: "cost of a client proxy by endpoints changed at once",
        execute: real::client_burst,
    },
    RunDefinition {
        name: "client-latency",
        about: "latency that a client proxy adds to a request",
        execute: real::client_latency,
    },
    RunDefinition {
        name: "services",
        about: "endpoints that a client proxy of the modelled fleet has in its list",
        execute: law::make,
    },
    RunDefinition {
        name: "hollow-endpoints",
        about: "cost of a control-only client proxy by endpoints in its list",
        execute: hollow::run,
    },
    RunDefinition {
        name: "discovery-watchers",
        about: "cost of discovery by watchers, each of which gets its own scope",
        execute: watchers::scoped,
    },
    RunDefinition {
        name: "discovery-watchers-whole",
        about: "cost of discovery by watchers, each of which gets the whole fleet",
        execute: watchers::whole,
    },
    RunDefinition {
        name: "fleet-virtual-50us",
        about: "a fleet in virtual time, 50 us of service time per poll",
        execute: virtual_fleet::fast_discovery,
    },
    RunDefinition {
        name: "fleet-virtual-1ms",
        about: "a fleet in virtual time, 1 ms of service time per poll",
        execute: virtual_fleet::slow_discovery,
    },
    RunDefinition {
        name: "fleet-virtual-50ms",
        about: "a fleet in virtual time, 50 ms of service time per poll",
        execute: virtual_fleet::assumed_discovery,
    },
    RunDefinition {
        name: "retry-depth",
        about: "how retries multiply over the levels of a call tree",
        execute: depth::make,
    },
    RunDefinition {
        name: "relay-watchers",
        about: "cost of a relay by watchers",
        execute: relay::by_watchers,
    },
    RunDefinition {
        name: "relay-unconcerned",
        about: "cost of a relay by watchers that no change concerns",
        execute: relay::by_unconcerned,
    },
    RunDefinition {
        name: "relay-endpoints",
        about: "cost of a relay by endpoints in the list",
        execute: relay::by_endpoints,
    },
    RunDefinition {
        name: "relay-burst",
        about: "cost of a relay by endpoints changed at once",
        execute: relay::burst,
    },
    RunDefinition {
        name: "relay-hops",
        about: "propagation of changes through one relay and through two",
        execute: relay::hops,
    },
    RunDefinition {
        name: "relay-lost",
        about: "failover of the watchers of a failed relay",
        execute: relay::lost,
    },
    RunDefinition {
        name: "relay-return",
        about: "one relay with many watchers that reconnect at once",
        execute: relay::returning,
    },
];

/// Executes one run.
///
/// # Errors
/// If no run has this name, or the run fails.
pub fn run(name: &str, options: &Options) -> Result<Run, ScaleError> {
    let definition = RUNS.iter().find(|definition| definition.name == name);
    (definition.ok_or_else(|| ScaleError::Unknown(name.to_owned()))?.execute)(options)
}

/// Reads the results of all valid runs in a directory, by name of the run and then by seed.
///
/// # Errors
/// If a file cannot be read or does not contain a run.
pub fn read_runs(dir: &Path) -> Result<BTreeMap<String, Vec<Run>>, ScaleError> {
    let mut runs: BTreeMap<String, Vec<Run>> = BTreeMap::new();
    for entry in fs::read_dir(dir)? {
        let path = entry?.path();
        if path.extension().is_none_or(|extension| extension != "json") {
            continue;
        }
        let run: Result<Run, _> = serde_json::from_slice(&fs::read(&path)?);
        let run = run.map_err(|error| ScaleError::File { path, problem: error.to_string() })?;
        if run.void.is_none() {
            runs.entry(run.run.clone()).or_default().push(run);
        }
    }
    runs.values_mut().for_each(|results| results.sort_by_key(|run| run.seed));
    Ok(runs)
}
