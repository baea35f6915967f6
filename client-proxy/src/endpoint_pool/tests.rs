use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::mpsc::channel;

use socket2::SockRef;
use tokio::task::{LocalSet, yield_now};

use balancer::Outcome;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::*;
use crate::monitored_stream::MonitoredStream;
use crate::socket_budget::Side;
use crate::upstream_request::UpstreamRequest;

/// Reads a request without a body and responds to it.
fn read_request_and_respond(stream: &mut std::net::TcpStream, headers: &str, body: &str) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("no request arrived");
        head.extend(byte);
    }
    write_response(stream, headers, body);
}

fn write_response(stream: &mut std::net::TcpStream, headers: &str, body: &str) {
    let response = format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(response.as_bytes()).expect("could not write");
}

fn body(result: &AttemptResult) -> &[u8] {
    match &result.served.as_ref().expect("no response").body {
        UpstreamBody::Buffered(body) => body,
        UpstreamBody::Streamed(_) => panic!("the response is streamed"),
    }
}

/// Until a connection that was returned to the pool has given up its buffers, in a task of its own.
async fn wait_until_idle() {
    for _ in 0..100 {
        yield_now().await;
    }
}

/// What arrives on an idle connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Input {
    /// An unsolicited response.
    Stray,
    Close,
    Reset,
}

/// The system has received an unsolicited response or the end of the connection, but no task was notified
/// of it when the connection is to be reused. The response would be taken for that of the next request, or
/// the request would be written to a dead connection.
#[test]
fn idle_connection_with_input_is_not_reused() {
    for input in [Input::Stray, Input::Close, Input::Reset] {
        assert_not_reused_after(input);
    }
}

fn assert_not_reused_after(input: Input) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("could not build the runtime"), async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
        let address = listener.local_addr().expect("no local address");
        let (release, gate) = channel::<()>();
        let server = std::thread::spawn(move || {
            let (mut first, _) = listener.accept().expect("accept failed");
            read_request_and_respond(&mut first, "", "first");
            gate.recv().expect("the test has ended");
            match input {
                Input::Stray => write_response(&mut first, "", "stray"),
                Input::Close => {}
                Input::Reset => SockRef::from(&first).set_linger(Some(Duration::ZERO)).expect("set_linger"),
            }
            let _open = Some(first).filter(|_| input == Input::Stray);
            let (mut second, _) = listener.accept().expect("accept failed");
            read_request_and_respond(&mut second, "", "second");
        });
        let endpoints =
            EndpointPool::new(SocketBudget::new(1024, 0), Rc::new(MemoryBudget::new(1 << 20)), 1e6, 1e4);
        let endpoint = EndpointId(0);
        endpoints.set_location(endpoint, EndpointLocation { address, since_ms: 0, serving: true });
        let request = Rc::new(UpstreamRequest::empty(Duration::from_secs(20)));
        let result = endpoints.attempt(endpoint, &request, None).await;
        assert_eq!(body(&result), b"first");
        wait_until_idle().await;
        release.send(()).expect("the server thread has ended");
        // From here on the runtime does not poll any socket until the connection is taken from the pool.
        while endpoints.endpoints.borrow()[&endpoint].idle[0].stream.is_quiet() {
            std::thread::yield_now();
        }
        let result = endpoints.attempt(endpoint, &request, None).await;
        assert_eq!(result.outcome, Outcome::Served, "{input:?}");
        assert_eq!(body(&result), b"second", "{input:?}");
        server.join().expect("another task or thread panicked");
    });
}

const SHORT_RESPONSE: usize = 1_000;

/// What a long message has taken must not stay with its connection, what a short one has taken not for long, and a
/// response that the endpoint closes behind must not leave one.
#[test]
fn idle_connection_holds_no_buffers() {
    let long = "x".repeat(10_000);
    for (headers, text, is_kept) in
        [("", "first", true), ("", &long, true), ("Connection: Keep-Alive, close\r\n", "first", false)]
    {
        let sent = text.to_owned();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        LocalSet::new().block_on(&runtime.expect("could not build the runtime"), async {
            let listener = TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
            let address = listener.local_addr().expect("no local address");
            let server = std::thread::spawn(move || {
                let (mut stream, _) = listener.accept().expect("accept failed");
                read_request_and_respond(&mut stream, headers, &sent);
                stream
            });
            let endpoints =
                EndpointPool::new(SocketBudget::new(1024, 0), Rc::new(MemoryBudget::new(1 << 20)), 1e6, 1e4);
            let location = EndpointLocation { address, since_ms: 0, serving: true };
            endpoints.set_location(EndpointId(0), location);
            let request = Rc::new(UpstreamRequest::empty(Duration::from_secs(20)));
            assert_eq!(body(&endpoints.attempt(EndpointId(0), &request, None).await), text.as_bytes());
            if text.len() < SHORT_RESPONSE {
                let _ = timeout(2 * SWEEP_INTERVAL, Rc::clone(&endpoints).sweep()).await;
            }
            wait_until_idle().await;
            let known = &endpoints.endpoints.borrow()[&EndpointId(0)];
            assert_eq!(known.idle.len(), usize::from(is_kept), "{headers:?}");
            for idle in &known.idle {
                assert_eq!(Rc::strong_count(&idle.stream), 1, "the HTTP connection still has the stream");
            }
            drop(server.join().expect("another task or thread panicked"));
        });
    }
}

