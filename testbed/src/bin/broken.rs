//! A minimal client proxy that deliberately violates the one rule named by the environment variable `BROKEN`.
//! The testbed's tests use it to verify that the testbed detects each violation.
#![forbid(unsafe_code)]

use std::cell::Cell;
use std::convert::Infallible;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

/// The rule that is violated, if any.
#[derive(Clone, Copy, PartialEq)]
enum Violation {
    None,
    /// Closes the connection of about every tenth request without a response.
    LosesResponse,
    /// Responses have a body that no order server sent.
    ForgedResponse,
    /// Each request is executed by two order servers, one after the other.
    DuplicateExecution,
    /// Each request is sent to two order servers at the same time.
    ConcurrentAttempts,
    /// Keeps the first endpoint list, and so sends requests to draining endpoints.
    IgnoresDraining,
    /// Sends requests only to endpoints that started during the run (`since_ms` above 0), as if they were
    /// warmed up.
    OverloadsWarmingUp,
    /// Holds 100 additional file descriptors open.
    TooManyDescriptors,
    /// Exits with code 1 after 2 s.
    Crash,
}

/// The parts of a received request that are sent to an order server, or to discovery. Bodies are dropped.
struct ForwardedRequest {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
}

struct BrokenProxy {
    violation: Violation,
    discovery: SocketAddr,
    /// Number of endpoint selections so far, for round robin.
    selections: Cell<usize>,
    /// The endpoint list in use.
    endpoints: Cell<Vec<Value>>,
}

fn main() -> Result<(), Box<dyn Error>> {
    let violation = match std::env::var("BROKEN").unwrap_or_default().as_str() {
        "lost" => Violation::LosesResponse,
        "false" => Violation::ForgedResponse,
        "doubled" => Violation::DuplicateExecution,
        "twice_out" => Violation::ConcurrentAttempts,
        "drain" => Violation::IgnoresDraining,
        "cold" => Violation::OverloadsWarmingUp,
        "limits" => Violation::TooManyDescriptors,
        "crash" => Violation::Crash,
        _ => Violation::None,
    };
    let config: Value = serde_json::from_slice(&std::fs::read(std::env::var("GW_CONFIG")?)?)?;
    let address = |key: &str| config[key].as_str().unwrap_or_default().parse::<SocketAddr>();
    let (listen, discovery) = (address("listen")?, address("discovery")?);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async move {
        let (selections, endpoints) = (Cell::default(), Cell::default());
        let proxy = Rc::new(BrokenProxy { violation, discovery, selections, endpoints });
        spawn_local(Rc::clone(&proxy).poll_discovery());
        spawn_local(async { send_to_peers().await.expect("cannot send datagrams to the peers of GW_FLEET") });
        if violation == Violation::Crash {
            spawn_local(async {
                sleep(Duration::from_secs(2)).await;
                std::process::exit(1);
            });
        }
        let mut open_files = Vec::new();
        while violation == Violation::TooManyDescriptors && open_files.len() < 100 {
            open_files.push(std::fs::File::open("/dev/null")?);
        }
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(listen)?;
        let listener = socket.listen(1024)?;
        serve(listener, proxy).await
    })
}

/// Sends a datagram to each peer every 100 ms, if `GW_FLEET` names a file that lists peers.
async fn send_to_peers() -> Result<(), Box<dyn Error>> {
    let Ok(file) = std::env::var("GW_FLEET") else { return Ok(()) };
    let fleet: toml::Table = std::fs::read_to_string(file)?.parse()?;
    let Some(membership) = fleet.get("membership") else { return Ok(()) };
    let socket = tokio::net::UdpSocket::bind(membership["listen"].as_str().unwrap_or_default()).await?;
    loop {
        for seed in membership["seeds"].as_array().into_iter().flatten().filter_map(toml::Value::as_str) {
            // A failed send needs no handling: the next one follows in 100 ms.
            let _ = socket.send_to(b"hello", seed).await;
        }
        sleep(Duration::from_millis(100)).await;
    }
}

