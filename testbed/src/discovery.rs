//! Simulated discovery. It serves the list of order servers as a full snapshot or as a watch; each client
//! proxy gets addresses of its own, since it reaches each server over a link of its own. Polls are processed
//! one at a time. Discovery can be slow, stale, down, stalled, serve wrong lists, or move to another address.

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
use crate::run_context::RunContext;
use crate::scenario::{DiscoverySettings, Lie};
use crate::servers::Server;
use crate::station::Seconds;

/// Interval at which a waiting watch checks whether a version that is served late has become due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Upper limit of a watch's `wait_ms`.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);
/// Backoff after a failed accept, as when the process has run out of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// The state of one order server in a version of the list.
#[derive(Clone, PartialEq)]
struct Entry {
    removed: bool,
    draining: bool,
    /// Unix time in milliseconds at which its process started, 0 if before the run.
    since_ms: u64,
}

/// A version of the list, and since when it is current.
#[derive(Clone)]
struct Version {
    at: Seconds,
    entries: Vec<Entry>,
}

/// The simulated discovery service.
pub struct Discovery {
    run: RunContext,
    servers: Vec<Rc<Server>>,
    zones: Vec<String>,
    kinds: Vec<String>,
    /// Indexed by client proxy and server.
    addresses: Vec<Vec<SocketAddr>>,
    /// All versions so far, since a stale discovery serves an earlier one.
    versions: RefCell<Vec<Version>>,
    newest: watch::Sender<usize>,
    settings: DiscoverySettings,
    poll_lock: Mutex<()>,
    down: Cell<bool>,
    stalled: Cell<bool>,
    lie: Cell<Option<Lie>>,
    /// A watch that knows no later version than this one may have received a wrong list, and gets a full
    /// snapshot.
    full_snapshot_until: Cell<usize>,
    stale: Cell<Seconds>,
    /// How much longer each poll takes. Other polls need not wait for it.
    delay: Cell<Duration>,
    /// Since when it has served the current list without a fault; infinite while a fault is active.
    healthy_since: Cell<Seconds>,
    removed: RefCell<Vec<bool>>,
    /// The address at which each client proxy polled last.
    last_polled: RefCell<Vec<Option<SocketAddr>>>,
}

impl Discovery {
    /// Creates a discovery that lists all of these servers.
    pub fn new(
        run: RunContext,
        servers: Vec<Rc<Server>>,
        zones: Vec<String>,
        kinds: Vec<String>,
        addresses: Vec<Vec<SocketAddr>>,
        settings: DiscoverySettings,
    ) -> Rc<Discovery> {
        let removed = RefCell::new(vec![false; servers.len()]);
        let last_polled = RefCell::new(vec![None; addresses.len()]);
        let discovery = Discovery {
            run,
            servers,
            zones,
            kinds,
            addresses,
            versions: RefCell::default(),
            newest: watch::Sender::new(0),
            settings,
            poll_lock: Mutex::new(()),
            down: Cell::new(false),
            stalled: Cell::new(false),
            lie: Cell::new(None),
            full_snapshot_until: Cell::new(0),
            stale: Cell::new(0.0),
            delay: Cell::new(Duration::ZERO),
            healthy_since: Cell::new(f64::NEG_INFINITY),
            removed,
            last_polled,
        };
        discovery.refresh();
        Rc::new(discovery)
    }

    /// Records that a server is removed, or present again.
    pub fn set_removed(&self, server: usize, removed: bool) {
        if let Some(known) = self.removed.borrow_mut().get_mut(server) {
            *known = removed;
        }
        self.refresh();
    }

    /// Reads the current state of the servers, and publishes a new version if it has changed.
    pub fn refresh(&self) {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now = self.run.now();
        let start_time_ms = |started: Seconds| {
            let ago = Duration::from_secs_f64((now - started).max(0.0));
            wall.saturating_sub(ago).as_millis() as u64
        };
        let mut versions = self.versions.borrow_mut();
        let known = versions.last();
        let entry = |(n, server): (usize, &Rc<Server>)| Entry {
            removed: self.removed.borrow()[n],
            draining: server.is_draining(),
            // The start time is computed from two clocks, so repeated readings differ by a few milliseconds.
            // A value that differs by less than 50 ms from the published one doesn't count as a change.
            since_ms: match (server.started(), known.map(|version| version.entries[n].since_ms)) {
                (None, _) => 0,
                (Some(started), Some(published))
                    if published > 0 && start_time_ms(started).abs_diff(published) < 50 =>
                {
                    published
                }
                (Some(started), _) => start_time_ms(started),
            },
        };
        let entries: Vec<Entry> = self.servers.iter().enumerate().map(entry).collect();
        if versions.last().is_none_or(|version| version.entries != entries) {
            // The first version holds since before the run.
            let at = if versions.is_empty() { f64::NEG_INFINITY } else { now };
            versions.push(Version { at, entries });
            self.newest.send_replace(versions.len());
        }
    }

    /// Counts all client proxies as notified of the drains of `servers` once discovery has worked without a
    /// fault for the notification grace, whether they have polled or not.
    pub async fn assume_notified(&self, servers: &[usize]) {
        let due = || self.healthy_since.get().max(0.0) + self.settings.notification_grace.as_secs_f64();
        sleep(self.settings.notification_grace).await;
        while self.run.now() < due() {
            sleep(CHECK_INTERVAL).await;
        }
        for &n in servers.iter().filter(|&&n| self.servers[n].is_draining()) {
            (0..self.addresses.len()).for_each(|proxy| self.servers[n].notify_draining(proxy));
        }
    }

