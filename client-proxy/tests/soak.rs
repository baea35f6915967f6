//! A soak: client proxies between clients, endpoints and crowds that are drawn from a seed, under series of
//! signals. Clients go on using open connections until SIGKILL, which comes as early as it may.
//!
//! `SOAK_SEEDS=0..50 cargo test --release -p client-proxy --test soak -- --nocapture` plays other seeds than the
//! few of a test run. Rules are judged by what clients and endpoints saw.

#[path = "soak/clients.rs"]
mod clients;
#[path = "common/mod.rs"]
mod common;
#[path = "soak/crowd.rs"]
mod crowd;
#[path = "soak/endpoints.rs"]
mod endpoints;
#[path = "soak/judge.rs"]
mod judge;
#[path = "soak/play.rs"]
mod play;

use std::sync::Mutex;

use self::play::Play;

/// Plays side by side.
const PARALLEL_PLAYS: usize = 3;
const DEFAULT_SEEDS: std::ops::Range<u64> = 0..9;

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return DEFAULT_SEEDS.collect() };
    let (first, end) = text.split_once("..").expect("SOAK_SEEDS is not of the form FIRST..END");
    let number = |text: &str| text.parse::<u64>().expect("SOAK_SEEDS is not of the form FIRST..END");
    (number(first)..number(end)).collect()
}

#[test]
fn no_rule_is_broken_under_series_of_signals() {
    let remaining = Mutex::new(seeds());
    let reports = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL_PLAYS {
            scope.spawn(|| {
                while let Some(seed) = { remaining.lock().expect("another thread panicked").pop() } {
                    let report = Play::draw(seed).run();
                    println!("{report}");
                    reports.lock().expect("another thread panicked").push(report);
                }
            });
        }
    });
    let reports = reports.into_inner().expect("another thread panicked");
    let broken: Vec<_> = reports.iter().filter(|report| !report.violations.is_empty()).collect();
    assert!(broken.is_empty(), "{} of {} plays broke a rule", broken.len(), reports.len());
}
