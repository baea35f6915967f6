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
use crate::driver::{Driver, FinalOutcome, FinalResponse};
use crate::endpoint_pool::{BUFFER_SIZE, EndpointPool, Served, UpstreamBody};
use crate::headers::strip_hop_by_hop_headers;
use crate::memory_budget::MemoryBudget;
use crate::monitored_stream::{Io, MonitoredStream};
use crate::names::Names;
use crate::request_body::{BodyError, PacedBody, Payload, StreamedRequestBody};
use crate::request_end::{RequestEnd, Unread};
use crate::request_head::{BadRequest, origin_form, read_metadata, read_remaining};
use crate::shutdown::Shutdown;
use crate::socket_budget::SocketBudget;
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
    pub sockets: Rc<SocketBudget>,
    /// For the bodies of requests.
    pub request_memory: Rc<MemoryBudget>,
    /// Whose idle connections make room for clients.
    pub endpoints: Rc<EndpointPool>,
    /// The listening socket is not ours alone: what waits there is taken in by another process if not by this
    /// one.
    pub listener_shared: bool,
    /// How far a planned end has come.
    pub shutdown: Shutdown,
}

/// How the HTTP part of a connection has ended.
enum HttpEnd {
    /// By itself: the client has closed, or broken the protocol.
    Finished,
    /// Its client takes or sends nothing.
    Stalled,
    /// The process ends, and nothing waits for an answer.
    Closable,
}

