//! The operators' address. Each connection sends one command line and gets one reply, then it is closed.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, sleep, timeout};

use crate::driver::Driver;
use crate::memory_usage::MemoryUsage;

/// Connections that may be open at once. Their descriptors are set aside from those for clients and
/// endpoints.
const MAX_CONNECTIONS: usize = 16;
/// Descriptors of the listener and all connections, with one that was just accepted and one that was just
/// aborted.
pub const MAX_DESCRIPTORS: usize = MAX_CONNECTIONS + 3;
/// Longest command line in bytes, far longer than any valid command.
const MAX_LINE_LENGTH: usize = 512;
/// Time limit for receiving the command; the whole connection may take twice as long.
const IO_TIMEOUT: Duration = Duration::from_millis(2_500);
/// When all slots are in use, the oldest connection that is waiting for its command may be closed after this
/// time to make room for a new one.
const EVICTABLE_AFTER: Duration = Duration::from_millis(100);
/// How long, and how many bytes, a connection is still read after the reply. Closing a socket with unread
/// data sends a reset, which may destroy the reply.
const LINGER_TIME: Duration = Duration::from_millis(200);
const LINGER_MAX_BYTES: usize = 64 * 1024;
/// Backoff of the accept loop when the system is out of descriptors or all slots are in use.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// State that commands read and change.
pub struct Admin {
    /// Provides the metrics and applies operator overrides.
    pub driver: Rc<Driver>,
    /// Becomes true once there are endpoints to send requests to.
    pub ready: watch::Receiver<bool>,
    /// If present, INFO also says why requests were refused, attempts ended and connections closed, and what
    /// memory is used.
    pub memory_usage: Option<Rc<MemoryUsage>>,
}

/// A valid command.
#[derive(Debug, PartialEq)]
enum Command<'l> {
    Ping,
    Info,
    Detach(&'l str),
    Attach(&'l str),
}

/// Parses a command line. Words are separated by whitespace; command names are upper case.
fn parse_command(line: &[u8]) -> Result<Command<'_>, &'static str> {
    let line = std::str::from_utf8(line).map_err(|_| "the line is no text")?;
    let mut words = line.split_ascii_whitespace();
    let verb = words.next().ok_or("the line is empty")?;
    let command = match verb {
        "PING" => Command::Ping,
        "INFO" => Command::Info,
        "DETACH" | "ATTACH" => {
            let id = words.next().ok_or("the call needs the ID of an order server")?;
            if verb == "DETACH" { Command::Detach(id) } else { Command::Attach(id) }
        }
        _ => return Err("no such call: PING, INFO, DETACH ID or ATTACH ID"),
    };
    if words.next().is_some() { Err("too many words for this call") } else { Ok(command) }
}

impl Admin {
    fn metrics_json(&self) -> Value {
        let mut metrics = self.driver.metrics_json();
        if let Some(memory_usage) = &self.memory_usage {
            metrics["reasons"] = self.driver.diagnostics().to_json();
            metrics["memory"] = memory_usage.to_json();
        }
        metrics
    }

    async fn reply(&self, line: &[u8]) -> String {
        match parse_command(line) {
            Err(problem) => format!("-ERR {problem}\n"),
            Ok(Command::Ping) if *self.ready.borrow() => "+OK ready\n".to_owned(),
            Ok(Command::Ping) => "-ERR not ready\n".to_owned(),
            Ok(Command::Detach(id)) => reply_line(self.driver.detach(id).await, "out of use"),
            Ok(Command::Attach(id)) => reply_line(self.driver.attach(id).await, "in use"),
            Ok(Command::Info) => format!("{}\n.\n", self.metrics_json()),
        }
    }
}

fn reply_line(result: Result<(), String>, what: &str) -> String {
    match result {
        Ok(()) => format!("+OK {what}\n"),
        Err(problem) => format!("-ERR {problem}\n"),
    }
}

/// Accepts connections and runs their commands for as long as the program runs.
pub async fn serve(listener: TcpListener, admin: Rc<Admin>) {
    let mut tasks = JoinSet::new();
    // Oldest first.
    let mut connections = VecDeque::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        loop {
            while tasks.try_join_next().is_some() {}
            connections.retain(|connection: &AdminConnection| !connection.task.is_finished());
            // A connection whose command is being carried out is not evicted: its operator would get no reply
            // while the state folder is slow.
            let oldest = connections.iter().find(|connection| !connection.is_reply_pending.get());
            match oldest {
                _ if connections.len() < MAX_CONNECTIONS => break,
                // Idle connections could otherwise occupy all slots and lock out an operator who has a
                // command to send.
                Some(oldest) if oldest.accepted_at.elapsed() >= EVICTABLE_AFTER => {
                    oldest.task.abort();
                    tokio::task::yield_now().await;
                }
                // Recently accepted connections may be about to send their command.
                _ => sleep(ACCEPT_BACKOFF).await,
            }
        }
        let (admin, is_reply_pending) = (Rc::clone(&admin), Rc::new(Cell::new(false)));
        let reply_pending = Rc::clone(&is_reply_pending);
        let task = tasks.spawn_local(async move {
            let _ = timeout(IO_TIMEOUT * 2, handle_connection(stream, &admin, &reply_pending)).await;
        });
        connections.push_back(AdminConnection { accepted_at: Instant::now(), is_reply_pending, task });
    }
}

/// An open connection.
struct AdminConnection {
    accepted_at: Instant,
    /// The command was received, and the reply has not been sent.
    is_reply_pending: Rc<Cell<bool>>,
    task: AbortHandle,
}

async fn handle_connection(
    mut stream: TcpStream,
    admin: &Admin,
    is_reply_pending: &Cell<bool>,
) -> std::io::Result<()> {
    let reply = match timeout(IO_TIMEOUT, read_line(&mut stream)).await {
        Ok(Ok(Some(line))) => {
            is_reply_pending.set(true);
            admin.reply(&line).await
        }
        Ok(Ok(None)) => format!("-ERR no line end within {MAX_LINE_LENGTH} bytes\n"),
        // The peer disconnected or sent no complete line in time: there is nothing to reply to.
        Ok(Err(_)) | Err(_) => return Ok(()),
    };
    is_reply_pending.set(false);
    stream.write_all(reply.as_bytes()).await?;
    stream.shutdown().await?;
    let mut remaining = (&mut stream).take(LINGER_MAX_BYTES as u64);
    let _ = timeout(LINGER_TIME, tokio::io::copy(&mut remaining, &mut tokio::io::sink())).await;
    Ok(())
}

/// Reads one line and strips its end; `None` if it is too long. Input that ends without a line feed is an
/// error.
async fn read_line(stream: &mut TcpStream) -> std::io::Result<Option<Vec<u8>>> {
    let mut line = Vec::with_capacity(64);
    while line.len() < MAX_LINE_LENGTH {
        if (&mut *stream).take((MAX_LINE_LENGTH - line.len()) as u64).read_buf(&mut line).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
            line.truncate(end);
            return Ok(Some(line));
        }
    }
    Ok(None)
}

#[cfg(test)]
mod tests;
