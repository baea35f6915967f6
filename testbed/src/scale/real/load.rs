//! Order servers that answer at once and note what comes where, and clients that ask at a rate. Each has a thread of its
//! own.

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

use super::late::Late;
use crate::chance::exponential;
use crate::ledger::{Txn, microseconds};
use crate::saturate::{answer_at_once, connect, on_a_thread, once};
use crate::scenario::{Class, Scope, Semantics};

/// A request at an order server.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When its head was read there.
    pub at: Instant,
    /// Which of the addresses it came to.
    pub address: Ipv4Addr,
}

/// All order servers: one socket, which hears every address of the loopback device and of no other one.
pub struct Servers {
    /// Of all their addresses.
    pub port: u16,
    /// How late their thread is.
    pub late: Late,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Servers {
    /// Answers from now on, until the process ends.
    ///
    /// # Errors
    /// As the system says.
    pub fn open() -> io::Result<Servers> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.bind_device(Some(b"lo"))?;
        socket.bind(&SocketAddr::from(([0, 0, 0, 0], 0)).into())?;
        socket.listen(1024)?;
        socket.set_nonblocking(true)?;
        let listener = std::net::TcpListener::from(socket);
        let (port, late, arrivals) = (listener.local_addr()?.port(), Late::default(), Arc::default());
        let (watched, noted) = (late.clone(), Arc::clone(&arrivals));
        on_a_thread(async move {
            spawn_local(watched.follow());
            serve(TcpListener::from_std(listener)?, noted).await
        });
        Ok(Servers { port, late, arrivals })
    }

    /// What came since this was last asked.
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
                async move { Ok::<_, Infallible>(answer_at_once(&request)) }
            });
            // How it ends is seen by whoever asked.
            let _ = Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// What clients counted.
pub struct Asked {
    /// From sent to answered, in microseconds.
    pub latency: Histogram<u64>,
    /// From when it was meant to be sent to when it was, in microseconds.
    pub late: Histogram<u64>,
    /// Requests without an order server's answer.
    pub unserved: u64,
}

impl Default for Asked {
    fn default() -> Asked {
        Asked { latency: microseconds(), late: microseconds(), unserved: 0 }
    }
}

/// Clients that ask at a rate, whatever the answers do, until this is dropped.
pub struct Clients {
    asked: Arc<Mutex<Asked>>,
    over: Arc<AtomicBool>,
    pacer: Option<JoinHandle<()>>,
}

impl Clients {
    /// Asks there so many times a second, at times by chance.
    pub fn start(address: SocketAddr, per_second: f64, mut rng: Pcg32) -> Clients {
        let (asked, over) = (Arc::<Mutex<Asked>>::default(), Arc::<AtomicBool>::default());
        let (due, asks) = mpsc::unbounded_channel();
        let counted = Arc::clone(&asked);
        on_a_thread(async move { spawn_local(ask(address, asks, counted)).await? });
        let ended = Arc::clone(&over);
        // A thread of its own, since the timers of the clients' one go by whole milliseconds.
        let pacer = thread::spawn(move || {
            let (mut at, mut txn) = (Instant::now(), rng.next_u64() as usize);
            while !ended.load(Ordering::Relaxed) {
                at += Duration::from_secs_f64(exponential(&mut rng) / per_second);
                thread::sleep(at.saturating_duration_since(Instant::now()));
                txn = txn.wrapping_add(1);
                if due.send((at, Txn(txn))).is_err() {
                    return;
                }
            }
        });
        Clients { asked, over, pacer: Some(pacer) }
    }

    /// What was counted since this was last asked.
    pub fn take(&self) -> Asked {
        std::mem::take(&mut self.asked.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        // One that has panicked has said so.
        let _ = self.pacer.take().map(JoinHandle::join);
    }
}

fn class() -> Class {
    let (aim, patience) = (Duration::from_millis(300), Duration::from_secs(1));
    Class {
        name: "kijk".to_owned(),
        semantics: Semantics::Safe,
        scope: Scope::All,
        key_ttl: Duration::ZERO,
        share: 1.0,
        work: Duration::ZERO,
        priority_weight: 1.0,
        latency_objective: aim,
        client_timeout: patience,
    }
}

async fn ask(
    address: SocketAddr,
    mut asks: mpsc::UnboundedReceiver<(Instant, Txn)>,
    asked: Arc<Mutex<Asked>>,
) -> io::Result<()> {
    let (idle, class) = (Rc::new(RefCell::new(Vec::new())), Rc::new(class()));
    while let Some((due, txn)) = asks.recv().await {
        let (idle, class, asked) = (Rc::clone(&idle), Rc::clone(&class), Arc::clone(&asked));
        spawn_local(async move {
            let kept = std::iter::from_fn(|| idle.borrow_mut().pop());
            let kept = kept
                .into_iter()
                .find(|sender: &hyper::client::conn::http1::SendRequest<_>| !sender.is_closed());
            let sender = match kept {
                Some(sender) => Ok(sender),
                None => connect(address).await,
            };
            let sent = Instant::now();
            let mut served = false;
            if let Ok(mut sender) = sender {
                served = once(&mut sender, &class, txn).await;
                if served {
                    idle.borrow_mut().push(sender);
                }
            }
            let took = sent.elapsed().as_micros() as u64;
            let mut asked = asked.lock().unwrap_or_else(PoisonError::into_inner);
            asked.late.saturating_record((sent - due).as_micros() as u64);
            if served {
                asked.latency.saturating_record(took);
            } else {
                asked.unserved += 1;
            }
        });
    }
    Ok(())
}
