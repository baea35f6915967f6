use std::cell::Cell;
use std::convert::Infallible;
use std::io::{Read, Write};
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

use super::*;
use crate::clients::connection_state::tests::connection_state;
use crate::clients::tests::run;
use crate::endpoint_pool::response::StreamedResponseBody;
use crate::monitored_stream::Io;
use crate::response_forwarding::PendingResponse;
use crate::upstream_request::UpstreamRequest;

/// The response of an endpoint that has begun it and then does what `end` says; also a tracker that shows
/// when the connection to that endpoint has ended.
async fn started_response(
    end: impl FnOnce(std::net::TcpStream) + Send + 'static,
) -> (StreamedResponseBody, TaskTracker) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
    let address = listener.local_addr().expect("no local address");
    std::thread::spawn(move || {
        let mut stream = listener.accept().expect("accept failed").0;
        let _ = stream.read(&mut [0; 1024]).expect("no request arrived");
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n";
        stream.write_all(head).expect("could not write");
        end(stream);
    });
    let stream = tokio::net::TcpStream::connect(address).await.expect("could not connect");
    let io = TokioIo::new(stream);
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(io).await.expect("the handshake failed");
    let connection_closed = TaskTracker::new();
    connection_closed.spawn_local(connection);
    connection_closed.close();
    let request = Request::new(http_body_util::Empty::<Bytes>::new());
    let mut body = sender.send_request(request).await.expect("no response").into_body();
    let first = http_body_util::BodyExt::frame(&mut body).await.expect("no body frame").expect("invalid");
    (StreamedResponseBody::new(first.into_data().expect("not a data frame"), body, None), connection_closed)
}

/// A forwarder for the response to a request that just came, of a client that waits for 400 ms.
fn forwarder() -> ResponseForwarder {
    let request = UpstreamRequest::empty(Duration::from_millis(400));
    PendingResponse::new(Rc::new(request), Duration::ZERO).start_forwarding(None)
}

fn response_body(streamed: StreamedResponseBody) -> ResponseBody {
    ResponseBody {
        body: UpstreamBody::Streamed(Box::new(streamed)),
        forwarder: Some(forwarder()),
        ..ResponseBody::buffered("")
    }
}

/// The response breaks off as soon as it has begun, and what was passed to the writer would be discarded
/// with it. The client would get no response at all.
#[test]
fn response_broken_at_its_start_has_begun() {
    run(async {
        let (streamed, connection_closed) = started_response(drop).await;
        connection_closed.wait().await;
        let (connection_state, mut client) = connection_state().await;
        client.write_all(b"GET / HTTP/1.1\r\nHost: origin.svc\r\n\r\n").expect("could not write");
        let streamed = Cell::new(Some(streamed));
        let service = service_fn(|_| {
            let mut response = response_body(streamed.take().expect("more than one request"));
            response.active_request = Some(connection_state.begin_request());
            async { Ok::<_, Infallible>(Response::new(response)) }
        });
        let io = TokioIo::new(Io(Rc::clone(&connection_state.stream)));
        assert!(
            Builder::new().serve_connection(io, service).await.is_err(),
            "the client can see that the response is truncated"
        );
        drop(connection_state);
        let mut received = String::new();
        client.read_to_string(&mut received).expect("the connection was reset");
        assert!(received.starts_with("HTTP/1.1 200 "), "{received:?}");
        assert!(!received.ends_with("0\r\n\r\n"), "{received:?}");
    });
}

/// The endpoint stalls in a streamed response and keeps its connection open. The response must still be
/// ended within half a second, and 50 ms for a real network, less 150 ms for which the process may be stalled.
#[test]
fn stalled_response_is_ended_in_time() {
    run(async {
        let (release, released) = std::sync::mpsc::channel::<()>();
        let (streamed, _connection_closed) =
            started_response(move |stream| drop((released.recv(), stream))).await;
        tokio::time::pause();
        let (start, mut response) = (Instant::now(), response_body(streamed));
        let mut next = async || std::future::poll_fn(|cx| Pin::new(&mut response).poll_frame(cx)).await;
        assert!(matches!(next().await, Some(Ok(_))));
        assert!(matches!(next().await, Some(Err(ResponseError::Overdue))));
        // Timers have a resolution of a millisecond.
        let took = start.elapsed().as_millis();
        assert!((800..=801).contains(&took), "{took} ms");
        drop(release);
    });
}
