//! Partition of fabric domains into groups, compared with all possible partitions.

use {
    rand::{RngExt as _, SeedableRng as _},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
    std::{collections::BTreeMap, time::Duration},
    turmerictack_groups::{
        formation::ModelProfile,
        partition::{
            DomainState, ModelProfiles, Partition, divide_spares, expected_supply, partition,
            utility,
        },
    },
};

/// Least utility of a solution, as a share of the supply of the best one.
const MIN_SHARE_OF_OPTIMUM: f64 = 0.97;

fn profiles(models: &[(usize, f64)]) -> ModelProfiles {
    let profile = |(at, (group_size, work_share)): (usize, &(usize, f64))| {
        let load_time = Duration::from_secs(12);
        let profile = ModelProfile { group_size: *group_size, work_share: *work_share, load_time };
        (format!("m{at}"), profile)
    };
    models.iter().enumerate().map(profile).collect()
}

fn domains(count: usize, instances: usize) -> BTreeMap<usize, DomainState> {
    let state = DomainState { instances, ..DomainState::default() };
    (0..count).map(|at| (at, state.clone())).collect()
}

fn members(profiles: &ModelProfiles, partition: &Partition) -> usize {
    partition.iter().map(|(model, groups)| groups * profiles[model].group_size).sum()
}

/// Supply of all domains together.
fn total_supply(
    profiles: &ModelProfiles,
    domains: &BTreeMap<usize, DomainState>,
    partitions: &BTreeMap<usize, Partition>,
) -> Vec<f64> {
    let mut total = vec![0.0; profiles.len()];
    for (domain, partition) in partitions {
        let supply = expected_supply(profiles, domains[domain].instances, partition);
        for (total, supply) in total.iter_mut().zip(supply) {
            *total += supply;
        }
    }
    total
}

/// All partitions of a domain of this size.
fn all_partitions(profiles: &ModelProfiles, instances: usize) -> Vec<Partition> {
    let mut all = vec![Partition::new()];
    for (model, profile) in profiles {
        let extend = |partition: &Partition| -> Vec<Partition> {
            let with = |groups| {
                let mut partition = partition.clone();
                partition.insert(model.clone(), groups);
                partition
            };
            (0..=instances / profile.group_size).map(with).collect()
        };
        all = all.iter().flat_map(extend).collect();
        all.retain(|p| members(profiles, p) <= instances);
    }
    all
}

/// Utility of the best combination of partitions.
fn best_utility(profiles: &ModelProfiles, domains: &BTreeMap<usize, DomainState>) -> f64 {
    let mut supplies = vec![vec![0.0; profiles.len()]];
    for state in domains.values() {
        let own: Vec<Vec<f64>> = all_partitions(profiles, state.instances)
            .iter()
            .map(|p| expected_supply(profiles, state.instances, p))
            .collect();
        let sum = |a: &Vec<f64>, b: &Vec<f64>| a.iter().zip(b).map(|(a, b)| a + b).collect();
        supplies = supplies.iter().flat_map(|a| own.iter().map(move |b| sum(a, b))).collect();
    }
    supplies.iter().map(|s| utility(profiles, s)).fold(f64::NEG_INFINITY, f64::max)
}

#[rstest]
#[case::six_and_three_in_eleven(&[(6, 0.67), (3, 0.33)], 3, 11)]
#[case::four_and_two_in_ten(&[(4, 0.5), (2, 0.5)], 3, 10)]
#[case::eight_and_four_in_nineteen(&[(8, 0.5), (4, 0.5)], 3, 19)]
#[case::twelve_and_six_in_twenty_seven(&[(12, 0.4), (6, 0.6)], 3, 27)]
#[case::three_models(&[(5, 0.5), (3, 0.3), (2, 0.2)], 2, 13)]
#[case::one_model(&[(4, 1.0)], 3, 10)]
fn partition_is_close_to_the_best_one(
    #[case] models: &[(usize, f64)],
    #[case] count: usize,
    #[case] instances: usize,
) {
    let (profiles, domains) = (profiles(models), domains(count, instances));
    let partitions = partition(&profiles, &domains);
    let supply = total_supply(&profiles, &domains, &partitions);
    let share = (utility(&profiles, &supply) - best_utility(&profiles, &domains)).exp();
    assert!(share >= MIN_SHARE_OF_OPTIMUM, "{share:.3} of the best: {partitions:?}");
}

