//! Measures the maximum throughput of one client proxy process, and its CPU time and latency per request. The
//! order servers respond immediately, and each client sends its next request as soon as it has the response
//! to the last one. Clients and order servers have `THREADS` threads each, so that the client proxy, which
//! serves on a single thread, is the first to reach its limit.

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

/// Load before the measurement, in which the client proxy opens connections and learns the latency of the
/// endpoints.
const WARM_UP: Duration = Duration::from_secs(1);
/// Duration of the measurement with a single client, and so one request at a time.
const ONE_CLIENT_DURATION: Duration = Duration::from_secs(2);
/// Wait until all requests of the stalled phase have reached the client proxy.
const STALLED_REQUESTS_SETTLE: Duration = Duration::from_millis(1500);
/// Number of concurrent requests, each on its own connection, that are sent while the order servers are
/// stalled.
const STALLED_REQUESTS: usize = 1000;
/// Number of threads of the order servers, and of the clients.
const THREADS: usize = 2;

/// The result of a measurement.
#[derive(Debug, Serialize)]
pub struct Saturated {
    /// Served requests per second.
    pub per_second: f64,
    /// Share of the sent requests that were not served.
    pub unserved_share: f64,
    /// Cores used by the client proxy during the measurement. A value well below 1 means that something other
    /// than its CPU time limited the throughput.
    pub core_share: f64,
    /// CPU time of the client proxy per served request, in microseconds.
    pub cpu_us: f64,
    /// Latency of served requests at maximum throughput, in microseconds: p50, p99, p999.
    pub latency_us: [u64; 3],
    /// Latency with one request at a time, in microseconds: p50, p99, p999.
    pub alone_us: [u64; 3],
    /// Number of requests in flight in the client proxy after `STALLED_REQUESTS` were sent to stalled order
    /// servers, and its memory at that time in MB.
    pub held_open: (usize, f64),
}

/// Measures the client proxy `binary` in the fleet of `scenario`, at full load by `clients` clients for
/// `duration`.
///
/// # Errors
/// If the processes could not be set up, or the run failed or was interrupted.
pub fn saturate(
    scenario: &Scenario,
    binary: &Path,
    dir: &Path,
    clients: usize,
    duration: Duration,
) -> Result<Saturated, RunError> {
    raise_limit(scenario)?;
    let options = Options { binary: binary.to_owned(), seed: 1, dir: dir.to_owned(), progress: false };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        tokio::select! {
            result = measure(scenario, &options, clients, duration) => result,
            interrupted = shutdown_requested() => Err(interrupted.into()),
        }
    })
}

async fn measure(
    scenario: &Scenario,
    options: &Options,
    clients: usize,
    duration: Duration,
) -> Result<Saturated, RunError> {
    let server_count: usize = scenario.kind.iter().map(|kind| kind.servers).sum();
    let stalled = Arc::new(AtomicBool::new(false));
    let setup = set_up_with(scenario, options, Some(&spawn_order_servers(server_count, &stalled)?)).await?;
    let (proxy, class) = (&setup.proxies[0], &scenario.class[0]);
    let one_client = run_clients(proxy, class, 1, 1, ONE_CLIENT_DURATION).await?;
    run_clients(proxy, class, THREADS, clients, WARM_UP).await?;
    proxy.sample_usage();
    let (cpu_s_before, started_at) = (proxy.usage().cpu_s, Instant::now());
    let full_load = run_clients(proxy, class, THREADS, clients, duration).await?;
    proxy.sample_usage();
    let (cpu_s, elapsed_s) = (proxy.usage().cpu_s - cpu_s_before, started_at.elapsed().as_secs_f64());
    stalled.store(true, Ordering::Relaxed);
    let in_flight = Arc::new(AtomicUsize::new(0));
    for number in 0..STALLED_REQUESTS {
        let (address, class, in_flight) = (proxy.address, class.clone(), Arc::clone(&in_flight));
        spawn_local(async move {
            if let Ok(mut client) = connect(address).await {
                in_flight.fetch_add(1, Ordering::Relaxed);
                let _ = request_is_served(&mut client, &class, Txn(number | 1 << 60)).await;
                in_flight.fetch_sub(1, Ordering::Relaxed);
            }
        });
    }
    sleep(STALLED_REQUESTS_SETTLE).await;
    proxy.sample_usage();
    let served = full_load.latency.len();
    Ok(Saturated {
        per_second: served as f64 / elapsed_s,
        unserved_share: full_load.unserved as f64 / (full_load.unserved + served).max(1) as f64,
        core_share: cpu_s / elapsed_s,
        cpu_us: cpu_s * 1e6 / served.max(1) as f64,
        latency_us: percentiles(&full_load.latency),
        alone_us: percentiles(&one_client.latency),
        held_open: (in_flight.load(Ordering::Relaxed), proxy.usage().memory_mb),
    })
}

fn percentiles(latency: &Histogram<u64>) -> [u64; 3] {
    [0.5, 0.99, 0.999].map(|quantile| latency.value_at_quantile(quantile))
}

