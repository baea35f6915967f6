//! Reloads in quick succession: the last valid configuration takes effect, and no poll stays open at an
//! earlier discovery address for longer than that keeps its connections.

mod common;

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::time::{Duration, Instant};

use common::*;
use serde_json::{Value, json};

/// A discovery server that publishes one list and then holds every watch for as long as the client proxy
/// keeps it open.
struct WatchHoldingServer(TcpListener);

impl WatchHoldingServer {
    fn start() -> WatchHoldingServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
        socket2::SockRef::from(&listener)
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("could not set the read timeout");
        WatchHoldingServer(listener)
    }

    fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("no local address")
    }

    /// The next connection with a poll, and the path of the poll. Connections that are closed before any
    /// poll do not count: the client proxy opens one when the same address is configured again.
    fn next_poll(&self) -> (TcpStream, String) {
        loop {
            let (stream, _) = self.0.accept().expect("no poll");
            stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("could not set the read timeout");
            if let Some(path) = read_poll_path(&stream) {
                return (stream, path);
            }
        }
    }

    /// Responds to polls with this list until the client proxy watches for the version after it; returns
    /// the watch and the path of the poll.
    fn respond_until_watched(&self, index: u64, list: &Value) -> (TcpStream, String) {
        let next = format!("/v1/endpoints?after={index}&");
        loop {
            let (mut stream, poll) = self.next_poll();
            send_list(&mut stream, index, list);
            if read_poll_path(&stream).is_some_and(|path| path.starts_with(&next)) {
                return (stream, poll);
            }
        }
    }
}

fn read_poll_path(stream: &TcpStream) -> Option<String> {
    let mut reader = BufReader::new(stream.try_clone().expect("could not clone the socket"));
    Some(read_message(&mut reader)?.start.split(' ').nth(1)?.to_owned())
}

fn send_list(stream: &mut TcpStream, index: u64, endpoints: &Value) {
    let list = json!({"index": index, "snapshot": true, "endpoints": endpoints}).to_string();
    // If the client proxy has abandoned the poll, the next read shows it.
    let _ = stream.write_all(http_response("200 OK", "", &list).as_bytes());
}

fn serving_upstream(name: &'static str) -> (Upstream, Value) {
    let upstream = Upstream::start(move |_| Reply::Send(http_response("200 OK", "", name)));
    let list = json!([endpoint("h0", upstream.address, "SERVING")]);
    (upstream, list)
}

fn assert_served_by(client: &mut Client, name: &str) {
    for _ in 0..10 {
        let response = client.round_trip(&look_request(3000));
        assert_eq!(String::from_utf8_lossy(&response.body), name);
    }
}

