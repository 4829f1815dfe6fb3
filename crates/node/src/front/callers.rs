//! HTTP listener for callers.

use {
    crate::{
        call::{Call, Output, Payload},
        front::{
            call_account,
            completion::{self, Completion, CompletionApi, ResponseWriter},
            connections::Listener,
            incoming_body::{IncomingBody, no_room},
            response::{CallerResponse, Reply},
        },
        shared::{InFlightGuard, Shared},
    },
    bytes::Bytes,
    rocket::{
        Data, State, async_trait,
        futures::StreamExt as _,
        get,
        http::Status,
        post,
        request::{FromRequest, Outcome, Request},
        response::stream::ByteStream,
        serde::json::Json,
    },
    serde_json::{Value, json},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::mpsc::{self, Receiver},
    turmerictack_model::{
        clock::unix_millis,
        digest::sha256_hex,
        ids::{CallerId, IdempotencyKey},
        outcome::{Failure, FailureCode},
        rank::Rank,
    },
    turmerictack_serving::client_gate::{ClientGate, HeldRoom, NoRoom},
    turmerictack_settings::services::ServiceKind,
};

/// Largest request body in bytes, regardless of the services configuration.
pub const MAX_BODY_BYTES: u64 = 8 << 20;

/// Bytes by which the request to an engine may be longer than that of the caller.
const COMPLETION_MARGIN_BYTES: usize = 1024;

/// Largest text of a response that is not streamed, in bytes.
const MAX_COLLECTED_BYTES: usize = 8 << 20;

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Outputs of a call that are buffered for its caller.
pub const OUTPUT_BUFFER: usize = 64;

/// Request headers of a caller, before validation.
#[derive(Clone, Debug)]
pub struct CallerHeaders {
    /// Remote address as the HTTP library sees it, which identifies the connection.
    pub remote: Option<SocketAddr>,
    /// SHA-256 digest of the API key.
    pub key_hash: Option<String>,
    /// Requested rank.
    pub rank: Option<String>,
    /// Idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Deadline in milliseconds.
    pub deadline_ms: Option<String>,
    /// Announced size of the body, in bytes.
    pub content_length: Option<u64>,
}

#[async_trait]
impl<'r> FromRequest<'r> for CallerHeaders {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        let text = |name| request.headers().get_one(name).map(str::to_owned);
        let bearer = request.headers().get_one("authorization");
        let bearer = bearer.and_then(|v| v.strip_prefix("Bearer "));
        Outcome::Success(Self {
            remote: request.remote(),
            key_hash: bearer.map(sha256_hex),
            rank: text("turmerictack-rank"),
            key: text("idempotency-key"),
            deadline_ms: text("turmerictack-deadline-ms"),
            content_length: text("content-length").and_then(|v| v.parse().ok()),
        })
    }
}

/// Identity and options of an authorized caller.
#[derive(Clone, Debug)]
pub struct CheckedHeaders {
    /// Id of the caller.
    pub caller: CallerId,
    /// Weight of the caller in fair sharing.
    pub weight: u32,
    /// Requested rank, if any.
    pub rank: Option<Rank>,
    /// Most urgent rank that the caller may use.
    pub highest_rank: Rank,
    /// Idempotency key, if any.
    pub key: Option<IdempotencyKey>,
    /// Longest wait for the response to begin, if given.
    pub deadline: Option<Duration>,
}

impl CallerHeaders {
    /// Authorizes the caller and validates its headers, on the pool.
    ///
    /// # Errors
    /// The reason for the rejection.
    pub async fn check(self, shared: &Arc<Shared>) -> Result<CheckedHeaders, Failure> {
        let job_shared = Arc::clone(shared);
        let checked = shared.run_job(move || self.validate(&job_shared)).await;
        checked.unwrap_or(Err(Failure::not_run(FailureCode::Draining)))
    }

