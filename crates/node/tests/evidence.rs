//! Probes and peer requests for health reports, at the current size and at the size to design for.

use {
    rstest::rstest,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    turmerictack_groups::health::{Claim, HealthReport, ReceivedReport},
    turmerictack_node::tables::{Groups, ProbeResult},
    turmerictack_platform::instance::{Instance, InstanceState},
    turmerictack_protocol::message::{PeerResponse, ProbeRunId},
    turmerictack_upstream::engine::{GroupMembership, MemberReport},
};

/// Members of a group.
const GROUP_SIZE: usize = 4;

/// Numbers of nodes and of engines in fabric domains of equal size, spread over data centres.
struct ClusterSize {
    nodes: usize,
    data_centres: usize,
    domains: usize,
    domain_size: usize,
    /// Upper bound of gossip traffic in bytes a second, sent and received, as checked by
    /// `--test member_histories`.
    gossip_bytes: f64,
}

/// Current size: 9 nodes and 60 workers in three data centres.
const CURRENT: ClusterSize =
    ClusterSize { nodes: 9, data_centres: 3, domains: 6, domain_size: 10, gossip_bytes: 380.0 };

/// Size to design for: 380 nodes and 1,200 workers in six data centres.
const PLANNED: ClusterSize =
    ClusterSize { nodes: 380, data_centres: 6, domains: 75, domain_size: 16, gossip_bytes: 550.0 };

impl ClusterSize {
    fn instances(&self) -> BTreeMap<String, Instance> {
        let all = (0..self.domains).flat_map(|d| (0..self.domain_size).map(move |i| (d, i)));
        all.map(|(domain, i)| {
            let id = format!("eng-{domain:03}-{i:02}");
            let instance = Instance {
                id: id.clone(),
                address: format!("10.0.{domain}.{i}:8000"),
                pool: "assistant".to_owned(),
                data_centre: data_centre_name(domain % self.data_centres),
                fabric_domain: Some(format!("fabric-{domain:03}")),
                state: InstanceState::Live,
            };
            (id, instance)
        })
        .collect()
    }

    fn live(&self) -> BTreeSet<String> {
        (0..self.nodes).map(|n| format!("n{n}")).collect()
    }
}

fn data_centre_name(number: usize) -> String {
    format!("centre-{number}")
}

/// Tables of a node with a report of every instance at the given time; groups of four are complete.
fn tables_with_reports(size: &ClusterSize, at: Instant) -> Groups {
    let mut groups = Groups { instances: size.instances(), ..Groups::default() };
    let ids: Vec<String> = groups.instances.keys().cloned().collect();
    for domain in ids.chunks(size.domain_size) {
        for (n, members) in domain.chunks(GROUP_SIZE).enumerate() {
            let complete = members.len() == GROUP_SIZE;
            let claim = Claim { group: format!("g{n}"), epoch: 1, members: members.to_vec() };
            for (position, id) in members.iter().enumerate() {
                let claim = complete.then(|| claim.clone());
                let report = HealthReport { claim, ready: true, ..HealthReport::default() };
                let relayed = complete && position > 0;
                let probed = ProbeResult {
                    change: 1,
                    report: report.clone().into(),
                    requested_at: at,
                    relayed,
                };
                groups.probe_results.insert(id.clone(), probed);
                groups.health.record(id, ReceivedReport { report, requested_at: at });
            }
        }
    }
    groups
}

/// Time between rounds, in s.
const ROUND_SECONDS: f64 = 0.4;

/// Number of simulated rounds.
const ROUNDS: u32 = 12;

/// Upper bound of the bytes, sent and received, of a probe without changes, as checked by
/// `--test reports`.
const PROBE_BYTES: f64 = 232.0;

/// Upper bound of the bytes, sent and received, of a peer request without changes, as checked by
/// `--test link` of the protocol.
const PEER_REQUEST_BYTES: f64 = 32.0;

