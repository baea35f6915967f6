//! The testbed from outside: a small play with the real client proxy, and what it says of bad scenarios.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;

/// A folder of one test's own.
fn folder(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()));
    fs::create_dir_all(&dir).expect("a folder");
    dir
}

fn testbed(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_testbed"));
    command.args(arguments).output().expect("the testbed starts")
}

/// Waits for it. The one time limit is against hanging.
fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < Duration::from_secs(30), "waited for in vain: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// The client proxy as it was built beside the testbed. Built here where only the testbed was asked for.
fn client_proxy() -> PathBuf {
    let built = Command::new(env!("CARGO")).args(["build", "--locked", "-p", "client-proxy"]).status();
    assert!(built.expect("cargo").success());
    PathBuf::from(env!("CARGO_BIN_EXE_testbed")).with_file_name("client-proxy")
}

/// What a play of the real client proxy came to, and what the testbed said of it.
fn played(scenario: &str) -> (Value, String) {
    let name = PathBuf::from(scenario);
    let dir = folder(&format!("played-{}", name.file_stem().unwrap_or_default().display()));
    let (json, binary) = (dir.join("out.json").display().to_string(), client_proxy().display().to_string());
    let arguments = ["run", scenario, "--seed", "5", "--quiet", "--json", &json, "--binary", &binary];
    let said = String::from_utf8_lossy(&testbed(&arguments).stdout).into_owned();
    let report = serde_json::from_slice(&fs::read(&json).expect("a report")).expect("JSON");
    let _ = fs::remove_dir_all(dir);
    (report, said)
}

fn number(value: &Value) -> f64 {
    value.as_f64().expect("a number")
}

/// Guards against a testbed that plays nothing, and against a client proxy that breaks a rule under faults: three
/// processes, a cut link, a kill and a lost zone. No figure of it hangs on the machine's speed but the share served,
/// of which a part is asked for that nobody misses who serves at all.
#[test]
fn three_client_proxies_keep_the_rules_under_faults() {
    let (report, said) = played("small");
    for rule in ["lost", "doubled", "twice_out", "drain", "crash"] {
        assert_eq!(report["rules"][rule], 0, "{rule}: {said}");
    }
    assert!(number(&report["requests"]) > 200.0, "{said}");
    assert!(number(&report["served_share"]) > 0.5, "{said}");
    assert_eq!(report["recovery_ms"].as_array().expect("faults").len(), 5, "{said}");
    assert_eq!(report["proxies"].as_array().expect("each").len(), 3);
}

/// Guards against faults that are none, and against a client proxy that breaks a rule under them: one that does not follow
/// discovery to its new address, that says yes to a call by hand which it cannot keep, or that loses a request to lists
/// that are silent or false.
#[test]
fn faults_of_discovery_of_disks_and_by_hand_reach_the_real_client_proxy() {
    let scenario = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/faults.toml");
    let (report, said) = played(&scenario.display().to_string());
    for rule in ["lost", "doubled", "twice_out", "drain", "crash"] {
        assert_eq!(report["rules"][rule], 0, "{rule}: {said}");
    }
    assert!(number(&report["served_share"]) > 0.5, "{said}");
    assert!(said.contains("3 client proxies have followed discovery"), "{said}");
    // Out and back again, while nothing can be written, and neither while it can.
    let refused = said.lines().filter(|line| line.contains("3 calls by hand were refused")).count();
    assert_eq!(refused, 2, "{said}");
}

