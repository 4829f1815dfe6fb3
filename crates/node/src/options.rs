//! Loading of the daemon's settings.

use {
    crate::{cli::Arguments, error::NodeError},
    std::{fs, path::PathBuf},
    turmerictack_settings::node::NodeSettings,
};

/// Default settings file.
const DEFAULT_FILE: &str = "turmerictackd.json";

/// Reads and validates the settings file that the arguments name.
///
/// # Errors
/// [`NodeError::Read`] or [`NodeError::Settings`].
pub fn load(arguments: &Arguments) -> Result<NodeSettings, NodeError> {
    let path = PathBuf::from(arguments.settings.as_deref().unwrap_or(DEFAULT_FILE));
    let text = fs::read_to_string(&path)
        .map_err(|source| NodeError::Read { path: path.clone(), source })?;
    Ok(NodeSettings::parse(&path.display().to_string(), &text)?)
}
