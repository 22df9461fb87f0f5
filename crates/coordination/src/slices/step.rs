//! Steps the registry, the journals and the owners, and forwards their actions.

use {
    super::{Action, Clock, Event, Note, Owned, Slices, Source},
    crate::{
        journal::{self, Journal, Limits, Predecessor},
        owner::{self, Authority, Owner, Recovery},
        ownership::{self, Registry, OWNERSHIP_HORIZON},
        store,
    },
    filbertbend_state::{id, time::Instant, unit::Millis},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::collections::{BTreeMap, BTreeSet},
};

/// How long after a journal was found damaged its recovery is tried again.
const DAMAGED_RETRY_INTERVAL: Millis = Millis::from_secs(30);

impl Slices {
    pub(super) fn step_registry(
        &mut self,
        clock: Clock,
        event: ownership::Event,
        actions: &mut Vec<Action>,
    ) {
        let mut requested = Vec::new();
        self.registry.step(clock.now, event, &mut requested);
        for action in requested {
            self.on_registry_action(clock, action, actions);
        }
        self.update_authority();
    }

    fn on_registry_action(
        &mut self,
        clock: Clock,
        action: ownership::Action,
        actions: &mut Vec<Action>,
    ) {
        match action {
            ownership::Action::Call { ticket, call } => actions.push(Action::Store {
                source: Source::Registry,
                ticket,
                call,
            }),
            ownership::Action::Owned(slice) => self.add_slice(clock.now, slice, actions),
            ownership::Action::Reclaimed(slice) => {
                self.notify_journal(slice, journal::Event::Confirm);
            }
            ownership::Action::Lost(slice) => {
                self.step_journal(clock, slice, journal::Event::Revoke, actions);
                self.remove_slice(slice, actions);
            }
            ownership::Action::Release(slice) => self.release(clock.now, slice, actions),
            ownership::Action::Roster(members) => {
                self.members = members.clone();
                actions.push(Action::Roster(members));
            }
            ownership::Action::Malformed { key } => {
                actions.push(Action::Note(Note::MalformedValue(key)));
            }
            ownership::Action::NameTaken => actions.push(Action::Note(Note::NameTaken)),
            ownership::Action::Stalled { since } => {
                actions.push(Action::Note(Note::StoreStalled(since)));
            }
            ownership::Action::Resumed => actions.push(Action::Note(Note::StoreResumed)),
            ownership::Action::Left => actions.push(Action::Left),
        }
    }

    fn notify_registry(&mut self, event: ownership::Event) {
        self.events.push_back(Event::Registry(event));
    }

    fn notify_journal(&mut self, slice: id::Slice, event: journal::Event<owner::Record>) {
        self.events.push_back(Event::Journal(slice, event));
    }

    fn notify_owner(&mut self, slice: id::Slice, event: owner::Event) {
        self.events.push_back(Event::Owner(slice, event));
    }

    fn add_slice(&mut self, now: Instant, slice: id::Slice, actions: &mut Vec<Action>) {
        actions.push(Action::Note(Note::Claimed(slice)));
        let rng = ChaCha8Rng::from_rng(&mut self.rng);
        let owned = Owned {
            journal: Journal::new(slice, self.entry.clone(), Limits::default(), rng),
            owner: None,
            epoch: id::Epoch::default(),
            claimed_at: now,
            authority: Authority::default(),
            appends: BTreeMap::new(),
            replies: BTreeSet::new(),
        };
        self.owned.insert(slice, owned);
        self.update_slice_count();
        self.notify_journal(slice, journal::Event::Recover);
    }

    /// Removes a slice. Callers that wait for an answer must ask the next
    /// owner.
    fn remove_slice(&mut self, slice: id::Slice, actions: &mut Vec<Action>) {
        if let Some(owned) = self.owned.remove(&slice) {
            redirect_replies(owned.replies, actions);
            self.planner.forget_slice(slice);
            self.update_slice_count();
        }
    }

    fn update_slice_count(&mut self) {
        let owned = u16::try_from(self.owned.len()).unwrap_or(u16::MAX);
        self.planner.set_slices_owned(owned);
    }

    fn release(&mut self, now: Instant, slice: id::Slice, actions: &mut Vec<Action>) {
        let Some(owned) = self.owned.get_mut(&slice) else {
            self.notify_registry(ownership::Event::Released(slice));
            return;
        };
        // Leases granted by this owner may last this long. Once the owner is
        // removed, no lease is granted any more.
        let owner = owned.owner.take();
        let leases_end_in = owner.map_or(OWNERSHIP_HORIZON, |owner| owner.lease_remaining(now));
        redirect_replies(std::mem::take(&mut owned.replies), actions);
        self.notify_journal(slice, journal::Event::Release { leases_end_in });
    }