/// Guards against a fleet that crosses zones for nothing, that goes on losing requests to a zone that is cut off, or that never
/// returns to it. Where zones are all alike two thirds of the attempts cross; without a return none go there.
#[test]
fn six_client_proxies_keep_close_leave_a_zone_that_is_cut_off_and_return() {
    let scenario = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/zones.toml");
    let (report, said) = played(&scenario.display().to_string());
    for rule in ["lost", "doubled", "twice_out", "drain", "crash"] {
        assert_eq!(report["rules"][rule], 0, "{rule}: {said}");
    }
    let seconds = report["seconds"].as_array().expect("each");
    let sum = |from: usize, to: usize, of: fn(&Value) -> &Value| -> f64 {
        seconds[from..to].iter().map(|second| number(of(second))).sum()
    };
    let attempts = |from, to| sum(from, to, |second| &second["attempts"][0]);
    let crossing = sum(1, 4, |second| &second["attempts"][1]) / attempts(1, 4);
    assert!(crossing < 0.4, "{crossing}: {said}");
    let served = sum(5, 7, |second| &second["served"]) / sum(5, 7, |second| &second["asked"]);
    assert!(served > 0.8, "{served} while it is cut off, from a second on: {said}");
    // In which second it is back hangs on the machine; that there is one does not.
    let back =
        |from| sum(from, from + 1, |second| &second["to_zones"][0]) / attempts(from, from + 1).max(1.0);
    assert!((8..20).any(|second| back(second) > 0.2), "it gets its part again: {said}");
}

