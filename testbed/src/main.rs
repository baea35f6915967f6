//! Runs failure scenarios against a fleet of client proxy processes: see docs/testbed.md.
#![forbid(unsafe_code)]

mod arguments;
mod chance;
mod clients;
mod compare;
mod datagrams;
mod discovery;
mod events;
mod fleet;
mod html;
mod ledger;
mod link;
mod run;
mod run_context;
mod saturate;
mod scale;
mod scenario;
mod servers;
mod station;

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::time::Duration;

use clap::Parser;

use crate::arguments::{Arguments, ScaleCommand, TestbedCommand};
use crate::compare::{Compared, Verdict, compare};
use crate::ledger::Recovery;
use crate::run::{Options, Report, run_once};
use crate::saturate::saturate;
use crate::scenario::Scenario;

/// The directory of the scenarios that are part of the testbed.
fn scenarios_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios")
}

type BoxError = Box<dyn std::error::Error>;

/// Exit code if a run could not be executed or its result is void.
const EXIT_RUN_FAILED_OR_VOID: u8 = 2;

fn main() -> ExitCode {
    let exit_code = match Arguments::parse().command {
        TestbedCommand::Run { scenario, seed, json, binary, times, quiet } => {
            let report = load_scenario(&scenario, times)
                .and_then(|scenario| run(&scenario, seed, json.as_deref(), binary, !quiet));
            report.map(|report| match report.void {
                true => ExitCode::from(EXIT_RUN_FAILED_OR_VOID),
                false => ExitCode::from(u8::from(!report.passed())),
            })
        }
        TestbedCommand::Compare { scenario, base, seeds, binary, times } => {
            compare_versions(&scenario, &base, &seeds, binary, times)
        }
        TestbedCommand::Saturate { clients, seconds, binary } => measure_saturation(clients, seconds, binary),
        TestbedCommand::Report { json, html } => write_page(&json, &html),
        TestbedCommand::Scale { command } => run_scale_command(command),
        TestbedCommand::List => list().map(|()| ExitCode::SUCCESS),
    };
    exit_code.unwrap_or_else(|error| {
        eprintln!("testbed: {error}");
        ExitCode::from(EXIT_RUN_FAILED_OR_VOID)
    })
}

/// Loads a scenario from a file or, if there is no such file, by name from the testbed's own scenarios.
fn load_scenario(scenario: &Path, times: usize) -> Result<Scenario, BoxError> {
    let built_in = scenarios_dir().join(scenario).with_extension("toml");
    let path = if scenario.exists() || !built_in.exists() { scenario } else { &built_in };
    Ok(Scenario::read(path)?.scaled(times, &path.display().to_string())?)
}

/// Runs a scenario once, in a temporary directory for the files of its processes.
fn run_in_temporary_dir(
    scenario: &Scenario,
    binary: &Path,
    seed: u64,
    progress: bool,
) -> Result<Report, BoxError> {
    let options = |dir: &Path| Options { binary: binary.to_owned(), seed, dir: dir.to_owned(), progress };
    Ok(with_temporary_dir(|dir| run_once(scenario, &options(dir)))??)
}

/// Calls `work` with a temporary directory for the files of the processes, and removes the directory
/// afterwards.
fn with_temporary_dir<T>(work: impl FnOnce(&Path) -> T) -> std::io::Result<T> {
    let dir = std::env::temp_dir().join(format!("testbed-{}", std::process::id()));
    fs::create_dir_all(&dir)?;
    let result = work(&dir);
    // A failed removal is ignored: the directory is in the system's directory for temporary files.
    let _ = fs::remove_dir_all(&dir);
    Ok(result)
}

