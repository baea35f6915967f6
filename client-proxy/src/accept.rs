//! The listening socket: the accept loop, and draining the kernel's accept queue at shutdown.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};
use tokio_util::task::TaskTracker;

use crate::clients::{ClientContext, connection};
use crate::monitored_stream::MonitoredStream;
use crate::socket_budget::{Side, SocketPermit};

/// Backoff after a failed `accept`, and its maximum after several failures in a row.
const MIN_ACCEPT_BACKOFF: Duration = Duration::from_millis(1);
const MAX_ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// How long connections are accepted after SIGKILL has become imminent.
const LAST_ACCEPT_PERIOD: Duration = Duration::from_secs(1);
/// Length of the kernel's accept queue.
const ACCEPT_QUEUE: u32 = 1024;

/// Accepts connections until shutdown (`terminating` on a shared listening socket, `draining` otherwise),
/// then waits for all connections to end.
pub async fn serve(listener: TcpListener, context: Rc<ClientContext>) {
    let connections = TaskTracker::new();
    let last_empty = Cell::new(Instant::now());
    let serve_connection = |stream, slot| {
        let stream = MonitoredStream::new(stream, slot);
        connections.spawn_local(connection(stream, Rc::clone(&context), last_empty.get()));
    };
    let stop =
        if context.listener_shared { &context.shutdown.terminating } else { &context.shutdown.draining };
    let mut ready = context.ready.clone();
    let mut backoff = AcceptBackoff::default();
    loop {
        let next = async {
            if context.listener_shared {
                // On a shared socket the other process may already be ready. A connection that this process
                // accepted before it is ready itself would get 503 instead.
                let _ = ready.wait_for(|ready| *ready).await;
            }
            let slot = acquire_client_slot(&context).await;
            let accepted = accept(&listener, &last_empty).await;
            if accepted.is_err() {
                backoff.wait().await;
            }
            accepted.ok().map(|stream| (stream, slot))
        };
        tokio::select! {
            biased;
            _ = stop.cancelled() => break,
            accepted = next => if let Some((stream, slot)) = accepted {
                backoff = AcceptBackoff::default();
                serve_connection(stream, slot);
            }
        }
    }
    if !context.listener_shared {
        drain_accept_queue(|| accept_now(&listener), &context, serve_connection).await;
    }
    drop(listener);
    connections.close();
    connections.wait().await;
}

/// Backoff after a failed `accept`, doubled each time. Without it the loop would spin while the system is out
/// of descriptors or memory; starting low keeps the wait short if a client merely disconnected before it was
/// accepted.
struct AcceptBackoff(Duration);

impl Default for AcceptBackoff {
    fn default() -> AcceptBackoff {
        AcceptBackoff(MIN_ACCEPT_BACKOFF)
    }
}

impl AcceptBackoff {
    async fn wait(&mut self) {
        sleep(self.0).await;
        self.0 = (self.0 * 2).min(MAX_ACCEPT_BACKOFF);
    }
}

/// Accepts with a system call now, even if the runtime has not yet been notified that the listener is
/// readable.
pub(crate) fn accept_now(listener: &TcpListener) -> io::Result<TcpStream> {
    let (stream, _) = SockRef::from(listener).accept()?;
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream.into())
}

/// Accepts the connections that the kernel has completed but the accept loop has not taken. Closing the
/// listener over them would reset them and lose their requests.
///
/// Goes on until the queue is empty, whatever other error `accept` returns; without a free slot it waits until another
/// connection has ended. Once SIGKILL is imminent connections are still accepted, as each request gets its final
/// response at once, but for [`LAST_ACCEPT_PERIOD`] at most and up to the first error of the system, so that clients
/// that keep reconnecting do not prevent the exit.
pub(crate) async fn drain_accept_queue(
    mut accept: impl FnMut() -> io::Result<TcpStream>,
    context: &ClientContext,
    serve_connection: impl Fn(TcpStream, SocketPermit),
) {
    let kill_imminent = &context.shutdown.kill_imminent;
    let mut accepted = 0;
    let drained = async {
        let mut backoff = AcceptBackoff::default();
        loop {
            let slot = acquire_client_slot(context).await;
            match accept() {
                Ok(stream) => {
                    serve_connection(stream, slot);
                    accepted += 1;
                    backoff = AcceptBackoff::default();
                    // Requests are served between two connections, however many there are.
                    tokio::task::yield_now().await;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return true,
                Err(error) if kill_imminent.is_cancelled() && !concerns_one_connection(&error) => {
                    return false;
                }
                Err(_) => backoff.wait().await,
            }
        }
    };
    let time_over = async {
        kill_imminent.cancelled().await;
        sleep(LAST_ACCEPT_PERIOD).await;
        false
    };
    let is_empty = tokio::select! {
        biased;
        is_empty = drained => is_empty,
        is_empty = time_over => is_empty,
    };
    if accepted > 0 || !is_empty {
        tracing::info!(accepted, is_empty, "accept queue closed");
    }
}

/// Whether `accept` failed for a connection that its client has given up, or was interrupted: the next one may succeed.
fn concerns_one_connection(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted)
}

/// Accepts the next connection. Records in `last_empty` when the kernel's queue was last known to be empty:
/// the runtime wakes this task as soon as a connection arrives.
async fn accept(listener: &TcpListener, last_empty: &Cell<Instant>) -> io::Result<TcpStream> {
    let mut was_empty = false;
    let accepted = std::future::poll_fn(|cx| {
        let polled = listener.poll_accept(cx);
        was_empty |= polled.is_pending();
        polled
    })
    .await;
    if was_empty {
        last_empty.set(Instant::now());
    }
    accepted.map(|(stream, _)| stream)
}

/// Takes a descriptor slot for one more client, evicting idle upstream connections if the budget is used up.
async fn acquire_client_slot(context: &ClientContext) -> SocketPermit {
    loop {
        if let Some(slot) = context.sockets.try_acquire(Side::Client) {
            return slot;
        }
        if context.sockets.is_full() && context.endpoints.evict_idle() {
            tokio::task::yield_now().await;
        } else {
            context.sockets.slot_freed().await;
        }
    }
}

/// Binds exactly this address, with an accept queue that absorbs a burst of connections.
///
/// # Errors
/// As returned by the system.
pub fn listen(address: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket =
        if address.is_ipv4() { tokio::net::TcpSocket::new_v4() } else { tokio::net::TcpSocket::new_v6() }?;
    // Connections of an earlier process may remain in TIME_WAIT for a minute; without SO_REUSEADDR the bind
    // would fail until then.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE)
}

#[cfg(test)]
mod tests;
