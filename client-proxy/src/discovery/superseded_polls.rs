//! Polls that have been repeated, or are about to be, and still wait for their responses.
//!
//! A reload names another address, at which the poll under way is repeated at once. The earlier address still
//! responds on the connections that it has open, and what it writes there counts as told. The same goes for a
//! poll that has timed out: a discovery that is slow has worked on it all the same.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use discovery_client::{DiscoveryResponse, PollError};
use discovery_proto::SupersededPoll;
use tokio::time::{Timeout, timeout};

/// How long a superseded poll is waited for: an earlier address closes its connections this long after the
/// reload ("Reloading" in the operators' terms).
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How many superseded polls are waited for, each with a connection of its own. The oldest ones are kept, since
/// their responses are due first.
const MAX_POLLS: usize = 3;

/// The exchange of a poll: connects if necessary, sends the request and reads the response.
pub(super) type Exchange = Pin<Box<dyn Future<Output = Result<DiscoveryResponse, PollError>>>>;

struct PendingPoll {
    poll: SupersededPoll,
    exchange: Pin<Box<Timeout<Exchange>>>,
}

/// The superseded polls that are waited for. See the module documentation.
#[derive(Default)]
pub(super) struct SupersededPolls {
    /// The oldest first.
    polls: Vec<PendingPoll>,
}

impl SupersededPolls {
    /// Adds a poll that has just been superseded.
    pub(super) fn add(&mut self, poll: SupersededPoll, exchange: Exchange) {
        if self.polls.len() < MAX_POLLS {
            let exchange = Box::pin(timeout(RESPONSE_TIMEOUT, exchange));
            self.polls.push(PendingPoll { poll, exchange });
        }
    }

    /// Drops all of them: a later poll has been answered.
    pub(super) fn clear(&mut self) {
        self.polls.clear();
    }

    /// Waits for the next response. Older polls are dropped then. Failed polls and those that have timed out
    /// are dropped too, and without any poll left this never completes.
    pub(super) async fn next_response(&mut self) -> (SupersededPoll, DiscoveryResponse) {
        poll_fn(|cx| self.poll_next_response(cx)).await
    }

    fn poll_next_response(&mut self, cx: &mut Context<'_>) -> Poll<(SupersededPoll, DiscoveryResponse)> {
        // The newest first: its response makes those of the older ones obsolete.
        for position in (0..self.polls.len()).rev() {
            let PendingPoll { poll, exchange } = &mut self.polls[position];
            let Poll::Ready(result) = exchange.as_mut().poll(cx) else { continue };
            let poll = *poll;
            if let Ok(Ok(response)) = result {
                self.polls.drain(..=position);
                return Poll::Ready((poll, response));
            }
            self.polls.remove(position);
        }
        Poll::Pending
    }
}
