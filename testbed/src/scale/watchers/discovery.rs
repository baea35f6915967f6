//! A minimal discovery server on real sockets, on a thread of its own.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener as Listening};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

use super::{CHANGED_ENDPOINT, SCOPE_ENDPOINTS, SCOPE_HEADER};
use crate::scale::ScaleError;
use crate::scale::hollow::{entry_json, list_json};
use crate::scale::usage::thread_cpu_us;

/// Backoff when `accept` fails, which is usually because no file descriptors are left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// How response bodies are made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Encoding {
    /// Each body is encoded once and shared by all watchers that need the same one.
    Shared,
    /// The full list is searched, and the body encoded, for each watcher.
    ForEach,
}

/// Commands to the discovery thread.
pub(super) enum Command {
    /// Changes an endpoint and returns the time of the change.
    Change(oneshot::Sender<Instant>),
    Encoding(Encoding),
    Count(oneshot::Sender<Counts>),
}

/// Totals of the discovery thread since its start.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counts {
    pub(super) cpu_us: f64,
    pub(super) polls: f64,
    pub(super) sent_bytes: f64,
    pub(super) received_bytes: f64,
}

/// The watcher's current version, if any, and its scope, if it has one.
pub(super) type BodyKey = (Option<u64>, Option<u32>);

/// The discovery server; all of it runs on one thread.
pub(super) struct Discovery {
    endpoints: u32,
    encoding: Cell<Encoding>,
    /// For each endpoint, the version of its last change.
    since: RefCell<Vec<u64>>,
    newest: watch::Sender<u64>,
    /// Encoded bodies of the newest version, by the version that they start from and by scope.
    encoded: RefCell<HashMap<BodyKey, Bytes>>,
    polls: Cell<u64>,
    sent_bytes: Cell<u64>,
    received_bytes: Cell<u64>,
}

impl Discovery {
    fn new(endpoints: u32) -> Discovery {
        Discovery {
            endpoints,
            encoding: Cell::new(Encoding::Shared),
            since: RefCell::new(vec![1; endpoints as usize]),
            newest: watch::Sender::new(1),
            encoded: RefCell::default(),
            polls: Cell::new(0),
            sent_bytes: Cell::new(0),
            received_bytes: Cell::new(0),
        }
    }

    pub(super) fn change(&self) {
        let next = *self.newest.borrow() + 1;
        self.since.borrow_mut()[CHANGED_ENDPOINT as usize] = next;
        self.encoded.borrow_mut().clear();
        self.newest.send_replace(next);
    }

    fn counts(&self) -> Counts {
        let [polls, sent_bytes, received_bytes] =
            [&self.polls, &self.sent_bytes, &self.received_bytes].map(|count| count.get() as f64);
        Counts { cpu_us: thread_cpu_us(), polls, sent_bytes, received_bytes }
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        self.polls.set(self.polls.get() + 1);
        let query = request.uri().query().unwrap_or_default();
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).and_then(|(_, number)| number.parse::<u64>().ok())
        };
        let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms").unwrap_or(0)));
        let scope = request.headers().get(SCOPE_HEADER).and_then(|value| value.to_str().ok()?.parse().ok());
        if let Some(after) = after.filter(|_| !wait.is_zero()) {
            let mut newest = self.newest.subscribe();
            // The body shows whether a change came or the wait timed out.
            let _ = timeout(wait, newest.wait_for(|newest| *newest > after)).await;
        }
        Response::new(Full::new(self.body(after, scope)))
    }

    fn body(&self, after: Option<u64>, scope: Option<u32>) -> Bytes {
        if self.encoding.get() == Encoding::ForEach {
            return self.encode(after, scope);
        }
        // The endpoint that changes is in every scope, so the changes since a version are the same for all
        // scopes.
        let scope = scope.filter(|_| after.is_none());
        let cached = self.encoded.borrow().get(&(after, scope)).cloned();
        cached.unwrap_or_else(|| {
            let body = self.encode(after, scope);
            self.encoded.borrow_mut().insert((after, scope), body.clone());
            body
        })
    }

    fn encode(&self, after: Option<u64>, scope: Option<u32>) -> Bytes {
        let since = self.since.borrow();
        let selected = (0..self.endpoints).filter(|&endpoint| {
            let changed = after.is_none_or(|after| since[endpoint as usize] > after);
            changed && scope.is_none_or(|scope| scope_contains(scope, endpoint, self.endpoints))
        });
        let entries: Vec<String> =
            selected.map(|endpoint| entry_json(endpoint, since[endpoint as usize], "SERVING")).collect();
        list_json(*self.newest.borrow(), after.is_none(), &entries).into()
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(ACCEPT_BACKOFF).await;
                continue;
            };
            let (discovery, stream) = (Rc::clone(&self), Metered { stream, discovery: Rc::clone(&self) });
            spawn_local(async move {
                let service = service_fn(|request| {
                    let discovery = Rc::clone(&discovery);
                    async move { Ok::<_, Infallible>(discovery.respond(request).await) }
                });
                // Connection errors need no handling: the watcher reconnects.
                let _ = Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }
}

