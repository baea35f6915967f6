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
    pub(super) watched: Rc<MonitoredStream>,
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
    pub(super) async fn connection(
        &self,
        endpoint: EndpointId,
        place: EndpointLocation,
        until: Option<Instant>,
        max_idle: Option<Duration>,
    ) -> Result<PooledConnection, Outcome> {
        if let Some(conn) = self.reuse(endpoint, max_idle).await {
            return Ok(conn);
        }
        let dialled = self.dial(place, until).await;
        let in_time = until.is_none_or(|until| Instant::now() < until);
        if dialled.is_err() && max_idle.is_some() && in_time {
            return self.reuse(endpoint, None).await.map_or(dialled, Ok);
        }
        dialled
    }

    /// An idle connection that is sound and has not been idle for `max_idle`.
    pub(super) async fn reuse(
        &self,
        endpoint: EndpointId,
        max_idle: Option<Duration>,
    ) -> Option<PooledConnection> {
        let max_idle = max_idle.map_or(self.idle_most, |max_idle| max_idle.min(self.idle_most));
        while let Some(mut idle) = self.pop(endpoint, max_idle) {
            // Nothing was written to it yet: taking another one is no repeat.
            if idle.conn.watched.is_quiet() && idle.conn.sender.ready().await.is_ok() {
                idle.conn.idle_for = idle.since.elapsed();
                return Some(idle.conn);
            }
        }
        None
    }

    /// A new connection.
    pub(super) async fn dial(
        &self,
        place: EndpointLocation,
        until: Option<Instant>,
    ) -> Result<PooledConnection, Outcome> {
        let slot = loop {
            match self.sockets.place(Side::Upstream) {
                Some(slot) => break slot,
                // The place comes free when the closed connection's task has ended.
                None if self.evict_idle() => tokio::task::yield_now().await,
                None => return Err(Outcome::NeverSent),
            }
        };
        let most = Instant::now() + self.dial_most;
        let most = until.map_or(most, |until| until.min(most));
        let dialled = timeout_at(most, TcpStream::connect(place.address));
        let stream = match dialled.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(dial_outcome(&error)),
            Err(_) => return Err(Outcome::ConnectFailed),
        };
        let watched = MonitoredStream::new(stream, slot);
        let io = TokioIo::new(Io(Rc::clone(&watched)));
        let made = Builder::new().max_buf_size(BUFFER_SIZE).handshake(io).await;
        let (sender, connection) = made.map_err(|_| Outcome::ConnectFailed)?;
        // How the connection ends is seen by the attempt on it; an idle one has nobody to tell.
        let task = spawn_local(async move { drop(connection.await) }).abort_handle();
        Ok(PooledConnection { sender, watched, task, idle_for: Duration::ZERO })
    }

    /// The one that became idle last, unless it has been for `max_idle`.
    pub(super) fn pop(&self, endpoint: EndpointId, max_idle: Duration) -> Option<IdleConnection> {
        let mut table = self.table.borrow_mut();
        table.get_mut(&endpoint)?.idle.pop_if(|idle| idle.since.elapsed() < max_idle)
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
