//! The registry's state of one slice.

use {
    crate::store::Version,
    filbertbend_state::{id, time::Instant},
    std::sync::Arc,
};

/// Returns the store key that holds the registration of the owner of `slice`.
pub(super) fn owner_key(slice: id::Slice) -> Arc<str> {
    format!("slice/{slice}/owner").into()
}

/// The state of a slice's owner key in the store, as far as this entry knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Key {
    /// Not known to be held by this entry; due to be read at `check_at`.
    Free { check_at: Instant },
    /// A read or write of the key is in progress.
    Busy,
    /// Held under the current lease, at this version.
    Held(Version),
    /// Still held, and being deleted because the slice is not used.
    Deleting(Version),
}

/// What the process currently does with a slice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Role {
    /// It does not use the slice.
    None,
    /// It owns the slice.
    Owner,
    /// It still uses the slice and was asked to release it.
    Releasing,
}

/// The registry's knowledge of one slice and what the process does with it.
#[derive(Clone, Copy, Debug)]
pub(super) struct State {
    pub(super) key: Key,
    pub(super) role: Role,
    /// When the store call was sent whose answer last confirmed the ownership.
    pub(super) confirmed_at: Instant,
    /// Whether no other entry can have owned the slice since the process began to
    /// use it. Cleared when the lease lapses.
    pub(super) uncontested: bool,
    /// The key is read until this time even if the slice is not wanted, because a
    /// claim with a lost answer may still take effect.
    pub(super) recheck_until: Instant,
}

impl State {
    pub(super) fn new() -> Self {
        Self {
            key: Key::Free {
                check_at: Instant(0),
            },
            role: Role::None,
            confirmed_at: Instant(0),
            uncontested: false,
            recheck_until: Instant(0),
        }
    }

    /// Returns whether the key is held and no other entry can have held it since
    /// the process began to use the slice.
    pub(super) fn is_confirmed(&self) -> bool {
        self.uncontested && matches!(self.key, Key::Held(_))
    }

    /// Resets the key after the lease, and the key with it, has lapsed.
    pub(super) fn lapse(&mut self) {
        self.key = Key::Free {
            check_at: Instant(0),
        };
        self.uncontested = false;
    }

    /// Records that the process no longer uses the slice.
    pub(super) fn clear_role(&mut self) {
        self.role = Role::None;
        self.uncontested = false;
    }
}
