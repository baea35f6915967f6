use tokio::time::{Instant, timeout};

use super::*;

/// How long a process may be delayed between reading its clock and a write.
const PROCESS_DELAY: Duration = Duration::from_millis(150);

/// If the final phase began after SIGKILL, or just before it in a delayed process, requests would be left
/// without a final response.
#[test]
fn final_phase_precedes_earliest_kill() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("could not build the runtime").block_on(async {
        for (longest_deadline_ms, earliest_kill_ms) in
            [(20, 720), (300, 1_000), (3_000, 3_700), (10_000, 3_700)]
        {
            let (shutdown, terminated) = (Shutdown::default(), Instant::now());
            let phases = shutdown.run(Duration::from_millis(longest_deadline_ms));
            assert!(timeout(Duration::from_millis(450), phases).await.is_err());
            assert!(
                shutdown.terminating.is_cancelled() && !shutdown.draining.is_cancelled(),
                "clients still have to be accepted"
            );
            let (shutdown, terminated) = (Shutdown::default(), terminated + Duration::from_millis(450));
            let mut phases = std::pin::pin!(shutdown.run(Duration::from_millis(longest_deadline_ms)));
            tokio::select! {
                _ = &mut phases => unreachable!("the process exits before the final phase"),
                _ = shutdown.kill_imminent.cancelled() => {}
            }
            assert!(shutdown.draining.is_cancelled());
            let final_write = terminated.elapsed() + PROCESS_DELAY;
            assert!(
                final_write <= Duration::from_millis(earliest_kill_ms),
                "{final_write:?} of {earliest_kill_ms} ms"
            );
            phases.await;
            let exit = terminated.elapsed();
            assert!(
                exit > Duration::from_millis(earliest_kill_ms),
                "{exit:?}: long responses go on until the kill"
            );
        }
    });
}
