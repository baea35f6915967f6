//! Runs with the real client proxy, a process of its own, between a lean stand-in of discovery and a load. CPU is the
//! process's own time, so that what else runs on the machine counts only where it empties the caches.

mod changes;
mod endpoints;
pub(super) mod late;
mod latency;
pub(super) mod listing;
mod load;
pub(super) mod process;

pub use changes::{client_burst, client_changes};
pub use endpoints::client_endpoints;
pub use latency::client_latency;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rand_core::Rng;
use rand_pcg::Pcg32;
use serde_json::{Value, json};

use self::listing::{Endpoint, Listing};
use self::load::{Clients, Servers};
use self::process::Process;
use super::{Options, Point, Run, ScaleError};
use crate::chance::{stream, uniform};

/// Nine zones in four regions.
pub(super) const ZONES: [(&str, &str); 9] = [
    ("noord-a", "noord"),
    ("noord-b", "noord"),
    ("noord-c", "noord"),
    ("oost-a", "oost"),
    ("oost-b", "oost"),
    ("zuid-a", "zuid"),
    ("zuid-b", "zuid"),
    ("west-a", "west"),
    ("west-b", "west"),
];
pub(super) const KINDS: [&str; 3] = ["m1", "m2", "m3"];
/// Where order servers listen, each at an address of its own.
const PORT: u16 = 9000;
/// From ready until anything is measured.
const SETTLE: Duration = Duration::from_secs(2);
/// How late the testbed's own threads may be, at the 99th percentile, for a run to count. Its timers go by steps of 1 ms.
const LATE_MOST_MS: f64 = 10.0;

pub(super) type Figures = BTreeMap<String, f64>;

/// The address of a process: the machine by its number, and how many processes it had before.
pub(super) fn place(number: usize, process: usize, port: u16) -> SocketAddrV4 {
    let [_, _, high, low] = (number as u32).to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(127, 1 + (process % 60) as u8, high, low), port)
}

/// The same for the endpoint that is watched, whose addresses do not come back.
fn watched_place(process: usize, port: u16) -> SocketAddrV4 {
    let [_, _, high, low] = (process as u32).to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(127, 128, high, low), port)
}

pub(super) fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// A list of that length. All have run for an hour to a week.
fn endpoints(count: usize, port: u16, rng: &mut Pcg32) -> Vec<Endpoint> {
    let now = now_ms();
    let endpoint = |number: usize| Endpoint {
        number: number as u32,
        address: place(number, 0, port),
        zone: ZONES[number % ZONES.len()].0.to_owned(),
        kind: KINDS[number / ZONES.len() % KINDS.len()],
        since_ms: now - 3_600_000 - (uniform(rng) * 600_000_000.0) as u64,
    };
    (0..count).map(endpoint).collect()
}

/// What the client proxy is told: as many client proxies as order servers, and its number by chance.
fn config(listing: &Listing, count: usize, rng: &mut Pcg32) -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": listing.address.to_string(),
        "seed": format!("{:x}", rng.next_u64()),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 4096},
        "settings": {
            "me": rng.next_u32() as usize % count, "balancers": count, "callers": {"marksRetry": false},
            "classes": [{"name": "kijk", "aim": 300.0, "hardLimit": 1000.0, "semantics": "safe", "lateWorth": 0.0,
                         "points": 1.0, "streamed": false}],
            "contract": {"askWithin": 10_000.0, "cold": 8_000.0, "coldFrom": 0.25, "drainGrace": 1_500.0,
                         "fall": 2_000.0, "fallMultiple": 3.0, "graceToAnswer": 16.0},
            "customers": [], "discovery": "subscribe", "kinds": KINDS,
            "zones": ZONES.map(|(zone, _)| zone), "zone": 0, "tick": 4.0,
            "limits": {"attemptsCap": 3, "cancelling": true, "connIdle": 10_000.0, "dialTimeout": 100.0,
                       "maxRetryAfter": 1_200.0, "retryAfter": true, "secondCopies": false},
            "report": {"fields": ["utilization"], "how": "answers"}
        }
    })
}

/// The second configuration file: the own zone and the regions.
fn parts() -> String {
    let regions: Vec<String> = ZONES.iter().map(|(zone, region)| format!("{zone} = \"{region}\"")).collect();
    format!("[zones]\nown = \"{}\"\nregions = {{ {} }}\n", ZONES[0].0, regions.join(", "))
}

fn fixed(more: &[(&str, &str)]) -> BTreeMap<String, String> {
    let always = [
        ("client_proxy", "one process of the real program, release build, one thread"),
        (
            "config",
            "subscribe, askWithin 10 s, as many balancers as endpoints, me by chance; one safe class, \
                    9 zones in 4 regions, [zones] on, 3 kinds; limits 64 MB, 4096 sockets",
        ),
        (
            "list",
            "each endpoint with name, address, zone, type, group, status, weight, since_ms; up for 1 h to a week",
        ),
        ("bytes", "of HTTP with its heads, without those of TCP and IP"),
        ("cpu", "the process's own time by /proc/PID/task/*/schedstat, whatever else runs on the machine"),
        ("void", "a thread of the testbed over 10 ms late at the 99th percentile"),
    ];
    always.iter().chain(more).map(|(name, text)| ((*name).to_owned(), (*text).to_owned())).collect()
}

