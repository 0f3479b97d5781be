//! Commands that a caller reads while it runs.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

/// A command, one line of standard input.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerCommand {
    /// `gateway NAME ADDRESS`: the gateway is available at this address from now on.
    Gateway {
        /// Name of the gateway.
        name: String,
        /// Address of its outbound listener.
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
/// A message that says what is wrong.
pub fn parse_rate(text: &str) -> Result<f64, String> {
    let rate: f64 = text.parse().map_err(|error| format!("{text}: {error}"))?;
    if rate.is_finite() && rate >= 0.0 {
        Ok(rate)
    } else {
        Err(format!("{text}: expected a finite rate, 0 or above"))
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
