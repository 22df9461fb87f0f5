//! A stand-in of the platform's store. Each process reaches it at an address of
//! its own, so that it can turn one process away.

use crate::{
    http::{Reply, Request, Server},
    json::{quote, Json},
    record::Record,
    JOB,
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

#[derive(Clone)]
struct Item {
    /// The value in Base64, as it was written.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    until: Instant,
    ttl: Duration,
    owner: SocketAddr,
}

/// How the store treats one process.
#[derive(Clone, Copy, Default)]
pub struct Mood {
    /// Answers 503 to every call.
    pub busy: bool,
    /// Gives no answer to the write that stores [`JOB`], and carries it out after
    /// this time, if its condition still holds.
    pub late: Option<Duration>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    log: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, Lease>,
    moods: BTreeMap<SocketAddr, Mood>,
    writes: u32,
    unanswered: u32,
    leader: Option<SocketAddr>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

/// Answer time of a call.
const ANSWER_TIME: Duration = Duration::from_millis(4);

impl Store {
    pub fn new(record: Record) -> Store {
        let store = Store {
            state: Arc::default(),
            record,
        };
        store.state.0.lock().unwrap().revision = 100;
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            let now = Instant::now();
            expiring.end_leases(|lease| now >= lease.until);
        });
        store
    }

    /// Serves one process at an address of its own.
    pub fn listen(&self, address: SocketAddr) -> Server {
        let store = self.clone();
        Server::start(address, move |request| store.handle(address, &request))
    }

    pub fn set_mood(&self, process: SocketAddr, mood: Mood) {
        self.state.0.lock().unwrap().moods.insert(process, mood);
    }

    /// Takes the keys away that are bound to leases of one process.
    /// The leases go on, so that no request shows it.
    pub fn revoke(&self, process: SocketAddr) {
        let mut state = self.state.0.lock().unwrap();
        let leases = state.leases.iter();
        let owned: Vec<u64> = leases
            .filter(|(_, lease)| lease.owner == process)
            .map(|(id, _)| *id)
            .collect();
        for id in owned {
            state.remove_bound(id);
        }
        self.state.1.notify_all();
    }

    /// Returns which process last wrote the leader's key.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.state.0.lock().unwrap().leader
    }

    /// Begins to count writes.
    pub fn count_writes(&self) {
        let mut state = self.state.0.lock().unwrap();
        (state.writes, state.unanswered) = (0, 0);
    }

    /// Returns the writes since then, and how many of them got no answer.
    pub fn writes(&self) -> (u32, u32) {
        let state = self.state.0.lock().unwrap();
        (state.writes, state.unanswered)
    }

    /// Writes a key as the operator.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.set(key, base64(value.as_bytes()), 0, revision);
        self.state.1.notify_all();
    }

    fn end_leases(&self, ends: impl Fn(&Lease) -> bool) {
        let mut state = self.state.0.lock().unwrap();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, lease)| ends(lease))
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            state.end_lease(id);
        }
        self.state.1.notify_all();
    }

    fn handle(&self, process: SocketAddr, request: &Request) -> Reply {
        thread::sleep(ANSWER_TIME);
        let mood = self
            .state
            .0
            .lock()
            .unwrap()
            .moods
            .get(&process)
            .copied()
            .unwrap_or_default();
        if mood.busy {
            return Reply::Answer(503, "{}".into());
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        match request.path.as_str() {
            "/api/kv-key" => self.get(request.parameter("key")),
            "/api/kv-range" => self.range(request.parameter("prefix"), request.parameter("after")),
            "/api/kv-watch" => self.watch(process, request),
            "/api/kv-txn" => self.transact(process, mood, &body),
            "/api/kv-lease" => self.grant(process, &body),
            path => {
                let id = |prefix| {
                    path.strip_prefix(prefix)
                        .and_then(|id| id.parse::<u64>().ok())
                };
                let mut state = self.state.0.lock().unwrap();
                if let Some(id) = id("/api/kv-keep/") {
                    let Some(lease) = state.leases.get_mut(&id) else {
                        return Reply::Answer(404, "{}".into());
                    };
                    lease.until = Instant::now() + lease.ttl;
                    let ttl = lease.ttl.as_millis();
                    return Reply::Answer(200, format!("{{\"ttl_ms\":{ttl}}}"));
                }
                if let Some(id) = id("/api/kv-lease-end/") {
                    state.end_lease(id);
                    self.state.1.notify_all();
                    return Reply::Answer(200, "{}".into());
                }
                Reply::Answer(404, "{}".into())
            }
        }
    }

    fn get(&self, key: &str) -> Reply {
        let state = self.state.0.lock().unwrap();
        match state.items.get(key) {
            Some(item) => {
                let row = row(key, item);
                let row = row.trim_end_matches('}');
                Reply::Answer(
                    200,
                    format!("{row},\"store_revision\":{}}}", state.revision),
                )
            }
            None => Reply::Answer(404, "{}".into()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Reply {
        let state = self.state.0.lock().unwrap();
        let items = state.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let rows: Vec<String> = items.map(|(key, item)| row(key, item)).collect();
        let (rows, revision) = (rows.join(","), state.revision);
        let body =
            format!("{{\"items\":[{rows}],\"more_pages\":false,\"store_revision\":{revision}}}");
        Reply::Answer(200, body)
    }

    fn watch(&self, process: SocketAddr, request: &Request) -> Reply {
        let prefix = request.parameter("prefix");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait: u64 = request.parameter("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.0.lock().unwrap();
        loop {
            if state.moods.get(&process).is_some_and(|mood| mood.busy) {
                return Reply::Answer(503, "{}".into());
            }
            let log = state.log.iter();
            let found = log.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let rows: Vec<String> = found
                .map(|(at, key, item)| match item {
                    Some(item) => row(key, item),
                    None => format!(
                        "{{\"key\":{},\"revision\":{at},\"tombstone\":true}}",
                        quote(key)
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let (rows, revision) = (rows.join(","), state.revision);
                let body = format!("{{\"events\":[{rows}],\"store_revision\":{revision}}}");
                return Reply::Answer(200, body);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn grant(&self, owner: SocketAddr, body: &Json) -> Reply {
        let ttl = body.number("ttl_ms").unwrap_or(1000).clamp(1000, 600_000);
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let id = 70_000 + state.revision;
        let ttl_time = Duration::from_millis(ttl);
        let lease = Lease {
            until: Instant::now() + ttl_time,
            ttl: ttl_time,
            owner,
        };
        state.leases.insert(id, lease);
        Reply::Answer(200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
    }

    fn transact(&self, process: SocketAddr, mood: Mood, body: &Json) -> Reply {
        let sets_job = body.list("set_keys").iter().any(|set| {
            set.text("key")
                .is_some_and(|key| key.starts_with("fb/in/job/") && key.ends_with(JOB))
        });
        let sets_leader = body
            .list("set_keys")
            .iter()
            .any(|set| set.text("key") == Some("fb/leader"));
        if sets_leader {
            self.state.0.lock().unwrap().leader = Some(process);
        }
        self.state.0.lock().unwrap().writes += 1;
        if let Some(delay) = mood.late.filter(|_| sets_job) {
            self.state.0.lock().unwrap().unanswered += 1;
            let (store, body) = (self.clone(), body.clone());
            self.record
                .line(format!("store: a write through {process} gets no answer"));
            thread::spawn(move || {
                thread::sleep(delay);
                let status = match store.commit(&body) {
                    Reply::Answer(status, _) => status,
                    Reply::Close => 0,
                };
                store.record.line(format!(
                    "store: that write is carried out late, result {status}"
                ));
            });
            // The connection stays open, and nothing comes back on it.
            thread::sleep(Duration::from_secs(10));
            return Reply::Close;
        }
        self.commit(body)
    }

    fn commit(&self, body: &Json) -> Reply {
        let mut state = self.state.0.lock().unwrap();
        let revision_of =
            |state: &State, key: &str| state.items.get(key).map_or(0, |item| item.revision);
        let expect = body.list("expect");
        let holds = expect.iter().all(|row| {
            row.text("key")
                .is_some_and(|key| revision_of(&state, key) == row.number("revision").unwrap_or(0))
        });
        if !holds {
            let keys = expect.iter().filter_map(|row| row.text("key"));
            let rows: Vec<String> = keys
                .filter_map(|key| Some(row(key, state.items.get(key)?)))
                .collect();
            return Reply::Answer(412, format!("{{\"items\":[{}]}}", rows.join(",")));
        }
        let lease_of = |set: &Json| set.number("lease").unwrap_or(0);
        if body
            .list("set_keys")
            .iter()
            .any(|set| lease_of(set) != 0 && !state.leases.contains_key(&lease_of(set)))
        {
            return Reply::Answer(404, "{}".into());
        }
        state.revision += 1;
        let revision = state.revision;
        for set in body.list("set_keys") {
            if let (Some(key), Some(value)) = (set.text("key"), set.text("value")) {
                state.set(key, value.to_owned(), lease_of(set), revision);
            }
        }
        for key in body.list("remove") {
            if let Json::Text(key) = key {
                state.remove(key, revision);
            }
        }
        self.state.1.notify_all();
        Reply::Answer(200, format!("{{\"revision\":{revision}}}"))
    }
}

impl State {
    fn set(&mut self, key: &str, value: String, lease: u64, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.log.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str, revision: u64) {
        if self.items.remove(key).is_some() {
            self.log.push((revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        self.remove_bound(id);
    }

    fn remove_bound(&mut self, id: u64) {
        let bound = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        let revision = self.revision;
        for key in keys {
            self.remove(&key, revision);
        }
    }
}

fn row(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let at = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let word = at(0) << 16 | at(1) << 8 | at(2);
        for digit in 0..4 {
            let value = word >> (18 - 6 * digit) & 63;
            let is_padding = digit > chunk.len();
            text.push(if is_padding {
                '='
            } else {
                DIGITS[value as usize] as char
            });
        }
    }
    text
}
