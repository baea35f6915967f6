//! The command line.

use std::path::PathBuf;

use clap::{Parser, Subcommand};

/// Runs failure scenarios against a fleet of client proxy processes.
#[derive(Parser)]
#[command(version)]
pub struct Arguments {
    #[command(subcommand)]
    pub command: TestbedCommand,
}

#[derive(Subcommand)]
pub enum TestbedCommand {
    /// Runs a scenario once. Exits with 0 if no rule was violated and all expectations were met, 1 if not, 2
    /// if the scenario could not be run or its result is void.
    Run {
        /// The scenario file, or the name of a scenario that is part of the testbed.
        scenario: PathBuf,
        /// Seed of all pseudo-random choices.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// File to which the report is written as JSON.
        #[arg(long)]
        json: Option<PathBuf>,
        /// The client proxy executable. Default: build and use the one in this repository.
        #[arg(long)]
        binary: Option<PathBuf>,
        /// Factor by which the numbers of client proxies, order servers and requests are multiplied.
        #[arg(long, default_value_t = 1)]
        times: usize,
        /// Prints no progress during the run.
        #[arg(long)]
        quiet: bool,
    },
    /// Runs a scenario with a baseline executable and with the current one, with the same seeds, and prints
    /// for each figure whether it is better, worse, or within noise. Exits with 1 if any figure is worse, 2
    /// if a run failed or is void.
    Compare {
        /// The scenario file, or the name of a scenario that is part of the testbed.
        scenario: PathBuf,
        /// The baseline client proxy executable.
        #[arg(long)]
        base: PathBuf,
        /// Comma-separated seeds. At least three are needed to tell a change from noise.
        #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
        seeds: Vec<u64>,
        /// Factor by which the numbers of client proxies, order servers and requests are multiplied.
        #[arg(long, default_value_t = 1)]
        times: usize,
        /// The current client proxy executable. Default: build and use the one in this repository.
        #[arg(long)]
        binary: Option<PathBuf>,
    },
    /// Measures how many requests per second one client proxy serves on one core, and the latency and CPU
    /// time of each.
    Saturate {
        /// Number of clients. Each sends its next request as soon as it has the response to the last one.
        #[arg(long, default_value_t = 16)]
        clients: usize,
        /// Duration of the measurement in seconds.
        #[arg(long, default_value_t = 5)]
        seconds: u64,
        /// The client proxy executable. Default: build and use the one in this repository.
        #[arg(long)]
        binary: Option<PathBuf>,
    },
    /// Renders the JSON report of a scenario run as an HTML page.
    Report {
        /// JSON report written by `run --json`.
        json: PathBuf,
        /// Directory in which the page is created.
        #[arg(long)]
        html: PathBuf,
    },
    /// Measures how cost grows with the size of the fleet. Each run varies one axis, with one seed.
    Scale {
        #[command(subcommand)]
        command: ScaleCommand,
    },
    /// Lists the scenarios that are part of the testbed.
    List,
}

#[derive(Subcommand)]
pub enum ScaleCommand {
    /// Executes one run. Exits with 0, or with 2 if the run failed or its result is void.
    Run {
        /// Name of the run, as printed by `scale list`.
        name: String,
        /// Seed of all pseudo-random choices.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// File to which the figures are written as JSON. Default: standard output.
        #[arg(long)]
        json: Option<PathBuf>,
        /// The client proxy executable. Default: build and use the one in this repository.
        #[arg(long)]
        binary: Option<PathBuf>,
    },
    /// Renders the JSON results of all runs in a directory as an HTML page.
    Report {
        /// Directory with the files written by `scale run --json`.
        dir: PathBuf,
        /// The HTML file to write.
        #[arg(long)]
        html: PathBuf,
    },
    /// Regenerates the tables of a page from a directory with rows.toml and the JSON results of the runs.
    Page {
        /// Directory with rows.toml and the JSON results.
        dir: PathBuf,
        /// The page whose tables are regenerated.
        page: PathBuf,
        /// Does not write the page. Exits with 1 and prints the first differing line if the tables are out of
        /// date.
        #[arg(long)]
        check: bool,
    },
    /// Lists the runs.
    List,
}
