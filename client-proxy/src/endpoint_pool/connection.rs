//! Connections to endpoints: reused while they are idle, or newly established.

use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::Duration;

use balancer::{EndpointId, Outcome};
use discovery_client::is_local_error;
use discovery_proto::EndpointLocation;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, timeout_at};

use super::{BUFFER_SIZE, EndpointPool};
use crate::monitored_stream::{Io, MonitoredStream};
use crate::socket_budget::Side;
use crate::upstream_request::AttemptBody;

/// An open connection; closed when dropped.
pub(super) struct PooledConnection {
    pub(super) sender: SendRequest<AttemptBody>,
    pub(super) stream: Rc<MonitoredStream>,
    pub(super) task: AbortHandle,
    /// How long it had been idle when it was taken up; zero for a new one.
    pub(super) idle_for: Duration,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub(super) struct IdleConnection {
    pub(super) conn: PooledConnection,
    pub(super) since: Instant,
}

impl EndpointPool {
    /// An idle connection that is sound, or a new one. Once one has failed the same request that had been
    /// idle for `max_idle`, another that has been idle for as long is taken only where none can be made.
    pub(super) async fn acquire_connection(
        &self,
        endpoint: EndpointId,
        location: EndpointLocation,
        until: Option<Instant>,
        suspect_idle_time: Option<Duration>,
    ) -> Result<PooledConnection, Outcome> {
        if let Some(conn) = self.reuse(endpoint, suspect_idle_time).await {
            return Ok(conn);
        }
        let dialed = self.dial(location, until).await;
        let in_time = until.is_none_or(|until| Instant::now() < until);
        if dialed.is_err() && suspect_idle_time.is_some() && in_time {
            return self.reuse(endpoint, None).await.map_or(dialed, Ok);
        }
        dialed
    }

    /// An idle connection that is sound and has not been idle for `max_idle`.
    pub(super) async fn reuse(
        &self,
        endpoint: EndpointId,
        suspect_idle_time: Option<Duration>,
    ) -> Option<PooledConnection> {
        let max_idle = suspect_idle_time.map_or(self.max_idle, |suspect| suspect.min(self.max_idle));
        while let Some(mut idle) = self.pop_idle(endpoint, max_idle) {
            // Nothing was written to it yet: taking another one is no repeat.
            if idle.conn.stream.is_quiet() && idle.conn.sender.ready().await.is_ok() {
                idle.conn.idle_for = idle.since.elapsed();
                return Some(idle.conn);
            }
        }
        None
    }

    /// A new connection.
    pub(super) async fn dial(
        &self,
        location: EndpointLocation,
        until: Option<Instant>,
    ) -> Result<PooledConnection, Outcome> {
        let slot = loop {
            match self.sockets.try_acquire(Side::Upstream) {
                Some(slot) => break slot,
                // The place comes free when the closed connection's task has ended.
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
        let io = TokioIo::new(Io(Rc::clone(&stream)));
        let handshake = Builder::new().max_buf_size(BUFFER_SIZE).handshake(io).await;
        let (sender, connection) = handshake.map_err(|_| Outcome::ConnectFailed)?;
        // How the connection ends is seen by the attempt on it; an idle one has nobody to tell.
        let task = spawn_local(async move { drop(connection.await) }).abort_handle();
        Ok(PooledConnection { sender, stream, task, idle_for: Duration::ZERO })
    }

    /// The one that became idle last, unless it has been for `max_idle`.
    pub(super) fn pop_idle(&self, endpoint: EndpointId, max_idle: Duration) -> Option<IdleConnection> {
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints.get_mut(&endpoint)?.idle.pop_if(|idle| idle.since.elapsed() < max_idle)
    }
}

/// The outcome of a dial that failed. Only some errors speak of the endpoint or the way to it; all others, as
/// where the system lacks a port, a descriptor, memory or a network, are no verdict on it: nothing was sent,
/// and the decisions hold the request.
pub(super) fn dial_outcome(error: &io::Error) -> Outcome {
    match error.kind() {
        _ if is_local_error(error) => Outcome::NeverSent,
        ErrorKind::NetworkUnreachable | ErrorKind::NetworkDown | ErrorKind::PermissionDenied => {
            Outcome::NeverSent
        }
        _ => Outcome::ConnectFailed,
    }
}
