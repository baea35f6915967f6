use std::io::{Read, Write};
use std::net::TcpListener;

use tokio::io::AsyncWriteExt;
use tokio::time::advance;

use std::pin::Pin;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::read_ahead::MAX_SEGMENTS;
use std::task::Poll;

use super::*;
use crate::socket_budget::{Side, SocketBudget};

async fn connected_pair() -> (Rc<MonitoredStream>, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("could not bind a loopback port");
    let address = listener.local_addr().expect("no local address");
    let stream = TcpStream::connect(address).await.expect("could not connect");
    let permit = SocketBudget::new(1024, 0).try_acquire(Side::Upstream).expect("no socket permit");
    (MonitoredStream::new(stream, permit), listener.accept().expect("accept failed").0)
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("could not build the runtime").block_on(test);
}

/// A request that was written completely may have been run, a partial one cannot have been. If the two were
/// confused, a retry could cause a second effect, or a request that could be retried would fail.
#[test]
fn partly_written_request_is_reported_as_partial() {
    run(async {
        let (watched, mut peer) = connected_pair().await;
        SockRef::from(&watched.stream).set_send_buffer_size(4096).expect("could not set the buffer size");
        assert!(watched.is_partially_written(), "nothing has been written yet");
        let mut io = Io(Rc::clone(&watched));
        io.write_all(b"whole").await.expect("could not write");
        assert!(watched.is_partially_written(), "more may follow");
        watched.mark_body_handed_over();
        assert!(!watched.is_partially_written());
        watched.begin_request(&Rc::default(), Box::new(|| true));
        assert!(watched.is_partially_written(), "a new request begins");
        watched.mark_body_handed_over();
        // More than all buffers hold, to a peer that does not read: the write stays unfinished.
        let large = vec![0; 64 << 20];
        let unfinished = std::future::poll_fn(|cx| {
            loop {
                match Pin::new(&mut io).poll_write(cx, &large) {
                    Poll::Ready(Ok(written)) if written < large.len() => {}
                    Poll::Ready(result) => return Poll::Ready(result.is_err()),
                    Poll::Pending => return Poll::Ready(true),
                }
            }
        });
        assert!(unfinished.await && watched.is_partially_written());
        let mut five = [0; 5];
        peer.read_exact(&mut five).expect("could not read the complete write");
    });
}

/// The system has received a close or unsolicited bytes, but no task has been notified yet. The connection
/// must not pass for idle.
#[test]
fn input_is_noticed_before_task_is_notified() {
    run(async {
        let (watched, mut peer) = connected_pair().await;
        assert!(watched.is_quiet());
        peer.write_all(b"x").expect("could not write");
        assert!(!watched.is_quiet());
        let (watched, peer) = connected_pair().await;
        peer.shutdown(std::net::Shutdown::Both).expect("could not close the connection");
        assert!(!watched.is_quiet());
    });
}

/// A client disconnects behind more data than is read ahead, and the runtime has not been notified since.
/// An attempt must not begin for it.
#[test]
fn hang_up_behind_read_ahead_is_detected() {
    run(async {
        for extra in [0, 1, MAX_READ_AHEAD, MAX_UNREAD, 2 * MAX_UNREAD] {
            let (watched, mut peer) = connected_pair().await;
            peer.write_all(&vec![0; MAX_READ_AHEAD + extra]).expect("could not write");
            // The runtime does not run from here on.
            assert_eq!(watched.query_hang_up(), None, "{extra} more");
            peer.shutdown(std::net::Shutdown::Write).expect("could not shut down the sending side");
            assert_eq!(watched.query_hang_up(), Some(HangUp::Closed), "{extra} more");
        }
    });
}

/// Guards against taking a peer for connected whose end of the stream a full socket buffer may hide.
#[test]
fn peer_of_unknown_status_counts_as_closed() {
    run_paused(async {
        let (watched, mut peer) = connected_pair().await;
        assert_eq!(watched.query_status(), PeerStatus::Connected);
        peer.write_all(&vec![0; MAX_UNREAD + 1]).expect("could not write");
        let written = Instant::now();
        assert_eq!(watched.query_status(), PeerStatus::Unknown);
        assert_eq!(watched.wait_for_hang_up().await, HangUp::Closed);
        let waited = written.elapsed();
        assert!((MAX_UNKNOWN_TIME..Duration::from_millis(100)).contains(&waited), "{waited:?}");
        let mut unread = vec![0; MAX_UNREAD + 1];
        let mut io = Io(Rc::clone(&watched));
        tokio::io::AsyncReadExt::read_exact(&mut io, &mut unread).await.expect("could not read");
        assert_eq!(watched.query_status(), PeerStatus::Connected, "nothing is unread any more");
        peer.shutdown(std::net::Shutdown::Write).expect("could not shut down the sending side");
        assert_eq!(watched.query_status(), PeerStatus::HungUp(HangUp::Closed));
    });
}