/// Both ends of a client connection.
fn client() -> (Rc<MonitoredStream>, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
    let peer = std::net::TcpStream::connect(listener.local_addr().expect("no local address"))
        .expect("could not connect");
    let (accepted, _) = listener.accept().expect("accept failed");
    accepted.set_nonblocking(true).expect("invalid socket");
    let permit = SocketBudget::new(1024, 0).try_acquire(Side::Client).expect("no socket permit");
    (
        MonitoredStream::new(TcpStream::from_std(accepted).expect("could not register the socket"), permit),
        peer,
    )
}

/// The client disconnects, or its deadline passes, after the last check of the attempt and before the task
/// of the connection writes; the process is delayed between the two, and the runtime has not polled its
/// sockets since. There must be no attempt for it.
#[test]
fn disconnect_before_the_write_prevents_the_attempt() {
    #[derive(Clone, Copy, Debug)]
    enum Departure {
        Closed,
        HalfClosed,
        Reset,
        DeadlinePassed,
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("could not build the runtime");
    for departure in [Departure::Closed, Departure::HalfClosed, Departure::Reset, Departure::DeadlinePassed] {
        LocalSet::new().block_on(&runtime, async {
            let listener = TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
            let address = listener.local_addr().expect("no local address");
            let server = std::thread::spawn(move || {
                let (mut stream, _) = listener.accept().expect("accept failed");
                read_request_and_respond(&mut stream, "", "first");
                let mut received = vec![0; 1024];
                let read = stream.read(&mut received).expect("could not read");
                received.truncate(read);
                received
            });
            let endpoints =
                EndpointPool::new(SocketBudget::new(1024, 0), Rc::new(MemoryBudget::new(1 << 20)), 1e6, 1e4);
            let endpoint = EndpointId(0);
            endpoints.set_location(endpoint, EndpointLocation { address, since_ms: 0, serving: true });
            let long = Duration::from_secs(20);
            assert_eq!(
                body(&endpoints.attempt(endpoint, &Rc::new(UpstreamRequest::empty(long)), None).await),
                b"first"
            );
            wait_until_idle().await;
            let deadline =
                if matches!(departure, Departure::DeadlinePassed) { Duration::from_millis(40) } else { long };
            let (stream, peer) = client();
            let request = Rc::new(UpstreamRequest {
                client: Some(Rc::clone(&stream)),
                ..UpstreamRequest::empty(deadline)
            });
            let mut attempt = Box::pin(endpoints.attempt(endpoint, &request, None));
            tokio::select! {
                biased;
                _ = &mut attempt => panic!("the attempt ended before its response"),
                _ = std::future::ready(()) => {}
            }
            // From here to the write the runtime does not run, so it is not notified of the client.
            match departure {
                Departure::Closed => drop(peer),
                Departure::HalfClosed => peer.shutdown(std::net::Shutdown::Write).expect("shutdown failed"),
                Departure::Reset => {
                    let linger = Some(Duration::ZERO);
                    socket2::SockRef::from(&peer).set_linger(linger).expect("invalid socket");
                    drop(peer);
                }
                Departure::DeadlinePassed => std::thread::sleep(2 * deadline),
            }
            while !matches!(departure, Departure::DeadlinePassed) && stream.is_quiet() {
                std::thread::yield_now();
            }
            let result = attempt.await;
            assert_eq!(server.join().expect("another task or thread panicked"), b"", "{departure:?}");
            assert_eq!(result.outcome, Outcome::NeverSent, "{departure:?}");
        });
    }
}

/// An attempt that cannot begin for a local reason must neither count as a slow endpoint nor stay in
/// flight. It ends at once, and the load-balancing core keeps the request.
#[test]
fn locally_failed_attempt_ends_as_never_sent() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("could not build the runtime"), async {
        let (free, full) = (SocketBudget::new(1024, 0), SocketBudget::new(0, 0));
        let _all: Vec<_> = std::iter::from_fn(|| full.try_acquire(Side::Upstream)).collect();
        // A link-local address without its interface cannot be dialed.
        for (sockets, address) in [(free, "[fe80::1]:9"), (full, "127.0.0.1:9")] {
            let endpoints = EndpointPool::new(sockets, Rc::new(MemoryBudget::new(1 << 20)), 1e6, 1e4);
            let address = address.parse().expect("invalid address");
            endpoints.set_location(EndpointId(0), EndpointLocation { address, since_ms: 0, serving: true });
            let request = Rc::new(UpstreamRequest::empty(Duration::from_secs(20)));
            let begun = Instant::now();
            let result = endpoints.attempt(EndpointId(0), &request, None).await;
            assert_eq!((result.outcome, begun.elapsed()), (Outcome::NeverSent, Duration::ZERO), "{address}");
        }
    });
}
