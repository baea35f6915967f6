//! One attempt: writes at most one copy of a request to an endpoint and reads the response.

use std::rc::Rc;
use std::time::Duration;

use balancer::{EndpointId, LoadReport, Outcome};
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use tokio::time::{Instant, sleep_until, timeout_at};

use super::connection::{PooledConnection, is_kept_alive};
use super::response::{
    ConnectionOrigin, ReadBody, Served, StreamedResponseBody, UpstreamBody, X_PRESSURE, classify_response,
    parse_load_report, served_result,
};
use super::{BUFFER_SIZE, EndpointPool, STALL_TIMEOUT};
use crate::headers::X_REMAINING_MS;
use crate::request_body::{MAX_BUFFERED_BODY, SHORT_MESSAGE_BYTES};
use crate::upstream_request::{AttemptBody, UpstreamRequest};

/// How long to wait for the end of a response of unknown length before its first bytes are forwarded. Most
/// such responses are short and end within this time.
pub(super) const LENGTH_PROBE_TIME: Duration = Duration::from_millis(20);

/// If a connection that was idle for this long yields no response byte, its endpoint may have silently
/// dropped it, and other connections that have been idle for this long are suspect too. Endpoints keep
/// connections for at least this time, so failures after shorter idle times have other causes.
pub(super) const SUSPECT_IDLE_TIME: Duration = Duration::from_millis(200);

/// How an attempt ended, and what it returned.
pub struct AttemptResult {
    /// Outcome by what is known of the attempt.
    pub outcome: Outcome,
    /// Load that the endpoint reported.
    pub report: LoadReport,
    /// The response; present exactly if the outcome is [`Outcome::Served`].
    pub served: Option<Served>,
    /// The request body cannot be sent again.
    pub is_body_spent: bool,
    /// How long the endpoint had the complete request, if that differs from the time since the attempt began.
    pub service_time: Option<Duration>,
}

impl AttemptResult {
    /// A result without a response.
    pub fn without_response(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            report: LoadReport::default(),
            served: None,
            is_body_spent: false,
            service_time: None,
        }
    }
}

impl EndpointPool {
    /// Sends at most one copy of the request to `endpoint`. Gives up at the client's deadline or at `until`.
    pub async fn attempt(
        self: &Rc<Self>,
        endpoint: EndpointId,
        request: &Rc<UpstreamRequest>,
        until: Option<Instant>,
    ) -> AttemptResult {
        let Some(location) = self.serving_location(endpoint).filter(|_| !request.is_body_spent()) else {
            return AttemptResult {
                is_body_spent: request.is_body_spent(),
                ..AttemptResult::without_response(Outcome::NeverSent)
            };
        };
        if request.remaining_ms(until) == 0 {
            return AttemptResult::without_response(Outcome::NeverSent);
        }
        let latest = until.into_iter().chain(request.deadline()).min();
        let mut conn = match self
            .acquire_connection(endpoint, location, latest, request.attempts.avoids_idle.get())
            .await
        {
            Ok(conn) => conn,
            Err(outcome) => return AttemptResult::without_response(outcome),
        };
        let (connected, idle_for) = (Instant::now(), conn.idle_for);
        let remaining_ms = request.remaining_ms(until);
        // The endpoint may have been found to drain or restart during the dial, and the dial may have left
        // less than a millisecond.
        if self.serving_location(endpoint) != Some(location) || remaining_ms == 0 {
            return AttemptResult::without_response(Outcome::NeverSent);
        }
        let stream = Rc::clone(&conn.stream);
        // Checked just before the first byte is written: the client may disconnect, or its deadline pass,
        // during the dial or while the connection's task waits to be scheduled.
        let pending = Rc::clone(request);
        stream.begin_request(&self.fully_written, Box::new(move || pending.may_begin()));
        stream.reset_first_byte();
        let deadline = async {
            match until {
                Some(until) => {
                    tokio::select! { _ = request.deadline_passed() => {}, _ = sleep_until(until) => {} }
                }
                None => request.deadline_passed().await,
            }
        };
        let exchanged = tokio::select! {
            biased;
            exchanged = self.exchange(&mut conn, request, remaining_ms) => Some(exchanged),
            _ = deadline => None,
            // Without a complete body the client has no deadline yet, so an endpoint that stops reading it
            // would stall the attempt forever.
            _ = stream.wait_for_write_stall(STALL_TIMEOUT), if request.streamed_body().is_some() => None,
        };
        let not_fully_sent = stream.is_partially_written();
        let mut result = match exchanged {
            // The endpoint may respond in the middle of the request. The rest is not sent then, and the
            // request had no effect if the response says so.
            Some(Ok((response, body))) => {
                let outcome = classify_response(&response);
                conn.needs_rest = outcome != Outcome::Served;
                let result = match (outcome, body) {
                    (Outcome::Served, ReadBody::Complete(body, permit)) => {
                        self.return_connection(endpoint, location, conn);
                        served_result(&response, UpstreamBody::Buffered(body), permit)
                    }
                    (Outcome::Served, ReadBody::Partial(prefix, body, permit)) => {
                        let origin = ConnectionOrigin { conn, pool: Rc::clone(self), endpoint, location };
                        let streamed = StreamedResponseBody::new(prefix, body, Some(origin));
                        served_result(&response, UpstreamBody::Streamed(Box::new(streamed)), permit)
                    }
                    (outcome, ReadBody::Complete(..)) => {
                        self.return_connection(endpoint, location, conn);
                        AttemptResult::without_response(outcome)
                    }
                    (outcome, ReadBody::Partial(..)) => AttemptResult::without_response(outcome),
                };
                let report = response.headers().get(&X_PRESSURE).and_then(|value| value.to_str().ok());
                AttemptResult { report: report.map(parse_load_report).unwrap_or_default(), ..result }
            }
            _ if stream.is_withheld() => AttemptResult::without_response(Outcome::NeverSent),
            // The request body failed, which is the client's fault and not the endpoint's.
            Some(Err(error)) if error.is_user() => AttemptResult::without_response(Outcome::NeverSent),
            // The last byte was not written, so the endpoint cannot have begun to process the request.
            Some(Err(_)) | None if not_fully_sent => AttemptResult::without_response(Outcome::ConnectFailed),
            Some(Err(_)) => AttemptResult::without_response(Outcome::Reset),
            None => AttemptResult::without_response(Outcome::TimedOut),
        };
        let failed =
            matches!(result.outcome, Outcome::Reset | Outcome::TimedOut) && stream.first_byte_at().is_none();
        if failed && idle_for >= SUSPECT_IDLE_TIME {
            request.attempts.avoids_idle.set(true);
            self.close_idle_since_before(endpoint, connected);
        }
        if request.streamed_body().is_some() {
            (result.is_body_spent, result.service_time) =
                (request.is_body_spent(), stream.fully_written_at().map(|written_at| written_at.elapsed()));
        }
        result
    }

