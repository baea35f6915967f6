use std::io::{Read, Write};
use std::net::TcpListener;

use tokio::io::AsyncWriteExt;
use tokio::time::advance;

use std::pin::Pin;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::read_ahead::MAX_SEGMENTS;
use super::*;
use crate::socket_budget::{Side, SocketBudget};

async fn joined() -> (Rc<MonitoredStream>, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let stream = TcpStream::connect(address).await.expect("accepted");
    let slot = SocketBudget::new(1024, 0).try_acquire(Side::Upstream).expect("a place");
    (MonitoredStream::new(stream, slot), listener.accept().expect("a connection").0)
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test);
}

/// Guards against a request taken for run, or for not run, against the evidence.
#[test]
fn what_was_written_in_part_is_known_to_be_partial() {
    run(async {
        let (watched, mut other) = joined().await;
        SockRef::from(&watched.stream).set_send_buffer_size(4096).expect("a small buffer");
        assert!(watched.is_partially_written(), "nothing is written yet");
        let mut io = Io(Rc::clone(&watched));
        io.write_all(b"whole").await.expect("written");
        assert!(watched.is_partially_written(), "more may be to come");
        watched.mark_body_handed_over();
        assert!(!watched.is_partially_written());
        watched.begin_request(&Rc::default(), Box::new(|| true));
        assert!(watched.is_partially_written(), "a new request begins");
        watched.mark_body_handed_over();
        // More than all buffers hold, to one who does not read: it stays unfinished.
        let much = vec![0; 64 << 20];
        let unfinished = std::future::poll_fn(|cx| {
            loop {
                match Pin::new(&mut io).poll_write(cx, &much) {
                    Poll::Ready(Ok(written)) if written < much.len() => {}
                    Poll::Ready(result) => return Poll::Ready(result.is_err()),
                    Poll::Pending => return Poll::Ready(true),
                }
            }
        });
        assert!(unfinished.await && watched.is_partially_written());
        let mut five = [0; 5];
        other.read_exact(&mut five).expect("what was written whole");
    });
}

/// Guards against a close, or bytes out of turn, that the system has but no task was told of.
#[test]
fn a_connection_is_quiet_until_something_comes() {
    run(async {
        let (watched, mut other) = joined().await;
        assert!(watched.is_quiet());
        other.write_all(b"x").expect("written");
        assert!(!watched.is_quiet());
        let (watched, other) = joined().await;
        other.shutdown(std::net::Shutdown::Both).expect("closed");
        assert!(!watched.is_quiet());
    });
}

/// Prevents an attempt for a client that left behind more than is read ahead, where the runtime was told of
/// nothing since.
#[test]
fn an_end_behind_more_than_is_read_ahead_is_known_when_the_system_is_asked() {
    run(async {
        for more in [0, 1, MAX_READ_AHEAD] {
            let (watched, mut other) = joined().await;
            other.write_all(&vec![0; MAX_READ_AHEAD + more]).expect("written");
            // The runtime is not run from here on.
            assert_eq!(watched.query_hang_up(), None, "{more} more");
            other.shutdown(std::net::Shutdown::Write).expect("open");
            assert_eq!(watched.query_hang_up(), Some(HangUp::Closed), "{more} more");
        }
    });
}

/// Prevents a read that brings less than there was room for from passing for all that there is: an end may
/// lie behind it.
#[test]
fn an_end_behind_a_few_bytes_is_known_when_the_system_is_asked() {
    run(async {
        for few in [1, 100, 2000] {
            let (watched, mut other) = joined().await;
            other.write_all(&vec![0; few]).expect("written");
            other.shutdown(std::net::Shutdown::Write).expect("open");
            // The runtime is not run from here on.
            assert_eq!(watched.query_hang_up(), Some(HangUp::Closed), "{few} bytes");
        }
    });
}

/// Guards against a client that learns a second late that its answer has broken off.
#[test]
fn what_is_drained_has_ended_for_the_other_side() {
    run(async {
        let (watched, mut other) = joined().await;
        other.set_read_timeout(Some(Duration::from_secs(20))).expect("a time limit");
        tokio::select! {
            biased;
            _ = watched.drain(Duration::from_secs(3600)) => panic!("the other side has not closed"),
            _ = std::future::ready(()) => {}
        }
        assert_eq!(other.read(&mut [0; 1]).expect("an end"), 0);
    });
}

/// With a clock that stands still but for [`advance`].
fn run_paused(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(test);
}

const SECOND: Duration = Duration::from_secs(1);

/// Sends `bytes`, and waits until the runtime was told of them.
async fn send(watched: &MonitoredStream, other: &mut std::net::TcpStream, bytes: &[u8]) {
    other.write_all(bytes).expect("written");
    watched.stream.readable().await.expect("open");
}

/// Reads once; what came, and when it was sent as far as known.
async fn read(watched: &Rc<MonitoredStream>) -> (Vec<u8>, Instant) {
    let mut buf = vec![0; 100];
    let read = tokio::io::AsyncReadExt::read(&mut Io(Rc::clone(watched)), &mut buf).await.expect("bytes");
    buf.truncate(read);
    (buf, watched.last_read_sent_after())
}

