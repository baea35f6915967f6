//! The client proxies: the real program, one process each, as the platform starts it.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use rand_pcg::Pcg32;
use rustix::process::{Pid, Resource, Rlimit, Signal, getrlimit, kill_process, prlimit};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use crate::chance::uniform;
use crate::datagrams::Datagrams;
use crate::scenario::{Scenario, Scope, Semantics, StateFolder};

/// Against hanging only: a client proxy that is not ready by then never will be.
const READY_WITHIN: Duration = Duration::from_secs(20);
const LOOK_EVERY: Duration = Duration::from_millis(20);
const ASK_WITHIN: Duration = Duration::from_secs(2);
/// Of its log, the last lines are kept.
const LINES: usize = 20;
const PORT: u16 = 5000;
/// Where it hears its peers, behind the testbed's links.
const PEER_PORT: u16 = 4900;
const A_SECOND: Duration = Duration::from_secs(1);

/// Why the fleet cannot be played with.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The system does not let it start.
    #[error("client proxy {0} does not start: {1}")]
    Start(usize, io::Error),
    /// It is not ready in time.
    #[error("client proxy {0} is not ready after {READY_WITHIN:?}; its last words: {1}")]
    Ready(usize, String),
}

/// What a client proxy took of the machine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Usage {
    /// In seconds, of all its processes.
    pub cpu_s: f64,
    /// The most at any time.
    pub memory_mb: f64,
    /// The most seen.
    pub descriptors: usize,
    /// The most of a core in use over one second.
    #[serde(default)]
    pub busiest: f64,
}

/// One client proxy.
pub struct Proxy {
    number: usize,
    binary: PathBuf,
    dir: PathBuf,
    /// Where its clients find it.
    pub address: SocketAddr,
    child: RefCell<Option<Child>>,
    words: Rc<RefCell<VecDeque<String>>>,
    usage: RefCell<Usage>,
    /// CPU time of the processes before the present one.
    before: RefCell<f64>,
    /// CPU time at the times of the last looks, a second back.
    looks: RefCell<VecDeque<(Instant, f64)>>,
    /// Whether it can write to files.
    full: Cell<bool>,
    /// Whether it has a second configuration file.
    parts: bool,
    /// The clients' listening socket, where the testbed holds it.
    held: Option<std::net::TcpListener>,
    /// How many processes there were.
    starts: Cell<u16>,
}

/// An address of this testbed's own for a client proxy: by its process number, so that two plays do not meet.
fn address(number: usize) -> SocketAddr {
    let process = std::process::id();
    let [_, _, high, low] = process.to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 64 | (high & 63), low, 1 + number as u8), PORT))
}

/// What the platform tells a client proxy.
fn config(scenario: &Scenario, number: usize, discovery: SocketAddr, seed: u64) -> Value {
    let ms = |time: Duration| time.as_secs_f64() * 1e3;
    let semantics = |semantics| match semantics {
        Semantics::Safe => "safe",
        Semantics::Keyed => "keyed",
        Semantics::Unsafe => "unsafe",
    };
    let scope = |scope| match scope {
        Scope::All => "all",
        Scope::Zone => "zone",
        Scope::Cell => "cell",
    };
    let class = |c: &crate::scenario::Class| {
        json!({"name": c.name, "aim": ms(c.latency_objective), "hardLimit": ms(c.client_timeout), "semantics": semantics(c.semantics),
               "keyScope": scope(c.scope), "keyTtl": ms(c.key_ttl), "lateWorth": 0.0, "points": c.priority_weight, "streamed": false})
    };
    let Scenario { fleet, contract, .. } = scenario;
    let zones: Vec<&String> = scenario.zone.iter().map(|zone| &zone.name).collect();
    json!({
        "name": format!("n{number}"), "listen": address(number).to_string(), "discovery": discovery.to_string(),
        "seed": format!("{:x}", seed.wrapping_mul(1_000_003) + number as u64),
        "limits": {"cores": fleet.cores, "memory_mb": fleet.memory_mb, "sockets": fleet.sockets},
        "settings": {
            "me": number, "balancers": fleet.proxies, "callers": {"marksRetry": scenario.load.sends_resent_header},
            "classes": scenario.class.iter().map(class).collect::<Vec<_>>(),
            "contract": {"cold": ms(contract.warm_up_duration), "coldFrom": contract.initial_capacity_share,
                         "drainGrace": ms(contract.drain_grace), "fall": ms(contract.overload_window),
                         "fallMultiple": contract.overload_multiple, "graceToAnswer": 16.0},
            "customers": [], "discovery": "automatic",
            "kinds": scenario.kind.iter().map(|kind| &kind.name).collect::<Vec<_>>(),
            "zones": zones, "zone": number % zones.len(), "tick": 4.0,
            "limits": {"attemptsCap": 3, "cancelling": true, "connIdle": 10000.0, "dialTimeout": 100.0,
                       "maxRetryAfter": 1200.0, "retryAfter": true, "secondCopies": false},
            "report": {"fields": ["utilization"], "how": "answers"}
        }
    })
}

