//! Header fields that concern one connection only, and therefore end at each hop (RFC 9110, 7.6.1).

use http::header::{self, HeaderMap, HeaderName};

/// How long a side keeps an idle connection; no constant of the library names it.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Fields that end at each hop, besides those that `Connection` names. The length is among them: it
/// is written anew from the body.
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

/// The fields that `Connection` names. What is no name of a field is left out.
pub fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let listed = connection_options(headers);
    listed.filter_map(|name| name.parse().ok()).collect()
}

/// What `Connection` lists, in all its values; a value that is no text is left out.
pub fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|list| list.split(','))
        .map(str::trim)
}
