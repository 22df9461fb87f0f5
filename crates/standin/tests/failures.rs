//! Failures that need real processes: kills, freezes, silent links, store
//! outages and graceful shutdowns, under load.

use {
    filbertbend_standin::{
        client::Client,
        declare,
        fleet::{wait_for, Fleet, Plan},
        relay, store, worker,
    },
    filbertbend_state::{
        service::{Class, Declaration, Kind},
        unit::Millis,
    },
    rustix::process::{kill_process, Pid, Signal},
    std::{
        collections::BTreeMap,
        sync::atomic::{AtomicUsize, Ordering},
        time::Duration,
    },
    tokio::{process::Child, task::JoinSet},
};

const LIMIT: Duration = Duration::from_secs(60);
const CHECK: &str = "/v1/check/spacing-check/roof";

fn services() -> [Declaration; 3] {
    let mut check = declare::service("spacing-check", Kind::Check, Class::Interactive);
    check.deadline = Millis::from_secs(20);
    let mut order = declare::service("material-order", Kind::Order, Class::Interactive);
    order.deadline = Millis::from_secs(40);
    [
        check,
        declare::service("layout", Kind::Job, Class::Batch),
        order,
    ]
}

/// A fleet with its running processes.
struct System {
    fleet: Fleet,
    entries: Vec<Child>,
    agents: Vec<Child>,
}

impl System {
    async fn start(plan: Plan) -> Self {
        let fleet = Fleet::start(&plan).await.unwrap();
        fleet.configure(services());
        let spawn_entry = |index| fleet.spawn_entry(index).unwrap();
        let spawn_agent = |index| fleet.spawn_agent(index).unwrap();
        let system = Self {
            entries: (0..plan.entries).map(spawn_entry).collect(),
            agents: (0..plan.workers).map(spawn_agent).collect(),
            fleet,
        };
        for index in 0..plan.entries {
            assert!(system.knows_agents(index, plan.workers).await);
        }
        assert!(
            system.accepts_jobs(0).await,
            "{}",
            system.fleet.log("entry-0")
        );
        system
    }

    fn client(&self, index: usize) -> Client {
        Client::new(self.fleet.entries[index].callers)
    }

    /// Waits until an entry reports this many agents as alive.
    async fn knows_agents(&self, index: usize, agents: usize) -> bool {
        let operators = Client::new(self.fleet.entries[index].operators);
        wait_for(LIMIT, || async {
            let Ok(answer) = operators.get("/v1/status").await else {
                return false;
            };
            let status = answer.json();
            let known = status["agents"].as_array().into_iter().flatten();
            known.filter(|agent| agent["state"] == "alive").count() == agents
        })
        .await
    }

    /// Waits until jobs with 16 different keys are accepted, which shows that the
    /// slices have owners again.
    async fn accepts_jobs(&self, index: usize) -> bool {
        let client = self.client(index);
        for number in 0..16 {
            let key = format!("ready-{number}");
            let accepted = wait_for(LIMIT, || async {
                let headers = [("idempotency-key", key.as_str()), ("x-deadline-ms", "3000")];
                let body = r#"{"work_ms": 1}"#;
                let answer = client.post("/v1/jobs/layout", &headers, body).await;
                answer.is_ok_and(|answer| answer.status == 202)
            });
            if !accepted.await {
                return false;
            }
        }
        true
    }

    /// Returns the keys of all orders in the order in which they ran. Panics if an
    /// order ran twice or before an earlier one of its customer.
    fn orders(&self) -> Vec<String> {
        let instances = self.fleet.instances.iter();
        let mut orders: Vec<_> = instances
            .flat_map(|instance| instance.endpoint.orders())
            .collect();
        orders.sort_by_key(|order| order.at);
        let mut last = BTreeMap::new();
        for order in &orders {
            let (customer, sequence) = order.key.rsplit_once('-').unwrap();
            let sequence: u64 = sequence.parse().unwrap();
            let earlier = last.insert(customer.to_owned(), sequence);
            let in_sequence = earlier.is_none_or(|earlier| earlier < sequence);
            assert!(in_sequence, "out of sequence: {orders:?}");
        }
        orders.iter().map(|order| order.key.to_string()).collect()
    }

