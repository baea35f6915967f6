use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use super::*;
use crate::request_end::RequestEnd;

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
        let deadline = match deadline {
            Some(deadline) => ClientDeadline::At(start + deadline),
            None => ClientDeadline::AfterRequestEnd { end: Rc::default(), client_timeout: DEADLINE },
        };
        let mut forwarder = ResponseForwarder::new(deadline, length);
        // A wait before the first bytes does not count against later ones.
        std::future::poll_fn(|cx| Poll::Ready(forwarder.poll_overdue(cx).is_pending())).await;
        tokio::time::advance(arrived_after).await;
        forwarder.record_forwarded(forwarded_bytes);
        std::future::poll_fn(|cx| forwarder.poll_overdue(cx)).await;
        // Timers have a resolution of a millisecond.
        Duration::from_millis(start.elapsed().as_millis() as u64)
    })
}

/// A request without an end this long after the client's deadline is lost: half a second, 50 ms for a real
/// network, less 150 ms for which the process may be stalled.
const LAST_END: Duration = Duration::from_millis(500 + 50 - 150);

/// An endpoint stalls after the first bytes of its response. The client must not wait seconds for the end, but
/// for as long as an end still counts. No response may be cut off while it, or the body of its request, still
/// makes progress.
#[test]
fn stalled_short_response_ends_in_time() {
    let (early, late) = (Duration::from_millis(30), Duration::from_millis(390));
    let long = MAX_BUFFERED_BODY + 1;
    assert_eq!(ends_after(early, 3, None, Some(DEADLINE)), DEADLINE + LAST_END);
    assert_eq!(ends_after(late, 3, None, Some(DEADLINE)), DEADLINE + LAST_END);
    assert_eq!(ends_after(early, long, None, Some(DEADLINE)), early + STALL_TIMEOUT);
    assert_eq!(ends_after(early, 3, Some(long as u64), Some(DEADLINE)), early + STALL_TIMEOUT);
    assert_eq!(ends_after(early, 3, None, None), early + STALL_TIMEOUT);
    assert_eq!(ends_after(early, 3, None, Some(2 * STALL_TIMEOUT)), early + STALL_TIMEOUT);
}

/// Pieces of a response: the first after `first_after`, then one in each `interval`.
#[derive(Clone, Copy, Debug)]
struct Pieces {
    first_after: Duration,
    bytes: usize,
    interval: Duration,
}

impl Pieces {
    const fn new(first_after_ms: u64, bytes: usize, interval_ms: u64) -> Pieces {
        let (first_after, interval) =
            (Duration::from_millis(first_after_ms), Duration::from_millis(interval_ms));
        Pieces { first_after, bytes, interval }
    }

    /// Forwards pieces of a response of unknown length until it is ended, and returns after how long; `None`
    /// if `most_bytes` have been forwarded before.
    async fn forward(self, deadline: ClientDeadline, most_bytes: usize) -> Option<Duration> {
        let (start, mut forwarder) = (Instant::now(), ResponseForwarder::new(deadline, None));
        let mut next = start + self.first_after;
        for _ in 0..most_bytes / self.bytes {
            tokio::select! {
                biased;
                _ = std::future::poll_fn(|cx| forwarder.poll_overdue(cx)) => return Some(start.elapsed()),
                _ = sleep_until(next) => forwarder.record_forwarded(self.bytes),
            }
            next += self.interval;
        }
        None
    }
}

fn run_paused<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("could not build the runtime").block_on(test)
}

/// Guards against a response that never ends because each of its pieces comes in time: its request is lost.
#[test]
fn endless_short_response_is_ended_in_time() {
    for (bytes, interval_ms) in [(16, 200), (16, 299), (1, 10), (16, 1), (1_000, 100), (2_500, 280)] {
        for first_after_ms in [0, 30, 399] {
            let pieces = Pieces::new(first_after_ms, bytes, interval_ms);
            let ended = run_paused(async {
                pieces.forward(ClientDeadline::At(Instant::now() + DEADLINE), 10 << 20).await
            });
            let ended = ended.unwrap_or_else(|| panic!("{pieces:?} never ended"));
            // Timers have a resolution of a millisecond.
            let latest = DEADLINE + LAST_END + Duration::from_millis(1);
            assert!((DEADLINE..=latest).contains(&ended), "{pieces:?} ended after {ended:?}");
        }
    }
}

