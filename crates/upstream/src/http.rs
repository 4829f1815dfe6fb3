//! HTTP client for model engines and plain services.
//!
//! Engines serve chat and text completions as server-sent events; the attempt, group, epoch and
//! priority are sent in headers. `GET /member` returns the report of an instance, and
//! `POST /orders` gives it an order.

use {
    crate::{
        engine::{Chunk, Engine, GenerateRequest, MemberReport, Order, ResponseStream, StreamItem},
        error::UpstreamError,
        gate::SendGate,
        response_space::{ResponseBuffer, ResponseSpace, UncountedSpace},
        service::{PlainCall, PlainResponse, PlainService},
    },
    async_trait::async_trait,
    bytes::{Bytes, BytesMut},
    futures::stream,
    reqwest::{Body, Client, Method, RequestBuilder, Response, StatusCode, header},
    serde::Deserialize,
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    turmerictack_model::{
        ids::{Address, AttemptId, ChunkIndex},
        rank::Rank,
    },
};

/// Header with the attempt id of a call; the upstream echoes it.
pub const ATTEMPT_HEADER: &str = "turmerictack-attempt";
/// Header with the group that must serve a call.
pub const GROUP_HEADER: &str = "turmerictack-group";
/// Header with the epoch of the group.
pub const EPOCH_HEADER: &str = "turmerictack-epoch";
/// Header with the priority of a call; 0 is the highest.
pub const PRIORITY_HEADER: &str = "turmerictack-priority";
/// Header with the index of the first chunk to generate.
pub const RESUME_HEADER: &str = "turmerictack-resume-from";
/// Response header with the age in ms of the oldest report that an instance relays.
pub const MEMBER_REPORTS_AGE_HEADER: &str = "turmerictack-heard-ms";
/// Header with the idempotency key of a call.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Limit on the cached reports; the cache is cleared when it is reached.
const MAX_CACHED_REPORTS: usize = 8192;

/// Largest line of an event stream in bytes.
const MAX_LINE_BYTES: usize = 256 * 1024;

/// Largest response body of a plain service in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// HTTP client for engines and plain services.
#[derive(Clone, Debug)]
pub struct HttpUpstreams {
    pooled_client: Client,
    unpooled_client: Client,
    response_space: Arc<dyn ResponseSpace>,
    reports: Arc<Mutex<BTreeMap<Address, CachedReport>>>,
}

/// Report of an instance with its entity tag.
#[derive(Clone, Debug)]
struct CachedReport {
    tag: String,
    report: MemberReport,
}

impl HttpUpstreams {
    /// Creates the client; connections are opened on demand.
    ///
    /// A connection is closed if sent bytes stay unacknowledged for longer than `user_timeout`
    /// (`TCP_USER_TIMEOUT`), so that a released body is not delivered after that time.
    ///
    /// # Errors
    /// [`UpstreamError::Client`].
    pub fn new(user_timeout: Duration) -> Result<Self, UpstreamError> {
        let builder = || {
            Client::builder()
                .connect_timeout(CONNECT_TIMEOUT)
                .tcp_user_timeout(user_timeout)
                .no_proxy()
        };
        let pooled_client = builder().pool_idle_timeout(IDLE_TIMEOUT).build();
        let unpooled_client = builder().pool_max_idle_per_host(0).build();
        Ok(Self {
            pooled_client: pooled_client.map_err(|_| UpstreamError::Client)?,
            unpooled_client: unpooled_client.map_err(|_| UpstreamError::Client)?,
            response_space: Arc::new(UncountedSpace),
            reports: Arc::default(),
        })
    }

    /// The same with other buffers for the responses of plain services.
    pub fn with_response_space(self, response_space: Arc<dyn ResponseSpace>) -> Self {
        Self { response_space, ..self }
    }
}

impl HttpUpstreams {
    fn cached_report(&self, address: &str) -> Option<CachedReport> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner).get(address).cloned()
    }

    fn cache_report(&self, address: &str, cached: CachedReport) {
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        if reports.len() >= MAX_CACHED_REPORTS {
            reports.clear();
        }
        reports.insert(address.to_owned(), cached);
    }
}

/// Request body that is sent only after the gate releases it.
struct GatedBody {
    gate: Arc<dyn SendGate>,
    released: Arc<AtomicBool>,
}

impl GatedBody {
    fn new(gate: Arc<dyn SendGate>) -> Self {
        Self { gate, released: Arc::default() }
    }

