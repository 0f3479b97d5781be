//! The project's headers of one message, looked up by name and parsed by type.

use crate::headers::{
    HeaderError, MAX_HEADERS, MAX_VALUE_LENGTH, has_prefix, may_come_from_outside,
};
use std::str::FromStr;

/// Headers that most messages have room for without a second allocation.
const USUAL_COUNT: usize = 16;

/// Headers of one message whose names carry the project's prefix.
///
/// They are few, so that a search through all of them is faster than an index.
#[derive(Debug, Default)]
pub struct Fields<'a> {
    values: Vec<(&'a str, &'a str)>,
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
        let mut fields = Self {
            values: Vec::with_capacity(USUAL_COUNT),
        };
        for (name, value) in headers {
            if has_prefix(name) {
                fields.insert(name, value)?;
            }
        }
        Ok(fields)
    }

    /// Collects what a caller outside may set; what only daemons tell each other is dropped.
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

    /// The text of a header, if it is there. Names are compared without regard to case.
    pub fn text(&self, name: &str) -> Option<&'a str> {
        let mut values = self.values.iter();
        let found = values.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, text)| *text)
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
