//! Tests of the operators' commands: output, exit codes and help.

mod support {
    pub(crate) mod command;
}

use {
    axum::{extract::Path as Segment, http::StatusCode, routing::get, Json, Router},
    filbertbend::cli::{arguments, Exit},
    filbertbend_coordination::job::{Phase, Status, Trial},
    filbertbend_standin::store::{Faults, Server},
    filbertbend_state::{id, outcome::Reason},
    filbertbend_transport::store::Http,
    serde_json::{json, Value},
    std::{fs, net::SocketAddr, path::Path, sync::Arc},
    support::command::{copy_examples, examples, execute, Fault, Store},
};

const STORE: &str = "127.0.0.1:2400";

/// Returns the arguments that publish `folder`.
fn publish(folder: &Path) -> [&str; 4] {
    ["publish", "--store", STORE, folder.to_str().unwrap()]
}

/// Replaces `from` by `to` in the scheduling file of a service.
fn edit(folder: &Path, service: &str, from: &str, to: &str) {
    let path = folder.join(service).join("filbertbend.yaml");
    let text = fs::read_to_string(&path).unwrap();
    assert!(text.contains(from), "{text}");
    fs::write(path, text.replace(from, to)).unwrap();
}

/// Publishes the examples. Returns the store and a copy of their folder.
async fn published_examples() -> (Store, tempfile::TempDir) {
    let store = Store::default();
    let folder = copy_examples("cumbre-nevada");
    let output = execute(&store, 1, &publish(folder.path())).await;
    assert_eq!(output.exit, Exit::Done, "{output:?}");
    (store, folder)
}

#[tokio::test(start_paused = true)]
async fn publish_shows_the_difference_and_the_revision() {
    // Guards against a publish that does not show its effect, so that an operator
    // cannot review it.
    let (store, folder) = published_examples().await;
    edit(folder.path(), "spacing-check", "800ms", "900ms");
    edit(folder.path(), "spacing-check", "40%", "45%");
    fs::remove_dir_all(folder.path().join("material-order")).unwrap();
    fs::create_dir(folder.path().join("roof-scan")).unwrap();
    let layout = fs::read_to_string(folder.path().join("layout/filbertbend.yaml")).unwrap();
    let added = layout
        .replace("name: layout", "name: roof-scan")
        .replace("30%", "5%");
    fs::write(folder.path().join("roof-scan/filbertbend.yaml"), added).unwrap();

    let mut dry = publish(folder.path()).to_vec();
    dry.push("--dry-run");
    let dry = execute(&store, 2, &dry).await;
    let real = execute(&store, 3, &publish(folder.path())).await;
    let again = execute(&store, 4, &publish(folder.path())).await;

    let all = [dry, real, again].map(|output| output.transcript());
    insta::assert_snapshot!(all.join("\n\n"));
}

#[tokio::test(start_paused = true)]
async fn audit_lists_who_changed_what_newest_first() {
    // Guards against an audit trail that omits a change, its author or its time.
    let (store, folder) = published_examples().await;
    edit(folder.path(), "layout", "6h", "8h");
    execute(&store, 2, &publish(folder.path())).await;
    let drain = ["drain", "--store", STORE, "--author", "luis", "runner-3"];
    execute(&store, 3, &drain).await;
    execute(&store, 4, &["undrain", "--store", STORE, "runner-3"]).await;

    let all = execute(&store, 5, &["audit", "--store", STORE]).await;
    let two = [
        "audit", "--store", STORE, "--limit", "2", "--format", "json",
    ];
    let two = execute(&store, 6, &two).await;
    let none = execute(&Store::default(), 7, &["audit", "--store", STORE]).await;

    let two: Value = serde_json::from_str(&two.out).unwrap();
    let revisions: Vec<&Value> = two["changes"]
        .as_array()
        .unwrap()
        .iter()
        .map(|c| &c["to"])
        .collect();
    assert_eq!(revisions, [&json!(4), &json!(3)]);
    insta::assert_snapshot!(format!("{}\n\n{}", all.transcript(), none.transcript()));
}

#[tokio::test(start_paused = true)]
async fn audit_reads_changes_that_left_the_manifest() {
    // Guards against a listing that stops at the last change in the manifest, or
    // at the end of the first archive that refers to further archives.
    let store = Store::default();
    for number in 1..=2300 {
        let command = ["undrain", "drain"][number as usize % 2];
        let output = execute(&store, number, &[command, "--store", STORE, "runner-3"]).await;
        assert_eq!(output.exit, Exit::Done, "{output:?}");
    }

    let line = [
        "audit", "--store", STORE, "--limit", "5000", "--format", "json",
    ];
    let output = execute(&store, 999, &line).await;

    let value: Value = serde_json::from_str(&output.out).unwrap();
    let revisions: Vec<u64> = value["changes"]
        .as_array()
        .unwrap()
        .iter()
        .map(|change| change["to"].as_u64().unwrap())
        .collect();
    assert_eq!(revisions, (1..=2300).rev().collect::<Vec<_>>());
}

