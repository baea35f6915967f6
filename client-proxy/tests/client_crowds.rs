//! Hundreds of clients at once that write slowly, stop in the middle of a request or read slowly, at a client
//! proxy with the least memory that the platform gives.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use common::bodies::*;
use common::crowds::*;
use common::termination::wait_until_sleeping;
use common::*;

/// Longer than a request waits for memory, and long enough for slow clients to write more.
const OBSERVED_TIME: Duration = Duration::from_millis(900);
/// Long enough to be streamed.
const STREAMED_RESPONSE_BYTES: usize = 300_000;
/// Pieces in which slow clients write.
const PIECE_BYTES: usize = 40;
/// How long a crowd comes again: several times as long as a request waits for memory.
const RETURNING_TIME: Duration = Duration::from_secs(4);
/// How long an endpoint takes for each of many pipelined requests.
const PIPELINED_WORK: Duration = Duration::from_millis(300);
/// Threads that read responses side by side.
const THREADS: usize = 7;

fn partial_head() -> Vec<u8> {
    (post_without_length("pay", "") + &short_fields() + long_field().trim_end()).into_bytes()
}

struct Crowd {
    proxy: Proxy,
    _discovery: DiscoveryServer,
    clients: Vec<TcpStream>,
}

impl Crowd {
    /// Clients that connect at once and write what the system takes of these texts, in turn.
    fn start(texts: &[Vec<u8>]) -> Crowd {
        let mut crowd = Crowd::without_clients(LONG_RESPONSE_BYTES);
        let address = crowd.proxy.address;
        let clients = texts.iter().cycle().take(CROWD_SIZE).map(|text| {
            let mut client = connect(address).expect("could not connect");
            write_now(&mut client, text);
            client
        });
        crowd.clients = clients.collect();
        crowd
    }

    /// A client proxy whose endpoint gives responses of this length.
    fn without_clients(response_length: usize) -> Crowd {
        Crowd::at_upstream(long_response_upstream(response_length))
    }

    /// A client proxy with this endpoint.
    fn at_upstream(upstream: SocketAddr) -> Crowd {
        let discovery_server = DiscoveryServer::start(twelve_endpoints_at(upstream));
        let proxy = Proxy::start(&limited_config(discovery_server.address));
        discovery_server.wait_until_list_received();
        Crowd { proxy, _discovery: discovery_server, clients: Vec::new() }
    }

    /// Has the clients write on slowly, or read slowly, while the client proxy takes what they have sent. Another
    /// client gets a final response to each of its requests meanwhile.
    fn observe(&mut self) {
        wait_until_sleeping(self.proxy.child.id());
        let mut other = self.proxy.client();
        for _ in 0..OBSERVED_TIME.as_millis() / 100 {
            std::thread::sleep(Duration::from_millis(100));
            for client in &mut self.clients {
                // Some are answered and closed in the meantime.
                let _ = client.write(b"z");
                let _ = client.read(&mut [0; 512]);
            }
            let status = other.round_trip(&post("keep", 3000, "Idempotency-Key: 5c0f\r\n", "")).status();
            assert!(matches!(status, 200 | 503), "{status}");
        }
        wait_until_sleeping(self.proxy.child.id());
    }

    /// Asserts that the process has not been beyond its limit, and still answers.
    fn assert_within_limits(&self, shape: &str) {
        let peak = self.proxy.memory("VmHWM:").expect("the process has ended");
        assert!(peak <= MEMORY_LIMIT_BYTES, "{shape}: {peak} bytes");
        assert_eq!(self.proxy.client().round_trip(READY_REQUEST).status(), 200, "{shape}");
    }
}

fn assert_crowd_within_limits(shape: &str, texts: &[Vec<u8>]) {
    let mut crowd = Crowd::start(texts);
    crowd.observe();
    crowd.assert_within_limits(shape);
}

#[test]
fn crowd_in_the_middle_of_heads_stays_within_memory() {
    assert_crowd_within_limits("partial heads", &[partial_head()]);
}

/// A complete request that finds no memory for its head is refused: closed without a response it would be lost.
#[test]
fn long_head_beside_crowd_gets_a_final_response() {
    let crowd = Crowd::start(&[partial_head()]);
    for _ in 0..5 {
        let request = post("pay", 3000, &long_field(), "");
        let status = crowd.proxy.client().round_trip(&request).status();
        assert!(matches!(status, 200 | 503), "{status}");
    }
}

