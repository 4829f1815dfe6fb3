//! `calls`: records of calls that must not be repeated.

use {
    crate::{error::CommandError, link::platform, options::Finding},
    serde::Serialize,
    std::time::{Duration, SystemTime},
    turmerictack_ledger::{
        record::{RECORD_PREFIX, Record, RecordState},
        record_writer::{MIN_SETTLE_AGE, RECORD_RETENTION},
    },
    turmerictack_model::{clock::unix_millis, ids::Version},
    turmerictack_platform::{
        error::StoreError,
        http::HttpPlatform,
        store::{ExpectedState, Object, ObjectStore as _},
    },
};

#[derive(Serialize)]
struct Row {
    record: String,
    #[serde(flatten)]
    call: Record,
}

fn parse(object: &Object) -> Result<Record, CommandError> {
    serde_json::from_str(&object.value).map_err(|_| CommandError::NotOurs)
}

fn age(record: &Record) -> Duration {
    let now = unix_millis(SystemTime::now());
    Duration::from_millis(now.saturating_sub(record.created_ms))
}

/// Lists records.
pub async fn list(url: &str, open: bool, json: bool) -> Result<(), CommandError> {
    let objects = platform(url)?.list(RECORD_PREFIX).await?;
    let mut rows = Vec::new();
    for object in &objects {
        let call = parse(object)?;
        if !open || call.state == RecordState::Open {
            let record = object.key.trim_start_matches(RECORD_PREFIX).to_owned();
            rows.push(Row { record, call });
        }
    }
    if json {
        println!("{}", serde_json::to_string(&rows).map_err(|_| CommandError::NotOurs)?);
        return Ok(());
    }
    for Row { record, call } in rows {
        let seconds = age(&call).as_secs();
        println!("{record}  {}  {seconds} s old  by {}", call.state, call.node);
    }
    Ok(())
}

/// Settles an open record.
pub async fn settle(url: &str, record: &str, finding: Finding) -> Result<(), CommandError> {
    let store = platform(url)?;
    let key = format!("{RECORD_PREFIX}{record}");
    let missing = || CommandError::NoRecord(record.to_owned());
    let object = store.get(&key).await?.ok_or_else(missing)?;
    let mut call = parse(&object)?;
    if call.state != RecordState::Open {
        return Err(missing());
    }
    if age(&call) < MIN_SETTLE_AGE {
        return Err(CommandError::TooYoung(MIN_SETTLE_AGE.as_secs()));
    }
    call.state = match finding {
        Finding::Ran { by } => RecordState::Settled { by },
        Finding::NotRun => RecordState::Unsent,
    };
    let value = serde_json::to_string(&call).map_err(|_| CommandError::NotOurs)?;
    match store.put(&key, value, ExpectedState::Version(object.version)).await {
        Ok(_) => {
            println!("{record} is {}", call.state);
            Ok(())
        }
        Err(StoreError::Conflict { .. }) => Err(missing()),
        Err(e) => Err(e.into()),
    }
}

/// Removes ended records that are older than the retention time.
pub async fn prune(url: &str) -> Result<(), CommandError> {
    let store = platform(url)?;
    let mut removed = 0;
    for object in store.list(RECORD_PREFIX).await? {
        let call = parse(&object)?;
        let ended = call.state != RecordState::Open;
        if ended
            && age(&call) > RECORD_RETENTION
            && remove(&store, &object.key, object.version).await?
        {
            removed += 1;
        }
    }
    println!("{removed} records removed");
    Ok(())
}

async fn remove(store: &HttpPlatform, key: &str, version: Version) -> Result<bool, CommandError> {
    match store.delete(key, version).await {
        Ok(()) => Ok(true),
        Err(StoreError::Conflict { .. }) => Ok(false),
        Err(e) => Err(e.into()),
    }
}
