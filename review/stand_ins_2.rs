//! What the cases 7 to 10 share: the client proxy as a process, and small stand-ins for the platform, the order
//! servers and the clients. They use the standard library alone. Each case includes this file as a module.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// No case runs for longer than this.
const TIME_LIMIT: Duration = Duration::from_secs(110);

static CASE: OnceLock<Case> = OnceLock::new();
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Start time, record and temporary folder of the case.
struct Case {
    started: Instant,
    record: Mutex<File>,
    folder: PathBuf,
}

fn case() -> &'static Case {
    CASE.get().expect("the case was not started")
}

/// Whether the disruption is to be played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Runs a case: `play` returns whether the rule held, or why the case could not be played.
pub fn run(play: impl FnOnce() -> Result<bool, String>) -> ! {
    let record = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
    // The script makes the folder, ends what is left of the processes listed there, and removes it.
    let folder = std::env::var("CASE_TMP").map_or_else(|_| std::env::temp_dir(), PathBuf::from);
    let started = Instant::now();
    let made = std::fs::create_dir_all(&folder).and_then(|()| File::create(&record));
    let Ok(record) = made else {
        eprintln!("cannot write {record} or {}", folder.display());
        std::process::exit(NOT_RUN);
    };
    let _ = CASE.set(Case { started, record: Mutex::new(record), folder });
    std::panic::set_hook(Box::new(|panic| {
        note(&format!("the case itself failed: {panic}"));
        end(NOT_RUN);
    }));
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        note("the case took too long");
        end(NOT_RUN);
    });
    note(&format!("TROUBLE={}", i32::from(trouble())));
    let code = match play() {
        Ok(true) => {
            note("RESULT: the rule held");
            HELD
        }
        Ok(false) => {
            note("RESULT: the rule was broken");
            BROKEN
        }
        Err(reason) => {
            note(&format!("RESULT: the case could not run: {reason}"));
            NOT_RUN
        }
    };
    end(code)
}

/// Ends all processes that the case started, then the case.
fn end(code: i32) -> ! {
    for pid in CHILDREN.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).drain(..) {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -KILL {pid} 2>/dev/null")).status();
    }
    std::process::exit(code)
}

/// Milliseconds since the case began.
pub fn now_ms() -> f64 {
    case().started.elapsed().as_secs_f64() * 1e3
}

/// Writes a line to the record, with the time since the case began.
pub fn note(line: &str) {
    if let Some(case) = CASE.get() {
        let text = format!("{:9.1} {line}\n", case.started.elapsed().as_secs_f64() * 1e3);
        let mut record = case.record.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = record.write_all(text.as_bytes());
        print!("{}", if line.starts_with("RESULT") || line.starts_with("CHECK") { &text } else { "" });
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Waits until `condition` holds, for `ms` milliseconds at most.
pub fn wait_until(ms: u64, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + Duration::from_millis(ms);
    while Instant::now() < until {
        if condition() {
            return true;
        }
        sleep_ms(2);
    }
    condition()
}

/// A loopback listener on a free port.
pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("no free loopback port")
}

fn local(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("no local address")
}

// ---------------------------------------------------------------------------------------------------------
// HTTP

/// A message: its first line, its headers in lower case, its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the end of the body was seen.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).trim().to_owned()
    }
}

