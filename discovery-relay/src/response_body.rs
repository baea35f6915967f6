//! A response body in two chunks: the version, and the rest, whose bytes many responses share.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::catalog::EncodedList;

/// See the module documentation.
pub struct ResponseBody {
    chunks: [Option<Bytes>; 2],
}

impl ResponseBody {
    /// An endpoint list.
    pub fn list(list: EncodedList) -> ResponseBody {
        ResponseBody { chunks: [Some(list.head()), Some(list.tail)] }
    }

    /// The text of an error response.
    pub fn text(text: &'static str) -> ResponseBody {
        ResponseBody { chunks: [None, Some(Bytes::from_static(text.as_bytes()))] }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let next = self.chunks.iter_mut().find_map(Option::take);
        Poll::Ready(next.map(|chunk| Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.chunks.iter().all(Option::is_none)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.chunks.iter().flatten().map(|chunk| chunk.len() as u64).sum())
    }
}
