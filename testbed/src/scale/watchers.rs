//! A lean stand-in of discovery on real sockets, and hollow client proxies that watch it. Each side has a thread of its
//! own, so that their CPU time can be told apart.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener as Listening};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use bytes::Bytes;
use discovery_client::{DiscoveryResponse, dial, exchange, list_request};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rand_core::Rng;
use rand_pcg::Pcg32;
use rustix::process::{Resource, getrlimit};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

use super::hollow::{
    ControlOnlyProxy, NextStep, PeriodicEvaluation, entry_json, list_json, resident_memory_kb, thread_cpu_us,
};
use super::law::ENDPOINTS;
use super::{Options, Point, Run, ScaleError};
use crate::chance;

/// With more watchers no change is played: their own one thread is then what a change waits for. In a trial with 9,000 it
/// had 48,504 calls fail.
const CHANGES_UP_TO: u32 = 3_000;
const AXIS: [u32; 5] = [100, 300, 1_000, 3_000, 9_000];
/// Descriptors besides the two of each watcher.
const OTHER_DESCRIPTORS: u64 = 100;
/// Endpoints that a scoped list tells: what a client proxy calls on average, about.
const SCOPE: u32 = 340;
/// Client proxies with the same scope: those of one service, on average.
const SHARED_BY: u32 = 17;
/// What names a watcher's scope. The program has nothing of the kind yet.
const SCOPE_HEADER: &str = "x-scope";
/// The endpoint that changes is in every scope, so that each change concerns all.
const CHANGES_AT: u32 = 0;

/// How long a point is looked at.
#[derive(Clone, Copy)]
struct PollTiming {
    settle: Duration,
    rest: Duration,
    /// Made for each form.
    changes: u32,
}

const PACE: PollTiming =
    PollTiming { settle: Duration::from_millis(1_600), rest: Duration::from_millis(4_500), changes: 8 };
/// After the last watcher has a change, until discovery has taken in the call that each goes on with.
const TAKE_IN: Duration = Duration::from_millis(100);
/// Against hanging only.
const WITHIN: Duration = Duration::from_secs(60);
const LOOK_EVERY: Duration = Duration::from_millis(5);
const TICK: Duration = Duration::from_millis(10);
/// A point does not count where the testbed's own tick was so late at rest, at the 99th percentile.
const LATE_MOST: Duration = Duration::from_millis(50);
/// As in the program.
const LIST_MOST: usize = 8 * 1024 * 1024;
const DIAL_WITHIN: Duration = Duration::from_millis(500);
/// A pause where the system has no more descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How answers come about.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Form {
    /// Each is encoded once, and shared by all whom it suits.
    Shared,
    /// Looked up in the whole list and encoded anew for each watcher.
    ForEach,
}

/// What is done at the other thread.
enum Order {
    /// Makes a change, and says when.
    Change(oneshot::Sender<Instant>),
    Form(Form),
    Count(oneshot::Sender<Counts>),
}

/// What discovery did since it began.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    cpu_us: f64,
    calls: f64,
    down: f64,
    up: f64,
}

/// The version that is held, if any, and the scope, if the list has one.
type Asked = (Option<u64>, Option<u32>);

/// The part of discovery that answers; all of it on one thread.
struct Discovery {
    endpoints: u32,
    form: Cell<Form>,
    /// By endpoint: the version in which it last changed.
    since: RefCell<Vec<u64>>,
    newest: watch::Sender<u64>,
    /// By what they bring from where, and for which scope; of the newest version alone.
    encoded: RefCell<HashMap<Asked, Bytes>>,
    calls: Cell<u64>,
    down: Cell<u64>,
    up: Cell<u64>,
}

impl Discovery {
    fn new(endpoints: u32) -> Discovery {
        Discovery {
            endpoints,
            form: Cell::new(Form::Shared),
            since: RefCell::new(vec![1; endpoints as usize]),
            newest: watch::Sender::new(1),
            encoded: RefCell::default(),
            calls: Cell::new(0),
            down: Cell::new(0),
            up: Cell::new(0),
        }
    }

    fn change(&self) {
        let next = *self.newest.borrow() + 1;
        self.since.borrow_mut()[CHANGES_AT as usize] = next;
        self.encoded.borrow_mut().clear();
        self.newest.send_replace(next);
    }

