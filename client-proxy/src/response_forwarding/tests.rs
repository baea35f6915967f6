use super::*;

const TIME: Duration = Duration::from_millis(400);

/// How long after its request an answer ends of which `given` bytes had come after `came`, and nothing more.
fn ends_after(came: Duration, given: usize, length: Option<u64>, deadline: Option<Duration>) -> Duration {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(async {
        let start = Instant::now();
        let deadline = deadline.map(|deadline| start + deadline);
        let mut forwarder =
            ResponseForwarder { deadline, length, forwarded: 0, waiting_since: None, timer: None };
        // What is waited for before it comes does not count against what comes later.
        std::future::poll_fn(|cx| Poll::Ready(forwarder.poll_stalled(cx).is_pending())).await;
        tokio::time::advance(came).await;
        forwarder.record_forwarded(given);
        std::future::poll_fn(|cx| forwarder.poll_stalled(cx)).await;
        // Timers go by whole milliseconds.
        Duration::from_millis(start.elapsed().as_millis() as u64)
    })
}

/// Guards against a client left without an end for seconds by an endpoint that fell silent after its first
/// bytes, and against an answer cut off that still comes, or whose request does.
#[test]
fn an_answer_that_stays_away_ends_by_the_deadline_unless_it_is_long() {
    let (early, late) = (Duration::from_millis(30), Duration::from_millis(390));
    let long = MAX_BUFFERED_BODY + 1;
    assert_eq!(ends_after(early, 3, None, Some(TIME)), TIME);
    assert_eq!(ends_after(late, 3, None, Some(TIME)), late + CHUNK_TIMEOUT);
    assert!(late + CHUNK_TIMEOUT < TIME + Duration::from_millis(450), "the client is owed its end by then");
    assert_eq!(ends_after(early, long, None, Some(TIME)), early + STALL_TIMEOUT);
    assert_eq!(ends_after(early, 3, Some(long as u64), Some(TIME)), early + STALL_TIMEOUT);
    assert_eq!(ends_after(early, 3, None, None), early + STALL_TIMEOUT);
    assert_eq!(ends_after(early, 3, None, Some(2 * STALL_TIMEOUT)), early + STALL_TIMEOUT);
}
