//! Upgrades: two processes on one inherited listening socket act as one client proxy.

mod common;

use std::fs::File;
use std::io::Read;
use std::net::{TcpListener, UdpSocket};

use common::*;
use serde_json::{Value, json};

/// Configuration of a process that accepts clients on the socket of the platform.
fn config_for(platform: &Platform, discovery_server: &DiscoveryServer) -> Value {
    let mut config = config(discovery_server.address, settings());
    config["listen"] = json!(platform.listener.local_addr().expect("no local address").to_string());
    config["admin_addr"] = json!("127.0.0.1:0");
    config
}

fn entries(upstreams: &[&Upstream]) -> Value {
    let entries = upstreams
        .iter()
        .enumerate()
        .map(|(i, upstream)| endpoint(&format!("h{i}"), upstream.address, "SERVING"));
    entries.collect()
}

fn served_look_requests(proxy: &Proxy) -> u64 {
    proxy.metrics()["success"]["look"].as_u64().expect("not a count")
}

/// The old process answers the requests that it admitted, all that come after its SIGTERM go to the new
/// one, and a second upgrade works like the first.
#[test]
fn upgrade_loses_no_request() {
    let (upstream, release) = Upstream::with_gated_first_response("done");
    let platform = Platform::new();
    let discovery_server = DiscoveryServer::start(entries(&[&upstream]));
    let config = config_for(&platform, &discovery_server);
    let mut old = platform.start(&config);
    old.wait_until_ready();
    let (mut waiting, mut kept_open) = (old.client(), old.client());
    waiting.write(&look_request(3900));
    upstream.next_request();
    assert_eq!(kept_open.round_trip(&look_request(3900)).body, b"done");

    let new = platform.start(&config);
    new.wait_until_ready();
    old.terminate();
    // The open connection serves one more request and is then closed.
    let last = kept_open.round_trip(&look_request(3900));
    assert_eq!(last.body, b"done");
    release.send(()).expect("the upstream thread has ended");
    assert_eq!(waiting.read().expect("no response").body, b"done");
    assert!(old.child.wait().expect("could not wait for the process").success());
    assert!(kept_open.read_until_closed());
    for _ in 0..10 {
        assert_eq!(new.client().round_trip(&look_request(3900)).body, b"done");
    }
    assert!(served_look_requests(&new) >= 10);

    let newer = platform.start(&config);
    newer.wait_until_ready();
    let mut new = new;
    new.terminate();
    assert!(new.child.wait().expect("could not wait for the process").success());
    assert_eq!(newer.client().round_trip(&look_request(3900)).body, b"done");
}

/// A client may send the requests behind a response with `Connection: close` again, to the next process. If
/// the old process forwarded them as well, they would run twice, so it rejects them.
#[test]
fn request_pipelined_behind_connection_close_is_rejected() {
    assert_rejected_behind_a_body(3);
}

/// The same behind a body that is streamed.
#[test]
fn request_behind_long_body_and_close_rejected() {
    for length in [65_000, 66_000, 70_000, 300_000] {
        assert_rejected_behind_a_body(length);
    }
}

/// Sends two requests behind one with a body of `length` bytes, which is answered as the process shuts
/// down.
fn assert_rejected_behind_a_body(length: usize) {
    let (upstream, release) = Upstream::with_gated_first_response("done");
    let platform = Platform::new();
    let discovery_server = DiscoveryServer::start(entries(&[&upstream]));
    let mut old = platform.start(&config_for(&platform, &discovery_server));
    old.wait_until_ready();
    let (mut idle, mut client) = (old.client(), old.client());
    assert_eq!(idle.round_trip(READY_REQUEST).status(), 200);
    client.write(&(post("pay", 3900, "", &"x".repeat(length)) + &post("pay", 3900, "", "abc").repeat(2)));
    upstream.next_request();
    old.terminate();
    assert!(idle.read().is_none(), "idle connections are not closed yet");
    release.send(()).expect("the upstream thread has ended");
    let first = client.read().expect("no response");
    assert_eq!((first.status(), first.header("connection")), (200, Some("close")));
    for n in 0..2 {
        let response =
            client.read().unwrap_or_else(|| panic!("no response to request {n} behind {length} bytes"));
        assert_eq!(response.status(), 503);
    }
    assert!(client.read_until_closed());
    assert_eq!(upstream.take_request_count(), 0, "only the first request may be forwarded");
    assert!(old.child.wait().expect("could not wait for the process").success());
}

/// A process without any endpoint must not accept clients beside one that serves: it would reject their
/// requests.
#[test]
fn unready_process_accepts_no_client() {
    let upstream = Upstream::start(|_| Reply::Send(http_response("200 OK", "", "done")));
    let platform = Platform::new();
    let discovery_server = DiscoveryServer::start(entries(&[&upstream]));
    let config = config_for(&platform, &discovery_server);
    let old = platform.start(&config);
    old.wait_until_ready();
    // The new process has neither discovery nor the state of the old one.
    let unresponsive = TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
    let mut unlisted = config.clone();
    unlisted["discovery"] = json!(unresponsive.local_addr().expect("no local address").to_string());
    unlisted["name"] = json!("n1");
    let new = platform.start(&unlisted);
    assert!(new.admin_command("PING").starts_with("-ERR"));
    for _ in 0..20 {
        assert_eq!(old.client().round_trip(&look_request(3000)).status(), 200);
    }
    assert_eq!(served_look_requests(&old), 20);
}

