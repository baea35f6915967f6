//! Simulated clients: an open-loop load whose arrivals are drawn in advance. Each client uses the client
//! proxy on its own host.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HeaderValue;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout_at};

use crate::chance::{exponential, stream, uniform};
use crate::ledger::{self, Ending, Rule, Txn};
use crate::run_context::RunContext;
use crate::scenario::{Class, Load, Scenario, Scope, Semantics};
use crate::servers::body_of;
use crate::station::Seconds;

/// Minimum work of a request as a share of its mean; the rest is drawn from an exponential distribution.
const MIN_WORK_SHARE: f64 = 0.3;

/// A scheduled request.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When it is sent.
    pub at: Seconds,
    /// Index of its class in the scenario.
    pub class: usize,
    /// Index of the client proxy that it is sent to.
    pub proxy: usize,
    /// Time it takes on a standard core.
    pub work: Seconds,
    /// If its client disconnects early: the share of the client's timeout after which it does.
    pub disconnect_share: Option<f64>,
    /// Whether its client waits for the time in `Retry-After` before it retries.
    pub honours_retry_after: bool,
}

/// All first tries of a run, ordered by time. The same seed gives the same requests.
pub fn arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let (mut rng, mut behaviour_rng) = (stream(seed, "arrivals"), stream(seed, "manners"));
    let Scenario { load, class, fleet, duration, .. } = scenario;
    let peak = load.burst.iter().map(|burst| burst.times).fold(1.0, f64::max);
    let shares: f64 = class.iter().map(|class| class.share).sum();
    let weight = |proxy: usize| {
        let zone = &scenario.zone[proxy % scenario.zone.len()].name;
        load.zones.get(zone).copied().unwrap_or(1.0)
    };
    let weights: Vec<f64> = (0..fleet.proxies).map(weight).collect();
    let total_weight: f64 = weights.iter().sum();
    let (mut at, mut all) = (0.0, Vec::new());
    loop {
        at += exponential(&mut rng) / (load.per_second * peak);
        if at >= duration.as_secs_f64() {
            return all;
        }
        let within = |from: Duration, lasts: Duration| {
            (from.as_secs_f64()..(from + lasts).as_secs_f64()).contains(&at)
        };
        let bursts = load.burst.iter().filter(|burst| within(burst.at, burst.lasts));
        let times = bursts.map(|burst| burst.times).fold(1.0, f64::max);
        // Each arrival draws the same number of random values, so that a burst doesn't change the other
        // arrivals.
        let (kept, mut class_point) = (uniform(&mut rng) < times / peak, uniform(&mut rng) * shares);
        let (mut proxy_point, size) = (uniform(&mut rng) * total_weight, exponential(&mut rng));
        let proxy = weights.iter().position(|weight| {
            proxy_point -= weight;
            proxy_point < 0.0
        });
        let [disconnects, early, compliance] = std::array::from_fn(|_| uniform(&mut behaviour_rng));
        let disconnect_share = (disconnects < load.disconnect_share).then_some(early);
        let chosen = class.iter().position(|class| {
            class_point -= class.share;
            class_point < 0.0
        });
        let class_number = chosen.unwrap_or(class.len() - 1);
        if kept {
            let mean = class[class_number].work.as_secs_f64();
            let work = mean * (MIN_WORK_SHARE + (1.0 - MIN_WORK_SHARE) * size);
            let honours_retry_after = compliance < load.retry_after_compliance;
            let proxy = proxy.unwrap_or(fleet.proxies - 1);
            all.push(Arrival { at, class: class_number, proxy, work, disconnect_share, honours_retry_after });
        }
    }
}

/// A client proxy as its clients see it.
pub struct ClientProxy {
    address: SocketAddr,
    idle: RefCell<Vec<SendRequest<Empty<Bytes>>>>,
    /// Start and end of each fault of the scenario that made it unavailable; an infinite end if it still
    /// does.
    faults: RefCell<Vec<(Seconds, Seconds)>>,
    ready: Cell<bool>,
}

impl ClientProxy {
    /// Creates one that listens on `address`.
    pub fn new(address: SocketAddr) -> ClientProxy {
        ClientProxy { address, idle: RefCell::default(), faults: RefCell::default(), ready: Cell::new(true) }
    }

    /// Records that a fault makes it unavailable from now on.
    pub fn fault_started(&self, now: Seconds) {
        self.faults.borrow_mut().push((now, f64::INFINITY));
        self.ready.set(false);
    }

    /// Records that it serves again.
    pub fn fault_ended(&self, now: Seconds) {
        if let Some((_, until)) = self.faults.borrow_mut().last_mut() {
            *until = until.min(now);
        }
        self.ready.set(true);
    }

    /// Whether a fault made it unavailable at some time between `from` and `until`.
    pub fn had_fault(&self, from: Seconds, until: Seconds) -> bool {
        self.faults.borrow().iter().any(|(begun, over)| *begun <= until && *over >= from)
    }
}