/// Where a client proxy binds the socket for its peers.
pub fn peer_address(number: usize) -> SocketAddr {
    SocketAddr::new(address(number).ip(), PEER_PORT)
}

/// The second configuration file of a client proxy.
fn parts(scenario: &Scenario, number: usize, peers: Option<&Datagrams>) -> io::Result<toml::Table> {
    let mut parts = scenario.fleet.parts.clone();
    if let Some(toml::Value::Table(zones)) = parts.get_mut("zones") {
        let own = &scenario.zone[number % scenario.zone.len()].name;
        zones.entry("own").or_insert_with(|| own.clone().into());
    }
    if let (Some(toml::Value::Table(membership)), Some(peers)) = (parts.get_mut("membership"), peers) {
        let others = (0..scenario.fleet.proxies).filter(|other| *other != number);
        let seeds: io::Result<Vec<toml::Value>> =
            others.map(|other| Ok(peers.address(other)?.to_string().into())).collect();
        let own = peers.address(number)?.to_string();
        let told: [(&str, toml::Value); 3] = [
            ("listen", peer_address(number).to_string().into()),
            ("advertise", own.into()),
            ("seeds", seeds?.into()),
        ];
        for (key, value) in told {
            membership.entry(key).or_insert(value);
        }
    }
    Ok(parts)
}

impl Proxy {
    /// One that finds discovery there; not started yet. Its files are in a folder of its own below `dir`.
    ///
    /// # Errors
    /// As the system says.
    pub fn new(
        scenario: &Scenario,
        number: usize,
        discovery: SocketAddr,
        peers: Option<&Datagrams>,
        seed: u64,
        binary: &Path,
        dir: &Path,
    ) -> io::Result<Rc<Proxy>> {
        let dir = dir.join(format!("n{number}"));
        fs::create_dir_all(dir.join("tmp"))?;
        fs::write(dir.join("config.json"), config(scenario, number, discovery, seed).to_string())?;
        fs::write(dir.join("fleet.toml"), parts(scenario, number, peers)?.to_string())?;
        Ok(Rc::new(Proxy {
            number,
            binary: binary.to_owned(),
            dir,
            address: address(number),
            child: RefCell::default(),
            words: Rc::default(),
            usage: RefCell::default(),
            before: RefCell::default(),
            looks: RefCell::default(),
            full: Cell::new(false),
            parts: !scenario.fleet.parts.is_empty(),
            held: scenario.fleet.inherited.then(|| hold(address(number))).transpose()?,
            starts: Cell::new(0),
        }))
    }

    /// Starts it, and waits until it is ready.
    ///
    /// # Errors
    /// Where it does not start, or is not ready in time.
    pub async fn start(&self) -> Result<(), FleetError> {
        self.launch().map_err(|error| FleetError::Start(self.number, error))?;
        let until = Instant::now() + READY_WITHIN;
        while Instant::now() < until && !self.has_ended() {
            if matches!(timeout(ASK_WITHIN, ask_ready(self.address)).await, Ok(Ok(true))) {
                return Ok(());
            }
            sleep(LOOK_EVERY).await;
        }
        Err(FleetError::Ready(self.number, self.last_words()))
    }

