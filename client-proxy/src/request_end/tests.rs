use tokio::time::Instant;

use super::*;

/// How long `end` was waited for, and whether it was reached.
async fn waited(end: &RequestEnd) -> (Duration, bool) {
    let begun = Instant::now();
    let is_reached = end.wait_until_reached(Duration::from_secs(1)).await;
    (begun.elapsed(), is_reached)
}

/// Prevents requests from being lost behind a body whose last byte an attempt has not taken yet when its
/// connection has, and a connection from being kept for a body that never ends.
#[test]
fn the_end_of_a_body_that_somebody_still_reads_is_waited_for() {
    const SOON: Duration = Duration::from_millis(100);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(async {
        let cases = [("reached", SOON), ("forgotten", SOON), ("neither", Duration::from_secs(1))];
        for (what, expected) in cases {
            let (end, is_reached) = (RequestEnd::default(), what == "reached");
            let later = async {
                sleep(SOON).await;
                match what {
                    "reached" => end.mark_reached(),
                    "forgotten" => end.abandon(),
                    _ => {}
                }
            };
            assert_eq!(tokio::join!(waited(&end), later).0, (expected, is_reached), "{what}");
            assert_eq!(waited(&end).await, (Duration::ZERO, is_reached), "{what}");
        }
    });
}
