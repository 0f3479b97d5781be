//! What the bench prints and writes: key=value lines, a table and a plot.

mod lines;
mod plot;
mod slopes;
mod table;

pub use lines::{print_head, print_size};
pub use slopes::print_slopes;
#[cfg(test)]
pub use slopes::slopes;

use super::measure::SizeFigures;
use crate::error::CommandError;
use std::fs;
use std::path::Path;

/// Writes the table and the plot into a folder.
///
/// # Errors
/// [`CommandError`] when a file can't be written.
pub fn write(folder: &Path, sizes: &[SizeFigures]) -> Result<(), CommandError> {
    fs::create_dir_all(folder).map_err(|error| CommandError::file(folder, error))?;
    let table = folder.join("scale.csv");
    fs::write(&table, table::csv(sizes)).map_err(|error| CommandError::file(&table, error))?;
    let plot = folder.join("scale.svg");
    plot::draw(&plot, sizes).map_err(|error| CommandError::file(&plot, error))
}
