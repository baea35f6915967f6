//! Body of a response to a client.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::connection_state::ActiveRequest;
use crate::driver::OutcomeRecorder;
use crate::endpoint_pool::{ResponseError, UpstreamBody};
use crate::memory_budget::MemoryPermit;
use crate::request_body::next_chunk;
use crate::response_forwarding::ResponseForwarder;

/// Body of a response to a client, buffered or streamed.
pub(super) struct ResponseBody {
    pub(super) body: UpstreamBody,
    /// Watches for a stalled stream; `None` if the response did not come from an endpoint.
    pub(super) forwarder: Option<ResponseForwarder>,
    /// Why the stream failed; kept until the first bytes of the response have been sent.
    pub(super) error: Option<ResponseError>,
    pub(super) recorder: Option<OutcomeRecorder>,
    pub(super) memory: Option<MemoryPermit>,
    pub(super) active_request: Option<ActiveRequest>,
}

impl ResponseBody {
    pub(super) fn buffered(body: impl Into<Bytes>) -> ResponseBody {
        let body = UpstreamBody::Buffered(body.into());
        ResponseBody {
            body,
            forwarder: None,
            error: None,
            recorder: None,
            memory: None,
            active_request: None,
        }
    }

    /// Whether any byte of this response has been written to the socket.
    pub(super) fn is_started(&self) -> bool {
        self.active_request
            .as_ref()
            .is_none_or(|active_request| active_request.conn.stream.written() > active_request.written_before)
    }

    /// The next chunk, or the error that truncates the response.
    pub(super) fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, ResponseError>>> {
        let stream = match &mut self.body {
            UpstreamBody::Buffered(remaining) if remaining.is_empty() => return Poll::Ready(None),
            UpstreamBody::Buffered(remaining) => return Poll::Ready(Some(Ok(next_chunk(remaining)))),
            UpstreamBody::Streamed(stream) => stream,
        };
        let polled = stream.poll_data(cx);
        let Some(forwarder) = &mut self.forwarder else { return polled };
        match &polled {
            Poll::Ready(Some(Ok(data))) => forwarder.record_forwarded(data.len()),
            Poll::Ready(_) => {}
            Poll::Pending => {
                ready!(forwarder.poll_overdue(cx));
                return Poll::Ready(Some(Err(ResponseError::Overdue)));
            }
        }
        polled
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseError>>> {
        if self.error.is_none() {
            match ready!(self.poll_chunk(cx)) {
                Some(Err(error)) => self.error = Some(error),
                chunk => return Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data))),
            }
        }
        let is_started = self.is_started();
        if let Some(forwarder) = &mut self.forwarder {
            ready!(forwarder.poll_response_started(cx, is_started));
        }
        let error = self.error.take();
        if let (Some(error), Some(recorder)) = (&error, self.recorder.take()) {
            let forwarded = self.forwarder.as_ref().map_or(0, ResponseForwarder::forwarded);
            recorder.record_truncated(error, forwarded);
        }
        Poll::Ready(error.map(Err))
    }

    fn is_end_stream(&self) -> bool {
        match &self.body {
            UpstreamBody::Buffered(remaining) => remaining.is_empty(),
            UpstreamBody::Streamed(stream) => stream.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            UpstreamBody::Buffered(remaining) => SizeHint::with_exact(remaining.len() as u64),
            UpstreamBody::Streamed(stream) => stream.size_hint(),
        }
    }
}

#[cfg(test)]
mod tests;