fn compare_versions(
    scenario: &Path,
    base: &Path,
    seeds: &[u64],
    binary: Option<PathBuf>,
    times: usize,
) -> Result<ExitCode, BoxError> {
    let scenario = load_scenario(scenario, times)?;
    let binary = binary.map_or_else(build_client_proxy, Ok)?;
    let mut pairs = Vec::new();
    for &seed in seeds {
        // The first run can change the state in which the second one finds the machine, so the order
        // alternates from seed to seed.
        let baseline_first = pairs.len() % 2 == 0;
        let order = if baseline_first { [base, &binary] } else { [&binary, base] };
        let [first, second] = order.map(|program| run_in_temporary_dir(&scenario, program, seed, false));
        let (first, second) = (first?, second?);
        let (baseline, current) = if baseline_first { (first, second) } else { (second, first) };
        for (executable, report) in [("older", &baseline), ("own", &current)] {
            let Report { figures, void, .. } = report;
            let void = if *void { "  void" } else { "" };
            println!(
                "seed {seed} {executable}: served {:.4}, worth {:.4}{void}",
                figures.served_share, figures.worth_share
            );
        }
        pairs.push((baseline, current));
    }
    if pairs.iter().any(|(baseline, current)| baseline.void || current.void) {
        println!("VOID: the testbed was late");
        return Ok(ExitCode::from(EXIT_RUN_FAILED_OR_VOID));
    }
    let compared = compare(&pairs);
    println!("{:22} {:>12} {:>12} {:>18}  verdict", "", "older", "own", "ratio");
    for Compared { name, means: [baseline, current], ratio, verdict } in &compared {
        let ratio = ratio.map_or("-".to_owned(), |(mean, spread)| format!("{mean:.4} +- {spread:.4}"));
        println!("{name:22} {baseline:12.4} {current:12.4} {ratio:>18}  {verdict:?}");
    }
    println!("paired t-test over {} seeds, two-sided at 95%", seeds.len());
    Ok(ExitCode::from(u8::from(compared.iter().any(|figure| figure.verdict == Verdict::Worse))))
}

fn measure_saturation(clients: usize, seconds: u64, binary: Option<PathBuf>) -> Result<ExitCode, BoxError> {
    let scenario = load_scenario(Path::new("saturate"), 1)?;
    let binary = binary.map_or_else(build_client_proxy, Ok)?;
    let duration = Duration::from_secs(seconds);
    let saturated = with_temporary_dir(|dir| saturate(&scenario, &binary, dir, clients, duration))??;
    println!("{}", serde_json::to_string_pretty(&saturated)?);
    Ok(ExitCode::SUCCESS)
}

