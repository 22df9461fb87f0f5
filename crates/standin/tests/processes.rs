//! End-to-end tests through separate processes.

use {
    filbertbend_standin::{
        client::Client,
        declare,
        fleet::{wait_for, Fleet, Launcher, Plan},
        keys,
    },
    filbertbend_state::service::{Class, Kind},
    std::time::Duration,
};

const START_LIMIT: Duration = Duration::from_secs(30);

fn plan() -> Plan {
    Plan {
        data_centres: vec!["xela", "toto", "sanmarcos"],
        entries: 2,
        workers: 3,
        services: vec!["spacing-check", "material-order"],
        cores: 64,
        memory_gib: 250,
        slots: 8,
        connections: 64,
        service_time: Duration::from_millis(5),
        slices: 4,
        log_level: "debug",
        launcher: Launcher::Binaries,
        relays: false,
    }
}

async fn wait_until_done(client: &Client, path: &str) -> bool {
    wait_for(START_LIMIT, || async {
        let answer = client.get(path).await;
        answer.is_ok_and(|answer| answer.outcome() == "done")
    })
    .await
}

/// Guards against a check that gets no answer, or the answer to another request,
/// through an entry and an agent.
#[tokio::test(flavor = "multi_thread")]
async fn check_is_answered_through_entry_and_agent() {
    let fleet = Fleet::start(&plan()).await.unwrap();
    fleet.configure([declare::service(
        "spacing-check",
        Kind::Check,
        Class::Interactive,
    )]);
    let _entries = [fleet.spawn_entry(0).unwrap(), fleet.spawn_entry(1).unwrap()];
    let _agents = [0, 1, 2].map(|index| fleet.spawn_agent(index).unwrap());
    let client = Client::new(fleet.entries[0].callers);
    assert!(
        wait_until_done(&client, "/v1/check/spacing-check/ready").await,
        "{}{}",
        fleet.log("entry-0"),
        fleet.log("runner-0")
    );

    let answer = client
        .post(
            "/v1/check/spacing-check/roof?pitch=30",
            &[],
            vec![7; 3 << 20],
        )
        .await
        .unwrap();

    assert_eq!(answer.status, 200);
    assert_eq!(answer.json()["path"], "/roof?pitch=30");
    assert_eq!(answer.json()["bytes"], 3 << 20);
}

/// Guards against a job that is lost, or an order that runs twice, between an
/// entry that does not own the slice, its owner and the agents.
#[tokio::test(flavor = "multi_thread")]
async fn job_and_order_run_through_separate_processes() {
    let fleet = Fleet::start(&plan()).await.unwrap();
    fleet.configure([
        declare::service("layout", Kind::Job, Class::Batch),
        declare::service("material-order", Kind::Order, Class::Interactive),
    ]);
    let _entries = [fleet.spawn_entry(0).unwrap(), fleet.spawn_entry(1).unwrap()];
    let _agents = [0, 1, 2].map(|index| fleet.spawn_agent(index).unwrap());
    let clients = [0, 1].map(|index| Client::new(fleet.entries[index].callers));
    let body = r#"{"work_ms": 50, "echo": "ridge"}"#;
    let is_submitted = wait_for(START_LIMIT, || async {
        let headers = [("idempotency-key", "roof-1"), ("x-deadline-ms", "2000")];
        let answer = clients[0].post("/v1/jobs/layout", &headers, body).await;
        answer.is_ok_and(|answer| answer.status == 202)
    })
    .await;
    assert!(is_submitted, "{}", fleet.log("entry-0"));
    let headers = [("idempotency-key", "roof-1")];
    let again = clients[1]
        .post("/v1/jobs/layout", &headers, body)
        .await
        .unwrap();
    let job = again.json()["job"].as_str().unwrap().to_owned();

    let status = clients[1]
        .get(format!("/v1/jobs/{job}?wait_ms=20000"))
        .await
        .unwrap();
    let result = clients[0]
        .get(format!("/v1/jobs/{job}/result"))
        .await
        .unwrap();

    assert_eq!(status.json()["phase"], "done", "{}", status.json());
    assert_eq!(result.json()["echo"], "ridge");
    for sequence in ["1", "2", "3"] {
        let key = format!("brackets-{sequence}");
        let headers = [
            ("idempotency-key", key.as_str()),
            ("x-customer", "finca-7"),
            ("x-sequence", sequence),
        ];
        for client in &clients {
            let answer = client
                .post("/v1/orders/material-order", &headers, "2 pallets")
                .await;
            let answer = answer.unwrap();
            assert_eq!(answer.status, 200, "{}", answer.json());
            assert_eq!(answer.json()["key"], key.as_str());
        }
    }
    let keys: Vec<_> = fleet
        .instances
        .iter()
        .flat_map(|instance| instance.endpoint.orders())
        .map(|order| order.key)
        .collect();
    assert_eq!(keys.len(), 3, "{keys:?}");
}

