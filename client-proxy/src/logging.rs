//! The log on standard error: one line an event, with the fields of the request or connection that it concerns.
//! A reader that does not keep up costs lines and never time: the process must not wait for its log.

use std::io::{self, Write};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use serde::Deserialize;
use tracing::Level;
use tracing_subscriber::fmt::MakeWriter;

/// Start of each line.
const PREFIX: &str = "client-proxy: ";
/// Longest line in bytes: what a pipe that is writable takes without blocking (`PIPE_BUF`).
const MAX_LINE_LENGTH: usize = 4096;
/// Lines that may be written at once, and per second after that. A fault that concerns every request must not
/// cost more than the requests themselves.
const MAX_BURST: f64 = 400.0;
const MAX_LINES_PER_SECOND: f64 = 200.0;

/// `[log]`: which events are logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogConfig {
    /// The least important events that are logged.
    pub level: LogLevel,
}

/// How much is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// State changes of the process, and requests whose response was cut off.
    #[default]
    Info,
    /// The reason for every close of a client connection, retry and refusal as well.
    Debug,
}

/// Sends the events of this process to standard error from now on. Has no effect when called again.
pub fn init(config: LogConfig) {
    let level = match config.level {
        LogLevel::Info => Level::INFO,
        LogLevel::Debug => Level::DEBUG,
    };
    let subscriber = tracing_subscriber::fmt()
        .without_time()
        .with_target(false)
        .with_level(false)
        .with_ansi(false)
        .with_max_level(level)
        .with_writer(LogWriter::new())
        .finish();
    // Fails if a subscriber is set already.
    let _ = tracing::subscriber::set_global_default(subscriber);
}

/// Lines that may still be written.
#[derive(Debug)]
struct LineBudget {
    available: f64,
    refilled_at: Instant,
}

impl LineBudget {
    fn new(now: Instant) -> LineBudget {
        LineBudget { available: MAX_BURST, refilled_at: now }
    }

    /// Takes one line; false if there is none left.
    fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        self.available = (self.available + elapsed.as_secs_f64() * MAX_LINES_PER_SECOND).min(MAX_BURST);
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

/// Writes lines to standard error as long as that does not block.
struct LogWriter {
    budget: Mutex<LineBudget>,
    dropped: AtomicU64,
}

impl LogWriter {
    fn new() -> LogWriter {
        LogWriter { budget: Mutex::new(LineBudget::new(Instant::now())), dropped: AtomicU64::new(0) }
    }

    fn write_line(&self, line: &[u8]) {
        let has_budget = self.budget.lock().is_ok_and(|mut budget| budget.take(Instant::now()));
        if !has_budget || !is_stderr_writable() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let dropped = match self.dropped.swap(0, Ordering::Relaxed) {
            0 => String::new(),
            dropped => format!("{PREFIX}{dropped} lines dropped\n"),
        };
        let mut text = [dropped.as_bytes(), PREFIX.as_bytes(), line].concat();
        if text.len() > MAX_LINE_LENGTH {
            text.truncate(MAX_LINE_LENGTH - 1);
            text.push(b'\n');
        }
        // Nobody can be told of a log that cannot be written.
        let _ = io::stderr().write_all(&text);
    }
}

/// Whether a line can be written without waiting for the reader.
fn is_stderr_writable() -> bool {
    let stderr = io::stderr();
    let mut poll_fds = [PollFd::new(&stderr, PollFlags::OUT)];
    let polled = poll(&mut poll_fds, Some(&Timespec::try_from(Duration::ZERO).unwrap_or_default()));
    polled.is_ok_and(|ready| ready > 0) && poll_fds[0].revents().contains(PollFlags::OUT)
}

impl<'w> MakeWriter<'w> for LogWriter {
    type Writer = LineWriter<'w>;

    fn make_writer(&'w self) -> LineWriter<'w> {
        LineWriter { log: self }
    }
}

/// Writes the line of one event.
struct LineWriter<'w> {
    log: &'w LogWriter,
}

impl Write for LineWriter<'_> {
    /// The formatter writes each line at once.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.log.write_line(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
