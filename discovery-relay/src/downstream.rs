//! Serves the endpoint list to downstreams: client proxies and other relays.

use std::cell::RefCell;
use std::convert::Infallible;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::header::{AGE, ALLOW, CONTENT_TYPE, DATE, HOST, HeaderValue, RETRY_AFTER};
use hyper::http::uri::Authority;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use rand_core::Rng;
use rand_pcg::Pcg32;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use crate::catalog::{Catalog, CatalogResponse, EncodedList, Scope};
use crate::connection_limiter::{ConnectionLimiter, TrackedConnection};
use crate::response_body::ResponseBody;
use crate::stall_detection::{StallDetectingStream, WriteProgress};
use crate::upstream::Confirmation;

/// The maximum time for which a watch is held open, even if the request asks for more.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);
/// The source counts as lost if it has not confirmed the list for this long, in which two polls of the relay
/// have timed out.
const SOURCE_LOST_AFTER: Duration = Duration::from_millis(1_500);
/// How long a request with a version newer than the relay's waits for the relay to catch up, and how often
/// that is checked.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(500);
const CATCH_UP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Responses longer than this count as large. Only so many of them are written at once; others wait for a
/// permit for so long.
const LARGE_RESPONSE_BYTES: usize = 16 * 1024;
const MAX_CONCURRENT_LARGE_WRITES: usize = 64;
const WRITE_PERMIT_TIMEOUT: Duration = Duration::from_secs(2);
/// `Retry-After` of a 503 is random between one and two times this.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// A connection is closed if the head of its next request is not complete after this long.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// At shutdown each open watch is answered after a random delay of up to this, so that the downstreams do not
/// all reach other relays at once.
const SHUTDOWN_SPREAD: Duration = Duration::from_secs(1);
/// The delay before accepting again after an error, such as a lack of descriptors. Also how often the
/// shutdown checks whether all connections are closed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves requests from the catalog.
pub struct Downstream {
    catalog: Rc<RefCell<Catalog>>,
    confirmation: watch::Receiver<Option<Confirmation>>,
    /// Whether the source has confirmed the list within [`SOURCE_LOST_AFTER`].
    has_source: watch::Sender<bool>,
    /// Whether a request whose `Host` is an IP address gets the list of all services.
    serves_full_list: bool,
    write_permits: Arc<Semaphore>,
    rng: RefCell<Pcg32>,
    shutdown: CancellationToken,
    connections: ConnectionLimiter,
}