    /// Wakes waiting polls after a change of the faults, and updates since when there is none.
    fn faults_changed(&self) {
        let healthy =
            !self.down.get() && !self.stalled.get() && self.lie.get().is_none() && self.stale.get() == 0.0;
        self.healthy_since.set(if healthy { self.run.now() } else { f64::INFINITY });
        self.newest.send_modify(|_| ());
    }

    /// Sets whether it responds 503 to all polls, waiting ones included.
    pub fn set_down(&self, down: bool) {
        self.down.set(down);
        self.faults_changed();
    }

    /// Sets the age in seconds of the list that it serves; 0 for the current list.
    pub fn set_stale(&self, age: Seconds) {
        self.stale.set(age);
        self.faults_changed();
    }

    /// Sets how much longer each new poll takes.
    pub fn set_delay(&self, delay: Duration) {
        self.delay.set(delay);
    }

    /// Sets whether polls are accepted without ever being answered.
    pub fn set_stalled(&self, stalled: bool) {
        self.stalled.set(stalled);
        self.faults_changed();
    }

    /// Sets in which way the served lists are wrong; `None` for correct lists.
    pub fn set_lie(&self, lie: Option<Lie>) {
        self.lie.set(lie);
        let mut versions = self.versions.borrow_mut();
        // A new version, so that waiting watches return; and whoever knows an older one gets a full snapshot.
        if let Some(Version { entries, .. }) = versions.last().cloned() {
            self.full_snapshot_until.set(versions.len());
            versions.push(Version { at: self.run.now(), entries });
        }
        drop(versions);
        self.faults_changed();
    }

    /// Accepts polls of one client proxy until the end of the run. Returns the address for that proxy.
    ///
    /// # Errors
    /// If no listening socket can be created.
    pub fn listen(self: &Rc<Self>, proxy: usize, link: Rc<Link>) -> io::Result<SocketAddr> {
        let mut listener = LinkListener::open(link)?;
        let (address, discovery) = (listener.address(), Rc::clone(self));
        spawn_local(async move {
            loop {
                let Ok(stream) = listener.accept().await else {
                    sleep(ACCEPT_BACKOFF).await;
                    continue;
                };
                let discovery = Rc::clone(&discovery);
                spawn_local(async move {
                    let service = service_fn(|request| {
                        let discovery = Rc::clone(&discovery);
                        discovery.last_polled.borrow_mut()[proxy] = Some(address);
                        async move { Ok::<_, Infallible>(discovery.respond(&request, proxy).await) }
                    });
                    // A client proxy whose poll fails polls again.
                    let _ = Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        Ok(address)
    }

    /// Whether a client proxy's last poll went to `address`.
    pub fn last_polled_at(&self, proxy: usize, address: SocketAddr) -> bool {
        self.last_polled.borrow()[proxy] == Some(address)
    }

    /// The number of the version that is served now.
    fn served_version(&self) -> usize {
        let (versions, before) = (self.versions.borrow(), self.run.now() - self.stale.get());
        versions.iter().filter(|version| version.at <= before).count().max(1)
    }

    async fn respond(&self, request: &Request<Incoming>, proxy: usize) -> Response<Full<Bytes>> {
        if request.uri().path() != "/v1/endpoints" {
            return empty_response(StatusCode::NOT_FOUND);
        }
        let query = request.uri().query().unwrap_or_default();
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(known, _)| *known == name).and_then(|(_, number)| number.parse::<u64>().ok())
        };
        if self.down.get() {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        match timeout(self.settings.poll_timeout, self.poll_lock.lock()).await {
            Ok(_poll_guard) => sleep(self.settings.poll_duration).await,
            Err(_) => return empty_response(StatusCode::SERVICE_UNAVAILABLE),
        }
        sleep(self.delay.get()).await;
        let after = parameter("after").map(|after| after as usize);
        if let Some(after) = after {
            let wait = Duration::from_millis(parameter("wait_ms").unwrap_or(0)).min(MAX_WATCH_WAIT);
            let mut newest = self.newest.subscribe();
            let update = async {
                while self.served_version() <= after && !self.down.get() {
                    // A stale version becomes due by time alone, without a notification.
                    let _ = timeout(CHECK_INTERVAL, newest.changed()).await;
                }
            };
            let _ = timeout(wait, update).await;
        }
        let mut update = self.newest.subscribe();
        while self.stalled.get() {
            let _ = update.changed().await;
        }
        if self.down.get() {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        let version_number = self.served_version();
        let delta_base = self.full_snapshot_until.get() + 1..=version_number;
        let list = self.list(proxy, version_number, after.filter(|after| delta_base.contains(after)));
        let mut list = list.to_string();
        if self.lie.get() == Some(Lie::CutShort) {
            list.truncate(list.len() / 2);
        }
        Response::new(Full::new(Bytes::from(list)))
    }

    /// A version of the list as JSON: the changes since version `after`, or else a full snapshot.
    fn list(&self, proxy: usize, version_number: usize, after: Option<usize>) -> Value {
        let versions = self.versions.borrow();
        let version = &versions[version_number - 1];
        let before = after.map(|after| &versions[after - 1]);
        let mut endpoints = Vec::new();
        for (n, (server, entry)) in self.servers.iter().zip(&version.entries).enumerate() {
            if before.is_some_and(|before| before.entries[n] == *entry) || before.is_none() && entry.removed {
                continue;
            }
            let omitted = match self.lie.get() {
                Some(Lie::Nobody) => true,
                Some(Lie::Half) => n % 2 == 1,
                Some(Lie::CutShort) | None => false,
            };
            // A client proxy has to treat a server that is missing in a full snapshot as removed.
            if entry.draining || omitted {
                server.notify_draining(proxy);
            } else {
                server.notify_serving(proxy);
            }
            if omitted {
                continue;
            }
            let state = match (entry.removed, entry.draining) {
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
        json!({"index": version_number, "snapshot": before.is_none(), "endpoints": endpoints})
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
