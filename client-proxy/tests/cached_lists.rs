//! Endpoint lists from before a process: those of its configuration, which discovery may not confirm for a while.

mod common;

use std::net::TcpListener;

use common::*;
use serde_json::json;

/// Where discovery is polled, the client proxy serves from the list in its configuration until discovery
/// responds. That list may be old, so the first one from discovery replaces it, whatever its version.
#[test]
fn configured_list_is_used_until_discovery_responds() {
    let (old, new) = (named_upstream("old"), named_upstream("new"));
    let unresponsive = TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
    let list = json!({"index": 900, "snapshot": true, "endpoints": [endpoint("o", old.address, "SERVING")]});
    let mut polling = settings();
    polling["discovery"] = json!("subscribe");
    let mut without_discovery = config(unresponsive.local_addr().expect("no local address"), polling);
    without_discovery["known"] = list.clone();
    assert_served_by(&mut Proxy::start(&without_discovery).client(), "old");

    let discovery_server = DiscoveryServer::start(json!([endpoint("n", new.address, "SERVING")]));
    let mut with_discovery = config(discovery_server.address, settings());
    with_discovery["known"] = list;
    let proxy = Proxy::start(&with_discovery);
    discovery_server.wait_until_list_received();
    assert_served_by(&mut proxy.client(), "new");
}

/// A new process must not send by an old list while the agent is silent: the agent may have received that one
/// of its endpoints drains. It is ready all the same, and serves as soon as the agent responds.
#[test]
fn pushed_list_is_not_served_before_the_agent_confirms_it() {
    let (draining, serving) = (named_upstream("draining"), named_upstream("serving"));
    let listener = TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
    let mut config = config(listener.local_addr().expect("no local address"), settings());
    let both = [("d", &draining), ("s", &serving)].map(|(name, at)| endpoint(name, at.address, "SERVING"));
    config["known"] = json!({"index": 41, "snapshot": true, "endpoints": both});
    let proxy = Proxy::start(&config);
    assert_eq!(proxy.client().round_trip(&look_request(300)).status(), 503, "before it is ready");
    while proxy.client().round_trip(READY_REQUEST).status() != 200 {}
    assert_eq!(proxy.client().round_trip(&look_request(300)).status(), 503, "once it is ready");

    let mut now = both.clone();
    now[0]["status"] = json!("DRAINING");
    let list = json!({"index": 42, "snapshot": true, "endpoints": now}).to_string();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let _ = stream.and_then(|mut stream| {
                std::io::Write::write_all(&mut stream, http_response("200 OK", "", &list).as_bytes())
            });
        }
    });
    // A request waits for an endpoint for half of its time.
    while proxy.client().round_trip(&look_request(300)).status() != 200 {}
    assert_served_by(&mut proxy.client(), "serving");
    assert_eq!(draining.take_request_count(), 0);
}

/// In mode `subscribe` the load-balancing core decides when discovery is polled, so there must be no poll
/// of the process itself.
#[test]
fn subscribe_mode_polls_from_the_configured_version() {
    let here = named_upstream("here");
    let discovery_server = DiscoveryServer::start(json!([endpoint("h", here.address, "SERVING")]));
    let mut settings = settings();
    settings["discovery"] = json!("subscribe");
    settings["contract"]["askWithin"] = json!(10_000.0);
    let mut config = config(discovery_server.address, settings);
    config["known"] = json!({"index": 0, "snapshot": true, "endpoints": []});
    let proxy = Proxy::start(&config);
    // Missed changes are polled for at once, then the watch goes on.
    assert_eq!(discovery_server.next_poll(), "/v1/endpoints?after=0&wait_ms=100");
    assert_eq!(discovery_server.next_poll(), "/v1/endpoints?after=1&wait_ms=1500");
    discovery_server.wait_until_list_received();
    assert_served_by(&mut proxy.client(), "here");
}
