//! How the registry stands with one slice.

use {
    crate::store::Version,
    filbertbend_state::{id, time::Instant},
    std::sync::Arc,
};

/// Returns the key that names the owner of `slice`.
pub(super) fn owner_key(slice: id::Slice) -> Arc<str> {
    format!("slice/{slice}/owner").into()
}

/// Where the owner key of a slice stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Key {
    /// Not held by this entry, as far as is known; read again at `check_at`.
    Free { check_at: Instant },
    /// A read or write of the key is under way.
    Busy,
    /// Held under the current lease.
    Held(Version),
    /// About to be deleted after the hand-over.
    Deleting(Version),
}

/// What the process does with a slice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Role {
    /// Nothing.
    None,
    /// It owns the slice.
    Owner,
    /// It was asked to release the slice.
    Releasing,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct State {
    pub(super) key: Key,
    pub(super) role: Role,
    /// The time before the call was sent that last confirmed the ownership.
    pub(super) confirmed_at: Instant,
    /// Whether no other entry can have owned the slice since the process
    /// began to use it. A lapse of the lease puts this in doubt.
    pub(super) uncontested: bool,
    /// Until when the key is read even if the slice is not wanted, because a
    /// write of it may still take effect.
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

    /// Tells whether the key is held and nobody else can have held it since.
    pub(super) fn is_confirmed(&self) -> bool {
        self.uncontested && matches!(self.key, Key::Held(_))
    }

    /// Notes that the lease, and the key with it, is gone.
    pub(super) fn lapse(&mut self) {
        self.key = Key::Free {
            check_at: Instant(0),
        };
        self.uncontested = false;
    }

    /// Notes that the process does not use the slice any more.
    pub(super) fn clear_role(&mut self) {
        self.role = Role::None;
        self.uncontested = false;
    }
}