/// The simulated clients of a run.
pub struct Clients {
    run: RunContext,
    classes: Vec<Class>,
    load: Load,
    lost_after: Seconds,
    proxies: Vec<Rc<ClientProxy>>,
}

/// The timing of one try.
struct TryTiming {
    /// When the client's timeout for this try ends.
    until: Seconds,
    /// When the client disconnects, if it does so before that.
    disconnects_at: Option<Seconds>,
    /// Whether the try carries the `x-resent` header, which marks it as a retry.
    resent: bool,
}

/// Result of sending one try.
enum TryResult {
    /// Status, `Retry-After` and body of the response; no body if it was cut short.
    Response(StatusCode, Option<Duration>, Option<Bytes>),
    /// The connection was closed without a response; true if it was a reused connection.
    Closed(bool),
    /// No connection could be established, so the request was not sent.
    Unreached,
}

impl Clients {
    /// Creates the clients of the given client proxies.
    pub fn new(run: RunContext, scenario: &Scenario, proxies: Vec<Rc<ClientProxy>>) -> Rc<Clients> {
        let (classes, load) = (scenario.class.clone(), scenario.load.clone());
        let lost_after = scenario.contract.lost_after.as_secs_f64();
        Rc::new(Clients { run, classes, load, lost_after, proxies })
    }

    /// Sends each request at its time, without waiting for earlier ones.
    pub async fn send(self: Rc<Self>, arrivals: Vec<Arrival>) {
        for arrival in arrivals {
            sleep_until(self.run.instant(arrival.at)).await;
            spawn_local(Rc::clone(&self).send_with_retries(arrival));
        }
    }

    /// Sends one request with its retries.
    pub async fn send_with_retries(self: Rc<Self>, arrival: Arrival) {
        let class = &self.classes[arrival.class];
        let (latency_objective, client_timeout) =
            (class.latency_objective.as_secs_f64(), class.client_timeout.as_secs_f64());
        let retries_failures = self.load.retry_failed
            && (class.semantics == Semantics::Safe
                || class.semantics == Semantics::Keyed && class.scope == Scope::All);
        let backoff = self.load.backoff.map_or(latency_objective / 4.0, |backoff| backoff.as_secs_f64());
        let (mut scheduled_at, mut first) = (arrival.at, None);
        for _ in 0..=self.load.retries {
            let txn = self.add_to_ledger(&arrival, class, first, scheduled_at);
            let timing = TryTiming {
                until: scheduled_at + client_timeout * self.load.try_timeout_share,
                disconnects_at: arrival
                    .disconnect_share
                    .map(|part| scheduled_at + client_timeout * self.load.try_timeout_share * part),
                resent: first.is_some() && self.load.sends_resent_header,
            };
            first.get_or_insert(txn);
            let (ending, retry_after) = self.attempt(txn, class, arrival.proxy, scheduled_at, &timing).await;
            let now = self.run.now();
            self.run.ledger.borrow_mut().end_request(txn, ending, now);
            let delay_s = match (ending, retry_after.filter(|_| arrival.honours_retry_after)) {
                (Ending::Rejected, Some(retry_after)) => retry_after.as_secs_f64(),
                (Ending::Rejected, None) => backoff,
                (Ending::Failed | Ending::TimedOut, _) if retries_failures => 0.0,
                _ => return,
            };
            scheduled_at = now + delay_s;
            if scheduled_at > arrival.at + client_timeout {
                return;
            }
            sleep(Duration::from_secs_f64(delay_s)).await;
        }
    }

    fn add_to_ledger(
        &self,
        arrival: &Arrival,
        class: &Class,
        first: Option<Txn>,
        scheduled_at: Seconds,
    ) -> Txn {
        let late = self.run.now() - scheduled_at;
        let Arrival { class: number, proxy, work, .. } = *arrival;
        let request = ledger::Request {
            class: number,
            proxy,
            scheduled_at,
            work,
            first_try: Txn(0),
            at_most_once: class.semantics == Semantics::Unsafe,
            key_scope_and_ttl: (class.semantics == Semantics::Keyed)
                .then_some((class.scope, class.key_ttl.as_secs_f64())),
            priority_weight: class.priority_weight,
            latency_objective: class.latency_objective.as_secs_f64(),
        };
        self.run.ledger.borrow_mut().add_request(request, first, late)
    }

