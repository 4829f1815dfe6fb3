//! Entry point of the `turmerictack` command-line tool.

use {
    gumdrop::Options as _,
    std::process::ExitCode,
    turmerictack_operator::{cli::Arguments, command, operation::Operation},
};

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("turmerictack {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let result = Operation::from_arguments(arguments).and_then(command::run);
    match result {
        Ok(code) => code,
        Err(e) => {
            eprintln!("turmerictack: {e}");
            e.exit_code()
        }
    }
}
