//! Commands that a caller takes while it runs.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

/// A command, one line of standard input.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerCommand {
    /// `gateway NAME ADDRESS`: the gateway is there, from now on at this address.
    Gateway {
        /// Its name.
        name: String,
        /// Its outbound listener.
        address: SocketAddr,
    },
    /// `rate N`: send this many requests a second.
    Rate(f64),
}

impl FromStr for CallerCommand {
    type Err = String;

    fn from_str(line: &str) -> Result<Self, String> {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            ["gateway", name, address] => Ok(Self::Gateway {
                name: (*name).to_owned(),
                address: address.parse().map_err(|e| format!("{address}: {e}"))?,
            }),
            ["rate", rate] => parse_rate(rate).map(Self::Rate),
            _ => Err(format!("unknown command `{line}`")),
        }
    }
}

/// Reads a rate in requests a second; 0 pauses.
///
/// # Errors
/// A text that says what is wrong.
pub fn parse_rate(text: &str) -> Result<f64, String> {
    let rate: f64 = text.parse().map_err(|error| format!("{text}: {error}"))?;
    if rate.is_finite() && rate >= 0.0 {
        Ok(rate)
    } else {
        Err(format!("{text}: not a rate"))
    }
}

impl fmt::Display for CallerCommand {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gateway { name, address } => write!(formatter, "gateway {name} {address}"),
            Self::Rate(rate) => write!(formatter, "rate {rate}"),
        }
    }
}