/// Prevents a pipelined request from being passed on with the time that it spent behind the earlier answer:
/// in the read-ahead or with the system.
#[test]
fn what_lay_unread_was_sent_after_the_system_was_last_empty() {
    run_paused(async {
        let (watched, mut other) = joined().await;
        assert!(watched.is_quiet());
        let mut expected = Vec::new();
        for piece in [&b"one"[..], b"two", b"three"] {
            expected.push((piece.to_vec(), Instant::now()));
            advance(SECOND).await;
            send(&watched, &mut other, piece).await;
            assert_eq!(watched.read_ahead_for_end(), None);
        }
        expected.push((b"four".to_vec(), Instant::now()));
        advance(SECOND).await;
        send(&watched, &mut other, b"four").await;
        advance(SECOND).await;
        for expected in expected {
            assert_eq!(read(&watched).await, expected);
        }
    });
}

/// Prevents a request on an idle connection from losing the time for which the connection was idle.
#[test]
fn what_wakes_a_waiting_reader_was_sent_just_now() {
    run_paused(async {
        let (watched, mut other) = joined().await;
        assert!(watched.is_quiet());
        for _ in 0..3 {
            let mut reading = pin!(read(&watched));
            for _ in 0..2 {
                assert!(std::future::poll_fn(|cx| Poll::Ready(reading.as_mut().poll(cx).is_pending())).await);
                advance(SECOND).await;
            }
            send(&watched, &mut other, b"x").await;
            assert_eq!(reading.await.1, Instant::now());
        }
    });
}

/// The same for what comes while an answer is waited for, and is read ahead.
#[test]
fn what_wakes_the_watch_for_a_hang_up_was_sent_just_now() {
    run_paused(async {
        let (watched, mut other) = joined().await;
        let mut hung_up = pin!(watched.wait_for_hang_up());
        let mut sent = Vec::new();
        for _ in 0..3 {
            assert!(std::future::poll_fn(|cx| Poll::Ready(hung_up.as_mut().poll(cx).is_pending())).await);
            advance(SECOND).await;
            send(&watched, &mut other, b"x").await;
            sent.push(Instant::now());
        }
        assert!(std::future::poll_fn(|cx| Poll::Ready(hung_up.as_mut().poll(cx).is_pending())).await);
        advance(SECOND).await;
        for sent in sent {
            assert_eq!(read(&watched).await, (b"x".to_vec(), sent));
        }
    });
}

/// Prevents bytes that lay with the system from passing for new ones because the reader's task had used up
/// its turn.
#[test]
fn a_reader_whose_turn_is_used_up_knows_nothing_of_the_system() {
    use tokio::task::coop::poll_proceed;
    run_paused(async {
        let (watched, mut other) = joined().await;
        assert!(watched.is_quiet());
        let empty = Instant::now();
        send(&watched, &mut other, b"x").await;
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

/// Prevents a request that its client sends the moment it has an answer from losing the time that the answer
/// took, and one that came before that from gaining it.
#[test]
fn what_comes_behind_an_answer_was_sent_after_the_last_note() {
    run_paused(async {
        let (watched, mut other) = joined().await;
        assert!(watched.is_quiet());
        advance(SECOND).await;
        watched.note_if_empty();
        let noted = Instant::now();
        send(&watched, &mut other, b"x").await;
        advance(SECOND).await;
        watched.note_if_empty();
        assert_eq!(read(&watched).await.1, noted);
    });
}

/// Prevents a first request from gaining the time that it waited in the accept queue: the runtime is told
/// only now of what came with the connection.
#[test]
fn what_came_with_a_connection_may_be_as_old() {
    run_paused(async {
        let (watched, mut other) = joined().await;
        other.write_all(b"x").expect("written");
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
        send(&watched, &mut other, b"y").await;
        assert_eq!(reading.await.1, Instant::now(), "from here on the runtime would have told");
    });
}

/// Prevents a read-ahead that grows with the number of pieces it came in: those past the limit count as older
/// than they are.
#[test]
fn pieces_past_the_limit_are_as_old_as_the_last_one_within() {
    let now = Instant::now();
    let at = |n: usize| now + SECOND * u32::try_from(n).expect("a few");
    let mut ahead = ReadAhead::default();
    for n in 0..2 * MAX_SEGMENTS {
        ahead.push(b"xy", at(n));
    }
    ahead.put_back(b"back", at(0));
    ahead.put_back(b"", at(1));
    assert_eq!((ahead.segments.len(), ahead.length), (MAX_SEGMENTS + 1, 4 * MAX_SEGMENTS + 4));
    let mut next = |most: usize| {
        let mut buf = vec![0; most];
        let mut buf = ReadBuf::new(&mut buf);
        let sent_after = ahead.take(&mut buf);
        (buf.filled().to_vec(), sent_after)
    };
    assert_eq!(next(3), (b"bac".to_vec(), Some(at(0))));
    assert_eq!(next(3), (b"k".to_vec(), Some(at(0))));
    for n in 0..MAX_SEGMENTS - 1 {
        assert_eq!(next(1000), (b"xy".to_vec(), Some(at(n))));
    }
    assert_eq!(next(1000), (b"xy".repeat(MAX_SEGMENTS + 1), Some(at(MAX_SEGMENTS - 1))));
    assert_eq!(next(1000), (Vec::new(), None));
}
