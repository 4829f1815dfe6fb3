//! HTTP listener for operators.

use {
    crate::{front::connections::Listener, shared::Shared},
    rocket::{
        State, async_trait, delete, get,
        http::Status,
        post,
        request::{FromRequest, Outcome, Request},
        serde::json::Json,
    },
    std::sync::Arc,
    turmerictack_model::digest::sha256_hex,
    turmerictack_report::{snapshot::Snapshot, status::NodeStatus},
};

/// Request guard for operators; passes if the request has the operator key.
pub struct Operator;

#[async_trait]
impl<'r> FromRequest<'r> for Operator {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let shared = request.rocket().state::<Arc<Shared>>();
        let bearer = request.headers().get_one("authorization");
        let bearer = bearer.and_then(|v| v.strip_prefix("Bearer "));
        let is_open = shared.is_some_and(|shared| {
            shared.tables.take_request(Listener::Operators, request.remote())
        });
        let authorized = shared.zip(bearer).is_some_and(|(shared, key)| {
            sha256_hex(key) == sha256_hex(&shared.settings.operator_key)
        });
        if is_open && authorized {
            Outcome::Success(Self)
        } else {
            Outcome::Error((Status::Unauthorized, ()))
        }
    }
}

/// Returns the status of the node.
#[get("/status")]
pub async fn status(shared: &State<Arc<Shared>>, _operator: Operator) -> Option<Json<NodeStatus>> {
    let job_shared = Arc::clone(shared);
    shared.run_job(move || job_shared.status()).await.map(Json)
}

/// Returns the counters of this node's burn report.
#[get("/burn")]
pub async fn burn(shared: &State<Arc<Shared>>, _operator: Operator) -> Option<Json<Snapshot>> {
    let job_shared = Arc::clone(shared);
    shared.run_job(move || job_shared.burn()).await.map(Json)
}

/// Requests a drain.
#[post("/drain")]
pub fn drain(shared: &State<Arc<Shared>>, _operator: Operator) -> Status {
    shared.stop_request.notify_one();
    Status::Accepted
}

/// Lifts the quarantine of a request on this node.
#[delete("/quarantine/<digest>")]
pub async fn lift(shared: &State<Arc<Shared>>, _operator: Operator, digest: String) -> Status {
    let job_shared = Arc::clone(shared);
    let lifted = shared.run_job(move || job_shared.tables.quarantine.lock().lift(&digest)).await;
    if lifted == Some(true) { Status::NoContent } else { Status::NotFound }
}
