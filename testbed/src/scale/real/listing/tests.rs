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

/// All that comes for one call, heads included, and how much was sent for it.
fn call(listing: &Listing, path: &str) -> (String, usize) {
    let call = format!("GET {path} HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n");
    let mut stream = TcpStream::connect(listing.address).expect("connected");
    stream.write_all(call.as_bytes()).expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("answered");
    (answer, call.len())
}

/// Version, whether it is whole, and the entries of an answer.
fn read(answer: &str) -> (u64, bool, Vec<Value>) {
    let (_, body) = answer.split_once("\r\n\r\n").expect("a body");
    let list: Value = from_str(body).expect("JSON");
    let entries = list["endpoints"].as_array().expect("endpoints").clone();
    (list["index"].as_u64().expect("index"), list["snapshot"].as_bool().expect("snapshot"), entries)
}

/// Guards against a stand-in that speaks otherwise than discovery: then every figure is of another client proxy.
#[test]
fn whole_lists_and_watches_are_answered_as_the_protocol_has_it() {
    let listing = listing(30);
    let (version, whole, entries) = read(&call(&listing, "/v1/endpoints").0);
    assert_eq!((version, whole, entries.len()), (1, true, 30));
    assert!(listing.asked_first().is_some());
    let bytes = listing.whole_bytes() / 30;
    assert!((120..180).contains(&bytes), "an entry of {bytes} bytes");

    let nothing = read(&call(&listing, "/v1/endpoints?after=1&wait_ms=20").0);
    assert_eq!(nothing, (1, false, Vec::new()), "the wait is over");

    std::thread::scope(|scope| {
        // Waits in vain for a minute unless the change reaches it.
        let watch = scope.spawn(|| read(&call(&listing, "/v1/endpoints?after=1&wait_ms=60000").0));
        listing.change(&[7], |endpoint| endpoint.since_ms = 5);
        let (version, whole, entries) = watch.join().expect("told");
        assert_eq!((version, whole, entries.len()), (2, false, 1));
        assert_eq!(entries[0]["since_ms"], 5);
    });
    listing.change(&[8, 9], |endpoint| endpoint.since_ms = 6);
    let (version, _, entries) = read(&call(&listing, "/v1/endpoints?after=1&wait_ms=60000").0);
    assert_eq!((version, entries.len()), (3, 3), "all that is newer");
    let (_, whole, entries) = read(&call(&listing, "/v1/endpoints").0);
    assert_eq!((whole, entries[9]["since_ms"].as_u64()), (true, Some(6)), "made anew");
    assert!(call(&listing, "/v1/other").0.starts_with("HTTP/1.1 404"));
}

/// Guards against bytes a second that leave something out: both directions are what this end of the wire saw.
#[test]
fn traffic_is_what_went_over_the_wire() {
    let listing = listing(3);
    let (mut up, mut down) = (0, 0);
    for path in ["/v1/endpoints", "/v1/endpoints?after=1&wait_ms=1", "/v1/endpoints"] {
        let (answer, sent) = call(&listing, path);
        (up, down) = (up + sent as u64, down + answer.len() as u64);
    }
    let expected = Traffic { calls: 3, connections: 3, up_bytes: up, down_bytes: down, told: 0 };
    assert_eq!(listing.traffic(), expected);
}
