//! A stand-in for the platform's metadata store.

use {
    crate::{
        http::{Reply, Request, Server},
        json::{quote, Json},
        record::Record,
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, u64)>,
    next_lease: u64,
}

/// What happens to a transaction.
pub enum Fate {
    Normal,
    /// It gets no answer, and is carried out after this time if its condition
    /// still holds.
    Late(Duration),
}

type Judge = Box<dyn Fn(&Json) -> Fate + Send + Sync>;

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    judge: Arc<Mutex<Option<Judge>>>,
    record: Record,
}

impl Store {
    pub fn start(address: SocketAddr, record: Record) -> Self {
        let store = Self {
            state: Arc::default(),
            judge: Arc::default(),
            record,
        };
        store.state.0.lock().unwrap().revision = 100;
        let served = store.clone();
        std::mem::forget(Server::start(address, move |request| {
            served.handle(&request)
        }));
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(10));
            expiring.expire();
        });
        store
    }

    /// Sets what happens to transactions.
    pub fn judge(&self, judge: impl Fn(&Json) -> Fate + Send + Sync + 'static) {
        *self.judge.lock().unwrap() = Some(Box::new(judge));
    }

    /// Writes a key as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        set(&mut state, key, &base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    fn expire(&self) {
        let mut state = self.state.0.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            end_lease(&mut state, lease);
            self.state.1.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Reply {
        // An answer takes some milliseconds.
        thread::sleep(Duration::from_millis(3));
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let (status, text) = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/api/kv-key") => self.key(&query("key")),
            ("GET", "/api/kv-range") => self.range(&query("prefix"), &query("after")),
            ("GET", "/api/kv-watch") => self.watch(
                &query("prefix"),
                query("after").parse().unwrap_or(0),
                query("wait_ms").parse().unwrap_or(0),
            ),
            ("POST", "/api/kv-txn") => {
                let fate = match &*self.judge.lock().unwrap() {
                    Some(judge) => judge(&body),
                    None => Fate::Normal,
                };
                if let Fate::Late(delay) = fate {
                    let late = self.clone();
                    thread::spawn(move || {
                        thread::sleep(delay);
                        let (status, _) = late.transact(&body);
                        late.record.line(&format!(
                            "store: transaction without an answer carried out late, result {status}, keys {}",
                            written(&body)
                        ));
                    });
                    return Reply::Silence;
                }
                self.transact(&body)
            }
            ("POST", "/api/kv-lease") => {
                let ttl = body.get("ttl_ms").u64().clamp(1000, 600_000);
                let mut state = self.state.0.lock().unwrap();
                state.next_lease += 1;
                let lease = 77_000 + state.next_lease;
                let until = Instant::now() + Duration::from_millis(ttl);
                state.leases.insert(lease, (until, ttl));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            (_, path) => self.lease(path),
        };
        Reply::Answer(status, text)
    }

    fn lease(&self, path: &str) -> (u16, String) {
        let number = |prefix: &str| path.strip_prefix(prefix).and_then(|id| id.parse().ok());
        let mut state = self.state.0.lock().unwrap();
        if let Some(lease) = number("/api/kv-keep/") {
            return match state.leases.get_mut(&lease) {
                Some((until, ttl)) => {
                    *until = Instant::now() + Duration::from_millis(*ttl);
                    (200, "{}".to_owned())
                }
                None => (404, "{}".to_owned()),
            };
        }
        if let Some(lease) = number("/api/kv-lease-end/") {
            end_lease(&mut state, lease);
            self.state.1.notify_all();
            return (200, "{}".to_owned());
        }
        (404, "{}".to_owned())
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        match state.items.get(key) {
            Some(item) => {
                let row = encode(key, Some(item), item.revision);
                let end = format!(",\"store_revision\":{}}}", state.revision);
                (200, row[..row.len() - 1].to_owned() + &end)
            }
            None => (404, format!("{{\"store_revision\":{}}}", state.revision)),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let rows: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, item)| encode(key, Some(item), item.revision))
            .take(501)
            .collect();
        let more = rows.len() > 500;
        let page = rows[..rows.len().min(500)].join(",");
        let revision = state.revision;
        (
            200,
            format!("{{\"items\":[{page}],\"more_pages\":{more},\"store_revision\":{revision}}}"),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.0.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| encode(key, item.as_ref(), *revision))
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let revision = state.revision;
                let text = events.join(",");
                let body = format!("{{\"events\":[{text}],\"store_revision\":{revision}}}");
                return (200, body);
            }
            state = self.state.1.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.0.lock().unwrap();
        let revision = |state: &State, key: &str| state.items.get(key).map_or(0, |i| i.revision);
        let expected = body.get("expect").list();
        let holds = expected
            .iter()
            .all(|row| revision(&state, row.get("key").text()) == row.get("revision").u64());
        if !holds {
            let rows: Vec<String> = expected
                .iter()
                .filter_map(|row| {
                    let key = row.get("key").text();
                    let item = state.items.get(key)?;
                    Some(encode(key, Some(item), item.revision))
                })
                .collect();
            return (412, format!("{{\"items\":[{}]}}", rows.join(",")));
        }
        let sets = body.get("set_keys").list();
        let missing = |row: &Json| {
            let lease = row.get("lease").u64();
            lease != 0 && !state.leases.contains_key(&lease)
        };
        if sets.iter().any(missing) {
            return (404, "{}".to_owned());
        }
        state.revision += 1;
        for row in sets {
            let lease = row.get("lease").u64();
            set(
                &mut state,
                row.get("key").text(),
                row.get("value").text(),
                lease,
            );
        }
        for key in body.get("remove").list() {
            remove(&mut state, key.text());
        }
        self.state.1.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

/// Lists the keys that a transaction writes.
pub fn written(body: &Json) -> String {
    let sets = body.get("set_keys").list().iter();
    let keys: Vec<&str> = sets.map(|row| row.get("key").text()).collect();
    keys.join(" ")
}

fn set(state: &mut State, key: &str, value: &str, lease: u64) {
    let revision = state.revision;
    let created = state.items.get(key).map_or(revision, |item| item.created);
    let item = Item {
        value: value.to_owned(),
        revision,
        created,
        lease,
    };
    state.items.insert(key.to_owned(), item.clone());
    state.history.push((revision, key.to_owned(), Some(item)));
}

fn remove(state: &mut State, key: &str) {
    if state.items.remove(key).is_some() {
        let revision = state.revision;
        state.history.push((revision, key.to_owned(), None));
    }
}

fn end_lease(state: &mut State, lease: u64) {
    state.leases.remove(&lease);
    let keys: Vec<String> = state
        .items
        .iter()
        .filter(|(_, item)| item.lease == lease)
        .map(|(key, _)| key.clone())
        .collect();
    if !keys.is_empty() {
        state.revision += 1;
    }
    for key in keys {
        remove(state, &key);
    }
}

fn encode(key: &str, item: Option<&Item>, revision: u64) -> String {
    let key = quote(key);
    match item {
        Some(item) => format!(
            "{{\"key\":{key},\"value\":{},\"revision\":{},\"created\":{},\"lease\":{}}}",
            quote(&item.value),
            item.revision,
            item.created,
            item.lease
        ),
        None => format!("{{\"key\":{key},\"revision\":{revision},\"tombstone\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let padded = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for place in 0..4 {
            if place <= chunk.len() {
                out.push(char::from(
                    LETTERS[(bits >> (18 - 6 * place) & 63) as usize],
                ));
            } else {
                out.push('=');
            }
        }
    }
    out
}