/// A read that returns less than the buffer holds does not mean that nothing follows: an end of stream may
/// be behind it.
#[test]
fn hang_up_behind_short_read_is_detected() {
    run(async {
        for length in [1, 100, 2000] {
            let (watched, mut peer) = connected_pair().await;
            peer.write_all(&vec![0; length]).expect("could not write");
            peer.shutdown(std::net::Shutdown::Write).expect("could not shut down the sending side");
            // The runtime does not run from here on.
            assert_eq!(watched.query_hang_up(), Some(HangUp::Closed), "{length} bytes");
        }
    });
}

/// The peer has to see the end of the stream at once, not after the drain: a client would learn a second
/// late that its response is truncated.
#[test]
fn draining_shuts_down_sending_side() {
    run(async {
        let (watched, mut peer) = connected_pair().await;
        peer.set_read_timeout(Some(Duration::from_secs(20))).expect("could not set the read timeout");
        tokio::select! {
            biased;
            _ = watched.drain(Duration::from_secs(3600)) => panic!("the other side has not closed"),
            _ = std::future::ready(()) => {}
        }
        assert_eq!(peer.read(&mut [0; 1]).expect("could not read the end of the stream"), 0);
    });
}

/// Runs a test with a clock that only [`advance`] moves.
fn run_paused(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("could not build the runtime").block_on(test);
}

const SECOND: Duration = Duration::from_secs(1);

/// Sends `bytes` and waits until the runtime has been notified.
async fn send(watched: &MonitoredStream, peer: &mut std::net::TcpStream, bytes: &[u8]) {
    peer.write_all(bytes).expect("could not write");
    watched.stream.readable().await.expect("could not poll the socket");
}

/// Reads once; returns the bytes and the earliest time at which they can have been sent, as far as known.
async fn read(watched: &Rc<MonitoredStream>) -> (Vec<u8>, Instant) {
    let mut buf = vec![0; 100];
    let read =
        tokio::io::AsyncReadExt::read(&mut Io(Rc::clone(watched)), &mut buf).await.expect("could not read");
    buf.truncate(read);
    (buf, watched.last_read_sent_after())
}

/// A pipelined request waits behind an earlier response, in the read-ahead or in the system's buffer. That
/// time must count against its deadline.
#[test]
fn unread_bytes_date_from_last_empty_read() {
    run_paused(async {
        let (watched, mut peer) = connected_pair().await;
        assert!(watched.is_quiet());
        let mut expected = Vec::new();
        for piece in [&b"one"[..], b"two", b"three"] {
            expected.push((piece.to_vec(), Instant::now()));
            advance(SECOND).await;
            send(&watched, &mut peer, piece).await;
            assert_eq!(watched.read_ahead_for_end(), None);
        }
        expected.push((b"four".to_vec(), Instant::now()));
        advance(SECOND).await;
        send(&watched, &mut peer, b"four").await;
        advance(SECOND).await;
        for expected in expected {
            assert_eq!(read(&watched).await, expected);
        }
    });
}

/// A request on an idle connection must not lose the time for which the connection was idle.
#[test]
fn bytes_that_wake_a_reader_are_new() {
    run_paused(async {
        let (watched, mut peer) = connected_pair().await;
        assert!(watched.is_quiet());
        for _ in 0..3 {
            let mut reading = pin!(read(&watched));
            for _ in 0..2 {
                assert!(std::future::poll_fn(|cx| Poll::Ready(reading.as_mut().poll(cx).is_pending())).await);
                advance(SECOND).await;
            }
            send(&watched, &mut peer, b"x").await;
            assert_eq!(reading.await.1, Instant::now());
        }
    });
}

/// A head that comes in pieces is taken at once, so that no buffer grows with their number, and its client's time
/// counts from the last of them. What is pipelined behind it keeps its own time.
#[test]
fn head_in_pieces_dates_from_its_last_byte() {
    run_paused(async {
        let (watched, mut peer) = connected_pair().await;
        let mut arrival = pin!(watched.wait_for_head());
        for piece in [&b"\r\nGET / HT"[..], b"TP/1.1\r\n", b"A: b\r\n\r"] {
            assert!(std::future::poll_fn(|cx| Poll::Ready(arrival.as_mut().poll(cx).is_pending())).await);
            advance(SECOND).await;
            send(&watched, &mut peer, piece).await;
        }
        assert!(std::future::poll_fn(|cx| Poll::Ready(arrival.as_mut().poll(cx).is_pending())).await);
        advance(SECOND).await;
        send(&watched, &mut peer, b"\n").await;
        let sent = Instant::now();
        assert_eq!(arrival.await, Arrival::Head);
        advance(SECOND).await;
        assert_eq!(watched.read_ahead_for_end(), None, "the socket buffer is empty");
        send(&watched, &mut peer, b"next").await;
        assert_eq!(watched.read_ahead_for_end(), None);
        assert_eq!(read(&watched).await, (b"\r\nGET / HTTP/1.1\r\nA: b\r\n\r\n".to_vec(), sent));
        assert_eq!(read(&watched).await.0, b"next");
    });
}

