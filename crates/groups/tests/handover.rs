//! A node that takes charge while a group is being dissolved.

mod fabric;

use {
    fabric::{Fabric, LOAD, STALL},
    rstest::rstest,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    turmerictack_groups::{
        formation::{
            Departures, Formation, LoadLimits, ModelProfile, Models, Order, OrderResult, Phase,
            Steps, View,
        },
        plan::Plan,
    },
};

const STEP: Duration = Duration::from_millis(100);
/// Time that the first node is in charge after the head has died.
const FIRST_FOR: Duration = Duration::from_secs(2);
/// From the first member's leaving: the time after which the head must have noticed, a second
/// for the way of the notice, and two steps.
const MOST: Duration = Duration::from_millis(5_200);

const LIMITS: LoadLimits = LoadLimits { per_second: 5.0, at_once: 7 };
/// Loads at full speed, and two so that the store never idles.
const MOST_LOADS: usize = 9;

struct Node {
    formation: Formation,
    departures: Departures,
    answers: Vec<(String, Order, OrderResult)>,
}

impl Node {
    fn new() -> Self {
        let formation = Formation::new(STALL, LIMITS);
        Self { formation, departures: Departures::default(), answers: Vec::new() }
    }

    fn read(&mut self, now: Instant, fabric: &Fabric) {
        for (id, engine) in fabric.listed() {
            let group = engine.membership.as_ref().map(|m| &m.group);
            self.departures.observe(now, &id, engine.started, group);
        }
    }

    fn lead(
        &mut self,
        now: Instant,
        fabric: &mut Fabric,
        plan: &mut Plan,
        models: &Models,
    ) -> usize {
        for (id, order, result) in std::mem::take(&mut self.answers) {
            self.formation.answered(now, &id, &order, result);
        }
        let view = View {
            engines: fabric.listed(),
            incomplete: self.departures.by_group(),
            has_traffic: true,
            ..View::default()
        };
        let Steps { replace, orders } = self.formation.step(now, models, &view, plan);
        let given = orders.len();
        for (id, _, order) in orders {
            let is_dead = fabric.engines[&id].gone;
            let result = if is_dead { OrderResult::Unanswered } else { fabric.apply(&id, &order) };
            self.answers.push((id, order, result));
        }
        if let Some(next) = replace {
            *plan = next;
        }
        given
    }
}

/// Time from the order to leave until the group is out of the plan.
fn dissolved_after(changes_hands: bool) -> Duration {
    let start = Instant::now();
    let mut fabric = Fabric::new(1, 2);
    let (mut first, mut second) = (Node::new(), Node::new());
    let mut plan = Plan::default();
    plan.add("models".to_owned(), "small".to_owned(), vec!["i0-0".to_owned(), "i0-1".to_owned()]);
    let mut left_at = None;
    let mut died_at = None;
    for _ in 0..300 {
        fabric.advance(STEP);
        let now = start + fabric.now;
        first.read(now, &fabric);
        second.read(now, &fabric);
        let is_open =
            fabric.engines["i0-0"].member.as_ref().is_some_and(|m| m.phase == Phase::Open);
        if is_open && died_at.is_none() {
            died_at = Some(fabric.now);
            fabric.crash("i0-0", None);
        }
        let has_left = fabric.engines["i0-1"].member.is_none();
        if died_at.is_some() && has_left && left_at.is_none() {
            left_at = Some(fabric.now);
        }
        let hands_over = changes_hands && left_at.is_some_and(|at| fabric.now >= at + FIRST_FOR);
        let leader = if hands_over { &mut second } else { &mut first };
        leader.lead(now, &mut fabric, &mut plan, &BTreeMap::new());
        if plan.groups.is_empty() {
            return fabric.now - left_at.unwrap_or_default();
        }
    }
    panic!("the group is never dissolved");
}

#[rstest]
#[case::same_node(false)]
#[case::another_node(true)]
fn a_group_without_head_is_dissolved_once_the_head_must_have_noticed(#[case] changes_hands: bool) {
    let after = dissolved_after(changes_hands);
    assert!(after >= STALL && after <= MOST, "{after:?}");
}

#[rstest]
fn a_node_that_takes_charge_does_not_load_beside_what_is_loading() {
    let start = Instant::now();
    let mut fabric = Fabric::new(3, 10);
    let (mut first, mut second) = (Node::new(), Node::new());
    let mut plan = Plan::default();
    let large = ModelProfile { size: 4, share: 1.0, load: LOAD };
    let models =
        BTreeMap::from([("models".to_owned(), BTreeMap::from([("large".to_owned(), large)]))]);
    let mut given = [0, 0];
    for step in 0..20 {
        fabric.advance(STEP);
        let now = start + fabric.now;
        let second_leads = step >= 10;
        let leader = if second_leads { &mut second } else { &mut first };
        given[usize::from(second_leads)] += leader.lead(now, &mut fabric, &mut plan, &models);
    }
    assert!(fabric.now < LOAD);
    assert_eq!(given, [MOST_LOADS, 0]);
}
