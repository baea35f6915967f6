//! Hollow client proxies: the program's own control code, the follower of discovery and the decision module, driven as
//! `proxy/src/discovery.rs` drives them, without clients and order servers. Many fit into one process, on real sockets
//! and in virtual time alike.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fs;
use std::rc::Rc;

use balancer::{Action, Balancer, EndpointId, EndpointUpdate, Event, Locality, Millis, Settings};
use discovery_proto::{
    EndpointIds, EndpointList, EndpointListError, EndpointLocation, EndpointLocations, ListReader,
    ListResponse, PollRequest, PollTiming, ReceivedAt, Subscription,
};
use rand_core::Rng;
use rand_pcg::Pcg32;
use rustix::time::{ClockId, clock_gettime};
use serde_json::json;
use simulator_adapter::{WireSettings, convert_settings};

use super::law::{ENDPOINTS, REGIONS};
use super::{Options, Point, Run, ScaleError};
use crate::chance;

/// As in the program: after an answer that ought to have waited and did not, and after one that is doubtful.
const BREATH: Millis = 50.0;
/// The kinds of machines.
const KINDS: u32 = 2;

/// Where the order servers are; nobody connects to them.
#[derive(Default)]
pub struct Held(RefCell<HashMap<EndpointId, EndpointLocation>>);

impl EndpointLocations for Held {
    fn endpoint_ids(&self) -> Vec<EndpointId> {
        self.0.borrow().keys().copied().collect()
    }

    fn set_location(&self, endpoint: EndpointId, place: EndpointLocation) {
        self.0.borrow_mut().insert(endpoint, place);
    }

    fn remove(&self, endpoint: EndpointId) {
        self.0.borrow_mut().remove(&endpoint);
    }
}

/// What has to be done for a hollow client proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Todo {
    /// Make [`Hollow::call`] after so long.
    Call {
        /// 0 for at once.
        after: Millis,
    },
    /// Wake it with [`Hollow::woken`].
    Timer {
        /// When, by its clock.
        at: Millis,
        /// To be handed back.
        token: u64,
    },
}

/// Whether the decisions get their regular look at everything. Where many hollow client proxies share a core it is left
/// out: it changes nothing about when they call, and what it costs is measured on its own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Looks {
    /// Ten times a second.
    Kept,
    /// Never.
    LeftOut,
}

/// One of them.
pub struct Hollow {
    balancer: Balancer,
    follower: Subscription<Held>,
    looks: Looks,
    /// The timer of the next look.
    next_look: Option<u64>,
}

impl Hollow {
    /// Knows nothing yet. Of `fleet` client proxies it is number `me`.
    ///
    /// # Errors
    /// Where the settings do not fit.
    pub fn new(me: u32, fleet: u32, seed: u64, looks: Looks) -> Result<Hollow, ScaleError> {
        let balancer = Balancer::new(settings(me, fleet)?, seed);
        let balancer = balancer.map_err(|error| ScaleError::SetUp(error.to_string()))?;
        let reader = ListReader {
            zones: names("z", REGIONS.len() as u32),
            kinds: names("k", KINDS),
            endpoints: Rc::default(),
            ids: Rc::<EndpointIds>::default(),
            raw_entries: None,
        };
        Ok(Hollow {
            balancer,
            follower: Subscription::new(PollTiming::QUEUED, reader),
            looks,
            next_look: None,
        })
    }

    /// Begins, with what is known from before, if anything. A list from before is built on, as the program does where lists
    /// are asked for: it then only asks for what is new.
    pub fn start(&mut self, now: Millis, known: Option<EndpointList>, todo: &mut Vec<Todo>) {
        let entries = known.map(|list| self.follower.restore(list, true, now)).unwrap_or_default();
        self.feed(now, Event::EndpointUpdate(EndpointUpdate::CachedSnapshot(entries)), todo);
    }

    /// The call that is to be made next.
    pub fn call(&self) -> PollRequest {
        self.follower.next_poll()
    }

