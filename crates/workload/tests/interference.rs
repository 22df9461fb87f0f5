//! The interference model, trained with synthetic readings.

use {
    filbertbend_state::{time::Instant, unit::Millis},
    filbertbend_workload::{
        id::{Job, Task},
        interference::{Model, Service, Usage},
    },
    std::sync::Arc,
};

/// The latency of the service without load, in milliseconds: a quarter of its
/// target, which is the model's initial assumption.
const FLOOR_MS: f64 = 12.5;

fn service(job: u64) -> Service {
    let task = Task {
        job: Job(job),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    Service {
        replicas: task.into(),
        image: "service".into(),
        target: Millis(50),
    }
}

fn latency(utilisation: f64) -> Millis {
    Millis((FLOOR_MS / (1.0 - utilisation)) as u64)
}

fn usage(image: &str, part: f32) -> Usage {
    Usage::from([(image.into(), part)])
}

fn cost(model: &Model, aggressor: &str) -> f64 {
    let aggressor: Arc<str> = aggressor.into();
    model.cost(&"service".into(), &aggressor, 1.0)
}

/// Guards against attributing the load of a service to the best-effort task
/// beside it, and against missing the task's interference because the load
/// falls at the same time.
#[test]
fn load_shared_by_replicas_is_not_attributed_to_best_effort_tasks() {
    let mut model = Model::default();
    for half_second in 0..12 {
        let now = Instant(1000 + 500 * half_second);
        let load = 0.3 + 0.03 * half_second as f64;
        for _ in 0..3 {
            model.observe(now, &service(1), latency(load), &Usage::new());
        }
        model.observe(now, &service(1), latency(load), &usage("harmless", 0.3));
        let falling = 0.66 - load / 2.0;
        for _ in 0..3 {
            model.observe(now, &service(2), latency(falling), &Usage::new());
        }
        let harmed = latency(falling + 0.3);
        model.observe(now, &service(2), harmed, &usage("harmful", 0.2));
    }

    assert!(
        cost(&model, "harmless") < 0.1,
        "{}",
        cost(&model, "harmless")
    );
    let harmful = cost(&model, "harmful");
    assert!((1.2..1.8).contains(&harmful), "{harmful}");
}

/// Guards against a leader that replaces a certain estimate by an agent's first
/// guess.
#[test]
fn the_more_certain_weight_is_kept() {
    let mut taught = Model::default();
    for half_second in 0..12 {
        let now = Instant(1000 + 500 * half_second);
        taught.observe(now, &service(1), latency(0.4), &Usage::new());
        taught.observe(now, &service(1), latency(0.4), &usage("filler", 0.4));
    }
    let mut guessing = Model::default();
    let now = Instant(7000);
    guessing.observe(now, &service(1), latency(0.7), &usage("filler", 0.1));
    let known = cost(&taught, "filler");

    for weight in guessing.changed_weights() {
        taught.merge(now, &weight);
    }
    for weight in taught.changed_weights() {
        guessing.merge(now, &weight);
    }

    assert_eq!(cost(&taught, "filler"), known);
    assert!((cost(&guessing, "filler") - known).abs() < 0.001);
}
