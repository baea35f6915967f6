//! Runs a relay as a process, with a fake discovery as its source and raw HTTP connections as downstreams.
#![allow(dead_code)] // each test file uses only some of it

mod http;

pub use http::TestConnection;
use http::{header, read_head};

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

/// Only keeps a test from hanging; no test depends on its value.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// A change has to reach downstreams within this time after discovery has it.
pub const MAX_PROPAGATION: Duration = Duration::from_secs(6);

/// How the fake discovery behaves.
#[derive(Clone, Debug, PartialEq)]
pub enum Behavior {
    Healthy,
    /// Accepts polls and never responds.
    Stalled,
    /// Responds with 503.
    Unavailable,
    /// Responds with this body.
    Body(String),
    /// Responds once with this body, and is healthy from then on.
    BodyOnce(String),
    /// Sends a body without end.
    EndlessBody,
    /// Sends the body byte by byte, and never the last byte.
    SlowBody,
    /// Sends half of the body and closes the connection.
    TruncatedBody,
}

#[derive(Clone)]
struct Entry {
    changed: u64,
    status: &'static str,
}

struct State {
    index: u64,
    entries: BTreeMap<String, Entry>,
    behavior: Behavior,
    polls: Vec<String>,
    /// How long it works on each poll before it looks at its list.
    delay: Duration,
    /// Additional header lines of a healthy response.
    headers: String,
}

/// A fake discovery with full snapshots and watches, which runs for as long as its runtime.
#[derive(Clone)]
pub struct FakeSource {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    changes: Arc<watch::Sender<()>>,
}

impl FakeSource {
    pub async fn start(names: &[&str]) -> FakeSource {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let entry = |name: &&str| ((*name).to_owned(), Entry { changed: 1, status: "SERVING" });
        let entries = names.iter().map(entry).collect();
        let state = State {
            index: 10,
            entries,
            behavior: Behavior::Healthy,
            polls: Vec::new(),
            delay: Duration::ZERO,
            headers: String::new(),
        };
        let address = listener.local_addr().expect("a bound address");
        let changes = Arc::new(watch::Sender::new(()));
        let source = FakeSource { address, state: Arc::new(Mutex::new(state)), changes };
        let server = source.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                let source = server.clone();
                tokio::spawn(async move { source.serve(stream).await });
            }
        });
        source
    }

    /// Changes the status of these endpoints, all at one new version. Returns the version.
    pub fn change(&self, names: &[&str], status: &'static str) -> u64 {
        let mut state = self.state.lock().expect("not poisoned");
        state.index += 1;
        let changed = state.index;
        for name in names {
            state.entries.insert((*name).to_owned(), Entry { changed, status });
        }
        drop(state);
        self.changes.send_replace(());
        changed
    }

    /// Sets the version, which may be lower than before. If names are given, the list then has only those.
    pub fn reset_to(&self, index: u64, names: Option<&[&str]>) {
        let mut state = self.state.lock().expect("not poisoned");
        state.index = index;
        if let Some(names) = names {
            let entry = |name: &&str| ((*name).to_owned(), Entry { changed: index, status: "SERVING" });
            state.entries = names.iter().map(entry).collect();
        }
        drop(state);
        self.changes.send_replace(());
    }

    pub fn set_behavior(&self, behavior: Behavior) {
        self.state.lock().expect("not poisoned").behavior = behavior;
        self.changes.send_replace(());
    }

    /// Makes each poll from now on take this much longer.
    pub fn set_delay(&self, delay: Duration) {
        self.state.lock().expect("not poisoned").delay = delay;
    }

    /// Adds these header lines to healthy responses from now on.
    pub fn add_headers(&self, lines: &str) {
        self.state.lock().expect("not poisoned").headers = lines.to_owned();
    }

    /// The polls so far, each as its authority and path.
    pub fn polls(&self) -> Vec<String> {
        self.state.lock().expect("not poisoned").polls.clone()
    }

    /// Waits for the next poll.
    pub async fn wait_for_poll(&self) {
        let before = self.polls().len();
        wait_until("discovery is polled", || async { self.polls().len() > before }).await;
    }

    async fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut buffer = Vec::new();
        loop {
            let head = read_head(&mut stream, &mut buffer).await?;
            let (path, host) =
                (head.split(' ').nth(1)?.to_owned(), header(&head, "host").unwrap_or_default());
            self.state.lock().expect("not poisoned").polls.push(format!("{host} {path}"));
            let number = |name: &str| -> Option<u64> {
                path.split(['?', '&']).find_map(|part| part.strip_prefix(name)?.parse().ok())
            };
            let (after, wait) = (number("after="), Duration::from_millis(number("wait_ms=").unwrap_or(0)));
            let delay = self.state.lock().expect("not poisoned").delay;
            sleep(delay).await;
            let mut changes = self.changes.subscribe();
            let is_unchanged = || {
                let state = self.state.lock().expect("not poisoned");
                after.is_some_and(|after| after >= state.index) && state.behavior == Behavior::Healthy
            };
            let wait_end = Instant::now() + wait;
            while is_unchanged() && Instant::now() < wait_end {
                let _ = tokio::time::timeout_at(wait_end, changes.changed()).await;
            }
            while self.behavior() == Behavior::Stalled {
                let _ = changes.changed().await;
            }
            let list = self.list(after).to_string();
            let headers = self.state.lock().expect("not poisoned").headers.clone();
            let head = format!("HTTP/1.1 200 OK\r\n{headers}content-length: {}\r\n\r\n", list.len());
            let behavior = self.behavior();
            match behavior {
                Behavior::Healthy => stream.write_all((head + &list).as_bytes()).await.ok()?,
                Behavior::Stalled => continue,
                Behavior::Unavailable => {
                    let unavailable = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
                    stream.write_all(unavailable.as_bytes()).await.ok()?;
                }
                Behavior::Body(body) => {
                    let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
                    stream.write_all(response.as_bytes()).await.ok()?;
                }
                Behavior::BodyOnce(body) => {
                    self.state.lock().expect("not poisoned").behavior = Behavior::Healthy;
                    let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
                    stream.write_all(response.as_bytes()).await.ok()?;
                }
                Behavior::EndlessBody => {
                    stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n{\"index\":1,\"endpoints\":[").await.ok()?;
                    loop {
                        stream.write_all(&b"1,".repeat(32 * 1024)).await.ok()?;
                    }
                }
                Behavior::SlowBody => {
                    for byte in head.bytes().chain(list.bytes().take(list.len() - 1)) {
                        stream.write_all(&[byte]).await.ok()?;
                        sleep(Duration::from_millis(5)).await;
                    }
                    std::future::pending::<()>().await;
                }
                Behavior::TruncatedBody => {
                    let half = head + &list[..list.len() / 2];
                    stream.write_all(half.as_bytes()).await.ok()?;
                    return None;
                }
            }
        }
    }

    fn behavior(&self) -> Behavior {
        self.state.lock().expect("not poisoned").behavior.clone()
    }

    fn list(&self, after: Option<u64>) -> Value {
        let state = self.state.lock().expect("not poisoned");
        let entries = state.entries.iter().filter(|(_, entry)| match after {
            None => entry.status != "DELETED",
            Some(after) => entry.changed > after,
        });
        let entries: Vec<Value> = entries.map(|(name, entry)| endpoint(name, entry.status)).collect();
        json!({"index": state.index, "snapshot": after.is_none(), "endpoints": entries})
    }
}