#[test]
fn crowd_in_the_middle_of_large_requests_stays_within_memory() {
    assert_crowd_within_limits("short fields", &[partial_request(&short_fields())]);
    assert_crowd_within_limits("long field", &[partial_request(&long_field())]);
}

#[test]
fn crowd_that_reads_slowly_stays_within_memory() {
    assert_crowd_within_limits("slow readers", &[complete_request(&short_fields())]);
}

fn assert_returning_crowd_within_limits(shape: &str, text: Vec<u8>, piece_bytes: usize) {
    let server = Crowd::without_clients(LONG_RESPONSE_BYTES);
    let texts = [text];
    let mut crowd = ReturningCrowd::connect(server.proxy.address, &texts, piece_bytes);
    crowd.go_on(RETURNING_TIME, || {});
    server.assert_within_limits(shape);
}

#[test]
fn returning_crowd_with_long_heads_stays_within_memory() {
    assert_returning_crowd_within_limits("long heads", complete_request(&long_field()), usize::MAX);
}

#[test]
fn returning_crowd_that_writes_heads_in_pieces_stays_within_memory() {
    assert_returning_crowd_within_limits("pieces", complete_request(&short_fields()), PIECE_BYTES);
}

/// What a long response has taken must not stay with its connection, which has no reservation any more.
#[test]
fn connections_at_rest_after_long_responses_stay_within_memory() {
    let crowd = Crowd::without_clients(STREAMED_RESPONSE_BYTES);
    let address = crowd.proxy.address;
    let take_long_response = || {
        let mut client = Client::new(address);
        let response = client.round_trip(&look_request(3000));
        assert_eq!((response.status(), response.body.len()), (200, STREAMED_RESPONSE_BYTES));
        client
    };
    let take_share = || (0..CROWD_SIZE / THREADS).map(|_| take_long_response()).collect::<Vec<_>>();
    let clients: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(take_share)).collect();
        threads.into_iter().map(|thread| thread.join().expect("a client has failed")).collect()
    });
    crowd.assert_within_limits("kept connections");
    drop(clients);
}

#[test]
fn mixed_crowd_stays_within_memory() {
    let texts = [
        partial_head(),
        partial_request(&short_fields()),
        complete_request(&short_fields()),
        partial_request(&long_field()),
        Vec::new(),
    ];
    assert_crowd_within_limits("mixed", &texts);
}

/// A client proxy beside clients that write many requests at once, each of which takes a while, and come again once they
/// have a response.
fn pipelining_crowd(fields: &str, observe: impl FnOnce(&Crowd, &mut ReturningCrowd)) {
    const PIPELINED: usize = 100;
    let server = Crowd::at_upstream(slow_upstream(PIPELINED_WORK));
    let texts = [complete_request(fields).repeat(PIPELINED)];
    let mut crowd = ReturningCrowd::connect(server.proxy.address, &texts, usize::MAX);
    crowd.go_on(RETURNING_TIME, || {});
    observe(&server, &mut crowd);
    drop(crowd);
    server.assert_within_limits("pipelined requests");
}

/// Requests behind one another must not take memory while the first of them is served, and a connection must not keep
/// its memory for all of them: others would never be served.
#[test]
fn crowd_that_pipelines_requests_stays_within_memory_and_lets_others_be_served() {
    const SERVED_BESIDE: usize = 5;
    pipelining_crowd(&short_fields(), |server, crowd| {
        let (started, mut served) = (Instant::now(), 0);
        while served < SERVED_BESIDE {
            assert!(started.elapsed() < TEST_TIMEOUT, "{served} requests of another client were served");
            let request = post("keep", 3000, "Idempotency-Key: 5c0f\r\n", "");
            served += usize::from(server.proxy.client().round_trip(&request).status() == 200);
            crowd.go_on(PIPELINED_WORK, || {});
        }
    });
}

/// With usual fields more requests are sent to endpoints at once, and each of their connections takes memory.
#[test]
fn crowd_that_pipelines_usual_requests_stays_within_memory() {
    pipelining_crowd("", |_, crowd| crowd.go_on(RETURNING_TIME, || {}));
}
