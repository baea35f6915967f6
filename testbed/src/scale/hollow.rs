//! Control-only client proxies: the discovery subscription and the balancer of the real program, driven as
//! `client-proxy/src/discovery.rs` drives them, but without clients and order servers. Many fit into one
//! process, on real sockets and in virtual time alike.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use balancer::{Action, Balancer, EndpointId, EndpointUpdate, Event, Locality, Millis, Settings};
use discovery_proto::{
    EndpointIds, EndpointList, EndpointListError, EndpointLocation, EndpointLocations, ListReader,
    ListResponse, PollRequest, PollTiming, ReceivedAt, Subscription,
};
use rand_core::Rng;
use rand_pcg::Pcg32;
use serde_json::json;
use simulator_adapter::{WireSettings, convert_settings};

use super::law::{ENDPOINTS, ZONE_REGIONS};
use super::usage::{resident_memory_kb, thread_cpu_us};
use super::{Options, Point, Run, ScaleError};
use crate::chance;

/// Delay before the next poll, as in the client proxy, after an empty response to a watch that did not wait,
/// and after a rejected response.
const REPOLL_DELAY_MS: Millis = 50.0;
/// The number of endpoint kinds.
const KINDS: u32 = 2;

/// Locations of the endpoints. Nothing connects to them.
#[derive(Default)]
pub struct LocationTable(RefCell<HashMap<EndpointId, EndpointLocation>>);

impl EndpointLocations for LocationTable {
    fn endpoint_ids(&self) -> Vec<EndpointId> {
        self.0.borrow().keys().copied().collect()
    }

    fn set_location(&self, endpoint: EndpointId, location: EndpointLocation) {
        self.0.borrow_mut().insert(endpoint, location);
    }

    fn remove(&self, endpoint: EndpointId) {
        self.0.borrow_mut().remove(&endpoint);
    }
}

/// What the caller has to do next for a control-only client proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextStep {
    /// Send the poll that [`ControlOnlyProxy::next_poll`] returns.
    Poll {
        /// Zero: immediately.
        delay_ms: Millis,
    },
    /// Call [`ControlOnlyProxy::on_timer`].
    Timer {
        /// When, on the client proxy's clock.
        at: Millis,
        /// The token to pass to it.
        token: u64,
    },
}

/// Whether the balancer's periodic evaluation runs. Where many control-only client proxies share a core it is
/// disabled: it does not influence when they poll, and its cost is measured separately.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PeriodicEvaluation {
    /// Ten times a second.
    Enabled,
    /// Never.
    Disabled,
}

/// A client proxy without a data path: the discovery subscription and the balancer only.
pub struct ControlOnlyProxy {
    balancer: Balancer,
    subscription: Subscription<LocationTable>,
    periodic_evaluation: PeriodicEvaluation,
    /// The timer token of the next periodic evaluation.
    evaluation_token: Option<u64>,
}

impl ControlOnlyProxy {
    /// Creates number `me` of `fleet` client proxies, without an endpoint list.
    ///
    /// # Errors
    /// If the balancer rejects the settings.
    pub fn new(
        me: u32,
        fleet: u32,
        seed: u64,
        periodic_evaluation: PeriodicEvaluation,
    ) -> Result<ControlOnlyProxy, ScaleError> {
        let balancer = Balancer::new(settings(me, fleet)?, seed);
        let balancer = balancer.map_err(|error| ScaleError::SetUp(error.to_string()))?;
        let reader = ListReader {
            zones: numbered_names("z", ZONE_REGIONS.len() as u32),
            kinds: numbered_names("k", KINDS),
            endpoints: Rc::default(),
            ids: Rc::<EndpointIds>::default(),
            raw_entries: None,
        };
        Ok(ControlOnlyProxy {
            balancer,
            subscription: Subscription::new(PollTiming::QUEUED, reader),
            periodic_evaluation,
            evaluation_token: None,
        })
    }

    /// Starts, from a cached list if there is one. As in the client proxy, the first poll then requests only
    /// the changes since that list.
    pub fn start(&mut self, now: Millis, cached: Option<EndpointList>, next_steps: &mut Vec<NextStep>) {
        let entries =
            cached.map(|cached_list| self.subscription.restore(cached_list, true, now)).unwrap_or_default();
        self.handle_event(now, Event::EndpointUpdate(EndpointUpdate::CachedSnapshot(entries)), next_steps);
    }

