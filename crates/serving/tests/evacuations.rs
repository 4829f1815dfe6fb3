//! Data centres that operators evacuate: what gets no requests, what is refused, and the return.

#![allow(clippy::unwrap_used, reason = "test helpers panic on failure, as tests do")]

mod common;

use {
    async_trait::async_trait,
    common::{
        ScriptedAction, ScriptedUpstreams, StreamEnd, config, group_head, plain_instance, proxy,
        read_events, request,
    },
    rstest::rstest,
    std::{
        collections::BTreeSet,
        future::Future,
        pin::Pin,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
    turmerictack_groups::{
        formation::{EngineTimes, Order},
        plan::Plan,
    },
    turmerictack_model::{
        clock::SystemClock,
        ids::{Address, Era, InstanceId},
        store_version::StoreVersion,
    },
    turmerictack_serving::{
        directory::{Instance, upstream_key},
        evacuations::Evacuations,
        group_controller::GroupController,
        heartbeat::NodeIdentity,
        interfaces::{InstanceControl, OrderResponse, PlanError, PlanStore, SendError},
        proxy::Proxy,
        rejection::{ExecutionStatus, Reason, Rejection},
        request::Reply,
        retry_budget::RetryBudgetConfig,
        tables::Tables,
    },
};

const MAX_WAIT: Duration = Duration::from_millis(500);

/// Tables of a deployment in which evacuations are requested but unread, with a group head and a
/// plain instance in each of two data centres: `e0` and `p0` in `dc-0`, `e1` and `p1` in `dc-1`.
fn unread_tables() -> Arc<Tables> {
    let retry_budget =
        RetryBudgetConfig { ratio: 0.2, window: Duration::from_secs(10), burst: 100.0 };
    let tables = Arc::new(Tables::new(1, retry_budget).with_evacuations(true));
    assert!(tables.update_config(config(1)));
    for at in 0..2 {
        let place = |instance| Instance { data_centre: format!("dc-{at}"), ..instance };
        let mut directory = tables.directory.lock();
        directory.insert(format!("e{at}"), place(group_head(at)));
        directory.insert(format!("p{at}"), place(plain_instance(at + 10)));
    }
    tables.rebuild_upstreams(Instant::now());
    tables
}

/// Applies a listing of the evacuated data centres.
fn evacuate(tables: &Tables, data_centres: &[&str]) {
    let now = Instant::now();
    let listed = data_centres.iter().map(|name| (*name).to_owned()).collect();
    tables.update_evacuations(now, |evacuations| {
        evacuations.replace_all(now, &listed, now);
        evacuations.end_due(now);
    });
}

fn evacuated_proxy(evacuated: &[&str]) -> (Arc<Proxy>, Arc<ScriptedUpstreams>) {
    let tables = unread_tables();
    evacuate(&tables, evacuated);
    let (proxy, upstreams) = proxy(&tables);
    upstreams.set_default(ScriptedAction::Respond(200, "yes"));
    (proxy, upstreams)
}

async fn serve(proxy: &Arc<Proxy>, route: &str) -> Result<(), Rejection> {
    let replying = timeout(MAX_WAIT, proxy.serve(request(route)));
    match replying.await.unwrap() {
        Reply::Rejected(rejection) => Err(rejection),
        Reply::Complete { .. } | Reply::Stream { .. } => Ok(()),
    }
}

/// Upstreams that requests were sent to.
fn used(upstreams: &ScriptedUpstreams) -> BTreeSet<InstanceId> {
    upstreams.sent.lock().unwrap().iter().map(|(id, _)| id.clone()).collect()
}

fn assert_evacuated(result: Result<(), Rejection>) {
    let rejection = result.unwrap_err();
    assert_eq!(rejection.reason, Reason::Evacuated);
    assert_eq!(rejection.execution, ExecutionStatus::NotExecuted);
    assert!(rejection.retry_after.unwrap() >= Duration::from_secs(1));
}

type Serving = Pin<Box<dyn Future<Output = Reply> + Send>>;

/// Starts requests that hang at their upstreams until one is queued, which is returned as the last.
async fn fill(proxy: &Arc<Proxy>, upstreams: &ScriptedUpstreams) -> (Vec<Serving>, Serving) {
    upstreams.set_default(ScriptedAction::Hang);
    let mut running = Vec::new();
    loop {
        let (sends, proxy) = (upstreams.sends(), Arc::clone(proxy));
        let mut serving: Serving = Box::pin(async move { proxy.serve(request("look")).await });
        assert!(is_pending(&mut serving).await);
        if upstreams.sends() == sends {
            return (running, serving);
        }
        running.push(serving);
    }
}

async fn is_pending(serving: &mut Serving) -> bool {
    timeout(Duration::from_millis(1), serving).await.is_err()
}

#[rstest]
#[tokio::test]
async fn evacuated_data_centre_gets_no_requests_until_its_return(
    #[values("look", "book", "notes")] route: &str,
) {
    let (proxy, upstreams) = evacuated_proxy(&["dc-0"]);
    for _ in 0..20 {
        serve(&proxy, route).await.unwrap();
    }
    assert_eq!(used(&upstreams).len(), 1);
    assert!(used(&upstreams).iter().all(|id| id.ends_with('1')));
    evacuate(&proxy.tables, &["dc-0", "dc-1"]);
    assert_evacuated(serve(&proxy, route).await);
    assert_eq!(upstreams.sends(), 20);
    evacuate(&proxy.tables, &[]);
    for _ in 0..20 {
        serve(&proxy, route).await.unwrap();
    }
    assert_eq!(used(&upstreams).len(), 2);
}

#[rstest]
#[tokio::test]
async fn nothing_is_sent_before_the_evacuations_are_read() {
    let tables = unread_tables();
    let (proxy, upstreams) = proxy(&tables);
    let rejection = serve(&proxy, "look").await.unwrap_err();
    assert_eq!(rejection.execution, ExecutionStatus::NotExecuted);
    assert!(tables.directory.lock().pools().is_empty(), "the node is not ready");
    upstreams.set_default(ScriptedAction::Respond(200, "yes"));
    evacuate(&tables, &[]);
    serve(&proxy, "look").await.unwrap();
}

/// Evacuates `dc-0` and `dc-1`, except the data centre of the next upstream, before its response.
fn evacuate_others_at_next_send(proxy: &Arc<Proxy>, upstreams: &Arc<ScriptedUpstreams>) {
    let (tables, sent) = (Arc::clone(&proxy.tables), Arc::clone(upstreams));
    *upstreams.before_response.lock().unwrap() = Some(Box::new(move || {
        let is_first = sent.sent.lock().unwrap()[0].0.ends_with('0');
        evacuate(&tables, if is_first { &["dc-1"] } else { &["dc-0"] });
    }));
}

#[rstest]
#[tokio::test]
async fn retry_does_not_go_to_an_evacuated_data_centre() {
    let (proxy, upstreams) = evacuated_proxy(&[]);
    upstreams.set_default(ScriptedAction::Fail(SendError::NotSent));
    evacuate_others_at_next_send(&proxy, &upstreams);
    let rejection = serve(&proxy, "look").await.unwrap_err();
    assert_eq!(rejection.execution, ExecutionStatus::NotExecuted);
    assert_eq!(upstreams.sends(), 1);
}

#[rstest]
#[tokio::test]
async fn broken_stream_is_not_resumed_in_an_evacuated_data_centre() {
    let (proxy, upstreams) = evacuated_proxy(&[]);
    upstreams.set_default(ScriptedAction::Stream { last: 3, end: StreamEnd::ConnectionLost });
    evacuate_others_at_next_send(&proxy, &upstreams);
    let Reply::Stream { mut events, .. } = proxy.serve(request("notes")).await else { panic!() };
    assert!(timeout(Duration::from_secs(8), read_events(&mut events)).await.unwrap().1.is_err());
    assert_eq!(upstreams.sends(), 1);
}

#[rstest]
#[tokio::test]
async fn queued_requests_are_refused_at_once_and_running_ones_go_on() {
    let (proxy, upstreams) = evacuated_proxy(&["dc-1"]);
    let (running, mut queued) = fill(&proxy, &upstreams).await;
    evacuate(&proxy.tables, &["dc-0", "dc-1"]);
    let Reply::Rejected(rejection) = timeout(MAX_WAIT, &mut queued).await.unwrap() else {
        panic!("not rejected")
    };
    assert_evacuated(Err(rejection));
    for mut serving in running {
        assert!(is_pending(&mut serving).await);
    }
}

/// Guards against requests whose place was chosen just before the evacuation.
#[rstest]
#[tokio::test]
async fn place_that_is_evacuated_before_the_send_is_given_back_for_another() {
    let (proxy, upstreams) = evacuated_proxy(&["dc-1"]);
    let (mut running, mut queued) = fill(&proxy, &upstreams).await;
    let places = running.len();
    // The queued request gets the slot, and learns of it only when it is polled.
    running.pop();
    evacuate(&proxy.tables, &["dc-0"]);
    assert!(is_pending(&mut queued).await);
    let sent_to = |id| upstreams.sent.lock().unwrap().iter().filter(|(to, _)| to == id).count();
    assert_eq!((sent_to("p0"), sent_to("p1")), (places, 1));
    let in_flight = |id| proxy.tables.balancer.lock().loads.in_flight(upstream_key(id)) as usize;
    assert_eq!((in_flight("p0"), in_flight("p1")), (places - 1, 1));
}

/// A response that has begun can't be refused, so its resumption waits for the return.
#[rstest]
#[tokio::test]
async fn queued_resumption_waits_for_the_return() {
    let (proxy, upstreams) = evacuated_proxy(&["dc-1"]);
    let broken = ScriptedAction::Stream { last: 3, end: StreamEnd::ConnectionLost };
    upstreams.script("e0", [broken]);
    upstreams.set_default(ScriptedAction::Stream { last: 6, end: StreamEnd::Complete });
    let Reply::Stream { mut events, .. } = proxy.serve(request("notes")).await else { panic!() };
    evacuate(&proxy.tables, &["dc-0", "dc-1"]);
    let tables = Arc::clone(&proxy.tables);
    tokio::spawn(async move {
        sleep(Duration::from_millis(300)).await;
        evacuate(&tables, &["dc-0"]);
    });
    let (text, result) = read_events(&mut events).await;
    assert!(result.is_ok());
    assert!(text.contains("piece-6"));
    let sent: Vec<InstanceId> =
        upstreams.sent.lock().unwrap().iter().map(|(id, _)| id.clone()).collect();
    assert_eq!(sent, ["e0", "e1"]);
}

/// After an outage of the store, an entry that is missing may be written again.
#[rstest]
fn evacuation_ends_only_once_its_entry_has_been_missing_for_long_enough() {
    let ms = Duration::from_millis;
    let start = Instant::now();
    let listed = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
    let mut evacuations = Evacuations::unread();
    assert_eq!(evacuations.replace_all(start, &listed(&["a", "b"]), start), ["a", "b"]);
    let end_at = start + ms(2_000);
    assert!(evacuations.replace_all(start, &listed(&[]), end_at).is_empty());
    // A later listing does not postpone the end, and an entry that is written again cancels it.
    evacuations.replace_all(start + ms(500), &listed(&["b"]), start + ms(2_500));
    assert!(evacuations.end_due(end_at - ms(1)).is_empty());
    assert_eq!(evacuations.next_end(), Some(end_at));
    assert_eq!(evacuations.end_due(end_at), ["a"]);
    assert!(!evacuations.is_evacuated("a") && evacuations.is_evacuated("b"));
    assert_eq!(evacuations.returned_at("a"), Some(end_at));
    assert_eq!(evacuations.next_end(), None);
}

/// Engines that record the probes they get, and a plan store without a plan.
#[derive(Default)]
struct RecordingEngines {
    probed: Mutex<BTreeSet<InstanceId>>,
    ordered: Mutex<BTreeSet<InstanceId>>,
}

#[async_trait]
impl InstanceControl for RecordingEngines {
    async fn send_order(&self, id: &InstanceId, _: &Address, _: &Order) -> OrderResponse {
        self.ordered.lock().unwrap().insert(id.clone());
        OrderResponse::Unanswered
    }

    async fn probe(&self, id: &InstanceId, _: &Address, _: Duration) -> bool {
        self.probed.lock().unwrap().insert(id.clone());
        true
    }
}

#[async_trait]
impl PlanStore for RecordingEngines {
    fn era(&self) -> Era {
        0
    }

    async fn read(&self) -> Result<(Plan, StoreVersion), PlanError> {
        Ok((Plan::default(), StoreVersion::default()))
    }

    async fn replace(&self, _: &Plan, _: StoreVersion) -> Result<StoreVersion, PlanError> {
        Err(PlanError::Unavailable)
    }
}

#[rstest]
#[tokio::test]
async fn suspects_in_an_evacuated_data_centre_get_neither_probes_nor_orders() {
    let tables = unread_tables();
    evacuate(&tables, &["dc-0"]);
    let now = Instant::now();
    tables.lifecycle.lock().instances_synced_at = Some(now);
    tables.balancer.lock().loads.record_suspects(now, ["e0".to_owned(), "e1".to_owned()]);
    let engines = Arc::new(RecordingEngines::default());
    let identity = NodeIdentity {
        node: "n0".to_owned(),
        address: "10.0.0.1:1".to_owned(),
        incarnation: 1,
        data_centre: "dc-0".to_owned(),
        capacity: 1_000,
    };
    tables.peers.lock().set_registered(now, vec![identity.address.clone()]);
    GroupController::spawn(
        tables,
        engines.clone(),
        engines.clone(),
        Arc::new(SystemClock::default()),
        identity,
        EngineTimes { stall_timeout: Duration::from_secs(4), drain_time: Duration::from_secs(2) },
    );
    let has_probed = async {
        while engines.probed.lock().unwrap().is_empty() {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(5), has_probed).await.unwrap();
    sleep(Duration::from_millis(300)).await;
    assert_eq!(*engines.probed.lock().unwrap(), BTreeSet::from(["e1".to_owned()]));
    assert!(!engines.ordered.lock().unwrap().contains("e0"));
}
