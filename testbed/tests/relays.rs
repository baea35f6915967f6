//! A real client proxy that uses real relays: they speak the same protocol as discovery, send only the
//! endpoints of the services that it calls, and when a relay fails, no change is lost.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Only a safeguard against a test that hangs.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Polls a condition until it holds.
fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TIMEOUT, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Builds both programs, which `cargo test -p testbed` alone does not, and returns their paths.
fn build_programs() -> [PathBuf; 2] {
    let build = ["build", "--locked", "-p", "client-proxy", "-p", "discovery-relay"];
    assert!(Command::new(env!("CARGO")).args(build).status().expect("cargo").success());
    ["client-proxy", "discovery-relay"]
        .map(|name| PathBuf::from(env!("CARGO_BIN_EXE_testbed")).with_file_name(name))
}

/// A process that is killed when this is dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a process, and reads the address that it listens on from its log.
fn start(mut command: Command) -> (Process, SocketAddr) {
    let mut child = command.stderr(Stdio::piped()).spawn().expect("the program starts");
    let mut log = BufReader::new(child.stderr.take().expect("piped"));
    let mut line = String::new();
    let address = loop {
        line.clear();
        assert!(log.read_line(&mut line).expect("a log") > 0, "the process exited before it listened");
        if let Some((_, address)) = line.trim().rsplit_once("listens on ") {
            break address.parse().expect("an address");
        }
    };
    std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::stderr()));
    (Process(child), address)
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("a file");
    path
}

/// Reads the head of the next request, up to the empty line. `None` at the end of the stream.
fn read_head(reader: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while reader.read_line(&mut head).ok()? > 0 {
        if head.ends_with("\r\n\r\n") {
            return Some(head);
        }
    }
    None
}

fn serve(respond: impl Fn(&str) -> String + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (address, respond) = (listener.local_addr().expect("bound"), Arc::new(respond));
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let respond = Arc::clone(&respond);
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
                while let Some(head) = read_head(&mut reader) {
                    let body = respond(&head);
                    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                    if stream.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Discovery's state: the current version, and each endpoint by name with the version of its last change.
type EndpointList = Arc<Mutex<(u64, BTreeMap<String, (u64, Value)>)>>;

fn discovery(list: EndpointList) -> SocketAddr {
    serve(move |head| {
        let path = head.split(' ').nth(1).unwrap_or_default();
        let number =
            |name: &str| path.split(['?', '&']).find_map(|part| part.strip_prefix(name)?.parse::<u64>().ok());
        let (after, wait) = (number("after="), Duration::from_millis(number("wait_ms=").unwrap_or(0)));
        let started = Instant::now();
        loop {
            let list = list.lock().expect("no panic");
            if after.is_none_or(|after| after < list.0) || started.elapsed() >= wait {
                let changed =
                    list.1.values().filter(|(version, _)| after.is_none_or(|after| *version > after));
                let changed: Vec<&Value> = changed.map(|(_, endpoint)| endpoint).collect();
                return json!({"index": list.0, "snapshot": after.is_none(), "endpoints": changed})
                    .to_string();
            }
            drop(list);
            std::thread::sleep(Duration::from_millis(5));
        }
    })
}

fn change(list: &EndpointList, name: &str, address: SocketAddr, status: &str) {
    let mut list = list.lock().expect("no panic");
    list.0 += 1;
    let version = list.0;
    let endpoint = json!({"name": name, "address": address.to_string(), "zone": "a", "type": "m", "group": 1,
                          "status": status, "weight": 1.0, "since_ms": 0});
    list.1.insert(name.to_owned(), (version, endpoint));
}

fn relay(program: &PathBuf, listen: &str, name: &str, source: SocketAddr) -> (Process, SocketAddr) {
    let config = format!(
        "listen = \"{listen}\"\nwhole = true\n[source]\nnear = [\"{source}\"]\n[scopes]\nfront = [\"shop\", \"bank\"]\n"
    );
    let mut command = Command::new(program);
    command.arg("--config").arg(write_file(name, &config));
    start(command)
}

fn client_proxy(program: &PathBuf, relays: [SocketAddr; 2]) -> (Process, SocketAddr) {
    let [near, other] = relays;
    let fleet_config = write_file(
        "fleet.toml",
        &format!("[discovery]\nnear = [\"{near}\", \"{other}\"]\nauthority = \"front\""),
    );
    let class = json!({"name": "look", "aim": 1000.0, "hardLimit": 4000.0, "semantics": "safe", "keyScope": "all",
                       "keyTtl": 3000.0, "lateWorth": 0.2, "points": 1.0, "streamed": false});
    let config = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "settings": {"me": 0, "balancers": 1, "callers": {"marksRetry": false}, "classes": [class],
            "contract": {"cold": 1000.0, "coldFrom": 0.5, "drainGrace": 250.0, "fall": 2000.0, "fallMultiple": 3.0,
                         "graceToAnswer": 16.0, "askWithin": 10000.0},
            "customers": [], "discovery": "subscribe", "kinds": ["m"], "zones": ["a"], "zone": 0, "tick": 4.0,
            "limits": {"attemptsCap": 3, "cancelling": true, "connIdle": 10000.0, "dialTimeout": 100.0,
                       "maxRetryAfter": 1200.0, "retryAfter": true, "secondCopies": false},
            "report": {"fields": ["utilization"], "how": "answers"}}});
    let mut command = Command::new(program);
    let unset = ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_ADMIN_ADDR", "GW_INHERITED_FD", "TMPDIR"];
    for name in unset {
        command.env_remove(name);
    }
    command.env("GW_CONFIG", write_file("config.json", &config.to_string())).env("GW_FLEET", fleet_config);
    start(command)
}

