mod unread_bodies;

use std::io::{Read, Write};

use socket2::{Domain, SockRef, Socket, Type};
use tokio::net::TcpListener;
use tokio::task::yield_now;

use super::connection_state::*;
use std::pin::Pin;

use super::*;
use crate::driver::tests::{driver, settings};
use crate::memory_budget::MemoryLimits;
use crate::monitored_stream::MonitoredStream;
use crate::socket_budget::Side;

pub(crate) fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("could not build the runtime"), test);
}

/// Both ends of a client connection. The client buffers so many bytes of responses that it has not read.
pub(crate) async fn connected_client(unread: usize) -> (Rc<MonitoredStream>, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("could not bind a loopback port");
    let client = Socket::new(Domain::IPV4, Type::STREAM, None).expect("invalid socket");
    client.set_recv_buffer_size(unread).expect("could not set the buffer size");
    client.connect(&listener.local_addr().expect("no local address").into()).expect("could not connect");
    let (stream, _) = listener.accept().await.expect("accept failed");
    let permit = SocketBudget::new(1024, 0).try_acquire(Side::Client).expect("no socket permit");
    (MonitoredStream::new(stream, permit), client.into())
}

pub(crate) const READY_REQUEST: &str = "GET /ready HTTP/1.1\r\nHost: p\r\n\r\n";

/// The context of client connections where nothing is forwarded.
pub(crate) fn context() -> Rc<ClientContext> {
    let limits = MemoryLimits { total: 32 << 20, program: 6 << 20, sockets: 256, processes: 1 };
    let (sockets, memory) = (SocketBudget::new(1024, 0), Rc::new(MemoryPools::new(&limits)));
    let endpoints = EndpointPool::new(Rc::clone(&sockets), Rc::clone(&memory.responses), 1000.0, 100.0);
    let (ready, shutdown) = (watch::channel(true).1, Shutdown::default());
    let names = Names { classes: vec!["look".to_owned()], ..Names::default() };
    let (driver, settings) = (driver(), settings());
    Rc::new(ClientContext {
        driver,
        settings,
        names,
        ready,
        sockets,
        memory,
        endpoints,
        listener_shared: false,
        shutdown,
    })
}

/// Polls the connection until one more response has been written and it is idle again, or until it has
/// ended.
async fn poll_until_answered(mut connection: Pin<&mut impl Future>, stream: &MonitoredStream) {
    let before = stream.written();
    let answered = async {
        while stream.written() == before {
            yield_now().await;
        }
        // The connection has tried to read and found nothing.
        for _ in 0..100 {
            yield_now().await;
        }
    };
    tokio::select! {
        _ = connection.as_mut() => {}
        _ = answered => {}
    }
}

/// One client sends requests that need no endpoint as fast as it can. Other tasks get their turn, and sockets are
/// asked for news, after a few of them.
#[test]
fn flood_of_requests_without_endpoint_lets_others_run() {
    const REQUESTS: usize = 200;
    run(async {
        let (stream, mut client) = connected_client(1024 * 1024).await;
        client.write_all(READY_REQUEST.repeat(REQUESTS).as_bytes()).expect("could not write");
        tokio::task::spawn_local(connection(Rc::clone(&stream), context(), Instant::now()));
        client.set_nonblocking(true).expect("could not set the mode");
        let other = tokio::task::spawn_local(async move {
            let (mut received, mut piece, mut most_in_a_turn) = (Vec::new(), [0; 64 * 1024], 0);
            let count = |received: &[u8]| String::from_utf8_lossy(received).matches("HTTP/1.1 200 ").count();
            while count(&received) < REQUESTS {
                let before = count(&received);
                yield_now().await;
                // Fails while nothing more has been written.
                if let Ok(read) = client.read(&mut piece) {
                    received.extend_from_slice(&piece[..read]);
                }
                most_in_a_turn = most_in_a_turn.max(count(&received) - before);
            }
            most_in_a_turn
        });
        let most_in_a_turn = other.await.expect("the task has failed");
        assert!(
            most_in_a_turn <= LOCAL_BURST,
            "{most_in_a_turn} responses between two turns of another task"
        );
    });
}

/// Long heads behind another request, which are read in part before there is memory for them, and what follows them.
#[test]
fn pipelined_long_heads_are_answered() {
    run(async {
        for length in [3_900, 4_100, 8_100, 15_000] {
            let (stream, mut client) = connected_client(64 * 1024).await;
            let long = format!("{READY_HEAD_START}X-Long: {}\r\n\r\n", "y".repeat(length));
            let pipeline = format!("{READY_REQUEST}{long}{long}{READY_REQUEST}{long}");
            client.write_all(pipeline.as_bytes()).expect("could not write");
            SockRef::from(&client).shutdown(std::net::Shutdown::Write).expect("could not shut down");
            connection(stream, context(), Instant::now()).await;
            assert_eq!(statuses(client), ["200"; 5], "{length} bytes");
        }
    });
}