    fn validate(self, shared: &Shared) -> Result<CheckedHeaders, Failure> {
        let reject = |code| Failure::not_run(code);
        if !shared.tables.take_request(Listener::Callers, self.remote) {
            return Err(reject(FailureCode::BadRequest));
        }
        let services = shared.tables.services().ok_or(reject(FailureCode::NoUpstream))?;
        let hash = self.key_hash.ok_or(reject(FailureCode::Unauthorized))?;
        let caller = services.caller_by_key_hash(&hash).ok_or(reject(FailureCode::Unauthorized))?;
        let rank = self.rank.map(|r| r.parse::<Rank>()).transpose();
        let rank = rank.map_err(|_| reject(FailureCode::BadRequest))?;
        if rank.is_some_and(|r| r < caller.highest_rank) {
            return Err(reject(FailureCode::RankNotAllowed));
        }
        if self.key.as_ref().is_some_and(|k| k.is_empty() || k.len() > MAX_KEY_BYTES) {
            return Err(reject(FailureCode::BadRequest));
        }
        let deadline = self.deadline_ms.map(|d| d.parse::<u64>()).transpose();
        let deadline = deadline.map_err(|_| reject(FailureCode::BadRequest))?;
        Ok(CheckedHeaders {
            caller: caller.id.clone(),
            weight: caller.weight,
            rank,
            highest_rank: caller.highest_rank,
            key: self.key,
            deadline: deadline.map(Duration::from_millis),
        })
    }
}

/// Liveness check.
#[get("/healthz")]
pub fn healthz() -> &'static str {
    "ok"
}

/// Readiness check: whether the node accepts new calls.
#[get("/readyz")]
pub fn readyz(shared: &State<Arc<Shared>>) -> (Status, &'static str) {
    if shared.is_ready() {
        (Status::Ok, "ready")
    } else {
        (Status::ServiceUnavailable, "not ready")
    }
}

/// Lists the models of the services configuration.
#[get("/v1/models")]
pub fn models(shared: &State<Arc<Shared>>) -> Json<Value> {
    let services = shared.tables.services();
    let models = services.iter().flat_map(|s| &s.services);
    let models = models.filter(|s| s.kind == ServiceKind::Model);
    let list: Vec<Value> = models.map(|s| json!({"id": s.id, "object": "model"})).collect();
    Json(json!({"object": "list", "data": list}))
}

/// Chat completion.
#[post("/v1/chat/completions", data = "<data>")]
pub async fn chat(
    shared: &State<Arc<Shared>>,
    headers: CallerHeaders,
    data: Data<'_>,
) -> CallerResponse {
    handle_completion(shared, headers, data, CompletionApi::Chat).await
}

/// Text completion.
#[post("/v1/completions", data = "<data>")]
pub async fn text(
    shared: &State<Arc<Shared>>,
    headers: CallerHeaders,
    data: Data<'_>,
) -> CallerResponse {
    handle_completion(shared, headers, data, CompletionApi::Text).await
}

async fn handle_completion(
    shared: &Arc<Shared>,
    headers: CallerHeaders,
    data: Data<'_>,
    api: CompletionApi,
) -> CallerResponse {
    let id = shared.request_id();
    let remote = headers.remote;
    let (request, begun) = call_account::begin(shared, remote).await;
    let started = match begun {
        Ok(()) => start_completion(shared, headers, data, api, &id).await,
        Err(failure) => Err(failure),
    };
    let reply = started.unwrap_or_else(Reply::Failed);
    call_account::record_reply(shared, remote, &reply);
    CallerResponse { id, reply, request }
}

async fn start_completion(
    shared: &Arc<Shared>,
    headers: CallerHeaders,
    data: Data<'_>,
    api: CompletionApi,
    id: &str,
) -> Result<Reply, Failure> {
    let (remote, announced) = (headers.remote, headers.content_length);
    let checked = headers.check(shared).await?;
    let account = shared.tables.request_account(Listener::Callers, remote);
    let body = IncomingBody { data, announced, account };
    let body = body.read(MAX_BODY_BYTES, &shared.callers).await?;
    call_account::reserve_response(shared, remote).await?;
    let body_bytes = body.len() as u64;
    let completion = parse_completion(api, body, &shared.callers).await?;
    let services = shared.tables.services();
    let service = services.as_ref().and_then(|s| s.service(&completion.service));
    let service = service.filter(|s| s.kind == ServiceKind::Model);
    let service = service.ok_or(Failure::not_run(FailureCode::NotFound))?;
    if body_bytes > service.max_body_bytes {
        return Err(Failure::not_run(FailureCode::TooLarge));
    }
    let writer = ResponseWriter {
        api,
        id: id.to_owned(),
        service: completion.service.clone(),
        created: unix_millis(shared.clock().wall_time()) / 1000,
    };
    let call = new_call(checked, completion.service, service.default_rank, completion.payload);
    let (tx, rx) = mpsc::channel(OUTPUT_BUFFER);
    let guard = shared.responses.begin();
    shared.proxy.serve(call, tx).await?;
    if completion.stream {
        stream(rx, writer, guard).await
    } else {
        collect(rx, writer, shared.callers.open_response()).await
    }
}

