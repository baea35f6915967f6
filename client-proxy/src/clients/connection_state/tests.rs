use std::io::Write;

use super::*;
use crate::clients::tests::joined;
use crate::monitored_stream::Io;

pub(crate) async fn door() -> (Rc<ConnectionState>, std::net::TcpStream) {
    let (stream, client) = joined(64 * 1024).await;
    let (opened, idle, busy, long) = (Instant::now(), Cell::default(), Cell::default(), Cell::default());
    let (request_end, close_responses) = (RefCell::default(), Cell::default());
    (
        Rc::new(ConnectionState {
            stream,
            opened_at: opened,
            active_requests: busy,
            idle_since: idle,
            is_streaming: long,
            request_end,
            close_responses,
        }),
        client,
    )
}

/// Guards against a close that reaches a client before it has read the answer, and against one in the middle
/// of a head that began late: neither is idle.
#[test]
fn only_a_connection_that_is_idle_is_closed_soon() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(async {
        let (door, mut client) = door().await;
        let left = || door.head_deadline().saturating_duration_since(Instant::now());
        assert_eq!(left(), HEAD_TIMEOUT);
        let busy = door.begin_request();
        tokio::time::advance(FIRST_REQUEST_TIMEOUT).await;
        assert_eq!(left(), HEAD_TIMEOUT, "as long as it is answered");
        drop(busy);
        assert_eq!(left(), HEAD_TIMEOUT);
        door.is_streaming.set(true);
        assert_eq!(left(), STREAM_STALL_TIMEOUT);
        assert!(door.is_in_use(), "a long answer may still be read");
        door.is_streaming.set(false);
        assert!(!door.is_in_use());
        // A head begins when the time is nearly over.
        tokio::time::advance(HEAD_TIMEOUT - Duration::from_millis(1)).await;
        std::io::Write::write_all(&mut client, b"P").expect("written");
        tokio::io::AsyncReadExt::read_u8(&mut Io(Rc::clone(&door.stream))).await.expect("a byte");
        assert_eq!(left(), HEAD_TIMEOUT);
        assert!(door.is_in_use());
    });
}

/// Prevents a request that is sent the moment its client has the answer before it from losing the time that
/// answer took.
#[test]
fn what_comes_behind_an_answer_has_not_waited_for_it() {
    const TOOK: Duration = Duration::from_secs(1);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(async {
        let (door, mut client) = door().await;
        let mut io = Io(Rc::clone(&door.stream));
        client.write_all(b"P").expect("written");
        tokio::io::AsyncReadExt::read_u8(&mut io).await.expect("a byte");
        assert_eq!(door.stream.read_ahead_for_end(), None);
        let busy = door.begin_request();
        tokio::time::advance(TOOK).await;
        drop(busy);
        let answered = Instant::now();
        client.write_all(b"P").expect("written");
        tokio::time::advance(TOOK).await;
        tokio::io::AsyncReadExt::read_u8(&mut io).await.expect("a byte");
        assert!(door.stream.last_read_sent_after() >= answered);
    });
}
