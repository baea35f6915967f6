//! The way between two parties, each direction by itself: what it takes, and whether anything comes through. A
//! [`Piped`] stream is a socket behind such a link; a [`Door`] is an address at which a link's connections come in.

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

/// How much later a piece comes that was lost once. As TCP has it on a short way.
const RETRANSMISSION: Duration = Duration::from_millis(200);
/// A link that loses more than this is cut, and is to be told so.
const LOSS_MOST: f64 = 0.9;
/// What is under way in one direction of a connection at most.
const UNDER_WAY: usize = 256 * 1024;
/// What is read or written at once.
const PIECE: usize = 16 * 1024;
/// How many connections wait to be accepted: while a link is open, and while it is cut.
const QUEUE: i32 = 1024;
const NO_QUEUE: i32 = 0;
/// Fill what is left of the queue of a cut link: the system holds one connection more than it is told.
const FILLERS: usize = 2;

/// One direction of a link.
#[derive(Default)]
pub struct Way {
    cut: Cell<bool>,
    delay: Cell<Duration>,
    /// On top of it, for as long as something is wrong.
    more: Cell<Duration>,
    /// The part of the pieces that are lost on the way, and come later.
    loss: Cell<f64>,
}

impl Way {
    fn takes(&self) -> Duration {
        self.delay.get() + self.more.get()
    }
}

/// The link between two parties.
pub struct Link {
    /// From the one that connects.
    pub out: Way,
    /// Back to it.
    pub back: Way,
    /// Grows with each reset of all connections.
    resets: Cell<u64>,
    /// Nobody listens at the other end.
    refused: Cell<bool>,
    rng: RefCell<Pcg32>,
    waiting: RefCell<Vec<Waker>>,
    changed: Notify,
}

impl Link {
    /// A link over which all comes through at once. What it loses later is drawn from `rng`.
    pub fn new(rng: Pcg32) -> Rc<Link> {
        let (out, back, resets, refused) = Default::default();
        let (waiting, changed) = Default::default();
        Rc::new(Link { out, back, resets, refused, rng: RefCell::new(rng), waiting, changed })
    }

    /// On these ways a byte takes so much more than it does when nothing is wrong.
    pub fn slow(&self, out: Duration, back: Duration) {
        self.out.more.set(out);
        self.back.more.set(back);
        self.tell();
    }

    /// This part of the pieces is lost, and comes a retransmission later; all behind it waits for it.
    pub fn lose(&self, out: f64, back: f64) {
        self.out.loss.set(out);
        self.back.loss.set(back);
    }

    /// New connections are refused from now on, or no more.
    pub fn refuse(&self, refused: bool) {
        self.refused.set(refused);
        self.tell();
    }

    /// What a byte, or a connection, takes from now on.
    pub fn delay(&self, out: Duration, back: Duration) {
        self.out.delay.set(out);
        self.back.delay.set(back);
        self.tell();
    }

    /// What a byte takes at present, there and back.
    pub fn delays(&self) -> (Duration, Duration) {
        (self.out.takes(), self.back.takes())
    }

    /// Lets nothing through any more, or everything that has come meanwhile and comes from now on.
    pub fn cut(&self, out: bool, back: bool) {
        self.out.cut.set(out);
        self.back.cut.set(back);
        self.tell();
    }

    /// Resets all connections that are open.
    pub fn reset(&self) {
        self.resets.set(self.resets.get() + 1);
        self.tell();
    }

    fn tell(&self) {
        self.waiting.take().into_iter().for_each(Waker::wake);
        self.changed.notify_waiters();
    }

    fn wait(&self, cx: &Context<'_>) {
        let mut waiting = self.waiting.borrow_mut();
        if !waiting.iter().any(|waker| waker.will_wake(cx.waker())) {
            waiting.push(cx.waker().clone());
        }
    }
}

