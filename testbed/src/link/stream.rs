//! An accepted connection to which the faults of its link are applied.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

use super::{Link, LinkDirection};
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