/// A connection with a read buffer.
pub struct Http {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Http {
    pub fn new(stream: TcpStream) -> Http {
        let _ = stream.set_nodelay(true);
        Http { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Http> {
        Ok(Http::new(TcpStream::connect_timeout(&address, Duration::from_secs(5))?))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads more; `Ok(0)` at the end of the stream, an error of kind `TimedOut` at `until`.
    fn fill(&mut self, until: Option<Instant>) -> io::Result<usize> {
        let left = until.map(|until| until.saturating_duration_since(Instant::now()));
        if left.is_some_and(|left| left.is_zero()) {
            return Err(ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(left)?;
        let mut chunk = [0; 16 * 1024];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(read) => {
                    self.buffer.extend_from_slice(&chunk[..read]);
                    return Ok(read);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Err(ErrorKind::TimedOut.into()),
                Err(error) => return Err(error),
            }
        }
    }

    fn line(&mut self, until: Option<Instant>) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill(until)? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a message. One whose head came, but not its whole body, is returned as not complete.
    pub fn read(&mut self, until: Option<Instant>) -> io::Result<Message> {
        let mut message = Message { first_line: self.line(until)?, ..Message::default() };
        loop {
            let line = self.line(until)?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
        }
        message.complete = self.read_body(&mut message, until).is_ok();
        Ok(message)
    }

    fn read_body(&mut self, message: &mut Message, until: Option<Instant>) -> io::Result<()> {
        if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let line = self.line(until)?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
                let size = size.map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
                self.take(size, &mut message.body, until)?;
                // After the last chunk trailers could follow; the stand-ins and the proxy send none.
                if !self.line(until)?.is_empty() {
                    return Err(ErrorKind::InvalidData.into());
                }
                if size == 0 {
                    return Ok(());
                }
            }
        }
        let length = message.header("content-length").parse().unwrap_or(0);
        self.take(length, &mut message.body, until)
    }

    fn take(&mut self, mut length: usize, body: &mut Vec<u8>, until: Option<Instant>) -> io::Result<()> {
        while length > 0 {
            let part = self.buffer.len().min(length);
            body.extend(self.buffer.drain(..part));
            length -= part;
            if length > 0 && self.fill(until)? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(())
    }
}

/// A response with a body.
pub fn response(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

// ---------------------------------------------------------------------------------------------------------
// Order servers

/// One attempt as an order server saw it: complete requests only.
#[derive(Clone, Debug)]
pub struct Seen {
    /// When the first and the last byte arrived, in milliseconds of the case.
    pub first_byte_ms: f64,
    pub at_ms: f64,
    pub server: String,
    pub id: String,
    pub key: String,
}

pub type Log = Arc<Mutex<Vec<Seen>>>;

/// Answers one request on a connection. Returns whether the connection stays open.
pub type Handler = Arc<dyn Fn(&Message, &mut Http) -> bool + Send + Sync>;

pub struct OrderServer {
    pub name: String,
    pub address: SocketAddr,
}

/// Starts an order server. It notes each request when its last byte has arrived, and then runs `handler`.
pub fn order_server(name: &str, log: &Log, handler: Handler) -> OrderServer {
    let listener = listener();
    let address = local(&listener);
    let (owned, log) = (name.to_owned(), Arc::clone(log));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, log, handler) = (owned.clone(), Arc::clone(&log), Arc::clone(&handler));
            thread::spawn(move || serve_orders(&name, &log, &handler, Http::new(stream)));
        }
    });
    OrderServer { name: name.to_owned(), address }
}

fn serve_orders(name: &str, log: &Log, handler: &Handler, mut http: Http) {
    loop {
        // An idle connection is closed after the time in the settings.
        let idle_until = Instant::now() + Duration::from_millis(CONN_IDLE_MS);
        if http.buffer.is_empty() && !http.fill(Some(idle_until)).is_ok_and(|read| read > 0) {
            return;
        }
        let first_byte_ms = now_ms();
        let Ok(request) = http.read(Some(idle_until)) else { return };
        if !request.complete {
            return;
        }
        let (id, key) = (request.header("x-txn").to_owned(), request.header("idempotency-key").to_owned());
        note(&format!("server {name} got {} id {id} key {key}", request.first_line));
        let at_ms = now_ms();
        let seen = Seen { first_byte_ms, at_ms, server: name.to_owned(), id, key };
        log.lock().expect("lock").push(seen);
        if !handler(&request, &mut http) {
            return;
        }
    }
}

/// Works for a while, then answers 200 with a body that names the request.
pub fn answers_after(ms: u64) -> Handler {
    Arc::new(move |request, http| {
        sleep_ms(ms);
        http.write(response("200 OK", "", &served_body(request)).as_bytes()).is_ok()
    })
}

/// The body of the answer to this request.
pub fn served_body(request: &Message) -> String {
    format!("answer to {}\n", request.header("x-txn"))
}

// ---------------------------------------------------------------------------------------------------------
// Discovery

#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub group: u32,
    pub status: &'static str,
    changed_at: u64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"dc-utrecht","type":"middel","group":{},"status":"{}","weight":1.0,"since_ms":0}}"#,
            self.name, self.address, self.group, self.status
        )
    }
}

