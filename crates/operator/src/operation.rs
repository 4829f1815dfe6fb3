//! Operations of the tool, validated from the command-line arguments.

use {
    crate::{
        cli::{
            ApplyArguments, Arguments, BurnArguments, CallsArguments, CheckArguments, Command,
            DrainArguments, LiftArguments, ShowArguments, StatusArguments,
        },
        error::CommandError,
        file::read_file,
    },
    std::path::PathBuf,
    turmerictack_model::ids::{Address, Revision},
};

/// Base URL.
pub type Url = String;

/// Nodes to contact, with the key for their operator listeners.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeAccess {
    /// Operator addresses of the nodes.
    pub addresses: Vec<Address>,
    /// Operator key.
    pub key: String,
}

/// Outcome that an operator determined for a call whose outcome was unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// The call was executed.
    Executed {
        /// Name of the operator.
        by: String,
    },
    /// The call was not executed, and may be sent again.
    NotExecuted,
}

/// Validated operation with its parameters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Validate a file.
    Check {
        /// File to validate.
        file: PathBuf,
        /// Whether the file contains node settings, not a services configuration.
        is_node_settings: bool,
    },
    /// Store a new revision of the services configuration.
    Apply {
        /// Base URL of the platform.
        platform: Url,
        /// File that contains the configuration.
        file: PathBuf,
        /// Revision that the file is based on; 0 if there is none yet.
        base: Revision,
        /// Nodes on which to wait until the new revision is active.
        wait_for: Option<NodeAccess>,
    },
    /// Show the current services configuration.
    Show {
        /// Base URL of the platform.
        platform: Url,
        /// Whether to print JSON.
        json: bool,
    },
    /// Show the status of nodes.
    Status {
        /// Nodes to contact.
        nodes: NodeAccess,
        /// Whether to repeat until interrupted.
        watch: bool,
        /// Whether to print JSON.
        json: bool,
    },
    /// Drain a node.
    Drain {
        /// Nodes to drain, usually a single one.
        nodes: NodeAccess,
    },
    /// List call records.
    Calls {
        /// Base URL of the platform.
        platform: Url,
        /// Whether to list only records of calls whose outcome is unknown.
        open_only: bool,
        /// Whether to print JSON.
        json: bool,
    },
    /// Settle a call whose outcome is unknown.
    Settle {
        /// Base URL of the platform.
        platform: Url,
        /// Key of the record, without the record prefix.
        record: String,
        /// Outcome of the call.
        settlement: Settlement,
    },
    /// Delete old records of calls whose outcome is known.
    Prune {
        /// Base URL of the platform.
        platform: Url,
    },
    /// Report the burn rates of the error budgets.
    Burn {
        /// Nodes to contact.
        nodes: NodeAccess,
        /// Whether to print JSON.
        json: bool,
        /// File to which to write the report as an SVG chart.
        svg: Option<PathBuf>,
    },
    /// Lift the quarantine of a request.
    Lift {
        /// Nodes to contact.
        nodes: NodeAccess,
        /// Digest of the request.
        digest: String,
    },
}

impl Operation {
    /// Validates the command-line arguments and reads the key file.
    ///
    /// # Errors
    /// Returns an error if an argument is missing or the key file cannot be read.
    pub fn from_arguments(arguments: Arguments) -> Result<Self, CommandError> {
        match arguments.command.ok_or(CommandError::NoCommand)? {
            Command::Check(a) => check(a),
            Command::Apply(a) => apply(a),
            Command::Show(a) => show(a),
            Command::Status(a) => status(a),
            Command::Drain(a) => drain(a),
            Command::Calls(a) => calls(a),
            Command::Burn(a) => burn(a),
            Command::Lift(a) => lift(a),
        }
    }
}

fn require<T>(value: Option<T>, name: &'static str) -> Result<T, CommandError> {
    value.ok_or(CommandError::MissingArgument(name))
}

fn node_access(
    addresses: Option<String>,
    key_file: Option<String>,
) -> Result<NodeAccess, CommandError> {
    let addresses = require(addresses, "--nodes")?;
    let path = PathBuf::from(require(key_file, "--key-file")?);
    let key = read_file(&path)?;
    let addresses = addresses.split(',').map(|a| a.trim().to_owned()).collect();
    Ok(NodeAccess { addresses, key: key.trim().to_owned() })
}

fn check(a: CheckArguments) -> Result<Operation, CommandError> {
    Ok(Operation::Check { file: require(a.file, "FILE")?.into(), is_node_settings: a.node })
}

fn apply(a: ApplyArguments) -> Result<Operation, CommandError> {
    Ok(Operation::Apply {
        platform: require(a.platform, "--platform")?,
        file: require(a.file, "FILE")?.into(),
        base: require(a.base, "--base")?,
        wait_for: a.wait.then(|| node_access(a.nodes, a.key_file)).transpose()?,
    })
}

fn show(a: ShowArguments) -> Result<Operation, CommandError> {
    Ok(Operation::Show { platform: require(a.platform, "--platform")?, json: a.json })
}

fn status(a: StatusArguments) -> Result<Operation, CommandError> {
    Ok(Operation::Status { nodes: node_access(a.nodes, a.key_file)?, watch: a.watch, json: a.json })
}

fn drain(a: DrainArguments) -> Result<Operation, CommandError> {
    Ok(Operation::Drain { nodes: node_access(a.node, a.key_file)? })
}

fn calls(a: CallsArguments) -> Result<Operation, CommandError> {
    let platform = require(a.platform, "--platform")?;
    if a.prune {
        return Ok(Operation::Prune { platform });
    }
    let Some(record) = a.settle else {
        return Ok(Operation::Calls { platform, open_only: a.open, json: a.json });
    };
    let settlement = match (a.ran, a.not_run) {
        (true, false) => Settlement::Executed { by: require(a.by, "--by")? },
        (false, true) => Settlement::NotExecuted,
        _ => return Err(CommandError::MissingSettlement),
    };
    Ok(Operation::Settle { platform, record, settlement })
}

fn burn(a: BurnArguments) -> Result<Operation, CommandError> {
    let nodes = node_access(a.nodes, a.key_file)?;
    Ok(Operation::Burn { nodes, json: a.json, svg: a.svg.map(PathBuf::from) })
}

fn lift(a: LiftArguments) -> Result<Operation, CommandError> {
    Ok(Operation::Lift {
        nodes: node_access(a.nodes, a.key_file)?,
        digest: require(a.digest, "DIGEST")?,
    })
}
