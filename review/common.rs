// Stand-ins for clients, order servers and discovery, and a starter for client proxies. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Start of the run; all times in the record are milliseconds since then.
pub fn start() -> Instant {
    static START: OnceLock<Instant> = OnceLock::new();
    *START.get_or_init(Instant::now)
}

pub fn now_ms() -> f64 {
    start().elapsed().as_secs_f64() * 1e3
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("clock before 1970").as_millis() as u64
}

/// Whether the disruption is played; `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of what was sent, answered and run.
pub struct Record(Mutex<Vec<(f64, String)>>);

impl Record {
    pub fn new() -> Arc<Record> {
        start();
        Arc::new(Record(Mutex::new(Vec::new())))
    }

    pub fn add(&self, line: impl Into<String>) {
        self.0.lock().unwrap().push((now_ms(), line.into()));
    }

    pub fn write(&self, path: &str) {
        let mut lines = self.0.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{at:10.1} {line}");
        }
        if let Err(error) = std::fs::write(path, text) {
            eprintln!("cannot write {path}: {error}");
        }
    }
}

/// An HTTP message: head lines and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from a connection, one after another.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    /// Bytes received so far.
    received: usize,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new(), received: 0 }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16384];
        match self.stream.read(&mut chunk)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            read => {
                self.buffer.extend_from_slice(&chunk[..read]);
                self.received += read;
                Ok(())
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// The next complete message. `is_response`: without a length it ends with the connection.
    pub fn message(&mut self, is_response: bool) -> io::Result<Message> {
        let mut message = Message { first: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else { break };
            message.headers.insert(name.trim().to_lowercase(), value.trim().to_owned());
        }
        if message.header("transfer-encoding").to_lowercase().contains("chunked") {
            loop {
                let size = self.line()?;
                let size = size.split(';').next().unwrap_or("").trim().to_owned();
                let size = usize::from_str_radix(&size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(message);
                }
                let chunk = self.take(size)?;
                message.body.extend_from_slice(&chunk);
                self.take(2)?;
            }
        }
        if let Ok(length) = message.header("content-length").parse::<usize>() {
            message.body = self.take(length)?;
        } else if is_response && message.status() == 200 {
            loop {
                match self.fill() {
                    Ok(()) => {}
                    Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => break,
                    Err(error) => return Err(error),
                }
            }
            message.body = std::mem::take(&mut self.buffer);
        }
        Ok(message)
    }
}

pub fn http_response(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Closes a connection by a reset.
pub fn reset(stream: &TcpStream) {
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    unsafe extern "C" {
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    }
    // SAFETY: `setsockopt` of the C library; SOL_SOCKET is 1 and SO_LINGER is 13 on Linux. Lingering for 0 s makes the
    // last close of the socket a reset.
    unsafe {
        setsockopt(std::os::fd::AsRawFd::as_raw_fd(stream), 1, 13, &Linger { on: 1, seconds: 0 }, 8);
    }
}

/// A listener on a free loopback port.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(&error.to_string()));
    let address = listener.local_addr().expect("no local address");
    (listener, address)
}

pub fn free_address() -> SocketAddr {
    listen().1
}

/// Ends the run: the case could not be played.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    finish(2);
}

/// Processes that still run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started, then this one.
pub fn finish(code: i32) -> ! {
    for id in RUNNING.lock().unwrap().drain(..) {
        let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
    }
    std::process::exit(code);
}

/// Ends the run if it takes longer than a script may.
pub fn limit_run() {
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(110));
        cannot_run("it takes too long");
    });
}

// ---------------------------------------------------------------------------------------------------------
// Order servers

/// Serves each connection on a thread of its own with `handler(connection number, stream)`.
pub fn serve(handler: impl Fn(usize, TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let (listener, address) = listen();
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let handler = Arc::clone(&handler);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handler(number, stream));
        }
    });
    address
}

// ---------------------------------------------------------------------------------------------------------
// Discovery

