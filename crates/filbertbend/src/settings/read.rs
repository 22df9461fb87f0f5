//! Reads and checks the settings file of an entry.

use {
    super::{Addresses, Limits, Settings, Store},
    filbertbend_state::{
        id,
        unit::{Bytes, Connections},
    },
    filbertbend_yaml::{document, positive, process, Code, Report, Section, Span, Spanned},
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::Path,
    },
};

const DEFAULT_CALLERS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 8080);
const DEFAULT_OPERATORS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 8081);
const DEFAULT_WRITES_PER_SECOND: u32 = 30;
const DEFAULT_HEADER_LIMIT: Bytes = Bytes(32 << 10);
const DEFAULT_BODY_LIMIT: Bytes = Bytes(64 << 20);
const DEFAULT_JOB_BODY_LIMIT: Bytes = Bytes(256 << 10);
const DEFAULT_CONNECTION_LIMIT: Connections = Connections(10_000);

/// Upper bound of `limits.job_body`. A body shares a journal value of at most
/// 1 MiB with other records, so it must stay well below that size.
const MAX_JOB_BODY: Bytes = Bytes(512 << 10);

pub(super) fn read(root: &document::Node, base: &Path, report: &mut Report) -> Option<Settings> {
    let mut section = Section::open(root, "the settings file", report)?;
    let name = section.required::<id::Entry>("name", report);
    let data_centre = section.required::<id::DataCentre>("data_centre", report);
    let region = section.required::<id::Region>("region", report);
    let slices = process::slices(&mut section, report);
    let addresses = read_addresses(&mut section, report);
    let store = read_store(&mut section, report);
    let seeds = section.list::<SocketAddr>("seeds", report);
    let (tls, log) = process::read(&mut section, base, report);
    let limits = read_limits(&mut section, report);
    section.close(report);
    Some(Settings {
        name: name?.value,
        data_centre: data_centre?.value,
        region: region?.value,
        slices,
        addresses: addresses?,
        store: store?,
        seeds: seeds.into_iter().map(|spot| spot.value).collect(),
        tls: tls?,
        limits: limits?,
        log,
    })
}

fn read_addresses(section: &mut Section<'_>, report: &mut Report) -> Option<Addresses> {
    let mut subsection = section.section("addresses", "the section `addresses`", report)?;
    let callers = subsection.optional::<SocketAddr>("callers", report);
    let operators = subsection.optional::<SocketAddr>("operators", report);
    let processes = subsection.required::<SocketAddr>("processes", report);
    let advertised = subsection.optional::<SocketAddr>("advertised", report);
    subsection.close(report);
    check_distinct(callers.as_ref(), operators.as_ref(), report);
    let dialled = advertised.as_ref().or(processes.as_ref());
    if let Some(spot) = dialled {
        check_reachable(spot, report);
    }
    let processes = processes?.value;
    Some(Addresses {
        callers: callers.map_or(DEFAULT_CALLERS, |spot| spot.value),
        operators: operators.map_or(DEFAULT_OPERATORS, |spot| spot.value),
        processes,
        advertised: advertised.map_or(processes, |spot| spot.value),
    })
}

/// Reports callers and operators that share one listening address. Port 0 may
/// occur twice, because the operating system then chooses the ports.
fn check_distinct(
    callers: Option<&Spanned<SocketAddr>>,
    operators: Option<&Spanned<SocketAddr>>,
    report: &mut Report,
) {
    let callers_at = callers.map_or(DEFAULT_CALLERS, |spot| spot.value);
    let operators_at = operators.map_or(DEFAULT_OPERATORS, |spot| spot.value);
    let conflict = callers_at == operators_at && callers_at.port() != 0;
    if let (true, Some(spot)) = (conflict, operators.or(callers)) {
        report.add(
            Code::Conflict,
            spot.span,
            format!("callers and operators cannot both use {callers_at}"),
            "give operators a port of their own",
        );
    }
}

/// Reports an unspecified address, which other processes cannot connect to.
fn check_reachable(spot: &Spanned<SocketAddr>, report: &mut Report) {
    if spot.value.ip().is_unspecified() {
        report.add(
            Code::Conflict,
            spot.span,
            format!("other processes cannot dial {}", spot.value),
            "add `advertised:` with the address of this instance",
        );
    }
}

fn read_store(section: &mut Section<'_>, report: &mut Report) -> Option<Store> {
    let mut subsection = section.section("store", "the section `store`", report)?;
    let addresses = subsection.required_list::<SocketAddr>("addresses", report);
    let writes = subsection.optional::<u32>("writes_per_second", report);
    subsection.close(report);
    let writes = positive(writes, "writes_per_second", report);
    Some(Store {
        addresses: addresses.into_iter().map(|spot| spot.value).collect(),
        writes_per_second: writes.unwrap_or(DEFAULT_WRITES_PER_SECOND),
    })
}

fn read_limits(section: &mut Section<'_>, report: &mut Report) -> Option<Limits> {
    let mut subsection = section.section("limits", "the section `limits`", report)?;
    let header = subsection.optional::<Bytes>("header", report);
    let body = subsection.optional::<Bytes>("body", report);
    let job_body = subsection.optional::<Bytes>("job_body", report);
    let connections = subsection.optional::<Connections>("connections", report);
    subsection.close(report);
    if let Some(spot) = &job_body {
        check_job_body(spot.value, spot.span, report);
    }
    let header = positive(header, "header", report);
    let body = positive(body, "body", report);
    let job_body = positive(job_body, "job_body", report);
    let connections = positive(connections, "connections", report);
    Some(Limits {
        header: header.unwrap_or(DEFAULT_HEADER_LIMIT),
        body: body.unwrap_or(DEFAULT_BODY_LIMIT),
        job_body: job_body.unwrap_or(DEFAULT_JOB_BODY_LIMIT),
        connections: connections.unwrap_or(DEFAULT_CONNECTION_LIMIT),
    })
}

fn check_job_body(limit: Bytes, span: Span, report: &mut Report) {
    if limit > MAX_JOB_BODY {
        report.add(
            Code::Value,
            span,
            format!(
                "`job_body` exceeds {MAX_JOB_BODY}, the largest body that is kept in the store"
            ),
            format!("use at most {MAX_JOB_BODY}, and pass larger inputs by reference"),
        );
    }
}
