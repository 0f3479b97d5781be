//! Header fields that concern one connection only, as this data path removes, sets and reads them.

pub use bramblewheel_http::fields::KEEP_ALIVE;
use bramblewheel_http::fields::{HOP_BY_HOP, connection_options, named_by_connection};

use http::header::{HeaderMap, HeaderName, HeaderValue};
use std::time::Duration;

/// Removes the fields that concern one connection only.
pub fn keep_end_to_end(headers: &mut HeaderMap) {
    let named = named_by_connection(headers);
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
}

/// Sets a field, or removes what somebody else may have set in its place.
pub fn set_or_remove(headers: &mut HeaderMap, name: &HeaderName, value: Option<&HeaderValue>) {
    match value {
        Some(value) => headers.insert(name, value.clone()),
        None => headers.remove(name),
    };
}

/// How long the other side keeps an idle connection, if it says.
pub fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let parameters = text.split(',').map(str::trim);
    let seconds = parameters.filter_map(|part| part.strip_prefix("timeout="));
    let seconds = seconds.filter_map(|text| text.trim().parse().ok()).next();
    seconds.map(Duration::from_secs)
}

/// Value of `Keep-Alive` for a connection that is closed here after `rest`: less than that, so that no request crosses the close, in whole seconds as the field wants it; nothing below one.
pub fn keep_alive(rest: Duration) -> Option<HeaderValue> {
    /// Share of the time that is stated, 0 to 1.
    const STATED_SHARE: f64 = 0.6;
    let seconds = rest.mul_f64(STATED_SHARE).as_secs();
    let value = || HeaderValue::try_from(format!("timeout={seconds}"));
    (seconds > 0).then(|| value().expect("numbers consist of visible ASCII"))
}

/// Whether the other side closes the connection after this message.
pub fn is_closing(headers: &HeaderMap) -> bool {
    connection_options(headers).any(|option| option.eq_ignore_ascii_case("close"))
}
