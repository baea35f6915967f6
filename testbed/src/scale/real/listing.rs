//! A minimal discovery server: one long list with cached responses, watches, and counts of the bytes on the
//! wire. It has its own thread, so that the measuring thread may block. Faults of the protocol are simulated
//! in `crate::discovery`.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::timeout;
use tokio_util::io::{InspectReader, InspectWriter};

use super::late::TimerDelay;
use crate::saturate::spawn_runtime_thread;

/// The protocol's upper limit for the wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Number from which its name is made.
    pub number: u32,
    /// The address that its process listens on.
    pub address: SocketAddrV4,
    /// Name of its zone.
    pub zone: String,
    /// Name of its kind.
    pub kind: &'static str,
    /// When its process started, in Unix milliseconds.
    pub since_ms: u64,
}

impl Endpoint {
    fn name(&self) -> String {
        format!("s-{:08x}", self.number.wrapping_mul(0x9e37_79b9))
    }

    fn json(&self, name: &str) -> Value {
        json!({
            "name": name, "address": self.address.to_string(),
            "zone": self.zone, "type": self.kind, "group": self.number % 12, "status": "SERVING", "weight": 1.0,
            "since_ms": self.since_ms,
        })
    }
}

struct ListEntry {
    endpoint: Endpoint,
    name: String,
    json: String,
    /// The version of its last change.
    version: u64,
}

struct State {
    entries: Vec<ListEntry>,
    version: u64,
    /// The encoded full snapshot; cleared by a change.
    snapshot: Option<Bytes>,
}

impl State {
    fn snapshot(&mut self) -> Bytes {
        let State { entries, version, snapshot } = self;
        snapshot.get_or_insert_with(|| list(*version, true, entries.iter())).clone()
    }

    fn changes_since(&self, version: u64) -> Bytes {
        list(self.version, false, self.entries.iter().filter(|entry| entry.version > version))
    }
}

fn list<'a>(version: u64, full_snapshot: bool, entries: impl Iterator<Item = &'a ListEntry>) -> Bytes {
    let entries: Vec<&str> = entries.map(|entry| entry.json.as_str()).collect();
    format!(r#"{{"index":{version},"snapshot":{full_snapshot},"endpoints":[{}]}}"#, entries.join(",")).into()
}

/// Traffic of all connections since the start. Bytes include HTTP heads, but no TCP and IP headers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Traffic {
    /// Polls whose head was received.
    pub polls: u64,
    /// Accepted connections.
    pub connections: u64,
    /// Bytes received from the client proxy.
    pub up_bytes: u64,
    /// Bytes sent to the client proxy.
    pub down_bytes: u64,
    /// Responses to watches that reported a change.
    pub change_responses: u64,
}

#[derive(Default)]
struct Counters {
    polls: AtomicU64,
    connections: AtomicU64,
    up_bytes: AtomicU64,
    down_bytes: AtomicU64,
    change_responses: AtomicU64,
}

struct Shared {
    state: Mutex<State>,
    newest: watch::Sender<u64>,
    counters: Counters,
    first_poll_at: Mutex<Option<Instant>>,
}

impl Shared {
    /// Ignores poisoning: a panic while the lock is held cannot leave an inconsistent list.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A handle to the server, which runs until the process ends.
pub struct Listing {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The timer delay of its thread.
    pub timer_delay: TimerDelay,
    shared: Arc<Shared>,
}

impl Listing {
    /// Starts the server.
    ///
    /// # Errors
    /// If the socket cannot be opened.
    pub fn open(endpoints: Vec<Endpoint>) -> io::Result<Listing> {
        Listing::open_named(endpoints, Endpoint::name)
    }

