//! Calls that may be executed once and whose callers disconnect, at a node whose interfaces are fakes.

#![allow(clippy::unwrap_used, reason = "test helpers panic on failure, as tests do")]

use {
    async_trait::async_trait,
    bytes::Bytes,
    rstest::rstest,
    serde_json::json,
    std::{
        net::TcpListener,
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{
            Notify,
            mpsc::{self, Receiver},
        },
        time::{sleep, timeout},
    },
    turmerictack_node::{
        call::{Call, Output, Payload},
        interfaces::Interfaces,
        node::Node,
    },
    turmerictack_platform::{
        instance::{Instance, InstanceState},
        store::ExpectedState,
    },
    turmerictack_settings::{
        node::NodeSettings,
        stored::{SETTINGS_KEY, StoredServices},
    },
    turmerictack_standin::{
        fleet_config::{FleetConfig, services_json},
        memory_platform::MemoryPlatform,
    },
    turmerictack_upstream::{
        engine::{Engine, GenerateRequest, MemberReport, Order, ResponseStream},
        error::UpstreamError,
        gate::SendGate,
        service::{PlainCall, PlainResponse, PlainService},
    },
};

/// Time in which a call that can be sent has been sent, and one that ends has ended.
const SETTLING_TIME: Duration = Duration::from_millis(200);
const LIMIT: Duration = Duration::from_secs(10);
const INSTANCE: &str = "booking-1";

/// A booking service whose connections open, and whose responses come, when the test says so.
#[derive(Default)]
struct BookingService {
    attempts: AtomicUsize,
    connects: Notify,
    responds: Notify,
    /// Whether each attempt got permission to send its body.
    released: Mutex<Vec<bool>>,
    responses: AtomicUsize,
}

#[async_trait]
impl PlainService for BookingService {
    async fn call(
        &self,
        _call: PlainCall,
        gate: Arc<dyn SendGate>,
    ) -> Result<PlainResponse, UpstreamError> {
        self.attempts.fetch_add(1, Ordering::SeqCst);
        self.connects.notified().await;
        let is_released = gate.release().await;
        self.released.lock().unwrap().push(is_released);
        if !is_released {
            return Err(UpstreamError::NotSent);
        }
        self.responds.notified().await;
        self.responses.fetch_add(1, Ordering::SeqCst);
        Ok(PlainResponse { status: 200, content_type: None, body: Bytes::from_static(b"done") })
    }
}

#[async_trait]
impl Engine for BookingService {
    async fn generate(
        &self,
        _call: GenerateRequest,
        _gate: Arc<dyn SendGate>,
    ) -> Result<Box<dyn ResponseStream>, UpstreamError> {
        Err(UpstreamError::NotSent)
    }

    async fn report(&self, _address: &str) -> Result<MemberReport, UpstreamError> {
        Ok(MemberReport {
            instance: INSTANCE.to_owned(),
            membership: None,
            fence: 0,
            model: None,
            ready: true,
            leaving: false,
            running: 0,
            member_reports: Vec::new(),
            member_reports_age: Duration::ZERO,
        })
    }

    async fn send_order(&self, _address: &str, _order: &Order) -> Result<(), UpstreamError> {
        Ok(())
    }
}

fn free_address() -> String {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string()
}

/// A node with one instance of a booking service.
async fn spawn_node() -> (Node, Arc<BookingService>) {
    let config = FleetConfig { groups: 0, ..FleetConfig::default() };
    let platform = Arc::new(MemoryPlatform::default());
    let stored = StoredServices { revision: 1, nonce: 1, text: services_json(&config, 40) };
    let value = serde_json::to_string(&stored).unwrap();
    platform.write(SETTINGS_KEY, value, ExpectedState::Absent).unwrap();
    platform.put_instance(Instance {
        id: INSTANCE.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        pool: "bookings".to_owned(),
        data_centre: "dc-1".to_owned(),
        fabric_domain: None,
        state: InstanceState::Live,
    });
    let text = json!({
        "node": "n1", "data_centre": "dc-1", "caller_address": free_address(),
        "operator_address": free_address(), "peer_address": free_address(),
        "platform": "http://127.0.0.1:1", "operator_key": "an-operator-key-for-tests",
        "peer_key": "a-key-of-nodes-for-tests", "seed": 1,
    });
    let settings = NodeSettings::parse("node.json", &text.to_string()).unwrap();
    let service = Arc::new(BookingService::default());
    let interfaces = Interfaces {
        store: platform.clone(),
        instances: platform,
        engine: service.clone(),
        service: service.clone(),
        ..Interfaces::open(&settings).unwrap()
    };
    (Node::spawn(settings, interfaces).await.unwrap(), service)
}

/// Places a booking without a key, and waits until it is being sent.
async fn book(node: &Node, service: &BookingService) -> Receiver<Output> {
    let placing = async {
        loop {
            let (tx, rx) = mpsc::channel(1);
            let call = Call {
                caller: "member".to_owned(),
                weight: 1,
                service: "bookings".to_owned(),
                rank: None,
                key: None,
                deadline: None,
                payload: Payload::Plain {
                    method: "POST".to_owned(),
                    path: "bookings".to_owned(),
                    content_type: None,
                    body: Bytes::from_static(b"a crew"),
                },
            };
            // The service opens once the node has probed its instance.
            if node.shared().proxy.serve(call, tx).await.is_ok() {
                while service.attempts.load(Ordering::SeqCst) == 0 && !rx.is_closed() {
                    sleep(Duration::from_millis(10)).await;
                }
                return rx;
            }
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(LIMIT, placing).await.unwrap()
}

/// Guards against a booking that is sent once its connection is open, although its caller has
/// disconnected (GONE).
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn booking_is_not_sent_after_its_caller_has_disconnected() {
    let (node, service) = spawn_node().await;
    drop(book(&node, &service).await);
    sleep(SETTLING_TIME).await;
    service.connects.notify_one();
    sleep(SETTLING_TIME).await;
    assert!(!service.released.lock().unwrap().contains(&true));
    assert_eq!(service.attempts.load(Ordering::SeqCst), 1);
    drop(node);
}

/// A booking that was sent may have been executed, so it goes on.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn booking_that_was_sent_goes_on_after_its_caller_has_disconnected() {
    let (node, service) = spawn_node().await;
    let outputs = book(&node, &service).await;
    service.connects.notify_one();
    sleep(SETTLING_TIME).await;
    drop(outputs);
    sleep(SETTLING_TIME).await;
    service.responds.notify_one();
    sleep(SETTLING_TIME).await;
    assert_eq!(*service.released.lock().unwrap(), [true]);
    assert_eq!(service.responses.load(Ordering::SeqCst), 1);
    drop(node);
}
