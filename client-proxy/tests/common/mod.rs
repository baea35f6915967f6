//! A client proxy as its own process between upstreams, a discovery and a client that a test plays by hand,
//! all on loopback addresses with ports from the system. Waiting is for events; the one time limit is against
//! hanging.
#![allow(dead_code, unused_imports)] // each test binary uses its own part

pub mod faults;

mod client;
mod discovery_server;
pub mod ending;
mod messages;
mod upstream;

pub use client::*;
pub use discovery_server::*;
pub use messages::*;
pub use upstream::*;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use serde_json::{Value, json};

/// Far longer than anything takes: reached only where something hangs.
pub const HANG: Duration = Duration::from_secs(20);
/// With what the names of all stored files of the client proxy `n0` begin. Stored data keeps its names over versions.
pub const STORED: &str = "martensill-n0";

/// A safe, a keyed and an unsafe class; one zone, one kind, two tenants.
pub fn settings() -> Value {
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "aim": 1000.0, "hardLimit": 4000.0, "semantics": semantics, "keyScope": "all",
               "keyTtl": 3000.0, "lateWorth": 0.2, "points": 1.0, "streamed": false})
    };
    json!({"me": 0, "balancers": 1, "callers": {"marksRetry": false},
        "classes": [class("look", "safe"), class("keep", "keyed"), class("pay", "unsafe")],
        "contract": {"cold": 1000.0, "coldFrom": 0.5, "drainGrace": 250.0, "fall": 2000.0, "fallMultiple": 3.0,
                     "graceToAnswer": 16.0},
        "customers": [{"name": "acme", "portion": 0.5, "quotaPerS": 100.0},
                      {"name": "blue", "portion": 0.5, "quotaPerS": 100.0}],
        "discovery": "automatic", "kinds": ["m"], "zones": ["a"], "zone": 0, "tick": 4.0,
        "limits": {"attemptsCap": 3, "cancelling": true, "connIdle": 10000.0, "dialTimeout": 100.0,
                   "maxRetryAfter": 1200.0, "retryAfter": true, "secondCopies": false},
        "report": {"fields": ["utilization"], "how": "answers"}})
}

pub fn config(discovery: SocketAddr, settings: Value) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "1f",
           "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings})
}

pub struct Proxy {
    pub child: Child,
    pub address: SocketAddr,
    /// Where it answers operators, if the configuration says so.
    pub operators: Option<SocketAddr>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Writes the configuration file of this test, in place of an earlier one.
pub fn write_config(text: &str) -> PathBuf {
    let dir = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let unique = format!("{}-{:?}.json", std::process::id(), std::thread::current().id());
    let path = dir.join(unique);
    std::fs::write(&path, text).expect("a file of the test's own");
    path
}

/// Directory for files that a program under test syncs or replaces while its response time is checked: in memory where
/// the system has such a file system, since one sync on a busy disk takes up to 0.3 s and the program makes several.
pub fn memory_backed_dir() -> &'static Path {
    let shared_memory = Path::new("/dev/shm");
    if shared_memory.is_dir() { shared_memory } else { Path::new(env!("CARGO_TARGET_TMPDIR")) }
}

/// Starts the program as the platform does, without waiting for anything.
pub fn spawn(config: &Value) -> Child {
    spawn_by(Command::new(env!("CARGO_BIN_EXE_client-proxy")), config, |command| command)
}

/// The same by another command, with what `more` adds to its environment.
pub fn spawn_by(
    mut command: Command,
    config: &Value,
    more: impl FnOnce(&mut Command) -> &mut Command,
) -> Child {
    let path = write_config(&config.to_string());
    command
        .env("GW_CONFIG", &path)
        .env_remove("GW_NAME")
        .env_remove("GW_LISTEN")
        .env_remove("GW_DISCOVERY")
        .env_remove("GW_ADMIN_ADDR")
        .env_remove("GW_INHERITED_FD")
        .env_remove("GW_FLEET")
        // What one test leaves there is nothing to another.
        .env_remove("TMPDIR")
        .stderr(Stdio::piped());
    more(&mut command).spawn().expect("the program starts")
}

/// What the platform holds for a client proxy over its upgrades: the clients' listening socket and a folder.
pub struct Platform {
    pub listener: TcpListener,
    pub dir: PathBuf,
}