/// An operator override holds at both processes, whichever received the command, and survives the upgrade
/// together with the list, even if discovery never responds.
#[test]
fn operator_overrides_survive_an_upgrade() {
    let (one, two) = (
        Upstream::start(|_| Reply::Send(http_response("200 OK", "", "one"))),
        Upstream::start(|_| Reply::Send(http_response("200 OK", "", "two"))),
    );
    let platform = Platform::new();
    let discovery_server = DiscoveryServer::start(entries(&[&one, &two]));
    let config = config_for(&platform, &discovery_server);
    let old = platform.start(&config);
    old.wait_until_ready();
    assert_eq!(old.admin_command("DETACH h0"), "+OK out of use\n");
    let unresponsive = TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
    let mut next = config.clone();
    next["discovery"] = json!(unresponsive.local_addr().expect("no local address").to_string());
    let new = platform.start(&next);
    new.wait_until_ready();
    assert_eq!(new.metrics()["targets"], 2);
    assert_eq!(new.metrics()["targets_disabled"], 1);
    // A command to one process takes effect at the other.
    assert_eq!(new.admin_command("DETACH h1"), "+OK out of use\n");
    while old.metrics()["targets_disabled"] != 2 {}
    assert_eq!(old.admin_command("ATTACH h0"), "+OK in use\n");
    while new.metrics()["targets_disabled"] != 1 {}
    let mut old = old;
    old.terminate();
    assert!(old.child.wait().expect("could not wait for the process").success());
    for _ in 0..10 {
        assert_eq!(new.client().round_trip(&look_request(3000)).body, b"one");
    }
    assert_eq!(two.take_request_count(), 0);
}

/// The list of a process that was killed is an old one, whatever the next processes do with it: only a process
/// that follows it makes it current. While the agent is silent, they must not send by it.
#[test]
fn list_of_killed_process_is_not_served_before_the_agent_confirms_it() {
    let upstream = Upstream::start(|_| Reply::Send(http_response("200 OK", "", "done")));
    let platform = Platform::new();
    let discovery_server = DiscoveryServer::start(entries(&[&upstream]));
    let mut config = config_for(&platform, &discovery_server);
    let first = platform.start(&config);
    first.wait_until_ready();
    let state_file = platform.dir.join(format!("{STATE_FILE_PREFIX}.json"));
    while !std::fs::read_to_string(&state_file).is_ok_and(|state| state.contains("\"h0\"")) {}
    drop(first);
    let silent = TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
    config["discovery"] = json!(silent.local_addr().expect("no local address").to_string());
    let second = platform.start(&config);
    let third = platform.start(&config);
    for process in [&second, &third] {
        process.wait_until_ready();
    }
    for _ in 0..4 {
        assert_eq!(second.client().round_trip(&look_request(300)).status(), 503);
    }
    assert_eq!(upstream.take_request_count(), 0);
}

/// An invalid state file of an earlier process must neither make the start fail nor keep commands from
/// working.
#[test]
fn invalid_state_file_does_not_prevent_start() {
    let upstream = Upstream::start(|_| Reply::Send(http_response("200 OK", "", "done")));
    let discovery_server = DiscoveryServer::start(entries(&[&upstream]));
    for invalid in ["", "{\"version\":1,\"out\":[", "{\"version\":99}", "\u{1}\u{2}"] {
        let platform = Platform::new();
        std::fs::write(platform.dir.join(format!("{STATE_FILE_PREFIX}.json")), invalid)
            .expect("could not write");
        let proxy = platform.start(&config_for(&platform, &discovery_server));
        proxy.wait_until_ready();
        assert_eq!(proxy.client().round_trip(&look_request(3000)).status(), 200, "{invalid}");
        assert_eq!(proxy.admin_command("DETACH h0"), "+OK out of use\n", "{invalid}");
    }
}

/// An invalid inherited descriptor ends the program with one log line that names the variable, before it
/// listens.
#[test]
fn invalid_inherited_descriptor_fails_at_start() {
    let platform = Platform::new();
    let good = config_for(&platform, &DiscoveryServer::start(json!([])));
    let elsewhere = TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
    let clone_listener = || platform.listener.try_clone().expect("could not clone the socket").into();
    let connected = std::net::TcpStream::connect(elsewhere.local_addr().expect("no local address"))
        .expect("could not connect");
    let datagrams = UdpSocket::bind("127.0.0.1:0").expect("could not bind a loopback port");
    let cases = [
        (clone_listener(), "four"),
        (clone_listener(), "-4"),
        (clone_listener(), "1"),
        (clone_listener(), "99"),
        (clone_listener(), "99999999999999"),
        (File::open("/dev/null").expect("could not open /dev/null").into(), "4"),
        (connected.into(), "4"),
        (datagrams.into(), "4"),
        (elsewhere.into(), "4"),
    ];
    for (descriptor, inherited_fd) in cases {
        let context = format!("{descriptor:?} as {inherited_fd}");
        let mut child = spawn_with_listener(descriptor, inherited_fd, &good, &platform.dir);
        let mut stderr = String::new();
        child
            .stderr
            .take()
            .expect("stderr is not piped")
            .read_to_string(&mut stderr)
            .expect("stderr is not UTF-8");
        assert_eq!(
            child.wait().expect("could not wait for the process").code(),
            Some(1),
            "{context}: {stderr}"
        );
        assert!(stderr.lines().count() == 1 && stderr.contains("GW_INHERITED_FD"), "{context}: {stderr}");
    }
}
