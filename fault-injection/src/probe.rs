//! Test program: makes the calls named by its arguments in order, and prints the result of each: `ok` with a
//! number, or `error` with the error number. Without injected faults all calls succeed.

use std::fs::{self, File, OpenOptions};
use std::io::{self, IoSlice, IoSliceMut, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Bytes of each transfer, more than the `short` of any rule in the tests.
const TRANSFER_BYTES: usize = 16;
/// Timeout of a wait for an event. Without the event, the probe reports fewer events instead of blocking.
const NOTIFICATION_TIMEOUT_MS: i32 = 5000;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let Some(directory) = arguments.next().map(PathBuf::from) else { return ExitCode::from(2) };
    for call in arguments {
        match perform(&call, &directory) {
            Ok(number) => println!("{call}: ok {number}"),
            Err(error) => println!("{call}: error {}", error.raw_os_error().unwrap_or(0)),
        }
    }
    ExitCode::SUCCESS
}

fn perform(call: &str, directory: &Path) -> io::Result<u128> {
    let (call, name) = call.split_once(':').unwrap_or((call, "file"));
    let path = directory.join(name);
    let file = || OpenOptions::new().create(true).read(true).append(true).open(&path);
    let transferred = |length: usize| length as u128;
    match call {
        "socket" => TcpListener::bind("127.0.0.1:0").map(|_| 0),
        "connect" => connected_pair().map(|_| 0),
        "accept4" => connected_pair().map(|_| 0),
        "send" => connected_pair()?.0.write(&[0; TRANSFER_BYTES]).map(transferred),
        "sendmsg" => connected_pair()?
            .0
            .write_vectored(&[IoSlice::new(&[]), IoSlice::new(&[0; TRANSFER_BYTES])])
            .map(transferred),
        "recv" => readable_stream()?.read(&mut [0; TRANSFER_BYTES]).map(transferred),
        "readv" => readable_stream()?
            .read_vectored(&mut [IoSliceMut::new(&mut [0; 8]), IoSliceMut::new(&mut [0; 8])])
            .map(transferred),
        "again" => read_in_two_parts(),
        "write" => file()?.write(&[0; TRANSFER_BYTES]).map(transferred),
        "read" => {
            fs::write(&path, [0; TRANSFER_BYTES])?;
            File::open(&path)?.read(&mut [0; TRANSFER_BYTES]).map(transferred)
        }
        "open" => file().map(|_| 0),
        "fsync" => file()?.sync_all().map(|()| 0),
        "fdatasync" => file()?.sync_data().map(|()| 0),
        "rename" => {
            fs::write(&path, "")?;
            fs::rename(&path, directory.join("renamed")).map(|()| 0)
        }
        "flock" => file()?.lock().map(|()| 0),
        "epoll_wait" => Epoll::new()?.wait(0),
        "sleep" => {
            std::thread::sleep(Duration::from_millis(20));
            Ok(0)
        }
        "realtime" => Ok(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()),
        "monotonic" => {
            let started = Instant::now();
            let _ = SystemTime::now();
            Ok(started.elapsed().as_millis())
        }
        _ => Err(io::ErrorKind::Unsupported.into()),
    }
}

fn connected_pair() -> io::Result<(TcpStream, TcpStream)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let client = TcpStream::connect(listener.local_addr()?)?;
    Ok((client, listener.accept()?.0))
}

/// A connection with `TRANSFER_BYTES` bytes to read.
fn readable_stream() -> io::Result<TcpStream> {
    let (client, mut server) = connected_pair()?;
    server.write_all(&[0; TRANSFER_BYTES])?;
    Ok(client)
}

/// Reads once, then waits for an event about the unread bytes. Returns the number of events, 2 if both came.
fn read_in_two_parts() -> io::Result<u128> {
    let mut client = readable_stream()?;
    client.set_nonblocking(true)?;
    let epoll = Epoll::new()?;
    epoll.watch(&client)?;
    let first = epoll.wait(NOTIFICATION_TIMEOUT_MS)?;
    let _ = client.read(&mut [0; TRANSFER_BYTES])?;
    Ok(first + epoll.wait(NOTIFICATION_TIMEOUT_MS)?)
}

struct Epoll(i32);

impl Epoll {
    fn new() -> io::Result<Epoll> {
        // SAFETY: the call has no preconditions.
        check_result(unsafe { libc::epoll_create1(libc::EPOLL_CLOEXEC) }).map(Epoll)
    }

    fn watch(&self, stream: &TcpStream) -> io::Result<i32> {
        let mut event = libc::epoll_event { events: (libc::EPOLLIN | libc::EPOLLET) as u32, u64: 0 };
        // SAFETY: the event lives until the call returns.
        check_result(unsafe {
            libc::epoll_ctl(self.0, libc::EPOLL_CTL_ADD, stream.as_raw_fd(), &raw mut event)
        })
    }

    /// Waits for an event and returns the number of events, 0 or 1.
    fn wait(&self, timeout_ms: i32) -> io::Result<u128> {
        let mut event = libc::epoll_event { events: 0, u64: 0 };
        // SAFETY: the buffer has space for the one event requested.
        let count = check_result(unsafe { libc::epoll_wait(self.0, &raw mut event, 1, timeout_ms) })?;
        Ok(u128::from(count.unsigned_abs()))
    }
}

fn check_result(result: i32) -> io::Result<i32> {
    if result < 0 { Err(io::Error::last_os_error()) } else { Ok(result) }
}