/// A client that closes in the middle of a head, or with none, is not waited for.
#[test]
fn end_of_stream_is_an_arrival() {
    run(async {
        for (sent, expected) in [(&b""[..], Arrival::End), (b"GET /", Arrival::Head)] {
            let (watched, mut peer) = connected_pair().await;
            peer.write_all(sent).expect("could not write");
            peer.shutdown(std::net::Shutdown::Write).expect("could not shut down the sending side");
            assert_eq!(watched.wait_for_head().await, expected);
        }
    });
}

/// The same for bytes that come while a response is awaited, and are read ahead.
#[test]
fn bytes_waking_hang_up_watch_are_new() {
    run_paused(async {
        let (watched, mut peer) = connected_pair().await;
        let mut hung_up = pin!(watched.wait_for_hang_up());
        let mut sent = Vec::new();
        for _ in 0..3 {
            assert!(std::future::poll_fn(|cx| Poll::Ready(hung_up.as_mut().poll(cx).is_pending())).await);
            advance(SECOND).await;
            send(&watched, &mut peer, b"x").await;
            sent.push(Instant::now());
        }
        assert!(std::future::poll_fn(|cx| Poll::Ready(hung_up.as_mut().poll(cx).is_pending())).await);
        advance(SECOND).await;
        for sent in sent {
            assert_eq!(read(&watched).await, (b"x".to_vec(), sent));
        }
    });
}

/// If the task has used up its cooperative budget, a pending read does not mean that the system's buffer is
/// empty. Bytes that were already there must not pass for new ones.
#[test]
fn read_without_coop_budget_proves_nothing() {
    use tokio::task::coop::poll_proceed;
    run_paused(async {
        let (watched, mut peer) = connected_pair().await;
        assert!(watched.is_quiet());
        let empty = Instant::now();
        send(&watched, &mut peer, b"x").await;
        advance(SECOND).await;
        std::future::poll_fn(|cx| {
            while let Poll::Ready(turn) = poll_proceed(cx) {
                turn.made_progress();
            }
            let mut buf = [0; 1];
            assert!(
                Pin::new(&mut Io(Rc::clone(&watched)))
                    .poll_read(cx, &mut ReadBuf::new(&mut buf))
                    .is_pending()
            );
            Poll::Ready(())
        })
        .await;
        tokio::task::yield_now().await;
        assert_eq!(read(&watched).await.1, empty);
    });
}

/// A request that its client sends right after a response must not lose the time that the response took,
/// and one that came earlier must not gain it.
#[test]
fn bytes_behind_response_date_from_check() {
    run_paused(async {
        let (watched, mut peer) = connected_pair().await;
        assert!(watched.is_quiet());
        advance(SECOND).await;
        watched.note_if_empty();
        let checked_at = Instant::now();
        send(&watched, &mut peer, b"x").await;
        advance(SECOND).await;
        watched.note_if_empty();
        assert_eq!(read(&watched).await.1, checked_at);
    });
}

/// A first request must not gain the time that it waited in the accept queue: the runtime is notified only
/// now of bytes that came with the connection.
#[test]
fn first_bytes_may_predate_accept() {
    run_paused(async {
        let (watched, mut peer) = connected_pair().await;
        peer.write_all(b"x").expect("could not write");
        while watched.is_quiet() {
            std::thread::yield_now();
        }
        let queued = Instant::now();
        watched.set_unread_since(queued);
        advance(SECOND).await;
        watched.note_if_empty();
        assert_eq!(read(&watched).await.1, queued);
        let mut reading = pin!(read(&watched));
        assert!(std::future::poll_fn(|cx| Poll::Ready(reading.as_mut().poll(cx).is_pending())).await);
        advance(SECOND).await;
        send(&watched, &mut peer, b"y").await;
        assert_eq!(reading.await.1, Instant::now(), "the runtime would have been notified before");
    });
}

/// The read-ahead must not grow with the number of its segments. Those past the limit count as older than
/// they are.
#[test]
fn segments_past_the_limit_share_one_time() {
    let now = Instant::now();
    let time_of = |n: usize| now + SECOND * u32::try_from(n).expect("too many segments");
    let mut ahead = ReadAhead::default();
    for n in 0..2 * MAX_SEGMENTS {
        ahead.push(b"xy", time_of(n));
    }
    ahead.put_back(b"back", time_of(0));
    ahead.put_back(b"", time_of(1));
    assert_eq!((ahead.segments.len(), ahead.length), (MAX_SEGMENTS + 1, 4 * MAX_SEGMENTS + 4));
    let mut next = |max_len: usize| {
        let mut buf = vec![0; max_len];
        let mut buf = ReadBuf::new(&mut buf);
        let sent_after = ahead.take(&mut buf, usize::MAX);
        (buf.filled().to_vec(), sent_after)
    };
    assert_eq!(next(3), (b"bac".to_vec(), Some(time_of(0))));
    assert_eq!(next(3), (b"k".to_vec(), Some(time_of(0))));
    for n in 0..MAX_SEGMENTS - 1 {
        assert_eq!(next(1000), (b"xy".to_vec(), Some(time_of(n))));
    }
    assert_eq!(next(1000), (b"xy".repeat(MAX_SEGMENTS + 1), Some(time_of(MAX_SEGMENTS - 1))));
    assert_eq!(next(1000), (Vec::new(), None));
}
