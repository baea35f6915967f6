//! Runs the testbed's program: short scenarios with the real client proxy, programs that break a rule, bad
//! scenarios.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;

/// Creates a directory for one test.
fn folder(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()));
    fs::create_dir_all(&dir).expect("create test directory");
    dir
}

fn testbed(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_testbed"));
    command.args(arguments).output().expect("start testbed")
}

/// Polls until the condition holds, and panics after 30 s.
fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < Duration::from_secs(30), "timed out after 30 s: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Path of the client proxy beside the testbed. Builds it, as a test run of this package alone does not.
fn client_proxy() -> PathBuf {
    let built = Command::new(env!("CARGO")).args(["build", "--locked", "-p", "client-proxy"]).status();
    assert!(built.expect("run cargo build").success());
    PathBuf::from(env!("CARGO_BIN_EXE_testbed")).with_file_name("client-proxy")
}

/// Runs a scenario with the real client proxy and returns the report and the testbed's standard output.
fn run_client_proxy(scenario: &str) -> (Value, String) {
    let name = PathBuf::from(scenario);
    let dir = folder(&format!("played-{}", name.file_stem().unwrap_or_default().display()));
    let (json, binary) = (dir.join("out.json").display().to_string(), client_proxy().display().to_string());
    let arguments = ["run", scenario, "--seed", "5", "--quiet", "--json", &json, "--binary", &binary];
    let stdout = String::from_utf8_lossy(&testbed(&arguments).stdout).into_owned();
    let report = serde_json::from_slice(&fs::read(&json).expect("read report")).expect("report is JSON");
    let _ = fs::remove_dir_all(dir);
    (report, stdout)
}

fn number(value: &Value) -> f64 {
    value.as_f64().expect("value is a number")
}

/// Three client proxies keep the rules through a cut link, a kill and a lost zone. The number of requests and
/// of faults shows that the scenario really ran. Only the served share depends on the speed of the machine;
/// its bound is so low that any fleet that serves requests reaches it.
#[test]
fn rules_hold_under_faults() {
    let (report, stdout) = run_client_proxy("small");
    for rule in ["lost", "doubled", "twice_out", "drain", "crash"] {
        assert_eq!(report["rules"][rule], 0, "{rule}: {stdout}");
    }
    assert!(number(&report["requests"]) > 200.0, "{stdout}");
    assert!(number(&report["served_share"]) > 0.5, "{stdout}");
    assert_eq!(report["recovery_ms"].as_array().expect("recovery_ms is an array").len(), 5, "{stdout}");
    assert_eq!(report["proxies"].as_array().expect("value is an array").len(), 3);
}

/// Faults of discovery, disks and operator overrides reach the real client proxy, and it keeps the rules: it
/// follows discovery to its new address, rejects an operator override that it cannot store, and loses no
/// request while discovery stalls or lists wrong endpoints.
#[test]
fn discovery_disk_and_override_faults_take_effect() {
    let scenario = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/faults.toml");
    let (report, stdout) = run_client_proxy(&scenario.display().to_string());
    for rule in ["lost", "doubled", "twice_out", "drain", "crash"] {
        assert_eq!(report["rules"][rule], 0, "{rule}: {stdout}");
    }
    assert!(number(&report["served_share"]) > 0.5, "{stdout}");
    assert!(stdout.contains("3 client proxies have followed discovery"), "{stdout}");
    // While the disk is full, disabling and enabling fail; while it is not, both succeed.
    let refused = stdout.lines().filter(|line| line.contains("3 calls by hand were refused")).count();
    assert_eq!(refused, 2, "{stdout}");
}

