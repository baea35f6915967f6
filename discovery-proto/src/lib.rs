//! The client side of the discovery protocol, without I/O and without a clock: [`Session`] decides which poll
//! comes next and its timeout, [`ListReader`] parses what a response contains, and [`Subscription`] combines
//! the two. The caller owns the sockets: it sends the polls and passes the responses in.
#![forbid(unsafe_code)]

mod ids;
mod list;
mod session;
mod sources;
mod starts;
mod subscription;

pub use ids::EndpointIds;
pub use list::{EndpointList, EndpointLocation, EndpointLocations, ListReader, ParsedEntries};
pub use session::{PollRequest, PollTiming, ResponseSummary, Session, SupersededPoll, Verdict};
pub use sources::{FAILOVER_SPREAD, Fallback, Sources};
pub use starts::ReceivedAt;
pub use subscription::{EndpointListError, ListResponse, Subscription};
