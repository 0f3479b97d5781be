//! Parses the logs of the processes, which have one line of key=value pairs per event.

use std::net::SocketAddr;

/// A log line that the fleet runner evaluates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// `msg=listening`: a listener is open.
    Listening {
        /// Name of the listener.
        listener: String,
        /// Its address.
        address: SocketAddr,
    },
    /// `msg="bundle in force"`: a bundle is in force.
    BundleInForce {
        /// Its version.
        version: u64,
    },
}

/// Parses a line; none if it is not one that the fleet runner evaluates.
pub fn parse(line: &str) -> Option<LogEvent> {
    match value(line, "msg")?.as_str() {
        "listening" => Some(LogEvent::Listening {
            listener: value(line, "listener")?,
            address: value(line, "address")?.parse().ok()?,
        }),
        "bundle in force" => Some(LogEvent::BundleInForce {
            version: value(line, "version")?.parse().ok()?,
        }),
        _ => None,
    }
}

/// The value of a key, without surrounding quotes.
fn value(line: &str, key: &str) -> Option<String> {
    let prefix = format!("{key}=");
    let padded = format!(" {line}");
    let position = padded.find(&format!(" {prefix}"))?;
    let rest = &padded[position + 1 + prefix.len()..];
    let text = match rest.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next(),
        None => rest.split_whitespace().next(),
    };
    text.map(str::to_owned)
}
