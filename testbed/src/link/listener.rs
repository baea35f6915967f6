//! Accepts the connections of one link.

use std::io;
use std::net::{SocketAddr, TcpStream as StdStream};
use std::rc::Rc;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket};

use super::{Link, LinkStream};

/// Listen backlog while the link is cut.
const CUT_BACKLOG: i32 = 0;

/// Connections that occupy the backlog of a cut link, so that new ones stay unanswered: the kernel queues one
/// connection more than the backlog says.
const BACKLOG_FILLERS: usize = 2;

/// Listen backlog while the link is open.
const BACKLOG: i32 = 1024;

/// A listener on an address that belongs to one link.
pub struct LinkListener {
    /// `None` while connections are refused.
    listener: Option<TcpListener>,
    /// A bound socket that doesn't listen: while connections are refused, it keeps the kernel from giving the
    /// port to another run.
    reserved: Option<TcpSocket>,
    address: SocketAddr,
    link: Rc<Link>,
    fillers: Vec<StdStream>,
}

impl LinkListener {
    /// Listens on a port that the kernel chooses.
    ///
    /// # Errors
    /// If no socket can be created or bound.
    pub fn open(link: Rc<Link>) -> io::Result<LinkListener> {
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        Ok(LinkListener { listener: Some(listener), reserved: None, address, link, fillers: Vec::new() })
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts the next connection. While either direction of the link is cut, none is established.
    pub async fn accept(&mut self) -> io::Result<LinkStream> {
        loop {
            let link = Rc::clone(&self.link);
            let changed = link.changed.notified();
            if self.link.refused.get() {
                if self.listener.take().is_some() {
                    self.reserved = Some(bind(self.address)?);
                }
                changed.await;
                continue;
            }
            let listener = match self.listener.take() {
                Some(listener) => listener,
                None => match self.reserved.take() {
                    Some(reserved) => reserved.listen(BACKLOG as u32)?,
                    None => listen(self.address)?,
                },
            };
            let listener = self.listener.insert(listener);
            let cut = self.link.forward.cut.get() || self.link.reverse.cut.get();
            if cut == self.fillers.is_empty() {
                set_backlog_full(listener, self.address, &mut self.fillers, cut)?;
            }
            if cut {
                changed.await;
                continue;
            }
            tokio::select! {
                biased;
                _ = changed => {}
                accepted = listener.accept() => {
                    // May be one of the connections that filled the backlog of a cut link: it is closed by
                    // now, and the first read ends it.
                    return Ok(LinkStream::new(accepted?.0, Rc::clone(&self.link)));
                }
            }
        }
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    bind(address)?.listen(BACKLOG as u32)
}

/// Binds a socket to `address` without listening, so that connections to it are refused.
fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    // The address may have been closed a moment ago.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Fills the listener's backlog so that new connections stay unanswered, or opens it again.
fn set_backlog_full(
    listener: &TcpListener,
    address: SocketAddr,
    fillers: &mut Vec<StdStream>,
    full: bool,
) -> io::Result<()> {
    SockRef::from(listener).listen(if full { CUT_BACKLOG } else { BACKLOG })?;
    if !full {
        fillers.clear();
        return Ok(());
    }
    for _ in 0..BACKLOG_FILLERS {
        let filler = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        filler.set_nonblocking(true)?;
        // A pending connect is enough: it takes a slot in the backlog as soon as one is free.
        let _ = filler.connect(&address.into());
        fillers.push(filler.into());
    }
    Ok(())
}
