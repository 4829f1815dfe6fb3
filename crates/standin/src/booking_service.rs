//! Stand-in for a booking service with side effects: each complete request that it reads counts as
//! one execution.

use {
    crate::{
        error::StandinError,
        fault::LOST_RESPONSE_DELAY,
        serve::{SharedState, serve},
    },
    rocket::{
        Data, State, async_trait,
        data::ByteUnit,
        get,
        http::{Header, Status},
        post,
        request::{FromRequest, Outcome, Request},
        response::Responder,
        routes,
        serde::json::Json,
    },
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::time::sleep,
    turmerictack_model::ids::InstanceId,
    turmerictack_upstream::{
        engine::MemberReport,
        http::{ATTEMPT_HEADER, IDEMPOTENCY_KEY_HEADER},
    },
};

/// State of a booking service instance.
pub struct BookingService {
    instance: InstanceId,
    deduplicates: bool,
    responses: Mutex<BTreeMap<String, String>>,
}

/// Headers of a call from a node.
struct CallHeaders {
    attempt: String,
    key: String,
}

#[async_trait]
impl<'r> FromRequest<'r> for CallHeaders {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        let text = |name| request.headers().get_one(name).unwrap_or_default().to_owned();
        Outcome::Success(Self { attempt: text(ATTEMPT_HEADER), key: text(IDEMPOTENCY_KEY_HEADER) })
    }
}

/// A response that echoes the attempt number of the call.
#[derive(Responder)]
struct AttemptEcho {
    body: String,
    attempt: Header<'static>,
}

fn echo(body: String, headers: &CallHeaders) -> AttemptEcho {
    AttemptEcho { body, attempt: Header::new(ATTEMPT_HEADER, headers.attempt.clone()) }
}

#[post("/bookings", data = "<data>")]
async fn book(
    service: &State<Arc<BookingService>>,
    shared: &State<SharedState>,
    headers: CallHeaders,
    data: Data<'_>,
) -> Result<AttemptEcho, Status> {
    let body = data.open(ByteUnit::Mebibyte(1)).into_string().await;
    let body = body.ok().filter(|b| b.is_complete()).ok_or(Status::BadRequest)?.into_inner();
    let faults = shared.faults.get();
    shared.faults.delay().await;
    if faults.crash_before {
        std::process::exit(1);
    }
    if service.deduplicates
        && let Some(response) = service.lock().get(&headers.key)
    {
        return Ok(echo(response.clone(), &headers));
    }
    let fields = [("key", headers.key.as_str()), ("body", &body), ("attempt", &headers.attempt)];
    shared.effects.record("executed", &fields);
    let response = format!("booked {body}");
    service.lock().insert(headers.key.clone(), response.clone());
    if faults.crash_after {
        std::process::exit(1);
    }
    if faults.lose_answer {
        sleep(LOST_RESPONSE_DELAY).await;
    }
    Ok(echo(response, &headers))
}

#[get("/bookings")]
async fn list(service: &State<Arc<BookingService>>, headers: CallHeaders) -> AttemptEcho {
    let body = service.lock().values().cloned().collect::<Vec<_>>().join("\n");
    echo(body, &headers)
}

impl BookingService {
    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, String>> {
        self.responses.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[get("/member")]
fn member(service: &State<Arc<BookingService>>, shared: &State<SharedState>) -> Json<MemberReport> {
    Json(MemberReport {
        instance: service.instance.clone(),
        membership: None,
        fence: 0,
        model: None,
        ready: true,
        leaving: shared.faults.get().leaving,
        running: 0,
        member_reports: Vec::new(),
        member_reports_age: Duration::ZERO,
    })
}

/// Serves a booking service until the process exits.
///
/// # Errors
/// As [`serve`].
pub async fn run(
    address: &str,
    instance: InstanceId,
    deduplicates: bool,
    shared: SharedState,
) -> Result<(), StandinError> {
    let service = Arc::new(BookingService { instance, deduplicates, responses: Mutex::default() });
    let routes = routes![book, list, member];
    serve(address, shared, |rocket| rocket.manage(service).mount("/", routes)).await
}
