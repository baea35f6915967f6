//! The admin address: its commands, their replies, and what its clients cannot do.

mod common;

use std::io::{Read, Write};
use std::net::TcpListener;

use common::*;
use serde_json::{Value, json};

fn proxy_with_admin_address(upstreams: &[&Upstream]) -> (Proxy, DiscoveryServer) {
    let entries = upstreams
        .iter()
        .enumerate()
        .map(|(i, upstream)| endpoint(&format!("h{i}"), upstream.address, "SERVING"));
    let discovery_server = DiscoveryServer::start(Value::Array(entries.collect()));
    let mut config = config(discovery_server.address, settings());
    config["admin_addr"] = json!("127.0.0.1:0");
    let proxy = Proxy::start(&config);
    discovery_server.wait_until_list_received();
    (proxy, discovery_server)
}

/// The metrics must agree with what clients and upstreams observed.
#[test]
fn metrics_match_what_peers_observed() {
    let upstream = Upstream::start(|n| match n {
        0 => Reply::Send(http_response("200 OK", "", "fine")),
        1 => Reply::Send(http_response("500 Internal Server Error", "", "")),
        _ => Reply::Stall,
    });
    let (proxy, _discovery) = proxy_with_admin_address(&[&upstream]);
    assert_eq!(proxy.admin_command("PING"), "+OK ready\n");
    assert_eq!(proxy.client().round_trip(&look_request(3000)).status(), 200);
    assert_eq!(proxy.client().round_trip(&post("pay", 3000, "", "")).status(), 502);
    // A malformed request is counted for no class.
    assert_eq!(proxy.client().round_trip(&look_request(3000).replace("X-Org: acme\r\n", "")).status(), 400);
    let mut waiting = proxy.client();
    waiting.write(&post("pay", 3900, "", ""));
    for _ in 0..3 {
        upstream.next_request();
    }
    let metrics = proxy.metrics();
    assert_eq!(metrics["success"], json!({"look": 1, "keep": 0, "pay": 0}));
    assert_eq!(metrics["overload"], json!({"look": 0, "keep": 0, "pay": 0}));
    assert_eq!(metrics["error"], json!({"look": 0, "keep": 0, "pay": 1}));
    let counts = ["dispatches", "concurrent", "targets", "targets_disabled"].map(|name| &metrics[name]);
    assert_eq!(counts, [3, 1, 1, 0].map(Value::from).each_ref());
}

/// A process without any endpoint must not be taken for ready.
#[test]
fn ping_fails_until_a_list_is_known() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
    let mut config = config(silent.local_addr().expect("no local address"), settings());
    config["admin_addr"] = json!("127.0.0.1:0");
    assert!(Proxy::start(&config).admin_command("PING").starts_with("-ERR"));
}

/// Invalid input gets an error reply or a close, and later commands still work.
#[test]
fn invalid_commands_get_an_error() {
    let (proxy, _discovery) = proxy_with_admin_address(&[]);
    let long = "x".repeat(100_000);
    for line in ["", "   ", "ping", "QUIT", "PING x", "INFO 1 2", "PING\u{7f}", &long] {
        let reply = proxy.admin_command(line);
        assert!(reply.starts_with("-ERR ") && reply.ends_with('\n'), "{line:.20}: {reply}");
    }
    for bytes in [&b"\xff\xfe\x00\n"[..], b"PING", b"\n\n\n"] {
        let mut stream = proxy.admin_connection();
        stream.write_all(bytes).expect("could not write");
        stream.shutdown(std::net::Shutdown::Write).expect("could not shut down the sending side");
        let mut reply = String::new();
        stream.read_to_string(&mut reply).expect("the connection was not closed");
        assert!(!reply.starts_with("+OK"), "{bytes:?}: {reply}");
    }
    assert_eq!(proxy.admin_command("PING\r"), "+OK ready\n");
}

/// Operators that hold idle connections must neither keep other operators out nor take slots from clients.
#[test]
fn idle_operators_block_neither_operators_nor_clients() {
    let upstream = Upstream::start(|_| Reply::Send(http_response("200 OK", "", "fine")));
    let (proxy, _discovery) = proxy_with_admin_address(&[&upstream]);
    let mut holders: Vec<_> = (0..60).map(|_| proxy.admin_connection()).collect();
    assert_eq!(proxy.admin_command("PING"), "+OK ready\n");
    assert_eq!(proxy.client().round_trip(&look_request(3000)).status(), 200);
    // Each idle connection is closed in the end.
    for holder in &mut holders {
        assert!(holder.read(&mut [0]).map_or(true, |read| read == 0), "a reply without a command");
    }
}

/// From the reply to DETACH on, the endpoint must get no new request until ATTACH. A command without a
/// valid name must get an error.
#[test]
fn detached_endpoint_gets_no_request_until_attached() {
    let (one, two) = (Upstream::start(|_| http_ok("one")), Upstream::start(|_| http_ok("two")));
    let (proxy, discovery_server) = proxy_with_admin_address(&[&one, &two]);
    for command in ["DETACH", "ATTACH", "DETACH nobody", "ATTACH nobody", "DETACH h0 h1"] {
        assert!(proxy.admin_command(command).starts_with("-ERR "), "{command}");
    }
    let mut client = proxy.client();
    while client.round_trip(&look_request(3000)).body != b"two" {}
    for _ in 0..2 {
        assert_eq!(proxy.admin_command("DETACH h1"), "+OK out of use\n");
    }
    assert_eq!(proxy.metrics()["targets_disabled"], 1);
    for snapshot in [true, false] {
        for _ in 0..20 {
            assert_eq!(client.round_trip(&look_request(3000)).body, b"one");
        }
        // Discovery lists it again, in a change and in a full snapshot.
        let entries = [endpoint("h0", one.address, "SERVING"), endpoint("h1", two.address, "SERVING")];
        discovery_server.publish(Value::from(entries.to_vec()), snapshot);
        discovery_server.wait_until_list_received();
    }
    assert_eq!(proxy.admin_command("ATTACH h1"), "+OK in use\n");
    assert_eq!(proxy.metrics()["targets_disabled"], 0);
    while client.round_trip(&look_request(3000)).body != b"two" {}
    // An endpoint that was not disabled stays as it is.
    assert_eq!(proxy.admin_command("ATTACH h0"), "+OK in use\n");
}

fn http_ok(body: &str) -> Reply {
    Reply::Send(http_response("200 OK", "", body))
}
