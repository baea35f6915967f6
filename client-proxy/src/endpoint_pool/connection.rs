//! Connections to endpoints: reuses idle ones and dials new ones.

use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::Duration;

use balancer::{EndpointId, Outcome};
use discovery_client::is_local_error;
use discovery_proto::EndpointLocation;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::CONNECTION;
use hyper::{Response, Version};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout_at};
use tokio_util::task::AbortOnDropHandle;

use super::attempt::SUSPECT_IDLE_TIME;
use super::{BUFFER_SIZE, EndpointPool};
use crate::monitored_stream::{Io, MonitoredStream};
use crate::socket_budget::Side;
use crate::upstream_request::AttemptBody;

/// How long a connection rests after a refusal before it is reused. An endpoint may send a refusal once more some
/// milliseconds later. Behind another request it would be taken for proof that this one was not executed.
const SETTLE_TIME: Duration = Duration::from_millis(20);

/// An open connection with a request, or for one; closed on drop.
pub(super) struct PooledConnection {
    pub(super) sender: SendRequest<AttemptBody>,
    pub(super) stream: Rc<MonitoredStream>,
    /// Ends once `sender` is dropped and the last response was read. Returns whether nothing was read behind that.
    task: AbortOnDropHandle<bool>,
    /// How long the connection had been idle when it was reused; zero for a new one.
    pub(super) idle_for: Duration,
    /// The endpoint keeps the connection open after the last response.
    pub(super) is_kept_alive: bool,
    /// A message may have made the buffers grow.
    pub(super) has_long_message: bool,
    /// The last response was a refusal or an error, of which a late copy may follow.
    pub(super) needs_rest: bool,
}

/// An open connection at rest; closed on drop.
pub(super) struct IdleConnection {
    pub(super) stream: Rc<MonitoredStream>,
    /// Present until the buffers are given up.
    sender: Option<SendRequest<AttemptBody>>,
    /// As in [`PooledConnection`].
    task: AbortOnDropHandle<bool>,
    pub(super) since: Instant,
    /// As in [`PooledConnection`].
    needs_rest: bool,
}

impl IdleConnection {
    /// Whether no late copy of the last response is to be expected.
    fn is_settled(&self) -> bool {
        !self.needs_rest || self.since.elapsed() >= SETTLE_TIME
    }

    /// Gives up the buffers.
    pub(super) fn release(&mut self) {
        self.sender = None;
    }

    /// The connection for a further request, if its endpoint has sent nothing and has not closed it.
    async fn resume(self) -> Option<PooledConnection> {
        let idle_for = self.since.elapsed();
        let Some(mut sender) = self.sender else {
            let is_usable = self.task.await.unwrap_or(false) && self.stream.is_quiet();
            let stream = Some(self.stream).filter(|_| is_usable)?;
            return PooledConnection::start(stream, idle_for).await.ok();
        };
        let is_usable = self.stream.is_quiet() && sender.ready().await.is_ok();
        is_usable.then_some(PooledConnection {
            sender,
            stream: self.stream,
            task: self.task,
            idle_for,
            is_kept_alive: true,
            has_long_message: false,
            needs_rest: false,
        })
    }
}

impl PooledConnection {
    /// Sets up HTTP on an open stream that has been idle for so long.
    async fn start(stream: Rc<MonitoredStream>, idle_for: Duration) -> hyper::Result<PooledConnection> {
        let io = TokioIo::new(Io(Rc::clone(&stream)));
        let (sender, connection) = Builder::new().max_buf_size(BUFFER_SIZE).handshake(io).await?;
        // The attempt on the connection gets its errors.
        let task = spawn_local(async move {
            connection.without_shutdown().await.is_ok_and(|parts| parts.read_buf.is_empty())
        });
        let task = AbortOnDropHandle::new(task);
        Ok(PooledConnection {
            sender,
            stream,
            task,
            idle_for,
            is_kept_alive: true,
            has_long_message: false,
            needs_rest: false,
        })
    }

    /// A connection that waits for its next request. Buffers that may have grown are given up.
    pub(super) fn into_idle(self) -> IdleConnection {
        let sender = Some(self.sender).filter(|_| !self.has_long_message);
        let (since, needs_rest) = (Instant::now(), self.needs_rest);
        IdleConnection { stream: self.stream, sender, task: self.task, since, needs_rest }
    }
}

