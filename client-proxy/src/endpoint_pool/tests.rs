use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::mpsc::channel;

use socket2::SockRef;
use tokio::task::{LocalSet, yield_now};

use balancer::Outcome;
use tokio::net::TcpStream;

use super::*;
use crate::monitored_stream::MonitoredStream;
use crate::socket_budget::Side;
use crate::upstream_request::UpstreamRequest;

/// Reads a request without a body and answers it.
fn answer(stream: &mut std::net::TcpStream, body: &str) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("a request");
        head.extend(byte);
    }
    say(stream, body);
}

fn say(stream: &mut std::net::TcpStream, body: &str) {
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(answer.as_bytes()).expect("written");
}

fn body(end: &AttemptResult) -> &[u8] {
    match &end.served.as_ref().expect("an answer").body {
        UpstreamBody::Buffered(body) => body,
        UpstreamBody::Streamed(_) => panic!("it is a short one"),
    }
}

/// What comes over an idle connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Comes {
    /// An answer to nobody.
    Stray,
    Close,
    Reset,
}

/// Guards against an answer to nobody that is taken for the next one, and against a request written to a
/// connection that its endpoint has ended: the system has it, but no task was told of it when the connection
/// is to be used again.
#[test]
fn a_connection_over_which_something_has_come_unnoticed_is_not_used() {
    for comes in [Comes::Stray, Comes::Close, Comes::Reset] {
        comes_unnoticed(comes);
    }
}

fn comes_unnoticed(comes: Comes) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let (go, gate) = channel::<()>();
        let server = std::thread::spawn(move || {
            let (mut first, _) = listener.accept().expect("a connection");
            answer(&mut first, "first");
            gate.recv().expect("word of the test");
            match comes {
                Comes::Stray => say(&mut first, "stray"),
                Comes::Close => {}
                Comes::Reset => SockRef::from(&first).set_linger(Some(Duration::ZERO)).expect("a socket"),
            }
            let _open = Some(first).filter(|_| comes == Comes::Stray);
            let (mut second, _) = listener.accept().expect("a new connection");
            answer(&mut second, "second");
        });
        let endpoints =
            EndpointPool::new(SocketBudget::new(1024, 0), Rc::new(MemoryBudget::new(1 << 20)), 1e6, 1e4);
        let endpoint = EndpointId(0);
        endpoints.set_location(endpoint, EndpointLocation { address, since_ms: 0, serving: true });
        let order = Rc::new(UpstreamRequest::empty(Duration::from_secs(20)));
        let end = endpoints.attempt(endpoint, &order, None).await;
        assert_eq!(body(&end), b"first");
        // Until it rests: the connection has asked for more and was told that there is nothing.
        for _ in 0..100 {
            yield_now().await;
        }
        go.send(()).expect("the server waits");
        // From here on the runtime is not asked for news of any socket until the connection is taken up.
        while endpoints.endpoints.borrow()[&endpoint].idle[0].conn.stream.is_quiet() {
            std::thread::yield_now();
        }
        let end = endpoints.attempt(endpoint, &order, None).await;
        assert_eq!(end.outcome, Outcome::Served, "{comes:?}");
        assert_eq!(body(&end), b"second", "{comes:?}");
        server.join().expect("no panic");
    });
}

/// A connection of a client, as the client proxy and the client have it.
fn client() -> (Rc<MonitoredStream>, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let theirs = std::net::TcpStream::connect(listener.local_addr().expect("bound")).expect("a connection");
    let (ours, _) = listener.accept().expect("a connection");
    ours.set_nonblocking(true).expect("a socket");
    let slot = SocketBudget::new(1024, 0).try_acquire(Side::Client).expect("a place");
    (MonitoredStream::new(TcpStream::from_std(ours).expect("registered"), slot), theirs)
}

/// Prevents an attempt for a client that left, or whose time ended, after the last look of the attempt itself
/// and before the connection's task had its turn to write, with a process held up between the two and a
/// runtime that has not asked for news of its sockets since.
#[test]
fn no_attempt_begins_for_a_client_that_left_right_before_the_write() {
    #[derive(Clone, Copy, Debug)]
    enum Left {
        Closed,
        HalfClosed,
        Reset,
        TimeIsUp,
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    for left in [Left::Closed, Left::HalfClosed, Left::Reset, Left::TimeIsUp] {
        LocalSet::new().block_on(&runtime, async {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            let address = listener.local_addr().expect("bound");
            let server = std::thread::spawn(move || {
                let (mut stream, _) = listener.accept().expect("a connection");
                answer(&mut stream, "first");
                let mut more = vec![0; 1024];
                let read = stream.read(&mut more).expect("bytes or an end");
                more.truncate(read);
                more
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
            let patience = if matches!(left, Left::TimeIsUp) { Duration::from_millis(40) } else { long };
            let (watched, theirs) = client();
            let order = Rc::new(UpstreamRequest {
                client: Some(Rc::clone(&watched)),
                ..UpstreamRequest::empty(patience)
            });
            let mut attempt = Box::pin(endpoints.attempt(endpoint, &order, None));
            tokio::select! {
                biased;
                _ = &mut attempt => panic!("nothing can have come back"),
                _ = std::future::ready(()) => {}
            }
            // From here to the write the runtime does nothing: what it was told of the client is out of date.
            match left {
                Left::Closed => drop(theirs),
                Left::HalfClosed => theirs.shutdown(std::net::Shutdown::Write).expect("open"),
                Left::Reset => {
                    let linger = Some(Duration::ZERO);
                    socket2::SockRef::from(&theirs).set_linger(linger).expect("a socket");
                    drop(theirs);
                }
                Left::TimeIsUp => std::thread::sleep(2 * patience),
            }
            while !matches!(left, Left::TimeIsUp) && watched.is_quiet() {
                std::thread::yield_now();
            }
            let end = attempt.await;
            assert_eq!(server.join().expect("no panic"), b"", "{left:?}");
            assert_eq!(end.outcome, Outcome::NeverSent, "{left:?}");
        });
    }
}

/// Prevents an attempt that waits for the system here from passing for one that its endpoint is slow with, or
/// that is still out: it ends at once, and the decisions hold the request.
#[test]
fn an_attempt_that_cannot_be_begun_here_ends_at_once_as_never_sent() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let (free, full) = (SocketBudget::new(1024, 0), SocketBudget::new(0, 0));
        let _all: Vec<_> = std::iter::from_fn(|| full.try_acquire(Side::Upstream)).collect();
        // A link-local address that does not say of which link cannot be dialled from anywhere.
        for (sockets, address) in [(free, "[fe80::1]:9"), (full, "127.0.0.1:9")] {
            let endpoints = EndpointPool::new(sockets, Rc::new(MemoryBudget::new(1 << 20)), 1e6, 1e4);
            let address = address.parse().expect("an address");
            endpoints.set_location(EndpointId(0), EndpointLocation { address, since_ms: 0, serving: true });
            let order = Rc::new(UpstreamRequest::empty(Duration::from_secs(20)));
            let begun = Instant::now();
            let end = endpoints.attempt(EndpointId(0), &order, None).await;
            assert_eq!((end.outcome, begun.elapsed()), (Outcome::NeverSent, Duration::ZERO), "{address}");
        }
    });
}
