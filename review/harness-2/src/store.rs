//! A stand-in of the platform's store, by PROTOCOL.md. Each process of the
//! system reaches it at an address of its own, so that it can turn single
//! processes away.

use {
    crate::{
        http::{Reply, Request, Server},
        json::{object, Json},
    },
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// How the store treats the calls of one process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Serve,
    /// 503, nothing is done.
    Busy,
    /// No answer, nothing is done.
    Silent,
    /// Writes are done and not answered.
    LoseWrites,
    /// A third of the writes get no answer and are done 1 to 6 s later.
    LateWrites,
}

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    next_lease: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, Json)>,
    leases: HashMap<u64, Lease>,
    modes: HashMap<String, Mode>,
    /// Processes whose next submission gets no answer and is done this much later.
    delayed: HashMap<String, Duration>,
}

#[derive(Clone)]
pub struct Store {
    begun: Instant,
    state: Arc<(Mutex<State>, Condvar)>,
    /// The result of the last call that was done late.
    pub late_status: Arc<Mutex<Option<u16>>>,
}

const ANSWER_TIME: Duration = Duration::from_millis(2);

impl State {
    fn set(&mut self, key: &str, value: &str, lease: u64) {
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value: value.to_owned(),
            revision: self.revision,
            created,
            lease,
        };
        let event = describe(key, &item);
        self.events.push((self.revision, key.to_owned(), event));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = object([
                ("key", key.into()),
                ("revision", self.revision.into()),
                ("tombstone", true.into()),
            ]);
            self.events.push((self.revision, key.to_owned(), event));
        }
    }

    fn expire(&mut self, now: Instant) -> bool {
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| now >= lease.ends)
            .map(|(id, _)| *id)
            .collect();
        for lease in &ended {
            self.end_lease(*lease);
        }
        !ended.is_empty()
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let bound = |item: &Item| item.lease == lease;
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| bound(item))
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
        true
    }
}

fn describe(key: &str, item: &Item) -> Json {
    object([
        ("key", key.into()),
        ("value", item.value.as_str().into()),
        ("revision", item.revision.into()),
        ("created", item.created.into()),
        ("lease", item.lease.into()),
    ])
}

