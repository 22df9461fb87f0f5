//! One entry and one agent as separate processes, with the services of an
//! example deployment.

use {
    filbertbend::declaration,
    filbertbend_standin::{
        client::Client,
        fleet::{wait_for, Fleet, Launcher, Plan},
    },
    std::{fs::OpenOptions, io::Write, path::Path, time::Duration},
    tokio::process::Child,
};

/// The time limit of every wait.
pub(crate) const LIMIT: Duration = Duration::from_secs(30);
/// The entry's limits in bytes, small enough to exceed them quickly.
pub(crate) const HEADER_LIMIT_BYTES: usize = 16 << 10;
pub(crate) const BODY_LIMIT_BYTES: usize = 8 << 20;
pub(crate) const JOB_BODY_LIMIT_BYTES: usize = 64 << 10;

/// A running platform, whose processes are killed when it is dropped.
pub(crate) struct Platform {
    pub(crate) fleet: Fleet,
    pub(crate) client: Client,
    _processes: [Child; 2],
}

impl Platform {
    pub(crate) async fn start() -> Self {
        let fleet = Fleet::start(&plan()).await.unwrap();
        set_limits(&fleet.entries[0].settings);
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/cumbre-nevada");
        fleet.configure(declaration::collect(folder).services.unwrap());
        let processes = [fleet.spawn_entry(0).unwrap(), fleet.spawn_agent(0).unwrap()];
        let platform = Self {
            client: Client::new(fleet.entries[0].callers),
            fleet,
            _processes: processes,
        };
        let ready = wait_for(LIMIT, || platform.serves()).await;
        assert!(ready, "{}", platform.fleet.log("entry-0"));
        platform
    }

    /// Returns whether a new request is answered with 200.
    pub(crate) async fn serves(&self) -> bool {
        let answer = self.client.get("/v1/check/spacing-check/next").await;
        answer.is_ok_and(|answer| answer.status == 200)
    }
}

fn plan() -> Plan {
    Plan {
        data_centres: vec!["xela"],
        entries: 1,
        workers: 1,
        services: vec!["spacing-check", "material-order"],
        cores: 64,
        memory_gib: 250,
        slots: 4,
        connections: 16,
        service_time: Duration::ZERO,
        slices: 2,
        log_level: "debug",
        launcher: Launcher::Binaries,
        relays: false,
    }
}

fn set_limits(settings: &Path) {
    let mut settings = OpenOptions::new().append(true).open(settings).unwrap();
    writeln!(
        settings,
        "limits: {{ header: {HEADER_LIMIT_BYTES}B, body: {BODY_LIMIT_BYTES}B, \
         job_body: {JOB_BODY_LIMIT_BYTES}B }}"
    )
    .unwrap();
}
