//! Bad days for a fleet of client proxies: see docs/testbed.md.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod clients;
mod discovery;
mod events;
mod fleet;
mod ledger;
mod link;
mod run;
mod scenario;
mod servers;
mod station;

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};

use clap::{Parser, Subcommand};

use crate::run::{Options, Report, play};
use crate::scenario::Scenario;

/// Bad days for a fleet of client proxies.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Call,
}

#[derive(Subcommand)]
enum Call {
    /// Plays a scenario once. Ends with 0 if all rules held and all came as expected, 1 if not, 2 if it was not played
    /// or does not count.
    Run {
        /// The scenario file, or the name of one that comes with the testbed.
        scenario: PathBuf,
        /// All chance is from it.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Where the figures go as JSON.
        #[arg(long)]
        json: Option<PathBuf>,
        /// The client proxy's program; that of this repository, built anew, if not given.
        #[arg(long)]
        binary: Option<PathBuf>,
        /// Says nothing while it plays.
        #[arg(long)]
        quiet: bool,
    },
    /// Lists the scenarios that come with the testbed.
    List,
}

/// The scenarios that come with the testbed.
fn shipped() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios")
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Call::Run { scenario, seed, json, binary, quiet } => {
            match run(&scenario, seed, json.as_deref(), binary, !quiet) {
                Ok(report) if report.void => ExitCode::from(2),
                Ok(report) if report.passed() => ExitCode::SUCCESS,
                Ok(_) => ExitCode::FAILURE,
                Err(error) => {
                    eprintln!("testbed: {error}");
                    ExitCode::from(2)
                }
            }
        }
        Call::List => match list() {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("testbed: {}: {error}", shipped().display());
                ExitCode::from(2)
            }
        },
    }
}

fn run(
    scenario: &Path,
    seed: u64,
    json: Option<&Path>,
    binary: Option<PathBuf>,
    progress: bool,
) -> Result<Report, Box<dyn std::error::Error>> {
    let named = shipped().join(scenario).with_extension("toml");
    let path = if scenario.exists() || !named.exists() { scenario } else { &named };
    let scenario = Scenario::read(path)?;
    let binary = binary.map_or_else(built, Ok)?;
    let dir = std::env::temp_dir().join(format!("testbed-{}", std::process::id()));
    fs::create_dir_all(&dir)?;
    let played = play(&scenario, &Options { binary, seed, dir: dir.clone(), progress });
    // Left behind at worst, in the folder for what may be left behind.
    let _ = fs::remove_dir_all(&dir);
    let report = played?;
    if let Some(json) = json {
        fs::write(json, serde_json::to_vec_pretty(&report)?)?;
    }
    print(&report);
    Ok(report)
}

/// The client proxy of this repository: beside the testbed, and built first where cargo has started the testbed.
fn built() -> Result<PathBuf, Box<dyn std::error::Error>> {
    let own = std::env::current_exe()?;
    if let Some(cargo) = std::env::var_os("CARGO") {
        let release = own.parent().is_some_and(|dir| dir.ends_with("release"));
        let mut build = Command::new(cargo);
        build.current_dir(env!("CARGO_MANIFEST_DIR")).args(["build", "--locked", "-p", "martensill"]);
        if release {
            build.arg("--release");
        }
        if !build.status()?.success() {
            return Err("the client proxy is not built".into());
        }
    }
    let binary = own.with_file_name("martensill");
    if binary.exists() { Ok(binary) } else { Err(format!("{}: not there", binary.display()).into()) }
}

fn print(report: &Report) {
    let Report { scenario, seed, figures, .. } = report;
    println!("{scenario}, seed {seed}: {} requests", figures.requests);
    println!(
        "served {:.4}  worth {:.4}  worst second {:.3}  refused {:.4}  failed {:.4}",
        figures.served_share,
        figures.worth_share,
        figures.worst_window,
        figures.refused_share,
        figures.failed_share
    );
    let [p50, p99, p999] = figures.latency_us.map(|us| us as f64 / 1e3);
    println!(
        "latency p50 {p50:.2} ms  p99 {p99:.2}  p999 {p999:.2}  attempts {:.3}  cross-zone {:.3}  testbed late {:.2} ms",
        figures.attempts_per_request,
        figures.cross_zone_share,
        figures.testbed_late_us as f64 / 1e3
    );
    let most = |of: fn(&run::ProxyReport) -> f64| report.proxies.iter().map(of).fold(0.0, f64::max);
    println!(
        "the most of one client proxy: CPU {:.2} s, {:.1} MB, {:.0} descriptors",
        most(|proxy| proxy.usage.cpu_s),
        most(|proxy| proxy.usage.memory_mb),
        most(|proxy| proxy.usage.descriptors as f64)
    );
    for (what, recovered) in &figures.recovery_ms {
        let after = recovered.map_or("not recovered".to_owned(), |ms| format!("recovered after {ms} ms"));
        println!("  {what}: {after}");
    }
    for said in figures.breaks.iter().chain(&report.missed) {
        println!("  {said}");
    }
    let verdict = match (report.void, report.passed()) {
        (true, _) => "VOID: the testbed was late",
        (false, true) => "PASSED",
        (false, false) => "FAILED",
    };
    println!("{verdict}");
}

fn list() -> std::io::Result<()> {
    let mut files: Vec<PathBuf> =
        fs::read_dir(shipped())?.filter_map(|entry| Some(entry.ok()?.path())).collect();
    files.sort();
    for file in files.iter().filter(|file| file.extension().is_some_and(|end| end == "toml")) {
        match Scenario::read(file) {
            Ok(scenario) => println!("{:24} {}", scenario.name, scenario.about),
            Err(error) => println!("{error}"),
        }
    }
    Ok(())
}
