//! Hop-by-hop header fields of this data path.

pub use bramblewheel_http::fields::KEEP_ALIVE;
use bramblewheel_http::fields::{HOP_BY_HOP, connection_options, named_by_connection};

use http::header::{HeaderMap, HeaderName, HeaderValue};
use std::time::Duration;

/// Removes the hop-by-hop fields.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named = named_by_connection(headers);
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
}

/// Sets a field, or removes it if there is no value, so that a value set by the sender is never kept.
pub fn set_or_remove(headers: &mut HeaderMap, name: &HeaderName, value: Option<&HeaderValue>) {
    match value {
        Some(value) => headers.insert(name, value.clone()),
        None => headers.remove(name),
    };
}

/// How long the peer keeps an idle connection, if stated.
pub fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let parameters = text.split(',').map(str::trim);
    let seconds = parameters.filter_map(|part| part.strip_prefix("timeout="));
    let seconds = seconds.filter_map(|text| text.trim().parse().ok()).next();
    seconds.map(Duration::from_secs)
}

/// Value of `Keep-Alive` for a connection that is closed here after `idle_timeout`, in whole seconds. Less than that
/// is stated, so that no request arrives while the connection is being closed; `None` below one second.
pub fn keep_alive(idle_timeout: Duration) -> Option<HeaderValue> {
    /// Share of the time-out that is stated, 0 to 1.
    const STATED_SHARE: f64 = 0.6;
    let seconds = idle_timeout.mul_f64(STATED_SHARE).as_secs();
    let value = || HeaderValue::try_from(format!("timeout={seconds}"));
    (seconds > 0).then(|| value().expect("numbers consist of visible ASCII"))
}

/// Whether the peer closes the connection after this message.
pub fn is_closing(headers: &HeaderMap) -> bool {
    connection_options(headers).any(|option| option.eq_ignore_ascii_case("close"))
}
