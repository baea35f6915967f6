use std::time::Duration;

use super::*;

/// Once the program has run for more than a day, all timers would be due at once.
#[tokio::test(start_paused = true)]
async fn timers_are_due_later_after_long_uptime() {
    let clock = Clock::new();
    tokio::time::advance(Duration::from_secs(36 * 3600)).await;
    let at = clock.instant(clock.now() + 100.0);
    let ahead = at.saturating_duration_since(Instant::now());
    assert!(ahead > Duration::from_millis(99) && ahead < Duration::from_millis(101), "{ahead:?}");
}

/// The base of the clock must be shared by all processes of the machine. The start of the process, for
/// example, is not.
#[test]
fn clocks_of_one_machine_share_their_base() {
    let early = Clock::new();
    std::thread::sleep(Duration::from_millis(20));
    let before = early.now();
    assert!(Clock::new().now() >= before);
}
