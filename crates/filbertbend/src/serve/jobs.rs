//! Serves jobs and orders by calling the owner of their slice.

use {
    super::{
        answer::{Answer, OUTCOME, PENDING},
        api::{field, segment, Api, Options},
    },
    axum::{
        body::Bytes,
        extract::{Path, Query, State},
        http::{header, HeaderMap, HeaderValue, StatusCode},
        response::{IntoResponse, Response},
        Json,
    },
    filbertbend_coordination::{
        attempt::Output,
        job::{self, Call, Order, Spec, Status},
    },
    filbertbend_state::{
        hash, id,
        outcome::{Outcome, Ran, Reason},
        service::{Declaration, Kind},
        unit::Millis,
    },
    filbertbend_transport::clock,
    serde::Deserialize,
    serde_json::json,
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
    ulid::Ulid,
};

/// Maximum number of tasks of one job.
const TASKS_LIMIT: u32 = 4096;
/// How long a call waits for an owner when the caller states no deadline.
const CALL_WAIT: Millis = Millis::from_secs(5);
/// How often the status of a watched job is polled.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// The owner gives up an order that has not started at most this long before the
/// caller's deadline, so that the refusal reaches the caller in time.
const ORDER_MARGIN: Millis = Millis(500);
/// Longest time that one status call may wait.
const WATCH_LIMIT: Duration = Duration::from_secs(60);

/// Query parameters of a job submission.
#[derive(Debug, Deserialize)]
pub(crate) struct Submission {
    tasks: Option<u32>,
}

/// Query parameters of a status or result call.
#[derive(Debug, Deserialize)]
pub(crate) struct Watch {
    wait_ms: Option<u64>,
    task: Option<usize>,
}

