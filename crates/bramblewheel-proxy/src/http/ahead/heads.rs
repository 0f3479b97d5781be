//! Finds the heads of requests in the bytes of a connection.
//!
//! Bodies with a stated length are skipped. Behind anything else nothing is found any more: a chunked body, a head that
//! can't be read, a request after which the connection closes or changes its protocol.

use bytes::{Buf, Bytes, BytesMut};
use http::request::Parts;
use http::{HeaderName, HeaderValue, Method, Request, Uri};

/// Most headers of a request, the same as hyper's limit.
const MAX_HEADERS: usize = 100;
/// Longest head that is looked for, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Head of a request as it was received.
#[derive(Clone, Debug)]
pub struct RequestHead {
    bytes: Bytes,
    has_body: bool,
}

impl RequestHead {
    /// Whether a body follows.
    pub fn has_body(&self) -> bool {
        self.has_body
    }

    /// The parsed head; none if it holds what hyper refuses.
    pub fn parse(&self) -> Option<Parts> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        parsed.parse(&self.bytes).ok()?;
        let mut request = Request::new(());
        *request.method_mut() = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
        *request.uri_mut() = parsed.path?.parse::<Uri>().ok()?;
        for header in parsed.headers.iter() {
            let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
            let value = HeaderValue::from_bytes(header.value).ok()?;
            request.headers_mut().append(name, value);
        }
        Some(request.into_parts().0)
    }
}

/// What follows a head.
enum Following {
    Body(u64),
    Unknown,
}

/// Where the next byte of the connection belongs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Position {
    #[default]
    Head,
    Body {
        left: u64,
    },
    Unknown,
}

/// Position in the requests of a connection.
#[derive(Debug, Default)]
pub struct HeadScanner {
    position: Position,
    /// Beginning of a head whose end has not come yet.
    partial: BytesMut,
}

impl HeadScanner {
    /// Whether the beginning of a further head has come.
    pub fn has_partial_head(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Passes the next bytes of the connection; `found` gets each head that is complete.
    pub fn scan(&mut self, mut bytes: &[u8], mut found: impl FnMut(RequestHead)) {
        if self.position == Position::Head && !self.partial.is_empty() {
            self.partial.extend_from_slice(bytes);
            let joined = std::mem::take(&mut self.partial).freeze();
            return self.scan(&joined, found);
        }
        while !bytes.is_empty() {
            match self.position {
                Position::Unknown => return,
                Position::Body { left } => self.skip_body(&mut bytes, left),
                Position::Head => match read_head(bytes) {
                    Ok(Some((length, following))) => {
                        let head = Bytes::copy_from_slice(&bytes[..length]);
                        bytes.advance(length);
                        found(self.record_head(head, &following));
                    }
                    Ok(None) if bytes.len() < MAX_HEAD_BYTES => {
                        self.partial.extend_from_slice(bytes);
                        return;
                    }
                    Ok(None) | Err(_) => self.position = Position::Unknown,
                },
            }
        }
    }

    fn skip_body(&mut self, bytes: &mut &[u8], left: u64) {
        let here = usize::try_from(left).map_or(bytes.len(), |left| left.min(bytes.len()));
        bytes.advance(here);
        let left = left - here as u64;
        self.position = if left == 0 {
            Position::Head
        } else {
            Position::Body { left }
        };
    }

    fn record_head(&mut self, bytes: Bytes, following: &Following) -> RequestHead {
        let (position, has_body) = match following {
            Following::Body(0) => (Position::Head, false),
            Following::Body(length) => (Position::Body { left: *length }, true),
            Following::Unknown => (Position::Unknown, true),
        };
        self.position = position;
        RequestHead { bytes, has_body }
    }
}

/// Length of the head at the beginning of `bytes` and what follows it; none if it is not complete.
fn read_head(bytes: &[u8]) -> Result<Option<(usize, Following)>, httparse::Error> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(length) = request.parse(bytes)? else {
        return Ok(None);
    };
    Ok(Some((length, following(&request))))
}

fn following(request: &httparse::Request<'_, '_>) -> Following {
    if request.version != Some(1) || request.method == Some("CONNECT") {
        return Following::Unknown;
    }
    let mut length = None;
    for header in request.headers.iter() {
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is("transfer-encoding") || is("upgrade") || (is("connection") && closes(header.value)) {
            return Following::Unknown;
        }
        if is("content-length") {
            let stated = read_length(header.value);
            if stated.is_none() || length.is_some() {
                return Following::Unknown;
            }
            length = stated;
        }
    }
    Following::Body(length.unwrap_or(0))
}

/// A body length as hyper reads it: digits without a sign.
fn read_length(value: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(value).ok()?;
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| is_number)
}

fn closes(value: &[u8]) -> bool {
    let mut options = value.split(|byte| *byte == b',');
    options.any(|option| !option.trim_ascii().eq_ignore_ascii_case(b"keep-alive"))
}
