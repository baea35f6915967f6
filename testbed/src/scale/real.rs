//! Runs with a real client proxy process between a minimal discovery server and a load. CPU is the process's
//! own time, so other processes on the machine influence it only through the CPU caches.

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
/// Port of the order servers, each of which has its own address.
const PORT: u16 = 9000;
/// Time from readiness until the measurement.
const SETTLE: Duration = Duration::from_secs(2);
/// The timer delay of the testbed's own threads, at the 99th percentile, above which a run is invalid. The
/// timers have a resolution of 1 ms.
const MAX_TIMER_DELAY_MS: f64 = 10.0;

pub(super) type Figures = BTreeMap<String, f64>;

/// The address of an endpoint's process: the endpoint by its number, and the number of its earlier processes.
/// The latter wraps after 60.
pub(super) fn endpoint_address(number: usize, process: usize, port: u16) -> SocketAddrV4 {
    let [_, _, high, low] = (number as u32).to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(127, 1 + (process % 60) as u8, high, low), port)
}

/// The address of the observed endpoint's process. It is never reused.
fn observed_address(process: usize, port: u16) -> SocketAddrV4 {
    let [_, _, high, low] = (process as u32).to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(127, 128, high, low), port)
}

pub(super) fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// A list of this length. Its processes have run for an hour to a week.
fn endpoints(count: usize, port: u16, rng: &mut Pcg32) -> Vec<Endpoint> {
    let now = now_ms();
    let endpoint = |number: usize| Endpoint {
        number: number as u32,
        address: endpoint_address(number, 0, port),
        zone: ZONES[number % ZONES.len()].0.to_owned(),
        kind: KINDS[number / ZONES.len() % KINDS.len()],
        since_ms: now - 3_600_000 - (uniform(rng) * 600_000_000.0) as u64,
    };
    (0..count).map(endpoint).collect()
}

/// The client proxy's configuration: as many client proxies as endpoints, and a random number of its own.
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

/// The second configuration file: its own zone and the regions.
fn fleet_config() -> String {
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

/// The figures of a point.
pub(super) fn figures<'a>(named: impl IntoIterator<Item = (&'a str, f64)>) -> Figures {
    named.into_iter().map(|(name, figure)| (name.to_owned(), figure)).collect()
}

/// Executes a run whose points are measured independently. It is void if the testbed was delayed at one of
/// them.
pub(super) fn run_points(
    name: &str,
    axis: &str,
    options: &Options,
    fixed: BTreeMap<String, String>,
    axis_points: &[f64],
    mut measure: impl FnMut(f64, &mut Pcg32) -> Result<Figures, ScaleError>,
) -> Result<Run, ScaleError> {
    let mut rng = stream(options.seed, name);
    let (mut points, mut void) = (Vec::new(), None);
    for &x in axis_points {
        let figures = measure(x, &mut rng)?;
        let delay_ms = figures.get("late_ms_p99").copied().unwrap_or(0.0);
        if delay_ms > MAX_TIMER_DELAY_MS {
            void = Some(format!("at {x}: the testbed was {delay_ms:.1} ms late at the 99th percentile"));
        }
        eprintln!("{name} {x}: {figures:?}");
        points.push(Point { x, figures });
    }
    Ok(Run { run: name.to_owned(), axis: axis.to_owned(), seed: options.seed, void, fixed, points })
}

/// A client proxy under load, with its order servers and its discovery.
struct LoadedProxy {
    listing: Listing,
    servers: Servers,
    clients: Clients,
    process: Process,
    /// CPU use without changes, as a share of a core.
    quiet_core_share: f64,
    change_count: usize,
}

/// The list and the load of a client proxy.
struct LoadOptions {
    endpoints: usize,
    /// All but the first endpoint are in other zones than the client proxy, so that each request goes to the
    /// first one.
    single_local_endpoint: bool,
    requests_per_second: f64,
    /// How long it is measured without changes.
    quiet_period: Duration,
}

/// A change of the observed endpoint's address. It is in force once requests arrive at the new address.
#[derive(Clone, Copy)]
struct AddressChange {
    at: Instant,
    from: Ipv4Addr,
    to: Ipv4Addr,
}

impl LoadedProxy {
    fn start(
        options: &Options,
        load_options: &LoadOptions,
        rng: &mut Pcg32,
    ) -> Result<LoadedProxy, ScaleError> {
        let servers = Servers::open()?;
        let mut list = endpoints(load_options.endpoints, servers.port, rng);
        if load_options.single_local_endpoint {
            let elsewhere = ZONES.iter().skip(1).cycle().map(|(zone, _)| (*zone).to_owned());
            list.iter_mut().skip(1).zip(elsewhere).for_each(|(endpoint, zone)| endpoint.zone = zone);
        }
        let listing = Listing::open(list)?;
        let config = config(&listing, load_options.endpoints, rng);
        let process = Process::start(&options.binary, &options.dir, &config, &fleet_config())?;
        let clients = Clients::start(
            process.address,
            load_options.requests_per_second,
            stream(options.seed, "clients"),
        );
        sleep(SETTLE);
        let mut loaded =
            LoadedProxy { listing, servers, clients, process, quiet_core_share: 0.0, change_count: 0 };
        loaded.reset_counts();
        let (from, cpu) = (Instant::now(), loaded.process.cpu()?);
        sleep(load_options.quiet_period);
        loaded.quiet_core_share = (loaded.process.cpu()? - cpu).as_secs_f64() / from.elapsed().as_secs_f64();
        Ok(loaded)
    }

    /// Discards all counts so far.
    fn reset_counts(&self) {
        self.listing.timer_delay.take_ms();
        self.servers.timer_delay.take_ms();
        self.servers.take();
        self.clients.take();
    }

    /// Replaces the processes of these endpoints in one change. Returns the address change of endpoint 0 (the
    /// observed one), which keeps its start time: slow start would otherwise delay its first request.
    fn replace(&mut self, numbers: &[usize]) -> AddressChange {
        self.change_count += 1;
        let (now, port) = (now_ms(), self.servers.port);
        let mut addresses = [Ipv4Addr::LOCALHOST; 2];
        let at = self.listing.change(numbers, |endpoint| {
            if endpoint.number == 0 {
                let from = *endpoint.address.ip();
                endpoint.address = observed_address(self.change_count, port);
                addresses = [from, *endpoint.address.ip()];
            } else {
                endpoint.address = endpoint_address(endpoint.number as usize, self.change_count, port);
                endpoint.since_ms = now;
            }
        });
        let [from, to] = addresses;
        AddressChange { at, from, to }
    }

    /// Figures of the testbed's timer delay and of unserved requests.
    fn validity_figures(&self) -> [(&'static str, f64); 3] {
        let stats = self.clients.take();
        let delay_ms = stats.send_delay_us.value_at_quantile(0.99) as f64 / 1e3;
        let delay_ms =
            delay_ms.max(self.listing.timer_delay.take_ms()).max(self.servers.timer_delay.take_ms());
        let all = (stats.latency_us.len() + stats.unserved).max(1) as f64;
        [("late_ms_p99", delay_ms), ("requests", all), ("unserved_share", stats.unserved as f64 / all)]
    }
}
