//! A long answer without a length, which an order server gives in pieces, is cut off at the client's deadline.

#[path = "../stand_ins_2.rs"]
mod stand_ins;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use stand_ins::*;

/// The answer: so many pieces of so many bytes, so far apart.
const PIECES: usize = 6;
const PIECE: usize = 24 * 1024;
const APART_MS: u64 = 450;
const FIRST_MS: u64 = 40;
const REMAINING_MS: u64 = 600;
/// One answer in so many is long; the others are short and have a length.
const LONG_EVERY: u64 = 10;
const REQUESTS: usize = 100;

fn handler(answers: &Arc<AtomicU64>) -> Handler {
    let answers = Arc::clone(answers);
    Arc::new(move |request, http| {
        let id = request.header("x-txn").to_owned();
        let is_long = answers.fetch_add(1, Ordering::Relaxed) % LONG_EVERY == LONG_EVERY - 1;
        thread::sleep(Duration::from_millis(FIRST_MS));
        if !is_long {
            return http.write(response("200 OK", "", &served_body(request)).as_bytes()).is_ok();
        }
        let piece = "x".repeat(PIECE);
        if http.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
            return false;
        }
        for n in 0..PIECES {
            if n > 0 && trouble() {
                thread::sleep(Duration::from_millis(APART_MS));
            }
            note(&format!("server: piece {n} of the answer to {id}"));
            if http.write(format!("{PIECE:x}\r\n{piece}\r\n").as_bytes()).is_err() {
                note(&format!("server: the answer to {id} cannot be given any more"));
                return false;
            }
        }
        http.write(b"0\r\n\r\n").is_ok()
    })
}

fn main() {
    run(|| {
        let (log, answers) = (Log::default(), Arc::new(AtomicU64::new(0)));
        let servers: Vec<OrderServer> =
            (0..6).map(|n| order_server(&format!("s-{n}"), &log, handler(&answers))).collect();
        let discovery = Discovery::new(&servers);
        let (address, _door) = discovery.open();
        let known = discovery.whole();
        let mut proxy = Proxy::start(ProxyConfig {
            discovery: address,
            discovery_mode: "subscribe",
            known,
            sockets: 256,
            memory_mb: 96,
        });
        proxy.wait_ready()?;
        let listen = proxy.address;
        let clients: Vec<_> = (0..REQUESTS)
            .map(|_| {
                thread::sleep(Duration::from_millis(100));
                thread::spawn(move || one_request(listen))
            })
            .collect();
        let (mut whole, mut cut, mut other) = (0, 0, 0);
        for client in clients {
            match client.join().map_err(|_| "a client failed")? {
                (200, true, _) => whole += 1,
                (200, false, _) => cut += 1,
                _ => other += 1,
            }
        }
        if proxy.has_ended() {
            return Err("the client proxy ended".to_owned());
        }
        note(&format!(
            "CHECK answers of {} bytes: whole {whole}, cut off {cut}, other {other}",
            PIECE * PIECES
        ));
        if whole + cut == 0 {
            return Err("no answer was begun".to_owned());
        }
        Ok(cut == 0)
    })
}

/// One request; its status, whether the body came whole, and its length.
fn one_request(listen: std::net::SocketAddr) -> (u16, bool, usize) {
    let id = new_id();
    let Ok(mut http) = Http::connect(listen) else { return (0, false, 0) };
    if http.write(reservering(&id, REMAINING_MS).as_bytes()).is_err() {
        return (0, false, 0);
    }
    let sent_ms = now_ms();
    let answer = http.read(Some(Instant::now() + Duration::from_secs(20))).unwrap_or_default();
    let took = now_ms() - sent_ms;
    let (status, complete, length) = (answer.status(), answer.complete, answer.body.len());
    note(&format!("client: {id}: {status}, whole: {complete}, {length} bytes, ended after {took:.0} ms"));
    (status, complete, length)
}
