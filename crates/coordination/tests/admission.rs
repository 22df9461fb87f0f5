//! Failure tests of the admission controller.

use {
    filbertbend_coordination::{
        admission::{max_queue_time, Action, Controller, Event, Request},
        routing::SlotUsage,
    },
    filbertbend_state::{
        id,
        outcome::Reason,
        service::Class,
        time::Instant,
        unit::{Millis, Share, Slots},
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::collections::{BTreeMap, BTreeSet},
};

fn service() -> id::Service {
    id::Service::new("spacing").unwrap()
}

fn new_request(id: u64, class: Class, team: &str, share: u16, deadline: u64) -> Request {
    Request {
        id: id::Request(id),
        service: service(),
        class,
        team: id::Team::new(team).unwrap(),
        share: Share::new(share),
        deadline: Instant(deadline),
        run_time: Millis(50),
    }
}

fn supplied(entries: u32, slots: u32, others: u32) -> Event {
    let usage = SlotUsage {
        total: Slots(slots),
        used_by_others: Slots(others),
    };
    Event::SlotsChanged {
        entries,
        total: usage,
        services: vec![(service(), usage)],
    }
}

fn step(controller: &mut Controller, ms: u64, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    controller.step(Instant(ms), event, &mut actions);
    actions
}

fn controller(slots: u32) -> Controller {
    let mut controller = Controller::new();
    step(&mut controller, 0, supplied(1, slots, 0));
    controller
}

fn refusals(actions: &[Action]) -> Vec<Reason> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Refuse { reason, .. } => Some(*reason),
            Action::Dispatch(_) => None,
        })
        .collect()
}

fn dispatched(actions: &[Action]) -> Vec<u64> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Dispatch(request) => Some(request.0),
            Action::Refuse { .. } => None,
        })
        .collect()
}

/// Requests of one class and team, with `rate` arrivals per second.
#[derive(Clone, Copy)]
struct Source {
    class: Class,
    team: &'static str,
    share: u16,
    rate: f64,
    deadline: u64,
}

fn source(class: Class, share: u16, rate: f64) -> Source {
    Source {
        class,
        team: "roofs",
        share,
        rate,
        deadline: 1_000,
    }
}

#[derive(Debug, Default)]
struct Tally {
    sent: u32,
    good: u32,
    latencies: Vec<u64>,
}

impl Tally {
    fn goodput(&self) -> f64 {
        f64::from(self.good) / f64::from(self.sent)
    }

    fn p99(&mut self) -> u64 {
        self.latencies.sort_unstable();
        self.latencies[self.latencies.len() * 99 / 100]
    }
}

/// Runs the sources for 20 s against endpoints that take 25 to 75 ms for each
/// request. They have `slots` slots, while the controller is told `believed`.
fn run(sources: &[Source], slots: usize, believed: u32) -> Vec<Tally> {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut controller = controller(believed);
    let mut results: Vec<Tally> = sources.iter().map(|_| Tally::default()).collect();
    let mut origin: BTreeMap<id::Request, (usize, u64)> = BTreeMap::new();
    let mut busy: BTreeSet<(u64, id::Request)> = BTreeSet::new();
    let mut events = Vec::new();
    for ms in 0..20_000 {
        while let Some((end, request)) = busy.first().copied().filter(|(end, _)| *end <= ms) {
            busy.remove(&(end, request));
            events.push(Event::Completed(request));
            let (index, sent) = origin[&request];
            results[index].latencies.push(ms - sent);
            results[index].good += u32::from(ms - sent <= sources[index].deadline);
        }
        for (index, source) in sources.iter().enumerate() {
            // Sources have at most a few arrivals per millisecond.
            for _ in 0..10 {
                if rng.random_bool(source.rate / 10_000.0) {
                    let number = origin.len() as u64;
                    origin.insert(id::Request(number), (index, ms));
                    results[index].sent += 1;
                    let deadline = ms + source.deadline;
                    events.push(Event::Arrived(new_request(
                        number,
                        source.class,
                        source.team,
                        source.share,
                        deadline,
                    )));
                }
            }
        }
        events.push(Event::Tick);
        while let Some(event) = events.pop() {
            for action in step(&mut controller, ms, event) {
                let Action::Dispatch(request) = action else {
                    continue;
                };
                if busy.len() < slots {
                    busy.insert((ms + rng.random_range(25..=75), request));
                } else {
                    events.push(Event::Returned(request));
                }
            }
        }
    }
    results
}