#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub kind: String,
    pub group: u32,
    pub status: String,
    pub since_ms: u64,
}

impl Entry {
    pub fn new(name: &str, address: SocketAddr, kind: &str, group: u32) -> Entry {
        let (name, kind, status) = (name.to_owned(), kind.to_owned(), "SERVING".to_owned());
        Entry { name, address, kind, group, status, since_ms: 0 }
    }

    fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"dc-utrecht\",\"type\":\"{}\",\"group\":{},\"status\":\"{}\",\"weight\":1.0,\"since_ms\":{}}}",
            self.name, self.address, self.kind, self.group, self.status, self.since_ms
        )
    }
}

struct List {
    index: u64,
    /// Each entry with the version of its last change.
    entries: Vec<(u64, Entry)>,
}

/// The service behind one or several discovery addresses.
pub struct Discovery {
    list: Mutex<List>,
    changed: Condvar,
    record: Arc<Record>,
}

impl Discovery {
    pub fn new(entries: Vec<Entry>, record: Arc<Record>) -> Arc<Discovery> {
        let entries = entries.into_iter().map(|entry| (41, entry)).collect();
        Arc::new(Discovery { list: Mutex::new(List { index: 41, entries }), changed: Condvar::new(), record })
    }

    /// The whole list in discovery's form.
    pub fn known(&self) -> String {
        Discovery::body(&self.list.lock().unwrap(), None)
    }

    fn body(list: &List, after: Option<u64>) -> String {
        let entries = list.entries.iter().filter(|(version, entry)| match after {
            Some(after) => *version > after,
            None => entry.status != "DELETED",
        });
        let entries: Vec<String> = entries.map(|(_, entry)| entry.json()).collect();
        format!(
            "{{\"index\":{},\"snapshot\":{},\"endpoints\":[{}]}}",
            list.index,
            after.is_none(),
            entries.join(",")
        )
    }

    /// Changes the entry with this name, or adds it.
    pub fn set(&self, entry: Entry) {
        let mut list = self.list.lock().unwrap();
        list.index += 1;
        let index = list.index;
        self.record.add(format!("discovery: version {index}: {} is {}", entry.name, entry.status));
        match list.entries.iter_mut().find(|(_, known)| known.name == entry.name) {
            Some(known) => *known = (index, entry),
            None => list.entries.push((index, entry)),
        }
        self.changed.notify_all();
    }

    /// Opens an address at which this discovery answers.
    pub fn open(self: &Arc<Self>, label: &str) -> DiscoveryAddress {
        let (listener, address) = listen();
        let open = Arc::new(Mutex::new((true, Vec::<TcpStream>::new())));
        let (discovery, state, label) = (Arc::clone(self), Arc::clone(&open), label.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                {
                    let mut state = state.lock().unwrap();
                    if !state.0 {
                        break; // and the listener closes
                    }
                    state.1.push(stream.try_clone().expect("cannot clone"));
                }
                let (discovery, label) = (Arc::clone(&discovery), label.clone());
                thread::spawn(move || discovery.answer(&label, stream));
            }
        });
        DiscoveryAddress { address, open }
    }

    fn answer(&self, label: &str, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("cannot clone");
        let mut reader = Reader::new(stream);
        while let Ok(call) = reader.message(false) {
            let path = call.first.split(' ').nth(1).unwrap_or("").to_owned();
            let number = |name: &str| -> Option<u64> {
                let query = path.split_once('?')?.1;
                query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
            };
            let after = number("after");
            let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0).min(60_000));
            let body = {
                let mut list = self.list.lock().unwrap();
                if let Some(after) = after {
                    while list.index <= after && Instant::now() < until {
                        let left = until.saturating_duration_since(Instant::now());
                        list = self.changed.wait_timeout(list, left).unwrap().0;
                    }
                }
                Discovery::body(&list, after)
            };
            if writer.write_all(http_response("200 OK", "Content-Type: application/json\r\n", &body).as_bytes()).is_err() {
                return;
            }
            let entries = body.matches("\"name\"").count();
            if after.is_none() || entries > 0 {
                self.record.add(format!("discovery {label}: {path} answered with {entries} entries"));
            }
        }
    }
}