    /// Asks the gate before the request is sent, for a call without a body to withhold.
    async fn release_without_body(&self) -> Result<(), UpstreamError> {
        if !self.gate.release().await {
            return Err(UpstreamError::NotSent);
        }
        self.released.store(true, Ordering::SeqCst);
        Ok(())
    }

    fn body(&self, bytes: Bytes) -> Body {
        let (gate, released) = (Arc::clone(&self.gate), Arc::clone(&self.released));
        Body::wrap_stream(stream::once(async move {
            if gate.release().await {
                released.store(true, Ordering::SeqCst);
                Ok(bytes)
            } else {
                Err(UpstreamError::NotSent)
            }
        }))
    }

    /// Error of a failed send, which depends on whether the body may have been sent.
    fn send_error(&self) -> UpstreamError {
        if self.released.load(Ordering::SeqCst) {
            UpstreamError::ConnectionLost
        } else {
            UpstreamError::NotSent
        }
    }
}

/// Priority number of a rank; 0 is the highest.
pub fn priority(rank: Rank) -> u16 {
    match rank {
        Rank::Urgent => 0,
        Rank::Standard => 1,
        Rank::Batch => 2,
    }
}

#[async_trait]
impl Engine for HttpUpstreams {
    async fn generate(
        &self,
        call: GenerateRequest,
        gate: Arc<dyn SendGate>,
    ) -> Result<Box<dyn ResponseStream>, UpstreamError> {
        let gated_body = GatedBody::new(gate);
        let request = self
            .pooled_client
            .post(format!("http://{}{}", call.address, call.path))
            .header(header::CONTENT_TYPE, "application/json")
            .header(ATTEMPT_HEADER, call.attempt)
            .header(GROUP_HEADER, &call.group)
            .header(EPOCH_HEADER, call.epoch)
            .header(PRIORITY_HEADER, priority(call.rank))
            .header(RESUME_HEADER, call.resume_from)
            .body(gated_body.body(call.body));
        let response = request.send().await.map_err(|_| gated_body.send_error())?;
        let status = response.status();
        if !status.is_success() {
            return Err(UpstreamError::Rejected { status: status.as_u16() });
        }
        Ok(Box::new(EventStream { response, buf: BytesMut::new() }))
    }