/// A fleet must not send attempts to other zones without need, must stop using a zone that is cut off, and
/// must return to it afterwards. Without locality two thirds of the attempts would go to other zones; without
/// a return none to this one.
#[test]
fn traffic_leaves_cut_zone_and_returns() {
    let scenario = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/zones.toml");
    let (report, stdout) = run_client_proxy(&scenario.display().to_string());
    for rule in ["lost", "doubled", "twice_out", "drain", "crash"] {
        assert_eq!(report["rules"][rule], 0, "{rule}: {stdout}");
    }
    let seconds = report["seconds"].as_array().expect("value is an array");
    let sum = |from: usize, to: usize, field: fn(&Value) -> &Value| -> f64 {
        seconds[from..to].iter().map(|second| number(field(second))).sum()
    };
    let attempts = |from, to| sum(from, to, |second| &second["attempts"][0]);
    let cross_zone = sum(1, 4, |second| &second["attempts"][1]) / attempts(1, 4);
    assert!(cross_zone < 0.4, "cross-zone share {cross_zone}: {stdout}");
    let served = sum(5, 7, |second| &second["served"]) / sum(5, 7, |second| &second["asked"]);
    assert!(served > 0.8, "served share {served} from one second after the cut on: {stdout}");
    // The second of the return depends on the machine's speed; that the fleet returns does not.
    let zone_share =
        |from| sum(from, from + 1, |second| &second["to_zones"][0]) / attempts(from, from + 1).max(1.0);
    assert!((8..20).any(|second| zone_share(second) > 0.2), "no traffic to the zone after the cut: {stdout}");
}