/// What is under way in one direction of a connection.
struct Queue {
    pieces: VecDeque<(Instant, Vec<u8>)>,
    bytes: usize,
    /// Nothing sets out before.
    since: Instant,
    alarm: Pin<Box<Sleep>>,
}

impl Queue {
    fn new(since: Instant) -> Queue {
        Queue { pieces: VecDeque::new(), bytes: 0, since, alarm: Box::pin(sleep_until(since)) }
    }

    fn push(&mut self, link: &Link, way: &Way, bytes: Vec<u8>) {
        self.bytes += bytes.len();
        let mut due = self.since.max(Instant::now()) + way.takes();
        while way.loss.get() > 0.0 && uniform(&mut link.rng.borrow_mut()) < way.loss.get().min(LOSS_MOST) {
            due += RETRANSMISSION;
        }
        // In order: nothing overtakes what was sent before.
        let due = self.pieces.back().map_or(due, |(last, _)| due.max(*last));
        self.pieces.push_back((due, bytes));
    }

    /// Ready when the first piece has arrived.
    fn poll_due(&mut self, link: &Link, way: &Way, cx: &mut Context<'_>) -> Poll<()> {
        let Some((due, _)) = self.pieces.front() else { return Poll::Pending };
        if way.cut.get() {
            link.wait(cx);
            return Poll::Pending;
        }
        if *due <= Instant::now() {
            return Poll::Ready(());
        }
        self.alarm.as_mut().reset(*due);
        self.alarm.as_mut().poll(cx)
    }

    /// Takes so much off the first piece.
    fn take(&mut self, taken: usize) {
        self.bytes -= taken;
        if let Some((_, piece)) = self.pieces.front_mut() {
            piece.drain(..taken);
            if piece.is_empty() {
                self.pieces.pop_front();
            }
        }
    }
}

/// A connection behind a link, on the side that was connected to: what it reads came `out`, what it writes goes `back`.
pub struct Piped {
    stream: Rc<TcpStream>,
    link: Rc<Link>,
    resets: u64,
    coming: Queue,
    /// The other side sends nothing more, which is known once all before it has come.
    ended: bool,
    going: Queue,
}

impl Piped {
    /// Takes over a connection.
    pub fn new(stream: TcpStream, link: Rc<Link>) -> Piped {
        // Fails only where the connection is broken already, which the first use shows.
        let _ = stream.set_nodelay(true);
        let resets = link.resets.get();
        // The system has made the connection at once; over the link that takes there and back.
        let made = Instant::now() + link.out.takes() + link.back.takes();
        let stream = Rc::new(stream);
        Piped { stream, link, resets, coming: Queue::new(made), ended: false, going: Queue::new(made) }
    }

    /// Tells whether the other side still holds the connection open, whatever the link lets through.
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

