//! Measures recovery from killed and frozen processes, silent links, a store
//! outage and a rolling replacement under a steady load, with all processes on
//! loopback.

use {
    filbertbend_bench::{
        figure::Figure,
        role,
        steady_load::{latency_quantile_ms, recovery_s, Load, Span, ON_KILLED_ENTRY},
    },
    filbertbend_standin::{
        client::Client,
        declare,
        fleet::{wait_for, Fleet, Launcher, Plan},
        store, worker,
    },
    filbertbend_state::{
        service::{Class, Kind},
        unit::Millis,
    },
    rustix::process::{kill_process, Pid, Signal},
    std::{collections::BTreeMap, io, sync::Arc, time::Duration},
    tokio::{
        process::Child,
        time::{sleep, timeout, Instant},
    },
};

const ENTRIES: usize = 2;
const AGENTS: usize = 4;
const SLOTS: u32 = 8;
const SERVICE_TIME: Duration = Duration::from_millis(40);
const FREEZE_TIME: Duration = Duration::from_secs(6);
const OUTAGE_TIME: Duration = Duration::from_secs(10);
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
const BENCH_TIMEOUT: Duration = Duration::from_secs(175);
const PHASES: [&str; 8] = [
    "calm",
    "kill-agent",
    "kill-entry",
    "freeze-agent",
    "freeze-entry",
    "silent-links",
    "store-outage",
    "rolling",
];

/// The running processes and the load on them.
struct System {
    fleet: Fleet,
    entries: Vec<Child>,
    agents: Vec<Child>,
    load: Arc<Load>,
}

fn send_signal(child: &Child, signal: Signal) {
    let id = child.id().and_then(|id| Pid::from_raw(id as i32));
    kill_process(id.expect("the process runs"), signal).expect("the process takes signals");
}

impl System {
    async fn start() -> Self {
        let plan = Plan {
            entries: ENTRIES,
            workers: AGENTS,
            slots: SLOTS,
            service_time: SERVICE_TIME,
            log_level: "info",
            launcher: Launcher::OwnExecutable,
            relays: true,
            ..Plan::small()
        };
        let fleet = Fleet::start(&plan).await.expect("the fleet starts");
        let mut check = declare::service("spacing-check", Kind::Check, Class::Interactive);
        check.deadline = Millis::from_secs(10);
        let mut order = declare::service("material-order", Kind::Order, Class::Interactive);
        order.deadline = Millis::from_secs(40);
        let job = declare::service("layout", Kind::Job, Class::Batch);
        fleet.configure([check, order, job]);
        let entry = |index| fleet.spawn_entry(index).expect("the entry starts");
        let agent = |index| fleet.spawn_agent(index).expect("the agent starts");
        let addresses = fleet.entries.iter();
        let load = Load::new(addresses.map(|entry| (entry.callers, entry.operators)));
        Self {
            entries: (0..ENTRIES).map(entry).collect(),
            agents: (0..AGENTS).map(agent).collect(),
            load,
            fleet,
        }
    }

    /// Waits until every entry is ready and reports every agent as alive.
    async fn wait_until_whole(&self) {
        for (index, entry) in self.fleet.entries.iter().enumerate() {
            let operators = Client::new(entry.operators);
            let whole = wait_for(STEP_TIMEOUT, || async {
                let status = timeout(STEP_TIMEOUT, operators.get("/v1/status")).await;
                let status = status.map(|answer| answer.map(|answer| answer.json()));
                let Ok(Ok(status)) = status else { return false };
                let agents = status["agents"].as_array().into_iter().flatten();
                let alive = agents.filter(|agent| agent["state"] == "alive").count();
                alive == AGENTS && self.load.ready(index)
            });
            if !whole.await {
                println!("entry {index} does not see every agent after {STEP_TIMEOUT:?}");
            }
        }
    }

    fn overlaps(&self) -> usize {
        let instances = self.fleet.instances.iter();
        let models: Vec<_> = instances.map(|instance| instance.worker.lock()).collect();
        worker::overlaps(models.iter().flat_map(|model| &model.trace().spans)).len()
    }

