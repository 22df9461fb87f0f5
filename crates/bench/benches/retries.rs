//! Loses half of the endpoints without notice at a load of 0.7, in simulated time.
//!
//! Requests at the lost endpoints are never answered. Until the entries suspect
//! these endpoints, new requests are sent there as well and end by the try's
//! timeout. The remaining endpoints have less capacity than the offered load, so
//! every unnecessary try costs an answer.

use {
    filbertbend_bench::{
        figure::Figure,
        traffic::{entries, first_come, Loss, Scenario, Source, Tally},
    },
    filbertbend_state::service::Class,
};

const DURATION_MS: u64 = 40_000;
const LOSS_AT_MS: u64 = 20_000;
const LOAD: f64 = 0.7;
/// Requests per second that 80 slots can serve at a mean service time of 50 ms.
const CAPACITY: f64 = 1600.0;
/// Length of the windows in which goodput is counted; they start
/// [`WINDOW_STEP_MS`] apart.
const WINDOW_MS: u64 = 1000;
const WINDOW_STEP_MS: u64 = 250;
/// Fraction of the sustainable rate at which goodput counts as recovered.
const RECOVERED: f64 = 0.9;
const SEEDS: [u64; 3] = [21, 22, 23];

fn scenario(seed: u64) -> Scenario {
    Scenario {
        entries: 4,
        endpoints: 10,
        slots: 8,
        duration_ms: DURATION_MS,
        sources: vec![Source {
            class: Class::Interactive,
            share: 500,
            rate_per_s: CAPACITY * LOAD,
            mean_ms: 50.0,
            deadline_ms: 1000,
        }],
        loss: Some(Loss {
            at_ms: LOSS_AT_MS,
            endpoints: 5,
        }),
        try_timeout_ms: Some(400),
        seed,
    }
}

/// Returns the time from the loss to the end of the last window in which the goodput
/// is below [`RECOVERED`] of what the remaining endpoints can sustain.
fn recovery_ms(tally: &Tally) -> f64 {
    let sustainable = (CAPACITY * LOAD).min(CAPACITY / 2.0);
    let needed = RECOVERED * sustainable * WINDOW_MS as f64 / 1000.0;
    (LOSS_AT_MS..=DURATION_MS - WINDOW_MS)
        .step_by(WINDOW_STEP_MS as usize)
        .filter(|start| {
            let window = *start..*start + WINDOW_MS;
            let good = tally.good_at_ms.iter().filter(|ms| window.contains(ms));
            (good.count() as f64) < needed
        })
        .last()
        .map_or(0.0, |start| (start + WINDOW_MS - LOSS_AT_MS) as f64)
}

fn tries_per_request(tally: &Tally) -> f64 {
    tally.tries_after_loss as f64 / tally.requests_tried_after_loss.max(1) as f64
}

fn goodput_after(tally: &Tally) -> f64 {
    let from_ms = LOSS_AT_MS + 5000;
    let good = tally.good_at_ms.iter().filter(|ms| **ms >= from_ms).count();
    good as f64 / (CAPACITY / 2.0 * (DURATION_MS - from_ms) as f64 / 1000.0)
}

fn figures(name: &str, tallies: &[Tally]) -> Vec<Figure> {
    let worst = |measure: fn(&Tally) -> f64| tallies.iter().map(measure).fold(0.0, f64::max);
    let least = tallies
        .iter()
        .map(goodput_after)
        .fold(f64::INFINITY, f64::min);
    vec![
        Figure::at_most(
            format!("{name}.tries-per-request"),
            worst(tries_per_request),
            "ratio",
            1.2,
        ),
        Figure::at_most(
            format!("{name}.recovery"),
            worst(recovery_ms) / 1000.0,
            "s",
            5.0,
        ),
        Figure::at_least(
            format!("{name}.capacity-left-used"),
            least,
            "ratio",
            RECOVERED,
        ),
    ]
}

fn main() {
    let run = |run: fn(&Scenario) -> Vec<Tally>| -> Vec<Tally> {
        SEEDS
            .iter()
            .flat_map(|seed| run(&scenario(*seed)))
            .collect()
    };
    for figure in figures("retries", &run(entries::run)) {
        println!("{figure}");
    }
    for figure in figures("first-come", &run(first_come::run)) {
        println!(
            "baseline {} {:.4} {}",
            figure.name, figure.value, figure.unit
        );
    }
}
