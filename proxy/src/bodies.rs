//! Bodies on their way: requests to hosts, and how the pace of those that send them is judged.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::{Instant, Sleep, sleep, timeout};

use crate::hosts::Order;
use crate::memory::{Hold, Room};
use crate::sockets::Watched;

/// A body up to this is read whole before it goes on.
pub const WHOLE_MOST: usize = 64 * 1024;
/// Whole bodies are written in pieces of this size, so that no connection's buffer grows to the size of a body.
const PIECE: usize = 16 * 1024;
/// What a body has to make for each second that it is waited for, in bytes.
const PACE: f64 = 64_000.0;

/// A request that finds no room for its body for so long is given up.
const ROOM_WITHIN: Duration = Duration::from_millis(500);

/// Why a body did not come whole.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Trouble {
    /// It fell behind the pace.
    #[error("the body did not come in time")]
    Late,
    /// It ended early, or not in the form that the protocol asks for.
    #[error("the body broke off")]
    Broken,
    /// The memory for bodies is in use.
    #[error("there is no room for the body at present")]
    Room,
}

/// A body that is read no faster than it is asked for. Only the time that it is waited for counts against it.
pub struct Paced {
    body: Incoming,
    grace: Duration,
    got: u64,
    waited: Duration,
    since: Option<Instant>,
    alarm: Option<Pin<Box<Sleep>>>,
}

impl Paced {
    /// Allows for `grace` beyond the pace.
    pub fn new(body: Incoming, grace: Duration) -> Paced {
        Paced { body, grace, got: 0, waited: Duration::ZERO, since: None, alarm: None }
    }

    /// Whether it is known to hold nothing more.
    pub fn is_over(&self) -> bool {
        self.body.is_end_stream()
    }

    /// How long it has kept us waiting so far.
    pub fn waited(&self) -> Duration {
        self.waited
    }

    /// The next part of it. Trailers are no part of it.
    pub fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Trouble>>> {
        loop {
            let polled = Pin::new(&mut self.body).poll_frame(cx);
            if polled.is_ready()
                && let Some(since) = self.since.take()
            {
                self.waited += since.elapsed();
            }
            match polled {
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) if !data.is_empty() => {
                        self.got += data.len() as u64;
                        return Poll::Ready(Some(Ok(data)));
                    }
                    _ => {}
                },
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Some(Err(Trouble::Broken))),
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Pending => {
                    let since = *self.since.get_or_insert_with(Instant::now);
                    let allowed = self.grace + Duration::from_secs_f64(self.got as f64 / PACE);
                    let until = since + allowed.saturating_sub(self.waited);
                    let alarm = self.alarm.get_or_insert_with(|| Box::pin(sleep(Duration::ZERO)));
                    if alarm.deadline() != until {
                        alarm.as_mut().reset(until);
                    }
                    ready!(alarm.as_mut().poll(cx));
                    return Poll::Ready(Some(Err(Trouble::Late)));
                }
            }
        }
    }

    /// Reads up to about [`WHOLE_MOST`] bytes with room for them; whether that was all.
    ///
    /// # Errors
    /// When it does not come, or there is no room for it.
    pub async fn first(&mut self, room: &Room) -> Result<(Bytes, Option<Hold>, bool), Trouble> {
        let length = self.body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
        let known = length.unwrap_or(0).min(WHOLE_MOST);
        let mut hold = room_within(room.short(known)).await?;
        let (mut first, mut held) = (BytesMut::with_capacity(known), known);
        while !self.is_over() && first.len() <= WHOLE_MOST {
            match std::future::poll_fn(|cx| self.poll_data(cx)).await.transpose()? {
                Some(data) => first.extend_from_slice(&data),
                None => return Ok((first.freeze(), Some(hold), true)),
            }
            if first.len() > held {
                hold.merge(room_within(room.short(PIECE)).await?);
                held += PIECE;
            }
        }
        Ok((first.freeze(), Some(hold), self.is_over()))
    }
}

/// Guards against requests that wait for room which others hold that wait as well.
async fn room_within(room: impl Future<Output = Option<Hold>>) -> Result<Hold, Trouble> {
    timeout(ROOM_WITHIN, room).await.ok().flatten().ok_or(Trouble::Room)
}

/// How far a long body has come.
#[derive(Clone, Copy, PartialEq)]
enum Coming {
    More,
    /// Its last byte was read, and when.
    Whole(Instant),
    Not(Trouble),
}

/// A body that goes on as it comes.
pub struct Long {
    /// Kept for as long as the body can be sent again, with what it takes of the room.
    first: RefCell<(Bytes, Option<Hold>)>,
    rest: RefCell<Paced>,
    length: Option<u64>,
    coming: watch::Sender<Coming>,
    /// Some of the rest has been taken, so no second attempt could send it.
    spent: Cell<bool>,
    _hold: Hold,
}

impl Long {
    /// `first` has been read of it already; `length` is that of the whole, where it is known.
    pub fn new(first: (Bytes, Option<Hold>), rest: Paced, length: Option<u64>, hold: Hold) -> Long {
        let (rest, coming) = (RefCell::new(rest), watch::Sender::new(Coming::More));
        Long { first: RefCell::new(first), rest, length, coming, spent: Cell::new(false), _hold: hold }
    }

