//! Bad days for a fleet of client proxies: see docs/testbed.md.
#![forbid(unsafe_code)]

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
mod saturate;
mod scale;
mod scenario;
mod servers;
mod station;

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::time::Duration;

use clap::{Parser, Subcommand};

use crate::compare::{Compared, Verdict, compare};
use crate::ledger::Recovery;
use crate::run::{Options, Report, run_once};
use crate::saturate::saturate;
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
        /// So many times the client proxies, order servers and requests.
        #[arg(long, default_value_t = 1)]
        times: usize,
        /// Says nothing while it plays.
        #[arg(long)]
        quiet: bool,
    },
    /// Plays a scenario with an older program and with this one in turn, with the same seeds, and says of each figure
    /// whether it is better, worse, or noise. Ends with 1 if anything is worse.
    Compare {
        /// The scenario file, or the name of one that comes with the testbed.
        scenario: PathBuf,
        /// The older program.
        #[arg(long)]
        base: PathBuf,
        /// The seeds, three or more to tell anything from chance.
        #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
        seeds: Vec<u64>,
        /// So many times the client proxies, order servers and requests.
        #[arg(long, default_value_t = 1)]
        times: usize,
        /// The program at hand; that of this repository, built anew, if not given.
        #[arg(long)]
        binary: Option<PathBuf>,
    },
    /// Finds how many requests a second one client proxy serves on one core, and what it adds to each.
    Saturate {
        /// Clients that each ask again as soon as they have their answer.
        #[arg(long, default_value_t = 16)]
        clients: usize,
        /// How long they ask, in seconds.
        #[arg(long, default_value_t = 5)]
        seconds: u64,
        /// The client proxy's program; that of this repository, built anew, if not given.
        #[arg(long)]
        binary: Option<PathBuf>,
    },
    /// Makes a page of HTML of a play that was written down.
    Report {
        /// What `run --json` wrote.
        json: PathBuf,
        /// The folder that the page goes to.
        #[arg(long)]
        html: PathBuf,
    },
    /// Finds what the fleet's size costs: one axis at a time, one seed.
    Scale {
        #[command(subcommand)]
        call: ScaleCall,
    },
    /// Lists the scenarios that come with the testbed.
    List,
}

#[derive(Subcommand)]
enum ScaleCall {
    /// Makes one run. Ends with 0, or with 2 where it was not made or does not count.
    Run {
        /// Which one.
        name: String,
        /// All chance is from it.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Where the figures go as JSON; to standard output, if not given.
        #[arg(long)]
        json: Option<PathBuf>,
        /// The client proxy's program; that of this repository, built anew, if not given.
        #[arg(long)]
        binary: Option<PathBuf>,
    },
    /// Makes a page of HTML of all runs that were written down.
    Report {
        /// The folder with what `scale run --json` wrote.
        dir: PathBuf,
        /// The page.
        #[arg(long)]
        html: PathBuf,
    },
    /// Makes the tables of a page anew from a folder with rows.toml and the runs' JSON.
    Page {
        /// The folder.
        dir: PathBuf,
        /// The page.
        page: PathBuf,
        /// Leaves the page as it is. Ends with 1 where it is not as the runs say, and names the first such line.
        #[arg(long)]
        check: bool,
    },
    /// Lists the runs.
    List,
}

/// The scenarios that come with the testbed.
fn shipped() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios")
}

type Failed = Box<dyn std::error::Error>;

const NOT_PLAYED: u8 = 2;

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Call::Run { scenario, seed, json, binary, times, quiet } => {
            let played =
                read(&scenario, times).and_then(|day| run(&day, seed, json.as_deref(), binary, !quiet));
            played.map(|report| match report.void {
                true => ExitCode::from(NOT_PLAYED),
                false => ExitCode::from(u8::from(!report.passed())),
            })
        }
        Call::Compare { scenario, base, seeds, binary, times } => {
            compare_versions(&scenario, &base, &seeds, binary, times)
        }
        Call::Saturate { clients, seconds, binary } => saturate_one(clients, seconds, binary),
        Call::Report { json, html } => write_page(&json, &html),
        Call::Scale { call } => scaled(call),
        Call::List => list().map(|()| ExitCode::SUCCESS),
    };
    done.unwrap_or_else(|error| {
        eprintln!("testbed: {error}");
        ExitCode::from(NOT_PLAYED)
    })
}

/// One that is there, or that comes with the testbed under that name.
fn read(scenario: &Path, times: usize) -> Result<Scenario, Failed> {
    let named = shipped().join(scenario).with_extension("toml");
    let path = if scenario.exists() || !named.exists() { scenario } else { &named };
    Ok(Scenario::read(path)?.scaled(times, &path.display().to_string())?)
}

/// Plays once, with a folder for the files of the processes.
fn play_once(scenario: &Scenario, binary: &Path, seed: u64, progress: bool) -> Result<Report, Failed> {
    let options = |dir: &Path| Options { binary: binary.to_owned(), seed, dir: dir.to_owned(), progress };
    Ok(in_a_folder(|dir| run_once(scenario, &options(dir)))??)
}

/// Does this with a folder for the files of processes, and clears it away.
fn in_a_folder<T>(work: impl FnOnce(&Path) -> T) -> std::io::Result<T> {
    let dir = std::env::temp_dir().join(format!("testbed-{}", std::process::id()));
    fs::create_dir_all(&dir)?;
    let done = work(&dir);
    // Left behind at worst, in the folder for what may be left behind.
    let _ = fs::remove_dir_all(&dir);
    Ok(done)
}

