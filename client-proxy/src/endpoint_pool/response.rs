//! Responses of endpoints: their outcome, load report and body.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use balancer::{EndpointId, LoadReport, Outcome};
use bytes::Bytes;
use discovery_proto::EndpointLocation;
use hyper::body::{Body, Incoming, SizeHint};
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use simulator_adapter::{Metrics, convert_load_report};
use thiserror::Error;

use super::connection::PooledConnection;
use super::{AttemptResult, EndpointPool};
use crate::memory_budget::MemoryPermit;
use crate::request_body::next_chunk;

pub(super) static X_TURNED_AWAY: HeaderName = HeaderName::from_static("x-turned-away");

pub(super) static X_PRESSURE: HeaderName = HeaderName::from_static("x-pressure");

/// Response 200 of an endpoint.
pub struct Served {
    /// Its body.
    pub body: UpstreamBody,
    /// The endpoint's `Content-Type`, if any.
    pub content_type: Option<HeaderValue>,
    /// Memory reserved for the body.
    pub memory: Option<MemoryPermit>,
}

/// Body of an endpoint's response.
pub enum UpstreamBody {
    /// The complete body.
    Buffered(Bytes),
    /// A body that is forwarded while it is received.
    Streamed(Box<StreamedResponseBody>),
}

/// Body of a response that is forwarded while it is received.
pub struct StreamedResponseBody {
    /// Received and not returned yet.
    pub(super) pending: Bytes,
    pub(super) body: Incoming,
    /// Returns the connection to the pool once the body is complete.
    pub(super) origin: Option<ConnectionOrigin>,
}

/// A connection and the place in the pool that it belongs to.
pub struct ConnectionOrigin {
    pub(super) conn: PooledConnection,
    pub(super) pool: Rc<EndpointPool>,
    pub(super) endpoint: EndpointId,
    pub(super) location: EndpointLocation,
}

/// Why a response was truncated.
#[derive(Debug, Error)]
pub enum ResponseError {
    /// The connection failed or the response is malformed.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The endpoint stalled, or the response has no end in time.
    #[error("timed out waiting for the end of the response")]
    Overdue,
}

impl StreamedResponseBody {
    /// `prefix` has already been read; the rest is in `body`.
    pub fn new(prefix: Bytes, body: Incoming, origin: Option<ConnectionOrigin>) -> StreamedResponseBody {
        StreamedResponseBody { pending: prefix, body, origin }
    }

    /// Whether the complete body has been returned.
    pub fn is_end_stream(&self) -> bool {
        self.pending.is_empty() && self.body.is_end_stream()
    }

    /// Length of what is still to be returned.
    pub fn size_hint(&self) -> SizeHint {
        let remaining = self.body.size_hint().exact();
        remaining.map_or_else(SizeHint::default, |remaining| {
            SizeHint::with_exact(remaining + self.pending.len() as u64)
        })
    }

    /// The next chunk.
    pub fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, ResponseError>>> {
        loop {
            if !self.pending.is_empty() {
                return Poll::Ready(Some(Ok(next_chunk(&mut self.pending))));
            }
            match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if !data.is_empty() => {
                        if self.body.is_end_stream() {
                            self.release_connection();
                        }
                        self.pending = data;
                    }
                    _ => {} // trailers are no part of it
                },
                Some(Err(error)) => return Poll::Ready(Some(Err(error.into()))),
                None => {
                    self.release_connection();
                    return Poll::Ready(None);
                }
            }
        }
    }

    pub(super) fn release_connection(&mut self) {
        if let Some(ConnectionOrigin { conn, pool, endpoint, location }) = self.origin.take() {
            pool.return_connection(endpoint, location, conn);
        }
    }
}

/// What has been read of a response body.
pub(super) enum ReadBody {
    Complete(Bytes, Option<MemoryPermit>),
    Partial(Bytes, Incoming, Option<MemoryPermit>),
}

/// Outcome of an attempt by its response. Only a rejection that the endpoint marks as such proves that the
/// request had no effect.
pub(super) fn classify_response(response: &Response<()>) -> Outcome {
    let turned_away = response.headers().get(&X_TURNED_AWAY).is_some_and(|value| value == "1");
    match response.status() {
        StatusCode::OK => Outcome::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => Outcome::Rejected,
        _ => Outcome::Error,
    }
}

pub(super) fn served_result(
    response: &Response<()>,
    body: UpstreamBody,
    memory: Option<MemoryPermit>,
) -> AttemptResult {
    let content_type = response.headers().get(CONTENT_TYPE).cloned();
    AttemptResult {
        served: Some(Served { body, content_type, memory }),
        ..AttemptResult::without_response(Outcome::Served)
    }
}

/// Parses a load report such as `inflight=7,queue=2,util=0.61`. Unknown fields and values that are not
/// numbers are skipped.
pub(super) fn parse_load_report(text: &str) -> LoadReport {
    let mut metrics = Metrics::default();
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        let field = match name.trim() {
            "inflight" | "outstanding" => &mut metrics.outstanding,
            "queue" | "backlog" => &mut metrics.backlog,
            "util" | "utilization" => &mut metrics.utilization,
            "latency_ms" | "recent_ms" => &mut metrics.recent_ms,
            "qps" | "throughput" => &mut metrics.throughput,
            "eps" | "errors_per_s" => &mut metrics.errors_per_s,
            _ => continue,
        };
        *field = value.trim().parse().ok().filter(|number: &f64| number.is_finite());
    }
    convert_load_report(&metrics)
}
