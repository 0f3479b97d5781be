//! Commands that an endpoint takes while it runs.

use std::net::SocketAddr;
use std::str::FromStr;

/// A command for one of a process's endpoints, as the line `ENDPOINT CHANGE`.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointCommand {
    /// Name of the endpoint.
    pub endpoint: String,
    /// What is to change.
    pub change: EndpointChange,
}

/// What is to change at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointChange {
    /// `daemon ADDRESS`: sub-calls go to this outbound listener.
    Daemon(SocketAddr),
    /// `slow FACTOR`: work takes this many times as long as usual.
    Slow(f64),
    /// `leave`: say that it is leaving, refuse what comes, finish what is in progress.
    Leave,
    /// `return`: take new work again.
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
                    return Err(format!("{factor}: not a positive factor"));
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