    /// Writes the request and reads the complete response, or the beginning of one that will be streamed.
    pub(super) async fn exchange(
        &self,
        conn: &mut PooledConnection,
        request: &Rc<UpstreamRequest>,
        remaining_ms: u64,
    ) -> Result<(Response<()>, ReadBody), hyper::Error> {
        let mut outgoing = Request::new(AttemptBody::new(Rc::clone(request), Rc::clone(&conn.stream)));
        *outgoing.method_mut() = request.method.clone();
        *outgoing.uri_mut() = request.uri.clone();
        *outgoing.headers_mut() = request.headers.clone();
        outgoing.headers_mut().insert(&X_REMAINING_MS, HeaderValue::from(remaining_ms));
        let response = conn.sender.send_request(outgoing).await?;
        conn.is_kept_alive = is_kept_alive(&response);
        let (head, mut body) = response.into_parts();
        let length = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
        conn.has_long_message =
            !request.is_short() || length.is_none_or(|length| length > SHORT_MESSAGE_BYTES);
        let buffered_length = length.filter(|length| *length <= MAX_BUFFERED_BODY);
        let permit = match buffered_length {
            Some(length) => self.response_memory.reserve_buffered(length).await,
            None => self.response_memory.reserve_streamed().await,
        };
        let probe_until = Instant::now() + if length.is_some() { Duration::ZERO } else { LENGTH_PROBE_TIME };
        let mut prefix = BytesMut::with_capacity(buffered_length.unwrap_or(0));
        loop {
            let may_forward = buffered_length.is_none() && !prefix.is_empty();
            let next = if may_forward {
                timeout_at(probe_until, body.frame()).await
            } else {
                Ok(body.frame().await)
            };
            match next {
                Ok(Some(frame)) => {
                    if let Ok(data) = frame?.into_data() {
                        prefix.extend_from_slice(&data);
                    }
                }
                Ok(None) => {
                    return Ok((Response::from_parts(head, ()), ReadBody::Complete(prefix.freeze(), permit)));
                }
                Err(_) => {
                    return Ok((
                        Response::from_parts(head, ()),
                        ReadBody::Partial(prefix.freeze(), body, permit),
                    ));
                }
            }
            if buffered_length.is_none() && prefix.len() > BUFFER_SIZE {
                return Ok((
                    Response::from_parts(head, ()),
                    ReadBody::Partial(prefix.freeze(), body, permit),
                ));
            }
        }
    }
}
