use super::*;

const KIB: u64 = 1024;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Pace of a response whose pieces, in bytes, arrived at these times in milliseconds.
fn pace(pieces: impl IntoIterator<Item = (u64, u64)>) -> ResponsePace {
    let mut pace = ResponsePace::default();
    for (at_ms, bytes) in pieces {
        pace.record(bytes, ms(at_ms));
    }
    pace
}

fn regular(first_ms: u64, interval_ms: u64, bytes: u64, count: u64) -> Vec<(u64, u64)> {
    (0..count).map(|n| (first_ms + n * interval_ms, bytes)).collect()
}

/// Regular pieces count as steady until the next one is overdue by half a pause.
#[test]
fn regular_pieces_are_steady_until_the_next_is_overdue() {
    for (interval_ms, bytes, count) in [(300, 16 * KIB, 2), (200, 10_000, 3), (450, 24 * KIB, 2)] {
        let last_at = 40 + (count - 1) * interval_ms;
        let timeout = ms(interval_ms * 3 / 2).min(MAX_STEP_TIMEOUT);
        let pace = pace(regular(40, interval_ms, bytes, count));
        assert_eq!(pace.steady_until(), Some(ms(last_at) + timeout), "{interval_ms} ms, {bytes} bytes");
    }
}

/// Small pieces in quick succession, 50 kB/s in all, count as steady at any moment.
#[test]
fn continuous_flow_is_steady() {
    for count in 10..40 {
        let until = pace(regular(0, 30, 1_500, count)).steady_until();
        assert!(until.is_some_and(|until| until > ms(30 * count)), "{count} pieces: {until:?}");
    }
}

/// A large part of the response arrives in one burst, as one piece or as several, at any time: that says
/// nothing about what follows.
#[test]
fn single_burst_is_not_steady() {
    for burst_at_ms in [0, 1, 40, 250, 800, 1_000] {
        for burst_pieces in [1, 7] {
            let before = (0..burst_at_ms).step_by(200).map(|at_ms| (at_ms, 16));
            let burst = regular(burst_at_ms, 10, 56 * KIB / burst_pieces, burst_pieces);
            let after = regular(burst_at_ms + 200, 200, 16, 3);
            let pace = pace(before.chain(burst).chain(after));
            assert_eq!(pace.steady_until(), None, "burst of {burst_pieces} pieces at {burst_at_ms} ms");
        }
    }
}

/// A slow beginning does not extend the time for later pieces.
#[test]
fn slow_beginning_does_not_extend_the_time() {
    let beginning = regular(0, 200, 16, 3);
    let pieces = regular(600, 200, 30 * KIB, 2);
    let until = pace(beginning.into_iter().chain(pieces)).steady_until();
    assert_eq!(until, Some(ms(800) + ms(300)));
}

/// A response that came steadily and then only in a few bytes now and then stops being steady.
#[test]
fn few_bytes_do_not_extend_the_time() {
    let flow = regular(0, 50, 4 * KIB, 10);
    let trickle = regular(500, 20, 16, 30);
    let until = pace(flow.into_iter().chain(trickle)).steady_until();
    assert_eq!(until, Some(ms(450) + MIN_STEP_TIMEOUT));
}

/// A response at a low rate is not steady, however regular it is.
#[test]
fn slow_response_is_not_steady() {
    for (interval_ms, bytes) in [(200, 16), (1, 16), (100, 1_000), (280, 2_500), (150, 4 * KIB)] {
        for count in 1..40 {
            let until = pace(regular(0, interval_ms, bytes, count)).steady_until();
            assert_eq!(until, None, "{count} pieces of {bytes} bytes, {interval_ms} ms apart");
        }
    }
}
