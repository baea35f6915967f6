use discovery_proto::EndpointLocations;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, yield_now};
use tokio::time::timeout;

use super::*;
use crate::driver::tests::{driver, settings};
use crate::memory_budget::MemoryBudget;
use crate::socket_budget::SocketBudget;

/// Starts a discovery client in virtual time, at whatever address the sender names last.
fn start_discovery(
    mode: Mode,
) -> (watch::Sender<std::net::SocketAddr>, mpsc::UnboundedSender<DiscoveryCommand>) {
    let refusing_address = std::net::TcpListener::bind("127.0.0.1:0")
        .expect("could not bind a loopback port")
        .local_addr()
        .expect("no local address");
    let (addresses_sender, address) = watch::channel(refusing_address);
    let (command_sender, commands) = mpsc::unbounded_channel();
    let endpoints =
        EndpointPool::new(SocketBudget::new(1024, 0), Rc::new(MemoryBudget::new(1 << 20)), 1000.0, 100.0);
    let selector = SourceSelector::new(address, None, 1);
    let discovery = Discovery::new(selector, mode, Names::default(), 1, endpoints, driver(), None);
    spawn_local(discovery.run(None, commands));
    (addresses_sender, command_sender)
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("could not build the runtime"), test);
}

/// How long an old address of discovery keeps its connections after an address change.
const OLD_ADDRESS_OPEN: Duration = Duration::from_millis(1_500);

async fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("could not bind a loopback port")
}

/// Accepts the next connection with a poll; also returns how long it took to come.
async fn accept_poll(listener: &TcpListener) -> (tokio::net::TcpStream, Duration) {
    let since = Instant::now();
    let (mut stream, _) = listener.accept().await.expect("accept failed");
    tokio::io::AsyncReadExt::read_u8(&mut stream).await.expect("no poll");
    (stream, since.elapsed())
}

/// Waits until the other side has closed; returns how long it took.
async fn wait_until_closed(mut stream: tokio::net::TcpStream) -> Duration {
    let since = Instant::now();
    tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut Vec::new())
        .await
        .expect("the connection was reset");
    since.elapsed()
}

/// Whatever an address change interrupts, the new address is polled at once, and a poll stays open at an old
/// one for exactly as long as that keeps its connections. Otherwise a drain would be received late.
#[test]
fn address_change_is_followed_at_once() {
    // Timers have a resolution of a millisecond.
    const TIMER_RESOLUTION: Duration = Duration::from_millis(1);
    for mode in [Mode::Push, Mode::Pull] {
        run(async {
            let (addresses_sender, command_sender) = start_discovery(mode);
            command_sender.send(DiscoveryCommand::Watch).expect("discovery has ended");
            // Polls have been refused until the backoff is at its maximum.
            sleep(Duration::from_secs(5)).await;
            let listeners = [listen().await, listen().await, listen().await, listen().await];
            let addresses =
                listeners.each_ref().map(|listener| listener.local_addr().expect("no local address"));
            addresses_sender.send_replace(addresses[0]);
            let (first, took) = accept_poll(&listeners[0]).await;
            assert!(took <= TIMER_RESOLUTION, "during the backoff after a failed poll: {took:?}");
            // During a poll, and three changes in a row, of which the last one takes effect.
            sleep(Duration::from_millis(200)).await;
            for address in &addresses[1..] {
                addresses_sender.send_replace(*address);
                yield_now().await;
            }
            let changed_at = Instant::now();
            let (last, took) = accept_poll(&listeners[3]).await;
            assert!(took <= TIMER_RESOLUTION, "during a poll: {took:?}");
            let mut open = vec![first];
            for listener in &listeners[1..3] {
                if let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
                    open.push(stream);
                }
            }
            for stream in open {
                wait_until_closed(stream).await;
                let took = changed_at.elapsed();
                let expected = OLD_ADDRESS_OPEN..=OLD_ADDRESS_OPEN + TIMER_RESOLUTION;
                assert!(expected.contains(&took), "a poll at an old address was closed after {took:?}");
            }
            drop(last);
        });
    }
}

/// What a scripted discovery server responds.
#[derive(Clone)]
struct ServerBehavior {
    index: u64,
    /// The one endpoint of its list.
    endpoint: &'static str,
    /// Delay of each response.
    delay: Duration,
    is_rejecting: bool,
}

