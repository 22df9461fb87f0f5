//! Generates a steady load of checks, orders and jobs on several entries and
//! records the results that its callers observe.
//!
//! Callers choose an entry as the platform's load balancer does: by readiness,
//! polled four times a second. A caller retries a request that was refused
//! without having run, with exponential backoff and not before the stated delay.
//! Latencies count from the time at which the request was due.

use {
    filbertbend_standin::{
        client::{Answer, Client},
        fleet::wait_for,
    },
    hyper::Method,
    hyper_util::client::legacy::Error as ClientError,
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{
            atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst},
            Arc, Mutex, MutexGuard, PoisonError,
        },
        time::Duration,
    },
    tokio::{
        task::JoinSet,
        time::{sleep, sleep_until, timeout, Instant},
    },
};

const CALLERS: usize = 16;
const CUSTOMERS: usize = 8;
const SUBMITTERS: usize = 4;
const ORDER_INTERVAL: Duration = Duration::from_millis(250);
const JOB_INTERVAL: Duration = Duration::from_millis(500);
const CHECK_DEADLINE: Duration = Duration::from_secs(10);
/// Longer than the deadline, so that a check without any outcome can be told from
/// one that was refused at its deadline.
const CHECK_TIMEOUT: Duration = Duration::from_secs(12);
const BACKOFF_MIN: Duration = Duration::from_millis(20);
const BACKOFF_MAX: Duration = Duration::from_secs(1);
const ORDER_TIMEOUT: Duration = Duration::from_secs(30);
const RESULT_TIMEOUT: Duration = Duration::from_secs(20);

/// The fault of a check that was in progress on a killed entry.
pub const ON_KILLED_ENTRY: &str = "on killed entry";

/// A check as its caller observed it.
pub struct Check {
    /// When the check was due.
    pub due: Instant,
    /// When its outcome was known.
    pub ended: Instant,
    /// Why the check failed; `None` if it got the correct answer.
    pub fault: Option<String>,
}

/// An order as its caller observed it.
pub struct Order {
    /// Index of the phase in which it was first sent.
    pub phase: usize,
    /// When it was first sent.
    pub started_at: Instant,
    /// When its outcome was known.
    pub ended: Instant,
    /// `done`, or the last outcome and `ran` before the caller gave up.
    pub outcome: String,
}

/// The results that the callers recorded.
#[derive(Default)]
pub struct Results {
    /// Every check that has ended.
    pub checks: Vec<Check>,
    /// Every order that has ended, by idempotency key.
    pub orders: BTreeMap<String, Order>,
    /// The phase in which each accepted job was submitted, and its id.
    pub jobs: Vec<(usize, String)>,
}

/// A load on several entries, and the state that its callers share.
pub struct Load {
    callers: Vec<Client>,
    operators: Vec<Client>,
    ready: Vec<AtomicBool>,
    next_entry: AtomicUsize,
    phase: AtomicUsize,
    stopped: AtomicBool,
    /// For each entry, the time until which requests to it count as sent to a
    /// killed process.
    killed_until: Mutex<Vec<Option<Instant>>>,
    results: Mutex<Results>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns whether a request failed before a connection was established, so that
/// it cannot have reached a process.
fn failed_to_connect(error: &io::Error) -> bool {
    let inner = error.get_ref().and_then(|inner| inner.downcast_ref());
    inner.is_some_and(ClientError::is_connect)
}

/// Formats the outcome, the reason and whether the request ran, as stated in an
/// answer.
fn describe_answer(answer: &Answer) -> String {
    let body = answer.json();
    let field = |name: &str| body[name].as_str().unwrap_or("-").to_owned();
    let (reason, ran) = (field("reason"), field("ran"));
    format!("{} {reason} ran={ran}", answer.outcome())
}

fn not_run(answer: &Answer) -> bool {
    answer.outcome() == "refused" && answer.json()["ran"] == "no"
}

impl Load {
    /// Creates a load on entries, given the addresses of each for callers and for
    /// operators.
    pub fn new(entries: impl IntoIterator<Item = (SocketAddr, SocketAddr)>) -> Arc<Self> {
        let clients = entries
            .into_iter()
            .map(|(callers, operators)| (Client::new(callers), Client::new(operators)));
        let (callers, operators): (Vec<_>, Vec<_>) = clients.unzip();
        Arc::new(Self {
            ready: callers.iter().map(|_| AtomicBool::new(false)).collect(),
            next_entry: AtomicUsize::new(0),
            phase: AtomicUsize::new(0),
            stopped: AtomicBool::new(false),
            killed_until: Mutex::new(vec![None; callers.len()]),
            results: Mutex::default(),
            callers,
            operators,
        })
    }

