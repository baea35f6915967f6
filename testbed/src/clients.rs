//! Stand-ins of clients: arrivals that are drawn ahead and never wait, each client beside its client proxy.

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
use crate::scenario::{Class, Load, Scenario, Scope, Semantics};
use crate::servers::{RunContext, body_of};
use crate::station::Seconds;

/// Work has at least this part of its mean; the rest is drawn from an exponential distribution.
const WORK_LEAST: f64 = 0.3;

/// A request that is to come.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When.
    pub at: Seconds,
    /// Which class.
    pub class: usize,
    /// Through which client proxy.
    pub proxy: usize,
    /// On a standard core.
    pub work: Seconds,
    /// The part of its patience after which its client goes away, if it does.
    pub leaves: Option<f64>,
    /// Its client keeps away for as long as a refusal asks for.
    pub honours: bool,
}

/// All requests of a play but for repeats, in their order. The same seed gives the same ones.
pub fn arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let (mut rng, mut manners) = (stream(seed, "arrivals"), stream(seed, "manners"));
    let Scenario { load, class, fleet, duration, .. } = scenario;
    let most = load.burst.iter().map(|burst| burst.times).fold(1.0, f64::max);
    let shares: f64 = class.iter().map(|class| class.share).sum();
    let weight = |proxy: usize| {
        let zone = &scenario.zone[proxy % scenario.zone.len()].name;
        load.zones.get(zone).copied().unwrap_or(1.0)
    };
    let weights: Vec<f64> = (0..fleet.proxies).map(weight).collect();
    let weighed: f64 = weights.iter().sum();
    let (mut at, mut all) = (0.0, Vec::new());
    loop {
        at += exponential(&mut rng) / (load.per_second * most);
        if at >= duration.as_secs_f64() {
            return all;
        }
        let within = |from: Duration, lasts: Duration| {
            (from.as_secs_f64()..(from + lasts).as_secs_f64()).contains(&at)
        };
        let bursts = load.burst.iter().filter(|burst| within(burst.at, burst.lasts));
        let times = bursts.map(|burst| burst.times).fold(1.0, f64::max);
        // All draws are made in any case, so that a burst moves nothing else.
        let (kept, mut point) = (uniform(&mut rng) < times / most, uniform(&mut rng) * shares);
        let (mut place, size) = (uniform(&mut rng) * weighed, exponential(&mut rng));
        let proxy = weights.iter().position(|weight| {
            place -= weight;
            place < 0.0
        });
        let [impatient, early, honours] = std::array::from_fn(|_| uniform(&mut manners));
        let leaves = (impatient < load.disconnect_share).then_some(early);
        let chosen = class.iter().position(|class| {
            point -= class.share;
            point < 0.0
        });
        let class_number = chosen.unwrap_or(class.len() - 1);
        if kept {
            let mean = class[class_number].work.as_secs_f64();
            let work = mean * (WORK_LEAST + (1.0 - WORK_LEAST) * size);
            let honours = honours < load.retry_after_compliance;
            let proxy = proxy.unwrap_or(fleet.proxies - 1);
            all.push(Arrival { at, class: class_number, proxy, work, leaves, honours });
        }
    }
}

/// A client proxy as its clients see it.
pub struct Beside {
    address: SocketAddr,
    idle: RefCell<Vec<SendRequest<Empty<Bytes>>>>,
    /// When a fault of the scenario had it, the last one perhaps still.
    faults: RefCell<Vec<(Seconds, Seconds)>>,
    ready: Cell<bool>,
}

impl Beside {
    /// One that listens there.
    pub fn new(address: SocketAddr) -> Beside {
        Beside { address, idle: RefCell::default(), faults: RefCell::default(), ready: Cell::new(true) }
    }

    /// A fault has it from now on.
    pub fn taken(&self, now: Seconds) {
        self.faults.borrow_mut().push((now, f64::INFINITY));
        self.ready.set(false);
    }

    /// It serves again.
    pub fn back(&self, now: Seconds) {
        if let Some((_, until)) = self.faults.borrow_mut().last_mut() {
            *until = until.min(now);
        }
        self.ready.set(true);
    }