/// Datagrams between client proxies pass through the testbed, which counts their bytes and can cut the path.
/// The program that runs here sends to all its seeds.
#[test]
fn peer_datagrams_pass_through_testbed() {
    let rules = fs::read_to_string(PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/rules.toml"));
    let dir = folder("peers");
    let cut = "fault.cut = { links = { proxies = { number = [0] }, peers = {} }, lasts = \"1s\" }";
    let peers =
        rules.expect("read rules.toml").replace("sockets = 64", "sockets = 64, parts = { membership = {} }")
            + &format!("\n[[event]]\nat = \"1s\"\n{cut}\n");
    let (scenario, json) = (dir.join("peers.toml"), dir.join("out.json"));
    fs::write(&scenario, peers).expect("write scenario");
    let arguments = [scenario.display().to_string(), json.display().to_string()];
    let binary = env!("CARGO_BIN_EXE_broken");
    let output = testbed(&["run", &arguments[0], "--quiet", "--json", &arguments[1], "--binary", binary]);
    let printed =
        String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
    let report: Value = serde_json::from_slice(&fs::read(&json).expect(&printed)).expect("report is JSON");
    for proxy in report["proxies"].as_array().expect("value is an array") {
        assert!(number(&proxy["peer_bytes"]) > 0.0, "{printed}");
    }
    assert!(printed.contains("cut 2 links"), "{printed}");
    let _ = fs::remove_dir_all(dir);
}

/// The testbed must detect a violation of each rule: for each there is a mode in which the simulated client
/// proxy breaks it on purpose, and the report must name that rule. All modes run concurrently.
#[test]
fn each_rule_violation_is_detected() {
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
    let runs = modes.map(|(mode, rule)| {
        let json = dir.join(format!("{mode}.json"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_testbed"));
        command.args(["run", &scenario, "--quiet", "--binary", binary, "--json"]).arg(&json);
        let run = command.env("BROKEN", mode).stdout(Stdio::null()).spawn().expect("start testbed");
        (mode, rule, json, run)
    });
    for (mode, rule, json, mut run) in runs {
        let code = run.wait().expect("wait for testbed").code();
        let report: Value = serde_json::from_slice(&fs::read(&json).expect(mode)).expect("report is JSON");
        let count = |rule: &str| report["rules"][rule].as_u64().expect("violation count");
        assert!(count(rule) > 0, "{mode}: {report}");
        assert_ne!(code, Some(0), "{mode}");
        // The other rules are kept, except those that this mode necessarily breaks as well.
        let implied: &[&str] = match mode {
            "doubled" | "twice_out" => &["doubled", "twice_out"],
            "crash" => &["lost"],
            _ => &[],
        };
        for other in ["lost", "doubled", "twice_out", "drain", "cold", "crash"] {
            let unexpected = other != rule && !implied.contains(&other);
            assert!(!unexpected || count(other) == 0, "{mode} broke {other}: {}", report["breaks"]);
        }
    }
    let _ = fs::remove_dir_all(dir);
}

/// The error of an invalid scenario names file, key and reason, and no client proxy is started.
#[test]
fn invalid_scenario_error_names_file_and_key() {
    let dir = folder("bad");
    let shipped = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let valid = fs::read_to_string(shipped.join("small.toml")).expect("read small.toml");
    for (from, to, words) in [
        ("proxies = 3", "proxies = 0", ["fleet.proxies", "is not 1 to 250"]),
        ("duration = \"9s\"", "duration = \"9\"", ["duration", "expected a duration"]),
        ("share = 0.6", "shares = 0.6", ["class", "shares"]),
        ("zone = \"c\"", "zone = \"z\"", ["event[2].servers.zone", "unknown zone"]),
        ("at = \"5s\"", "at = \"50s\"", ["event[2].at", "is after the end"]),
        ("fault.kill", "fault.murder", ["event", "murder"]),
        ("name = \"small\"", "based_on = \"nothing\"", ["nothing.toml", "No such file"]),
    ] {
        assert!(valid.contains(from), "{from}");
        let file = dir.join("bad.toml");
        fs::write(&file, valid.replacen(from, to, 1)).expect("write scenario");
        let output = testbed(&["run", &file.display().to_string(), "--binary", "/nowhere"]);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{stderr}");
        assert!(words.iter().all(|word| stderr.contains(word)), "{to}: {stderr}");
        assert!(stderr.contains(".toml"), "{stderr}");
    }
    let _ = fs::remove_dir_all(dir);
}

/// Client proxies must not keep running when the testbed gets SIGTERM or SIGKILL.
#[test]
fn client_proxies_end_with_testbed() {
    let scenario = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/rules.toml").display().to_string();
    for (signal, code) in [("-TERM", Some(2)), ("-KILL", None)] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_testbed"));
        command.args(["run", &scenario, "--quiet", "--binary", env!("CARGO_BIN_EXE_broken")]);
        let mut testbed = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("start testbed");
        let parent = testbed.id().to_string();
        // By its program, so that the shell that starts the client proxy does not match.
        let is_child = |process: &PathBuf| {
            let stat = fs::read_to_string(process.join("stat")).unwrap_or_default();
            let program = fs::read_link(process.join("exe")).unwrap_or_default();
            program.as_os_str() == env!("CARGO_BIN_EXE_broken")
                && stat.rsplit(')').next().and_then(|rest| rest.split(' ').nth(2)) == Some(parent.as_str())
        };
        let mut children = Vec::new();
        until("three client proxies are running", || {
            let processes =
                fs::read_dir("/proc").expect("read directory").filter_map(|entry| Some(entry.ok()?.path()));
            children = processes.filter(is_child).collect();
            children.len() == 3
        });
        let ended =
            Command::new("kill").args([signal, &testbed.id().to_string()]).status().expect("run kill");
        assert!(ended.success());
        assert_eq!(testbed.wait().expect("wait for testbed").code(), code, "exit code after {signal}");
        // A process that has exited but has not been waited for has no `exe` link.
        let runs = |process: &PathBuf| fs::read_link(process.join("exe")).is_ok();
        until("client proxies have exited", || !children.iter().any(runs));
    }
}

/// All shipped scenarios are valid, so that `testbed list` shows each of them and no error.
#[test]
fn all_shipped_scenarios_are_valid() {
    let output = testbed(&["list"]);
    let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
    let files = fs::read_dir(PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("scenarios"))
        .expect("read directory")
        .count();
    assert_eq!(stdout.lines().count(), files, "{stdout}");
    assert!(!stdout.contains(".toml"), "{stdout}");
}
