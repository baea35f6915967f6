//! Responses without `Content-Length`: a complete one is forwarded, a reset never counts as its end, and one
//! that never ends is ended for the client.

mod common;

use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use common::*;
use serde_json::json;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Form {
    /// The close of the connection ends it.
    UntilClose,
    Chunked,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Complete,
    /// A reset in place of the end.
    Reset,
    /// Further pieces until the client proxy closes the connection.
    Never,
}

/// How an endpoint responds: so many pieces of this length, with a pause before each and before the end.
#[derive(Clone, Copy, Debug)]
struct ResponseCase {
    form: Form,
    pieces: usize,
    length: usize,
    pause: Duration,
    end: End,
}

impl ResponseCase {
    fn body(&self) -> Vec<u8> {
        (0..self.pieces * self.length).map(|i| (i * 31 + i / 251) as u8).collect()
    }

    /// Responds to one request.
    fn respond(&self, reader: &mut BufReader<TcpStream>) -> std::io::Result<()> {
        let stream = reader.get_mut();
        let form = match self.form {
            Form::UntilClose => "Connection: close",
            Form::Chunked => "Transfer-Encoding: chunked",
        };
        stream.write_all(format!("HTTP/1.1 200 OK\r\n{form}\r\n\r\n").as_bytes())?;
        let body = self.body();
        let mut pieces = body.chunks(self.length.max(1));
        while let Some(piece) = pieces.next() {
            std::thread::sleep(self.pause);
            match self.form {
                Form::UntilClose => stream.write_all(piece)?,
                Form::Chunked => {
                    let head = format!("{:x}\r\n", piece.len());
                    stream.write_all(&[head.as_bytes(), piece, b"\r\n"].concat())?;
                }
            }
            if self.end == End::Never && pieces.len() == 0 {
                pieces = body.chunks(self.length);
            }
        }
        std::thread::sleep(self.pause);
        match (self.end, self.form) {
            (End::Reset, _) => {
                // A reset discards data that the peer has not read yet, so the peer gets time to read it.
                std::thread::sleep(Duration::from_millis(30));
                socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO))
            }
            (End::Complete, Form::Chunked) => stream.write_all(b"0\r\n\r\n"),
            (End::Complete, Form::UntilClose) => stream.shutdown(std::net::Shutdown::Both),
            (End::Never, _) => unreachable!("there is always a next piece"),
        }
    }
}

/// What a client receives of such a response.
struct Received {
    /// The body, if the client takes the response for a complete 200.
    body: Option<Vec<u8>>,
    /// Whether the connection was closed before the client stopped waiting.
    is_closed: bool,
    attempts: usize,
}

fn forwarded(case: ResponseCase, remaining_ms: u64) -> Received {
    let listener = TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
    let address = listener.local_addr().expect("no local address");
    let attempts = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&attempts);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut reader = BufReader::new(stream.expect("accept failed"));
            if read_message(&mut reader).is_some() {
                count.fetch_add(1, Ordering::SeqCst);
                let _ = case.respond(&mut reader);
            }
        }
    });
    let discovery_server = DiscoveryServer::start(json!([endpoint("h", address, "SERVING")]));
    let proxy = Proxy::start(&config(discovery_server.address, settings()));
    discovery_server.wait_until_list_received();
    let mut client = proxy.client();
    client.write(&post("pay", remaining_ms, "Connection: close\r\n", ""));
    let (received, is_closed) = read_to_end(&mut client.stream);
    let body = complete_body(&received).filter(|_| is_closed);
    Received { body, is_closed, attempts: attempts.load(Ordering::SeqCst) }
}

/// All bytes up to the end of the stream, and whether it has ended. Gives up after [`TEST_TIMEOUT`], also if
/// more bytes keep coming.
fn read_to_end(stream: &mut TcpStream) -> (Vec<u8>, bool) {
    let (mut received, mut chunk, started) = (Vec::new(), [0; 16 * 1024], Instant::now());
    while started.elapsed() < TEST_TIMEOUT {
        match stream.read(&mut chunk) {
            Ok(0) => return (received, true),
            Ok(read) => received.extend_from_slice(&chunk[..read]),
            Err(_) => break,
        }
    }
    (received, false)
}