/// A scope is a contiguous range of endpoints, and the endpoint that changes.
pub(super) fn scope_contains(scope: u32, endpoint: u32, endpoint_count: u32) -> bool {
    let first = (scope * SCOPE_ENDPOINTS) % endpoint_count;
    endpoint == CHANGED_ENDPOINT || (endpoint + endpoint_count - first) % endpoint_count < SCOPE_ENDPOINTS - 1
}

/// A connection that counts its bytes.
pub(super) struct Metered {
    stream: TcpStream,
    discovery: Rc<Discovery>,
}

impl AsyncRead for Metered {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buffer: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        self.discovery
            .received_bytes
            .set(self.discovery.received_bytes.get() + (buffer.filled().len() - before) as u64);
        read
    }
}

impl AsyncWrite for Metered {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(written)) = written {
            self.discovery.sent_bytes.set(self.discovery.sent_bytes.get() + written as u64);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A handle to the discovery thread, which ends when this is dropped.
pub(super) struct Server {
    pub(super) address: SocketAddr,
    pub(super) commands: Option<mpsc::UnboundedSender<Command>>,
    pub(super) thread: Option<JoinHandle<io::Result<()>>>,
}

impl Server {
    pub(super) fn start(endpoints: u32) -> io::Result<Server> {
        let listening = Listening::bind((Ipv4Addr::LOCALHOST, 0))?;
        listening.set_nonblocking(true)?;
        let address = listening.local_addr()?;
        let (commands, receiver) = mpsc::unbounded_channel();
        let thread = thread::Builder::new().name("discovery".to_owned());
        let thread = thread.spawn(move || {
            let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
            LocalSet::new().block_on(&runtime, serve(endpoints, listening, receiver))
        })?;
        Ok(Server { address, commands: Some(commands), thread: Some(thread) })
    }

    pub(super) fn command(&self, command: Command) -> Result<(), ScaleError> {
        let commands = self.commands.as_ref().ok_or_else(thread_ended)?;
        commands.send(command).map_err(|_| thread_ended())
    }

    pub(super) async fn count(&self) -> Result<Counts, ScaleError> {
        let (reply, count) = oneshot::channel();
        self.command(Command::Count(reply))?;
        count.await.map_err(|_| thread_ended())
    }

    pub(super) async fn change(&self) -> Result<Instant, ScaleError> {
        let (reply, changed) = oneshot::channel();
        self.command(Command::Change(reply))?;
        changed.await.map_err(|_| thread_ended())
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.commands = None;
        // An error of that thread has already made a command fail.
        self.thread.take().map(JoinHandle::join);
    }
}

pub(super) fn thread_ended() -> ScaleError {
    ScaleError::SetUp("the discovery server thread has ended".to_owned())
}

pub(super) async fn serve(
    endpoints: u32,
    listening: Listening,
    mut commands: mpsc::UnboundedReceiver<Command>,
) -> io::Result<()> {
    let discovery = Rc::new(Discovery::new(endpoints));
    let listener = TcpListener::from_std(listening)?;
    let _accepting = AbortOnDropHandle::new(spawn_local(Rc::clone(&discovery).accept(listener)));
    while let Some(command) = commands.recv().await {
        match command {
            Command::Change(reply) => {
                let at = Instant::now();
                discovery.change();
                // An error means that the receiver no longer waits for the reply.
                let _ = reply.send(at);
            }
            Command::Encoding(encoding) => discovery.encoding.set(encoding),
            Command::Count(reply) => drop(reply.send(discovery.counts())),
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
