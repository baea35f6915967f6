//! Runs the client proxy as its own process between scripted upstreams, a scripted discovery server and
//! test clients, all on loopback addresses with ports chosen by the system. Tests wait for events; the one
//! timeout only ends a test that would otherwise hang.
#![allow(dead_code, unused_imports)] // each test binary uses only some of the helpers

pub mod bodies;
pub mod crowds;
pub mod delays;
pub mod departures;
pub mod faults;

mod client;
mod discovery_server;
mod messages;
pub mod termination;
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

/// Upper bound of every wait in a test. Only a test that hangs reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Prefix of all state file names of the client proxy `n0`. It stays the same across versions, since a new
/// version reads the files of the version before.
pub const STATE_FILE_PREFIX: &str = "martensill-n0";

/// Settings with a safe, a keyed and an unsafe class, one zone, one kind and two tenants.
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
    /// Address of the admin interface, if the configuration has one.
    pub admin_address: Option<SocketAddr>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Writes the configuration file of this test and replaces an earlier one.
pub fn write_config(text: &str) -> PathBuf {
    let dir = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let unique = format!("{}-{:?}.json", std::process::id(), std::thread::current().id());
    let path = dir.join(unique);
    std::fs::write(&path, text).expect("could not write the file");
    path
}

/// Directory for files that a program under test syncs or replaces while its response time is checked. It
/// is in memory where the system has such a file system, since one sync on a busy disk takes up to 0.3 s
/// and the program makes several.
pub fn memory_backed_dir() -> &'static Path {
    let shared_memory = Path::new("/dev/shm");
    if shared_memory.is_dir() { shared_memory } else { Path::new(env!("CARGO_TARGET_TMPDIR")) }
}

/// Starts the program in the way that the platform does and returns at once.
pub fn spawn(config: &Value) -> Child {
    spawn_command(Command::new(env!("CARGO_BIN_EXE_client-proxy")), config, |command| command)
}

/// Like [`spawn`], with another command; `configure` adds to its environment.
pub fn spawn_command(
    mut command: Command,
    config: &Value,
    configure: impl FnOnce(&mut Command) -> &mut Command,
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
        // The program must not find state files of another test.
        .env_remove("TMPDIR")
        .stderr(Stdio::piped());
    configure(&mut command).spawn().expect("could not start the program")
}

/// What the platform keeps across upgrades of a client proxy: the listening socket for clients and the
/// state folder.
pub struct Platform {
    pub listener: TcpListener,
    pub dir: PathBuf,
}

