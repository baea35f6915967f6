use std::io::{Read, Write};

use socket2::{Domain, SockRef, Socket, Type};
use tokio::net::TcpListener;
use tokio::task::yield_now;

use super::connection_state::*;
use std::pin::Pin;

use super::*;
use crate::driver::tests::{driver, settings};
use crate::socket_budget::Side;

pub(crate) fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

/// Both ends of a connection, whose client keeps so many bytes of answers that it has not read.
pub(crate) async fn joined(unread: usize) -> (Rc<MonitoredStream>, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let client = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    client.set_recv_buffer_size(unread).expect("a buffer");
    client.connect(&listener.local_addr().expect("bound").into()).expect("accepted");
    let (stream, _) = listener.accept().await.expect("a connection");
    let slot = SocketBudget::new(1024, 0).try_acquire(Side::Client).expect("a place");
    (MonitoredStream::new(stream, slot), client.into())
}

pub(crate) const READY: &str = "GET /ready HTTP/1.1\r\nHost: p\r\n\r\n";

/// What connections share where nothing is sent on.
pub(crate) fn front() -> Rc<ClientContext> {
    let (sockets, room) = (SocketBudget::new(1024, 0), Rc::new(MemoryBudget::new(1 << 20)));
    let endpoints = EndpointPool::new(Rc::clone(&sockets), Rc::clone(&room), 1000.0, 100.0);
    let (ready, shutdown) = (watch::channel(true).1, Shutdown::default());
    let names = Names { classes: vec!["look".to_owned()], ..Names::default() };
    let (driver, settings) = (driver(), settings());
    Rc::new(ClientContext {
        driver,
        settings,
        names,
        ready,
        sockets,
        request_memory: room,
        endpoints,
        listener_shared: false,
        shutdown,
    })
}

/// Polls the connection until one more answer has been written and it is idle again, or has ended.
async fn until_answered(mut connection: Pin<&mut impl Future>, stream: &MonitoredStream) {
    let before = stream.written();
    let answered = async {
        while stream.written() == before {
            yield_now().await;
        }
        // The connection has asked for more and was told that there is nothing.
        for _ in 0..100 {
            yield_now().await;
        }
    };
    tokio::select! {
        _ = connection.as_mut() => {}
        _ = answered => {}
    }
}

/// Guards against a close over a request that the system has taken in but that no task was told of.
#[test]
fn what_has_come_unnoticed_when_a_resting_connection_is_closed_is_answered() {
    run(async {
        let (stream, mut client) = joined(64 * 1024).await;
        let front = front();
        let mut served = Box::pin(connection(Rc::clone(&stream), Rc::clone(&front), Instant::now()));
        client.write_all(READY.as_bytes()).expect("written");
        until_answered(served.as_mut(), &stream).await;
        // From here on the runtime is not asked for news of any socket until the connection has been told to
        // end.
        client.write_all(READY.as_bytes()).expect("written");
        while stream.is_quiet() {
            std::thread::yield_now();
        }
        front.shutdown.draining.cancel();
        until_answered(served.as_mut(), &stream).await;
        drop(served);
        drop(stream);
        let mut seen = String::new();
        client.read_to_string(&mut seen).expect("answers and an end");
        assert_eq!(seen.matches("HTTP/1.1 200 ").count(), 2, "{seen:?}");
    });
}

/// The same where the idle timeout closes the connection.
#[test]
fn what_has_come_unnoticed_when_the_idle_timeout_is_over_is_answered() {
    run(async {
        let (stream, mut client) = joined(64 * 1024).await;
        let mut served = Box::pin(connection(Rc::clone(&stream), front(), Instant::now()));
        client.write_all(READY.as_bytes()).expect("written");
        until_answered(served.as_mut(), &stream).await;
        tokio::time::pause();
        tokio::time::advance(HEAD_TIMEOUT + Duration::from_millis(10)).await;
        // From here on the runtime is not asked for news of any socket until the connection is looked at.
        client.write_all(READY.as_bytes()).expect("written");
        while stream.is_quiet() {
            std::thread::yield_now();
        }
        until_answered(served.as_mut(), &stream).await;
        drop((served, stream));
        assert_eq!(statuses(client), ["200", "200"]);
    });
}