impl Store {
    pub fn new() -> Self {
        let store = Self {
            begun: Instant::now(),
            state: Arc::default(),
            late_status: Arc::default(),
        };
        let own = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(5));
            let (state, changed) = &*own.state;
            if state.lock().unwrap().expire(Instant::now()) {
                changed.notify_all();
            }
        });
        store
    }

    /// Opens the address at which one process reaches the store.
    pub fn listen(&self, process: &str) -> SocketAddr {
        self.set_mode(process, Mode::Serve);
        let store = self.clone();
        let process = process.to_owned();
        let handler = move |request| store.handle(&process, &request);
        let (_, address) = Server::start("127.0.0.1:0".parse().unwrap(), handler).unwrap();
        address
    }

    pub fn set_mode(&self, process: &str, mode: Mode) {
        let mut state = self.state.0.lock().unwrap();
        state.modes.insert(process.to_owned(), mode);
        self.state.1.notify_all();
    }

    /// Sets the mode of all processes that have called.
    pub fn set_all(&self, mode: Mode) {
        let mut state = self.state.0.lock().unwrap();
        for known in state.modes.values_mut() {
            *known = mode;
        }
        self.state.1.notify_all();
    }

    /// The next job that a process stores gets no answer and is written late, if its
    /// condition still holds then.
    pub fn delay_next(&self, process: &str, delay: Duration) {
        let mut state = self.state.0.lock().unwrap();
        state.delayed.insert(process.to_owned(), delay);
    }

    /// All leases run out, as they may while the store is down.
    pub fn expire_all(&self) {
        let mut state = self.state.0.lock().unwrap();
        let leases: Vec<u64> = state.leases.keys().copied().collect();
        for lease in leases {
            state.end_lease(lease);
        }
        self.state.1.notify_all();
    }

    fn mode(&self, process: &str) -> Mode {
        let state = self.state.0.lock().unwrap();
        state.modes.get(process).copied().unwrap_or(Mode::Serve)
    }

    /// Writes a key as the operator does.
    pub fn operate(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.set(key, &base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    /// The decoded value of a key.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let state = self.state.0.lock().unwrap();
        state.items.get(key).map(|item| unbase64(&item.value))
    }

    fn handle(&self, process: &str, request: &Request) -> Reply {
        thread::sleep(ANSWER_TIME);
        match self.mode(process) {
            Mode::Busy => return Reply::Answer(503, "{}".to_owned()),
            Mode::Silent => return Reply::Silence,
            Mode::Serve | Mode::LoseWrites | Mode::LateWrites => {}
        }
        let is_submission = request.path == "/api/kv-txn" && request.body.contains("\"fb/in/job/");
        let hash = request.body.bytes().fold(
            Instant::now().duration_since(self.begun).as_nanos() as u64,
            |hash, byte| hash.wrapping_mul(0x100000001B3) ^ u64::from(byte),
        );
        if self.mode(process) == Mode::LateWrites && request.path == "/api/kv-txn" && hash % 3 == 0
        {
            let delay = Duration::from_millis(1000 + hash / 3 % 5000);
            self.do_later(process, request, delay);
            return Reply::Silence;
        }
        let delay = self
            .state
            .0
            .lock()
            .unwrap()
            .delayed
            .remove_entry(process)
            .filter(|_| is_submission);
        if let Some((_, delay)) = delay {
            self.do_later(process, request, delay);
            return Reply::Silence;
        }
        let lost = self.mode(process) == Mode::LoseWrites
            && request.method != "GET"
            && !request.path.starts_with("/api/kv-keep");
        let (status, body) = self.answer(process, request);
        if status == 0 || lost {
            return Reply::Silence;
        }
        Reply::Answer(status, body.to_string())
    }

    /// Carries a call out late, without an answer.
    fn do_later(&self, process: &str, request: &Request, delay: Duration) {
        let (store, process) = (self.clone(), process.to_owned());
        let late = Request {
            method: request.method.clone(),
            path: request.path.clone(),
            query: Vec::new(),
            headers: Vec::new(),
            body: request.body.clone(),
        };
        thread::spawn(move || {
            thread::sleep(delay);
            let (status, _) = store.answer(&process, &late);
            *store.late_status.lock().unwrap() = Some(status);
        });
    }

    fn answer(&self, process: &str, request: &Request) -> (u16, Json) {
        let empty = || object([]);
        let (state, changed) = &*self.state;
        let path = request.path.as_str();
        match (request.method.as_str(), path) {
            ("GET", "/api/kv-key") => {
                let state = state.lock().unwrap();
                let key = request.query("key");
                match state.items.get(key) {
                    Some(item) => {
                        let Json::Object(mut fields) = describe(key, item) else {
                            unreachable!()
                        };
                        fields.insert("store_revision".to_owned(), state.revision.into());
                        (200, Json::Object(fields))
                    }
                    None => (404, object([("store_revision", state.revision.into())])),
                }
            }
            ("GET", "/api/kv-range") => {
                let state = state.lock().unwrap();
                let (prefix, after) = (request.query("prefix"), request.query("after"));
                let rows: Vec<Json> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
                    .map(|(key, item)| describe(key, item))
                    .collect();
                let more = rows.len() > 500;
                let rows: Vec<Json> = rows.into_iter().take(500).collect();
                (
                    200,
                    object([
                        ("items", rows.into()),
                        ("more_pages", more.into()),
                        ("store_revision", state.revision.into()),
                    ]),
                )
            }
            ("GET", "/api/kv-watch") => {
                let prefix = request.query("prefix");
                let after: u64 = request.query("after").parse().unwrap_or(0);
                let wait: u64 = request.query("wait_ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let mut guard = state.lock().unwrap();
                loop {
                    let is_served = guard.modes.get(process).is_none_or(|mode| {
                        matches!(mode, Mode::Serve | Mode::LoseWrites | Mode::LateWrites)
                    });
                    if !is_served {
                        return (0, Json::Null);
                    }
                    let found = guard
                        .events
                        .iter()
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
                    let found: Vec<Json> = found.map(|(_, _, event)| event.clone()).collect();
                    let now = Instant::now();
                    if !found.is_empty() || now >= until {
                        return (
                            200,
                            object([
                                ("events", found.into()),
                                ("store_revision", guard.revision.into()),
                            ]),
                        );
                    }
                    guard = changed.wait_timeout(guard, until - now).unwrap().0;
                }
            }
            ("POST", "/api/kv-txn") => {
                let Some(body) = Json::parse(&request.body) else {
                    return (400, empty());
                };
                let mut state = state.lock().unwrap();
                state.expire(Instant::now());
                let expected = body.get("expect").list();
                let current = |row: &Json| state.items.get(row.get("key").text());
                let holds = |row: &Json| {
                    current(row).map_or(0, |item| item.revision) == row.get("revision").number()
                };
                if !expected.iter().all(holds) {
                    let items = expected.iter().filter_map(|row| {
                        current(row).map(|item| describe(row.get("key").text(), item))
                    });
                    let items: Vec<Json> = items.collect();
                    return (412, object([("items", items.into())]));
                }
                let sets = body.get("set_keys").list();
                let is_known = |row: &Json| {
                    let lease = row.get("lease").number();
                    lease == 0 || state.leases.contains_key(&lease)
                };
                if !sets.iter().all(is_known) {
                    return (404, empty());
                }
                state.revision += 1;
                for row in sets {
                    state.set(
                        row.get("key").text(),
                        row.get("value").text(),
                        row.get("lease").number(),
                    );
                }
                for key in body.get("remove").list() {
                    state.remove(key.text());
                }
                changed.notify_all();
                (200, object([("revision", state.revision.into())]))
            }
            ("POST", "/api/kv-lease") => {
                let Some(body) = Json::parse(&request.body) else {
                    return (400, empty());
                };
                let ttl = body.get("ttl_ms").number().clamp(1000, 600_000);
                let mut state = state.lock().unwrap();
                state.next_lease += 1;
                let lease = state.next_lease;
                let ttl_time = Duration::from_millis(ttl);
                state.leases.insert(
                    lease,
                    Lease {
                        ttl: ttl_time,
                        ends: Instant::now() + ttl_time,
                    },
                );
                (
                    200,
                    object([("lease", lease.into()), ("ttl_ms", ttl.into())]),
                )
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let lease: u64 = path["/api/kv-keep/".len()..].parse().unwrap_or(0);
                let mut state = state.lock().unwrap();
                match state.leases.get_mut(&lease) {
                    Some(found) => {
                        found.ends = Instant::now() + found.ttl;
                        (200, empty())
                    }
                    None => (404, empty()),
                }
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let lease: u64 = path["/api/kv-lease-end/".len()..].parse().unwrap_or(0);
                let found = state.lock().unwrap().end_lease(lease);
                changed.notify_all();
                (if found { 200 } else { 404 }, empty())
            }
            _ => (404, empty()),
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().enumerate().fold(0_u32, |word, (index, byte)| {
            word | u32::from(*byte) << (16 - 8 * index)
        });
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(DIGITS[(word >> (18 - 6 * index)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn unbase64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut word, mut bits) = (0_u32, 0);
    for digit in text.bytes() {
        let Some(value) = DIGITS.iter().position(|known| *known == digit) else {
            continue;
        };
        word = word << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
        }
    }
    bytes
}
