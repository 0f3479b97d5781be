//! Reading of the processes' logs, one line of key=value pairs for each event.

use std::net::SocketAddr;

/// A log line that the fleet runner acts upon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// `msg=listening`: a listener is open.
    Listening {
        /// Which listener.
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

/// Reads a line; none if it says nothing that the fleet runner acts upon.
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

/// The value of a key; quotes around it are taken off.
fn value(line: &str, key: &str) -> Option<String> {
    let start = format!("{key}=");
    let padded = format!(" {line}");
    let position = padded.find(&format!(" {start}"))?;
    let rest = &padded[position + 1 + start.len()..];
    let text = match rest.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next(),
        None => rest.split_whitespace().next(),
    };
    text.map(str::to_owned)
}
