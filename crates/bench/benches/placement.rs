//! Measures the planner: the time per decision, how it grows with the number of
//! workers, and how much of the room the planner uses.
//!
//! See `docs/design.md`, sections 11 and 12, for the targets.

use {
    filbertbend_bench::figure::Figure,
    filbertbend_coordination::placement::{Agent, Decision, Planner, Request, Settings},
    filbertbend_state::{
        config::Snapshot,
        id,
        room::Room,
        service::{Class, Declaration, Kind, Retry},
        time::Instant,
        unit::{Accelerators, Bytes, Cores, Millis, Share, Slots},
    },
    hdrhistogram::Histogram,
    rand::{seq::SliceRandom, RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::Instant as Clock,
};

const NOW: Instant = Instant(1_000_000);
const SEED: u64 = 11;
const SERVICES: usize = 200;
const TEAMS: usize = 88;
const WAITING: usize = 10_000;
/// The simulated time between the ends of two tasks, so that the planner's
/// time-dependent work is part of the measurement.
const DECISION_INTERVAL: Millis = Millis(5);
const ROUNDS: usize = 20_000;
/// Longest decision time that the histogram records.
const MAX_DECISION_NS: u64 = 10_000_000_000;
const PACKING_SEEDS: u64 = 20;
const PACKING_WORKERS: usize = 100;

/// A service with its team, its class and the size of its tasks.
struct Service {
    name: id::Service,
    team: id::Team,
    class: Class,
    size: Room,
}

/// Workers, and tasks that some packing places on them with no room left over.
struct Case {
    workers: Vec<Room>,
    tasks: Vec<Room>,
}

fn main() {
    let mut figures = Vec::new();
    let small = decision_times(100);
    let medium = decision_times(1_000);
    let large = decision_times(10_000);
    for (workers, times) in [(100, &small), (1_000, &medium), (10_000, &large)] {
        println!(
            "placement decision at {workers} workers and {WAITING} waiting jobs: \
             mean {:.2} us, p50 {:.2} us, p99 {:.2} us, {} decisions",
            times.mean() / 1000.0,
            quantile_us(times, 0.5),
            quantile_us(times, 0.99),
            times.len(),
        );
    }
    let mean = medium.mean() / 1000.0;
    figures.push(Figure::at_most("placement.decision.mean", mean, "us", 20.0));
    let p99 = quantile_us(&medium, 0.99);
    figures.push(Figure::at_most("placement.decision.p99", p99, "us", 20.0));
    let exponent = (large.mean() / small.mean()).ln() / 100f64.ln();
    figures.push(Figure::at_most(
        "placement.decision.growth",
        exponent,
        "exponent",
        1.0,
    ));
    figures.extend(packing_figures());
    for figure in figures {
        println!("{figure}");
    }
}

fn quantile_us(times: &Histogram<u64>, quantile: f64) -> f64 {
    times.value_at_quantile(quantile) as f64 / 1000.0
}

/// Measures the time from the end of a task to the decision that reuses its room,
/// with all workers full and many jobs waiting.
fn decision_times(workers: usize) -> Histogram<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let services = services(&mut rng);
    let mut planner = planner(&vec![worker_room(); workers]);
    planner.configure(&snapshot(&services, workers));
    let mut jobs = 0;
    let mut running = fill_workers(&mut planner, &mut rng, &services, &mut jobs);
    let mut times =
        Histogram::new_with_max(MAX_DECISION_NS, 3).unwrap_or_else(|error| unreachable!("{error}"));
    let mut decisions = Vec::new();
    let mut now = NOW;
    for _ in 0..ROUNDS {
        now = now + DECISION_INTERVAL;
        let ended = running.swap_remove(rng.random_range(0..running.len()));
        decisions.clear();
        let start = Clock::now();
        planner.release(ended);
        planner.decide(now, usize::MAX, &mut decisions);
        let elapsed_ns = start.elapsed().as_nanos() as u64;
        let placed = placed(&decisions);
        for _ in 0..placed.len() {
            times.saturating_record(elapsed_ns / placed.len() as u64);
            enqueue_job(&mut planner, &mut rng, &services, &mut jobs);
        }
        running.extend(placed);
    }
    times
}

