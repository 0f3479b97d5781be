//! Typed access to a TOML table that collects findings instead of stopping at the first.

use crate::error::{BundleError, Finding, LocatedFinding, Location, Problem};
use bramblewheel_types::{Criticality, Millis};
use std::collections::BTreeMap;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// Findings so far, and the byte offset of each key in the text.
#[derive(Default)]
pub(super) struct Document {
    findings: Vec<(usize, Finding)>,
    offsets: BTreeMap<String, usize>,
}

impl Document {
    /// Adds a finding at a byte offset.
    pub(super) fn add_at(&mut self, offset: usize, key: String, problem: Problem) {
        self.findings.push((offset, Finding { key, problem }));
    }

    /// Adds a finding at its key, or at the nearest enclosing table if the key's offset is not known.
    pub(super) fn add(&mut self, key: String, problem: Problem) {
        let offset = self.offset(&key);
        self.add_at(offset, key, problem);
    }

    /// Whether there is no finding.
    pub(super) fn is_clean(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns the findings, if any, as an error, ordered by location.
    pub(super) fn into_result(self, file: &str, text: &str) -> Result<(), BundleError> {
        if self.findings.is_empty() {
            return Ok(());
        }
        let mut findings = self.findings;
        findings.sort_by_key(|(offset, _)| *offset);
        let locate = |(offset, finding)| LocatedFinding {
            location: Location::of_offset(text, offset),
            finding,
        };
        Err(BundleError {
            file: file.to_owned(),
            findings: findings.into_iter().map(locate).collect(),
        })
    }

    fn offset(&self, key: &str) -> usize {
        let mut path = key;
        loop {
            if let Some(offset) = self.offsets.get(path) {
                return *offset;
            }
            match path.rfind(['.', '[']) {
                Some(end) => path = &path[..end],
                None => return 0,
            }
        }
    }
}

/// A table of the text and the keys that have been read from it.
pub(super) struct Section<'a, 'i> {
    path: String,
    offset: usize,
    table: &'a DeTable<'i>,
    known_keys: Vec<&'static str>,
}

impl<'a, 'i> Section<'a, 'i> {
    pub(super) fn new(path: String, offset: usize, table: &'a DeTable<'i>) -> Self {
        Self {
            path,
            offset,
            table,
            known_keys: Vec::new(),
        }
    }

    /// Full dotted key of one of the table's keys.
    pub(super) fn key(&self, name: &str) -> String {
        if self.path.is_empty() {
            return name.to_owned();
        }
        format!("{}.{name}", self.path)
    }

    /// Whether the table contains the key.
    pub(super) fn has(&self, name: &str) -> bool {
        self.table.contains_key(name)
    }

    /// Changes the path used in findings, once the item's name has been read.
    pub(super) fn rename(&mut self, document: &mut Document, path: String) {
        document.offsets.insert(path.clone(), self.offset);
        if let Some(offset) = document.offsets.get(&self.key("name")).copied() {
            document.offsets.insert(format!("{path}.name"), offset);
        }
        self.path = path;
    }

    /// Reports the keys that have not been read as unknown.
    pub(super) fn finish(self, document: &mut Document) {
        for key in self.table.keys() {
            let name = key.get_ref().as_ref();
            if !self.known_keys.contains(&name) {
                let known = self.known_keys.join(", ");
                let problem = Problem::UnknownKey { known };
                document.add_at(key.span().start, self.key(name), problem);
            }
        }
    }

    fn value(
        &mut self,
        document: &mut Document,
        name: &'static str,
    ) -> Option<&'a Spanned<DeValue<'i>>> {
        self.known_keys.push(name);
        let value = self.table.get(name)?;
        document.offsets.insert(self.key(name), value.span().start);
        Some(value)
    }

    fn wrong_type(
        &self,
        document: &mut Document,
        name: &str,
        expected: &'static str,
        found: &DeValue<'_>,
    ) {
        let found = found.type_str();
        document.add(self.key(name), Problem::WrongType { expected, found });
    }

    fn missing(&self, document: &mut Document, name: &str) {
        document.add_at(self.offset, self.key(name), Problem::Missing);
    }

