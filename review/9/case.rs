//! A new process whose discovery agent is silent serves from an old list, and sends to an order server that drains.

#[path = "../stand_ins_2.rs"]
mod stand_ins;

use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use stand_ins::*;

/// How long discovery is down.
const DOWN_MS: u64 = 8_000;
/// The grace for drains (settings), and 50 ms on sockets.
const GRACE_MS: f64 = 1_500.0 + 50.0;

fn main() {
    run(|| {
        let log = Log::default();
        let servers: Vec<OrderServer> =
            (0..6).map(|n| order_server(&format!("s-{n}"), &log, answers_after(40))).collect();
        let discovery = Discovery::new(&servers);
        let (address, _door) = discovery.open();
        let config = |known| ProxyConfig {
            discovery: address,
            discovery_mode: "automatic",
            known,
            sockets: 256,
            memory_mb: 96,
        };
        let mut first = Proxy::start(config(discovery.whole()));
        first.wait_ready()?;
        let listen = first.address;
        for _ in 0..20 {
            send_one(listen);
        }
        // What this client proxy last had is what the next process is told.
        let known = discovery.whole();
        first.kill();
        if trouble() {
            discovery.drain("s-0");
            thread::sleep(Duration::from_millis(500));
            note(&format!("discovery goes down for {DOWN_MS} ms; the agent is silent and keeps what it has"));
            discovery.silent.store(true, Ordering::Relaxed);
            let silent = discovery.silent.clone();
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(DOWN_MS));
                note("discovery is back, the agent answers");
                silent.store(false, Ordering::Relaxed);
            });
        } else {
            discovery.drain("s-0");
            thread::sleep(Duration::from_millis(500));
        }
        let started_ms = now_ms();
        let mut second = Proxy::start_at(listen, config(known));
        second.wait_ready()?;
        note(&format!("CHECK ready after {:.0} ms", now_ms() - started_ms));
        let clients: Vec<_> = (0..3)
            .map(|_| {
                thread::spawn(move || {
                    let until = Instant::now() + Duration::from_secs(12);
                    let mut answered = 0;
                    while Instant::now() < until {
                        answered += u32::from(send_one(listen));
                        thread::sleep(Duration::from_millis(40));
                    }
                    answered
                })
            })
            .collect();
        let answered: u32 = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
        if second.has_ended() {
            return Err("the client proxy ended".to_owned());
        }
        let log = log.lock().expect("lock");
        let late: Vec<&Seen> = log
            .iter()
            .filter(|seen| seen.server == "s-0" && seen.first_byte_ms > started_ms + GRACE_MS)
            .collect();
        for seen in &late {
            note(&format!(
                "DRAIN request {} at s-0, {:.0} ms after the process was started",
                seen.id,
                seen.first_byte_ms - started_ms
            ));
        }
        note(&format!(
            "CHECK answered {answered}, sent to the draining order server later than {GRACE_MS} ms: {}, the last after {:.0} ms",
            late.len(),
            late.last().map_or(0.0, |seen| seen.first_byte_ms - started_ms)
        ));
        if answered < 100 {
            return Err("too few requests were answered".to_owned());
        }
        Ok(late.is_empty())
    })
}

/// One request on a connection of its own; whether it was answered.
fn send_one(listen: std::net::SocketAddr) -> bool {
    let Ok(mut http) = Http::connect(listen) else { return false };
    let id = new_id();
    if http.write(reservering(&id, 600).as_bytes()).is_err() {
        return false;
    }
    let answer = http.read(Some(Instant::now() + Duration::from_secs(2)));
    note(&format!("client: {id} answered {}", answer.as_ref().map_or(0, Message::status)));
    answer.is_ok()
}
