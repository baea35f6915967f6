//! A lean stand-in of discovery: one long list whose answers are made ahead, watches, and what goes over the wire. It
//! has a thread of its own, so that whoever measures may wait. The protocol's faults are `crate::discovery`'s.

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

use super::late::Late;
use crate::saturate::on_a_thread;

/// A watch waits no longer than this, as the protocol has it.
const WAIT_MOST: Duration = Duration::from_secs(60);

/// One line of the list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Stands for its name.
    pub number: u32,
    /// Where its process listens.
    pub address: SocketAddrV4,
    /// By name.
    pub zone: String,
    /// Likewise.
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

struct Line {
    endpoint: Endpoint,
    name: String,
    json: String,
    /// The version that it came with.
    version: u64,
}

struct State {
    lines: Vec<Line>,
    version: u64,
    /// The answer to a call for all of it; made anew after a change.
    whole: Option<Bytes>,
}

impl State {
    fn whole(&mut self) -> Bytes {
        let State { lines, version, whole } = self;
        whole.get_or_insert_with(|| list(*version, true, lines.iter())).clone()
    }

    fn after(&self, known: u64) -> Bytes {
        list(self.version, false, self.lines.iter().filter(|line| line.version > known))
    }
}

fn list<'a>(version: u64, whole: bool, lines: impl Iterator<Item = &'a Line>) -> Bytes {
    let lines: Vec<&str> = lines.map(|line| line.json.as_str()).collect();
    format!(r#"{{"index":{version},"snapshot":{whole},"endpoints":[{}]}}"#, lines.join(",")).into()
}

/// What went over all connections since the start, HTTP heads included, TCP's and IP's not.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Traffic {
    /// Calls that came whole.
    pub calls: u64,
    /// Connections that were made.
    pub connections: u64,
    /// Bytes from the client proxy.
    pub up_bytes: u64,
    /// Bytes to it.
    pub down_bytes: u64,
    /// Answers to watches that had something to tell.
    pub told: u64,
}

#[derive(Default)]
struct Counters {
    calls: AtomicU64,
    connections: AtomicU64,
    up: AtomicU64,
    down: AtomicU64,
    told: AtomicU64,
}

struct Shared {
    state: Mutex<State>,
    newest: watch::Sender<u64>,
    counters: Counters,
    asked_first: Mutex<Option<Instant>>,
}

impl Shared {
    /// A thread that has died with the lock leaves a list that is whole all the same.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// See the module's page.
pub struct Listing {
    /// Where it is called.
    pub address: SocketAddr,
    /// How late its thread is.
    pub late: Late,
    shared: Arc<Shared>,
}

impl Listing {
    /// Takes calls from now on, until the process ends.
    ///
    /// # Errors
    /// As the system says.
    pub fn open(endpoints: Vec<Endpoint>) -> io::Result<Listing> {
        Listing::open_named(endpoints, Endpoint::name)
    }

    /// The same, with names of another form.
    ///
    /// # Errors
    /// As the system says.
    pub fn open_named(endpoints: Vec<Endpoint>, name: impl Fn(&Endpoint) -> String) -> io::Result<Listing> {
        let line = |endpoint: Endpoint| {
            let name = name(&endpoint);
            Line { json: endpoint.json(&name).to_string(), endpoint, name, version: 1 }
        };
        let lines = endpoints.into_iter().map(line).collect();
        let mut state = State { lines, version: 1, whole: None };
        state.whole();
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            newest: watch::Sender::new(1),
            counters: Counters::default(),
            asked_first: Mutex::default(),
        });
        let listener = std::net::TcpListener::bind(("127.0.0.1", 0))?;
        listener.set_nonblocking(true)?;
        let (address, late) = (listener.local_addr()?, Late::default());
        let (serving, watched) = (Arc::clone(&shared), late.clone());
        on_a_thread(async move {
            spawn_local(watched.follow());
            serve(TcpListener::from_std(listener)?, serving).await
        });
        Ok(Listing { address, late, shared })
    }

    /// Changes these lines, as one version. When that was.
    pub fn change(&self, numbers: &[usize], mut change: impl FnMut(&mut Endpoint)) -> Instant {
        let mut state = self.shared.state();
        state.version += 1;
        let version = state.version;
        for &number in numbers {
            let Some(line) = state.lines.get_mut(number) else { continue };
            change(&mut line.endpoint);
            (line.json, line.version) = (line.endpoint.json(&line.name).to_string(), version);
        }
        state.whole = None;
        drop(state);
        let at = Instant::now();
        self.shared.newest.send_replace(version);
        at
    }

    /// How long the body of the whole list is.
    pub fn whole_bytes(&self) -> usize {
        self.shared.state().whole().len()
    }

    /// When it was first called.
    pub fn asked_first(&self) -> Option<Instant> {
        *self.shared.asked_first.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What went over the wire by now.
    pub fn traffic(&self) -> Traffic {
        let Counters { calls, connections, up, down, told } = &self.shared.counters;
        let [calls, connections, up_bytes, down_bytes, told] =
            [calls, connections, up, down, told].map(|count| count.load(Ordering::Relaxed));
        Traffic { calls, connections, up_bytes, down_bytes, told }
    }
}

async fn serve(listener: TcpListener, shared: Arc<Shared>) -> io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        shared.counters.connections.fetch_add(1, Ordering::Relaxed);
        let (up, down) = (Arc::clone(&shared), Arc::clone(&shared));
        let stream = InspectReader::new(stream, move |bytes: &[u8]| {
            up.counters.up.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        });
        let stream = InspectWriter::new(stream, move |bytes: &[u8]| {
            down.counters.down.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        });
        let shared = Arc::clone(&shared);
        spawn_local(async move {
            let service = service_fn(|request| {
                let shared = Arc::clone(&shared);
                async move { Ok::<_, Infallible>(answer(&request, &shared).await) }
            });
            // A caller that breaks off asks again.
            let _ = Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn answer(request: &Request<Incoming>, shared: &Shared) -> Response<Full<Bytes>> {
    if request.uri().path() != "/v1/endpoints" {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    shared.counters.calls.fetch_add(1, Ordering::Relaxed);
    shared.asked_first.lock().unwrap_or_else(PoisonError::into_inner).get_or_insert_with(Instant::now);
    let query = request.uri().query().unwrap_or_default();
    let number = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(known, _)| *known == name).and_then(|(_, number)| number.parse::<u64>().ok())
    };
    let Some(after) = number("after") else { return Response::new(Full::new(shared.state().whole())) };
    let wait = Duration::from_millis(number("wait_ms").unwrap_or(0)).min(WAIT_MOST);
    let mut newest = shared.newest.subscribe();
    // The sender is as old as the thread; a wait that is over has nothing new to tell.
    if matches!(timeout(wait, newest.wait_for(|version| *version > after)).await, Ok(Ok(_))) {
        shared.counters.told.fetch_add(1, Ordering::Relaxed);
    }
    let body = shared.state().after(after);
    Response::new(Full::new(body))
}

#[cfg(test)]
mod tests;
