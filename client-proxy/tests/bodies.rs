//! Bodies longer than those that are buffered, in each transfer coding of HTTP/1.1, with peers that are
//! slow, stop or send malformed data.

mod common;

use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};

use common::bodies::*;
use common::*;
use serde_json::json;

const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key: 5c0f\r\n";
#[test]
fn long_request_is_forwarded_in_every_coding() {
    let (upstream, bodies) = body_recording_upstream();
    let (proxy, _discovery) = proxy_for(&[upstream]);
    let sent = pattern(LONG_BODY_BYTES);
    let mut client = proxy.client();
    for form in ["fixed", "chunked", "expected"] {
        let mut text = post_without_length("pay", "").into_bytes();
        match form {
            "chunked" => text.extend(b"Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n"),
            "expected" => {
                text.extend(
                    format!("Expect: 100-continue\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n").bytes(),
                );
            }
            _ => text.extend(format!("Content-Length: {LONG_BODY_BYTES}\r\n\r\n").bytes()),
        }
        client.stream.write_all(&text).expect("could not write");
        if form == "expected" {
            assert_eq!(client.read().expect("no interim response").status(), 100);
        }
        let mut from = 0;
        for piece in [1, 5, 70_000, 3].into_iter().cycle() {
            let to = LONG_BODY_BYTES.min(from + piece);
            if form == "chunked" {
                client.write(&format!("{:x};name=\"value\"\r\n", to - from));
            }
            client.stream.write_all(&sent[from..to]).expect("could not write");
            if form == "chunked" {
                client.write("\r\n");
            }
            from = to;
            if from > LONG_BODY_BYTES / 2 && from < LONG_BODY_BYTES / 2 + 70_000 {
                // A request is admitted only with its last byte.
                assert_eq!(proxy.metrics()["concurrent"], 0, "{form}");
            }
            if from == LONG_BODY_BYTES {
                break;
            }
        }
        if form == "chunked" {
            client.write("0\r\nX-Sum: 7\r\n\r\n");
        }
        let response = client.read().expect("no response");
        assert_eq!((response.status(), response.body.as_slice()), (200, &b"taken"[..]), "{form}");
        let received =
            bodies.recv_timeout(TEST_TIMEOUT).expect("no request arrived").expect("the body is incomplete");
        assert!(received == sent, "{form}: {} bytes that differ from those sent", received.len());
    }
}

#[test]
fn long_response_is_streamed_in_every_coding() {
    let (go, gate) = channel::<()>();
    let gate = Mutex::new(gate);
    let upstream = raw_upstream(move |reader, writer| {
        let sent = pattern(LONG_BODY_BYTES);
        while let Some(head) = read_head(reader) {
            let half = LONG_BODY_BYTES / 2;
            let start = match () {
                _ if head.contains("/fixed") => {
                    format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n")
                }
                _ if head.contains("/interim") => format!(
                    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n\
                     HTTP/1.1 200 OK\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n"
                ),
                _ if head.contains("/chunked") => {
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".into()
                }
                _ => "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".to_owned(),
            };
            let mut write = |bytes: &[u8]| writer.write_all(bytes).expect("could not write the response");
            write(start.as_bytes());
            for (n, part) in [&sent[..half], &sent[half..]].into_iter().enumerate() {
                if n == 1 {
                    gate.lock().expect("another thread panicked").recv().expect("the test has ended");
                }
                if head.contains("/chunked") {
                    write(format!("{:X};x=y\r\n", part.len()).as_bytes());
                }
                write(part);
                if head.contains("/chunked") {
                    write(b"\r\n");
                }
            }
            if head.contains("/chunked") {
                write(b"0\r\nX-Sum: 7\r\n\r\n");
            } else if head.contains("/ended") {
                return;
            }
        }
    });
    let (proxy, _discovery) = proxy_for(&[upstream]);
    let wanted = pattern(LONG_BODY_BYTES);
    for form in ["fixed", "interim", "chunked", "ended"] {
        let mut client = proxy.client();
        client.write(&look_request(3000).replace("/look/7", &format!("/look/{form}")));
        let mut reader = BufReader::new(client.stream.try_clone().expect("could not clone the socket"));
        let head = read_head(&mut reader).expect("no response head");
        assert!(head.starts_with("http/1.1 200 "), "{form}: {head}");
        assert_eq!(proxy.metrics()["concurrent"], 1, "{form}");
        go.send(()).expect("the upstream thread has ended");
        let received = read_body(&mut reader, &head).expect("the body is incomplete");
        assert!(received == wanted, "{form}: {} bytes that differ from those sent", received.len());
    }
    while proxy.metrics()["concurrent"] != 0 {}
    assert_eq!(proxy.metrics()["success"]["look"], 4);
}

