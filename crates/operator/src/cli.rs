//! Command-line arguments, from which the help texts are generated.

use gumdrop::Options;

/// Command-line tool for operators of turmerictack.
#[derive(Debug, Options)]
pub struct Arguments {
    /// print this help
    pub help: bool,
    /// print the version
    pub version: bool,
    /// command to run
    #[options(command)]
    pub command: Option<Command>,
}

/// Commands of the tool.
#[derive(Debug, Options)]
pub enum Command {
    /// validate a services configuration or node settings, without contacting the platform
    Check(CheckArguments),
    /// store a new revision of the services configuration
    Apply(ApplyArguments),
    /// show the current services configuration
    Show(ShowArguments),
    /// show the status of nodes
    Status(StatusArguments),
    /// stop a node gracefully, letting its calls complete
    Drain(DrainArguments),
    /// list, settle or prune call records
    Calls(CallsArguments),
    /// report the burn rates of the error budgets
    Burn(BurnArguments),
    /// lift the quarantine of a request
    Lift(LiftArguments),
}

/// Arguments of `check`.
#[derive(Debug, Options)]
pub struct CheckArguments {
    /// print this help
    pub help: bool,
    /// the file contains node settings, not a services configuration
    pub node: bool,
    /// file to validate
    #[options(free)]
    pub file: Option<String>,
}

/// Arguments of `apply`.
#[derive(Debug, Options)]
pub struct ApplyArguments {
    /// print this help
    pub help: bool,
    /// base URL of the platform
    #[options(meta = "URL")]
    pub platform: Option<String>,
    /// revision that the file is based on; 0 if there is none yet
    #[options(meta = "REVISION")]
    pub base: Option<u64>,
    /// wait until the new revision is active on the nodes given by --nodes
    pub wait: bool,
    /// comma-separated operator addresses of the nodes
    #[options(meta = "ADDRESSES")]
    pub nodes: Option<String>,
    /// file that contains the operator key
    #[options(meta = "FILE")]
    pub key_file: Option<String>,
    /// file that contains the services configuration
    #[options(free)]
    pub file: Option<String>,
}

/// Arguments of `show`.
#[derive(Debug, Options)]
pub struct ShowArguments {
    /// print this help
    pub help: bool,
    /// base URL of the platform
    #[options(meta = "URL")]
    pub platform: Option<String>,
    /// print JSON
    pub json: bool,
}

/// Arguments of `status`.
#[derive(Debug, Options)]
pub struct StatusArguments {
    /// print this help
    pub help: bool,
    /// comma-separated operator addresses of the nodes
    #[options(meta = "ADDRESSES")]
    pub nodes: Option<String>,
    /// file that contains the operator key
    #[options(meta = "FILE")]
    pub key_file: Option<String>,
    /// repeat every second
    pub watch: bool,
    /// print JSON
    pub json: bool,
}

/// Arguments of `drain`.
#[derive(Debug, Options)]
pub struct DrainArguments {
    /// print this help
    pub help: bool,
    /// operator address of the node
    #[options(free)]
    pub node: Option<String>,
    /// file that contains the operator key
    #[options(meta = "FILE")]
    pub key_file: Option<String>,
}

/// Arguments of `calls`.
#[derive(Debug, Options)]
pub struct CallsArguments {
    /// print this help
    pub help: bool,
    /// base URL of the platform
    #[options(meta = "URL")]
    pub platform: Option<String>,
    /// list only calls whose outcome is unknown
    pub open: bool,
    /// print JSON
    pub json: bool,
    /// settle the call with this record
    #[options(meta = "RECORD")]
    pub settle: Option<String>,
    /// with --settle: the call was executed
    pub ran: bool,
    /// with --settle: the call was not executed, and may be sent again
    pub not_run: bool,
    /// with --ran: name of the person who settles the call
    #[options(meta = "NAME")]
    pub by: Option<String>,
    /// delete records older than a day, except of calls whose outcome is unknown
    pub prune: bool,
}

/// Arguments of `burn`.
#[derive(Debug, Options)]
pub struct BurnArguments {
    /// print this help
    pub help: bool,
    /// comma-separated operator addresses of the nodes
    #[options(meta = "ADDRESSES")]
    pub nodes: Option<String>,
    /// file that contains the operator key
    #[options(meta = "FILE")]
    pub key_file: Option<String>,
    /// print JSON
    pub json: bool,
    /// write the report to a file as an SVG chart
    #[options(meta = "FILE")]
    pub svg: Option<String>,
}

/// Arguments of `lift`.
#[derive(Debug, Options)]
pub struct LiftArguments {
    /// print this help
    pub help: bool,
    /// digest of the request, as shown by `status`
    #[options(free)]
    pub digest: Option<String>,
    /// comma-separated operator addresses of the nodes
    #[options(meta = "ADDRESSES")]
    pub nodes: Option<String>,
    /// file that contains the operator key
    #[options(meta = "FILE")]
    pub key_file: Option<String>,
}