    /// Starts to poll the readiness of every entry.
    pub fn poll_readiness(self: &Arc<Self>) {
        for index in 0..self.operators.len() {
            tokio::spawn(poll_readiness(self.clone(), index));
        }
    }

    /// Starts the callers, which send `rate_per_s` checks per second as well as
    /// orders and jobs. They end after [`Load::stop`], once every request has an
    /// outcome.
    pub fn start(self: &Arc<Self>, rate_per_s: f64) -> JoinSet<()> {
        let interval = Duration::from_secs_f64(CALLERS as f64 / rate_per_s);
        let mut callers = JoinSet::new();
        for index in 0..CALLERS {
            callers.spawn(self.clone().send_checks(index, interval));
        }
        for index in 0..CUSTOMERS {
            callers.spawn(self.clone().send_orders(index));
        }
        for index in 0..SUBMITTERS {
            callers.spawn(self.clone().send_jobs(index));
        }
        callers
    }

    /// Stops the callers from sending new requests.
    pub fn stop(&self) {
        self.stopped.store(true, SeqCst);
    }

    /// Sets the phase that is recorded for new orders and jobs.
    pub fn set_phase(&self, phase: usize) {
        self.phase.store(phase, SeqCst);
    }

    /// Sets the time until which requests to an entry count as sent to a killed
    /// process.
    pub fn set_killed_until(&self, entry: usize, until: Instant) {
        lock(&self.killed_until)[entry] = Some(until);
    }

    /// Returns whether an entry reported ready in the last poll.
    pub fn ready(&self, entry: usize) -> bool {
        self.ready[entry].load(SeqCst)
    }

    /// Returns the results recorded so far.
    pub fn results(&self) -> MutexGuard<'_, Results> {
        lock(&self.results)
    }

    /// Chooses the next ready entry in round-robin order, or any entry if none is
    /// ready.
    fn choose_entry(&self) -> usize {
        let first = self.next_entry.fetch_add(1, SeqCst);
        let count = self.callers.len();
        let entries = (0..count).map(|offset| (first + offset) % count);
        let mut ready = entries.filter(|index| self.ready(*index));
        ready.next().unwrap_or(first % count)
    }

    fn stopped(&self) -> bool {
        self.stopped.load(SeqCst)
    }