/// Fills all workers and leaves [`WAITING`] jobs in the queue.
fn fill_workers(
    planner: &mut Planner,
    rng: &mut ChaCha8Rng,
    services: &[Service],
    jobs: &mut u64,
) -> Vec<id::Task> {
    let mut running = Vec::new();
    let mut decisions = Vec::new();
    loop {
        while planner.waiting_count() < WAITING {
            enqueue_job(planner, rng, services, jobs);
        }
        decisions.clear();
        planner.decide(NOW, usize::MAX, &mut decisions);
        running.extend(placed(&decisions));
        if planner.waiting_count() == WAITING {
            return running;
        }
    }
}

fn placed(decisions: &[Decision]) -> Vec<id::Task> {
    let place = |decision: &Decision| match decision {
        Decision::Place { task, .. } => Some(*task),
        Decision::Evict { .. } => None,
    };
    decisions.iter().filter_map(place).collect()
}

fn enqueue_job(planner: &mut Planner, rng: &mut ChaCha8Rng, services: &[Service], jobs: &mut u64) {
    let service = &services[rng.random_range(0..services.len())];
    *jobs += 1;
    planner.enqueue(
        NOW,
        Request {
            service: service.name.clone(),
            team: service.team.clone(),
            class: service.class,
            ..request(*jobs, service.size)
        },
    );
}

fn request(number: u64, size: Room) -> Request {
    Request {
        slice: id::Slice(0),
        task: id::Task {
            job: id::Job(u128::from(number).into()),
            index: 0,
        },
        service: parse_name("layout"),
        team: parse_name("team"),
        class: Class::Batch,
        size,
        run_time: Millis::from_secs(60),
        data_centres: Vec::new(),
        avoid: Vec::new(),
        since: NOW,
    }
}

fn parse_name<T: std::str::FromStr<Err = id::Error>>(text: &str) -> T {
    match text.parse() {
        Ok(name) => name,
        Err(error) => unreachable!("{error}"),
    }
}

/// Returns the room of a worker of the larger of today's customers.
fn worker_room() -> Room {
    Room {
        cores: Cores(64_000),
        memory: Bytes(250 << 30),
        accelerators: Accelerators::ZERO,
    }
}

fn services(rng: &mut ChaCha8Rng) -> Vec<Service> {
    (0..SERVICES)
        .map(|number| Service {
            name: parse_name(&format!("service-{number}")),
            team: parse_name(&format!("team-{}", number % TEAMS)),
            class: match number % 20 {
                0 => Class::Urgent,
                1..4 => Class::Interactive,
                _ => Class::Batch,
            },
            size: Room {
                cores: Cores(500 * rng.random_range(1..=24)),
                memory: Bytes(rng.random_range(1..=48) << 30),
                accelerators: Accelerators::ZERO,
            },
        })
        .collect()
}

/// Declares quotas that together guarantee half of all room, so that the other half
/// is lent.
fn snapshot(services: &[Service], workers: usize) -> Snapshot {
    let part = |amount: u64| amount * workers as u64 / 2 / TEAMS as u64;
    let room = worker_room();
    let quota = Room {
        cores: Cores(part(room.cores.0)),
        memory: Bytes(part(room.memory.0)),
        accelerators: Accelerators::ZERO,
    };
    let declaration = |service: &Service| Declaration {
        name: service.name.clone(),
        team: service.team.clone(),
        kind: Kind::Job,
        class: service.class,
        idempotent: true,
        deadline: Millis::from_secs(60),
        size: service.size,
        run_time: Millis::from_secs(60),
        share: Share::NONE,
        quota,
        retry: Retry {
            tries: 1,
            hedge: false,
        },
        data_centres: Vec::new(),
    };
    Snapshot {
        revision: id::Revision(1),
        services: services.iter().map(declaration).collect(),
        drains: Vec::new(),
    }
}

fn planner(workers: &[Room]) -> Planner {
    let mut planner = Planner::new(Settings {
        local: parse_name("xela"),
        remote_cost: Millis(2000),
        slices_owned: 16,
        slices: 16,
    });
    for (number, room) in workers.iter().enumerate() {
        planner.register_agent(
            NOW,
            Agent {
                worker: parse_name(&format!("worker-{number}")),
                endpoint: parse_name(&format!("endpoint-{number}")),
                incarnation: id::Incarnation(1),
                data_centre: parse_name("xela"),
                rack: parse_name(&format!("rack-{}", number / 3)),
                services: Vec::new(),
                slots: Slots(8),
                room: *room,
            },
        );
    }
    planner
}

