//! Runs the demonstration; exit code 0 only if all checks passed.

use {std::process::ExitCode, turmerictack_standin::demo};

#[tokio::main]
async fn main() -> ExitCode {
    match demo::run().await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("demo: {e}");
            ExitCode::FAILURE
        }
    }
}