    /// Returns the next poll to send.
    pub fn next_poll(&self) -> PollRequest {
        self.subscription.next_poll()
    }

    /// Handles the complete body of the response to a poll that was sent at `sent_at`. Returns the version of
    /// the current list, or `None` if the response was rejected.
    ///
    /// # Errors
    /// If the body is not a valid list. The poll counts as failed, and `next_steps` already has what follows.
    pub fn on_response(
        &mut self,
        now: Millis,
        sent_at: Millis,
        body: &[u8],
        next_steps: &mut Vec<NextStep>,
    ) -> Result<Option<u64>, EndpointListError> {
        match self.subscription.on_response(body, ReceivedAt { local: now, discovery_unix_ms: None }) {
            Ok(ListResponse::Applied { index, update, empty_watch }) => {
                self.handle_event(now, Event::EndpointUpdate(update), next_steps);
                let delay_ms =
                    if empty_watch && now - sent_at < REPOLL_DELAY_MS { REPOLL_DELAY_MS } else { 0.0 };
                next_steps.push(NextStep::Poll { delay_ms });
                Ok(Some(index))
            }
            Ok(ListResponse::Rejected { .. }) => {
                next_steps.push(NextStep::Poll { delay_ms: REPOLL_DELAY_MS });
                Ok(None)
            }
            Err(error) => {
                self.on_failure(now, true, next_steps);
                Err(error)
            }
        }
    }

    /// Handles a poll that failed or timed out.
    pub fn on_failure(&mut self, now: Millis, invalid_response: bool, next_steps: &mut Vec<NextStep>) {
        // The subscription's own delay is unused: in subscribe mode the balancer sets the backoff.
        let _ = self.subscription.on_failure(invalid_response);
        self.handle_event(now, Event::EndpointUpdate(EndpointUpdate::Failed), next_steps);
    }

    /// Handles a timer that has fired.
    pub fn on_timer(&mut self, now: Millis, token: u64, next_steps: &mut Vec<NextStep>) {
        self.handle_event(now, Event::TimerFired { token }, next_steps);
    }

    fn handle_event(&mut self, now: Millis, event: Event, next_steps: &mut Vec<NextStep>) {
        // The first event schedules the periodic evaluation, and each evaluation the next one.
        let is_evaluation = match (&event, self.evaluation_token) {
            (_, None) => true,
            (Event::TimerFired { token }, Some(evaluation)) => *token == evaluation,
            _ => false,
        };
        let mut actions = Vec::new();
        self.balancer.handle(now, event, &mut actions);
        let mut schedules_evaluation = is_evaluation;
        for action in actions {
            match action {
                Action::Watch => next_steps.push(NextStep::Poll { delay_ms: 0.0 }),
                Action::Fetch => {
                    self.subscription.request_full_snapshot();
                    next_steps.push(NextStep::Poll { delay_ms: 0.0 });
                }
                Action::SetTimer { at, token } => {
                    if std::mem::take(&mut schedules_evaluation) {
                        self.evaluation_token = Some(token);
                        if self.periodic_evaluation == PeriodicEvaluation::Disabled {
                            continue;
                        }
                    }
                    next_steps.push(NextStep::Timer { at, token });
                }
                Action::ReleaseEndpointId { endpoint } => self.subscription.reader().ids.release(endpoint),
                // There are no requests, so no other action applies.
                _ => {}
            }
        }
    }
}

fn numbered_names(letter: &str, count: u32) -> Vec<String> {
    (0..count).map(|n| format!("{letter}{n}")).collect()
}

