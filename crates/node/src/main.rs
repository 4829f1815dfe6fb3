//! Daemon that runs one node.

use {
    gumdrop::Options as _,
    std::process::ExitCode,
    turmerictack_node::{cli::Arguments, error::NodeError, logs, node, options},
};

/// Exit code for invalid arguments or settings.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("turmerictackd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if arguments.platform {
        return run_on_platform();
    }
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("turmerictackd: {e}");
            match e {
                NodeError::Settings(_) | NodeError::Read { .. } => ExitCode::from(EXIT_USAGE),
                _ => ExitCode::FAILURE,
            }
        }
    }
}

fn run_on_platform() -> ExitCode {
    match turmerictack_adapter::daemon::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("turmerictackd: {e}");
            if e.is_usage() { ExitCode::from(EXIT_USAGE) } else { ExitCode::FAILURE }
        }
    }
}

fn run(arguments: &Arguments) -> Result<(), NodeError> {
    let settings = options::load(arguments)?;
    let _log = logs::open(settings.log_level, Box::new(std::io::stderr()))?;
    node::run(settings)
}
