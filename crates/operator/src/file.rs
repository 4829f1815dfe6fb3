//! Reading of input files.

use {
    crate::error::CommandError,
    std::{fs, path::Path},
};

/// Reads a text file.
///
/// # Errors
/// Returns [`CommandError::Read`] if the file cannot be read or is not UTF-8.
pub fn read_file(file: &Path) -> Result<String, CommandError> {
    fs::read_to_string(file)
        .map_err(|source| CommandError::Read { path: file.to_path_buf(), source })
}