    /// Panics if a task ever ran in two places at once.
    fn assert_no_overlap(&self) {
        let models: Vec<_> = self
            .fleet
            .instances
            .iter()
            .map(|instance| instance.worker.lock())
            .collect();
        let overlaps = worker::overlaps(models.iter().flat_map(|model| &model.trace().spans));
        assert!(overlaps.is_empty(), "{overlaps:?}");
    }
}

fn signal(child: &Child, signal: Signal) {
    let id = child.id().and_then(|id| Pid::from_raw(id as i32));
    kill_process(id.expect("the process runs"), signal).unwrap();
}

async fn exited(child: &mut Child) -> bool {
    let status = tokio::time::timeout(LIMIT, child.wait()).await;
    status.is_ok_and(|status| status.unwrap().success())
}

/// Sends an order through the entries in turn until it succeeds.
async fn order(clients: &[Client], customer: &str, sequence: u64) -> String {
    let key = format!("{customer}-{sequence}");
    let sequence = sequence.to_string();
    let headers = [
        ("idempotency-key", key.as_str()),
        ("x-customer", customer),
        ("x-sequence", sequence.as_str()),
    ];
    let turn = AtomicUsize::new(0);
    let completed = wait_for(LIMIT, || async {
        let turn = turn.fetch_add(1, Ordering::Relaxed);
        let client = &clients[turn % clients.len()];
        let answer = client.post("/v1/orders/material-order", &headers, "brackets");
        answer.await.is_ok_and(|answer| answer.status == 200)
    });
    assert!(completed.await, "order {key} did not succeed in time");
    key
}

fn many_slots() -> Plan {
    Plan {
        slots: 400,
        connections: 400,
        service_time: Duration::from_millis(300),
        ..Plan::small()
    }
}

async fn start_checks(client: &Client, count: usize) -> JoinSet<u16> {
    let mut checks = JoinSet::new();
    for _ in 0..count {
        let client = client.clone();
        checks.spawn(async move {
            let answer = client.get(CHECK).await;
            answer.map_or(0, |answer| answer.status.as_u16())
        });
    }
    checks
}

async fn running(system: &System) -> u32 {
    let instances = system.fleet.instances.iter();
    instances.map(|instance| instance.endpoint.running()).sum()
}

/// Guards against a graceful shutdown that aborts requests in progress.
#[tokio::test(flavor = "multi_thread")]
async fn terminated_agent_and_entry_finish_their_requests() {
    let mut system = System::start(many_slots()).await;
    for round in 0..3 {
        let mut checks = start_checks(&system.client(0), 200).await;
        assert!(wait_for(LIMIT, || async { running(&system).await >= 50 }).await);

        signal(&system.agents[round], Signal::TERM);
        let mut statuses = Vec::new();
        while let Some(status) = checks.join_next().await {
            statuses.push(status.unwrap());
        }

        assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
        assert!(exited(&mut system.agents[round]).await);
        system.agents[round] = system.fleet.spawn_agent(round).unwrap();
        assert!(system.knows_agents(0, 3).await);
    }
    let mut checks = start_checks(&system.client(0), 200).await;
    assert!(wait_for(LIMIT, || async { running(&system).await >= 50 }).await);

    signal(&system.entries[0], Signal::TERM);
    let mut failed = 0;
    while let Some(status) = checks.join_next().await {
        // A request that had not reached the entry may be refused, but one in
        // progress must get its answer.
        failed += usize::from(!matches!(status.unwrap(), 200 | 503));
    }

    assert_eq!(failed, 0);
    assert!(exited(&mut system.entries[0]).await);
}

/// Guards against an agent that exits before its last answers are acknowledged.
/// Over a lossy link they must be retransmitted.
#[tokio::test(flavor = "multi_thread")]
async fn terminated_agent_repeats_lost_answers() {
    let plan = Plan {
        relays: true,
        ..many_slots()
    };
    let mut system = System::start(plan).await;
    for relay in &system.fleet.relays {
        relay.set_faults(relay::Faults {
            loss: 0.2,
            delay: Duration::from_millis(4),
            ..relay::Faults::default()
        });
    }
    let mut checks = start_checks(&system.client(0), 200).await;
    assert!(wait_for(LIMIT, || async { running(&system).await >= 100 }).await);

    for agent in &system.agents[..2] {
        signal(agent, Signal::TERM);
    }
    let mut statuses = Vec::new();
    while let Some(status) = checks.join_next().await {
        statuses.push(status.unwrap());
    }

    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert!(exited(&mut system.agents[0]).await);
    assert!(exited(&mut system.agents[1]).await);
}

