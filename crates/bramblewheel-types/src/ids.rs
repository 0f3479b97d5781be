//! Identifiers, each with its own type so that they can't be confused.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use thiserror::Error;

/// Longest accepted name, in bytes.
pub const MAX_NAME_LENGTH: usize = 64;
/// Longest accepted operation key, in bytes.
pub const MAX_OPERATION_KEY_LENGTH: usize = 128;

/// A name breaks the rules for names.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidName {
    /// The name is empty.
    #[error("name is empty")]
    Empty,
    /// The name is longer than the limit, in bytes.
    #[error("name has {length} bytes, at most {limit} are allowed")]
    TooLong {
        /// Length found.
        length: usize,
        /// Length allowed.
        limit: usize,
    },
    /// The name holds a character outside `a-z`, `0-9`, `-`, `.` and `_`.
    #[error("name holds `{0}`: only a-z, 0-9, `-`, `.` and `_` are allowed")]
    BadCharacter(char),
}

pub(crate) fn check_name(text: &str) -> Result<(), InvalidName> {
    if text.is_empty() {
        return Err(InvalidName::Empty);
    }
    if text.len() > MAX_NAME_LENGTH {
        return Err(InvalidName::TooLong {
            length: text.len(),
            limit: MAX_NAME_LENGTH,
        });
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-._".contains(c);
    match text.chars().find(|&c| !allowed(c)) {
        Some(c) => Err(InvalidName::BadCharacter(c)),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Checks and wraps a name.
            ///
            /// # Errors
            /// [`InvalidName`] when the text is empty, too long or holds a forbidden character.
            pub fn new(text: &str) -> Result<Self, InvalidName> {
                check_name(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = InvalidName;

            fn from_str(text: &str) -> Result<Self, InvalidName> {
                Self::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidName;

            fn try_from(text: String) -> Result<Self, InvalidName> {
                Self::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name_type!(
    /// A service of the call graph, such as `kassa`.
    ServiceName
);
name_type!(
    /// A failure domain inside a region, such as `bergen-hall`.
    ZoneName
);
name_type!(
    /// A group of zones, such as `vestkyst`.
    RegionName
);
name_type!(
    /// Stable name of a daemon, such as `kassa-1` or `gateway-bergen-1`.
    DaemonId
);

name_type!(
    /// The tenant that a caller's API key belongs to, such as `pulo780`.
    TenantName
);

macro_rules! hex_id {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $digits:expr) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{:0width$x}", self.0, width = $digits)
            }
        }

        impl FromStr for $name {
            type Err = InvalidHexId;

            fn from_str(text: &str) -> Result<Self, InvalidHexId> {
                let all_hex = text.bytes().all(|b| b.is_ascii_hexdigit());
                if text.len() != $digits || !all_hex {
                    return Err(InvalidHexId { digits: $digits });
                }
                <$inner>::from_str_radix(text, 16)
                    .map(Self)
                    .map_err(|_| InvalidHexId { digits: $digits })
            }
        }
    };
}

/// The text is not an identifier of the stated number of hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("expected {digits} hexadecimal digits")]
pub struct InvalidHexId {
    /// Digits expected.
    pub digits: usize,
}

hex_id!(
    /// The original request at the root of a call tree; unchanged when the caller resends it.
    RequestId,
    u128,
    32
);
hex_id!(
    /// One call in the tree from a caller to a service; covers all of its attempts.
    CallId,
    u64,
    16
);
hex_id!(
    /// One attempt of a call at one endpoint.
    AttemptId,
    u64,
    16
);

/// Identifies an operation that must run at most once; requests with the same key are the same operation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct OperationKey(Arc<str>);

impl OperationKey {
    /// Checks and wraps a key: 1 to 128 visible ASCII characters.
    ///
    /// # Errors
    /// [`InvalidName`] when the text is empty, too long or holds a forbidden character.
    pub fn new(text: &str) -> Result<Self, InvalidName> {
        if text.is_empty() {
            return Err(InvalidName::Empty);
        }
        if text.len() > MAX_OPERATION_KEY_LENGTH {
            let limit = MAX_OPERATION_KEY_LENGTH;
            return Err(InvalidName::TooLong {
                length: text.len(),
                limit,
            });
        }
        match text.chars().find(|c| !c.is_ascii_graphic()) {
            Some(c) => Err(InvalidName::BadCharacter(c)),
            None => Ok(Self(Arc::from(text))),
        }
    }

    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for OperationKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl TryFrom<String> for OperationKey {
    type Error = InvalidName;

    fn try_from(text: String) -> Result<Self, InvalidName> {
        Self::new(&text)
    }
}

impl From<OperationKey> for String {
    fn from(key: OperationKey) -> String {
        key.0.as_ref().to_owned()
    }
}

/// Version of a configuration bundle; set by operators, strictly increasing.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BundleVersion(pub u64);

impl fmt::Display for BundleVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// SHA-256 of a bundle's canonical bytes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BundleDigest(pub [u8; 32]);

impl fmt::Display for BundleDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for BundleDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "BundleDigest({self})")
    }
}

impl FromStr for BundleDigest {
    type Err = InvalidHexId;

    fn from_str(text: &str) -> Result<Self, InvalidHexId> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| InvalidHexId { digits: 64 })?;
        Ok(Self(bytes))
    }
}