pub(crate) async fn connection(
    stream: Rc<MonitoredStream>,
    context: Rc<ClientContext>,
    queue_last_empty: Instant,
) {
    // Asked of the system: what is there already has waited with its connection.
    if !stream.is_quiet() {
        stream.set_unread_since(queue_last_empty);
    }
    let conn = Rc::new(ConnectionState {
        stream: Rc::clone(&stream),
        opened_at: Instant::now(),
        active_requests: Cell::new(0),
        idle_since: Cell::new(None),
        is_streaming: Cell::new(false),
        request_end: RefCell::default(),
        close_responses: Cell::new(0),
    });
    // There is none before the first request.
    conn.request_end().mark_reached();
    let kill_imminent = &context.shutdown.kill_imminent;
    let mut builder = Builder::new();
    // A client that has ended what it sends may still read its answer; whether it has is watched here.
    builder.timer(TokioTimer::new()).header_read_timeout(None).max_buf_size(BUFFER_SIZE).half_close(true);
    let mut put_back_before = 0;
    loop {
        let io = ClientIo { io: Io(Rc::clone(&stream)), kill_imminent: kill_imminent.clone() };
        let close_responses_before = conn.close_responses.get();
        let service = service_fn(|request| respond_to(request, Rc::clone(&context), Rc::clone(&conn)));
        let mut http = builder.serve_connection(TokioIo::new(io), service);
        let is_end_reached = match serve_http(&mut http, &conn, &context.shutdown).await {
            // Its last answer asked the client to come back, and more may have been read behind that request.
            HttpEnd::Finished if conn.close_responses.get() > close_responses_before => {
                conn.request_end().wait_until_reached(LINGER_TIME).await
            }
            HttpEnd::Finished => break,
            HttpEnd::Stalled => return,
            HttpEnd::Closable => {
                conn.request_end().finish_buffered();
                conn.request_end().is_reached()
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
        if kill_imminent.is_cancelled() && put_back == put_back_before {
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
async fn serve_http<H: Future + Unpin>(http: &mut H, conn: &ConnectionState, shutdown: &Shutdown) -> HttpEnd {
    // Guards against closing over a request that has come in but was not read yet, or not to its end: an idle
    // connection is closed at once, and what it still held would be lost.
    let closable = async {
        shutdown.draining.cancelled().await;
        conn.wait_until_closable(&shutdown.kill_imminent).await;
    };
    tokio::select! {
        biased;
        // A client that breaks off, or whose words are no HTTP (answered 400), ends its connection and no
        // more.
        _ = http => HttpEnd::Finished,
        // So does one that leaves its answers unread.
        _ = conn.wait_for_unread_response() => HttpEnd::Stalled,
        _ = conn.wait_for_head_timeout() => HttpEnd::Stalled,
        never = conn.drain_bodies() => match never {},
        _ = closable => HttpEnd::Closable,
    }
}

/// Answers one request of a connection.
async fn respond_to(
    request: Request<Incoming>,
    context: Rc<ClientContext>,
    conn: Rc<ConnectionState>,
) -> Result<Response<ResponseBody>, Infallible> {
    let active_request = conn.begin_request();
    let end = Rc::new(RequestEnd::default());
    conn.request_end.replace(Rc::clone(&end));
    let mut response = respond(request, &context, &conn, &end).await;
    conn.is_streaming.set(matches!(response.body().body, UpstreamBody::Streamed(_)));
    response.body_mut().active_request = Some(active_request);
    if context.shutdown.terminating.is_cancelled() && context.listener_shared {
        // Asks the client to come back on a new connection, which the next process takes in.
        let had_close =
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close")).is_some();
        if !had_close {
            // Guards against requests lost behind a body that this answer did not wait for: it is read to its
            // end.
            conn.close_responses.set(conn.close_responses.get() + 1);
            return Ok(response);
        }
    }
    end.finish_buffered();
    Ok(response)
}

async fn respond(
    request: Request<Incoming>,
    context: &ClientContext,
    conn: &ConnectionState,
    end: &Rc<RequestEnd>,
) -> Response<ResponseBody> {
    let received_at = Instant::now();
    if request.body().is_end_stream() {
        end.mark_reached();
    }
    let leave_unread = |request: Request<Incoming>| {
        end.leave_unread(Unread::PacedBody(PacedBody::new(request.into_body(), LINGER_TIME)));
    };
    if request.uri().path() == "/ready" && request.method() == Method::GET {
        leave_unread(request);
        let ready = *context.ready.borrow();
        return empty_response(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE });
    }
    // The time of a first request counts from its connection.
    let grace = match conn.idle_since.get() {
        None => (conn.opened_at + FIRST_REQUEST_TIMEOUT)
            .saturating_duration_since(received_at)
            .max(FIRST_BODY_GRACE),
        Some(_) => BODY_GRACE,
    };
    if context.shutdown.kill_imminent.is_cancelled() {
        leave_unread(request);
        // Never forwarded, so trying again is harmless.
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let dispatched = tokio::select! {
        biased;
        dispatched = read_and_dispatch(request, context, conn, end, received_at, grace) => dispatched,
        // Guards against a request that the kill finds unanswered: an attempt of it may be in flight.
        _ = context.shutdown.kill_imminent.cancelled() => {
            // The rest of it comes too late.
            end.abandon();
            return empty_response(StatusCode::BAD_GATEWAY);
        }
    };
    match dispatched {
        Ok(response) => response,
        Err(error) => {
            end.abandon();
            let mut response = empty_response(error.status());
            response.body_mut().body = UpstreamBody::Buffered(format!("{error}\n").into());
            // Guards against what follows being read as a request of its own, which no client meant as one.
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            response
        }
    }
}

fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(Bytes::new()));
    *response.status_mut() = status;
    response
}

fn build_response(FinalResponse { outcome, recorder, forwarder }: FinalResponse) -> Response<ResponseBody> {
    match outcome {
        FinalOutcome::Served(Served { body, content_type, memory }) => {
            let forwarder = Some(forwarder);
            let mut response = Response::new(ResponseBody {
                body,
                forwarder,
                error: None,
                recorder,
                _memory: memory,
                active_request: None,
            });
            if let Some(content_type) = content_type {
                response.headers_mut().insert(CONTENT_TYPE, content_type);
            }
            response
        }
        FinalOutcome::Rejected(retry_after) => {
            let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
            let retry_after_s =
                retry_after.and_then(|ms| HeaderValue::try_from(format!("{:.3}", ms / 1e3)).ok());
            if let Some(retry_after_s) = retry_after_s {
                response.headers_mut().insert(RETRY_AFTER, retry_after_s);
            }
            response
        }
        FinalOutcome::Failed => empty_response(StatusCode::BAD_GATEWAY),
    }
}

/// Reads a request and checks it, and has it answered.
async fn read_and_dispatch(
    request: Request<Incoming>,
    context: &ClientContext,
    conn: &ConnectionState,
    end: &Rc<RequestEnd>,
    received_at: Instant,
    grace: Duration,
) -> Result<Response<ResponseBody>, BadRequest> {
    let (head, body) = request.into_parts();
    if head.version != Version::HTTP_11 {
        return Err(BadRequest::Version);
    }
    let metadata = read_metadata(&head.method, head.uri.path(), &head.headers, context)?;
    let client_timeout = read_remaining(&head.headers)?;
    let length = body.size_hint().exact();
    let mut body = PacedBody::new(body, grace);
    let (prefix, permit, is_complete) = match body.read_prefix(&context.request_memory).await {
        // Guards against requests lost behind this one: what is left of its body is read before them.
        Err(BodyError::NoMemory) => {
            end.leave_unread(Unread::PacedBody(body));
            return Ok(empty_response(StatusCode::SERVICE_UNAVAILABLE));
        }
        result => result?,
    };
    if is_complete {
        end.mark_reached();
    }
    if conn.close_responses.get() > 0 {
        // Guards against an effect that runs twice: the client has been told that nothing behind that answer
        // is worked on, and may already have sent this one elsewhere. Never forwarded, so trying again is
        // harmless.
        end.leave_unread(Unread::PacedBody(body));
        return Ok(empty_response(StatusCode::SERVICE_UNAVAILABLE));
    }
    // A client's time counts from the last byte of its request. What it waited for our room is its time too.
    let waited = body.waited();
    let received_at = received_at + waited;
    // Nothing behind its last byte is read until it has been answered.
    let sent_after = conn.stream.last_read_sent_after().min(received_at);
    let (_memory, body) = match is_complete {
        true => (permit, Payload::Buffered(prefix)),
        false => {
            let streaming_permit = timeout(client_timeout, context.request_memory.reserve_streamed())
                .await
                .ok()
                .flatten()
                .ok_or(BodyError::NoMemory)?;
            (
                None,
                Payload::Streamed(Box::new(StreamedRequestBody::new(
                    (prefix, permit),
                    body,
                    length,
                    streaming_permit,
                ))),
            )
        }
    };
    let body = RequestBody::new(body, Rc::clone(end));
    let mut headers = head.headers;
    strip_hop_by_hop_headers(&mut headers);
    let (decision_margin, slack) =
        (DECISION_MARGIN.min(client_timeout / 10), RESPONSE_MARGIN.min(client_timeout / 20));
    let client_timeout = client_timeout - decision_margin;
    let client = Some(Rc::clone(&conn.stream));
    let (method, uri, suspect_idle_time) = (head.method, origin_form(head.uri), Cell::default());
    let request = UpstreamRequest {
        method,
        uri,
        headers,
        body,
        received_at,
        sent_after,
        client_timeout,
        client,
        suspect_idle_time,
    };
    if request.streamed_body().is_none() && conn.stream.read_ahead_for_end().is_some() {
        // Guards against an attempt for a client that left while its request waited to be read.
        return Ok(empty_response(StatusCode::SERVICE_UNAVAILABLE));
    }
    Ok(build_response(
        context.driver.submit(metadata, request).final_response(decision_margin - slack).await?,
    ))
}

#[cfg(test)]
pub(crate) mod tests;
