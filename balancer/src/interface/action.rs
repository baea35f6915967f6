//! Actions: the output of the balancer.

use super::{EndpointId, Millis, RequestId};

/// An instruction to the caller, to be carried out at once and in the order received.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt. The attempts of a request are numbered 0, 1, 2, ... in the order of these actions.
    Send {
        /// The request.
        id: RequestId,
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// Timeout of the attempt; `None` means that only the client's deadline limits it.
        timeout: Option<Millis>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Send the client its final response: the request was rejected, and retrying it is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// Value of the `Retry-After` header; `None` for no such header.
        retry_after: Option<Millis>,
    },
    /// Send the client its final response: the request failed, and it may or may not have taken effect.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Tell other processes of this client proxy, before the attempt that follows, that a request with this identity
    /// is forwarded.
    AnnounceForwarded {
        /// Hash of the id that the client gave it.
        identity: u64,
    },
    /// Deliver [`Event::TimerFired`](super::Event::TimerFired) at this time or soon after.
    SetTimer {
        /// When the timer is due, on the caller's clock.
        at: Millis,
        /// Returned with the event.
        token: u64,
    },
    /// Send a health check to an endpoint.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Close the idle connections to an endpoint.
    CloseIdleConnections {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Send a message to another balancer, or to all of them.
    SendToPeer {
        /// Index of the balancer; `None` for all of them.
        to: Option<u32>,
        /// The message, at most 256 bytes.
        content: Vec<u8>,
    },
    /// Release the identifier of an endpoint that discovery removed: the balancer no longer refers to it.
    ReleaseEndpointId {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Subscribe to changes of the endpoint list.
    Watch,
    /// Poll discovery for the full endpoint list once.
    Fetch,
    /// Write a line to the log.
    Log(String),
}
