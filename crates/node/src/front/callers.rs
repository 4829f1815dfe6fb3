//! HTTP listener for callers.

use {
    crate::{
        call::{Call, Output},
        front::{
            completion::{self, CompletionApi, ResponseWriter},
            connections::Listener,
            response::{CallerResponse, Reply},
        },
        shared::{InFlightGuard, Shared},
    },
    rocket::{
        Data, State, async_trait,
        data::ByteUnit,
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
    tokio::{
        sync::mpsc::{self, Receiver},
        time::timeout,
    },
    turmerictack_model::{
        clock::unix_millis,
        digest::sha256_hex,
        ids::{CallerId, IdempotencyKey},
        outcome::{Failure, FailureCode},
        rank::Rank,
    },
    turmerictack_settings::services::ServiceKind,
};

/// Longest time that a request body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest request body in bytes, regardless of the services configuration.
pub const MAX_BODY_BYTES: u64 = 8 << 20;

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

/// Reads a body with limits on its size and on the time that it takes.
///
/// # Errors
/// The reason for the rejection.
pub async fn read_body(data: Data<'_>, limit: u64) -> Result<Vec<u8>, Failure> {
    let limit = ByteUnit::Byte(limit.min(MAX_BODY_BYTES));
    match timeout(BODY_TIMEOUT, data.open(limit).into_bytes()).await {
        Ok(Ok(body)) if body.is_complete() => Ok(body.into_inner()),
        Ok(Ok(_)) => Err(Failure::not_run(FailureCode::TooLarge)),
        Ok(Err(_)) | Err(_) => Err(Failure::not_run(FailureCode::BadRequest)),
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
    let reply = match start_completion(shared, headers, data, api, &id).await {
        Ok(reply) => reply,
        Err(failure) => Reply::Failed(failure),
    };
    CallerResponse { id, reply }
}

async fn start_completion(
    shared: &Arc<Shared>,
    headers: CallerHeaders,
    data: Data<'_>,
    api: CompletionApi,
    id: &str,
) -> Result<Reply, Failure> {
    let checked = headers.check(shared).await?;
    let body = read_body(data, MAX_BODY_BYTES).await?;
    let completion =
        completion::parse(api, &body).map_err(|_| Failure::not_run(FailureCode::BadRequest))?;
    let services = shared.tables.services();
    let service = services.as_ref().and_then(|s| s.service(&completion.service));
    let service = service.filter(|s| s.kind == ServiceKind::Model);
    let service = service.ok_or(Failure::not_run(FailureCode::NotFound))?;
    if body.len() as u64 > service.max_body_bytes {
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
    if completion.stream { stream(rx, writer, guard).await } else { collect(rx, writer).await }
}

/// Builds the call of an authorized caller; a default rank above the caller's highest is lowered
/// to it.
pub fn new_call(
    checked: CheckedHeaders,
    service: String,
    default_rank: Rank,
    payload: crate::call::Payload,
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

async fn collect(mut rx: Receiver<Output>, writer: ResponseWriter) -> Result<Reply, Failure> {
    let mut text = String::new();
    let mut chunks = 0;
    loop {
        match rx.recv().await {
            Some(Output::Text(texts)) => {
                chunks += texts.len() as u64;
                text.extend(texts);
            }
            Some(Output::End(reason)) => {
                return Ok(Reply::Complete {
                    status: 200,
                    content_type: Some("application/json".to_owned()),
                    body: writer.complete(&text, &reason, chunks).into_bytes(),
                });
            }
            Some(Output::Failed(failure)) => return Err(failure),
            Some(Output::Response(_)) | None => {
                return Err(Failure::unknown(FailureCode::UpstreamLost));
            }
        }
    }
}
