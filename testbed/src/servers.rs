//! Stand-ins of order servers: HTTP over links, with the queues of [`crate::station`] behind it.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use crate::ledger::{Ledger, Rule, Txn};
use crate::link::{Link, LinkListener, LinkStream};
use crate::scenario::Contract;
use crate::station::{Offer, Seconds, Shape, Station};

/// What a cold server may be sent beyond the rule, for chance.
const COLD_SLACK: f64 = 1.1;
/// How old a report of `util` is at the most.
const REPORT_EVERY: Duration = Duration::from_millis(250);
/// What turns a request away costs nothing worth counting; the repeat of a key that has run costs this much work.
const RECALL: Seconds = 0.0002;
/// A pause where the system has no more descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What all stand-ins share: the start of the play, and the ledger.
#[derive(Clone)]
pub struct Play {
    start: Rc<Cell<Instant>>,
    /// Of all requests.
    pub ledger: Rc<RefCell<Ledger>>,
}

impl Play {
    /// A play whose load has not begun.
    pub fn new(ledger: Ledger) -> Play {
        Play { start: Rc::new(Cell::new(Instant::now())), ledger: Rc::new(RefCell::new(ledger)) }
    }

    /// The load begins at that moment.
    pub fn begin(&self, at: Instant) {
        self.start.set(at);
    }

    /// Since the start of the load.
    pub fn now(&self) -> Seconds {
        let now = Instant::now();
        match now.checked_duration_since(self.start.get()) {
            Some(passed) => passed.as_secs_f64(),
            None => -self.start.get().duration_since(now).as_secs_f64(),
        }
    }

    /// When that is on the machine's clock.
    pub fn instant(&self, at: Seconds) -> Instant {
        self.start.get() + Duration::from_secs_f64(at.max(0.0))
    }
}

/// What a server does with its requests at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mood {
    /// Serves them.
    Well,
    /// Takes them and gives nothing.
    Silent,
    /// Answers 500 at once.
    Error,
}

/// What a server is, for as long as the play lasts.
pub struct Traits {
    /// As discovery calls it.
    pub name: String,
    /// By number.
    pub kind: usize,
    /// By number.
    pub zone: usize,
    /// The servers that share the keys they have seen, by a number that no other zone has.
    pub cell: usize,
    /// What it can do.
    pub shape: Shape,
    /// How many connections it holds.
    pub connections: usize,
    /// Work that nobody waits for any more is stopped.
    pub stops_when_left: bool,
}

/// An order server.
pub struct Server {
    /// What it is.
    pub traits: Traits,
    play: Play,
    contract: Contract,
    station: RefCell<Station>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<()>>>,
    changed: Notify,
    mood: Cell<Mood>,
    draining: Cell<bool>,
    connections: Cell<usize>,
    next: Cell<u64>,
    /// When its process started; nothing if before the play.
    started: Cell<Option<Seconds>>,
    /// While it is cold: what it was sent lately, each with when.
    sent: RefCell<VecDeque<(Seconds, Seconds)>>,
    pushed_over: Cell<bool>,
    util: Cell<f64>,
    /// When each client proxy was told of its drain.
    told: RefCell<Vec<Option<Seconds>>>,
    /// Whether operators have taken it out there.
    by_hand: RefCell<Vec<bool>>,
}

impl Server {
    /// A warm server that `proxies` client proxies may use.
    pub fn new(traits: Traits, proxies: usize, play: Play, contract: Contract) -> Rc<Server> {
        let shape = Shape { cold: 1.0, ..traits.shape.clone() };
        let station = RefCell::new(Station::new(shape, play.now()));
        let server = Rc::new(Server {
            traits,
            play,
            contract,
            station,
            waiting: RefCell::default(),
            changed: Notify::new(),
            mood: Cell::new(Mood::Well),
            draining: Cell::new(false),
            connections: Cell::new(0),
            next: Cell::new(0),
            started: Cell::new(None),
            sent: RefCell::default(),
            pushed_over: Cell::new(false),
            util: Cell::new(0.0),
            told: RefCell::new(vec![None; proxies]),
            by_hand: RefCell::new(vec![false; proxies]),
        });
        spawn_local(Rc::clone(&server).drive());
        spawn_local(Rc::clone(&server).report());
        server
    }

    /// The load begins: the clock was set.
    pub fn begin(&self) {
        let shape = Shape { cold: 1.0, ..self.traits.shape.clone() };
        self.station.replace(Station::new(shape, self.play.now()));
    }

    /// From now on it does this with its requests.
    pub fn mood(&self, mood: Mood) {
        self.mood.set(mood);
    }

    /// From now on it works so many times slower than it is made for.
    pub fn slow(&self, times: f64) {
        let speed = self.traits.shape.speed / times;
        self.step();
        self.station.borrow_mut().set_speed(speed);
        self.changed.notify_one();
    }

    /// It does no work for so long.
    pub fn pause(&self, lasts: Duration) {
        self.step();
        self.station.borrow_mut().pause(self.play.now() + lasts.as_secs_f64());
        self.changed.notify_one();
    }

