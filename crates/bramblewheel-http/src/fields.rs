//! Hop-by-hop header fields, which concern one connection only and are not forwarded (RFC 9110, 7.6.1).

use http::header::{self, HeaderMap, HeaderName};

/// The `Keep-Alive` field, for which the library has no constant.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Hop-by-hop fields besides those named by `Connection`. Includes the content length, which is set
/// again from the forwarded body.
pub const HOP_BY_HOP: [HeaderName; 11] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    KEEP_ALIVE,
    PROXY_CONNECTION,
];

/// Fields named by `Connection`; values that are not valid field names are ignored.
pub fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let listed = connection_options(headers);
    listed.filter_map(|name| name.parse().ok()).collect()
}

/// Options listed in all `Connection` fields; values that are not text are ignored.
pub fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|list| list.split(','))
        .map(str::trim)
}