pub struct DiscoveryAddress {
    pub address: SocketAddr,
    open: Arc<Mutex<(bool, Vec<TcpStream>)>>,
}

impl DiscoveryAddress {
    /// Takes no new connections from now on.
    pub fn refuse(&self) {
        self.open.lock().unwrap().0 = false;
        drop(TcpStream::connect(self.address)); // wakes the accept loop, which then closes the listener
        let until = Instant::now() + Duration::from_secs(1);
        while TcpStream::connect(self.address).is_ok() && Instant::now() < until {
            sleep_ms(5);
        }
    }

    /// Closes the open connections.
    pub fn close(&self) {
        for stream in self.open.lock().unwrap().1.drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

// ---------------------------------------------------------------------------------------------------------
// Client proxies

/// Settings of a small deployment, in the form of the simulator's first message.
pub fn settings(me: u32, balancers: u32) -> String {
    let text = r#"{"balancers": BALANCERS,
 "callers": {"marksRetry": true},
 "classes": [{"aim": 300.0, "hardLimit": 750.0, "keyScope": "cell", "keyTtl": 500.0, "lateWorth": 0.0, "name": "reservering", "points": 8.0, "semantics": "keyed", "streamed": false}, {"aim": 400.0, "hardLimit": 800.0, "keyScope": "all", "keyTtl": 5000.0, "lateWorth": 0.0, "name": "bestelling", "points": 24.0, "semantics": "unsafe", "streamed": false}],
 "contract": {"askWithin": 10000.0, "cold": 20000.0, "coldFrom": 0.12, "drainGrace": 1500.0, "fall": 1000.0, "fallMultiple": 4.0, "graceToAnswer": 20.0},
 "countedBy": "request", "customers": [], "discovery": "subscribe", "family": "mesh", "familyInfo": {"warmKeys": false},
 "goal": {"whole": 0.55, "worstClass": 0.35, "worstTenant": 0.0, "worstWindow": 0.1},
 "kinds": ["snel", "middel", "traag"], "layers": ["orderservers"],
 "limits": {"attemptsCap": 3, "cancelling": true, "connIdle": 30000.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 10000, "dialTimeout": 150.0, "maxOpen": 25000, "maxRetryAfter": 400.0, "maxStreams": 1, "peerMessages": false, "probes": true, "retryAfter": true, "secondCopies": false},
 "me": ME, "overShareWorth": 0.1,
 "prices": {"connection": 0.0, "crossZone": 0.0, "discovery": 0.0, "handshake": 0.0, "lateFail": 0.05, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.1},
 "report": {"fields": ["utilization"], "how": "answers"},
 "tick": 5.0, "tier": 0, "weights": "none", "zone": 0, "zones": ["dc-utrecht"]}"#;
    text.replace("BALANCERS", &balancers.to_string()).replace("ME", &me.to_string())
}

/// What a client proxy is told.
#[derive(Clone)]
pub struct Proxy {
    pub name: String,
    pub listen: SocketAddr,
    pub admin: Option<SocketAddr>,
    /// Value of `$GW_DISCOVERY`.
    pub discovery: SocketAddr,
    /// The same in the file.
    pub discovery_in_file: SocketAddr,
    pub known: String,
    pub settings: String,
    pub folder: PathBuf,
    pub seed: String,
    pub memory_mb: u32,
    pub sockets: u32,
    /// The clients' listening socket, if the platform holds it.
    pub inherited: Option<Arc<TcpListener>>,
}

impl Proxy {
    pub fn new(name: &str, discovery: SocketAddr, known: String, settings: String) -> Proxy {
        let folder = temporary_folder().join(name);
        std::fs::create_dir_all(folder.join("tmp")).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let (listen, name) = (free_address(), name.to_owned());
        Proxy {
            name,
            listen,
            admin: None,
            discovery,
            discovery_in_file: discovery,
            known,
            settings,
            folder,
            seed: "8c1f30d27a5be964".to_owned(),
            memory_mb: 192,
            sockets: 1024,
            inherited: None,
        }
    }

