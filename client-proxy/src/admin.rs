//! The operators' address: one line to a connection, one answer, then it closes. Nothing is decided here.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, sleep, timeout};

use crate::driver::Driver;

/// Callers that may be connected at once; descriptors for so many are kept apart from those of clients and
/// endpoints.
const MAX_CONNECTIONS: usize = 16;
/// What the listener and all callers hold, with one that is just let in and one that is just let go.
pub const MAX_DESCRIPTORS: usize = MAX_CONNECTIONS + 3;
/// The longest line that is read. Far longer than any call.
const MAX_LINE_LENGTH: usize = 512;
/// How long a caller may take for its line, and as long again for its answer.
const IO_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Where all places are taken, one that has held its place for so long gives it up to the next.
const EVICTABLE_AFTER: Duration = Duration::from_millis(100);
/// How long and how much is still read of one that goes on after its line, lest the close take its answer
/// away.
const LINGER_TIME: Duration = Duration::from_millis(200);
const LINGER_MAX_BYTES: usize = 64 * 1024;
/// A pause of the accept loop where the system has no more descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// What the calls are answered from.
pub struct Admin {
    /// Counts, and takes what is said of endpoints to the decisions.
    pub driver: Rc<Driver>,
    /// Turns true once there are endpoints to send to.
    pub ready: watch::Receiver<bool>,
}

/// A call that was understood.
#[derive(Debug, PartialEq)]
enum Command<'l> {
    Ping,
    Info,
    Detach(&'l str),
    Attach(&'l str),
}

/// Reads a call. Words are parted by blanks; the names of calls are in capitals.
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
    async fn reply(&self, line: &[u8]) -> String {
        match parse_command(line) {
            Err(problem) => format!("-ERR {problem}\n"),
            Ok(Command::Ping) if *self.ready.borrow() => "+OK ready\n".to_owned(),
            Ok(Command::Ping) => "-ERR not ready\n".to_owned(),
            Ok(Command::Detach(id)) => reply_line(self.driver.detach(id).await, "out of use"),
            Ok(Command::Attach(id)) => reply_line(self.driver.attach(id).await, "in use"),
            Ok(Command::Info) => format!("{}\n.\n", self.driver.metrics_json()),
        }
    }
}

fn reply_line(result: Result<(), String>, what: &str) -> String {
    match result {
        Ok(()) => format!("+OK {what}\n"),
        Err(problem) => format!("-ERR {problem}\n"),
    }
}

/// Answers calls for as long as the program runs.
pub async fn serve(listener: TcpListener, admin: Rc<Admin>) {
    let mut tasks = JoinSet::new();
    // The longest first.
    let mut connections = VecDeque::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        loop {
            while tasks.try_join_next().is_some() {}
            connections.retain(|connection: &AdminConnection| !connection.task.is_finished());
            // Guards against an operator that is owed an answer and loses its place while the folder is slow.
            let oldest = connections.iter().find(|connection| !connection.is_reply_pending.get());
            match oldest {
                _ if connections.len() < MAX_CONNECTIONS => break,
                // Guards against callers that hold all places: whoever asks must not wait for those that do
                // not.
                Some(oldest) if oldest.accepted_at.elapsed() >= EVICTABLE_AFTER => {
                    oldest.task.abort();
                    tokio::task::yield_now().await;
                }
                // Those that have just come may only be about to ask.
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

/// A caller that has a place.
struct AdminConnection {
    accepted_at: Instant,
    /// Its call has come, and its answer has not gone out.
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
        // One that broke off or never came to an end hears nothing more.
        Ok(Err(_)) | Err(_) => return Ok(()),
    };
    is_reply_pending.set(false);
    stream.write_all(reply.as_bytes()).await?;
    stream.shutdown().await?;
    let mut remaining = (&mut stream).take(LINGER_MAX_BYTES as u64);
    let _ = timeout(LINGER_TIME, tokio::io::copy(&mut remaining, &mut tokio::io::sink())).await;
    Ok(())
}

/// One line without its end; `None` where it is too long. What ends without a line end is no line.
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