/// Several reloads come during one watch. No configuration may be skipped or applied out of order, no
/// half-written file may take effect, and no watch may stay open at an address that is no longer
/// configured.
#[test]
fn last_of_several_configurations_takes_effect() {
    for mode in ["automatic", "subscribe"] {
        let ((_old_upstream, old_list), (_new_upstream, new_list)) =
            (serving_upstream("old"), serving_upstream("new"));
        let old = WatchHoldingServer::start();
        let between: Vec<WatchHoldingServer> = (0..3).map(|_| WatchHoldingServer::start()).collect();
        let new = WatchHoldingServer::start();
        let mut settings = settings();
        settings["discovery"] = json!(mode);
        settings["contract"]["askWithin"] = json!(10_000.0);
        let mut config = config(old.address(), settings);
        let proxy = Proxy::start(&config);
        let (mut watch, first) = old.respond_until_watched(41, &old_list);
        assert_eq!(first, "/v1/endpoints");
        let mut client = proxy.client();
        assert_served_by(&mut client, "old");

        // During that watch, one reload after another; between them with a half-written file and with none
        // at all.
        for server in &between {
            config["discovery"] = json!(server.address().to_string());
            let text = config.to_string();
            write_config(&text);
            proxy.signal("-HUP");
            let file = write_config(&text[..text.len() / 2]);
            proxy.signal("-HUP");
            std::fs::remove_file(file).expect("could not remove the file");
            proxy.signal("-HUP");
        }
        config["discovery"] = json!(new.address().to_string());
        write_config(&config.to_string());
        proxy.signal("-HUP");

        // The new discovery is polled for what is newer than the current version, and its list takes
        // effect.
        let (_watch, poll) = new.respond_until_watched(42, &new_list);
        // A poll that does not wait, or in mode `subscribe` the next watch.
        let wait = if mode == "subscribe" { 100 } else { 0 };
        assert_eq!(poll, format!("/v1/endpoints?after=41&wait_ms={wait}"), "{mode}");
        // A client of its own: one that has been idle for 2.2 s is disconnected.
        assert_served_by(&mut proxy.client(), "new");
        // No poll stays open at the old discovery address, nor at those in between.
        assert!(matches!(watch.read(&mut [0]), Ok(0)), "{mode}: a poll stays open");
        for server in &between {
            server.0.set_nonblocking(true).expect("invalid socket");
            while let Ok((mut stream, _)) = server.0.accept() {
                stream.set_nonblocking(false).expect("invalid socket");
                stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("could not set the read timeout");
                stream.read_to_end(&mut Vec::new()).expect("could not read to the end");
            }
        }
    }
}

/// Interval of client requests while the test waits for the new list.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Why a discovery server does not respond at once.
#[derive(Clone, Copy, Debug)]
enum Busy {
    /// Each response is delayed by so many milliseconds.
    Late(u64),
    /// The first polls are rejected, this many of them.
    Rejecting(usize),
}

/// Three reloads come one right behind the other. The first two discovery servers respond only while the
/// third is polled, which is slow or rejects at first. What they say is discovery's word, so it may take effect
/// until the third has responded, but no list may replace one of a later address, and that of the third must
/// take effect for good.
#[test]
fn late_lists_never_replace_those_of_later_addresses() {
    let busy_modes = [Busy::Late(1_000), Busy::Late(3_000), Busy::Rejecting(5)];
    std::thread::scope(|scope| {
        for mode in ["automatic", "subscribe"] {
            for busy in busy_modes {
                scope.spawn(move || assert_last_discovery_is_followed(mode, busy));
            }
        }
    });
}

/// Responds to this poll and all later ones with version 42 of the list, as `busy` says. The receiver
/// reports when the list has been received.
fn serve_late_list(
    server: WatchHoldingServer,
    poll_stream: TcpStream,
    busy: Busy,
    list: Value,
) -> Receiver<()> {
    let (sender, received) = channel();
    let polls = Arc::new(AtomicUsize::new(0));
    let serve = move |mut stream: TcpStream, has_read_poll: bool| {
        let (sender, polls, list) = (sender.clone(), Arc::clone(&polls), list.clone());
        std::thread::spawn(move || {
            let mut is_polled = has_read_poll || read_poll_path(&stream).is_some();
            while is_polled {
                let before = polls.fetch_add(1, Ordering::SeqCst);
                match busy {
                    Busy::Rejecting(rejected) if before < rejected => {
                        let _ = stream.write_all(http_response("503 Service Unavailable", "", "").as_bytes());
                    }
                    Busy::Rejecting(_) => send_list(&mut stream, 42, &list),
                    Busy::Late(delay_ms) => {
                        std::thread::sleep(Duration::from_millis(delay_ms));
                        send_list(&mut stream, 42, &list);
                    }
                }
                let next = read_poll_path(&stream);
                if next.as_ref().is_some_and(|path| path.starts_with("/v1/endpoints?after=42&")) {
                    let _ = sender.send(());
                    // The watch is held for as long as the client proxy keeps it open.
                    let _ = stream.read(&mut [0]);
                    return;
                }
                is_polled = next.is_some();
            }
        });
    };
    std::thread::spawn(move || {
        serve(poll_stream, true);
        while let Ok((stream, _)) = server.0.accept() {
            stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("could not set the read timeout");
            serve(stream, false);
        }
    });
    received
}