/// Starts `count` order servers on `THREADS` threads, which run until the process exits. They respond
/// immediately; while `stalled` is set, they read requests and send no response.
fn spawn_order_servers(count: usize, stalled: &Arc<AtomicBool>) -> io::Result<Vec<SocketAddr>> {
    let mut threads: Vec<Vec<TcpListener>> = (0..THREADS).map(|_| Vec::new()).collect();
    let mut addresses = Vec::new();
    for index in 0..count {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        listener.set_nonblocking(true)?;
        addresses.push(listener.local_addr()?);
        threads[index % THREADS].push(listener);
    }
    for listeners in threads {
        let stalled = Arc::clone(stalled);
        spawn_runtime_thread(async move {
            for listener in listeners {
                spawn_local(serve(tokio::net::TcpListener::from_std(listener)?, Arc::clone(&stalled)));
            }
            std::future::pending::<io::Result<()>>().await
        });
    }
    Ok(addresses)
}

/// Runs `work` on a new thread with a current-thread runtime. Tasks that it spawned are dropped when it
/// returns.
pub(crate) fn spawn_runtime_thread<T: Send + 'static>(
    work: impl Future<Output = io::Result<T>> + Send + 'static,
) -> std::thread::JoinHandle<io::Result<T>> {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        LocalSet::new().block_on(&runtime, work)
    })
}

async fn serve(listener: tokio::net::TcpListener, stalled: Arc<AtomicBool>) {
    let respond = |request: Request<Incoming>, stalled: Arc<AtomicBool>| async move {
        if stalled.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        Ok::<_, Infallible>(immediate_response(&request))
    };
    while let Ok((stream, _)) = listener.accept().await {
        // Fails only if the connection has already been reset.
        let _ = stream.set_nodelay(true);
        let stalled = Arc::clone(&stalled);
        spawn_local(async move {
            let service = service_fn(|request| respond(request, Arc::clone(&stalled)));
            // An error needs no handling here: the client sees it as the failure of its request.
            let _ = Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// The response of an order server that needs no processing time: its body depends only on the request's
/// `x-txn` header.
pub(crate) fn immediate_response(request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let txn = request.headers().get("x-txn").and_then(|txn| txn.to_str().ok());
    let txn = txn.and_then(|txn| usize::from_str_radix(txn, 16).ok()).unwrap_or(usize::MAX);
    Response::new(Full::new(Bytes::from(body_of(Txn(txn)))))
}

/// The results of one or more clients.
struct ClientResults {
    latency: Histogram<u64>,
    unserved: u64,
}

/// Runs `clients` clients for `duration`, evenly distributed over `threads` threads.
async fn run_clients(
    proxy: &Rc<Proxy>,
    class: &Class,
    threads: usize,
    clients: usize,
    duration: Duration,
) -> io::Result<ClientResults> {
    let (address, deadline) = (proxy.address, Instant::now() + duration);
    let clients_on = |thread| (clients + threads - 1 - thread) / threads;
    let running: Vec<_> = (0..threads)
        .map(|thread| {
            spawn_runtime_thread(run_clients_on_thread(
                address,
                class.clone(),
                thread,
                clients_on(thread),
                deadline,
            ))
        })
        .collect();
    let mut total = ClientResults { latency: microseconds(), unserved: 0 };
    for thread in running {
        // Joins on another thread, because discovery and other simulated services run on this one and must
        // not block.
        let results = tokio::task::spawn_blocking(|| thread.join()).await?;
        let results = results.map_err(|_| io::Error::other("client thread panicked"))??;
        total.latency.add(results.latency).map_err(io::Error::other)?;
        total.unserved += results.unserved;
    }
    Ok(total)
}

async fn run_clients_on_thread(
    address: SocketAddr,
    class: Class,
    thread: usize,
    clients: usize,
    deadline: Instant,
) -> io::Result<ClientResults> {
    let client_tasks = (0..clients).map(|client| {
        let class = class.clone();
        spawn_local(async move {
            let mut results = ClientResults { latency: microseconds(), unserved: 0 };
            let mut sender = connect(address).await?;
            let mut txn = Txn(thread << 56 | client << 40);
            while Instant::now() < deadline {
                txn.0 += 1;
                let sent = Instant::now();
                if request_is_served(&mut sender, &class, txn).await {
                    results.latency.saturating_record(sent.elapsed().as_micros() as u64);
                } else {
                    results.unserved += 1;
                    sender = connect(address).await?;
                }
            }
            Ok::<_, io::Error>(results)
        })
    });
    let client_tasks: Vec<_> = client_tasks.collect();
    let mut total = ClientResults { latency: microseconds(), unserved: 0 };
    for client in client_tasks {
        let results = client.await??;
        total.latency.add(results.latency).map_err(io::Error::other)?;
        total.unserved += results.unserved;
    }
    Ok(total)
}

/// Opens an HTTP/1.1 connection to a client proxy, or directly to an order server.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<SendRequest<Empty<Bytes>>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    // An error of the connection also fails the request on it, where it is handled.
    spawn_local(async move { drop(connection.await) });
    Ok(sender)
}

/// Sends a request. True if the response has the body that an order server generates for `txn`.
pub(crate) async fn request_is_served(
    sender: &mut SendRequest<Empty<Bytes>>,
    class: &Class,
    txn: Txn,
) -> bool {
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
