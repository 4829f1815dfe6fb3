//! Stand-in for the platform's object store and instance list, over HTTP.

use {
    crate::{
        error::StandinError,
        etag::JsonWithEtag,
        fault::LOST_RESPONSE_DELAY,
        memory_platform::MemoryPlatform,
        serve::{MAX_BODY_BYTES, SharedState, serve},
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
type Rejection = (Status, Json<Option<Object>>);

/// Burst capacity of the write limit, as a fraction of the writes per second.
const WRITE_BURST: f64 = 0.1;

/// Token bucket that limits writes per second.
struct WriteLimiter {
    rate: Option<f64>,
    bucket: Mutex<(f64, Instant)>,
}

impl WriteLimiter {
    fn new(rate: Option<u32>) -> Self {
        Self { rate: rate.map(f64::from), bucket: Mutex::new((1.0, Instant::now())) }
    }

    /// Takes a token for one write; returns false if none is available.
    fn try_take(&self) -> bool {
        let Some(rate) = self.rate else { return true };
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let (tokens, at) = *bucket;
        let now = Instant::now();
        let tokens = (tokens + rate * (now - at).as_secs_f64()).min(rate * WRITE_BURST);
        let is_allowed = tokens >= 1.0;
        *bucket = (if is_allowed { tokens - 1.0 } else { tokens }, now);
        is_allowed
    }
}

/// Expected state of the object, from `if-match` or `if-none-match`.
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

fn object_key(path: &std::path::Path) -> String {
    path.display().to_string()
}

fn reject(error: StoreError) -> Rejection {
    match error {
        StoreError::Conflict { current } => (Status::PreconditionFailed, Json(current)),
        _ => (Status::BadRequest, Json(None)),
    }
}

#[get("/objects/<path..>")]
async fn get_object(
    platform: &Platform,
    shared: &State<SharedState>,
    path: PathBuf,
) -> Option<Json<Object>> {
    shared.faults.delay().await;
    shared.effects.record("read", &[("key", &object_key(&path))]);
    platform.read(&object_key(&path), shared.faults.get().old_reads).map(Json)
}

#[put("/objects/<path..>", data = "<data>")]
async fn put_object(
    platform: &Platform,
    shared: &State<SharedState>,
    limiter: &State<WriteLimiter>,
    path: PathBuf,
    expect: Precondition,
    data: Data<'_>,
) -> Result<Json<Version>, Rejection> {
    let bad_request = || (Status::BadRequest, Json(None));
    shared.faults.delay().await;
    let body = data.open(ByteUnit::Byte(MAX_BODY_BYTES)).into_string().await;
    let body = body.ok().filter(|b| b.is_complete()).ok_or_else(bad_request)?;
    let expect = expect.0.ok_or_else(bad_request)?;
    if !limiter.try_take() {
        shared.effects.record("limited", &[("key", &object_key(&path))]);
        return Err((Status::TooManyRequests, Json(None)));
    }
    let written = platform.write(&object_key(&path), body.into_inner(), expect).map_err(reject);
    shared.effects.record("write", &[("key", &object_key(&path))]);
    if shared.faults.get().lose_answer {
        sleep(LOST_RESPONSE_DELAY).await;
    }
    written.map(Json)
}

#[delete("/objects/<path..>")]
async fn delete_object(
    platform: &Platform,
    shared: &State<SharedState>,
    path: PathBuf,
    expect: Precondition,
) -> Result<Status, Rejection> {
    shared.faults.delay().await;
    let expect = expect.0.ok_or((Status::BadRequest, Json(None)))?;
    platform.remove(&object_key(&path), expect).map_err(reject)?;
    shared.effects.record("delete", &[("key", &object_key(&path))]);
    Ok(Status::NoContent)
}

#[get("/list?<prefix>")]
async fn list(platform: &Platform, shared: &State<SharedState>, prefix: &str) -> Json<Vec<Object>> {
    shared.faults.delay().await;
    shared.effects.record("read", &[("key", prefix)]);
    Json(platform.list_objects(prefix))
}

#[get("/watch?<prefix>&<after>&<wait_ms>")]
async fn watch(
    platform: &Platform,
    shared: &State<SharedState>,
    prefix: &str,
    after: Version,
    wait_ms: u64,
) -> Json<Changes> {
    shared.faults.delay().await;
    shared.effects.record("watch", &[("key", prefix)]);
    Json(platform.wait(prefix, after, Duration::from_millis(wait_ms)).await)
}

#[get("/instances")]
async fn instances(
    platform: &Platform,
    shared: &State<SharedState>,
) -> JsonWithEtag<Vec<Instance>> {
    shared.faults.delay().await;
    shared.effects.record("read", &[("key", "instances")]);
    JsonWithEtag(platform.list_instances())
}

#[post("/instances", data = "<instance>")]
fn put_instance(platform: &Platform, instance: Json<Instance>) {
    platform.put_instance(instance.into_inner());
}

#[delete("/instances/<id>")]
fn remove_instance(platform: &Platform, id: &str) {
    platform.remove_instance(id);
}

#[get("/history")]
fn history(platform: &Platform) -> Json<Vec<Object>> {
    Json(platform.history())
}

/// Serves the platform until the process exits.
///
/// # Errors
/// As [`serve`].
pub async fn run(
    address: &str,
    writes_per_second: Option<u32>,
    shared: SharedState,
) -> Result<(), StandinError> {
    let platform = Arc::new(MemoryPlatform::default());
    let routes = routes![
        get_object,
        put_object,
        delete_object,
        list,
        watch,
        instances,
        put_instance,
        remove_instance,
        history
    ];
    let limiter = WriteLimiter::new(writes_per_second);
    serve(address, shared, |rocket| rocket.manage(platform).manage(limiter).mount("/", routes))
        .await
}
