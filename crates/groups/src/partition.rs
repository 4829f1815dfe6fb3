//! How many groups of each model every fabric domain should have.
//!
//! The members of a group come from one domain, and the domain's size is rarely a multiple of the
//! group sizes. [`partition`] chooses the groups of all domains of a service together, so that each
//! model has its share of the instances, few instances are left over, and those that are can
//! replace lost members.

use {
    crate::formation::ModelProfile, std::collections::BTreeMap, turmerictack_model::ids::ModelId,
};

/// Number of groups by model.
pub type Partition = BTreeMap<ModelId, usize>;

/// Models of one service by name.
pub type ModelProfiles = BTreeMap<ModelId, ModelProfile>;

/// Mean time between two losses of one instance, in seconds.
const LOSS_INTERVAL_S: f64 = 100.0;

/// Time until a lost instance is back as a spare, in seconds.
const RETURN_TIME_S: f64 = 6.0;

/// Time for which a group serves nothing when a spare replaces a lost member, in seconds.
const REPLACEMENT_TIME_S: f64 = 4.0;

/// Additional time if there is no spare with the weights, in seconds.
const SPARE_WAIT_S: f64 = 8.0;

/// Worth of an instance that has to load weights, relative to one that has them.
///
/// A load takes about a quarter of the time that a group lasts.
const LOAD_COST: f64 = 0.25;

/// Maximum number of times that the choice for each domain is reconsidered.
const MAX_SWEEPS: usize = 8;

/// Maximum number of possible partitions of one domain that are compared; in a domain with more of
/// them, groups are added several at a time.
const MAX_CANDIDATES: usize = 1_024;

/// Maximum number of combinations of two domains that are compared.
const MAX_COMBINATIONS: usize = 256 * 1_024;

/// Least gain in utility for which the choice for a domain is changed.
const MIN_GAIN: f64 = 1e-9;

/// Supply of a model without any groups, in members.
const LEAST_SUPPLY: f64 = 0.5;

/// State of a fabric domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DomainState {
    /// Number of instances that can be members of groups, including those that are.
    pub instances: usize,
    /// Groups that stay.
    pub groups: Partition,
    /// Number of instances outside these groups that have the weights of a model.
    pub staged: BTreeMap<ModelId, usize>,
}

/// Possible partition of one domain, with its expected supply.
struct Candidate {
    partition: Partition,
    /// Members expected to be in serving groups, by model in the order of the profiles.
    supply: Vec<f64>,
    /// Utility lost to loads of weights.
    cost: f64,
}

/// Chooses the groups of each domain; those that it has stay.
///
/// The result maximizes [`utility`] less the cost of loads, up to changes that involve several
/// domains at once. It depends on nothing but the arguments. The time grows with the number of
/// domains and, for each, the number of its possible partitions.
pub fn partition<K: Ord + Clone>(
    profiles: &ModelProfiles,
    domains: &BTreeMap<K, DomainState>,
) -> BTreeMap<K, Partition> {
    let total: usize = domains.values().map(|d| d.instances).sum();
    let load_cost = LOAD_COST / total.max(1) as f64;
    let candidates: Vec<Vec<Candidate>> =
        domains.values().map(|domain| candidates(profiles, domain, load_cost)).collect();
    let mut solution = Solution::new(profiles, &candidates);
    for _ in 0..MAX_SWEEPS {
        let mut has_improved = false;
        for domain in 0..candidates.len() {
            has_improved |= solution.improve(&[domain]);
        }
        if !has_improved {
            // A change that is worth while only together with one of another domain.
            for domain in 1..candidates.len() {
                let combinations = candidates[domain - 1].len() * candidates[domain].len();
                if combinations <= MAX_COMBINATIONS {
                    has_improved |= solution.improve(&[domain - 1, domain]);
                }
            }
        }
        if !has_improved {
            break;
        }
    }
    let chosen = solution.chosen;
    let partitions = candidates.into_iter().zip(chosen).map(|(mut c, at)| c.swap_remove(at));
    domains.keys().cloned().zip(partitions.map(|c| c.partition)).collect()
}

