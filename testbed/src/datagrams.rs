//! The ways between client proxies: datagrams, each direction of each pair by itself.
//!
//! Each client proxy binds an address of its own and is known to the others under another one, at which the testbed
//! listens. Whoever sends there is known by its own address, so one socket for each client proxy is enough to tell all
//! pairs apart; what comes through leaves by the socket under which the others know its sender.

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

/// The longest datagram that there is.
const LONGEST: usize = 65_536;

/// One direction between two client proxies.
#[derive(Default)]
pub struct Lane {
    cut: Cell<bool>,
    takes: Cell<Duration>,
    /// On top of it, for as long as something is wrong.
    more: Cell<Duration>,
    /// Parts of the datagrams: that never come, that come twice, and that come late by `late`.
    loss: Cell<f64>,
    twice: Cell<f64>,
    out_of_order: Cell<f64>,
    late: Cell<Duration>,
}

impl Lane {
    /// Nothing comes through any more, or all that is sent from now on.
    pub fn cut(&self, cut: bool) {
        self.cut.set(cut);
    }

    /// A datagram takes so much more than it does when nothing is wrong.
    pub fn slow(&self, more: Duration) {
        self.more.set(more);
    }

    /// This part is lost.
    pub fn lose(&self, part: f64) {
        self.loss.set(part);
    }

    /// This part comes twice.
    pub fn double(&self, part: f64) {
        self.twice.set(part);
    }

    /// This part comes later than it should by up to `late`, behind what was sent after it.
    pub fn reorder(&self, part: f64, late: Duration) {
        self.out_of_order.set(part);
        self.late.set(late);
    }

    /// When the copies of a datagram that is sent now arrive, counted from now; none where it is lost. All draws are made
    /// in any case, so that one fault does not move another.
    fn arrivals(&self, rng: &mut Pcg32) -> impl Iterator<Item = Duration> + use<> {
        let [lost, twice, reordered, by, by_too] = std::array::from_fn(|_| uniform(rng));
        let copies = if self.cut.get() || lost < self.loss.get() {
            0
        } else {
            1 + usize::from(twice < self.twice.get())
        };
        let way = self.takes.get() + self.more.get();
        let late = if reordered < self.out_of_order.get() { self.late.get() } else { Duration::ZERO };
        [by, by_too].into_iter().take(copies).map(move |by| way + late.mul_f64(by))
    }
}

/// All ways between client proxies.
pub struct Datagrams {
    /// Where the others find each client proxy.
    sockets: Vec<Rc<UdpSocket>>,
    /// Where it really is.
    behind: Vec<SocketAddr>,
    /// By sender and receiver.
    lanes: Vec<Vec<Lane>>,
    rng: RefCell<Pcg32>,
    /// Bytes that each client proxy sent to others.
    sent: Vec<Cell<u64>>,
}

impl Datagrams {
    /// Between client proxies that bind these addresses, with what the way from one to another takes.
    ///
    /// # Errors
    /// As the system says.
    pub async fn open(
        behind: Vec<SocketAddr>,
        seed: u64,
        takes: impl Fn(usize, usize) -> Duration,
    ) -> io::Result<Rc<Datagrams>> {
        let mut sockets = Vec::new();
        for _ in &behind {
            sockets.push(Rc::new(UdpSocket::bind(("127.0.0.1", 0)).await?));
        }
        let all = behind.len();
        let lane = |from, to| Lane { takes: Cell::new(takes(from, to)), ..Lane::default() };
        let lanes = (0..all).map(|from| (0..all).map(|to| lane(from, to)).collect()).collect();
        let rng = RefCell::new(stream(seed, "datagrams"));
        let datagrams = Rc::new(Datagrams { sockets, behind, lanes, rng, sent: vec![Cell::new(0); all] });
        for to in 0..all {
            spawn_local(Rc::clone(&datagrams).carry(to));
        }
        Ok(datagrams)
    }

    /// Where the others find a client proxy.
    ///
    /// # Errors
    /// As the system says.
    pub fn address(&self, proxy: usize) -> io::Result<SocketAddr> {
        self.sockets[proxy].local_addr()
    }

    /// The way from one client proxy to another.
    pub fn lane(&self, from: usize, to: usize) -> &Lane {
        &self.lanes[from][to]
    }

    /// Bytes that a client proxy sent to others.
    pub fn sent(&self, proxy: usize) -> u64 {
        self.sent.get(proxy).map_or(0, Cell::get)
    }

    async fn carry(self: Rc<Self>, to: usize) {
        let mut buffer = vec![0; LONGEST];
        loop {
            // An error is that of an earlier datagram which nobody was there to take.
            let Ok((length, sender)) = self.sockets[to].recv_from(&mut buffer).await else { continue };
            let Some(from) = self.behind.iter().position(|address| *address == sender) else { continue };
            self.sent[from].set(self.sent[from].get() + length as u64);
            let arrivals = self.lanes[from][to].arrivals(&mut self.rng.borrow_mut());
            for takes in arrivals {
                let (datagrams, bytes) = (Rc::clone(&self), buffer[..length].to_vec());
                spawn_local(async move {
                    if !takes.is_zero() {
                        sleep(takes).await;
                    }
                    // What the system cannot take is lost, as datagrams are.
                    let _ = datagrams.sockets[from].send_to(&bytes, datagrams.behind[to]).await;
                });
            }
        }
    }
}

#[cfg(test)]
mod tests;
