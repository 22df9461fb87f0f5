//! Measures the leader's planner at the load of the users' largest deployment:
//! the processor time per start, and how it grows with the number of workers.
//!
//! Workers, agents and the store are simulated in virtual time. See
//! `docs/design.md`, section 12, for the targets.

#[path = "leader/simulation.rs"]
mod simulation;

use {filbertbend_bench::figure::Figure, simulation::Simulation};

/// The numbers of workers that are measured.
const SIZES: [u64; 4] = [60, 240, 1000, 2250];
/// The simulated time before the measurement begins, in seconds.
const WARM_UP_S: u64 = 6;
/// The simulated time of the measurement, in seconds.
const MEASURED_S: u64 = 6;

fn main() {
    let mut per_start = Vec::new();
    let mut figures = Vec::new();
    for workers in SIZES {
        let mut simulation = Simulation::new(workers);
        simulation.run(WARM_UP_S);
        simulation.reset();
        simulation.run(MEASURED_S);
        let work = simulation.work();
        let total: f64 = work.values().map(|(_, micros)| micros).sum();
        let starts = simulation.starts().max(1) as f64;
        println!(
            "leader at {workers} workers: {:.0} starts/s, {:.1} ms/s, {:.1} us per start",
            starts / MEASURED_S as f64,
            total / 1000.0 / MEASURED_S as f64,
            total / starts,
        );
        for (kind, (steps, micros)) in work {
            let mean = micros / (*steps).max(1) as f64;
            println!("    {kind}: {steps} steps, {mean:.1} us each");
        }
        per_start.push(total / starts);
        let placement = work.get("placement").map_or(0.0, |(_, micros)| *micros);
        let name = format!("leader.placement.mean.{workers}");
        figures.push(Figure::at_most(name, placement / starts, "us", 20.0));
    }
    let growth = per_start[SIZES.len() - 1] / per_start[0];
    figures.push(Figure::at_most("leader.start.growth", growth, "ratio", 1.3));
    for figure in figures {
        println!("{figure}");
    }
}
