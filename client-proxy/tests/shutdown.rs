//! The final responses before SIGKILL, which may come after SIGTERM plus the longest deadline, counted as
//! at most 3 s, plus 0.7 s. The unit tests of `shutdown.rs` check the times themselves; these tests check
//! what depends on them.

mod common;

use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::*;
use serde_json::json;

/// A client proxy all of whose classes have this deadline, and its one endpoint.
fn with_deadline(
    deadline_ms: u64,
    reply: impl Fn(usize) -> Reply + Send + Sync + 'static,
) -> (Proxy, Upstream, DiscoveryServer) {
    let upstream = Upstream::start(reply);
    let discovery_server = DiscoveryServer::start(json!([endpoint("h", upstream.address, "SERVING")]));
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().expect("missing classes") {
        class["hardLimit"] = json!(deadline_ms as f64);
        class["aim"] = json!(deadline_ms as f64 / 4.0);
    }
    let proxy = Proxy::start(&config(discovery_server.address, settings));
    discovery_server.wait_until_list_received();
    (proxy, upstream, discovery_server)
}

/// The endpoint stalls, and more requests are pipelined behind the stalled one than can be tried before
/// SIGKILL. All of them have been read when the process is about to end, so each must get a final response.
#[test]
fn pipelined_requests_are_answered_before_the_kill() {
    const DEADLINE_MS: u64 = 300;
    const PIPELINED: usize = 60;
    let (mut proxy, upstream, _discovery) = with_deadline(DEADLINE_MS, |_| Reply::Stall);
    let mut client = proxy.client();
    client.write(&post("pay", DEADLINE_MS, "", "").repeat(PIPELINED));
    upstream.next_request();
    let terminated = Instant::now();
    proxy.terminate();
    for n in 0..PIPELINED {
        let status = client.read().unwrap_or_else(|| panic!("no response to request {n}")).status();
        assert!(matches!(status, 502 | 503), "{status}");
    }
    assert!(client.read_until_closed());
    let took = terminated.elapsed();
    // Tried one after another they would take 18 s.
    assert!(took < Duration::from_secs(9), "{took:?}");
    assert!(
        upstream.take_request_count() < PIPELINED / 2,
        "late requests have to be rejected, not forwarded"
    );
    assert!(proxy.child.wait().expect("could not wait for the process").success());
}

/// Clients that send the next request as soon as they have a response could keep the process busy until
/// SIGKILL is imminent, when all pending requests get a final response. Each such connection is closed
/// between two requests soon after new connections are no longer accepted, and each forwarded request is
/// answered.
#[test]
fn busy_clients_are_closed_between_requests() {
    /// Bound on the responses after new connections are refused, as a share of those in the half second
    /// before. Without the close there would be six times as many until SIGKILL is imminent. A few are
    /// expected before the program looks for input behind a response, more if it is delayed there.
    const RESPONSES_AFTER_SHARE: f64 = 0.25;
    let (mut proxy, upstream, _discovery) = with_deadline(10_000, |n| match n {
        0 => Reply::Stall,
        _ => Reply::Send(http_response("200 OK", "", "done")),
    });
    // Answered only when SIGKILL is imminent.
    let mut hung = proxy.client();
    hung.write(&post("pay", 10_000, "", ""));
    upstream.next_request();
    let (address, is_refusing) = (proxy.address, Arc::new(AtomicBool::new(false)));
    let early_clients = [proxy.client(), proxy.client()];
    let terminated = Instant::now();
    proxy.terminate();
    let clients: Vec<_> = early_clients
        .into_iter()
        .chain([proxy.client(), proxy.client()])
        .map(|mut client| {
            let is_refusing = Arc::clone(&is_refusing);
            std::thread::spawn(move || {
                let (mut served, mut answered) = (0, [0, 0]);
                loop {
                    let request = post("pay", 10_000, "", "");
                    let is_after_refusal = is_refusing.load(Ordering::SeqCst);
                    if client.stream.write_all(request.as_bytes()).is_err() {
                        break;
                    }
                    let Some(message) = client.read() else { break };
                    // A rejected request was not forwarded.
                    assert!(matches!(message.status(), 200 | 503), "{}", message.start);
                    served += usize::from(message.status() == 200);
                    answered[usize::from(is_after_refusal)] += 1;
                }
                (served, answered)
            })
        })
        .collect();
    while TcpStream::connect(address).is_ok() {
        std::thread::sleep(Duration::from_millis(2));
    }
    is_refusing.store(true, Ordering::SeqCst);
    assert!(terminated.elapsed() >= Duration::from_millis(400), "new connections were refused too early");
    let results: Vec<_> =
        clients.into_iter().map(|client| client.join().expect("another thread panicked")).collect();
    hung.stream.set_nonblocking(true).expect("invalid socket");
    let peeked = hung.stream.peek(&mut [0]);
    assert!(
        matches!(&peeked, Err(error) if error.kind() == ErrorKind::WouldBlock),
        "a response came before SIGKILL was imminent: {peeked:?}"
    );
    let answered = |after: usize| results.iter().map(|(_, answered)| answered[after]).sum::<usize>() as f64;
    assert!(
        answered(1) <= RESPONSES_AFTER_SHARE * answered(0),
        "(served, [answered before, after]): {results:?}"
    );
    hung.stream.set_nonblocking(false).expect("invalid socket");
    assert_eq!(hung.read().expect("no response").status(), 502);
    assert!(proxy.child.wait().expect("could not wait for the process").success());
    assert_eq!(upstream.take_request_count(), results.iter().map(|(served, _)| served).sum::<usize>());
}

