use std::process::Command;

use super::cost::watchers_run;
use super::lost::lost_run;
use super::*;
use crate::chance::stream;
use crate::scale::Run;

/// Options with a directory of the test's own. Builds the relay, which `cargo test -p testbed` alone does
/// not.
fn options(name: &str) -> Options {
    let built = Command::new(env!("CARGO")).args(["build", "--locked", "-p", "discovery-relay"]).status();
    assert!(built.expect("cargo").success());
    let own = std::env::current_exe().expect("the path of the test executable");
    let beside = own.parent().and_then(|deps| deps.parent()).expect("target/debug/deps");
    let dir = std::env::temp_dir().join(format!("testbed-relay-{}-{name}", std::process::id()));
    fs::create_dir_all(&dir).expect("a temporary directory");
    Options { binary: beside.join("client-proxy"), seed: 5, dir }
}

fn figure(run: &Run, name: &str) -> f64 {
    *run.points[0].figures.get(name).unwrap_or_else(|| panic!("no figure {name}: {run:?}"))
}

/// Watchers that the relay rejects, or that changes do not reach, cause almost no load, so the figures of
/// such a run would be far too low.
#[test]
fn relay_delivers_changes_to_all_concerned_watchers() {
    let options = options("watchers");
    let run = watchers_run(&options, &[30.0], 2_100).expect("a run");
    assert!(figure(&run, "calls_s") > 0.0 && figure(&run, "memory_mb") > 0.0, "{run:?}");
    assert!(figure(&run, "observed") > 0.0, "{run:?}");
    assert_eq!(figure(&run, "missed"), 0.0, "{run:?}");
    for none in ["refused", "doubted"] {
        assert_eq!(figure(&run, none), 0.0, "{none}: {run:?}");
    }
    let _ = fs::remove_dir_all(options.dir);
}

/// The run has to show the failover of every watcher of the failed relay. Watchers that stay without a relay,
/// or watchers of the other relay that are counted too, would make the failover times wrong.
#[test]
fn all_watchers_of_failed_relay_fail_over() {
    let options = options("lost");
    let run = lost_run(&options, &[30.0], 2_100).expect("a run");
    for way in ["killed", "stopped", "terminated"] {
        let of = |name: &str| figure(&run, &format!("{name}_{way}"));
        assert!(of("lost") > 0.0 && of("lost") < 30.0, "{way}: {run:?}");
        assert_eq!(of("unmoved"), 0.0, "{way}: {run:?}");
        assert_eq!(of("missed"), 0.0, "{way}: {run:?}");
        assert!(of("moved_ms_max") > 0.0, "{way}: {run:?}");
    }
    let _ = fs::remove_dir_all(options.dir);
}

/// A response with an earlier version must not count as the change being in force, and a watcher that never
/// gets the change must count as missed, even if a response without entries has its version.
#[test]
fn change_in_force_with_its_version_else_missed() {
    let options = options("in-force");
    let mut rng = stream(5, "in-force");
    let mut environment = Environment::open(&options, 2_100, &mut rng).expect("an environment");
    let change = environment.change(&[0]);
    let service = environment.services[0];
    let calls = |caller: &usize| environment.fleet.calls[*caller].contains(&service);
    let concerned = (0..environment.fleet.calls.len()).find(calls).expect("a service that calls it");
    let other = (0..environment.fleet.calls.len())
        .find(|caller| !calls(caller))
        .expect("a service that does not call it");
    let relay = SocketAddr::from(([127, 0, 0, 1], 1));
    let response = |watcher: usize, index: u64, has_entries: bool, after_ms: u64| WatcherResponse {
        watcher,
        at: change.at + Duration::from_millis(after_ms),
        index,
        has_entries,
        full_snapshot: false,
        relay,
    };
    let callers = [concerned, other, concerned];
    // The first watcher gets the previous version and then the change; the last one gets a response without
    // entries.
    let version = change.version;
    let responses =
        [response(0, version - 1, true, 5), response(2, version, false, 6), response(0, version, true, 40)];
    let changes = [change];
    let found = InForce::of(&environment, &changes, &callers, &responses, |_| true);
    assert_eq!((found.concerned, found.delay_us.len(), found.missed), (2, 1, 1));
    assert!((39_000..=41_000).contains(&found.delay_us.max()), "{}", found.delay_us.max());
    let _ = fs::remove_dir_all(options.dir);
}
