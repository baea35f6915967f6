//! The phases of a graceful shutdown after SIGTERM, in order of time. Each phase is a token that other tasks
//! wait for or check.

use std::time::Duration;

use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// How long new connections are accepted after SIGTERM: they go on arriving for up to 0.4 s. If another
/// process accepts connections from then on, requests still arrive on those already open.
const ACCEPT_PERIOD: Duration = Duration::from_millis(500);
/// SIGKILL may arrive 0.7 s plus the longest deadline of the deployment after SIGTERM; a deadline longer than
/// this counts as this.
const MAX_DEADLINE_WAIT: Duration = Duration::from_secs(3);
/// How long clients have to read their last responses after the last phase. A shorter wait would cut off long
/// responses that the platform might not have killed yet.
const READ_PERIOD: Duration = Duration::from_secs(5);

/// The phases that a graceful shutdown has reached.
#[derive(Clone, Default)]
pub struct Shutdown {
    /// SIGTERM was received: this process exits soon, and another one may accept clients.
    pub terminating: CancellationToken,
    /// No further connection is accepted, and connections are closed as they become idle.
    pub draining: CancellationToken,
    /// SIGKILL may arrive at any moment: every request that still waits gets its final response now.
    pub kill_imminent: CancellationToken,
}

impl Shutdown {
    /// Runs all phases. `longest_deadline` is the longest request deadline of the deployment. Returns when
    /// the process has to exit, whatever connections are still open.
    pub async fn run(&self, longest_deadline: Duration) {
        tracing::info!("shutting down");
        self.terminating.cancel();
        sleep(ACCEPT_PERIOD).await;
        tracing::info!("no further connections are accepted");
        self.draining.cancel();
        // Ends 0.2 s before the earliest SIGKILL; the process may be stalled for 0.15 s before it writes the
        // responses.
        sleep(longest_deadline.min(MAX_DEADLINE_WAIT)).await;
        tracing::info!("answering all requests that still wait");
        self.kill_imminent.cancel();
        sleep(READ_PERIOD).await;
    }
}

#[cfg(test)]
mod tests;
