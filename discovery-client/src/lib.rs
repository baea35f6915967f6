//! Polls discovery, or a relay, over a socket. Which poll comes next, and its timeout, is decided by
//! `discovery_proto`.
#![forbid(unsafe_code)]

mod superseded_polls;

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::{Duration, UNIX_EPOCH};

use bytes::Bytes;
use discovery_proto::EndpointListError;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::{AGE, DATE, HOST, HeaderMap, HeaderValue};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

pub use self::superseded_polls::{Exchange, SupersededPolls};

/// Why a poll has no usable response.
#[derive(Debug, Error)]
pub enum PollError {
    /// Connecting failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The connection was closed, or the peer does not speak HTTP.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// A status other than 200.
    #[error("unexpected status {0}")]
    Status(StatusCode),
    /// The body was truncated, or exceeds the length limit.
    #[error("incomplete response body: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The body is not a usable endpoint list.
    #[error("{0}")]
    List(#[from] EndpointListError),
    /// The timeout of the poll expired.
    #[error("timed out")]
    TimedOut(#[from] tokio::time::error::Elapsed),
}

impl PollError {
    /// Whether there was a response that is not a valid list.
    pub fn is_invalid_response(&self) -> bool {
        matches!(self, PollError::Body(_) | PollError::List(_))
    }

    /// Whether connecting failed for a local reason, which says nothing about the source.
    pub fn is_local(&self) -> bool {
        matches!(self, PollError::Io(error) if is_local_error(error))
    }
}

/// Whether connecting failed because of this machine or process (no free port, descriptor or memory) or was
/// interrupted. All other errors are due to the peer or the network.
pub fn is_local_error(error: &io::Error) -> bool {
    !matches!(
        error.kind(),
        ErrorKind::ConnectionRefused
            | ErrorKind::ConnectionReset
            | ErrorKind::ConnectionAborted
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkDown
            | ErrorKind::NetworkUnreachable
            | ErrorKind::PermissionDenied
            | ErrorKind::TimedOut
    )
}

/// A connection on which polls are sent one after another.
pub type DiscoveryConnection = SendRequest<Empty<Bytes>>;

/// A complete response with status 200.
pub struct DiscoveryResponse {
    /// The connection, for the next poll.
    pub connection: DiscoveryConnection,
    /// The response headers.
    pub headers: HeaderMap,
    /// The body; it may still turn out not to be a list.
    pub body: Bytes,
}

/// The time since 1970 by discovery's own clock at which the response was received, or earlier: `Date` has
/// whole seconds, and relays report in `Age` for how long they have had the response. `None` without a valid
/// `Date`.
pub fn origin_time(headers: &HeaderMap) -> Option<Duration> {
    let date = headers.get(DATE).and_then(|date| date.to_str().ok())?;
    let date = httpdate::parse_http_date(date).ok()?.duration_since(UNIX_EPOCH).ok()?;
    date.checked_add(age(headers))
}

/// For how long relays have had the response, in whole seconds. Zero without a valid `Age`, which discovery
/// itself does not send.
pub fn age(headers: &HeaderMap) -> Duration {
    let seconds = headers.get(AGE).and_then(|age| age.to_str().ok()).and_then(|age| age.parse().ok());
    Duration::from_secs(seconds.unwrap_or(0))
}

/// Builds the request of a poll. `host` selects the list: the authority of a relay's scope, or the address of
/// discovery.
///
/// # Panics
/// If `path` is not a valid path; those of `discovery_proto` are.
pub fn list_request(host: HeaderValue, path: &str) -> Request<Empty<Bytes>> {
    let mut request = Request::new(Empty::new());
    *request.uri_mut() = path.parse().expect("a fixed path with a numeric query is a valid URI");
    request.headers_mut().insert(HOST, host);
    request
}

/// Sends one poll over `reusable`, if that connection is still open, else over a new connection from `dial`,
/// and reads the response with at most `max_body_len` bytes.
///
/// # Errors
/// If the response is not a complete body with status 200. The connection is not reusable then.
pub async fn exchange(
    reusable: Option<DiscoveryConnection>,
    dial: impl Future<Output = Result<DiscoveryConnection, PollError>>,
    request: Request<Empty<Bytes>>,
    max_body_len: usize,
) -> Result<DiscoveryResponse, PollError> {
    let reusable = match reusable {
        Some(mut connection) => connection.ready().await.is_ok().then_some(connection),
        None => None,
    };
    let mut connection = match reusable {
        Some(connection) => connection,
        None => dial.await?,
    };
    let (head, body) = connection.send_request(request).await?.into_parts();
    if head.status != StatusCode::OK {
        return Err(PollError::Status(head.status));
    }
    let body = Limited::new(body, max_body_len).collect().await.map_err(PollError::Body)?.to_bytes();
    Ok(DiscoveryResponse { connection, headers: head.headers, body })
}

/// Connects within `connect_timeout`. Must be called within a `LocalSet`.
///
/// # Errors
/// If connecting fails or times out.
pub async fn dial(address: SocketAddr, connect_timeout: Duration) -> Result<DiscoveryConnection, PollError> {
    let stream = timeout(connect_timeout, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    handshake(stream).await
}

/// Starts HTTP/1.1 on a connected stream. Must be called within a `LocalSet`.
///
/// # Errors
/// If the stream has been closed.
pub async fn handshake(
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
) -> Result<DiscoveryConnection, PollError> {
    let (sender, connection) = Builder::new().handshake(TokioIo::new(stream)).await?;
    // A connection error is reported to the poll that uses the connection.
    spawn_local(async move { drop(connection.await) });
    Ok(sender)
}

#[cfg(test)]
mod tests;