fn run_scale_command(command: ScaleCommand) -> Result<ExitCode, BoxError> {
    match command {
        ScaleCommand::Run { name, seed, json, binary } => {
            let binary = binary.map_or_else(build_client_proxy, Ok)?;
            let options = |dir: &Path| scale::Options { binary, seed, dir: dir.to_owned() };
            let run = with_temporary_dir(|dir| scale::run(&name, &options(dir)))??;
            let text = serde_json::to_string_pretty(&run)? + "\n";
            match json {
                Some(path) => fs::write(path, text)?,
                None => print!("{text}"),
            }
            if let Some(reason) = &run.void {
                println!("VOID: {reason}");
            }
            Ok(ExitCode::from(if run.void.is_some() { EXIT_RUN_FAILED_OR_VOID } else { 0 }))
        }
        ScaleCommand::Report { dir, html } => {
            fs::write(&html, scale::report::page(&scale::read_runs(&dir)?)?)?;
            Ok(ExitCode::SUCCESS)
        }
        ScaleCommand::Page { dir, page, check } => {
            let actual = fs::read_to_string(&page).map_err(|error| format!("{}: {error}", page.display()))?;
            let expected = scale::page::regenerate(&dir, &page)?;
            let difference = scale::page::first_difference(&actual, &expected);
            if !check {
                fs::write(&page, expected)?;
                return Ok(ExitCode::SUCCESS);
            }
            if let Some(scale::page::Difference { line, actual, expected }) = &difference {
                println!(
                    "{}:{line}: is    {actual}\n{}:{line}: ought {expected}",
                    page.display(),
                    page.display()
                );
            }
            Ok(ExitCode::from(u8::from(difference.is_some())))
        }
        ScaleCommand::List => {
            scale::RUNS.iter().for_each(|run| println!("{:24} {}", run.name, run.about));
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn write_page(json: &Path, html: &Path) -> Result<ExitCode, BoxError> {
    let report: Report = serde_json::from_slice(&fs::read(json)?)?;
    fs::create_dir_all(html)?;
    let file = html.join(html::file_name(&report));
    fs::write(&file, html::page(&report)?)?;
    println!("{}", file.display());
    Ok(ExitCode::SUCCESS)
}

fn run(
    scenario: &Scenario,
    seed: u64,
    json: Option<&Path>,
    binary: Option<PathBuf>,
    progress: bool,
) -> Result<Report, BoxError> {
    let binary = binary.map_or_else(build_client_proxy, Ok)?;
    let report = run_in_temporary_dir(scenario, &binary, seed, progress)?;
    if let Some(json) = json {
        fs::write(json, serde_json::to_vec_pretty(&report)?)?;
    }
    print(&report);
    Ok(report)
}

/// Path of this repository's client proxy executable, which stands in the same directory as the testbed and
/// the relay. If cargo started the testbed, it first builds the client proxy and the relay with the profile
/// of the testbed.
fn build_client_proxy() -> Result<PathBuf, BoxError> {
    let testbed = std::env::current_exe()?;
    if let Some(cargo) = std::env::var_os("CARGO") {
        let release = testbed.parent().is_some_and(|dir| dir.ends_with("release"));
        let mut build = Command::new(cargo);
        build.current_dir(env!("CARGO_MANIFEST_DIR")).args(["build", "--locked"]);
        build.args(["-p", "client-proxy", "-p", "discovery-relay"]);
        if release {
            build.arg("--release");
        }
        if !build.status()?.success() {
            return Err("cargo build of client-proxy and discovery-relay failed".into());
        }
    }
    let binary = testbed.with_file_name("client-proxy");
    if binary.exists() {
        Ok(binary)
    } else {
        Err(format!("{}: client proxy executable not found", binary.display()).into())
    }
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
        "latency p50 {p50:.2} ms  p99 {p99:.2}  p999 {p999:.2}  own p99 {:.2}  attempts {:.3}  cross-zone {:.3}  testbed late {:.2} ms",
        figures.own_us[1] as f64 / 1e3,
        figures.attempts_per_request,
        figures.cross_zone_share,
        figures.testbed_late_us as f64 / 1e3
    );
    let max = |usage: fn(&run::ProxyReport) -> f64| report.proxies.iter().map(usage).fold(0.0, f64::max);
    println!(
        "the most of one client proxy: CPU {:.2} s, {:.2} of a core in a second, {:.1} MB, {:.0} descriptors",
        max(|proxy| proxy.usage.cpu_s),
        max(|proxy| proxy.usage.busiest),
        max(|proxy| proxy.usage.memory_mb),
        max(|proxy| proxy.usage.descriptors as f64)
    );
    for Recovery { at_s, fault, ms } in &figures.recovery_ms {
        let recovery = ms.map_or("not recovered".to_owned(), |ms| format!("recovered after {ms} ms"));
        println!("  {at_s:.1} s: {fault}: {recovery}");
    }
    for violation in figures.breaks.iter().chain(&report.missed) {
        println!("  {violation}");
    }
    let verdict = match (report.void, report.passed()) {
        (true, _) => "VOID: the testbed was late",
        (false, true) => "PASSED",
        (false, false) => "FAILED",
    };
    println!("{verdict}");
}

fn list() -> Result<(), BoxError> {
    let mut files: Vec<PathBuf> =
        fs::read_dir(scenarios_dir())?.filter_map(|entry| Some(entry.ok()?.path())).collect();
    files.sort();
    for file in files.iter().filter(|file| file.extension().is_some_and(|end| end == "toml")) {
        match Scenario::read(file) {
            Ok(scenario) => println!("{:24} {}", scenario.name, scenario.about),
            Err(error) => println!("{error}"),
        }
    }
    Ok(())
}