/// The three classes at 0.8 of the capacity of 40 slots, which is 800/s.
fn normal_load() -> [Source; 3] {
    [
        source(Class::Urgent, 300, 200.0),
        source(Class::Interactive, 400, 280.0),
        source(Class::Batch, 300, 160.0),
    ]
}

/// Runs the normal load, and the same with ten times the requests of one class.
fn flood(index: usize) -> (Vec<Tally>, Vec<Tally>) {
    let before = run(&normal_load(), 40, 40);
    let mut sources = normal_load();
    sources[index].rate *= 10.0;
    (before, run(&sources, 40, 40))
}

fn assert_others_unaffected(flooded: usize) {
    let (mut before, mut during) = flood(flooded);

    for index in (0..3).filter(|index| *index != flooded) {
        let kept = during[index].goodput() / before[index].goodput();
        let (normal, flooded) = (before[index].p99(), during[index].p99());
        assert!(
            kept >= 0.95,
            "source {index} keeps {kept:.3} of its goodput"
        );
        let slower = flooded as f64 / normal as f64;
        assert!(
            slower <= 1.2,
            "p99 of source {index}: {normal} to {flooded} ms"
        );
    }
    let good: u32 = during.iter().map(|result| result.good).sum();
    let capacity = 20 * 800;
    assert!(
        f64::from(good) >= 0.9 * f64::from(capacity),
        "{good} good answers of {capacity} possible"
    );
}

/// Guards against a flood of the least urgent class starving the others.
#[test]
fn flood_of_batch_work_does_not_starve_the_others() {
    assert_others_unaffected(2);
}

/// Guards against a flood of the most urgent class starving the others.
#[test]
fn flood_of_urgent_work_does_not_starve_the_others() {
    assert_others_unaffected(0);
}

/// Guards against one team starving another of the same class.
#[test]
fn flood_of_one_team_does_not_starve_another_team_of_its_class() {
    let mut other = source(Class::Interactive, 500, 200.0);
    // Its name sorts last, so serving queues by name would starve it.
    other.team = "zones";

    let results = run(&[source(Class::Interactive, 500, 5_000.0), other], 40, 40);

    let goodput = results[1].goodput();
    assert!(goodput >= 0.95, "goodput {goodput:.3}");
}

/// Guards against guaranteed slots staying idle, for the most and the least
/// urgent class.
#[test]
fn unused_share_is_lent_to_whoever_has_work() {
    for class in [Class::Urgent, Class::Batch] {
        let results = run(&[source(class, 100, 1_600.0)], 40, 40);

        let good = results[0].good;
        assert!(good >= 14_400, "{class}: {good} of 16,000");
    }
}

/// Guards against serving requests after their deadline, which would waste all
/// work during a flood.
#[test]
fn dispatched_requests_of_a_flood_meet_their_deadline() {
    let results = run(&[source(Class::Batch, 500, 8_000.0)], 40, 40);

    let answered = results[0].latencies.len();
    let late = answered as u32 - results[0].good;
    assert!(
        f64::from(late) <= 0.01 * answered as f64,
        "{late} of {answered}"
    );
}

/// Guards against queuing longer than the limit of the class when deadlines
/// allow it.
#[test]
fn queue_is_bounded_by_the_time_that_it_takes() {
    let mut patient = source(Class::Interactive, 500, 8_000.0);
    patient.deadline = 60_000;

    let mut results = run(&[patient], 40, 40);

    let p99 = results[0].p99();
    let bound = max_queue_time(Class::Interactive).0 + 75;
    assert!(p99 <= bound * 12 / 10, "p99 {p99} ms, bound {bound} ms");
}

/// Guards against relying on slots that endpoints announce but do not have.
#[test]
fn capacity_that_the_endpoints_refuse_is_not_counted_on() {
    let results = run(&[source(Class::Interactive, 500, 8_000.0)], 40, 60);

    let answered = results[0].latencies.len() as u32;
    assert!(results[0].good >= 14_400, "{} of 16,000", results[0].good);
    assert!(results[0].good * 100 >= answered * 98);
}

