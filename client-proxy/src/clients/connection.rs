//! One client connection, from its accept to its close. It has an HTTP connection, with buffers, only from the arrival
//! of a request's head until it is at rest again.

use std::rc::Rc;

use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::time::{Instant, timeout};

use super::client_io::ClientIo;
use super::connection_state::ConnectionState;
use super::{ClientContext, LINGER_TIME, respond_to};
use crate::diagnostics::CloseReason;
use crate::endpoint_pool::BUFFER_SIZE;
use crate::memory_budget::ExchangePermit;
use crate::monitored_stream::{Arrival, MonitoredStream};
use crate::request_body::MEMORY_TIMEOUT;
use crate::shutdown::Shutdown;

/// Response to a partial request when there is no time or memory left to read the rest. It was never forwarded, so a
/// retry is safe.
const UNREAD_REQUEST_REJECTED: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Why HTTP processing on a connection ended.
enum HttpEnd {
    /// The client closed the connection or broke the protocol.
    Finished,
    /// The client does not read its response or does not send its request.
    Stalled(CloseReason),
    /// The process is shutting down, and no response is pending.
    Closable,
    /// The connection is at rest. Its buffers are given up, as they may have grown to the size of a long message.
    AtRest,
}

/// What follows the end of HTTP processing.
enum Next {
    /// Requests, or parts of one, of so many bytes are unread.
    Serve { unread: usize },
    /// The next request is waited for.
    Wait,
    /// The connection is closed once the client has read its responses.
    Close(CloseReason),
    /// The client does not take part any more, and the connection is closed at once.
    Abort(CloseReason),
}

/// Serves one client connection until it ends. The queue of accepted connections was last empty at
/// `queue_last_empty`.
pub(crate) async fn connection(
    stream: Rc<MonitoredStream>,
    context: Rc<ClientContext>,
    queue_last_empty: Instant,
) {
    // Asked of the system, since the runtime may not have been notified yet. Data that is there already may
    // have waited since before the connection was accepted.
    if !stream.is_quiet() {
        stream.set_unread_since(queue_last_empty);
    }
    let conn = Rc::new(ConnectionState::new(Rc::clone(&stream)));
    // No request is unread before the first one.
    conn.request_end().mark_reached();
    let kill_imminent = &context.shutdown.kill_imminent;
    let mut unread_before = 0;
    let reason = loop {
        let next = match wait_for_exchange(&conn, &context).await {
            Ok(exchange) => {
                let next = serve_requests(&conn, &context, exchange).await;
                conn.unsent_memory.take();
                next
            }
            Err(next) => next,
        };
        let unread = match next {
            Next::Serve { unread } => unread,
            Next::Wait => continue,
            Next::Close(reason) => break reason,
            Next::Abort(reason) => {
                context.driver.diagnostics().connection_closed(reason);
                return;
            }
        };
        if unread == 0 {
            break match context.shutdown.draining.is_cancelled() {
                true => CloseReason::Shutdown,
                false => CloseReason::AskedToReconnect,
            };
        }
        if kill_imminent.is_cancelled() && unread == unread_before {
            // A partial request; the rest of it would arrive too late.
            stream.write_now(UNREAD_REQUEST_REJECTED);
            break CloseReason::Shutdown;
        }
        unread_before = unread;
    };
    context.driver.diagnostics().connection_closed(reason);
    // Closing over an unread rest of a request would reset the connection, and the client could lose the
    // response.
    stream.drain(LINGER_TIME).await;
}

/// A connection that serves requests, with the memory for it.
struct Exchange {
    is_head_long: bool,
    /// Absent when SIGKILL is imminent: the request is rejected at once.
    _memory: Option<ExchangePermit>,
}

/// Waits until the head of a request has arrived and there is memory to serve it. Otherwise says what follows.
async fn wait_for_exchange(conn: &ConnectionState, context: &ClientContext) -> Result<Exchange, Next> {
    let is_head_long = wait_for_head(conn, &context.shutdown).await?;
    conn.head_arrived_at.set((!is_head_long).then(Instant::now));
    tokio::select! {
        biased;
        reserved = timeout(MEMORY_TIMEOUT, context.memory.exchanges.reserve(is_head_long)) => match reserved {
            Ok(memory) => Ok(Exchange { is_head_long, _memory: memory }),
            Err(_) => {
                // The request may be complete behind what has been read of it.
                conn.stream.write_now(UNREAD_REQUEST_REJECTED);
                Err(Next::Close(CloseReason::NoMemory))
            }
        },
        _ = context.shutdown.kill_imminent.cancelled() => Ok(Exchange { is_head_long, _memory: None }),
    }
}

