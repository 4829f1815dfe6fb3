//! HTTP server of a stand-in process: its interface behind a relay, and control routes for faults
//! and the relay mode.

use {
    crate::{
        effect_log::EffectLog,
        error::StandinError,
        fault::{ActiveFaults, Faults},
        port::ReservedPort,
        relay::{Relay, RelayMode},
    },
    rocket::{
        Build, Rocket, State,
        config::{Config, LogLevel},
        post, routes,
        serde::json::Json,
        shield::Shield,
    },
    std::sync::Arc,
};

/// Largest request body that a stand-in reads, in bytes.
pub const MAX_BODY_BYTES: u64 = 16 << 20;

/// State shared by the routes of every stand-in.
#[derive(Clone, Debug, Default)]
pub struct SharedState {
    /// Effect log.
    pub effects: EffectLog,
    /// Active faults.
    pub faults: ActiveFaults,
}

impl SharedState {
    /// Opens the effect log, if a file is given.
    ///
    /// # Errors
    /// [`StandinError::Io`].
    pub fn open(log: Option<&str>) -> Result<Self, StandinError> {
        let effects = log.map(EffectLog::open).transpose()?.unwrap_or_default();
        Ok(Self { effects, faults: ActiveFaults::default() })
    }
}

#[post("/fault", data = "<faults>")]
fn set_faults(shared: &State<SharedState>, faults: Json<Faults>) {
    shared.faults.set(*faults);
}

#[post("/passage", data = "<passage>")]
fn set_relay_mode(relay: &State<Arc<Relay>>, passage: Json<RelayMode>) {
    relay.set_mode(*passage);
}

/// Serves routes on a free port behind a relay on the given address until the process exits.
///
/// Prints `public=RELAY orders=SERVER` with both addresses when it listens. The second bypasses the
/// relay and is for control requests.
///
/// # Errors
/// [`StandinError::NotStarted`] or [`StandinError::Io`].
pub async fn serve(
    address: &str,
    shared: SharedState,
    build: impl FnOnce(Rocket<Build>) -> Rocket<Build>,
) -> Result<(), StandinError> {
    let inner_port = ReservedPort::bind()?;
    let relay = Relay::bind(address, inner_port.address()).await?;
    let public = relay.address().clone();
    let config = Config {
        address: [127, 0, 0, 1].into(),
        port: inner_port.number(),
        log_level: LogLevel::Off,
        cli_colors: false,
        ..Config::release_default()
    };
    let config = rocket::figment::Figment::from(config).merge(("limits.json", "16MiB"));
    let rocket = rocket::custom(config)
        .attach(Shield::new())
        .manage(shared)
        .manage(Arc::new(relay))
        .mount("/", routes![set_faults, set_relay_mode])
        .attach(rocket::fairing::AdHoc::on_liftoff("listening", move |_| {
            Box::pin(async move { println!("public={public} orders={}", inner_port.address()) })
        }));
    let failed = |_| StandinError::NotStarted { name: address.to_owned() };
    build(rocket).launch().await.map_err(failed)?;
    Ok(())
}
