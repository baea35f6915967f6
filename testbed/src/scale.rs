//! The scale run: one axis of the fleet's size at a time, with what it costs at each point. Slopes and their errors come
//! from several seeds together; the page docs/CAPACITY.md multiplies them out.

pub mod depth;
pub mod fit;
pub mod hollow;
pub mod law;
pub mod page;
pub mod real;
pub mod relay;
pub mod report;
pub mod timeline;
pub mod virtual_fleet;
pub mod watchers;

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a run was not made, or its figures are not there.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// No run has this name.
    #[error("{0}: no such run; `scale list` names them")]
    Unknown(String),
    /// The system, or a process that was started.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A file of figures, or what it says.
    #[error("{path}: {problem}")]
    File {
        /// Which one.
        path: PathBuf,
        /// What is wrong.
        problem: String,
    },
    /// The run could not be set up.
    #[error("{0}")]
    SetUp(String),
}

/// One point of the axis.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Point {
    /// Where on the axis.
    pub x: f64,
    /// By name; the name ends with its unit, as in `memory_mb`, `idle_core_share`, `change_cpu_ms`, `down_bytes_s`.
    pub figures: BTreeMap<String, f64>,
}

/// One run: one axis, one seed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Run {
    /// Its name, one of [`RUNS`].
    pub run: String,
    /// What changes from point to point, with its unit.
    pub axis: String,
    /// All chance is from it.
    pub seed: u64,
    /// Why it does not count, where it does not: the testbed itself was late.
    pub void: Option<String>,
    /// What was held fixed, as a reader needs it: counts, sizes, laws, limits of the machine.
    pub fixed: BTreeMap<String, String>,
    /// From the least `x` to the greatest.
    pub points: Vec<Point>,
}

/// What is set from outside.
pub struct Options {
    /// The client proxy's program.
    pub binary: PathBuf,
    /// All chance is from it.
    pub seed: u64,
    /// For files of the processes.
    pub dir: PathBuf,
}

/// A run that can be asked for: its name, what it finds out, and how it is made.
pub struct Known {
    /// As on the command line and in the JSON.
    pub name: &'static str,
    /// In a sentence.
    pub about: &'static str,
    /// Makes it.
    pub make: fn(&Options) -> Result<Run, ScaleError>,
}

/// All runs.
pub const RUNS: &[Known] = &[
    Known {
        name: "client-endpoints",
        about: "a client proxy by the length of its list",
        make: real::client_endpoints,
    },
    Known { name: "client-changes", about: "a client proxy by changes a second", make: real::client_changes },
    Known {
        name: "client-burst",
        about: "a client proxy by endpoints that change at once",
        make: real::client_burst,
    },
    Known { name: "client-latency", about: "what a client proxy adds to a call", make: real::client_latency },
    Known {
        name: "services",
        about: "What a client proxy has to hold in the supposed fleet.",
        make: law::make,
    },
    Known { name: "hollow-endpoints", about: "Hollow client proxies by endpoints held.", make: hollow::make },
    Known {
        name: "discovery-watchers",
        about: "Discovery by watchers, each told what it calls.",
        make: watchers::scoped,
    },
    Known {
        name: "discovery-watchers-whole",
        about: "The same, each told of the whole fleet.",
        make: watchers::whole,
    },
    Known {
        name: "fleet-virtual-50us",
        about: "A fleet in virtual time, 50 us a call.",
        make: virtual_fleet::lean,
    },
    Known {
        name: "fleet-virtual-1ms",
        about: "A fleet in virtual time, 1 ms a call.",
        make: virtual_fleet::slow,
    },
    Known {
        name: "fleet-virtual-50ms",
        about: "A fleet in virtual time, 50 ms a call.",
        make: virtual_fleet::as_reckoned,
    },
    Known { name: "retry-depth", about: "How repeats multiply over levels of calls.", make: depth::make },
    Known { name: "relay-watchers", about: "a relay by its watchers", make: relay::by_watchers },
    Known {
        name: "relay-unconcerned",
        about: "a relay by watchers whom no change concerns",
        make: relay::by_unconcerned,
    },
    Known { name: "relay-endpoints", about: "a relay by the length of the list", make: relay::by_endpoints },
    Known { name: "relay-burst", about: "a relay by endpoints that change at once", make: relay::burst },
    Known { name: "relay-hops", about: "changes through one relay, and through two", make: relay::hops },
    Known { name: "relay-lost", about: "the watchers of a relay that is lost", make: relay::lost },
    Known { name: "relay-return", about: "a relay by watchers that come at once", make: relay::returning },
];

/// Makes one run.
///
/// # Errors
/// Where it is not known or cannot be set up.
pub fn run(name: &str, options: &Options) -> Result<Run, ScaleError> {
    let known = RUNS.iter().find(|known| known.name == name);
    (known.ok_or_else(|| ScaleError::Unknown(name.to_owned()))?.make)(options)
}

/// All runs that a folder holds and that count, by name; of each, the seeds in order.
///
/// # Errors
/// Where a file cannot be read or is no run.
pub fn read_all(dir: &Path) -> Result<BTreeMap<String, Vec<Run>>, ScaleError> {
    let mut runs: BTreeMap<String, Vec<Run>> = BTreeMap::new();
    for entry in fs::read_dir(dir)? {
        let path = entry?.path();
        if path.extension().is_none_or(|end| end != "json") {
            continue;
        }
        let run: Result<Run, _> = serde_json::from_slice(&fs::read(&path)?);
        let run = run.map_err(|error| ScaleError::File { path, problem: error.to_string() })?;
        if run.void.is_none() {
            runs.entry(run.run.clone()).or_default().push(run);
        }
    }
    runs.values_mut().for_each(|seeds| seeds.sort_by_key(|run| run.seed));
    Ok(runs)
}
