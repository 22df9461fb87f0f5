//! The lifecycle of the agent.

use statig::prelude::*;

/// The inputs of the lifecycle.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Event {
    /// The worker's list of running tasks was read.
    TasksRead,
    /// The agent was told to leave.
    Leave,
    /// No attempt is in progress and every reported end is acknowledged, or the
    /// time limit for acknowledgements has passed.
    Idle,
}

/// The lifecycle state machine; its states hold no data.
#[derive(Debug, Default)]
pub(super) struct Lifecycle;

#[state_machine(
    initial = "State::starting()",
    state(derive(Debug)),
    visibility = "pub(super)"
)]
impl Lifecycle {
    /// The tasks that the worker runs are not known yet, so the agent confirms
    /// nothing to owners.
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
