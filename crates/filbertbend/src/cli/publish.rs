//! The `publish DIR`, `drain` and `undrain` commands, which publish a change of
//! the configuration.

use {
    super::{audit::AuditRecord, failure::Failure, Context, Printer},
    filbertbend_coordination::{
        config::{
            publish::{Action, Event},
            Difference, Edit, Intent, Outcome, Publisher, Request,
        },
        store::{Answer, Call, Ticket},
    },
    filbertbend_state::{id, time::Instant},
    filbertbend_transport::store::Client,
    futures_util::{stream::FuturesUnordered, StreamExt},
    serde::Serialize,
    std::{future::Future, io::Write, sync::Arc},
    tokio::time,
};

/// The change that the operator asks for and how to publish it.
pub(super) struct Options {
    pub(super) intent: Intent,
    /// The revision that must be in force for the publish to go ahead.
    pub(super) expected: Option<id::Revision>,
    /// Whether to show the difference and publish nothing.
    pub(super) dry_run: bool,
}

impl Options {
    pub(super) fn new(intent: Intent) -> Self {
        Self {
            intent,
            expected: None,
            dry_run: false,
        }
    }
}

/// The JSON output of a command that publishes.
#[derive(Serialize)]
struct Output {
    outcome: &'static str,
    base: id::Revision,
    revision: id::Revision,
    author: Arc<str>,
    edits: Difference,
}

pub(super) async fn run<C: Client, O: Write, E: Write>(
    options: Options,
    context: Context<C>,
    printer: &mut Printer<O, E>,
) -> Result<(), Failure> {
    let author = context.author.ok_or(Failure::UnknownAuthor)?;
    let request = Request {
        intent: options.intent,
        author: author.clone(),
        at: context.at,
        expected: options.expected,
    };
    let mut planned = (id::Revision::default(), Difference::default());
    let publisher = Publisher::new(request, context.seed);
    let outcome = drive(&context.store, publisher, |base, difference| {
        for edit in &difference.edits {
            printer.text(format_edit(edit));
        }
        planned = (base, difference);
        !options.dry_run
    })
    .await;
    let (base, edits) = planned;
    let (outcome, base, revision, text) = match outcome {
        Outcome::Published(change) => (
            "published",
            base,
            change.to,
            format!(
                "Published revision {} as {author}, against revision {base}.",
                change.to
            ),
        ),
        Outcome::Unchanged(revision) => (
            "unchanged",
            revision,
            revision,
            format!("Nothing to publish: revision {revision} already is as declared."),
        ),
        Outcome::Declined => (
            "declined",
            base,
            base,
            format!("Nothing was published; revision {base} stays in force."),
        ),
        other => return Err(to_failure(other)),
    };
    printer.text(text);
    printer.json(&Output {
        outcome,
        base: if outcome == "unchanged" {
            revision
        } else {
            base
        },
        revision,
        author,
        edits,
    });
    Ok(())
}

/// Converts the outcome of an unsuccessful publish to a failure.
fn to_failure(outcome: Outcome) -> Failure {
    match outcome {
        Outcome::LostRace { base, winner } => Failure::LostRace {
            base,
            winner: winner.map(AuditRecord::from),
        },
        Outcome::Unknown(change) => Failure::UnknownOutcome {
            revision: change.to,
            nonce: change.nonce,
        },
        Outcome::Rejected { key, error } => Failure::InvalidValue { key, error },
        _ => Failure::Unavailable,
    }
}

/// Drives a publish until it is done. `decide` gets the base revision and the
/// planned difference, and returns whether to proceed.
async fn drive<C: Client>(
    store: &C,
    mut publisher: Publisher,
    mut decide: impl FnMut(id::Revision, Difference) -> bool,
) -> Outcome {
    let started = time::Instant::now();
    let now = || Instant(started.elapsed().as_millis() as u64);
    let mut calls = FuturesUnordered::new();
    let mut event = Event::Tick;
    loop {
        let mut actions = Vec::new();
        publisher.step(now(), event, &mut actions);
        let mut decision = None;
        for action in actions {
            match action {
                Action::Store(ticket, call) => calls.push(send_call(store, ticket, call)),
                Action::Plan(plan) => decision = Some(decide(plan.base, plan.difference)),
                Action::Done(outcome) => return outcome,
            }
        }
        event = match decision {
            Some(true) => Event::Proceed,
            Some(false) => Event::Decline,
            None => {
                let wait = publisher.wake_at().map(|at| at.since(now()).duration());
                next_event(&mut calls, wait.unwrap_or(MAX_IDLE)).await
            }
        };
    }
}

/// Wait for the next event if the publisher has no timer.
const MAX_IDLE: time::Duration = time::Duration::from_secs(1);

async fn send_call<C: Client>(store: &C, ticket: Ticket, call: Call) -> Event {
    let answer: Answer = store.call(call).await;
    Event::Answer(ticket, answer)
}

/// Waits for the next answer of the store. Returns [`Event::Tick`] if none
/// arrives within `wait`.
async fn next_event<F: Future<Output = Event>>(
    calls: &mut FuturesUnordered<F>,
    wait: time::Duration,
) -> Event {
    tokio::select! {
        Some(event) = calls.next() => event,
        () = time::sleep(wait) => Event::Tick,
    }
}

/// Formats one edit of a plan as text.
fn format_edit(edit: &Edit) -> String {
    let sign = match edit {
        Edit::Add { .. } | Edit::Undrain { .. } => '+',
        Edit::Remove { .. } | Edit::Drain { .. } => '-',
        Edit::Change { .. } => '~',
    };
    match edit {
        Edit::Change { service, fields } => {
            let fields: String = fields
                .iter()
                .map(|field| format!("\n    {}: {} -> {}", field.key, field.from, field.to))
                .collect();
            format!("{sign} change service {service}{fields}")
        }
        other => format!("{sign} {other}"),
    }
}