    fn launch(&self) -> io::Result<()> {
        // A shell, which the program then replaces, has what is too long for a file end as an error, where it would end
        // the process; it passes on a descriptor other than the standard ones; and where the system has setpriv, the program ends
        // with the testbed even where that is killed.
        let mut command = Command::new("sh");
        let full = if self.full.get() { "ulimit -S -f 0; " } else { "" };
        let passed = if self.held.is_some() { "exec 4<&0 0</dev/null; " } else { "" };
        let along = "command -v setpriv >/dev/null && exec setpriv --pdeathsig KILL \"$0\"; exec \"$0\"";
        command.arg("-c").arg(format!("trap '' XFSZ; {full}{passed}{along}")).arg(&self.binary);
        match &self.held {
            None => command.stdin(Stdio::null()),
            Some(held) => command.stdin(OwnedFd::from(held.try_clone()?)),
        };
        let unset = ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_ADMIN_ADDR", "GW_INHERITED_FD", "GW_FLEET"];
        for name in unset {
            command.env_remove(name);
        }
        command.env("GW_CONFIG", self.dir.join("config.json")).env("TMPDIR", self.dir.join("tmp"));
        if self.parts {
            command.env("GW_FLEET", self.dir.join("fleet.toml"));
        }
        self.starts.set(self.starts.get() + 1);
        command.env("GW_ADMIN_ADDR", self.operators().to_string());
        if self.held.is_some() {
            command.env("GW_INHERITED_FD", "4");
        }
        command.stdout(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
        let mut child = command.spawn()?;
        if let Some(log) = child.stderr.take() {
            let words = Rc::clone(&self.words);
            spawn_local(async move {
                let mut lines = BufReader::new(log).lines();
                while let Ok(Some(line)) = lines.next_line().await {
                    let mut words = words.borrow_mut();
                    if words.len() == LINES {
                        words.pop_front();
                    }
                    words.push_back(line);
                }
            });
        }
        self.child.replace(Some(child));
        Ok(())
    }

    /// Where its present process answers operators: each process at an address of its own.
    fn operators(&self) -> SocketAddr {
        SocketAddr::new(self.address.ip(), PORT + self.starts.get())
    }

    /// Replaces its process by another one while it serves. The old one is told to end when the next one is ready, and
    /// has ended when this returns.
    ///
    /// # Errors
    /// Where the next one does not start, or is not ready in time.
    pub async fn upgrade(&self, end_within: Duration) -> Result<(), FleetError> {
        let old = self.child.take();
        let launched = self.launch();
        launched.map_err(|error| FleetError::Start(self.number, error))?;
        let until = Instant::now() + READY_WITHIN;
        while !matches!(timeout(ASK_WITHIN, ping(self.operators())).await, Ok(Ok(true))) {
            if Instant::now() >= until || self.has_ended() {
                return Err(FleetError::Ready(self.number, self.last_words()));
            }
            sleep(LOOK_EVERY).await;
        }
        let Some(mut old) = old else { return Ok(()) };
        if let Some(pid) = old.id().and_then(|id| Pid::from_raw(id as i32)) {
            let _ = kill_process(pid, Signal::TERM);
        }
        if timeout(end_within, old.wait()).await.is_err() {
            let _ = old.kill().await;
        }
        Ok(())
    }

    /// Discovery is there now: it is told by its configuration and SIGHUP.
    ///
    /// # Errors
    /// Where the configuration cannot be written.
    pub fn moved(&self, discovery: SocketAddr) -> io::Result<()> {
        let path = self.dir.join("config.json");
        let mut config: Value = serde_json::from_slice(&fs::read(&path)?)?;
        config["discovery"] = json!(discovery.to_string());
        fs::write(&path, config.to_string())?;
        self.signal(Signal::HUP);
        Ok(())
    }

    /// Has operators take an order server out there, or put it back; whether the client proxy said yes.
    pub async fn by_hand(&self, server: &str, out: bool) -> bool {
        let call = format!("{} {server}\n", if out { "DETACH" } else { "ATTACH" });
        let answer = timeout(ASK_WITHIN, ask(self.operators(), &call)).await;
        matches!(answer, Ok(Ok(answer)) if answer.starts_with("+OK"))
    }

    /// Lets it write nothing to files any more, or again.
    pub fn disk_full(&self, full: bool) {
        self.full.set(full);
        let id = self.child.borrow().as_ref().and_then(Child::id);
        if let Some(pid) = id.and_then(|id| Pid::from_raw(id as i32)) {
            let maximum = getrlimit(Resource::Fsize).maximum;
            let current = if full { Some(0) } else { maximum };
            // One that has ended needs no room.
            let _ = prlimit(Some(pid), Resource::Fsize, Rlimit { current, maximum });
        }
    }

    /// Takes its state folder away, or gives it back.
    ///
    /// # Errors
    /// As the system says.
    pub fn disk_gone(&self, gone: bool) -> io::Result<()> {
        let (folder, aside) = (self.dir.join("tmp"), self.dir.join("tmp-aside"));
        if gone {
            fs::rename(&folder, &aside)?;
            // In its place something that is no folder, so that nobody makes another one.
            fs::write(&folder, "")
        } else {
            fs::remove_file(&folder)?;
            fs::rename(&aside, &folder)
        }
    }

    /// Puts its state folder into this state. What cannot be changed stays, which the next start shows.
    pub fn folder(&self, folder: StateFolder, rng: &mut Pcg32) {
        let dir = self.dir.join("tmp");
        let files = fs::read_dir(&dir).into_iter().flatten().filter_map(|entry| Some(entry.ok()?.path()));
        for file in files {
            match folder {
                StateFolder::Kept => {}
                StateFolder::Emptied => drop(fs::remove_file(&file)),
                StateFolder::Corrupted => {
                    let Ok(mut bytes) = fs::read(&file) else { continue };
                    bytes.truncate((uniform(rng) * bytes.len() as f64) as usize);
                    let at = (uniform(rng) * bytes.len() as f64) as usize;
                    if let Some(byte) = bytes.get_mut(at) {
                        *byte ^= 1 << (uniform(rng) * 8.0) as u32;
                    }
                    drop(fs::write(&file, bytes));
                }
            }
        }
    }

    /// The end of its log.
    pub fn last_words(&self) -> String {
        self.words.borrow().iter().cloned().collect::<Vec<_>>().join(" | ")
    }

    /// Whether its process has ended, or was never started.
    pub fn has_ended(&self) -> bool {
        self.child.borrow_mut().as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Sends its process a signal. One that has ended takes none.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.borrow().as_ref().and_then(Child::id);
        if let Some(pid) = id.and_then(|id| Pid::from_raw(id as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits until its process has ended; whether it did in time.
    pub async fn ended(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while !self.has_ended() {
            if Instant::now() >= until {
                return false;
            }
            sleep(LOOK_EVERY).await;
        }
        *self.before.borrow_mut() = self.usage.borrow().cpu_s;
        true
    }

    /// Takes in what it uses by now.
    pub fn look(&self) {
        let id = self.child.borrow().as_ref().and_then(Child::id);
        let Some(id) = id else { return };
        let dir = PathBuf::from(format!("/proc/{id}"));
        let mut usage = self.usage.borrow_mut();
        if let Ok(stat) = fs::read_to_string(dir.join("stat")) {
            // After the name, which may hold anything, in brackets.
            let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
            let ticks = [11, 12].iter().filter_map(|n| fields.get(*n)?.parse::<f64>().ok()).sum::<f64>();
            usage.cpu_s = *self.before.borrow() + ticks / 100.0;
            let (mut looks, now) = (self.looks.borrow_mut(), Instant::now());
            looks.push_back((now, usage.cpu_s));
            while looks.get(1).is_some_and(|(at, _)| *at + A_SECOND <= now) {
                looks.pop_front();
            }
            if let Some((from, before)) = looks.front().filter(|(at, _)| *at + A_SECOND <= now) {
                let used = (usage.cpu_s - before) / (now - *from).as_secs_f64();
                usage.busiest = usage.busiest.max(used);
            }
        }
        if let Ok(status) = fs::read_to_string(dir.join("status")) {
            let most = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
            let kb = most.and_then(|most| most.split_whitespace().next()?.parse::<f64>().ok());
            usage.memory_mb = usage.memory_mb.max(kb.unwrap_or(0.0) / 1024.0);
        }
        if let Ok(open) = fs::read_dir(dir.join("fd")) {
            usage.descriptors = usage.descriptors.max(open.count());
        }
    }

    /// What it used so far.
    pub fn usage(&self) -> Usage {
        *self.usage.borrow()
    }
}

/// Listens for a client proxy that is to take the socket over.
fn hold(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(1024)?;
    Ok(socket.into())
}

/// Whether the process that answers operators there is ready.
async fn ping(operators: SocketAddr) -> io::Result<bool> {
    Ok(ask(operators, "PING\n").await?.starts_with("+OK"))
}

async fn ask_ready(address: SocketAddr) -> io::Result<bool> {
    let call = "GET /ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n";
    Ok(ask(address, call).await?.starts_with("HTTP/1.1 200"))
}

/// All that comes back over a connection of its own.
async fn ask(address: SocketAddr, call: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(call.as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}
