//! Parses deployment files.

use super::Deployment;
use super::check::{DeploymentProblem, problems};
use crate::source_text::SourceText;
use thiserror::Error;

/// A deployment file is invalid.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum DeploymentError {
    /// The text is not TOML or does not match the model.
    #[error("{file}:{line}: {message}")]
    Syntax {
        /// Name of the file.
        file: String,
        /// Line, from 1.
        line: usize,
        /// Message of the parser.
        message: String,
    },
    /// The deployment fails validation.
    #[error("{file}: {}", list(.problems))]
    Problems {
        /// Name of the file.
        file: String,
        /// Problems found.
        problems: Vec<DeploymentProblem>,
    },
}

fn list(problems: &[DeploymentProblem]) -> String {
    let texts: Vec<_> = problems.iter().map(ToString::to_string).collect();
    texts.join("; ")
}

/// Parses and validates a deployment; `file` is the name used in errors.
///
/// # Errors
/// [`DeploymentError`] when the text is not TOML, does not match the model, or fails validation.
pub fn parse(file: &str, text: &str) -> Result<Deployment, DeploymentError> {
    let deployment: Deployment =
        toml::from_str(text).map_err(|error| syntax(file, text, &error))?;
    let problems = problems(&deployment);
    if problems.is_empty() {
        Ok(deployment)
    } else {
        Err(DeploymentError::Problems {
            file: file.to_owned(),
            problems,
        })
    }
}

fn syntax(file: &str, text: &str, error: &toml::de::Error) -> DeploymentError {
    let start = error.span().map_or(0, |span| span.start);
    let line = SourceText::new(file, text).line_of_offset(start);
    let message = error.message().to_owned();
    DeploymentError::Syntax {
        file: file.to_owned(),
        line,
        message,
    }
}