    /// Whether a fault had it at some time in between.
    pub fn was_taken(&self, from: Seconds, until: Seconds) -> bool {
        self.faults.borrow().iter().any(|(begun, over)| *begun <= until && *over >= from)
    }
}

/// All clients.
pub struct Clients {
    run: RunContext,
    classes: Vec<Class>,
    load: Load,
    lost_after: Seconds,
    proxies: Vec<Rc<Beside>>,
}

/// How long a client waits for one try.
struct Wait {
    until: Seconds,
    /// When it goes away before that.
    leaves: Option<Seconds>,
    /// The try says that it is a repeat.
    resent: bool,
}

enum Came {
    Answer(StatusCode, Option<Duration>, Option<Bytes>),
    /// The connection was closed; whether it had carried a request before.
    Closed(bool),
    /// No connection came up, so nothing was taken.
    Unreached,
}

impl Clients {
    /// Of these client proxies.
    pub fn new(run: RunContext, scenario: &Scenario, proxies: Vec<Rc<Beside>>) -> Rc<Clients> {
        let (classes, load) = (scenario.class.clone(), scenario.load.clone());
        let lost_after = scenario.contract.lost_after.as_secs_f64();
        Rc::new(Clients { run, classes, load, lost_after, proxies })
    }

    /// Sends what is to come, each at its time.
    pub async fn send(self: Rc<Self>, arrivals: Vec<Arrival>) {
        for arrival in arrivals {
            sleep_until(self.run.instant(arrival.at)).await;
            spawn_local(Rc::clone(&self).want(arrival));
        }
    }

    /// One thing that a client wants, with all its tries.
    pub async fn want(self: Rc<Self>, arrival: Arrival) {
        let class = &self.classes[arrival.class];
        let (aim, patience) = (class.latency_objective.as_secs_f64(), class.client_timeout.as_secs_f64());
        let again_after_failure = self.load.retry_failed
            && (class.semantics == Semantics::Safe
                || class.semantics == Semantics::Keyed && class.scope == Scope::All);
        let backoff = self.load.backoff.map_or(aim / 4.0, |backoff| backoff.as_secs_f64());
        let (mut meant, mut first) = (arrival.at, None);
        for _ in 0..=self.load.retries {
            let txn = self.enter(&arrival, class, first, meant);
            let wait = Wait {
                until: meant + patience * self.load.try_timeout_share,
                leaves: arrival.leaves.map(|part| meant + patience * self.load.try_timeout_share * part),
                resent: first.is_some() && self.load.sends_resent_header,
            };
            first.get_or_insert(txn);
            let (ending, advice) = self.attempt(txn, class, arrival.proxy, meant, &wait).await;
            let now = self.run.now();
            self.run.ledger.borrow_mut().end_request(txn, ending, now);
            let keep_away = match (ending, advice.filter(|_| arrival.honours)) {
                (Ending::Rejected, Some(advice)) => advice.as_secs_f64(),
                (Ending::Rejected, None) => backoff,
                (Ending::Failed | Ending::TimedOut, _) if again_after_failure => 0.0,
                _ => return,
            };
            meant = now + keep_away;
            if meant > arrival.at + patience {
                return;
            }
            sleep(Duration::from_secs_f64(keep_away)).await;
        }
    }