    pub fn write_config(&self) {
        let admin = self.admin.map_or(String::new(), |admin| format!("\"admin_addr\":\"{admin}\","));
        let text = format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{}\",{admin}\"seed\":\"{}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\"settings\":{}}}",
            self.name, self.listen, self.discovery_in_file, self.seed, self.memory_mb, self.sockets, self.known, self.settings
        );
        let path = self.folder.join("config.json");
        std::fs::write(&path, text).unwrap_or_else(|error| cannot_run(&error.to_string()));
    }

    /// Starts a process by `run` of the deploy file.
    pub fn start(&self) -> Process {
        self.write_config();
        self.start_process("log")
    }

    pub fn start_process(&self, log: &str) -> Process {
        let run = std::env::var("RUN").unwrap_or_else(|_| cannot_run("RUN is not set"));
        let log = std::fs::File::create(self.folder.join(log)).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let mut command = Command::new("/bin/sh");
        command.stdin(Stdio::null());
        let run = match &self.inherited {
            // The platform passes the socket as descriptor 4; here it goes through standard input.
            Some(listener) => {
                let listener = listener.try_clone().expect("cannot clone");
                command.stdin(Stdio::from(std::os::fd::OwnedFd::from(listener))).env("GW_INHERITED_FD", "4");
                format!("exec 4<&0 0</dev/null; {run}")
            }
            None => run,
        };
        command.arg("-c").arg(run);
        command.env("GW_NAME", &self.name).env("GW_LISTEN", self.listen.to_string());
        command.env("GW_DISCOVERY", self.discovery.to_string());
        command.env("GW_CONFIG", self.folder.join("config.json")).env("TMPDIR", self.folder.join("tmp"));
        if let Some(admin) = self.admin {
            command.env("GW_ADMIN_ADDR", admin.to_string());
        }
        command.stdout(log.try_clone().expect("cannot clone")).stderr(log);
        let child = command.spawn().unwrap_or_else(|error| cannot_run(&error.to_string()));
        RUNNING.lock().unwrap().push(child.id());
        // For the script, which ends what is left if this program itself is killed.
        let list = std::fs::OpenOptions::new().create(true).append(true).open(temporary_folder().join("processes"));
        let written = list.and_then(|mut list| writeln!(list, "{}", child.id()));
        written.unwrap_or_else(|error| cannot_run(&error.to_string()));
        Process { child }
    }

    /// Waits until `GET /ready` answers 200.
    pub fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if let Ok(mut stream) = TcpStream::connect(self.listen) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                let _ = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n");
                if Reader::new(stream).message(true).is_ok_and(|answer| answer.status() == 200) {
                    return;
                }
            }
            sleep_ms(20);
        }
        cannot_run("the client proxy is not ready after 30 s");
    }
}

/// One command to the admin address.
pub fn admin(address: SocketAddr, command: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    stream.write_all(format!("{command}\n").as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer.trim().to_owned())
}

pub fn temporary_folder() -> PathBuf {
    let folder = std::env::var("CASE_TMP").unwrap_or_else(|_| cannot_run("CASE_TMP is not set"));
    PathBuf::from(folder)
}

/// A process that ends with this value.
pub struct Process {
    pub child: Child,
}

impl Process {
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").arg(signal).arg(self.id().to_string()).status();
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let id = self.id();
        RUNNING.lock().unwrap().retain(|running| *running != id);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// ---------------------------------------------------------------------------------------------------------
// Clients

/// A request in the form of the protocol page.
#[derive(Clone)]
pub struct Request {
    pub class: &'static str,
    pub txn: String,
    pub remaining_ms: u64,
    pub key: Option<String>,
    pub body: String,
}

impl Request {
    pub fn bestelling(txn: &str) -> Request {
        Request { class: "bestelling", txn: txn.to_owned(), remaining_ms: 800, key: None, body: format!("order {txn}") }
    }

