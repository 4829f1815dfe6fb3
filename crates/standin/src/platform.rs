//! The stand-in platform over HTTP.

use {
    crate::{
        error::StandinError,
        fault::LOST,
        memory::MemoryPlatform,
        serve::{Common, MAX_BODY_BYTES, serve},
        tagged::Tagged,
    },
    rocket::{
        Data, State, async_trait,
        data::ByteUnit,
        delete, get,
        http::Status,
        post, put,
        request::{FromRequest, Outcome, Request},
        routes,
        serde::json::Json,
    },
    std::{
        path::PathBuf,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
    turmerictack_model::ids::Version,
    turmerictack_platform::{
        error::StoreError,
        instance::Instance,
        store::{Changes, ExpectedState, Object},
    },
};

type Platform = State<Arc<MemoryPlatform>>;
type Refusal = (Status, Json<Option<Object>>);

/// Share of a second's writes that may come at once.
const WRITE_BURST: f64 = 0.1;

/// Writes that the platform takes in a second.
struct WriteLimit {
    rate: Option<f64>,
    saved: Mutex<(f64, Instant)>,
}

impl WriteLimit {
    fn new(rate: Option<u32>) -> Self {
        Self { rate: rate.map(f64::from), saved: Mutex::new((1.0, Instant::now())) }
    }

    /// Takes one write; false when there were too many of late.
    fn take(&self) -> bool {
        let Some(rate) = self.rate else { return true };
        let mut saved = self.saved.lock().unwrap_or_else(PoisonError::into_inner);
        let (tokens, at) = *saved;
        let now = Instant::now();
        let tokens = (tokens + rate * (now - at).as_secs_f64()).min(rate * WRITE_BURST);
        let taken = tokens >= 1.0;
        *saved = (if taken { tokens - 1.0 } else { tokens }, now);
        taken
    }
}

/// The state that a caller expects an object in.
struct Precondition(Option<ExpectedState>);

#[async_trait]
impl<'r> FromRequest<'r> for Precondition {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        let headers = request.headers();
        let version = headers.get_one("if-match");
        let version =
            version.and_then(|v| v.trim_matches('"').parse().ok()).map(ExpectedState::Version);
        let absent = headers.get_one("if-none-match").map(|_| ExpectedState::Absent);
        Outcome::Success(Self(version.or(absent)))
    }
}

fn key_of(path: &std::path::Path) -> String {
    path.display().to_string()
}

fn refusal(error: StoreError) -> Refusal {
    match error {
        StoreError::Conflict { current } => (Status::PreconditionFailed, Json(current)),
        _ => (Status::BadRequest, Json(None)),
    }
}

#[get("/objects/<path..>")]
async fn get_object(
    platform: &Platform,
    common: &State<Common>,
    path: PathBuf,
) -> Option<Json<Object>> {
    common.faults.delay().await;
    common.effects.note("read", &[("key", &key_of(&path))]);
    platform.read(&key_of(&path), common.faults.get().old_reads).map(Json)
}

#[put("/objects/<path..>", data = "<data>")]
async fn put_object(
    platform: &Platform,
    common: &State<Common>,
    limit: &State<WriteLimit>,
    path: PathBuf,
    expect: Precondition,
    data: Data<'_>,
) -> Result<Json<Version>, Refusal> {
    let bad = || (Status::BadRequest, Json(None));
    common.faults.delay().await;
    let body = data.open(ByteUnit::Byte(MAX_BODY_BYTES)).into_string().await;
    let body = body.ok().filter(|b| b.is_complete()).ok_or_else(bad)?;
    let expect = expect.0.ok_or_else(bad)?;
    if !limit.take() {
        common.effects.note("limited", &[("key", &key_of(&path))]);
        return Err((Status::TooManyRequests, Json(None)));
    }
    let written = platform.write(&key_of(&path), body.into_inner(), expect).map_err(refusal);
    common.effects.note("write", &[("key", &key_of(&path))]);
    if common.faults.get().lose_answer {
        sleep(LOST).await;
    }
    written.map(Json)
}

#[delete("/objects/<path..>")]
async fn delete_object(
    platform: &Platform,
    common: &State<Common>,
    path: PathBuf,
    expect: Precondition,
) -> Result<Status, Refusal> {
    common.faults.delay().await;
    let expect = expect.0.ok_or((Status::BadRequest, Json(None)))?;
    platform.remove(&key_of(&path), expect).map_err(refusal)?;
    common.effects.note("delete", &[("key", &key_of(&path))]);
    Ok(Status::NoContent)
}

#[get("/list?<prefix>")]
async fn list(platform: &Platform, common: &State<Common>, prefix: &str) -> Json<Vec<Object>> {
    common.faults.delay().await;
    common.effects.note("read", &[("key", prefix)]);
    Json(platform.all(prefix))
}

#[get("/watch?<prefix>&<after>&<wait_ms>")]
async fn watch(
    platform: &Platform,
    common: &State<Common>,
    prefix: &str,
    after: Version,
    wait_ms: u64,
) -> Json<Changes> {
    common.faults.delay().await;
    common.effects.note("watch", &[("key", prefix)]);
    Json(platform.wait(prefix, after, Duration::from_millis(wait_ms)).await)
}

#[get("/instances")]
async fn instances(platform: &Platform, common: &State<Common>) -> Tagged<Vec<Instance>> {
    common.faults.delay().await;
    common.effects.note("read", &[("key", "instances")]);
    Tagged(platform.listed())
}

#[post("/instances", data = "<instance>")]
fn list_instance(platform: &Platform, instance: Json<Instance>) {
    platform.list_instance(instance.into_inner());
}

#[delete("/instances/<id>")]
fn drop_instance(platform: &Platform, id: &str) {
    platform.drop_instance(id);
}

#[get("/history")]
fn history(platform: &Platform) -> Json<Vec<Object>> {
    Json(platform.history())
}

/// Serves the platform until the process ends.
///
/// # Errors
/// As [`serve`].
pub async fn run(
    address: &str,
    writes_per_second: Option<u32>,
    common: Common,
) -> Result<(), StandinError> {
    let platform = Arc::new(MemoryPlatform::default());
    let routes = routes![
        get_object,
        put_object,
        delete_object,
        list,
        watch,
        instances,
        list_instance,
        drop_instance,
        history
    ];
    let limit = WriteLimit::new(writes_per_second);
    serve(address, common, |rocket| rocket.manage(platform).manage(limit).mount("/", routes)).await
}
