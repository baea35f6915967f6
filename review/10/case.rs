//! New configurations in quick succession, while discovery is slow: the client proxy hears of a drain too late.

#[path = "../stand_ins_2.rs"]
mod stand_ins;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use stand_ins::*;

/// How long discovery takes for a call.
const CALL_MS: u64 = 2_500;
/// New configurations, and the time between them.
const RELOADS: usize = 4;
const APART_MS: u64 = 2_000;
/// What discovery has to tell counts as told 4 s after the signal; then comes the grace for drains, and 50 ms on
/// sockets.
const TOLD_MS: f64 = 4_000.0;
const GRACE_MS: f64 = 1_500.0 + 50.0;

fn main() {
    run(|| {
        let log = Log::default();
        let servers: Vec<OrderServer> =
            (0..6).map(|n| order_server(&format!("s-{n}"), &log, answers_after(40))).collect();
        let discovery = Discovery::new(&servers);
        let (address, mut door) = discovery.open();
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
        thread::sleep(Duration::from_millis(2_000));
        let stop = Arc::new(AtomicBool::new(false));
        let clients: Vec<_> = (0..3)
            .map(|_| {
                let stop = Arc::clone(&stop);
                thread::spawn(move || {
                    let mut answered = 0;
                    while !stop.load(Ordering::Relaxed) {
                        answered += u32::from(send_one(listen));
                        thread::sleep(Duration::from_millis(40));
                    }
                    answered
                })
            })
            .collect();
        if trouble() {
            note(&format!("discovery is slow from now on: {CALL_MS} ms for a call"));
            discovery.call_ms.store(CALL_MS, Ordering::Relaxed);
        }
        let mut signal_ms = 0.0;
        for n in 0..if trouble() { RELOADS } else { 1 } {
            if n > 0 {
                thread::sleep(Duration::from_millis(APART_MS));
            }
            let (next, next_door) = discovery.open();
            proxy.reload(next);
            door.close_after(1_500);
            door = next_door;
            if n == 0 {
                signal_ms = now_ms();
                thread::sleep(Duration::from_millis(100));
                discovery.drain("s-0");
            }
        }
        thread::sleep(Duration::from_millis(7_000));
        stop.store(true, Ordering::Relaxed);
        let answered: u32 = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
        if proxy.has_ended() {
            return Err("the client proxy ended".to_owned());
        }
        let allowed = signal_ms + TOLD_MS + GRACE_MS;
        let log = log.lock().expect("lock");
        let at_s0: Vec<&Seen> = log.iter().filter(|seen| seen.server == "s-0").collect();
        let late: Vec<&&Seen> = at_s0.iter().filter(|seen| seen.first_byte_ms > allowed).collect();
        for seen in &late {
            note(&format!(
                "DRAIN request {} at s-0, {:.0} ms after the first signal",
                seen.id,
                seen.first_byte_ms - signal_ms
            ));
        }
        note(&format!(
            "CHECK answered {answered}, sent to the draining order server later than {:.0} ms after the first signal: {}, the last after {:.0} ms",
            TOLD_MS + GRACE_MS,
            late.len(),
            at_s0.last().map_or(0.0, |seen| seen.first_byte_ms - signal_ms)
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