    fn counts(&self) -> Counts {
        let [calls, down, up] = [&self.calls, &self.down, &self.up].map(|count| count.get() as f64);
        Counts { cpu_us: thread_cpu_us(), calls, down, up }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        self.calls.set(self.calls.get() + 1);
        let query = request.uri().query().unwrap_or_default();
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(known, _)| *known == name).and_then(|(_, number)| number.parse::<u64>().ok())
        };
        let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms").unwrap_or(0)));
        let scope = request.headers().get(SCOPE_HEADER).and_then(|value| value.to_str().ok()?.parse().ok());
        if let Some(after) = after.filter(|_| !wait.is_zero()) {
            let mut newest = self.newest.subscribe();
            // Whether it has come or the wait is over shows in what there is to tell.
            let _ = timeout(wait, newest.wait_for(|newest| *newest > after)).await;
        }
        Response::new(Full::new(self.body(after, scope)))
    }

    fn body(&self, after: Option<u64>, scope: Option<u32>) -> Bytes {
        if self.form.get() == Form::ForEach {
            return self.encode(after, scope);
        }
        // What changes is in every scope, so what is new is the same for all.
        let scope = scope.filter(|_| after.is_none());
        let known = self.encoded.borrow().get(&(after, scope)).cloned();
        known.unwrap_or_else(|| {
            let body = self.encode(after, scope);
            self.encoded.borrow_mut().insert((after, scope), body.clone());
            body
        })
    }

    fn encode(&self, after: Option<u64>, scope: Option<u32>) -> Bytes {
        let since = self.since.borrow();
        let told = (0..self.endpoints).filter(|&endpoint| {
            let new = after.is_none_or(|after| since[endpoint as usize] > after);
            new && scope.is_none_or(|scope| is_in(scope, endpoint, self.endpoints))
        });
        let told: Vec<String> = told.map(|told| entry_json(told, since[told as usize], "SERVING")).collect();
        list_json(*self.newest.borrow(), after.is_none(), &told).into()
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let (discovery, stream) = (Rc::clone(&self), Metered { stream, of: Rc::clone(&self) });
            spawn_local(async move {
                let service = service_fn(|request| {
                    let discovery = Rc::clone(&discovery);
                    async move { Ok::<_, Infallible>(discovery.answer(request).await) }
                });
                // A caller that breaks off asks again.
                let _ = Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }
}

/// A scope is a row of endpoints, and the one that changes.
fn is_in(scope: u32, endpoint: u32, all: u32) -> bool {
    let first = (scope * SCOPE) % all;
    endpoint == CHANGES_AT || (endpoint + all - first) % all < SCOPE - 1
}

/// A connection whose bytes are counted.
struct Metered {
    stream: TcpStream,
    of: Rc<Discovery>,
}

impl AsyncRead for Metered {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        self.of.up.set(self.of.up.get() + (buffer.filled().len() - before) as u64);
        read
    }
}

impl AsyncWrite for Metered {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(written)) = written {
            self.of.down.set(self.of.down.get() + written as u64);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Discovery on its own thread, until this is dropped.
struct Server {
    address: SocketAddr,
    orders: Option<mpsc::UnboundedSender<Order>>,
    thread: Option<JoinHandle<io::Result<()>>>,
}

impl Server {
    fn start(endpoints: u32) -> io::Result<Server> {
        let listening = Listening::bind((Ipv4Addr::LOCALHOST, 0))?;
        listening.set_nonblocking(true)?;
        let address = listening.local_addr()?;
        let (orders, taken) = mpsc::unbounded_channel();
        let thread = thread::Builder::new().name("discovery".to_owned());
        let thread = thread.spawn(move || {
            let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
            LocalSet::new().block_on(&runtime, serve(endpoints, listening, taken))
        })?;
        Ok(Server { address, orders: Some(orders), thread: Some(thread) })
    }

    fn order(&self, order: Order) -> Result<(), ScaleError> {
        let orders = self.orders.as_ref().ok_or_else(gone)?;
        orders.send(order).map_err(|_| gone())
    }

    async fn count(&self) -> Result<Counts, ScaleError> {
        let (reply, count) = oneshot::channel();
        self.order(Order::Count(reply))?;
        count.await.map_err(|_| gone())
    }