/// The system has received a request, but no task was notified of it when the idle connection is closed.
/// The request must still be answered.
#[test]
fn unnoticed_request_at_idle_close_is_answered() {
    run(async {
        let (stream, mut client) = connected_client(64 * 1024).await;
        let context = context();
        let mut serving = Box::pin(connection(Rc::clone(&stream), Rc::clone(&context), Instant::now()));
        client.write_all(READY_REQUEST.as_bytes()).expect("could not write");
        poll_until_answered(serving.as_mut(), &stream).await;
        // From here on the runtime does not poll any socket until the connection has been told to close.
        client.write_all(READY_REQUEST.as_bytes()).expect("could not write");
        while stream.is_quiet() {
            std::thread::yield_now();
        }
        context.shutdown.draining.cancel();
        poll_until_answered(serving.as_mut(), &stream).await;
        drop(serving);
        drop(stream);
        let mut received = String::new();
        client.read_to_string(&mut received).expect("the connection was reset");
        assert_eq!(received.matches("HTTP/1.1 200 ").count(), 2, "{received:?}");
    });
}

/// The same where the idle timeout closes the connection.
#[test]
fn unnoticed_request_at_idle_timeout_is_answered() {
    run(async {
        let (stream, mut client) = connected_client(64 * 1024).await;
        let mut serving = Box::pin(connection(Rc::clone(&stream), context(), Instant::now()));
        client.write_all(READY_REQUEST.as_bytes()).expect("could not write");
        poll_until_answered(serving.as_mut(), &stream).await;
        tokio::time::pause();
        tokio::time::advance(HEAD_TIMEOUT + Duration::from_millis(10)).await;
        // From here on the runtime does not poll any socket until the connection is polled.
        client.write_all(READY_REQUEST.as_bytes()).expect("could not write");
        while stream.is_quiet() {
            std::thread::yield_now();
        }
        poll_until_answered(serving.as_mut(), &stream).await;
        drop((serving, stream));
        assert_eq!(statuses(client), ["200", "200"]);
    });
}

/// During an upgrade the response to the first request of a pipeline has `Connection: close`. The rest,
/// including a partial request, was read together with the first one. It must be answered, or the upgrade
/// would lose these requests.
#[test]
fn pipeline_behind_connection_close_is_answered() {
    run(async {
        let mut context = Rc::into_inner(context()).expect("the context is shared");
        context.listener_shared = true;
        context.shutdown.terminating.cancel();
        let (stream, mut client) = connected_client(64 * 1024).await;
        let look = "GET /look HTTP/1.1\r\nHost: p\r\nX-Txn: 1\r\nX-Lane: look\r\nX-Remaining-Ms: 3000\r\n";
        let body = "Content-Length: 3\r\n\r\nabc";
        let pipeline = format!("{READY_REQUEST}{look}\r\n{look}{body}{READY_REQUEST}GET /re");
        client.write_all(pipeline.as_bytes()).expect("could not write");
        SockRef::from(&client)
            .shutdown(std::net::Shutdown::Write)
            .expect("could not shut down the sending side");
        connection(stream, Rc::new(context), Instant::now()).await;
        // A request behind a response with `Connection: close` is never forwarded: its client may send it
        // again elsewhere.
        assert_eq!(statuses(client)[..4], ["200", "503", "503", "200"]);
    });
}

/// The context of client connections in a process that is being replaced, on a listening socket that both
/// processes accept from.
fn context_in_upgrade() -> Rc<ClientContext> {
    let mut context = Rc::into_inner(context()).expect("the context is shared");
    context.listener_shared = true;
    context.shutdown.terminating.cancel();
    Rc::new(context)
}

/// A complete request with a body of `length` bytes that could be requests themselves, chunked or not.
fn with_body(head_start: &str, length: usize, chunked: bool) -> String {
    let body = READY_REQUEST.repeat(length / READY_REQUEST.len());
    if !chunked {
        return format!("{head_start}Content-Length: {}\r\n\r\n{body}", body.len());
    }
    let chunk = format!("{:x}\r\n{READY_REQUEST}\r\n", READY_REQUEST.len());
    format!(
        "{head_start}Transfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n",
        chunk.repeat(length / READY_REQUEST.len())
    )
}

const LOOK_HEAD_START: &str =
    "GET /look HTTP/1.1\r\nHost: p\r\nX-Txn: 1\r\nX-Lane: look\r\nX-Remaining-Ms: 3000\r\n";
pub(crate) const READY_HEAD_START: &str = "GET /ready HTTP/1.1\r\nHost: p\r\n";

/// A close over unread bytes resets the connection, and with it responses that do not fit into the client's
/// buffer yet would be lost.
#[test]
fn close_over_unread_bytes_loses_no_response() {
    run(async {
        let (stream, mut client) = connected_client(1).await;
        SockRef::from(&client).set_send_buffer_size(1 << 20).expect("could not set the buffer size");
        let bad = "GET /nothing HTTP/1.1\r\nHost: p\r\nContent-Length: 60000\r\n\r\n";
        client.write_all(READY_REQUEST.repeat(100).as_bytes()).expect("could not write");
        client.write_all(bad.as_bytes()).expect("could not write");
        client.write_all(&[b'x'; 60_000]).expect("could not write");
        connection(stream, context(), Instant::now()).await;
        let mut received = String::new();
        client.read_to_string(&mut received).expect("the connection was reset");
        assert_eq!(received.matches("HTTP/1.1 200 ").count(), 100);
        assert_eq!(received.matches("HTTP/1.1 400 ").count(), 1);
    });
}

