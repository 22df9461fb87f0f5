//! The settings of the agent, read once at startup.
//!
//! `docs/operators.md` lists every key with its unit and its default.

use {
    filbertbend_state::{
        id,
        room::Room,
        unit::{Accelerators, Bytes, Connections, Cores, Slots},
    },
    filbertbend_yaml::{
        document, positive, process, Code, Fault, Log, Report, Section, Spanned, Tls,
    },
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::Path,
    },
};

const OPERATORS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 8082);
const SLOTS: Slots = Slots(8);
const CONNECTIONS: Connections = Connections(64);

/// The addresses that the agent uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addresses {
    /// Where the endpoint accepts HTTP requests.
    pub endpoint: SocketAddr,
    /// Where the worker accepts commands.
    pub worker: SocketAddr,
    /// Where the agent serves metrics and health to operators.
    pub operators: SocketAddr,
}

/// The settings of one agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The endpoint that the agent serves.
    pub endpoint: id::Endpoint,
    /// The worker that the endpoint and the agent run on.
    pub worker: id::Worker,
    /// The data centre of the worker.
    pub data_centre: id::DataCentre,
    /// The rack of the worker.
    pub rack: id::Rack,
    /// The services that the endpoint answers; never empty.
    pub services: Vec<id::Service>,
    /// The endpoint's request slots.
    pub slots: Slots,
    /// The endpoint's connection limit.
    pub connections: Connections,
    /// The worker's capacity for tasks.
    pub room: Room,
    /// The addresses that the agent uses.
    pub addresses: Addresses,
    /// The number of slices; the same as in every entry of the region.
    pub slices: u16,
    /// Entries to connect to at start; never empty.
    pub seeds: Vec<SocketAddr>,
    /// The files of the agent's TLS identity.
    pub tls: Tls,
    /// Where and at which level the agent logs.
    pub log: Log,
}

impl Settings {
    /// Reads and checks the file at `path`. Relative paths in it are resolved
    /// against the file's directory.
    ///
    /// # Errors
    ///
    /// Returns every fault in the file, including TLS files that cannot be read.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, Vec<Fault>> {
        document::load(path, "the settings file", read)
    }
}

/// Returns the path of every key, such as `tls.certificate`.
pub fn keys() -> Vec<String> {
    document::keys(read)
}

fn read(root: &document::Node, base: &Path, report: &mut Report) -> Option<Settings> {
    let mut section = Section::open(root, "the settings file", report)?;
    let endpoint = section.required::<id::Endpoint>("endpoint", report);
    let worker = section.required::<id::Worker>("worker", report);
    let data_centre = section.required::<id::DataCentre>("data_centre", report);
    let rack = section.required::<id::Rack>("rack", report);
    let services = section.required_list::<id::Service>("services", report);
    check_services(&services, report);
    let slots = section.optional::<Slots>("slots", report);
    let connections = section.optional::<Connections>("connections", report);
    let slots = positive(slots, "slots", report);
    let connections = positive(connections, "connections", report);
    let room = read_room(&mut section, report);
    let addresses = read_addresses(&mut section, report);
    let slices = process::slices(&mut section, report);
    let seeds = section.required_list::<SocketAddr>("seeds", report);
    let (tls, log) = process::read(&mut section, base, report);
    section.close(report);
    Some(Settings {
        endpoint: endpoint?.value,
        worker: worker?.value,
        data_centre: data_centre?.value,
        rack: rack?.value,
        services: services.into_iter().map(|spot| spot.value).collect(),
        slots: slots.unwrap_or(SLOTS),
        connections: connections.unwrap_or(CONNECTIONS),
        room: room?,
        addresses: addresses?,
        slices,
        seeds: seeds.into_iter().map(|spot| spot.value).collect(),
        tls: tls?,
        log,
    })
}

fn check_services(services: &[Spanned<id::Service>], report: &mut Report) {
    for (index, spot) in services.iter().enumerate() {
        if services[..index]
            .iter()
            .any(|earlier| earlier.value == spot.value)
        {
            report.add(
                Code::Duplicate,
                spot.span,
                format!("the service `{}` is listed twice", spot.value),
                "remove one of the two",
            );
        }
    }
}

fn read_room(section: &mut Section<'_>, report: &mut Report) -> Option<Room> {
    let mut part = section.section("room", "the section `room`", report)?;
    let cores = part.required::<Cores>("cores", report);
    let memory = part.required::<Bytes>("memory", report);
    let accelerators = part.optional::<Accelerators>("accelerators", report);
    part.close(report);
    let cores = positive(cores, "cores", report);
    let memory = positive(memory, "memory", report);
    Some(Room {
        cores: cores?,
        memory: memory?,
        accelerators: accelerators.map_or(Accelerators::ZERO, |spot| spot.value),
    })
}

fn read_addresses(section: &mut Section<'_>, report: &mut Report) -> Option<Addresses> {
    let mut part = section.section("addresses", "the section `addresses`", report)?;
    let endpoint = part.required::<SocketAddr>("endpoint", report);
    let worker = part.required::<SocketAddr>("worker", report);
    let operators = part.optional::<SocketAddr>("operators", report);
    part.close(report);
    Some(Addresses {
        endpoint: endpoint?.value,
        worker: worker?.value,
        operators: operators.map_or(OPERATORS, |spot| spot.value),
    })
}