/// Sends a request. Returns the body, which is the name of the service that served it.
fn send_request(proxy: SocketAddr) -> String {
    let mut stream = TcpStream::connect(proxy).expect("a connection");
    let request = "GET /look HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: 0000000000000001\r\nX-Lane: look\r\n\
                X-Remaining-Ms: 3000\r\nConnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).expect("written");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("a response");
    text.rsplit_once("\r\n\r\n").map(|(_, body)| body.to_owned()).unwrap_or_default()
}

/// The client proxy polls one of two relays, which poll a third one. While its relay is down, an endpoint
/// changes to `DRAINING`: the client proxy has to get the change from the other relay, and must never use a
/// service that is not in its scope.
#[test]
fn client_proxy_gets_changes_while_a_relay_is_down() {
    let [proxy, program] = build_programs();
    let list = EndpointList::default();
    let [shop, bank, till] = ["shop", "bank", "till"].map(|name| serve(move |_| name.to_owned()));
    change(&list, "shop-1", shop, "SERVING");
    change(&list, "bank-1", bank, "SERVING");
    change(&list, "till-1", till, "SERVING");
    let (_upper, upper) = relay(&program, "127.0.0.1:0", "upper.toml", discovery(Arc::clone(&list)));
    let (first, near) = relay(&program, "127.0.0.1:0", "first.toml", upper);
    let (second, other) = relay(&program, "127.0.0.1:0", "second.toml", upper);
    let (_proxy, address) = client_proxy(&proxy, [near, other]);
    let responses = |count: usize| (0..count).map(|_| send_request(address)).collect::<Vec<_>>();
    let served = |names: [&str; 2]| {
        let bodies = responses(12);
        names.iter().all(|name| bodies.iter().any(|body| body == name))
    };
    wait_until("both services are used", || served(["shop", "bank"]));
    // Each relay is killed once, so one of the two rounds kills the relay that the client proxy polls.
    let mut restarted = Vec::new();
    for (killed, relay_address) in [(first, near), (second, other)] {
        drop(killed);
        change(&list, "shop-1", shop, "DRAINING");
        wait_until("the draining endpoint gets no requests", || {
            responses(12).iter().all(|body| body == "bank")
        });
        restarted.push(relay(&program, &relay_address.to_string(), "back.toml", upper));
        change(&list, "shop-1", shop, "SERVING");
        wait_until("the endpoint is used again", || served(["shop", "bank"]));
    }
    assert!(responses(30).iter().all(|body| body != "till"), "a service outside the scope served a request");
}