pub fn endpoint(name: &str, status: &str) -> Value {
    json!({"name": name, "address": "10.0.0.1:5000", "zone": "a", "type": "m", "group": 1, "status": status,
           "weight": 1.0, "since_ms": 0})
}

/// Waits for a condition.
pub async fn wait_until<F: Future<Output = bool>>(description: &str, mut condition: impl FnMut() -> F) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "{description}: not within {TEST_TIMEOUT:?}");
        sleep(Duration::from_millis(10)).await;
    }
}

/// A relay process, killed when dropped.
pub struct Relay {
    pub child: Child,
    pub address: SocketAddr,
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

static CONFIG_COUNT: AtomicU32 = AtomicU32::new(0);

impl Relay {
    /// Starts a relay with these sources. `keys` are further lines of its configuration, before its tables.
    pub fn start(sources: &[SocketAddr], keys: &str) -> Relay {
        Relay::start_at("127.0.0.1:0", sources, keys)
    }

    pub fn start_at(listen: &str, sources: &[SocketAddr], keys: &str) -> Relay {
        let sources: Vec<String> = sources.iter().map(|address| format!("\"{address}\"")).collect();
        let config = format!("listen = \"{listen}\"\n{keys}\n[source]\nnear = [{}]\n", sources.join(", "));
        let number = CONFIG_COUNT.fetch_add(1, Ordering::Relaxed);
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let path = path.join(format!("relay-{}-{number}.toml", std::process::id()));
        std::fs::write(&path, config).expect("the file is written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_discovery-relay"))
            .arg("--config")
            .arg(&path)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the relay starts");
        let mut log = BufReader::new(child.stderr.take().expect("piped"));
        let mut line = String::new();
        let address = loop {
            line.clear();
            assert!(log.read_line(&mut line).expect("a readable log") > 0, "the relay exited");
            if let Some(address) = line.trim().strip_prefix("relay: listens on ") {
                break address.parse().expect("a valid address");
            }
        };
        std::thread::spawn(move || log.lines().map_while(Result::ok).for_each(|line| eprintln!("{line}")));
        Relay { child, address }
    }

    /// Waits until the relay has a list.
    pub async fn wait_for_list(&self) {
        wait_until("the relay has a list", || async {
            let response = TestConnection::dial(self.address).await.get("127.0.0.1", "/v1/endpoints").await;
            matches!(response.map(|response| response.status), Some(200 | 421)) && self.has_list().await
        })
        .await;
    }

    async fn has_list(&self) -> bool {
        // Before the first list, the response for any name is 503.
        let response = TestConnection::dial(self.address).await.get("no-such-service", "/v1/endpoints").await;
        response.is_some_and(|response| response.status == 404)
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status().expect("kill runs");
        assert!(sent.success());
    }

    /// Waits until the process exits. Returns whether it was successful.
    pub async fn wait_for_exit(&mut self) -> bool {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("a child process") {
                return status.success();
            }
            assert!(Instant::now() < deadline, "the relay did not exit");
            sleep(Duration::from_millis(10)).await;
        }
    }
}
