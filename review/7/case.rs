//! Idle clients fill the descriptors: a request on a new connection is neither answered nor shut by its time.

#[path = "../stand_ins_2.rs"]
mod stand_ins;

use std::thread;
use std::time::{Duration, Instant};

use stand_ins::*;

/// The limit on descriptors (settings of the case), and the idle clients that fill them.
const SOCKETS: usize = 256;
const IDLE: usize = 240;
const REMAINING_MS: u64 = 480;
/// Up to half a second after its time an answer only earns nothing; 50 ms more on sockets.
const GRACE_MS: f64 = 500.0 + 50.0;

fn main() {
    run(|| {
        let log = Log::default();
        let servers: Vec<OrderServer> =
            (0..6).map(|n| order_server(&format!("s-{n}"), &log, answers_after(60))).collect();
        let discovery = Discovery::new(&servers);
        let (address, _door) = discovery.open();
        let known = discovery.whole();
        let mut proxy = Proxy::start(ProxyConfig {
            discovery: address,
            discovery_mode: "subscribe",
            known,
            sockets: SOCKETS,
            memory_mb: 96,
        });
        proxy.wait_ready()?;
        let listen = proxy.address;
        let (mut lost, mut answered, mut shut) = (0, 0, 0);
        for _ in 0..3 {
            let idle: Vec<Http> = if trouble() {
                note(&format!("{IDLE} idle clients connect and send nothing"));
                (0..IDLE).filter_map(|_| Http::connect(listen).ok()).collect()
            } else {
                Vec::new()
            };
            thread::sleep(Duration::from_millis(200));
            let clients: Vec<_> = (0..8)
                .map(|_| {
                    thread::sleep(Duration::from_millis(25));
                    thread::spawn(move || one_request(listen))
                })
                .collect();
            for client in clients {
                match client.join().map_err(|_| "a client failed")? {
                    End::Answered => answered += 1,
                    End::Shut => shut += 1,
                    End::Lost => lost += 1,
                }
            }
            drop(idle);
            thread::sleep(Duration::from_millis(3_500));
        }
        if proxy.has_ended() {
            return Err("the client proxy ended".to_owned());
        }
        note(&format!("CHECK answered in time {answered}, shut unread {shut}, neither by {REMAINING_MS} + {GRACE_MS} ms {lost}"));
        Ok(lost == 0)
    })
}

enum End {
    Answered,
    Shut,
    Lost,
}

/// A proper request on a new connection.
fn one_request(listen: std::net::SocketAddr) -> End {
    let id = new_id();
    let Ok(mut http) = Http::connect(listen) else {
        note(&format!("client: {id} not connected"));
        return End::Shut;
    };
    if http.write(reservering(&id, REMAINING_MS).as_bytes()).is_err() {
        return End::Shut;
    }
    let sent_ms = now_ms();
    let answer = http.read(Some(Instant::now() + Duration::from_secs(5)));
    let took = now_ms() - sent_ms;
    let what = match &answer {
        Ok(answer) => answer.status().to_string(),
        Err(error) => error.to_string(),
    };
    note(&format!("client: {id}: {what} after {took:.0} ms"));
    if took > REMAINING_MS as f64 + GRACE_MS {
        note(&format!("LOST {id}: its time was {REMAINING_MS} ms, neither an answer nor a close for {took:.0} ms"));
        End::Lost
    } else if answer.is_ok() {
        End::Answered
    } else {
        End::Shut
    }
}
