//! The state folder, `$TMPDIR`: its system calls fail, hang, or are where the process is killed. A change
//! that an operator was told is durable has to survive, and one that an operator was told has failed must
//! never take effect.

mod common;

use std::io::{Read, Write};
use std::path::PathBuf;

use common::faults::Faults;
use common::*;
use serde_json::{Value, json};

/// Longer than the client proxy waits for the folder anywhere.
const HANG_MS: u64 = 5_000;

/// Two endpoints, a discovery server, and the state folder of a client proxy.
struct TestSetup {
    upstreams: [Upstream; 2],
    discovery_server: DiscoveryServer,
    platform: Platform,
}

impl TestSetup {
    fn new() -> TestSetup {
        let upstreams = ["one", "two"]
            .map(|name| Upstream::start(move |_| Reply::Send(http_response("200 OK", "", name))));
        let discovery_server = DiscoveryServer::start(entries(&upstreams, "SERVING"));
        TestSetup { upstreams, discovery_server, platform: Platform::new() }
    }

    fn config(&self) -> Value {
        let mut config = config(self.discovery_server.address, settings());
        config["admin_addr"] = json!("127.0.0.1:0");
        config
    }

    /// A client proxy on a socket of its own, so that only operator commands access the folder.
    fn start(&self, faults: &Faults) -> Proxy {
        faults.start_with(&self.config(), |command| command.env("TMPDIR", &self.platform.dir))
    }

    /// A client proxy on the listening socket of the platform, which a new process may take over.
    fn start_shared(&self, faults: &Faults) -> Proxy {
        let mut config = self.config();
        config["listen"] = json!(self.platform.listener.local_addr().expect("no local address").to_string());
        faults.start_on(&self.platform, &config)
    }

    fn folder(&self) -> String {
        self.platform.dir.to_str().expect("path is not UTF-8").to_owned()
    }

    fn file(&self) -> PathBuf {
        self.platform.dir.join(format!("{STATE_FILE_PREFIX}.json"))
    }

    fn on_disk(&self) -> Value {
        let text = std::fs::read_to_string(self.file()).unwrap_or_else(|_| "{}".to_owned());
        serde_json::from_str(&text).expect("invalid JSON")
    }

    /// The endpoints that the state file lists as disabled by an operator.
    fn disabled_on_disk(&self) -> Vec<String> {
        let names = self.on_disk()["out"].clone();
        serde_json::from_value(names).unwrap_or_default()
    }
}

fn entries(upstreams: &[Upstream; 2], status_of_first: &str) -> Value {
    let [one, two] = upstreams;
    json!([endpoint("h0", one.address, status_of_first), endpoint("h1", two.address, "SERVING")])
}

/// Repeats a command until it is accepted: on a busy disk a write may time out.
fn run_until_accepted(proxy: &Proxy, command: &str) {
    wait_until(command, || proxy.admin_command(command).starts_with("+OK "));
}

