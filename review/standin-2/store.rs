//! The platform's store: objects by kind and name, with conditions, listings and watches.

use {
    crate::{
        http::{self, Connection, Message},
        json::{Json, quote},
    },
    std::{
        collections::BTreeMap,
        net::TcpListener,
        sync::{Arc, Condvar, Mutex},
        time::{Duration, Instant},
    },
};

const PAGE: usize = 500;

/// Stands for the status of a watch that is cut off without an answer.
const CUT_OFF: u16 = 0;

struct Entry {
    revision: u64,
    spec: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    entries: BTreeMap<(String, String), Entry>,
    history: Vec<(u64, String, String)>,
}

impl State {
    fn write(&mut self, kind: &str, name: &str, spec: String) -> String {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(entry) = self.entries.get(&key).filter(|entry| entry.spec == spec) {
            return object(name, entry);
        }
        self.revision += 1;
        let entry = Entry { revision: self.revision, spec };
        let text = object(name, &entry);
        self.entries.insert(key, entry);
        let event = format!("{{\"object\":{text},\"deleted\":false}}");
        self.history.push((self.revision, kind.to_owned(), event));
        text
    }

    fn remove(&mut self, kind: &str, name: &str) -> Option<String> {
        let mut entry = self.entries.remove(&(kind.to_owned(), name.to_owned()))?;
        self.revision += 1;
        entry.revision = self.revision;
        let text = object(name, &entry);
        let event = format!("{{\"object\":{text},\"deleted\":true}}");
        self.history.push((self.revision, kind.to_owned(), event));
        Some(text)
    }
}

fn object(name: &str, entry: &Entry) -> String {
    format!(
        "{{\"metadata\":{{\"name\":{},\"revision\":{},\"created\":1,\"finalizers\":[],\
         \"deletionPending\":false}},\"spec\":{},\"status\":null}}",
        quote(name),
        entry.revision,
        entry.spec
    )
}

#[derive(Default)]
struct Inner {
    state: Mutex<State>,
    changed: Condvar,
    /// Time after which a watch that waits is cut off.
    cut_after: Mutex<Option<Duration>>,
}

#[derive(Clone)]
pub struct Store {
    pub address: String,
    inner: Arc<Inner>,
}

impl Store {
    pub fn open(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the store");
        let address = listener.local_addr().expect("an address").to_string();
        let inner = Arc::new(Inner::default());
        let served = Arc::clone(&inner);
        http::serve(listener, move |request, connection| served.handle(&request, connection));
        Self { address, inner }
    }

    pub fn put(&self, kind: &str, name: &str, spec: String) {
        self.inner.state.lock().expect("the state").write(kind, name, spec);
        self.inner.changed.notify_all();
    }

    /// Cuts off each watch that has waited for this long.
    pub fn cut_watches_after(&self, time: Option<Duration>) {
        *self.inner.cut_after.lock().expect("the time") = time;
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.inner.state.lock().expect("the state").remove(kind, name);
        self.inner.changed.notify_all();
    }
}

impl Inner {
    fn handle(&self, request: &Message, connection: &mut Connection) -> bool {
        let (status, body) = self.answer(request);
        if status == CUT_OFF {
            return false;
        }
        let reason = if status == 200 { "OK" } else { "Other" };
        let fields = "Content-Type: application/json\r\n";
        connection.respond(&format!("{status} {reason}"), fields, body.as_bytes()).is_ok()
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let mut parts = path.trim_start_matches("/api/objects/").split('/');
        let kind = parts.next().unwrap_or_default();
        let name = parts.next();
        let sent = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let expected = sent.get("metadata").get("revision").number();
        match (request.word(0), name) {
            ("GET", None) if query.contains_key("watch") => {
                let after = query["watch"].parse().unwrap_or(0);
                let wait = query.get("waitMs").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                self.watch(kind, after, Duration::from_millis(wait))
            }
            ("GET", None) => self.list(kind, query.get("after").copied().unwrap_or_default()),
            ("GET", Some(name)) => {
                let state = self.state.lock().expect("the state");
                match state.entries.get(&(kind.to_owned(), name.to_owned())) {
                    Some(entry) => (200, object(name, entry)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("POST", None) => {
                let name = sent.get("metadata").get("name").text().unwrap_or_default().to_owned();
                self.change(kind, &name, sent.get("spec"), None, true)
            }
            ("PUT", Some(name)) => self.change(kind, name, sent.get("spec"), expected, false),
            ("DELETE", Some(name)) => {
                let removed = self.state.lock().expect("the state").remove(kind, name);
                self.changed.notify_all();
                removed.map_or((404, "{}".to_owned()), |object| (200, object))
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn change(
        &self,
        kind: &str,
        name: &str,
        spec: &Json,
        expected: Option<u64>,
        is_new: bool,
    ) -> (u16, String) {
        let mut state = self.state.lock().expect("the state");
        let current = state.entries.get(&(kind.to_owned(), name.to_owned()));
        match current {
            None if !is_new => return (404, "{}".to_owned()),
            Some(entry) if is_new || expected.is_some_and(|r| r != entry.revision) => {
                return (409, object(name, entry));
            }
            _ => {}
        }
        let text = state.write(kind, name, spec.write());
        drop(state);
        self.changed.notify_all();
        (200, text)
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.state.lock().expect("the state");
        let rest = state.entries.iter().filter(|((k, n), _)| k == kind && n.as_str() > after);
        let rest: Vec<String> = rest.map(|((_, name), entry)| object(name, entry)).collect();
        let page = &rest[..rest.len().min(PAGE)];
        let more = rest.len() > PAGE;
        let entries = page.join(",");
        (200, format!("{{\"entries\":[{entries}],\"more\":{more},\"at\":{}}}", state.revision))
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let cut_after = *self.cut_after.lock().expect("the time");
        let cut_at = cut_after.map(|time| Instant::now() + time).filter(|at| *at < end);
        let mut state = self.state.lock().expect("the state");
        loop {
            if after > state.revision {
                return (410, "{}".to_owned());
            }
            let events: Vec<&str> = state
                .history
                .iter()
                .filter(|(at, k, _)| *at > after && k == kind)
                .map(|(_, _, event)| event.as_str())
                .collect();
            let left = cut_at.unwrap_or(end).saturating_duration_since(Instant::now());
            if events.is_empty() && left.is_zero() && cut_at.is_some() {
                return (CUT_OFF, String::new());
            }
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return (200, format!("{{\"events\":[{events}],\"at\":{}}}", state.revision));
            }
            state = self.changed.wait_timeout(state, left).expect("the state").0;
        }
    }
}
