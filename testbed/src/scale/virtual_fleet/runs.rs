//! The runs of a virtual fleet, and what they measure.

use balancer::Millis;
use rand_core::Rng;
use rand_pcg::Pcg32;

use super::{
    Counts, ENDPOINTS_PER_WATCHER, FOLLOW_CHANGE_MS, Fleet, OUTAGE_MS, RECOVERY_LIMIT_MS, ROUND_TRIP_MS,
    WARM_UP_MS,
};
use crate::chance;
use crate::scale::{Options, Point, Run, ScaleError};

const IDLE_MS: Millis = 10_000.0;

const WATCHER_COUNTS: [u32; 6] = [100, 300, 1_000, 3_000, 10_000, 36_000];

const RECOVERY_CHECK_INTERVAL_MS: Millis = 50.0;

const ZONE_CHANGES_MS: Millis = 1_000.0;

/// Number of changes when a whole zone changes, one version for each order server, and the time over which
/// they are spread.
const ZONE_SERVERS: u32 = 4_000;

/// Appends the median, the 99th percentile and the maximum to `figures`.
fn push_percentiles(figures: &mut Vec<(String, f64)>, name: &str, mut values: Vec<f64>) {
    values.sort_by(f64::total_cmp);
    for (suffix, quantile) in [("p50", 0.5), ("p99", 0.99), ("max", 1.0)] {
        let rank = (values.len() as f64 * quantile).ceil() as usize;
        let value = values.get(rank.saturating_sub(1)).copied().unwrap_or(f64::NAN);
        figures.push((format!("{name}_s_{suffix}"), value));
    }
}

fn point(watchers: u32, service_time: Millis, rng: &mut Pcg32) -> Result<Point, ScaleError> {
    let mut fleet = Fleet::new(watchers, service_time, rng)?;
    let (watcher_count, mut figures) = (f64::from(watchers), Vec::new());
    fleet.run_until(WARM_UP_MS);
    fleet.counts = Counts::default();
    fleet.run_until(WARM_UP_MS + IDLE_MS);
    let idle = std::mem::take(&mut fleet.counts);
    figures.push(("calls_s".to_owned(), idle.polls / (IDLE_MS / 1e3)));
    figures.push(("failed_share".to_owned(), idle.failed / idle.polls.max(1.0)));
    figures.push(("down_bytes_s_watcher".to_owned(), idle.bytes / (IDLE_MS / 1e3) / watcher_count));

    // The change comes at a random point of a long poll's wait.
    fleet.run_until(fleet.now() + 1_500.0 * chance::uniform(rng));
    let from = fleet.now();
    fleet.set_target_version(fleet.version() + 1);
    fleet.change_endpoint(rng.next_u32() % ENDPOINTS_PER_WATCHER);
    fleet.run_until(from + FOLLOW_CHANGE_MS);
    let (elapsed_s, missing) = fleet.elapsed_s(from, |watcher| watcher.reached);
    push_percentiles(&mut figures, "in_force", elapsed_s);
    figures.push(("unreached_watchers".to_owned(), missing));

    let (zone, began) = (rng.next_u32() % ENDPOINTS_PER_WATCHER, fleet.now());
    fleet.set_target_version(fleet.version() + u64::from(ZONE_SERVERS));
    for change in 1..=ZONE_SERVERS {
        fleet.run_until(began + ZONE_CHANGES_MS * f64::from(change) / f64::from(ZONE_SERVERS));
        fleet.change_endpoint(zone);
    }
    let from = fleet.now();
    fleet.run_until(from + FOLLOW_CHANGE_MS);
    let (elapsed_s, missing) = fleet.elapsed_s(from, |watcher| watcher.reached);
    push_percentiles(&mut figures, "zone_in_force", elapsed_s);
    figures.push(("zone_unreached_watchers".to_owned(), missing));

    fleet.counts = Counts::default();
    fleet.stop_discovery();
    fleet.run_until(fleet.now() + OUTAGE_MS);
    let outage = std::mem::take(&mut fleet.counts);
    fleet.down = false;
    let from = fleet.now();
    fleet.watchers.iter_mut().for_each(|watcher| watcher.first_response = None);
    while fleet.now() < from + RECOVERY_LIMIT_MS
        && fleet.watchers.iter().any(|watcher| watcher.first_response.is_none())
    {
        fleet.run_until(fleet.now() + RECOVERY_CHECK_INTERVAL_MS);
    }
    let (elapsed_s, missing) = fleet.elapsed_s(from, |watcher| watcher.first_response);
    push_percentiles(&mut figures, "return", elapsed_s);
    figures.push(("return_unreached_watchers".to_owned(), missing));
    figures.push(("down_failed_calls".to_owned(), outage.failed));
    figures.push(("return_failed_calls".to_owned(), fleet.counts.failed));
    figures.push(("return_bytes".to_owned(), fleet.counts.bytes));
    Ok(Point { x: watcher_count, figures: figures.into_iter().collect() })
}