/// Guards against lost or duplicate orders and lost jobs when the entry that owns
/// their slices is killed.
#[tokio::test(flavor = "multi_thread")]
async fn killed_entry_loses_and_doubles_nothing() {
    let mut system = System::start(Plan::small()).await;
    let clients = [system.client(0), system.client(1)];
    let mut orders = JoinSet::new();
    for customer in 0..8 {
        let clients = clients.clone();
        orders.spawn(async move {
            let customer = format!("finca-{customer}");
            for sequence in 1..=6 {
                order(&clients, &customer, sequence).await;
            }
        });
    }
    assert!(wait_for(LIMIT, || async { system.orders().len() >= 8 }).await);

    system.entries[0].kill().await.unwrap();
    while let Some(result) = orders.join_next().await {
        result.unwrap();
    }

    let keys = system.orders();
    assert_eq!(keys.len(), 48, "{keys:?}");
    assert!(
        system.accepts_jobs(1).await,
        "{}",
        system.fleet.log("entry-1")
    );
    system.assert_no_overlap();
}

/// Guards against a former owner that continues to act as owner after it was
/// frozen for longer than its lease.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_entry_steps_down_when_it_resumes() {
    let system = System::start(Plan::small()).await;
    let clients = [system.client(1)];
    signal(&system.entries[0], Signal::STOP);
    assert!(system.accepts_jobs(1).await);
    let before = order(&clients, "finca-1", 1).await;

    signal(&system.entries[0], Signal::CONT);
    let both = [system.client(0), system.client(1)];
    for sequence in 2..=8 {
        order(&both, "finca-1", sequence).await;
    }

    let keys = system.orders();
    assert_eq!(keys.len(), 8, "{keys:?}");
    assert_eq!(keys[0], before);
    system.assert_no_overlap();
}

/// Guards against a second run of a task that continues under the worker's lease
/// while its agent is replaced.
#[tokio::test(flavor = "multi_thread")]
async fn killed_agent_leaves_its_tasks_running_once() {
    let mut system = System::start(Plan::small()).await;
    let client = system.client(0);
    let mut jobs = Vec::new();
    for number in 0..12 {
        let key = format!("long-{number}");
        let headers = [("idempotency-key", key.as_str())];
        let body = r#"{"work_ms": 9000}"#;
        let answer = client
            .post("/v1/jobs/layout", &headers, body)
            .await
            .unwrap();
        jobs.push(answer.json()["job"].as_str().unwrap().to_owned());
    }
    let started = || async {
        let models = system.fleet.instances.iter();
        let running = models.map(|instance| instance.worker.lock().trace().spans.len());
        running.sum::<usize>() >= 12
    };
    assert!(wait_for(LIMIT, started).await);

    for index in 0..system.agents.len() {
        system.agents[index].kill().await.unwrap();
        system.agents[index] = system.fleet.spawn_agent(index).unwrap();
    }
    for job in &jobs {
        let status = client.get(format!("/v1/jobs/{job}?wait_ms=60000")).await;
        assert_eq!(status.unwrap().json()["phase"], "done");
    }

    system.assert_no_overlap();
    let models = system.fleet.instances.iter();
    let spans = models.map(|instance| {
        let model = instance.worker.lock();
        let spans = &model.trace().spans;
        let long = |job: &String| {
            let of_job = spans
                .iter()
                .filter(|span| span.attempt.task.job.to_string() == *job);
            of_job.count()
        };
        jobs.iter().map(long).sum::<usize>()
    });
    assert_eq!(spans.sum::<usize>(), 12, "a task was started again");
}