/// Guards against cutting off a long response of unknown length that is slow, whose end has no deadline.
#[test]
fn slow_long_response_is_not_cut_off() {
    for pieces in [Pieces::new(399, 1_500, 30), Pieces::new(0, 1_500, 30), Pieces::new(399, 10_000, 200)] {
        let ended = run_paused(async {
            pieces.forward(ClientDeadline::At(Instant::now() + DEADLINE), 200_000).await
        });
        assert_eq!(ended, None, "{pieces:?}");
    }
}

/// Forwards pieces of a response of unknown length, given by the pause before each and its bytes, and then
/// nothing more. Returns after how long the response is ended, and how many bytes were forwarded by then.
fn ends_after_pieces(pieces: impl IntoIterator<Item = (Duration, usize)>) -> (Duration, u64) {
    run_paused(async {
        let start = Instant::now();
        let mut forwarder = ResponseForwarder::new(ClientDeadline::At(start + DEADLINE), None);
        let mut next = start;
        for (pause, bytes) in pieces {
            next += pause;
            tokio::select! {
                biased;
                _ = std::future::poll_fn(|cx| forwarder.poll_overdue(cx)) => break,
                _ = sleep_until(next) => forwarder.record_forwarded(bytes),
            }
        }
        std::future::poll_fn(|cx| forwarder.poll_overdue(cx)).await;
        (start.elapsed(), forwarder.forwarded)
    })
}

/// An endless response of which most comes in one burst is ended as early as one without a burst: what came
/// in the burst once counted as a rate, and such a response went on for many seconds.
#[test]
fn endless_response_with_a_burst_is_ended_in_time() {
    let trickle = |pieces: u64| (0..pieces).map(|_| (Duration::from_millis(200), 16));
    for burst_bytes in [8 << 10, 20 << 10, 33 << 10, 48 << 10, 56 << 10, 63 << 10] {
        for parts in [1, 8] {
            for (pieces_before, late_ms) in
                (0..4).flat_map(|before| [(before, 0), (before, 90), (before, 180)])
            {
                let late = (Duration::from_millis(late_ms), burst_bytes / parts);
                let burst =
                    std::iter::once(late).chain((1..parts).map(|_| (Duration::from_millis(9), late.1)));
                let pieces = trickle(pieces_before).chain(burst).chain(trickle(1_000));
                let (ended, _) = ends_after_pieces(pieces);
                let latest = DEADLINE + LAST_END + Duration::from_millis(1);
                let context = format!(
                    "{burst_bytes} bytes in {parts} parts after {pieces_before} pieces and {late_ms} ms"
                );
                assert!((DEADLINE..=latest).contains(&ended), "{context}: ended after {ended:?}");
            }
        }
    }
}

/// A long response that pauses at the client's deadline is not cut off as long as it is known to be long, or
/// complete, before the limit for short responses: it was ended if a pause took over 300 ms.
#[test]
fn long_response_with_a_pause_at_the_deadline_is_not_cut_off() {
    let rest = MAX_BUFFERED_BODY + 1;
    let limit = DEADLINE + LAST_END;
    for first_bytes in [1, 16, 20_000, rest - 1] {
        for first_after in [0, 30, 150, 399].map(Duration::from_millis) {
            for arrives_before_limit in [1, 50, 200, 390].map(Duration::from_millis) {
                let pause = limit - arrives_before_limit - first_after;
                let pieces = [(first_after, first_bytes), (pause, rest - first_bytes)];
                let (ended, forwarded) = ends_after_pieces(pieces);
                let context = format!("{first_bytes} bytes after {first_after:?}, a pause of {pause:?}");
                assert_eq!(forwarded, rest as u64, "{context}: ended after {ended:?}");
            }
        }
    }
    let pieces = std::iter::once((Duration::from_millis(40), 24 << 10));
    let regular = pieces.chain((1..6).map(|_| (Duration::from_millis(375), 24 << 10)));
    assert_eq!(ends_after_pieces(regular).1, 6 * (24 << 10), "six pieces, 375 ms apart");
}

