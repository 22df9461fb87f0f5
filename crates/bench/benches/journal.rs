//! Measures the journal at the size expected in two years; see `docs/design.md`,
//! section 12.

use {
    filbertbend_bench::{
        figure::Figure,
        journal::{Record, Region, Tasks},
    },
    filbertbend_standin::slices::{Plan, Simulation, Tally},
    std::{collections::VecDeque, time::Instant},
};

const SLICES: usize = 16;
const ENTRIES: usize = 10;
const LATENCY_MS: u64 = 5;
const STARTS_PER_S: u64 = 4500;
/// Slightly above the target, so that the offered load does not limit the rate.
const OFFERED_PER_S: u64 = 4600;
const WRITES_PER_S: u32 = 300;
/// Bytes kept per live task, for its specification and placement.
const TASK_BYTES: usize = 100;
const APPEND_LATENCY_LIMIT_MS: f64 = 8600.0;

fn main() {
    measure_starts();
    measure_recovery();
    inject_faults();
    compare_with_rewriting();
}

/// Starts tasks at a constant rate for `duration_s` seconds; each lives for
/// `life_s` seconds.
fn run_load(region: &mut Region, starts_per_s: u64, life_s: u64, duration_s: u64) {
    let mut live: VecDeque<(u64, u64)> = VecDeque::new();
    let mut task = 0;
    for ms in 0..duration_s * 1000 {
        while task < (ms + 1) * starts_per_s / 1000 {
            task += 1;
            live.push_back((ms + life_s * 1000, task));
            let payload = vec![b'p'; TASK_BYTES];
            region.append(Record::Start { task, payload });
        }
        while live.front().is_some_and(|(end, _)| *end <= ms) {
            if let Some((_, task)) = live.pop_front() {
                region.append(Record::End { task });
            }
        }
        region.advance_ms();
    }
}

/// Measures starts at a rate above the target, with as many ends, in simulated
/// time.
fn measure_starts() {
    // Within any second, each entry may send one write more than its rate.
    let rate = WRITES_PER_S - ENTRIES as u32;
    let mut region = Region::new(SLICES, ENTRIES, rate, LATENCY_MS);
    let started = Instant::now();
    run_load(&mut region, OFFERED_PER_S, 10, 20);
    let warmup_count = region.append_latencies.len();

    run_load(&mut region, OFFERED_PER_S, 10, 40);

    let micros_per_start = started.elapsed().as_micros() as f64 / (60 * OFFERED_PER_S) as f64;
    let durable_per_s = (region.append_latencies.len() - warmup_count) as f64 / 40.0;
    let peak_per_s = region.peak_writes_per_s() as f64;
    let writes = f64::from(WRITES_PER_S);
    print_figure(Figure::at_least(
        "journal.starts",
        durable_per_s,
        "per_s",
        4500.0,
    ));
    print_figure(Figure::at_most(
        "journal.store_writes_peak",
        peak_per_s,
        "per_s",
        writes,
    ));
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99), ("max", 1.0)] {
        let latency = region.append_latencies.value_at_quantile(quantile) as f64;
        print_figure(Figure::at_most(
            format!("journal.wait_{name}"),
            latency,
            "ms",
            APPEND_LATENCY_LIMIT_MS,
        ));
    }
    println!(
        "journal: {micros_per_start:.1} us of real time a start, {} live tasks",
        region.live_tasks()
    );
}

/// Measures the recovery of a new owner of a slice with 2,000 live tasks.
fn measure_recovery() {
    let mut region = Region::new(1, 1, 30, LATENCY_MS);
    run_load(&mut region, 400, 5, 30);
    let live = region.live_tasks();
    let started = Instant::now();

    let simulated_ms = region.replace_owner(0) as f64;

    let real_ms = started.elapsed().as_secs_f64() * 1000.0;
    println!(
        "journal: recovered {} of {live} live tasks",
        region.live_tasks()
    );
    print_figure(Figure::at_least(
        "journal.recovery_tasks",
        region.live_tasks() as f64,
        "tasks",
        live as f64,
    ));
    print_figure(Figure::at_most(
        "journal.recovery",
        simulated_ms + real_ms,
        "ms",
        2000.0,
    ));
}

/// Runs 1,000 seeded sessions with lost answers, freezes and changes of owner.
fn inject_faults() {
    let plan = Plan {
        send_freezes: 3,
        ..Plan::all_faults()
    };
    let mut total = Tally::default();
    let mut failed = 0;
    for seed in 0..1000 {
        let tally = Simulation::new(plan, seed).run();
        if !tally.violations.is_empty() {
            failed += 1;
            println!("journal: seed {seed}: {}", tally.violations[0]);
        }
        total.add(&tally);
    }
    println!(
        "journal: {} records, {} durable, {} not written, {} unknown, {} ownerships, {} fenced",
        total.appended,
        total.durable,
        total.not_written,
        total.unknown,
        total.recoveries,
        total.losses
    );
    let violations = total.violations.len() as f64;
    print_figure(Figure::at_most(
        "journal.lost_or_doubled",
        violations,
        "records",
        0.0,
    ));
    print_figure(Figure::at_most(
        "journal.failed_runs",
        f64::from(failed),
        "runs",
        0.0,
    ));
}

/// Compares the bytes and calls of one slice with those of rewriting its whole state
/// as a single value for each batch of records.
fn compare_with_rewriting() {
    let starts_per_s = STARTS_PER_S / SLICES as u64;
    let writes_per_s = WRITES_PER_S / SLICES as u32;
    for life_s in [2, 8, 32] {
        let mut region = Region::new(1, 1, writes_per_s, LATENCY_MS);
        run_load(&mut region, starts_per_s, life_s, 60);
        let (live, batches) = (region.live_tasks(), region.appends);
        let (calls, bytes) = (region.writes_at.len(), region.written_bytes);
        let state_bytes = region.image(0).map_or(0, Tasks::total_bytes) as u64;
        println!(
            "journal: {live} live tasks, {batches} batches: journal {calls} calls {bytes} bytes, \
             rewriting {batches} calls {} bytes, value {state_bytes} bytes",
            batches * state_bytes
        );
        let ratio = bytes as f64 / (batches * state_bytes) as f64;
        print_figure(Figure::at_most(
            format!("journal.bytes_to_rewriting.{live}"),
            ratio,
            "ratio",
            1.0,
        ));
    }
}

fn print_figure(figure: Figure) {
    println!("{figure}");
}
