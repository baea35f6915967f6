//! Order servers that respond at once and record the arrivals, and clients that send at a given rate. Each
//! has its own thread.

use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rand_core::Rng;
use rand_pcg::Pcg32;
use socket2::{Domain, Socket, Type};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::late::TimerDelay;
use crate::chance::exponential;
use crate::ledger::{Txn, microseconds};
use crate::saturate::{connect, immediate_response, request_is_served, spawn_runtime_thread};
use crate::scenario::{Class, Scope, Semantics};

/// The arrival of a request at an order server.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When its head was received.
    pub at: Instant,
    /// The address that it was sent to.
    pub address: Ipv4Addr,
}

/// All order servers: one socket that accepts connections to each address of the loopback device, and of no
/// other device.
pub struct Servers {
    /// The port at each address.
    pub port: u16,
    /// The timer delay of their thread.
    pub timer_delay: TimerDelay,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Servers {
    /// Starts the servers, which run until the process ends.
    ///
    /// # Errors
    /// If the socket cannot be opened.
    pub fn open() -> io::Result<Servers> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.bind_device(Some(b"lo"))?;
        socket.bind(&SocketAddr::from(([0, 0, 0, 0], 0)).into())?;
        socket.listen(1024)?;
        socket.set_nonblocking(true)?;
        let listener = std::net::TcpListener::from(socket);
        let (port, timer_delay, arrivals) =
            (listener.local_addr()?.port(), TimerDelay::default(), Arc::default());
        let (thread_delay, recorded) = (timer_delay.clone(), Arc::clone(&arrivals));
        spawn_runtime_thread(async move {
            spawn_local(thread_delay.measure());
            serve(TcpListener::from_std(listener)?, recorded).await
        });
        Ok(Servers { port, timer_delay, arrivals })
    }

    /// Takes the arrivals since the last call.
    pub fn take(&self) -> Vec<Arrival> {
        std::mem::take(&mut self.arrivals.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

async fn serve(listener: TcpListener, arrivals: Arc<Mutex<Vec<Arrival>>>) -> io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let IpAddr::V4(address) = stream.local_addr()?.ip() else { continue };
        let arrivals = Arc::clone(&arrivals);
        spawn_local(async move {
            let service = service_fn(|request| {
                let arrival = Arrival { at: Instant::now(), address };
                arrivals.lock().unwrap_or_else(PoisonError::into_inner).push(arrival);
                async move { Ok::<_, Infallible>(immediate_response(&request)) }
            });
            // Connection errors show at the client.
            let _ = Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Counts of the clients.
pub struct ClientStats {
    /// From sending the request to the response, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Delay of the sending after the scheduled time, in microseconds.
    pub send_delay_us: Histogram<u64>,
    /// Requests without an order server's response.
    pub unserved: u64,
}

impl Default for ClientStats {
    fn default() -> ClientStats {
        ClientStats { latency_us: microseconds(), send_delay_us: microseconds(), unserved: 0 }
    }
}

/// Clients that send at a given rate, independently of the responses, until this is dropped.
pub struct Clients {
    stats: Arc<Mutex<ClientStats>>,
    stopped: Arc<AtomicBool>,
    pacer: Option<JoinHandle<()>>,
}

impl Clients {
    /// Starts to send to `address`, with exponentially distributed intervals.
    pub fn start(address: SocketAddr, per_second: f64, mut rng: Pcg32) -> Clients {
        let (stats, stopped) = (Arc::<Mutex<ClientStats>>::default(), Arc::<AtomicBool>::default());
        let (schedule, scheduled) = mpsc::unbounded_channel();
        let client_stats = Arc::clone(&stats);
        spawn_runtime_thread(
            async move { spawn_local(send_requests(address, scheduled, client_stats)).await? },
        );
        let pacer_stopped = Arc::clone(&stopped);
        // A separate thread, because the timers of the clients' runtime have a resolution of 1 ms.
        let pacer = thread::spawn(move || {
            let (mut at, mut txn) = (Instant::now(), rng.next_u64() as usize);
            while !pacer_stopped.load(Ordering::Relaxed) {
                at += Duration::from_secs_f64(exponential(&mut rng) / per_second);
                thread::sleep(at.saturating_duration_since(Instant::now()));
                txn = txn.wrapping_add(1);
                if schedule.send((at, Txn(txn))).is_err() {
                    return;
                }
            }
        });
        Clients { stats, stopped, pacer: Some(pacer) }
    }

    /// Takes the counts since the last call.
    pub fn take(&self) -> ClientStats {
        std::mem::take(&mut self.stats.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        // If the thread panicked, its message is already on standard error.
        let _ = self.pacer.take().map(JoinHandle::join);
    }
}

fn class() -> Class {
    let (latency_objective, client_timeout) = (Duration::from_millis(300), Duration::from_secs(1));
    Class {
        name: "kijk".to_owned(),
        semantics: Semantics::Safe,
        scope: Scope::All,
        key_ttl: Duration::ZERO,
        share: 1.0,
        work: Duration::ZERO,
        priority_weight: 1.0,
        latency_objective,
        client_timeout,
    }
}

async fn send_requests(
    address: SocketAddr,
    mut scheduled: mpsc::UnboundedReceiver<(Instant, Txn)>,
    stats: Arc<Mutex<ClientStats>>,
) -> io::Result<()> {
    let (idle, class) = (Rc::new(RefCell::new(Vec::new())), Rc::new(class()));
    while let Some((due, txn)) = scheduled.recv().await {
        let (idle, class, stats) = (Rc::clone(&idle), Rc::clone(&class), Arc::clone(&stats));
        spawn_local(async move {
            let idle_connections = std::iter::from_fn(|| idle.borrow_mut().pop());
            let idle_connection = idle_connections
                .into_iter()
                .find(|sender: &hyper::client::conn::http1::SendRequest<_>| !sender.is_closed());
            let sender = match idle_connection {
                Some(sender) => Ok(sender),
                None => connect(address).await,
            };
            let sent_at = Instant::now();
            let mut served = false;
            if let Ok(mut sender) = sender {
                served = request_is_served(&mut sender, &class, txn).await;
                if served {
                    idle.borrow_mut().push(sender);
                }
            }
            let latency_us = sent_at.elapsed().as_micros() as u64;
            let mut stats = stats.lock().unwrap_or_else(PoisonError::into_inner);
            stats.send_delay_us.saturating_record((sent_at - due).as_micros() as u64);
            if served {
                stats.latency_us.saturating_record(latency_us);
            } else {
                stats.unserved += 1;
            }
        });
    }
    Ok(())
}
