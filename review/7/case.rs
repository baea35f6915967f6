//! An answer that never ends, most of which comes in one burst after the client's time, is passed on for many seconds.

#[path = "../stand_ins_2.rs"]
mod stand_ins;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use stand_ins::*;

/// One answer in so many is spoilt: it has no end.
const SPOILT_EVERY: u64 = 20;
/// It comes in small pieces, so far apart, and one large piece.
const APART_MS: u64 = 200;
const SMALL: usize = 16;
const LARGE: usize = 56 * 1024;
const LARGE_AT: usize = 4;
const REMAINING_MS: u64 = 600;
/// Up to half a second after its time an answer only earns nothing; 50 ms more on sockets.
const GRACE_MS: f64 = 500.0 + 50.0;
/// How long the clients look on after that.
const LOOK_ON_MS: u64 = 2_000;
const LENGTH: Duration = Duration::from_secs(25);

fn handler() -> Handler {
    let answers = AtomicU64::new(0);
    Arc::new(move |request, http| {
        let id = request.header("x-txn").to_owned();
        let is_spoilt = answers.fetch_add(1, Ordering::Relaxed) % SPOILT_EVERY == SPOILT_EVERY - 1;
        thread::sleep(Duration::from_millis(40));
        if !trouble() || !is_spoilt {
            return http.write(response("200 OK", "", &served_body(request)).as_bytes()).is_ok();
        }
        note(&format!("server: the answer to {id} will have no end"));
        if http.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
            return false;
        }
        let begun = Instant::now();
        for piece in 0.. {
            let size = if piece == LARGE_AT { LARGE } else { SMALL };
            if http.write(format!("{size:x}\r\n{}\r\n", "x".repeat(size)).as_bytes()).is_err() {
                break;
            }
            thread::sleep(Duration::from_millis(APART_MS));
        }
        note(&format!("server: the answer to {id} was taken for {:.1} s", begun.elapsed().as_secs_f64()));
        false
    })
}

fn main() {
    run(|| {
        let log = Log::default();
        let servers: Vec<OrderServer> =
            (0..6).map(|n| order_server(&format!("s-{n}"), &log, handler())).collect();
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
        let until = Instant::now() + LENGTH;
        let clients: Vec<_> = (0..4)
            .map(|_| {
                thread::spawn(move || {
                    let (mut whole, mut ended, mut lost) = (0, 0, 0);
                    while Instant::now() < until {
                        match one_request(listen) {
                            End::Whole => whole += 1,
                            End::Ended => ended += 1,
                            End::Lost => lost += 1,
                        }
                        thread::sleep(Duration::from_millis(20));
                    }
                    (whole, ended, lost)
                })
            })
            .collect();
        let (mut whole, mut ended, mut lost) = (0, 0, 0);
        for client in clients {
            let of_client = client.join().map_err(|_| "a client failed")?;
            (whole, ended, lost) = (whole + of_client.0, ended + of_client.1, lost + of_client.2);
        }
        // What is still passed on may go on for a while; the record tells for how long.
        thread::sleep(Duration::from_secs(3));
        if proxy.has_ended() {
            return Err("the client proxy ended".to_owned());
        }
        note(&format!(
            "CHECK whole answers {whole}, ended without one in time {ended}, neither {GRACE_MS} ms after their time {lost}"
        ));
        if whole < 100 {
            return Err("too few requests were answered".to_owned());
        }
        Ok(lost == 0)
    })
}

enum End {
    Whole,
    Ended,
    Lost,
}

/// One request on a connection of its own.
fn one_request(listen: std::net::SocketAddr) -> End {
    let id = new_id();
    let Ok(mut http) = Http::connect(listen) else { return End::Ended };
    if http.write(reservering(&id, REMAINING_MS).as_bytes()).is_err() {
        return End::Ended;
    }
    let sent_ms = now_ms();
    let look_on = REMAINING_MS + GRACE_MS as u64 + LOOK_ON_MS;
    let answer = http.read(Some(Instant::now() + Duration::from_millis(look_on)));
    let took = now_ms() - sent_ms;
    let (status, is_whole, length) =
        answer.as_ref().map_or((0, false, 0), |answer| (answer.status(), answer.complete, answer.body.len()));
    note(&format!("client: {id}: {status}, whole: {is_whole}, {length} bytes, {took:.0} ms"));
    if took > REMAINING_MS as f64 + GRACE_MS {
        note(&format!(
            "LOST {id}: its time was {REMAINING_MS} ms, and {took:.0} ms after it was sent it had no end"
        ));
        End::Lost
    } else if is_whole {
        End::Whole
    } else {
        End::Ended
    }
}