    pub fn reservering(txn: &str) -> Request {
        Request {
            class: "reservering",
            txn: txn.to_owned(),
            remaining_ms: 750,
            key: Some(format!("key-{txn}")),
            body: format!("reservation {txn}"),
        }
    }

    pub fn text(&self) -> String {
        let key = self.key.as_ref().map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
        format!(
            "POST /{} HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {}\r\nX-Lane: {}\r\nX-Remaining-Ms: {}\r\n{key}Content-Length: {}\r\n\r\n{}",
            self.class, self.txn, self.class, self.remaining_ms, self.body.len(), self.body
        )
    }
}

/// A client connection, opened when needed.
pub struct Client {
    pub proxy: SocketAddr,
    /// Whether a request is sent once more if the end of a resting connection crosses it.
    pub resends: bool,
    reader: Option<Reader>,
}

pub enum Answer {
    Complete(Message),
    /// The connection ended or broke before the whole answer.
    Broken(String),
    /// Nothing whole until the time given.
    Late,
}

impl Client {
    pub fn new(proxy: SocketAddr) -> Client {
        Client { proxy, resends: true, reader: None }
    }

    /// Sends a request and waits for the whole answer until `patience` has passed, then closes.
    pub fn send(&mut self, request: &Request, patience: Duration) -> Answer {
        let until = Instant::now() + patience;
        let mut is_fresh = false;
        let mut reader = match self.reader.take() {
            Some(reader) => reader,
            None => {
                is_fresh = true;
                match TcpStream::connect(self.proxy) {
                    Ok(stream) => {
                        let _ = stream.set_nodelay(true);
                        Reader::new(stream)
                    }
                    Err(error) => return Answer::Broken(format!("connect: {error}")),
                }
            }
        };
        if let Err(error) = reader.stream.write_all(request.text().as_bytes()) {
            return if is_fresh || !self.resends { Answer::Broken(error.to_string()) } else { self.send(request, patience) };
        }
        let _ = reader.stream.set_read_timeout(Some(until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1))));
        let received_before = reader.received;
        match read_until(&mut reader, until) {
            Ok(answer) => {
                if !answer.header("connection").eq_ignore_ascii_case("close") {
                    self.reader = Some(reader);
                }
                Answer::Complete(answer)
            }
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => Answer::Late,
            // The close of a resting connection crossed the request: once more on a new one.
            Err(_) if !is_fresh && !self.resends && reader.received == received_before => {
                Answer::Broken("closed without a byte of an answer".to_owned())
            }
            Err(_) if !is_fresh && reader.received == received_before => self.send(request, until.saturating_duration_since(Instant::now())),
            Err(error) => Answer::Broken(error.to_string()),
        }
    }
}

/// Reads one answer; the time-out holds for the whole of it.
fn read_until(reader: &mut Reader, until: Instant) -> io::Result<Message> {
    let stream = reader.stream.try_clone()?;
    let done = Arc::new((Mutex::new(false), Condvar::new()));
    let timer = Arc::clone(&done);
    let late = Arc::new(Mutex::new(false));
    let is_late = Arc::clone(&late);
    let watchdog = thread::spawn(move || {
        let mut done = timer.0.lock().unwrap();
        while !*done && Instant::now() < until {
            done = timer.1.wait_timeout(done, until.saturating_duration_since(Instant::now())).unwrap().0;
        }
        if !*done {
            *is_late.lock().unwrap() = true;
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    });
    let _ = reader.stream.set_read_timeout(None);
    let result = reader.message(true);
    *done.0.lock().unwrap() = true;
    done.1.notify_all();
    let _ = watchdog.join();
    if *late.lock().unwrap() { Err(io::ErrorKind::TimedOut.into()) } else { result }
}