/// Guards against a silent link that is still used, or taken for a dead agent,
/// while new links work.
#[tokio::test(flavor = "multi_thread")]
async fn silent_links_are_replaced_by_new_ones() {
    let plan = Plan {
        relays: true,
        ..Plan::small()
    };
    let system = System::start(plan).await;
    let client = system.client(0);

    for relay in &system.fleet.relays {
        relay.forget_flows();
    }
    let mut statuses = Vec::new();
    for _ in 0..20 {
        let answer = client.get(CHECK).await;
        statuses.push(answer.map_or(0, |answer| answer.status.as_u16()));
    }

    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert!(system.knows_agents(0, 3).await);
}

/// Guards against wrong answers over a link that loses, delays and reorders
/// packets.
#[tokio::test(flavor = "multi_thread")]
async fn lossy_links_delay_answers_and_break_none() {
    let plan = Plan {
        relays: true,
        ..Plan::small()
    };
    let system = System::start(plan).await;
    for relay in &system.fleet.relays {
        relay.set_faults(relay::Faults {
            loss: 0.05,
            delay: Duration::from_millis(4),
            ..relay::Faults::default()
        });
    }
    let clients = [system.client(0), system.client(1)];

    for sequence in 1..=5 {
        order(&clients, "finca-1", sequence).await;
    }
    for number in 0..50 {
        let path = format!("{CHECK}?number={number}");
        let answer = clients[0].get(&path).await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.json());
        assert_eq!(answer.json()["path"], format!("/roof?number={number}"));
    }

    assert_eq!(system.orders().len(), 5);
    system.assert_no_overlap();
}

/// Guards against checks that need the store, against work that runs after it was
/// reported as not run, and against orders that run twice because store answers
/// were lost.
#[tokio::test(flavor = "multi_thread")]
async fn store_outage_and_lost_answers_double_nothing() {
    let system = System::start(Plan::small()).await;
    let clients = [system.client(0), system.client(1)];
    system.fleet.store.set_faults(store::Faults {
        down: true,
        ..store::Faults::default()
    });

    let check = clients[0].get(CHECK).await.unwrap();
    let headers = [
        ("idempotency-key", "outage-1"),
        ("x-customer", "finca-2"),
        ("x-sequence", "1"),
        ("x-deadline-ms", "1500"),
    ];
    let refused = clients[0]
        .post("/v1/orders/material-order", &headers, "brackets")
        .await
        .unwrap();
    assert_eq!(check.status, 200);
    assert!(!refused.status.is_success(), "{}", refused.json());
    if refused.json()["ran"] == "no" {
        assert!(system.orders().is_empty());
    }

    system.fleet.store.set_faults(store::Faults {
        lost_answers: 20,
        ..store::Faults::default()
    });
    for sequence in 1..=5 {
        order(&clients, "finca-3", sequence).await;
    }

    let keys = system.orders();
    let of_customer = keys.iter().filter(|key| key.starts_with("finca-3"));
    assert_eq!(of_customer.count(), 5, "{keys:?}");
    assert!(system.accepts_jobs(1).await);
    system.assert_no_overlap();
}

/// Guards against lost or duplicate orders while every process is replaced, one
/// at a time.
#[tokio::test(flavor = "multi_thread")]
async fn rolling_replacement_loses_and_doubles_nothing() {
    let mut system = System::start(Plan::small()).await;
    let clients = [system.client(0), system.client(1)];
    let load = tokio::spawn({
        let clients = clients.clone();
        async move {
            for sequence in 1..=40 {
                order(&clients, "finca-9", sequence).await;
            }
        }
    });

    for index in 0..system.agents.len() {
        signal(&system.agents[index], Signal::TERM);
        assert!(exited(&mut system.agents[index]).await);
        system.agents[index] = system.fleet.spawn_agent(index).unwrap();
        assert!(system.knows_agents(0, 3).await);
    }
    for index in 0..system.entries.len() {
        signal(&system.entries[index], Signal::TERM);
        assert!(exited(&mut system.entries[index]).await);
        system.entries[index] = system.fleet.spawn_entry(index).unwrap();
        assert!(system.knows_agents(index, 3).await);
        assert!(system.accepts_jobs(index).await);
    }
    load.await.unwrap();

    assert_eq!(system.orders().len(), 40);
    system.assert_no_overlap();
}