/// A candidate for each domain, and the supply of all domains together.
struct Solution<'a> {
    profiles: &'a ModelProfiles,
    candidates: &'a [Vec<Candidate>],
    chosen: Vec<usize>,
    supply: Vec<f64>,
}

impl<'a> Solution<'a> {
    /// Adds no groups.
    fn new(profiles: &'a ModelProfiles, candidates: &'a [Vec<Candidate>]) -> Self {
        let mut supply = vec![0.0; profiles.len()];
        for candidates in candidates {
            add(&mut supply, &candidates[0].supply, 1.0);
        }
        Self { profiles, candidates, chosen: vec![0; candidates.len()], supply }
    }

    /// Chooses the best candidates for these domains, given those of the others; returns whether
    /// that changes any.
    fn improve(&mut self, domains: &[usize]) -> bool {
        let mut others = self.supply.clone();
        for domain in domains {
            add(&mut others, &self.candidates[*domain][self.chosen[*domain]].supply, -1.0);
        }
        let current: Vec<usize> = domains.iter().map(|domain| self.chosen[*domain]).collect();
        let mut best = (self.value(&others, domains, &current) + MIN_GAIN, current.clone());
        let mut choice = vec![0; domains.len()];
        loop {
            let value = self.value(&others, domains, &choice);
            if value > best.0 {
                best = (value, choice.clone());
            }
            // The next combination, the first domain's candidate changing fastest.
            let Some(next) =
                (0..domains.len()).find(|at| choice[*at] + 1 < self.candidates[domains[*at]].len())
            else {
                break;
            };
            choice[..next].fill(0);
            choice[next] += 1;
        }
        for (domain, at) in domains.iter().zip(&best.1) {
            self.chosen[*domain] = *at;
            add(&mut others, &self.candidates[*domain][*at].supply, 1.0);
        }
        self.supply = others;
        best.1 != current
    }

    /// Worth of a choice of candidates for some domains, given the supply of the others.
    fn value(&self, others: &[f64], domains: &[usize], choice: &[usize]) -> f64 {
        let mut supply = others.to_vec();
        let mut cost = 0.0;
        for (domain, at) in domains.iter().zip(choice) {
            let candidate = &self.candidates[*domain][*at];
            add(&mut supply, &candidate.supply, 1.0);
            cost += candidate.cost;
        }
        utility(self.profiles, &supply) - cost
    }
}

/// Worth of a supply, given as members in serving groups by model in the order of the profiles.
///
/// It is the greatest for a given number of members if they are divided as the work is.
pub fn utility(profiles: &ModelProfiles, supply: &[f64]) -> f64 {
    let total: f64 = profiles.values().map(share).sum();
    let worth = |(profile, supply): (&ModelProfile, &f64)| {
        share(profile) / total * supply.max(LEAST_SUPPLY).ln()
    };
    profiles.values().zip(supply).map(worth).sum()
}

/// Members expected to be in serving groups, by model in the order of the profiles.
///
/// A group that loses a member serves nothing until a spare with the weights replaces it, or the
/// member is back.
pub fn expected_supply(
    profiles: &ModelProfiles,
    instances: usize,
    partition: &Partition,
) -> Vec<f64> {
    let spares = divide_spares(profiles, instances, partition);
    let supply = |(model, profile): (&ModelId, &ModelProfile)| {
        let size = profile.group_size as f64;
        let members = partition.get(model).copied().unwrap_or(0) as f64 * size;
        let losses_in_return_time = members * RETURN_TIME_S / LOSS_INTERVAL_S;
        let spares = spares.get(model).copied().unwrap_or(0);
        let lacks_spare = chance_of_at_least(spares, losses_in_return_time);
        let outage = REPLACEMENT_TIME_S + lacks_spare * SPARE_WAIT_S;
        members / (1.0 + size / LOSS_INTERVAL_S * outage)
    };
    profiles.iter().map(supply).collect()
}

