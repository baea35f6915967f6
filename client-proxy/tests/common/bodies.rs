//! Long bodies: endpoints that read and write them, and a client proxy with little memory.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};

use super::*;

/// Far more than is buffered, and than the initial socket buffers of the system hold.
pub const LONG_BODY_BYTES: usize = 3 << 20;

/// Bytes that differ from one position to the next.
pub fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i * 31 + i / 251) as u8).collect()
}

/// A scripted upstream: `serve` handles each connection, given as a reader and a writer.
pub fn raw_upstream(
    serve: impl Fn(&mut BufReader<TcpStream>, &mut TcpStream) + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
    let address = listener.local_addr().expect("no local address");
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (serve, mut stream) = (Arc::clone(&serve), stream.expect("accept failed"));
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("could not clone the socket"));
                serve(&mut reader, &mut stream);
                let _ = stream.shutdown(std::net::Shutdown::Both);
            });
        }
    });
    address
}

/// Reads the head of a message, up to the empty line, in lower case.
pub fn read_head(reader: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head.to_ascii_lowercase())
}

/// Reads a body in the transfer coding that the head names; `None` if it is truncated.
pub fn read_body(reader: &mut impl BufRead, head: &str) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    if let Some(rest) = head.split("content-length: ").nth(1) {
        body.resize(rest.split("\r\n").next()?.parse().ok()?, 0);
        reader.read_exact(&mut body).ok()?;
    } else if head.contains("transfer-encoding: chunked") {
        return read_chunked_body(reader);
    }
    Some(body)
}

/// A client proxy with 48 MB for these upstreams.
pub fn proxy_for(upstreams: &[SocketAddr]) -> (Proxy, DiscoveryServer) {
    let entries =
        upstreams.iter().enumerate().map(|(i, upstream)| endpoint(&format!("h{i}"), *upstream, "SERVING"));
    let discovery_server = DiscoveryServer::start(entries.collect());
    let mut config = config(discovery_server.address, settings());
    config["admin_addr"] = json!("127.0.0.1:0");
    config["limits"]["memory_mb"] = json!(48);
    let proxy = Proxy::start(&config);
    discovery_server.wait_until_list_received();
    (proxy, discovery_server)
}

/// The head of a request, without the header for its transfer coding.
pub fn post_without_length(class: &str, headers: &str) -> String {
    let complete = post(class, 3000, headers, "");
    complete.split("Content-Length").next().expect("no message head").to_owned()
}

/// An upstream that reports each request body, `None` if truncated, and responds with 200.
pub fn body_recording_upstream() -> (SocketAddr, Receiver<Option<Vec<u8>>>) {
    let (sender, bodies) = channel();
    let sender = Mutex::new(sender);
    let address = raw_upstream(move |reader, writer| {
        while let Some(head) = read_head(reader) {
            let body = read_body(reader, &head);
            let is_truncated = body.is_none();
            sender.lock().expect("another thread panicked").send(body).unwrap_or_default();
            if is_truncated || writer.write_all(http_response("200 OK", "", "taken").as_bytes()).is_err() {
                return;
            }
        }
    });
    (address, bodies)
}