/// Figures of a point, from names.
pub(super) fn figures<'a>(named: impl IntoIterator<Item = (&'a str, f64)>) -> Figures {
    named.into_iter().map(|(name, figure)| (name.to_owned(), figure)).collect()
}

/// A run of points that are each made anew; void where the testbed was late at one of them.
pub(super) fn made(
    name: &str,
    axis: &str,
    options: &Options,
    fixed: BTreeMap<String, String>,
    axis_points: &[f64],
    mut point: impl FnMut(f64, &mut Pcg32) -> Result<Figures, ScaleError>,
) -> Result<Run, ScaleError> {
    let mut rng = stream(options.seed, name);
    let (mut points, mut void) = (Vec::new(), None);
    for &x in axis_points {
        let figures = point(x, &mut rng)?;
        let late = figures.get("late_ms_p99").copied().unwrap_or(0.0);
        if late > LATE_MOST_MS {
            void = Some(format!("at {x}: the testbed was {late:.1} ms late at the 99th percentile"));
        }
        eprintln!("{name} {x}: {figures:?}");
        points.push(Point { x, figures });
    }
    Ok(Run { run: name.to_owned(), axis: axis.to_owned(), seed: options.seed, void, fixed, points })
}

/// A client proxy with a load, between order servers and a list of them.
struct Loaded {
    listing: Listing,
    servers: Servers,
    clients: Clients,
    process: Process,
    /// What it used without changes, as a share of a core.
    quiet: f64,
    moves: usize,
}

/// What a loaded client proxy begins with.
struct Shape {
    endpoints: usize,
    /// All but the first endpoint are in other zones than the client proxy, so that every request is for that one.
    one_near: bool,
    per_second: f64,
    /// How long it is looked at without changes.
    quiet: Duration,
}

/// One change, and what shows that it is in force.
#[derive(Clone, Copy)]
struct Move {
    at: Instant,
    from: Ipv4Addr,
    to: Ipv4Addr,
}

impl Loaded {
    fn start(options: &Options, shape: &Shape, rng: &mut Pcg32) -> Result<Loaded, ScaleError> {
        let servers = Servers::open()?;
        let mut list = endpoints(shape.endpoints, servers.port, rng);
        if shape.one_near {
            let elsewhere = ZONES.iter().skip(1).cycle().map(|(zone, _)| (*zone).to_owned());
            list.iter_mut().skip(1).zip(elsewhere).for_each(|(endpoint, zone)| endpoint.zone = zone);
        }
        let listing = Listing::open(list)?;
        let config = config(&listing, shape.endpoints, rng);
        let process = Process::start(&options.binary, &options.dir, &config, &parts())?;
        let clients = Clients::start(process.address, shape.per_second, stream(options.seed, "clients"));
        sleep(SETTLE);
        let mut loaded = Loaded { listing, servers, clients, process, quiet: 0.0, moves: 0 };
        loaded.forget();
        let (from, cpu) = (Instant::now(), loaded.process.cpu()?);
        sleep(shape.quiet);
        loaded.quiet = (loaded.process.cpu()? - cpu).as_secs_f64() / from.elapsed().as_secs_f64();
        Ok(loaded)
    }

    /// What was counted by now does not count.
    fn forget(&self) {
        self.listing.late.take_ms();
        self.servers.late.take_ms();
        self.servers.take();
        self.clients.take();
    }

    /// Gives these endpoints a new process each, as one change. That of the first one has run for as long as the old one,
    /// so that a slow start does not hide when the change is in force. Where that one is.
    fn replace(&mut self, numbers: &[usize]) -> Move {
        self.moves += 1;
        let (now, port) = (now_ms(), self.servers.port);
        let mut moved = [Ipv4Addr::LOCALHOST; 2];
        let at = self.listing.change(numbers, |endpoint| {
            if endpoint.number == 0 {
                let from = *endpoint.address.ip();
                endpoint.address = watched_place(self.moves, port);
                moved = [from, *endpoint.address.ip()];
            } else {
                endpoint.address = place(endpoint.number as usize, self.moves, port);
                endpoint.since_ms = now;
            }
        });
        let [from, to] = moved;
        Move { at, from, to }
    }

    /// How late the testbed was, in milliseconds, and the part of the requests that was not served.
    fn testbed(&self) -> [(&'static str, f64); 3] {
        let asked = self.clients.take();
        let late = asked.late.value_at_quantile(0.99) as f64 / 1e3;
        let late = late.max(self.listing.late.take_ms()).max(self.servers.late.take_ms());
        let all = (asked.latency.len() + asked.unserved).max(1) as f64;
        [("late_ms_p99", late), ("requests", all), ("unserved_share", asked.unserved as f64 / all)]
    }
}
