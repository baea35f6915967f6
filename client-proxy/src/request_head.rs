//! Parsing and validation of request heads.

use std::time::Duration;

use balancer::{Effect, RequestMetadata};
use hyper::header::{HOST, HeaderMap, HeaderName};
use hyper::{Method, StatusCode};
use thiserror::Error;

use crate::clients::ClientContext;
use crate::diagnostics::RefusalReason;
use crate::headers::{X_REMAINING_MS, X_TXN};
use crate::request_body::BodyError;

/// Longest client timeout that is accepted.
const MAX_REMAINING_MS: u64 = 600_000;
static X_LANE: HeaderName = HeaderName::from_static("x-lane");
static X_ORG: HeaderName = HeaderName::from_static("x-org");
static X_RESENT: HeaderName = HeaderName::from_static("x-resent");
static X_ESTIMATE: HeaderName = HeaderName::from_static("x-estimate");
static X_LABELS: HeaderName = HeaderName::from_static("x-labels");
static IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Why a request is rejected as malformed.
#[derive(Debug, Error)]
pub(crate) enum BadRequest {
    #[error("{0} is missing, or there more than once")]
    Missing(&'static str),
    #[error("X-Lane names no class")]
    Class,
    #[error("X-Org names no tenant")]
    Tenant,
    #[error("X-Remaining-Ms is not a time that a client waits")]
    Remaining,
    #[error("the method or the key does not fit the class")]
    Method,
    #[error("the path does not begin with the class")]
    Path,
    #[error("the request is not HTTP/1.1")]
    Version,
    #[error("{0}")]
    Body(#[from] BodyError),
}

impl BadRequest {
    pub(crate) fn refusal_reason(&self) -> RefusalReason {
        match self {
            BadRequest::Body(BodyError::NoMemory) => RefusalReason::NoMemory,
            BadRequest::Body(_) => RefusalReason::IncompleteBody,
            _ => RefusalReason::Malformed,
        }
    }

    pub(crate) fn status(&self) -> StatusCode {
        match self {
            BadRequest::Body(BodyError::Late) => StatusCode::REQUEST_TIMEOUT,
            BadRequest::Body(BodyError::NoMemory) => StatusCode::SERVICE_UNAVAILABLE,
            BadRequest::Method => StatusCode::METHOD_NOT_ALLOWED,
            BadRequest::Version => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

/// Path and query only, also if the client sends the absolute form that forward proxies expect.
pub(crate) fn origin_form(uri: hyper::Uri) -> hyper::Uri {
    uri.path_and_query().cloned().map_or_else(hyper::Uri::default, hyper::Uri::from)
}

pub(crate) fn read_remaining(headers: &HeaderMap) -> Result<Duration, BadRequest> {
    let text = single_value(headers, &X_REMAINING_MS).ok_or(BadRequest::Missing("X-Remaining-Ms"))?;
    // The integer parser would accept a leading `+`.
    let digits = Some(text).filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
    let timeout_ms: u64 = digits.and_then(|digits| digits.parse().ok()).ok_or(BadRequest::Remaining)?;
    if timeout_ms == 0 || timeout_ms > MAX_REMAINING_MS {
        Err(BadRequest::Remaining)
    } else {
        Ok(Duration::from_millis(timeout_ms))
    }
}

/// Value of a header that occurs exactly once. Of two occurrences that might differ, neither can be trusted.
fn single_value<'h>(headers: &'h HeaderMap, name: &HeaderName) -> Option<&'h str> {
    let mut values = headers.get_all(name).iter();
    let only = values.next().filter(|_| values.next().is_none());
    only.and_then(|value| value.to_str().ok()).map(str::trim)
}

/// Validates a request head and extracts its metadata. Only requests of the documented form are accepted:
/// forwarding anything else could give an endpoint a request that the client did not intend.
pub(crate) fn read_metadata(
    method: &Method,
    path: &str,
    headers: &HeaderMap,
    context: &ClientContext,
) -> Result<RequestMetadata, BadRequest> {
    single_value(headers, &HOST).ok_or(BadRequest::Missing("Host"))?;
    let id = single_value(headers, &X_TXN).filter(|id| !id.is_empty()).ok_or(BadRequest::Missing("X-Txn"))?;
    let lane = single_value(headers, &X_LANE).ok_or(BadRequest::Missing("X-Lane"))?;
    let class = context.names.classes.iter().position(|name| name == lane).ok_or(BadRequest::Class)?;
    if path.split('/').nth(1) != Some(lane) {
        return Err(BadRequest::Path);
    }
    let keyed = headers.contains_key(&IDEMPOTENCY_KEY);
    // The balancer retries by the effect that the class declares. A request whose method or key does not fit
    // its class might not be safe to retry.
    let is_allowed = match context.settings.classes[class].effect {
        Effect::Safe => *method == Method::GET,
        Effect::Keyed { .. } => {
            let key = single_value(headers, &IDEMPOTENCY_KEY).filter(|key| !key.is_empty());
            *method == Method::POST && key.is_some()
        }
        Effect::Unsafe => *method == Method::POST && !keyed,
    };
    if !is_allowed {
        return Err(if keyed { BadRequest::Method } else { BadRequest::Missing("Idempotency-Key") });
    }
    let tenant = match single_value(headers, &X_ORG) {
        _ if context.names.tenants.is_empty() => 0,
        None => return Err(BadRequest::Missing("X-Org")),
        Some(org) => context.names.tenants.iter().position(|name| name == org).ok_or(BadRequest::Tenant)?,
    };
    let labels = single_value(headers, &X_LABELS).unwrap_or_default();
    let mut labels = labels.split(',').filter_map(|label| label.split_once('='));
    Ok(RequestMetadata {
        class,
        tenant,
        is_retry: single_value(headers, &X_RESENT) == Some("1"),
        is_write: labels.any(|(name, value)| name == "update" && matches!(value, "1" | "true")),
        // The header is in microseconds, the balancer uses milliseconds.
        size_hint: single_value(headers, &X_ESTIMATE)
            .and_then(|us| us.parse::<f64>().ok())
            .map(|us| us / 1e3),
        key: read_key(headers),
        identity: Some(RequestMetadata::identity_of(id)),
    })
}

/// The object that the request concerns, from its cookie.
fn read_key(headers: &HeaderMap) -> Option<String> {
    let cookies = headers.get_all(hyper::header::COOKIE).iter().filter_map(|value| value.to_str().ok());
    let mut pairs = cookies.flat_map(|line| line.split(';')).filter_map(|pair| pair.split_once('='));
    pairs.find(|(name, _)| name.trim() == "obj").map(|(_, value)| value.trim().to_owned())
}
