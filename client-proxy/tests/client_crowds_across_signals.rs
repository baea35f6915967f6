//! Crowds of clients while the client proxy reloads its configuration, shuts down, or is upgraded: the two processes of
//! an upgrade share the limit.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::crowds::*;
use common::termination::wait_until_sleeping;
use common::*;
use serde_json::{Value, json};

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

/// A client proxy of which several processes can run, and what it needs.
struct Upgrade {
    platform: Platform,
    config: Value,
    address: SocketAddr,
    _discovery: DiscoveryServer,
}

impl Upgrade {
    fn new() -> Upgrade {
        let upstream = long_response_upstream(LONG_RESPONSE_BYTES);
        let discovery_server = DiscoveryServer::start(twelve_endpoints_at(upstream));
        let platform = Platform::new();
        let address = platform.listener.local_addr().expect("no local address");
        let mut config = limited_config(discovery_server.address);
        config["listen"] = json!(address.to_string());
        config["admin_addr"] = json!("127.0.0.1:0");
        Upgrade { platform, config, address, _discovery: discovery_server }
    }

    fn start_process(&self) -> Proxy {
        let process = self.platform.start(&self.config);
        process.wait_until_ready();
        process
    }
}

#[test]
fn crowd_stays_within_memory_at_both_processes_of_an_upgrade() {
    let upgrade = Upgrade::new();
    let old = upgrade.start_process();
    let (texts, mut peak) = (texts(), PeakMemory::default());
    let mut crowd = ReturningCrowd::connect(upgrade.address, &texts, usize::MAX);
    crowd.go_on(PHASE, || peak.observe(&[&old]));
    let new = upgrade.start_process();
    crowd.go_on(PHASE / 3, || peak.observe(&[&old, &new]));
    old.terminate();
    crowd.go_on(EARLIEST_KILL, || peak.observe(&[&old, &new]));
    peak.assert_within_limit("two processes");
}

/// Memory that requests have used before an upgrade must not stay with the old process while the new one needs it.
#[test]
fn memory_of_ended_requests_is_returned_in_an_upgrade() {
    let upgrade = Upgrade::new();
    let old = upgrade.start_process();
    let resident = || old.memory("VmRSS:").expect("the process has ended");
    let at_start = resident();
    let texts = texts();
    let mut crowd = ReturningCrowd::connect(upgrade.address, &texts, usize::MAX);
    crowd.go_on(PHASE, || {});
    drop(crowd);
    wait_until_sleeping(old.child.id());
    let used = resident() - at_start;
    assert!(used > MEMORY_LIMIT_BYTES / 8, "the crowd has used {used} bytes");
    let _new = upgrade.start_process();
    let end = Instant::now() + TEST_TIMEOUT;
    while resident() > at_start + used / 2 {
        assert!(Instant::now() < end, "{} of {used} bytes are left", resident() - at_start);
        std::thread::sleep(Duration::from_millis(20));
    }
}
