//! HTTP responses to callers.

use {
    crate::front::completion::failure_body,
    bytes::Bytes,
    rocket::{
        Request,
        futures::StreamExt as _,
        http::{ContentType, Header, Status},
        response::{self, Responder, stream::ByteStream},
    },
    std::{
        io::{self, Cursor, SeekFrom},
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::io::{AsyncRead, AsyncSeek, ReadBuf},
    turmerictack_model::outcome::{Failure, FailureCode},
    turmerictack_serving::request_account::RequestGuard,
};

/// Header with the id of the request.
pub const REQUEST_ID_HEADER: &str = "turmerictack-request-id";
/// Header that states whether a failed call was executed.
pub const OUTCOME_HEADER: &str = "turmerictack-outcome";

/// A stream of server-sent events.
pub type Events = ByteStream<rocket::futures::stream::BoxStream<'static, Vec<u8>>>;

/// Response to a caller.
pub enum Reply {
    /// A complete body.
    Complete {
        /// HTTP status.
        status: u16,
        /// Media type of the body.
        content_type: Option<String>,
        /// Body.
        body: Bytes,
    },
    /// A stream of server-sent events.
    Events(Events),
    /// The call failed before any output.
    Failed(Failure),
}

/// Response to a caller, with the id of its request.
pub struct CallerResponse {
    /// Id of the request.
    pub id: String,
    /// The response.
    pub reply: Reply,
    /// The request on its connection, which ends with the response; `None` if nobody counts it.
    pub request: Option<RequestGuard>,
}

/// Complete body that ends its request once it has been read.
struct GuardedBody {
    body: Cursor<Bytes>,
    _request: Option<RequestGuard>,
}

impl GuardedBody {
    fn new(body: impl Into<Bytes>, request: Option<RequestGuard>) -> Self {
        Self { body: Cursor::new(body.into()), _request: request }
    }
}

impl AsyncRead for GuardedBody {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().body).poll_read(cx, buf)
    }
}

impl AsyncSeek for GuardedBody {
    fn start_seek(self: Pin<&mut Self>, position: SeekFrom) -> io::Result<()> {
        Pin::new(&mut self.get_mut().body).start_seek(position)
    }

    fn poll_complete(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<u64>> {
        Pin::new(&mut self.get_mut().body).poll_complete(cx)
    }
}

/// HTTP status of a failure.
pub fn status_of(code: FailureCode) -> Status {
    match code {
        FailureCode::BadRequest => Status::BadRequest,
        FailureCode::Unauthorized => Status::Unauthorized,
        FailureCode::RankNotAllowed => Status::Forbidden,
        FailureCode::NotFound => Status::NotFound,
        FailureCode::TooLarge => Status::PayloadTooLarge,
        FailureCode::Overloaded => Status::TooManyRequests,
        FailureCode::CallOpen => Status::Conflict,
        FailureCode::KeyReused | FailureCode::Quarantined => Status::UnprocessableEntity,
        FailureCode::UpstreamLost | FailureCode::UpstreamFailed => Status::BadGateway,
        FailureCode::Deadline
        | FailureCode::NoUpstream
        | FailureCode::DependencyDown
        | FailureCode::PlatformUnavailable
        | FailureCode::Draining
        | FailureCode::CallerGone => Status::ServiceUnavailable,
    }
}

/// Response of a failure that occurred before any output.
fn failed(
    failure: &Failure,
    id: &str,
    request: Option<RequestGuard>,
) -> response::Response<'static> {
    let body = failure_body(failure, Some(id));
    let mut response = response::Response::build();
    response
        .status(status_of(failure.code))
        .header(ContentType::JSON)
        .header(Header::new(OUTCOME_HEADER, failure.outcome.to_string()))
        .sized_body(body.len(), GuardedBody::new(body, request));
    if let Some(wait) = failure.retry_after {
        let seconds = wait.as_secs().max(1).to_string();
        response.header(Header::new("retry-after", seconds));
    }
    response.finalize()
}

impl<'r> Responder<'r, 'r> for CallerResponse {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        let mut response = match self.reply {
            Reply::Failed(failure) => failed(&failure, &self.id, self.request),
            Reply::Events(events) => {
                let guard = self.request;
                // The request ends when the stream is dropped.
                let events = events.0.inspect(move |_| {
                    let _ = &guard;
                });
                let mut response = ByteStream(events.boxed()).respond_to(request)?;
                response.set_header(ContentType::EventStream);
                response
            }
            Reply::Complete { status, content_type, body } => {
                let mut response = response::Response::build();
                response.status(Status::new(status));
                if let Some(content_type) = content_type {
                    response.header(Header::new("content-type", content_type));
                }
                response.sized_body(body.len(), GuardedBody::new(body, self.request)).finalize()
            }
        };
        response.set_header(Header::new(REQUEST_ID_HEADER, self.id));
        Ok(response)
    }
}
