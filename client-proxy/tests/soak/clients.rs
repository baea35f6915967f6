//! Clients of a play that keep to the protocol: one request at a time on connections that they keep, each under an
//! id of its own, and every answer is waited for.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use rand_core::Rng;
use rand_pcg::Pcg32;

use super::common::post_with_id;
use super::judge::{Judge, LOST_AFTER};

/// Unit of the pauses of a client.
const PAUSE: Duration = Duration::from_millis(1);
/// Only the first bytes of a longer answer are due.
const MAX_SHORT_ANSWER: usize = 64 * 1024;

/// Where clients connect, and when the process there was killed.
pub struct Target {
    pub address: SocketAddr,
    pub killed_at: Option<Instant>,
}

struct DrawnRequest {
    id: String,
    text: Vec<u8>,
    timeout: Duration,
}

fn draw_request(id: String, random: &mut Pcg32) -> DrawnRequest {
    let mut below = |limit: u32| random.next_u32() % limit;
    let timeout_ms = u64::from(200 + below(600));
    let body = "b".repeat(match below(12) {
        0 => 70_000 + below(900_000) as usize,
        1 => below(64_000) as usize,
        _ => below(300) as usize,
    });
    let text = match below(3) {
        0 => format!(
            "GET /look/7 HTTP/1.1\r\nHost: o\r\nX-Txn: {id}\r\nX-Lane: look\r\nX-Org: acme\r\n\
             X-Remaining-Ms: {timeout_ms}\r\n\r\n"
        ),
        1 => post_with_id(&id, "keep", timeout_ms, &format!("Idempotency-Key: {id}\r\n"), &body),
        _ if below(2) == 0 => post_with_id(&id, "pay", timeout_ms, "", &body),
        _ => {
            let head = post_with_id(&id, "pay", timeout_ms, "", "");
            let head = head.split("Content-Length").next().unwrap_or_default();
            let chunk =
                if body.is_empty() { String::new() } else { format!("{:x}\r\n{body}\r\n", body.len()) };
            format!("{head}Transfer-Encoding: chunked\r\n\r\n{chunk}0\r\n\r\n")
        }
    };
    DrawnRequest { id, text: text.into_bytes(), timeout: Duration::from_millis(timeout_ms) }
}

/// How an exchange ended.
enum Ending {
    /// With a status; whether the connection may be used again.
    Answered(u16, bool),
    /// The connection was closed or reset before an answer began.
    Closed,
    /// The answer broke off.
    Truncated,
    /// Nothing came by the time at which the request is lost.
    Late,
}

/// Sends requests until the play is over.
pub fn run(name: &str, target: &Mutex<Target>, judge: &Judge, random: &mut Pcg32, until: Instant) {
    let mut connection: Option<(TcpStream, SocketAddr)> = None;
    let (mut number, mut unread): (u64, Option<DrawnRequest>) = (0, None);
    while Instant::now() < until {
        let address = target.lock().expect("another thread panicked").address;
        if connection.is_none() {
            connection = TcpStream::connect(address).ok().map(|stream| (stream, address));
        }
        let Some((stream, connected_to)) = &mut connection else {
            std::thread::sleep(PAUSE);
            continue;
        };
        let is_repeated = unread.is_some();
        let request = unread.take().unwrap_or_else(|| draw_request(format!("{name}-{number}"), random));
        number += 1;
        let exchange =
            Exchange { request, target, connected_to: *connected_to, started: Instant::now(), judge };
        let (is_complete, ending) = send_and_read(stream, &exchange.request);
        exchange.judge_effects();
        let is_reusable = matches!(ending, Ending::Answered(_, true)) && is_complete;
        if exchange.may_have_crossed_a_close(&ending) && !is_repeated {
            unread = Some(exchange.request);
        } else if is_complete {
            exchange.judge_ending(&ending);
        }
        if !is_reusable {
            connection = None;
        }
        std::thread::sleep(PAUSE * (random.next_u32() % 20));
    }
}

/// One request on one connection, and what the play knows of it.
struct Exchange<'p> {
    request: DrawnRequest,
    target: &'p Mutex<Target>,
    connected_to: SocketAddr,
    started: Instant,
    judge: &'p Judge,
}

