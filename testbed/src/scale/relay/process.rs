//! A relay process: its configuration, its start, and signals to it.

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use super::super::ScaleError;
use super::super::real::process::Process;

/// Only a safeguard against a run that hangs.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The configuration of a relay.
pub struct Config<'a> {
    /// The server that it polls.
    pub source: SocketAddr,
    /// Whether relays that poll it may request the full list.
    pub full_list: bool,
    /// The `[scopes]` section, as TOML.
    pub scopes: &'a str,
    /// The scope to poll until the relay is ready. Without one, the full list.
    pub scope: Option<&'a str>,
}

/// A running relay, which is killed when this is dropped.
pub struct Relay {
    /// The process of the relay.
    pub process: Process,
    /// Time from the start of the process until its first response.
    pub startup_time: Duration,
}

impl Relay {
    /// Starts a relay and waits until it responds to a poll.
    ///
    /// # Errors
    /// If it does not start, or does not respond in time.
    pub fn start(binary: &Path, dir: &Path, config: &Config<'_>) -> Result<Relay, ScaleError> {
        let file = dir.join("relay.toml");
        let Config { source, full_list, scopes, scope } = config;
        let text = format!(
            "listen = \"127.0.0.1:0\"\nwhole = {full_list}\nconnections = 16000\n[source]\nnear = [\"{source}\"]\n{scopes}"
        );
        fs::write(&file, text)?;
        let shell_script = "command -v setpriv >/dev/null && exec setpriv --pdeathsig KILL \"$0\" \"$@\"; exec \"$0\" \"$@\"";
        let mut command = Command::new("sh");
        command.arg("-c").arg(shell_script).arg(binary).arg("--config").arg(&file);
        let started = Instant::now();
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).spawn()?;
        let (log_sender, lines) = mpsc::channel();
        if let Some(log) = child.stderr.take() {
            // Read until the end: the relay would block on writing to a full pipe.
            thread::spawn(move || {
                BufReader::new(log)
                    .lines()
                    .map_while(Result::ok)
                    .for_each(|line| drop(log_sender.send(line)));
            });
        }
        // Owns the child, so that each early return kills it.
        let mut process = Process::from_child(child, SocketAddr::from(([127, 0, 0, 1], 0)));
        let mut log_lines = Vec::new();
        let not_ready = |log_lines: &[String]| {
            ScaleError::SetUp(format!(
                "{}: the relay did not become ready: {}",
                binary.display(),
                log_lines.join(" | ")
            ))
        };
        while process.address.port() == 0 {
            let remaining = READY_TIMEOUT.saturating_sub(started.elapsed());
            let line = lines.recv_timeout(remaining).map_err(|_| not_ready(&log_lines))?;
            if let Some((_, address)) = line.split_once(" listens on ") {
                process.address = address.parse().map_err(|_| not_ready(std::slice::from_ref(&line)))?;
            }
            log_lines.push(line);
        }
        while !is_ready(process.address, scope.unwrap_or("127.0.0.1")) {
            if started.elapsed() > READY_TIMEOUT {
                log_lines.extend(lines.try_iter());
                return Err(not_ready(&log_lines));
            }
            thread::sleep(CHECK_INTERVAL);
        }
        Ok(Relay { process, startup_time: started.elapsed() })
    }

    /// Sends a signal to the relay.
    ///
    /// # Errors
    /// If the process has exited.
    pub fn signal(&self, signal: Signal) -> Result<(), ScaleError> {
        let pid = i32::try_from(self.process.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| ScaleError::SetUp("the relay has no valid process ID".to_owned()))?;
        kill_process(pid, signal).map_err(|error| ScaleError::Io(error.into()))
    }
}

/// Whether the relay responds with a list for this authority.
fn is_ready(address: SocketAddr, authority: &str) -> bool {
    let poll = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, RESPONSE_TIMEOUT)?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
        let request = format!(
            "GET /v1/endpoints?after=1&wait_ms=0 HTTP/1.1\r\nHost: {authority}\r\nConnection: close\r\n\r\n"
        );
        stream.write_all(request.as_bytes())?;
        let mut response = String::new();
        stream.read_to_string(&mut response)?;
        Ok(response.starts_with("HTTP/1.1 200"))
    };
    poll().unwrap_or(false)
}
