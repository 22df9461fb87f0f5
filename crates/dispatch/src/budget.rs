//! A bound on the work that is in progress, by count and by bytes.

use std::{cell::Cell, rc::Rc};

/// The amount of work in progress.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Amount {
    pub(crate) count: usize,
    pub(crate) bytes: usize,
}

/// Admits work up to a limit.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    limit: Amount,
    used: Rc<Cell<Amount>>,
}

/// Work that was admitted. It counts until this is dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    bytes: usize,
    used: Rc<Cell<Amount>>,
}

impl Budget {
    pub(crate) fn new(limit: Amount) -> Self {
        Self {
            limit,
            used: Rc::default(),
        }
    }

    /// Admits one piece of work of this size, or returns `None` if it exceeds the
    /// limit.
    pub(crate) fn admit(&self, bytes: usize) -> Option<Permit> {
        let used = self.used.get();
        let next = Amount {
            count: used.count + 1,
            bytes: used.bytes.checked_add(bytes)?,
        };
        if next.count > self.limit.count || next.bytes > self.limit.bytes {
            return None;
        }
        self.used.set(next);
        Some(Permit {
            bytes,
            used: self.used.clone(),
        })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let used = self.used.get();
        self.used.set(Amount {
            count: used.count - 1,
            bytes: used.bytes - self.bytes,
        });
    }
}
