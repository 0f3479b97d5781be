//! Types of option values and their parsing.

use bramblewheel_bundle::OperatorPublicKey;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

/// Comma-separated list of addresses.
#[derive(Clone, Debug, Default)]
pub struct Addresses(pub Vec<SocketAddr>);

impl FromStr for Addresses {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parse = |part: &str| {
            part.parse()
                .map_err(|_| format!("`{part}` is not an address such as 10.0.0.1:7100"))
        };
        text.split(',')
            .map(parse)
            .collect::<Result<_, _>>()
            .map(Self)
    }
}

/// A duration of at least one second, in whole seconds.
#[derive(Clone, Copy, Debug)]
pub struct Seconds(pub Duration);

impl FromStr for Seconds {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text.parse::<u32>() {
            Ok(seconds) if seconds > 0 => Ok(Self(Duration::from_secs(seconds.into()))),
            _ => Err(format!("`{text}` is not a number of seconds above 0")),
        }
    }
}

/// A replica's id, written as 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplicaId(pub u64);

impl FromStr for ReplicaId {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let is_16_digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let parsed = u64::from_str_radix(text, 16).ok().filter(|_| is_16_digits);
        parsed
            .map(Self)
            .ok_or_else(|| format!("`{text}` is not a replica id of 16 hexadecimal digits"))
    }
}

/// An operator's name and public key, written `NAME=KEY`.
#[derive(Clone, Debug)]
pub struct NamedKey {
    /// Operator's name.
    pub name: String,
    /// Public key.
    pub key: OperatorPublicKey,
}

impl FromStr for NamedKey {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let invalid = || format!("`{text}` is not NAME=KEY with a key of 64 hexadecimal digits");
        let (name, key) = text.split_once('=').ok_or_else(invalid)?;
        let mut bytes = [0; 32];
        hex::decode_to_slice(key, &mut bytes).map_err(|_| invalid())?;
        Ok(Self {
            name: name.to_owned(),
            key: OperatorPublicKey(bytes),
        })
    }
}
