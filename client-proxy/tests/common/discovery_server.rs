//! A scripted discovery server.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};

use serde_json::{Value, json};

use super::*;

/// The list that discovery publishes.
struct PublishedList {
    index: u64,
    endpoints: Value,
    snapshot: bool,
    /// Extra header lines of each response.
    headers: String,
}

/// A discovery server that holds each watch until the list changes or the wait of the watch is over.
pub struct DiscoveryServer {
    pub address: SocketAddr,
    published: Arc<(Mutex<PublishedList>, Condvar)>,
    /// The path of each poll.
    pub polls: Receiver<String>,
}

impl DiscoveryServer {
    pub fn start(endpoints: Value) -> DiscoveryServer {
        DiscoveryServer::start_at("127.0.0.1:0".parse().expect("invalid address"), endpoints)
    }

    pub fn start_at(address: SocketAddr, endpoints: Value) -> DiscoveryServer {
        let listener = TcpListener::bind(address).expect("could not bind a loopback port");
        let address = listener.local_addr().expect("no local address");
        let published = PublishedList { index: 1, endpoints, snapshot: true, headers: String::new() };
        let published = Arc::new((Mutex::new(published), Condvar::new()));
        let (sender, polls) = channel();
        let shared = Arc::clone(&published);
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (shared, sender) = (Arc::clone(&shared), sender.clone());
                std::thread::spawn(move || serve(stream.expect("accept failed"), &shared, &sender));
            }
        });
        DiscoveryServer { address, published, polls }
    }

    /// Publishes these entries to all watches, as a change or as a full snapshot.
    pub fn publish(&self, endpoints: Value, snapshot: bool) {
        let mut published = self.published.0.lock().expect("another thread panicked");
        (published.index, published.endpoints, published.snapshot) =
            (published.index + 1, endpoints, snapshot);
        self.published.1.notify_all();
    }

    /// Adds these header lines to all later responses.
    pub fn add_headers(&self, lines: &str) {
        self.published.0.lock().expect("another thread panicked").headers = lines.to_owned();
    }

    pub fn next_poll(&self) -> String {
        self.polls.recv_timeout(TEST_TIMEOUT).expect("no poll of discovery arrived")
    }

    /// Waits until the client proxy begins a watch after the newest version: by then it has received all of
    /// the list.
    pub fn wait_until_list_received(&self) {
        let newest = format!("after={}&", self.published.0.lock().expect("another thread panicked").index);
        while !self.next_poll().contains(&newest) {}
    }
}

fn serve(mut stream: TcpStream, shared: &(Mutex<PublishedList>, Condvar), sender: &Sender<String>) {
    let mut reader = BufReader::new(stream.try_clone().expect("could not clone the socket"));
    while let Some(poll) = read_message(&mut reader) {
        let path = poll.start.split(' ').nth(1).expect("missing path").to_owned();
        let number = |name: &str| {
            let rest = path.split(['?', '&']).find_map(|part| part.strip_prefix(name));
            rest.map(|digits| digits.parse::<u64>().expect("not a number"))
        };
        let (after, wait) = (number("after="), Duration::from_millis(number("wait_ms=").unwrap_or(0)));
        let _ = sender.send(path.clone());
        let published = shared.0.lock().expect("another thread panicked");
        let is_unchanged =
            |published: &mut PublishedList| after.is_some_and(|after| after >= published.index);
        let (published, _) =
            shared.1.wait_timeout_while(published, wait, is_unchanged).expect("another thread panicked");
        let has_changed = after.is_none_or(|after| after < published.index);
        let (entries, snapshot) =
            if has_changed { (published.endpoints.clone(), published.snapshot) } else { (json!([]), false) };
        let list = json!({"index": published.index, "snapshot": snapshot, "endpoints": entries}).to_string();
        let headers = published.headers.clone();
        drop(published);
        if stream.write_all(http_response("200 OK", &headers, &list).as_bytes()).is_err() {
            return;
        }
    }
}

pub fn endpoint(name: &str, address: SocketAddr, status: &str) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "a", "type": "m", "group": 1,
           "status": status, "weight": 1.0, "since_ms": 0})
}