/// A long response is forwarded before it is complete. If it breaks off, the client must be able to see
/// that, and the metrics count an error.
#[test]
fn truncated_long_response_is_visible_to_client() {
    let upstream = raw_upstream(|reader, writer| {
        let Some(head) = read_head(reader) else { return };
        let form = if head.contains("/chunked") {
            "Transfer-Encoding: chunked\r\n\r\n400000\r\n".to_owned()
        } else if head.contains("/malformed") {
            "Transfer-Encoding: chunked\r\n\r\n180000\r\n".to_owned()
        } else {
            format!("Content-Length: {LONG_BODY_BYTES}\r\n\r\n")
        };
        let half = pattern(LONG_BODY_BYTES / 2);
        let _ = writer.write_all(format!("HTTP/1.1 200 OK\r\n{form}").as_bytes());
        let _ = writer.write_all(&half);
        if head.contains("/malformed") {
            let _ = writer.write_all(b"\r\nno length\r\n");
        }
    });
    let (proxy, _discovery) = proxy_for(&[upstream]);
    for (n, form) in ["fixed", "chunked", "malformed"].into_iter().enumerate() {
        let mut client = proxy.client();
        client.write(&look_request(3000).replace("/look/7", &format!("/look/{form}")));
        let mut reader = BufReader::new(client.stream.try_clone().expect("could not clone the socket"));
        let head = read_head(&mut reader).expect("no message head");
        assert!(head.starts_with("http/1.1 200 "), "{form}: {head}");
        assert_eq!(read_body(&mut reader, &head), None, "{form}");
        assert_eq!(proxy.metrics()["error"]["look"], n + 1, "{form}");
    }
}

/// The head of a response comes early, and the break right behind its first body bytes, so that the client
/// proxy knows of the break before it has written any of the response. The client must still receive a
/// response.
#[test]
fn response_broken_after_first_chunk_is_sent() {
    let upstream = raw_upstream(|reader, writer| {
        if read_head(reader).is_some() {
            let _ = writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            // Longer than the client proxy waits for more of a response before it forwards it.
            std::thread::sleep(std::time::Duration::from_millis(40));
            let _ = writer.write_all(b"3\r\nabc\r\n");
        }
    });
    let (proxy, _discovery) = proxy_for(&[upstream]);
    for _ in 0..20 {
        let mut client = proxy.client();
        client.write(&post("pay", 3000, "", ""));
        let mut reader = BufReader::new(client.stream.try_clone().expect("could not clone the socket"));
        let head = read_head(&mut reader).expect("no response");
        match &head[..13] {
            "http/1.1 200 " => assert_eq!(
                read_body(&mut reader, &head),
                None,
                "the client can see that the body is truncated"
            ),
            other => assert_eq!(other, "http/1.1 502 "),
        }
    }
}

/// A body that is not fully buffered any more cannot be retried: only its second half would be sent. A body
/// that is still buffered is retried.
#[test]
fn only_buffered_request_is_retried() {
    // Rejected after all of it was sent.
    let (sender, bodies) = channel();
    let sender = Mutex::new(sender);
    let reject = Arc::new(move |reader: &mut BufReader<TcpStream>, writer: &mut TcpStream| {
        while let Some(head) = read_head(reader) {
            let is_complete = read_body(reader, &head).is_some();
            sender.lock().expect("another thread panicked").send(is_complete).unwrap_or_default();
            let _ = writer
                .write_all(http_response("503 Service Unavailable", "X-Turned-Away: 1\r\n", "").as_bytes());
        }
    });
    let upstreams = [0, 1].map(|_| {
        let reject = Arc::clone(&reject);
        raw_upstream(move |reader, writer| reject(reader, writer))
    });
    let (proxy, _discovery) = proxy_for(&upstreams);
    let long = String::from_utf8(vec![b'x'; LONG_BODY_BYTES]).expect("stderr is not UTF-8");
    assert_eq!(proxy.client().round_trip(&post("pay", 3000, "", &long)).status(), 503);
    assert!(bodies.recv_timeout(TEST_TIMEOUT).expect("no attempt arrived"));
    assert!(bodies.try_recv().is_err(), "a second attempt");
    // Short bodies stay buffered, so they are retried.
    assert_eq!(proxy.client().round_trip(&post("keep", 3000, IDEMPOTENCY_KEY_HEADER, "short")).status(), 503);
    for _ in 0..2 {
        assert!(bodies.recv_timeout(TEST_TIMEOUT).expect("no attempt arrived"));
    }

    // The connection is refused, so nothing of the body was sent.
    let (upstream, bodies) = body_recording_upstream();
    let unused_address = TcpListener::bind("127.0.0.1:0")
        .expect("could not bind a loopback port")
        .local_addr()
        .expect("no local address");
    let (proxy, _discovery) = proxy_for(&[unused_address, upstream]);
    for _ in 0..4 {
        assert_eq!(proxy.client().round_trip(&post("pay", 3000, "", &long)).status(), 200);
        assert_eq!(
            bodies
                .recv_timeout(TEST_TIMEOUT)
                .expect("no request arrived")
                .expect("the body is incomplete")
                .len(),
            LONG_BODY_BYTES
        );
    }
}

