//! Members that shut down: they close their listeners and remain in their groups until the last
//! requests are finished, so a refused connection does not show that they have left.

mod fabric;

use {
    fabric::{ENGINE_TIMES, SimulatedCluster, leader::Leader},
    rstest::rstest,
    std::time::Duration,
    turmerictack_groups::formation::{Order, Phase},
};

/// Time until all groups are open after the start.
const FORMATION_TIME: Duration = Duration::from_secs(30);
/// Time for which the requests of a closing head go on.
const LONG_REQUESTS: Duration = Duration::from_secs(12);
/// Time from the end of [`ENGINE_TIMES`]'s drain time to the closing of the listener.
const EXTRA_TIME: Duration = Duration::from_millis(1_500);
/// Limit from the crash of a head to the new group of its members: some steps to detect it, and the
/// time to join a group.
const REPLACEMENT_TIME: Duration = Duration::from_secs(3);

/// A leader with one open group of a model, of four members if it is `large` and of two if it is
/// `small`, in a domain of seven instances; long requests are running.
fn leader_with_a_group(model: &str) -> (Leader, Vec<String>) {
    let mut cluster = SimulatedCluster::new(1, 7);
    cluster.close_time = LONG_REQUESTS;
    let mut leader = Leader::new(cluster, 4);
    leader.models.values_mut().for_each(|models| models.retain(|name, _| name == model));
    leader.run_for(FORMATION_TIME);
    let groups = leader.plan.groups.values();
    let members: Vec<String> = groups.take(1).flat_map(|group| group.members.clone()).collect();
    assert!(leader.open_groups(model).contains(&members[0]));
    (leader, members)
}

/// Lets the leader run, and checks that no instance joins a group while the head of its last one is
/// at work, and that one group of the others serves at the end.
fn check_handover(leader: &mut Leader, leaving: &str) {
    leader.run_for(Duration::from_secs(30));
    assert_eq!(leader.cluster.violations, Vec::<String>::new());
    let heads = leader.open_groups("large");
    assert!(heads.len() == 1 && heads[0] != leaving, "the others serve again: {heads:?}");
}

/// Guards against members that join a new group while their draining head, which has closed its
/// listener, is still finishing its requests (TWO).
#[rstest]
fn members_stay_while_their_head_finishes_its_requests() {
    let (mut leader, members) = leader_with_a_group("large");
    leader.cluster.shut_down(&members[0], true, EXTRA_TIME);
    check_handover(&mut leader, &members[0]);
}

/// The same for a head whose entry is removed without an announcement, and which no order reaches
/// before it closes its listener.
#[rstest]
fn members_stay_while_a_head_without_an_entry_finishes_its_requests() {
    let (mut leader, members) = leader_with_a_group("large");
    leader.cut_off.insert(members[0].clone());
    leader.cluster.shut_down(&members[0], false, Duration::ZERO);
    leader.run_for(ENGINE_TIMES.drain_time);
    leader.cut_off.clear();
    check_handover(&mut leader, &members[0]);
}

/// Guards against a group that counts as broken because another member than the head has closed its
/// listener: the member remains until the head has finished, and the head goes on (TWO).
#[rstest]
#[case::announced(true)]
#[case::entry_removed(false)]
fn head_that_gets_no_orders_keeps_its_group_while_a_member_lingers(#[case] is_announced: bool) {
    let (mut leader, members) = leader_with_a_group("large");
    leader.cluster.shut_down(&members[1], is_announced, EXTRA_TIME);
    // The leader reaches the others once the group would count as broken, and the head later.
    leader.cut_off = members.iter().filter(|id| **id != members[1]).cloned().collect();
    leader.run_for(ENGINE_TIMES.drain_time + EXTRA_TIME + Duration::from_millis(6_000));
    leader.cut_off = [members[0].clone()].into();
    leader.run_for(Duration::from_secs(12));
    leader.cut_off.clear();
    check_handover(&mut leader, &members[1]);
}

