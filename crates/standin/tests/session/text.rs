//! The text of messages, calls and answers in the golden files.

use {
    filbertbend_coordination::{
        attempt::{Command, End, Report},
        job::{self, Answer},
        store::Call as StoreCall,
    },
    filbertbend_state::time::Instant,
    std::fmt::Write,
};

pub(crate) fn time(at: Instant) -> String {
    format!("{:>3}.{:03}", at.0 / 1000, at.0 % 1000)
}

pub(super) fn describe_command(command: &Command) -> String {
    use filbertbend_coordination::attempt::Work;
    match command {
        Command::Start {
            work:
                Work::Batch {
                    resume: Some(resume),
                    ..
                },
            ..
        } => format!("start from checkpoint {resume}"),
        Command::Grant { lease, .. } => format!("grant {} ms", lease.0),
        other => other.name().to_owned(),
    }
}

pub(super) fn describe_report(report: &Report) -> String {
    match report {
        Report::Refused { reason } => format!("refused ({reason})"),
        Report::Checkpointed { number } => format!("checkpointed {number}"),
        Report::Stopped {
            checkpoint: Some(number),
        } => format!("stopped with checkpoint {number}"),
        Report::Ended(End::Completed(_)) => "completed".to_owned(),
        Report::Ended(End::Failed(reason)) => format!("failed ({reason})"),
        Report::Ended(End::Unknown) => "ended unknown".to_owned(),
        other => other.name().to_owned(),
    }
}

pub(crate) fn describe_store_call(call: &StoreCall) -> String {
    match call {
        StoreCall::Get { key } => format!("get {key}"),
        StoreCall::Put { key, .. } => format!("put {key}"),
        StoreCall::Delete { key, .. } => format!("delete {key}"),
        StoreCall::List { prefix, .. } => format!("list {prefix}"),
        StoreCall::Grant { .. } => "grant lease".to_owned(),
        StoreCall::Renew { .. } => "renew lease".to_owned(),
        StoreCall::Revoke { .. } => "revoke lease".to_owned(),
        StoreCall::Watch { prefix, .. } => format!("watch {prefix}"),
    }
}

pub(super) fn describe_answer(answer: &Answer) -> String {
    let text = |output: &filbertbend_coordination::attempt::Output| {
        format!(
            "{} {}",
            output.status,
            String::from_utf8_lossy(&output.body)
        )
    };
    match answer {
        Answer::Accepted(job) => format!("accepted {job}"),
        Answer::Status(status) => format!("status {}", describe_status(status)),
        Answer::Pending(status) => format!("pending {}", describe_status(status)),
        Answer::Outputs(outputs) => format!(
            "outputs {}",
            outputs.iter().map(text).collect::<Vec<_>>().join(", ")
        ),
        Answer::Output(output) => format!("output {}", text(output)),
        Answer::NotFound => "not found".to_owned(),
        Answer::Outcome(outcome) => format!("{outcome:?}"),
    }
}

pub(super) fn describe_status(status: &job::Status) -> String {
    let mut text = format!(
        "{} {}/{} tasks",
        status.phase, status.tasks_done, status.tasks
    );
    if let Some(reason) = &status.reason {
        write!(text, " ({reason})").unwrap();
    }
    for trial in &status.trials {
        write!(
            text,
            "; {}#{} on {}: {}",
            trial.index, trial.number, trial.worker, trial.state
        )
        .unwrap();
    }
    text
}
