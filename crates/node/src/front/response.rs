//! HTTP responses to callers.

use {
    crate::front::completion::failure_body,
    rocket::{
        Request,
        http::{ContentType, Header, Status},
        response::{self, Responder, stream::ByteStream},
    },
    std::io::Cursor,
    turmerictack_model::outcome::{Failure, FailureCode},
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
        body: Vec<u8>,
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
fn failed(failure: &Failure, id: &str) -> response::Response<'static> {
    let body = failure_body(failure, Some(id));
    let mut response = response::Response::build();
    response
        .status(status_of(failure.code))
        .header(ContentType::JSON)
        .header(Header::new(OUTCOME_HEADER, failure.outcome.to_string()))
        .sized_body(body.len(), Cursor::new(body));
    if let Some(wait) = failure.retry_after {
        let seconds = wait.as_secs().max(1).to_string();
        response.header(Header::new("retry-after", seconds));
    }
    response.finalize()
}

impl<'r> Responder<'r, 'r> for CallerResponse {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        let mut response = match self.reply {
            Reply::Failed(failure) => failed(&failure, &self.id),
            Reply::Events(events) => {
                let mut response = events.respond_to(request)?;
                response.set_header(ContentType::EventStream);
                response
            }
            Reply::Complete { status, content_type, body } => {
                let mut response = response::Response::build();
                response.status(Status::new(status));
                if let Some(content_type) = content_type {
                    response.header(Header::new("content-type", content_type));
                }
                response.sized_body(body.len(), Cursor::new(body)).finalize()
            }
        };
        response.set_header(Header::new(REQUEST_ID_HEADER, self.id));
        Ok(response)
    }
}
