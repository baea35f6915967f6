//! The steps of a planned end after SIGTERM, in order of time. Each is a token that others wait for or look
//! at.

use std::time::Duration;

use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// After SIGTERM new connections go on coming for up to 0.4 s; they are accepted for so long. Where the next
/// process accepts them, requests still come over those that are open.
const ACCEPT_PERIOD: Duration = Duration::from_millis(500);
/// SIGKILL may come the longest deadline, counted as this much where it is longer, plus 0.7 s after SIGTERM.
const MAX_DEADLINE_WAIT: Duration = Duration::from_secs(3);
/// How long clients have to read their last answers. Guards against an exit that cuts off a long response
/// which SIGKILL might have left more time.
const READ_PERIOD: Duration = Duration::from_secs(5);

/// What has come of a planned end so far.
#[derive(Clone, Default)]
pub struct Shutdown {
    /// SIGTERM has come: this process ends soon, and another one may accept clients.
    pub terminating: CancellationToken,
    /// No further connection is accepted, and connections are closed as they become idle.
    pub draining: CancellationToken,
    /// This process may be killed any moment now: whatever waits for a final answer gets one at once.
    pub kill_imminent: CancellationToken,
}

impl Shutdown {
    /// Goes through all steps, `longest` being the longest deadline of the deployment. Returns when the
    /// process has to exit, whatever is still open.
    pub async fn run(&self, longest_deadline: Duration) {
        self.terminating.cancel();
        sleep(ACCEPT_PERIOD).await;
        self.draining.cancel();
        // 0.2 s before the earliest kill: the process may be held up for 0.15 s before it writes.
        sleep(longest_deadline.min(MAX_DEADLINE_WAIT)).await;
        self.kill_imminent.cancel();
        sleep(READ_PERIOD).await;
    }
}

#[cfg(test)]
mod tests;
