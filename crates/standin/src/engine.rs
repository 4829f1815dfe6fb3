//! Stand-in for a model engine: one instance of a replica group.
//!
//! The first member of a group serves its calls. It polls the other members, and marks the group as
//! broken when one does not answer.

use {
    crate::{
        effect_log::EffectLog,
        error::StandinError,
        etag::JsonWithEtag,
        fault::ActiveFaults,
        model_output,
        serve::{SharedState, serve},
    },
    reqwest::Client,
    rocket::{
        Data, State, async_trait,
        data::ByteUnit,
        futures::{StreamExt as _, stream},
        get,
        http::{ContentType, Status},
        post,
        request::{FromRequest, Outcome, Request},
        response::{self, Responder, stream::ByteStream},
        routes,
        serde::json::Json,
    },
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::{Instant, sleep, sleep_until},
    turmerictack_model::ids::{Address, ChunkIndex, Epoch, InstanceId},
    turmerictack_upstream::{
        engine::{GroupMembership, MemberReport, Order},
        http::{
            ATTEMPT_HEADER, EPOCH_HEADER, GROUP_HEADER, MEMBER_REPORTS_AGE_HEADER, RESUME_HEADER,
        },
    },
};

/// Time between polls of the other members.
const MEMBER_POLL_INTERVAL: Duration = Duration::from_millis(150);

/// Time-out for the report of a member, after which the group is broken; also the age up to which a
/// member's report is passed on.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of chunks of a response if the request has no `max_tokens`.
const DEFAULT_CHUNKS: ChunkIndex = 32;

/// A prompt that contains this word makes the instance exit with code 1.
pub const POISON: &str = "poison";

/// Configuration of an engine instance.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Instance name.
    pub instance: InstanceId,
    /// Whether it rejects orders with an old fencing token.
    pub checks_fencing: bool,
    /// Time from a call to its first chunk.
    pub first_token: Duration,
    /// Time between chunks.
    pub between_tokens: Duration,
    /// Time to load a model.
    pub model_load_time: Duration,
}

#[derive(Debug, Default)]
struct MemberState {
    fence: Epoch,
    membership: Option<GroupMembership>,
    addresses: Vec<Address>,
    model: Option<String>,
    ready_at: Option<Instant>,
    is_broken: bool,
    running: u32,
    member_reports: BTreeMap<InstanceId, (MemberReport, Instant)>,
}

/// State of an engine instance.
pub struct EngineInstance {
    config: EngineConfig,
    member: Mutex<MemberState>,
    effects: EffectLog,
    faults: ActiveFaults,
    client: Client,
}

impl EngineInstance {
    fn lock(&self) -> MutexGuard<'_, MemberState> {
        self.member.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_serving(&self, group: &str, epoch: Epoch) -> bool {
        let member = self.lock();
        let is_first_member = member.membership.as_ref().is_some_and(|m| {
            m.group == group && m.epoch == epoch && m.members.first() == Some(&self.config.instance)
        });
        is_first_member
            && !member.is_broken
            && member.ready_at.is_some_and(|at| at <= Instant::now())
    }

    fn report(&self) -> MemberReport {
        let member = self.lock();
        let recent_reports =
            member.member_reports.values().filter(|(_, at)| at.elapsed() <= MEMBER_TIMEOUT);
        MemberReport {
            instance: self.config.instance.clone(),
            membership: member.membership.clone(),
            fence: member.fence,
            model: member.model.clone(),
            ready: !member.is_broken && member.ready_at.is_some_and(|at| at <= Instant::now()),
            leaving: self.faults.get().leaving,
            running: member.running,
            member_reports: recent_reports.clone().map(|(report, _)| report.clone()).collect(),
            member_reports_age: recent_reports
                .map(|(_, at)| at.elapsed())
                .max()
                .unwrap_or_default(),
        }
    }

