//! What a node probes and whom it asks, at the size of today and at the size to design for.

use {
    rstest::rstest,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    turmerictack_groups::evidence::{Claim, Evidence, Report},
    turmerictack_node::tables::{Groups, ProbeResult},
    turmerictack_platform::instance::{Instance, InstanceState},
    turmerictack_protocol::message::{PeerResponse, ProbeRunId},
    turmerictack_upstream::engine::{GroupMembership, MemberReport},
};

/// Members of a group.
const GROUP: usize = 4;

/// A fleet of engines in fabric domains of equal size, spread over data centres.
struct Site {
    nodes: usize,
    centres: usize,
    domains: usize,
    domain_size: usize,
    /// Bytes a second both ways of the heartbeats, at most, as `--test member_histories` checks.
    heartbeat_bytes: f64,
}

/// Today: 9 nodes and 60 workers in three data centres.
const TODAY: Site =
    Site { nodes: 9, centres: 3, domains: 6, domain_size: 10, heartbeat_bytes: 380.0 };

/// The size to design for: 380 nodes and 1,200 workers in six data centres.
const PLANNED: Site =
    Site { nodes: 380, centres: 6, domains: 75, domain_size: 16, heartbeat_bytes: 550.0 };

impl Site {
    fn instances(&self) -> BTreeMap<String, Instance> {
        let all = (0..self.domains).flat_map(|d| (0..self.domain_size).map(move |i| (d, i)));
        all.map(|(domain, i)| {
            let id = format!("eng-{domain:03}-{i:02}");
            let instance = Instance {
                id: id.clone(),
                address: format!("10.0.{domain}.{i}:8000"),
                pool: "assistant".to_owned(),
                data_centre: centre(domain % self.centres),
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

fn centre(number: usize) -> String {
    format!("centre-{number}")
}

/// Tables of a node that heard of every instance at this time; groups of four are whole.
fn heard(site: &Site, at: Instant) -> Groups {
    let mut groups = Groups { instances: site.instances(), ..Groups::default() };
    let ids: Vec<String> = groups.instances.keys().cloned().collect();
    for domain in ids.chunks(site.domain_size) {
        for (n, members) in domain.chunks(GROUP).enumerate() {
            let whole = members.len() == GROUP;
            let claim = Claim { group: format!("g{n}"), epoch: 1, members: members.to_vec() };
            for (place, id) in members.iter().enumerate() {
                let claim = whole.then(|| claim.clone());
                let report = Report { claim, ready: true, ..Report::default() };
                let relayed = whole && place > 0;
                let probed =
                    ProbeResult { change: 1, report: report.clone().into(), asked_at: at, relayed };
                groups.probe_results.insert(id.clone(), probed);
                groups.health.record(id, Evidence { report, asked_at: at });
            }
        }
    }
    groups
}

/// Time between rounds, in s.
const ROUND: f64 = 0.4;

/// Rounds that are looked at.
const ROUNDS: u32 = 12;

/// Bytes both ways of a probe that finds nothing new, at most, as `--test reports` checks.
const PROBE_BYTES: f64 = 232.0;

/// Bytes both ways of a question to a node that finds nothing new, at most, as `--test link` of
/// the protocol checks.
const QUESTION_BYTES: f64 = 32.0;

/// Bytes that each node spends on control in a second, both ways, when nothing happens.
fn spent(site: &Site) -> BTreeMap<String, f64> {
    let start = Instant::now();
    let mut groups = heard(site, start);
    let live = site.live();
    groups.sync_owners(&live);
    let mut spent: BTreeMap<String, f64> = live.iter().map(|n| (n.clone(), 0.0)).collect();
    for round_number in 1..=ROUNDS {
        let now = start + Duration::from_secs_f64(ROUND) * round_number;
        let mut probed = BTreeSet::new();
        for (n, me) in live.iter().enumerate() {
            let round = groups.plan_round(now, me, &centre(n % site.centres), live.len());
            let asking = round.peers.len() as f64 * QUESTION_BYTES;
            *spent.entry(me.clone()).or_default() +=
                round.probes.len() as f64 * PROBE_BYTES + asking;
            for peer in &round.peers {
                *spent.entry(peer.clone()).or_default() += QUESTION_BYTES;
            }
            probed.extend(round.probes.into_iter().map(|(id, _)| id));
        }
        answer(&mut groups, &probed, now);
    }
    let seconds = ROUND * f64::from(ROUNDS);
    spent.into_iter().map(|(n, bytes)| (n, bytes / seconds + site.heartbeat_bytes)).collect()
}

/// Every instance that was asked answers at once, and passes on what its group told it.
fn answer(groups: &mut Groups, asked: &BTreeSet<String>, now: Instant) {
    for (id, probed) in &mut groups.probe_results {
        if !asked.contains(id) && !probed.relayed {
            continue;
        }
        probed.asked_at = now;
        let report = (*probed.report).clone();
        groups.health.record(id, Evidence { report, asked_at: now });
    }
}

/// Target: 3 KB a second for control, on the mean node and on the one with the most to do.
#[rstest]
#[case::today(&TODAY)]
#[case::planned(&PLANNED)]
fn control_costs_a_node_3_kilobytes_a_second(
    #[case] site: &Site,
    #[values(false, true)] most: bool,
) {
    let spent = spent(site);
    let mean = spent.values().sum::<f64>() / spent.len() as f64;
    let peak = spent.values().copied().fold(0.0, f64::max);
    println!("{} nodes: {mean:.0} B/s on the mean, {peak:.0} B/s at most", site.nodes);
    assert!(if most { peak } else { mean } <= 3000.0);
}

#[rstest]
fn each_instance_is_probed_or_passed_on_by_one_node_and_followed_by_several() {
    let now = Instant::now();
    let mut groups = heard(&PLANNED, now);
    let live = PLANNED.live();
    groups.sync_owners(&live);
    let mut owners: BTreeMap<String, usize> = BTreeMap::new();
    let mut rounds = Vec::new();
    for (n, me) in live.iter().enumerate() {
        let round = groups.plan_round(now, me, &centre(n % PLANNED.centres), live.len());
        for id in &round.owned {
            *owners.entry(id.clone()).or_default() += 1;
        }
        rounds.push(round);
    }
    assert_eq!(owners.len(), groups.instances.len());
    assert!(owners.values().all(|count| *count == 1));
    assert!(rounds.iter().all(|r| r.probes.iter().all(|(id, _)| r.owned.contains(id))));
}

/// A node whose own data centre is dark follows others, and still looks for its own.
#[rstest]
fn silence_near_makes_a_node_follow_what_is_far() {
    let now = Instant::now();
    let later = now + Duration::from_secs(10);
    let mut groups = heard(&PLANNED, now);
    let live = PLANNED.live();
    groups.sync_owners(&live);
    let here = centre(0);
    let near = groups.plan_round(now, "n0", &here, live.len());
    let far: Vec<String> =
        groups.instances.values().filter(|i| i.data_centre != here).map(|i| i.id.clone()).collect();
    for id in far {
        let report = groups.health.get(&id).map(|e| e.report.clone()).unwrap_or_default();
        groups.health.record(&id, Evidence { report, asked_at: later });
    }
    let dark = groups.plan_round(later, "n0", &here, live.len());
    assert!(dark.peers.is_superset(&near.peers));
    assert!(dark.peers.len() > near.peers.len());
    assert!(!dark.probes.is_empty(), "what is expired is not looked for");
}

/// A member that its group's first one does not hear of any more is asked itself.
#[rstest]
fn a_member_that_is_passed_on_no_more_is_probed() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let mut groups = heard(&TODAY, now);
    let live = BTreeSet::from(["n0".to_owned()]);
    groups.sync_owners(&live);
    let ids: Vec<String> = groups.instances.keys().cloned().collect();
    for id in &ids[1..] {
        let probed = groups.probe_results.get_mut(id).unwrap();
        probed.asked_at = later;
        let report = (*probed.report).clone();
        groups.health.record(id, Evidence { report, asked_at: later });
    }
    let expired = &ids[0];
    groups.probe_results.get_mut(expired).unwrap().relayed = true;
    let round = groups.plan_round(later, "n0", &centre(0), live.len());
    assert!(round.probes.iter().any(|(id, _)| id == expired));
    assert!(!round.probes.iter().any(|(id, _)| id == &ids[1]));
}

/// What an instance says that belongs to a group.
fn says(id: &str) -> MemberReport {
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

/// Other nodes take the oldest age that an answer states for all that it tells of.
#[rstest]
fn what_a_node_has_no_charge_of_does_not_age_its_answers() {
    let now = Instant::now();
    let mut groups = Groups { instances: TODAY.instances(), probe_run: 1, ..Groups::default() };
    let ids: Vec<String> = groups.instances.keys().cloned().collect();
    groups.set_owned(BTreeSet::from([ids[0].clone()]));
    groups.record_answer(now, says(&ids[1]), now);
    let later = now + Duration::from_secs(1);
    groups.record_answer(later, says(&ids[0]), later);
    assert!(groups.health.fresh(&ids[1], later).is_some());
    let PeerResponse::Reports { changed, age_ms, expired, last_change, run } =
        groups.reports_since(later, ProbeRunId::default(), 0)
    else {
        panic!("evidence is answered with evidence");
    };
    assert_eq!((changed.len(), age_ms, expired.len()), (1, 0, 0));
    let again = groups.reports_since(later, run, last_change);
    assert_eq!(again, PeerResponse::Unchanged { age: 0 });
}

/// Other nodes forget what they were told is expired; they had to probe it themselves from then on.
#[rstest]
fn an_instance_that_speaks_again_is_told_of_again() {
    let now = Instant::now();
    let mut groups = Groups { instances: TODAY.instances(), probe_run: 1, ..Groups::default() };
    let id = groups.instances.keys().next().cloned().unwrap();
    groups.set_owned(BTreeSet::from([id.clone()]));
    groups.record_answer(now, says(&id), now);
    let PeerResponse::Reports { run, last_change, .. } =
        groups.reports_since(now, ProbeRunId::default(), 0)
    else {
        panic!("evidence is answered with evidence");
    };
    let later = now + Duration::from_millis(1600);
    let told = groups.reports_since(later, run, last_change);
    assert!(
        matches!(&told, PeerResponse::Reports { expired, .. } if expired.len() == 1),
        "{told:?}"
    );
    groups.record_answer(later, says(&id), now + Duration::from_millis(1400));
    let told = groups.reports_since(later, run, last_change);
    assert!(
        matches!(&told, PeerResponse::Reports { changed, .. } if changed.len() == 1),
        "{told:?}"
    );
}