/// Submits a job. The same idempotency key always names the same job.
pub(crate) async fn submit(
    State(api): State<Arc<Api>>,
    Path(service): Path<String>,
    Query(query): Query<Submission>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Response, Answer> {
    let request = api.request();
    submit_job(&api, &service, query, &headers, body, request).await
}

async fn submit_job(
    api: &Api,
    service: &str,
    query: Submission,
    headers: &HeaderMap,
    body: Bytes,
    request: id::Request,
) -> Result<Response, Answer> {
    let declaration = find_declaration(api, service, Kind::Job, request)?;
    let options = Options::read(headers, &declaration, &api.snapshot(), request)?;
    let tasks = query.tasks.unwrap_or(1);
    if !(1..=TASKS_LIMIT).contains(&tasks) {
        let message = format!("tasks must be from 1 to {TASKS_LIMIT}");
        return Err(Answer::invalid(StatusCode::BAD_REQUEST, request, message));
    }
    let id = match field::<id::Key>(headers, "idempotency-key", request)? {
        Some(key) => job_id(format!("job/{service}/{}/{key}", options.team)),
        None => new_job_id(api, request),
    };
    let spec = Spec {
        tasks,
        ..spec(id, &declaration, &options, body)
    };
    let slice = hash::job_slice(id, api.slices);
    let call = Call::Submit(spec);
    let answer = api
        .control
        .call(slice, call, CALL_WAIT.min(options.remaining()))
        .await;
    match answer {
        job::Answer::Accepted(job) => {
            let document = Json(json!({ "job": job, "request": request.to_string() }));
            Ok(done(StatusCode::ACCEPTED, document))
        }
        other => other_answer(other, request),
    }
}

/// Runs an order and answers with its recorded outcome.
pub(crate) async fn order(
    State(api): State<Arc<Api>>,
    Path(service): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Response, Answer> {
    let request = api.request();
    submit_order(&api, &service, &headers, body, request).await
}

async fn submit_order(
    api: &Api,
    service: &str,
    headers: &HeaderMap,
    body: Bytes,
    request: id::Request,
) -> Result<Response, Answer> {
    let declaration = find_declaration(api, service, Kind::Order, request)?;
    let options = Options::read(headers, &declaration, &api.snapshot(), request)?;
    let key: id::Key = required(headers, "idempotency-key", request)?;
    let customer: id::Customer = required(headers, "x-customer", request)?;
    let sequence: u64 = required(headers, "x-sequence", request)?;
    if sequence == 0 {
        let message = "x-sequence counts from 1";
        return Err(Answer::invalid(StatusCode::BAD_REQUEST, request, message));
    }
    // Each submission gets a new id: the owner finds an earlier one by its key,
    // and a refused order may be submitted again.
    let id = new_job_id(api, request);
    let slice = hash::slice(customer.as_str(), api.slices);
    let remaining = options.remaining();
    let margin = ORDER_MARGIN.min(Millis(remaining.0 / 4));
    let spec = Spec {
        expires_at: Some(clock::wall() + Millis(remaining.0 - margin.0)),
        order: Some(Order {
            customer,
            sequence,
            key,
        }),
        ..spec(id, &declaration, &options, body)
    };
    let answer = api
        .control
        .call(slice, Call::Submit(spec), options.remaining())
        .await;
    order_answer(answer, request)
}

/// Returns the recorded outcome of an order.
pub(crate) async fn order_outcome(
    State(api): State<Arc<Api>>,
    Path((service, customer, key)): Path<(String, String, String)>,
) -> Result<Response, Answer> {
    let request = api.request();
    let customer: id::Customer = segment(&customer, request)?;
    let slice = hash::slice(customer.as_str(), api.slices);
    let call = Call::Order {
        service: segment(&service, request)?,
        customer,
        key: segment(&key, request)?,
    };
    order_answer(api.control.call(slice, call, CALL_WAIT).await, request)
}

/// Returns the status of a job, waiting for its end up to `wait_ms`.
pub(crate) async fn status(
    State(api): State<Arc<Api>>,
    Path(job): Path<String>,
    Query(watch): Query<Watch>,
) -> Result<Response, Answer> {
    let request = api.request();
    let job = segment(&job, request)?;
    let wait = Duration::from_millis(watch.wait_ms.unwrap_or(0)).min(WATCH_LIMIT);
    let end = Instant::now() + wait;
    loop {
        match api.job_call(Call::Status(job), job).await {
            job::Answer::Status(status) if status.phase.is_final() || Instant::now() >= end => {
                return Ok(done(StatusCode::OK, Json(status)));
            }
            job::Answer::Status(_) => tokio::time::sleep(WATCH_INTERVAL).await,
            other => return other_answer(other, request),
        }
    }
}

/// Returns the output of one task, or the list of all outputs.
pub(crate) async fn result(
    State(api): State<Arc<Api>>,
    Path(job): Path<String>,
    Query(query): Query<Watch>,
) -> Result<Response, Answer> {
    let request = api.request();
    let job = segment(&job, request)?;
    let outputs = match api.job_call(Call::Result(job), job).await {
        job::Answer::Outputs(outputs) => outputs,
        other => return other_answer(other, request),
    };
    match (query.task, outputs.as_slice()) {
        (None, [output]) => Ok(output_response(output.clone())),
        (None, _) => Ok(done(StatusCode::OK, Json(output_list(&outputs)))),
        (Some(task), _) => outputs
            .into_iter()
            .nth(task)
            .map(output_response)
            .ok_or_else(|| {
                let message = format!("job {job} has no task {task}");
                Answer::invalid(StatusCode::NOT_FOUND, request, message)
            }),
    }
}

/// Cancels a job. After the answer, none of its tasks starts any more.
pub(crate) async fn cancel(
    State(api): State<Arc<Api>>,
    Path(job): Path<String>,
) -> Result<Response, Answer> {
    let request = api.request();
    let job = segment(&job, request)?;
    match api.job_call(Call::Cancel(job), job).await {
        job::Answer::Status(status) => Ok(done(StatusCode::OK, Json(status))),
        job::Answer::Outcome(Outcome::Cancelled) => {
            let document = Json(json!({ "job": job, "phase": "cancelled" }));
            Ok(done(StatusCode::OK, document))
        }
        other => other_answer(other, request),
    }
}

impl Api {
    async fn job_call(&self, call: Call, job: id::Job) -> job::Answer {
        let slice = hash::job_slice(job, self.slices);
        self.control.call(slice, call, CALL_WAIT).await
    }
}

fn find_declaration(
    api: &Api,
    service: &str,
    kind: Kind,
    request: id::Request,
) -> Result<Declaration, Answer> {
    let declaration = api.declaration(service, request)?;
    if declaration.kind == kind {
        return Ok(declaration);
    }
    let message = format!(
        "service `{service}` takes {}s, not {kind}s",
        declaration.kind
    );
    Err(Answer::invalid(StatusCode::NOT_FOUND, request, message))
}

fn required<T>(headers: &HeaderMap, name: &'static str, request: id::Request) -> Result<T, Answer>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    field(headers, name, request)?.ok_or_else(|| {
        let message = format!("header {name} is missing");
        Answer::invalid(StatusCode::BAD_REQUEST, request, message)
    })
}

