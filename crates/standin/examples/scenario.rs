//! Runs scenario files; exit code 0 only if all expectations and invariants hold.

use {
    gumdrop::Options,
    std::{fs, process::ExitCode},
    turmerictack_standin::scenario::runner::run,
};

/// Runs scenario files against fleets of processes.
#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    /// first seed
    #[options(default = "1")]
    seed: u64,
    /// number of seeds
    #[options(default = "1")]
    seeds: u64,
    /// scenario files
    #[options(free)]
    files: Vec<String>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let mut failed = 0;
    for file in &arguments.files {
        let Ok(text) = fs::read_to_string(file) else {
            eprintln!("scenario: cannot read {file}");
            return ExitCode::FAILURE;
        };
        for seed in arguments.seed..arguments.seed + arguments.seeds {
            match run(file, &text, seed).await {
                Ok(()) => println!("{file} seed {seed}: passed"),
                Err(e) => {
                    println!("{file} seed {seed}: FAILED: {e}");
                    failed += 1;
                }
            }
        }
    }
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
