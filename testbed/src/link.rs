//! Simulated network links. Delay, loss and partitions are set for each direction of a link. A [`LinkStream`]
//! is an accepted connection to which these faults are applied; a [`LinkListener`] accepts the connections of
//! one link.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpStream as StdStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use rand_pcg::Pcg32;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::chance::uniform;

/// Extra delay of a chunk for each time that it is lost: TCP's minimum retransmission timeout on a short
/// path.
const RETRANSMISSION: Duration = Duration::from_millis(200);
/// Upper limit of the loss probability, since each chunk is resent until it arrives. A scenario that wants
/// more loss has to cut the link.
const MAX_LOSS: f64 = 0.9;
/// Maximum number of bytes in flight in one direction of a connection.
const MAX_IN_FLIGHT_BYTES: usize = 256 * 1024;
/// Maximum number of bytes per read or write.
const MAX_CHUNK_BYTES: usize = 16 * 1024;
/// Listen backlog while the link is open.
const BACKLOG: i32 = 1024;
/// Listen backlog while the link is cut.
const CUT_BACKLOG: i32 = 0;
/// Connections that occupy the backlog of a cut link, so that new ones stay unanswered: the kernel queues one
/// connection more than the backlog says.
const BACKLOG_FILLERS: usize = 2;

/// One direction of a link.
#[derive(Default)]
pub struct LinkDirection {
    cut: Cell<bool>,
    delay: Cell<Duration>,
    /// Added to `delay` while a fault is active.
    extra_delay: Cell<Duration>,
    /// Share of the chunks that are lost and arrive only after a retransmission.
    loss: Cell<f64>,
}

impl LinkDirection {
    fn total_delay(&self) -> Duration {
        self.delay.get() + self.extra_delay.get()
    }
}

/// The link between two parties.
pub struct Link {
    /// From the connecting side to the accepting side.
    pub forward: LinkDirection,
    /// From the accepting side to the connecting side.
    pub reverse: LinkDirection,
    /// Number of resets so far; a connection that was made before the last one is reset.
    resets: Cell<u64>,
    /// New connections are refused, as if nothing listened on the port.
    refused: Cell<bool>,
    rng: RefCell<Pcg32>,
    wakers: RefCell<Vec<Waker>>,
    changed: Notify,
}

impl Link {
    /// Creates a link without delay or faults. Losses that are set later are drawn from `rng`.
    pub fn new(rng: Pcg32) -> Rc<Link> {
        let (forward, reverse, resets, refused) = Default::default();
        let (wakers, changed) = Default::default();
        Rc::new(Link { forward, reverse, resets, refused, rng: RefCell::new(rng), wakers, changed })
    }

    /// Sets the delay that a fault adds to the normal delay of each direction.
    pub fn slow(&self, forward: Duration, reverse: Duration) {
        self.forward.extra_delay.set(forward);
        self.reverse.extra_delay.set(reverse);
        self.wake_all();
    }

    /// Sets the share of chunks that are lost in each direction. A lost chunk arrives one or more
    /// retransmissions later, and all chunks behind it wait for it.
    pub fn lose(&self, forward: f64, reverse: f64) {
        self.forward.loss.set(forward);
        self.reverse.loss.set(reverse);
    }

    /// Sets whether new connections are refused.
    pub fn refuse(&self, refused: bool) {
        self.refused.set(refused);
        self.wake_all();
    }

    /// Sets the normal delay of each direction, for data and for new connections.
    pub fn delay(&self, forward: Duration, reverse: Duration) {
        self.forward.delay.set(forward);
        self.reverse.delay.set(reverse);
        self.wake_all();
    }

    /// The current delays of the forward and of the reverse direction, faults included.
    pub fn delays(&self) -> (Duration, Duration) {
        (self.forward.total_delay(), self.reverse.total_delay())
    }

    /// Cuts or restores each direction. Data sent while a direction is cut arrives once it is restored.
    pub fn cut(&self, forward: bool, reverse: bool) {
        self.forward.cut.set(forward);
        self.reverse.cut.set(reverse);
        self.wake_all();
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.resets.set(self.resets.get() + 1);
        self.wake_all();
    }

    fn wake_all(&self) {
        self.wakers.take().into_iter().for_each(Waker::wake);
        self.changed.notify_waiters();
    }

    fn register(&self, cx: &Context<'_>) {
        let mut wakers = self.wakers.borrow_mut();
        if !wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
            wakers.push(cx.waker().clone());
        }
    }
}

/// The chunks in flight in one direction of a connection.
struct InFlight {
    /// Arrival time and content of each chunk.
    chunks: VecDeque<(Instant, Vec<u8>)>,
    bytes: usize,
    /// When the connection is established over the link; no chunk is sent earlier.
    established: Instant,
    timer: Pin<Box<Sleep>>,
}

impl InFlight {
    fn new(established: Instant) -> InFlight {
        InFlight { chunks: VecDeque::new(), bytes: 0, established, timer: Box::pin(sleep_until(established)) }
    }

    fn push(&mut self, link: &Link, direction: &LinkDirection, bytes: Vec<u8>) {
        self.bytes += bytes.len();
        let mut due = self.established.max(Instant::now()) + direction.total_delay();
        while direction.loss.get() > 0.0
            && uniform(&mut link.rng.borrow_mut()) < direction.loss.get().min(MAX_LOSS)
        {
            due += RETRANSMISSION;
        }
        // A TCP stream delivers in order, so no chunk arrives before an earlier one.
        let due = self.chunks.back().map_or(due, |(last, _)| due.max(*last));
        self.chunks.push_back((due, bytes));
    }

