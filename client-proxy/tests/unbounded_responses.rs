//! Responses without `Content-Length`: a complete one is forwarded, and a reset never counts as its end.

mod common;

use std::io::{BufReader, Read, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

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
    fn respond(&self, reader: &mut BufReader<std::net::TcpStream>) -> std::io::Result<()> {
        let stream = reader.get_mut();
        let form = match self.form {
            Form::UntilClose => "Connection: close",
            Form::Chunked => "Transfer-Encoding: chunked",
        };
        stream.write_all(format!("HTTP/1.1 200 OK\r\n{form}\r\n\r\n").as_bytes())?;
        let body = self.body();
        for piece in body.chunks(self.length.max(1)) {
            std::thread::sleep(self.pause);
            match self.form {
                Form::UntilClose => stream.write_all(piece)?,
                Form::Chunked => {
                    let head = format!("{:x}\r\n", piece.len());
                    stream.write_all(&[head.as_bytes(), piece, b"\r\n"].concat())?;
                }
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
        }
    }
}

/// The body that a client receives from such a response, if it takes it for a complete 200, and the number
/// of attempts.
fn forwarded(case: ResponseCase) -> (Option<Vec<u8>>, usize) {
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
    client.write(&post("pay", 3000, "Connection: close\r\n", ""));
    let mut received = Vec::new();
    let is_closed = client.stream.read_to_end(&mut received).is_ok();
    let body = complete_body(&received).filter(|_| is_closed);
    (body, attempts.load(Ordering::SeqCst))
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

/// Runs all cases, eight at a time since they mostly sleep.
fn run_all(end: End, check: fn(&ResponseCase, Option<Vec<u8>>, usize)) {
    let cases = cases(end);
    for batch in cases.chunks(8) {
        std::thread::scope(|scope| {
            for case in batch {
                scope.spawn(move || {
                    let (body, attempts) = forwarded(*case);
                    check(case, body, attempts);
                });
            }
        });
    }
}

/// A complete response must not be failed for having no length.
#[test]
fn complete_response_without_length_is_forwarded() {
    run_all(End::Complete, |case, body, attempts| {
        assert!(body == Some(case.body()), "{case:?}: {:?}", body.map(|body| body.len()));
        assert_eq!(attempts, 1, "{case:?}");
    });
}

/// A truncated response must not be forwarded as a complete one, and an unsafe request must not be retried
/// for it.
#[test]
fn reset_response_without_length_is_not_complete() {
    run_all(End::Reset, |case, body, attempts| {
        assert!(body.is_none(), "{case:?}");
        assert_eq!(attempts, 1, "{case:?}");
    });
}
