//! Validation of a services configuration beyond its schema.

use {
    crate::{
        dependencies::find_cycle,
        document::{Document, PathSegment},
        error::{SettingsError, SettingsErrorKind},
        services::{Service, ServiceKind, Services},
    },
    std::collections::BTreeSet,
    turmerictack_model::rank::Rank,
};

/// Length of a hexadecimal SHA-256 hash.
const KEY_HASH_LENGTH: usize = 64;

/// Checks ids, references, dependency cycles and limits.
///
/// # Errors
/// The first fault found.
pub fn services(document: &Document<'_>, config: &Services) -> Result<(), SettingsError> {
    check_unique_ids(document, "callers", config.callers.iter().map(|c| c.id.as_str()))?;
    check_unique_ids(document, "services", config.services.iter().map(|s| s.id.as_str()))?;
    check_callers(document, config)?;
    check_ranks(document, config)?;
    for (index, service) in config.services.iter().enumerate() {
        check_references(document, config, index, service)?;
        check_limits(document, index, service)?;
    }
    check_cycles(document, config)
}

fn check_unique_ids<'a>(
    document: &Document<'_>,
    field: &'static str,
    ids: impl Iterator<Item = &'a str>,
) -> Result<(), SettingsError> {
    let mut seen = BTreeSet::new();
    for (index, id) in ids.enumerate() {
        if !seen.insert(id) {
            let kind = SettingsErrorKind::DuplicateId { field, id: id.to_owned() };
            return Err(document.error_at(&[field.into(), index.into(), "id".into()], kind));
        }
    }
    Ok(())
}

fn check_callers(document: &Document<'_>, config: &Services) -> Result<(), SettingsError> {
    for (index, caller) in config.callers.iter().enumerate() {
        let path = |field: &str| [PathSegment::from("callers"), index.into(), field.into()];
        let hash = &caller.key_sha256;
        if hash.len() != KEY_HASH_LENGTH || !hash.bytes().all(|b| b.is_ascii_hexdigit()) {
            let kind = SettingsErrorKind::OutOfRange {
                field: "key_sha256",
                value: hash.clone(),
                expected: "64 hexadecimal digits",
            };
            return Err(document.error_at(&path("key_sha256"), kind));
        }
        if caller.weight == 0 {
            let kind = SettingsErrorKind::OutOfRange {
                field: "weight",
                value: "0".into(),
                expected: "1 or more",
            };
            return Err(document.error_at(&path("weight"), kind));
        }
    }
    Ok(())
}

fn check_ranks(document: &Document<'_>, config: &Services) -> Result<(), SettingsError> {
    for rank in Rank::ALL {
        let path = [PathSegment::from("ranks"), rank.to_string().as_str().into()];
        let Some(policy) = config.ranks.get(&rank) else {
            return Err(
                document.error_at(&path[..1], SettingsErrorKind::MissingRank(rank.to_string()))
            );
        };
        if !(0.0..100.0).contains(&policy.objective_percent) {
            let kind = SettingsErrorKind::OutOfRange {
                field: "objective_percent",
                value: policy.objective_percent.to_string(),
                expected: "at least 0 and less than 100",
            };
            let path = [&path[..], &["objective_percent".into()]].concat();
            return Err(document.error_at(&path, kind));
        }
    }
    let floor_sum: u32 = config.ranks.values().map(|r| r.floor_percent).sum();
    if floor_sum > 100 {
        let kind = SettingsErrorKind::OutOfRange {
            field: "sum of floor_percent over all ranks",
            value: floor_sum.to_string(),
            expected: "100 or less",
        };
        return Err(document.error_at(&["ranks".into()], kind));
    }
    Ok(())
}

fn check_references(
    document: &Document<'_>,
    config: &Services,
    index: usize,
    service: &Service,
) -> Result<(), SettingsError> {
    for (at, name) in service.depends_on.iter().enumerate() {
        if config.service(name).is_none() {
            let kind = SettingsErrorKind::UnknownDependency {
                service: service.id.clone(),
                dependency: name.clone(),
            };
            let path = ["services".into(), index.into(), "depends_on".into(), at.into()];
            return Err(document.error_at(&path, kind));
        }
    }
    Ok(())
}

fn check_limits(
    document: &Document<'_>,
    index: usize,
    service: &Service,
) -> Result<(), SettingsError> {
    let path = |field: &str| [PathSegment::from("services"), index.into(), field.into()];
    if service.in_flight == 0 {
        let kind = SettingsErrorKind::OutOfRange {
            field: "in_flight",
            value: "0".into(),
            expected: "1 or more",
        };
        return Err(document.error_at(&path("in_flight"), kind));
    }
    if service.kind == ServiceKind::Model {
        let missing_field = match service {
            Service { model: None, .. } => Some("model"),
            Service { groups: 0, .. } => Some("groups"),
            Service { group_size: 0, .. } => Some("group_size"),
            _ => None,
        };
        if let Some(field) = missing_field {
            let kind = SettingsErrorKind::MissingField { kind: "model", field };
            return Err(document.error_at(&path(field), kind));
        }
    }
    Ok(())
}

fn check_cycles(document: &Document<'_>, config: &Services) -> Result<(), SettingsError> {
    let Some(cycle) = find_cycle(config) else {
        return Ok(());
    };
    let index = config.services.iter().position(|s| Some(&s.id) == cycle.first()).unwrap_or(0);
    let path = ["services".into(), index.into(), "depends_on".into()];
    Err(document.error_at(&path, SettingsErrorKind::Cycle(cycle)))
}
