//! Dependencies between services.

use {
    crate::services::Services,
    std::collections::{BTreeMap, BTreeSet},
    turmerictack_model::ids::ServiceId,
};

/// Sorts the services so that each one follows its dependencies.
///
/// Services that belong to a cycle or depend on one are left out.
pub fn dependency_order(services: &Services) -> Vec<ServiceId> {
    let mut order: Vec<ServiceId> = Vec::new();
    loop {
        let next = services
            .services
            .iter()
            .find(|s| !order.contains(&s.id) && s.depends_on.iter().all(|d| order.contains(d)));
        match next {
            Some(service) => order.push(service.id.clone()),
            None => return order,
        }
    }
}

/// Finds a dependency cycle and returns its services, each followed by one that it depends on.
pub fn find_cycle(services: &Services) -> Option<Vec<ServiceId>> {
    let ordered: BTreeSet<ServiceId> = dependency_order(services).into_iter().collect();
    let edges: BTreeMap<&str, &[ServiceId]> =
        services.services.iter().map(|s| (s.id.as_str(), s.depends_on.as_slice())).collect();
    let mut current = services.services.iter().map(|s| &s.id).find(|id| !ordered.contains(*id))?;
    let mut path: Vec<&ServiceId> = Vec::new();
    while !path.contains(&current) {
        path.push(current);
        current = edges[current.as_str()].iter().find(|d| !ordered.contains(*d))?;
    }
    let start = path.iter().position(|p| *p == current)?;
    Some(path[start..].iter().map(|p| (*p).clone()).collect())
}

/// Returns a direct or indirect dependency of the service `id` that is down, if there is one.
pub fn down_dependency<'a>(
    services: &'a Services,
    id: &str,
    is_up: &dyn Fn(&str) -> bool,
) -> Option<&'a str> {
    let mut visited = BTreeSet::new();
    let mut pending: Vec<&str> = vec![id];
    while let Some(name) = pending.pop() {
        let Some(service) = services.service(name) else {
            continue;
        };
        for dependency in &service.depends_on {
            if !is_up(dependency) {
                return Some(dependency);
            }
            if visited.insert(dependency.as_str()) {
                pending.push(dependency);
            }
        }
    }
    None
}
