//! The endpoint list: drains, address changes, removals, invalid entries, and a discovery that fails.

mod common;

use std::net::{TcpListener, TcpStream};

use common::*;
use serde_json::{Value, json};

/// An upstream that is draining, deleted or absent from a full snapshot must get no new request.
#[test]
fn draining_upstream_gets_no_new_request() {
    for case in ["DRAINING", "DELETED", "absent"] {
        let (remaining, leaving) = (named_upstream("remaining"), named_upstream("leaving"));
        let (proxy, discovery_server) = Proxy::with_upstreams(&[&remaining, &leaving]);
        let mut client = proxy.client();
        while client.round_trip(&look_request(3000)).body != b"leaving" {}
        match case {
            "absent" => discovery_server.publish(json!([endpoint("h0", remaining.address, "SERVING")]), true),
            // A removed endpoint needs no address.
            "DELETED" => discovery_server.publish(json!([{"name": "h1", "status": "DELETED"}]), false),
            _ => discovery_server.publish(json!([endpoint("h1", leaving.address, case)]), false),
        }
        discovery_server.wait_until_list_received();
        assert_served_by(&mut client, "remaining");
        // Its idle connections are closed as well.
        leaving.wait_for_close();
    }
}

/// The client proxy is notified of a drain while a dial to that upstream is pending. A request written to
/// the connection later would arrive after the grace time of the drain.
#[test]
fn pending_dial_to_draining_upstream_is_unused() {
    let here = named_upstream("here");
    let full = FullBacklog::start();
    let (discovery_server, _proxy, mut client) = full.proxy_dialing(true);
    discovery_server.publish(
        json!([endpoint("full", full.address, "DRAINING"), endpoint("here", here.address, "SERVING")]),
        false,
    );
    discovery_server.wait_until_list_received();
    assert_eq!(full.accept_pending_dial(), b"", "no request is written to the pending dial");
    assert_eq!(client.read().expect("no response").body, b"here");
}

#[test]
fn changed_endpoint_address_is_used() {
    let (old, new) = (named_upstream("old"), named_upstream("new"));
    let (proxy, discovery_server) = Proxy::with_upstreams(&[&old]);
    let mut client = proxy.client();
    assert_served_by(&mut client, "old");
    discovery_server.publish(json!([endpoint("h0", new.address, "SERVING")]), false);
    discovery_server.wait_until_list_received();
    assert_served_by(&mut client, "new");
}

/// One invalid entry must not cause the valid ones to be dropped.
#[test]
fn invalid_entries_are_skipped() {
    let here = named_upstream("here");
    let mut wrong = endpoint("wrong", here.address, "SERVING");
    wrong["address"] = json!("nowhere");
    let mut odd = endpoint("odd", here.address, "SERVING");
    odd["status"] = json!("DANCING");
    let mut heavy = endpoint("heavy", here.address, "SERVING");
    heavy["weight"] = json!(-1.0);
    let entries: Vec<Value> =
        vec![json!(7), json!({}), wrong, odd, heavy, endpoint("here", here.address, "SERVING")];
    let discovery_server = DiscoveryServer::start(Value::Array(entries));
    let proxy = Proxy::start(&config(discovery_server.address, settings()));
    discovery_server.wait_until_list_received();
    assert_served_by(&mut proxy.client(), "here");
}

/// After a failed poll, discovery is polled again from the current version.
#[test]
fn failed_watch_resumes_from_current_version() {
    let here = named_upstream("here");
    let listener = TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
    let address = listener.local_addr().expect("no local address");
    let proxy = Proxy::start(&config(address, settings()));
    let list = json!({"index": 41, "snapshot": true, "endpoints": [endpoint("h", here.address, "SERVING")]});
    // The full snapshot on the first connection, which then breaks; a 503 on the second; on the third the
    // watch goes on.
    for (reply, expected) in [
        (http_response("200 OK", "", &list.to_string()), "/v1/endpoints "),
        (http_response("503 Service Unavailable", "", ""), "after=41"),
        (String::new(), "after=41"),
    ] {
        let (mut stream, _) = listener.accept().expect("no poll");
        let mut reader = std::io::BufReader::new(stream.try_clone().expect("could not clone the socket"));
        let poll = read_message(&mut reader).expect("no poll");
        assert!(poll.start.contains(expected), "{}", poll.start);
        std::io::Write::write_all(&mut stream, reply.as_bytes()).expect("could not write");
    }
    assert_served_by(&mut proxy.client(), "here");
}

