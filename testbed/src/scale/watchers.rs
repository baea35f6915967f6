//! A minimal discovery server on real sockets, and control-only client proxies that watch it. Each side has
//! its own thread, so that their CPU times can be measured separately.

mod discovery;
mod watcher;

use std::cell::{Cell, RefCell};
use std::io::Write;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand_core::Rng;
use rand_pcg::Pcg32;
use rustix::process::{Resource, getrlimit};
use tokio::runtime;
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;

use self::discovery::{Command, Encoding, Server};
use self::watcher::{SharedState, run_watcher, wait_until};
use super::hollow::{ControlOnlyProxy, PeriodicEvaluation, entry_json, list_json};
use super::law::ENDPOINTS;
use super::usage::{resident_memory_kb, thread_cpu_us};
use super::{Options, Point, Run, ScaleError};
use crate::chance;

/// With more watchers no changes are made, because the time until a change is in force would be that of the
/// watchers' single thread. With 9,000 watchers that thread was so late that 48,504 polls failed.
const MAX_WATCHERS_WITH_CHANGES: u32 = 3_000;
const AXIS: [u32; 5] = [100, 300, 1_000, 3_000, 9_000];
/// File descriptors reserved besides the two of each watcher.
const OTHER_DESCRIPTORS: u64 = 100;
/// Endpoints in a scoped list: about as many as the services that a client proxy calls have on average.
const SCOPE_ENDPOINTS: u32 = 340;
/// Client proxies with the same scope: those of one service, on average.
const WATCHERS_PER_SCOPE: u32 = 17;
/// The request header that selects a watcher's scope. Only this module uses it; the real client proxy does
/// not.
const SCOPE_HEADER: &str = "x-scope";
/// The endpoint that changes. It is in every scope, so that each change concerns all watchers.
const CHANGED_ENDPOINT: u32 = 0;

/// How long each phase of a point takes.
#[derive(Clone, Copy)]
struct PhaseTiming {
    settle: Duration,
    idle: Duration,
    /// The number of changes in each encoding mode.
    changes: u32,
}

const TIMING: PhaseTiming =
    PhaseTiming { settle: Duration::from_millis(1_600), idle: Duration::from_millis(4_500), changes: 8 };
/// After the last watcher has a change, the time for discovery to accept the next poll of each.
const NEXT_POLL_DELAY: Duration = Duration::from_millis(100);
/// Only a safeguard against a run that hangs.
const TIMEOUT: Duration = Duration::from_secs(60);
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
const TIMER_INTERVAL: Duration = Duration::from_millis(10);
/// A run is invalid if the testbed's own timer was later than this while idle, at the 99th percentile.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(50);

/// Which part of discovery's endpoints each watcher gets.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Lists {
    /// Each watcher gets a list of [`SCOPE_ENDPOINTS`] endpoints.
    Scoped,
    /// Each watcher gets the changes of all endpoints, and starts with a cached list of only a few of them:
    /// full lists in thousands of watchers do not fit into one machine's memory.
    Whole,
}

impl Lists {
    fn endpoints(self, watchers: u32) -> u32 {
        match self {
            Lists::Scoped => (watchers.div_ceil(WATCHERS_PER_SCOPE) * SCOPE_ENDPOINTS).min(ENDPOINTS),
            Lists::Whole => ENDPOINTS,
        }
    }
}