/// Guards against client proxies that cannot reach each other, and bytes to peers that nobody counts: a stand-in that
/// writes to all its seeds.
#[test]
fn datagrams_of_the_client_proxies_go_through_the_testbed() {
    let rules = fs::read_to_string(PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/rules.toml"));
    let dir = folder("peers");
    let cut = "fault.cut = { links = { proxies = { number = [0] }, peers = {} }, lasts = \"1s\" }";
    let peers =
        rules.expect("it is there").replace("sockets = 64", "sockets = 64, parts = { membership = {} }")
            + &format!("\n[[event]]\nat = \"1s\"\n{cut}\n");
    let (scenario, json) = (dir.join("peers.toml"), dir.join("out.json"));
    fs::write(&scenario, peers).expect("written");
    let arguments = [scenario.display().to_string(), json.display().to_string()];
    let binary = env!("CARGO_BIN_EXE_broken");
    let output = testbed(&["run", &arguments[0], "--quiet", "--json", &arguments[1], "--binary", binary]);
    let said =
        String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
    let report: Value = serde_json::from_slice(&fs::read(&json).expect(&said)).expect("JSON");
    for proxy in report["proxies"].as_array().expect("each") {
        assert!(number(&proxy["peer_bytes"]) > 0.0, "{said}");
    }
    assert!(said.contains("cut 2 links"), "{said}");
    let _ = fs::remove_dir_all(dir);
}

/// Guards against a rule that the testbed counts but could never see broken: a client proxy that breaks it on purpose is
/// told on, and for that rule. All of them play side by side.
#[test]
fn each_rule_is_seen_when_it_is_broken() {
    let scenario = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/rules.toml").display().to_string();
    let (dir, binary) = (folder("rules"), env!("CARGO_BIN_EXE_broken"));
    let modes = [
        ("lost", "lost"),
        ("false", "lost"),
        ("doubled", "doubled"),
        ("twice_out", "twice_out"),
        ("drain", "drain"),
        ("cold", "cold"),
        ("limits", "limits"),
        ("crash", "crash"),
    ];
    let plays = modes.map(|(mode, rule)| {
        let json = dir.join(format!("{mode}.json"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_testbed"));
        command.args(["run", &scenario, "--quiet", "--binary", binary, "--json"]).arg(&json);
        let play = command.env("BROKEN", mode).stdout(Stdio::null()).spawn().expect("the testbed starts");
        (mode, rule, json, play)
    });
    for (mode, rule, json, mut play) in plays {
        let code = play.wait().expect("its end").code();
        let report: Value = serde_json::from_slice(&fs::read(&json).expect(mode)).expect("JSON");
        let count = |rule: &str| report["rules"][rule].as_u64().expect("a count");
        assert!(count(rule) > 0, "{mode}: {report}");
        assert_ne!(code, Some(0), "{mode}");
        // The others are kept, but for those that go along with it.
        let along: &[&str] = match mode {
            "doubled" | "twice_out" => &["doubled", "twice_out"],
            "crash" => &["lost"],
            _ => &[],
        };
        for other in ["lost", "doubled", "twice_out", "drain", "cold", "crash"] {
            let free = other != rule && !along.contains(&other);
            assert!(!free || count(other) == 0, "{mode} broke {other}: {}", report["breaks"]);
        }
    }
    let _ = fs::remove_dir_all(dir);
}

/// Guards against an operator who has to guess what is wrong with a scenario: file, key and reason, and nothing starts.
#[test]
fn a_bad_scenario_is_refused_with_file_key_and_reason() {
    let dir = folder("bad");
    let shipped = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let sound = fs::read_to_string(shipped.join("small.toml")).expect("it comes with the testbed");
    for (from, to, words) in [
        ("proxies = 3", "proxies = 0", ["fleet.proxies", "is not 1 to 250"]),
        ("duration = \"9s\"", "duration = \"9\"", ["duration", "expected a duration"]),
        ("share = 0.6", "shares = 0.6", ["class", "shares"]),
        ("zone = \"c\"", "zone = \"z\"", ["event[2].servers.zone", "unknown zone"]),
        ("at = \"5s\"", "at = \"50s\"", ["event[2].at", "is after the end"]),
        ("fault.kill", "fault.murder", ["event", "murder"]),
        ("name = \"small\"", "based_on = \"nothing\"", ["nothing.toml", "No such file"]),
    ] {
        assert!(sound.contains(from), "{from}");
        let file = dir.join("bad.toml");
        fs::write(&file, sound.replacen(from, to, 1)).expect("written");
        let output = testbed(&["run", &file.display().to_string(), "--binary", "/nowhere"]);
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{said}");
        assert!(words.iter().all(|word| said.contains(word)), "{to}: {said}");
        assert!(said.contains(".toml"), "{said}");
    }
    let _ = fs::remove_dir_all(dir);
}

/// Guards against client proxies that go on when the testbed is told to end, or is killed.
#[test]
fn no_client_proxy_is_left_when_the_testbed_is_ended() {
    let scenario = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/rules.toml").display().to_string();
    for (signal, code) in [("-TERM", Some(2)), ("-KILL", None)] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_testbed"));
        command.args(["run", &scenario, "--quiet", "--binary", env!("CARGO_BIN_EXE_broken")]);
        let mut play =
            command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("the testbed starts");
        let parent = play.id().to_string();
        // Not the shell that it begins as.
        let is_child = |process: &PathBuf| {
            let stat = fs::read_to_string(process.join("stat")).unwrap_or_default();
            let program = fs::read_link(process.join("exe")).unwrap_or_default();
            program.as_os_str() == env!("CARGO_BIN_EXE_broken")
                && stat.rsplit(')').next().and_then(|rest| rest.split(' ').nth(2)) == Some(parent.as_str())
        };
        let mut children = Vec::new();
        until("three client proxies run", || {
            let processes =
                fs::read_dir("/proc").expect("there").filter_map(|entry| Some(entry.ok()?.path()));
            children = processes.filter(is_child).collect();
            children.len() == 3
        });
        let ended = Command::new("kill").args([signal, &play.id().to_string()]).status().expect("a signal");
        assert!(ended.success());
        assert_eq!(play.wait().expect("its end").code(), code, "told to end, it says that it was not played");
        // One that has ended and that nobody has waited for yet has no program any more.
        let runs = |process: &PathBuf| fs::read_link(process.join("exe")).is_ok();
        until("they have ended", || !children.iter().any(runs));
    }
}

/// Guards against a scenario that ships and cannot be read.
#[test]
fn all_scenarios_that_come_along_can_be_played() {
    let output = testbed(&["list"]);
    let said = String::from_utf8_lossy(&output.stdout).into_owned();
    let files =
        fs::read_dir(PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("scenarios")).expect("there").count();
    assert_eq!(said.lines().count(), files, "{said}");
    assert!(!said.contains(".toml"), "{said}");
}
