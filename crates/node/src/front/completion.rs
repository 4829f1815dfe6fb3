//! The usual completions interface: what callers send and what they get.

use {
    crate::{call::Payload, estimate},
    bytes::Bytes,
    derive_more::Error,
    displaydoc::Display,
    serde_json::{Map, Value, json},
    turmerictack_model::{digest::hash64, ids::ServiceId, outcome::Failure},
};

/// Bytes of a prompt that decide which upstream likely holds its prefix.
const PREFIX_BYTES: usize = 1024;

/// Which of the two interfaces a call uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionApi {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl CompletionApi {
    /// Path of the interface.
    pub fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }
}

/// Why a request is not a completion.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Error)]
pub enum CompletionError {
    /// the body is not a JSON object
    NotAnObject,
    /// "model" is missing or not a text
    MissingModel,
    /// neither "messages" nor "prompt" is there
    MissingPrompt,
}

/// A completion as it was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Service that is asked.
    pub service: ServiceId,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// What goes to the upstream.
    pub payload: Payload,
}

/// Reads a completion.
///
/// # Errors
/// Any [`CompletionError`].
pub fn parse(api: CompletionApi, body: &[u8]) -> Result<Completion, CompletionError> {
    let mut request: Map<String, Value> =
        serde_json::from_slice(body).map_err(|_| CompletionError::NotAnObject)?;
    let service = request.get("model").and_then(Value::as_str).map(str::to_owned);
    let service = service.ok_or(CompletionError::MissingModel)?;
    let prompt = request.get("messages").or_else(|| request.get("prompt"));
    let prompt = prompt.ok_or(CompletionError::MissingPrompt)?.to_string();
    let stream = request.get("stream").and_then(Value::as_bool).unwrap_or(false);
    let max_tokens = request.get("max_tokens").and_then(Value::as_u64);
    let max_tokens = max_tokens.unwrap_or(estimate::DEFAULT_COMPLETION_TOKENS);
    request.insert("stream".to_owned(), Value::Bool(true));
    let start = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    let payload = Payload::Model {
        path: api.path().to_owned(),
        prefix_hash: hash64(&[start]),
        cost: estimate::prompt_tokens(prompt.len()) + max_tokens,
        body: Bytes::from(Value::Object(request).to_string()),
    };
    Ok(Completion { service, stream, payload })
}

/// Writes answers of one call.
#[derive(Clone, Debug)]
pub struct ResponseWriter {
    /// Interface of the call.
    pub api: CompletionApi,
    /// Id that callers see.
    pub id: String,
    /// Service that answers.
    pub service: ServiceId,
    /// Time of day in seconds since the Unix epoch.
    pub created: u64,
}

impl ResponseWriter {
    fn envelope(&self, streamed: bool, choice: Value) -> Value {
        let object = match (self.api, streamed) {
            (CompletionApi::Chat, true) => "chat.completion.chunk",
            (CompletionApi::Chat, false) => "chat.completion",
            (CompletionApi::Text, _) => "text_completion",
        };
        json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.service,
            "choices": [choice],
        })
    }

    /// An event with one chunk of text.
    pub fn chunk(&self, text: &str) -> String {
        let choice = match self.api {
            CompletionApi::Chat => {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": null})
            }
            CompletionApi::Text => json!({"index": 0, "text": text, "finish_reason": null}),
        };
        format!("data: {}\n\n", self.envelope(true, choice))
    }

    /// The events that end a whole answer.
    pub fn end(&self, reason: &str) -> String {
        let choice = match self.api {
            CompletionApi::Chat => json!({"index": 0, "delta": {}, "finish_reason": reason}),
            CompletionApi::Text => json!({"index": 0, "text": "", "finish_reason": reason}),
        };
        format!("data: {}\n\ndata: [DONE]\n\n", self.envelope(true, choice))
    }

    /// The event that ends an answer which is not whole.
    pub fn error(&self, failure: &Failure) -> String {
        format!("data: {}\n\n", failure_body(failure, Some(&self.id)))
    }

    /// A whole answer.
    pub fn complete(&self, text: &str, reason: &str, chunks: u64) -> String {
        let choice = match self.api {
            CompletionApi::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": reason,
            }),
            CompletionApi::Text => json!({"index": 0, "text": text, "finish_reason": reason}),
        };
        let mut envelope = self.envelope(false, choice);
        envelope["usage"] = json!({"completion_tokens": chunks});
        envelope.to_string()
    }
}

/// The JSON body of a failure; a request that never came whole has no number.
pub fn failure_body(failure: &Failure, id: Option<&str>) -> String {
    json!({
        "error": {
            "code": failure.code,
            "outcome": failure.outcome,
            "request_id": id,
        }
    })
    .to_string()
}