    async fn change(&self) -> Result<Instant, ScaleError> {
        let (reply, changed) = oneshot::channel();
        self.order(Order::Change(reply))?;
        changed.await.map_err(|_| gone())
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.orders = None;
        // What went wrong there has been seen by whoever ordered something.
        self.thread.take().map(JoinHandle::join);
    }
}

fn gone() -> ScaleError {
    ScaleError::SetUp("the stand-in of discovery has ended".to_owned())
}

async fn serve(
    endpoints: u32,
    listening: Listening,
    mut orders: mpsc::UnboundedReceiver<Order>,
) -> io::Result<()> {
    let discovery = Rc::new(Discovery::new(endpoints));
    let listener = TcpListener::from_std(listening)?;
    let _accepting = AbortOnDropHandle::new(spawn_local(Rc::clone(&discovery).accept(listener)));
    while let Some(order) = orders.recv().await {
        match order {
            Order::Change(reply) => {
                let at = Instant::now();
                discovery.change();
                // Whoever asked and went has no use for it.
                let _ = reply.send(at);
            }
            Order::Form(form) => discovery.form.set(form),
            Order::Count(reply) => drop(reply.send(discovery.counts())),
        }
    }
    Ok(())
}

/// What all watchers share; one thread.
struct Board {
    began: Instant,
    address: SocketAddr,
    /// Connections are broken each time this changes.
    breaks: watch::Sender<u32>,
    wanted: Cell<u64>,
    /// Of each watcher: when it first had what is wanted, and was first answered, since that was last asked.
    reached: RefCell<Vec<Option<Instant>>>,
    answered: RefCell<Vec<bool>>,
    failed: Cell<u32>,
}

impl Board {
    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1e3
    }

    fn want(&self, version: u64) {
        self.wanted.set(version);
        self.reached.borrow_mut().iter_mut().for_each(|reached| *reached = None);
    }

    fn forget_answers(&self) {
        self.answered.borrow_mut().iter_mut().for_each(|answered| *answered = false);
    }
}

async fn until(what: &str, done: impl Fn() -> bool) -> Result<(), ScaleError> {
    let looked = async {
        while !done() {
            sleep(LOOK_EVERY).await;
        }
    };
    let looked = timeout(WITHIN, looked).await;
    looked.map_err(|_| ScaleError::SetUp(format!("{what}: not within {} s", WITHIN.as_secs())))
}

/// One hollow client proxy for as long as the run lasts.
async fn follow(
    number: usize,
    mut hollow: ControlOnlyProxy,
    scope: Option<u32>,
    mut todo: Vec<NextStep>,
    board: Rc<Board>,
) {
    let (mut link, mut breaks) = (None, board.breaks.subscribe());
    let host: HeaderValue = board.address.to_string().parse().expect("an address is a header value");
    while let Some(next) = todo.pop() {
        let asked = match next {
            NextStep::Timer { at, token } => {
                sleep(Duration::from_secs_f64((at - board.now()).max(0.0) / 1e3)).await;
                hollow.on_timer(board.now(), token, &mut todo);
                continue;
            }
            NextStep::Poll { delay_ms } => {
                if delay_ms > 0.0 {
                    sleep(Duration::from_secs_f64(delay_ms / 1e3)).await;
                }
                board.now()
            }
        };
        let call = hollow.next_poll();
        let mut request = list_request(host.clone(), &call.path());
        if let Some(scope) = scope {
            request.headers_mut().insert(SCOPE_HEADER, scope.into());
        }
        let exchanged = exchange(link.take(), dial(board.address, DIAL_WITHIN), request, LIST_MOST);
        let made = async {
            tokio::select! {
                made = timeout(call.timeout, exchanged) => made.ok()?.ok(),
                _ = breaks.changed() => None,
            }
        };
        let Some(DiscoveryResponse { connection: kept, body, .. }) = made.await else {
            board.failed.set(board.failed.get() + 1);
            hollow.on_failure(board.now(), false, &mut todo);
            continue;
        };
        link = Some(kept);
        match hollow.on_response(board.now(), asked, &body, &mut todo) {
            Ok(held) => {
                board.answered.borrow_mut()[number] = true;
                if held.is_some_and(|held| held >= board.wanted.get()) {
                    board.reached.borrow_mut()[number].get_or_insert_with(Instant::now);
                }
            }
            // The decisions know already.
            Err(_) => board.failed.set(board.failed.get() + 1),
        }
    }
}

