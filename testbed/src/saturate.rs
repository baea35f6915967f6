//! How much one client proxy does: order servers that answer at once, clients that each ask again as soon as they have
//! their answer, and what the process takes for it. Both stand-ins have threads of their own, so that the client proxy,
//! which serves on one, is full before they are.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

use crate::fleet::Proxy;
use crate::ledger::{Txn, microseconds};
use crate::run::{Options, RunError, raise_limit, set_up_with, shutdown_requested};
use crate::scenario::{Class, Scenario};
use crate::servers::body_of;

/// Before what is measured: connections are made, speeds are learned.
const WARM_UP: Duration = Duration::from_secs(1);
/// For how long one request after another is asked for.
const ALONE: Duration = Duration::from_secs(2);
/// Until the requests that are held open have all come.
const SETTLE: Duration = Duration::from_millis(1500);
/// Requests that are sent to be held open.
const HELD: usize = 1000;
/// Threads of order servers, and of clients.
const THREADS: usize = 2;

/// What came out.
#[derive(Debug, Serialize)]
pub struct Saturated {
    /// Requests served in a second.
    pub per_second: f64,
    /// Of those asked, the part that was not served.
    pub unserved_share: f64,
    /// Of a core, what the client proxy used meanwhile. Where this is well below 1, something else was full.
    pub core_share: f64,
    /// CPU time of the client proxy for each request, in microseconds.
    pub cpu_us: f64,
    /// From sent to answered while it is full, in microseconds: p50, p99, p999.
    pub latency_us: [u64; 3],
    /// The same with one request at a time.
    pub alone_us: [u64; 3],
    /// Requests that it held open when so many had been sent to servers that say nothing, and its memory then in MB.
    pub held_open: (usize, f64),
}

/// Plays it against `scenario`, with so many clients that ask for `lasts`.
///
/// # Errors
/// Where it cannot be played.
pub fn saturate(
    scenario: &Scenario,
    binary: &Path,
    dir: &Path,
    clients: usize,
    lasts: Duration,
) -> Result<Saturated, RunError> {
    raise_limit(scenario)?;
    let options = Options { binary: binary.to_owned(), seed: 1, dir: dir.to_owned(), progress: false };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        tokio::select! {
            done = measured(scenario, &options, clients, lasts) => done,
            ended = shutdown_requested() => Err(ended.into()),
        }
    })
}

async fn measured(
    scenario: &Scenario,
    options: &Options,
    clients: usize,
    lasts: Duration,
) -> Result<Saturated, RunError> {
    let count: usize = scenario.kind.iter().map(|kind| kind.servers).sum();
    let silent = Arc::new(AtomicBool::new(false));
    let world = set_up_with(scenario, options, Some(&at_once(count, &silent)?)).await?;
    let (proxy, class) = (&world.proxies[0], &scenario.class[0]);
    let one = ask(proxy, class, 1, 1, ALONE).await?;
    ask(proxy, class, THREADS, clients, WARM_UP).await?;
    proxy.sample_usage();
    let (before, from) = (proxy.usage().cpu_s, Instant::now());
    let all = ask(proxy, class, THREADS, clients, lasts).await?;
    proxy.sample_usage();
    let (cpu, took) = (proxy.usage().cpu_s - before, from.elapsed().as_secs_f64());
    silent.store(true, Ordering::Relaxed);
    let open = Arc::new(AtomicUsize::new(0));
    for number in 0..HELD {
        let (address, class, open) = (proxy.address, class.clone(), Arc::clone(&open));
        spawn_local(async move {
            if let Ok(mut client) = connect(address).await {
                open.fetch_add(1, Ordering::Relaxed);
                let _ = once(&mut client, &class, Txn(number | 1 << 60)).await;
                open.fetch_sub(1, Ordering::Relaxed);
            }
        });
    }
    sleep(SETTLE).await;
    proxy.sample_usage();
    let served = all.latency.len();
    Ok(Saturated {
        per_second: served as f64 / took,
        unserved_share: all.unserved as f64 / (all.unserved + served).max(1) as f64,
        core_share: cpu / took,
        cpu_us: cpu * 1e6 / served.max(1) as f64,
        latency_us: percentiles(&all.latency),
        alone_us: percentiles(&one.latency),
        held_open: (open.load(Ordering::Relaxed), proxy.usage().memory_mb),
    })
}

fn percentiles(latency: &Histogram<u64>) -> [u64; 3] {
    [0.5, 0.99, 0.999].map(|q| latency.value_at_quantile(q))
}

