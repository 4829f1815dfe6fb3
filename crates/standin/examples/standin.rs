//! Runs a stand-in server.

use {
    gumdrop::Options as _,
    std::process::ExitCode,
    turmerictack_standin::program::{Arguments, run},
};

#[tokio::main]
async fn main() -> ExitCode {
    match run(Arguments::parse_args_default_or_exit()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("standin: {e}");
            ExitCode::FAILURE
        }
    }
}