/// What discovery knows, and what its watchers are told of it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Lists {
    /// Each is told [`SCOPE`] endpoints, and holds them.
    Scoped,
    /// Each is told of all, and holds but a few from before: all of them in each of thousands is more than one machine's
    /// memory.
    Whole,
}

impl Lists {
    fn endpoints(self, watchers: u32) -> u32 {
        match self {
            Lists::Scoped => (watchers.div_ceil(SHARED_BY) * SCOPE).min(ENDPOINTS),
            Lists::Whole => ENDPOINTS,
        }
    }
}

async fn watched(
    watchers: u32,
    lists: Lists,
    pace: PollTiming,
    rng: &mut Pcg32,
) -> Result<Point, ScaleError> {
    let server = Server::start(lists.endpoints(watchers))?;
    let all = watchers as usize;
    let board = Rc::new(Board {
        began: Instant::now(),
        address: server.address,
        breaks: watch::Sender::new(0),
        wanted: Cell::new(1),
        reached: RefCell::new(vec![None; all]),
        answered: RefCell::new(vec![false; all]),
        failed: Cell::new(0),
    });
    let from = server.count().await?;
    let mut running = Vec::new();
    for number in 0..watchers {
        let mut hollow =
            ControlOnlyProxy::new(number, watchers, rng.next_u64(), PeriodicEvaluation::Disabled)?;
        let (scope, known) = match lists {
            Lists::Scoped => (Some(number / SHARED_BY), None),
            Lists::Whole => {
                let few: Vec<String> = (0..9).map(|endpoint| entry_json(endpoint, 1, "SERVING")).collect();
                (None, serde_json::from_str(&list_json(1, true, &few)).ok())
            }
        };
        let mut todo = Vec::new();
        // Guards against a burst that only the start of this run makes: a fleet starts over some time.
        let begins = Duration::from_micros((chance::uniform(rng) * f64::from(watchers) * 500.0) as u64);
        let board = Rc::clone(&board);
        running.push(AbortOnDropHandle::new(spawn_local(async move {
            sleep(begins).await;
            hollow.start(board.now(), known, &mut todo);
            follow(number as usize, hollow, scope, todo, board).await;
        })));
    }
    let answered = || board.answered.borrow().iter().all(|answered| *answered);
    until("a first list", answered).await?;
    sleep(TAKE_IN).await;
    let begun = server.count().await?;
    let mut figures = vec![
        ("start_cpu_us_watcher", (begun.cpu_us - from.cpu_us) / f64::from(watchers)),
        ("start_bytes_watcher", (begun.down - from.down) / f64::from(watchers)),
    ];

    sleep(pace.settle).await;
    board.failed.set(0);
    let from = server.count().await?;
    let (late, passed) = rest(pace.rest).await;
    let rest = server.count().await?;
    let calls = (rest.calls - from.calls).max(1.0);
    figures.extend([
        ("calls_s", calls / passed.as_secs_f64()),
        ("call_cpu_us", (rest.cpu_us - from.cpu_us) / calls),
        ("call_down_bytes", (rest.down - from.down) / calls),
        ("call_up_bytes", (rest.up - from.up) / calls),
        ("discovery_core_share", (rest.cpu_us - from.cpu_us) / 1e6 / passed.as_secs_f64()),
        ("testbed_late_ms_p99", late.as_secs_f64() * 1e3),
    ]);

    if watchers <= CHANGES_UP_TO {
        figures.extend(changed(&server, &board, pace.changes, rng).await?);
    }

    let from = server.count().await?;
    board.forget_answers();
    board.failed.set(0);
    board.breaks.send_modify(|breaks| *breaks += 1);
    let began = Instant::now();
    until("an answer after all connections broke", answered).await?;
    figures.push(("reconnect_s_max", began.elapsed().as_secs_f64()));
    sleep(TAKE_IN).await;
    let back = server.count().await?;
    figures.push(("reconnect_cpu_us", (back.cpu_us - from.cpu_us) / f64::from(watchers)));
    // All but the break itself.
    let failed = f64::from(board.failed.get()) - f64::from(watchers);
    figures.push(("reconnect_failed_calls", failed.max(0.0)));
    let figures = figures.into_iter().map(|(name, value)| (name.to_owned(), value)).collect();
    Ok(Point { x: f64::from(watchers), figures })
}