/// An invalid response of discovery must not empty the current list. The full snapshot is requested next,
/// since something was missed.
#[test]
fn invalid_list_keeps_the_current_one() {
    let here = named_upstream("here");
    let listener = TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
    let mut settings = settings();
    settings["discovery"] = json!("subscribe");
    let mut config = config(listener.local_addr().expect("no local address"), settings);
    config["known"] =
        json!({"index": 41, "snapshot": true, "endpoints": [endpoint("h", here.address, "SERVING")]});
    let proxy = Proxy::start(&config);
    let mut expected_path = "/v1/endpoints?after=41&wait_ms=100";
    for reply in [
        http_response("200 OK", "", r#"{"index": 42, "snapshot": true, "endpoints": [{"nam"#),
        http_response("200 OK", "", r#"{"index": 42, "snapshot": true}"#),
        http_response(
            "200 OK",
            "",
            r#"{"index": 42, "snapshot": true, "endpoints": [7, {}, {"name": "h"}]}"#,
        ),
        "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"index\": 42".to_owned(),
        http_response("503 Service Unavailable", "", ""),
        String::new(),
    ] {
        let (mut stream, _) = listener.accept().expect("no poll");
        let mut reader = std::io::BufReader::new(stream.try_clone().expect("could not clone the socket"));
        let poll = read_message(&mut reader).expect("no poll");
        assert_eq!(poll.start.split(' ').nth(1), Some(expected_path), "before {reply:?}");
        expected_path = "/v1/endpoints";
        std::io::Write::write_all(&mut stream, reply.as_bytes()).expect("could not write");
        drop((stream, reader));
        // A new client connection each time: the backoff between polls grows, and an idle client is
        // disconnected.
        assert_served_by(&mut proxy.client(), "here");
    }
}

/// A discovery server whose responses the test writes one by one.
struct ScriptedDiscovery(TcpListener);

impl ScriptedDiscovery {
    /// Starts it together with a client proxy that has received `remaining` and `leaving` in version 41 of
    /// the list and watches for the next version.
    fn start(mode: &str, remaining: &Upstream, leaving: &Upstream) -> (ScriptedDiscovery, Proxy, TcpStream) {
        let discovery =
            ScriptedDiscovery(TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port"));
        let mut settings = settings();
        settings["discovery"] = json!(mode);
        settings["contract"]["askWithin"] = json!(10_000.0);
        let proxy = Proxy::start(&config(discovery.0.local_addr().expect("no local address"), settings));
        let (mut stream, poll) = discovery.connection();
        assert_eq!(poll, "/v1/endpoints");
        let both = json!([
            endpoint("remaining", remaining.address, "SERVING"),
            endpoint("leaving", leaving.address, "SERVING")
        ]);
        send_list(&mut stream, 41, true, &both);
        assert!(next_poll(&stream).starts_with("/v1/endpoints?after=41&"), "the watch goes on");
        (discovery, proxy, stream)
    }

    /// The next connection, and the poll on it.
    fn connection(&self) -> (TcpStream, String) {
        let (stream, _) = self.0.accept().expect("accept failed");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("could not set the read timeout");
        let poll = next_poll(&stream);
        (stream, poll)
    }

    /// Like [`ScriptedDiscovery::connection`], but fails if no connection comes within the time that a
    /// watch may wait.
    fn connection_within_timeout(&self) -> (TcpStream, String) {
        let socket = socket2::SockRef::from(&self.0);
        socket.set_read_timeout(Some(TEST_TIMEOUT)).expect("could not set the accept timeout");
        self.connection()
    }
}

fn next_poll(stream: &TcpStream) -> String {
    let mut reader = std::io::BufReader::new(stream.try_clone().expect("could not clone the socket"));
    let poll = read_message(&mut reader).expect("no poll");
    poll.start.split(' ').nth(1).expect("missing path").to_owned()
}

fn send_list(stream: &mut TcpStream, index: u64, snapshot: bool, endpoints: &Value) {
    let list = json!({"index": index, "snapshot": snapshot, "endpoints": endpoints});
    write(stream, &http_response("200 OK", "", &list.to_string()));
}

fn write(stream: &mut TcpStream, text: &str) {
    std::io::Write::write_all(stream, text.as_bytes()).expect("could not write");
}

/// The list would silently become stale if the client proxy waited for a watch that stalls, trickles an
/// endless response or breaks off. It has to poll for the missed changes, even while the old connection
/// stays open.
#[test]
fn stalled_watch_is_replaced_by_poll() {
    for mode in ["automatic", "subscribe"] {
        for case in ["silent", "trickle", "reset", "half"] {
            let (remaining, leaving) = (named_upstream("remaining"), named_upstream("leaving"));
            let (discovery, proxy, mut watch) = ScriptedDiscovery::start(mode, &remaining, &leaving);
            let mut client = proxy.client();
            while client.round_trip(&look_request(3000)).body != b"leaving" {}
            let drained = json!([endpoint("leaving", leaving.address, "DRAINING")]);
            let _open = match case {
                "silent" => Some(watch),
                "reset" => {
                    drop(watch);
                    None
                }
                "half" => {
                    write(&mut watch, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"index\": 42");
                    Some(watch)
                }
                _ => {
                    let mut trickling = watch.try_clone().expect("could not clone the socket");
                    std::thread::spawn(move || {
                        write(&mut trickling, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                        while std::io::Write::write_all(&mut trickling, b"1\r\n \r\n").is_ok() {
                            std::thread::sleep(std::time::Duration::from_millis(20));
                        }
                    });
                    Some(watch)
                }
            };
            let (mut stream, poll) = discovery.connection_within_timeout();
            // In mode `subscribe` this poll is the next watch as well.
            let wait = if mode == "subscribe" { 100 } else { 0 };
            assert_eq!(poll, format!("/v1/endpoints?after=41&wait_ms={wait}"), "{mode}, {case}");
            send_list(&mut stream, 42, false, &drained);
            assert!(next_poll(&stream).contains("after=42&"), "{mode}, {case}");
            // The connection used before has been idle for too long.
            assert_served_by(&mut proxy.client(), "remaining");
        }
    }
}

/// A response that is older, or has changes that cannot be parsed, could undo a drain. It is not applied;
/// the full snapshot is requested at once and replaces the list.
#[test]
fn inconsistent_list_triggers_full_snapshot() {
    for mode in ["automatic", "subscribe"] {
        for case in ["older", "unreadable", "again"] {
            let (remaining, leaving) = (named_upstream("remaining"), named_upstream("leaving"));
            let (_discovery, proxy, mut watch) = ScriptedDiscovery::start(mode, &remaining, &leaving);
            let serving = [
                endpoint("remaining", remaining.address, "SERVING"),
                endpoint("leaving", leaving.address, "SERVING"),
            ];
            let drained = [serving[0].clone(), endpoint("leaving", leaving.address, "DRAINING")];
            let mut wrong = drained[1].clone();
            wrong["weight"] = json!("heavy");
            match case {
                "older" => {
                    send_list(&mut watch, 42, false, &json!([drained[1]]));
                    assert!(next_poll(&watch).contains("after=42&"), "{mode}, {case}");
                    send_list(&mut watch, 41, true, &json!(serving));
                }
                "unreadable" => send_list(&mut watch, 42, false, &json!([wrong])),
                _ => send_list(&mut watch, 41, false, &json!([serving[1]])),
            }
            assert_eq!(next_poll(&watch), "/v1/endpoints", "{mode}, {case}");
            assert_not_served_by(&proxy, "leaving", case == "older");
            send_list(&mut watch, 43, true, &json!(drained));
            assert!(next_poll(&watch).contains("after=43&"), "{mode}, {case}");
            assert_served_by(&mut proxy.client(), "remaining");
        }
    }
}

/// Asserts, if `is_checked`, that none of ten responses comes from `name`.
fn assert_not_served_by(proxy: &Proxy, name: &str, is_checked: bool) {
    let mut client = proxy.client();
    for _ in 0..(if is_checked { 10 } else { 0 }) {
        assert_ne!(client.round_trip(&look_request(3000)).body, name.as_bytes());
    }
}

/// An entry for a draining endpoint may have no valid address. Nothing is sent to it, so the drain has to
/// be applied all the same.
#[test]
fn drain_without_valid_address_is_applied() {
    for mode in ["automatic", "subscribe"] {
        let (remaining, leaving) = (named_upstream("remaining"), named_upstream("leaving"));
        let (_discovery, proxy, mut watch) = ScriptedDiscovery::start(mode, &remaining, &leaving);
        let mut client = proxy.client();
        while client.round_trip(&look_request(3000)).body != b"leaving" {}
        send_list(
            &mut watch,
            42,
            false,
            &json!([{"name": "leaving", "status": "DRAINING", "address": "nowhere"}]),
        );
        assert!(next_poll(&watch).contains("after=42&"), "{mode}");
        assert_served_by(&mut client, "remaining");
    }
}

/// A reload must neither end the program nor leave it waiting for the discovery that was replaced. An
/// invalid file changes nothing.
#[test]
fn reload_switches_to_the_new_discovery() {
    for mode in ["automatic", "subscribe"] {
        let (old, new) = (named_upstream("old"), named_upstream("new"));
        let before = DiscoveryServer::start(json!([endpoint("h0", old.address, "SERVING")]));
        let mut settings = settings();
        settings["discovery"] = json!(mode);
        let mut config = config(before.address, settings);
        config["known"] = json!({"index": 0, "snapshot": true, "endpoints": []});
        let proxy = Proxy::start(&config);
        before.wait_until_list_received();
        let mut client = proxy.client();
        assert_served_by(&mut client, "old");

        write_config("{ invalid");
        proxy.signal("-HUP");
        assert_served_by(&mut client, "old");

        let after = DiscoveryServer::start(json!([]));
        after.publish(json!([endpoint("h0", new.address, "SERVING")]), true);
        config["discovery"] = json!(after.address.to_string());
        write_config(&config.to_string());
        proxy.signal("-HUP");
        // The poll continues from the current version, so no change in between is missed.
        assert!(after.next_poll().contains("after=1&"));
        after.wait_until_list_received();
        assert_served_by(&mut client, "new");
    }
}