/// The settings of the testbed's scenarios (`testbed/src/fleet.rs`), with the zones and regions of the
/// modelled fleet and with discovery in subscribe mode.
///
/// # Errors
/// If the wire settings cannot be parsed.
pub fn settings(me: u32, fleet: u32) -> Result<Settings, ScaleError> {
    let class = |name: &str, objective_ms: f64, semantics: &str, weight: f64| {
        json!({"name": name, "aim": objective_ms, "hardLimit": 5.0 * objective_ms, "semantics": semantics,
               "points": weight, "keyScope": "zone", "keyTtl": 2000.0})
    };
    let zone = me as usize % ZONE_REGIONS.len();
    let wire = json!({
        "me": me, "balancers": fleet, "discovery": "subscribe", "tick": 4.0,
        "classes": [class("look", 200.0, "safe", 1.0), class("pay", 300.0, "unsafe", 4.0),
                    class("book", 300.0, "keyed", 2.0)],
        "contract": {"cold": 8000.0, "coldFrom": 0.3, "drainGrace": 1500.0, "fall": 1500.0, "fallMultiple": 3.0,
                     "graceToAnswer": 16.0},
        "kinds": numbered_names("k", KINDS), "zones": numbered_names("z", ZONE_REGIONS.len() as u32), "zone": zone,
        "limits": {"attemptsCap": 3, "cancelling": true, "connIdle": 10000.0, "dialTimeout": 100.0,
                   "maxRetryAfter": 1200.0, "retryAfter": true, "secondCopies": false},
        "report": {"fields": ["utilization"], "how": "answers"}
    });
    let wire: Result<WireSettings, _> = serde_json::from_value(wire);
    let mut settings =
        convert_settings(wire.map_err(|error| ScaleError::SetUp(format!("settings: {error}")))?);
    settings.locality = Some(Locality { own_zone: Some(zone), regions: ZONE_REGIONS.to_vec() });
    Ok(settings)
}

/// The list entry of an endpoint, as discovery encodes it.
pub fn entry_json(endpoint: u32, since_ms: u64, status: &str) -> String {
    let [_, high, mid, low] = endpoint.to_be_bytes();
    let (zone, kind) = (endpoint as usize % ZONE_REGIONS.len(), endpoint / ZONE_REGIONS.len() as u32 % KINDS);
    format!(
        r#"{{"name":"n{endpoint:05}","address":"10.{high}.{mid}.{low}:7000","zone":"z{zone}","type":"k{kind}","group":{},"status":"{status}","weight":1.0,"since_ms":{since_ms}}}"#,
        endpoint % 97
    )
}

