//! Stand-in of the platform's metadata store, in the form of objects.

use crate::{
    http::{self, Request, listen, respond},
    json::Json,
};
use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::TcpStream,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

/// Time for which changes are kept.
const HISTORY: Duration = Duration::from_secs(20);

/// Size of a watch's answer, as of a page of a listing; the next watch goes on from its `at`.
const PAGE_BYTES: usize = 1_000_000;

struct Change {
    at: Instant,
    revision: u64,
    kind: String,
    /// The event as watches get it.
    event: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    history: VecDeque<Change>,
    /// Revision up to which the history is gone.
    compacted: u64,
}

#[derive(Default)]
struct Inner {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Clone)]
pub struct Store {
    pub address: String,
    inner: Arc<Inner>,
}

fn object_text(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
         \"finalizers\":[],\"deletionPending\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> String {
        let key = (kind.to_owned(), name.to_owned());
        if let Some((revision, known)) = self.objects.get(&key)
            && known == spec
        {
            return object_text(name, *revision, spec);
        }
        self.revision += 1;
        self.objects.insert(key, (self.revision, spec.to_owned()));
        let object = object_text(name, self.revision, spec);
        self.record(kind, &object, false);
        object
    }

    fn record(&mut self, kind: &str, object: &str, deleted: bool) {
        let now = Instant::now();
        let event = format!("{{\"deleted\":{deleted},\"object\":{object}}}");
        let revision = self.revision;
        self.history.push_back(Change { at: now, revision, kind: kind.to_owned(), event });
        while self.history.front().is_some_and(|c| now >= c.at + HISTORY) {
            let dropped = self.history.pop_front();
            self.compacted = dropped.map_or(self.compacted, |c| c.revision);
        }
    }
}

impl Store {
    pub fn spawn() -> Self {
        let (listener, address) = listen();
        let inner = Arc::new(Inner::default());
        inner.state.lock().unwrap().revision = 100;
        let store = Self { address, inner };
        let handler = store.clone();
        http::serve(listener, move |request, stream| handler.handle(request, stream));
        store
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.inner.state.lock().unwrap().put(kind, name, spec);
        self.inner.changed.notify_all();
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let mut parts = request.path.trim_start_matches("/api/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next();
        let (status, body) = match (request.method.as_str(), name) {
            ("GET", None) if request.query_value("watch").is_some() => self.watch(&kind, request),
            ("GET", None) => self.list(&kind, request),
            ("GET", Some(name)) => {
                let state = self.inner.state.lock().unwrap();
                match state.objects.get(&(kind, name.to_owned())) {
                    Some((revision, spec)) => (200, object_text(name, *revision, spec)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("POST", None) | ("PUT", Some(_)) => self.write(&kind, name, request),
            _ => (404, "{}".to_owned()),
        };
        respond(stream, status, &[("Content-Type", "application/json")], body.as_bytes())
    }

    fn list(&self, kind: &str, request: &Request) -> (u16, String) {
        let state = self.inner.state.lock().unwrap();
        let after = request.query_value("after").unwrap_or_default();
        let entries: Vec<String> = state
            .objects
            .iter()
            .filter(|((k, name), _)| k == kind && name.as_str() > after)
            .map(|((_, name), (revision, spec))| object_text(name, *revision, spec))
            .collect();
        let entries = entries.join(",");
        (200, format!("{{\"entries\":[{entries}],\"more\":false,\"at\":{}}}", state.revision))
    }

    fn watch(&self, kind: &str, request: &Request) -> (u16, String) {
        let number = |name| request.query_value(name).and_then(|v| v.parse().ok()).unwrap_or(0);
        let (after, wait_ms): (u64, u64) = (number("watch"), number("waitMs"));
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.inner.state.lock().unwrap();
        loop {
            if after < state.compacted {
                return (410, "{}".to_owned());
            }
            let is_new = |c: &&Change| c.revision > after && c.kind == kind;
            let (mut events, mut bytes, mut at) = (Vec::new(), 0, state.revision);
            for change in state.history.iter().filter(is_new) {
                if bytes > 0 && bytes + change.event.len() > PAGE_BYTES {
                    break;
                }
                bytes += change.event.len();
                events.push(change.event.as_str());
                at = change.revision;
            }
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            state = self.inner.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(&self, kind: &str, name: Option<&str>, request: &Request) -> (u16, String) {
        let text = String::from_utf8_lossy(&request.body);
        let Some(body) = Json::parse(&text) else { return (400, "{}".to_owned()) };
        let metadata = body.get("metadata");
        let spec = body.get("spec").write();
        let mut state = self.inner.state.lock().unwrap();
        let key_name = name.unwrap_or(metadata.get("name").text()).to_owned();
        let known = state.objects.get(&(kind.to_owned(), key_name.clone())).cloned();
        let current = known.as_ref().map(|(rev, spec)| object_text(&key_name, *rev, spec));
        match (name, current) {
            (None, Some(current)) => return (409, current),
            (Some(_), None) => return (404, "{}".to_owned()),
            (Some(_), Some(current)) => {
                let expected = metadata.get("revision").number();
                if expected.is_some_and(|e| Some(e) != known.as_ref().map(|(rev, _)| *rev)) {
                    return (409, current);
                }
            }
            (None, None) => {}
        }
        let object = state.put(kind, &key_name, &spec);
        self.inner.changed.notify_all();
        (200, object)
    }
}