/// Guards against a head that counts as broken since a member left that has rejoined because of a
/// delayed order (TWO).
#[rstest]
fn time_to_break_starts_again_when_a_member_has_rejoined() {
    let (mut leader, members) = leader_with_a_group("small");
    let joins = |order: &Order| matches!(order, Order::Join { members: m, .. } if *m == members);
    let join = leader.orders.iter().map(|(_, order)| order.clone()).find(joins);
    leader.cluster.shut_down(&members[0], true, EXTRA_TIME);
    leader.run_for(Duration::from_secs(5));
    let member = &leader.cluster.engines[&members[1]];
    assert!(member.member.is_none(), "it has left");
    let at = leader.cluster.now + Duration::from_millis(500);
    let started = member.started;
    let delayed = join.map(|join| (at, members[1].clone(), started, join));
    leader.cluster.delayed_orders.extend(delayed);
    leader.run_for(Duration::from_secs(30));
    assert_eq!(leader.cluster.violations, Vec::<String>::new());
}

/// An entry that is kept after an outage of the store, although the store no longer lists it, does
/// not show that the instance was not shutting down.
#[rstest]
fn entry_that_is_only_kept_is_no_evidence_of_a_crash() {
    let (mut leader, members) = leader_with_a_group("large");
    let entry = leader.cluster.listed()[&members[0]].clone();
    leader.unlisted.insert(members[0].clone(), entry);
    leader.cluster.shut_down(&members[0], false, EXTRA_TIME);
    // Another member leaves, so that the group is retired while the entry is still kept.
    leader.cluster.shut_down(&members[1], true, EXTRA_TIME);
    leader.run_for(Duration::from_secs(8));
    leader.unlisted.clear();
    check_handover(&mut leader, &members[0]);
}

/// A list that the store has not confirmed since may predate the announcement.
#[rstest]
fn list_that_is_not_confirmed_is_no_evidence_of_a_crash() {
    let (mut leader, members) = leader_with_a_group("large");
    let entry = leader.cluster.listed()[&members[0]].clone();
    leader.is_list_confirmed = false;
    leader.stale.insert(members[0].clone(), entry);
    leader.cluster.shut_down(&members[0], true, EXTRA_TIME);
    leader.cluster.shut_down(&members[1], true, EXTRA_TIME);
    leader.run_for(Duration::from_secs(8));
    leader.stale.clear();
    leader.is_list_confirmed = true;
    check_handover(&mut leader, &members[0]);
}

/// The members of a head that has crashed need not wait: an instance that is listed and not leaving
/// keeps its listener open.
#[rstest]
#[case::soon_after_the_crash(Duration::from_millis(200))]
#[case::after_a_while(Duration::from_millis(1_500))]
fn members_of_a_crashed_head_are_free_at_once(#[case] until_suspected: Duration) {
    let (mut leader, members) = leader_with_a_group("large");
    let head = &members[0];
    leader.cluster.crash(head, Some(Duration::from_secs(60)));
    leader.run_for(until_suspected);
    // The leader has no other sign of the crash than the failed probes of the head.
    leader.unreachable.insert(head.clone());
    leader.run_for(REPLACEMENT_TIME);
    assert_eq!(leader.cluster.violations, Vec::<String>::new());
    let heads = leader.open_groups("large");
    assert!(heads.len() == 1 && heads[0] != *head, "the others serve again: {heads:?}");
}

/// A head that finishes before it closes its listener leaves on order, and its members are free.
#[rstest]
fn members_of_a_head_without_long_requests_are_free_at_once() {
    let (mut leader, members) = leader_with_a_group("large");
    leader.cluster.close_time = Duration::from_millis(500);
    leader.cluster.shut_down(&members[0], true, EXTRA_TIME);
    leader.run_for(REPLACEMENT_TIME);
    assert_eq!(leader.cluster.violations, Vec::<String>::new());
    let heads = leader.open_groups("large");
    let phase = leader.cluster.engines[&members[0]].member.as_ref().map(|m| m.phase);
    assert_ne!(phase, Some(Phase::Open));
    assert!(heads.len() == 1 && heads[0] != members[0], "the others serve again: {heads:?}");
}
