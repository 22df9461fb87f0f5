//! Whole sessions, written down: callers' answers, store calls, messages and
//! counters. A golden file changes when any machine decides differently, so a
//! change in one module shows what it does to the others.

#[path = "session/mod.rs"]
mod driver;

use {
    driver::{agent, name, room, service, Session},
    filbertbend_coordination::{job::Call, placement::Agent},
    filbertbend_state::service::Declaration,
};

/// Agents that have just started answer no adoption for one lease; entries are
/// started after that, so that the files are not full of repeated questions.
const AGENTS_SETTLE_MS: u64 = 16_000;
/// Time in which entries divide the slices among themselves.
const ENTRIES_SETTLE_MS: u64 = 6000;

/// Two entries with four slices, ready for calls.
fn deployment(
    entries: [(&str, &str); 2],
    agents: Vec<Agent>,
    services: Vec<Declaration>,
) -> Session {
    let mut session = Session::new(4, agents, services);
    session.pass(AGENTS_SETTLE_MS);
    for (entry, data_centre) in entries {
        session.start_entry(entry, data_centre);
    }
    session.pass(ENTRIES_SETTLE_MS);
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

/// Guards against a change of the ordinary exchange: more store calls or
/// messages for a job or order, other answers, another order of events.
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
    session.pass(2000);
    session.call("status roof-1", Call::Status(one));
    session.call("cancel roof-2", Call::Cancel(two));
    session.call("submit tejados/rails again", Call::Submit(rails));
    session.pass(4000);
    session.call("result roof-1", Call::Result(one));
    session.call("status roof-2", Call::Status(two));
    insta::assert_snapshot!(session.finish());
}

/// Guards the same for the Federation: a plan of many tasks fills the workers,
/// an order waits for a gap in its customer's sequence, and a key that is used
/// again with another body is refused.
#[test]
fn ordinary_day_of_the_federation() {
    let mut session = federation();
    let mut plan = session.job("plan-1", "plan", "planning", room(16, 32), 3000);
    plan.tasks = 8;
    let id = plan.id;
    session.submit(plan);
    let late = session.order("bundle-orders", "whanau", 2, "quilts");
    session.submit(late);
    session.pass(1000);
    session.call("status plan-1", Call::Status(id));
    let first = session.order("bundle-orders", "whanau", 1, "cots");
    session.submit(first.clone());
    session.pass(1000);
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
    session.pass(8000);
    session.call("result plan-1", Call::Result(id));
    session.pass(10);
    insta::assert_snapshot!(session.finish());
}
