//! The stand-in booking service: each whole request that it reads is one effect.

use {
    crate::{
        error::StandinError,
        fault::LOST,
        serve::{Common, serve},
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

/// State of a booking service.
pub struct Bookings {
    instance: InstanceId,
    deduplicates: bool,
    done: Mutex<BTreeMap<String, String>>,
}

/// Headers of a call.
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

/// An answer that echoes its attempt.
#[derive(Responder)]
struct Echo {
    body: String,
    attempt: Header<'static>,
}

fn echo(body: String, headers: &CallHeaders) -> Echo {
    Echo { body, attempt: Header::new(ATTEMPT_HEADER, headers.attempt.clone()) }
}

#[post("/bookings", data = "<data>")]
async fn book(
    bookings: &State<Arc<Bookings>>,
    common: &State<Common>,
    headers: CallHeaders,
    data: Data<'_>,
) -> Result<Echo, Status> {
    let body = data.open(ByteUnit::Mebibyte(1)).into_string().await;
    let body = body.ok().filter(|b| b.is_complete()).ok_or(Status::BadRequest)?.into_inner();
    let faults = common.faults.get();
    common.faults.delay().await;
    if faults.crash_before {
        std::process::exit(1);
    }
    if bookings.deduplicates
        && let Some(done) = bookings.lock().get(&headers.key)
    {
        return Ok(echo(done.clone(), &headers));
    }
    let fields = [("key", headers.key.as_str()), ("body", &body), ("attempt", &headers.attempt)];
    common.effects.note("executed", &fields);
    let answer = format!("booked {body}");
    bookings.lock().insert(headers.key.clone(), answer.clone());
    if faults.crash_after {
        std::process::exit(1);
    }
    if faults.lose_answer {
        sleep(LOST).await;
    }
    Ok(echo(answer, &headers))
}

#[get("/bookings")]
async fn list(bookings: &State<Arc<Bookings>>, headers: CallHeaders) -> Echo {
    let body = bookings.lock().values().cloned().collect::<Vec<_>>().join("\n");
    echo(body, &headers)
}

impl Bookings {
    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, String>> {
        self.done.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[get("/member")]
fn member(bookings: &State<Arc<Bookings>>, common: &State<Common>) -> Json<MemberReport> {
    Json(MemberReport {
        instance: bookings.instance.clone(),
        membership: None,
        fence: 0,
        model: None,
        ready: true,
        leaving: common.faults.get().leaving,
        running: 0,
        member_reports: Vec::new(),
        member_reports_age: Duration::ZERO,
    })
}

/// Serves a booking service until the process ends.
///
/// # Errors
/// As [`serve`].
pub async fn run(
    address: &str,
    instance: InstanceId,
    deduplicates: bool,
    common: Common,
) -> Result<(), StandinError> {
    let bookings = Arc::new(Bookings { instance, deduplicates, done: Mutex::default() });
    let routes = routes![book, list, member];
    serve(address, common, |rocket| rocket.manage(bookings).mount("/", routes)).await
}
