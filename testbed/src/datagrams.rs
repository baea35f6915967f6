//! Simulated UDP network between client proxies, with delay, loss, duplication and reordering for each
//! direction of each pair.
//!
//! Each client proxy binds its own address and advertises another one, on which the testbed listens. The
//! source address of a datagram identifies its sender, so one testbed socket per client proxy is enough to
//! distinguish all pairs. A datagram is forwarded from the advertised address of its sender.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand_pcg::Pcg32;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::chance::{stream, uniform};

/// Size of the receive buffer in bytes: no UDP datagram is longer.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// One direction between two client proxies, with its faults.
#[derive(Default)]
pub struct Lane {
    cut: Cell<bool>,
    delay: Cell<Duration>,
    /// Added to `delay` while a fault is active.
    extra_delay: Cell<Duration>,
    /// Shares of the datagrams that are lost, that are duplicated, and that are delayed by up to `max_late`.
    loss: Cell<f64>,
    duplicated: Cell<f64>,
    reordered_share: Cell<f64>,
    max_late: Cell<Duration>,
}

impl Lane {
    /// Cuts or restores this direction. Datagrams sent while it is cut are lost.
    pub fn cut(&self, cut: bool) {
        self.cut.set(cut);
    }

    /// Sets the delay that a fault adds to the normal delay.
    pub fn slow(&self, extra_delay: Duration) {
        self.extra_delay.set(extra_delay);
    }

    /// Sets the share of datagrams that are lost.
    pub fn lose(&self, share: f64) {
        self.loss.set(share);
    }

    /// Sets the share of datagrams that are duplicated.
    pub fn double(&self, share: f64) {
        self.duplicated.set(share);
    }

    /// Sets the share of datagrams that are delayed by up to `max_late`, so that later ones overtake them.
    pub fn reorder(&self, share: f64, max_late: Duration) {
        self.reordered_share.set(share);
        self.max_late.set(max_late);
    }

    /// Delays after which the copies of a datagram that is sent now arrive; empty if it is lost. Always draws
    /// the same number of random values, so that one fault doesn't change the outcome of another.
    fn arrivals(&self, rng: &mut Pcg32) -> impl Iterator<Item = Duration> + use<> {
        let [lost, duplicated, reordered, late_share, second_late_share] =
            std::array::from_fn(|_| uniform(rng));
        let copies = if self.cut.get() || lost < self.loss.get() {
            0
        } else {
            1 + usize::from(duplicated < self.duplicated.get())
        };
        let normal = self.delay.get() + self.extra_delay.get();
        let late = if reordered < self.reordered_share.get() { self.max_late.get() } else { Duration::ZERO };
        [late_share, second_late_share]
            .into_iter()
            .take(copies)
            .map(move |late_share| normal + late.mul_f64(late_share))
    }
}

/// The simulated network between all client proxies.
pub struct Datagrams {
    /// The socket at the advertised address of each client proxy.
    sockets: Vec<Rc<UdpSocket>>,
    /// The address that each client proxy has bound.
    bound: Vec<SocketAddr>,
    /// Indexed by sender and receiver.
    lanes: Vec<Vec<Lane>>,
    rng: RefCell<Pcg32>,
    /// Number of bytes that each client proxy has sent to others.
    sent_bytes: Vec<Cell<u64>>,
}

impl Datagrams {
    /// Connects client proxies that bind the addresses `bound`; `delay` gives the delay from one to another.
    ///
    /// # Errors
    /// If a socket cannot be bound.
    pub async fn open(
        bound: Vec<SocketAddr>,
        seed: u64,
        delay: impl Fn(usize, usize) -> Duration,
    ) -> io::Result<Rc<Datagrams>> {
        let mut sockets = Vec::new();
        for _ in &bound {
            sockets.push(Rc::new(UdpSocket::bind(("127.0.0.1", 0)).await?));
        }
        let all = bound.len();
        let lane = |from, to| Lane { delay: Cell::new(delay(from, to)), ..Lane::default() };
        let lanes = (0..all).map(|from| (0..all).map(|to| lane(from, to)).collect()).collect();
        let rng = RefCell::new(stream(seed, "datagrams"));
        let datagrams =
            Rc::new(Datagrams { sockets, bound, lanes, rng, sent_bytes: vec![Cell::new(0); all] });
        for to in 0..all {
            spawn_local(Rc::clone(&datagrams).forward(to));
        }
        Ok(datagrams)
    }

    /// The advertised address of a client proxy.
    ///
    /// # Errors
    /// If the kernel doesn't report the socket's address.
    pub fn address(&self, proxy: usize) -> io::Result<SocketAddr> {
        self.sockets[proxy].local_addr()
    }

    /// The direction from one client proxy to another.
    pub fn lane(&self, from: usize, to: usize) -> &Lane {
        &self.lanes[from][to]
    }

    /// Number of bytes that a client proxy has sent to others.
    pub fn sent_bytes(&self, proxy: usize) -> u64 {
        self.sent_bytes.get(proxy).map_or(0, Cell::get)
    }

    async fn forward(self: Rc<Self>, to: usize) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // An error here reports (by ICMP) that an earlier datagram met a closed port.
            let Ok((length, sender)) = self.sockets[to].recv_from(&mut buffer).await else { continue };
            let Some(from) = self.bound.iter().position(|address| *address == sender) else { continue };
            self.sent_bytes[from].set(self.sent_bytes[from].get() + length as u64);
            let arrivals = self.lanes[from][to].arrivals(&mut self.rng.borrow_mut());
            for delay in arrivals {
                let (datagrams, bytes) = (Rc::clone(&self), buffer[..length].to_vec());
                spawn_local(async move {
                    if !delay.is_zero() {
                        sleep(delay).await;
                    }
                    // A datagram that the kernel doesn't accept is lost, as on a real network.
                    let _ = datagrams.sockets[from].send_to(&bytes, datagrams.bound[to]).await;
                });
            }
        }
    }
}

#[cfg(test)]
mod tests;
