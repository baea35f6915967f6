//! A client proxy process, and its resource usage by `/proc`.

use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::super::ScaleError;

/// Only a safeguard against a run that hangs.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
const CHECK_INTERVAL: Duration = Duration::from_millis(2);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// A running process, which is killed when this is dropped.
pub struct Process {
    child: Child,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// When it became ready.
    pub ready_at: Instant,
}

impl Process {
    /// Starts a client proxy with these configuration files and waits until it is ready. `listen` has to have
    /// port 0.
    ///
    /// # Errors
    /// If it does not start, or does not become ready in time.
    pub fn start(
        binary: &Path,
        dir: &Path,
        config: &Value,
        fleet_config: &str,
    ) -> Result<Process, ScaleError> {
        fs::create_dir_all(dir.join("tmp"))?;
        fs::write(dir.join("config.json"), config.to_string())?;
        fs::write(dir.join("fleet.toml"), fleet_config)?;
        let shell_script =
            "command -v setpriv >/dev/null && exec setpriv --pdeathsig KILL \"$0\"; exec \"$0\"".to_owned();
        let mut command = Command::new("sh");
        command.arg("-c").arg(shell_script).arg(binary).stdin(Stdio::null()).stdout(Stdio::null());
        for name in ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_ADMIN_ADDR", "GW_INHERITED_FD"] {
            command.env_remove(name);
        }
        command.env("GW_CONFIG", dir.join("config.json")).env("GW_FLEET", dir.join("fleet.toml"));
        let mut child = command.env("TMPDIR", dir.join("tmp")).stderr(Stdio::piped()).spawn()?;
        let (log_sender, lines) = mpsc::channel();
        if let Some(log) = child.stderr.take() {
            // Read until the end: the client proxy would block on writing to a full pipe.
            thread::spawn(move || {
                BufReader::new(log)
                    .lines()
                    .map_while(Result::ok)
                    .for_each(|line| drop(log_sender.send(line)));
            });
        }
        // Owns the child, so that each early return kills it.
        let mut process =
            Process { child, address: SocketAddr::from(([127, 0, 0, 1], 0)), ready_at: Instant::now() };
        let deadline = Instant::now() + READY_TIMEOUT;
        let mut log_lines = Vec::new();
        let not_ready = |log_lines: &[String]| {
            ScaleError::SetUp(format!("the client proxy did not become ready: {}", log_lines.join(" | ")))
        };
        while process.address.port() == 0 {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let line = lines.recv_timeout(remaining).map_err(|_| not_ready(&log_lines))?;
            if let Some((_, address)) = line.split_once(" listens on ") {
                process.address = address.parse().map_err(|_| not_ready(std::slice::from_ref(&line)))?;
            }
            log_lines.push(line);
        }
        while !process.is_ready() {
            if Instant::now() >= deadline || process.child.try_wait()?.is_some() {
                log_lines.extend(lines.try_iter());
                return Err(not_ready(&log_lines));
            }
            thread::sleep(CHECK_INTERVAL);
        }
        process.ready_at = Instant::now();
        Ok(process)
    }

    /// Wraps a process of another program, which is ready already.
    pub fn from_child(child: Child, address: SocketAddr) -> Process {
        Process { child, address, ready_at: Instant::now() }
    }

    /// The process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn is_ready(&self) -> bool {
        let poll = || -> io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&self.address, RESPONSE_TIMEOUT)?;
            stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")?;
            let mut response = String::new();
            stream.read_to_string(&mut response)?;
            Ok(response.starts_with("HTTP/1.1 200"))
        };
        poll().unwrap_or(false)
    }

    fn proc_dir(&self) -> PathBuf {
        PathBuf::from(format!("/proc/{}", self.child.id()))
    }

    /// CPU time of all its threads since the start, from `schedstat`, which counts nanoseconds and not clock
    /// ticks.
    ///
    /// # Errors
    /// If the process has exited.
    pub fn cpu(&self) -> io::Result<Duration> {
        let mut total = Duration::ZERO;
        for thread in fs::read_dir(self.proc_dir().join("task"))? {
            let text = fs::read_to_string(thread?.path().join("schedstat"))?;
            let nanos = text.split_whitespace().next().and_then(|word| word.parse().ok());
            total +=
                Duration::from_nanos(nanos.ok_or_else(|| io::Error::other("schedstat has no CPU time"))?);
        }
        Ok(total)
    }

    /// A value of `/proc/PID/status`: resident memory (`VmRSS`) or its peak (`VmHWM`) in MB of 1024 kB, or a
    /// plain number such as `Threads`.
    ///
    /// # Errors
    /// If the process has exited.
    pub fn status(&self, name: &str) -> io::Result<f64> {
        let text = fs::read_to_string(self.proc_dir().join("status"))?;
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
        let mut words = line.unwrap_or_default().split_whitespace();
        let number = words.next().and_then(|word| word.parse::<f64>().ok());
        let number = number.ok_or_else(|| io::Error::other(format!("/proc/PID/status has no {name}")))?;
        Ok(if words.next() == Some("kB") { number / 1024.0 } else { number })
    }

    /// Number of open file descriptors.
    ///
    /// # Errors
    /// If the process has exited.
    pub fn descriptors(&self) -> io::Result<usize> {
        Ok(fs::read_dir(self.proc_dir().join("fd"))?.count())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Errors only mean that the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