/// A request whose deadline lies beyond SIGKILL would never be answered in time: a deadline of 10 s counts
/// as 3 s.
#[test]
fn deadline_beyond_kill_is_answered_earlier() {
    let (mut proxy, upstream, _discovery) = with_deadline(10_000, |_| Reply::Stall);
    let mut hung = proxy.client();
    hung.write(&post("pay", 10_000, "", ""));
    upstream.next_request();
    let terminated = Instant::now();
    proxy.terminate();
    assert_eq!(hung.read().expect("no response").status(), 502);
    let took = terminated.elapsed();
    assert!(took < Duration::from_secs(8), "{took:?}");
    assert!(proxy.child.wait().expect("could not wait for the process").success());
}

/// The connection must not be closed silently over a partial request that has been read. A client that is
/// in the middle of the head or body when SIGKILL is imminent gets a rejection or a 408.
#[test]
fn partial_request_before_kill_is_answered() {
    let (mut proxy, _upstream, _discovery) = with_deadline(20, |_| Reply::Stall);
    let request = post("pay", 2_000, "", "abc");
    let parts = [10, 60, request.len() - 3, request.len() - 1];
    let mut clients: Vec<Client> = parts
        .iter()
        .flat_map(|part| [("", *part), (READY_REQUEST, *part)])
        .map(|(before, part)| {
            let mut client = proxy.client();
            client.write(&format!("{before}{}", &request[..part]));
            if !before.is_empty() {
                assert_eq!(client.read().expect("no response").status(), 200);
            }
            client
        })
        .collect();
    proxy.terminate();
    for client in &mut clients {
        let status = client.read().expect("no response").status();
        assert!(matches!(status, 408 | 502 | 503), "{status}");
        assert!(client.read_until_closed());
    }
    assert!(proxy.child.wait().expect("could not wait for the process").success());
}

/// Pipelined requests were read together with one that is answered as the process ends. They too must get
/// their responses, also the one that has arrived only in part.
#[test]
fn pipelined_requests_already_read_are_answered() {
    let (release, gate) = std::sync::mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let (mut proxy, upstream, _discovery) = with_deadline(3_000, move |n| {
        if n == 0 {
            let _ = gate.lock().expect("another thread panicked").recv();
        }
        Reply::Send(http_response("200 OK", "", "done"))
    });
    let mut idle = proxy.client();
    assert_eq!(idle.round_trip(READY_REQUEST).status(), 200);
    let complete = || post("pay", 3_000, "", "ab");
    let request = complete();
    let mut client = proxy.client();
    client.write(&(complete() + &complete() + &complete() + &request[..request.len() - 20]));
    upstream.next_request();
    proxy.terminate();
    assert!(idle.read().is_none(), "idle connections are not closed yet");
    release.send(()).expect("the upstream thread has ended");
    for n in 0..3 {
        assert_eq!(client.read().unwrap_or_else(|| panic!("no response to request {n}")).status(), 200);
    }
    client.write(&request[request.len() - 20..]);
    assert_eq!(client.read().expect("no response to the request that came in two parts").status(), 200);
    assert!(client.read_until_closed());
    assert!(proxy.child.wait().expect("could not wait for the process").success());
}
