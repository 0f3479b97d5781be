//! `keys new`: generates an operator key.

use crate::error::CommandError;
use crate::files;
use crate::options::NewKey;
use crate::output::Line;
use bramblewheel_bundle::OperatorKey;

pub fn new(options: &NewKey) -> Result<(), CommandError> {
    let key = OperatorKey::generate(&options.name)
        .map_err(|error| CommandError::BadInput(error.to_string()))?;
    files::write_key(&options.out, &key)?;
    Line::default()
        .field("operator", key.name())
        .field("public_key", key.public_key_hex())
        .field("file", options.out.display())
        .print();
    Ok(())
}