/// Guards against the first request of an idle queue having to wait until one of
/// a flood's long requests completes.
#[test]
fn flood_leaves_slots_for_a_queue_below_its_share() {
    let mut controller = controller(40);
    let interactive = |n| Event::Arrived(new_request(n, Class::Interactive, "a", 500, 9_000));
    step(&mut controller, 0, interactive(1));
    step(&mut controller, 1, Event::Completed(id::Request(1)));

    let flood = (100..200).flat_map(|n| {
        let arriving = new_request(n, Class::Batch, "b", 500, 9_000);
        step(&mut controller, 2, Event::Arrived(arriving))
    });
    let lent = dispatched(&flood.collect::<Vec<_>>()).len();
    let actions = step(&mut controller, 3, interactive(2));

    assert_eq!(lent, 38);
    assert_eq!(dispatched(&actions), [2]);
}

/// Guards against waits beyond the limit when slots are held by requests that
/// are never answered, so that no service time is observed for them.
#[test]
fn queue_whose_slots_are_held_by_lost_requests_becomes_shorter() {
    let mut controller = controller(1);
    let mut running: Option<(u64, id::Request)> = None;
    let mut longest = 0;

    for ms in (0..60_000).step_by(10) {
        let arrival = Event::Arrived(new_request(ms, Class::Urgent, "a", 500, ms + 60_000));
        let mut actions = step(&mut controller, ms, arrival);
        if let Some((_, lost)) = running.filter(|(since, _)| ms >= since + 150) {
            actions.extend(step(&mut controller, ms, Event::Dropped(lost)));
        }
        for request in dispatched(&actions) {
            running = Some((ms, id::Request(request)));
            if ms >= 30_000 {
                longest = longest.max(ms - request);
            }
        }
    }

    let bound = max_queue_time(Class::Urgent).0;
    assert!(longest <= bound * 12 / 10, "waited {longest} ms");
    assert!(longest >= bound / 4, "waited {longest} ms");
}

/// Guards against estimates that stay at a wrong declared run time.
#[test]
fn declared_run_time_that_is_far_off_is_corrected() {
    let mut controller = controller(1);
    let mut refused = Vec::new();

    for request in 0..100 {
        let ms = request * 400;
        refused.extend(step(
            &mut controller,
            ms,
            Event::Arrived(new_request(request, Class::Urgent, "roofs", 500, ms + 200)),
        ));
        step(
            &mut controller,
            ms + 399,
            Event::Completed(id::Request(request)),
        );
    }

    assert_eq!(
        refusals(&refused).last(),
        Some(&Reason::DeadlineTooShort),
        "{refused:?}"
    );
}

/// Guards against admitting a request that cannot meet its deadline.
#[test]
fn deadline_below_the_service_time_is_refused_at_once() {
    let actions = step(
        &mut controller(8),
        0,
        Event::Arrived(new_request(1, Class::Urgent, "roofs", 500, 49)),
    );

    assert_eq!(refusals(&actions), [Reason::DeadlineTooShort]);
}

/// Guards against a refusal without a reason or a retry delay.
#[test]
fn every_refusal_has_a_reason_and_a_time_to_retry() {
    let arrival = |n| Event::Arrived(new_request(n, Class::Urgent, "roofs", 500, 10_000));
    let without_slots = step(&mut Controller::new(), 0, arrival(1));
    let mut leaving = controller(1);
    step(&mut leaving, 0, Event::Leave);
    let left = step(&mut leaving, 0, arrival(1));
    let mut full = controller(1);
    let flooded: Vec<_> = (0..100)
        .flat_map(|n| step(&mut full, 0, arrival(n)))
        .collect();

    assert_eq!(refusals(&without_slots), [Reason::NoEndpoint]);
    assert_eq!(refusals(&left), [Reason::Leaving]);
    assert_eq!(refusals(&flooded).last(), Some(&Reason::QueueFull));
    let all = without_slots.iter().chain(&left).chain(&flooded);
    for action in all {
        if let Action::Refuse { retry_after, .. } = action {
            assert!(*retry_after >= Millis(10), "{action:?}");
        }
    }
}

/// Guards against requests that stay queued past their deadline when the
/// endpoints stop answering.
#[test]
fn queued_request_is_refused_before_its_deadline_when_no_slot_frees() {
    let mut controller = controller(1);
    step(
        &mut controller,
        0,
        Event::Arrived(new_request(1, Class::Urgent, "a", 500, 9_000)),
    );
    step(
        &mut controller,
        0,
        Event::Arrived(new_request(2, Class::Urgent, "a", 500, 400)),
    );

    let before = step(&mut controller, 350, Event::Tick);
    let after = step(&mut controller, 351, Event::Tick);

    assert_eq!(refusals(&before), []);
    assert_eq!(refusals(&after), [Reason::QueueFull]);
    assert_eq!(controller.queued(), 0);
}

