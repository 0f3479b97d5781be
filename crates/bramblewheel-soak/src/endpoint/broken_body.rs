//! An answer body that ends with an error.

use axum::body::Body;
use bytes::Bytes;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A body that fails after its first half.
pub(super) fn truncated_body(body: &str) -> Body {
    let first_half = Bytes::copy_from_slice(&body.as_bytes()[..body.len() / 2]);
    Body::new(TruncatedBody(Some(first_half)))
}

struct TruncatedBody(Option<Bytes>);

impl http_body::Body for TruncatedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<http_body::Frame<Bytes>, io::Error>>> {
        Poll::Ready(Some(match self.0.take() {
            Some(first_half) => Ok(http_body::Frame::data(first_half)),
            None => Err(io::Error::other("cut short")),
        }))
    }
}