#[rstest]
fn partition_of_random_domains_is_close_to_the_best_one() {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    for _ in 0..50 {
        let share = rng.random_range(0.2..0.8);
        let (large, small) = (rng.random_range(3..9), rng.random_range(1..4));
        let profiles = profiles(&[(large, share), (small, 1.0 - share)]);
        let mut domains = domains(3, 0);
        for state in domains.values_mut() {
            state.instances = rng.random_range(large..16);
        }
        let partitions = partition(&profiles, &domains);
        let supply = total_supply(&profiles, &domains, &partitions);
        let of_best = (utility(&profiles, &supply) - best_utility(&profiles, &domains)).exp();
        assert!(of_best >= MIN_SHARE_OF_OPTIMUM, "{of_best:.3} {domains:?} {partitions:?}");
    }
}

/// Each domain of eleven has room for one group of each model; with one model a domain, the groups
/// of six would get only two thirds of their instances.
#[rstest]
fn models_get_their_shares_where_the_sizes_do_not_divide_the_domain() {
    let (profiles, domains) = (profiles(&[(6, 0.67), (3, 0.33)]), domains(6, 11));
    let partitions = partition(&profiles, &domains);
    let groups = |model: &str| -> usize { partitions.values().filter_map(|p| p.get(model)).sum() };
    assert_eq!((groups("m0"), groups("m1")), (6, 6), "{partitions:?}");
}

#[rstest]
fn existing_groups_stay() {
    let profiles = profiles(&[(6, 0.67), (3, 0.33)]);
    let mut domains = domains(4, 11);
    for state in domains.values_mut() {
        state.groups = Partition::from([("m1".to_owned(), 3)]);
    }
    for (domain, partition) in partition(&profiles, &domains) {
        assert_eq!(partition.get("m1"), Some(&3), "{domain}");
    }
}

#[rstest]
fn loads_are_avoided_where_they_gain_little() {
    let profiles = profiles(&[(4, 0.5), (2, 0.5)]);
    let mut domains = domains(2, 8);
    let staged = |model: &str| BTreeMap::from([(model.to_owned(), 8)]);
    for (domain, model) in [(0, "m1"), (1, "m0")] {
        domains.entry(domain).or_default().staged = staged(model);
    }
    let partitions = partition(&profiles, &domains);
    assert_eq!(partitions[&0].get("m0").copied().unwrap_or(0), 0, "{partitions:?}");
    assert_eq!(partitions[&1].get("m1").copied().unwrap_or(0), 0, "{partitions:?}");
}

#[rstest]
fn spares_are_divided_by_members() {
    let profiles = profiles(&[(6, 0.67), (3, 0.33)]);
    let partition = Partition::from([("m0".to_owned(), 1), ("m1".to_owned(), 1)]);
    let spares = divide_spares(&profiles, 12, &partition);
    assert_eq!((spares["m0"], spares["m1"]), (2, 1));
    assert!(divide_spares(&profiles, 9, &partition).is_empty());
    assert!(divide_spares(&profiles, 9, &Partition::new()).is_empty());
}

#[rstest]
#[case::no_share(&[(6, 0.0), (3, 0.0)])]
#[case::negative_share(&[(6, -1.0), (3, 1.0)])]
#[case::not_a_number(&[(6, f64::NAN), (3, 1.0)])]
#[case::no_members(&[(0, 0.5), (3, 0.5)])]
#[case::too_large(&[(600, 0.5), (300, 0.5)])]
fn odd_profiles_lead_to_some_partition(#[case] models: &[(usize, f64)]) {
    let (profiles, domains) = (profiles(models), domains(3, 11));
    for partition in partition(&profiles, &domains).values() {
        assert!(members(&profiles, partition) <= 11);
    }
}

/// The work stays bounded: 1,200 instances in domains of 27 and of 10.
#[rstest]
#[case(44, 27, &[(12, 0.4), (6, 0.6)])]
#[case(120, 10, &[(4, 0.5), (2, 0.5)])]
fn large_fleets_are_partitioned(
    #[case] count: usize,
    #[case] instances: usize,
    #[case] models: &[(usize, f64)],
) {
    let (profiles, domains) = (profiles(models), domains(count, instances));
    let partitions = partition(&profiles, &domains);
    assert_eq!(partitions, partition(&profiles, &domains));
    let used: usize = partitions.values().map(|p| members(&profiles, p)).sum();
    assert!(used * 10 >= count * instances * 7, "{used} of {} instances", count * instances);
}
