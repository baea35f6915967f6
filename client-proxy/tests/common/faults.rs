//! Runs a client proxy whose system calls fail as a plan says, with the library of the package
//! `fault-injection` preloaded.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::*;

const PROGRAM: &str = "client-proxy";
const CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// The fault plan of one process, which can be replaced while the process runs. Each process needs a plan
/// of its own.
pub struct Faults {
    pub folder: PathBuf,
    pub program: &'static str,
    /// Number of plans so far; each has its own file of trigger counts.
    pub plans: AtomicU64,
}

impl Faults {
    /// For a client proxy, with a plan in the format of the package `fault-injection`.
    pub fn new(plan: Value) -> Faults {
        Faults::for_program(PROGRAM, plan)
    }

    /// For the program with this file name.
    pub fn for_program(program: &'static str, plan: Value) -> Faults {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let unique = format!("faults-{}-{}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
        // The library replaces its file of counts within each call that it makes fail.
        let folder = memory_backed_dir().join(unique);
        std::fs::create_dir_all(&folder).expect("could not create the directory");
        let faults = Faults { folder, program, plans: AtomicU64::new(0) };
        faults.write(plan);
        faults
    }

    /// Starts a client proxy under the plan and waits until it listens.
    pub fn start(&self, config: &Value) -> Proxy {
        self.start_with(config, |command| command)
    }

    /// Like [`Faults::start`], with what `configure` adds to the environment.
    pub fn start_with(&self, config: &Value, configure: impl FnOnce(&mut Command) -> &mut Command) -> Proxy {
        let command = Command::new(env!("CARGO_BIN_EXE_client-proxy"));
        self.wait_until_in_force(Proxy::wait_until_listening(spawn_command(command, config, |command| {
            configure(self.set_environment(command))
        })))
    }

    /// Like [`Faults::start`], on the listening socket and state folder of `platform`.
    pub fn start_on(&self, platform: &Platform, config: &Value) -> Proxy {
        let descriptor = platform.listener.try_clone().expect("could not clone the socket");
        let child = spawn_passing_descriptor(descriptor.into(), "4", config, |command| {
            self.set_environment(command).env("TMPDIR", &platform.dir)
        });
        self.wait_until_in_force(Proxy::wait_until_listening(child))
    }

    /// Sets the environment variables that put a program under the plan.
    pub fn set_environment<'a>(&self, command: &'a mut Command) -> &'a mut Command {
        command
            .env("LD_PRELOAD", library())
            .env("FAULT_INJECTION_PLAN", self.folder.join("plan"))
            .env("FAULT_INJECTION_PROGRAM", self.program)
    }

    /// Replaces the plan; returns once the new one is in force, with all counts at zero.
    pub fn replace_plan(&self, plan: Value) {
        self.write(plan);
        self.wait_until("the plan is in force", |counts| counts.is_some());
    }

    /// How often the rule with this index has been triggered.
    pub fn trigger_count(&self, rule: usize) -> u64 {
        self.counts().expect("no plan in force")[rule]
    }

    /// Waits until the rule with this index has been triggered so many times.
    pub fn wait_until_triggered(&self, rule: usize, times: u64) {
        let condition = format!("rule {rule} has been triggered {times} times");
        self.wait_until(&condition, |counts| counts.is_some_and(|counts| counts[rule] >= times));
    }

    fn wait_until_in_force(&self, proxy: Proxy) -> Proxy {
        self.wait_until("the plan is in force", |counts| counts.is_some());
        proxy
    }

    fn wait_until(&self, condition_name: &str, condition: impl Fn(Option<&[u64]>) -> bool) {
        let begun = Instant::now();
        loop {
            let counts = self.counts();
            if condition(counts.as_deref()) {
                return;
            }
            assert!(
                begun.elapsed() < TEST_TIMEOUT,
                "timed out waiting until {condition_name}; counts {counts:?}"
            );
            std::thread::sleep(CHECK_INTERVAL);
        }
    }

    fn write(&self, mut plan: Value) {
        self.plans.fetch_add(1, Ordering::Relaxed);
        plan["counts"] = self.counts_path().to_str().expect("path is not UTF-8").into();
        let new = self.folder.join("new");
        std::fs::write(&new, plan.to_string()).expect("could not write the plan");
        std::fs::rename(new, self.folder.join("plan")).expect("could not write the plan");
    }

    fn counts_path(&self) -> PathBuf {
        self.folder.join(format!("counts-{}", self.plans.load(Ordering::Relaxed)))
    }

    /// How often each rule has been triggered; `None` until the program has loaded the plan.
    fn counts(&self) -> Option<Vec<u64>> {
        // The library reports an invalid plan in this file.
        if let Ok(report) = std::fs::read_to_string(self.folder.join("plan.counts")) {
            panic!("invalid fault plan: {report}");
        }
        let text = std::fs::read_to_string(self.counts_path()).ok()?;
        Some(text.lines().map(|line| line.parse().expect("not a count")).collect())
    }
}

impl Drop for Faults {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The preloaded library, which Cargo builds next to the dependencies of this test.
fn library() -> PathBuf {
    let test = std::env::current_exe().expect("no path of the test binary");
    let library = test.with_file_name("libfault_injection.so");
    assert!(library.is_file(), "missing library {library:?}");
    library
}

/// Deadline of a client, far longer than any of these tests needs.
pub const LONG_DEADLINE_MS: u64 = 3900;

/// A client proxy under a fault plan, with healthy upstreams. The plan is empty until the list has been
/// received.
pub struct Faulty {
    pub faults: Faults,
    pub proxy: Proxy,
    pub _discovery: DiscoveryServer,
}

impl Faulty {
    pub fn start(upstreams: &[&Upstream], change: impl FnOnce(&mut Value)) -> Faulty {
        let entries = upstreams
            .iter()
            .enumerate()
            .map(|(i, upstream)| endpoint(&format!("h{i}"), upstream.address, "SERVING"));
        let discovery_server = DiscoveryServer::start(Value::Array(entries.collect()));
        let mut config = config(discovery_server.address, settings());
        change(&mut config);
        let faults = Faults::new(json!({}));
        let proxy = faults.start(&config);
        discovery_server.wait_until_list_received();
        Faulty { faults, proxy, _discovery: discovery_server }
    }
}

pub fn healthy_upstream() -> Upstream {
    Upstream::start(|_| Reply::Send(http_response("200 OK", "", "yes")))
}

/// Errors of `connect` or `socket` that have a local cause and say nothing about the endpoint.
pub const LOCAL_ERRORS: [&str; 9] =
    ["EADDRNOTAVAIL", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "ENETUNREACH", "EPERM", "EAGAIN", "EINTR"];
