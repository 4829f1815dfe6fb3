//! `apply` and `show`: the services configuration in the platform's store.

use {
    crate::{
        client::{NodeClient, platform_client},
        error::CommandError,
        file::read_file,
        operation::NodeAccess,
    },
    rand::RngExt as _,
    std::{
        path::Path,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
    turmerictack_model::ids::{Address, Revision},
    turmerictack_platform::{
        error::StoreError,
        http::HttpPlatform,
        store::{ExpectedState, Object, ObjectStore as _},
    },
    turmerictack_report::status::NodeStatus,
    turmerictack_settings::{
        services::Services,
        stored::{SETTINGS_KEY, StoredServices},
    },
};

/// Maximum attempts at a write that fails with an error other than a conflict.
const WRITE_ATTEMPTS: u32 = 5;

/// Delay between these attempts.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Maximum wait until a revision is active on the nodes.
///
/// Equals the target time for activating a revision on the whole fleet.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(7);

/// Interval between status requests to the nodes.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Stores a new revision of the services configuration, and waits until it is active on `wait_for`.
pub async fn run(
    url: &str,
    file: &Path,
    base: Revision,
    wait_for: Option<NodeAccess>,
) -> Result<(), CommandError> {
    let text = read_file(file)?;
    Services::parse(&file.display().to_string(), &text)?;
    let store = platform_client(url)?;
    let nonce = rand::rng().random::<u64>() >> 1;
    let stored = StoredServices { revision: base + 1, nonce, text };
    write_configuration(&store, base, &stored).await?;
    println!("accepted as revision {}", stored.revision);
    match wait_for {
        Some(nodes) => wait_until_active(&nodes, stored.revision).await,
        None => Ok(()),
    }
}

/// Writes the configuration on condition that the current revision is `base`.
///
/// After an error other than a conflict, the same write is retried, since it may or may not have
/// taken effect. A conflict with an object of the same nonce means that an earlier attempt
/// succeeded.
async fn write_configuration(
    store: &HttpPlatform,
    base: Revision,
    stored: &StoredServices,
) -> Result<(), CommandError> {
    let value = serde_json::to_string(stored).map_err(|_| CommandError::InvalidData)?;
    let expected = match store.get(SETTINGS_KEY).await? {
        None if base == 0 => ExpectedState::Absent,
        Some(object) => expect_revision(&object, base)?,
        None => return Err(CommandError::StaleBase { base, current: 0 }),
    };
    let mut last_error = StoreError::NotApplied;
    for _ in 0..WRITE_ATTEMPTS {
        match store.put(SETTINGS_KEY, value.clone(), expected).await {
            Ok(_) => return Ok(()),
            Err(StoreError::Conflict { current }) => {
                let current = current.map(|o| parse_stored(&o)).transpose()?;
                return match current {
                    Some(current) if current.nonce == stored.nonce => Ok(()),
                    Some(current) => {
                        Err(CommandError::StaleBase { base, current: current.revision })
                    }
                    None => Err(CommandError::StaleBase { base, current: 0 }),
                };
            }
            Err(e) => last_error = e,
        }
        sleep(WRITE_RETRY_DELAY).await;
    }
    Err(last_error.into())
}

fn expect_revision(object: &Object, base: Revision) -> Result<ExpectedState, CommandError> {
    let current = parse_stored(object)?.revision;
    if current != base {
        return Err(CommandError::StaleBase { base, current });
    }
    Ok(ExpectedState::Version(object.version))
}

fn parse_stored(object: &Object) -> Result<StoredServices, CommandError> {
    serde_json::from_str(&object.value).map_err(|_| CommandError::InvalidData)
}

async fn wait_until_active(nodes: &NodeAccess, revision: Revision) -> Result<(), CommandError> {
    let client = NodeClient::new(nodes)?;
    let deadline = Instant::now() + ACTIVATION_TIMEOUT;
    let mut pending: Vec<Address> = nodes.addresses.clone();
    loop {
        let mut still_pending = Vec::new();
        for node in pending {
            let status: Result<NodeStatus, _> = client.get(&node, "/status").await;
            if status.is_ok_and(|s| s.revision >= revision) {
                println!("active on {node}");
            } else {
                still_pending.push(node);
            }
        }
        pending = still_pending;
        if pending.is_empty() {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(CommandError::NotActive { revision, pending });
        }
        sleep(STATUS_POLL_INTERVAL).await;
    }
}

/// Prints the current services configuration.
pub async fn show(url: &str, json: bool) -> Result<(), CommandError> {
    let object =
        platform_client(url)?.get(SETTINGS_KEY).await?.ok_or(CommandError::NoConfiguration)?;
    let stored = parse_stored(&object)?;
    if json {
        println!("{}", object.value);
    } else {
        println!("// revision {}\n{}", stored.revision, stored.text);
    }
    Ok(())
}
