//! Client connections: `/ready`, requests in, and exactly one final answer out for each.

mod client_io;
mod connection_state;
mod response_body;

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use balancer::Settings;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use self::client_io::ClientIo;
use self::connection_state::{ConnectionState, FIRST_REQUEST_TIMEOUT};
use self::response_body::ResponseBody;
use crate::driver::{Driver, FinalAnswer, FinalResponse};
use crate::endpoint_pool::{BUFFER_SIZE, EndpointPool, Served, UpstreamBody};
use crate::headers::strip_hop_headers;
use crate::memory_budget::MemoryBudget;
use crate::monitored_stream::{Io, MonitoredStream};
use crate::names::Names;
use crate::request_body::{BodyError, PacedBody, Payload, Streaming};
use crate::request_end::{RequestEnd, Unread};
use crate::request_head::{BadRequest, origin_form, read_metadata, read_remaining};
use crate::shutdown::Shutdown;
use crate::socket_budget::Sockets;
use crate::upstream_request::{RequestBody, UpstreamRequest};

/// The decisions' time ends so long before the client's: for the way back, and for a timer that comes late.
const DECISION_MARGIN: Duration = Duration::from_millis(15);
/// At the latest so long before the client's time is up the answer leaves, whatever the decisions do.
const RESPONSE_MARGIN: Duration = Duration::from_millis(5);
/// How long after its head a body may take beyond what it needs at its pace; what a first request has left,
/// if more.
const FIRST_BODY_GRACE: Duration = Duration::from_millis(700);
const BODY_GRACE: Duration = Duration::from_millis(2_000);
/// How long what still comes is read after the last answer, so that the answer is not lost with it.
const LINGER_TIME: Duration = Duration::from_millis(1_000);
/// For a request of which only part has come when there is no time left to answer it: never forwarded, so
/// trying again is harmless.
const LATE_REQUEST_REJECTED: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// What all connections share.
pub struct ClientContext {
    /// Where requests go.
    pub driver: Rc<Driver>,
    /// For what names and numbers mean.
    pub settings: Settings,
    /// In the order of the settings' numbers.
    pub names: Names,
    /// Turns true once there are endpoints to send to.
    pub ready: watch::Receiver<bool>,
    /// The budget that client connections come out of.
    pub sockets: Rc<Sockets>,
    /// For the bodies of requests.
    pub room: Rc<MemoryBudget>,
    /// Whose idle connections make room for clients.
    pub endpoints: Rc<EndpointPool>,
    /// The listening socket is not ours alone: what waits there is taken in by another process if not by this
    /// one.
    pub shared: bool,
    /// How far a planned end has come.
    pub shutdown: Shutdown,
}

/// How the HTTP part of a connection has ended.
enum HttpEnd {
    /// By itself: the client has closed, or broken the protocol.
    Over,
    /// Its client takes or sends nothing.
    Stalled,
    /// The process ends, and nothing waits for an answer.
    Closable,
}

pub(crate) async fn connection(
    stream: Rc<MonitoredStream>,
    front: Rc<ClientContext>,
    queue_last_empty: Instant,
) {
    // Asked of the system: what is there already has waited with its connection.
    if !stream.is_quiet() {
        stream.has_waited_since(queue_last_empty);
    }
    let door = Rc::new(ConnectionState {
        stream: Rc::clone(&stream),
        opened: Instant::now(),
        busy: Cell::new(0),
        idle: Cell::new(None),
        long: Cell::new(false),
        request_end: RefCell::default(),
        sent_away: Cell::new(0),
    });
    // There is none before the first request.
    door.request_end().reach();
    let last_call = &front.shutdown.last_call;
    let mut builder = Builder::new();
    // A client that has ended what it sends may still read its answer; whether it has is watched here.
    builder.timer(TokioTimer::new()).header_read_timeout(None).max_buf_size(BUFFER_SIZE).half_close(true);
    let mut put_back_before = 0;
    loop {
        let io = ClientIo { io: Io(Rc::clone(&stream)), last_call: last_call.clone() };
        let sent_away_before = door.sent_away.get();
        let service = service_fn(|request| respond_to(request, Rc::clone(&front), Rc::clone(&door)));
        let mut http = builder.serve_connection(TokioIo::new(io), service);
        let is_end_reached = match serve_http(&mut http, &door, &front.shutdown).await {
            // Its last answer asked the client to come back, and more may have been read behind that request.
            HttpEnd::Over if door.sent_away.get() > sent_away_before => {
                door.request_end().settled(LINGER_TIME).await
            }
            HttpEnd::Over => break,
            HttpEnd::Stalled => return,
            HttpEnd::Closable => {
                door.request_end().settle();
                door.request_end().is_reached()
            }
        };
        if !is_end_reached {
            // Guards against bytes of a body being taken for a request, which no client meant as one.
            break;
        }
        // Guards against a close over requests, or part of one, that were read together with the one before.
        let put_back = stream.put_back(&http.into_parts().read_buf);
        if put_back == 0 {
            break;
        }
        if last_call.is_cancelled() && put_back == put_back_before {
            // Part of a request, the rest of which comes too late.
            stream.write_now(LATE_REQUEST_REJECTED);
            break;
        }
        put_back_before = put_back;
    }
    // Guards against an answer lost with the rest of a request that it did not wait for.
    stream.drain(LINGER_TIME).await;
}

