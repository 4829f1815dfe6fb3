//! Forwarding of calls to plain services.

use {
    crate::{
        call::{Output, Payload},
        front::{
            call_account,
            callers::{CallerHeaders, OUTPUT_BUFFER, new_call},
            connections::Listener,
            incoming_body::IncomingBody,
            response::{CallerResponse, Reply},
        },
        shared::Shared,
    },
    rocket::{
        Data, Request, Route, async_trait,
        http::Method,
        request::FromRequest as _,
        route::{Handler, Outcome},
    },
    std::sync::Arc,
    tokio::sync::mpsc,
    turmerictack_model::outcome::{Failure, FailureCode},
    turmerictack_settings::services::ServiceKind,
};

/// HTTP methods that are forwarded.
const METHODS: [Method; 6] =
    [Method::Get, Method::Put, Method::Post, Method::Delete, Method::Patch, Method::Options];

/// Forwards calls to plain services.
#[derive(Clone)]
pub struct PlainHandler(pub Arc<Shared>);

/// Routes to plain services.
pub fn routes(shared: &Arc<Shared>) -> Vec<Route> {
    let handler = PlainHandler(Arc::clone(shared));
    METHODS
        .into_iter()
        .map(|m| Route::new(m, "/services/<service>/<path..>", handler.clone()))
        .collect()
}

#[async_trait]
impl Handler for PlainHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let id = self.0.request_id();
        let _guard = self.0.responses.begin();
        let remote = request.remote();
        let (guard, begun) = call_account::begin(&self.0, remote).await;
        let forwarded = match begun {
            Ok(()) => forward(&self.0, request, data).await,
            Err(failure) => Err(failure),
        };
        let reply = forwarded.unwrap_or_else(Reply::Failed);
        call_account::record_reply(&self.0, remote, &reply);
        Outcome::from(request, CallerResponse { id, reply, request: guard })
    }
}

async fn forward(
    shared: &Arc<Shared>,
    request: &Request<'_>,
    data: Data<'_>,
) -> Result<Reply, Failure> {
    let reject = |code| Failure::not_run(code);
    let headers = match CallerHeaders::from_request(request).await {
        rocket::request::Outcome::Success(headers) => headers,
        _ => return Err(reject(FailureCode::BadRequest)),
    };
    let (remote, announced) = (headers.remote, headers.content_length);
    let checked = headers.check(shared).await?;
    let full_path = request.uri().path().as_str();
    let rest = full_path.strip_prefix("/services/").unwrap_or_default();
    let (service_id, path) = rest.split_once('/').unwrap_or((rest, ""));
    let services = shared.tables.services();
    let service = services.as_ref().and_then(|s| s.service(service_id));
    let service = service.filter(|s| s.kind == ServiceKind::Plain);
    let service = service.ok_or(reject(FailureCode::NotFound))?;
    let path = match request.uri().query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    let account = shared.tables.request_account(Listener::Callers, remote);
    let body = IncomingBody { data, announced, account };
    let body = body.read(service.max_body_bytes, &shared.callers).await?;
    call_account::reserve_response(shared, remote).await?;
    let payload = Payload::Plain {
        method: request.method().as_str().to_owned(),
        path,
        content_type: request.content_type().map(ToString::to_string),
        body,
    };
    let call = new_call(checked, service.id.clone(), service.default_rank, payload);
    let (tx, mut rx) = mpsc::channel(OUTPUT_BUFFER);
    shared.proxy.serve(call, tx).await?;
    match rx.recv().await {
        Some(Output::Response(reply)) => Ok(Reply::Complete {
            status: reply.status,
            content_type: reply.content_type,
            body: reply.body,
        }),
        Some(Output::Failed(failure)) => Err(failure),
        _ => Err(Failure::unknown(FailureCode::UpstreamLost)),
    }
}
