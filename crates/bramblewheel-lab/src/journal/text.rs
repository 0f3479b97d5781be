//! Serializes identifiers in the text form of logs and header fields.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serializer};
use std::fmt::Display;
use std::str::FromStr;

pub(super) fn serialize<T: Display, S: Serializer>(value: &T, to: S) -> Result<S::Ok, S::Error> {
    to.collect_str(value)
}

pub(super) fn deserialize<'de, T, D>(from: D) -> Result<T, D::Error>
where
    T: FromStr,
    T::Err: Display,
    D: Deserializer<'de>,
{
    String::deserialize(from)?.parse().map_err(D::Error::custom)
}
