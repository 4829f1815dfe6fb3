//! Measures the time per call of admission and routing decisions, by number of groups and callers.

use {
    std::{
        collections::BTreeMap,
        hint::black_box,
        time::{Duration, Instant},
    },
    turmerictack_admission::{
        fair::FairAdmission,
        policy::{Admission as _, AdmissionRequest, RankLimits},
    },
    turmerictack_model::rank::Rank,
    turmerictack_routing::{
        picker::{AffinityPicker, PickContext, Picker as _},
        upstream_set::{AttemptResult, OpenUpstream, UpstreamSet},
    },
};

const CALLS: u64 = 200_000;

fn main() {
    for (groups, callers) in [(10, 10), (10, 10_000), (100, 10_000), (300, 10_000), (1000, 10_000)]
    {
        let time_per_call = measure(groups, callers);
        println!(
            "groups {groups} callers {callers}: {:.2} µs per call",
            time_per_call.as_secs_f64() * 1e6
        );
    }
}

fn measure(groups: usize, callers: u64) -> Duration {
    let origin = Instant::now();
    let mut upstreams = UpstreamSet::default();
    let open_upstream = OpenUpstream { local: true, requested_at: origin };
    let open_upstreams: BTreeMap<String, OpenUpstream> =
        (0..groups).map(|g| (format!("g{g:04}"), open_upstream)).collect();
    upstreams.set_open(origin, &open_upstreams, 16);
    let mut admission = FairAdmission::default();
    let limits = RankLimits { floor_percent: 25, queue_limit: 512 };
    admission.set_limits(&Rank::ALL.into_iter().map(|r| (r, limits)).collect());
    let mut picker = AffinityPicker::new(1);
    let names: Vec<String> = (0..callers).map(|c| format!("caller-{c}")).collect();
    let capacity = upstreams.capacity();
    let started = Instant::now();
    for call in 0..CALLS {
        let now = origin + Duration::from_micros(call);
        admission.set_capacity(capacity);
        let request = AdmissionRequest {
            call,
            caller: names[(call % callers) as usize].clone(),
            weight: 1,
            rank: Rank::ALL[(call % 3) as usize],
            cost: 320,
            arrived_at: now,
            target_wait: Duration::from_millis(570),
            deadline: now + Duration::from_secs(5),
            preemptible: true,
        };
        black_box(admission.enqueue(now, request));
        for admitted in admission.admit(now) {
            let context = PickContext { prefix_hash: Some(call * 77), tried: &[], suspect: false };
            if let Some(index) = picker.pick(upstreams.upstreams(), &context) {
                upstreams.start_call(index, false);
                let id = upstreams.upstreams()[index].id.clone();
                upstreams.end_call(
                    now,
                    &id,
                    false,
                    AttemptResult::Succeeded { chunk_interval: None },
                );
            }
            admission.finish(now, admitted, 320);
        }
    }
    started.elapsed() / CALLS as u32
}