    fn check(&self) -> io::Result<()> {
        if self.resets == self.link.resets.get() {
            return Ok(());
        }
        // Closed at once, with a reset.
        let _ = SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO));
        Err(io::ErrorKind::ConnectionReset.into())
    }

    /// Takes in what has come to the socket.
    fn fill(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        while !self.ended && self.coming.bytes < UNDER_WAY {
            match self.stream.poll_read_ready(cx) {
                Poll::Pending => return Ok(()),
                Poll::Ready(ready) => ready?,
            }
            let mut piece = vec![0; PIECE];
            match self.stream.try_read(&mut piece) {
                Ok(0) => self.ended = true,
                Ok(read) => {
                    piece.truncate(read);
                    self.coming.push(&self.link, &self.link.out, piece);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}

impl AsyncRead for Piped {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        this.check()?;
        this.link.wait(cx);
        this.fill(cx)?;
        if this.coming.pieces.is_empty() {
            // A close is not heard over a link that is cut.
            return if this.ended && !this.link.out.cut.get() { Poll::Ready(Ok(())) } else { Poll::Pending };
        }
        if this.coming.poll_due(&this.link, &this.link.out, cx).is_pending() {
            return Poll::Pending;
        }
        let piece = this.coming.pieces.front().map_or(&[][..], |(_, piece)| piece);
        let taken = piece.len().min(buf.remaining());
        buf.put_slice(&piece[..taken]);
        this.coming.take(taken);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Piped {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        this.check()?;
        if this.going.bytes >= UNDER_WAY && Pin::new(&mut *this).poll_flush(cx)?.is_pending() {
            return Poll::Pending;
        }
        let taken = buf.len().min(PIECE);
        this.going.push(&this.link, &this.link.back, buf[..taken].to_vec());
        Poll::Ready(Ok(taken))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        this.check()?;
        this.link.wait(cx);
        while !this.going.pieces.is_empty() {
            std::task::ready!(this.going.poll_due(&this.link, &this.link.back, cx));
            std::task::ready!(this.stream.poll_write_ready(cx))?;
            let piece = this.going.pieces.front().map_or(&[][..], |(_, piece)| piece);
            match this.stream.try_write(piece) {
                Ok(written) => this.going.take(written),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(self.as_mut().poll_flush(cx))?;
        let closed = SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write);
        // One that the other side has closed needs no closing.
        Poll::Ready(closed.or_else(|e| if e.kind() == io::ErrorKind::NotConnected { Ok(()) } else { Err(e) }))
    }
}

/// An address of its own for one link.
pub struct Door {
    /// Nothing while connections are refused ...
    listener: Option<TcpListener>,
    /// ... and meanwhile what keeps the address from being given to another play.
    held: Option<TcpSocket>,
    address: SocketAddr,
    link: Rc<Link>,
    fillers: Vec<StdStream>,
}

impl Door {
    /// Listens on a port that the system chooses.
    ///
    /// # Errors
    /// As the system says.
    pub fn open(link: Rc<Link>) -> io::Result<Door> {
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        Ok(Door { listener: Some(listener), held: None, address, link, fillers: Vec::new() })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The next connection. While the link is cut, either way, none comes up.
    pub async fn accept(&mut self) -> io::Result<Piped> {
        loop {
            let link = Rc::clone(&self.link);
            let changed = link.changed.notified();
            if self.link.refused.get() {
                if self.listener.take().is_some() {
                    self.held = Some(hold(self.address)?);
                }
                changed.await;
                continue;
            }
            let listener = match self.listener.take() {
                Some(listener) => listener,
                None => match self.held.take() {
                    Some(held) => held.listen(QUEUE as u32)?,
                    None => listen(self.address)?,
                },
            };
            let listener = self.listener.insert(listener);
            let closed = self.link.out.cut.get() || self.link.back.cut.get();
            if closed == self.fillers.is_empty() {
                shut(listener, self.address, &mut self.fillers, closed)?;
            }
            if closed {
                changed.await;
                continue;
            }
            tokio::select! {
                biased;
                _ = changed => {}
                accepted = listener.accept() => {
                    // One that filled the queue is closed by now, and ends at its first use.
                    return Ok(Piped::new(accepted?.0, Rc::clone(&self.link)));
                }
            }
        }
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    hold(address)?.listen(QUEUE as u32)
}

/// Has an address, at which connections are refused.
fn hold(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    // For an address that was closed a moment ago.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Fills the queue of connections, or opens it again.
fn shut(
    listener: &TcpListener,
    address: SocketAddr,
    fillers: &mut Vec<StdStream>,
    shut: bool,
) -> io::Result<()> {
    SockRef::from(listener).listen(if shut { NO_QUEUE } else { QUEUE })?;
    if !shut {
        fillers.clear();
        return Ok(());
    }
    for _ in 0..FILLERS {
        let filler = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        filler.set_nonblocking(true)?;
        // Under way is enough: it takes the place as soon as there is one.
        let _ = filler.connect(&address.into());
        fillers.push(filler.into());
    }
    Ok(())
}

#[cfg(test)]
mod tests;
