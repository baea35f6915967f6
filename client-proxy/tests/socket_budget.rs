//! An exhausted socket budget: requests wait for a socket, and end within their deadline.

mod common;

use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::faults::{Faulty, LONG_DEADLINE_MS};
use common::*;
use serde_json::json;

/// Lowest limit on descriptors that the configuration allows. Beside those of the process itself and of
/// operators, it leaves 21 sockets, of which clients may have 15.
const MIN_SOCKETS: usize = 64;

const MAX_CLIENTS: usize = 15;

const IN_FLIGHT: usize = 6;

const WAITING: usize = 2;

/// A client proxy whose socket budget is exhausted, by as many clients as are admitted and by connections
/// to endpoints that delay their responses. The requests of [`WAITING`] more of the clients find no socket.
struct FullBudget {
    faulty: Faulty,
    upstreams: Vec<Upstream>,
    release: Sender<()>,
    in_flight: Vec<Client>,
    waiting: Vec<Client>,
    _idle: Vec<Client>,
}

impl FullBudget {
    fn start(waiting_deadline_ms: u64) -> FullBudget {
        let (release, released) = channel();
        let released = Arc::new(Mutex::new(released));
        let upstreams: Vec<Upstream> = (0..4).map(|_| gated_upstream(Arc::clone(&released))).collect();
        let faulty = Faulty::start(&upstreams.iter().collect::<Vec<_>>(), |config| {
            config["limits"]["sockets"] = json!(MIN_SOCKETS);
            config["admin_addr"] = json!("127.0.0.1:0");
        });
        let mut idle: Vec<Client> = (0..MAX_CLIENTS).map(|_| faulty.proxy.client()).collect();
        for client in &mut idle {
            assert_eq!(client.round_trip(READY_REQUEST).status(), 200);
        }
        let (in_flight, waiting) =
            (idle.split_off(MAX_CLIENTS - IN_FLIGHT), idle.split_off(MAX_CLIENTS - IN_FLIGHT - WAITING));
        let mut full = FullBudget { faulty, upstreams, release, in_flight, waiting, _idle: idle };
        full.in_flight.iter_mut().for_each(|client| client.write(&post("pay", LONG_DEADLINE_MS, "", "")));
        let mut begun = 0;
        while begun < IN_FLIGHT {
            begun += full.new_endpoint_requests();
            std::thread::sleep(Duration::from_millis(2));
        }
        full.waiting.iter_mut().for_each(|client| client.write(&post("pay", waiting_deadline_ms, "", "")));
        while full.admitted_requests() < (IN_FLIGHT + WAITING) as u64 {
            std::thread::sleep(Duration::from_millis(2));
        }
        full
    }

    /// Number of requests that were admitted so far, whatever their result.
    fn admitted_requests(&self) -> u64 {
        let metrics = self.faulty.proxy.metrics();
        metrics["concurrent"].as_u64().expect("not a count")
            + metrics["overload"]["pay"].as_u64().expect("not a count")
    }

    /// Number of requests that arrived at the endpoints since the last call.
    fn new_endpoint_requests(&self) -> usize {
        self.upstreams.iter().map(Upstream::take_request_count).sum()
    }

    fn release_responses(&self) {
        (0..2 * MAX_CLIENTS).for_each(|_| self.release.send(()).expect("an upstream thread has ended"));
    }
}

fn gated_upstream(gate: Arc<Mutex<Receiver<()>>>) -> Upstream {
    Upstream::start(move |_| {
        let _ = gate.lock().expect("another thread panicked").recv();
        Reply::Send(http_response("200 OK", "", "yes"))
    })
}

/// A request must not be rejected only because all sockets are in use for a while.
#[test]
fn full_socket_budget_uses_up_no_attempt() {
    let mut full = FullBudget::start(LONG_DEADLINE_MS);
    // Longer than a request would take to use up its attempts if each ended at once.
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(full.new_endpoint_requests(), 0, "a socket was available");
    full.release_responses();
    for client in full.in_flight.iter_mut().chain(&mut full.waiting) {
        assert_eq!(client.read().expect("no response").status(), 200);
    }
    assert_eq!(full.new_endpoint_requests(), WAITING);
}

/// A request must not wait for a socket beyond its deadline.
#[test]
fn full_socket_budget_rejects_request_in_time() {
    let mut full = FullBudget::start(600);
    // The other responses are delayed until these have come.
    for client in &mut full.waiting {
        assert_eq!(client.read().expect("no response").status(), 503);
    }
    full.release_responses();
    for client in &mut full.in_flight {
        assert_eq!(client.read().expect("no response").status(), 200);
    }
    assert_eq!(full.new_endpoint_requests(), 0);
}

/// A client disconnects while its request waits for a socket. There must be no attempt for it.
#[test]
fn disconnect_while_socket_budget_full_prevents_attempt() {
    let mut full = FullBudget::start(LONG_DEADLINE_MS);
    let leaving = full.waiting.pop().expect("two clients wait");
    leaving.close();
    full.release_responses();
    for client in full.in_flight.iter_mut().chain(&mut full.waiting) {
        assert_eq!(client.read().expect("no response").status(), 200);
    }
    // Long enough for several tries of the request whose client disconnected.
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(full.new_endpoint_requests(), 1);
}