/// Guards against losing or reordering a request for which no endpoint had room,
/// and against dispatching it in a loop without a pause.
#[test]
fn returned_request_goes_back_to_the_head_of_its_queue_after_a_pause() {
    let mut controller = controller(1);
    for request in 1..=3 {
        let arriving = new_request(request, Class::Urgent, "a", 500, 9_000);
        step(&mut controller, 0, Event::Arrived(arriving));
    }

    let at_once = step(&mut controller, 0, Event::Returned(id::Request(1)));
    let later = step(&mut controller, 10, Event::Tick);

    assert_eq!(dispatched(&at_once), Vec::<u64>::new());
    assert_eq!(dispatched(&later), [1]);
}

/// Guards against slots that stay occupied by requests that ended without an
/// answer or were abandoned.
#[test]
fn dropped_requests_free_their_slot() {
    let mut controller = controller(1);
    for request in 1..=3 {
        let arriving = new_request(request, Class::Urgent, "a", 500, 9_000);
        step(&mut controller, 0, Event::Arrived(arriving));
    }

    let queued = step(&mut controller, 1, Event::Dropped(id::Request(2)));
    let running = step(&mut controller, 2, Event::Dropped(id::Request(1)));
    step(&mut controller, 3, Event::Dropped(id::Request(3)));

    assert_eq!(dispatched(&queued), Vec::<u64>::new());
    assert_eq!(dispatched(&running), [3]);
    assert_eq!((controller.queued(), controller.running()), (0, 0));
}

/// Guards against entries that together dispatch more than the endpoints have
/// slots, and against one that dispatches nothing because others use all slots.
/// Of 35 slots that look free, one is left for requests that the others have
/// started since the report.
#[test]
fn entries_share_the_slots() {
    let mut controller = controller(40);

    step(&mut controller, 0, supplied(4, 40, 40));
    let all_taken = controller.limit();
    step(&mut controller, 0, supplied(4, 40, 5));
    let few_taken = controller.limit();

    assert_eq!((all_taken, few_taken), (10, 34));
}

/// Guards against memory that grows with the number of made-up team names.
#[test]
fn made_up_team_names_do_not_grow_the_queues_without_bound() {
    let mut controller = controller(100_000);

    for request in 0..5_000 {
        let team = format!("team-{request}");
        let arriving = new_request(request, Class::Batch, &team, 0, 60_000);
        let actions = step(&mut controller, 0, Event::Arrived(arriving));
        assert_eq!(dispatched(&actions), [request]);
    }

    assert!(
        controller.queues() <= 1_025,
        "{} queues",
        controller.queues()
    );
}

/// Completes a request after 3 s, as if its caller read slowly.
fn complete_slowly(controller: &mut Controller, request: u64) {
    let start = request * 3_000;
    let arrived = new_request(request, Class::Interactive, "roofs", 0, start + 60_000);
    step(controller, start, Event::Arrived(arrived));
    step(
        controller,
        start + 3_000,
        Event::Completed(id::Request(request)),
    );
}

/// Guards against refusing all requests of a service after a few callers read
/// slowly: their reading time counts as service time, and refused requests bring
/// no newer observations.
#[test]
fn slow_callers_do_not_make_a_service_unavailable() {
    let mut controller = controller(4);
    for request in 0..6 {
        complete_slowly(&mut controller, request);
    }

    let actions = step(
        &mut controller,
        20_000,
        Event::Arrived(new_request(10, Class::Interactive, "roofs", 0, 20_800)),
    );

    assert_eq!(dispatched(&actions), [10]);
}

/// Guards against an estimate that is never corrected: while it causes every
/// request to be refused, none completes.
#[test]
fn estimate_that_refuses_everything_is_tried_again() {
    let mut controller = controller(4);
    for request in 0..400 {
        complete_slowly(&mut controller, request);
    }

    let admitted = (400..1_000).find(|request| {
        let arrived = new_request(*request, Class::Interactive, "roofs", 0, 2_000_800);
        let actions = step(&mut controller, 2_000_000, Event::Arrived(arrived));
        refusals(&actions).is_empty()
    });

    assert!(
        admitted.is_some_and(|request| request > 400),
        "{admitted:?}"
    );
}
