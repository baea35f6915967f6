//! Client connections: serves `/ready`, reads requests and sends exactly one final response to each.

mod client_io;
mod connection;
mod connection_state;
mod response_body;
mod responses;

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use balancer::Settings;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Version};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

pub(crate) use self::connection::connection;
use self::connection_state::{ConnectionState, FIRST_REQUEST_TIMEOUT};
use self::response_body::ResponseBody;
use self::responses::{build_response, empty_response, refuse};
use crate::diagnostics::RefusalReason;
use crate::driver::Driver;
use crate::endpoint_pool::{EndpointPool, UpstreamBody};
use crate::headers::{request_id, strip_hop_by_hop_headers};
use crate::memory_budget::MemoryPools;
use crate::names::Names;
use crate::request_body::{BodyError, MemoryWait, PacedBody, Payload, StreamedRequestBody};
use crate::request_end::{RequestEnd, Unread};
use crate::request_head::{BadRequest, origin_form, read_metadata, read_remaining};
use crate::shutdown::Shutdown;
use crate::socket_budget::SocketBudget;
use crate::upstream_request::{AttemptState, RequestBody, UpstreamRequest};

/// The deadline given to the balancer precedes the client's by this much, for the way back and a timer that
/// fires late.
const DECISION_MARGIN: Duration = Duration::from_millis(15);
/// The final response is sent at least this long before the client's deadline, whatever the balancer does.
const RESPONSE_MARGIN: Duration = Duration::from_millis(5);
/// Time that a body may take beyond what its minimum rate allows, counted from the end of the head. The first
/// body of a connection gets what is left of `FIRST_REQUEST_TIMEOUT` if that is more.
const FIRST_BODY_GRACE: Duration = Duration::from_millis(700);
const BODY_GRACE: Duration = Duration::from_millis(2_000);
/// How long a connection is still read after the last response. Closing a socket with unread data sends a
/// reset, which may destroy the response.
const LINGER_TIME: Duration = Duration::from_millis(1_000);

/// State shared by all client connections.
pub struct ClientContext {
    /// Gets the requests.
    pub driver: Rc<Driver>,
    /// Defines the request classes.
    pub settings: Settings,
    /// Names, in the order of the numbers in `settings`.
    pub names: Names,
    /// Becomes true once there are endpoints to send requests to.
    pub ready: watch::Receiver<bool>,
    /// Budget that client connections take their slots from.
    pub sockets: Rc<SocketBudget>,
    /// Budgets for heads and bodies.
    pub memory: Rc<MemoryPools>,
    /// Idle upstream connections are evicted from this pool to free slots for clients.
    pub endpoints: Rc<EndpointPool>,
    /// Another process accepts from the same listening socket, so connections left in its queue are not lost
    /// when this process exits.
    pub listener_shared: bool,
    /// Progress of a graceful shutdown.
    pub shutdown: Shutdown,
}

