//! Spare instances replace lost members of groups.

mod fabric;

use {
    fabric::{LOAD_TIME, STALL_TIMEOUT, SimulatedCluster},
    rstest::rstest,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    turmerictack_groups::{
        formation::{
            ClusterView, Departures, GroupPlanner, LoadLimits, ModelProfile, ModelsByService, Phase,
        },
        plan::Plan,
    },
    turmerictack_model::ids::InstanceId,
};

const STEP: Duration = Duration::from_millis(100);
const LIMITS: LoadLimits = LoadLimits { per_second: 5.0, concurrent: 20 };
/// Time until all groups are open after the start.
const FORMATION_TIME: Duration = Duration::from_secs(30);
/// Time until a group is open again after a loss: the stall timeout, a second until the head learns
/// of the departure, and 3 s to join and open.
const REFORMATION_TIME: Duration = Duration::from_secs(8);

struct Leader {
    start: Instant,
    cluster: SimulatedCluster,
    planner: GroupPlanner,
    departures: Departures,
    plan: Plan,
    models: ModelsByService,
    has_traffic: bool,
}

impl Leader {
    fn new(cluster: SimulatedCluster, large_size: usize) -> Self {
        let profile =
            |group_size| ModelProfile { group_size, work_share: 0.5, load_time: LOAD_TIME };
        let models = [("large".to_owned(), profile(large_size)), ("small".to_owned(), profile(2))];
        Self {
            start: Instant::now(),
            cluster,
            planner: GroupPlanner::new(STALL_TIMEOUT, LIMITS),
            departures: Departures::default(),
            plan: Plan::default(),
            models: BTreeMap::from([("models".to_owned(), BTreeMap::from(models))]),
            has_traffic: true,
        }
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.cluster.now + time;
        while self.cluster.now < until {
            self.cluster.advance(STEP);
            let now = self.start + self.cluster.now;
            let listed = self.cluster.listed();
            for (id, engine) in &listed {
                let group = engine.membership.as_ref().map(|m| &m.group);
                self.departures.observe(now, id, engine.started, group);
            }
            let view = ClusterView {
                engines: listed,
                incomplete_since: self.departures.by_group(),
                has_traffic: self.has_traffic,
                ..ClusterView::default()
            };
            let actions = self.planner.next_actions(now, &self.models, &view, &self.plan);
            for (id, _, order) in actions.orders {
                if !self.cluster.engines[&id].removed {
                    let result = self.cluster.apply(&id, &order);
                    self.planner.record_result(now, &id, &order, result);
                }
            }
            self.plan = actions.new_plan.unwrap_or(std::mem::take(&mut self.plan));
        }
    }

    /// Open groups of a model, by head.
    fn open_groups(&self, model: &str) -> Vec<InstanceId> {
        let heads = self.plan.groups.values().filter(|g| g.model == model).map(|g| &g.members[0]);
        let is_open = |id: &&InstanceId| {
            let member = self.cluster.engines[*id].member.as_ref();
            member.is_some_and(|m| m.phase == Phase::Open)
        };
        heads.filter(is_open).cloned().collect()
    }
}

#[rstest]
#[case::eight_of_eighteen(18, 8)]
#[case::four_of_ten(10, 4)]
fn lost_member_of_a_large_group_is_replaced_without_a_load(
    #[case] domain_size: usize,
    #[case] large_size: usize,
) {
    let mut leader = Leader::new(SimulatedCluster::new(2, domain_size), large_size);
    leader.run_for(FORMATION_TIME);
    let heads = leader.open_groups("large");
    assert_eq!(heads.len(), 2);
    let group = leader.plan.groups.values().find(|g| g.members[0] == heads[0]);
    let Some(lost) = group.map(|g| g.members[1].clone()) else { panic!("no group") };
    leader.cluster.crash(&lost, None);
    leader.run_for(REFORMATION_TIME);
    assert_eq!(leader.open_groups("large").len(), 2, "{:?}", leader.plan.groups);
}

/// Instances that arrive in each step at the start of a system.
const ARRIVALS_PER_STEP: usize = 4;

/// The groups are those that suit the whole domains, in whatever order the instances arrive.
#[rstest]
fn groups_are_chosen_when_all_instances_have_arrived() {
    const DOMAINS: usize = 6;
    const PER_DOMAIN: usize = 10;
    let mut leader = Leader::new(SimulatedCluster::new(0, 0), 4);
    leader.has_traffic = false;
    for at in 0..DOMAINS * PER_DOMAIN {
        let domain = format!("d{}", at % DOMAINS);
        leader.cluster.add(&format!("i{at}"), &domain);
        if at.is_multiple_of(ARRIVALS_PER_STEP) {
            leader.run_for(STEP);
        }
    }
    leader.run_for(FORMATION_TIME);
    assert_eq!((leader.open_groups("large").len(), leader.open_groups("small").len()), (6, 15));
}
