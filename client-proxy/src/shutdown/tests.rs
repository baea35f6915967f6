use tokio::time::{Instant, timeout};

use super::*;

/// How long a process may be held up between its clock and a write.
const HELD_UP: Duration = Duration::from_millis(150);

/// Guards against a last call that comes after SIGKILL, or so late that a process that is held up misses it.
#[test]
fn last_call_precedes_the_earliest_kill() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("a runtime").block_on(async {
        for (longest, earliest_kill) in [(20, 720), (300, 1_000), (3_000, 3_700), (10_000, 3_700)] {
            let (shutdown, began) = (Shutdown::default(), Instant::now());
            let proceeds = shutdown.run(Duration::from_millis(longest));
            assert!(timeout(Duration::from_millis(450), proceeds).await.is_err());
            assert!(
                shutdown.terminating.is_cancelled() && !shutdown.draining.is_cancelled(),
                "clients still come"
            );
            let (shutdown, began) = (Shutdown::default(), began + Duration::from_millis(450));
            let mut proceeds = std::pin::pin!(shutdown.run(Duration::from_millis(longest)));
            tokio::select! {
                _ = &mut proceeds => unreachable!("the last call comes first"),
                _ = shutdown.kill_imminent.cancelled() => {}
            }
            assert!(shutdown.draining.is_cancelled());
            let called = began.elapsed() + HELD_UP;
            assert!(called <= Duration::from_millis(earliest_kill), "{called:?} of {earliest_kill} ms");
            proceeds.await;
            let exited = began.elapsed();
            assert!(
                exited > Duration::from_millis(earliest_kill),
                "{exited:?}: long responses go on until the kill"
            );
        }
    });
}