    /// Sends a check, with retries, until it has an outcome. Returns the fault, or
    /// `None` if the answer is correct.
    async fn check(&self, number: usize) -> Option<String> {
        let path = format!("/v1/check/spacing-check/roof?number={number}");
        let expected = format!("/roof?number={number}");
        let deadline = Instant::now() + CHECK_DEADLINE;
        let mut backoff = BACKOFF_MIN;
        let mut refusal = "not connected".to_owned();
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Some(format!("refused {refusal}"));
            }
            let (entry, started_at) = (self.choose_entry(), Instant::now());
            let remaining_ms = remaining.as_millis().to_string();
            let headers = [("x-deadline-ms", remaining_ms.as_str())];
            let client = &self.callers[entry];
            match client.send(Method::GET, &path, &headers, "").await {
                Ok(answer) if answer.status == 200 => {
                    let correct = answer.json()["path"] == expected.as_str();
                    return (!correct).then(|| "wrong".to_owned());
                }
                Ok(answer) if not_run(&answer) => {
                    let body = answer.json();
                    refusal = body["reason"].as_str().unwrap_or_default().to_owned();
                    let stated_ms = body["retry_after_ms"].as_u64().unwrap_or_default();
                    backoff = backoff.max(Duration::from_millis(stated_ms));
                }
                Ok(answer) => {
                    let status = answer.status.as_u16();
                    return Some(format!("{status} {}", describe_answer(&answer)));
                }
                Err(error) if failed_to_connect(&error) => {}
                Err(_) => {
                    let killed =
                        lock(&self.killed_until)[entry].is_some_and(|until| started_at <= until);
                    let fault = if killed { ON_KILLED_ENTRY } else { "broken" };
                    return Some(fault.to_owned());
                }
            }
            sleep(backoff.min(remaining)).await;
            backoff = (backoff * 2).min(BACKOFF_MAX);
        }
    }

    async fn send_checks(self: Arc<Self>, caller: usize, interval: Duration) {
        let mut due = Instant::now() + interval.mul_f64(caller as f64 / CALLERS as f64);
        let mut checks = JoinSet::new();
        for number in (caller..).step_by(CALLERS) {
            sleep_until(due).await;
            if self.stopped() {
                break;
            }
            let load = self.clone();
            checks.spawn(async move {
                let fault = timeout(CHECK_TIMEOUT, load.check(number)).await;
                let fault = fault.unwrap_or_else(|_| Some("no answer".to_owned()));
                let ended = Instant::now();
                lock(&load.results).checks.push(Check { due, ended, fault });
            });
            while checks.try_join_next().is_some() {}
            due += interval;
        }
        while checks.join_next().await.is_some() {}
    }

    /// Sends an order with the same idempotency key until it is done or its caller
    /// gives up. Returns the last outcome.
    async fn order(&self, customer: &str, sequence: usize) -> String {
        let (key, sequence) = (format!("{customer}-{sequence}"), sequence.to_string());
        let headers = [
            ("idempotency-key", key.as_str()),
            ("x-customer", customer),
            ("x-sequence", sequence.as_str()),
            ("x-deadline-ms", "8000"),
        ];
        let end = Instant::now() + ORDER_TIMEOUT;
        let mut last = "no answer".to_owned();
        while Instant::now() < end {
            let client = &self.callers[self.choose_entry()];
            let call = client.post("/v1/orders/material-order", &headers, "brackets");
            match timeout(CHECK_TIMEOUT, call).await {
                Ok(Ok(answer)) if answer.status == 200 => return "done".to_owned(),
                Ok(Ok(answer)) => last = describe_answer(&answer),
                _ => {}
            }
            sleep(Duration::from_millis(50)).await;
        }
        last
    }

    async fn send_orders(self: Arc<Self>, customer: usize) {
        let customer = format!("finca-{customer}");
        for sequence in 1.. {
            if self.stopped() {
                break;
            }
            let (phase, started_at) = (self.phase.load(SeqCst), Instant::now());
            let outcome = self.order(&customer, sequence).await;
            let order = Order {
                phase,
                started_at,
                ended: Instant::now(),
                outcome,
            };
            let key = format!("{customer}-{sequence}");
            lock(&self.results).orders.insert(key, order);
            sleep_until(started_at + ORDER_INTERVAL).await;
        }
    }

    async fn send_jobs(self: Arc<Self>, submitter: usize) {
        for number in 0.. {
            if self.stopped() {
                break;
            }
            let (phase, started_at) = (self.phase.load(SeqCst), Instant::now());
            let key = format!("job-{submitter}-{number}");
            let headers = [
                ("idempotency-key", key.as_str()),
                ("x-deadline-ms", "60000"),
            ];
            wait_for(ORDER_TIMEOUT, || async {
                let client = &self.callers[self.choose_entry()];
                let call = client.post("/v1/jobs/layout", &headers, r#"{"work_ms": 1000}"#);
                let Ok(Ok(answer)) = timeout(CHECK_TIMEOUT, call).await else {
                    return false;
                };
                let job = answer.json()["job"].as_str().map(str::to_owned);
                let accepted = job.filter(|_| answer.status == 202);
                let added = accepted.map(|job| lock(&self.results).jobs.push((phase, job)));
                added.is_some()
            })
            .await;
            sleep_until(started_at + JOB_INTERVAL).await;
        }
    }

    /// Waits for the results of all accepted jobs and returns, for each phase, how
    /// many have none in time.
    pub async fn jobs_without_result(&self) -> BTreeMap<usize, usize> {
        let mut lost = BTreeMap::new();
        let jobs = lock(&self.results).jobs.clone();
        let end = Instant::now() + RESULT_TIMEOUT;
        for (phase, job) in jobs {
            let path = format!("/v1/jobs/{job}/result");
            let remaining = end.saturating_duration_since(Instant::now());
            let done = wait_for(remaining.max(Duration::from_millis(40)), || async {
                let answer =
                    timeout(RESULT_TIMEOUT, self.callers[self.choose_entry()].get(&path)).await;
                matches!(answer, Ok(Ok(answer)) if answer.status == 200)
            });
            *lost.entry(phase).or_default() += usize::from(!done.await);
        }
        lost
    }
}