    /// Some of the rest is gone, so the first part is of no more use either.
    fn spend(&self) {
        self.spent.set(true);
        self.first.take();
    }

    /// Whether no attempt can send it any more.
    pub fn is_spent(&self) -> bool {
        self.spent.get()
    }

    /// When its last byte was read, if it was.
    pub fn came(&self) -> Option<Instant> {
        match *self.coming.borrow() {
            Coming::Whole(at) => Some(at),
            _ => None,
        }
    }

    /// Waits until it has come whole, or never will.
    pub async fn settled(&self) -> Result<Instant, Trouble> {
        let mut coming = self.coming.subscribe();
        match coming.wait_for(|coming| *coming != Coming::More).await.as_deref() {
            Ok(Coming::Whole(at)) => Ok(*at),
            Ok(Coming::Not(trouble)) => Err(*trouble),
            // Its sender is here.
            _ => Err(Trouble::Broken),
        }
    }
}

/// The body of a request.
pub enum Payload {
    /// All of it.
    Whole(Bytes),
    /// The rest is still to come, or was not read yet.
    Long(Box<Long>),
}

/// The body of one attempt.
pub struct Outgoing {
    order: Rc<Order>,
    given: u64,
    watched: Rc<Watched>,
}

impl Outgoing {
    /// Tells `watched` when all of the body has been handed to the writer.
    pub fn new(order: Rc<Order>, watched: Rc<Watched>) -> Outgoing {
        let outgoing = Outgoing { order, given: 0, watched };
        if outgoing.is_end_stream() {
            outgoing.watched.given_all();
        }
        outgoing
    }

    /// The next piece of what is held in memory.
    fn piece(&mut self, held: &Bytes) -> Option<Bytes> {
        let from = usize::try_from(self.given).ok().filter(|from| *from < held.len())?;
        let piece = held.slice(from..held.len().min(from + PIECE));
        self.given += piece.len() as u64;
        Some(piece)
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Trouble;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Trouble>>> {
        let order = Rc::clone(&self.order);
        let (held, long) = match &order.body {
            Payload::Whole(body) => (body.clone(), None),
            Payload::Long(long) => (long.first.borrow().0.clone(), Some(long)),
        };
        let mut piece = self.piece(&held);
        if piece.is_none()
            && let Some(long) = long
        {
            match ready!(long.rest.borrow_mut().poll_data(cx)) {
                Some(Ok(data)) => {
                    long.spend();
                    self.given += data.len() as u64;
                    piece = Some(data);
                }
                Some(Err(trouble)) => {
                    long.spend();
                    long.coming.send_replace(Coming::Not(trouble));
                    return Poll::Ready(Some(Err(trouble)));
                }
                None => {}
            }
        }
        if piece.is_none() || self.is_end_stream() {
            if let Some(long) = long {
                // From here on there is nothing to read, so a second attempt would send a shorter one.
                long.spend();
                long.coming.send_replace(Coming::Whole(Instant::now()));
            }
            self.watched.given_all();
        }
        Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.size_hint().exact() == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        let length = match &self.order.body {
            Payload::Whole(body) => Some(body.len() as u64),
            Payload::Long(long) => long.length,
        };
        length.map_or_else(SizeHint::default, |length| SizeHint::with_exact(length - self.given.min(length)))
    }
}

/// Takes the next piece off the front of what is left.
pub fn next_piece(left: &mut Bytes) -> Bytes {
    left.split_to(left.len().min(PIECE))
}

#[cfg(test)]
mod tests {
    use std::io::{Read, Write};

    use hyper_util::rt::TokioIo;

    use super::*;

    /// Guards against a client answered late: while its body lay ready and waited for room its time ran.
    #[test]
    fn what_waits_for_room_has_not_kept_us_waiting() {
        const NO_ROOM: Duration = Duration::from_millis(200);
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        std::thread::spawn(move || {
            let mut stream = listener.accept().expect("a connection").0;
            let _ = stream.read(&mut [0; 1024]).expect("a head");
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc").expect("written");
            let _ = stream.read(&mut [0; 1]);
        });
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), async {
            let stream = tokio::net::TcpStream::connect(address).await.expect("accepted");
            let made = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
            let (mut sender, connection) = made.expect("no words yet");
            tokio::task::spawn_local(connection);
            let request = hyper::Request::new(http_body_util::Empty::<Bytes>::new());
            let body = sender.send_request(request).await.expect("a head").into_body();
            let (start, room) = (Instant::now(), Room::new(0));
            let all = [room.short(usize::MAX).await, room.short(usize::MAX).await];
            let mut paced = Paced::new(body, Duration::from_secs(20));
            tokio::task::spawn_local(async move {
                sleep(NO_ROOM).await;
                drop(all);
            });
            assert_eq!(paced.first(&room).await.expect("room").0, "abc");
            assert!(start.elapsed() - paced.waited() >= NO_ROOM);
        });
    }
}
