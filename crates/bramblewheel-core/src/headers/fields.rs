//! Headers of one message with the project's prefix, looked up by name and parsed by type.

use crate::headers::{
    HeaderError, MAX_HEADERS, MAX_VALUE_LENGTH, has_prefix, may_come_from_outside,
};
use std::str::FromStr;

/// Initial capacity; enough for most messages without a second allocation.
const INITIAL_CAPACITY: usize = 16;

/// Headers of one message whose names carry the project's prefix.
///
/// A message has only a few of them, so a linear search is faster than an index.
#[derive(Debug, Default)]
pub struct Fields<'a> {
    values: Vec<(&'a str, &'a str)>,
}

impl<'a> Fields<'a> {
    /// Collects the headers with the project's prefix and ignores all others.
    ///
    /// # Errors
    /// [`HeaderError`] when a header appears twice, is too long or is not visible ASCII, or when
    /// there are too many headers.
    pub fn collect<I>(headers: I) -> Result<Self, HeaderError>
    where
        I: IntoIterator<Item = (&'a str, &'a [u8])>,
    {
        let mut fields = Self {
            values: Vec::with_capacity(INITIAL_CAPACITY),
        };
        for (name, value) in headers {
            if has_prefix(name) {
                fields.insert(name, value)?;
            }
        }
        Ok(fields)
    }

    /// Collects the headers that external callers may set and drops those reserved for daemons.
    ///
    /// # Errors
    /// As [`Fields::collect`].
    pub fn collect_from_outside<I>(headers: I) -> Result<Self, HeaderError>
    where
        I: IntoIterator<Item = (&'a str, &'a [u8])>,
    {
        let headers = headers.into_iter();
        Self::collect(headers.filter(|(name, _)| may_come_from_outside(name)))
    }

    fn insert(&mut self, name: &'a str, value: &'a [u8]) -> Result<(), HeaderError> {
        let owned = || name.to_ascii_lowercase();
        if value.len() > MAX_VALUE_LENGTH {
            return Err(HeaderError::TooLong {
                name: owned(),
                length: value.len(),
            });
        }
        let is_visible = value.iter().all(u8::is_ascii_graphic);
        let text = std::str::from_utf8(value).ok().filter(|_| is_visible);
        let Some(text) = text else {
            return Err(HeaderError::Malformed(owned()));
        };
        if self.text(name).is_some() {
            return Err(HeaderError::Repeated(owned()));
        }
        if self.values.len() >= MAX_HEADERS {
            return Err(HeaderError::TooMany);
        }
        self.values.push((name, text));
        Ok(())
    }

    /// The text of a header, if present. Names are case-insensitive.
    pub fn text(&self, name: &str) -> Option<&'a str> {
        let mut values = self.values.iter();
        let found = values.find(|(present, _)| present.eq_ignore_ascii_case(name));
        found.map(|(_, text)| *text)
    }

    /// A header parsed by its type, if present.
    ///
    /// # Errors
    /// [`HeaderError::Malformed`] when the value can't be parsed.
    pub fn optional<T: FromStr>(&self, name: &'static str) -> Result<Option<T>, HeaderError> {
        self.text(name).map(|text| parse(name, text)).transpose()
    }

    /// A required header.
    ///
    /// # Errors
    /// [`HeaderError`] when it is missing or can't be parsed.
    pub fn required<T: FromStr>(&self, name: &'static str) -> Result<T, HeaderError> {
        self.optional(name)?.ok_or(HeaderError::Missing(name))
    }

    /// An unsigned decimal number, if present.
    ///
    /// # Errors
    /// [`HeaderError::Malformed`] when the value contains anything but digits or is too large.
    pub fn optional_number<T: FromStr>(
        &self,
        name: &'static str,
    ) -> Result<Option<T>, HeaderError> {
        let all_digits = |text: &str| text.bytes().all(|byte| byte.is_ascii_digit());
        match self.text(name) {
            Some(text) if !all_digits(text) => Err(HeaderError::Malformed(name.to_owned())),
            _ => self.optional(name),
        }
    }

    /// A required unsigned decimal number.
    ///
    /// # Errors
    /// [`HeaderError`] when it is missing or can't be parsed.
    pub fn required_number<T: FromStr>(&self, name: &'static str) -> Result<T, HeaderError> {
        self.optional_number(name)?
            .ok_or(HeaderError::Missing(name))
    }

    /// A flag: set if the value is `1`, not set if it is `0` or absent.
    ///
    /// # Errors
    /// [`HeaderError::Malformed`] for any other value.
    pub fn flag(&self, name: &'static str) -> Result<bool, HeaderError> {
        match self.text(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(_) => Err(HeaderError::Malformed(name.to_owned())),
        }
    }
}

fn parse<T: FromStr>(name: &str, text: &str) -> Result<T, HeaderError> {
    text.parse()
        .map_err(|_| HeaderError::Malformed(name.to_owned()))
}
