//! `calls`: records of calls that are executed at most once.

use {
    crate::{client::platform_client, error::CommandError, operation::Settlement},
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
struct RecordRow {
    record: String,
    #[serde(flatten)]
    call: Record,
}

fn parse_record(object: &Object) -> Result<Record, CommandError> {
    serde_json::from_str(&object.value).map_err(|_| CommandError::InvalidData)
}

fn age(record: &Record) -> Duration {
    let now = unix_millis(SystemTime::now());
    Duration::from_millis(now.saturating_sub(record.created_ms))
}

/// Lists records, or only those of calls whose outcome is unknown.
pub async fn list(url: &str, open_only: bool, json: bool) -> Result<(), CommandError> {
    let objects = platform_client(url)?.list(RECORD_PREFIX).await?;
    let mut rows = Vec::new();
    for object in &objects {
        let call = parse_record(object)?;
        if !open_only || call.state == RecordState::Open {
            let record = object.key.trim_start_matches(RECORD_PREFIX).to_owned();
            rows.push(RecordRow { record, call });
        }
    }
    if json {
        println!("{}", serde_json::to_string(&rows).map_err(|_| CommandError::InvalidData)?);
        return Ok(());
    }
    for RecordRow { record, call } in rows {
        let seconds = age(&call).as_secs();
        println!("{record}  {}  {seconds} s old  by {}", call.state, call.node);
    }
    Ok(())
}

/// Records the outcome that an operator determined for a call whose outcome was unknown.
pub async fn settle(url: &str, record: &str, settlement: Settlement) -> Result<(), CommandError> {
    let store = platform_client(url)?;
    let key = format!("{RECORD_PREFIX}{record}");
    let not_found = || CommandError::RecordNotFound(record.to_owned());
    let object = store.get(&key).await?.ok_or_else(not_found)?;
    let mut call = parse_record(&object)?;
    if call.state != RecordState::Open {
        return Err(not_found());
    }
    if age(&call) < MIN_SETTLE_AGE {
        return Err(CommandError::RecordTooRecent(MIN_SETTLE_AGE.as_secs()));
    }
    call.state = match settlement {
        Settlement::Executed { by } => RecordState::Settled { by },
        Settlement::NotExecuted => RecordState::Unsent,
    };
    let value = serde_json::to_string(&call).map_err(|_| CommandError::InvalidData)?;
    match store.put(&key, value, ExpectedState::Version(object.version)).await {
        Ok(_) => {
            println!("{record} is {}", call.state);
            Ok(())
        }
        Err(StoreError::Conflict { .. }) => Err(not_found()),
        Err(e) => Err(e.into()),
    }
}

/// Deletes records older than [`RECORD_RETENTION`] of calls whose outcome is known.
pub async fn prune(url: &str) -> Result<(), CommandError> {
    let store = platform_client(url)?;
    let mut removed = 0;
    for object in store.list(RECORD_PREFIX).await? {
        let call = parse_record(&object)?;
        let is_outcome_known = call.state != RecordState::Open;
        if is_outcome_known
            && age(&call) > RECORD_RETENTION
            && delete_record(&store, &object.key, object.version).await?
        {
            removed += 1;
        }
    }
    println!("{removed} records removed");
    Ok(())
}

/// Deletes a record; returns `false` if it has changed since it was read.
async fn delete_record(
    store: &HttpPlatform,
    key: &str,
    version: Version,
) -> Result<bool, CommandError> {
    match store.delete(key, version).await {
        Ok(()) => Ok(true),
        Err(StoreError::Conflict { .. }) => Ok(false),
        Err(e) => Err(e.into()),
    }
}
