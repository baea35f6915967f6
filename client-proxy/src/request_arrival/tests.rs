use super::*;

const MB: u64 = 1 << 20;

fn read(bytes: u64) -> Progress {
    Progress { read: bytes, unread: 0, is_window_open: true }
}

/// A request that fits into the client's send buffer may be complete at once, whatever has arrived of it.
#[test]
fn request_within_send_buffer_may_be_complete_at_once() {
    let start = Instant::now();
    for length in [None, Some(MB)] {
        let mut arrival = RequestArrival::new(length, start);
        arrival.record(read(MB / 2), start + Duration::from_secs(1));
        assert_eq!(arrival.may_be_complete_since(start), Some(start));
    }
}

/// A client whose rest does not fit into its send buffer is still writing, and has no deadline yet.
#[test]
fn request_beyond_send_buffer_is_incomplete() {
    let start = Instant::now();
    let mut arrival = RequestArrival::new(Some(32 * MB), start);
    arrival.record(read(27 * MB), start);
    assert_eq!(arrival.may_be_complete_since(start), None);
    arrival.record(read(28 * MB), start);
    assert_eq!(arrival.may_be_complete_since(start), Some(start));
}

/// A long request that an endpoint takes steadily must not count as complete since its beginning.
#[test]
fn steady_long_request_is_not_complete_since_its_beginning() {
    let start = Instant::now();
    let mut arrival = RequestArrival::new(None, start);
    let at = |seconds: u64| start + Duration::from_secs(seconds);
    (1..=20).for_each(|second| arrival.record(read(second * MB), at(second)));
    assert_eq!(arrival.may_be_complete_since(start), Some(at(16)));
    // The socket buffer was empty at 18 s, so the client had not written more by then.
    assert_eq!(arrival.may_be_complete_since(at(18)), Some(at(18)));
    assert!(arrival.samples.len() <= 17, "{}", arrival.samples.len());
}

/// An endpoint pauses while its client is still writing: the client is not late.
#[test]
fn request_that_still_arrives_is_incomplete() {
    let start = Instant::now();
    let mut arrival = RequestArrival::new(None, start);
    let at = |seconds: u64| start + Duration::from_secs(seconds);
    let unread = |bytes| Progress { read: MB, unread: bytes, is_window_open: bytes < 6000 };
    (1..=5).for_each(|second| arrival.record(unread(second * 1000), at(second)));
    assert_eq!(arrival.may_be_complete_since(start), Some(at(4)));
    // A probe of a window that is closed.
    arrival.record(unread(6001), at(6));
    assert_eq!(arrival.may_be_complete_since(start), Some(at(4)));
    // What comes after more has been read may have waited for a receive window that was closed.
    arrival.record(Progress { read: MB + 5000, ..unread(1500) }, at(7));
    assert_eq!(arrival.may_be_complete_since(start), Some(at(4)));
}
