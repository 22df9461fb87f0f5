//! Reads the services of one scheduling file.

use {
    super::ParsedService,
    filbertbend_state::{
        id,
        room::Room,
        service::{Class, Declaration, Kind, Retry},
        unit::{Accelerators, Bytes, Cores, Millis, Share},
    },
    filbertbend_yaml::{document::Node, positive, Code, Report, Section, Span, Spanned},
};

/// Deadline of a job that declares none.
const DEFAULT_JOB_DEADLINE: Millis = Millis::from_secs(24 * 3600);

/// Longest duration that a file may declare; a longer one is most likely a
/// mistake in the unit.
const DURATION_LIMIT: Millis = Millis::from_secs(30 * 24 * 3600);

/// Maximum number of tries of one request, including the first. The retry
/// budget bounds the retries of a whole service, this limit those of a request.
const TRIES_LIMIT: u8 = 5;

pub(super) fn file(documents: &[Node], report: &mut Report) -> Vec<ParsedService> {
    if documents.is_empty() && report.is_empty() {
        report.add(
            Code::Empty,
            Span::default(),
            "the file declares no service",
            "declare a service, or delete the file",
        );
    }
    documents
        .iter()
        .filter_map(|node| service(node, report))
        .collect()
}

pub(super) fn service(node: &Node, report: &mut Report) -> Option<ParsedService> {
    let mut section = Section::open(node, "a service", report)?;
    let name = section.required::<id::Service>("name", report);
    let team = section.required::<id::Team>("team", report);
    let kind = section.required::<Kind>("kind", report);
    let class = section.optional::<Class>("class", report);
    let idempotent = section.optional::<bool>("idempotent", report);
    let deadline = read_deadline(&mut section, kind.as_ref(), report);
    let size = read_size(&mut section, report);
    let run_time = section.required::<Millis>("run_time", report);
    let share = section.optional::<Share>("share", report);
    let quota = read_quota(&mut section, report);
    let retry = read_retry(&mut section, report);
    let data_centres = section.list::<id::DataCentre>("data_centres", report);
    section.close(report);

    check_duration(deadline.as_ref(), "deadline", report);
    check_duration(run_time.as_ref(), "run_time", report);
    check_run_time(run_time.as_ref(), deadline.as_ref(), report);
    check_data_centres(&data_centres, report);
    if let Some(kind) = &kind {
        check_order(kind.value, idempotent.as_ref(), &retry, report);
        check_quota(kind.value, quota.as_ref(), size.as_ref(), report);
    }
    check_hedge(idempotent.as_ref(), &retry, report);

    let name = name?;
    let data_centres: Vec<_> = data_centres.into_iter().map(|spot| spot.value).collect();
    let declaration = || {
        let kind = kind?.value;
        Some(Declaration {
            name: name.value.clone(),
            team: team?.value,
            kind,
            class: class.map_or(default_class(kind), |spot| spot.value),
            idempotent: idempotent.is_some_and(|spot| spot.value),
            deadline: deadline.map_or(DEFAULT_JOB_DEADLINE, |spot| spot.value),
            size: size?.value,
            run_time: run_time?.value,
            share: share.as_ref().map_or(Share::NONE, |spot| spot.value),
            quota: quota.map_or(Room::NONE, |spot| spot.value),
            retry: retry.resolve(),
            data_centres: data_centres.clone(),
        })
    };
    let declaration = declaration();
    Some(ParsedService {
        file: report.file().clone(),
        name,
        share,
        data_centres,
        declaration,
    })
}

/// Returns the class of a service that does not declare one.
fn default_class(kind: Kind) -> Class {
    match kind {
        Kind::Check | Kind::Order => Class::Interactive,
        Kind::Job => Class::Batch,
    }
}

/// Reads the deadline, which is optional for jobs and required otherwise.
fn read_deadline(
    section: &mut Section<'_>,
    kind: Option<&Spanned<Kind>>,
    report: &mut Report,
) -> Option<Spanned<Millis>> {
    match kind {
        Some(Spanned { value, .. }) if *value != Kind::Job => section.required("deadline", report),
        _ => section.optional("deadline", report),
    }
}

fn read_size(section: &mut Section<'_>, report: &mut Report) -> Option<Spanned<Room>> {
    let mut subsection = section.section("size", "the section `size`", report)?;
    let span = subsection.span();
    let cores = subsection.required::<Cores>("cores", report);
    let memory = subsection.required::<Bytes>("memory", report);
    let accelerators = subsection.optional::<Accelerators>("accelerators", report);
    subsection.close(report);
    let cores = positive(cores, "cores", report);
    let memory = positive(memory, "memory", report);
    let value = Room {
        cores: cores?,
        memory: memory?,
        accelerators: accelerators.map_or(Accelerators::ZERO, |spot| spot.value),
    };
    Some(Spanned { value, span })
}

/// Reads the quota. Returns `None` if the service declares none.
fn read_quota(section: &mut Section<'_>, report: &mut Report) -> Option<Spanned<Room>> {
    let present = section.contains("quota");
    let mut subsection = section.section("quota", "the section `quota`", report)?;
    let span = subsection.span();
    let cores = subsection.optional::<Cores>("cores", report);
    let memory = subsection.optional::<Bytes>("memory", report);
    let accelerators = subsection.optional::<Accelerators>("accelerators", report);
    subsection.close(report);
    let value = Room {
        cores: cores.map_or(Cores::ZERO, |spot| spot.value),
        memory: memory.map_or(Bytes::ZERO, |spot| spot.value),
        accelerators: accelerators.map_or(Accelerators::ZERO, |spot| spot.value),
    };
    present.then_some(Spanned { value, span })
}

