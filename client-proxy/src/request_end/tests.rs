use tokio::time::Instant;

use super::*;

/// How long the end of the request body was awaited, and whether it was reached.
async fn wait_for(end: &RequestEnd) -> (Duration, bool) {
    let started = Instant::now();
    let is_reached = end.wait_until_reached(Duration::from_secs(1)).await;
    (started.elapsed(), is_reached)
}

/// The connection has received the last byte of a body that the attempt has not taken yet. Requests behind
/// that body must not be lost, and the connection must not be kept for a body that never ends.
#[test]
fn end_of_body_still_read_is_awaited() {
    const DELAY: Duration = Duration::from_millis(100);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("could not build the runtime").block_on(async {
        let cases = [("reached", DELAY), ("forgotten", DELAY), ("neither", Duration::from_secs(1))];
        for (case, expected) in cases {
            let (end, is_reached) = (RequestEnd::default(), case == "reached");
            let change = async {
                sleep(DELAY).await;
                match case {
                    "reached" => end.mark_reached(),
                    "forgotten" => end.abandon(),
                    _ => {}
                }
            };
            assert_eq!(tokio::join!(wait_for(&end), change).0, (expected, is_reached), "{case}");
            assert_eq!(wait_for(&end).await, (Duration::ZERO, is_reached), "{case}");
        }
    });
}