    fn apply_order(&self, order: Order) -> Status {
        let fence = match &order {
            Order::Assign { fence, .. } | Order::Release { fence } => *fence,
        };
        let mut member = self.lock();
        if self.config.checks_fencing && fence < member.fence {
            return Status::Conflict;
        }
        member.fence = member.fence.max(fence);
        match order {
            Order::Assign { group, members, addresses, model, fence } => {
                let needs_load = member.model.as_ref() != Some(&model);
                let load = if needs_load { self.config.model_load_time } else { Duration::ZERO };
                let epoch = fence.to_string();
                let list = members.join(",");
                let fields = [("group", group.as_str()), ("epoch", &epoch), ("members", &list)];
                self.effects.record("joined", &fields);
                member.ready_at = Some(Instant::now() + load);
                member.model = Some(model);
                member.membership = Some(GroupMembership { group, epoch: fence, members });
                member.addresses = addresses;
                member.member_reports.clear();
                member.is_broken = false;
            }
            Order::Release { fence } => {
                self.effects.record("released", &[("fence", &fence.to_string())]);
                member.membership = None;
                member.addresses.clear();
                member.member_reports.clear();
                member.ready_at = Some(Instant::now());
            }
        }
        Status::Ok
    }
}

/// Polls the other members while this instance is the first member, and marks the group as broken
/// when one does not answer.
async fn watch_members(instance: Arc<EngineInstance>) {
    loop {
        sleep(MEMBER_POLL_INTERVAL).await;
        let (membership, addresses) = {
            let member = instance.lock();
            (member.membership.clone(), member.addresses.clone())
        };
        let Some(membership) = membership else {
            continue;
        };
        if membership.members.first() != Some(&instance.config.instance) {
            continue;
        }
        for address in addresses.iter().skip(1) {
            let requested_at = Instant::now();
            let response = fetch_member_report(&instance.client, address).await;
            let mut member = instance.lock();
            let is_current = member.membership.as_ref() == Some(&membership);
            let has_answered = response.is_some();
            if let Some(report) = response.filter(|_| is_current) {
                member.member_reports.insert(report.instance.clone(), (report, requested_at));
            }
            if !has_answered && is_current && !member.is_broken {
                member.is_broken = true;
                let epoch = membership.epoch.to_string();
                instance.effects.record("group_broken", &[("epoch", &epoch)]);
            }
        }
    }
}

async fn fetch_member_report(client: &Client, address: &Address) -> Option<MemberReport> {
    let request = client.get(format!("http://{address}/member")).timeout(MEMBER_TIMEOUT);
    request.send().await.ok()?.json().await.ok()
}

/// Headers of a call from a node.
struct CallHeaders {
    attempt: u64,
    group: String,
    epoch: Epoch,
    resume_from: ChunkIndex,
}

#[async_trait]
impl<'r> FromRequest<'r> for CallHeaders {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        let text = |name| request.headers().get_one(name).unwrap_or_default().to_owned();
        Outcome::Success(Self {
            attempt: text(ATTEMPT_HEADER).parse().unwrap_or_default(),
            group: text(GROUP_HEADER),
            epoch: text(EPOCH_HEADER).parse().unwrap_or_default(),
            resume_from: text(RESUME_HEADER).parse().unwrap_or_default(),
        })
    }
}