    /// Starts the server with other endpoint names.
    ///
    /// # Errors
    /// If the socket cannot be opened.
    pub fn open_named(endpoints: Vec<Endpoint>, name: impl Fn(&Endpoint) -> String) -> io::Result<Listing> {
        let entry = |endpoint: Endpoint| {
            let name = name(&endpoint);
            ListEntry { json: endpoint.json(&name).to_string(), endpoint, name, version: 1 }
        };
        let entries = endpoints.into_iter().map(entry).collect();
        let mut state = State { entries, version: 1, snapshot: None };
        state.snapshot();
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            newest: watch::Sender::new(1),
            counters: Counters::default(),
            first_poll_at: Mutex::default(),
        });
        let listener = std::net::TcpListener::bind(("127.0.0.1", 0))?;
        listener.set_nonblocking(true)?;
        let (address, timer_delay) = (listener.local_addr()?, TimerDelay::default());
        let (server_state, thread_delay) = (Arc::clone(&shared), timer_delay.clone());
        spawn_runtime_thread(async move {
            spawn_local(thread_delay.measure());
            serve(TcpListener::from_std(listener)?, server_state).await
        });
        Ok(Listing { address, timer_delay, shared })
    }

    /// Changes these entries in one new version. Returns the time of the change.
    pub fn change(&self, numbers: &[usize], mut change: impl FnMut(&mut Endpoint)) -> Instant {
        let mut state = self.shared.state();
        state.version += 1;
        let version = state.version;
        for &number in numbers {
            let Some(entry) = state.entries.get_mut(number) else { continue };
            change(&mut entry.endpoint);
            (entry.json, entry.version) = (entry.endpoint.json(&entry.name).to_string(), version);
        }
        state.snapshot = None;
        drop(state);
        let at = Instant::now();
        self.shared.newest.send_replace(version);
        at
    }

    /// Length of the body of a full snapshot.
    pub fn snapshot_bytes(&self) -> usize {
        self.shared.state().snapshot().len()
    }

    /// The time of the first poll.
    pub fn first_poll_at(&self) -> Option<Instant> {
        *self.shared.first_poll_at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The traffic since the start.
    pub fn traffic(&self) -> Traffic {
        let Counters { polls, connections, up_bytes, down_bytes, change_responses } = &self.shared.counters;
        let [polls, connections, up_bytes, down_bytes, change_responses] =
            [polls, connections, up_bytes, down_bytes, change_responses]
                .map(|count| count.load(Ordering::Relaxed));
        Traffic { polls, connections, up_bytes, down_bytes, change_responses }
    }
}

async fn serve(listener: TcpListener, shared: Arc<Shared>) -> io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        shared.counters.connections.fetch_add(1, Ordering::Relaxed);
        let (up, down) = (Arc::clone(&shared), Arc::clone(&shared));
        let stream = InspectReader::new(stream, move |bytes: &[u8]| {
            up.counters.up_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        });
        let stream = InspectWriter::new(stream, move |bytes: &[u8]| {
            down.counters.down_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        });
        let shared = Arc::clone(&shared);
        spawn_local(async move {
            let service = service_fn(|request| {
                let shared = Arc::clone(&shared);
                async move { Ok::<_, Infallible>(respond(&request, &shared).await) }
            });
            // Connection errors need no handling: the client proxy reconnects.
            let _ = Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn respond(request: &Request<Incoming>, shared: &Shared) -> Response<Full<Bytes>> {
    if request.uri().path() != "/v1/endpoints" {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    shared.counters.polls.fetch_add(1, Ordering::Relaxed);
    shared.first_poll_at.lock().unwrap_or_else(PoisonError::into_inner).get_or_insert_with(Instant::now);
    let query = request.uri().query().unwrap_or_default();
    let number = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).and_then(|(_, number)| number.parse::<u64>().ok())
    };
    let Some(after) = number("after") else { return Response::new(Full::new(shared.state().snapshot())) };
    let wait = Duration::from_millis(number("wait_ms").unwrap_or(0)).min(MAX_WAIT);
    let mut newest = shared.newest.subscribe();
    // The sender lives as long as this thread, so an error is always a timeout, after which there is no
    // change.
    if matches!(timeout(wait, newest.wait_for(|version| *version > after)).await, Ok(Ok(_))) {
        shared.counters.change_responses.fetch_add(1, Ordering::Relaxed);
    }
    let body = shared.state().changes_since(after);
    Response::new(Full::new(body))
}

#[cfg(test)]
mod tests;
