//! Crowds of clients while the client proxy reloads its configuration, shuts down, or is upgraded: the two processes of
//! an upgrade share the limit.

mod common;

use std::time::Duration;

use common::crowds::*;
use common::*;
use serde_json::json;

/// Long enough for a crowd to fill what it may, and for refused clients to come again.
const PHASE: Duration = Duration::from_millis(1_500);
/// SIGKILL comes this long after SIGTERM.
const EARLIEST_KILL: Duration = Duration::from_millis(3_700);

fn texts() -> [Vec<u8>; 4] {
    [
        complete_request(""),
        complete_request(&long_field()),
        complete_request(&short_fields()),
        partial_request(&short_fields()),
    ]
}

/// The most memory that processes have had at the same time.
#[derive(Default)]
struct PeakMemory(u64);

impl PeakMemory {
    fn observe(&mut self, processes: &[&Proxy]) {
        let resident = processes.iter().filter_map(|process| process.memory("VmRSS:"));
        self.0 = self.0.max(resident.sum());
    }

    fn assert_within_limit(&self, shape: &str) {
        println!("{shape}: {} bytes at most", self.0);
        assert!(self.0 <= MEMORY_LIMIT_BYTES, "{shape}: {} bytes", self.0);
    }
}

#[test]
fn crowd_stays_within_memory_through_reloads_and_a_shutdown() {
    let upstream = long_response_upstream(LONG_RESPONSE_BYTES);
    let discovery_server = DiscoveryServer::start(twelve_endpoints_at(upstream));
    let proxy = Proxy::start(&limited_config(discovery_server.address));
    discovery_server.wait_until_list_received();
    let (texts, mut peak) = (texts(), PeakMemory::default());
    let mut crowd = ReturningCrowd::connect(proxy.address, &texts, usize::MAX);
    for _ in 0..5 {
        proxy.signal("-HUP");
        crowd.go_on(PHASE / 3, || peak.observe(&[&proxy]));
    }
    proxy.terminate();
    crowd.go_on(EARLIEST_KILL, || peak.observe(&[&proxy]));
    peak.assert_within_limit("one process");
}

#[test]
fn crowd_stays_within_memory_at_both_processes_of_an_upgrade() {
    let upstream = long_response_upstream(LONG_RESPONSE_BYTES);
    let discovery_server = DiscoveryServer::start(twelve_endpoints_at(upstream));
    let platform = Platform::new();
    let address = platform.listener.local_addr().expect("no local address");
    let mut config = limited_config(discovery_server.address);
    config["listen"] = json!(address.to_string());
    config["admin_addr"] = json!("127.0.0.1:0");
    let old = platform.start(&config);
    old.wait_until_ready();
    let (texts, mut peak) = (texts(), PeakMemory::default());
    let mut crowd = ReturningCrowd::connect(address, &texts, usize::MAX);
    crowd.go_on(PHASE, || peak.observe(&[&old]));
    let new = platform.start(&config);
    new.wait_until_ready();
    crowd.go_on(PHASE / 3, || peak.observe(&[&old, &new]));
    old.terminate();
    crowd.go_on(EARLIEST_KILL, || peak.observe(&[&old, &new]));
    peak.assert_within_limit("two processes");
}