/// Control traffic of each node in bytes a second, sent and received, when nothing changes.
fn control_traffic(size: &ClusterSize) -> BTreeMap<String, f64> {
    let start = Instant::now();
    let mut groups = tables_with_reports(size, start);
    let live = size.live();
    groups.sync_owners(&live);
    let mut traffic: BTreeMap<String, f64> = live.iter().map(|n| (n.clone(), 0.0)).collect();
    for round_number in 1..=ROUNDS {
        let now = start + Duration::from_secs_f64(ROUND_SECONDS) * round_number;
        let mut probed = BTreeSet::new();
        for (n, local_node) in live.iter().enumerate() {
            let plan = groups.plan_round(
                now,
                local_node,
                &data_centre_name(n % size.data_centres),
                live.len(),
            );
            let peer_bytes = plan.peers.len() as f64 * PEER_REQUEST_BYTES;
            *traffic.entry(local_node.clone()).or_default() +=
                plan.probes.len() as f64 * PROBE_BYTES + peer_bytes;
            for peer in &plan.peers {
                *traffic.entry(peer.clone()).or_default() += PEER_REQUEST_BYTES;
            }
            probed.extend(plan.probes.into_iter().map(|(id, _)| id));
        }
        answer_probes(&mut groups, &probed, now);
    }
    let seconds = ROUND_SECONDS * f64::from(ROUNDS);
    traffic.into_iter().map(|(n, bytes)| (n, bytes / seconds + size.gossip_bytes)).collect()
}

/// Every probed instance answers at once and relays the reports of its group.
fn answer_probes(groups: &mut Groups, probed_ids: &BTreeSet<String>, now: Instant) {
    for (id, result) in &mut groups.probe_results {
        if !probed_ids.contains(id) && !result.relayed {
            continue;
        }
        result.requested_at = now;
        let report = (*result.report).clone();
        groups.health.record(id, ReceivedReport { report, requested_at: now });
    }
}

/// Target: at most 3 KB a second of control traffic, on average and for the busiest node.
#[rstest]
#[case::current(&CURRENT)]
#[case::planned(&PLANNED)]
fn control_costs_a_node_3_kilobytes_a_second(
    #[case] size: &ClusterSize,
    #[values(false, true)] most: bool,
) {
    let traffic = control_traffic(size);
    let mean = traffic.values().sum::<f64>() / traffic.len() as f64;
    let peak = traffic.values().copied().fold(0.0, f64::max);
    println!("{} nodes: {mean:.0} B/s on average, {peak:.0} B/s at most", size.nodes);
    assert!(if most { peak } else { mean } <= 3000.0);
}

#[rstest]
fn each_instance_has_one_owner_that_probes_it() {
    let now = Instant::now();
    let mut groups = tables_with_reports(&PLANNED, now);
    let live = PLANNED.live();
    groups.sync_owners(&live);
    let mut owners: BTreeMap<String, usize> = BTreeMap::new();
    let mut plans = Vec::new();
    for (n, local_node) in live.iter().enumerate() {
        let plan = groups.plan_round(
            now,
            local_node,
            &data_centre_name(n % PLANNED.data_centres),
            live.len(),
        );
        for id in &plan.owned {
            *owners.entry(id.clone()).or_default() += 1;
        }
        plans.push(plan);
    }
    assert_eq!(owners.len(), groups.instances.len());
    assert!(owners.values().all(|count| *count == 1));
    assert!(plans.iter().all(|p| p.probes.iter().all(|(id, _)| p.owned.contains(id))));
}

/// A node without fresh reports from its own data centre also monitors instances elsewhere, and
/// still probes the local ones.
#[rstest]
fn a_silent_data_centre_makes_a_node_monitor_remote_instances() {
    let now = Instant::now();
    let later = now + Duration::from_secs(10);
    let mut groups = tables_with_reports(&PLANNED, now);
    let live = PLANNED.live();
    groups.sync_owners(&live);
    let local = data_centre_name(0);
    let before = groups.plan_round(now, "n0", &local, live.len());
    let remote: Vec<String> = groups
        .instances
        .values()
        .filter(|i| i.data_centre != local)
        .map(|i| i.id.clone())
        .collect();
    for id in remote {
        let report =
            groups.health.get(&id).map(|received| received.report.clone()).unwrap_or_default();
        groups.health.record(&id, ReceivedReport { report, requested_at: later });
    }
    let after = groups.plan_round(later, "n0", &local, live.len());
    assert!(after.peers.is_superset(&before.peers));
    assert!(after.peers.len() > before.peers.len());
    assert!(!after.probes.is_empty(), "instances without fresh reports are not probed");
}