/// Guards against requests of a pipeline that an upgrade loses: the answer to the first asks the client to
/// come back on a new connection, and the rest, part of a request too, has been read together with that first
/// one.
#[test]
fn what_was_read_behind_an_answer_that_sends_its_client_away_is_answered() {
    run(async {
        let mut front = Rc::into_inner(front()).expect("the only one");
        front.listener_shared = true;
        front.shutdown.terminating.cancel();
        let (stream, mut client) = joined(64 * 1024).await;
        let look = "GET /look HTTP/1.1\r\nHost: p\r\nX-Txn: 1\r\nX-Lane: look\r\nX-Remaining-Ms: 3000\r\n";
        let body = "Content-Length: 3\r\n\r\nabc";
        let pipeline = format!("{READY}{look}\r\n{look}{body}{READY}GET /re");
        client.write_all(pipeline.as_bytes()).expect("written");
        SockRef::from(&client).shutdown(std::net::Shutdown::Write).expect("connected");
        connection(stream, Rc::new(front), Instant::now()).await;
        // What stands behind an answer that says `close` is never forwarded: its client may send it
        // elsewhere.
        assert_eq!(statuses(client)[..4], ["200", "503", "503", "200"]);
    });
}

/// What connections share in a process that another one takes over from, on a socket that both accept from.
fn front_in_upgrade() -> Rc<ClientContext> {
    let mut front = Rc::into_inner(front()).expect("the only one");
    front.listener_shared = true;
    front.shutdown.terminating.cancel();
    Rc::new(front)
}

/// A whole request with a body of `length` bytes that could be requests themselves, in chunks or not.
fn with_body(open: &str, length: usize, chunked: bool) -> String {
    let body = READY.repeat(length / READY.len());
    if !chunked {
        return format!("{open}Content-Length: {}\r\n\r\n{body}", body.len());
    }
    let chunk = format!("{:x}\r\n{READY}\r\n", READY.len());
    format!("{open}Transfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n", chunk.repeat(length / READY.len()))
}

const LOOK_OPEN: &str =
    "GET /look HTTP/1.1\r\nHost: p\r\nX-Txn: 1\r\nX-Lane: look\r\nX-Remaining-Ms: 3000\r\n";
pub(crate) const READY_OPEN: &str = "GET /ready HTTP/1.1\r\nHost: p\r\n";

/// The same where the answer did not wait for the body of its request: no request behind that body is lost.
#[test]
fn what_was_read_behind_a_body_that_no_answer_waited_for_is_answered() {
    run(async {
        for (length, chunked) in [(3_000, false), (3_000, true), (200_000, false), (200_000, true)] {
            let cases = [
                ("never read", with_body(READY_OPEN, length, chunked), "200"),
                ("rejected", format!("{READY}{}", with_body(LOOK_OPEN, length, chunked)), "503"),
                ("forwarded", with_body(LOOK_OPEN, length, chunked), "503"),
            ];
            for (what, first, status) in cases {
                let what = format!("{what}, {length} bytes, chunked: {chunked}");
                let (stream, client) = joined(64 * 1024).await;
                let mut writer = client.try_clone().expect("a second handle");
                let pipeline = format!("{first}{LOOK_OPEN}\r\n{READY}");
                let writing = std::thread::spawn(move || {
                    writer.write_all(pipeline.as_bytes()).expect("written");
                    SockRef::from(&writer).shutdown(std::net::Shutdown::Write).expect("connected");
                });
                connection(stream, front_in_upgrade(), Instant::now()).await;
                writing.join().expect("no panic");
                let seen = statuses(client);
                assert!(seen.ends_with(&[status, "503", "200"].map(str::to_owned)), "{what}: {seen:?}");
                assert_eq!(seen.len(), 3 + usize::from(what.starts_with("rejected")), "{what}: {seen:?}");
            }
        }
    });
}

/// Prevents a close in the middle of such a body, which is read to its end as it comes.
#[test]
fn a_body_that_no_answer_waited_for_may_still_come_when_idle_connections_are_closed() {
    run(async {
        tokio::time::pause();
        let (stream, mut client) = joined(64 * 1024).await;
        let front = front_in_upgrade();
        front.shutdown.draining.cancel();
        let pipeline = format!("{}{LOOK_OPEN}\r\n{READY}", with_body(READY_OPEN, 3_000, false));
        let (part, rest) = pipeline.split_at(1_000);
        let mut served = Box::pin(connection(Rc::clone(&stream), front, Instant::now()));
        client.write_all(part.as_bytes()).expect("written");
        until_answered(served.as_mut(), &stream).await;
        client.write_all(rest.as_bytes()).expect("written");
        SockRef::from(&client).shutdown(std::net::Shutdown::Write).expect("connected");
        served.await;
        drop(stream);
        assert_eq!(statuses(client), ["200", "503", "200"]);
    });
}

