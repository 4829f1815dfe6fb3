//! Which idle connections are used again, and what is dialled, while paths are silent.

use {
    rstest::rstest,
    std::time::{Duration, Instant},
    turmerictack_model::ids::InstanceId,
    turmerictack_serving::{
        interfaces::StreamPath,
        paths::{DialPlan, FailedDial, PathLoss, PathTable},
    },
};

const SECOND: Duration = Duration::from_secs(1);

fn id(at: usize) -> InstanceId {
    format!("e{at}")
}

/// Loses the path to an instance by dials that began at `start`, or shortly after it.
fn lose(paths: &mut PathTable, start: Instant, at: usize, how: PathLoss) {
    for began_at in [start, start + SECOND / 5] {
        let dial = FailedDial { began_at, tunnel_began_at: began_at, how };
        paths.record_direct_failure(began_at, &id(at));
        paths.record_failure(began_at + SECOND / 2, &id(at), dial);
    }
}

/// Guards against requests on idle connections that hang, of instances that nobody has dialled yet.
#[rstest]
#[case::silent_path(PathLoss::TimedOut, 0, 10, false)]
#[case::refused_path(PathLoss::Refused, 0, 10, true)]
#[case::other_instance_idle_before(PathLoss::TimedOut, 1, 0, false)]
#[case::other_instance_idle_since(PathLoss::TimedOut, 1, 10, true)]
#[case::other_instance_while_new_ones_are_refused(PathLoss::Refused, 1, 0, true)]
fn direct_connection_is_used_again_only_if_its_path_is_proven(
    #[case] how: PathLoss,
    #[case] instance: usize,
    #[case] proven_after_s: u32,
    #[case] may_reuse: bool,
) {
    let (mut paths, cut_at) = (PathTable::default(), Instant::now() + SECOND);
    lose(&mut paths, cut_at, 0, how);
    let proven_at = cut_at - SECOND + proven_after_s * SECOND;
    assert_eq!(paths.may_reuse(&id(instance), StreamPath::Direct, proven_at), may_reuse);
}

/// Guards against tunnels that go on being used after the direct path is back.
#[rstest]
fn tunnel_is_used_again_only_while_the_direct_path_is_lost() {
    let (mut paths, start) = (PathTable::default(), Instant::now());
    assert!(!paths.may_reuse(&id(0), StreamPath::Tunnel, start));
    lose(&mut paths, start, 0, PathLoss::Refused);
    assert!(paths.may_reuse(&id(0), StreamPath::Tunnel, start));
    paths.record_open(start + SECOND, &id(0));
    assert!(!paths.may_reuse(&id(0), StreamPath::Tunnel, start + SECOND));
}

/// An isolated node whose paths are silent gives no head start to the direct path of an instance of
/// which it has heard nothing since.
#[rstest]
#[case::silent(PathLoss::TimedOut, None, DialPlan::Both)]
#[case::silent_but_heard_of(PathLoss::TimedOut, Some(3 * SECOND / 2), DialPlan::DirectFirst)]
#[case::silent_and_heard_of_before(PathLoss::TimedOut, Some(SECOND / 2), DialPlan::Both)]
#[case::refused(PathLoss::Refused, None, DialPlan::DirectFirst)]
fn isolated_node_dials_both_ways_at_once(
    #[case] how: PathLoss,
    #[case] heard_after: Option<Duration>,
    #[case] expected: DialPlan,
) {
    let (mut paths, start) = (PathTable::default(), Instant::now());
    if let Some(after) = heard_after {
        paths.record_open(start + after, &id(9));
    }
    for at in 0..4 {
        lose(&mut paths, start + SECOND, at, how);
    }
    let now = start + 2 * SECOND;
    assert!(paths.is_isolated(now));
    assert_eq!(paths.plan_dial(now, &id(9)), expected);
}