impl ServerBehavior {
    fn immediate(index: u64, endpoint: &'static str) -> ServerBehavior {
        ServerBehavior { index, endpoint, delay: Duration::ZERO, is_rejecting: false }
    }
}

/// A discovery server that accepts every poll and responds as the last value of the sender says.
async fn discovery(behavior: ServerBehavior) -> (std::net::SocketAddr, watch::Sender<ServerBehavior>) {
    let (behavior_sender, behavior) = watch::channel(behavior);
    (discovery_address(&behavior).await, behavior_sender)
}

/// A further address of a discovery server.
async fn discovery_address(behavior: &watch::Receiver<ServerBehavior>) -> std::net::SocketAddr {
    let (listener, behavior) = (listen().await, behavior.clone());
    let address = listener.local_addr().expect("no local address");
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve_polls(stream, behavior.clone()));
        }
    });
    address
}

/// The head of the next poll; `None` once the connection is closed.
async fn read_head(stream: &mut tokio::net::TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8(head).expect("no message head"))
}

/// Responds with a full snapshot of the endpoint, or without any change.
async fn respond(
    stream: &mut tokio::net::TcpStream,
    behavior: &ServerBehavior,
    has_changed: bool,
) -> std::io::Result<()> {
    let endpoints = match has_changed {
        true => json!([{"name": behavior.endpoint, "address": "127.0.0.1:9", "status": "SERVING"}]),
        false => json!([]),
    };
    let body = json!({"index": behavior.index, "snapshot": has_changed, "endpoints": endpoints}).to_string();
    let response = match behavior.is_rejecting {
        true => "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned(),
        false => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()),
    };
    stream.write_all(response.as_bytes()).await
}

async fn serve_polls(mut stream: tokio::net::TcpStream, mut behavior: watch::Receiver<ServerBehavior>) {
    while let Some(head) = read_head(&mut stream).await {
        let path = head.split(' ').nth(1).expect("missing path");
        let number = |name: &str| {
            let found = path.split(['?', '&']).find_map(|part| part.strip_prefix(name));
            found.map(|digits| digits.parse::<u64>().expect("not a number"))
        };
        let (after, wait) = (number("after="), Duration::from_millis(number("wait_ms=").unwrap_or(0)));
        let has_changed = |behavior: &ServerBehavior| after.is_none_or(|after| after < behavior.index);
        let _ =
            timeout(wait, behavior.wait_for(|behavior| behavior.is_rejecting || has_changed(behavior))).await;
        let delay = behavior.borrow().delay;
        sleep(delay).await;
        let behavior = behavior.borrow().clone();
        if respond(&mut stream, &behavior, has_changed(&behavior)).await.is_err() {
            return;
        }
    }
}

/// Longest time until a change takes effect after discovery has it and is reachable.
const EFFECTIVE_WITHIN: Duration = Duration::from_secs(6);

/// A client of the discovery server that the sender names last, with a driver that decides when to poll.
struct DiscoveryClient {
    addresses_sender: watch::Sender<std::net::SocketAddr>,
    endpoints: Rc<EndpointPool>,
    driver: Rc<Driver>,
}

impl DiscoveryClient {
    fn start(mode: Mode, seed: u64, address: std::net::SocketAddr) -> DiscoveryClient {
        let settings = balancer::Settings { discovery_mode: mode, ..settings() };
        DiscoveryClient::start_with_cache(settings, seed, address, None).0
    }

    /// Also returns whether it is ready.
    fn start_with_cache(
        settings: balancer::Settings,
        seed: u64,
        address: std::net::SocketAddr,
        cached: Option<CachedList>,
    ) -> (DiscoveryClient, watch::Receiver<bool>) {
        let (addresses_sender, address) = watch::channel(address);
        let (command_sender, commands) = mpsc::unbounded_channel();
        let endpoints =
            EndpointPool::new(SocketBudget::new(1024, 0), Rc::new(MemoryBudget::new(1 << 20)), 1000.0, 100.0);
        let (names, mode) = (Names::default(), settings.discovery_mode);
        let process_state = Rc::new(ProcessState::open(None, "n0", &names));
        let driver =
            Driver::new(settings, names.clone(), seed, Rc::clone(&endpoints), process_state, command_sender)
                .expect("invalid settings");
        let selector = SourceSelector::new(address, None, seed);
        let discovery =
            Discovery::new(selector, mode, names, seed, Rc::clone(&endpoints), Rc::clone(&driver), None);
        let ready = discovery.ready();
        spawn_local(discovery.run(cached, commands));
        (DiscoveryClient { addresses_sender, endpoints, driver }, ready)
    }

