//! A client proxy whose system calls fail as a plan says: the library of the package `fault-injection`,
//! preloaded.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::*;

const PROGRAM: &str = "client-proxy";
const LOOK_EVERY: Duration = Duration::from_millis(2);

/// The plan of one process, which can be changed while it runs. A second process needs one of its own.
pub struct Faults {
    pub folder: PathBuf,
    pub program: &'static str,
    /// How many plans there were; each has a file of counts of its own.
    pub plans: AtomicU64,
}

impl Faults {
    /// For a client proxy, with a plan as the package `fault-injection` describes it.
    pub fn new(plan: Value) -> Faults {
        Faults::of(PROGRAM, plan)
    }

    /// For a program of this file name.
    pub fn of(program: &'static str, plan: Value) -> Faults {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let unique = format!("faults-{}-{}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
        // The library replaces its file of counts within each call that it makes fail.
        let folder = memory_backed_dir().join(unique);
        std::fs::create_dir_all(&folder).expect("a folder");
        let faults = Faults { folder, program, plans: AtomicU64::new(0) };
        faults.write(plan);
        faults
    }

    /// Starts a client proxy under the plan and waits until it listens.
    pub fn start(&self, config: &Value) -> Proxy {
        self.start_with(config, |command| command)
    }

    /// The same with what `more` adds to its environment.
    pub fn start_with(&self, config: &Value, more: impl FnOnce(&mut Command) -> &mut Command) -> Proxy {
        let command = Command::new(env!("CARGO_BIN_EXE_client-proxy"));
        self.listening(Proxy::listening(spawn_by(command, config, |command| more(self.environment(command)))))
    }

    /// The same on a platform's listening socket and folder.
    pub fn start_on(&self, platform: &Platform, config: &Value) -> Proxy {
        let passed = platform.listener.try_clone().expect("a second handle");
        let child = spawn_passing(passed.into(), "4", config, |command| {
            self.environment(command).env("TMPDIR", &platform.dir)
        });
        self.listening(Proxy::listening(child))
    }

    /// What a program needs in its environment to be under the plan.
    pub fn environment<'a>(&self, command: &'a mut Command) -> &'a mut Command {
        command
            .env("LD_PRELOAD", library())
            .env("FAULT_INJECTION_PLAN", self.folder.join("plan"))
            .env("FAULT_INJECTION_PROGRAM", self.program)
    }

    /// Has another plan take the place of the one before; returns once it is in force, with all counts at
    /// zero.
    pub fn change(&self, plan: Value) {
        self.write(plan);
        self.wait_until("the plan is in force", |counts| counts.is_some());
    }

    /// How often the rule with this index has struck.
    pub fn struck(&self, rule: usize) -> u64 {
        self.counts().expect("a plan in force")[rule]
    }

    /// Waits until the rule with this index has struck so many times.
    pub fn wait_struck(&self, rule: usize, times: u64) {
        let condition = format!("rule {rule} has struck {times} times");
        self.wait_until(&condition, |counts| counts.is_some_and(|counts| counts[rule] >= times));
    }

    fn listening(&self, proxy: Proxy) -> Proxy {
        self.wait_until("the plan is in force", |counts| counts.is_some());
        proxy
    }

    fn wait_until(&self, what: &str, condition: impl Fn(Option<&[u64]>) -> bool) {
        let begun = Instant::now();
        loop {
            let counts = self.counts();
            if condition(counts.as_deref()) {
                return;
            }
            assert!(begun.elapsed() < HANG, "never: {what}; counts {counts:?}");
            std::thread::sleep(LOOK_EVERY);
        }
    }

    fn write(&self, mut plan: Value) {
        self.plans.fetch_add(1, Ordering::Relaxed);
        plan["counts"] = self.counts_path().to_str().expect("a path in UTF-8").into();
        let new = self.folder.join("new");
        std::fs::write(&new, plan.to_string()).expect("a plan");
        std::fs::rename(new, self.folder.join("plan")).expect("a plan");
    }

    fn counts_path(&self) -> PathBuf {
        self.folder.join(format!("counts-{}", self.plans.load(Ordering::Relaxed)))
    }

    /// How often each rule has struck; `None` until the program has taken the plan up.
    fn counts(&self) -> Option<Vec<u64>> {
        // A plan that is no good has no counts of its own.
        if let Ok(report) = std::fs::read_to_string(self.folder.join("plan.counts")) {
            panic!("the plan is no good: {report}");
        }
        let text = std::fs::read_to_string(self.counts_path()).ok()?;
        Some(text.lines().map(|line| line.parse().expect("a count")).collect())
    }
}

impl Drop for Faults {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The library, which Cargo has built beside the dependencies of this test.
fn library() -> PathBuf {
    let test = std::env::current_exe().expect("the test's own path");
    let library = test.with_file_name("libfault_injection.so");
    assert!(library.is_file(), "no {library:?}");
    library
}

/// A client's deadline in milliseconds, far beyond what any of these tests needs.
pub const PATIENT: u64 = 3900;

/// A client proxy under a plan, with upstreams that answer; the plan is empty until its list is known.
pub struct Under {
    pub faults: Faults,
    pub proxy: Proxy,
    pub _roster: DiscoveryServer,
}

impl Under {
    pub fn start(upstreams: &[&Upstream], change: impl FnOnce(&mut Value)) -> Under {
        let entries =
            upstreams.iter().enumerate().map(|(i, h)| endpoint(&format!("h{i}"), h.address, "SERVING"));
        let discovery_server = DiscoveryServer::start(Value::Array(entries.collect()));
        let mut config = config(discovery_server.address, settings());
        change(&mut config);
        let faults = Faults::new(json!({}));
        let proxy = faults.start(&config);
        discovery_server.wait_until_known();
        Under { faults, proxy, _roster: discovery_server }
    }
}

pub fn sound_upstream() -> Upstream {
    Upstream::start(|_| Act::Say(answer("200 OK", "", "yes")))
}
