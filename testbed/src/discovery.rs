//! A stand-in of discovery: the list of order servers, to each client proxy with the addresses that are its own; whole
//! or as a watch, one call after another, late, stale, down, silent, lying or moved.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::sync::{Mutex, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::link::{Link, LinkListener};
use crate::scenario::{DiscoverySettings, Lie};
use crate::servers::{RunContext, Server};
use crate::station::Seconds;

/// How often a watch looks whether a list that is told late has become due.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// A watch waits no longer than this.
const WAIT_MOST: Duration = Duration::from_secs(60);
/// A pause where the system has no more descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The state of one order server, as the list has it.
#[derive(Clone, PartialEq)]
struct Entry {
    gone: bool,
    draining: bool,
    /// Unix time in milliseconds, 0 for long ago.
    since_ms: u64,
}

/// A version of the list.
#[derive(Clone)]
struct Version {
    at: Seconds,
    entries: Vec<Entry>,
}

/// See the module's page.
pub struct Discovery {
    run: RunContext,
    servers: Vec<Rc<Server>>,
    zones: Vec<String>,
    kinds: Vec<String>,
    /// By client proxy and server.
    addresses: Vec<Vec<SocketAddr>>,
    /// All versions that there were: a stale list is an earlier one.
    versions: RefCell<Vec<Version>>,
    newest: watch::Sender<usize>,
    shape: DiscoverySettings,
    turn: Mutex<()>,
    down: Cell<bool>,
    silent: Cell<bool>,
    lie: Cell<Option<Lie>>,
    /// Who knows no later version than this one has been lied to since, and needs the whole list.
    whole_until: Cell<usize>,
    stale: Cell<Seconds>,
    /// From when on it has told the truth, at once, to whoever asks; infinite while it does not.
    sound_since: Cell<Seconds>,
    gone: RefCell<Vec<bool>>,
    /// At which address each client proxy asked last.
    asked: RefCell<Vec<Option<SocketAddr>>>,
}

impl Discovery {
    /// Knows all of these servers as running.
    pub fn new(
        run: RunContext,
        servers: Vec<Rc<Server>>,
        zones: Vec<String>,
        kinds: Vec<String>,
        addresses: Vec<Vec<SocketAddr>>,
        shape: DiscoverySettings,
    ) -> Rc<Discovery> {
        let gone = RefCell::new(vec![false; servers.len()]);
        let asked = RefCell::new(vec![None; addresses.len()]);
        let discovery = Discovery {
            run,
            servers,
            zones,
            kinds,
            addresses,
            versions: RefCell::default(),
            newest: watch::Sender::new(0),
            shape,
            turn: Mutex::new(()),
            down: Cell::new(false),
            silent: Cell::new(false),
            lie: Cell::new(None),
            whole_until: Cell::new(0),
            stale: Cell::new(0.0),
            sound_since: Cell::new(f64::NEG_INFINITY),
            gone,
            asked,
        };
        discovery.look();
        Rc::new(discovery)
    }

    /// A server's machine has gone, or is back.
    pub fn gone(&self, server: usize, gone: bool) {
        if let Some(known) = self.gone.borrow_mut().get_mut(server) {
            *known = gone;
        }
        self.look();
    }

    /// Takes in what the servers are by now; a new version, if that is new.
    pub fn look(&self) {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now = self.run.now();
        let since = |started: Seconds| {
            let ago = Duration::from_secs_f64((now - started).max(0.0));
            wall.saturating_sub(ago).as_millis() as u64
        };
        let mut versions = self.versions.borrow_mut();
        let known = versions.last();
        let entry = |(n, server): (usize, &Rc<Server>)| Entry {
            gone: self.gone.borrow()[n],
            draining: server.is_draining(),
            // Said once: two readings of the clock differ by a little.
            since_ms: match (server.started(), known.map(|version| version.entries[n].since_ms)) {
                (None, _) => 0,
                (Some(started), Some(said)) if said > 0 && since(started).abs_diff(said) < 50 => said,
                (Some(started), _) => since(started),
            },
        };
        let entries: Vec<Entry> = self.servers.iter().enumerate().map(entry).collect();
        if versions.last().is_none_or(|version| version.entries != entries) {
            // What is known first was always so.
            let at = if versions.is_empty() { f64::NEG_INFINITY } else { now };
            versions.push(Version { at, entries });
            self.newest.send_replace(versions.len());
        }
    }

    /// What it tells by now counts as told to all once it has been sound for long enough, whether they asked or not.
    pub async fn all_told(&self, servers: &[usize]) {
        let due = || self.sound_since.get().max(0.0) + self.shape.notification_grace.as_secs_f64();
        sleep(self.shape.notification_grace).await;
        while self.run.now() < due() {
            sleep(LOOK_EVERY).await;
        }
        for &n in servers.iter().filter(|&&n| self.servers[n].is_draining()) {
            (0..self.addresses.len()).for_each(|proxy| self.servers[n].notify_draining(proxy));
        }
    }

    /// Tells whoever waits that something is different, and notes whether it is sound by now.
    fn changed(&self) {
        let sound =
            !self.down.get() && !self.silent.get() && self.lie.get().is_none() && self.stale.get() == 0.0;
        self.sound_since.set(if sound { self.run.now() } else { f64::INFINITY });
        self.newest.send_modify(|_| ());
    }

