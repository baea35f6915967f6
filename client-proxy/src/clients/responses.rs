//! Responses to clients.

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use super::ClientContext;
use super::response_body::ResponseBody;
use crate::diagnostics::RefusalReason;
use crate::driver::{FinalOutcome, FinalResponse};
use crate::endpoint_pool::Served;
use crate::headers::request_id;

/// A response without a body.
pub(super) fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Refuses a request that was never forwarded, so that a retry is safe.
pub(super) fn refuse(
    context: &ClientContext,
    headers: &HeaderMap,
    reason: RefusalReason,
) -> Response<ResponseBody> {
    context.driver.diagnostics().request_refused(request_id(headers), reason);
    empty_response(StatusCode::SERVICE_UNAVAILABLE)
}

/// The response to a request that has been submitted.
pub(super) fn build_response(
    FinalResponse { outcome, recorder, forwarder }: FinalResponse,
) -> Response<ResponseBody> {
    match outcome {
        FinalOutcome::Served(Served { body, content_type, memory }) => {
            let forwarder = Some(forwarder);
            let mut response = Response::new(ResponseBody {
                body,
                forwarder,
                error: None,
                recorder,
                memory,
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