/// Divides the instances that a partition leaves over among its models: the weights that each of
/// them should have.
pub fn divide_spares(
    profiles: &ModelProfiles,
    instances: usize,
    partition: &Partition,
) -> BTreeMap<ModelId, usize> {
    let members: BTreeMap<&ModelId, usize> = partition
        .iter()
        .filter(|(_, groups)| **groups > 0)
        .filter_map(|(model, groups)| Some((model, groups * profiles.get(model)?.group_size)))
        .collect();
    let used: usize = members.values().sum();
    let mut spares = BTreeMap::new();
    for _ in used..instances {
        let need = |model: &ModelId| {
            members[model] as f64 / (1 + spares.get(model).copied().unwrap_or(0)) as f64
        };
        let Some(model) = members.keys().copied().max_by(|a, b| {
            // The first of equal ones, since `max_by` returns the last.
            need(a).total_cmp(&need(b)).then(b.cmp(a))
        }) else {
            break;
        };
        *spares.entry(model.clone()).or_default() += 1;
    }
    spares
}

/// Partitions of a domain that contain its groups; the first one adds none.
fn candidates(profiles: &ModelProfiles, domain: &DomainState, load_cost: f64) -> Vec<Candidate> {
    // Another writer may list any number of instances in one domain.
    let mut step = 1;
    let partitions = loop {
        match possible_partitions(profiles, domain, step) {
            Some(partitions) => break partitions,
            None => step *= 2,
        }
    };
    let candidate = |partition: Partition| {
        let supply = expected_supply(profiles, domain.instances, &partition);
        let cost = load_cost * missing_weights(profiles, domain, &partition) as f64;
        Candidate { partition, supply, cost }
    };
    partitions.into_iter().map(candidate).collect()
}

/// Partitions of a domain that contain its groups and a multiple of `step` further ones of each model;
/// `None` if there are too many.
fn possible_partitions(
    profiles: &ModelProfiles,
    domain: &DomainState,
    step: usize,
) -> Option<Vec<Partition>> {
    let mut partitions = vec![domain.groups.clone()];
    for (model, profile) in profiles {
        let mut larger = Vec::new();
        for partition in &partitions {
            let mut next = partition.clone();
            loop {
                *next.entry(model.clone()).or_default() += step;
                if profile.group_size == 0 || members(profiles, &next) > domain.instances {
                    break;
                }
                if partitions.len() + larger.len() >= MAX_CANDIDATES {
                    return None;
                }
                larger.push(next.clone());
            }
        }
        partitions.extend(larger);
    }
    Some(partitions)
}

/// Number of instances that have to load weights for the groups that a domain doesn't have yet.
fn missing_weights(profiles: &ModelProfiles, domain: &DomainState, partition: &Partition) -> usize {
    let missing = |(model, groups): (&ModelId, &usize)| {
        let existing = domain.groups.get(model).copied().unwrap_or(0);
        let size = profiles.get(model).map_or(0, |p| p.group_size);
        let staged = domain.staged.get(model).copied().unwrap_or(0);
        (groups.saturating_sub(existing) * size).saturating_sub(staged)
    };
    partition.iter().map(missing).sum()
}

fn members(profiles: &ModelProfiles, partition: &Partition) -> usize {
    let size = |model| profiles.get(model).map_or(0, |p: &ModelProfile| p.group_size);
    partition.iter().map(|(model, groups)| groups * size(model)).sum()
}

fn share(profile: &ModelProfile) -> f64 {
    let is_usable = profile.work_share.is_finite() && profile.work_share > 0.0;
    if is_usable { profile.work_share } else { f64::MIN_POSITIVE }
}

fn add(supply: &mut [f64], other: &[f64], factor: f64) {
    for (total, other) in supply.iter_mut().zip(other) {
        *total += factor * other;
    }
}

/// Chance of at least `count` events, where `mean` are expected, independently of each other.
fn chance_of_at_least(count: usize, mean: f64) -> f64 {
    let mut term = (-mean).exp();
    let mut fewer = 0.0;
    for at in 0..count {
        fewer += term;
        term *= mean / (at + 1) as f64;
    }
    (1.0 - fewer).clamp(0.0, 1.0)
}