    async fn report(&self, address: &str) -> Result<MemberReport, UpstreamError> {
        let previous = self.cached_report(address);
        let request_report = |client: &Client| {
            let request = client.get(format!("http://{address}/member"));
            match &previous {
                Some(cached) => request.header(header::IF_NONE_MATCH, &cached.tag),
                None => request,
            }
        };
        let response =
            match send_with_timeout(request_report(&self.pooled_client), REPORT_TIMEOUT).await {
                Ok(response) => response,
                Err(_) => {
                    send_with_timeout(request_report(&self.unpooled_client), REPORT_TIMEOUT).await?
                }
            };
        let header_text = |name: &str| {
            let value = response.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let age_ms = header_text(MEMBER_REPORTS_AGE_HEADER)
            .and_then(|ms| ms.parse().ok())
            .unwrap_or_default();
        let member_reports_age = Duration::from_millis(age_ms);
        if let (StatusCode::NOT_MODIFIED, Some(cached)) = (response.status(), previous) {
            return Ok(MemberReport { member_reports_age, ..cached.report });
        }
        let tag = header_text(header::ETAG.as_str());
        let report: MemberReport = response.json().await.map_err(|_| UpstreamError::Malformed)?;
        if let Some(tag) = tag {
            self.cache_report(address, CachedReport { tag, report: report.clone() });
        }
        Ok(MemberReport { member_reports_age, ..report })
    }

    async fn send_order(&self, address: &str, order: &Order) -> Result<(), UpstreamError> {
        let request = self.unpooled_client.post(format!("http://{address}/orders")).json(order);
        let response = send_with_timeout(request, ORDER_TIMEOUT).await?;
        match response.status() {
            status if status.is_success() => Ok(()),
            status => Err(UpstreamError::Rejected { status: status.as_u16() }),
        }
    }
}

async fn send_with_timeout(
    request: RequestBuilder,
    timeout: Duration,
) -> Result<Response, UpstreamError> {
    request.timeout(timeout).send().await.map_err(|e| {
        if e.is_timeout() { UpstreamError::Timeout } else { UpstreamError::ConnectionLost }
    })
}

/// Response that arrives as server-sent events.
struct EventStream {
    response: Response,
    buf: BytesMut,
}

#[async_trait]
impl ResponseStream for EventStream {
    async fn next(&mut self) -> Result<Vec<StreamItem>, UpstreamError> {
        loop {
            let mut items = Vec::new();
            while let Some(line) = next_line(&mut self.buf) {
                items.extend(parse_line(&line)?);
            }
            if !items.is_empty() {
                return Ok(items);
            }
            if self.buf.len() > MAX_LINE_BYTES {
                return Err(UpstreamError::Malformed);
            }
            match self.response.chunk().await {
                Ok(Some(bytes)) => self.buf.extend_from_slice(&bytes),
                Ok(None) => return Ok(Vec::new()),
                Err(_) => return Err(UpstreamError::ConnectionLost),
            }
        }
    }
}

fn next_line(buf: &mut BytesMut) -> Option<BytesMut> {
    let end = buf.iter().position(|b| *b == b'\n')?;
    Some(buf.split_to(end + 1))
}

#[derive(Deserialize)]
struct WireChunk {
    attempt: AttemptId,
    index: ChunkIndex,
    choices: Vec<WireChoice>,
}

#[derive(Deserialize)]
struct WireChoice {
    #[serde(default)]
    delta: WireDelta,
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct WireDelta {
    #[serde(default)]
    content: Option<String>,
}

fn parse_line(line: &[u8]) -> Result<Option<StreamItem>, UpstreamError> {
    let Some(data) = line.strip_prefix(b"data:") else {
        return Ok(None);
    };
    let data = data.trim_ascii();
    if data == b"[DONE]" {
        return Ok(None);
    }
    let chunk: WireChunk = serde_json::from_slice(data).map_err(|_| UpstreamError::Malformed)?;
    let choice = chunk.choices.into_iter().next().ok_or(UpstreamError::Malformed)?;
    if let Some(finish_reason) = choice.finish_reason {
        return Ok(Some(StreamItem::End {
            attempt: chunk.attempt,
            chunks: chunk.index,
            finish_reason,
        }));
    }
    let text = choice.delta.content.or(choice.text).ok_or(UpstreamError::Malformed)?;
    Ok(Some(StreamItem::Chunk(Chunk { attempt: chunk.attempt, index: chunk.index, text })))
}

#[async_trait]
impl PlainService for HttpUpstreams {
    async fn call(
        &self,
        call: PlainCall,
        gate: Arc<dyn SendGate>,
    ) -> Result<PlainResponse, UpstreamError> {
        let client = if call.new_connection { &self.unpooled_client } else { &self.pooled_client };
        let method =
            Method::from_bytes(call.method.as_bytes()).map_err(|_| UpstreamError::NotSent)?;
        let gated_body = GatedBody::new(gate);
        let mut request = client
            .request(method, format!("http://{}/{}", call.address, call.path))
            .header(ATTEMPT_HEADER, call.attempt)
            .timeout(call.timeout);
        if let Some(key) = &call.idempotency_key {
            request = request.header(IDEMPOTENCY_KEY_HEADER, key);
        }
        if let Some(content_type) = &call.content_type {
            request = request.header(header::CONTENT_TYPE, content_type);
        }
        if call.body.is_empty() {
            gated_body.release_without_body().await?;
        } else {
            request = request.body(gated_body.body(call.body));
        }
        let response = request.send().await.map_err(|_| gated_body.send_error())?;
        read_response(response, call.attempt, self.response_space.open()).await
    }
}

/// Reads the complete response and checks that it belongs to the attempt.
async fn read_response(
    mut response: Response,
    attempt: AttemptId,
    mut body: Box<dyn ResponseBuffer>,
) -> Result<PlainResponse, UpstreamError> {
    let header_text = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let echoed = header_text(ATTEMPT_HEADER);
    if echoed.is_some_and(|e| e != attempt.to_string()) {
        return Err(UpstreamError::AttemptMismatch);
    }
    let content_type = header_text(header::CONTENT_TYPE.as_str());
    let status = response.status().as_u16();
    loop {
        match response.chunk().await {
            Ok(Some(bytes)) if body.len() + bytes.len() <= MAX_RESPONSE_BYTES => {
                body.push(&bytes).await?;
            }
            Ok(Some(_)) => return Err(UpstreamError::Malformed),
            Ok(None) => {
                return Ok(PlainResponse { status, content_type, body: body.finish().await? });
            }
            Err(_) => return Err(UpstreamError::ConnectionLost),
        }
    }
}
