//! The project's headers of one message, looked up by name and parsed by type.

use crate::headers::{HeaderError, MAX_HEADERS, MAX_VALUE_LENGTH, has_prefix};
use std::collections::BTreeMap;
use std::str::FromStr;

/// Headers of one message whose names carry the project's prefix.
#[derive(Debug, Default)]
pub struct Fields<'a> {
    values: BTreeMap<String, &'a str>,
}

impl<'a> Fields<'a> {
    /// Collects the headers with the project's prefix; all others are ignored.
    ///
    /// # Errors
    /// [`HeaderError`] when one appears twice, is too long or is not visible ASCII, or when
    /// there are too many.
    pub fn collect<I>(headers: I) -> Result<Self, HeaderError>
    where
        I: IntoIterator<Item = (&'a str, &'a [u8])>,
    {
        let mut fields = Self::default();
        for (name, value) in headers {
            if has_prefix(name) {
                fields.insert(name, value)?;
            }
        }
        Ok(fields)
    }

    fn insert(&mut self, name: &str, value: &'a [u8]) -> Result<(), HeaderError> {
        let name = name.to_ascii_lowercase();
        if value.len() > MAX_VALUE_LENGTH {
            let length = value.len();
            return Err(HeaderError::TooLong { name, length });
        }
        let is_visible = value.iter().all(u8::is_ascii_graphic);
        let text = std::str::from_utf8(value).ok().filter(|_| is_visible);
        let Some(text) = text else {
            return Err(HeaderError::Malformed(name));
        };
        if self.values.contains_key(&name) {
            return Err(HeaderError::Repeated(name));
        }
        if self.values.len() >= MAX_HEADERS {
            return Err(HeaderError::TooMany);
        }
        self.values.insert(name, text);
        Ok(())
    }

    /// The text of a header, if it is there.
    pub fn text(&self, name: &'static str) -> Option<&'a str> {
        self.values.get(name).copied()
    }

    /// A header parsed by its type, if it is there.
    ///
    /// # Errors
    /// [`HeaderError::Malformed`] when the value can't be understood.
    pub fn optional<T: FromStr>(&self, name: &'static str) -> Result<Option<T>, HeaderError> {
        self.text(name).map(|text| parse(name, text)).transpose()
    }

    /// A header that must be there.
    ///
    /// # Errors
    /// [`HeaderError`] when it is missing or can't be understood.
    pub fn required<T: FromStr>(&self, name: &'static str) -> Result<T, HeaderError> {
        self.optional(name)?.ok_or(HeaderError::Missing(name))
    }

    /// A whole number of digits only, if it is there.
    ///
    /// # Errors
    /// [`HeaderError::Malformed`] when the value has anything but digits or is too large.
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

    /// A whole number that must be there.
    ///
    /// # Errors
    /// [`HeaderError`] when it is missing or can't be understood.
    pub fn required_number<T: FromStr>(&self, name: &'static str) -> Result<T, HeaderError> {
        self.optional_number(name)?
            .ok_or(HeaderError::Missing(name))
    }

    /// A mark that is `1` where set and absent, or `0`, where not.
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