/// Prevents bytes of a body that was not read to its end from being taken for a request as its connection is
/// closed.
#[test]
fn what_is_left_of_a_body_at_the_last_call_is_never_taken_for_a_request() {
    run(async {
        for chunked in [true, false] {
            for front in [front(), front_in_upgrade()] {
                let (stream, mut client) = joined(64 * 1024).await;
                client.write_all(with_body(READY_OPEN, 3_000, chunked).as_bytes()).expect("written");
                while stream.is_quiet() {
                    std::thread::yield_now();
                }
                // Read ahead, so that it counts as read when the last call comes.
                assert_eq!(stream.query_hang_up(), None);
                front.shutdown.draining.cancel();
                front.shutdown.kill_imminent.cancel();
                connection(stream, front, Instant::now()).await;
                assert_eq!(statuses(client), ["200"], "chunked: {chunked}");
            }
        }
    });
}

/// Prevents the same of what stands behind a body that is no body, wherever it breaks.
#[test]
fn what_stands_behind_a_broken_body_is_never_taken_for_a_request() {
    run(async {
        for (open, length) in [(READY_OPEN, 3_000), (READY_OPEN, 200_000), (LOOK_OPEN, 200_000)] {
            for front in [front(), front_in_upgrade()] {
                let (stream, client) = joined(64 * 1024).await;
                let whole = with_body(open, length, true);
                let broken = format!("{}zz\r\n{}", &whole[..whole.len() - 5], READY.repeat(3));
                let mut writer = client.try_clone().expect("a second handle");
                let writing = std::thread::spawn(move || {
                    // Fails where the connection is closed over what nobody reads.
                    let _ = writer.write_all(broken.as_bytes());
                    let _ = SockRef::from(&writer).shutdown(std::net::Shutdown::Write);
                });
                connection(stream, front, Instant::now()).await;
                writing.join().expect("no panic");
                assert_eq!(statuses(client).len(), 1, "{open}, {length} bytes");
            }
        }
    });
}

/// Prevents the same of a body without an end, which is given up after a while.
#[test]
fn what_is_left_of_an_endless_body_is_never_taken_for_a_request() {
    run(async {
        let (stream, client) = joined(64 * 1024).await;
        let mut writer = client.try_clone().expect("a second handle");
        std::thread::spawn(move || {
            let chunks = format!("{:x}\r\n{READY}\r\n", READY.len()).repeat(100);
            let _ = writer.write_all(format!("{READY_OPEN}Transfer-Encoding: chunked\r\n\r\n").as_bytes());
            while writer.write_all(chunks.as_bytes()).is_ok() {}
        });
        let reading = std::thread::spawn(move || {
            let (mut client, mut seen) = (client, Vec::new());
            client.set_read_timeout(Some(Duration::from_secs(20))).expect("a time limit");
            // The close over what still comes resets the connection.
            let _ = client.read_to_end(&mut seen);
            String::from_utf8(seen).expect("text")
        });
        connection(stream, front_in_upgrade(), Instant::now()).await;
        let seen = reading.join().expect("no panic");
        assert_eq!(seen.matches("HTTP/1.1 ").count(), 1, "{seen}");
        assert!(seen.starts_with("HTTP/1.1 200 "), "{seen}");
    });
}

/// Guards against answers that are lost with what their client goes on to send: a close over unread bytes
/// resets the connection, and what the client has no room for yet goes with it.
#[test]
fn a_close_over_what_nobody_reads_takes_no_answer_back() {
    run(async {
        let (stream, mut client) = joined(1).await;
        SockRef::from(&client).set_send_buffer_size(1 << 20).expect("room for all of it");
        let bad = "GET /nothing HTTP/1.1\r\nHost: p\r\nContent-Length: 60000\r\n\r\n";
        client.write_all(READY.repeat(100).as_bytes()).expect("written");
        client.write_all(bad.as_bytes()).expect("written");
        client.write_all(&[b'x'; 60_000]).expect("written");
        connection(stream, front(), Instant::now()).await;
        let mut seen = String::new();
        client.read_to_string(&mut seen).expect("all answers and an end");
        assert_eq!(seen.matches("HTTP/1.1 200 ").count(), 100);
        assert_eq!(seen.matches("HTTP/1.1 400 ").count(), 1);
    });
}

/// What has come over `client` until its end, as the statuses of the answers.
pub(crate) fn statuses(mut client: std::net::TcpStream) -> Vec<String> {
    client.set_read_timeout(Some(Duration::from_secs(20))).expect("a time limit");
    let mut seen = String::new();
    client.read_to_string(&mut seen).expect("answers and an end");
    seen.split("HTTP/1.1 ").skip(1).map(|answer| answer[..3].to_owned()).collect()
}

