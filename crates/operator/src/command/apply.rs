//! `apply` and `show`: the accepted services text.

use {
    crate::{
        error::CommandError,
        file::read,
        link::{NodeLink, platform},
        options::Nodes,
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

/// Tries to learn what became of a write whose answer was lost.
const WRITE_TRIES: u32 = 5;

/// Wait between those tries.
const WRITE_WAIT: Duration = Duration::from_millis(300);

/// Longest wait until nodes have a text in force: the target for the whole fleet.
const FORCE_WAIT: Duration = Duration::from_secs(7);

/// Wait between looks at nodes.
const LOOK_WAIT: Duration = Duration::from_millis(100);

/// Makes a text the accepted one.
pub async fn run(
    url: &str,
    file: &Path,
    base: Revision,
    wait: Option<Nodes>,
) -> Result<(), CommandError> {
    let text = read(file)?;
    Services::parse(&file.display().to_string(), &text)?;
    let store = platform(url)?;
    let nonce = rand::rng().random::<u64>() >> 1;
    let stored = StoredServices { revision: base + 1, nonce, text };
    put(&store, base, &stored).await?;
    println!("accepted as revision {}", stored.revision);
    match wait {
        Some(nodes) => await_force(&nodes, stored.revision).await,
        None => Ok(()),
    }
}

/// One conditional write; one whose answer is lost is made again as it was.
async fn put(
    store: &HttpPlatform,
    base: Revision,
    stored: &StoredServices,
) -> Result<(), CommandError> {
    let value = serde_json::to_string(stored).map_err(|_| CommandError::NotOurs)?;
    let expect = match store.get(SETTINGS_KEY).await? {
        None if base == 0 => ExpectedState::Absent,
        Some(object) => expect_base(&object, base)?,
        None => return Err(CommandError::Stale { base, current: 0 }),
    };
    let mut last = StoreError::NotApplied;
    for _ in 0..WRITE_TRIES {
        match store.put(SETTINGS_KEY, value.clone(), expect).await {
            Ok(_) => return Ok(()),
            Err(StoreError::Conflict { current }) => {
                let current = current.map(|o| parse(&o)).transpose()?;
                return match current {
                    Some(current) if current.nonce == stored.nonce => Ok(()),
                    Some(current) => Err(CommandError::Stale { base, current: current.revision }),
                    None => Err(CommandError::Stale { base, current: 0 }),
                };
            }
            Err(e) => last = e,
        }
        sleep(WRITE_WAIT).await;
    }
    Err(last.into())
}

fn expect_base(object: &Object, base: Revision) -> Result<ExpectedState, CommandError> {
    let current = parse(object)?.revision;
    if current != base {
        return Err(CommandError::Stale { base, current });
    }
    Ok(ExpectedState::Version(object.version))
}

fn parse(object: &Object) -> Result<StoredServices, CommandError> {
    serde_json::from_str(&object.value).map_err(|_| CommandError::NotOurs)
}

async fn await_force(nodes: &Nodes, revision: Revision) -> Result<(), CommandError> {
    let link = NodeLink::open(nodes)?;
    let until = Instant::now() + FORCE_WAIT;
    let mut missing: Vec<Address> = nodes.addresses.clone();
    loop {
        let mut still = Vec::new();
        for node in missing {
            let status: Result<NodeStatus, _> = link.get(&node, "/status").await;
            if status.is_ok_and(|s| s.revision >= revision) {
                println!("in force on {node}");
            } else {
                still.push(node);
            }
        }
        missing = still;
        if missing.is_empty() {
            return Ok(());
        }
        if Instant::now() >= until {
            return Err(CommandError::NotInForce { revision, missing });
        }
        sleep(LOOK_WAIT).await;
    }
}

/// Shows the accepted text.
pub async fn show(url: &str, json: bool) -> Result<(), CommandError> {
    let object = platform(url)?.get(SETTINGS_KEY).await?.ok_or(CommandError::NoText)?;
    let stored = parse(&object)?;
    if json {
        println!("{}", object.value);
    } else {
        println!("// revision {}\n{}", stored.revision, stored.text);
    }
    Ok(())
}