/// Whether the sender of this message keeps its connection open after it.
pub(super) fn is_kept_alive<T>(response: &Response<T>) -> bool {
    let values = response.headers().get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let mut options = values.flat_map(|value| value.split(',')).map(str::trim);
    match response.version() {
        Version::HTTP_10 => options.any(|option| option.eq_ignore_ascii_case("keep-alive")),
        _ => !options.any(|option| option.eq_ignore_ascii_case("close")),
    }
}

impl EndpointPool {
    /// Reuses a healthy idle connection or dials. With `avoids_idle`, one that has been idle for
    /// [`SUSPECT_IDLE_TIME`] is reused only if the dial fails.
    pub(super) async fn acquire_connection(
        &self,
        endpoint: EndpointId,
        location: EndpointLocation,
        until: Option<Instant>,
        avoids_idle: bool,
    ) -> Result<PooledConnection, Outcome> {
        let max_idle = if avoids_idle { SUSPECT_IDLE_TIME.min(self.max_idle) } else { self.max_idle };
        if let Some(conn) = self.reuse(endpoint, max_idle).await {
            return Ok(conn);
        }
        let dialed = self.dial(location, until).await;
        let in_time = until.is_none_or(|until| Instant::now() < until);
        if dialed.is_err() && avoids_idle && in_time {
            return self.reuse(endpoint, self.max_idle).await.map_or(dialed, Ok);
        }
        dialed
    }

    /// Takes a healthy connection that has been idle for less than `max_idle`.
    pub(super) async fn reuse(&self, endpoint: EndpointId, max_idle: Duration) -> Option<PooledConnection> {
        while let Some(idle) = self.pop_idle(endpoint, max_idle) {
            // Nothing was written to it yet, so using another one cannot duplicate the request.
            let conn = idle.resume().await;
            if conn.is_some() {
                return conn;
            }
        }
        None
    }

    /// Opens a connection.
    pub(super) async fn dial(
        &self,
        location: EndpointLocation,
        until: Option<Instant>,
    ) -> Result<PooledConnection, Outcome> {
        let slot = loop {
            match self.sockets.try_acquire(Side::Upstream) {
                Some(slot) => break slot,
                // The slot is released when the task of the closed connection has ended.
                None if self.evict_idle() => tokio::task::yield_now().await,
                None => return Err(Outcome::NeverSent),
            }
        };
        let latest = Instant::now() + self.dial_timeout;
        let latest = until.map_or(latest, |until| until.min(latest));
        let dialed = timeout_at(latest, TcpStream::connect(location.address));
        let stream = match dialed.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(dial_outcome(&error)),
            Err(_) => return Err(Outcome::ConnectFailed),
        };
        let stream = MonitoredStream::new(stream, slot);
        PooledConnection::start(stream, Duration::ZERO).await.map_err(|_| Outcome::ConnectFailed)
    }

    /// The connection that became idle last, of those that may be reused now and have been idle for less than
    /// `max_idle`.
    pub(super) fn pop_idle(&self, endpoint: EndpointId, max_idle: Duration) -> Option<IdleConnection> {
        let mut endpoints = self.endpoints.borrow_mut();
        let idle = &mut endpoints.get_mut(&endpoint)?.idle;
        let newest = idle.iter().rposition(IdleConnection::is_settled)?;
        (idle[newest].since.elapsed() < max_idle).then(|| idle.remove(newest))
    }
}

/// Outcome of a failed dial. Only some errors say something about the endpoint or the path to it. Others,
/// such as a lack of ports, descriptors, memory or a network on this machine, do not: nothing was sent, and
/// the balancer keeps the request.
pub(super) fn dial_outcome(error: &io::Error) -> Outcome {
    match error.kind() {
        _ if is_local_error(error) => Outcome::NeverSent,
        ErrorKind::NetworkUnreachable | ErrorKind::NetworkDown | ErrorKind::PermissionDenied => {
            Outcome::NeverSent
        }
        _ => Outcome::ConnectFailed,
    }
}