/// Polls the readiness of one entry, as a load balancer does.
async fn poll_readiness(load: Arc<Load>, index: usize) {
    loop {
        let request = load.operators[index].get("/readyz");
        let answer = timeout(Duration::from_millis(500), request).await;
        let ready = matches!(answer, Ok(Ok(answer)) if answer.status == 200);
        load.ready[index].store(ready, SeqCst);
        sleep(Duration::from_millis(250)).await;
    }
}

/// The time span of one phase; the injected failure begins at its start.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// When it begins.
    pub from: Instant,
    /// When it ends.
    pub to: Instant,
}

/// Returns a latency quantile of the checks due in a span, in milliseconds. The
/// latency of a failed check counts as infinite.
pub fn latency_quantile_ms(checks: &[Check], span: Span, quantile: f64) -> f64 {
    let due = checks
        .iter()
        .filter(|check| (span.from..span.to).contains(&check.due));
    let mut latencies: Vec<f64> = due
        .map(|check| match check.fault {
            None => (check.ended - check.due).as_secs_f64() * 1000.0,
            Some(_) => f64::INFINITY,
        })
        .collect();
    latencies.sort_by(f64::total_cmp);
    let rank = (quantile * latencies.len() as f64) as usize;
    latencies.get(rank).copied().unwrap_or(f64::INFINITY)
}

/// Returns the longest time in seconds for which the p99 over a sliding window of
/// one second stayed above `bound_ms` before it was within the bound again for a
/// whole second.
pub fn recovery_s(checks: &[Check], span: Span, bound_ms: f64) -> f64 {
    const STEP: Duration = Duration::from_millis(100);
    const STEPS_WITHIN: usize = 10;
    let starts = (0..).map(|step| span.from + STEP * step);
    let starts = starts.take_while(|start| *start + Duration::from_secs(1) <= span.to);
    let (mut longest, mut above, mut within) = (0, 0, STEPS_WITHIN);
    for from in starts {
        let to = from + Duration::from_secs(1);
        if latency_quantile_ms(checks, Span { from, to }, 0.99) > bound_ms {
            above += 1 + if above > 0 { within } else { 0 };
            within = 0;
        } else {
            within += 1;
        }
        longest = longest.max(above);
        if within >= STEPS_WITHIN {
            above = 0;
        }
    }
    STEP.as_secs_f64() * longest as f64
}