    /// Sends one try. Returns how it ended and the `Retry-After` of a rejection.
    async fn attempt(
        &self,
        txn: Txn,
        class: &Class,
        proxy: usize,
        scheduled_at: Seconds,
        timing: &TryTiming,
    ) -> (Ending, Option<Duration>) {
        let client_proxy = &self.proxies[proxy];
        let response_lost_at = timing.until + self.lost_after;
        // At this time the exchange is dropped, which closes its connection.
        let drop_at = self.run.instant(timing.disconnects_at.unwrap_or(response_lost_at));
        let result = timeout_at(drop_at, self.exchange(txn, class, client_proxy, timing)).await;
        let now = self.run.now();
        let (ending, how) = match result {
            Ok(TryResult::Response(StatusCode::OK, _, Some(body))) if body == body_of(txn) => {
                (Ending::Served, None)
            }
            Ok(TryResult::Response(StatusCode::OK, _, Some(_))) => {
                (Ending::Failed, Some("was served with what no server made"))
            }
            // A truncated response that the client recognises as such is a failure.
            Ok(TryResult::Response(StatusCode::OK, _, None)) => (Ending::Failed, None),
            Ok(TryResult::Response(
                StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE,
                retry_after,
                _,
            )) => {
                return (Ending::Rejected, retry_after);
            }
            Ok(TryResult::Response(..)) => (Ending::Failed, None),
            Ok(TryResult::Unreached) => (Ending::Failed, None),
            Ok(TryResult::Closed(_)) => (Ending::Failed, Some("was closed on without an answer")),
            Err(_) if timing.disconnects_at.is_some() => return (Ending::Disconnected, None),
            Err(_) => (Ending::TimedOut, Some("had no answer")),
        };
        if client_proxy.had_fault(scheduled_at, now) && ending != Ending::Served {
            return (Ending::Interrupted, None);
        }
        if let Some(how) = how {
            let how = format!("{txn:?} of client proxy {proxy}, meant at {scheduled_at:.3} s, {how}");
            self.run.ledger.borrow_mut().record_violation(Rule::Lost, now, &how);
        }
        let late = ending == Ending::Served && now > timing.until;
        (if late { Ending::TimedOut } else { ending }, None)
    }

    async fn exchange(
        &self,
        txn: Txn,
        class: &Class,
        client_proxy: &ClientProxy,
        timing: &TryTiming,
    ) -> TryResult {
        match self.send_once(txn, class, client_proxy, timing).await {
            // The proxy closed a reused connection before it read the request: it is sent once more, on a new
            // one.
            TryResult::Closed(true) if !self.run.ledger.borrow().has_attempts(txn) => {
                client_proxy.idle.borrow_mut().clear();
                self.send_once(txn, class, client_proxy, timing).await
            }
            result => result,
        }
    }

    async fn send_once(&self, txn: Txn, class: &Class, proxy: &ClientProxy, timing: &TryTiming) -> TryResult {
        let mut kept = None;
        loop {
            let Some(mut idle) = proxy.idle.borrow_mut().pop() else { break };
            if idle.ready().await.is_ok() {
                kept = Some(idle);
                break;
            }
        }
        let reused = kept.is_some();
        let mut sender = match kept {
            Some(sender) => sender,
            None => {
                let Ok(stream) = TcpStream::connect(proxy.address).await else { return TryResult::Unreached };
                let _ = stream.set_nodelay(true);
                let Ok((sender, connection)) = handshake(TokioIo::new(stream)).await else {
                    return TryResult::Closed(false);
                };
                // An error of the connection also fails the request on it.
                spawn_local(async move { drop(connection.await) });
                sender
            }
        };
        let request = self.request(txn, class, timing.until - self.run.now(), timing.resent);
        let Ok(response) = sender.send_request(request).await else { return TryResult::Closed(reused) };
        let (head, body) = response.into_parts();
        let retry_after =
            head.headers.get("retry-after").and_then(|retry_after| retry_after.to_str().ok()?.parse().ok());
        let retry_after = retry_after
            .filter(|retry_after: &f64| (0.0..1e6).contains(retry_after))
            .map(Duration::from_secs_f64);
        let body = body.collect().await.ok().map(http_body_util::Collected::to_bytes);
        if body.is_some() {
            proxy.idle.borrow_mut().push(sender);
        }
        TryResult::Response(head.status, retry_after, body)
    }

    fn request(&self, txn: Txn, class: &Class, remaining: Seconds, resent: bool) -> Request<Empty<Bytes>> {
        let mut request = Request::new(Empty::new());
        let headers = [
            ("host", "origin.svc".to_owned()),
            ("x-txn", format!("{:016x}", txn.0)),
            ("x-lane", class.name.clone()),
            ("x-remaining-ms", ((remaining * 1e3) as u64).max(1).to_string()),
        ];
        for (name, value) in headers {
            if let Ok(value) = value.try_into() {
                request.headers_mut().insert(name, value);
            }
        }
        if resent {
            request.headers_mut().insert("x-resent", HeaderValue::from_static("1"));
        }
        if class.semantics != Semantics::Safe {
            *request.method_mut() = Method::POST;
        }
        let first = self.run.ledger.borrow().request(txn).map(|request| request.first_try);
        let key = first.filter(|_| class.semantics == Semantics::Keyed);
        if let Some(Ok(key)) = key.map(|first| format!("key{:016x}", first.0).try_into()) {
            request.headers_mut().insert("idempotency-key", key);
        }
        if let Ok(uri) = format!("/{}", class.name).parse() {
            *request.uri_mut() = uri;
        }
        request
    }
}

#[cfg(test)]
mod tests;
