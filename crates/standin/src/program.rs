//! Command line of the stand-ins, and building of the programs that fleets run.

use {
    crate::{booking_service, engine, error::StandinError, platform, serve::SharedState},
    gumdrop::Options,
    std::{
        env,
        path::PathBuf,
        process::{Command, Stdio},
        sync::OnceLock,
        time::Duration,
    },
};

/// Runs a stand-in server.
#[derive(Debug, Options)]
pub struct Arguments {
    /// print this help
    pub help: bool,
    /// which stand-in to run
    #[options(command)]
    pub standin: Option<Standin>,
}

/// The kinds of stand-ins.
#[derive(Debug, Options)]
pub enum Standin {
    /// run the platform
    Platform(PlatformArguments),
    /// run an instance of a model engine
    Engine(EngineArguments),
    /// run a booking service
    Service(ServiceArguments),
}

/// Run the platform.
#[derive(Debug, Options)]
pub struct PlatformArguments {
    /// address to listen on
    #[options(default = "127.0.0.1:0")]
    pub address: String,
    /// append the effect log to this file
    #[options(meta = "FILE")]
    pub log: Option<String>,
    /// maximum writes per second
    pub writes_per_second: Option<u32>,
}

/// Run an instance of a model engine.
#[derive(Debug, Options)]
pub struct EngineArguments {
    /// address to listen on
    #[options(default = "127.0.0.1:0")]
    pub address: String,
    /// append the effect log to this file
    #[options(meta = "FILE")]
    pub log: Option<String>,
    /// instance name
    #[options(required)]
    pub instance: String,
    /// accept orders with an old fencing token
    pub ignore_fencing: bool,
    /// time from a call to its first chunk in ms
    #[options(default = "20")]
    pub first_token_ms: u64,
    /// time between chunks in ms
    #[options(default = "10")]
    pub between_tokens_ms: u64,
    /// time to load a model in ms
    #[options(default = "200")]
    pub load_ms: u64,
}

/// Run a booking service.
#[derive(Debug, Options)]
pub struct ServiceArguments {
    /// address to listen on
    #[options(default = "127.0.0.1:0")]
    pub address: String,
    /// append the effect log to this file
    #[options(meta = "FILE")]
    pub log: Option<String>,
    /// instance name
    #[options(required)]
    pub instance: String,
    /// execute each idempotency key once
    pub deduplicates: bool,
}

/// Runs the stand-in selected by the arguments until the process exits.
///
/// # Errors
/// If no stand-in is selected or it cannot be started.
pub async fn run(arguments: Arguments) -> Result<(), StandinError> {
    match arguments.standin {
        Some(Standin::Platform(a)) => {
            let shared = SharedState::open(a.log.as_deref())?;
            platform::run(&a.address, a.writes_per_second, shared).await
        }
        Some(Standin::Engine(a)) => {
            let config = engine::EngineConfig {
                instance: a.instance,
                checks_fencing: !a.ignore_fencing,
                first_token: Duration::from_millis(a.first_token_ms),
                between_tokens: Duration::from_millis(a.between_tokens_ms),
                model_load_time: Duration::from_millis(a.load_ms),
            };
            engine::run(&a.address, config, SharedState::open(a.log.as_deref())?).await
        }
        Some(Standin::Service(a)) => {
            let shared = SharedState::open(a.log.as_deref())?;
            booking_service::run(&a.address, a.instance, a.deduplicates, shared).await
        }
        None => Err(StandinError::UnknownName { name: "none".to_owned() }),
    }
}

/// Builds the daemon, the operator tool and the stand-ins, once per process, and returns the
/// directory with the programs.
///
/// # Errors
/// [`StandinError::Build`].
pub fn build() -> Result<PathBuf, StandinError> {
    static BUILT: OnceLock<Option<PathBuf>> = OnceLock::new();
    BUILT.get_or_init(build_uncached).clone().ok_or(StandinError::Build)
}

fn build_uncached() -> Option<PathBuf> {
    let exe = env::current_exe().ok()?;
    let directory = exe.ancestors().find(|p| p.ends_with("deps") || p.ends_with("examples"))?;
    let directory = directory.parent()?.to_path_buf();
    let mut cargo = Command::new(env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
    cargo
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .args(["build", "--quiet", "-p", "turmerictack-node", "--bin", "turmerictackd"])
        .args(["-p", "turmerictack-operator", "--bin", "turmerictack"])
        .args(["-p", "turmerictack-standin", "--example", "standin"])
        .stdout(Stdio::null());
    if directory.ends_with("release") {
        cargo.arg("--release");
    }
    cargo.status().ok()?.success().then_some(directory)
}
