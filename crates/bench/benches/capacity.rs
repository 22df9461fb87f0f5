//! Measures the costs in `docs/CAPACITY.md`: state machines and whole processes
//! at several sizes, with a fitted line for each and its largest residual.

use {
    filbertbend_bench::{
        capacity::{output, owner, processes, state_machines},
        figure::Figure,
        regression::Series,
        role,
    },
    std::path::{Path, PathBuf},
};

const AGENTS: [usize; 4] = [500, 1000, 2000, 4000];
const AGENTS_FOR_MEMORY: [usize; 4] = [10_000, 20_000, 40_000, 80_000];
const ENTRIES: [usize; 4] = [2, 4, 8, 16];
const SERVICES: [usize; 4] = [250, 500, 1000, 2000];
const TASKS: [usize; 4] = [2000, 4000, 8000, 16_000];
const AGENT_PROCESSES: [usize; 5] = [4, 8, 16, 32, 64];
const ENTRY_PROCESSES: [usize; 4] = [1, 2, 4, 8];
/// Growth ratio above which a quantity grows faster than n log n over the measured
/// sizes.
const GROWTH_LIMIT: f64 = 1.3;

/// The sizes expected in two years, for which figures are extrapolated, and the
/// limits at these sizes.
mod target {
    pub(super) const ENTRIES_PER_REGION: f64 = 9.0;
    pub(super) const AGENT_BYTES_PER_SECOND: f64 = 3000.0;
    pub(super) const AGENT_MS_PER_SECOND: f64 = 12.0;
    pub(super) const AGENT_MEMORY_BYTES: f64 = 128e6;
    pub(super) const RECOVERY_TASKS: f64 = 2000.0;
    pub(super) const RECOVERY_US: f64 = 2e6;
}

fn machine_series() -> Vec<Series> {
    let costs = owner::measure(&TASKS);
    let mut series = vec![
        state_machines::directory_time(&AGENTS),
        state_machines::directory_memory(&AGENTS_FOR_MEMORY),
    ];
    series.extend(state_machines::heartbeater(&ENTRIES));
    series.extend(state_machines::configuration(&SERVICES));
    series.extend([
        costs.processor_time,
        costs.journal_size,
        costs.memory,
        costs.recovery_time,
    ]);
    series
}

async fn process_series() -> Vec<Series> {
    let mut by_agents = Vec::new();
    for agents in AGENT_PROCESSES {
        by_agents.push((agents, processes::measure_idle(1, agents).await));
    }
    let mut by_entries = Vec::new();
    for entries in ENTRY_PROCESSES {
        by_entries.push((entries, processes::measure_idle(entries, 4).await));
    }
    let agents = |name, unit, field: fn(&processes::Reading) -> f64| {
        processes::series(name, "agent", unit, &by_agents, field)
    };
    let entries = |name, unit, field: fn(&processes::Reading) -> f64| {
        processes::series(name, "entry", unit, &by_entries, field)
    };
    vec![
        agents("process.entry.memory", "B", |r| r.entry_memory),
        agents("process.entry.time", "ms/s", |r| r.entry_time),
        agents("process.entry.traffic", "B/s", |r| r.entry_bytes),
        agents("process.store.reads.agents", "1/s", |r| r.store_reads),
        agents("process.store.writes.agents", "1/s", |r| r.store_writes),
        entries("process.agent.memory", "B", |r| r.agent_memory),
        entries("process.agent.time", "ms/s", |r| r.agent_time),
        entries("process.agent.traffic", "B/s", |r| r.agent_bytes),
        entries("process.store.reads.entries", "1/s", |r| r.store_reads),
        entries("process.store.writes.entries", "1/s", |r| r.store_writes),
    ]
}

fn figures(series: &[Series]) -> Vec<Figure> {
    let value_at = |name: &str, size: f64| {
        let matching = series.iter().find(|quantity| quantity.name == name);
        let line = matching.map(Series::fit);
        line.map_or(f64::NAN, |line| line.intercept + line.slope * size)
    };
    let entries = target::ENTRIES_PER_REGION;
    let mut figures = vec![
        Figure::at_most(
            "agent.traffic",
            value_at("process.agent.traffic", entries),
            "B/s",
            target::AGENT_BYTES_PER_SECOND,
        ),
        Figure::at_most(
            "agent.time",
            value_at("process.agent.time", entries),
            "ms/s",
            target::AGENT_MS_PER_SECOND,
        ),
        Figure::at_most(
            "agent.memory",
            value_at("process.agent.memory", entries),
            "B",
            target::AGENT_MEMORY_BYTES,
        ),
        Figure::at_most(
            "owner.recovery",
            value_at("owner.recovery.time", target::RECOVERY_TASKS),
            "us",
            target::RECOVERY_US,
        ),
    ];
    for quantity in series {
        if quantity.name.ends_with(".time") && quantity.name.contains("owner.")
            || quantity.name.contains("beacon")
        {
            let name = format!("growth.{}", quantity.name);
            figures.push(Figure::at_most(
                name,
                quantity.growth_ratio(),
                "ratio",
                GROWTH_LIMIT,
            ));
        }
    }
    figures
}

fn target_directory() -> PathBuf {
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR"));
    manifest.join("../../target")
}

fn main() {
    role::run_if_requested();
    let mut series = machine_series();
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    series.extend(runtime.block_on(process_series()));
    for quantity in &series {
        let line = quantity.fit();
        println!(
            "slope {:32} {:>12.4} {} per {} + {:>12.2}, spread {:.1}%",
            quantity.name,
            line.slope,
            quantity.unit,
            quantity.per,
            line.intercept,
            line.max_residual * 100.0
        );
    }
    let configuration_bytes = state_machines::agent_configuration_bytes(2000);
    println!("value agent.configuration {configuration_bytes:.0} B a change");
    let directory = target_directory();
    let csv = directory.join("capacity.csv");
    output::write_csv(&csv, &series).expect("the CSV is written");
    let svg = directory.join("capacity.svg");
    output::write_svg(&svg, &series).expect("the plot is written");
    for figure in figures(&series) {
        println!("{figure}");
    }
}