/// Serves until the client ends the connection, or the process does so to one that is idle.
async fn serve_http<H: Future + Unpin>(http: &mut H, door: &ConnectionState, shutdown: &Shutdown) -> HttpEnd {
    // Guards against closing over a request that has come in but was not read yet, or not to its end: an idle
    // connection is closed at once, and what it still held would be lost.
    let closable = async {
        shutdown.closing.cancelled().await;
        door.closable(&shutdown.last_call).await;
    };
    tokio::select! {
        biased;
        // A client that breaks off, or whose words are no HTTP (answered 400), ends its connection and no
        // more.
        _ = http => HttpEnd::Over,
        // So does one that leaves its answers unread.
        _ = door.unread() => HttpEnd::Stalled,
        _ = door.overdue() => HttpEnd::Stalled,
        never = door.drain_bodies() => match never {},
        _ = closable => HttpEnd::Closable,
    }
}

/// Answers one request of a connection.
async fn respond_to(
    request: Request<Incoming>,
    front: Rc<ClientContext>,
    door: Rc<ConnectionState>,
) -> Result<Response<ResponseBody>, Infallible> {
    let busy = door.enter();
    let end = Rc::new(RequestEnd::default());
    door.request_end.replace(Rc::clone(&end));
    let mut response = respond(request, &front, &door, &end).await;
    door.long.set(matches!(response.body().body, UpstreamBody::Streamed(_)));
    response.body_mut().busy = Some(busy);
    if front.shutdown.leaving.is_cancelled() && front.shared {
        // Asks the client to come back on a new connection, which the next process takes in.
        let is_bad = response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close")).is_some();
        if !is_bad {
            // Guards against requests lost behind a body that this answer did not wait for: it is read to its
            // end.
            door.sent_away.set(door.sent_away.get() + 1);
            return Ok(response);
        }
    }
    end.settle();
    Ok(response)
}

async fn respond(
    request: Request<Incoming>,
    front: &ClientContext,
    door: &ConnectionState,
    end: &Rc<RequestEnd>,
) -> Response<ResponseBody> {
    let came = Instant::now();
    if request.body().is_end_stream() {
        end.reach();
    }
    let leave = |request: Request<Incoming>| {
        end.leave(Unread::PacedBody(PacedBody::new(request.into_body(), LINGER_TIME)));
    };
    if request.uri().path() == "/ready" && request.method() == Method::GET {
        leave(request);
        let ready = *front.ready.borrow();
        return plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE });
    }
    // The time of a first request counts from its connection.
    let grace = match door.idle.get() {
        None => (door.opened + FIRST_REQUEST_TIMEOUT).saturating_duration_since(came).max(FIRST_BODY_GRACE),
        Some(_) => BODY_GRACE,
    };
    if front.shutdown.last_call.is_cancelled() {
        leave(request);
        // Never forwarded, so trying again is harmless.
        return plain(StatusCode::SERVICE_UNAVAILABLE);
    }
    let taken_in = tokio::select! {
        biased;
        taken_in = read_and_dispatch(request, front, door, end, came, grace) => taken_in,
        // Guards against a request that the kill finds unanswered: an attempt of it may be in flight.
        _ = front.shutdown.last_call.cancelled() => {
            // The rest of it comes too late.
            end.forget();
            return plain(StatusCode::BAD_GATEWAY);
        }
    };
    match taken_in {
        Ok(response) => response,
        Err(bad) => {
            end.forget();
            let mut response = plain(bad.status());
            response.body_mut().body = UpstreamBody::Whole(format!("{bad}\n").into());
            // Guards against what follows being read as a request of its own, which no client meant as one.
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            response
        }
    }
}

