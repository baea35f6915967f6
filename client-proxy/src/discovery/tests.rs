use discovery_proto::EndpointLocations;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, yield_now};

use super::*;
use crate::driver::tests::{driver, settings};
use crate::memory_budget::MemoryBudget;
use crate::socket_budget::SocketBudget;

/// A follower of whatever address the sender names last, in virtual time.
fn follow(mode: Mode) -> (watch::Sender<std::net::SocketAddr>, mpsc::UnboundedSender<DiscoveryCommand>) {
    let refused = std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    let (moves, address) = watch::channel(refused);
    let (ask, asks) = mpsc::unbounded_channel();
    let endpoints =
        EndpointPool::new(SocketBudget::new(1024, 0), Rc::new(MemoryBudget::new(1 << 20)), 1000.0, 100.0);
    let whom = SourceSelector::new(address, None, 1);
    let discovery = Discovery::new(whom, mode, Names::default(), 1, endpoints, driver(), None);
    spawn_local(discovery.run(None, asks));
    (moves, ask)
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

async fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("a port")
}

/// The next connection, and how long it took to come.
async fn called(listener: &TcpListener) -> (tokio::net::TcpStream, Duration) {
    let since = Instant::now();
    let (mut stream, _) = listener.accept().await.expect("a connection");
    tokio::io::AsyncReadExt::read_u8(&mut stream).await.expect("a call");
    (stream, since.elapsed())
}

/// Waits until the other side has closed.
async fn ended(mut stream: tokio::net::TcpStream) -> Duration {
    let since = Instant::now();
    tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut Vec::new()).await.expect("an end, and no reset");
    since.elapsed()
}

/// Guards against a drain that is heard late: whatever a move interrupts, the new address is asked at once,
/// and no call stays behind at an old one.
#[test]
fn a_move_is_followed_at_once_whatever_it_interrupts() {
    // Timers go by whole milliseconds.
    const AT_ONCE: Duration = Duration::from_millis(1);
    for mode in [Mode::Push, Mode::Pull] {
        run(async {
            let (moves, ask) = follow(mode);
            ask.send(DiscoveryCommand::Watch).expect("followed");
            // Calls have been refused until the pauses are as long as they get.
            sleep(Duration::from_secs(5)).await;
            let listeners = [listen().await, listen().await, listen().await, listen().await];
            let addresses = listeners.each_ref().map(|listener| listener.local_addr().expect("bound"));
            moves.send_replace(addresses[0]);
            let (first, took) = called(&listeners[0]).await;
            assert!(took <= AT_ONCE, "in the pause after a failed call: {took:?}");
            // In the middle of a call; and three in a row, of which the last one holds.
            sleep(Duration::from_millis(200)).await;
            for address in &addresses[1..] {
                moves.send_replace(*address);
                yield_now().await;
            }
            let (last, took) = called(&listeners[3]).await;
            assert!(took <= AT_ONCE, "in the middle of a call: {took:?}");
            assert!(ended(first).await <= AT_ONCE, "a call stays behind");
            for listener in &listeners[1..3] {
                if let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
                    assert!(ended(stream).await <= AT_ONCE, "a call stays behind");
                }
            }
            drop(last);
        });
    }
}

/// What a discovery has to say, and how it goes about it.
#[derive(Clone)]
struct Shown {
    index: u64,
    /// The one endpoint of its list.
    endpoint: &'static str,
    /// How late each answer comes.
    late: Duration,
    is_refusing: bool,
}

impl Shown {
    fn at_once(index: u64, endpoint: &'static str) -> Shown {
        Shown { index, endpoint, late: Duration::ZERO, is_refusing: false }
    }
}

/// A discovery that takes every call and answers it as it is shown to at the time.
async fn discovery(shown: Shown) -> (std::net::SocketAddr, watch::Sender<Shown>) {
    let (listener, (show, shown)) = (listen().await, watch::channel(shown));
    let address = listener.local_addr().expect("bound");
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(answer_calls(stream, shown.clone()));
        }
    });
    (address, show)
}