impl Platform {
    pub fn new() -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let port = listener.local_addr().expect("bound").port();
        let dir = memory_backed_dir().join(format!("client-proxy-test-{}-{port}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        Platform { listener, dir }
    }

    pub fn start(&self, config: &Value) -> Proxy {
        let passed = self.listener.try_clone().expect("a second handle");
        Proxy::listening(spawn_with(passed.into(), "4", config, &self.dir))
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Starts the program with `passed` as its descriptor 4 and told to take over descriptor `named`.
pub fn spawn_with(passed: std::os::fd::OwnedFd, named: &str, config: &Value, dir: &std::path::Path) -> Child {
    spawn_passing(passed, named, config, |command| command.env("TMPDIR", dir))
}

/// The same with what `more` adds to its environment instead of a folder.
pub fn spawn_passing(
    passed: std::os::fd::OwnedFd,
    named: &str,
    config: &Value,
    more: impl FnOnce(&mut Command) -> &mut Command,
) -> Child {
    let mut shell = Command::new("sh");
    shell.args(["-c", "exec 4<&0 0</dev/null; exec \"$0\"", env!("CARGO_BIN_EXE_client-proxy")]);
    spawn_by(shell, config, |command| more(command.stdin(Stdio::from(passed)).env("GW_INHERITED_FD", named)))
}

impl Proxy {
    /// Starts and waits for the line that says where it listens.
    pub fn start(config: &Value) -> Proxy {
        Proxy::listening(spawn(config))
    }

    /// The same with a second configuration file.
    pub fn start_with_parts(config: &Value, parts: &str) -> Proxy {
        let dir = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
        let unique = format!("{}-{:?}.toml", std::process::id(), std::thread::current().id());
        std::fs::write(dir.join(&unique), parts).expect("a file of the test's own");
        let program = Command::new(env!("CARGO_BIN_EXE_client-proxy"));
        Proxy::listening(spawn_by(program, config, |command| command.env("GW_FLEET", dir.join(&unique))))
    }

    fn listening(mut child: Child) -> Proxy {
        let mut log = BufReader::new(child.stderr.take().expect("piped"));
        let mut line = String::new();
        let mut operators = None;
        let address = loop {
            line.clear();
            assert!(log.read_line(&mut line).expect("a log") > 0, "ended before it listened");
            if let Some((_, address)) = line.trim_end().split_once("answers operators on ") {
                operators = Some(address.parse().expect("an address"));
            }
            if let Some((_, address)) = line.trim_end().split_once("listens on ") {
                break address.parse().expect("an address");
            }
        };
        // Goes on reading, so that the program never waits for its log to be read.
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::stderr()));
        Proxy { child, address, operators }
    }

    /// One call to the operators' address and all that comes back.
    pub fn call(&self, line: &str) -> String {
        let mut stream = self.operator();
        stream.write_all(format!("{line}\n").as_bytes()).expect("written");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer and a close");
        answer
    }

    /// The figures at this moment.
    pub fn figures(&self) -> Value {
        let answer = self.call("INFO");
        let (figures, end) = answer.split_once('\n').expect("two lines");
        assert_eq!(end, ".\n");
        serde_json::from_str(figures).expect("JSON")
    }

    pub fn operator(&self) -> TcpStream {
        let stream = TcpStream::connect(self.operators.expect("an address for operators")).expect("accepted");
        stream.set_read_timeout(Some(HANG)).expect("a time limit");
        stream
    }

    /// A client proxy that knows these upstreams.
    pub fn with_upstreams(upstreams: &[&Upstream]) -> (Proxy, DiscoveryServer) {
        let entries =
            upstreams.iter().enumerate().map(|(i, h)| endpoint(&format!("h{i}"), h.address, "SERVING"));
        let discovery_server = DiscoveryServer::start(Value::Array(entries.collect()));
        let proxy = Proxy::start(&config(discovery_server.address, settings()));
        discovery_server.wait_until_known();
        (proxy, discovery_server)
    }

    pub fn client(&self) -> Client {
        Client::new(self.address)
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    pub fn signal(&self, name: &str) {
        let killed = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(killed.expect("kill runs").success());
    }
}
