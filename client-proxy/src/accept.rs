//! The listening socket: the accept loop, and what waits in the system's queue when the process ends.

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

/// The wait after an `accept` that failed, and after several in a row.
const MIN_ACCEPT_BACKOFF: Duration = Duration::from_millis(1);
const MAX_ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Connections that the system accepts ahead of us.
const ACCEPT_QUEUE: u32 = 1024;

/// Accepts connections until `closing`, then lets each end as it goes idle and waits for all to end.
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
                // Guards against requests refused by a process that is just starting, beside one that would
                // serve.
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

/// A wait after an `accept` that failed, longer each time. Guards against spinning where the system is out of
/// descriptors or memory, and against a long wait after a client that merely left at once.
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

/// Asks the system at this moment, whatever the runtime has been told of the listener so far.
pub(crate) fn accept_now(listener: &TcpListener) -> io::Result<TcpStream> {
    let (stream, _) = SockRef::from(listener).accept()?;
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream.into())
}

/// Takes in what the system has accepted already.
///
/// Guards against requests lost in that queue: only an empty queue ends it, whatever else goes wrong with
/// `accept`, and where there is no place a connection waits until another one has ended. No more are accepted
/// than the queue held at its fullest, and none after the last call, so that clients that come again and
/// again don't keep the process.
pub(crate) async fn drain_accept_queue(
    mut accept: impl FnMut() -> io::Result<TcpStream>,
    context: &ClientContext,
    serve_connection: impl Fn(TcpStream, SocketPermit),
) {
    let drained = async {
        let (mut backoff, mut accepted) = (AcceptBackoff::default(), 0);
        while accepted <= ACCEPT_QUEUE {
            let slot = acquire_client_slot(context).await;
            match accept() {
                Ok(stream) => {
                    serve_connection(stream, slot);
                    accepted += 1;
                    backoff = AcceptBackoff::default();
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => backoff.wait().await,
            }
        }
    };
    tokio::select! {
        biased;
        _ = context.shutdown.kill_imminent.cancelled() => {}
        _ = drained => {}
    }
}

/// The next connection. Notes in `last_empty` when the queue of the system was last known to hold none: the
/// runtime wakes us as soon as one comes.
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

/// A place for one more client, made by closing idle connections to endpoints where there is none.
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

/// Binds the address and no other, with a queue that holds a burst.
///
/// # Errors
/// As the system says.
pub fn listen(address: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket =
        if address.is_ipv4() { tokio::net::TcpSocket::new_v4() } else { tokio::net::TcpSocket::new_v6() }?;
    // Guards against the remains of an earlier start's connections, which would hold the address for a
    // minute.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE)
}

#[cfg(test)]
mod tests;
