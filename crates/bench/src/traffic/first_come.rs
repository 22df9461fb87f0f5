//! The baseline: a single first-come, first-served queue with retries.

use {
    super::{Arrival, Scenario, Tally},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
    },
};

/// Most tries per request; a further one follows only if the last was lost.
const TRIES: u8 = 3;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Completion {
    at_ms: u64,
    request: usize,
    endpoint: usize,
    lost: bool,
}

/// Runs `scenario` through one queue in front of all slots. Lost endpoints are not
/// detected: requests to them end by the try's timeout, return to the queue and
/// take a slot again.
pub fn run(scenario: &Scenario) -> Vec<Tally> {
    let arrivals = scenario.arrivals();
    let mut tallies = vec![Tally::default(); scenario.sources.len()];
    let mut tries = vec![0_u8; arrivals.len()];
    let mut free = vec![scenario.slots; scenario.endpoints];
    let mut queue = VecDeque::new();
    let mut completions: BinaryHeap<Reverse<Completion>> = BinaryHeap::new();
    let mut next_arrival = 0;
    for now_ms in 0..scenario.duration_ms {
        while completions
            .peek()
            .is_some_and(|completion| completion.0.at_ms <= now_ms)
        {
            let Some(Reverse(completion)) = completions.pop() else {
                break;
            };
            free[completion.endpoint] += 1;
            let arrival = &arrivals[completion.request];
            if !completion.lost {
                let deadline_ms = scenario.sources[arrival.source].deadline_ms;
                tallies[arrival.source].record_answer(now_ms, arrival, deadline_ms);
            } else if tries[completion.request] < TRIES {
                queue.push_back(completion.request);
            }
        }
        while arrivals
            .get(next_arrival)
            .is_some_and(|arrival| arrival.at_ms <= now_ms)
        {
            tallies[arrivals[next_arrival].source].sent += 1;
            queue.push_back(next_arrival);
            next_arrival += 1;
        }
        while let Some(endpoint) = most_free(&free) {
            let Some(request) = queue.pop_front() else {
                break;
            };
            free[endpoint] -= 1;
            tries[request] += 1;
            let arrival = &arrivals[request];
            count_try(
                scenario,
                &mut tallies[arrival.source],
                arrival,
                tries[request],
            );
            completions.push(Reverse(completion(
                scenario, arrival, request, endpoint, now_ms,
            )));
        }
    }
    tallies
}

fn most_free(free: &[u32]) -> Option<usize> {
    (0..free.len())
        .filter(|endpoint| free[*endpoint] > 0)
        .max_by_key(|endpoint| free[*endpoint])
}

fn count_try(scenario: &Scenario, tally: &mut Tally, arrival: &Arrival, tries: u8) {
    tally.tries += 1;
    if scenario
        .loss
        .is_some_and(|loss| arrival.at_ms >= loss.at_ms)
    {
        tally.tries_after_loss += 1;
        tally.requests_tried_after_loss += u64::from(tries == 1);
    }
}

fn completion(
    scenario: &Scenario,
    arrival: &Arrival,
    request: usize,
    endpoint: usize,
    now_ms: u64,
) -> Completion {
    let timeout_ms = scenario.try_timeout_ms.unwrap_or(u64::MAX / 2);
    let done_ms = now_ms + arrival.service_ms;
    let lost = scenario.is_lost(endpoint, done_ms) || arrival.service_ms > timeout_ms;
    Completion {
        at_ms: if lost { now_ms + timeout_ms } else { done_ms },
        request,
        endpoint,
        lost,
    }
}