/// What one listening address of discovery does.
#[derive(Default)]
pub struct Door {
    /// Closed at this time of the case in ms: no new connection is answered, open ones end.
    closes_at_ms: AtomicU64,
    /// Refuses new connections from now on.
    shut: AtomicBool,
}

/// One discovery service for all client proxies, at one or more addresses.
#[derive(Clone)]
pub struct Discovery {
    list: Arc<(Mutex<(u64, Vec<Entry>)>, Condvar)>,
    /// Time that each call takes before it is looked at.
    pub call_ms: Arc<AtomicU64>,
    /// Says nothing on any connection.
    pub silent: Arc<AtomicBool>,
    /// The number of calls that were answered.
    pub answered: Arc<AtomicU64>,
}

impl Discovery {
    pub fn new(servers: &[OrderServer]) -> Discovery {
        let entry = |(n, server): (usize, &OrderServer)| Entry {
            name: server.name.clone(),
            address: server.address,
            group: n as u32 / 3,
            status: "SERVING",
            changed_at: 41,
        };
        let entries = servers.iter().enumerate().map(entry).collect();
        Discovery {
            list: Arc::new((Mutex::new((41, entries)), Condvar::new())),
            call_ms: Arc::default(),
            silent: Arc::default(),
            answered: Arc::default(),
        }
    }

    /// The whole list, as the configuration gives it.
    pub fn whole(&self) -> String {
        let list = self.list.0.lock().expect("lock");
        list_json(list.0, true, list.1.iter())
    }

    /// An order server begins to drain.
    pub fn drain(&self, name: &str) {
        let mut list = self.list.0.lock().expect("lock");
        list.0 += 1;
        let index = list.0;
        for entry in list.1.iter_mut().filter(|entry| entry.name == name) {
            (entry.status, entry.changed_at) = ("DRAINING", index);
        }
        note(&format!("discovery: {name} drains, version {index}"));
        self.list.1.notify_all();
    }

    /// Opens an address where this discovery is asked.
    pub fn open(&self) -> (SocketAddr, Arc<Door>) {
        let (listener, door) = (listener(), Arc::new(Door::default()));
        let address = local(&listener);
        listener.set_nonblocking(true).expect("nonblocking");
        let (discovery, held) = (self.clone(), Arc::clone(&door));
        thread::spawn(move || {
            while !held.shut.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let (discovery, held) = (discovery.clone(), Arc::clone(&held));
                        thread::spawn(move || discovery.serve(Http::new(stream), &held, address));
                    }
                    Err(_) => sleep_ms(1),
                }
            }
        });
        (address, door)
    }

    fn serve(&self, mut http: Http, door: &Door, address: SocketAddr) {
        // Ends the connection when the address is closed.
        let closer = http.stream.try_clone().expect("clone");
        let done = Arc::new(AtomicBool::new(false));
        let watch_door = |at: u64| at > 0 && now_ms() >= at as f64;
        thread::scope(|scope| {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    if watch_door(door.closes_at_ms.load(Ordering::Relaxed)) {
                        let _ = closer.shutdown(std::net::Shutdown::Both);
                    }
                    sleep_ms(5);
                }
            });
            while let Ok(request) = http.read(None) {
                if !self.answer(&request, &mut http, door, address) {
                    break;
                }
            }
            done.store(true, Ordering::Relaxed);
        });
    }

    fn answer(&self, request: &Message, http: &mut Http, door: &Door, address: SocketAddr) -> bool {
        let path = request.first_line.split(' ').nth(1).unwrap_or("");
        let query = path.split_once('?').map_or("", |(_, query)| query);
        let field = |name: &str| {
            query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name)
        };
        let after: Option<u64> = field("after").and_then(|(_, value)| value.parse().ok());
        let wait_ms: u64 = field("wait_ms").and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
        note(&format!("discovery at {address}: call {path}"));
        let silent = || {
            while self.silent.load(Ordering::Relaxed) {
                sleep_ms(5);
            }
        };
        silent();
        sleep_ms(self.call_ms.load(Ordering::Relaxed));
        let until = Instant::now() + Duration::from_millis(wait_ms.min(60_000));
        let mut list = self.list.0.lock().expect("lock");
        while after.is_some_and(|after| list.0 <= after) && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now()).min(Duration::from_millis(20));
            list = self.list.1.wait_timeout(list, left).expect("lock").0;
        }
        let body = match after {
            None => list_json(list.0, true, list.1.iter()),
            Some(after) => list_json(list.0, false, list.1.iter().filter(|entry| entry.changed_at > after)),
        };
        let index = list.0;
        drop(list);
        silent();
        let closed = door.closes_at_ms.load(Ordering::Relaxed);
        if closed > 0 && now_ms() >= closed as f64 {
            return false;
        }
        self.answered.fetch_add(1, Ordering::Relaxed);
        let written = http.write(response("200 OK", "Content-Type: application/json\r\n", &body).as_bytes());
        note(&format!("discovery at {address}: answers version {index} ({} bytes)", body.len()));
        written.is_ok()
    }
}

