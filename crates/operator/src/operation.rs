//! Checked options: what a command works with.

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

/// A base URL.
pub type Url = String;

/// Nodes and the key that they want.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeAccess {
    /// Operators' addresses.
    pub addresses: Vec<Address>,
    /// Operators' key.
    pub key: String,
}

/// What an operator found out of an open call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// It ran.
    Executed {
        /// Who found out.
        by: String,
    },
    /// It did not run, and may be sent again.
    NotExecuted,
}

/// Checked options.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Check a text.
    Check {
        /// File.
        file: PathBuf,
        /// Whether it is node settings.
        is_node_settings: bool,
    },
    /// Accept a text.
    Apply {
        /// Platform.
        platform: Url,
        /// File.
        file: PathBuf,
        /// Revision that the text was made from.
        base: Revision,
        /// Nodes that must have it in force.
        wait_for: Option<NodeAccess>,
    },
    /// Show the accepted text.
    Show {
        /// Platform.
        platform: Url,
        /// Whether to print JSON.
        json: bool,
    },
    /// Show the state of nodes.
    Status {
        /// Nodes.
        nodes: NodeAccess,
        /// Whether to go on.
        watch: bool,
        /// Whether to print JSON.
        json: bool,
    },
    /// Stop a node.
    Drain {
        /// The node.
        nodes: NodeAccess,
    },
    /// List calls.
    Calls {
        /// Platform.
        platform: Url,
        /// Whether to list only open ones.
        open_only: bool,
        /// Whether to print JSON.
        json: bool,
    },
    /// Settle a call.
    Settle {
        /// Platform.
        platform: Url,
        /// Key of the record.
        record: String,
        /// What was found out.
        settlement: Settlement,
    },
    /// Remove old ended records.
    Prune {
        /// Platform.
        platform: Url,
    },
    /// Report the burn.
    Burn {
        /// Nodes.
        nodes: NodeAccess,
        /// Whether to print JSON.
        json: bool,
        /// Picture to write.
        svg: Option<PathBuf>,
    },
    /// Lift a quarantine.
    Lift {
        /// Nodes.
        nodes: NodeAccess,
        /// Digest of the request.
        digest: String,
    },
}

impl Operation {
    /// Checks the arguments.
    ///
    /// # Errors
    /// What is missing or cannot be read.
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