/// A member whose report is no longer relayed by its group's first member is probed directly.
#[rstest]
fn a_member_that_is_no_longer_relayed_is_probed() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let mut groups = tables_with_reports(&CURRENT, now);
    let live = BTreeSet::from(["n0".to_owned()]);
    groups.sync_owners(&live);
    let ids: Vec<String> = groups.instances.keys().cloned().collect();
    for id in &ids[1..] {
        let probed = groups.probe_results.get_mut(id).unwrap();
        probed.requested_at = later;
        let report = (*probed.report).clone();
        groups.health.record(id, ReceivedReport { report, requested_at: later });
    }
    let unrelayed = &ids[0];
    groups.probe_results.get_mut(unrelayed).unwrap().relayed = true;
    let plan = groups.plan_round(later, "n0", &data_centre_name(0), live.len());
    assert!(plan.probes.iter().any(|(id, _)| id == unrelayed));
    assert!(!plan.probes.iter().any(|(id, _)| id == &ids[1]));
}

/// Report of an instance that belongs to a group.
fn report_of(id: &str) -> MemberReport {
    MemberReport {
        instance: id.to_owned(),
        membership: Some(GroupMembership {
            group: "g".to_owned(),
            epoch: 1,
            members: vec![id.to_owned()],
        }),
        fence: 1,
        model: None,
        ready: true,
        leaving: false,
        running: 0,
        member_reports: Vec::new(),
        member_reports_age: Duration::ZERO,
    }
}

/// Other nodes apply the age in a response to all reports that it leaves out as unchanged, so the
/// report of an instance that the node does not own must not raise that age.
#[rstest]
fn reports_of_instances_not_owned_do_not_age_responses() {
    let now = Instant::now();
    let mut groups = Groups { instances: CURRENT.instances(), probe_run: 1, ..Groups::default() };
    let ids: Vec<String> = groups.instances.keys().cloned().collect();
    groups.set_owned(BTreeSet::from([ids[0].clone()]));
    groups.record_report(now, report_of(&ids[1]), now);
    let later = now + Duration::from_secs(1);
    groups.record_report(later, report_of(&ids[0]), later);
    assert!(groups.health.fresh_report(&ids[1], later).is_some());
    let PeerResponse::Reports { changed, age_ms, expired, last_change, run } =
        groups.reports_since(later, ProbeRunId::default(), 0)
    else {
        panic!("expected PeerResponse::Reports");
    };
    assert_eq!((changed.len(), age_ms, expired.len()), (1, 0, 0));
    let again = groups.reports_since(later, run, last_change);
    assert_eq!(again, PeerResponse::Unchanged { age: 0 });
}

/// Other nodes drop the reports that are listed as expired. Unless the next report is sent to them,
/// even if it is unchanged, each of them has to probe the instance itself from then on.
#[rstest]
fn a_report_that_returns_after_expiry_is_sent_again() {
    let now = Instant::now();
    let mut groups = Groups { instances: CURRENT.instances(), probe_run: 1, ..Groups::default() };
    let id = groups.instances.keys().next().cloned().unwrap();
    groups.set_owned(BTreeSet::from([id.clone()]));
    groups.record_report(now, report_of(&id), now);
    let PeerResponse::Reports { run, last_change, .. } =
        groups.reports_since(now, ProbeRunId::default(), 0)
    else {
        panic!("expected PeerResponse::Reports");
    };
    let later = now + Duration::from_millis(1600);
    let response = groups.reports_since(later, run, last_change);
    assert!(
        matches!(&response, PeerResponse::Reports { expired, .. } if expired.len() == 1),
        "{response:?}"
    );
    groups.record_report(later, report_of(&id), now + Duration::from_millis(1400));
    let response = groups.reports_since(later, run, last_change);
    assert!(
        matches!(&response, PeerResponse::Reports { changed, .. } if changed.len() == 1),
        "{response:?}"
    );
}