fn make(name: &str, service_time: Millis, options: &Options) -> Result<Run, ScaleError> {
    let mut rng = chance::stream(options.seed, name);
    let points: Result<Vec<Point>, ScaleError> =
        WATCHER_COUNTS.into_iter().map(|watchers| point(watchers, service_time, &mut rng)).collect();
    let fixed = [
        ("how", "virtual time: real follower and decisions, modelled discovery, network and clock".to_owned()),
        ("service time of a call, ms", service_time.to_string()),
        ("way there and back, ms", ROUND_TRIP_MS.to_string()),
        (
            "discovery",
            "one queue; half of the service time to take a call in, half to answer it; waits and given-up calls are free"
                .to_owned(),
        ),
        ("hosts held", format!("{ENDPOINTS_PER_WATCHER}; longer lists by the slopes of hollow-endpoints")),
        ("the regular look at everything", "left out".to_owned()),
        ("at rest, s", format!("{} after {} of warm-up", IDLE_MS / 1e3, WARM_UP_MS / 1e3)),
        ("in_force", format!("from one change; who has it not after {} s counts as having it then", FOLLOW_CHANGE_MS / 1e3)),
        ("zone_in_force", format!("from the last of {ZONE_SERVERS} changes made over {} s", ZONE_CHANGES_MS / 1e3)),
        (
            "return",
            format!(
                "from the end of {} s without discovery, which keeps its list, to the first answer; calls and bytes until all have one or {} s are over",
                OUTAGE_MS / 1e3,
                RECOVERY_LIMIT_MS / 1e3
            ),
        ),
    ];
    Ok(Run {
        run: name.to_owned(),
        axis: "watchers".to_owned(),
        seed: options.seed,
        void: None,
        fixed: fixed.map(|(name, value)| (name.to_owned(), value)).into(),
        points: points?,
    })
}

/// The run `fleet-virtual-50us`: a discovery about as fast as the one of the run `discovery-watchers`.
///
/// # Errors
/// Returns an error if the settings are invalid.
pub fn fast_discovery(options: &Options) -> Result<Run, ScaleError> {
    make("fleet-virtual-50us", 0.05, options)
}

/// The run `fleet-virtual-1ms`.
///
/// # Errors
/// Returns an error if the settings are invalid.
pub fn slow_discovery(options: &Options) -> Result<Run, ScaleError> {
    make("fleet-virtual-1ms", 1.0, options)
}

/// The run `fleet-virtual-50ms`: the service time that the decision module assumes (`POLL_COST` in
/// `balancer/src/logic/endpoint_list.rs`).
///
/// # Errors
/// Returns an error if the settings are invalid.
pub fn assumed_discovery(options: &Options) -> Result<Run, ScaleError> {
    make("fleet-virtual-50ms", 50.0, options)
}