    /// Passes the current time limits on grants to each owner.
    fn update_authority(&mut self) {
        for (slice, owned) in &mut self.owned {
            let authority = authority(&self.registry, *slice);
            if owned.owner.is_some() && owned.authority != authority {
                owned.authority = authority;
                let event = owner::Event::Authority(authority);
                self.events.push_back(Event::Owner(*slice, event));
            }
        }
    }

    /// Reports slices with a damaged journal as fenced once their retry
    /// interval has passed, so that the registry claims them again. An operator
    /// may have repaired the stored value in the meantime.
    pub(super) fn retry_damaged(&mut self, now: Instant) {
        let damaged = std::mem::take(&mut self.damaged);
        for (at, slice) in damaged {
            if at <= now {
                self.notify_registry(ownership::Event::Fenced(slice));
            } else {
                self.damaged.push((at, slice));
            }
        }
    }

    pub(super) fn step_journal(
        &mut self,
        clock: Clock,
        slice: id::Slice,
        event: journal::Event<owner::Record>,
        actions: &mut Vec<Action>,
    ) {
        let Some(owned) = self.owned.get_mut(&slice) else {
            return;
        };
        let mut requested = Vec::new();
        owned
            .journal
            .step(clock.now, event, &mut self.budget, &mut requested);
        for action in requested {
            self.on_journal_action(clock, slice, action, actions);
        }
    }

    fn on_journal_action(
        &mut self,
        clock: Clock,
        slice: id::Slice,
        action: journal::Action,
        actions: &mut Vec<Action>,
    ) {
        match action {
            journal::Action::Call { ticket, call } => actions.push(Action::Store {
                source: Source::Journal(slice),
                ticket,
                call,
            }),
            journal::Action::Recovered { epoch, predecessor } => {
                self.recover(clock, slice, epoch, predecessor, actions);
            }
            journal::Action::Confirmed { at } => {
                self.notify_registry(ownership::Event::Confirmed { slice, at });
            }
            journal::Action::Durable { ticket } => {
                self.finish_append(slice, ticket, owner::Event::Durable);
            }
            journal::Action::NotWritten { ticket, reason } => {
                actions.push(Action::Note(Note::NotWritten { slice, reason }));
                self.finish_append(slice, ticket, owner::Event::NotWritten);
            }
            journal::Action::Unknown { .. } | journal::Action::NotWithdrawn { .. } => {}
            journal::Action::Stalled { .. } => {
                self.notify_owner(slice, owner::Event::StoreAvailability { available: false });
            }
            journal::Action::Resumed => {
                self.notify_owner(slice, owner::Event::StoreAvailability { available: true });
            }
            journal::Action::Released => {
                actions.push(Action::Note(Note::Released(slice)));
                self.remove_slice(slice, actions);
                self.notify_registry(ownership::Event::Released(slice));
            }
            journal::Action::Lost { newer } => {
                actions.push(Action::Note(Note::Lost(slice)));
                self.on_slice_lost(clock, slice, actions);
                if newer.is_some() {
                    self.notify_registry(ownership::Event::Fenced(slice));
                }
            }
            journal::Action::Failed(error) => {
                actions.push(Action::Note(Note::Damaged { slice, error }));
                self.on_slice_lost(clock, slice, actions);
                self.damaged
                    .push((clock.now + DAMAGED_RETRY_INTERVAL, slice));
            }
        }
    }

    fn finish_append(
        &mut self,
        slice: id::Slice,
        ticket: journal::Ticket,
        event: impl Fn(owner::Ticket) -> owner::Event,
    ) {
        let owned = self.owned.get_mut(&slice);
        if let Some(append) = owned.and_then(|owned| owned.appends.remove(&ticket)) {
            self.notify_owner(slice, event(append));
        }
    }

    /// Lets the owner answer its callers before the slice is removed.
    fn on_slice_lost(&mut self, clock: Clock, slice: id::Slice, actions: &mut Vec<Action>) {
        let lost = owner::Event::OwnershipLost {
            not_written: Vec::new(),
            unknown: Vec::new(),
        };
        self.step_owner(clock, slice, lost, actions);
        self.remove_slice(slice, actions);
    }