    fn enter(&self, arrival: &Arrival, class: &Class, first: Option<Txn>, meant: Seconds) -> Txn {
        let late = self.run.now() - meant;
        let Arrival { class: number, proxy, work, .. } = *arrival;
        let request = ledger::Request {
            class: number,
            proxy,
            scheduled_at: meant,
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

    /// One try: how it ended, and how long the client ought to keep away.
    async fn attempt(
        &self,
        txn: Txn,
        class: &Class,
        proxy: usize,
        meant: Seconds,
        wait: &Wait,
    ) -> (Ending, Option<Duration>) {
        let beside = &self.proxies[proxy];
        let lost = wait.until + self.lost_after;
        // What waits for the answer is dropped, and its connection with it.
        let gone = self.run.instant(wait.leaves.unwrap_or(lost));
        let came = timeout_at(gone, self.exchange(txn, class, beside, wait)).await;
        let now = self.run.now();
        let (ending, how) = match came {
            Ok(Came::Answer(StatusCode::OK, _, Some(body))) if body == body_of(txn) => (Ending::Served, None),
            Ok(Came::Answer(StatusCode::OK, _, Some(_))) => {
                (Ending::Failed, Some("was served with what no server made"))
            }
            // An answer that broke off where the client can tell has failed.
            Ok(Came::Answer(StatusCode::OK, _, None)) => (Ending::Failed, None),
            Ok(Came::Answer(StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE, advice, _)) => {
                return (Ending::Rejected, advice);
            }
            Ok(Came::Answer(..)) => (Ending::Failed, None),
            Ok(Came::Unreached) => (Ending::Failed, None),
            Ok(Came::Closed(_)) => (Ending::Failed, Some("was closed on without an answer")),
            Err(_) if wait.leaves.is_some() => return (Ending::Disconnected, None),
            Err(_) => (Ending::TimedOut, Some("had no answer")),
        };
        if beside.was_taken(meant, now) && ending != Ending::Served {
            return (Ending::Interrupted, None);
        }
        if let Some(how) = how {
            let how = format!("{txn:?} of client proxy {proxy}, meant at {meant:.3} s, {how}");
            self.run.ledger.borrow_mut().record_violation(Rule::Lost, now, &how);
        }
        let late = ending == Ending::Served && now > wait.until;
        (if late { Ending::TimedOut } else { ending }, None)
    }

    async fn exchange(&self, txn: Txn, class: &Class, beside: &Beside, wait: &Wait) -> Came {
        match self.once(txn, class, beside, wait).await {
            // A close that crossed a request which was not read: it is sent once more, on a new connection.
            Came::Closed(true) if !self.run.ledger.borrow().has_attempts(txn) => {
                beside.idle.borrow_mut().clear();
                self.once(txn, class, beside, wait).await
            }
            came => came,
        }
    }

    async fn once(&self, txn: Txn, class: &Class, beside: &Beside, wait: &Wait) -> Came {
        let mut kept = None;
        loop {
            let Some(mut idle) = beside.idle.borrow_mut().pop() else { break };
            if idle.ready().await.is_ok() {
                kept = Some(idle);
                break;
            }
        }
        let used = kept.is_some();
        let mut sender = match kept {
            Some(sender) => sender,
            None => {
                let Ok(stream) = TcpStream::connect(beside.address).await else { return Came::Unreached };
                let _ = stream.set_nodelay(true);
                let Ok((sender, connection)) = handshake(TokioIo::new(stream)).await else {
                    return Came::Closed(false);
                };
                // How it ends is seen by the request on it.
                spawn_local(async move { drop(connection.await) });
                sender
            }
        };
        let request = self.request(txn, class, wait.until - self.run.now(), wait.resent);
        let Ok(response) = sender.send_request(request).await else { return Came::Closed(used) };
        let (head, body) = response.into_parts();
        let advice = head.headers.get("retry-after").and_then(|advice| advice.to_str().ok()?.parse().ok());
        let advice = advice.filter(|advice: &f64| (0.0..1e6).contains(advice)).map(Duration::from_secs_f64);
        let body = body.collect().await.ok().map(http_body_util::Collected::to_bytes);
        if body.is_some() {
            beside.idle.borrow_mut().push(sender);
        }
        Came::Answer(head.status, advice, body)
    }

    fn request(&self, txn: Txn, class: &Class, left: Seconds, resent: bool) -> Request<Empty<Bytes>> {
        let mut request = Request::new(Empty::new());
        let headers = [
            ("host", "origin.svc".to_owned()),
            ("x-txn", format!("{:016x}", txn.0)),
            ("x-lane", class.name.clone()),
            ("x-remaining-ms", ((left * 1e3) as u64).max(1).to_string()),
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
