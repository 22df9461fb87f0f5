//! Floods the fleet with ten times the usual requests of one class: first the
//! least urgent class, then the most urgent.
//!
//! Today's fleet of 10 endpoints with 8 slots each behind 4 entries runs at a load
//! of 0.7 in simulated time, with and without the flood.

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
/// Every figure is the worst over these seeds.
const SEEDS: [u64; 3] = [11, 12, 13];
const CLASSES: [Class; 3] = [Class::Urgent, Class::Interactive, Class::Batch];
/// Requests per second that 80 slots can serve at a mean service time of 50 ms.
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

fn compare_with_calm(name: &str, flooded: Class, calm: &[Tally], during: &[Tally]) -> Vec<Figure> {
    let mut figures = Vec::new();
    for (index, class) in CLASSES.into_iter().enumerate() {
        let prefix = format!("{name}.{flooded}-flood.{class}");
        if class == flooded {
            let other_answers: f64 = during
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != index)
                .map(|(_, tally)| tally.good_at_ms.len() as f64)
                .sum();
            let capacity_left = CAPACITY * DURATION_MS as f64 / 1000.0 - other_answers;
            let goodput_of_left = during[index].good_at_ms.len() as f64 / capacity_left;
            let name = format!("{prefix}.goodput-of-capacity-left");
            figures.push(Figure::at_least(name, goodput_of_left, "ratio", 0.9));
            continue;
        }
        let goodput_ratio = during[index].goodput() / calm[index].goodput();
        let p99_ratio = during[index].quantile_ms(0.99) / calm[index].quantile_ms(0.99);
        figures.push(Figure::at_least(
            format!("{prefix}.goodput-kept"),
            goodput_ratio,
            "ratio",
            0.95,
        ));
        figures.push(Figure::at_most(
            format!("{prefix}.p99-ratio"),
            p99_ratio,
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

/// Returns the mean processor time that the admission controller spends on a
/// request that arrives, is dispatched and completes, with a queue for each of
/// `teams` teams.
fn admission_micros(teams: u64) -> f64 {
    const REQUESTS: u64 = 100_000;
    const IN_PROGRESS: u64 = 1000;
    let service = id::Service::new("check").expect("the name is valid");
    let usage = SlotUsage {
        total: Slots(4000),
        used_by_others: Slots(0),
    };
    let mut controller = Controller::new();
    let mut actions = Vec::new();
    let slots_changed = Event::SlotsChanged {
        entries: 1,
        total: usage,
        services: vec![(service.clone(), usage)],
    };
    controller.step(Instant(0), slots_changed, &mut actions);
    let templates: Vec<Request> = (0..teams)
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
        let mut arrived = templates[(request % teams) as usize].clone();
        arrived.id = id::Request(request);
        let now = Instant(request / 10);
        controller.step(now, Event::Arrived(arrived), &mut actions);
        if let Some(done) = request.checked_sub(IN_PROGRESS) {
            controller.step(now, Event::Completed(id::Request(done)), &mut actions);
        }
        if request.is_multiple_of(100) {
            controller.step(now, Event::Tick, &mut actions);
        }
        actions.clear();
    }
    began.elapsed().as_secs_f64() * 1e6 / REQUESTS as f64
}

/// Runs every flood with every seed and returns the worst value of each figure.
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
            for figure in compare_with_calm(name, flooded, &calm, &during) {
                match worst.iter_mut().find(|found| found.name == figure.name) {
                    Some(found) => found.value = worse(found, &figure),
                    None => worst.push(figure),
                }
            }
        }
    }
    worst
}

fn worse(first: &Figure, second: &Figure) -> f64 {
    match first.bound {
        Bound::AtMost => first.value.max(second.value),
        Bound::AtLeast => first.value.min(second.value),
    }
}

fn main() {
    for teams in [10, 880] {
        println!(
            "gate: {:.2} us a request with {teams} teams",
            admission_micros(teams)
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
