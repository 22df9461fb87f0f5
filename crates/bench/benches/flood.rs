//! A tenfold flood of the least urgent work, then of the most urgent.
//!
//! Today's fleet of 10 endpoints with 8 slots behind 4 entries runs at 0.7 load
//! in simulated time, without and with the flood of one class.

use {
    filbertbend_bench::{
        figure::{Bound, Figure},
        traffic::{entries, first_come, Scenario, Source, Tally},
    },
    filbertbend_coordination::{
        admission::{Controller, Event, Request},
        routing::SlotUsage,
    },
    filbertbend_state::{
        id,
        service::Class,
        time::Instant,
        unit::{Millis, Share, Slots},
    },
    std::time::Instant as Clock,
};

const DURATION_MS: u64 = 30_000;
/// Every figure is the worst over these.
const SEEDS: [u64; 3] = [11, 12, 13];
const CLASSES: [Class; 3] = [Class::Urgent, Class::Interactive, Class::Batch];
/// Requests that 80 slots can serve in a second at a mean of 50 ms.
const CAPACITY: f64 = 1600.0;

fn scenario(flooded: Option<Class>, seed: u64) -> Scenario {
    let source = |class, share, load: f64, deadline_ms| Source {
        class,
        share,
        rate_per_s: CAPACITY * load * if flooded == Some(class) { 10.0 } else { 1.0 },
        mean_ms: 50.0,
        deadline_ms,
    };
    Scenario {
        entries: 4,
        endpoints: 10,
        slots: 8,
        duration_ms: DURATION_MS,
        sources: vec![
            source(Class::Urgent, 300, 0.2, 1000),
            source(Class::Interactive, 400, 0.3, 1000),
            source(Class::Batch, 300, 0.2, 3000),
        ],
        loss: None,
        try_timeout_ms: None,
        seed,
    }
}

fn capacity_used(tallies: &[Tally]) -> f64 {
    let good: usize = tallies.iter().map(|tally| tally.good_at_ms.len()).sum();
    good as f64 / (CAPACITY * DURATION_MS as f64 / 1000.0)
}

fn compare(name: &str, flooded: Class, calm: &[Tally], during: &[Tally]) -> Vec<Figure> {
    let mut figures = Vec::new();
    for (index, class) in CLASSES.into_iter().enumerate() {
        let prefix = format!("{name}.{flooded}-flood.{class}");
        if class == flooded {
            let others: f64 = during
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != index)
                .map(|(_, tally)| tally.good_at_ms.len() as f64)
                .sum();
            let left = CAPACITY * DURATION_MS as f64 / 1000.0 - others;
            let part = during[index].good_at_ms.len() as f64 / left;
            let name = format!("{prefix}.goodput-of-capacity-left");
            figures.push(Figure::at_least(name, part, "ratio", 0.9));
            continue;
        }
        let kept = during[index].goodput() / calm[index].goodput();
        let slower = during[index].quantile_ms(0.99) / calm[index].quantile_ms(0.99);
        figures.push(Figure::at_least(
            format!("{prefix}.goodput-kept"),
            kept,
            "ratio",
            0.95,
        ));
        figures.push(Figure::at_most(
            format!("{prefix}.p99-ratio"),
            slower,
            "ratio",
            1.2,
        ));
    }
    figures.push(Figure::at_least(
        format!("{name}.{flooded}-flood.capacity-used"),
        capacity_used(during),
        "ratio",
        0.9,
    ));
    figures
}

/// Returns the mean processor time of the gate for one request that arrives,
/// is dispatched and completes, with a queue for each of `teams` teams.
fn gate_micros(teams: u64) -> f64 {
    const REQUESTS: u64 = 100_000;
    const IN_PROGRESS: u64 = 1000;
    let service = id::Service::new("check").expect("the name is valid");
    let supply = SlotUsage {
        total: Slots(4000),
        used_by_others: Slots(0),
    };
    let mut gate = Controller::new();
    let mut actions = Vec::new();
    let supplied = Event::SlotsChanged {
        entries: 1,
        total: supply,
        services: vec![(service.clone(), supply)],
    };
    gate.step(Instant(0), supplied, &mut actions);
    let asks: Vec<Request> = (0..teams)
        .map(|team| Request {
            id: id::Request(0),
            service: service.clone(),
            class: CLASSES[team as usize % 3],
            team: id::Team::new(format!("team-{team}")).expect("the name is valid"),
            share: Share::new(1),
            deadline: Instant(1_000_000),
            run_time: Millis(50),
        })
        .collect();
    let began = Clock::now();
    for request in 0..REQUESTS {
        let mut ask = asks[(request % teams) as usize].clone();
        ask.id = id::Request(request);
        let now = Instant(request / 10);
        gate.step(now, Event::Arrived(ask), &mut actions);
        if let Some(done) = request.checked_sub(IN_PROGRESS) {
            gate.step(now, Event::Completed(id::Request(done)), &mut actions);
        }
        if request.is_multiple_of(100) {
            gate.step(now, Event::Tick, &mut actions);
        }
        actions.clear();
    }
    began.elapsed().as_secs_f64() * 1e6 / REQUESTS as f64
}

/// Runs every flood with every seed and keeps the worst value of each figure.
fn worst(name: &str, run: fn(&Scenario) -> Vec<Tally>) -> Vec<Figure> {
    let mut worst: Vec<Figure> = Vec::new();
    for seed in SEEDS {
        let calm = run(&scenario(None, seed));
        for (class, tally) in CLASSES.into_iter().zip(&calm) {
            let p99_ms = tally.quantile_ms(0.99);
            let tries = tally.tries as f64 / tally.sent as f64;
            println!("{name} calm {class}: p99 {p99_ms} ms, {tries:.3} tries per request");
        }
        for flooded in [Class::Batch, Class::Urgent] {
            let during = run(&scenario(Some(flooded), seed));
            for figure in compare(name, flooded, &calm, &during) {
                match worst.iter_mut().find(|found| found.name == figure.name) {
                    Some(found) => found.value = worse(found, &figure),
                    None => worst.push(figure),
                }
            }
        }
    }
    worst
}

fn worse(one: &Figure, other: &Figure) -> f64 {
    match one.bound {
        Bound::AtMost => one.value.max(other.value),
        Bound::AtLeast => one.value.min(other.value),
    }
}

fn main() {
    for teams in [10, 880] {
        println!(
            "gate: {:.2} us a request with {teams} teams",
            gate_micros(teams)
        );
    }
    for figure in worst("flood", entries::run) {
        println!("{figure}");
    }
    for figure in worst("first-come", first_come::run) {
        println!(
            "baseline {} {:.4} {}",
            figure.name, figure.value, figure.unit
        );
    }
}