    /// It takes nothing new any more.
    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// Whether it drains.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// A client proxy was told of its drain.
    pub fn tell(&self, proxy: usize) {
        let now = self.play.now();
        if let Some(told) = self.told.borrow_mut().get_mut(proxy) {
            told.get_or_insert(now);
        }
    }

    /// A client proxy was told that it serves.
    pub fn untell(&self, proxy: usize) {
        if let Some(told) = self.told.borrow_mut().get_mut(proxy)
            && !self.by_hand.borrow()[proxy]
        {
            *told = None;
        }
    }

    /// Operators have taken it out at a client proxy, or put it back: until then it counts as draining there.
    pub fn by_hand(&self, proxy: usize, out: bool) {
        self.by_hand.borrow_mut()[proxy] = out;
        if out { self.tell(proxy) } else { self.untell(proxy) }
    }

    /// Its process starts anew: what it had is gone, and it is cold.
    pub fn restart(&self) {
        let now = self.play.now();
        self.waiting.borrow_mut().clear();
        self.sent.borrow_mut().clear();
        self.station.replace(Station::new(self.traits.shape.clone(), now));
        self.started.set(Some(now));
        self.draining.set(false);
        (0..self.by_hand.borrow().len()).for_each(|proxy| self.untell(proxy));
        self.mood.set(Mood::Well);
        self.pushed_over.set(false);
        self.changed.notify_one();
    }

    /// When its process started; nothing if before the play.
    pub fn started(&self) -> Option<Seconds> {
        self.started.get()
    }

    /// Takes connections in from one client proxy for as long as the play lasts. Gives the address for it.
    ///
    /// # Errors
    /// As the system says.
    pub fn open(self: &Rc<Self>, proxy: usize, crosses: bool, link: Rc<Link>) -> io::Result<SocketAddr> {
        let mut listener = LinkListener::open(Rc::clone(&link))?;
        let (address, server) = (listener.address(), Rc::clone(self));
        spawn_local(async move {
            loop {
                match listener.accept().await {
                    Ok(stream) => {
                        let link = Rc::clone(&link);
                        spawn_local(Rc::clone(&server).connection(stream, proxy, crosses, link));
                    }
                    Err(_) => sleep(ACCEPT_PAUSE).await,
                }
            }
        });
        Ok(address)
    }

    async fn connection(self: Rc<Self>, stream: LinkStream, proxy: usize, crosses: bool, link: Rc<Link>) {
        let full = self.connections.get() >= self.traits.connections;
        self.connections.set(self.connections.get() + 1);
        let is_open = stream.is_open();
        let service = service_fn(|request| {
            let (server, is_open) = (Rc::clone(&self), is_open.clone());
            let ways = link.delays();
            async move { Ok::<_, Infallible>(server.answer(request, proxy, crosses, full, is_open, ways).await) }
        });
        // How a connection ends is seen by the attempt on it.
        let _ = Builder::new().serve_connection(TokioIo::new(stream), service).await;
        self.connections.set(self.connections.get() - 1);
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        proxy: usize,
        crosses: bool,
        full: bool,
        is_open: impl Fn() -> bool + 'static,
        (out, back): (Duration, Duration),
    ) -> Response<Full<Bytes>> {
        let begun = self.play.now();
        let (head, body) = request.into_parts();
        if body.collect().await.is_err() {
            return plain(StatusCode::BAD_REQUEST);
        }
        let text = head.headers.get("x-txn").and_then(|txn| txn.to_str().ok());
        let Some(text) = text else { return plain(StatusCode::NOT_FOUND) };
        let txn = Txn(usize::from_str_radix(text, 16).unwrap_or(usize::MAX));
        let now = self.play.now();
        let reached = now - out.as_secs_f64();
        let told = self.told.borrow().get(proxy).copied().flatten();
        let entered = {
            let mut ledger = self.play.ledger.borrow_mut();
            let entered = ledger.begin_attempt(
                txn,
                now,
                (self.traits.zone, crosses),
                &self.traits.name,
                Box::new(is_open),
            );
            let grace = self.contract.drain_grace.as_secs_f64() + 0.05;
            if let Some(told) = told.filter(|told| begun > told + grace) {
                let after = begun - told;
                ledger.record_violation(
                    Rule::Drain,
                    now,
                    &format!("{} got {txn:?} {after:.2} s after", self.traits.name),
                );
            }
            entered.map(|attempt| Over { attempt, play: self.play.clone() })
        };
        let Some(_over) = entered else { return plain(StatusCode::BAD_REQUEST) };
        if full || self.draining.get() {
            return turned_away();
        }
        match self.mood.get() {
            Mood::Well => {}
            Mood::Error => return plain(StatusCode::INTERNAL_SERVER_ERROR),
            Mood::Silent => std::future::pending().await,
        }
        let Some((id, done)) = self.offer(txn) else { return turned_away() };
        let mut waits = Waits { server: self, id: Some(id) };
        if done.await.is_err() {
            // Its process has ended.
            std::future::pending::<()>().await;
        }
        waits.id = None;
        let now = self.play.now();
        let mut ledger = self.play.ledger.borrow_mut();
        let Traits { zone, cell, .. } = self.traits;
        if !ledger.knows_key(txn, now, (zone, cell)) {
            ledger.record_effect(txn, now, &self.traits.name, (zone, cell));
        }
        ledger.record_response(txn, reached, now + back.as_secs_f64());
        drop(ledger);
        let mut response = Response::new(Full::new(Bytes::from(body_of(txn))));
        let (working, waiting) = self.station.borrow().held();
        let report = format!("inflight={working},queue={waiting},util={:.2}", self.util.get());
        if let Ok(report) = report.try_into() {
            response.headers_mut().insert("x-pressure", report);
        }
        response
    }