/// Waits until `condition` holds, checking it every few milliseconds.
fn wait_until(condition_name: &str, condition: impl Fn() -> bool) {
    let begun = std::time::Instant::now();
    while !condition() {
        assert!(begun.elapsed() < TEST_TIMEOUT, "timed out waiting: {condition_name}");
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
}

fn disabled_count(proxy: &Proxy) -> u64 {
    proxy.metrics()["targets_disabled"].as_u64().expect("not a count")
}

/// A command whose change cannot be written must not be acknowledged, and a command that was reported as
/// failed must not take effect.
#[test]
fn unstored_command_fails_without_effect() {
    let setup = TestSetup::new();
    let faults = Faults::new(json!({}));
    let proxy = setup.start(&faults);
    proxy.wait_until_ready();
    run_until_accepted(&proxy, "DETACH h0");
    let folder = setup.folder();
    for rule in [
        json!({"call": "write", "path": STATE_FILE_PREFIX, "error": "ENOSPC"}),
        json!({"call": "write", "path": STATE_FILE_PREFIX, "error": "EIO"}),
        json!({"call": "open", "path": STATE_FILE_PREFIX, "error": "EROFS"}),
        json!({"call": "open", "path": STATE_FILE_PREFIX, "error": "EIO"}),
        json!({"call": "open", "path": "n0.json", "error": "EIO"}),
        json!({"call": "flock", "path": STATE_FILE_PREFIX, "error": "EIO"}),
        json!({"call": "rename", "path": STATE_FILE_PREFIX, "error": "EIO"}),
        json!({"call": "rename", "path": STATE_FILE_PREFIX, "error": "EROFS"}),
        json!({"call": "fsync", "path": STATE_FILE_PREFIX, "error": "EIO"}),
        // The second sync is that of the folder.
        json!({"call": "fsync", "path": folder, "error": "EIO", "skip": 1, "count": 1}),
    ] {
        faults.replace_plan(json!({"rules": [rule]}));
        // On a busy disk the write may time out before it reaches the fault.
        let reply = loop {
            let reply = proxy.admin_command("DETACH h1");
            if reply.starts_with("+OK") || faults.trigger_count(0) > 0 {
                break reply;
            }
        };
        assert!(reply.starts_with("-ERR it cannot be written down"), "{rule}: {reply}");
        assert_eq!(disabled_count(&proxy), 1, "{rule}");
        wait_until("the file is as before", || setup.disabled_on_disk() == ["h0"]);
        let new = setup.platform.dir.join(format!("{STATE_FILE_PREFIX}.new"));
        wait_until("the partial file is removed", || !new.exists());
    }
    faults.replace_plan(json!({}));
    run_until_accepted(&proxy, "DETACH h1");
    assert_eq!(setup.disabled_on_disk(), ["h0", "h1"]);
    assert_eq!(disabled_count(&proxy), 2);
}

/// A system call on the folder hangs. It must not block the event loop, the operator must get a reply
/// within a second, and the change must not take effect when the disk continues.
#[test]
fn late_write_to_hanging_folder_is_undone() {
    let setup = TestSetup::new();
    let faults = Faults::new(json!({}));
    let proxy = setup.start(&faults);
    proxy.wait_until_ready();
    for call in ["open", "flock", "write", "fsync", "rename"] {
        faults.replace_plan(
            json!({"rules": [{"call": call, "path": STATE_FILE_PREFIX, "delay_ms": HANG_MS, "count": 1}]}),
        );
        let mut operator = proxy.admin_connection();
        operator.write_all(b"DETACH h0\n").expect("could not write");
        faults.wait_until_triggered(0, 1);
        assert_eq!(proxy.client().round_trip(&look_request(3000)).status(), 200);
        assert_eq!(disabled_count(&proxy), 0, "{call}");
        let mut reply = String::new();
        operator.read_to_string(&mut reply).expect("no reply");
        assert!(reply.starts_with("-ERR it cannot be written down"), "{call}: {reply}");
        // The next command that is written comes after everything that the hang has delayed.
        run_until_accepted(&proxy, "DETACH h1");
        assert_eq!(setup.disabled_on_disk(), ["h1"], "{call}");
        assert_eq!(disabled_count(&proxy), 1, "{call}");
        run_until_accepted(&proxy, "ATTACH h1");
    }
}

/// A kill at any step of a write must neither lose an acknowledged change nor keep the next process from
/// starting.
#[test]
fn acknowledged_change_survives_kill_during_write() {
    let setup = TestSetup::new();
    let folder = setup.folder();
    for (rule, may_be_stored) in [
        (json!({"call": "flock", "path": STATE_FILE_PREFIX, "kill": true}), false),
        (json!({"call": "write", "path": STATE_FILE_PREFIX, "kill": true}), false),
        (json!({"call": "write", "path": STATE_FILE_PREFIX, "kill": true, "short": 20}), false),
        (json!({"call": "fsync", "path": STATE_FILE_PREFIX, "kill": true}), false),
        (json!({"call": "rename", "path": STATE_FILE_PREFIX, "kill": true}), false),
        (json!({"call": "fsync", "path": folder, "kill": true, "skip": 1}), true),
    ] {
        let faults = Faults::new(json!({}));
        let mut killed = setup.start(&faults);
        killed.wait_until_ready();
        run_until_accepted(&killed, "DETACH h0");
        faults.replace_plan(json!({"rules": [rule]}));
        let reply = loop {
            let mut operator = killed.admin_connection();
            operator.write_all(b"DETACH h1\n").expect("could not write");
            let mut reply = String::new();
            let _ = operator.read_to_string(&mut reply);
            // On a busy disk the write may time out before it reaches the kill.
            if !reply.starts_with("-ERR ") {
                break reply;
            }
        };
        assert_eq!(reply, "", "{rule}");
        assert!(!killed.child.wait().expect("could not wait for the process").success());

        let next = setup.start(&Faults::new(json!({})));
        next.wait_until_ready();
        let disabled_names = setup.disabled_on_disk();
        assert!(
            disabled_names == ["h0"] || may_be_stored && disabled_names == ["h0", "h1"],
            "{rule}: {disabled_names:?}"
        );
        assert_eq!(disabled_count(&next), disabled_names.len() as u64, "{rule}");
        run_until_accepted(&next, "DETACH h1");
        assert_eq!(setup.disabled_on_disk(), ["h0", "h1"], "{rule}");
        run_until_accepted(&next, "ATTACH h1");
    }
}

/// A change reaches the file late, after its operator was told that it failed. It has to be undone before
/// anything else is waited for, or it would survive the process.
#[test]
fn late_change_is_undone_before_folder_sync() {
    let setup = TestSetup::new();
    let faults = Faults::new(json!({}));
    let mut killed = setup.start(&faults);
    killed.wait_until_ready();
    run_until_accepted(&killed, "DETACH h0");
    let plan = json!({"rules": [
        {"call": "rename", "path": STATE_FILE_PREFIX, "delay_ms": 1500, "count": 1},
        // Matches all syncs of files, so that the next rule applies only to those of the folder.
        {"call": "fsync", "path": STATE_FILE_PREFIX},
        {"call": "fsync", "path": setup.folder(), "delay_ms": HANG_MS}]});
    faults.replace_plan(plan.clone());
    assert!(killed.admin_command("DETACH h1").starts_with("-ERR "));
    // On a busy disk the write may time out before it reaches the fault.
    while faults.trigger_count(0) == 0 {
        faults.replace_plan(plan.clone());
        assert!(killed.admin_command("DETACH h1").starts_with("-ERR "));
    }
    faults.wait_until_triggered(2, 1);
    killed.child.kill().expect("the process has ended");
    killed.child.wait().expect("could not wait for the process");
    assert_eq!(setup.disabled_on_disk(), ["h0"]);

    let next = setup.start(&Faults::new(json!({})));
    next.wait_until_ready();
    assert_eq!(disabled_count(&next), 1);
}

/// The folder hangs for 2 s at the start. The process must not use an endpoint that an operator disabled at
/// the process before.
#[test]
fn start_on_hanging_folder_honors_operator_overrides() {
    let setup = TestSetup::new();
    std::fs::write(setup.file(), r#"{"version":1,"out":["h0"]}"#).expect("could not write");
    let hang = json!({"call": "open", "path": "n0.json", "delay_ms": 2000, "count": 1});
    let proxy = setup.start(&Faults::new(json!({"rules": [hang]})));
    let mut served = 0;
    while served < 20 {
        let response = proxy.client().round_trip(&look_request(3000));
        served += usize::from(response.status() == 200);
    }
    assert_eq!(setup.upstreams[0].take_request_count(), 0);
    assert_eq!(disabled_count(&proxy), 1);
}

/// A folder that hangs or fails must not block the start for good, and its content must be neither lost nor
/// overwritten once it can be read.
#[test]
fn unavailable_folder_is_loaded_later() {
    for fault in [json!({"delay_ms": 10_000, "count": 1}), json!({"error": "EIO"})] {
        let setup = TestSetup::new();
        std::fs::write(setup.file(), r#"{"version":1,"out":["h0"]}"#).expect("could not write");
        let mut rule = fault.clone();
        (rule["call"], rule["path"]) = (json!("open"), json!("n0.json"));
        let faults = Faults::new(json!({"rules": [rule]}));
        let proxy = setup.start(&faults);
        proxy.wait_until_ready();
        assert_eq!(proxy.client().round_trip(&look_request(3000)).status(), 200);
        assert_eq!(disabled_count(&proxy), 0, "{fault}");
        assert!(proxy.admin_command("DETACH h1").starts_with("-ERR "), "{fault}");
        assert_eq!(setup.disabled_on_disk(), ["h0"], "{fault}");
        faults.replace_plan(json!({}));
        wait_until("the stored override takes effect", || disabled_count(&proxy) == 1);
        run_until_accepted(&proxy, "DETACH h1");
        assert_eq!(setup.disabled_on_disk(), ["h0", "h1"], "{fault}");
    }
}

/// A new process that cannot write its id into the state file must not make the upgrade fail.
#[test]
fn failed_registration_is_retried_while_serving() {
    let setup = TestSetup::new();
    let faults =
        Faults::new(json!({"rules": [{"call": "write", "path": STATE_FILE_PREFIX, "error": "ENOSPC"}]}));
    let proxy = setup.start_shared(&faults);
    proxy.wait_until_ready();
    assert_eq!(proxy.client().round_trip(&look_request(3000)).status(), 200);
    assert!(!setup.file().exists());
    faults.replace_plan(json!({}));
    wait_until("the process is registered", || setup.on_disk()["processes"] == json!([proxy.child.id()]));
}

/// The other process of an upgrade must not apply a change before it is acknowledged, nor one that is
/// undone.
#[test]
fn other_process_never_applies_unacknowledged_change() {
    let setup = TestSetup::new();
    let (faults, none) = (Faults::new(json!({})), Faults::new(json!({})));
    let (old, new) = (setup.start_shared(&faults), setup.start_shared(&none));
    for proxy in [&old, &new] {
        proxy.wait_until_ready();
        // By then everything that the start writes has been written.
        run_until_accepted(proxy, "DETACH h1");
    }
    run_until_accepted(&old, "ATTACH h1");
    wait_until("the other process applies the change", || disabled_count(&new) == 0);
    // The second sync is that of the folder: by then the file has been replaced.
    let rule = json!({"call": "fsync", "path": setup.folder(), "delay_ms": HANG_MS, "skip": 1, "count": 1});
    // On a busy disk the write may time out before it gets that far.
    while setup.disabled_on_disk().is_empty() {
        faults.replace_plan(json!({"rules": [rule]}));
        assert!(old.admin_command("DETACH h0").starts_with("-ERR "));
    }
    while setup.disabled_on_disk() == ["h0"] {
        assert_eq!((disabled_count(&old), disabled_count(&new)), (0, 0));
    }
    assert_eq!((disabled_count(&old), disabled_count(&new)), (0, 0));
}

/// A new list must take effect without waiting until it has been written for the next process.
#[test]
fn new_list_is_applied_while_folder_hangs() {
    let setup = TestSetup::new();
    let faults = Faults::new(json!({}));
    let proxy = setup.start_shared(&faults);
    proxy.wait_until_ready();
    setup.discovery_server.wait_until_list_received();
    run_until_accepted(&proxy, "ATTACH h0");
    let before = setup.on_disk()["list"].clone();
    faults.replace_plan(
        json!({"rules": [{"call": "rename", "path": STATE_FILE_PREFIX, "delay_ms": HANG_MS, "count": 1}]}),
    );
    setup.discovery_server.publish(entries(&setup.upstreams, "DRAINING"), true);
    faults.wait_until_triggered(0, 1);
    setup.discovery_server.wait_until_list_received();
    assert_eq!(setup.on_disk()["list"], before, "the list was stored before it was applied");
}

/// While the disk hangs, idle operator connections must not displace the one that waits for its reply.
#[test]
fn idle_operators_do_not_displace_waiting_one() {
    let setup = TestSetup::new();
    let faults = Faults::new(json!({}));
    let proxy = setup.start(&faults);
    proxy.wait_until_ready();
    let rule = json!({"call": "rename", "path": STATE_FILE_PREFIX, "delay_ms": HANG_MS, "count": 1});
    faults.replace_plan(json!({"rules": [rule]}));
    let mut operator = proxy.admin_connection();
    operator.write_all(b"DETACH h0\n").expect("could not write");
    faults.wait_until_triggered(0, 1);
    let holders: Vec<_> = (0..60).map(|_| proxy.admin_connection()).collect();
    let mut reply = String::new();
    let _ = operator.read_to_string(&mut reply);
    assert!(reply.starts_with("-ERR it cannot be written down"), "{reply:?}");
    drop(holders);
}

/// Slow start of an endpoint that is enabled again counts from when ATTACH is written, not from the
/// command, which may have waited for the folder.
#[test]
fn slow_start_begins_when_attach_is_stored() {
    const WAIT_MS: u64 = 200;
    let setup = TestSetup::new();
    let faults = Faults::new(json!({}));
    let proxy = setup.start(&faults);
    proxy.wait_until_ready();
    run_until_accepted(&proxy, "DETACH h0");
    run_until_accepted(&proxy, "DETACH h1");
    run_until_accepted(&proxy, "ATTACH h0");
    let rule = json!({"call": "flock", "path": STATE_FILE_PREFIX, "delay_ms": WAIT_MS, "count": 1});
    faults.replace_plan(json!({"rules": [rule]}));
    run_until_accepted(&proxy, "ATTACH h1");
    let put_back =
        |name| setup.on_disk()["back_monotonic"]["at"][name].as_f64().expect("no time for this endpoint");
    assert!(
        put_back("h1") - put_back("h0") >= WAIT_MS as f64,
        "the wait for the folder counted as slow start"
    );
}