/// Virtual seconds until a client that stays has its error or close after the last byte of `sent`, and all it
/// got.
async fn time_to_end(front: Rc<ClientContext>, sent: &[&[u8]]) -> (Duration, String) {
    let (stream, client) = joined(64 * 1024).await;
    client.set_nonblocking(true).expect("a socket");
    let mut client = tokio::net::TcpStream::from_std(client).expect("in the runtime");
    let served = tokio::task::spawn_local(connection(stream, front, Instant::now()));
    for part in sent {
        tokio::io::AsyncWriteExt::write_all(&mut client, part).await.expect("written");
        // Until all of it has been read and what is whole has been answered.
        for _ in 0..1000 {
            yield_now().await;
        }
    }
    let (stopped, mut seen) = (Instant::now(), String::new());
    tokio::io::AsyncReadExt::read_to_string(&mut client, &mut seen).await.expect("an end, and no reset");
    let took = stopped.elapsed();
    drop(client);
    served.await.expect("no panic");
    (took, seen)
}

/// Guards against a client that stops in the middle of a request and stays: wherever it stops, and however
/// much it has sent by then, it has its error or close within the 3 s that such clients are owed.
#[test]
fn a_client_that_stops_in_the_middle_of_a_request_has_an_end_in_time() {
    const OWED: Duration = Duration::from_secs(3);
    let open = "GET /look HTTP/1.1\r\nHost: p\r\nX-Txn: 1\r\nX-Lane: look\r\nX-Remaining-Ms: 3000\r\n";
    let (much, more) = ("x".repeat(60_000), "x".repeat(200_000));
    let stops = [
        ("in the first line", "GE".to_owned()),
        ("in the head", "GET /look HTTP/1.1\r\nX-La".to_owned()),
        ("before the body", format!("{open}Content-Length: 5\r\n\r\n")),
        ("in the body", format!("{open}Content-Length: 5\r\n\r\nab")),
        ("late in the body", format!("{open}Content-Length: 60001\r\n\r\n{much}")),
        ("in a long body", format!("{open}Content-Length: 400000\r\n\r\n{more}")),
        ("in the length of a chunk", format!("{open}Transfer-Encoding: chunked\r\n\r\n3")),
        ("in a chunk", format!("{open}Transfer-Encoding: chunked\r\n\r\n3\r\nab")),
        ("late in a chunk", format!("{open}Transfer-Encoding: chunked\r\n\r\nea61\r\n{much}")),
        ("between chunks", format!("{open}Transfer-Encoding: chunked\r\n\r\nea60\r\n{much}\r\n")),
        ("in the last chunk", format!("{open}Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n")),
    ];
    run(async {
        tokio::time::pause();
        for (place, half) in stops {
            let pipelined = format!("{READY}{half}");
            let first: [(&str, usize, Vec<&[u8]>); 3] = [
                ("at once", 0, vec![half.as_bytes()]),
                ("after a good one", 1, vec![READY.as_bytes(), half.as_bytes()]),
                ("behind a good one", 1, vec![pipelined.as_bytes()]),
            ];
            for (when, good, sent) in first {
                let (took, seen) = time_to_end(front(), &sent).await;
                assert!(took <= OWED, "{place}, {when}: {took:?}");
                assert_eq!(seen.matches("HTTP/1.1 200 ").count(), good, "{place}, {when}: {seen}");
                let errors = seen.matches("HTTP/1.1 4").count() + seen.matches("HTTP/1.1 5").count();
                assert!(errors <= 1, "{place}, {when}: {seen}");
            }
        }
    });
}

/// The same for one that stops in a body which its answer did not wait for, in a process that is being
/// replaced.
#[test]
fn a_client_that_stops_in_a_body_that_no_answer_waited_for_has_an_end_in_time() {
    run(async {
        tokio::time::pause();
        for chunked in [false, true] {
            for open in [READY_OPEN, LOOK_OPEN] {
                let whole = with_body(open, 200_000, chunked);
                let part = &whole.as_bytes()[..whole.len() - 10];
                let (took, seen) = time_to_end(front_in_upgrade(), &[part]).await;
                assert!(took <= Duration::from_secs(3), "{open}, chunked: {chunked}: {took:?}");
                assert_eq!(seen.matches("HTTP/1.1 ").count(), 1, "{open}, chunked: {chunked}: {seen}");
            }
        }
    });
}