    /// Puts a request into the queue, if there is a place.
    fn offer(&self, txn: Txn) -> Option<(u64, oneshot::Receiver<()>)> {
        self.step();
        let now = self.play.now();
        let work = {
            let ledger = self.play.ledger.borrow();
            let asked = ledger.request(txn).map_or(0.0, |request| request.work);
            let Traits { zone, cell, .. } = self.traits;
            if ledger.knows_key(txn, now, (zone, cell)) { RECALL } else { asked }
        };
        self.watch_cold(now, work);
        let id = self.next.replace(self.next.get() + 1);
        let offered = self.station.borrow_mut().offer(id, work);
        if offered == Offer::Full {
            return None;
        }
        let (done, wait) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, done);
        self.changed.notify_one();
        Some((id, wait))
    }

    /// Whether what a cold server is sent keeps to the rule.
    fn watch_cold(&self, now: Seconds, work: Seconds) {
        let Contract {
            warm_up_duration: cold, overload_window: fall, overload_multiple: fall_multiple, ..
        } = self.contract;
        let (cold, fall) = (cold.as_secs_f64(), fall.as_secs_f64());
        if self.started.get().is_none_or(|started| now > started + cold) {
            return;
        }
        let mut sent = self.sent.borrow_mut();
        sent.push_back((now, work));
        while sent.front().is_some_and(|(at, _)| *at < now - fall) {
            sent.pop_front();
        }
        let all: Seconds = sent.iter().map(|(_, work)| work).sum();
        let most = sent.iter().map(|(_, work)| *work).fold(0.0, f64::max);
        let capacity = self.station.borrow().capacity();
        if all > fall_multiple * capacity * fall * COLD_SLACK + most && !self.pushed_over.replace(true) {
            let how = format!(
                "{} was sent {all:.3} s of work, and can do {capacity:.3} a second",
                self.traits.name
            );
            self.play.ledger.borrow_mut().record_violation(Rule::Cold, now, &how);
        }
    }

    /// Lets the queue catch up with the clock.
    fn step(&self) {
        let done = self.station.borrow_mut().advance(self.play.now());
        for (id, _) in done {
            if let Some(done) = self.waiting.borrow_mut().remove(&id) {
                // One who has gone needs no answer: the work was done all the same.
                let _ = done.send(());
            }
        }
    }

    async fn drive(self: Rc<Self>) {
        loop {
            self.step();
            let next = self.station.borrow().next();
            match next {
                Some(next) => tokio::select! {
                    _ = sleep_until(self.play.instant(next)) => {}
                    _ = self.changed.notified() => {}
                },
                None => self.changed.notified().await,
            }
        }
    }

    async fn report(self: Rc<Self>) {
        let mut before = self.station.borrow().busy();
        loop {
            sleep(REPORT_EVERY).await;
            let busy = self.station.borrow().busy();
            let most = REPORT_EVERY.as_secs_f64() * f64::from(self.traits.shape.cores);
            self.util.set(((busy - before) / most).clamp(0.0, 1.0));
            before = busy;
        }
    }
}

/// What an order server says of a request that it has served: a client can tell that it was made for it.
pub fn body_of(txn: Txn) -> String {
    format!("done {:016x}", txn.0)
}

/// An attempt is over when this is dropped: answered, or its connection has ended.
struct Over {
    attempt: crate::ledger::Attempt,
    play: Play,
}

impl Drop for Over {
    fn drop(&mut self) {
        self.play.ledger.borrow_mut().end_attempt(self.attempt);
    }
}

/// A request in the queue that somebody waits for, until this is dropped.
struct Waits<'s> {
    server: &'s Server,
    id: Option<u64>,
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id.filter(|_| self.server.traits.stops_when_left) {
            self.server.step();
            self.server.waiting.borrow_mut().remove(&id);
            self.server.station.borrow_mut().cancel(id);
            self.server.changed.notify_one();
        }
    }
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn turned_away() -> Response<Full<Bytes>> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
    response.headers_mut().insert("x-turned-away", hyper::header::HeaderValue::from_static("1"));
    response
}