fn assert_last_discovery_is_followed(mode: &str, busy: Busy) {
    let (_old, old_list) = serving_upstream("old");
    let (_one, one_list) = serving_upstream("one");
    let (_two, two_list) = serving_upstream("two");
    let (_three, three_list) = serving_upstream("three");
    let (old, three) = (WatchHoldingServer::start(), WatchHoldingServer::start());
    let earlier = [WatchHoldingServer::start(), WatchHoldingServer::start()];
    let mut settings = settings();
    settings["discovery"] = json!(mode);
    settings["contract"]["askWithin"] = json!(10_000.0);
    let mut config = config(old.address(), settings);
    let proxy = Proxy::start(&config);
    let _watch = old.respond_until_watched(41, &old_list);
    assert_served_by(&mut proxy.client(), "old");

    let mut reload_with = |to: &WatchHoldingServer| {
        config["discovery"] = json!(to.address().to_string());
        write_config(&config.to_string());
        proxy.signal("-HUP");
        to.next_poll().0
    };
    let [mut one, mut two] = earlier.each_ref().map(&mut reload_with);
    let poll_stream = reload_with(&three);
    let begun = Instant::now();
    // Late, and with newer versions than the last discovery has.
    send_list(&mut one, 900, &one_list);
    send_list(&mut two, 901, &two_list);
    let received = serve_late_list(three, poll_stream, busy, three_list);
    let mut newest = 0;
    loop {
        let body = proxy.client().round_trip(&look_request(3000)).body;
        let body = String::from_utf8_lossy(&body);
        let current = ["old", "one", "two", "three"].iter().position(|name| body == *name);
        let current = current.unwrap_or_else(|| panic!("{mode}, {busy:?}: {body}"));
        assert!(current >= newest, "{mode}, {busy:?}: the list of an earlier address again: {body}");
        newest = current;
        match received.recv_timeout(REQUEST_INTERVAL) {
            Err(RecvTimeoutError::Timeout) => {
                assert!(begun.elapsed() < TEST_TIMEOUT, "{mode}, {busy:?}: the new list was not received");
            }
            received => break received.expect("the discovery server has ended"),
        }
    }
    assert_served_by(&mut proxy.client(), "three");
    for earlier in [one, two] {
        let read = (&earlier).read(&mut [0]);
        let is_closed = match &read {
            Ok(read) => *read == 0,
            Err(error) => error.kind() == ErrorKind::ConnectionReset,
        };
        assert!(is_closed, "{mode}, {busy:?}: a poll stays open: {read:?}");
    }
    assert_served_by(&mut proxy.client(), "three");
}

/// A reload with an invalid file keeps the current configuration, and a later valid file takes effect.
#[test]
fn invalid_configuration_file_changes_nothing() {
    let ((_old_upstream, old_list), (_new_upstream, new_list)) =
        (serving_upstream("old"), serving_upstream("new"));
    let (old, new) = (DiscoveryServer::start(old_list), DiscoveryServer::start(json!([])));
    new.publish(new_list, true);
    let mut config = config(old.address, settings());
    let proxy = Proxy::start(&config);
    old.wait_until_list_received();
    let mut client = proxy.client();
    let good = config.to_string();
    for text in ["", "{", "[]", &good[..good.len() / 2], "{\"discovery\": \"nowhere\"}", "{\"discovery\": 7}"]
    {
        write_config(text);
        proxy.signal("-HUP");
        assert_served_by(&mut client, "old");
    }
    config["discovery"] = json!(new.address.to_string());
    write_config(&config.to_string());
    proxy.signal("-HUP");
    new.wait_until_list_received();
    assert_served_by(&mut client, "new");
}