#[tokio::test(start_paused = true)]
async fn loser_of_a_race_exits_with_3_and_names_the_winner() {
    // Guards against a lost race that a script cannot tell from a success.
    let (store, folder) = published_examples().await;
    let other = store.copy();
    let drain = ["drain", "--store", STORE, "--author", "luis", "runner-3"];
    execute(&other, 2, &drain).await;
    store.set_fault(Fault::Overtaken(other.manifest()));
    edit(folder.path(), "layout", "6h", "8h");

    let text = execute(&store, 3, &publish(folder.path())).await;
    let mut line = publish(folder.path()).to_vec();
    line.extend(["--expect", "1", "--format", "json"]);
    let json = execute(&store, 4, &line).await;

    assert_eq!(text.exit, Exit::LostRace);
    assert_eq!(json.exit, Exit::LostRace);
    let value: Value = serde_json::from_str(&json.out).unwrap();
    assert_eq!(value["outcome"], "lost-race");
    assert_eq!(value["winner"]["author"], "luis");
    insta::assert_snapshot!(text.transcript());
}

#[tokio::test(start_paused = true)]
async fn lost_answers_and_outages_have_their_own_exit_codes() {
    // Guards against reporting a failure although the change is in force, and
    // against reporting success or failure when the outcome is unknown.
    let line = ["drain", "--store", STORE, "runner-3"];

    let settled = Store::default();
    settled.set_fault(Fault::Lost);
    let settled = execute(&settled, 1, &line).await;
    let unknown = Store::default();
    unknown.set_fault(Fault::LostAndDown);
    let unknown = execute(&unknown, 2, &line).await;
    let down = Store::default();
    down.set_down(true);
    let publish = execute(&down, 3, &line).await;
    let audit = execute(&down, 4, &["audit", "--store", STORE]).await;

    let exits = [&settled, &unknown, &publish, &audit].map(|output| output.exit);
    assert_eq!(
        exits,
        [
            Exit::Done,
            Exit::Unknown,
            Exit::Unavailable,
            Exit::Unavailable
        ]
    );
    insta::assert_snapshot!([settled, unknown, publish]
        .map(|ran| ran.transcript())
        .join("\n\n"));
}

#[tokio::test(start_paused = true)]
async fn faulty_files_are_reported_and_not_published() {
    // Guards against publishing the correct files of a folder with faulty ones.
    let (store, folder) = published_examples().await;
    let before = store.manifest();
    edit(folder.path(), "layout", "size:", "siez:");
    edit(
        folder.path(),
        "material-order",
        "idempotent: false",
        "idempotent: true",
    );

    let check = execute(&store, 2, &["check", folder.path().to_str().unwrap()]).await;
    let mut line = publish(folder.path()).to_vec();
    line.extend(["--format", "json"]);
    let publish = execute(&store, 3, &line).await;

    assert_eq!([check.exit, publish.exit], [Exit::Usage, Exit::Usage]);
    assert_eq!(store.manifest(), before);
    assert_eq!(publish.err, "");
    let value: Value = serde_json::from_str(&publish.out).unwrap();
    let value = serde_json::to_string_pretty(&value).unwrap();
    insta::assert_snapshot!(format!("{}\n\n{value}", check.transcript()));
}

#[tokio::test]
async fn check_counts_the_files_of_both_users() {
    // Guards against a check that reads no files and reports success.
    let store = Store::default();
    let folder = examples("cot-linen");
    let folder = folder.to_str().unwrap();

    let text = execute(&store, 1, &["check", folder]).await;
    let json = execute(&store, 1, &["check", "--format", "json", folder]).await;

    assert_eq!(text.out, "3 services in 3 files, no faults\n");
    let value: Value = serde_json::from_str(&json.out).unwrap();
    assert_eq!(
        value,
        json!({
            "outcome": "done",
            "files": 3,
            "services": ["batch-plan", "bundle-order", "pricing-check"]
        })
    );
}

/// Repeats a drain until it is published. Returns the number of lost races.
async fn drain_until_done(store: Arc<Http>, number: u64) -> usize {
    let endpoint = format!("runner-{number}");
    for attempt in 0..100 {
        let line = ["drain", "--store", STORE, &endpoint];
        let output = execute(&store, number * 1000 + attempt, &line).await;
        match output.exit {
            Exit::Done => {
                assert!(output.out.contains("Published"), "{output:?}");
                return attempt as usize;
            }
            Exit::LostRace => {}
            _ => panic!("{output:?}"),
        }
    }
    panic!("{endpoint} lost 100 races");
}

