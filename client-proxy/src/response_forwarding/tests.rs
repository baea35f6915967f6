use super::*;

const DEADLINE: Duration = Duration::from_millis(400);

/// How long after its request a response is ended if `forwarded_bytes` have come after `arrived_after` and
/// nothing more comes.
fn ends_after(
    arrived_after: Duration,
    forwarded_bytes: usize,
    length: Option<u64>,
    deadline: Option<Duration>,
) -> Duration {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("could not build the runtime").block_on(async {
        let start = Instant::now();
        let deadline = deadline.map(|deadline| start + deadline);
        let mut forwarder =
            ResponseForwarder { deadline, length, forwarded: 0, waiting_since: None, timer: None };
        // A wait before the first bytes does not count against later ones.
        std::future::poll_fn(|cx| Poll::Ready(forwarder.poll_stalled(cx).is_pending())).await;
        tokio::time::advance(arrived_after).await;
        forwarder.record_forwarded(forwarded_bytes);
        std::future::poll_fn(|cx| forwarder.poll_stalled(cx)).await;
        // Timers have a resolution of a millisecond.
        Duration::from_millis(start.elapsed().as_millis() as u64)
    })
}

/// An endpoint stalls after the first bytes of its response. The client must not wait seconds for the end,
/// and no response may be cut off while it, or the body of its request, still makes progress.
#[test]
fn stalled_short_response_ends_by_the_deadline() {
    let (early, late) = (Duration::from_millis(30), Duration::from_millis(390));
    let long = MAX_BUFFERED_BODY + 1;
    assert_eq!(ends_after(early, 3, None, Some(DEADLINE)), DEADLINE);
    assert_eq!(ends_after(late, 3, None, Some(DEADLINE)), late + CHUNK_TIMEOUT);
    assert!(
        late + CHUNK_TIMEOUT < DEADLINE + Duration::from_millis(450),
        "the client has to get the end by then"
    );
    assert_eq!(ends_after(early, long, None, Some(DEADLINE)), early + STALL_TIMEOUT);
    assert_eq!(ends_after(early, 3, Some(long as u64), Some(DEADLINE)), early + STALL_TIMEOUT);
    assert_eq!(ends_after(early, 3, None, None), early + STALL_TIMEOUT);
    assert_eq!(ends_after(early, 3, None, Some(2 * STALL_TIMEOUT)), early + STALL_TIMEOUT);
}
