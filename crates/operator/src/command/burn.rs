//! `burn`: burn rates of the error budgets over all nodes that respond.

use {
    crate::{client::NodeClient, error::CommandError, operation::NodeAccess},
    std::{fs, path::Path},
    turmerictack_report::{chart, snapshot::Snapshot, table},
};

/// Merges the counts of the nodes and prints the report.
///
/// Nodes that do not respond are listed in the report; it is an error if none responds.
pub async fn run(nodes: &NodeAccess, json: bool, svg: Option<&Path>) -> Result<(), CommandError> {
    let client = NodeClient::new(nodes)?;
    let mut merged = Snapshot::default();
    for node in &nodes.addresses {
        match client.get::<Snapshot>(node, "/burn").await {
            Ok(snapshot) => merged.merge(snapshot),
            Err(_) => merged.missing.push(node.clone()),
        }
    }
    if let Some(path) = svg {
        let chart = chart::render(&merged)?;
        fs::write(path, chart)
            .map_err(|source| CommandError::Write { path: path.to_path_buf(), source })?;
    }
    if json {
        let line = serde_json::to_string(&merged).map_err(|_| CommandError::InvalidData)?;
        println!("{line}");
    } else {
        print!("{}", table::render(&merged));
    }
    match nodes.addresses.first() {
        Some(node) if merged.nodes.is_empty() => {
            Err(CommandError::NodeRequestFailed { node: node.clone() })
        }
        _ => Ok(()),
    }
}
