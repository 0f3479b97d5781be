//! Commands that an endpoint reads while it runs.

use std::net::SocketAddr;
use std::str::FromStr;

/// A command for one endpoint of the process, written as the line `ENDPOINT CHANGE`.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointCommand {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Change to apply.
    pub change: EndpointChange,
}

/// Change of an endpoint's state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointChange {
    /// `daemon ADDRESS`: send sub-calls to this outbound listener.
    Daemon(SocketAddr),
    /// `slow FACTOR`: multiply work times by this factor.
    Slow(f64),
    /// `leave`: report that the endpoint is draining, refuse new requests, finish those in progress.
    Leave,
    /// `return`: accept new requests again.
    Return,
}

impl FromStr for EndpointCommand {
    type Err = String;

    fn from_str(line: &str) -> Result<Self, String> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let (endpoint, change) = match words.as_slice() {
            [endpoint, "daemon", address] => {
                let address = address.parse().map_err(|e| format!("{address}: {e}"))?;
                (endpoint, EndpointChange::Daemon(address))
            }
            [endpoint, "slow", factor] => {
                let factor: f64 = factor.parse().map_err(|e| format!("{factor}: {e}"))?;
                if !(factor.is_finite() && factor > 0.0) {
                    return Err(format!("{factor}: expected a finite factor above 0"));
                }
                (endpoint, EndpointChange::Slow(factor))
            }
            [endpoint, "leave"] => (endpoint, EndpointChange::Leave),
            [endpoint, "return"] => (endpoint, EndpointChange::Return),
            _ => return Err(format!("unknown command `{line}`")),
        };
        Ok(Self {
            endpoint: (*endpoint).to_owned(),
            change,
        })
    }
}

impl std::fmt::Display for EndpointCommand {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let endpoint = &self.endpoint;
        match self.change {
            EndpointChange::Daemon(address) => write!(formatter, "{endpoint} daemon {address}"),
            EndpointChange::Slow(factor) => write!(formatter, "{endpoint} slow {factor}"),
            EndpointChange::Leave => write!(formatter, "{endpoint} leave"),
            EndpointChange::Return => write!(formatter, "{endpoint} return"),
        }
    }
}