async fn measure_point(
    watchers: u32,
    lists: Lists,
    timing: PhaseTiming,
    rng: &mut Pcg32,
) -> Result<Point, ScaleError> {
    let server = Server::start(lists.endpoints(watchers))?;
    let count = watchers as usize;
    let shared_state = Rc::new(SharedState {
        started: Instant::now(),
        address: server.address,
        disconnects: watch::Sender::new(0),
        target_version: Cell::new(1),
        reached_at: RefCell::new(vec![None; count]),
        has_response: RefCell::new(vec![false; count]),
        failed_polls: Cell::new(0),
    });
    let from = server.count().await?;
    let mut running = Vec::new();
    for number in 0..watchers {
        let mut proxy =
            ControlOnlyProxy::new(number, watchers, rng.next_u64(), PeriodicEvaluation::Disabled)?;
        let (scope, cached) = match lists {
            Lists::Scoped => (Some(number / WATCHERS_PER_SCOPE), None),
            Lists::Whole => {
                let few: Vec<String> = (0..9).map(|endpoint| entry_json(endpoint, 1, "SERVING")).collect();
                (None, serde_json::from_str(&list_json(1, true, &few)).ok())
            }
        };
        let mut next_steps = Vec::new();
        // The starts are spread over time, as in a real fleet. Otherwise all watchers would poll in one burst
        // that only this run has.
        let start_delay = Duration::from_micros((chance::uniform(rng) * f64::from(watchers) * 500.0) as u64);
        let shared_state = Rc::clone(&shared_state);
        running.push(AbortOnDropHandle::new(spawn_local(async move {
            sleep(start_delay).await;
            proxy.start(shared_state.now(), cached, &mut next_steps);
            run_watcher(number as usize, proxy, scope, next_steps, shared_state).await;
        })));
    }
    let all_have_response = || shared_state.has_response.borrow().iter().all(|has_response| *has_response);
    wait_until("the first list of each watcher", all_have_response).await?;
    sleep(NEXT_POLL_DELAY).await;
    let after_start = server.count().await?;
    let mut figures = vec![
        ("start_cpu_us_watcher", (after_start.cpu_us - from.cpu_us) / f64::from(watchers)),
        ("start_bytes_watcher", (after_start.sent_bytes - from.sent_bytes) / f64::from(watchers)),
    ];

    sleep(timing.settle).await;
    shared_state.failed_polls.set(0);
    let from = server.count().await?;
    let (late, elapsed) = measure_timer_delay(timing.idle).await;
    let idle = server.count().await?;
    let polls = (idle.polls - from.polls).max(1.0);
    figures.extend([
        ("calls_s", polls / elapsed.as_secs_f64()),
        ("call_cpu_us", (idle.cpu_us - from.cpu_us) / polls),
        ("call_down_bytes", (idle.sent_bytes - from.sent_bytes) / polls),
        ("call_up_bytes", (idle.received_bytes - from.received_bytes) / polls),
        ("discovery_core_share", (idle.cpu_us - from.cpu_us) / 1e6 / elapsed.as_secs_f64()),
        ("testbed_late_ms_p99", late.as_secs_f64() * 1e3),
    ]);

    if watchers <= MAX_WATCHERS_WITH_CHANGES {
        figures.extend(measure_changes(&server, &shared_state, timing.changes, rng).await?);
    }

    let from = server.count().await?;
    shared_state.reset_responses();
    shared_state.failed_polls.set(0);
    shared_state.disconnects.send_modify(|disconnects| *disconnects += 1);
    let started = Instant::now();
    wait_until("a response to each watcher after the disconnect", all_have_response).await?;
    figures.push(("reconnect_s_max", started.elapsed().as_secs_f64()));
    sleep(NEXT_POLL_DELAY).await;
    let reconnected = server.count().await?;
    figures.push(("reconnect_cpu_us", (reconnected.cpu_us - from.cpu_us) / f64::from(watchers)));
    // Each watcher's poll that the disconnect interrupted is not counted.
    let failed = f64::from(shared_state.failed_polls.get()) - f64::from(watchers);
    figures.push(("reconnect_failed_calls", failed.max(0.0)));
    let figures = figures.into_iter().map(|(name, value)| (name.to_owned(), value)).collect();
    Ok(Point { x: f64::from(watchers), figures })
}

/// Measures changes in both encoding modes.
async fn measure_changes(
    server: &Server,
    shared_state: &SharedState,
    count: u32,
    rng: &mut Pcg32,
) -> Result<Vec<(&'static str, f64)>, ScaleError> {
    let mut version = 1;
    let shared = average_change(server, shared_state, count, &mut version, rng).await?;
    server.command(Command::Encoding(Encoding::ForEach))?;
    let for_each = average_change(server, shared_state, count, &mut version, rng).await?;
    server.command(Command::Encoding(Encoding::Shared))?;
    let [p50, p99, max] = shared.in_force_ms;
    Ok(vec![
        ("in_force_ms_p50", p50),
        ("in_force_ms_p99", p99),
        ("in_force_ms_max", max),
        ("change_cpu_us_watcher", shared.cpu_us),
        ("change_bytes_watcher", shared.bytes),
        ("change_watchers_core_share", shared.watchers_core_share),
        ("for_each_in_force_ms_max", for_each.in_force_ms[2]),
        ("for_each_change_cpu_us_watcher", for_each.cpu_us),
        ("for_each_change_watchers_core_share", for_each.watchers_core_share),
        ("change_failed_calls", f64::from(shared_state.failed_polls.get())),
    ])
}

