//! Crowds of clients that write slowly, stop in the middle of a request or read slowly, and a client proxy with the
//! least memory that the platform gives.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::slice::Chunks;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::bodies::*;
use super::*;

pub const MEMORY_LIMIT_BYTES: u64 = 32_000_000;
const DESCRIPTOR_LIMIT: u64 = 1024;
/// Fewer than descriptors allow.
pub const CROWD_SIZE: usize = 700;
/// More than the systems hold of it for a client that does not read.
pub const LONG_RESPONSE_BYTES: usize = 4 << 20;
/// The most fields that the HTTP library accepts, less those of a complete request.
const MANY_FIELDS: usize = 85;
/// Time between two steps of a crowd that comes again.
const STEP: Duration = Duration::from_millis(10);

/// A client proxy's limits, for a discovery that lists this endpoint.
pub fn limited_config(discovery: SocketAddr) -> Value {
    let mut config = config(discovery, settings());
    let memory_mb = MEMORY_LIMIT_BYTES / 1_000_000;
    config["limits"] = json!({"cores": 1.0, "memory_mb": memory_mb, "sockets": DESCRIPTOR_LIMIT});
    config
}

/// Lists one endpoint under twelve names, since one is given few requests at a time.
pub fn twelve_endpoints_at(address: SocketAddr) -> Value {
    (0..12).map(|n| endpoint(&format!("h{n}"), address, "SERVING")).collect()
}

/// Fields that are as short as they can be, so that each costs far more than its bytes.
pub fn short_fields() -> String {
    (0..MANY_FIELDS).map(|n| format!("a{n}:\r\n")).collect()
}

/// A field that fills a head to almost the longest that is accepted.
pub fn long_field() -> String {
    format!("X-Long: {}\r\n", "y".repeat(15_000))
}

/// A request that stops half-way through its body.
pub fn partial_request(fields: &str) -> Vec<u8> {
    let head = post_without_length("pay", "") + fields + "Content-Length: 300000\r\n\r\n";
    [head.into_bytes(), vec![b'y'; 100_000]].concat()
}

/// A request for a long response.
pub fn complete_request(fields: &str) -> Vec<u8> {
    look_request(3000).replace("\r\n\r\n", &format!("\r\n{fields}\r\n")).into_bytes()
}

/// An upstream with a long response to each GET request, and a short one to others.
pub fn long_response_upstream(length: usize) -> SocketAddr {
    raw_upstream(move |reader, writer| {
        let response = vec![b'x'; length];
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        while let Some(request) = read_head(reader) {
            let is_complete = read_body(reader, &request).is_some();
            let written = match request.starts_with("get ") {
                true => writer.write_all(head.as_bytes()).and_then(|()| writer.write_all(&response)),
                false => writer.write_all(http_response("200 OK", "", "fine").as_bytes()),
            };
            if !is_complete || written.is_err() {
                return;
            }
        }
    })
}

/// An upstream that takes so long for each request.
pub fn slow_upstream(work: Duration) -> SocketAddr {
    raw_upstream(move |reader, writer| {
        while read_head(reader).is_some() {
            std::thread::sleep(work);
            if writer.write_all(http_response("200 OK", "", "fine").as_bytes()).is_err() {
                return;
            }
        }
    })
}

pub fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let client = TcpStream::connect(address)?;
    client.set_nonblocking(true)?;
    Ok(client)
}

/// Writes what the system takes of `text`. Some clients have been answered and closed by then.
pub fn write_now(client: &mut TcpStream, text: &[u8]) {
    let _ = client.write(text);
}

/// Clients that write a request in pieces and come again as soon as they are answered, so that memory goes from one
/// purpose to another.
pub struct ReturningCrowd<'t> {
    address: SocketAddr,
    clients: Vec<ReturningClient<'t>>,
    piece_bytes: usize,
}

struct ReturningClient<'t> {
    stream: TcpStream,
    text: &'t [u8],
    pieces: Chunks<'t, u8>,
}

impl<'t> ReturningCrowd<'t> {
    /// Connects the clients, which have these texts in turn.
    pub fn connect(address: SocketAddr, texts: &'t [Vec<u8>], piece_bytes: usize) -> ReturningCrowd<'t> {
        let clients = texts.iter().cycle().take(CROWD_SIZE).map(|text| ReturningClient {
            stream: connect(address).expect("could not connect"),
            text,
            pieces: text.chunks(piece_bytes),
        });
        ReturningCrowd { address, clients: clients.collect(), piece_bytes }
    }

    /// Goes on for so long; `observe` is called at each step.
    pub fn go_on(&mut self, time: Duration, mut observe: impl FnMut()) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.step();
            observe();
            std::thread::sleep(STEP);
        }
    }

    fn step(&mut self) {
        for client in &mut self.clients {
            let Some(piece) = client.pieces.next() else {
                let is_waiting = client.stream.read(&mut [0; 512]).is_err_and(is_would_block);
                // Refused while no process listens.
                if let Some(stream) = (!is_waiting).then(|| connect(self.address).ok()).flatten() {
                    (client.stream, client.pieces) = (stream, client.text.chunks(self.piece_bytes));
                }
                continue;
            };
            write_now(&mut client.stream, piece);
        }
    }
}

fn is_would_block(error: std::io::Error) -> bool {
    error.kind() == std::io::ErrorKind::WouldBlock
}