    fn recover(
        &mut self,
        clock: Clock,
        slice: id::Slice,
        epoch: id::Epoch,
        predecessor: Predecessor,
        actions: &mut Vec<Action>,
    ) {
        let Some(owned) = self.owned.get_mut(&slice) else {
            return;
        };
        let image = owned.journal.image().cloned().unwrap_or_default();
        let former_lease_remaining = match predecessor {
            Predecessor::None => Millis::ZERO,
            Predecessor::Released { leases_end_in } => leases_end_in,
            Predecessor::Unreleased => OWNERSHIP_HORIZON,
        };
        actions.push(Action::Note(Note::Owned {
            slice,
            epoch,
            jobs: image.jobs().count(),
            former_lease_remaining,
        }));
        owned.epoch = epoch;
        owned.authority = authority(&self.registry, slice);
        let recovery = Recovery {
            slice,
            image,
            wall: clock.wall,
            authority: owned.authority,
            claimed_at: owned.claimed_at,
            former_lease_remaining,
        };
        let mut requested = Vec::new();
        let owner = Owner::recover(clock.now, recovery, &mut self.planner, &mut requested);
        owned.owner = Some(owner);
        self.on_owner_actions(slice, requested, actions);
        for agent in self.agents.values() {
            let event = owner::Event::AgentConnected {
                worker: agent.worker.clone(),
                incarnation: agent.incarnation,
            };
            self.events.push_back(Event::Owner(slice, event));
        }
    }

    pub(super) fn step_owner(
        &mut self,
        clock: Clock,
        slice: id::Slice,
        event: owner::Event,
        actions: &mut Vec<Action>,
    ) {
        let owned = self.owned.get_mut(&slice);
        let Some(owner) = owned.and_then(|owned| owned.owner.as_mut()) else {
            return;
        };
        let mut requested = Vec::new();
        owner.step(clock.now, event, &mut self.planner, &mut requested);
        self.on_owner_actions(slice, requested, actions);
    }

    fn on_owner_actions(
        &mut self,
        slice: id::Slice,
        requested: Vec<owner::Action>,
        actions: &mut Vec<Action>,
    ) {
        let epoch = self.epoch(slice).unwrap_or_default();
        for action in requested {
            match action {
                owner::Action::Append { ticket, records } => self.append(slice, ticket, records),
                owner::Action::Send {
                    worker,
                    attempt,
                    command,
                } => actions.push(Action::Command {
                    worker,
                    slice,
                    epoch,
                    attempt,
                    command,
                }),
                owner::Action::Adopt { worker } => actions.push(Action::Adopt {
                    worker,
                    slice,
                    epoch,
                }),
                owner::Action::Answer { reply, answer } => {
                    if let Some(owned) = self.owned.get_mut(&slice) {
                        owned.replies.remove(&reply);
                    }
                    actions.push(Action::Answer { reply, answer });
                }
                owner::Action::StoreChunk { ticket, key, value } => {
                    actions.push(Action::StoreChunk {
                        slice,
                        ticket: store::Ticket(ticket.0),
                        key,
                        value,
                    })
                }
                owner::Action::FetchChunk { ticket, key } => actions.push(Action::Store {
                    source: Source::Fetch(slice),
                    ticket: store::Ticket(ticket.0),
                    call: store::Call::Get { key },
                }),
                owner::Action::DeleteChunk { key } => actions.push(Action::DeleteChunk { key }),
                owner::Action::Count(counter) => actions.push(Action::Count(counter)),
            }
        }
    }

    fn append(&mut self, slice: id::Slice, ticket: owner::Ticket, records: Vec<owner::Record>) {
        let Some(owned) = self.owned.get_mut(&slice) else {
            return;
        };
        let last = records.len().saturating_sub(1);
        for (index, record) in records.into_iter().enumerate() {
            self.last_ticket += 1;
            let journal_ticket = journal::Ticket(self.last_ticket);
            if index == last {
                owned.appends.insert(journal_ticket, ticket);
            }
            let event = journal::Event::Append {
                ticket: journal_ticket,
                record,
            };
            self.events.push_back(Event::Journal(slice, event));
        }
    }
}

fn redirect_replies(replies: BTreeSet<owner::Reply>, actions: &mut Vec<Action>) {
    let redirects = replies.into_iter().map(|reply| Action::Redirect { reply });
    actions.extend(redirects);
}

fn authority(registry: &Registry, slice: id::Slice) -> Authority {
    Authority {
        first_grants_until: registry.first_grants_until(slice).unwrap_or_default(),
        renewals_until: registry.grant_limit(slice).unwrap_or_default(),
    }
}
