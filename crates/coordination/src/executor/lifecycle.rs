//! The life cycle of the agent.

use statig::prelude::*;

/// What moves the life cycle on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Event {
    /// The worker's list of running tasks was read.
    TasksRead,
    /// The agent has been told to leave.
    Leave,
    /// Nothing is in progress and no end is unacknowledged.
    Idle,
}

/// Where the agent stands; the states hold no data of their own.
#[derive(Debug, Default)]
pub(super) struct Lifecycle;

#[state_machine(
    initial = "State::starting()",
    state(derive(Debug)),
    visibility = "pub(super)"
)]
impl Lifecycle {
    /// What the worker runs is not known yet, so nothing can be promised.
    #[state]
    fn starting(event: &Event) -> Outcome<State> {
        match event {
            Event::TasksRead => Transition(State::serving()),
            Event::Leave => Transition(State::draining()),
            Event::Idle => Handled,
        }
    }

    #[state]
    fn serving(event: &Event) -> Outcome<State> {
        match event {
            Event::Leave => Transition(State::draining()),
            Event::TasksRead | Event::Idle => Handled,
        }
    }

    #[state]
    fn draining(event: &Event) -> Outcome<State> {
        match event {
            Event::Idle => Transition(State::stopped()),
            Event::TasksRead | Event::Leave => Handled,
        }
    }

    #[state]
    fn stopped() -> Outcome<State> {
        Handled
    }
}
