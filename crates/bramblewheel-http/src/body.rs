//! Reading of a whole body, up to a limit.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Result of reading a body.
#[derive(Debug)]
pub enum Collected {
    /// The whole body.
    Whole(Bytes),
    /// The part read so far of a body that exceeds the limit.
    OverLimit(Bytes),
}

/// Reads a body until its end or until it exceeds `limit` bytes.
///
/// # Errors
/// The connection's error when the body is interrupted or shorter than announced.
pub async fn collect(body: &mut Incoming, limit: usize) -> Result<Collected, hyper::Error> {
    let mut first: Option<Bytes> = None;
    let mut rest = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        // Most bodies arrive in one frame, which is returned without a copy.
        if first.is_none() && rest.is_empty() {
            first = Some(data);
        } else {
            rest.extend_from_slice(&first.take().unwrap_or_default());
            rest.extend_from_slice(&data);
        }
        if first.as_ref().map_or(rest.len(), Bytes::len) > limit {
            return Ok(Collected::OverLimit(joined(first, rest)));
        }
    }
    Ok(Collected::Whole(joined(first, rest)))
}

fn joined(first: Option<Bytes>, rest: BytesMut) -> Bytes {
    first.unwrap_or_else(|| rest.freeze())
}
