//! Headers of requests between client, client proxy and endpoint.

use hyper::header::{CONNECTION, HeaderMap, HeaderName};

/// Time in milliseconds for which the sender of a request still waits for the response; read from clients and
/// sent to endpoints.
pub static X_REMAINING_MS: HeaderName = HeaderName::from_static("x-remaining-ms");

/// The client's id of a request.
pub static X_TXN: HeaderName = HeaderName::from_static("x-txn");

/// The client's id of a request, for logs; empty if it is not text.
pub fn request_id(headers: &HeaderMap) -> &str {
    headers.get(&X_TXN).and_then(|id| id.to_str().ok()).unwrap_or_default()
}

/// Removes hop-by-hop headers and those that are set anew for the next hop.
pub fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    // `Connection` may list any header name. These have to reach the endpoint even if a client lists them
    // there.
    let end_to_end = ["x-txn", "idempotency-key", "host"];
    for name in listed.iter().filter(|name| !end_to_end.contains(&name.as_str())) {
        headers.remove(name);
    }
    for name in [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    ] {
        headers.remove(name);
    }
    // hyper sets it again from the forwarded body.
    headers.remove("content-length");
}
