//! Files that a command reads.

use {
    crate::error::CommandError,
    std::{fs, path::Path},
};

/// Reads a file.
///
/// # Errors
/// [`CommandError::Read`].
pub fn read_file(file: &Path) -> Result<String, CommandError> {
    fs::read_to_string(file)
        .map_err(|source| CommandError::Read { path: file.to_path_buf(), source })
}
