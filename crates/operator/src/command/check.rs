//! `check`: validates a file in the same way as a node.

use {
    crate::{error::CommandError, file::read_file},
    std::path::Path,
    turmerictack_settings::{node::NodeSettings, services::Services},
};

/// Validates a services configuration or node settings.
pub fn run(file: &Path, is_node_settings: bool) -> Result<(), CommandError> {
    let text = read_file(file)?;
    let name = file.display().to_string();
    if is_node_settings {
        NodeSettings::parse(&name, &text)?;
    } else {
        Services::parse(&name, &text)?;
    }
    println!("{name}: ok");
    Ok(())
}