async fn answer_calls(mut stream: tokio::net::TcpStream, mut shown: watch::Receiver<Shown>) {
    let mut head = Vec::new();
    while let Ok(byte) = stream.read_u8().await {
        head.push(byte);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        let path = String::from_utf8(std::mem::take(&mut head)).expect("a head");
        let path = path.split(' ').nth(1).expect("a path").to_owned();
        let number = |name: &str| {
            let found = path.split(['?', '&']).find_map(|part| part.strip_prefix(name));
            found.map(|digits| digits.parse::<u64>().expect("a number"))
        };
        let (after, wait) = (number("after="), Duration::from_millis(number("wait_ms=").unwrap_or(0)));
        let is_news = |shown: &Shown| shown.is_refusing || after.is_none_or(|after| after < shown.index);
        let _ = timeout(wait, shown.wait_for(is_news)).await;
        let late = shown.borrow().late;
        sleep(late).await;
        let shown = shown.borrow().clone();
        let endpoints = match after.is_none_or(|after| after < shown.index) {
            true => json!([{"name": shown.endpoint, "address": "127.0.0.1:9", "status": "SERVING"}]),
            false => json!([]),
        };
        let is_whole = endpoints != json!([]);
        let body = json!({"index": shown.index, "snapshot": is_whole, "endpoints": endpoints}).to_string();
        let answer = match shown.is_refusing {
            true => "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned(),
            false => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()),
        };
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// A change is in force so long after discovery had it and could be reached.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(6);

/// A follower whose decisions say when to ask, of the discovery that the sender names last.
struct Following {
    moves: watch::Sender<std::net::SocketAddr>,
    endpoints: Rc<EndpointPool>,
    driver: Rc<Driver>,
}

impl Following {
    fn start(mode: Mode, seed: u64, address: std::net::SocketAddr) -> Following {
        let (moves, address) = watch::channel(address);
        let (wish, wishes) = mpsc::unbounded_channel();
        let endpoints =
            EndpointPool::new(SocketBudget::new(1024, 0), Rc::new(MemoryBudget::new(1 << 20)), 1000.0, 100.0);
        let (names, settings) = (Names::default(), balancer::Settings { discovery_mode: mode, ..settings() });
        let handover = Rc::new(ProcessState::open(None, "n0", &names));
        let driver = Driver::new(settings, names.clone(), seed, Rc::clone(&endpoints), handover, wish)
            .expect("usable");
        let whom = SourceSelector::new(address, None, seed);
        let discovery =
            Discovery::new(whom, mode, names, seed, Rc::clone(&endpoints), Rc::clone(&driver), None);
        spawn_local(discovery.run(None, wishes));
        Following { moves, endpoints, driver }
    }

    fn has(&self, endpoint: &str) -> bool {
        self.endpoints.endpoint_ids() == [self.driver.ids().get_or_assign(endpoint)]
    }

    /// How long it takes until the list is this endpoint alone.
    async fn until(&self, endpoint: &str) -> Duration {
        let since = Instant::now();
        while !self.has(endpoint) && since.elapsed() < 4 * IN_FORCE_WITHIN {
            look_again().await;
        }
        since.elapsed()
    }
}

/// Lets a little time pass, and the system a moment for what it has been given: time stands still for as long
/// as there is anything else to do, and what is still with the system is nothing to do yet.
async fn look_again() {
    std::thread::sleep(Duration::from_micros(50));
    sleep(Duration::from_millis(10)).await;
}

/// Guards against a change that is in force late because discovery, where it has moved to, answers late or
/// refuses calls for a while, as of the move itself and as of a later change.
#[test]
fn a_slow_or_crowded_discovery_is_followed_in_time_after_a_move() {
    const OFFSETS: u64 = 8;
    for mode in [Mode::Push, Mode::Pull] {
        for (late, refusing) in [(1, 0), (2, 0), (3, 0), (0, 1), (0, 3), (0, 8), (1, 4), (2, 4)] {
            for n in 0..OFFSETS {
                run(async {
                    let what = format!("{mode:?}, late {late} s, refusing {refusing} s, {n}");
                    let (old, _show) = discovery(Shown::at_once(41, "old")).await;
                    let following = Following::start(mode, n, old);
                    following.until("old").await;
                    sleep(Duration::from_millis(200 * n)).await;
                    let late = Duration::from_secs(late);
                    let first = Shown { index: 42, endpoint: "new", late, is_refusing: refusing > 0 };
                    let (new, show) = discovery(first).await;
                    following.moves.send_replace(new);
                    let since = Instant::now();
                    while since.elapsed() < Duration::from_secs(refusing) {
                        look_again().await;
                    }
                    show.send_modify(|shown| shown.is_refusing = false);
                    let took = following.until("new").await;
                    assert!(took <= IN_FORCE_WITHIN, "{what}: the list after the move: {took:?}");
                    let since = Instant::now();
                    while since.elapsed() < Duration::from_millis(500 * n) {
                        look_again().await;
                    }
                    show.send_modify(|shown| (shown.index, shown.endpoint) = (43, "newer"));
                    let took = following.until("newer").await;
                    assert!(took <= IN_FORCE_WITHIN, "{what}: a later change: {took:?}");
                });
            }
        }
    }
}

/// Guards against a move that is skipped or taken out of turn where discoveries are slow: of three within
/// half a second the last one holds, in time, and nothing that an earlier one answers by then or later.
#[test]
fn the_last_of_three_quick_moves_holds_however_late_the_others_answer() {
    const APART: Duration = Duration::from_millis(200);
    for mode in [Mode::Push, Mode::Pull] {
        for (late, last_late) in [(500, 0), (1000, 1000), (1000, 3000), (3000, 1000), (3000, 3000)] {
            for refusing in [0, 3] {
                run(async {
                    let what =
                        format!("{mode:?}, late {late} ms, the last {last_late} ms, refusing {refusing} s");
                    let (old, _show) = discovery(Shown::at_once(41, "old")).await;
                    let following = Following::start(mode, late, old);
                    following.until("old").await;
                    let shown = |index, endpoint, late| Shown {
                        late: Duration::from_millis(late),
                        ..Shown::at_once(index, endpoint)
                    };
                    let (one, _show) = discovery(shown(900, "one", late)).await;
                    let (two, _show) = discovery(shown(800, "two", late)).await;
                    let is_refusing = refusing > 0;
                    let (three, show) =
                        discovery(Shown { is_refusing, ..shown(42, "three", last_late) }).await;
                    for address in [one, two, three] {
                        following.moves.send_replace(address);
                        sleep(APART).await;
                    }
                    let since = Instant::now();
                    let mut took = None;
                    while since.elapsed() < Duration::from_secs(refusing) + 2 * IN_FORCE_WITHIN {
                        assert!(!following.has("one") && !following.has("two"), "{what}");
                        if took.is_none() && since.elapsed() >= Duration::from_secs(refusing) {
                            show.send_if_modified(|shown| std::mem::replace(&mut shown.is_refusing, false));
                            took = following.has("three").then(|| since.elapsed());
                        }
                        assert!(took.is_none() || following.has("three"), "{what}: taken back");
                        look_again().await;
                    }
                    let took = took.expect("in force") - Duration::from_secs(refusing);
                    assert!(took <= IN_FORCE_WITHIN, "{what}: {took:?}");
                });
            }
        }
    }
}

/// Guards against a list that is late because the new discovery counts its versions from less than the one
/// before.
#[test]
fn a_slow_discovery_with_versions_of_its_own_is_followed_in_time_after_a_move() {
    for mode in [Mode::Push, Mode::Pull] {
        for late in [0, 1000, 2000] {
            run(async {
                let (old, _show) = discovery(Shown::at_once(41, "old")).await;
                let following = Following::start(mode, 1, old);
                following.until("old").await;
                let late = Duration::from_millis(late);
                let (new, show) = discovery(Shown { late, ..Shown::at_once(7, "new") }).await;
                following.moves.send_replace(new);
                let took = following.until("new").await;
                assert!(took <= IN_FORCE_WITHIN, "{mode:?}, late {late:?}: {took:?}");
                // Where the same address is named again, an old answer is an old answer.
                show.send_modify(|shown| (shown.index, shown.endpoint) = (8, "newer"));
                following.until("newer").await;
                following.moves.send_replace(new);
                show.send_modify(|shown| (shown.index, shown.endpoint) = (7, "new"));
                let took = following.until("new").await;
                assert!(took >= 5 * late / 2, "{mode:?}, late {late:?}: taken the first time: {took:?}");
            });
        }
    }
}