#[tokio::test]
async fn operators_race_over_http_with_lost_answers() {
    // Guards against a drain that is lost, recorded twice, or reported as a lost
    // race although it is in force. Operators publish concurrently, and the store
    // drops some of its answers to their writes.
    const OPERATORS: u64 = 12;
    let server = Server::start().await.unwrap();
    server.set_faults(Faults {
        lost_answers: 8,
        ..Faults::default()
    });
    let store = Arc::new(Http::new([server.address()]));

    let operators =
        (0..OPERATORS).map(|number| tokio::spawn(drain_until_done(store.clone(), number)));
    let mut losses = 0;
    for operator in operators.collect::<Vec<_>>() {
        losses += operator.await.unwrap();
    }

    let line = ["audit", "--store", STORE, "--format", "json"];
    let audit = execute(&store, 99, &line).await;
    let value: Value = serde_json::from_str(&audit.out).unwrap();
    let mut drained: Vec<&str> = value["changes"]
        .as_array()
        .unwrap()
        .iter()
        .map(|change| change["summary"][0].as_str().unwrap())
        .collect();
    drained.sort_unstable();
    drained.dedup();
    assert_eq!(value["revision"], OPERATORS);
    assert_eq!(drained.len(), OPERATORS as usize);
    assert!(losses > 0, "no operator lost a race, so nothing was tested");
}

/// Starts a server with the routes that an entry serves to operators.
async fn start_entry() -> SocketAddr {
    let known = "01JD3Q6W8P9V2T5N4R7X0Y1Z2A";
    let explain = move |Segment(job): Segment<String>| async move {
        if job != known {
            return Err(StatusCode::NOT_FOUND);
        }
        Ok(Json(Status {
            job: job.parse().unwrap(),
            phase: Phase::Waiting,
            service: id::Service::new("layout").unwrap(),
            reason: Some(Reason::NoRoom),
            tasks_done: 1,
            tasks: 3,
            trials: vec![Trial {
                index: 0,
                number: id::Attempt(2),
                worker: id::Worker::new("worker-4").unwrap(),
                state: "done".into(),
            }],
        }))
    };
    let status = json!({
        "entry": "entry-1",
        "revision": 7,
        "endpoints": [{"endpoint": "runner-1", "free_slots": 3, "leaving": false}],
        "store": null
    });
    let router = Router::new()
        .route("/v1/explain/{job}", get(explain))
        .route("/v1/status", get(move || async move { Json(status) }));
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, router).await });
    address
}

#[tokio::test]
async fn status_and_explain_show_what_an_entry_answers() {
    // Guards against output that omits the reason or the attempts.
    let store = Store::default();
    let entry = start_entry().await.to_string();
    let known = "01JD3Q6W8P9V2T5N4R7X0Y1Z2A";

    let status = execute(&store, 1, &["status", "--entry", &entry]).await;
    let explain = execute(&store, 1, &["explain", "--entry", &entry, known]).await;
    let absent = known.replace('A', "B");
    let absent = execute(&store, 1, &["explain", "--entry", &entry, &absent]).await;
    let json = ["explain", "--entry", &entry, "--format", "json", known];
    let json = execute(&store, 1, &json).await;

    let value: Value = serde_json::from_str(&json.out).unwrap();
    assert_eq!(value["reason"], "no-room");
    let all = [status, explain, absent].map(|output| output.transcript());
    insta::assert_snapshot!(all.join("\n\n"));
}

#[tokio::test]
async fn entry_that_does_not_answer_is_a_failure() {
    // Guards against an empty result when the entry cannot be reached, which would
    // look like a state without endpoints.
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);

    let output = execute(&Store::default(), 1, &["status", "--entry", &address]).await;

    assert_eq!(output.exit, Exit::Failed);
    assert!(output.err.contains("does not answer"), "{}", output.err);
    assert_eq!(output.out, "");
}

/// Returns what the parser prints for `line`, which must not parse as a
/// command.
fn parser_output(line: &[&str]) -> String {
    match arguments().run_inner(line).unwrap_err() {
        bpaf::ParseFailure::Stdout(doc, full) => doc.monochrome(full),
        bpaf::ParseFailure::Stderr(doc) => format!("error: {}", doc.monochrome(true)),
        bpaf::ParseFailure::Completion(text) => text,
    }
}

#[test]
fn every_command_has_help_with_examples() {
    // Guards against options without help, and against unintended changes of the
    // help.
    let commands = [
        "serve", "check", "publish", "audit", "status", "explain", "drain", "undrain",
    ];

    let mut text = parser_output(&["--help"]);
    for command in commands {
        let help = parser_output(&[command, "--help"]);
        assert!(help.contains("--format"), "{command}: {help}");
        assert!(
            help.contains(&format!("filbertbend {command}")),
            "{command}"
        );
        text.push_str(&format!("\n\n{command} --help\n\n{help}"));
    }

    insta::assert_snapshot!(text);
}

#[test]
fn wrong_arguments_say_what_is_wrong() {
    // Guards against a usage error that does not name the argument.
    let lines: [&[&str]; 7] = [
        &["publsh", "."],
        &["publish", "."],
        &["drain", "--store", "store:2400", "runner-3"],
        &["drain", "--store", STORE, "Runner 3"],
        &["explain", "17"],
        &["check", "--format", "xml", "."],
        &["drain", "--store", STORE, "--author", "a\nb", "runner-3"],
    ];

    let text: Vec<String> = lines
        .iter()
        .map(|line| format!("{}\n    {}", line.join(" "), parser_output(line)))
        .collect();

    insta::assert_snapshot!(text.join("\n"));
}
