use std::io::{Read, Write};
use std::net::TcpStream;

use serde_json::from_str;

use super::*;

fn listing(count: usize) -> Listing {
    let endpoint = |number: u32| Endpoint {
        number,
        address: SocketAddrV4::new([127, 0, 0, 1].into(), 9),
        zone: "noord-a".to_owned(),
        kind: "m1",
        since_ms: 1_700_000_000_000,
    };
    Listing::open((0..count as u32).map(endpoint).collect()).expect("a listing")
}

/// Sends one request. Returns the complete response with its head, and the size of the request.
fn exchange(listing: &Listing, path: &str) -> (String, usize) {
    let request = format!("GET {path} HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n");
    let mut stream = TcpStream::connect(listing.address).expect("connected");
    stream.write_all(request.as_bytes()).expect("written");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("answered");
    (response, request.len())
}

/// Parses a response: the version, whether it is a full snapshot, and the entries.
fn parse(response: &str) -> (u64, bool, Vec<Value>) {
    let (_, body) = response.split_once("\r\n\r\n").expect("a body");
    let list: Value = from_str(body).expect("JSON");
    let entries = list["endpoints"].as_array().expect("endpoints").clone();
    (list["index"].as_u64().expect("index"), list["snapshot"].as_bool().expect("snapshot"), entries)
}

/// If this server deviated from discovery's protocol, the client proxy would behave differently than in
/// production, and all figures would be wrong.
#[test]
fn snapshots_and_watches_follow_the_protocol() {
    let listing = listing(30);
    let (version, full_snapshot, entries) = parse(&exchange(&listing, "/v1/endpoints").0);
    assert_eq!((version, full_snapshot, entries.len()), (1, true, 30));
    assert!(listing.first_poll_at().is_some());
    let bytes = listing.snapshot_bytes() / 30;
    assert!((120..180).contains(&bytes), "an entry of {bytes} bytes");

    let nothing = parse(&exchange(&listing, "/v1/endpoints?after=1&wait_ms=20").0);
    assert_eq!(nothing, (1, false, Vec::new()), "the watch times out without changes");

    std::thread::scope(|scope| {
        // Times out after a minute if the change does not reach it.
        let watch = scope.spawn(|| parse(&exchange(&listing, "/v1/endpoints?after=1&wait_ms=60000").0));
        listing.change(&[7], |endpoint| endpoint.since_ms = 5);
        let (version, full_snapshot, entries) = watch.join().expect("a change");
        assert_eq!((version, full_snapshot, entries.len()), (2, false, 1));
        assert_eq!(entries[0]["since_ms"], 5);
    });
    listing.change(&[8, 9], |endpoint| endpoint.since_ms = 6);
    let (version, _, entries) = parse(&exchange(&listing, "/v1/endpoints?after=1&wait_ms=60000").0);
    assert_eq!((version, entries.len()), (3, 3), "all changes since version 1");
    let (_, full_snapshot, entries) = parse(&exchange(&listing, "/v1/endpoints").0);
    assert_eq!(
        (full_snapshot, entries[9]["since_ms"].as_u64()),
        (true, Some(6)),
        "the cached snapshot is replaced"
    );
    assert!(exchange(&listing, "/v1/other").0.starts_with("HTTP/1.1 404"));
}

/// The byte counts are the figures of the traffic per second, so they have to match the bytes that the client
/// sees.
#[test]
fn traffic_counts_all_bytes_on_the_wire() {
    let listing = listing(3);
    let (mut up, mut down) = (0, 0);
    for path in ["/v1/endpoints", "/v1/endpoints?after=1&wait_ms=1", "/v1/endpoints"] {
        let (response, sent) = exchange(&listing, path);
        (up, down) = (up + sent as u64, down + response.len() as u64);
    }
    let expected = Traffic { polls: 3, connections: 3, up_bytes: up, down_bytes: down, change_responses: 0 };
    assert_eq!(listing.traffic(), expected);
}
