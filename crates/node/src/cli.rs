//! Command-line arguments of the daemon.

use gumdrop::Options;

/// A turmerictack node.
#[derive(Debug, Options)]
pub struct Arguments {
    /// print this help
    pub help: bool,
    /// print the version
    pub version: bool,
    /// file with the node's settings
    #[options(meta = "FILE")]
    pub settings: Option<String>,
    /// serve on the users' platform, with the settings file that it names
    pub platform: bool,
}