/// An incomplete request body must not reach the endpoint as a complete one, and a client that stops in the
/// middle of its body must not keep its slots.
#[test]
fn incomplete_long_request_is_not_forwarded_complete() {
    let (upstream, bodies) = body_recording_upstream();
    let (proxy, _discovery) = proxy_for(&[upstream]);
    let half = "x".repeat(200_000);
    for (case, form, is_half_closed) in [
        ("stalls", "Content-Length: 400000\r\n\r\n", false),
        ("is truncated", "Content-Length: 400000\r\n\r\n", true),
        ("is malformed", "Transfer-Encoding: chunked\r\n\r\n30D40\r\n", false),
    ] {
        let mut client = proxy.client();
        client.write(&format!("{}{form}{half}", post_without_length("pay", "")));
        if case == "is malformed" {
            client.write("\r\nno length\r\n");
        }
        if is_half_closed {
            client.stream.shutdown(std::net::Shutdown::Write).expect("could not shut down the sending side");
        }
        if let Some(response) = client.read() {
            assert!((400..600).contains(&response.status()), "{case}: {}", response.start);
        }
        assert_eq!(
            bodies.recv_timeout(TEST_TIMEOUT).expect("no attempt arrived"),
            None,
            "{case}: forwarded as complete"
        );
    }
    let metrics = proxy.metrics();
    assert_eq!((&metrics["concurrent"], &metrics["dispatches"]), (&json!(0), &json!(0)));
}

/// Many long responses at once, to clients that do not read, would fill the memory if the client proxy
/// buffered them without limit.
#[test]
fn slow_readers_do_not_exhaust_memory() {
    const BODY_BYTES: usize = 24 << 20;
    let upstream = raw_upstream(|reader, writer| {
        let piece = vec![b'x'; 1 << 20];
        while read_head(reader).is_some() {
            let _ = writer
                .write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n").as_bytes());
            for _ in 0..BODY_BYTES / piece.len() {
                if writer.write_all(&piece).is_err() {
                    return;
                }
            }
        }
    });
    let (proxy, _discovery) = proxy_for(&[upstream]);
    // Each client gets the first bytes of its response while no other client reads.
    let mut readers: Vec<_> = (0..12)
        .map(|_| {
            let mut client = proxy.client();
            client.write(&look_request(3000));
            let mut reader = BufReader::new(client.stream);
            assert!(read_head(&mut reader).expect("no message head").starts_with("http/1.1 200 "));
            reader
        })
        .collect();
    // Reads in turn, so that all responses make progress.
    let mut buffer = vec![0; 1 << 20];
    let mut unread = vec![BODY_BYTES; readers.len()];
    while unread.iter().any(|unread| *unread > 0) {
        for (reader, unread) in readers.iter_mut().zip(&mut unread).filter(|(_, unread)| **unread > 0) {
            let length = buffer.len().min(*unread);
            let read = reader.read(&mut buffer[..length]).expect("could not read the response");
            assert!(read > 0, "{unread} bytes are missing");
            *unread -= read;
        }
    }
    let peak = proxy.memory("VmHWM:").expect("the process has ended");
    assert!(peak < 48_000 * 1024, "{peak} bytes");
}