    /// The body of an answer came whole, to a call that was made at `asked`. Gives the version that is held by now.
    ///
    /// # Errors
    /// Where it is no list; then the call has failed, and what follows from that is in `todo` already.
    pub fn answered(
        &mut self,
        now: Millis,
        asked: Millis,
        body: &[u8],
        todo: &mut Vec<Todo>,
    ) -> Result<Option<u64>, EndpointListError> {
        match self.follower.on_response(body, ReceivedAt { local: now, discovery_unix_ms: None }) {
            Ok(ListResponse::Applied { index, update: news, empty_watch: in_vain }) => {
                self.feed(now, Event::EndpointUpdate(news), todo);
                let after = if in_vain && now - asked < BREATH { BREATH } else { 0.0 };
                todo.push(Todo::Call { after });
                Ok(Some(index))
            }
            Ok(ListResponse::Rejected { .. }) => {
                todo.push(Todo::Call { after: BREATH });
                Ok(None)
            }
            Err(error) => {
                self.failed(now, true, todo);
                Err(error)
            }
        }
    }

    /// The call failed, or was given up.
    pub fn failed(&mut self, now: Millis, spoilt: bool, todo: &mut Vec<Todo>) {
        // How long to pause is for the decisions: lists are asked for here.
        let _ = self.follower.on_failure(spoilt);
        self.feed(now, Event::EndpointUpdate(EndpointUpdate::Failed), todo);
    }

    /// A timer is due.
    pub fn woken(&mut self, now: Millis, token: u64, todo: &mut Vec<Todo>) {
        self.feed(now, Event::TimerFired { token }, todo);
    }

    fn feed(&mut self, now: Millis, event: Event, todo: &mut Vec<Todo>) {
        // The first event arms the regular look, and each look the next one.
        let looked = match (&event, self.next_look) {
            (_, None) => true,
            (Event::TimerFired { token }, Some(look)) => *token == look,
            _ => false,
        };
        let mut actions = Vec::new();
        self.balancer.handle(now, event, &mut actions);
        let mut arms = looked;
        for action in actions {
            match action {
                Action::Watch => todo.push(Todo::Call { after: 0.0 }),
                Action::Fetch => {
                    self.follower.request_full_snapshot();
                    todo.push(Todo::Call { after: 0.0 });
                }
                Action::SetTimer { at, token } => {
                    if std::mem::take(&mut arms) {
                        self.next_look = Some(token);
                        if self.looks == Looks::LeftOut {
                            continue;
                        }
                    }
                    todo.push(Todo::Timer { at, token });
                }
                Action::ReleaseEndpointId { endpoint } => self.follower.reader().ids.release(endpoint),
                // Nobody sends anything, so there is nothing else to do.
                _ => {}
            }
        }
    }
}

fn names(letter: &str, count: u32) -> Vec<String> {
    (0..count).map(|n| format!("{letter}{n}")).collect()
}

/// As the testbed's plays have them (`testbed/src/fleet.rs`), with the zones and regions of the supposed fleet, and lists
/// that are asked for.
///
/// # Errors
/// Where they do not fit.
pub fn settings(me: u32, fleet: u32) -> Result<Settings, ScaleError> {
    let class = |name: &str, aim: f64, semantics: &str, points: f64| {
        json!({"name": name, "aim": aim, "hardLimit": 5.0 * aim, "semantics": semantics, "points": points,
               "keyScope": "zone", "keyTtl": 2000.0})
    };
    let zone = me as usize % REGIONS.len();
    let wire = json!({
        "me": me, "balancers": fleet, "discovery": "subscribe", "tick": 4.0,
        "classes": [class("look", 200.0, "safe", 1.0), class("pay", 300.0, "unsafe", 4.0),
                    class("book", 300.0, "keyed", 2.0)],
        "contract": {"cold": 8000.0, "coldFrom": 0.3, "drainGrace": 1500.0, "fall": 1500.0, "fallMultiple": 3.0,
                     "graceToAnswer": 16.0},
        "kinds": names("k", KINDS), "zones": names("z", REGIONS.len() as u32), "zone": zone,
        "limits": {"attemptsCap": 3, "cancelling": true, "connIdle": 10000.0, "dialTimeout": 100.0,
                   "maxRetryAfter": 1200.0, "retryAfter": true, "secondCopies": false},
        "report": {"fields": ["utilization"], "how": "answers"}
    });
    let wire: Result<WireSettings, _> = serde_json::from_value(wire);
    let mut settings =
        convert_settings(wire.map_err(|error| ScaleError::SetUp(format!("settings: {error}")))?);
    settings.locality = Some(Locality { own_zone: Some(zone), regions: REGIONS.to_vec() });
    Ok(settings)
}