impl Door {
    /// No new connections from now on; open ones end after `ms`.
    pub fn close_after(&self, ms: u64) {
        self.shut.store(true, Ordering::Relaxed);
        self.closes_at_ms.store(now_ms() as u64 + ms, Ordering::Relaxed);
    }
}

fn list_json<'a>(index: u64, snapshot: bool, entries: impl Iterator<Item = &'a Entry>) -> String {
    let entries: Vec<String> = entries.map(Entry::json).collect();
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

// ---------------------------------------------------------------------------------------------------------
// The client proxy

/// Seed of the first client proxy that a case starts; each start has a new one.
const FIRST_SEED: u64 = 0x8c1f_30d2_7a5b_e900;
static STARTS: AtomicU64 = AtomicU64::new(0);

pub const CONN_IDLE_MS: u64 = 30_000;

/// What a case sets; the rest of the settings is that of the example in WIRE.
pub struct ProxyConfig {
    pub discovery: SocketAddr,
    pub discovery_mode: &'static str,
    pub known: String,
    pub sockets: usize,
    pub memory_mb: usize,
}

pub struct Proxy {
    pub address: SocketAddr,
    config_path: PathBuf,
    config: ProxyConfig,
    child: Child,
}

impl ProxyConfig {
    fn json(&self, listen: SocketAddr, seed: u64) -> String {
        let ProxyConfig { discovery, discovery_mode, known, sockets, memory_mb } = self;
        format!(
            r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"{seed:016x}",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"known":{known},
"settings":{{"balancers":4,"callers":{{"marksRetry":true}},
"classes":[{{"aim":300.0,"hardLimit":750.0,"keyScope":"cell","keyTtl":500.0,"lateWorth":0.0,"name":"reservering","points":8.0,"semantics":"keyed","streamed":false}},
{{"aim":400.0,"hardLimit":800.0,"keyScope":"all","keyTtl":5000.0,"lateWorth":0.0,"name":"bestelling","points":24.0,"semantics":"unsafe","streamed":false}}],
"contract":{{"askWithin":10000.0,"cold":20000.0,"coldFrom":0.12,"drainGrace":1500.0,"fall":1000.0,"fallMultiple":4.0,"graceToAnswer":20.0}},
"countedBy":"request","customers":[],"discovery":"{discovery_mode}","family":"mesh","familyInfo":{{"warmKeys":false}},
"goal":{{"whole":0.55,"worstClass":0.35,"worstTenant":0.0,"worstWindow":0.1}},
"kinds":["snel","middel","traag"],"layers":["orderservers"],
"limits":{{"attemptsCap":3,"cancelling":true,"connIdle":{CONN_IDLE_MS}.0,"cpuUsPerRequest":0.0,"cpuUsPerS":10000,"dialTimeout":150.0,"maxOpen":25000,"maxRetryAfter":400.0,"maxStreams":1,"peerMessages":false,"probes":true,"retryAfter":true,"secondCopies":false}},
"me":0,"overShareWorth":0.1,
"prices":{{"connection":0.0,"crossZone":0.0,"discovery":0.0,"handshake":0.0,"lateFail":0.05,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.1}},
"report":{{"fields":["utilization"],"how":"answers"}},"tick":5.0,"tier":0,"weights":"none","zone":0,"zones":["dc-utrecht"]}}}}
"#
        )
    }
}

impl Proxy {
    /// Starts the client proxy with the deploy file's command, on a free port.
    pub fn start(config: ProxyConfig) -> Proxy {
        // An address that no connection to or from 127.0.0.1 can take, so that it is still free at a restart.
        let free = TcpListener::bind("127.0.0.2:0").expect("no free loopback port");
        let address = local(&free);
        drop(free);
        Proxy::start_at(address, config)
    }

