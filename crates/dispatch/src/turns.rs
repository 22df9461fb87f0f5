//! Limits how many pieces of work are in progress, and decides which of those
//! that wait is next.

use {
    std::{cell::RefCell, collections::VecDeque, rc::Rc},
    tokio::sync::oneshot,
};

/// Gives out a limited number of turns, to the newest that waits first.
///
/// Each of those that wait gives up after some time. In the order of arrival, an
/// overloaded process would always serve those that are about to give up, and
/// most of its work would be wasted.
pub(crate) struct Turns {
    state: Rc<RefCell<State>>,
}

struct State {
    free: usize,
    /// Those that wait, oldest first. Some may have given up.
    waiting: VecDeque<oneshot::Sender<Turn>>,
}

/// The right to be in progress, until this is dropped.
pub(crate) struct Turn {
    state: Rc<RefCell<State>>,
}

impl Turns {
    /// Allows `limit` turns at a time.
    pub(crate) fn new(limit: usize) -> Self {
        let state = State {
            free: limit,
            waiting: VecDeque::new(),
        };
        Self {
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Begins to wait for a turn, which the receiver gets. Dropping the receiver
    /// gives the turn up.
    pub(crate) fn wait(&self) -> oneshot::Receiver<Turn> {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.state.borrow_mut();
        // Those that wait as long as others give up in the order of arrival.
        while state
            .waiting
            .front()
            .is_some_and(oneshot::Sender::is_closed)
        {
            state.waiting.pop_front();
        }
        state.waiting.push_back(sender);
        drop(state);
        give_out(&self.state);
        receiver
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.state.borrow_mut().free += 1;
        give_out(&self.state);
    }
}

/// Gives the free turns to those that wait, newest first.
fn give_out(state: &Rc<RefCell<State>>) {
    loop {
        let mut borrowed = state.borrow_mut();
        if borrowed.free == 0 {
            return;
        }
        let Some(next) = borrowed.waiting.pop_back() else {
            return;
        };
        if next.is_closed() {
            continue;
        }
        borrowed.free -= 1;
        drop(borrowed);
        let turn = Turn {
            state: state.clone(),
        };
        // A receiver that is gone hands the turn back, which gives it out again.
        let _ = next.send(turn);
    }
}