/// Compares the room that the planner uses with the perfect packing that each case
/// is derived from.
fn packing_figures() -> Vec<Figure> {
    let mut planner_share = 0.0;
    let mut worst = f64::INFINITY;
    let mut first_fit = 0.0;
    for seed in 0..PACKING_SEEDS {
        let case = generate_case(&mut ChaCha8Rng::seed_from_u64(seed));
        let share = used_share(&case, &place_with_planner(&case));
        planner_share += share / PACKING_SEEDS as f64;
        worst = worst.min(share);
        first_fit += used_share(&case, &place_first_fit(&case)) / PACKING_SEEDS as f64;
    }
    println!(
        "packing over {PACKING_SEEDS} seeds: mean {planner_share:.4}, worst {worst:.4}, \
         first fit {first_fit:.4} of the room of the packing that the case is cut from"
    );
    vec![
        Figure::at_least("placement.packing.mean", planner_share, "ratio", 0.95),
        Figure::at_least("placement.packing.worst", worst, "ratio", 0.95),
        Figure::at_least(
            "placement.packing.over_first_fit",
            planner_share / first_fit,
            "ratio",
            1.0,
        ),
    ]
}

/// Splits each worker into tasks that fill it, so that the best packing is known.
fn generate_case(rng: &mut ChaCha8Rng) -> Case {
    let mut workers = Vec::new();
    let mut tasks = Vec::new();
    for number in 0..PACKING_WORKERS {
        let mut room = worker_room();
        room.accelerators = Accelerators(if number % 4 == 0 { 8 } else { 0 });
        workers.push(room);
        let mut parts = vec![room];
        for _ in 0..rng.random_range(4..16) {
            let part = parts.swap_remove(rng.random_range(0..parts.len()));
            parts.extend(split_room(rng, &part));
        }
        tasks.extend(parts);
    }
    tasks.shuffle(rng);
    Case { workers, tasks }
}

/// Splits a room in two; each part gets between a fifth and four fifths of every
/// resource.
fn split_room(rng: &mut ChaCha8Rng, room: &Room) -> [Room; 2] {
    let mut part = |amount: u64, unit: u64| {
        let units = amount / unit;
        rng.random_range(units.div_ceil(5)..=units - units / 5) * unit
    };
    let first = Room {
        cores: Cores(part(room.cores.0, 250)),
        memory: Bytes(part(room.memory.0, 256 << 20)),
        accelerators: Accelerators(part(room.accelerators.0.into(), 1) as u32),
    };
    [first, *room - first]
}

/// Returns the sizes of the tasks that the planner places.
fn place_with_planner(case: &Case) -> Vec<Room> {
    let mut planner = planner(&case.workers);
    for (number, size) in case.tasks.iter().enumerate() {
        planner.enqueue(NOW, request(number as u64, *size));
    }
    let mut decisions = Vec::new();
    planner.decide(NOW, usize::MAX, &mut decisions);
    let placed = placed(&decisions);
    placed
        .iter()
        .map(|task| case.tasks[task.job.0 .0 as usize])
        .collect()
}

/// Returns the sizes of the tasks that first-fit places, in order.
fn place_first_fit(case: &Case) -> Vec<Room> {
    let mut free = case.workers.clone();
    let mut placed = Vec::new();
    for task in &case.tasks {
        if let Some(room) = free.iter_mut().find(|room| room.fits(task)) {
            *room -= *task;
            placed.push(*task);
        }
    }
    placed
}

/// Returns the used fraction of the least used resource.
fn used_share(case: &Case, placed: &[Room]) -> f64 {
    let sum = |rooms: &[Room]| rooms.iter().fold(Room::NONE, |sum, room| sum + *room);
    let (all, used) = (sum(&case.workers), sum(placed));
    let cores = used.cores.0 as f64 / all.cores.0 as f64;
    let memory = used.memory.0 as f64 / all.memory.0 as f64;
    let accelerators = f64::from(used.accelerators.0) / f64::from(all.accelerators.0);
    cores.min(memory).min(accelerators)
}