    async fn inject_failure(&mut self, phase: &str) {
        match phase {
            "kill-agent" => {
                self.agents[0].kill().await.expect("the agent is killed");
                sleep(Duration::from_secs(5)).await;
                self.agents[0] = self.fleet.spawn_agent(0).expect("the agent starts");
            }
            "kill-entry" => {
                // Covers the time until the process has exited, so that requests
                // sent in between count as sent to the killed process.
                self.load.set_killed_until(0, Instant::now() + STEP_TIMEOUT);
                self.entries[0].kill().await.expect("the entry is killed");
                self.load.set_killed_until(0, Instant::now());
                sleep(Duration::from_secs(6)).await;
                self.entries[0] = self.fleet.spawn_entry(0).expect("the entry starts");
            }
            "freeze-agent" => freeze(&self.agents[1]).await,
            "freeze-entry" => freeze(&self.entries[1]).await,
            "silent-links" => self
                .fleet
                .relays
                .iter()
                .for_each(|relay| relay.forget_flows()),
            "store-outage" => {
                let down = store::Faults {
                    down: true,
                    ..store::Faults::default()
                };
                self.fleet.store.set_faults(down);
                sleep(OUTAGE_TIME).await;
                self.fleet.store.set_faults(store::Faults::default());
            }
            "rolling" => {
                for index in 0..AGENTS {
                    replace_process(&format!("agent {index}"), &mut self.agents[index], || {
                        self.fleet.spawn_agent(index)
                    })
                    .await;
                    self.wait_until_whole().await;
                }
                for index in 0..ENTRIES {
                    replace_process(&format!("entry {index}"), &mut self.entries[index], || {
                        self.fleet.spawn_entry(index)
                    })
                    .await;
                    sleep(Duration::from_millis(750)).await;
                    self.wait_until_whole().await;
                }
            }
            _ => {}
        }
    }
}

async fn freeze(child: &Child) {
    send_signal(child, Signal::STOP);
    sleep(FREEZE_TIME).await;
    send_signal(child, Signal::CONT);
}

async fn replace_process(name: &str, child: &mut Child, spawn: impl Fn() -> io::Result<Child>) {
    send_signal(child, Signal::TERM);
    let status = timeout(STEP_TIMEOUT, child.wait()).await;
    if !matches!(status, Ok(Ok(status)) if status.success()) {
        println!("{name} did not exit cleanly after SIGTERM: {status:?}");
    }
    *child = spawn().expect("the process starts");
}