/// The keys of the section `retry`, before defaults are filled in.
struct RetrySection {
    tries: Option<Spanned<u8>>,
    hedge: Option<Spanned<bool>>,
}

impl RetrySection {
    fn resolve(self) -> Retry {
        Retry {
            tries: self.tries.map_or(1, |spot| spot.value),
            hedge: self.hedge.is_some_and(|spot| spot.value),
        }
    }
}

fn read_retry(section: &mut Section<'_>, report: &mut Report) -> RetrySection {
    let Some(mut subsection) = section.section("retry", "the section `retry`", report) else {
        return RetrySection {
            tries: None,
            hedge: None,
        };
    };
    let tries = subsection.optional::<u8>("tries", report);
    let hedge = subsection.optional::<bool>("hedge", report);
    subsection.close(report);
    if let Some(spot) = &tries {
        if !(1..=TRIES_LIMIT).contains(&spot.value) {
            report.add(
                Code::Value,
                spot.span,
                format!("`tries` must be from 1 to {TRIES_LIMIT}"),
                "count the first try as well: 1 means that nothing is retried",
            );
        }
    }
    RetrySection { tries, hedge }
}

fn check_duration(spot: Option<&Spanned<Millis>>, key: &str, report: &mut Report) {
    let Some(spot) = spot else { return };
    if spot.value == Millis::ZERO || spot.value > DURATION_LIMIT {
        report.add(
            Code::Value,
            spot.span,
            format!("`{key}` must be more than zero and at most 720h"),
            "check the unit: ms, s, m or h",
        );
    }
}

fn check_run_time(
    run_time: Option<&Spanned<Millis>>,
    deadline: Option<&Spanned<Millis>>,
    report: &mut Report,
) {
    let Some(run_time) = run_time else { return };
    let deadline = deadline.map_or(DEFAULT_JOB_DEADLINE, |spot| spot.value);
    if run_time.value > deadline && deadline != Millis::ZERO {
        report.add(
            Code::Conflict,
            run_time.span,
            format!(
                "`run_time` {} exceeds the deadline {deadline}, so every call would be refused",
                run_time.value
            ),
            "lower `run_time` or raise `deadline`",
        );
    }
}

fn check_data_centres(centres: &[Spanned<id::DataCentre>], report: &mut Report) {
    for (index, spot) in centres.iter().enumerate() {
        if centres[..index]
            .iter()
            .any(|earlier| earlier.value == spot.value)
        {
            report.add(
                Code::Duplicate,
                spot.span,
                format!("the data centre `{}` is listed twice", spot.value),
                "remove one of the two",
            );
        }
    }
}

/// Reports settings that contradict the guarantee that an order runs at most
/// once.
fn check_order(
    kind: Kind,
    idempotent: Option<&Spanned<bool>>,
    retry: &RetrySection,
    report: &mut Report,
) {
    if kind != Kind::Order {
        return;
    }
    if let Some(Spanned { value: true, span }) = idempotent {
        report.add(
            Code::Conflict,
            *span,
            "an order cannot be idempotent",
            "remove `idempotent`, or use `kind: check` if running it twice does no harm",
        );
    }
    if let Some(Spanned { value: 2.., span }) = retry.tries {
        report.add(
            Code::Conflict,
            span,
            "an order runs at most once and is not retried",
            "remove `tries`; the caller asks again with the same key",
        );
    }
}

fn check_quota(
    kind: Kind,
    quota: Option<&Spanned<Room>>,
    size: Option<&Spanned<Room>>,
    report: &mut Report,
) {
    let Some(quota) = quota else { return };
    if kind != Kind::Job {
        report.add(
            Code::Conflict,
            quota.span,
            format!("`quota` applies to jobs, not to a service of kind {kind}"),
            "remove `quota`; `share` guarantees capacity to checks and orders",
        );
        return;
    }
    if let Some(size) = size.filter(|size| !quota.value.fits(&size.value)) {
        report.add(
            Code::Conflict,
            quota.span,
            format!(
                "the quota ({}) is less than one task ({})",
                quota.value, size.value
            ),
            "raise `quota` to at least `size`, or remove it",
        );
    }
}

fn check_hedge(idempotent: Option<&Spanned<bool>>, retry: &RetrySection, report: &mut Report) {
    let Some(Spanned { value: true, span }) = retry.hedge else {
        return;
    };
    if !idempotent.is_some_and(|spot| spot.value) {
        report.add(
            Code::Conflict,
            span,
            "`hedge` may run a request twice, but the service is not idempotent",
            "add `idempotent: true` if running it twice does no harm, or remove `hedge`",
        );
    }
    if retry.tries.as_ref().is_none_or(|tries| tries.value < 2) {
        report.add(
            Code::Conflict,
            span,
            "`hedge` needs a second try, but `tries` allows one",
            "add `tries: 2` under `retry:`",
        );
    }
}