/// Changes with answers in either form.
async fn changed(
    server: &Server,
    board: &Board,
    count: u32,
    rng: &mut Pcg32,
) -> Result<Vec<(&'static str, f64)>, ScaleError> {
    let mut version = 1;
    let shared = changes(server, board, count, &mut version, rng).await?;
    server.order(Order::Form(Form::ForEach))?;
    let for_each = changes(server, board, count, &mut version, rng).await?;
    server.order(Order::Form(Form::Shared))?;
    let [p50, p99, max] = shared.in_force_ms;
    Ok(vec![
        ("in_force_ms_p50", p50),
        ("in_force_ms_p99", p99),
        ("in_force_ms_max", max),
        ("change_cpu_us_watcher", shared.cpu_us),
        ("change_bytes_watcher", shared.bytes),
        ("change_watchers_core_share", shared.busy),
        ("for_each_in_force_ms_max", for_each.in_force_ms[2]),
        ("for_each_change_cpu_us_watcher", for_each.cpu_us),
        ("for_each_change_watchers_core_share", for_each.busy),
        ("change_failed_calls", f64::from(board.failed.get())),
    ])
}

/// How late a tick of this thread comes, at the 99th percentile, and how long that was looked at.
async fn rest(long: Duration) -> (Duration, Duration) {
    let (began, mut late) = (Instant::now(), Vec::new());
    while began.elapsed() < long {
        let due = Instant::now() + TICK;
        sleep(TICK).await;
        late.push(due.elapsed());
    }
    late.sort();
    (late[late.len() * 99 / 100], began.elapsed())
}

/// What a change came to, on average.
struct Changed {
    /// Over all watchers and changes: in the middle, at the 99th percentile, and the most.
    in_force_ms: [f64; 3],
    /// For each watcher, with what it takes to take in the call that follows.
    cpu_us: f64,
    bytes: f64,
    /// The part of the time until the last has it in which the watchers' thread was at work.
    busy: f64,
}

async fn changes(
    server: &Server,
    board: &Board,
    count: u32,
    version: &mut u64,
    rng: &mut Pcg32,
) -> Result<Changed, ScaleError> {
    let (mut took, mut cpu_us, mut bytes) = (Vec::new(), 0.0, 0.0);
    let (mut at_work, mut passed) = (0.0, 0.0);
    for _ in 0..count {
        // At any point of a watch's wait.
        sleep(Duration::from_millis(200 + u64::from(rng.next_u32() % 400))).await;
        *version += 1;
        board.want(*version);
        let from = server.count().await?;
        let own = thread_cpu_us();
        let at = server.change().await?;
        until("a change", || board.reached.borrow().iter().all(Option::is_some)).await?;
        at_work += thread_cpu_us() - own;
        passed += at.elapsed().as_secs_f64() * 1e6;
        sleep(TAKE_IN).await;
        let all = server.count().await?;
        cpu_us += all.cpu_us - from.cpu_us;
        bytes += all.down - from.down;
        let reached = board.reached.borrow();
        let reached = reached.iter().flatten();
        took.extend(reached.map(|reached| reached.saturating_duration_since(at).as_secs_f64() * 1e3));
    }
    took.sort_by(f64::total_cmp);
    let of = |part: f64| took[((took.len() as f64 * part).ceil() as usize).saturating_sub(1)];
    let (in_force_ms, told) = ([0.5, 0.99, 1.0].map(of), took.len() as f64);
    Ok(Changed { in_force_ms, cpu_us: cpu_us / told, bytes: bytes / told, busy: at_work / passed })
}