type Events = (ContentType, ByteStream<stream::BoxStream<'static, Vec<u8>>>);

#[post("/v1/chat/completions", data = "<data>")]
async fn chat(
    instance: &State<Arc<EngineInstance>>,
    headers: CallHeaders,
    data: Data<'_>,
) -> Result<Events, Status> {
    let body = data.open(ByteUnit::Mebibyte(16)).into_bytes().await;
    let body = body.ok().filter(|b| b.is_complete()).ok_or(Status::BadRequest)?;
    let request: Value = serde_json::from_slice(&body).map_err(|_| Status::BadRequest)?;
    instance.faults.delay().await;
    if !instance.is_serving(&headers.group, headers.epoch) {
        return Err(Status::Conflict);
    }
    let prompt = request["messages"].to_string();
    let chunks = request["max_tokens"].as_u64().unwrap_or(DEFAULT_CHUNKS);
    let epoch = headers.epoch.to_string();
    let attempt = headers.attempt.to_string();
    let fields = [
        ("group", headers.group.as_str()),
        ("epoch", &epoch),
        ("attempt", &attempt),
        ("prompt", &prompt),
    ];
    instance.effects.record("run", &fields);
    if prompt.contains(POISON) || instance.faults.get().crash_after {
        std::process::exit(1);
    }
    instance.lock().running += 1;
    let chat = ChatStream {
        instance: Arc::clone(instance),
        next_index: headers.resume_from,
        headers,
        prompt,
        chunks,
        finished: false,
        next_at: Instant::now() + instance.config.first_token,
    };
    let events =
        stream::unfold(chat, |mut chat| async { chat.next_event().await.map(|e| (e, chat)) });
    Ok((ContentType::EventStream, ByteStream(events.boxed())))
}

/// Response stream of a call in progress.
struct ChatStream {
    instance: Arc<EngineInstance>,
    headers: CallHeaders,
    prompt: String,
    chunks: ChunkIndex,
    next_index: ChunkIndex,
    finished: bool,
    next_at: Instant,
}

impl ChatStream {
    async fn next_event(&mut self) -> Option<Vec<u8>> {
        if self.finished {
            return None;
        }
        sleep_until(self.next_at).await;
        if !self.instance.is_serving(&self.headers.group, self.headers.epoch) {
            return None;
        }
        let index = self.next_index;
        let choice = if index < self.chunks {
            self.next_index += 1;
            json!({"index": 0, "delta": {"content": model_output::chunk(&self.prompt, index)}})
        } else {
            self.finished = true;
            json!({"index": 0, "delta": {}, "finish_reason": "stop"})
        };
        let is_last = self.finished;
        let event = json!({"attempt": self.headers.attempt, "index": index, "choices": [choice]});
        self.next_at += self.instance.config.between_tokens;
        let end = if is_last { "data: [DONE]\n\n" } else { "" };
        Some(format!("data: {event}\n\n{end}").into_bytes())
    }
}

impl Drop for ChatStream {
    fn drop(&mut self) {
        self.instance.lock().running -= 1;
        let event = if self.finished { "ended" } else { "cancelled" };
        let attempt = self.headers.attempt.to_string();
        self.instance.effects.record(event, &[("attempt", &attempt)]);
    }
}

#[get("/member")]
async fn member(instance: &State<Arc<EngineInstance>>) -> MemberReportResponse {
    instance.faults.delay().await;
    MemberReportResponse(instance.report())
}

/// A health report, with the age of the reports that it relays in a header.
struct MemberReportResponse(MemberReport);

impl<'r> Responder<'r, 'r> for MemberReportResponse {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        let age_ms = self.0.member_reports_age.as_micros().div_ceil(1000).to_string();
        let mut response = JsonWithEtag(self.0).respond_to(request)?;
        response.set_raw_header(MEMBER_REPORTS_AGE_HEADER, age_ms);
        Ok(response)
    }
}

#[post("/orders", data = "<order>")]
async fn orders(instance: &State<Arc<EngineInstance>>, order: Json<Order>) -> Status {
    instance.faults.delay().await;
    instance.apply_order(order.into_inner())
}

/// Serves an engine instance until the process exits.
///
/// # Errors
/// As [`serve`].
pub async fn run(
    address: &str,
    config: EngineConfig,
    shared: SharedState,
) -> Result<(), StandinError> {
    let instance = Arc::new(EngineInstance {
        config,
        member: Mutex::new(MemberState {
            ready_at: Some(Instant::now()),
            ..MemberState::default()
        }),
        effects: shared.effects.clone(),
        faults: shared.faults.clone(),
        client: Client::builder().no_proxy().build()?,
    });
    tokio::spawn(watch_members(Arc::clone(&instance)));
    let routes = routes![chat, member, orders];
    serve(address, shared, |rocket| rocket.manage(instance).mount("/", routes)).await
}