/// A long response in regular pieces goes on past the limit for short ones, however far apart they are: the next
/// piece counted as overdue after 500 ms, even if all earlier ones had taken longer.
#[test]
fn regular_long_response_is_not_cut_off() {
    const BYTES_PER_MS: u64 = 40;
    for interval_ms in (50..=750).step_by(50) {
        let bytes = (interval_ms * BYTES_PER_MS) as usize;
        let first = (Duration::from_millis(40), bytes);
        let count = MAX_BUFFERED_BODY / bytes;
        let rest = (0..count).map(|_| (Duration::from_millis(interval_ms), bytes));
        let (ended, forwarded) = ends_after_pieces(std::iter::once(first).chain(rest));
        let context = format!("{bytes} bytes each {interval_ms} ms: ended after {ended:?}");
        assert!(forwarded > MAX_BUFFERED_BODY as u64, "{context}");
    }
}

/// A long response in pieces of any size, at no less than 50 kB/s: its pieces from the one that exceeds
/// 64 KiB on are of no interest, since it counts as long then.
fn random_long_response(rng: &mut Pcg32) -> Vec<(Duration, usize)> {
    let mut between = |low: u32, high: u32| low + rng.next_u32() % (high - low);
    let (rate, largest) = (between(50_000, 200_000), between(1_000, 24_000));
    let mut pieces = vec![(Duration::from_millis(between(0, 400).into()), between(1, largest) as usize)];
    while pieces.iter().map(|(_, bytes)| bytes).sum::<usize>() <= MAX_BUFFERED_BODY {
        let bytes = between(1, largest);
        // The mean of the pauses keeps the rate.
        let mean_ms = (largest / 2 * 1_000 / rate).max(1);
        pieces.push((Duration::from_millis(between(0, 2 * mean_ms + 1).into()), bytes as usize));
    }
    pieces
}

/// Of the responses of unknown length that are complete, the operators want half at least forwarded. Of the
/// long ones that are slow, so that they are not known to be long at the limit for short ones, as many.
#[test]
fn half_of_the_slow_long_responses_are_forwarded() {
    let mut rng = Pcg32::seed_from_u64(46);
    let (mut slow, mut forwarded) = (0, 0);
    while slow < 1_000 {
        let pieces = random_long_response(&mut rng);
        if pieces.iter().map(|(pause, _)| *pause).sum::<Duration>() <= DEADLINE + LAST_END {
            continue;
        }
        slow += 1;
        forwarded += usize::from(ends_after_pieces(pieces).1 > MAX_BUFFERED_BODY as u64);
    }
    assert!(2 * forwarded >= slow, "{forwarded} of {slow}");
}

/// Guards against a response without a deadline because it began before its request was complete.
#[test]
fn deadline_of_early_response_begins_with_request_end() {
    for pieces in [Pieces::new(0, 16, 200), Pieces::new(0, 16, 4_000)] {
        let ended = run_paused(async {
            let (end, request_time) = (Rc::<RequestEnd>::default(), Duration::from_secs(1));
            let deadline = ClientDeadline::AfterRequestEnd { end: Rc::clone(&end), client_timeout: DEADLINE };
            let read_request = async {
                sleep(request_time).await;
                end.mark_reached();
                std::future::pending::<()>().await;
            };
            // The connection's task, which polls both, is woken at the end of the request.
            let drained = std::future::poll_fn(|cx| {
                let _ = end.poll_drain(cx, Duration::MAX);
                Poll::Pending
            });
            tokio::select! {
                ended = pieces.forward(deadline, 10 << 20) => ended.map(|ended| ended - request_time),
                () = read_request => None,
                () = drained => None,
            }
        });
        let ended = ended.unwrap_or_else(|| panic!("{pieces:?} never ended"));
        assert!(ended <= DEADLINE + LAST_END + Duration::from_millis(1), "{pieces:?}: {ended:?}");
    }
}

/// Guards against cutting off a response that is complete but for what its slow client has not accepted.
#[test]
fn time_in_which_client_accepts_nothing_does_not_count() {
    run_paused(async {
        let deadline = ClientDeadline::At(Instant::now() + DEADLINE);
        let mut forwarder = ResponseForwarder::new(deadline, None);
        for _ in 0..10 {
            // Not polled while the client accepts nothing; then the next chunk needs a moment.
            sleep(Duration::from_millis(300)).await;
            let is_waiting = std::future::poll_fn(|cx| Poll::Ready(forwarder.poll_overdue(cx).is_pending()));
            assert!(is_waiting.await, "after {} bytes", forwarder.forwarded);
            sleep(Duration::from_millis(1)).await;
            forwarder.record_forwarded(16);
        }
    });
}