/// Guards against an entry that accepts requests before it has a configuration
/// and answers that their service does not exist.
#[tokio::test(flavor = "multi_thread")]
async fn entry_without_a_configuration_is_not_ready() {
    let fleet = Fleet::start(&plan()).await.unwrap();
    let _entry = fleet.spawn_entry(0).unwrap();
    let operators = Client::new(fleet.entries[0].operators);
    assert!(wait_until_ok(&operators, "/healthz").await);

    let before = operators.get("/readyz").await.unwrap();
    let client = Client::new(fleet.entries[0].callers);
    let refused = client.get("/v1/check/spacing-check/").await.unwrap();
    fleet.configure([declare::service(
        "spacing-check",
        Kind::Check,
        Class::Interactive,
    )]);

    assert!(wait_until_ok(&operators, "/readyz").await);
    assert_eq!(before.status, 503);
    assert_eq!(refused.status, 503, "{}", refused.json());
    assert_eq!(refused.json()["ran"], "no");
}

/// Guards against an entry that keeps using replaced TLS keys, so that processes
/// with the new keys cannot connect to it.
#[tokio::test(flavor = "multi_thread")]
async fn replaced_keys_are_used_without_a_restart() {
    let fleet = Fleet::start(&plan()).await.unwrap();
    fleet.configure([declare::service(
        "spacing-check",
        Kind::Check,
        Class::Interactive,
    )]);
    let _entry = fleet.spawn_entry(0).unwrap();
    let operators = Client::new(fleet.entries[0].operators);
    assert!(wait_until_ok(&operators, "/readyz").await);

    let authority = keys::Authority::create(fleet.folder.path()).unwrap();
    authority.issue().unwrap();
    let is_reloaded = wait_for(START_LIMIT, || async {
        fleet.log("entry-0").contains("keys reloaded")
    });
    assert!(is_reloaded.await, "{}", fleet.log("entry-0"));
    let _agent = fleet.spawn_agent(0).unwrap();

    let client = Client::new(fleet.entries[0].callers);
    let is_served = wait_until_done(&client, "/v1/check/spacing-check/").await;
    assert!(is_served, "{}", fleet.log("runner-0"));
}

async fn wait_until_ok(client: &Client, path: &str) -> bool {
    wait_for(START_LIMIT, || async {
        let answer = client.get(path).await;
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await
}

/// Guards against an order whose key cannot be reused after it was refused as not
/// run, which would block all later orders of its customer.
#[tokio::test(flavor = "multi_thread")]
async fn refused_order_lands_when_its_key_is_sent_again() {
    let fleet = Fleet::start(&plan()).await.unwrap();
    fleet.configure([declare::service(
        "material-order",
        Kind::Order,
        Class::Interactive,
    )]);
    let _entries = [fleet.spawn_entry(0).unwrap(), fleet.spawn_entry(1).unwrap()];
    let _agents = [0, 1, 2].map(|index| fleet.spawn_agent(index).unwrap());
    let client = Client::new(fleet.entries[0].callers);
    let order = |sequence: &'static str, deadline_ms: &'static str| {
        let key = format!("brackets-{sequence}");
        let client = client.clone();
        async move {
            let headers = [
                ("idempotency-key", key.as_str()),
                ("x-customer", "finca-7"),
                ("x-sequence", sequence),
                ("x-deadline-ms", deadline_ms),
            ];
            client
                .post("/v1/orders/material-order", &headers, "2")
                .await
        }
    };
    let gap_is_detected = wait_for(START_LIMIT, || async {
        let answer = order("2", "2000").await;
        answer.is_ok_and(|answer| answer.json()["reason"] == "sequence-gap")
    });
    assert!(gap_is_detected.await, "{}", fleet.log("entry-0"));

    let first = order("1", "10000").await.unwrap();
    let second = order("2", "10000").await.unwrap();

    assert_eq!(first.status, 200, "{}", first.json());
    assert_eq!(second.status, 200, "{}", second.json());
}
