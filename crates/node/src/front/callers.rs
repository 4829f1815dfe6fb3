//! The callers' listener.

use {
    crate::{
        call::{Call, Output},
        front::{
            answer::{CallerReply, Reply},
            completion::{self, Form, Writer},
            connections::Listener,
        },
        shared::{Response, Shared},
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

/// Longest time that a body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest body of a completion, in bytes, whatever the services text allows.
pub const MAX_BODY_BYTES: u64 = 8 << 20;

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Outputs of a call that wait for its caller.
pub const OUTPUT_BUFFER: usize = 64;

/// What a caller says in headers.
#[derive(Clone, Debug)]
pub struct CallerHeaders {
    /// The connection that it came by.
    pub peer: Option<SocketAddr>,
    /// Hash of the key.
    pub key_hash: Option<String>,
    /// Rank.
    pub rank: Option<String>,
    /// Idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Deadline in ms.
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
            peer: request.remote(),
            key_hash: bearer.map(sha256_hex),
            rank: text("turmerictack-rank"),
            key: text("idempotency-key"),
            deadline_ms: text("turmerictack-deadline-ms"),
        })
    }
}

/// What is known of a caller once its headers are checked.
#[derive(Clone, Debug)]
pub struct Checked {
    /// Caller.
    pub caller: CallerId,
    /// Its weight.
    pub weight: u32,
    /// Rank, if it names one.
    pub rank: Option<Rank>,
    /// Most urgent rank that it may use.
    pub highest_rank: Rank,
    /// Idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Deadline.
    pub deadline: Option<Duration>,
}

impl CallerHeaders {
    /// Finds the caller and checks what it asks for, on the pool.
    ///
    /// # Errors
    /// The refusal.
    pub async fn check(self, shared: &Arc<Shared>) -> Result<Checked, Failure> {
        let taken = Arc::clone(shared);
        let checked = shared.work(move || self.find(&taken)).await;
        checked.unwrap_or(Err(Failure::not_run(FailureCode::Draining)))
    }

    fn find(self, shared: &Shared) -> Result<Checked, Failure> {
        let refuse = |code| Failure::not_run(code);
        if !shared.tables.takes(Listener::Callers, self.peer) {
            return Err(refuse(FailureCode::BadRequest));
        }
        let services = shared.tables.services().ok_or(refuse(FailureCode::NoUpstream))?;
        let hash = self.key_hash.ok_or(refuse(FailureCode::Unauthorized))?;
        let caller = services.caller_by_key_hash(&hash).ok_or(refuse(FailureCode::Unauthorized))?;
        let rank = self.rank.map(|r| r.parse::<Rank>()).transpose();
        let rank = rank.map_err(|_| refuse(FailureCode::BadRequest))?;
        if rank.is_some_and(|r| r < caller.highest_rank) {
            return Err(refuse(FailureCode::RankNotAllowed));
        }
        if self.key.as_ref().is_some_and(|k| k.is_empty() || k.len() > MAX_KEY_BYTES) {
            return Err(refuse(FailureCode::BadRequest));
        }
        let deadline = self.deadline_ms.map(|d| d.parse::<u64>()).transpose();
        let deadline = deadline.map_err(|_| refuse(FailureCode::BadRequest))?;
        Ok(Checked {
            caller: caller.id.clone(),
            weight: caller.weight,
            rank,
            highest_rank: caller.highest_rank,
            key: self.key,
            deadline: deadline.map(Duration::from_millis),
        })
    }
}

/// Reads a body within a size and a time.
///
/// # Errors
/// The refusal.
pub async fn read_body(data: Data<'_>, limit: u64) -> Result<Vec<u8>, Failure> {
    let limit = ByteUnit::Byte(limit.min(MAX_BODY_BYTES));
    match timeout(BODY_TIMEOUT, data.open(limit).into_bytes()).await {
        Ok(Ok(body)) if body.is_complete() => Ok(body.into_inner()),
        Ok(Ok(_)) => Err(Failure::not_run(FailureCode::TooLarge)),
        Ok(Err(_)) | Err(_) => Err(Failure::not_run(FailureCode::BadRequest)),
    }
}

/// Whether the process is up.
#[get("/healthz")]
pub fn healthz() -> &'static str {
    "ok"
}

/// Whether the node takes new work.
#[get("/readyz")]
pub fn readyz(shared: &State<Arc<Shared>>) -> (Status, &'static str) {
    if shared.is_ready() {
        (Status::Ok, "ready")
    } else {
        (Status::ServiceUnavailable, "not ready")
    }
}