/// An entry of the list for the endpoint of that number, as discovery writes it.
pub fn entry(endpoint: u32, since_ms: u64, status: &str) -> String {
    let [_, high, mid, low] = endpoint.to_be_bytes();
    let (zone, kind) = (endpoint as usize % REGIONS.len(), endpoint / REGIONS.len() as u32 % KINDS);
    format!(
        r#"{{"name":"n{endpoint:05}","address":"10.{high}.{mid}.{low}:7000","zone":"z{zone}","type":"k{kind}","group":{},"status":"{status}","weight":1.0,"since_ms":{since_ms}}}"#,
        endpoint % 97
    )
}

/// An answer of discovery.
pub fn list(index: u64, whole: bool, entries: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{whole},"endpoints":[{}]}}"#, entries.join(","))
}

/// CPU time of this thread, in microseconds.
pub fn cpu_us() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

/// What the process holds of the machine's memory, in KiB.
///
/// # Errors
/// Where the system does not say.
pub fn resident_kb() -> Result<f64, ScaleError> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.trim().strip_suffix(" kB")?.trim().parse().ok());
    number.ok_or_else(|| ScaleError::SetUp("/proc/self/status: no VmRSS in kB".to_owned()))
}

/// Endpoints held, from a small client proxy to one that is told the whole fleet; 9,350 are the 20 largest services.
const AXIS: [u32; 7] = [200, 340, 1_000, 3_400, 9_350, 18_000, ENDPOINTS];
/// Endpoints at each point, over all hollow client proxies there: their memory is told by the difference.
const TOGETHER: u32 = 108_000;
const CHANGES: u32 = 200;
const WHOLE_LISTS: u32 = 5;
const LOOKS: u32 = 200;
/// Since when the endpoints run, about.
const LONG_AGO: u64 = 1_700_000_000_000;

/// The run `hollow-endpoints`.
///
/// # Errors
/// Where the system says nothing of memory, or a list is not taken.
pub fn make(options: &Options) -> Result<Run, ScaleError> {
    let mut rng = chance::stream(options.seed, "hollow-endpoints");
    // Guards against memory that is given back at one point and taken again at the next, unseen: all stay to the end.
    let mut all = Vec::new();
    let points: Result<Vec<Point>, ScaleError> =
        AXIS.into_iter().map(|endpoints| point(endpoints, &mut rng, &mut all)).collect();
    let fixed = [
        (
            "how",
            "one thread, a virtual clock; CPU time of the thread, memory by the growth of VmRSS".to_owned(),
        ),
        ("what it leaves out", "connections, requests, sockets, and the runtime".to_owned()),
        ("settings", "3 classes, 2 kinds, 9 zones in 4 regions, 36,000 balancers, subscribe".to_owned()),
        ("bytes of an entry", entry(ENDPOINTS - 1, LONG_AGO, "SERVING").len().to_string()),
        ("hollow client proxies at a point", format!("{TOGETHER} / endpoints, at least 3")),
        ("changes, whole lists and looks at a point", format!("{CHANGES}, {WHOLE_LISTS}, {LOOKS}")),
        ("a change", "one endpoint whose process is another one".to_owned()),
    ];
    Ok(Run {
        run: "hollow-endpoints".to_owned(),
        axis: "endpoints held".to_owned(),
        seed: options.seed,
        void: None,
        fixed: fixed.map(|(name, value)| (name.to_owned(), value)).into(),
        points: points?,
    })
}

