//! Which prompts are quarantined after crashes of engines.

use {
    rand::{RngExt as _, SeedableRng as _},
    rand_pcg::Pcg64Mcg,
    rstest::rstest,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
    turmerictack_model::ids::{PromptPartId, PromptParts},
    turmerictack_routing::crash_quarantine::{CrashQuarantine, CrashUpdates},
};

const DEADLY: PromptPartId = 0xdead;
const COMPANION: PromptPartId = 0xc0;

fn parts(ids: &[PromptPartId]) -> PromptParts {
    ids.iter().copied().collect()
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// A quarantine after one crash per second on each of these prompts.
fn after_crashes(start: Instant, prompts: &[&[PromptPartId]]) -> CrashQuarantine {
    let mut quarantine = CrashQuarantine::for_prompts();
    for (at, prompt) in prompts.iter().enumerate() {
        quarantine.record_crash(start + seconds(at as f64), at as u64, &parts(prompt));
    }
    quarantine
}

#[rstest]
fn part_common_to_three_crashes_is_quarantined_in_any_prompt() {
    let start = Instant::now();
    let quarantine = after_crashes(start, &[&[1, DEADLY], &[2, DEADLY], &[3, DEADLY]]);
    assert!(quarantine.is_quarantined(&parts(&[9, DEADLY])));
    assert!(!quarantine.is_quarantined(&parts(&[1])));
    assert!(
        !after_crashes(start, &[&[1, DEADLY], &[2, DEADLY]]).is_quarantined(&parts(&[9, DEADLY]))
    );
}

#[rstest]
fn companion_of_a_crashing_part_is_not_quarantined_without_it() {
    let start = Instant::now();
    let deadly = [COMPANION, DEADLY];
    let mut quarantine = after_crashes(start, &[&deadly, &deadly, &deadly]);
    assert!(quarantine.is_quarantined(&parts(&deadly)));
    assert!(!quarantine.is_quarantined(&parts(&[COMPANION, 7])));
    quarantine.record_answer(start + seconds(3.0), &parts(&[COMPANION, 7]));
    assert!(quarantine.is_quarantined(&parts(&[8, DEADLY])));
}

#[rstest]
fn instances_that_crash_at_the_same_time_condemn_no_prompt() {
    let start = Instant::now();
    let mut quarantine = CrashQuarantine::for_prompts();
    for crash in 0..10 {
        quarantine.record_crash(start + seconds(0.02) * crash as u32, crash, &parts(&[1]));
    }
    assert!(!quarantine.is_quarantined(&parts(&[1])));
}

#[rstest]
fn part_that_is_answered_between_crashes_is_not_quarantined() {
    let start = Instant::now();
    let mut quarantine = CrashQuarantine::for_prompts();
    for crash in 0..10 {
        let at = start + seconds(crash as f64);
        quarantine.record_crash(at, crash, &parts(&[1]));
        quarantine.record_answer(at + seconds(0.4), &parts(&[1]));
    }
    assert!(!quarantine.is_quarantined(&parts(&[1])));
}

#[rstest]
fn one_crash_that_several_nodes_report_counts_once() {
    let start = Instant::now();
    let mut quarantine = CrashQuarantine::for_prompts();
    for report in 0..10 {
        quarantine.record_crash(start + seconds(report as f64), 1, &parts(&[report, DEADLY]));
    }
    assert!(!quarantine.is_quarantined(&parts(&[DEADLY])));
}

#[rstest]
fn node_that_restarts_learns_of_the_quarantine_from_others() {
    let start = Instant::now();
    let mut other = after_crashes(start, &[&[1, DEADLY], &[2, DEADLY], &[3, DEADLY]]);
    for round in 0..20 {
        other.next_updates(start + seconds(3.0 + 0.05 * f64::from(round)));
    }
    let mut restarted = CrashQuarantine::for_prompts();
    for round in 0..80 {
        let now = start + seconds(5.0 + 0.05 * f64::from(round));
        restarted.apply(now, other.next_updates(now));
    }
    assert!(restarted.is_quarantined(&parts(&[9, DEADLY])));
}

#[rstest]
fn quarantine_ends_when_its_crashes_have_expired_on_all_nodes() {
    let start = Instant::now();
    let crashes: [&[PromptPartId]; 3] = [&[1, DEADLY], &[2, DEADLY], &[3, DEADLY]];
    let mut nodes = [after_crashes(start, &crashes), CrashQuarantine::for_prompts()];
    let mut now = start + seconds(3.0);
    while now < start + seconds(620.0) {
        now += seconds(1.0);
        for from in 0..2 {
            let updates = nodes[from].next_updates(now);
            nodes[1 - from].expire(now);
            nodes[1 - from].apply(now, updates);
        }
    }
    assert!(nodes.iter().all(|node| !node.is_quarantined(&parts(&[DEADLY]))));
}

#[rstest]
fn crashes_without_a_common_part_do_not_displace_the_evidence_of_a_quarantine() {
    let start = Instant::now();
    let mut quarantine = after_crashes(start, &[&[1, DEADLY], &[2, DEADLY], &[3, DEADLY]]);
    for crash in 0..200 {
        let at = start + seconds(4.0 + 0.01 * crash as f64);
        quarantine.record_crash(at, 1_000 + crash, &parts(&[10_000 + crash]));
    }
    assert!(quarantine.is_quarantined(&parts(&[DEADLY])));
}

const NODES: usize = 9;
const SUBJECTS: u64 = 60;
const ENGINES: usize = 10;
const STEP: Duration = Duration::from_millis(10);
const GOSSIP_INTERVAL: Duration = Duration::from_millis(50);
/// Time from a send to the answer or the crash.
const ANSWER_TIME: Duration = Duration::from_millis(300);
const RESTART_TIME: Duration = Duration::from_millis(3_500);
/// Time after the fifth crash from which few deadly prompts may still be sent.
const LEARNING_TIME: Duration = Duration::from_secs(3);
/// Deadly prompts that may be sent after the learning time (`BUDGET` of the platform's rules).
const MAX_LATE_DEADLY_SENDS: usize = 3;

/// A prompt in flight.
struct Sent {
    node: usize,
    engine: usize,
    answer_at: Instant,
    parts: PromptParts,
}

#[derive(Default)]
struct Outcome {
    late_deadly_sends: usize,
    sound_prompts: usize,
    sound_rejections: usize,
}

/// Nodes and engines in virtual time; a share of the prompts crashes its engine and, with it, the
/// other prompts there.
fn simulate(
    seed: u64,
    deadly_share: f64,
    prompts_per_second: f64,
    fixed_companion: bool,
) -> Outcome {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let start = Instant::now();
    let mut nodes: Vec<CrashQuarantine> =
        (0..NODES).map(|_| CrashQuarantine::for_prompts()).collect();
    let mut down_until = [start; ENGINES];
    let mut in_flight: VecDeque<Sent> = VecDeque::new();
    let mut crashes: Vec<Instant> = Vec::new();
    let mut outcome = Outcome::default();
    let mut next_gossip = start;
    let mut now = start;
    while now < start + seconds(30.0) {
        now += STEP;
        while in_flight.front().is_some_and(|s| now >= s.answer_at) {
            let Some(sent) = in_flight.pop_front() else { break };
            if !sent.parts.contains(&DEADLY) {
                nodes[sent.node].record_answer(now, &sent.parts);
                continue;
            }
            let crash = crashes.len() as u64;
            crashes.push(now);
            down_until[sent.engine] = now + RESTART_TIME;
            nodes[sent.node].record_crash(now, crash, &sent.parts);
            in_flight.retain(|other| {
                let is_lost = other.engine == sent.engine;
                if is_lost {
                    nodes[other.node].record_crash(now, crash, &other.parts);
                }
                !is_lost
            });
        }
        if now >= next_gossip {
            next_gossip += GOSSIP_INTERVAL;
            let updates: Vec<CrashUpdates> =
                nodes.iter_mut().map(|node| node.next_updates(now)).collect();
            for (to, node) in nodes.iter_mut().enumerate() {
                for (from, updates) in updates.iter().enumerate() {
                    if from != to {
                        node.apply(now, updates.clone());
                    }
                }
            }
        }
        if !rng.random_bool(prompts_per_second * STEP.as_secs_f64()) {
            continue;
        }
        let is_deadly = rng.random_bool(deadly_share);
        let subject = rng.random_range(0..SUBJECTS);
        let prompt = match (is_deadly, fixed_companion) {
            (true, true) => parts(&[0, DEADLY]),
            (true, false) => parts(&[subject, DEADLY]),
            (false, _) => parts(&[subject]),
        };
        let node = rng.random_range(0..NODES);
        let is_rejected = nodes[node].is_quarantined(&prompt);
        outcome.sound_prompts += usize::from(!is_deadly);
        outcome.sound_rejections += usize::from(!is_deadly && is_rejected);
        let up: Vec<usize> = (0..ENGINES).filter(|e| now >= down_until[*e]).collect();
        if is_rejected || up.is_empty() {
            continue;
        }
        let has_learned = crashes.get(4).is_some_and(|fifth| now >= *fifth + LEARNING_TIME);
        outcome.late_deadly_sends += usize::from(is_deadly && has_learned);
        let engine = up[rng.random_range(0..up.len())];
        in_flight.push_back(Sent { node, engine, answer_at: now + ANSWER_TIME, parts: prompt });
    }
    outcome
}

#[rstest]
fn prompts_that_crash_engines_stop_while_sound_ones_with_their_parts_continue(
    #[values(0.01, 0.05, 0.3)] deadly_share: f64,
    #[values(8.0, 22.0, 80.0)] prompts_per_second: f64,
    #[values(false, true)] fixed_companion: bool,
) {
    for seed in 0..50 {
        let outcome = simulate(seed, deadly_share, prompts_per_second, fixed_companion);
        assert!(
            outcome.late_deadly_sends <= MAX_LATE_DEADLY_SENDS,
            "seed {seed}: {} deadly prompts sent late",
            outcome.late_deadly_sends
        );
        assert!(
            outcome.sound_rejections * 20 <= outcome.sound_prompts,
            "seed {seed}: {} of {} sound prompts rejected",
            outcome.sound_rejections,
            outcome.sound_prompts
        );
    }
}
