//! Many watchers of relays on real sockets. Polls, delays and the choice of the relay are those of the client
//! proxy (`discovery_proto`); of a response only the version and the number of entries are read.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use std::{io, mem};

use discovery_client::{
    DiscoveryConnection, DiscoveryResponse, PollError, exchange, handshake, list_request,
};
use discovery_proto::{EndpointListError, Fallback, PollTiming, ResponseSummary, Session, Sources, Verdict};
use hyper::StatusCode;
use hyper::header::HeaderValue;
use rand_pcg::Pcg32;
use serde::Deserialize;
use serde::de::IgnoredAny;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::io::{InspectReader, InspectWriter};
use tokio_util::sync::CancellationToken;

use super::super::real::late::TimerDelay;
use crate::chance::{stream, uniform};
use crate::saturate::spawn_runtime_thread;

/// As in the client proxy.
const DIAL_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;
/// After all relays have failed, the backoff is random, up to this. It is a little longer than the balancer's
/// backoff after a failed watch.
const MAX_BACKOFF: Duration = Duration::from_millis(1_500);
/// Delay after a rejected response, as in the client proxy.
const REPOLL_DELAY: Duration = Duration::from_millis(50);

/// The configuration of one watcher.
#[derive(Clone)]
pub struct WatcherPlan {
    /// The authority in its polls.
    pub scope: String,
    /// Relays in its own zone.
    pub near: Vec<SocketAddr>,
    /// Relays in other zones.
    pub far: Vec<SocketAddr>,
    /// When it starts, after [`Watchers::started`].
    pub start_delay: Duration,
}

/// A response with entries, or the first response from another relay than before.
#[derive(Clone, Copy, Debug)]
pub struct WatcherResponse {
    /// The index of the watcher.
    pub watcher: usize,
    /// When the body was complete.
    pub at: Instant,
    /// The version of the list.
    pub index: u64,
    /// Whether it is a full snapshot or has changes.
    pub has_entries: bool,
    /// Whether it is a full snapshot.
    pub full_snapshot: bool,
    /// The relay that sent it.
    pub relay: SocketAddr,
}

/// Counts of one watcher. Bytes include HTTP heads.
#[derive(Debug, Default)]
struct Counters {
    up_bytes: AtomicU64,
    down_bytes: AtomicU64,
    polls: AtomicU64,
}

/// Counts of all watchers together, with the polls that failed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// Polls whose response was a list.
    pub polls: u64,
    /// Bytes sent to relays.
    pub up_bytes: u64,
    /// Bytes received from relays.
    pub down_bytes: u64,
    /// Polls that were rejected with status 503.
    pub status_503: u64,
    /// Polls that failed in any other way.
    pub failed: u64,
    /// Responses whose version did not fit the current list.
    pub rejected: u64,
}

#[derive(Default)]
struct Shared {
    counters: Vec<Arc<Counters>>,
    responses: Mutex<Vec<WatcherResponse>>,
    status_503: AtomicU64,
    failed: AtomicU64,
    rejected: AtomicU64,
}

/// A group of watchers, which stop when this is dropped.
pub struct Watchers {
    shared: Arc<Shared>,
    timer_delays: Vec<TimerDelay>,
    shutdown: CancellationToken,
    threads: Vec<JoinHandle<io::Result<()>>>,
    /// When the watchers were started.
    pub started: Instant,
}

impl Watchers {
    /// Starts the watchers, spread over this number of threads.
    pub fn start(plans: &[WatcherPlan], threads: usize, seed: u64) -> Watchers {
        let counters = plans.iter().map(|_| Arc::default()).collect();
        let shared = Arc::new(Shared { counters, ..Shared::default() });
        let (shutdown, started) = (CancellationToken::new(), Instant::now());
        let timer_delays: Vec<TimerDelay> = (0..threads).map(|_| TimerDelay::default()).collect();
        let start_thread = |(thread, timer_delay): (usize, &TimerDelay)| {
            let own_plans: Vec<(usize, WatcherPlan)> =
                plans.iter().cloned().enumerate().skip(thread).step_by(threads).collect();
            let (shared, shutdown, timer_delay) =
                (Arc::clone(&shared), shutdown.clone(), timer_delay.clone());
            spawn_runtime_thread(async move {
                spawn_local(timer_delay.measure());
                for (number, plan) in own_plans {
                    let rng = stream(seed, &format!("watcher {number}"));
                    spawn_local(run_watcher(number, plan, Arc::clone(&shared), rng, started));
                }
                shutdown.cancelled().await;
                Ok(())
            })
        };
        let threads = timer_delays.iter().enumerate().map(start_thread).collect();
        Watchers { shared, timer_delays, shutdown, threads, started }
    }