/// Prints the row of a phase and returns its figures.
fn report_phase(
    system: &System,
    spans: &[(Span, usize)],
    phase: usize,
    jobs_without_result: usize,
) -> Vec<Figure> {
    let name = PHASES[phase];
    let results = system.load.results();
    let (span, overlaps) = spans[phase];
    let baseline_p99_ms = latency_quantile_ms(&results.checks, spans[0].0, 0.99);
    let p99_ms = latency_quantile_ms(&results.checks, span, 0.99);
    let recovery = recovery_s(&results.checks, span, 1.2 * baseline_p99_ms);
    let within = |due: &Instant| (span.from..span.to).contains(due);
    let checks: Vec<_> = results.checks.iter().filter(|c| within(&c.due)).collect();
    let correct = checks.iter().filter(|check| check.fault.is_none());
    let first_answer = correct.map(|check| check.ended - span.from).min();
    let mut faults: BTreeMap<&str, usize> = BTreeMap::new();
    for fault in checks.iter().filter_map(|check| check.fault.as_deref()) {
        *faults.entry(fault).or_default() += 1;
    }
    // Requests in progress on a killed process may fail, if their outcome is true.
    let on_agent = match name {
        "kill-agent" => faults.get("502 unknown - ran=unknown").copied(),
        _ => None,
    };
    let on_agent = on_agent.unwrap_or_default().min(SLOTS as usize);
    let excused = on_agent + faults.get(ON_KILLED_ENTRY).copied().unwrap_or_default();
    // A request that was refused until its deadline counts as infinite in the p99,
    // but is not lost: the caller knows that it did not run.
    let refusals = faults
        .iter()
        .filter(|(fault, _)| fault.starts_with("refused "));
    let refused: usize = refusals.map(|(_, count)| count).sum();
    let lost = faults.values().sum::<usize>() - excused - refused;

    let instances = system.fleet.instances.iter();
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for order in instances.flat_map(|instance| instance.endpoint.orders()) {
        *runs.entry(order.key.to_string()).or_default() += 1;
    }
    let orders: Vec<_> = results
        .orders
        .iter()
        .filter(|(_, o)| o.phase == phase)
        .collect();
    let run_count = |key: &String| runs.get(key).copied().unwrap_or_default();
    let duplicated = orders.iter().filter(|(key, _)| run_count(key) > 1).count();
    let unknown = orders
        .iter()
        .filter(|(_, o)| o.outcome.starts_with("unknown"));
    let unknown = unknown.count();
    // An outcome is contradicted if an order reported as done did not run, or if one
    // reported as not run did.
    let contradicted = orders.iter().filter(|(key, order)| {
        let not_run = order.outcome.ends_with("ran=no");
        (order.outcome == "done" && run_count(key) == 0) || (not_run && run_count(key) > 0)
    });
    let unsettled = orders
        .iter()
        .filter(|(_, order)| order.outcome != "done" && !order.outcome.ends_with("ran=no"));
    for (_, order) in orders.iter().filter(|(_, order)| order.outcome != "done") {
        *faults.entry(order.outcome.as_str()).or_default() += 1;
    }
    // An order in progress on a killed agent may have run, and its outcome is unknown.
    let excused_orders = match name {
        "kill-agent" => unknown.min(SLOTS as usize),
        _ => 0,
    };
    let orders_lost = contradicted.count() + unsettled.count() - excused_orders;
    let after = orders
        .iter()
        .filter(|(_, o)| o.started_at >= span.from && o.outcome == "done");
    let first_order = after.map(|(_, order)| order.ended - span.from).min();
    let overlaps = overlaps - phase.checked_sub(1).map_or(0, |previous| spans[previous].1);

    let ms =
        |time: Option<Duration>| time.map_or(f64::INFINITY, |time| time.as_secs_f64() * 1000.0);
    println!(
        "{name:13} {:>6} {:>9.0} {:>9.0} {p99_ms:>9.1} {recovery:>7.1} {lost:>5} {excused:>7} {refused:>7} \
         {:>6} {duplicated:>4} {orders_lost:>4} {unknown:>4} {overlaps:>5} {jobs_without_result:>5}  {faults:?}",
        checks.len(),
        ms(first_answer),
        ms(first_order),
        orders.len(),
    );
    let count_figure = |what: &str, count: usize| {
        Figure::at_most(
            format!("failures.{name}.{what}"),
            count as f64,
            "count",
            0.0,
        )
    };
    let mut figures = vec![
        count_figure("requests_lost", lost),
        count_figure("orders_doubled", duplicated),
        count_figure("orders_lost", orders_lost),
        count_figure("tasks_doubled", overlaps),
        count_figure("jobs_lost", jobs_without_result),
    ];
    if phase > 0 {
        let name = |what| format!("failures.{name}.{what}");
        let first_s = ms(first_answer) / 1000.0;
        figures.insert(0, Figure::at_most(name("first_answer"), first_s, "s", 5.0));
        figures.insert(1, Figure::at_most(name("p99_recovery"), recovery, "s", 5.0));
    }
    figures
}

async fn measure() -> Vec<Figure> {
    let mut system = System::start().await;
    system.load.poll_readiness();
    system.wait_until_whole().await;
    let capacity = f64::from(SLOTS) * AGENTS as f64 / SERVICE_TIME.as_secs_f64();
    let mut callers = system.load.start(capacity / 2.0);
    sleep(Duration::from_secs(5)).await;
    let mut spans = Vec::new();
    for (phase, name) in PHASES.iter().enumerate() {
        system.load.set_phase(phase);
        let from = Instant::now();
        system.inject_failure(name).await;
        sleep(Duration::from_secs(6)).await;
        system.wait_until_whole().await;
        spans.push((
            Span {
                from,
                to: Instant::now(),
            },
            system.overlaps(),
        ));
    }
    system.load.stop();
    while callers.join_next().await.is_some() {}
    let jobs_without_result = system.load.jobs_without_result().await;
    println!(
        "{:13} {:>6} {:>9} {:>9} {:>9} {:>7} {:>5} {:>7} {:>7} {:>6} {:>4} {:>4} {:>4} {:>5} {:>5}  faults",
        "phase", "checks", "first ms", "order ms", "p99 ms", "back s", "lost", "excused", "refused",
        "orders", "dbl", "lost", "unkn", "tasks", "jobs"
    );
    let phases = 0..PHASES.len();
    let jobs_without_result = |phase| jobs_without_result.get(&phase).copied().unwrap_or_default();
    let figures =
        phases.flat_map(|phase| report_phase(&system, &spans, phase, jobs_without_result(phase)));
    figures.collect()
}

fn main() {
    role::run_if_requested();
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    let figures = runtime.block_on(async { timeout(BENCH_TIMEOUT, measure()).await });
    for figure in figures.expect("the bench ends within its limit") {
        println!("{figure}");
    }
}