/// Derives the id from what identifies the job, so that a repeated submission
/// names the same job at whichever entry it arrives.
fn job_id(identity: String) -> id::Job {
    id::Job(hash::ulid(identity))
}

/// Generates an id for a job without an idempotency key. It contains the time,
/// which distinguishes reports about the job from those about jobs that are no
/// longer kept.
fn new_job_id(api: &Api, request: id::Request) -> id::Job {
    let wall = clock::wall();
    let random = hash::ulid(format!("{}/{request}/{}", api.entry, wall.0)).random();
    id::Job(Ulid::from_parts(wall.0, random))
}

fn spec(id: id::Job, declaration: &Declaration, options: &Options, body: Bytes) -> Spec {
    Spec {
        id,
        service: declaration.name.clone(),
        team: options.team.clone(),
        class: declaration.class,
        size: declaration.size,
        tasks: 1,
        run_time: declaration.run_time,
        expires_at: Some(clock::wall() + options.remaining()),
        data_centres: declaration.data_centres.clone(),
        body: body.to_vec(),
        order: None,
    }
}

fn order_answer(answer: job::Answer, request: id::Request) -> Result<Response, Answer> {
    match answer {
        job::Answer::Output(output) => Ok(output_response(output)),
        other => other_answer(other, request),
    }
}

/// Answers that a job or order has not ended. The outcome is not `done`, so that
/// a caller does not mistake a waiting order for a completed one.
fn pending(status: Status) -> Response {
    let mut response = (StatusCode::ACCEPTED, Json(status)).into_response();
    response
        .headers_mut()
        .insert(OUTCOME, HeaderValue::from_static(PENDING));
    response
}

fn done(code: StatusCode, body: impl IntoResponse) -> Response {
    let mut response = (code, body).into_response();
    response
        .headers_mut()
        .insert(OUTCOME, HeaderValue::from_static("done"));
    response
}

fn output_response(output: Output) -> Response {
    let code = StatusCode::from_u16(output.status).unwrap_or(StatusCode::OK);
    let mut response = done(code, output.body);
    if let Ok(value) = HeaderValue::from_str(&output.content_type) {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    response
}

fn output_list(outputs: &[Output]) -> Vec<serde_json::Value> {
    outputs
        .iter()
        .enumerate()
        .map(|(task, output)| {
            json!({
                "task": task,
                "status": output.status,
                "content_type": output.content_type,
                "bytes": output.body.len(),
            })
        })
        .collect()
}

/// Converts an owner's answer other than success to the answer for the caller.
fn other_answer(answer: job::Answer, request: id::Request) -> Result<Response, Answer> {
    match answer {
        job::Answer::Pending(status) => Ok(pending(status)),
        job::Answer::Outcome(outcome) => Err(Answer::new(outcome, request)),
        job::Answer::Status(status) => Err(ended_without_output(&status, request)),
        _ => Err(Answer::invalid(
            StatusCode::NOT_FOUND,
            request,
            "no such job or order, or its result is no longer kept",
        )),
    }
}

/// Creates the answer for a job that ended without an output.
fn ended_without_output(status: &Status, request: id::Request) -> Answer {
    let answer = Answer::new(outcome_of(status), request);
    if status.phase != job::Phase::Failed {
        return answer;
    }
    let tries = status.trials.len();
    answer.with_message(format!(
        "the job failed in {tries} tries; its status lists them"
    ))
}

fn outcome_of(status: &Status) -> Outcome {
    match status.phase {
        job::Phase::Cancelled => Outcome::Cancelled,
        job::Phase::Expired => Outcome::Expired { ran: Ran::No },
        job::Phase::Refused => Outcome::Refused {
            reason: status.reason.unwrap_or(Reason::NoRoom),
            retry_after_ms: Millis::from_secs(1),
        },
        job::Phase::Done => Outcome::Done,
        _ => Outcome::Unknown,
    }
}