/// Order servers that answer at once, or take what comes and say nothing; on threads that end with the process.
fn at_once(count: usize, silent: &Arc<AtomicBool>) -> io::Result<Vec<SocketAddr>> {
    let mut threads: Vec<Vec<TcpListener>> = (0..THREADS).map(|_| Vec::new()).collect();
    let mut addresses = Vec::new();
    for n in 0..count {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        listener.set_nonblocking(true)?;
        addresses.push(listener.local_addr()?);
        threads[n % THREADS].push(listener);
    }
    for listeners in threads {
        let silent = Arc::clone(silent);
        on_a_thread(async move {
            for listener in listeners {
                spawn_local(serve(tokio::net::TcpListener::from_std(listener)?, Arc::clone(&silent)));
            }
            std::future::pending::<io::Result<()>>().await
        });
    }
    Ok(addresses)
}

/// Runs it on a thread of its own, whose tasks end with it.
pub(crate) fn on_a_thread<T: Send + 'static>(
    work: impl Future<Output = io::Result<T>> + Send + 'static,
) -> std::thread::JoinHandle<io::Result<T>> {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        LocalSet::new().block_on(&runtime, work)
    })
}

async fn serve(listener: tokio::net::TcpListener, silent: Arc<AtomicBool>) {
    let answer = |request: Request<Incoming>, silent: Arc<AtomicBool>| async move {
        if silent.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        Ok::<_, Infallible>(answer_at_once(&request))
    };
    while let Ok((stream, _)) = listener.accept().await {
        // Fails only where the connection is broken already.
        let _ = stream.set_nodelay(true);
        let silent = Arc::clone(&silent);
        spawn_local(async move {
            let service = service_fn(|request| answer(request, Arc::clone(&silent)));
            // How it ends is seen by whoever asked.
            let _ = Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// What an order server makes of a request without any work.
pub(crate) fn answer_at_once(request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let txn = request.headers().get("x-txn").and_then(|txn| txn.to_str().ok());
    let txn = txn.and_then(|txn| usize::from_str_radix(txn, 16).ok()).unwrap_or(usize::MAX);
    Response::new(Full::new(Bytes::from(body_of(Txn(txn)))))
}

/// What clients counted.
struct Counted {
    latency: Histogram<u64>,
    unserved: u64,
}

/// So many clients, dealt out over threads, that ask for so long.
async fn ask(
    proxy: &Rc<Proxy>,
    class: &Class,
    threads: usize,
    clients: usize,
    lasts: Duration,
) -> io::Result<Counted> {
    let (address, until) = (proxy.address, Instant::now() + lasts);
    let share = |thread| (clients + threads - 1 - thread) / threads;
    let running: Vec<_> = (0..threads)
        .map(|thread| on_a_thread(ask_on_one(address, class.clone(), thread, share(thread), until)))
        .collect();
    let mut all = Counted { latency: microseconds(), unserved: 0 };
    for thread in running {
        // The stand-ins of this thread, discovery above all, go on meanwhile.
        let counted = tokio::task::spawn_blocking(|| thread.join()).await?;
        let counted = counted.map_err(|_| io::Error::other("a client's thread has ended"))??;
        all.latency.add(counted.latency).map_err(io::Error::other)?;
        all.unserved += counted.unserved;
    }
    Ok(all)
}

async fn ask_on_one(
    address: SocketAddr,
    class: Class,
    thread: usize,
    clients: usize,
    until: Instant,
) -> io::Result<Counted> {
    let list_request = (0..clients).map(|client| {
        let class = class.clone();
        spawn_local(async move {
            let mut counted = Counted { latency: microseconds(), unserved: 0 };
            let mut sender = connect(address).await?;
            let mut txn = Txn(thread << 56 | client << 40);
            while Instant::now() < until {
                txn.0 += 1;
                let sent = Instant::now();
                if once(&mut sender, &class, txn).await {
                    counted.latency.saturating_record(sent.elapsed().as_micros() as u64);
                } else {
                    counted.unserved += 1;
                    sender = connect(address).await?;
                }
            }
            Ok::<_, io::Error>(counted)
        })
    });
    let list_request: Vec<_> = list_request.collect();
    let mut all = Counted { latency: microseconds(), unserved: 0 };
    for client in list_request {
        let counted = client.await??;
        all.latency.add(counted.latency).map_err(io::Error::other)?;
        all.unserved += counted.unserved;
    }
    Ok(all)
}

/// A connection to a client proxy, or straight to an order server.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<SendRequest<Empty<Bytes>>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    // How it ends is seen by the request on it.
    spawn_local(async move { drop(connection.await) });
    Ok(sender)
}

/// Whether a request is served, with what an order server made for it.
pub(crate) async fn once(sender: &mut SendRequest<Empty<Bytes>>, class: &Class, txn: Txn) -> bool {
    let request = Request::get(format!("/{}", class.name))
        .header("host", "origin.svc")
        .header("x-txn", format!("{:016x}", txn.0))
        .header("x-lane", &class.name)
        .header("x-remaining-ms", class.client_timeout.as_millis().to_string())
        .body(Empty::new());
    let Ok(request) = request else { return false };
    let Ok(response) = sender.send_request(request).await else { return false };
    let body = response.into_body().collect().await;
    body.is_ok_and(|body| body.to_bytes() == body_of(txn))
}