/// What discovery's own process holds for each watcher that waits. The watchers are bare sockets here, which hold nothing.
async fn memory_kb(axis: &[u32], endpoints: u32) -> Result<Vec<f64>, ScaleError> {
    let server = Server::start(endpoints)?;
    server.count().await?;
    let (before, mut sockets, mut memory) = (resident_memory_kb()?, Vec::new(), Vec::new());
    for &watchers in axis {
        while sockets.len() < watchers as usize {
            let mut socket = std::net::TcpStream::connect(server.address)?;
            socket
                .write_all(b"GET /v1/endpoints?after=1&wait_ms=60000 HTTP/1.1\r\nhost: discovery\r\n\r\n")?;
            sockets.push(socket);
        }
        let began = Instant::now();
        while server.count().await?.calls < f64::from(watchers) && began.elapsed() < WITHIN {
            sleep(LOOK_EVERY).await;
        }
        memory.push((resident_memory_kb()? - before) / f64::from(watchers));
    }
    Ok(memory)
}

fn make(name: &str, lists: Lists, options: &Options) -> Result<Run, ScaleError> {
    let mut rng = chance::stream(options.seed, name);
    let limit = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let fits = |watchers: &&u32| 2 * u64::from(**watchers) + OTHER_DESCRIPTORS <= limit;
    let axis: Vec<u32> = AXIS.iter().filter(fits).copied().collect();
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    let points: Result<Vec<Point>, ScaleError> = LocalSet::new().block_on(&runtime, async {
        let memory = memory_kb(&axis, lists.endpoints(1)).await?;
        let mut points = Vec::new();
        for (&watchers, memory) in axis.iter().zip(memory) {
            let mut point = watched(watchers, lists, PACE, &mut rng).await?;
            point.figures.insert("memory_kb_watcher".to_owned(), memory);
            points.push(point);
        }
        Ok(points)
    });
    let points = points?;
    let late = |point: &&Point| point.figures["testbed_late_ms_p99"] > LATE_MOST.as_secs_f64() * 1e3;
    let void = points.iter().find(late).map(|point| {
        format!(
            "at {} watchers the testbed's own tick was late by {} ms",
            point.x, point.figures["testbed_late_ms_p99"]
        )
    });
    let held = match lists {
        Lists::Scoped => format!(
            "{SCOPE} endpoints each, one scope for {SHARED_BY} watchers; discovery knows what all scopes do"
        ),
        Lists::Whole => format!(
            "9 endpoints each, from before, as all {ENDPOINTS} are too much for thousands of watchers in one process; discovery knows and tells of all"
        ),
    };
    let fixed = [
        ("how", "loopback; discovery on one thread, all watchers on another one, CPU time by thread".to_owned()),
        ("descriptors, soft limit (ulimit -n)", format!("{limit}, left as it is; each watcher takes two, both ends are in one process")),
        ("held", held),
        ("discovery", "hyper; answers encoded once and shared; for_each_*: looked up and encoded for each watcher".to_owned()),
        ("change", format!("one endpoint that all watch, {} times for each form; CPU with the call that follows; not played with more than {CHANGES_UP_TO} watchers, as their own thread is then what a change waits for", PACE.changes)),
        ("in_force", "from the change in discovery until the watcher's follower has it, with the time that the watchers' own one thread takes for the others (change_watchers_core_share: how busy that was)".to_owned()),
        ("reconnect", "all connections break at once; until each was answered again, after the pause that the decisions make".to_owned()),
        ("memory", "growth of VmRSS with bare sockets that wait, without the kernel's".to_owned()),
        ("at rest, s", PACE.rest.as_secs_f64().to_string()),
        ("void", format!("where the watchers' thread was late by over {} ms at rest (p99)", LATE_MOST.as_millis())),
    ];
    Ok(Run {
        run: name.to_owned(),
        axis: "watchers".to_owned(),
        seed: options.seed,
        void,
        fixed: fixed.map(|(name, value)| (name.to_owned(), value)).into(),
        points,
    })
}

/// The run `discovery-watchers`: each is told what it calls.
///
/// # Errors
/// Where the system says so, or what is waited for does not come.
pub fn scoped(options: &Options) -> Result<Run, ScaleError> {
    make("discovery-watchers", Lists::Scoped, options)
}

/// The run `discovery-watchers-whole`: each is told of the whole fleet.
///
/// # Errors
/// Where the system says so, or what is waited for does not come.
pub fn whole(options: &Options) -> Result<Run, ScaleError> {
    make("discovery-watchers-whole", Lists::Whole, options)
}

#[cfg(test)]
mod tests;