    /// Ready when the first chunk has arrived.
    fn poll_due(&mut self, link: &Link, direction: &LinkDirection, cx: &mut Context<'_>) -> Poll<()> {
        let Some((due, _)) = self.chunks.front() else { return Poll::Pending };
        if direction.cut.get() {
            link.register(cx);
            return Poll::Pending;
        }
        if *due <= Instant::now() {
            return Poll::Ready(());
        }
        self.timer.as_mut().reset(*due);
        self.timer.as_mut().poll(cx)
    }

    /// Removes `taken` bytes from the front of the first chunk.
    fn take(&mut self, taken: usize) {
        self.bytes -= taken;
        if let Some((_, chunk)) = self.chunks.front_mut() {
            chunk.drain(..taken);
            if chunk.is_empty() {
                self.chunks.pop_front();
            }
        }
    }
}

/// The accepting side of a connection over a link: it reads from the forward direction and writes to the
/// reverse one.
pub struct LinkStream {
    stream: Rc<TcpStream>,
    link: Rc<Link>,
    resets: u64,
    incoming: InFlight,
    /// The peer has closed its sending side. Reported as end of file once all chunks before it were read.
    eof: bool,
    outgoing: InFlight,
}

impl LinkStream {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream, link: Rc<Link>) -> LinkStream {
        // Fails only if the connection is already broken, which the first read or write reports.
        let _ = stream.set_nodelay(true);
        let resets = link.resets.get();
        // The kernel completes the handshake at once; over the link it takes one round trip.
        let established = Instant::now() + link.forward.total_delay() + link.reverse.total_delay();
        let stream = Rc::new(stream);
        LinkStream {
            stream,
            link,
            resets,
            incoming: InFlight::new(established),
            eof: false,
            outgoing: InFlight::new(established),
        }
    }

    /// Returns a check whether the peer still has the connection open, independent of the link's delays and
    /// faults.
    pub fn is_open(&self) -> impl Fn() -> bool + Clone + use<> {
        let stream = Rc::clone(&self.stream);
        move || {
            let mut byte = [std::mem::MaybeUninit::uninit()];
            match SockRef::from(&*stream).peek(&mut byte) {
                Ok(read) => read > 0,
                Err(error) => error.kind() == io::ErrorKind::WouldBlock,
            }
        }
    }

    fn check_reset(&self) -> io::Result<()> {
        if self.resets == self.link.resets.get() {
            return Ok(());
        }
        // With a linger time of zero, closing the socket sends a reset.
        let _ = SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO));
        Err(io::ErrorKind::ConnectionReset.into())
    }

    /// Reads what the socket has received into the queue of incoming chunks.
    fn fill(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        while !self.eof && self.incoming.bytes < MAX_IN_FLIGHT_BYTES {
            match self.stream.poll_read_ready(cx) {
                Poll::Pending => return Ok(()),
                Poll::Ready(ready) => ready?,
            }
            let mut chunk = vec![0; MAX_CHUNK_BYTES];
            match self.stream.try_read(&mut chunk) {
                Ok(0) => self.eof = true,
                Ok(read) => {
                    chunk.truncate(read);
                    self.incoming.push(&self.link, &self.link.forward, chunk);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}

impl AsyncRead for LinkStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        this.check_reset()?;
        this.link.register(cx);
        this.fill(cx)?;
        if this.incoming.chunks.is_empty() {
            // A close by the peer doesn't get through a direction that is cut.
            return if this.eof && !this.link.forward.cut.get() {
                Poll::Ready(Ok(()))
            } else {
                Poll::Pending
            };
        }
        if this.incoming.poll_due(&this.link, &this.link.forward, cx).is_pending() {
            return Poll::Pending;
        }
        let chunk = this.incoming.chunks.front().map_or(&[][..], |(_, chunk)| chunk);
        let taken = chunk.len().min(buf.remaining());
        buf.put_slice(&chunk[..taken]);
        this.incoming.take(taken);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LinkStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        this.check_reset()?;
        if this.outgoing.bytes >= MAX_IN_FLIGHT_BYTES && Pin::new(&mut *this).poll_flush(cx)?.is_pending() {
            return Poll::Pending;
        }
        let taken = buf.len().min(MAX_CHUNK_BYTES);
        this.outgoing.push(&this.link, &this.link.reverse, buf[..taken].to_vec());
        Poll::Ready(Ok(taken))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        this.check_reset()?;
        this.link.register(cx);
        while !this.outgoing.chunks.is_empty() {
            std::task::ready!(this.outgoing.poll_due(&this.link, &this.link.reverse, cx));
            std::task::ready!(this.stream.poll_write_ready(cx))?;
            let chunk = this.outgoing.chunks.front().map_or(&[][..], |(_, chunk)| chunk);
            match this.stream.try_write(chunk) {
                Ok(written) => this.outgoing.take(written),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(self.as_mut().poll_flush(cx))?;
        let closed = SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write);
        // A connection that the peer has already closed needs no shutdown.
        Poll::Ready(closed.or_else(|e| if e.kind() == io::ErrorKind::NotConnected { Ok(()) } else { Err(e) }))
    }
}

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

#[cfg(test)]
mod tests;