fn plain(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::whole(Bytes::new()));
    *response.status_mut() = status;
    response
}

fn write_answer(FinalResponse { answer, counted, passing }: FinalResponse) -> Response<ResponseBody> {
    match answer {
        FinalAnswer::Served(Served { body, content_type, hold }) => {
            let passing = Some(passing);
            let mut response =
                Response::new(ResponseBody { body, passing, broken: None, counted, _hold: hold, busy: None });
            if let Some(kind) = content_type {
                response.headers_mut().insert(CONTENT_TYPE, kind);
            }
            response
        }
        FinalAnswer::Refused(retry_after) => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
            let advice = retry_after.and_then(|ms| HeaderValue::try_from(format!("{:.3}", ms / 1e3)).ok());
            if let Some(advice) = advice {
                response.headers_mut().insert(RETRY_AFTER, advice);
            }
            response
        }
        FinalAnswer::Failed => plain(StatusCode::BAD_GATEWAY),
    }
}

/// Reads a request and checks it, and has it answered.
async fn read_and_dispatch(
    request: Request<Incoming>,
    front: &ClientContext,
    door: &ConnectionState,
    end: &Rc<RequestEnd>,
    came: Instant,
    grace: Duration,
) -> Result<Response<ResponseBody>, BadRequest> {
    let (head, body) = request.into_parts();
    if head.version != Version::HTTP_11 {
        return Err(BadRequest::Version);
    }
    let facts = read_metadata(&head.method, head.uri.path(), &head.headers, front)?;
    let patience = read_remaining(&head.headers)?;
    let length = body.size_hint().exact();
    let mut body = PacedBody::new(body, grace);
    let (first, hold, all) = match body.first(&front.room).await {
        // Guards against requests lost behind this one: what is left of its body is read before them.
        Err(BodyError::NoMemory) => {
            end.leave(Unread::PacedBody(body));
            return Ok(plain(StatusCode::SERVICE_UNAVAILABLE));
        }
        first => first?,
    };
    if all {
        end.reach();
    }
    if door.sent_away.get() > 0 {
        // Guards against an effect that runs twice: the client has been told that nothing behind that answer
        // is worked on, and may already have sent this one elsewhere. Never forwarded, so trying again is
        // harmless.
        end.leave(Unread::PacedBody(body));
        return Ok(plain(StatusCode::SERVICE_UNAVAILABLE));
    }
    // A client's time counts from the last byte of its request. What it waited for our room is its time too.
    let waited = body.waited();
    let came = came + waited;
    // Nothing behind its last byte is read until it has been answered.
    let sent_after = door.stream.last_read_sent_after().min(came);
    let (_hold, body) = match all {
        true => (hold, Payload::Whole(first)),
        false => {
            let room =
                timeout(patience, front.room.long()).await.ok().flatten().ok_or(BodyError::NoMemory)?;
            (None, Payload::Streaming(Box::new(Streaming::new((first, hold), body, length, room))))
        }
    };
    let body = RequestBody::new(body, Rc::clone(end));
    let mut headers = head.headers;
    strip_hop_headers(&mut headers);
    let (ours, slack) = (DECISION_MARGIN.min(patience / 10), RESPONSE_MARGIN.min(patience / 20));
    let patience = patience - ours;
    let client = Some(Rc::clone(&door.stream));
    let (method, uri, max_idle) = (head.method, origin_form(head.uri), Cell::default());
    let order = UpstreamRequest { method, uri, headers, body, came, sent_after, patience, client, max_idle };
    if order.long().is_none() && door.stream.read_ahead_for_end().is_some() {
        // Guards against an attempt for a client that left while its request waited to be read.
        return Ok(plain(StatusCode::SERVICE_UNAVAILABLE));
    }
    Ok(write_answer(front.driver.take(facts, order).answer(ours - slack).await?))
}

#[cfg(test)]
pub(crate) mod tests;
