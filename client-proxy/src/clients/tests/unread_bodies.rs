//! Requests whose bodies have not been read when their responses are sent.

use super::*;

/// The same where the response was sent before the body of its request had been read: no request behind
/// that body may be lost.
#[test]
fn pipeline_behind_unread_body_is_answered() {
    run(async {
        for (length, chunked) in [(3_000, false), (3_000, true), (200_000, false), (200_000, true)] {
            let cases = [
                ("never read", with_body(READY_HEAD_START, length, chunked), "200"),
                (
                    "rejected",
                    format!("{READY_REQUEST}{}", with_body(LOOK_HEAD_START, length, chunked)),
                    "503",
                ),
                ("forwarded", with_body(LOOK_HEAD_START, length, chunked), "503"),
            ];
            for (case, first, status) in cases {
                let context = format!("{case}, {length} bytes, chunked: {chunked}");
                let (stream, client) = connected_client(64 * 1024).await;
                let mut writer = client.try_clone().expect("could not clone the socket");
                let pipeline = format!("{first}{LOOK_HEAD_START}\r\n{READY_REQUEST}");
                let writing = std::thread::spawn(move || {
                    writer.write_all(pipeline.as_bytes()).expect("could not write");
                    SockRef::from(&writer)
                        .shutdown(std::net::Shutdown::Write)
                        .expect("could not shut down the sending side");
                });
                connection(stream, context_in_upgrade(), Instant::now()).await;
                writing.join().expect("another task or thread panicked");
                let received = statuses(client);
                assert!(
                    received.ends_with(&[status, "503", "200"].map(str::to_owned)),
                    "{context}: {received:?}"
                );
                assert_eq!(
                    received.len(),
                    3 + usize::from(context.starts_with("rejected")),
                    "{context}: {received:?}"
                );
            }
        }
    });
}

/// The connection must not be closed as idle in the middle of such a body, which is still read to its end.
#[test]
fn unread_body_may_arrive_after_idle_close() {
    run(async {
        tokio::time::pause();
        let (stream, mut client) = connected_client(64 * 1024).await;
        let context = context_in_upgrade();
        context.shutdown.draining.cancel();
        let pipeline =
            format!("{}{LOOK_HEAD_START}\r\n{READY_REQUEST}", with_body(READY_HEAD_START, 3_000, false));
        let (part, rest) = pipeline.split_at(1_000);
        let mut serving = Box::pin(connection(Rc::clone(&stream), context, Instant::now()));
        client.write_all(part.as_bytes()).expect("could not write");
        poll_until_answered(serving.as_mut(), &stream).await;
        client.write_all(rest.as_bytes()).expect("could not write");
        SockRef::from(&client)
            .shutdown(std::net::Shutdown::Write)
            .expect("could not shut down the sending side");
        serving.await;
        drop(stream);
        assert_eq!(statuses(client), ["200", "503", "200"]);
    });
}

/// Bytes of a body that was not read to its end must not be taken for a request when the connection is
/// closed.
#[test]
fn unread_body_at_shutdown_is_no_request() {
    run(async {
        for chunked in [true, false] {
            for context in [context(), context_in_upgrade()] {
                let (stream, mut client) = connected_client(64 * 1024).await;
                client
                    .write_all(with_body(READY_HEAD_START, 3_000, chunked).as_bytes())
                    .expect("could not write");
                while stream.is_quiet() {
                    std::thread::yield_now();
                }
                // Read ahead, so that it counts as read when SIGKILL is imminent.
                assert_eq!(stream.query_hang_up(), None);
                context.shutdown.draining.cancel();
                context.shutdown.kill_imminent.cancel();
                connection(stream, context, Instant::now()).await;
                assert_eq!(statuses(client), ["200"], "chunked: {chunked}");
            }
        }
    });
}

/// The same for bytes behind a malformed body, wherever it is malformed.
#[test]
fn bytes_behind_malformed_body_are_no_request() {
    run(async {
        for (open, length) in
            [(READY_HEAD_START, 3_000), (READY_HEAD_START, 200_000), (LOOK_HEAD_START, 200_000)]
        {
            for context in [context(), context_in_upgrade()] {
                let (stream, client) = connected_client(64 * 1024).await;
                let request = with_body(open, length, true);
                let broken = format!("{}zz\r\n{}", &request[..request.len() - 5], READY_REQUEST.repeat(3));
                let mut writer = client.try_clone().expect("could not clone the socket");
                let writing = std::thread::spawn(move || {
                    // Fails if the connection is closed over unread bytes.
                    let _ = writer.write_all(broken.as_bytes());
                    let _ = SockRef::from(&writer).shutdown(std::net::Shutdown::Write);
                });
                connection(stream, context, Instant::now()).await;
                writing.join().expect("another task or thread panicked");
                assert_eq!(statuses(client).len(), 1, "{open}, {length} bytes");
            }
        }
    });
}

/// The same for a body without an end, which is no longer read after a while.
#[test]
fn rest_of_endless_body_is_no_request() {
    run(async {
        let (stream, client) = connected_client(64 * 1024).await;
        let mut writer = client.try_clone().expect("could not clone the socket");
        std::thread::spawn(move || {
            let chunks = format!("{:x}\r\n{READY_REQUEST}\r\n", READY_REQUEST.len()).repeat(100);
            let _ =
                writer.write_all(format!("{READY_HEAD_START}Transfer-Encoding: chunked\r\n\r\n").as_bytes());
            while writer.write_all(chunks.as_bytes()).is_ok() {}
        });
        let reading = std::thread::spawn(move || {
            let (mut client, mut received) = (client, Vec::new());
            client.set_read_timeout(Some(Duration::from_secs(20))).expect("could not set the read timeout");
            // The close over unread bytes resets the connection.
            let _ = client.read_to_end(&mut received);
            String::from_utf8(received).expect("received text is not UTF-8")
        });
        connection(stream, context_in_upgrade(), Instant::now()).await;
        let received = reading.join().expect("another task or thread panicked");
        assert_eq!(received.matches("HTTP/1.1 ").count(), 1, "{received}");
        assert!(received.starts_with("HTTP/1.1 200 "), "{received}");
    });
}