/// Handles one request of a connection.
async fn respond_to(
    request: Request<Incoming>,
    context: Rc<ClientContext>,
    conn: Rc<ConnectionState>,
) -> Result<Response<ResponseBody>, Infallible> {
    let active_request = conn.begin_request();
    let end = Rc::new(RequestEnd::default());
    conn.request_end.replace(Rc::clone(&end));
    conn.wait_for_turn().await;
    let mut response = respond(request, &context, &conn, &end).await;
    conn.note_response(response.body().forwarder.is_some());
    conn.is_streaming.set(matches!(response.body().body, UpstreamBody::Streamed(_)));
    let memory = response.body_mut().memory.take();
    response.body_mut().active_request = Some(active_request.with_response_memory(memory));
    if context.shutdown.terminating.is_cancelled() && context.listener_shared {
        // Asks the client to reconnect: the other process will accept the new connection.
        let had_close =
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close")).is_some();
        if !had_close {
            // Requests may be pipelined behind a body that this response did not wait for. The body is
            // drained to its end, so that they are found and get a response.
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
    // Time that the request waited for memory counts.
    let received_at = conn.head_arrived_at.take().unwrap_or_else(Instant::now);
    if request.body().is_end_stream() {
        end.mark_reached();
    }
    let id = request_id(request.headers()).to_owned();
    let refused = |reason| context.driver.diagnostics().request_refused(&id, reason);
    let leave_unread = |request: Request<Incoming>| {
        end.leave_unread(Unread::PacedBody(PacedBody::new(request.into_body(), LINGER_TIME)));
    };
    if request.uri().path() == "/ready" && request.method() == Method::GET {
        leave_unread(request);
        let ready = *context.ready.borrow();
        return empty_response(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE });
    }
    // The first request of a connection has to be complete within a time that counts from accept.
    let grace = match conn.idle_since.get() {
        None => (conn.opened_at + FIRST_REQUEST_TIMEOUT)
            .saturating_duration_since(received_at)
            .max(FIRST_BODY_GRACE),
        Some(_) => BODY_GRACE,
    };
    if context.shutdown.kill_imminent.is_cancelled() {
        leave_unread(request);
        refused(RefusalReason::Shutdown);
        // Never forwarded, so a retry is safe.
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let dispatched = tokio::select! {
        biased;
        dispatched = read_and_dispatch(request, context, conn, end, received_at, grace) => dispatched,
        // The process may be killed before the response comes, and an attempt may be in flight, so the
        // outcome is unknown.
        _ = context.shutdown.kill_imminent.cancelled() => {
            // The rest of the body would arrive too late.
            end.abandon();
            refused(RefusalReason::Shutdown);
            return empty_response(StatusCode::BAD_GATEWAY);
        }
    };
    match dispatched {
        Ok(response) => response,
        Err(error) => {
            end.abandon();
            refused(error.refusal_reason());
            let mut response = empty_response(error.status());
            response.body_mut().body = UpstreamBody::Buffered(format!("{error}\n").into());
            // The next bytes may belong to the body of the rejected request and must not be parsed as a
            // request.
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            response
        }
    }
}

/// Reads and checks a request, submits it and waits for its final response.
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
    let mut memory_wait = MemoryWait::new(client_timeout);
    let Ok(field_memory) = context.memory.fields.reserve(head.headers.len()) else {
        end.leave_unread(Unread::PacedBody(body));
        return Ok(refuse(context, &head.headers, RefusalReason::NoMemory));
    };
    let (prefix, permit, is_complete) =
        match body.read_prefix(&context.memory.requests, &mut memory_wait).await {
            // The rest of the body is drained, so that requests pipelined behind it are not lost.
            Err(BodyError::NoMemory) => {
                end.leave_unread(Unread::PacedBody(body));
                return Ok(refuse(context, &head.headers, RefusalReason::NoMemory));
            }
            result => result?,
        };
    conn.note_request_body(prefix.len());
    if is_complete {
        end.mark_reached();
    }
    if conn.close_responses.get() > 0 {
        // An earlier response carried `Connection: close`, so the client may already have retried this
        // request on another connection; forwarding it here too could run its effect twice. It was never
        // forwarded, so a retry is safe.
        end.leave_unread(Unread::PacedBody(body));
        return Ok(refuse(context, &head.headers, RefusalReason::AfterReconnect));
    }
    // The client's timeout counts from the last byte of its request. Time that the request waited for our
    // memory budget also counts.
    let waited = body.waited();
    let received_at = received_at + waited;
    // Nothing behind the last byte of this request is read until it has its response, so the last read
    // belongs to it.
    let sent_after = conn.stream.last_read_sent_after().min(received_at);
    let (_memory, body) = match is_complete {
        true => (permit, Payload::Buffered(prefix)),
        false => {
            let time_left = client_timeout.saturating_sub(memory_wait.spent());
            let streaming_permit = timeout(time_left, context.memory.requests.reserve_streamed())
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
                    sent_after,
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
    let (method, uri) = (head.method, origin_form(head.uri));
    let request = UpstreamRequest {
        method,
        uri,
        headers,
        body,
        received_at,
        sent_after,
        client_timeout,
        client,
        attempts: AttemptState::default(),
        field_memory,
    };
    if request.streamed_body().is_none() && conn.stream.read_ahead_for_end().is_some() {
        // The client has closed its writing side while its request waited to be read: an attempt would be
        // wasted.
        return Ok(refuse(context, &request.headers, RefusalReason::ClientClosed));
    }
    Ok(build_response(
        context.driver.submit(metadata, request).final_response(decision_margin - slack).await?,
    ))
}

#[cfg(test)]
pub(crate) mod tests;
