//! Requests and responses of the OpenAI-compatible completions API.

use {
    crate::{call::Payload, estimate},
    derive_more::Error,
    displaydoc::Display,
    serde::{
        Deserialize, Deserializer,
        de::{DeserializeOwned, Error as _, MapAccess, Visitor},
    },
    serde_json::{Value, json, value::RawValue},
    std::{borrow::Cow, collections::BTreeMap, fmt},
    turmerictack_model::{digest::hash64, ids::ServiceId, outcome::Failure},
};

/// Length of the prompt prefix that is hashed for routing to an upstream with a warm prefix cache.
const PREFIX_BYTES: usize = 1024;

/// Maximum number of top-level fields of a request.
const MAX_FIELDS: usize = 256;

/// The completions API that a call uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionApi {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl CompletionApi {
    /// Path of the API.
    pub fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }
}

/// Why a request is not a valid completion request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Error)]
pub enum CompletionError {
    /// request body is not a JSON object
    NotAnObject,
    /// "model" is missing or not a string
    MissingModel,
    /// neither "messages" nor "prompt" is present
    MissingPrompt,
}

/// A parsed completion request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Service named by `model`.
    pub service: ServiceId,
    /// Whether the caller requested a streamed response.
    pub stream: bool,
    /// Payload for the upstream.
    pub payload: Payload,
}

/// Top-level fields of a request, whose values are not parsed: a tree of small values takes many
/// times the memory of their text.
struct Fields<'a>(BTreeMap<Cow<'a, str>, &'a RawValue>);

impl<'de> Deserialize<'de> for Fields<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(FieldsVisitor)
    }
}

struct FieldsVisitor;

impl<'de> Visitor<'de> for FieldsVisitor {
    type Value = Fields<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an object with at most {MAX_FIELDS} fields")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut fields = BTreeMap::new();
        while let Some((FieldName(name), value)) = map.next_entry()? {
            fields.insert(name, value);
            if fields.len() > MAX_FIELDS {
                return Err(A::Error::custom("too many fields"));
            }
        }
        Ok(Fields(fields))
    }
}

/// Name of a field, copied only if it has escapes.
#[derive(Deserialize)]
struct FieldName<'a>(#[serde(borrow)] Cow<'a, str>);

fn parse_value<T: DeserializeOwned>(value: &RawValue) -> Option<T> {
    serde_json::from_str(value.get()).ok()
}

/// Parses the body of a completion request.
///
/// # Errors
/// Any [`CompletionError`].
pub fn parse(api: CompletionApi, body: &[u8]) -> Result<Completion, CompletionError> {
    let Fields(mut fields) =
        serde_json::from_slice(body).map_err(|_| CompletionError::NotAnObject)?;
    let service = fields.get("model").and_then(|v| parse_value::<String>(v));
    let service = service.ok_or(CompletionError::MissingModel)?;
    let prompt = fields.get("messages").or_else(|| fields.get("prompt"));
    let prompt = prompt.ok_or(CompletionError::MissingPrompt)?.get();
    let stream = fields.get("stream").and_then(|v| parse_value(v)).unwrap_or(false);
    let max_tokens = fields.get("max_tokens").and_then(|v| parse_value(v));
    let max_tokens = max_tokens.unwrap_or(estimate::DEFAULT_COMPLETION_TOKENS);
    let is_streamed: &RawValue =
        serde_json::from_str("true").map_err(|_| CompletionError::NotAnObject)?;
    fields.insert(Cow::Borrowed("stream"), is_streamed);
    let start = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    let payload = Payload::Model {
        path: api.path().to_owned(),
        prefix_hash: hash64(&[start]),
        cost: estimate::prompt_tokens(prompt.len()) + max_tokens,
        body: serde_json::to_vec(&fields).map_err(|_| CompletionError::NotAnObject)?.into(),
    };
    Ok(Completion { service, stream, payload })
}

/// Encodes the responses of one call.
#[derive(Clone, Debug)]
pub struct ResponseWriter {
    /// API of the call.
    pub api: CompletionApi,
    /// Id of the completion, as shown to the caller.
    pub id: String,
    /// Service that answers.
    pub service: ServiceId,
    /// Creation time in seconds since the Unix epoch.
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

    /// Event with one chunk of text.
    pub fn chunk(&self, text: &str) -> String {
        let choice = match self.api {
            CompletionApi::Chat => {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": null})
            }
            CompletionApi::Text => json!({"index": 0, "text": text, "finish_reason": null}),
        };
        format!("data: {}\n\n", self.envelope(true, choice))
    }

    /// Events that end a complete stream.
    pub fn end(&self, reason: &str) -> String {
        let choice = match self.api {
            CompletionApi::Chat => json!({"index": 0, "delta": {}, "finish_reason": reason}),
            CompletionApi::Text => json!({"index": 0, "text": "", "finish_reason": reason}),
        };
        format!("data: {}\n\ndata: [DONE]\n\n", self.envelope(true, choice))
    }

    /// Event that ends a stream with an error.
    pub fn error(&self, failure: &Failure) -> String {
        format!("data: {}\n\n", failure_body(failure, Some(&self.id)))
    }

    /// Complete response that is not streamed.
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

/// JSON body of a failure; `id` is absent if the request never reached a handler.
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