/// The models that callers may name.
#[get("/v1/models")]
pub fn models(shared: &State<Arc<Shared>>) -> Json<Value> {
    let services = shared.tables.services();
    let models = services.iter().flat_map(|s| &s.services);
    let models = models.filter(|s| s.kind == ServiceKind::Model);
    let list: Vec<Value> = models.map(|s| json!({"id": s.id, "object": "model"})).collect();
    Json(json!({"object": "list", "data": list}))
}

/// A chat completion.
#[post("/v1/chat/completions", data = "<data>")]
pub async fn chat(
    shared: &State<Arc<Shared>>,
    headers: CallerHeaders,
    data: Data<'_>,
) -> CallerReply {
    complete(shared, headers, data, Form::Chat).await
}

/// A text completion.
#[post("/v1/completions", data = "<data>")]
pub async fn text(
    shared: &State<Arc<Shared>>,
    headers: CallerHeaders,
    data: Data<'_>,
) -> CallerReply {
    complete(shared, headers, data, Form::Text).await
}

async fn complete(
    shared: &Arc<Shared>,
    headers: CallerHeaders,
    data: Data<'_>,
    form: Form,
) -> CallerReply {
    let id = shared.request_id();
    let reply = match begin(shared, headers, data, form, &id).await {
        Ok(reply) => reply,
        Err(failure) => Reply::Failed(failure),
    };
    CallerReply { id, reply }
}

async fn begin(
    shared: &Arc<Shared>,
    headers: CallerHeaders,
    data: Data<'_>,
    form: Form,
    id: &str,
) -> Result<Reply, Failure> {
    let checked = headers.check(shared).await?;
    let body = read_body(data, MAX_BODY_BYTES).await?;
    let completion =
        completion::read(form, &body).map_err(|_| Failure::not_run(FailureCode::BadRequest))?;
    let services = shared.tables.services();
    let service = services.as_ref().and_then(|s| s.service(&completion.service));
    let service = service.filter(|s| s.kind == ServiceKind::Model);
    let service = service.ok_or(Failure::not_run(FailureCode::NotFound))?;
    if body.len() as u64 > service.max_body_bytes {
        return Err(Failure::not_run(FailureCode::TooLarge));
    }
    let writer = Writer {
        form,
        id: id.to_owned(),
        service: completion.service.clone(),
        created: unix_millis(shared.clock().wall_time()) / 1000,
    };
    let call = call_of(checked, completion.service, service.default_rank, completion.payload);
    let (tx, rx) = mpsc::channel(OUTPUT_BUFFER);
    let response = shared.responses.begin();
    shared.desk.serve(call, tx).await?;
    if completion.stream { stream(rx, writer, response).await } else { whole(rx, writer).await }
}

/// A call by a checked caller; a default rank above the caller's right is lowered to it.
pub fn call_of(
    checked: Checked,
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
    writer: Writer,
    response: Response,
) -> Result<Reply, Failure> {
    let first = match rx.recv().await {
        Some(Output::Failed(failure)) => return Err(failure),
        Some(first) => first,
        None => return Err(Failure::unknown(FailureCode::UpstreamLost)),
    };
    let outgoing = Outgoing { first: Some(first), rx, writer, ended: false, _response: response };
    let rest = rocket::futures::stream::unfold(outgoing, |mut outgoing| async {
        let bytes = outgoing.next().await?;
        Some((bytes, outgoing))
    });
    Ok(Reply::Events(ByteStream(rest.boxed())))
}

/// A streamed answer on its way to its caller.
struct Outgoing {
    first: Option<Output>,
    rx: Receiver<Output>,
    writer: Writer,
    ended: bool,
    _response: Response,
}

impl Outgoing {
    /// Bytes of the next output, as soon as it is there.
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

fn render(output: &Output, writer: &Writer) -> String {
    match output {
        Output::Text(texts) => texts.iter().map(|t| writer.chunk(t)).collect(),
        Output::End(reason) => writer.end(reason),
        Output::Failed(failure) => writer.broken(failure),
        Output::Reply(_) => String::new(),
    }
}

async fn whole(mut rx: Receiver<Output>, writer: Writer) -> Result<Reply, Failure> {
    let mut text = String::new();
    let mut chunks = 0;
    loop {
        match rx.recv().await {
            Some(Output::Text(texts)) => {
                chunks += texts.len() as u64;
                text.extend(texts);
            }
            Some(Output::End(reason)) => {
                return Ok(Reply::Whole {
                    status: 200,
                    content_type: Some("application/json".to_owned()),
                    body: writer.whole(&text, &reason, chunks).into_bytes(),
                });
            }
            Some(Output::Failed(failure)) => return Err(failure),
            Some(Output::Reply(_)) | None => {
                return Err(Failure::unknown(FailureCode::UpstreamLost));
            }
        }
    }
}
