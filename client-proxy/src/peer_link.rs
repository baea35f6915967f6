//! Tells the other process of an upgrade which requests are forwarded, so that none takes effect at both: a client
//! that has left may come again with the same request, and either process may accept it.
//!
//! Datagrams on the loopback interface: one that is sent before an attempt begins can be received when the client
//! comes again. The processes find each other's ports in the state file.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::driver::Driver;

/// Identities in one datagram at most.
const MAX_IDENTITIES: usize = 128;
const IDENTITY_BYTES: usize = size_of::<u64>();
/// Peers that are told at most: there is one, and those of earlier upgrades have exited.
const MAX_PEERS: usize = 16;
/// How long a new process waits for what the old one has forwarded before it accepts clients.
const SYNC_TIMEOUT: Duration = Duration::from_millis(100);

/// First byte of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// The sender has started and asks for all identities.
    Hello,
    /// Identities of requests that the sender forwards; 8 bytes each, little endian.
    Forwarded,
    /// All identities asked for have been sent.
    Complete,
}

impl Kind {
    const ALL: [Kind; 3] = [Kind::Hello, Kind::Forwarded, Kind::Complete];

    fn byte(self) -> u8 {
        match self {
            Kind::Hello => b'H',
            Kind::Forwarded => b'F',
            Kind::Complete => b'C',
        }
    }

    fn from_byte(byte: u8) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.byte() == byte)
    }
}

/// See the module documentation.
pub struct PeerLink {
    socket: UdpSocket,
    peers: RefCell<BTreeSet<SocketAddr>>,
    /// Peers that have sent all identities.
    complete: Cell<usize>,
}

impl PeerLink {
    /// Binds a port of the loopback interface.
    ///
    /// # Errors
    /// As returned by the system.
    pub async fn bind() -> io::Result<Rc<PeerLink>> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        Ok(Rc::new(PeerLink { socket, peers: RefCell::default(), complete: Cell::new(0) }))
    }

    /// The port that peers send to.
    ///
    /// # Errors
    /// As returned by the system.
    pub fn port(&self) -> io::Result<u16> {
        self.socket.local_addr().map(|address| address.port())
    }

    /// Asks the processes at these ports for what they have forwarded, and waits for that a short while.
    pub async fn synchronize(&self, ports: &[u16], driver: &Rc<Driver>) {
        for port in ports {
            let peer = SocketAddr::from((Ipv4Addr::LOCALHOST, *port));
            self.add_peer(peer);
            self.send(&[Kind::Hello.byte()], peer);
        }
        let completed = async {
            while self.complete.get() < ports.len() && self.socket.readable().await.is_ok() {
                driver.note_forwarded_by_peers();
            }
        };
        if timeout(SYNC_TIMEOUT, completed).await.is_err() {
            tracing::info!("the other process has not said which requests it has forwarded");
        }
    }

    /// Receives what peers send for as long as the program runs.
    pub async fn serve(self: Rc<Self>, driver: Rc<Driver>) {
        while self.socket.readable().await.is_ok() {
            driver.note_forwarded_by_peers();
        }
    }

    /// Tells all peers that a request with this identity is forwarded.
    pub fn announce(&self, identity: u64) {
        for peer in self.peers.borrow().iter() {
            self.send_identities(&[identity], *peer);
        }
    }

    /// The identities that have arrived. Answers peers that ask for those of `driver`.
    pub fn receive(&self, driver: &Driver) -> Vec<u64> {
        let mut identities = Vec::new();
        let mut datagram = [0; 1 + MAX_IDENTITIES * IDENTITY_BYTES];
        while let Ok((length, peer)) = self.socket.try_recv_from(&mut datagram) {
            let Some((kind, payload)) = datagram[..length].split_first() else { continue };
            match Kind::from_byte(*kind) {
                Some(Kind::Hello) => {
                    self.add_peer(peer);
                    for some in driver.forwarded_identities().chunks(MAX_IDENTITIES) {
                        self.send_identities(some, peer);
                    }
                    self.send(&[Kind::Complete.byte()], peer);
                }
                Some(Kind::Forwarded) => {
                    let (chunks, _) = payload.as_chunks::<IDENTITY_BYTES>();
                    identities.extend(chunks.iter().map(|bytes| u64::from_le_bytes(*bytes)));
                }
                Some(Kind::Complete) => self.complete.set(self.complete.get() + 1),
                None => {}
            }
        }
        identities
    }

    fn add_peer(&self, peer: SocketAddr) {
        let mut peers = self.peers.borrow_mut();
        if peers.len() < MAX_PEERS {
            peers.insert(peer);
        }
    }

    fn send_identities(&self, identities: &[u64], peer: SocketAddr) {
        let bytes = identities.iter().flat_map(|identity| identity.to_le_bytes());
        let datagram: Vec<u8> = [Kind::Forwarded.byte()].into_iter().chain(bytes).collect();
        self.send(&datagram, peer);
    }

    fn send(&self, datagram: &[u8], peer: SocketAddr) {
        if let Err(error) = self.socket.try_send_to(datagram, peer) {
            tracing::debug!(%peer, "the other process cannot be told: {error}");
        }
    }
}
