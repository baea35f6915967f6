//! Many watchers of relays on real sockets: calls, pauses and the choice of the relay are the client proxy's own
//! (`discovery_proto`); of an answer only its version and the count of its entries are read.

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

use super::super::real::late::Late;
use crate::chance::{stream, uniform};
use crate::saturate::on_a_thread;

/// As the client proxy has it.
const DIAL_WITHIN: Duration = Duration::from_millis(500);
const LIST_MOST: usize = 8 * 1024 * 1024;
/// Where all relays have failed: by chance up to this, somewhat longer than the decisions pause after a watch that broke.
const PAUSE_MOST: Duration = Duration::from_millis(1_500);
/// As the client proxy has it, after a doubtful answer.
const BREATH: Duration = Duration::from_millis(50);

/// One watcher.
#[derive(Clone)]
pub struct Plan {
    /// The authority that it asks for.
    pub scope: String,
    /// Relays of its zone.
    pub near: Vec<SocketAddr>,
    /// Others.
    pub far: Vec<SocketAddr>,
    /// How long after the others' beginning its own is.
    pub begins: Duration,
}

/// An answer that told something, or that came from another relay than the one before.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// Whose.
    pub watcher: usize,
    /// When it was read to its end.
    pub at: Instant,
    /// The version held from then on.
    pub index: u64,
    /// Something was told in it.
    pub news: bool,
    /// It was the whole list.
    pub whole: bool,
    /// Who answered.
    pub relay: SocketAddr,
}

/// What went over one watcher's connections, heads included, and its calls.
#[derive(Debug, Default)]
struct Counters {
    up: AtomicU64,
    down: AtomicU64,
    calls: AtomicU64,
}

/// The same, of all watchers together, and the calls that came to nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// Calls that were answered with a list.
    pub calls: u64,
    /// Bytes to relays.
    pub up_bytes: u64,
    /// Bytes from relays.
    pub down_bytes: u64,
    /// Calls that were refused (503).
    pub refused: u64,
    /// Calls that failed in any other way.
    pub failed: u64,
    /// Answers that were no sound news.
    pub doubted: u64,
}

#[derive(Default)]
struct Shared {
    each: Vec<Arc<Counters>>,
    answers: Mutex<Vec<Answer>>,
    refused: AtomicU64,
    failed: AtomicU64,
    doubted: AtomicU64,
}

/// See the module's page. They end when this is dropped.
pub struct Watchers {
    shared: Arc<Shared>,
    late: Vec<Late>,
    ended: CancellationToken,
    threads: Vec<JoinHandle<io::Result<()>>>,
    /// When they began.
    pub began: Instant,
}

impl Watchers {
    /// Begins, on so many threads.
    pub fn start(plans: &[Plan], threads: usize, seed: u64) -> Watchers {
        let each = plans.iter().map(|_| Arc::default()).collect();
        let shared = Arc::new(Shared { each, ..Shared::default() });
        let (ended, began) = (CancellationToken::new(), Instant::now());
        let late: Vec<Late> = (0..threads).map(|_| Late::default()).collect();
        let run = |(thread, late): (usize, &Late)| {
            let own: Vec<(usize, Plan)> =
                plans.iter().cloned().enumerate().skip(thread).step_by(threads).collect();
            let (shared, ended, late) = (Arc::clone(&shared), ended.clone(), late.clone());
            on_a_thread(async move {
                spawn_local(late.follow());
                for (number, plan) in own {
                    let rng = stream(seed, &format!("watcher {number}"));
                    spawn_local(watch(number, plan, Arc::clone(&shared), rng, began));
                }
                ended.cancelled().await;
                Ok(())
            })
        };
        let threads = late.iter().enumerate().map(run).collect();
        Watchers { shared, late, ended, threads, began }
    }

