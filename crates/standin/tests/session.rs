//! Golden tests of whole sessions, with callers' answers, store calls, messages
//! and counters. A golden file changes when any state machine decides
//! differently, which shows the effects of a change in one module on the others.

#[path = "session/mod.rs"]
mod driver;

use {
    driver::{agent, name, room, service, Fault, Operators, Session},
    filbertbend_coordination::{
        config::{Intent, Request},
        job::{Answer, Call, Spec},
        placement::Agent,
    },
    filbertbend_state::{
        outcome::{Outcome, Ran},
        service::Declaration,
        time::Wall,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{cell::Cell, rc::Rc},
};

/// Number of seeded sessions with random faults.
const SEEDS: u64 = 64;
/// Steps of a session with random faults, about half a second each.
const FAULTY_STEPS: usize = 200;
/// Agents that have just started answer no adoption for one lease. Entries start
/// after that, so that the golden files contain no repeated adoption requests.
const AGENTS_SETTLE_MS: u64 = 16_000;
/// Time in which the entries take ownership of the slices.
const ENTRIES_SETTLE_MS: u64 = 6000;

/// Time from the start of a publish until its compare-and-swap is in flight.
const OUTAGE_AFTER_MS: u64 = 13;

/// Starts agents and two entries with four slices, ready for calls.
fn deployment(
    entries: [(&str, &str); 2],
    agents: Vec<Agent>,
    services: Vec<Declaration>,
) -> Session {
    let mut session = Session::new(4, agents, services);
    session.run_for(AGENTS_SETTLE_MS);
    for (entry, data_centre) in entries {
        session.start_entry(entry, data_centre);
    }
    session.run_for(ENTRIES_SETTLE_MS);
    session
}

fn cumbre_nevada() -> Session {
    let runner =
        |worker, data_centre| agent(worker, data_centre, &["material-orders"], room(64, 250));
    let agents = vec![
        runner("xela-1", "xela"),
        runner("toto-1", "toto"),
        runner("sanmarcos-1", "sanmarcos"),
    ];
    let services = vec![service("layout", "drawing", room(64, 250))];
    deployment(
        [("xela-entry", "xela"), ("toto-entry", "toto")],
        agents,
        services,
    )
}

fn federation() -> Session {
    let runner =
        |worker, data_centre| agent(worker, data_centre, &["bundle-orders"], room(32, 125));
    let agents = vec![
        runner("tamaki-1", "tamaki"),
        runner("poneke-1", "poneke"),
        runner("otautahi-1", "otautahi"),
    ];
    let services = vec![service("plan", "planning", room(32, 125))];
    deployment(
        [("tamaki-entry", "tamaki"), ("poneke-entry", "poneke")],
        agents,
        services,
    )
}

/// Guards against changes without faults: more store calls or messages for a job
/// or an order, other answers, or another order of events.
#[test]
fn ordinary_day_of_cumbre_nevada() {
    let mut session = cumbre_nevada();
    let first = session.job("roof-1", "layout", "drawing", room(16, 32), 4000);
    let second = session.job("roof-2", "layout", "drawing", room(32, 64), 30_000);
    let (one, two) = (first.id, second.id);
    session.submit(first);
    session.submit(second);
    let panels = session.order("material-orders", "tejados", 1, "panels");
    session.submit(panels);
    let rails = session.order("material-orders", "tejados", 2, "rails");
    session.submit(rails.clone());
    session.run_for(2000);
    session.call("status roof-1", Call::Status(one));
    session.call("cancel roof-2", Call::Cancel(two));
    session.call("submit tejados/rails again", Call::Submit(rails));
    session.run_for(4000);
    session.call("result roof-1", Call::Result(one));
    session.call("status roof-2", Call::Status(two));
    insta::assert_snapshot!(session.finish());
}

/// Guards against the same changes in another deployment: a job of many tasks
/// fills the workers, an order waits for a gap in its customer's sequence, and a
/// key that is reused with another body is refused.
#[test]
fn ordinary_day_of_the_federation() {
    let mut session = federation();
    let mut plan = session.job("plan-1", "plan", "planning", room(16, 32), 3000);
    plan.tasks = 8;
    let id = plan.id;
    session.submit(plan);
    let late = session.order("bundle-orders", "whanau", 2, "quilts");
    session.submit(late);
    session.run_for(1000);
    session.call("status plan-1", Call::Status(id));
    let first = session.order("bundle-orders", "whanau", 1, "cots");
    session.submit(first.clone());
    session.run_for(1000);
    let mut other = first.clone();
    other.body = b"another body".to_vec();
    session.call("submit whanau/cots with another body", Call::Submit(other));
    let (customer, key) = (name("whanau"), name("quilts"));
    let service = name("bundle-orders");
    session.call(
        "outcome of whanau/quilts",
        Call::Order {
            service,
            customer,
            key,
        },
    );
    session.run_for(8000);
    session.call("result plan-1", Call::Result(id));
    session.run_for(10);
    insta::assert_snapshot!(session.finish());
}

/// Guards against lost checkpoints: a job that borrows the guaranteed quota of
/// another team is evicted twice and must resume from its checkpoint, not from
/// its start.
#[test]
fn batch_plan_evicted_twice_and_resumed() {
    let agents = vec![agent("tamaki-1", "tamaki", &[], room(32, 125))];
    let services = vec![
        service("plan", "planning", room(0, 0)),
        service("pricing", "pricing", room(32, 125)),
    ];
    let entries = [("tamaki-entry", "tamaki"), ("poneke-entry", "poneke")];
    let mut session = deployment(entries, agents, services);
    let plan = session.job("plan-1", "plan", "planning", room(32, 64), 12_000);
    let id = plan.id;
    session.submit(plan);
    for round in 1..=2 {
        session.run_for(4000);
        let urgent = session.job(
            &format!("prices-{round}"),
            "pricing",
            "pricing",
            room(16, 32),
            1000,
        );
        session.submit(urgent);
        session.run_for(4000);
        session.call("status plan-1", Call::Status(id));
    }
    session.run_for(20_000);
    session.call("result plan-1", Call::Result(id));
    insta::assert_snapshot!(session.finish());
}

/// Guards against an order that runs again after its entry was killed, or that
/// is lost when the store's answer to its record is lost.
#[test]
fn order_through_the_loss_of_its_entry_and_a_lost_store_answer() {
    let mut session = federation();
    let mut lost = false;
    session.rule = Box::new(move |_, from, to, text| {
        let is_record =
            from == "poneke-entry" && to == "store" && text.starts_with("put slice/1/journal/");
        let fault = if is_record && !lost {
            Fault::LoseAnswer
        } else {
            Fault::None
        };
        lost |= is_record;
        fault
    });
    let first = session.order("bundle-orders", "whanau", 1, "cots");
    session.submit(first.clone());
    // The lost answer, the start and the grant are over: the order runs.
    session.run_for(1070);
    session.kill_entry("poneke-entry");
    let second = session.order("bundle-orders", "whanau", 2, "quilts");
    session.submit(second.clone());
    session.run_for(10_000);
    session.call("submit whanau/cots again", Call::Submit(first));
    session.call("submit whanau/quilts again", Call::Submit(second));
    session.run_for(3000);
    let (service, customer, key) = (name("bundle-orders"), name("whanau"), name("cots"));
    session.call(
        "outcome of whanau/cots",
        Call::Order {
            service,
            customer,
            key,
        },
    );
    session.run_for(1000);
    insta::assert_snapshot!(session.finish());
}

/// Guards against a publish that is lost, duplicated or misreported when two
/// operators race and the store fails between their calls.
#[test]
fn two_operators_publish_across_a_store_outage() {
    let request = |author: &str, services: Vec<Declaration>| Request {
        intent: Intent::Services(services),
        author: author.into(),
        at: Wall(1_800_000_000_000),
        expected: None,
    };
    let layout = |cores| service("layout", "drawing", room(cores, 250));
    let orders = |cores| service("material-orders", "desk", room(cores, 16));
    let mut operators = Operators::new();
    operators.publish(request("marta", vec![layout(64), orders(8)]));
    operators.run_for(1000);
    // The store fails while both compare-and-swaps are in flight.
    let marta = request("marta", vec![layout(48), orders(8)]);
    let ilse = request("ilse", vec![layout(64), orders(16)]);
    let first = operators.publish(marta.clone());
    let second = operators.publish(ilse.clone());
    operators.run_for(OUTAGE_AFTER_MS);
    operators.set_down(true);
    operators.run_for(20_000);
    operators.set_down(false);
    operators.run_for(60_000);
    assert!(operators.outcome(first).is_some() && operators.outcome(second).is_some());
    // Both retry at once: one wins and the other is told who won.
    operators.publish(marta);
    operators.publish(ilse.clone());
    operators.run_for(5000);
    operators.publish(ilse);
    operators.run_for(5000);
    insta::assert_snapshot!(operators.finish());
}

/// Guards against a rolling replacement that stops tasks, loses orders or
/// leaves a slice without an owner.
#[test]
fn rolling_replacement_of_both_entries() {
    let mut session = federation();
    let mut plan = session.job("plan-1", "plan", "planning", room(16, 32), 20_000);
    plan.tasks = 3;
    let id = plan.id;
    session.submit(plan);
    let first = session.order("bundle-orders", "whanau", 1, "cots");
    session.submit(first);
    session.run_for(500);
    for (sequence, (entry, data_centre)) in
        (2..).zip([("poneke-entry", "poneke"), ("tamaki-entry", "tamaki")])
    {
        session.leave_entry(entry);
        session.run_for(3000);
        assert!(!session.has_entry(entry), "{entry} does not leave");
        let order = session.order(
            "bundle-orders",
            "whanau",
            sequence,
            &format!("quilts-{sequence}"),
        );
        session.submit(order);
        session.start_entry(entry, data_centre);
        session.run_for(8000);
    }
    session.call("status plan-1", Call::Status(id));
    session.run_for(6000);
    session.call("result plan-1", Call::Result(id));
    insta::assert_snapshot!(session.finish());
}

/// Guards against invariants that hold only while messages arrive. In each
/// session, messages are dropped, delayed and reordered, entries and agents are
/// killed, and the store loses calls and answers.
#[test]
fn random_faults_keep_the_promises() {
    let mut totals = Totals::default();
    for seed in 0..SEEDS {
        let violations = random_session(seed, &mut totals);
        assert!(
            violations.is_empty(),
            "seed {seed}:\n{}",
            violations.join("\n")
        );
    }
    // Without these, sessions in which nothing happens would pass.
    println!("{totals:?}");
    assert!(
        totals.outputs > 0 && totals.results > 0 && totals.not_run > 0,
        "{totals:?}"
    );
    assert!(totals.kills > 0 && totals.reordered > 0, "{totals:?}");
}

/// Event counts over all seeded sessions.
#[derive(Debug, Default)]
struct Totals {
    calls: usize,
    outputs: usize,
    results: usize,
    not_run: usize,
    cancelled: usize,
    unknown: usize,
    disconnected: usize,
    kills: usize,
    reordered: usize,
}

fn random_session(seed: u64, totals: &mut Totals) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut session = federation();
    let mut link_rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    let held = Rc::new(Cell::new(0));
    let counter = held.clone();
    session.rule = Box::new(move |_, _, to, _| match link_rng.random_range(0..1000) {
        0..30 if to == "store" => Fault::LoseAnswer,
        30..40 if to == "store" => Fault::Drop,
        _ if to == "store" => Fault::None,
        0..50 => Fault::Drop,
        50..150 => {
            counter.set(counter.get() + 1);
            let longest = if link_rng.random_bool(0.1) {
                20_000
            } else {
                500
            };
            Fault::Hold(link_rng.random_range(1..longest))
        }
        _ => Fault::None,
    });
    let entries = [("tamaki-entry", "tamaki"), ("poneke-entry", "poneke")];
    let workers = ["tamaki-1", "poneke-1", "otautahi-1"];
    let customers = ["whanau", "kainga", "marae"];
    let mut submitted: Vec<Spec> = Vec::new();
    let mut next_sequence = [1_u64; 3];
    for step in 0..FAULTY_STEPS {
        if rng.random_bool(0.3) {
            let index = rng.random_range(0..customers.len());
            let key = format!("order-{}", next_sequence[index]);
            let mut spec = session.order(
                "bundle-orders",
                customers[index],
                next_sequence[index],
                &key,
            );
            // Some deadlines pass while the order waits or runs.
            let sooner_ms = rng.random_range(0..29_000);
            spec.expires_at = spec.expires_at.map(|at| Wall(at.0 - sooner_ms));
            next_sequence[index] += 1;
            session.submit(spec.clone());
            submitted.push(spec);
        }
        if rng.random_bool(0.1) {
            let work_ms = rng.random_range(500..30_000);
            let mut spec = session.job(
                &format!("plan-{step}"),
                "plan",
                "planning",
                room(8, 16),
                work_ms,
            );
            spec.tasks = rng.random_range(1..4);
            session.submit(spec.clone());
            submitted.push(spec);
        }
        if !submitted.is_empty() && rng.random_bool(0.2) {
            let spec = submitted[rng.random_range(0..submitted.len())].clone();
            match (&spec.order, rng.random_bool(0.3)) {
                (Some(_), _) => session.submit(spec),
                (None, true) => session.call("cancel", Call::Cancel(spec.id)),
                (None, false) => session.call("result", Call::Result(spec.id)),
            };
        }
        for (entry, data_centre) in entries {
            if !session.has_entry(entry) {
                if rng.random_bool(0.1) {
                    session.start_entry(entry, data_centre);
                }
            } else if rng.random_bool(0.008) {
                totals.kills += 1;
                session.kill_entry(entry);
            } else if rng.random_bool(0.004) {
                session.leave_entry(entry);
            }
        }
        for worker in workers {
            if !session.has_agent(worker) {
                if rng.random_bool(0.1) {
                    session.start_agent(worker);
                }
            } else if rng.random_bool(0.008) {
                totals.kills += 1;
                session.kill_agent(worker);
            }
        }
        if rng.random_bool(0.01) {
            session.store.down = true;
        } else if rng.random_bool(0.1) {
            session.store.down = false;
        }
        session.run_for(rng.random_range(50..1000));
    }
    // Calls that are still open have time to complete without faults.
    session.rule = Box::new(|_, _, _, _| Fault::None);
    session.store.down = false;
    for (entry, data_centre) in entries {
        if !session.has_entry(entry) {
            session.start_entry(entry, data_centre);
        }
    }
    for worker in workers {
        if !session.has_agent(worker) {
            session.start_agent(worker);
        }
    }
    session.run_for(60_000);
    for spec in submitted.into_iter().filter(|spec| spec.order.is_none()) {
        session.call("result", Call::Result(spec.id));
    }
    session.run_for(1000);
    totals.reordered += held.get();
    for exchange in session.exchanges.values() {
        totals.calls += 1;
        match exchange.answer.as_ref().map(|(_, answer)| answer) {
            Some(Answer::Output(_)) => totals.outputs += 1,
            Some(Answer::Outputs(_)) => totals.results += 1,
            Some(Answer::Outcome(Outcome::Unknown | Outcome::Expired { ran: Ran::Unknown })) => {
                totals.unknown += 1;
            }
            Some(Answer::Outcome(Outcome::Cancelled)) => totals.cancelled += 1,
            Some(Answer::Outcome(_)) => totals.not_run += 1,
            Some(_) => {}
            None => totals.disconnected += 1,
        }
    }
    session.violations()
}