/// Returns the 99th percentile of this thread's timer delay, and how long it was measured.
async fn measure_timer_delay(duration: Duration) -> (Duration, Duration) {
    let (started, mut late) = (Instant::now(), Vec::new());
    while started.elapsed() < duration {
        let due = Instant::now() + TIMER_INTERVAL;
        sleep(TIMER_INTERVAL).await;
        late.push(due.elapsed());
    }
    late.sort();
    (late[late.len() * 99 / 100], started.elapsed())
}

/// Average cost of a change.
struct AverageChange {
    /// Median, 99th percentile and maximum over all watchers and changes.
    in_force_ms: [f64; 3],
    /// CPU time of discovery for each watcher, with the poll that follows.
    cpu_us: f64,
    /// Bytes sent to each watcher.
    bytes: f64,
    /// CPU share of the watchers' thread until the last watcher has the change.
    watchers_core_share: f64,
}

async fn average_change(
    server: &Server,
    shared_state: &SharedState,
    count: u32,
    version: &mut u64,
    rng: &mut Pcg32,
) -> Result<AverageChange, ScaleError> {
    let (mut in_force_ms, mut cpu_us, mut bytes) = (Vec::new(), 0.0, 0.0);
    let (mut own_cpu_us, mut elapsed_us) = (0.0, 0.0);
    for _ in 0..count {
        // At a random point of the watches' wait time.
        sleep(Duration::from_millis(200 + u64::from(rng.next_u32() % 400))).await;
        *version += 1;
        shared_state.set_target(*version);
        let from = server.count().await?;
        let own_start = thread_cpu_us();
        let at = server.change().await?;
        wait_until("a change to reach all watchers", || {
            shared_state.reached_at.borrow().iter().all(Option::is_some)
        })
        .await?;
        own_cpu_us += thread_cpu_us() - own_start;
        elapsed_us += at.elapsed().as_secs_f64() * 1e6;
        sleep(NEXT_POLL_DELAY).await;
        let to = server.count().await?;
        cpu_us += to.cpu_us - from.cpu_us;
        bytes += to.sent_bytes - from.sent_bytes;
        let reached_at = shared_state.reached_at.borrow();
        let reached_at = reached_at.iter().flatten();
        in_force_ms.extend(
            reached_at.map(|reached_at| reached_at.saturating_duration_since(at).as_secs_f64() * 1e3),
        );
    }
    in_force_ms.sort_by(f64::total_cmp);
    let quantile =
        |share: f64| in_force_ms[((in_force_ms.len() as f64 * share).ceil() as usize).saturating_sub(1)];
    let (in_force_ms, count) = ([0.5, 0.99, 1.0].map(quantile), in_force_ms.len() as f64);
    Ok(AverageChange {
        in_force_ms,
        cpu_us: cpu_us / count,
        bytes: bytes / count,
        watchers_core_share: own_cpu_us / elapsed_us,
    })
}

/// Memory of the discovery server for each waiting watcher. The watchers are bare sockets here, which need no
/// memory of this process.
async fn memory_kb(axis: &[u32], endpoints: u32) -> Result<Vec<f64>, ScaleError> {
    let server = Server::start(endpoints)?;
    server.count().await?;
    let (before, mut sockets, mut memory) = (resident_memory_kb()?, Vec::new(), Vec::new());
    for &watchers in axis {
        while sockets.len() < watchers as usize {
            let mut socket = std::net::TcpStream::connect(server.address)?;
            socket
                .write_all(b"GET /v1/endpoints?after=1&wait_ms=60000 HTTP/1.1\r\nhost: discovery\r\n\r\n")?;
            sockets.push(socket);
        }
        let started = Instant::now();
        while server.count().await?.polls < f64::from(watchers) && started.elapsed() < TIMEOUT {
            sleep(CHECK_INTERVAL).await;
        }
        memory.push((resident_memory_kb()? - before) / f64::from(watchers));
    }
    Ok(memory)
}