/// Parses a completion request, for whose copy there has to be room.
async fn parse_completion(
    api: CompletionApi,
    body: Bytes,
    gate: &Arc<ClientGate>,
) -> Result<Completion, Failure> {
    let copy = gate.open_response();
    copy.grow(body.len() + COMPLETION_MARGIN_BYTES).await.map_err(|NoRoom| no_room(gate))?;
    let mut completion =
        completion::parse(api, &body).map_err(|_| Failure::not_run(FailureCode::BadRequest))?;
    if let Payload::Model { body, .. } = &mut completion.payload {
        *body = copy.complete(std::mem::take(body).into()).map_err(|NoRoom| no_room(gate))?;
    }
    Ok(completion)
}

/// Builds the call of an authorized caller; a default rank above the caller's highest is lowered
/// to it.
pub fn new_call(
    checked: CheckedHeaders,
    service: String,
    default_rank: Rank,
    payload: Payload,
) -> Call {
    let rank = checked.rank.unwrap_or(default_rank.max(checked.highest_rank));
    Call {
        caller: checked.caller,
        weight: checked.weight,
        service,
        rank: Some(rank),
        key: checked.key,
        deadline: checked.deadline,
        payload,
    }
}

async fn stream(
    mut rx: Receiver<Output>,
    writer: ResponseWriter,
    guard: InFlightGuard,
) -> Result<Reply, Failure> {
    let first = match rx.recv().await {
        Some(Output::Failed(failure)) => return Err(failure),
        Some(first) => first,
        None => return Err(Failure::unknown(FailureCode::UpstreamLost)),
    };
    let events = EventStream { first: Some(first), rx, writer, ended: false, _guard: guard };
    let rest = rocket::futures::stream::unfold(events, |mut events| async {
        let bytes = events.next().await?;
        Some((bytes, events))
    });
    Ok(Reply::Events(ByteStream(rest.boxed())))
}

/// Response that is streamed to its caller as server-sent events.
struct EventStream {
    first: Option<Output>,
    rx: Receiver<Output>,
    writer: ResponseWriter,
    ended: bool,
    _guard: InFlightGuard,
}

impl EventStream {
    /// Waits for the next output and returns its bytes; `None` after the last one.
    async fn next(&mut self) -> Option<Vec<u8>> {
        if self.ended {
            return None;
        }
        let output = match self.first.take() {
            Some(first) => first,
            None => {
                let lost = Output::Failed(Failure::unknown(FailureCode::UpstreamLost));
                self.rx.recv().await.unwrap_or(lost)
            }
        };
        self.ended = !matches!(output, Output::Text(_));
        Some(render(&output, &self.writer).into_bytes())
    }
}

fn render(output: &Output, writer: &ResponseWriter) -> String {
    match output {
        Output::Text(texts) => texts.iter().map(|t| writer.chunk(t)).collect(),
        Output::End(reason) => writer.end(reason),
        Output::Failed(failure) => writer.error(failure),
        Output::Response(_) => String::new(),
    }
}

/// Collects a response into one, for which there has to be room.
async fn collect(
    mut rx: Receiver<Output>,
    writer: ResponseWriter,
    room: HeldRoom,
) -> Result<Reply, Failure> {
    let lost = || Failure::unknown(FailureCode::UpstreamLost);
    let mut text = String::new();
    let mut chunks = 0;
    loop {
        match rx.recv().await {
            Some(Output::Text(texts)) => {
                chunks += texts.len() as u64;
                text.extend(texts);
                if text.len() > MAX_COLLECTED_BYTES {
                    return Err(Failure::unknown(FailureCode::UpstreamFailed));
                }
                // The response holds the text once more.
                room.grow(2 * text.capacity()).await.map_err(|NoRoom| lost())?;
            }
            Some(Output::End(reason)) => {
                let response = writer.complete(&text, &reason, chunks).into_bytes();
                return Ok(Reply::Complete {
                    status: 200,
                    content_type: Some("application/json".to_owned()),
                    body: room.complete(response).map_err(|NoRoom| lost())?,
                });
            }
            Some(Output::Failed(failure)) => return Err(failure),
            Some(Output::Response(_)) | None => return Err(lost()),
        }
    }
}
