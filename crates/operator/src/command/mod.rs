//! Implementation of the commands.

mod apply;
mod burn;
mod calls;
mod check;
mod nodes;

use {
    crate::{error::CommandError, operation::Operation},
    std::process::ExitCode,
    tokio::runtime::Builder,
};

/// Runs an operation on a new single-threaded async runtime.
///
/// # Errors
/// Returns the [`CommandError`] of the operation, or [`CommandError::Client`] if the runtime cannot
/// be started.
pub fn run(operation: Operation) -> Result<ExitCode, CommandError> {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|_| CommandError::Client)?;
    runtime.block_on(execute(operation))
}

async fn execute(operation: Operation) -> Result<ExitCode, CommandError> {
    match operation {
        Operation::Check { file, is_node_settings } => check::run(&file, is_node_settings)?,
        Operation::Apply { platform, file, base, wait_for } => {
            apply::run(&platform, &file, base, wait_for).await?;
        }
        Operation::Show { platform, json } => apply::show(&platform, json).await?,
        Operation::Status { nodes, watch, json } => {
            return nodes::status(&nodes, watch, json).await;
        }
        Operation::Drain { nodes } => nodes::drain(&nodes).await?,
        Operation::Calls { platform, open_only, json } => {
            calls::list(&platform, open_only, json).await?
        }
        Operation::Settle { platform, record, settlement } => {
            calls::settle(&platform, &record, settlement).await?;
        }
        Operation::Prune { platform } => calls::prune(&platform).await?,
        Operation::Burn { nodes, json, svg } => burn::run(&nodes, json, svg.as_deref()).await?,
        Operation::Lift { nodes, digest } => nodes::lift(&nodes, &digest).await?,
    }
    Ok(ExitCode::SUCCESS)
}