fn run(name: &str, lists: Lists, options: &Options) -> Result<Run, ScaleError> {
    let mut rng = chance::stream(options.seed, name);
    let limit = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let fits = |watchers: &&u32| 2 * u64::from(**watchers) + OTHER_DESCRIPTORS <= limit;
    let axis: Vec<u32> = AXIS.iter().filter(fits).copied().collect();
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    let points: Result<Vec<Point>, ScaleError> = LocalSet::new().block_on(&runtime, async {
        let memory = memory_kb(&axis, lists.endpoints(1)).await?;
        let mut points = Vec::new();
        for (&watchers, memory) in axis.iter().zip(memory) {
            let mut point = measure_point(watchers, lists, TIMING, &mut rng).await?;
            point.figures.insert("memory_kb_watcher".to_owned(), memory);
            points.push(point);
        }
        Ok(points)
    });
    let points = points?;
    let late = |point: &&Point| point.figures["testbed_late_ms_p99"] > MAX_TIMER_DELAY.as_secs_f64() * 1e3;
    let void = points.iter().find(late).map(|point| {
        format!(
            "at {} watchers the testbed's own tick was late by {} ms",
            point.x, point.figures["testbed_late_ms_p99"]
        )
    });
    let held = match lists {
        Lists::Scoped => format!(
            "{SCOPE_ENDPOINTS} endpoints each, one scope for {WATCHERS_PER_SCOPE} watchers; discovery knows what all scopes do"
        ),
        Lists::Whole => format!(
            "9 endpoints each, from before, as all {ENDPOINTS} are too much for thousands of watchers in one process; discovery knows and tells of all"
        ),
    };
    let fixed = [
        ("how", "loopback; discovery on one thread, all watchers on another one, CPU time by thread".to_owned()),
        ("descriptors, soft limit (ulimit -n)", format!("{limit}, left as it is; each watcher takes two, both ends are in one process")),
        ("held", held),
        ("discovery", "hyper; answers encoded once and shared; for_each_*: looked up and encoded for each watcher".to_owned()),
        ("change", format!("one endpoint that all watch, {} times for each form; CPU with the call that follows; not played with more than {MAX_WATCHERS_WITH_CHANGES} watchers, as their own thread is then what a change waits for", TIMING.changes)),
        ("in_force", "from the change in discovery until the watcher's follower has it, with the time that the watchers' own one thread takes for the others (change_watchers_core_share: how busy that was)".to_owned()),
        ("reconnect", "all connections break at once; until each was answered again, after the pause that the decisions make".to_owned()),
        ("memory", "growth of VmRSS with bare sockets that wait, without the kernel's".to_owned()),
        ("at rest, s", TIMING.idle.as_secs_f64().to_string()),
        ("void", format!("where the watchers' thread was late by over {} ms at rest (p99)", MAX_TIMER_DELAY.as_millis())),
    ];
    Ok(Run {
        run: name.to_owned(),
        axis: "watchers".to_owned(),
        seed: options.seed,
        void,
        fixed: fixed.map(|(name, value)| (name.to_owned(), value)).into(),
        points,
    })
}

/// The run `discovery-watchers`: each watcher gets the endpoints of its own scope.
///
/// # Errors
/// If a system call fails, or the watchers time out.
pub fn scoped(options: &Options) -> Result<Run, ScaleError> {
    run("discovery-watchers", Lists::Scoped, options)
}

/// The run `discovery-watchers-whole`: each watcher gets the endpoints of the whole fleet.
///
/// # Errors
/// If a system call fails, or the watchers time out.
pub fn whole(options: &Options) -> Result<Run, ScaleError> {
    run("discovery-watchers-whole", Lists::Whole, options)
}

#[cfg(test)]
mod tests;