/// Reads `client` to its end and returns the statuses of the responses.
pub(crate) fn statuses(mut client: std::net::TcpStream) -> Vec<String> {
    client.set_read_timeout(Some(Duration::from_secs(20))).expect("could not set the read timeout");
    let mut received = String::new();
    client.read_to_string(&mut received).expect("the connection was reset");
    received.split("HTTP/1.1 ").skip(1).map(|response| response[..3].to_owned()).collect()
}

/// Virtual time from the last byte of `sent` until a client that stays connected gets an error or a close;
/// also all that it received.
async fn time_to_end(context: Rc<ClientContext>, sent: &[&[u8]]) -> (Duration, String) {
    let (stream, client) = connected_client(64 * 1024).await;
    client.set_nonblocking(true).expect("invalid socket");
    let mut client = tokio::net::TcpStream::from_std(client).expect("could not register the socket");
    let serving = tokio::task::spawn_local(connection(stream, context, Instant::now()));
    for part in sent {
        tokio::io::AsyncWriteExt::write_all(&mut client, part).await.expect("could not write");
        // Until all of it has been read and complete requests have been answered.
        for _ in 0..1000 {
            yield_now().await;
        }
    }
    let (stalled_at, mut received) = (Instant::now(), String::new());
    tokio::io::AsyncReadExt::read_to_string(&mut client, &mut received)
        .await
        .expect("the connection was reset");
    let took = stalled_at.elapsed();
    drop(client);
    serving.await.expect("another task or thread panicked");
    (took, received)
}

/// A client stalls in the middle of a request and stays connected. Wherever it stalls, and however much it
/// has sent, it must get an error or a close within 3 s.
#[test]
fn stalled_request_is_ended_in_time() {
    const MAX_WAIT: Duration = Duration::from_secs(3);
    let open = "GET /look HTTP/1.1\r\nHost: p\r\nX-Txn: 1\r\nX-Lane: look\r\nX-Remaining-Ms: 3000\r\n";
    let (long_body, longer_body) = ("x".repeat(60_000), "x".repeat(200_000));
    let stalls = [
        ("in the first line", "GE".to_owned()),
        ("in the head", "GET /look HTTP/1.1\r\nX-La".to_owned()),
        ("before the body", format!("{open}Content-Length: 5\r\n\r\n")),
        ("in the body", format!("{open}Content-Length: 5\r\n\r\nab")),
        ("late in the body", format!("{open}Content-Length: 60001\r\n\r\n{long_body}")),
        ("in a long body", format!("{open}Content-Length: 400000\r\n\r\n{longer_body}")),
        ("in the length of a chunk", format!("{open}Transfer-Encoding: chunked\r\n\r\n3")),
        ("in a chunk", format!("{open}Transfer-Encoding: chunked\r\n\r\n3\r\nab")),
        ("late in a chunk", format!("{open}Transfer-Encoding: chunked\r\n\r\nea61\r\n{long_body}")),
        ("between chunks", format!("{open}Transfer-Encoding: chunked\r\n\r\nea60\r\n{long_body}\r\n")),
        ("in the last chunk", format!("{open}Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n")),
    ];
    run(async {
        tokio::time::pause();
        for (position, half) in stalls {
            let pipelined = format!("{READY_REQUEST}{half}");
            let first: [(&str, usize, Vec<&[u8]>); 3] = [
                ("at once", 0, vec![half.as_bytes()]),
                ("after a good one", 1, vec![READY_REQUEST.as_bytes(), half.as_bytes()]),
                ("behind a good one", 1, vec![pipelined.as_bytes()]),
            ];
            for (when, complete_requests, sent) in first {
                let (took, received) = time_to_end(context(), &sent).await;
                assert!(took <= MAX_WAIT, "{position}, {when}: {took:?}");
                assert_eq!(
                    received.matches("HTTP/1.1 200 ").count(),
                    complete_requests,
                    "{position}, {when}: {received}"
                );
                let errors = received.matches("HTTP/1.1 4").count() + received.matches("HTTP/1.1 5").count();
                assert!(errors <= 1, "{position}, {when}: {received}");
            }
        }
    });
}

/// The same for a client that stalls in a body which its response did not wait for, in a process that is
/// being replaced.
#[test]
fn stalled_unread_body_is_ended_in_time() {
    run(async {
        tokio::time::pause();
        for chunked in [false, true] {
            for open in [READY_HEAD_START, LOOK_HEAD_START] {
                let request = with_body(open, 200_000, chunked);
                let part = &request.as_bytes()[..request.len() - 10];
                let (took, received) = time_to_end(context_in_upgrade(), &[part]).await;
                assert!(took <= Duration::from_secs(3), "{open}, chunked: {chunked}: {took:?}");
                assert_eq!(
                    received.matches("HTTP/1.1 ").count(),
                    1,
                    "{open}, chunked: {chunked}: {received}"
                );
            }
        }
    });
}
