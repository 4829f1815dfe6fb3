//! HTTP client that sends calls like a user's application and records the result of each.

use {
    crate::error::StandinError,
    reqwest::{Client, RequestBuilder, Response},
    serde_json::{Value, json},
    std::time::{Duration, Instant},
    turmerictack_model::{
        ids::{Address, Epoch},
        rank::Rank,
    },
    turmerictack_upstream::http::{ATTEMPT_HEADER, EPOCH_HEADER, GROUP_HEADER},
};

/// Result of one call as the caller received it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallResult {
    /// HTTP status; 0 if no response arrived.
    pub status: u16,
    /// Reported outcome: `not-run`, `unknown` or `failed`; `None` if none was reported.
    pub outcome: Option<String>,
    /// Error code of the response.
    pub code: Option<String>,
    /// Text of the response, or the part that was received.
    pub text: String,
    /// Whether the response was received to its end, for a stream up to `[DONE]`.
    pub is_complete: bool,
    /// Number of chunks received.
    pub chunks: u64,
    /// Time from the request to the first chunk.
    pub time_to_first_chunk: Option<Duration>,
    /// Times between consecutive chunks.
    pub chunk_gaps: Vec<Duration>,
}

impl CallResult {
    /// Whether the call succeeded with a complete response.
    pub fn is_answered(&self) -> bool {
        self.status == 200 && self.is_complete
    }

    /// Whether the caller was told that the call was not executed.
    pub fn is_not_run(&self) -> bool {
        self.outcome.as_deref() == Some("not-run")
    }
}

/// A caller with an API key; each call uses a new connection.
#[derive(Clone, Debug)]
pub struct Caller {
    http: Client,
    key: String,
}

impl Caller {
    /// Creates a caller with this API key.
    ///
    /// # Errors
    /// [`StandinError::Http`].
    pub fn new(key: &str) -> Result<Self, StandinError> {
        let http = Client::builder().no_proxy().pool_max_idle_per_host(0).build()?;
        Ok(Self { http, key: key.to_owned() })
    }

    /// Chat messages for a prompt, as the upstream receives them.
    pub fn messages(prompt: &str) -> Value {
        json!([{"role": "user", "content": prompt}])
    }

    /// Sends a streaming chat completion call to a node.
    pub async fn chat(
        &self,
        node: &Address,
        model: &str,
        prompt: &str,
        chunks: u64,
        rank: Rank,
    ) -> CallResult {
        let body = json!({
            "model": model,
            "messages": Self::messages(prompt),
            "max_tokens": chunks,
            "stream": true,
        });
        let request = self
            .http
            .post(format!("http://{node}/v1/chat/completions"))
            .bearer_auth(&self.key)
            .header("turmerictack-rank", rank.to_string())
            .json(&body);
        send_streaming(request).await
    }

    /// Sends a streaming chat completion call directly to the first engine of a group, bypassing
    /// the nodes.
    pub async fn chat_direct(
        &self,
        engine: &Address,
        group: &str,
        epoch: Epoch,
        prompt: &str,
        chunks: u64,
    ) -> CallResult {
        let body = json!({"messages": Self::messages(prompt), "max_tokens": chunks});
        let request = self
            .http
            .post(format!("http://{engine}/v1/chat/completions"))
            .header(GROUP_HEADER, group)
            .header(EPOCH_HEADER, epoch)
            .header(ATTEMPT_HEADER, 1)
            .json(&body);
        send_streaming(request).await
    }

    /// Sends a booking call with an idempotency key to a node.
    pub async fn book(&self, node: &Address, key: &str, body: &str) -> CallResult {
        let sent = self
            .http
            .post(format!("http://{node}/services/bookings/bookings"))
            .bearer_auth(&self.key)
            .header("idempotency-key", key)
            .header("content-type", "text/plain")
            .body(body.to_owned())
            .send()
            .await;
        match sent {
            Ok(response) if response.status().is_success() => {
                let status = response.status().as_u16();
                match response.text().await {
                    Ok(text) => {
                        CallResult { status, text, is_complete: true, ..CallResult::default() }
                    }
                    Err(_) => CallResult { status, ..CallResult::default() },
                }
            }
            Ok(response) => read_rejection(response).await,
            Err(_) => CallResult::default(),
        }
    }
}

/// Sends a chat request and reads the response stream.
async fn send_streaming(request: RequestBuilder) -> CallResult {
    let sent_at = Instant::now();
    match request.send().await {
        Ok(response) if response.status().is_success() => read_events(response, sent_at).await,
        Ok(response) => read_rejection(response).await,
        Err(_) => CallResult::default(),
    }
}

async fn read_rejection(response: Response) -> CallResult {
    let status = response.status().as_u16();
    let outcome = response.headers().get("turmerictack-outcome");
    let outcome = outcome.and_then(|v| v.to_str().ok()).map(str::to_owned);
    let body: Value = response.json().await.unwrap_or_default();
    let code = body["error"]["code"].as_str().map(str::to_owned);
    CallResult { status, outcome, code, ..CallResult::default() }
}

async fn read_events(mut response: Response, sent_at: Instant) -> CallResult {
    let mut result = CallResult { status: response.status().as_u16(), ..CallResult::default() };
    let mut buf = String::new();
    let mut last_chunk_at: Option<Instant> = None;
    while let Ok(Some(bytes)) = response.chunk().await {
        buf.push_str(&String::from_utf8_lossy(&bytes));
        while let Some(end) = buf.find('\n') {
            let line: String = buf.drain(..=end).collect();
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            handle_event(&mut result, data.trim(), sent_at, &mut last_chunk_at);
        }
    }
    result
}

fn handle_event(
    result: &mut CallResult,
    data: &str,
    sent_at: Instant,
    last_chunk_at: &mut Option<Instant>,
) {
    if data == "[DONE]" {
        result.is_complete = true;
        return;
    }
    let event: Value = serde_json::from_str(data).unwrap_or_default();
    if let Some(text) = event["choices"][0]["delta"]["content"].as_str() {
        let now = Instant::now();
        result.time_to_first_chunk.get_or_insert(now - sent_at);
        if let Some(previous) = last_chunk_at.replace(now) {
            result.chunk_gaps.push(now - previous);
        }
        result.text.push_str(text);
        result.chunks += 1;
    }
    if let Some(outcome) = event["error"]["outcome"].as_str() {
        result.outcome = Some(outcome.to_owned());
        result.code = event["error"]["code"].as_str().map(str::to_owned);
    }
}