    /// Takes the responses since the last call, in the order of their arrival.
    pub fn take(&self) -> Vec<WatcherResponse> {
        mem::take(&mut *self.shared.responses.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Totals since the start.
    pub fn totals(&self) -> Totals {
        let sum = |counter: fn(&Counters) -> &AtomicU64| {
            self.shared.counters.iter().map(|watcher| counter(watcher).load(Ordering::Relaxed)).sum()
        };
        let Shared { status_503, failed, rejected, .. } = &*self.shared;
        Totals {
            polls: sum(|watcher| &watcher.polls),
            up_bytes: sum(|watcher| &watcher.up_bytes),
            down_bytes: sum(|watcher| &watcher.down_bytes),
            status_503: status_503.load(Ordering::Relaxed),
            failed: failed.load(Ordering::Relaxed),
            rejected: rejected.load(Ordering::Relaxed),
        }
    }

    /// Bytes that each watcher has received since the start.
    pub fn down_bytes_each(&self) -> Vec<u64> {
        self.shared.counters.iter().map(|watcher| watcher.down_bytes.load(Ordering::Relaxed)).collect()
    }

    /// Whether each watcher has had a response.
    pub fn all_have_response(&self) -> bool {
        self.shared.counters.iter().all(|watcher| watcher.polls.load(Ordering::Relaxed) > 0)
    }

    /// The timer delay of the slowest thread since the last call, in milliseconds, at the 99th percentile.
    pub fn take_timer_delay_ms(&self) -> f64 {
        self.timer_delays.iter().map(TimerDelay::take_ms).fold(0.0, f64::max)
    }
}

impl Drop for Watchers {
    fn drop(&mut self) {
        self.shutdown.cancel();
        for thread in self.threads.drain(..) {
            // A watcher thread can only fail at its start.
            let _ = thread.join();
        }
    }
}

#[derive(Deserialize)]
struct EndpointList {
    index: u64,
    #[serde(default)]
    snapshot: bool,
    endpoints: Vec<IgnoredAny>,
}

/// Runs one watcher until its thread ends.
async fn run_watcher(
    number: usize,
    plan: WatcherPlan,
    shared: Arc<Shared>,
    mut rng: Pcg32,
    started: Instant,
) {
    let WatcherPlan { scope, near, far, start_delay } = plan;
    let Some(mut sources) = Sources::new(&near, &far, &mut rng) else { return };
    let Ok(host) = HeaderValue::from_str(&scope) else { return };
    sleep(start_delay).await;
    let counters = Arc::clone(&shared.counters[number]);
    let (mut session, mut connection, mut last_relay) =
        (Session::new(PollTiming::DIRECT, None), None::<DiscoveryConnection>, None);
    loop {
        if sources.fail_back(started.elapsed(), &mut rng) {
            connection = None;
            session.source_changed();
        }
        let (poll, relay) = (session.next_poll(), sources.address());
        let request = list_request(host.clone(), &poll.path());
        let exchanged = exchange(connection.take(), dial(relay, &counters), request, MAX_LIST_BYTES);
        let result = timeout(poll.timeout, exchanged).await.unwrap_or_else(|elapsed| Err(elapsed.into()));
        let read = result.and_then(|DiscoveryResponse { connection: reusable, body, .. }| {
            let list = serde_json::from_slice::<EndpointList>(&body).map_err(EndpointListError::from)?;
            Ok((reusable, list))
        });
        match read {
            Ok((reusable, EndpointList { index, snapshot: full_snapshot, endpoints })) => {
                connection = Some(reusable);
                sources.on_response();
                counters.polls.fetch_add(1, Ordering::Relaxed);
                let summary =
                    ResponseSummary { index, full_snapshot, readable: endpoints.len(), unreadable: 0 };
                if session.on_response(summary) == Verdict::Rejected {
                    shared.rejected.fetch_add(1, Ordering::Relaxed);
                    sleep(REPOLL_DELAY).await;
                    continue;
                }
                let has_entries = full_snapshot || !endpoints.is_empty();
                if has_entries || last_relay != Some(relay) {
                    last_relay = Some(relay);
                    let response = WatcherResponse {
                        watcher: number,
                        at: Instant::now(),
                        index,
                        has_entries,
                        full_snapshot,
                        relay,
                    };
                    shared.responses.lock().unwrap_or_else(PoisonError::into_inner).push(response);
                }
            }
            Err(error) => {
                let is_503 = matches!(error, PollError::Status(StatusCode::SERVICE_UNAVAILABLE));
                let count = if is_503 { &shared.status_503 } else { &shared.failed };
                count.fetch_add(1, Ordering::Relaxed);
                // The session's own delay is unused: `sources` sets the delay, or all have failed and it is
                // random.
                let _ = session.on_failure(error.is_invalid_response());
                let backoff = match sources.on_failure(started.elapsed(), &mut rng) {
                    Fallback::NextSource(delay) => delay,
                    Fallback::AllFailed => MAX_BACKOFF.mul_f64(uniform(&mut rng)),
                };
                sleep(backoff).await;
            }
        }
    }
}

async fn dial(relay: SocketAddr, counters: &Arc<Counters>) -> Result<DiscoveryConnection, PollError> {
    let stream = timeout(DIAL_TIMEOUT, TcpStream::connect(relay)).await??;
    stream.set_nodelay(true)?;
    let (up, down) = (Arc::clone(counters), Arc::clone(counters));
    let stream = InspectReader::new(stream, move |bytes: &[u8]| {
        down.down_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
    });
    let stream = InspectWriter::new(stream, move |bytes: &[u8]| {
        up.up_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
    });
    handshake(stream).await
}