fn compare_versions(
    scenario: &Path,
    base: &Path,
    seeds: &[u64],
    binary: Option<PathBuf>,
    times: usize,
) -> Result<ExitCode, Failed> {
    let scenario = read(scenario, times)?;
    let binary = binary.map_or_else(built, Ok)?;
    let mut pairs = Vec::new();
    for &seed in seeds {
        // Whoever is second finds the machine as the first one left it, so they take turns at that.
        let older_first = pairs.len() % 2 == 0;
        let order = if older_first { [base, &binary] } else { [&binary, base] };
        let [first, second] = order.map(|program| play_once(&scenario, program, seed, false));
        let (first, second) = (first?, second?);
        let (older, own) = if older_first { (first, second) } else { (second, first) };
        for (whose, report) in [("older", &older), ("own", &own)] {
            let Report { figures, void, .. } = report;
            let void = if *void { "  void" } else { "" };
            println!(
                "seed {seed} {whose}: served {:.4}, worth {:.4}{void}",
                figures.served_share, figures.worth_share
            );
        }
        pairs.push((older, own));
    }
    if pairs.iter().any(|(older, own)| older.void || own.void) {
        println!("VOID: the testbed was late");
        return Ok(ExitCode::from(NOT_PLAYED));
    }
    let compared = compare(&pairs);
    println!("{:22} {:>12} {:>12} {:>18}  verdict", "", "older", "own", "ratio");
    for Compared { name, means: [older, own], ratio, verdict } in &compared {
        let ratio = ratio.map_or("-".to_owned(), |(mean, spread)| format!("{mean:.4} +- {spread:.4}"));
        println!("{name:22} {older:12.4} {own:12.4} {ratio:>18}  {verdict:?}");
    }
    println!("paired t-test over {} seeds, two-sided at 95%", seeds.len());
    Ok(ExitCode::from(u8::from(compared.iter().any(|figure| figure.verdict == Verdict::Worse))))
}

fn saturate_one(clients: usize, seconds: u64, binary: Option<PathBuf>) -> Result<ExitCode, Failed> {
    let scenario = read(Path::new("saturate"), 1)?;
    let binary = binary.map_or_else(built, Ok)?;
    let lasts = Duration::from_secs(seconds);
    let saturated = in_a_folder(|dir| saturate(&scenario, &binary, dir, clients, lasts))??;
    println!("{}", serde_json::to_string_pretty(&saturated)?);
    Ok(ExitCode::SUCCESS)
}

fn scaled(call: ScaleCall) -> Result<ExitCode, Failed> {
    match call {
        ScaleCall::Run { name, seed, json, binary } => {
            let binary = binary.map_or_else(built, Ok)?;
            let options = |dir: &Path| scale::Options { binary, seed, dir: dir.to_owned() };
            let run = in_a_folder(|dir| scale::run(&name, &options(dir)))??;
            let text = serde_json::to_string_pretty(&run)? + "\n";
            match json {
                Some(path) => fs::write(path, text)?,
                None => print!("{text}"),
            }
            if let Some(why) = &run.void {
                println!("VOID: {why}");
            }
            Ok(ExitCode::from(if run.void.is_some() { NOT_PLAYED } else { 0 }))
        }
        ScaleCall::Report { dir, html } => {
            fs::write(&html, scale::report::page(&scale::read_runs(&dir)?)?)?;
            Ok(ExitCode::SUCCESS)
        }
        ScaleCall::Page { dir, page, check } => {
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
        ScaleCall::List => {
            scale::RUNS.iter().for_each(|known| println!("{:24} {}", known.name, known.about));
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn write_page(json: &Path, html: &Path) -> Result<ExitCode, Failed> {
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
) -> Result<Report, Failed> {
    let binary = binary.map_or_else(built, Ok)?;
    let report = play_once(scenario, &binary, seed, progress)?;
    if let Some(json) = json {
        fs::write(json, serde_json::to_vec_pretty(&report)?)?;
    }
    print(&report);
    Ok(report)
}

/// The client proxy of this repository: beside the testbed, as the relay is, and both built first where cargo has started
/// the testbed.
fn built() -> Result<PathBuf, Failed> {
    let own = std::env::current_exe()?;
    if let Some(cargo) = std::env::var_os("CARGO") {
        let release = own.parent().is_some_and(|dir| dir.ends_with("release"));
        let mut build = Command::new(cargo);
        build.current_dir(env!("CARGO_MANIFEST_DIR")).args(["build", "--locked"]);
        build.args(["-p", "client-proxy", "-p", "discovery-relay"]);
        if release {
            build.arg("--release");
        }
        if !build.status()?.success() {
            return Err("the client proxy and the relay are not built".into());
        }
    }
    let binary = own.with_file_name("client-proxy");
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
        "latency p50 {p50:.2} ms  p99 {p99:.2}  p999 {p999:.2}  own p99 {:.2}  attempts {:.3}  cross-zone {:.3}  testbed late {:.2} ms",
        figures.own_us[1] as f64 / 1e3,
        figures.attempts_per_request,
        figures.cross_zone_share,
        figures.testbed_late_us as f64 / 1e3
    );
    let most = |of: fn(&run::ProxyReport) -> f64| report.proxies.iter().map(of).fold(0.0, f64::max);
    println!(
        "the most of one client proxy: CPU {:.2} s, {:.2} of a core in a second, {:.1} MB, {:.0} descriptors",
        most(|proxy| proxy.usage.cpu_s),
        most(|proxy| proxy.usage.busiest),
        most(|proxy| proxy.usage.memory_mb),
        most(|proxy| proxy.usage.descriptors as f64)
    );
    for Recovery { at_s, fault, ms } in &figures.recovery_ms {
        let after = ms.map_or("not recovered".to_owned(), |ms| format!("recovered after {ms} ms"));
        println!("  {at_s:.1} s: {fault}: {after}");
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

fn list() -> Result<(), Failed> {
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