/// The body of a discovery response.
pub fn list_json(index: u64, full_snapshot: bool, entries: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{full_snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

/// Endpoints in the list, from a small client proxy to one that receives the whole fleet; 9,350 are the 20
/// largest services.
const AXIS: [u32; 7] = [200, 340, 1_000, 3_400, 9_350, 18_000, ENDPOINTS];
/// Endpoints at each point, over all client proxies there. The memory of one is the growth of the process
/// divided by their number.
const TOTAL_ENDPOINTS: u32 = 108_000;
const CHANGES: u32 = 200;
const FULL_SNAPSHOTS: u32 = 5;
const EVALUATIONS: u32 = 200;
/// Start time of the endpoints' processes.
const START_UNIX_MS: u64 = 1_700_000_000_000;

/// The run `hollow-endpoints`.
///
/// # Errors
/// If the resident memory cannot be read, or a list is rejected.
pub fn run(options: &Options) -> Result<Run, ScaleError> {
    let mut rng = chance::stream(options.seed, "hollow-endpoints");
    // All client proxies live until the end: memory freed at one point would be reused at the next, which
    // would then show no growth.
    let mut proxies = Vec::new();
    let points: Result<Vec<Point>, ScaleError> =
        AXIS.into_iter().map(|endpoints| point(endpoints, &mut rng, &mut proxies)).collect();
    let fixed = [
        (
            "how",
            "one thread, a virtual clock; CPU time of the thread, memory by the growth of VmRSS".to_owned(),
        ),
        ("what it leaves out", "connections, requests, sockets, and the runtime".to_owned()),
        ("settings", "3 classes, 2 kinds, 9 zones in 4 regions, 36,000 balancers, subscribe".to_owned()),
        ("bytes of an entry", entry_json(ENDPOINTS - 1, START_UNIX_MS, "SERVING").len().to_string()),
        ("hollow client proxies at a point", format!("{TOTAL_ENDPOINTS} / endpoints, at least 3")),
        ("changes, whole lists and looks at a point", format!("{CHANGES}, {FULL_SNAPSHOTS}, {EVALUATIONS}")),
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

fn point(endpoints: u32, rng: &mut Pcg32, proxies: &mut Vec<ControlOnlyProxy>) -> Result<Point, ScaleError> {
    let mut numbers: Vec<u32> = (0..ENDPOINTS).collect();
    for n in 0..endpoints as usize {
        let other = n + (chance::uniform(rng) * (numbers.len() - n) as f64) as usize;
        numbers.swap(n, other);
    }
    numbers.truncate(endpoints as usize);
    let entries: Vec<String> =
        numbers.iter().map(|&endpoint| entry_json(endpoint, START_UNIX_MS, "SERVING")).collect();
    let snapshot = list_json(1, true, &entries);
    let mut proxy_with_list = || -> Result<(ControlOnlyProxy, Vec<NextStep>), ScaleError> {
        let mut proxy =
            ControlOnlyProxy::new(rng.next_u32(), ENDPOINTS, rng.next_u64(), PeriodicEvaluation::Enabled)?;
        let mut next_steps = Vec::new();
        proxy.start(0.0, None, &mut next_steps);
        apply(&mut proxy, 0.0, &snapshot, &mut next_steps)?;
        Ok((proxy, next_steps))
    };
    // The first one grows the heap by the temporary memory that parsing a list takes, so that later ones do
    // not.
    let (mut proxy, mut next_steps) = proxy_with_list()?;
    let (before, count) = (resident_memory_kb()?, (TOTAL_ENDPOINTS / endpoints).max(3));
    for _ in 0..count {
        proxies.push(proxy_with_list()?.0);
    }
    let memory_kb = (resident_memory_kb()? - before) / f64::from(count);

    let mut now = 0.0;
    let changes: Vec<String> = (1..=u64::from(CHANGES))
        .map(|n| {
            let changed = numbers[(chance::uniform(rng) * numbers.len() as f64) as usize];
            list_json(1 + n, false, &[entry_json(changed, START_UNIX_MS + n, "SERVING")])
        })
        .collect();
    let started = thread_cpu_us();
    for change in &changes {
        now += 1.0;
        apply(&mut proxy, now, change, &mut next_steps)?;
    }
    let change_cpu_us = (thread_cpu_us() - started) / f64::from(CHANGES);

    let mut snapshot_cpu_us = 0.0;
    for n in 1..=FULL_SNAPSHOTS {
        let snapshot = list_json(u64::from(1 + CHANGES + n), true, &entries);
        let started = thread_cpu_us();
        apply(&mut proxy, now, &snapshot, &mut next_steps)?;
        snapshot_cpu_us += thread_cpu_us() - started;
    }

    let started = (now, thread_cpu_us());
    for _ in 0..EVALUATIONS {
        let timer = next_steps.iter().rev().find_map(|next_step| match *next_step {
            NextStep::Timer { at, token } => Some((at.max(now), token)),
            NextStep::Poll { .. } => None,
        });
        let (at, token) = timer.ok_or_else(|| {
            ScaleError::SetUp("the balancer did not schedule its periodic evaluation".to_owned())
        })?;
        now = at;
        next_steps.clear();
        proxy.on_timer(now, token, &mut next_steps);
    }
    let idle_core_share = (thread_cpu_us() - started.1) / ((now - started.0) * 1e3);
    proxies.push(proxy);
    let figures = [
        ("memory_kb", memory_kb),
        ("change_cpu_us", change_cpu_us),
        ("whole_list_cpu_ms", snapshot_cpu_us / 1e3 / f64::from(FULL_SNAPSHOTS)),
        ("idle_core_share", idle_core_share),
    ];
    Ok(Point {
        x: f64::from(endpoints),
        figures: figures.map(|(name, value)| (name.to_owned(), value)).into(),
    })
}

/// Applies a response, as if its poll had been sent a second earlier.
fn apply(
    proxy: &mut ControlOnlyProxy,
    now: Millis,
    body: &str,
    next_steps: &mut Vec<NextStep>,
) -> Result<(), ScaleError> {
    match proxy.on_response(now, now - 1_000.0, body.as_bytes(), next_steps) {
        Ok(Some(_)) => Ok(()),
        Ok(None) => Err(ScaleError::SetUp("an endpoint list was rejected".to_owned())),
        Err(error) => Err(ScaleError::SetUp(error.to_string())),
    }
}

#[cfg(test)]
mod tests;
