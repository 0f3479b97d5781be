//! Validation errors of bundles, each with its key and, for text, its location.

use bramblewheel_types::InvalidName;
use std::fmt;
use thiserror::Error;

/// A rule that a bundle violates.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Problem {
    /// The text is not TOML.
    #[error("{0}")]
    Syntax(String),
    /// The table does not have this key.
    #[error("unknown key; known here: {known}")]
    UnknownKey {
        /// Keys of the table.
        known: String,
    },
    /// A required key is absent.
    #[error("missing")]
    Missing,
    /// The value has the wrong type.
    #[error("expected {expected}, found {found}")]
    WrongType {
        /// Type expected.
        expected: &'static str,
        /// Type found in the text.
        found: &'static str,
    },
    /// A number is outside its range.
    #[error("{value} is out of range: allowed are {min} to {max}")]
    OutOfRange {
        /// Number as written in the text.
        value: String,
        /// Smallest allowed.
        min: u64,
        /// Largest allowed.
        max: u64,
    },
    /// A name violates the rules for names.
    #[error("{0}")]
    InvalidName(#[from] InvalidName),
    /// The text is not the name of a criticality class.
    #[error("unknown criticality `{0}`: expected sheddable, low, normal or critical")]
    UnknownCriticality(String),
    /// The text is not a usable Ed25519 public key.
    #[error("not an Ed25519 public key: expected 64 hexadecimal digits of a valid point")]
    InvalidPublicKey,
    /// A name, key or prefix occurs twice.
    #[error("`{0}` stands twice")]
    Duplicate(String),
    /// Two operators have the same key, so that one of them could sign for both.
    #[error("same public key as operator `{0}`")]
    SharedPublicKey(String),
    /// A prefix is not valid as the beginning of a path.
    #[error("not a path prefix: it must begin with `/` and hold only visible ASCII, no `?` or `#`")]
    InvalidPrefix,
    /// A prefix is too long.
    #[error("prefix has {length} bytes, at most {limit} are allowed")]
    PrefixTooLong {
        /// Length found, in bytes.
        length: usize,
        /// Length allowed, in bytes.
        limit: usize,
    },
    /// An earlier, shorter prefix matches every request of this route.
    #[error("never reached: `{hidden_by}` stands before it and matches the same paths")]
    UnreachableRoute {
        /// The earlier prefix.
        hidden_by: String,
    },
    /// A lower bound is above the upper bound.
    #[error("{minimum} is above {bound_key} = {maximum}")]
    AboveMaximum {
        /// Lower bound.
        minimum: u64,
        /// Key of the upper bound.
        bound_key: &'static str,
        /// Upper bound.
        maximum: u64,
    },
    /// More signatures are required than there are keys.
    #[error("{required} signatures are required, but there are only {keys} operator keys")]
    TooFewKeys {
        /// Signatures required.
        required: u32,
        /// Keys listed.
        keys: usize,
    },
    /// An operation key may be discarded while its request can still be executed.
    #[error("{retention} ms is shorter than the deadline {deadline} ms of {route}")]
    RetentionTooShort {
        /// Retention in milliseconds.
        retention: u64,
        /// Deadline in milliseconds.
        deadline: u64,
        /// Service and path prefix.
        route: String,
    },
    /// There are more entries than allowed.
    #[error("{count} entries, at most {limit} are allowed")]
    TooMany {
        /// Entries found.
        count: usize,
        /// Entries allowed.
        limit: usize,
    },
}

/// A problem and the key it concerns, such as `service.kassa.admission.min_concurrency`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Key in dotted form; services are identified by name, routes by their index from 0.
    pub key: String,
    /// The violated rule.
    pub problem: Problem,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.key.is_empty() {
            return write!(formatter, "{}", self.problem);
        }
        write!(formatter, "{}: {}", self.key, self.problem)
    }
}

/// Location in a text; line and column are counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    /// Line number.
    pub line: usize,
    /// Column number in characters.
    pub column: usize,
}

impl Location {
    /// Location of a byte offset in a text.
    pub fn of_offset(text: &str, offset: usize) -> Self {
        let before = text.get(..offset).unwrap_or(text);
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Self {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}

/// A finding and its location in the operator's text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocatedFinding {
    /// Location of the key or value.
    pub location: Location,
    /// The finding.
    pub finding: Finding,
}

/// A bundle's text is invalid; lists all findings, ordered by location.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct BundleError {
    /// Name of the file, as given.
    pub file: String,
    /// All findings; at least one.
    pub findings: Vec<LocatedFinding>,
}

impl fmt::Display for BundleError {
    /// One line for each finding: `FILE:LINE:COLUMN: KEY: PROBLEM`.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, located) in self.findings.iter().enumerate() {
            if index > 0 {
                writeln!(formatter)?;
            }
            let Location { line, column } = located.location;
            write!(
                formatter,
                "{}:{line}:{column}: {}",
                self.file, located.finding
            )?;
        }
        Ok(())
    }
}

/// A bundle that was not parsed from text is invalid; lists all findings.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct InvalidBundle {
    /// All findings; at least one.
    pub findings: Vec<Finding>,
}

impl fmt::Display for InvalidBundle {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.findings.iter().map(Finding::to_string).collect();
        formatter.write_str(&lines.join("; "))
    }
}
