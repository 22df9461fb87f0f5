//! Behaviour of the stand-in worker that other tests rely on.

use {
    filbertbend_coordination::{
        attempt::{Attempt, Output, Work},
        worker::{Command, Event, Running},
    },
    filbertbend_standin::worker::{
        overlaps,
        server::{self, Shared},
        Echo, Faults, Model, Page, Settings, Span,
    },
    filbertbend_state::{
        id,
        room::Room,
        time::Instant,
        unit::{Bytes, Cores, Millis, Share},
    },
    http_body_util::{BodyExt, Full},
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
};

const START: Instant = Instant(5000);

fn attempt(number: u32) -> Attempt {
    Attempt {
        task: "01J00000000000000000000001/0".parse().unwrap(),
        number: id::Attempt(number),
    }
}

fn model() -> Model {
    Model::new(Settings::new(id::Worker::new("w1").unwrap()), START)
}

fn start(number: u32, work_ms: u64, resume: Option<u64>, lease_end: Instant) -> Command {
    Command::Start {
        attempt: attempt(number),
        work: Work::Batch {
            service: id::Service::new("plan").unwrap(),
            body: format!("{{\"work_ms\":{work_ms},\"echo\":\"kia ora\"}}").into_bytes(),
            resume: resume.map(id::Checkpoint),
        },
        size: Room {
            cores: Cores(1000),
            memory: Bytes(1 << 30),
            ..Room::NONE
        },
        lease_end,
    }
}

fn checkpoint(number: u32) -> Command {
    let attempt = attempt(number);
    Command::Checkpoint { attempt }
}

fn stop(number: u32) -> Command {
    let attempt = attempt(number);
    Command::Stop { attempt }
}

fn events(model: &mut Model, now: Instant) -> Vec<Event> {
    let keep = |event: &Event| !matches!(event, Event::Usage(_));
    let page = model.events(now, 0);
    page.events.into_iter().filter(keep).collect()
}

fn echo(output: &Output) -> Echo {
    serde_json::from_slice(&output.body).unwrap()
}

#[test]
fn start_after_the_lease_end_is_refused() {
    let mut model = model();

    model.command(START, start(1, 100, None, START));

    assert_eq!(events(&mut model, START), [Event::Refused(attempt(1))]);
    assert!(model.trace().spans.is_empty());
}

#[test]
fn task_is_stopped_when_its_lease_ends_even_if_nobody_looks() {
    let mut model = model();
    let lease_end = START + Millis(1000);
    model.command(START, start(1, 5000, None, lease_end));

    model.advance(START + Millis(60_000));

    assert_eq!(model.trace().spans[0].to, Some(lease_end));
}

#[test]
fn ended_attempt_does_not_run_again() {
    let mut model = model();
    let lease_end = START + Millis(10_000);
    model.command(START, start(1, 100, None, lease_end));

    model.command(START + Millis(200), start(1, 100, None, lease_end));

    assert_eq!(model.trace().spans.len(), 1);
    let last = events(&mut model, START + Millis(200)).pop();
    assert_eq!(last, Some(Event::Refused(attempt(1))));
}

#[test]
fn stop_that_overtakes_a_start_prevents_it() {
    let mut model = model();
    model.command(START, stop(1));

    model.command(START, start(1, 100, None, START + Millis(10_000)));

    assert!(model.trace().spans.is_empty());
}

#[test]
fn checkpoint_resumes_the_work_done() {
    let mut model = model();
    let lease_end = START + Millis(10_000);
    model.command(START, start(1, 3000, None, lease_end));
    let saved = START + Millis(1000);
    model.command(saved, checkpoint(1));
    model.command(saved + Millis(300), stop(1));

    model.command(saved + Millis(300), start(2, 3000, Some(1000), lease_end));
    let seen = events(&mut model, saved + Millis(2300));

    let number = id::Checkpoint(1000);
    assert!(seen.contains(&Event::Checkpointed(attempt(1), number)));
    let Some(Event::Completed(_, output)) = seen.last() else {
        panic!("{seen:?}");
    };
    assert_eq!(echo(output).resumed_ms, 1000);
    assert_eq!(echo(output).echo, "kia ora");
}

#[test]
fn throttled_task_takes_longer() {
    let mut model = model();
    let share = Share::new(500);
    let attempt = attempt(1);
    model.command(START, start(1, 1000, None, START + Millis(10_000)));
    model.command(START, Command::Throttle { attempt, share });

    assert_eq!(model.running(START + Millis(1999)).len(), 1);
    assert_eq!(model.running(START + Millis(2000)).len(), 0);
}

#[test]
fn usage_arrives_only_after_its_lag() {
    let mut model = model();
    model.command(START, start(1, 60_000, None, START + Millis(60_000)));
    let has_usage = |page: Page| {
        let usage = |event: &Event| matches!(event, Event::Usage(_));
        page.events.iter().any(usage)
    };

    assert!(!has_usage(model.events(START + Millis(10_999), 0)));
    assert!(has_usage(model.events(START + Millis(11_000), 0)));
}

#[test]
fn faulty_worker_fails_everything_it_starts() {
    let mut model = model();
    model.set_faults(Faults {
        fail_all: true,
        ..Faults::default()
    });

    model.command(START, start(1, 100, None, START + Millis(10_000)));

    let seen = events(&mut model, START);
    assert!(matches!(seen[..], [Event::Started(_), Event::Failed(..)]));
}

#[test]
fn overlapping_runs_of_one_task_are_found() {
    let span = |worker: &str, number, from, to: Option<u64>| Span {
        worker: id::Worker::new(worker).unwrap(),
        attempt: attempt(number),
        from: Instant(from),
        to: to.map(Instant),
    };

    let apart = [span("w1", 1, 0, Some(10)), span("w2", 2, 10, None)];
    let together = [span("w1", 1, 0, None), span("w2", 2, 10, Some(20))];

    assert!(overlaps(&apart).is_empty());
    assert_eq!(overlaps(&together).len(), 1);
}

#[tokio::test]
async fn server_starts_a_task_and_reports_its_end() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let settings = Settings::new(id::Worker::new("w1").unwrap());
    let shared = Shared::new(Model::new(settings, server::now()));
    let served = tokio::spawn(server::serve(listener, shared.clone()));
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<bytes::Bytes>>();
    let url = |path: &str| format!("http://{address}{path}");
    let read = async |path: &str| {
        let answer = client.get(url(path).parse().unwrap()).await.unwrap();
        assert_eq!(answer.status(), 200);
        answer.into_body().collect().await.unwrap().to_bytes()
    };

    let command = start(1, 300, None, server::now() + Millis(10_000));
    let request = hyper::Request::post(url("/v1/command"))
        .header("content-type", "application/json")
        .body(Full::from(serde_json::to_vec(&command).unwrap()))
        .unwrap();
    assert_eq!(client.request(request).await.unwrap().status(), 204);
    let tasks: Vec<Running> = serde_json::from_slice(&read("/v1/tasks").await).unwrap();
    let page: Page =
        serde_json::from_slice(&read("/v1/events?after=1&wait_ms=5000").await).unwrap();

    assert_eq!(tasks.len(), 1);
    assert_eq!(page.next, 2);
    assert!(matches!(page.events[..], [Event::Completed(..)]));
    shared.lock().set_faults(Faults {
        unreachable: true,
        ..Faults::default()
    });
    let refused = client.get(url("/v1/tasks").parse().unwrap()).await.unwrap();
    assert_eq!(refused.status(), 503);
    served.abort();
}
