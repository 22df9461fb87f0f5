//! The `status` and `explain JOB` commands, which query an entry over HTTP.

use {
    super::{failure::Failure, Printer},
    bytes::Bytes,
    filbertbend_coordination::job::Status,
    filbertbend_state::{id, outcome::Reason},
    http_body_util::{BodyExt, Empty, Limited},
    hyper::{Request, StatusCode},
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    serde_json::Value,
    std::{fmt::Write as _, io::Write, net::SocketAddr, time::Duration},
};

/// Timeout of a request to an entry, including the body of the response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of the body of a response, in bytes.
const RESPONSE_LIMIT_BYTES: usize = 16 << 20;

pub(super) async fn status<O: Write, E: Write>(
    entry: SocketAddr,
    printer: &mut Printer<O, E>,
) -> Result<(), Failure> {
    let (code, body) = get(entry, "/v1/status").await?;
    if code != StatusCode::OK {
        return Err(unexpected_response(entry, code, &body));
    }
    let value: Value = decode(entry, &body)?;
    let mut text = String::new();
    write_indented(&value, 0, &mut text);
    printer.text(text.trim_end());
    printer.json(&value);
    Ok(())
}

pub(super) async fn explain<O: Write, E: Write>(
    job: id::Job,
    entry: SocketAddr,
    printer: &mut Printer<O, E>,
) -> Result<(), Failure> {
    let (code, body) = get(entry, &format!("/v1/explain/{job}")).await?;
    match code {
        StatusCode::OK => {}
        StatusCode::NOT_FOUND => return Err(Failure::UnknownJob(job)),
        code => return Err(unexpected_response(entry, code, &body)),
    }
    let status: Status = decode(entry, &body)?;
    printer.text(format_job(&status));
    printer.json(&status);
    Ok(())
}

async fn get(entry: SocketAddr, path: &str) -> Result<(StatusCode, Bytes), Failure> {
    let failure = |reason: String| Failure::EntryRequest {
        address: entry,
        reason,
    };
    let request = Request::get(format!("http://{entry}{path}"))
        .body(Empty::<Bytes>::new())
        .map_err(|error| failure(error.to_string()))?;
    let exchange = async {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let response = client
            .request(request)
            .await
            .map_err(|error| failure(root_cause(&error)))?;
        let code = response.status();
        let body = Limited::new(response.into_body(), RESPONSE_LIMIT_BYTES)
            .collect()
            .await
            .map_err(|error| failure(error.to_string()))?;
        Ok((code, body.to_bytes()))
    };
    tokio::time::timeout(RESPONSE_TIMEOUT, exchange)
        .await
        .unwrap_or_else(|_| Err(failure("no answer within 5s".to_owned())))
}

/// Returns the message of the innermost cause of an error, which is the most
/// specific one.
fn root_cause(error: &dyn std::error::Error) -> String {
    match error.source() {
        Some(source) => root_cause(source),
        None => error.to_string(),
    }
}

fn decode<T: serde::de::DeserializeOwned>(entry: SocketAddr, body: &Bytes) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|error| Failure::EntryRequest {
        address: entry,
        reason: format!("the answer cannot be read: {error}"),
    })
}

/// Returns the failure for a response with an unexpected status code, with the
/// entry's message if the body holds one.
fn unexpected_response(entry: SocketAddr, code: StatusCode, body: &Bytes) -> Failure {
    let message = serde_json::from_slice::<Value>(body)
        .ok()
        .and_then(|value| value.get("message")?.as_str().map(str::to_owned));
    let reason = match message {
        Some(message) => format!("{code}: {message}"),
        None => code.to_string(),
    };
    let address = entry;
    Failure::EntryRequest { address, reason }
}

/// Appends a JSON value to `text` as indented lines.
fn write_indented(value: &Value, depth: usize, text: &mut String) {
    let indent = "  ".repeat(depth);
    let fields: Vec<(String, &Value)> = match value {
        Value::Object(map) => map
            .iter()
            .map(|(key, value)| (format!("{key}:"), value))
            .collect(),
        Value::Array(list) => list.iter().map(|value| ("-".to_owned(), value)).collect(),
        scalar => {
            let _ = writeln!(text, "{indent}{}", format_scalar(scalar));
            return;
        }
    };
    for (key, value) in fields {
        match value {
            Value::Object(_) | Value::Array(_) => {
                let _ = writeln!(text, "{indent}{key}");
                write_indented(value, depth + 1, text);
            }
            scalar => {
                let _ = writeln!(text, "{indent}{key} {}", format_scalar(scalar));
            }
        }
    }
}

fn format_scalar(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "none".to_owned(),
        other => other.to_string(),
    }
}

/// Formats the state of a job for people.
fn format_job(status: &Status) -> String {
    let mut text = format!(
        "job {} of service {}: {}, {} of {} tasks done",
        status.job, status.service, status.phase, status.tasks_done, status.tasks
    );
    if let Some(reason) = status.reason {
        let _ = write!(text, "\nreason: {reason}, {}", describe_reason(reason));
    }
    if !status.trials.is_empty() {
        text.push_str("\nattempts:");
    }
    for trial in &status.trials {
        let _ = write!(
            text,
            "\n    task {} attempt {} on {}: {}",
            trial.index, trial.number, trial.worker, trial.state
        );
    }
    text
}

/// Returns an explanation of a reason for people.
fn describe_reason(reason: Reason) -> &'static str {
    match reason {
        Reason::QueueFull => "the queue would hold it past its deadline or its bound",
        Reason::DeadlineTooShort => "its deadline cannot be met",
        Reason::NoRoom => "no endpoint or worker has room for it now",
        Reason::NoEndpoint => "no endpoint serves the service",
        Reason::Leaving => "the process that was asked is leaving",
        Reason::StoreUnavailable => "the store is down, so nothing new can be made durable",
        Reason::QuotaExceeded => "the team is over its quota",
        Reason::UnknownService => "the service is not in the configuration",
        Reason::SequenceGap => "an earlier order of the customer is missing",
        Reason::KeyReused => "the idempotency key was used with another body",
        Reason::TooLarge => "it is larger than every worker",
        Reason::Parked => "it failed on several workers in good standing",
        Reason::NoOwner => "its slice has no owner at the moment",
        Reason::RetryBudget => "no try is left in the retry budget",
    }
}