    pub(super) fn optional_number<T>(
        &mut self,
        document: &mut Document,
        name: &'static str,
    ) -> Option<T>
    where
        T: TryFrom<u64> + Bounded,
    {
        let value = self.value(document, name)?.get_ref();
        let Some(integer) = value.as_integer() else {
            self.wrong_type(document, name, "integer", value);
            return None;
        };
        let number = u64::from_str_radix(integer.as_str(), integer.radix());
        let number = number.ok().and_then(|number| T::try_from(number).ok());
        if number.is_none() {
            let problem = Problem::OutOfRange {
                value: integer.to_string(),
                min: 0,
                max: T::MAX,
            };
            document.add(self.key(name), problem);
        }
        number
    }

    pub(super) fn number<T>(&mut self, document: &mut Document, name: &'static str, default: T) -> T
    where
        T: TryFrom<u64> + Bounded,
    {
        self.optional_number(document, name).unwrap_or(default)
    }

    pub(super) fn required_number(&mut self, document: &mut Document, name: &'static str) -> u64 {
        if !self.has(name) {
            self.missing(document, name);
        }
        // Valid placeholder, so that a missing or invalid value gives only one finding.
        self.number(document, name, 1)
    }

    pub(super) fn millis(
        &mut self,
        document: &mut Document,
        name: &'static str,
        default: Millis,
    ) -> Millis {
        Millis(self.number(document, name, default.0))
    }

    pub(super) fn flag(
        &mut self,
        document: &mut Document,
        name: &'static str,
        default: bool,
    ) -> bool {
        let Some(value) = self.value(document, name) else {
            return default;
        };
        value.get_ref().as_bool().unwrap_or_else(|| {
            self.wrong_type(document, name, "boolean", value.get_ref());
            default
        })
    }

    fn text(&mut self, document: &mut Document, name: &'static str) -> Option<&'a str> {
        let value = self.value(document, name)?.get_ref();
        let text = value.as_str();
        if text.is_none() {
            self.wrong_type(document, name, "string", value);
        }
        text
    }

    pub(super) fn required_text(&mut self, document: &mut Document, name: &'static str) -> String {
        if !self.has(name) {
            self.missing(document, name);
        }
        self.text(document, name).unwrap_or_default().to_owned()
    }

    pub(super) fn criticality(
        &mut self,
        document: &mut Document,
        name: &'static str,
    ) -> Option<Criticality> {
        let text = self.text(document, name)?;
        let criticality = text.parse().ok();
        if criticality.is_none() {
            let problem = Problem::UnknownCriticality(text.to_owned());
            document.add(self.key(name), problem);
        }
        criticality
    }

    pub(super) fn table(
        &mut self,
        document: &mut Document,
        name: &'static str,
    ) -> Option<Section<'a, 'i>> {
        let value = self.value(document, name)?;
        let Some(table) = value.get_ref().as_table() else {
            self.wrong_type(document, name, "table", value.get_ref());
            return None;
        };
        Some(Section::new(self.key(name), value.span().start, table))
    }

    pub(super) fn tables(
        &mut self,
        document: &mut Document,
        name: &'static str,
    ) -> Vec<Section<'a, 'i>> {
        let Some(value) = self.value(document, name) else {
            return Vec::new();
        };
        let Some(array) = value.get_ref().as_array() else {
            self.wrong_type(document, name, "array of tables", value.get_ref());
            return Vec::new();
        };
        let mut sections = Vec::new();
        for (index, item) in array.iter().enumerate() {
            let path = format!("{}[{index}]", self.key(name));
            let offset = item.span().start;
            document.offsets.insert(path.clone(), offset);
            match item.get_ref().as_table() {
                Some(table) => sections.push(Section::new(path, offset, table)),
                None => {
                    let found = item.get_ref().type_str();
                    let expected = "table";
                    document.add(path, Problem::WrongType { expected, found });
                }
            }
        }
        sections
    }
}

/// Integer types with a known maximum.
pub(super) trait Bounded {
    /// Largest value of the type.
    const MAX: u64;
}

impl Bounded for u8 {
    const MAX: u64 = u8::MAX as u64;
}

impl Bounded for u32 {
    const MAX: u64 = u32::MAX as u64;
}

impl Bounded for u64 {
    const MAX: u64 = u64::MAX;
}
