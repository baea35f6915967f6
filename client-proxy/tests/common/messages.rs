//! HTTP messages, as the tests write and read them.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};

/// One HTTP message as received.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(header, _)| header.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|code| code.parse().ok()).expect("invalid status line")
    }
}

/// Reads one message; `None` if the peer has closed the connection or the message is incomplete.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        message.headers.push((name.to_owned(), value.trim().to_owned()));
    }
    if message.header("transfer-encoding") == Some("chunked") {
        message.body = read_chunked_body(reader)?;
        return Some(message);
    }
    let length = message.header("content-length").map_or(0, |digits| digits.parse().expect("invalid length"));
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Reads a chunked body and its trailers; `None` if it is truncated or malformed.
pub fn read_chunked_body(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let length = usize::from_str_radix(read_line(reader)?.split(';').next()?, 16).ok()?;
        if length == 0 {
            while !read_line(reader)?.is_empty() {}
            return Some(body);
        }
        let from = body.len();
        body.resize(from + length, 0);
        reader.read_exact(&mut body[from..]).ok()?;
        read_line(reader)?;
    }
}

/// Reads a line and returns it without its end; `None` at the end of the stream.
fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    (reader.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_owned())
}

pub fn http_response(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

pub fn look_request(remaining_ms: u64) -> String {
    format!(
        "GET /look/7?q=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: t1\r\nX-Lane: look\r\nX-Org: acme\r\n\
         Cookie: obj=k1\r\nX-Remaining-Ms: {remaining_ms}\r\n\r\n"
    )
}

/// Each request has an id of its own, and all ids have the same length.
pub fn post(class: &str, remaining_ms: u64, headers: &str, body: &str) -> String {
    static LAST_ID: AtomicU64 = AtomicU64::new(0);
    let id = format!("p{:07}", LAST_ID.fetch_add(1, Ordering::Relaxed));
    post_with_id(&id, class, remaining_ms, headers, body)
}

pub fn post_with_id(id: &str, class: &str, remaining_ms: u64, headers: &str, body: &str) -> String {
    format!(
        "POST /{class} HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {id}\r\nX-Lane: {class}\r\nX-Org: acme\r\n\
         X-Remaining-Ms: {remaining_ms}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A request that the client proxy answers itself, without an endpoint.
pub const READY_REQUEST: &str = "GET /ready HTTP/1.1\r\nHost: p\r\n\r\n";
