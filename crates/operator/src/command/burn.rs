//! `burn`: how fast the error budgets burn, over all nodes that answer.

use {
    crate::{error::CommandError, link::NodeLink, options::Nodes},
    std::{fs, path::Path},
    turmerictack_report::{chart, snapshot::Snapshot, table},
};

/// Merges the counts of the nodes and prints the report.
pub async fn run(nodes: &Nodes, json: bool, svg: Option<&Path>) -> Result<(), CommandError> {
    let link = NodeLink::open(nodes)?;
    let mut merged = Snapshot::default();
    for node in &nodes.addresses {
        match link.get::<Snapshot>(node, "/burn").await {
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
        let line = serde_json::to_string(&merged).map_err(|_| CommandError::NotOurs)?;
        println!("{line}");
    } else {
        print!("{}", table::render(&merged));
    }
    match nodes.addresses.first() {
        Some(node) if merged.nodes.is_empty() => Err(CommandError::Node { node: node.clone() }),
        _ => Ok(()),
    }
}