fn complete_body(received: &[u8]) -> Option<Vec<u8>> {
    let split = received.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&received[..split]).to_lowercase();
    let mut rest = &received[split + 4..];
    if !head.starts_with("http/1.1 200 ") {
        return None;
    }
    if let Some(length) = head.lines().find_map(|line| line.strip_prefix("content-length: ")) {
        return (length.parse() == Ok(rest.len())).then(|| rest.to_vec());
    }
    assert!(head.contains("transfer-encoding: chunked"), "{head}");
    let mut body = Vec::new();
    loop {
        let line = rest.windows(2).position(|window| window == b"\r\n")?;
        let length = usize::from_str_radix(std::str::from_utf8(&rest[..line]).ok()?, 16).ok()?;
        let piece = rest.get(line + 2..line + 2 + length)?;
        body.extend_from_slice(piece);
        rest = rest.get(line + 2 + length + 2..)?;
        if length == 0 {
            return Some(body);
        }
    }
}

/// All cases with this end: an empty, a short and a long body, in one piece and several, with pauses
/// shorter and longer than the client proxy waits for more of a response before it forwards it.
fn cases(end: End) -> Vec<ResponseCase> {
    let mut cases = Vec::new();
    for form in [Form::UntilClose, Form::Chunked] {
        for (pieces, length) in [(0, 0), (1, 5), (3, 7), (3, 100_000)] {
            for pause in [0, 5, 60, 200].map(Duration::from_millis) {
                cases.push(ResponseCase { form, pieces, length, pause, end });
            }
        }
    }
    cases
}

/// Runs the cases, eight at a time since they mostly sleep.
fn run_all(cases: &[ResponseCase], remaining_ms: u64, check: fn(&ResponseCase, Received)) {
    for batch in cases.chunks(8) {
        std::thread::scope(|scope| {
            for case in batch {
                scope.spawn(move || check(case, forwarded(*case, remaining_ms)));
            }
        });
    }
}

/// A complete response must not be failed for having no length.
#[test]
fn complete_response_without_length_is_forwarded() {
    run_all(&cases(End::Complete), 3000, |case, Received { body, attempts, .. }| {
        assert!(body == Some(case.body()), "{case:?}: {:?}", body.map(|body| body.len()));
        assert_eq!(attempts, 1, "{case:?}");
    });
}

/// A truncated response must not be forwarded as a complete one, and an unsafe request must not be retried
/// for it.
#[test]
fn reset_response_without_length_is_not_complete() {
    run_all(&cases(End::Reset), 3000, |case, Received { body, attempts, .. }| {
        assert!(body.is_none(), "{case:?}");
        assert_eq!(attempts, 1, "{case:?}");
    });
}

/// Guards against a response that goes on in small pieces forever: its client waited without an end.
#[test]
fn endless_response_is_ended() {
    let mut cases = Vec::new();
    for form in [Form::UntilClose, Form::Chunked] {
        for pause in [10, 60, 200].map(Duration::from_millis) {
            cases.push(ResponseCase { form, pieces: 1, length: 7, pause, end: End::Never });
        }
    }
    run_all(&cases, 500, |case, Received { body, is_closed, attempts }| {
        assert!(is_closed, "{case:?} has no end for the client");
        assert!(body.is_none(), "{case:?}");
        assert_eq!(attempts, 1, "{case:?}");
    });
}

/// Guards against a response without a deadline because it began while its request was still being sent.
#[test]
fn endless_response_to_partial_request_is_ended() {
    const BODY_BYTES: usize = 300_000;
    let listener = TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
    let address = listener.local_addr().expect("no local address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut writer = stream.expect("accept failed");
            let mut reader = writer.try_clone().expect("could not clone the socket");
            std::thread::spawn(move || std::io::copy(&mut reader, &mut std::io::sink()));
            std::thread::spawn(move || {
                let _ = writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                while writer.write_all(b"3\r\nabc\r\n").is_ok() {
                    std::thread::sleep(Duration::from_millis(60));
                }
            });
        }
    });
    let discovery_server = DiscoveryServer::start(json!([endpoint("h", address, "SERVING")]));
    let proxy = Proxy::start(&config(discovery_server.address, settings()));
    discovery_server.wait_until_list_received();
    let mut client = proxy.client();
    let request = post("pay", 500, "", &"x".repeat(BODY_BYTES));
    let (sent_first, sent_last) = request.split_at(request.len() - BODY_BYTES / 3);
    client.write(sent_first);
    let mut first = [0; 13];
    client.stream.read_exact(&mut first).expect("no response");
    assert_eq!(&first, b"HTTP/1.1 200 ");
    client.write(sent_last);
    assert!(read_to_end(&mut client.stream).1, "the response has no end for the client");
}