impl Platform {
    pub fn new() -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
        let port = listener.local_addr().expect("no local address").port();
        let dir = memory_backed_dir().join(format!("client-proxy-test-{}-{port}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("could not create the directory");
        Platform { listener, dir }
    }

    pub fn start(&self, config: &Value) -> Proxy {
        let descriptor = self.listener.try_clone().expect("could not clone the socket");
        Proxy::wait_until_listening(spawn_with_listener(descriptor.into(), "4", config, &self.dir))
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Starts the program with `descriptor` as its descriptor 4, and with `inherited_fd` as the number of the
/// listening socket that it inherits.
pub fn spawn_with_listener(
    descriptor: std::os::fd::OwnedFd,
    inherited_fd: &str,
    config: &Value,
    dir: &std::path::Path,
) -> Child {
    spawn_passing_descriptor(descriptor, inherited_fd, config, |command| command.env("TMPDIR", dir))
}

/// Like [`spawn_with_listener`], with what `configure` adds to the environment instead of a state folder.
pub fn spawn_passing_descriptor(
    descriptor: std::os::fd::OwnedFd,
    inherited_fd: &str,
    config: &Value,
    configure: impl FnOnce(&mut Command) -> &mut Command,
) -> Child {
    let mut shell = Command::new("sh");
    shell.args(["-c", "exec 4<&0 0</dev/null; exec \"$0\"", env!("CARGO_BIN_EXE_client-proxy")]);
    spawn_command(shell, config, |command| {
        configure(command.stdin(Stdio::from(descriptor)).env("GW_INHERITED_FD", inherited_fd))
    })
}

impl Proxy {
    /// Starts the program and waits for the log line with its listening address.
    pub fn start(config: &Value) -> Proxy {
        Proxy::wait_until_listening(spawn(config))
    }

    /// Like [`Proxy::start`], with a fleet configuration file.
    pub fn start_with_fleet_config(config: &Value, fleet_toml: &str) -> Proxy {
        let dir = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
        let unique = format!("{}-{:?}.toml", std::process::id(), std::thread::current().id());
        std::fs::write(dir.join(&unique), fleet_toml).expect("could not write the file");
        let program = Command::new(env!("CARGO_BIN_EXE_client-proxy"));
        Proxy::wait_until_listening(spawn_command(program, config, |command| {
            command.env("GW_FLEET", dir.join(&unique))
        }))
    }

    fn wait_until_listening(mut child: Child) -> Proxy {
        let mut log = BufReader::new(child.stderr.take().expect("stderr is not piped"));
        let mut line = String::new();
        let mut admin_address = None;
        let address = loop {
            line.clear();
            assert!(
                log.read_line(&mut line).expect("could not read the log") > 0,
                "the program ended before it listened"
            );
            if let Some((_, address)) = line.trim_end().split_once("answers operators on ") {
                admin_address = Some(address.parse().expect("invalid address"));
            }
            if let Some((_, address)) = line.trim_end().split_once("listens on ") {
                break address.parse().expect("invalid address");
            }
        };
        // Keeps reading, so that the program never blocks on a full stderr pipe.
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::stderr()));
        Proxy { child, address, admin_address }
    }

    /// Sends one command to the admin address and returns the complete reply.
    pub fn admin_command(&self, command: &str) -> String {
        let mut stream = self.admin_connection();
        stream.write_all(format!("{command}\n").as_bytes()).expect("could not write");
        let mut reply = String::new();
        stream.read_to_string(&mut reply).expect("no reply and close");
        reply
    }

    /// The current metrics, as the INFO command reports them.
    pub fn metrics(&self) -> Value {
        let reply = self.admin_command("INFO");
        let (metrics, end) = reply.split_once('\n').expect("fewer than two lines");
        assert_eq!(end, ".\n");
        serde_json::from_str(metrics).expect("invalid JSON")
    }

    pub fn admin_connection(&self) -> TcpStream {
        let stream = TcpStream::connect(self.admin_address.expect("no admin address configured"))
            .expect("could not connect");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("could not set the read timeout");
        stream
    }

    /// Starts a client proxy and waits until it has received a list of these upstreams.
    pub fn with_upstreams(upstreams: &[&Upstream]) -> (Proxy, DiscoveryServer) {
        let entries = upstreams
            .iter()
            .enumerate()
            .map(|(i, upstream)| endpoint(&format!("h{i}"), upstream.address, "SERVING"));
        let discovery_server = DiscoveryServer::start(Value::Array(entries.collect()));
        let proxy = Proxy::start(&config(discovery_server.address, settings()));
        discovery_server.wait_until_list_received();
        (proxy, discovery_server)
    }

    pub fn client(&self) -> Client {
        Client::new(self.address)
    }

    /// Waits until the operators' address says that it is ready.
    pub fn wait_until_ready(&self) {
        while self.admin_command("PING") != "+OK ready\n" {}
    }

    /// A figure in bytes, by its name in the system's status of the process; `None` if that has ended.
    pub fn memory(&self, name: &str) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let value = status.lines().find_map(|line| line.strip_prefix(name))?;
        value.trim().trim_end_matches(" kB").parse::<u64>().ok().map(|kilobytes| kilobytes * 1024)
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    pub fn signal(&self, name: &str) {
        let killed = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(killed.expect("could not run kill").success());
    }
}
