//! The client proxies of a run: processes of the real program, started as the platform starts them.

mod config;
mod probe;

pub use self::config::peer_address;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fs;
use std::io;
use std::net::SocketAddr;
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
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use self::config::{address, config, fleet_file};
use self::probe::{exchange, is_ready, listen, ping};
use crate::chance::uniform;
use crate::datagrams::Datagrams;
use crate::scenario::{Scenario, StateFolder};

/// Upper bound on the start of a client proxy; beyond it the process counts as hanging.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a process is checked for readiness or exit.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of one readiness check or operator command.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of log lines that are kept of each client proxy.
const LOG_LINES: usize = 20;
/// Port for clients; the operators' port of the nth process is `PORT + n`.
const PORT: u16 = 5000;
/// Minimum interval over which `busiest` is measured.
const USAGE_WINDOW: Duration = Duration::from_secs(1);

/// Why a client proxy could not be started.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The process could not be created.
    #[error("client proxy {0} does not start: {1}")]
    Start(usize, io::Error),
    /// It was not ready within `READY_TIMEOUT`.
    #[error("client proxy {0} is not ready after {READY_TIMEOUT:?}; its last words: {1}")]
    Ready(usize, String),
}

/// Resource usage of a client proxy.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Usage {
    /// CPU time in seconds, summed over all its processes.
    pub cpu_s: f64,
    /// Peak resident memory in MiB.
    pub memory_mb: f64,
    /// Largest sampled number of open file descriptors.
    pub descriptors: usize,
    /// Largest share of a core used over at least one second.
    #[serde(default)]
    pub busiest: f64,
}

/// One client proxy.
pub struct Proxy {
    number: usize,
    binary: PathBuf,
    dir: PathBuf,
    /// Address that its clients connect to.
    pub address: SocketAddr,
    child: RefCell<Option<Child>>,
    log_lines: Rc<RefCell<VecDeque<String>>>,
    usage: RefCell<Usage>,
    /// CPU time in seconds of its earlier processes.
    earlier_cpu_s: RefCell<f64>,
    /// Samples of the CPU time in seconds over the last second.
    cpu_samples: RefCell<VecDeque<(Instant, f64)>>,
    /// Whether its disk is simulated as full: it can write to no file.
    disk_full: Cell<bool>,
    /// Whether it gets the second configuration file, `fleet.toml`.
    has_fleet_file: bool,
    /// The listening socket for clients, if the testbed owns it and the processes inherit it.
    inherited: Option<std::net::TcpListener>,
    /// Number of processes started so far.
    starts: Cell<u16>,
}

