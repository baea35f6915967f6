//! Polls that have been repeated, or are about to be, and still wait for their responses.
//!
//! A reload names another address, at which the poll under way is repeated at once. The earlier address still
//! responds on the connections that it has open, and what it writes there counts as told. The same goes for a
//! poll that has timed out: a discovery that is slow has worked on it all the same.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time::{Timeout, timeout};

use crate::{DiscoveryResponse, PollError};

/// How many superseded polls are waited for, each with a connection of its own. The oldest ones are kept, since
/// their responses are due first.
const MAX_POLLS: usize = 3;

/// The exchange of a poll: connects if necessary, sends the request and reads the response.
pub type Exchange = Pin<Box<dyn Future<Output = Result<DiscoveryResponse, PollError>>>>;

struct PendingPoll<T> {
    poll: T,
    exchange: Pin<Box<Timeout<Exchange>>>,
}

/// The superseded polls that are waited for, each with what the caller has to know of it. See the module
/// documentation.
pub struct SupersededPolls<T> {
    response_timeout: Duration,
    /// The oldest first.
    polls: Vec<PendingPoll<T>>,
}

impl<T> SupersededPolls<T> {
    /// Each poll will be waited for during `response_timeout` after it has been added.
    pub fn new(response_timeout: Duration) -> SupersededPolls<T> {
        SupersededPolls { response_timeout, polls: Vec::new() }
    }

    /// Adds a poll that has just been superseded.
    pub fn add(&mut self, poll: T, exchange: Exchange) {
        if self.polls.len() < MAX_POLLS {
            let exchange = Box::pin(timeout(self.response_timeout, exchange));
            self.polls.push(PendingPoll { poll, exchange });
        }
    }

    /// Drops all of them: a later poll has been answered.
    pub fn clear(&mut self) {
        self.polls.clear();
    }

    /// Waits for the next response. Older polls are dropped then. Failed polls and those that have timed out
    /// are dropped too, and without any poll left this never completes.
    pub async fn next_response(&mut self) -> (T, DiscoveryResponse) {
        poll_fn(|cx| self.poll_next_response(cx)).await
    }

    fn poll_next_response(&mut self, cx: &mut Context<'_>) -> Poll<(T, DiscoveryResponse)> {
        // The newest first: its response makes those of the older ones obsolete.
        for position in (0..self.polls.len()).rev() {
            let Poll::Ready(result) = self.polls[position].exchange.as_mut().poll(cx) else { continue };
            let PendingPoll { poll, .. } = self.polls.remove(position);
            if let Ok(Ok(response)) = result {
                self.polls.drain(..position);
                return Poll::Ready((poll, response));
            }
        }
        Poll::Pending
    }
}