    /// Takes the answers since this was last asked, in the order of their arrival.
    pub fn take(&self) -> Vec<Answer> {
        mem::take(&mut *self.shared.answers.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Since the start.
    pub fn totals(&self) -> Totals {
        let sum = |of: fn(&Counters) -> &AtomicU64| {
            self.shared.each.iter().map(|one| of(one).load(Ordering::Relaxed)).sum()
        };
        let Shared { refused, failed, doubted, .. } = &*self.shared;
        Totals {
            calls: sum(|one| &one.calls),
            up_bytes: sum(|one| &one.up),
            down_bytes: sum(|one| &one.down),
            refused: refused.load(Ordering::Relaxed),
            failed: failed.load(Ordering::Relaxed),
            doubted: doubted.load(Ordering::Relaxed),
        }
    }

    /// Bytes that each has got since the start.
    pub fn down_each(&self) -> Vec<u64> {
        self.shared.each.iter().map(|one| one.down.load(Ordering::Relaxed)).collect()
    }

    /// Whether each has had an answer by now.
    pub fn all_answered(&self) -> bool {
        self.shared.each.iter().all(|one| one.calls.load(Ordering::Relaxed) > 0)
    }

    /// The latest of their threads at the 99th percentile since this was last asked, in milliseconds.
    pub fn take_late_ms(&self) -> f64 {
        self.late.iter().map(Late::take_ms).fold(0.0, f64::max)
    }
}

impl Drop for Watchers {
    fn drop(&mut self) {
        self.ended.cancel();
        for thread in self.threads.drain(..) {
            // What it could have failed with, it would have failed with at its start.
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

/// One watcher, for as long as its thread runs.
async fn watch(number: usize, plan: Plan, shared: Arc<Shared>, mut rng: Pcg32, began: Instant) {
    let Plan { scope, near, far, begins } = plan;
    let Some(mut sources) = Sources::new(&near, &far, &mut rng) else { return };
    let Ok(host) = HeaderValue::from_str(&scope) else { return };
    sleep(begins).await;
    let counters = Arc::clone(&shared.each[number]);
    let (mut session, mut link, mut last) =
        (Session::new(PollTiming::DIRECT, None), None::<DiscoveryConnection>, None);
    loop {
        if sources.fail_back(began.elapsed(), &mut rng) {
            link = None;
            session.source_changed();
        }
        let (call, relay) = (session.next_poll(), sources.address());
        let request = list_request(host.clone(), &call.path());
        let exchanged = exchange(link.take(), dial(relay, &counters), request, LIST_MOST);
        let answered = timeout(call.timeout, exchanged).await.unwrap_or_else(|late| Err(late.into()));
        let read = answered.and_then(|DiscoveryResponse { connection: link, body, .. }| {
            let list = serde_json::from_slice::<EndpointList>(&body).map_err(EndpointListError::from)?;
            Ok((link, list))
        });
        match read {
            Ok((used, EndpointList { index, snapshot: whole, endpoints })) => {
                link = Some(used);
                sources.on_response();
                counters.calls.fetch_add(1, Ordering::Relaxed);
                let told =
                    ResponseSummary { index, full_snapshot: whole, readable: endpoints.len(), unreadable: 0 };
                if session.on_response(told) == Verdict::Rejected {
                    shared.doubted.fetch_add(1, Ordering::Relaxed);
                    sleep(BREATH).await;
                    continue;
                }
                let news = whole || !endpoints.is_empty();
                if news || last != Some(relay) {
                    last = Some(relay);
                    let answer = Answer { watcher: number, at: Instant::now(), index, news, whole, relay };
                    shared.answers.lock().unwrap_or_else(PoisonError::into_inner).push(answer);
                }
            }
            Err(failed) => {
                let refused = matches!(failed, PollError::Status(StatusCode::SERVICE_UNAVAILABLE));
                let count = if refused { &shared.refused } else { &shared.failed };
                count.fetch_add(1, Ordering::Relaxed);
                // How long to pause is for the relays' choice, or for the decisions.
                let _ = session.on_failure(failed.is_invalid_response());
                let pause = match sources.on_failure(began.elapsed(), &mut rng) {
                    Fallback::NextSource(pause) => pause,
                    Fallback::AllFailed => PAUSE_MOST.mul_f64(uniform(&mut rng)),
                };
                sleep(pause).await;
            }
        }
    }
}

async fn dial(relay: SocketAddr, counters: &Arc<Counters>) -> Result<DiscoveryConnection, PollError> {
    let stream = timeout(DIAL_WITHIN, TcpStream::connect(relay)).await??;
    stream.set_nodelay(true)?;
    let (up, down) = (Arc::clone(counters), Arc::clone(counters));
    let stream = InspectReader::new(stream, move |bytes: &[u8]| {
        down.down.fetch_add(bytes.len() as u64, Ordering::Relaxed);
    });
    let stream = InspectWriter::new(stream, move |bytes: &[u8]| {
        up.up.fetch_add(bytes.len() as u64, Ordering::Relaxed);
    });
    handshake(stream).await
}