impl Exchange<'_> {
    fn has_run(&self) -> bool {
        self.judge.executions(&self.request.id) > 0
    }

    /// Whether the connection was closed before the request was read, so that its client sends it once more.
    fn may_have_crossed_a_close(&self, ending: &Ending) -> bool {
        if !matches!(ending, Ending::Closed) {
            return false;
        }
        // Gives an endpoint that has the request the time to say so.
        std::thread::sleep(PAUSE * 20);
        !self.has_run()
    }

    fn judge_effects(&self) {
        let is_unsafe = self.request.text.starts_with(b"POST /pay");
        if is_unsafe && self.judge.executions(&self.request.id) > 1 {
            self.judge.violated("doubled", self.request.id.clone());
        }
    }

    fn judge_ending(&self, ending: &Ending) {
        let Exchange { request, started, .. } = self;
        let described =
            format!("{}, {} bytes, {:?} to wait", request.id, request.text.len(), request.timeout);
        match ending {
            Ending::Answered(status, _) => self.judge.answered(*status),
            Ending::Truncated => self.judge.answered(0),
            Ending::Late if self.is_killed() => {}
            Ending::Late => {
                self.judge.violated("late", format!("{described}: no answer after {:?}", started.elapsed()));
            }
            // What has been forwarded is answered before the kill.
            Ending::Closed if self.has_run() || !self.is_killed() => {
                self.judge.violated("lost", format!("{described}: closed, executed: {}", self.has_run()));
            }
            Ending::Closed => {}
        }
    }

    /// Whether the process was killed since the request began.
    fn is_killed(&self) -> bool {
        let target = self.target.lock().expect("another thread panicked");
        // Another address is that of the next process, so the one asked for was killed.
        target.address != self.connected_to || target.killed_at.is_some_and(|at| at >= self.started)
    }
}

/// Sends a request and reads its answer; also returns whether all of the request was sent.
fn send_and_read(stream: &mut TcpStream, request: &DrawnRequest) -> (bool, Ending) {
    stream.set_write_timeout(Some(request.timeout + LOST_AFTER)).expect("could not set the timeout");
    let is_complete = stream.write_all(&request.text).is_ok();
    let lost_at = Instant::now() + request.timeout + LOST_AFTER;
    (is_complete, read_answer(stream, lost_at))
}

fn read_answer(stream: &TcpStream, lost_at: Instant) -> Ending {
    let left = |until: Instant| until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let set_timeout = |timeout| stream.set_read_timeout(Some(timeout)).expect("could not set the timeout");
    let mut reader = BufReader::new(stream);
    let (mut head, mut body_bytes) = (String::new(), 0);
    while !head.ends_with("\r\n\r\n") {
        set_timeout(left(lost_at));
        match reader.read_line(&mut head) {
            Ok(1..) => {}
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Ending::Late;
            }
            _ => return Ending::Closed,
        }
    }
    let head = head.to_ascii_lowercase();
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or_default();
    let is_reusable = !head.contains("connection: close");
    let length =
        head.split("content-length: ").nth(1).and_then(|rest| rest.split("\r\n").next()?.parse().ok());
    loop {
        let bytes = match length {
            Some(length) if body_bytes >= length => return Ending::Answered(status, is_reusable),
            Some(length) => length - body_bytes,
            None => {
                let mut line = String::new();
                set_timeout(if body_bytes > MAX_SHORT_ANSWER {
                    Duration::from_secs(3)
                } else {
                    left(lost_at)
                });
                let size = reader
                    .read_line(&mut line)
                    .ok()
                    .and_then(|_| usize::from_str_radix(line.trim(), 16).ok());
                match size {
                    Some(0) => {
                        let _ = reader.read_line(&mut line);
                        return Ending::Answered(status, is_reusable);
                    }
                    Some(size) => size,
                    None => return Ending::Truncated,
                }
            }
        };
        set_timeout(Duration::from_secs(3));
        let read = std::io::copy(&mut (&mut reader).take(bytes as u64), &mut std::io::sink());
        match read {
            Ok(read) if read as usize == bytes => body_bytes += bytes,
            _ => return Ending::Truncated,
        }
        if length.is_none() {
            let _ = reader.read_line(&mut String::new());
        }
    }
}