/// Waits until the head of a request has arrived, and returns whether it is a long one, of which the beginning is
/// enough. Otherwise says what follows.
async fn wait_for_head(conn: &ConnectionState, shutdown: &Shutdown) -> Result<bool, Next> {
    tokio::select! {
        biased;
        arrival = conn.stream.wait_for_head() => match arrival {
            Arrival::Head => Ok(false),
            Arrival::LongHead => Ok(true),
            Arrival::End => Err(Next::Close(CloseReason::ByClient)),
        },
        _ = conn.wait_for_head_timeout() => Err(Next::Abort(CloseReason::HeadTimeout)),
        // On a new connection the runtime has not been notified of what arrived before.
        _ = wait_until_closable(conn, shutdown) => Err(Next::Serve { unread: conn.stream.query_read_ahead() }),
    }
}

/// Waits until the process is shutting down and the connection may be closed.
async fn wait_until_closable(conn: &ConnectionState, shutdown: &Shutdown) {
    shutdown.draining.cancelled().await;
    conn.wait_until_closable(&shutdown.kill_imminent).await;
}

/// Serves requests until the connection ends or is at rest.
async fn serve_requests(conn: &Rc<ConnectionState>, context: &Rc<ClientContext>, exchange: Exchange) -> Next {
    let mut builder = Builder::new();
    // A client that has shut down its writing side may still read its response. `ConnectionState` detects
    // whether it has disconnected.
    builder.timer(TokioTimer::new()).header_read_timeout(None).max_buf_size(BUFFER_SIZE).half_close(true);
    conn.has_long_head.set(false);
    conn.yields_memory.set(false);
    let io = ClientIo::new(conn, context, exchange.is_head_long);
    let close_responses_before = conn.close_responses.get();
    let service = service_fn(|request| respond_to(request, Rc::clone(context), Rc::clone(conn)));
    let mut http = builder.serve_connection(TokioIo::new(io), service);
    let end = serve_http(&mut http, conn, &context.shutdown).await;
    let is_end_reached = match end {
        // The last response asked the client to reconnect (`Connection: close`), which ends HTTP
        // processing, but requests pipelined behind it may have been read already.
        HttpEnd::Finished if conn.close_responses.get() > close_responses_before => {
            conn.request_end().wait_until_reached(LINGER_TIME).await
        }
        HttpEnd::Finished => return Next::Close(CloseReason::ByClient),
        HttpEnd::Stalled(reason) => return Next::Abort(reason),
        HttpEnd::Closable => {
            conn.request_end().finish_buffered();
            conn.request_end().is_reached()
        }
        HttpEnd::AtRest => true,
    };
    if !is_end_reached {
        // The unread rest of the body would be parsed as the next request.
        return Next::Close(CloseReason::UnreadBody);
    }
    // hyper has read pipelined requests, or part of one, into its buffer. They are put back and served by a new HTTP
    // connection.
    let unread = conn.stream.put_back(&http.into_parts().read_buf);
    match end {
        HttpEnd::AtRest => Next::Wait,
        _ => Next::Serve { unread },
    }
}

/// Serves requests until the client closes the connection, or the connection is at rest or idle during shutdown.
async fn serve_http<H: Future + Unpin>(http: &mut H, conn: &ConnectionState, shutdown: &Shutdown) -> HttpEnd {
    tokio::select! {
        biased;
        // A client that disconnects or sends invalid HTTP (which gets 400) affects only its own connection.
        _ = http => HttpEnd::Finished,
        // So does a client that does not read its responses or send its request in time.
        _ = conn.wait_for_read_timeout() => HttpEnd::Stalled(CloseReason::ReadTimeout),
        _ = conn.wait_for_head_timeout() => HttpEnd::Stalled(CloseReason::HeadTimeout),
        never = conn.drain_bodies() => match never {},
        _ = conn.wait_for_rest() => HttpEnd::AtRest,
        // hyper closes an idle connection at once on graceful shutdown. A request that has arrived but was not
        // read yet, or only in part, would be lost.
        _ = wait_until_closable(conn, shutdown) => HttpEnd::Closable,
    }
}