fn point(endpoints: u32, rng: &mut Pcg32, all: &mut Vec<Hollow>) -> Result<Point, ScaleError> {
    let mut numbers: Vec<u32> = (0..ENDPOINTS).collect();
    for n in 0..endpoints as usize {
        let other = n + (chance::unit(rng) * (numbers.len() - n) as f64) as usize;
        numbers.swap(n, other);
    }
    numbers.truncate(endpoints as usize);
    let entries: Vec<String> = numbers.iter().map(|&endpoint| entry(endpoint, LONG_AGO, "SERVING")).collect();
    let whole = list(1, true, &entries);
    let mut holding = || -> Result<(Hollow, Vec<Todo>), ScaleError> {
        let mut hollow = Hollow::new(rng.next_u32(), ENDPOINTS, rng.next_u64(), Looks::Kept)?;
        let mut todo = Vec::new();
        hollow.start(0.0, None, &mut todo);
        take(&mut hollow, 0.0, &whole, &mut todo)?;
        Ok((hollow, todo))
    };
    // The first one leaves behind the room that reading a list takes.
    let (mut hollow, mut todo) = holding()?;
    let (before, count) = (resident_kb()?, (TOGETHER / endpoints).max(3));
    for _ in 0..count {
        all.push(holding()?.0);
    }
    let memory_kb = (resident_kb()? - before) / f64::from(count);

    let mut now = 0.0;
    let changes: Vec<String> = (1..=u64::from(CHANGES))
        .map(|n| {
            let changed = numbers[(chance::unit(rng) * numbers.len() as f64) as usize];
            list(1 + n, false, &[entry(changed, LONG_AGO + n, "SERVING")])
        })
        .collect();
    let began = cpu_us();
    for change in &changes {
        now += 1.0;
        take(&mut hollow, now, change, &mut todo)?;
    }
    let change_cpu_us = (cpu_us() - began) / f64::from(CHANGES);

    let mut whole_list_cpu_us = 0.0;
    for n in 1..=WHOLE_LISTS {
        let whole = list(u64::from(1 + CHANGES + n), true, &entries);
        let began = cpu_us();
        take(&mut hollow, now, &whole, &mut todo)?;
        whole_list_cpu_us += cpu_us() - began;
    }

    let began = (now, cpu_us());
    for _ in 0..LOOKS {
        let timer = todo.iter().rev().find_map(|todo| match *todo {
            Todo::Timer { at, token } => Some((at.max(now), token)),
            Todo::Call { .. } => None,
        });
        let (at, token) = timer.ok_or_else(|| ScaleError::SetUp("no regular look comes".to_owned()))?;
        now = at;
        todo.clear();
        hollow.woken(now, token, &mut todo);
    }
    let idle_core_share = (cpu_us() - began.1) / ((now - began.0) * 1e3);
    all.push(hollow);
    let figures = [
        ("memory_kb", memory_kb),
        ("change_cpu_us", change_cpu_us),
        ("whole_list_cpu_ms", whole_list_cpu_us / 1e3 / f64::from(WHOLE_LISTS)),
        ("idle_core_share", idle_core_share),
    ];
    Ok(Point {
        x: f64::from(endpoints),
        figures: figures.map(|(name, value)| (name.to_owned(), value)).into(),
    })
}

/// An answer that is to be taken, to a call made long before.
fn take(hollow: &mut Hollow, now: Millis, body: &str, todo: &mut Vec<Todo>) -> Result<(), ScaleError> {
    match hollow.answered(now, now - 1_000.0, body.as_bytes(), todo) {
        Ok(Some(_)) => Ok(()),
        Ok(None) => Err(ScaleError::SetUp("a list is doubted".to_owned())),
        Err(error) => Err(ScaleError::SetUp(error.to_string())),
    }
}

#[cfg(test)]
mod tests;