impl Proxy {
    /// Creates a client proxy, not yet started, that polls `discovery`. Its files are in a folder of its own
    /// below `dir`.
    ///
    /// # Errors
    /// If its files cannot be written or the inherited socket cannot be bound.
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
        fs::write(dir.join("fleet.toml"), fleet_file(scenario, number, peers)?.to_string())?;
        Ok(Rc::new(Proxy {
            number,
            binary: binary.to_owned(),
            dir,
            address: address(number),
            child: RefCell::default(),
            log_lines: Rc::default(),
            usage: RefCell::default(),
            earlier_cpu_s: RefCell::default(),
            cpu_samples: RefCell::default(),
            disk_full: Cell::new(false),
            has_fleet_file: !scenario.fleet.parts.is_empty(),
            inherited: scenario.fleet.inherited.then(|| listen(address(number))).transpose()?,
            starts: Cell::new(0),
        }))
    }

    /// Starts it, and waits until it is ready.
    ///
    /// # Errors
    /// If it does not start or is not ready in time.
    pub async fn start(&self) -> Result<(), FleetError> {
        self.launch().map_err(|error| FleetError::Start(self.number, error))?;
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until && !self.has_exited() {
            if matches!(timeout(REQUEST_TIMEOUT, is_ready(self.address)).await, Ok(Ok(true))) {
                return Ok(());
            }
            sleep(CHECK_INTERVAL).await;
        }
        Err(FleetError::Ready(self.number, self.last_log_lines()))
    }

    fn launch(&self) -> io::Result<()> {
        // Started through a shell, which the program then replaces. The shell ignores SIGXFSZ, so that a
        // write beyond the file size limit fails instead of ending the process. It passes the inherited
        // socket on as descriptor 4. Where setpriv is installed, the program gets SIGKILL when the testbed
        // ends, even if the testbed is killed.
        let mut command = Command::new("sh");
        let file_limit = if self.disk_full.get() { "ulimit -S -f 0; " } else { "" };
        let pass_socket = if self.inherited.is_some() { "exec 4<&0 0</dev/null; " } else { "" };
        let exec_program =
            "command -v setpriv >/dev/null && exec setpriv --pdeathsig KILL \"$0\"; exec \"$0\"";
        command
            .arg("-c")
            .arg(format!("trap '' XFSZ; {file_limit}{pass_socket}{exec_program}"))
            .arg(&self.binary);
        match &self.inherited {
            None => command.stdin(Stdio::null()),
            Some(inherited) => command.stdin(OwnedFd::from(inherited.try_clone()?)),
        };
        let unset = ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_ADMIN_ADDR", "GW_INHERITED_FD", "GW_FLEET"];
        for name in unset {
            command.env_remove(name);
        }
        command.env("GW_CONFIG", self.dir.join("config.json")).env("TMPDIR", self.dir.join("tmp"));
        if self.has_fleet_file {
            command.env("GW_FLEET", self.dir.join("fleet.toml"));
        }
        self.starts.set(self.starts.get() + 1);
        command.env("GW_ADMIN_ADDR", self.admin_address().to_string());
        if self.inherited.is_some() {
            command.env("GW_INHERITED_FD", "4");
        }
        command.stdout(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
        let mut child = command.spawn()?;
        if let Some(log) = child.stderr.take() {
            let log_lines = Rc::clone(&self.log_lines);
            spawn_local(async move {
                let mut lines = BufReader::new(log).lines();
                while let Ok(Some(line)) = lines.next_line().await {
                    let mut log_lines = log_lines.borrow_mut();
                    if log_lines.len() == LOG_LINES {
                        log_lines.pop_front();
                    }
                    log_lines.push_back(line);
                }
            });
        }
        self.child.replace(Some(child));
        Ok(())
    }

    /// The operators' address of its current process. Each process has its own, since two run during an
    /// upgrade.
    fn admin_address(&self) -> SocketAddr {
        SocketAddr::new(self.address.ip(), PORT + self.starts.get())
    }

    /// Replaces its process by a new one while it serves. The old process gets SIGTERM once the new one is
    /// ready, and SIGKILL if it has not exited `exit_timeout` later; it has exited when this returns without
    /// an error.
    ///
    /// # Errors
    /// If the new process does not start or is not ready in time.
    pub async fn upgrade(&self, exit_timeout: Duration) -> Result<(), FleetError> {
        let old = self.child.take();
        let launched = self.launch();
        launched.map_err(|error| FleetError::Start(self.number, error))?;
        let until = Instant::now() + READY_TIMEOUT;
        while !matches!(timeout(REQUEST_TIMEOUT, ping(self.admin_address())).await, Ok(Ok(true))) {
            if Instant::now() >= until || self.has_exited() {
                return Err(FleetError::Ready(self.number, self.last_log_lines()));
            }
            sleep(CHECK_INTERVAL).await;
        }
        let Some(mut old) = old else { return Ok(()) };
        if let Some(pid) = old.id().and_then(|id| Pid::from_raw(id as i32)) {
            let _ = kill_process(pid, Signal::TERM);
        }
        if timeout(exit_timeout, old.wait()).await.is_err() {
            let _ = old.kill().await;
        }
        Ok(())
    }

    /// Changes the address of discovery in its configuration and has it reload that with SIGHUP.
    ///
    /// # Errors
    /// If the configuration cannot be read or written.
    pub fn set_discovery(&self, discovery: SocketAddr) -> io::Result<()> {
        let path = self.dir.join("config.json");
        let mut config: Value = serde_json::from_slice(&fs::read(&path)?)?;
        config["discovery"] = json!(discovery.to_string());
        fs::write(&path, config.to_string())?;
        self.signal(Signal::HUP);
        Ok(())
    }

    /// Disables an order server by an operator command, or enables it again. Returns whether the command was
    /// accepted.
    pub async fn set_operator_override(&self, server: &str, disabled: bool) -> bool {
        let request = format!("{} {server}\n", if disabled { "DETACH" } else { "ATTACH" });
        let response = timeout(REQUEST_TIMEOUT, exchange(self.admin_address(), &request)).await;
        matches!(response, Ok(Ok(response)) if response.starts_with("+OK"))
    }

    /// Simulates a full disk by a file size limit of 0, or removes that limit.
    pub fn disk_full(&self, full: bool) {
        self.disk_full.set(full);
        let id = self.child.borrow().as_ref().and_then(Child::id);
        if let Some(pid) = id.and_then(|id| Pid::from_raw(id as i32)) {
            let maximum = getrlimit(Resource::Fsize).maximum;
            let current = if full { Some(0) } else { maximum };
            // Fails if the process has exited, which needs no limit.
            let _ = prlimit(Some(pid), Resource::Fsize, Rlimit { current, maximum });
        }
    }

    /// Moves its state folder away, or back.
    ///
    /// # Errors
    /// If a file or folder cannot be moved, written or removed.
    pub fn disk_gone(&self, removed: bool) -> io::Result<()> {
        let (folder, aside) = (self.dir.join("tmp"), self.dir.join("tmp-aside"));
        if removed {
            fs::rename(&folder, &aside)?;
            // A file in its place keeps the client proxy from creating the folder again.
            fs::write(&folder, "")
        } else {
            fs::remove_file(&folder)?;
            fs::rename(&aside, &folder)
        }
    }

    /// Keeps, empties or corrupts the files in its state folder. A file that cannot be changed stays as it
    /// is, which shows at the next start.
    pub fn prepare_state_folder(&self, folder: StateFolder, rng: &mut Pcg32) {
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

    /// The last lines of its log.
    pub fn last_log_lines(&self) -> String {
        self.log_lines.borrow().iter().cloned().collect::<Vec<_>>().join(" | ")
    }

    /// Whether its process has exited, or was never started.
    pub fn has_exited(&self) -> bool {
        self.child.borrow_mut().as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Sends its process a signal; without effect if the process has exited.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.borrow().as_ref().and_then(Child::id);
        if let Some(pid) = id.and_then(|id| Pid::from_raw(id as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits until its process has exited. Returns whether it did so in time.
    pub async fn wait_for_exit(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while !self.has_exited() {
            if Instant::now() >= until {
                return false;
            }
            sleep(CHECK_INTERVAL).await;
        }
        *self.earlier_cpu_s.borrow_mut() = self.usage.borrow().cpu_s;
        true
    }

    /// Samples its resource usage.
    pub fn sample_usage(&self) {
        let id = self.child.borrow().as_ref().and_then(Child::id);
        let Some(id) = id else { return };
        let dir = PathBuf::from(format!("/proc/{id}"));
        let mut usage = self.usage.borrow_mut();
        if let Ok(stat) = fs::read_to_string(dir.join("stat")) {
            // The fields after the program's name, which is in parentheses and may contain any character.
            let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
            let ticks = [11, 12].iter().filter_map(|n| fields.get(*n)?.parse::<f64>().ok()).sum::<f64>();
            usage.cpu_s = *self.earlier_cpu_s.borrow() + ticks / 100.0;
            let (mut cpu_samples, now) = (self.cpu_samples.borrow_mut(), Instant::now());
            cpu_samples.push_back((now, usage.cpu_s));
            while cpu_samples.get(1).is_some_and(|(at, _)| *at + USAGE_WINDOW <= now) {
                cpu_samples.pop_front();
            }
            if let Some((from, before)) = cpu_samples.front().filter(|(at, _)| *at + USAGE_WINDOW <= now) {
                let used = (usage.cpu_s - before) / (now - *from).as_secs_f64();
                usage.busiest = usage.busiest.max(used);
            }
        }
        if let Ok(status) = fs::read_to_string(dir.join("status")) {
            let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
            let kb = peak.and_then(|peak| peak.split_whitespace().next()?.parse::<f64>().ok());
            usage.memory_mb = usage.memory_mb.max(kb.unwrap_or(0.0) / 1024.0);
        }
        if let Ok(open) = fs::read_dir(dir.join("fd")) {
            usage.descriptors = usage.descriptors.max(open.count());
        }
    }

    /// Its resource usage so far.
    pub fn usage(&self) -> Usage {
        *self.usage.borrow()
    }
}