    fn has(&self, endpoint: &str) -> bool {
        self.endpoints.endpoint_ids() == [self.driver.ids().get_or_assign(endpoint)]
    }

    /// How long it takes until the list consists of this endpoint alone.
    async fn wait_until_listed(&self, endpoint: &str) -> Duration {
        let since = Instant::now();
        while !self.has(endpoint) && since.elapsed() < 4 * EFFECTIVE_WITHIN {
            advance_time().await;
        }
        since.elapsed()
    }
}

/// Advances the virtual time a little. It advances only while nothing is ready to run, and data still in
/// the system's sockets does not count as ready, so the thread first gives the system a moment to deliver
/// it.
async fn advance_time() {
    std::thread::sleep(Duration::from_micros(50));
    sleep(Duration::from_millis(10)).await;
}

/// The new discovery responds late or rejects polls for a while. Its list, and a later change, must still
/// take effect in time.
#[test]
fn slow_discovery_is_followed_after_address_change() {
    const OFFSETS: u64 = 8;
    for mode in [Mode::Push, Mode::Pull] {
        for (delay_s, rejecting_s) in [(1, 0), (2, 0), (3, 0), (0, 1), (0, 3), (0, 8), (1, 4), (2, 4)] {
            for n in 0..OFFSETS {
                run(async {
                    let context = format!("{mode:?}, delay {delay_s} s, rejecting {rejecting_s} s, {n}");
                    let (old, _behavior_sender) = discovery(ServerBehavior::immediate(41, "old")).await;
                    let client = DiscoveryClient::start(mode, n, old);
                    client.wait_until_listed("old").await;
                    sleep(Duration::from_millis(200 * n)).await;
                    let delay = Duration::from_secs(delay_s);
                    let first =
                        ServerBehavior { index: 42, endpoint: "new", delay, is_rejecting: rejecting_s > 0 };
                    let (new, behavior_sender) = discovery(first).await;
                    client.addresses_sender.send_replace(new);
                    let since = Instant::now();
                    while since.elapsed() < Duration::from_secs(rejecting_s) {
                        advance_time().await;
                    }
                    behavior_sender.send_modify(|behavior| behavior.is_rejecting = false);
                    let took = client.wait_until_listed("new").await;
                    assert!(
                        took <= EFFECTIVE_WITHIN,
                        "{context}: the list after the address change: {took:?}"
                    );
                    let since = Instant::now();
                    while since.elapsed() < Duration::from_millis(500 * n) {
                        advance_time().await;
                    }
                    behavior_sender
                        .send_modify(|behavior| (behavior.index, behavior.endpoint) = (43, "newer"));
                    let took = client.wait_until_listed("newer").await;
                    assert!(took <= EFFECTIVE_WITHIN, "{context}: a later change: {took:?}");
                });
            }
        }
    }
}

/// The new discovery counts its versions from a lower number than the one before. Its list must not be
/// taken for an old one and be applied late.
#[test]
fn lower_versions_of_new_discovery_are_accepted() {
    for mode in [Mode::Push, Mode::Pull] {
        for delay_ms in [0, 1000, 2000] {
            run(async {
                let (old, _behavior_sender) = discovery(ServerBehavior::immediate(41, "old")).await;
                let client = DiscoveryClient::start(mode, 1, old);
                client.wait_until_listed("old").await;
                let delay = Duration::from_millis(delay_ms);
                let (new, behavior_sender) =
                    discovery(ServerBehavior { delay, ..ServerBehavior::immediate(7, "new") }).await;
                client.addresses_sender.send_replace(new);
                let took = client.wait_until_listed("new").await;
                assert!(took <= EFFECTIVE_WITHIN, "{mode:?}, delay {delay:?}: {took:?}");
                // If the same address is configured again, an older version is still an older one.
                behavior_sender.send_modify(|behavior| (behavior.index, behavior.endpoint) = (8, "newer"));
                client.wait_until_listed("newer").await;
                client.addresses_sender.send_replace(new);
                behavior_sender.send_modify(|behavior| (behavior.index, behavior.endpoint) = (7, "new"));
                let took = client.wait_until_listed("new").await;
                assert!(took >= 5 * delay / 2, "{mode:?}, delay {delay:?}: applied too early: {took:?}");
            });
        }
    }
}

mod address_changes;
mod cached_lists;