    /// The same at this address.
    pub fn start_at(address: SocketAddr, config: ProxyConfig) -> Proxy {
        let root = PathBuf::from(std::env::var("ROOT").unwrap_or_else(|_| ".".to_owned()));
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("no deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \""));
        let run = run.and_then(|rest| rest.split('"').next()).expect("the deploy file has no run command");
        let seed = FIRST_SEED + STARTS.fetch_add(1, Ordering::Relaxed);
        let folder = case().folder.join(format!("start-{}", now_ms() as u64));
        std::fs::create_dir_all(&folder).expect("temporary folder");
        let config_path = folder.join("config.json");
        std::fs::write(&config_path, config.json(address, seed)).expect("config");
        let log = File::options().create(true).append(true).open(case().folder.join("client-proxy.log"));
        let log = log.expect("log");
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run)
            .current_dir(&root)
            .env("GW_NAME", "n1")
            .env("GW_LISTEN", address.to_string())
            .env("GW_DISCOVERY", config.discovery.to_string())
            .env("GW_CONFIG", &config_path)
            .env("TMPDIR", &folder)
            .env_remove("GW_FLEET")
            .env_remove("GW_ADMIN_ADDR")
            .env_remove("GW_INHERITED_FD")
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("the client proxy does not start");
        CHILDREN.lock().expect("lock").push(child.id());
        let list = File::options().create(true).append(true).open(case().folder.join("processes"));
        writeln!(list.expect("list of processes"), "{}", child.id()).expect("list of processes");
        note(&format!("client proxy started at {address}: {run}"));
        Proxy { address, config_path, config, child }
    }

    /// Waits until `GET /ready` is answered with 200.
    pub fn wait_ready(&self) -> Result<(), String> {
        let ready = wait_until(30_000, || {
            let Ok(mut http) = Http::connect(self.address) else { return false };
            let asked = http.write(b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n");
            let answer = http.read(Some(Instant::now() + Duration::from_secs(1)));
            asked.is_ok() && answer.is_ok_and(|answer| answer.status() == 200)
        });
        note(if ready { "client proxy is ready" } else { "client proxy is not ready" });
        if ready { Ok(()) } else { Err("the client proxy was not ready within 30 s".to_owned()) }
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&mut self, discovery: SocketAddr) {
        self.config.discovery = discovery;
        let replacement = self.config_path.with_extension("new");
        std::fs::write(&replacement, self.config.json(self.address, FIRST_SEED)).expect("config");
        std::fs::rename(&replacement, &self.config_path).expect("config");
        note(&format!("platform: new configuration, discovery at {discovery}; SIGHUP"));
        self.signal("HUP");
    }

    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        let _ = Command::new("/bin/sh").arg("-c").arg(command).status();
    }

    /// Kills the process outright.
    pub fn kill(&mut self) {
        note("platform: SIGKILL to the client proxy");
        let _ = self.child.kill();
        let _ = self.child.wait();
        let pid = self.child.id();
        CHILDREN.lock().expect("lock").retain(|child| *child != pid);
    }

    /// Bytes of memory that are the process's own; those of files that it has mapped don't count.
    pub fn own_memory(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
        line.trim().split(' ').next()?.parse::<u64>().ok().map(|kib| kib * 1024)
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

// ---------------------------------------------------------------------------------------------------------
// Clients

/// A new id, in the form of the protocol.
pub fn new_id() -> String {
    static COUNT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", COUNT.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// A request of the class `bestelling`.
pub fn bestelling(id: &str, remaining_ms: u64) -> String {
    format!(
        "POST /bestelling HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {id}\r\nX-Lane: bestelling\r\nX-Remaining-Ms: {remaining_ms}\r\nContent-Length: 4\r\n\r\nbody"
    )
}

/// A request of the class `reservering`.
pub fn reservering(id: &str, remaining_ms: u64) -> String {
    format!(
        "POST /reservering HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: {id}\r\nX-Lane: reservering\r\nX-Remaining-Ms: {remaining_ms}\r\nIdempotency-Key: {id}{id}\r\nContent-Length: 4\r\n\r\nbody"
    )
}
