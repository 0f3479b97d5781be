//! An answer whose body breaks on the way.

use axum::body::Body;
use bytes::Bytes;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A body that breaks after its first half.
pub(super) fn cut_short(body: &str) -> Body {
    let half = Bytes::copy_from_slice(&body.as_bytes()[..body.len() / 2]);
    Body::new(Broken(Some(half)))
}

struct Broken(Option<Bytes>);

impl http_body::Body for Broken {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<http_body::Frame<Bytes>, io::Error>>> {
        Poll::Ready(Some(match self.0.take() {
            Some(half) => Ok(http_body::Frame::data(half)),
            None => Err(io::Error::other("cut short")),
        }))
    }
}