    /// Answers no call, and ends those that wait.
    pub fn down(&self, down: bool) {
        self.down.set(down);
        self.changed();
    }

    /// Tells what was true so long ago.
    pub fn stale(&self, by: Seconds) {
        self.stale.set(by);
        self.changed();
    }

    /// Takes calls and answers none, or answers them again.
    pub fn silent(&self, silent: bool) {
        self.silent.set(silent);
        self.changed();
    }

    /// Tells this from now on, or what is so.
    pub fn lie(&self, lie: Option<Lie>) {
        self.lie.set(lie);
        let mut versions = self.versions.borrow_mut();
        // A version of its own, so that those who wait hear of it; and whoever was lied to hears all of what is so.
        if let Some(Version { entries, .. }) = versions.last().cloned() {
            self.whole_until.set(versions.len());
            versions.push(Version { at: self.run.now(), entries });
        }
        drop(versions);
        self.changed();
    }

    /// Takes calls in from one client proxy for as long as the play lasts. Gives the address for it.
    ///
    /// # Errors
    /// As the system says.
    pub fn open(self: &Rc<Self>, proxy: usize, link: Rc<Link>) -> io::Result<SocketAddr> {
        let mut listener = LinkListener::open(link)?;
        let (address, discovery) = (listener.address(), Rc::clone(self));
        spawn_local(async move {
            loop {
                let Ok(stream) = listener.accept().await else {
                    sleep(ACCEPT_PAUSE).await;
                    continue;
                };
                let discovery = Rc::clone(&discovery);
                spawn_local(async move {
                    let service = service_fn(|request| {
                        let discovery = Rc::clone(&discovery);
                        discovery.asked.borrow_mut()[proxy] = Some(address);
                        async move { Ok::<_, Infallible>(discovery.answer(&request, proxy).await) }
                    });
                    // A caller that breaks off asks again.
                    let _ = Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        Ok(address)
    }

    /// Whether a client proxy has asked there last.
    pub fn was_asked_at(&self, proxy: usize, address: SocketAddr) -> bool {
        self.asked.borrow()[proxy] == Some(address)
    }

    /// The version that is told at present, by its number.
    fn told(&self) -> usize {
        let (versions, before) = (self.versions.borrow(), self.run.now() - self.stale.get());
        versions.iter().filter(|version| version.at <= before).count().max(1)
    }

    async fn answer(&self, request: &Request<Incoming>, proxy: usize) -> Response<Full<Bytes>> {
        if request.uri().path() != "/v1/endpoints" {
            return status(StatusCode::NOT_FOUND);
        }
        let query = request.uri().query().unwrap_or_default();
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(known, _)| *known == name).and_then(|(_, number)| number.parse::<u64>().ok())
        };
        if self.down.get() {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        match timeout(self.shape.poll_timeout, self.turn.lock()).await {
            Ok(_turn) => sleep(self.shape.poll_duration).await,
            Err(_) => return status(StatusCode::SERVICE_UNAVAILABLE),
        }
        let after = number("after").map(|after| after as usize);
        if let Some(after) = after {
            let wait = Duration::from_millis(number("wait_ms").unwrap_or(0)).min(WAIT_MOST);
            let mut newest = self.newest.subscribe();
            let news = async {
                while self.told() <= after && !self.down.get() {
                    // What is told late comes up by time alone.
                    let _ = timeout(LOOK_EVERY, newest.changed()).await;
                }
            };
            let _ = timeout(wait, news).await;
        }
        let mut news = self.newest.subscribe();
        while self.silent.get() {
            let _ = news.changed().await;
        }
        if self.down.get() {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let told = self.told();
        let knows = self.whole_until.get() + 1..=told;
        let list = self.list(proxy, told, after.filter(|after| knows.contains(after)));
        let mut list = list.to_string();
        if self.lie.get() == Some(Lie::CutShort) {
            list.truncate(list.len() / 2);
        }
        Response::new(Full::new(Bytes::from(list)))
    }

    /// The whole list of a version, or what is new in it.
    fn list(&self, proxy: usize, told: usize, after: Option<usize>) -> Value {
        let versions = self.versions.borrow();
        let version = &versions[told - 1];
        let before = after.map(|after| &versions[after - 1]);
        let mut endpoints = Vec::new();
        for (n, (server, entry)) in self.servers.iter().zip(&version.entries).enumerate() {
            if before.is_some_and(|before| before.entries[n] == *entry) || before.is_none() && entry.gone {
                continue;
            }
            let left_out = match self.lie.get() {
                Some(Lie::Nobody) => true,
                Some(Lie::Half) => n % 2 == 1,
                Some(Lie::CutShort) | None => false,
            };
            // Who is missing in a whole list is gone, as far as its reader can know.
            if entry.draining || left_out {
                server.notify_draining(proxy);
            } else {
                server.notify_serving(proxy);
            }
            if left_out {
                continue;
            }
            let state = match (entry.gone, entry.draining) {
                (true, _) => "DELETED",
                (false, true) => "DRAINING",
                (false, false) => "SERVING",
            };
            endpoints.push(json!({
                "name": server.traits.name, "address": self.addresses[proxy][n].to_string(),
                "zone": self.zones[server.traits.zone], "type": self.kinds[server.traits.kind],
                "group": server.traits.cell, "status": state, "weight": 1.0, "since_ms": entry.since_ms,
            }));
        }
        json!({"index": told, "snapshot": before.is_none(), "endpoints": endpoints})
    }
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
