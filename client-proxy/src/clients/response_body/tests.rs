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
use crate::clients::connection_state::tests::door;
use crate::clients::tests::run;
use crate::endpoint_pool::response::StreamedResponseBody;
use crate::monitored_stream::Io;
use crate::response_forwarding::PendingResponse;
use crate::upstream_request::UpstreamRequest;

/// The answer of an endpoint that has begun it and then does as `end` says, as far as it has come; and what
/// shows that the connection to that endpoint has ended.
async fn begun(
    end: impl FnOnce(std::net::TcpStream) + Send + 'static,
) -> (StreamedResponseBody, TaskTracker) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        let mut stream = listener.accept().expect("a connection").0;
        let _ = stream.read(&mut [0; 1024]).expect("a request");
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n";
        stream.write_all(head).expect("written");
        end(stream);
    });
    let stream = tokio::net::TcpStream::connect(address).await.expect("accepted");
    let io = TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.expect("no words yet");
    let ended = TaskTracker::new();
    ended.spawn_local(connection);
    ended.close();
    let request = Request::new(http_body_util::Empty::<Bytes>::new());
    let mut body = sender.send_request(request).await.expect("an answer").into_body();
    let first = http_body_util::BodyExt::frame(&mut body).await.expect("a piece").expect("sound");
    (StreamedResponseBody::new(first.into_data().expect("data"), body, None), ended)
}

/// For the answer to a request that came just now, of a client that waits for 400 ms.
fn forwarder() -> ResponseForwarder {
    let order = UpstreamRequest::empty(Duration::from_millis(400));
    PendingResponse::new(Rc::new(order), Duration::ZERO).start_forwarding(None)
}

fn reply(rest: StreamedResponseBody) -> ResponseBody {
    ResponseBody {
        body: UpstreamBody::Streamed(Box::new(rest)),
        forwarder: Some(forwarder()),
        ..ResponseBody::buffered("")
    }
}

/// Guards against a request that has no answer at all: the break is known as soon as the answer is begun, and
/// what was handed to the writer goes down with it.
#[test]
fn an_answer_that_breaks_as_it_is_begun_has_begun_for_the_client() {
    run(async {
        let (rest, ended) = begun(drop).await;
        ended.wait().await;
        let (door, mut client) = door().await;
        client.write_all(b"GET / HTTP/1.1\r\nHost: origin.svc\r\n\r\n").expect("written");
        let rest = Cell::new(Some(rest));
        let service = service_fn(|_| {
            let mut reply = reply(rest.take().expect("one request"));
            reply.active_request = Some(door.begin_request());
            async { Ok::<_, Infallible>(Response::new(reply)) }
        });
        let io = TokioIo::new(Io(Rc::clone(&door.stream)));
        assert!(Builder::new().serve_connection(io, service).await.is_err(), "the client can tell");
        drop(door);
        let mut seen = String::new();
        client.read_to_string(&mut seen).expect("all of it");
        assert!(seen.starts_with("HTTP/1.1 200 "), "{seen:?}");
        assert!(!seen.ends_with("0\r\n\r\n"), "{seen:?}");
    });
}

/// Guards against a passed-on answer that nobody ends: its endpoint has fallen silent, its connection stays
/// open.
#[test]
fn an_answer_that_falls_silent_is_ended_when_the_time_is_up() {
    run(async {
        let (hold, held) = std::sync::mpsc::channel::<()>();
        let (rest, _ended) = begun(move |stream| drop((held.recv(), stream))).await;
        tokio::time::pause();
        let (start, mut reply) = (Instant::now(), reply(rest));
        let mut next = async || std::future::poll_fn(|cx| Pin::new(&mut reply).poll_frame(cx)).await;
        assert!(matches!(next().await, Some(Ok(_))));
        assert!(matches!(next().await, Some(Err(ResponseError::Stalled))));
        // Timers go by whole milliseconds.
        let took = start.elapsed().as_millis();
        assert!((400..=401).contains(&took), "{took} ms");
        drop(hold);
    });
}