async fn serve(listener: TcpListener, proxy: Rc<BrokenProxy>) -> Result<(), Box<dyn Error>> {
    let mut sigterm = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted?.0,
            _ = sigterm.recv() => return Ok(()),
        };
        let proxy = Rc::clone(&proxy);
        spawn_local(async move {
            let service = service_fn(|request| {
                let proxy = Rc::clone(&proxy);
                async move { proxy.respond(request).await }
            });
            // Errors are expected here: clients disconnect, and a simulated fault can reset the connection.
            let _ = Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

impl BrokenProxy {
    /// Polls discovery for a full snapshot every 100 ms. With `IgnoresDraining`, the first list that is not
    /// empty stays in use.
    async fn poll_discovery(self: Rc<Self>) {
        loop {
            let uri = "/v1/endpoints".parse().unwrap_or_default();
            let forwarded = ForwardedRequest { method: Method::GET, uri, headers: HeaderMap::new() };
            if let Some((StatusCode::OK, body)) = exchange(self.discovery, &forwarded).await
                && let Ok(Value::Object(mut snapshot)) = serde_json::from_slice::<Value>(&body)
                && let Some(Value::Array(endpoints)) = snapshot.remove("endpoints")
            {
                let current = self.endpoints.take();
                let keeps_current = self.violation == Violation::IgnoresDraining && !current.is_empty();
                self.endpoints.set(if keeps_current { current } else { endpoints });
            }
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// Selects an endpoint by round robin among those in service or, if there are none, among all.
    fn select_endpoint(&self) -> Option<SocketAddr> {
        let endpoints = self.endpoints.take();
        let is_eligible = |entry: &&Value| {
            let started_during_run = entry["since_ms"].as_u64().unwrap_or(0) > 0;
            entry["status"] == "SERVING"
                && (self.violation != Violation::OverloadsWarmingUp || started_during_run)
        };
        let mut eligible: Vec<&Value> = endpoints.iter().filter(is_eligible).collect();
        if eligible.is_empty() {
            eligible = endpoints.iter().collect();
        }
        let selection = self.selections.replace(self.selections.get() + 1);
        let entry = eligible.get(selection % eligible.len().max(1));
        let address = entry.and_then(|entry| entry["address"].as_str()?.parse().ok());
        self.endpoints.set(endpoints);
        address
    }

    async fn respond(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        if request.uri().path() == "/ready" {
            let endpoints = self.endpoints.take();
            let ready = !endpoints.is_empty();
            self.endpoints.set(endpoints);
            return Ok(empty_response(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }));
        }
        let (head, _) = request.into_parts();
        let forwarded = ForwardedRequest { method: head.method, uri: head.uri, headers: head.headers };
        let (Some(first), Some(second)) = (self.select_endpoint(), self.select_endpoint()) else {
            return Ok(empty_response(StatusCode::SERVICE_UNAVAILABLE));
        };
        let response = match self.violation {
            Violation::ConcurrentAttempts => {
                tokio::join!(exchange(first, &forwarded), exchange(second, &forwarded)).0
            }
            Violation::DuplicateExecution => {
                exchange(second, &forwarded).await;
                exchange(first, &forwarded).await
            }
            _ => exchange(first, &forwarded).await,
        };
        match (self.violation, response) {
            // The panic ends the connection's task, which closes the connection without a response.
            (Violation::LosesResponse, _) if self.selections.get().is_multiple_of(20) => {
                panic!("closing the connection without a response, as BROKEN=lost requires")
            }
            (Violation::ForgedResponse, _) => Ok(Response::new(Full::from("done ffffffffffffffff"))),
            (_, Some((code, body))) => {
                let mut response = empty_response(code);
                *response.body_mut() = Full::new(body);
                Ok(response)
            }
            (_, None) => Ok(empty_response(StatusCode::BAD_GATEWAY)),
        }
    }
}

/// Sends one request over a new connection and reads the complete response.
async fn exchange(address: SocketAddr, forwarded: &ForwardedRequest) -> Option<(StatusCode, Bytes)> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    let _task = tokio_util::task::AbortOnDropHandle::new(spawn_local(connection));
    let mut request = Request::new(Empty::<Bytes>::new());
    *request.method_mut() = forwarded.method.clone();
    *request.uri_mut() = forwarded.uri.clone();
    *request.headers_mut() = forwarded.headers.clone();
    let (head, body) = sender.send_request(request).await.ok()?.into_parts();
    Some((head.status, body.collect().await.ok()?.to_bytes()))
}