impl Downstream {
    /// Serves nothing before [`Downstream::serve`].
    pub fn new(
        catalog: Rc<RefCell<Catalog>>,
        confirmation: watch::Receiver<Option<Confirmation>>,
        serves_full_list: bool,
        max_connections: usize,
        rng: Pcg32,
        shutdown: CancellationToken,
    ) -> Rc<Downstream> {
        Rc::new(Downstream {
            catalog,
            confirmation,
            has_source: watch::Sender::new(false),
            serves_full_list,
            write_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_LARGE_WRITES)),
            rng: RefCell::new(rng),
            shutdown,
            connections: ConnectionLimiter::new(max_connections),
        })
    }

    /// Keeps track of whether the source is lost, for as long as the relay runs.
    pub async fn track_source(self: Rc<Self>) {
        let mut confirmation = self.confirmation.clone();
        loop {
            let lost_at = confirmation.borrow_and_update().as_ref().map(|last| last.at + SOURCE_LOST_AFTER);
            let has_source = lost_at.is_some_and(|lost_at| lost_at > Instant::now());
            let changed =
                self.has_source.send_if_modified(|known| std::mem::replace(known, has_source) != has_source);
            if changed && !has_source {
                eprintln!("relay: list is stale: no recent confirmation from the source: rejecting watches");
            }
            tokio::select! {
                result = confirmation.changed() => if result.is_err() { return },
                () = sleep_until(lost_at.unwrap_or_else(Instant::now)), if has_source => {}
            }
        }
    }

    /// Accepts connections until the shutdown, then waits until all of them are closed.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.shutdown.cancelled() => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    // At the limit the longest idle connection is closed to admit the new one. Otherwise idle
                    // connections could lock out everyone else.
                    if self.connections.is_full() && !self.connections.close_longest_idle() {
                        continue;
                    }
                    let connection = TrackedConnection::new(&self.connections);
                    spawn_local(Rc::clone(&self).serve_connection(stream, Rc::new(connection)));
                    // Lets the new task read a request that has already arrived, before the next accept: the
                    // connection would count as idle otherwise.
                    tokio::task::yield_now().await;
                }
                Err(_) => {
                    self.connections.close_longest_idle();
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        drop(listener);
        while !self.connections.is_empty() {
            sleep(ACCEPT_RETRY_DELAY).await;
        }
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream, tracked: Rc<TrackedConnection>) {
        // Fails only if the connection is already broken.
        let _ = stream.set_nodelay(true);
        let progress = Rc::new(WriteProgress::default());
        let service = service_fn(|request| {
            let (relay, tracked, progress) = (Rc::clone(&self), Rc::clone(&tracked), Rc::clone(&progress));
            async move {
                tracked.set_busy(&relay.connections);
                let response = relay.respond(&request, &progress).await;
                tracked.set_idle(&relay.connections);
                Ok::<_, Infallible>(response)
            }
        });
        let io = TokioIo::new(StallDetectingStream::new(stream, Rc::clone(&progress)));
        let connection = Builder::new()
            // Hyper's `Date` has this machine's wall clock, which may have been stepped. Downstreams take
            // `Date` for discovery's clock.
            .auto_date_header(false)
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_READ_TIMEOUT)
            .serve_connection(io, service);
        tokio::pin!(connection);
        // Connection errors are ignored: the downstream connects again.
        tokio::select! {
            _ = connection.as_mut() => {}
            () = tracked.close_requested() => {}
            () = self.shutdown.cancelled() => {
                connection.as_mut().graceful_shutdown();
                let _ = connection.await;
            }
        }
        tracked.release(&self.connections);
    }

    async fn respond<B>(&self, request: &Request<B>, progress: &WriteProgress) -> Response<ResponseBody> {
        if request.method() != Method::GET {
            let mut response = error_response(StatusCode::METHOD_NOT_ALLOWED, "only GET is answered");
            response.headers_mut().insert(ALLOW, HeaderValue::from_static("GET"));
            return response;
        }
        if request.uri().path() != "/v1/endpoints" {
            return error_response(StatusCode::NOT_FOUND, "only /v1/endpoints is answered");
        }
        let (after, wait) = match Query::parse(request.uri().query().unwrap_or_default()) {
            Ok(Query { after, wait }) => (after, wait),
            Err(reason) => return error_response(StatusCode::BAD_REQUEST, reason),
        };
        let scope = match self.scope(request) {
            Ok(scope) => scope,
            Err(ScopeError::Rejected(status, reason)) => return error_response(status, reason),
            Err(ScopeError::NoListYet) => return self.no_list_yet(),
        };
        match after {
            None => self.full_snapshot(&scope, progress).await,
            Some(after) => self.changes_after(&scope, after, wait, progress).await,
        }
    }

    /// The scope that the authority of the request selects.
    fn scope<B>(&self, request: &Request<B>) -> Result<Rc<Scope>, ScopeError> {
        let host = request.headers().get(HOST).and_then(|host| host.to_str().ok());
        let authority = match request.uri().authority() {
            Some(authority) => Some(authority.clone()),
            None => host.and_then(|host| host.parse::<Authority>().ok()),
        };
        let Some(authority) = authority else {
            return Err(ScopeError::Rejected(
                StatusCode::BAD_REQUEST,
                "Host: is missing or names no authority",
            ));
        };
        let name = authority.host();
        if name.trim_matches(['[', ']']).parse::<IpAddr>().is_ok() {
            let full_scope = self.serves_full_list.then(|| self.catalog.borrow().full_scope());
            return full_scope
                .ok_or(ScopeError::Rejected(StatusCode::MISDIRECTED_REQUEST, "Host: names no service"));
        }
        if self.catalog.borrow().index().is_none() {
            return Err(ScopeError::NoListYet);
        }
        let scope = self.catalog.borrow_mut().scope(name);
        scope.ok_or(ScopeError::Rejected(StatusCode::NOT_FOUND, "Host: names a service that is not known"))
    }

    /// A full snapshot, even a stale one: for a downstream without a list that is better than none, and `Age`
    /// says how old it is.
    async fn full_snapshot(&self, scope: &Scope, progress: &WriteProgress) -> Response<ResponseBody> {
        let list = self.catalog.borrow().list_after(scope, None);
        match list {
            CatalogResponse::List(list) => self.list_response(list, progress).await,
            CatalogResponse::Unchanged | CatalogResponse::Behind => self.no_list_yet(),
        }
    }

    /// The changes after a version. Without any, waits for the next one for up to `wait`.
    async fn changes_after(
        &self,
        scope: &Scope,
        after: u64,
        wait: Duration,
        progress: &WriteProgress,
    ) -> Response<ResponseBody> {
        let (mut changes, mut has_source) = (scope.subscribe(), self.has_source.subscribe());
        let received_at = Instant::now();
        loop {
            changes.mark_unchanged();
            let list = self.catalog.borrow().list_after(scope, Some(after));
            match list {
                CatalogResponse::List(list) => return self.list_response(list, progress).await,
                CatalogResponse::Behind
                    if received_at.elapsed() < CATCH_UP_TIMEOUT && !self.shutdown.is_cancelled() =>
                {
                    sleep(CATCH_UP_CHECK_INTERVAL).await;
                    continue;
                }
                CatalogResponse::Behind => {
                    return self.unavailable("the caller holds a newer version than this relay");
                }
                CatalogResponse::Unchanged => {}
            }
            if !*has_source.borrow_and_update() {
                return self.unavailable("this relay is out of touch with its source");
            }
            let wait_is_over = received_at + wait <= Instant::now();
            if wait_is_over || self.shutdown.is_cancelled() {
                let index = self.catalog.borrow().index();
                return match index {
                    Some(index) => self.list_response(EncodedList::unchanged(index), progress).await,
                    None => self.no_list_yet(),
                };
            }
            tokio::select! {
                // Cannot fail: `scope` holds the sender.
                _ = changes.changed() => {}
                _ = has_source.changed() => {}
                () = sleep_until(received_at + wait) => {}
                () = self.shutdown.cancelled() => sleep(self.random_part(SHUTDOWN_SPREAD)).await,
            }
        }
    }

    /// A response with a list. A large one first waits for a write permit.
    async fn list_response(&self, list: EncodedList, progress: &WriteProgress) -> Response<ResponseBody> {
        if list.tail.len() > LARGE_RESPONSE_BYTES {
            let permit = timeout(WRITE_PERMIT_TIMEOUT, Arc::clone(&self.write_permits).acquire_owned()).await;
            let Ok(Ok(permit)) = permit else {
                return self.unavailable("too many whole lists are asked for");
            };
            progress.hold(permit);
        }
        let confirmation = self.confirmation.borrow().clone();
        let age = confirmation.as_ref().map_or(0, |last| last.at.elapsed().as_secs());
        let mut response = Response::new(ResponseBody::list(list));
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        response.headers_mut().insert(AGE, HeaderValue::from(age));
        // Discovery's own date, passed on as a cache does. Together with `Age` it gives the current time by
        // discovery's clock.
        if let Some(date) = confirmation.and_then(|last| last.date) {
            response.headers_mut().insert(DATE, date);
        }
        response
    }

    fn no_list_yet(&self) -> Response<ResponseBody> {
        self.unavailable("this relay has no list yet")
    }

    /// A 503 with `Retry-After`.
    fn unavailable(&self, reason: &'static str) -> Response<ResponseBody> {
        let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, reason);
        let retry_after = (MIN_RETRY_AFTER + self.random_part(MIN_RETRY_AFTER)).as_secs();
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(retry_after));
        response
    }

    /// A random duration of up to `max`.
    fn random_part(&self, max: Duration) -> Duration {
        max.mul_f64(f64::from(self.rng.borrow_mut().next_u32()) / f64::from(u32::MAX))
    }
}

/// Why a request selects no scope.
enum ScopeError {
    /// The request is answered with this status and body.
    Rejected(StatusCode, &'static str),
    /// Without a list, the relay does not know yet which services exist.
    NoListYet,
}

fn error_response(status: StatusCode, reason: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::text(reason));
    *response.status_mut() = status;
    response
}

/// The query of a request.
struct Query {
    after: Option<u64>,
    wait: Duration,
}

impl Query {
    /// Ignores unknown fields. An error names the field whose value is not a number.
    fn parse(query: &str) -> Result<Query, &'static str> {
        let mut parsed = Query { after: None, wait: Duration::ZERO };
        for (name, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
            match name {
                "after" => parsed.after = Some(value.parse().map_err(|_| "after: is no version")?),
                "wait_ms" => {
                    let wait = value.parse().map_err(|_| "wait_ms: is no number")?;
                    parsed.wait = Duration::from_millis(wait).min(MAX_WATCH_WAIT);
                }
                _ => {}
            }
        }
        Ok(parsed)
    }
}
