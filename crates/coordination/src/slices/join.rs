//! What each machine of a slice asks of the others.

use {
    super::{Action, Clock, Event, Held, Note, Slices, Source},
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

/// How long a slice with a damaged journal is left alone.
const DAMAGED_PAUSE: Millis = Millis::from_secs(30);

impl Slices {
    pub(super) fn step_registry(
        &mut self,
        clock: Clock,
        event: ownership::Event,
        actions: &mut Vec<Action>,
    ) {
        let mut asked = Vec::new();
        self.registry.step(clock.now, event, &mut asked);
        for action in asked {
            self.act_on_registry(clock, action, actions);
        }
        self.update_authority();
    }

    fn act_on_registry(
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
            ownership::Action::Owned(slice) => self.own(clock.now, slice, actions),
            ownership::Action::Reclaimed(slice) => {
                self.tell_journal(slice, journal::Event::Confirm);
            }
            ownership::Action::Lost(slice) => {
                self.step_journal(clock, slice, journal::Event::Revoke, actions);
                self.disown(slice, actions);
            }
            ownership::Action::Release(slice) => self.release(clock.now, slice, actions),
            ownership::Action::Roster(members) => {
                self.listed = members.clone();
                actions.push(Action::Roster(members));
            }
            ownership::Action::Malformed { key } => {
                actions.push(Action::Note(Note::DamagedValue(key)));
            }
            ownership::Action::NameTaken => actions.push(Action::Note(Note::NameTaken)),
            ownership::Action::Stalled { since } => {
                actions.push(Action::Note(Note::StoreSilent(since)));
            }
            ownership::Action::Resumed => actions.push(Action::Note(Note::StoreAnswers)),
            ownership::Action::Left => actions.push(Action::Left),
        }
    }

    fn tell_registry(&mut self, event: ownership::Event) {
        self.events.push_back(Event::Registry(event));
    }

    fn tell_journal(&mut self, slice: id::Slice, event: journal::Event<owner::Record>) {
        self.events.push_back(Event::Journal(slice, event));
    }

    fn tell_owner(&mut self, slice: id::Slice, event: owner::Event) {
        self.events.push_back(Event::Owner(slice, event));
    }

    fn own(&mut self, now: Instant, slice: id::Slice, actions: &mut Vec<Action>) {
        actions.push(Action::Note(Note::Claimed(slice)));
        let rng = ChaCha8Rng::from_rng(&mut self.rng);
        let held = Held {
            journal: Journal::new(slice, self.entry.clone(), Limits::default(), rng),
            owner: None,
            epoch: id::Epoch::default(),
            claimed_at: now,
            authority: Authority::default(),
            appends: BTreeMap::new(),
            replies: BTreeSet::new(),
        };
        self.held.insert(slice, held);
        self.count_slices();
        self.tell_journal(slice, journal::Event::Recover);
    }

    /// Forgets a slice; callers that wait ask the next owner.
    fn disown(&mut self, slice: id::Slice, actions: &mut Vec<Action>) {
        if let Some(held) = self.held.remove(&slice) {
            drop_replies(held.replies, actions);
            self.planner.forget_slice(slice);
            self.count_slices();
        }
    }

    fn count_slices(&mut self) {
        let owned = u16::try_from(self.held.len()).unwrap_or(u16::MAX);
        self.planner.set_slices_owned(owned);
    }

    fn release(&mut self, now: Instant, slice: id::Slice, actions: &mut Vec<Action>) {
        let Some(held) = self.held.get_mut(&slice) else {
            self.tell_registry(ownership::Event::Released(slice));
            return;
        };
        // Leases that were granted here last this long; nothing is granted
        // after the owner has gone.
        let owner = held.owner.take();
        let leases_end_in = owner.map_or(OWNERSHIP_HORIZON, |owner| owner.lease_remaining(now));
        drop_replies(std::mem::take(&mut held.replies), actions);
        self.tell_journal(slice, journal::Event::Release { leases_end_in });
    }

    /// Passes on until when each owner may grant.
    fn update_authority(&mut self) {
        for (slice, held) in &mut self.held {
            let authority = authority(&self.registry, *slice);
            if held.owner.is_some() && held.authority != authority {
                held.authority = authority;
                let event = owner::Event::Authority(authority);
                self.events.push_back(Event::Owner(*slice, event));
            }
        }
    }

    /// Lets the registry begin again with slices whose journal was damaged; an
    /// operator may have mended the value meanwhile.
    pub(super) fn retry_damaged(&mut self, now: Instant) {
        let damaged = std::mem::take(&mut self.damaged);
        for (at, slice) in damaged {
            if at <= now {
                self.tell_registry(ownership::Event::Fenced(slice));
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
        let Some(held) = self.held.get_mut(&slice) else {
            return;
        };
        let mut asked = Vec::new();
        held.journal
            .step(clock.now, event, &mut self.budget, &mut asked);
        for action in asked {
            self.act_on_journal(clock, slice, action, actions);
        }
    }

    fn act_on_journal(
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
                self.tell_registry(ownership::Event::Confirmed { slice, at });
            }
            journal::Action::Durable { ticket } => {
                self.settle(slice, ticket, owner::Event::Durable);
            }
            journal::Action::NotWritten { ticket, reason } => {
                actions.push(Action::Note(Note::NotWritten { slice, reason }));
                self.settle(slice, ticket, owner::Event::NotWritten);
            }
            journal::Action::Unknown { .. } | journal::Action::NotWithdrawn { .. } => {}
            journal::Action::Stalled { .. } => {
                self.tell_owner(slice, owner::Event::StoreAvailability { available: false });
            }
            journal::Action::Resumed => {
                self.tell_owner(slice, owner::Event::StoreAvailability { available: true });
            }
            journal::Action::Released => {
                actions.push(Action::Note(Note::Released(slice)));
                self.disown(slice, actions);
                self.tell_registry(ownership::Event::Released(slice));
            }
            journal::Action::Lost { newer } => {
                actions.push(Action::Note(Note::Lost(slice)));
                self.lose(clock, slice, actions);
                if newer.is_some() {
                    self.tell_registry(ownership::Event::Fenced(slice));
                }
            }
            journal::Action::Failed(error) => {
                actions.push(Action::Note(Note::Damaged { slice, error }));
                self.lose(clock, slice, actions);
                self.damaged.push((clock.now + DAMAGED_PAUSE, slice));
            }
        }
    }

    fn settle(
        &mut self,
        slice: id::Slice,
        ticket: journal::Ticket,
        event: impl Fn(owner::Ticket) -> owner::Event,
    ) {
        let held = self.held.get_mut(&slice);
        if let Some(append) = held.and_then(|held| held.appends.remove(&ticket)) {
            self.tell_owner(slice, event(append));
        }
    }

    /// Lets the owner answer its callers before the slice is forgotten.
    fn lose(&mut self, clock: Clock, slice: id::Slice, actions: &mut Vec<Action>) {
        let lost = owner::Event::OwnershipLost {
            not_written: Vec::new(),
            unknown: Vec::new(),
        };
        self.step_owner(clock, slice, lost, actions);
        self.disown(slice, actions);
    }

    fn recover(
        &mut self,
        clock: Clock,
        slice: id::Slice,
        epoch: id::Epoch,
        predecessor: Predecessor,
        actions: &mut Vec<Action>,
    ) {
        let Some(held) = self.held.get_mut(&slice) else {
            return;
        };
        let image = held.journal.image().cloned().unwrap_or_default();
        let hold = match predecessor {
            Predecessor::None => Millis::ZERO,
            Predecessor::Released { leases_end_in } => leases_end_in,
            Predecessor::Unreleased => OWNERSHIP_HORIZON,
        };
        actions.push(Action::Note(Note::Owned {
            slice,
            epoch,
            jobs: image.jobs().count(),
            hold,
        }));
        held.epoch = epoch;
        held.authority = authority(&self.registry, slice);
        let recovery = Recovery {
            slice,
            image,
            wall: clock.wall,
            authority: held.authority,
            claimed_at: held.claimed_at,
            former_lease_remaining: hold,
        };
        let mut asked = Vec::new();
        let owner = Owner::recover(clock.now, recovery, &mut self.planner, &mut asked);
        held.owner = Some(owner);
        self.act_on_owner(slice, asked, actions);
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
        let held = self.held.get_mut(&slice);
        let Some(owner) = held.and_then(|held| held.owner.as_mut()) else {
            return;
        };
        let mut asked = Vec::new();
        owner.step(clock.now, event, &mut self.planner, &mut asked);
        self.act_on_owner(slice, asked, actions);
    }

    fn act_on_owner(
        &mut self,
        slice: id::Slice,
        asked: Vec<owner::Action>,
        actions: &mut Vec<Action>,
    ) {
        let epoch = self.epoch(slice).unwrap_or_default();
        for action in asked {
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
                    if let Some(held) = self.held.get_mut(&slice) {
                        held.replies.remove(&reply);
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
        let Some(held) = self.held.get_mut(&slice) else {
            return;
        };
        let last = records.len().saturating_sub(1);
        for (index, record) in records.into_iter().enumerate() {
            self.next_record += 1;
            let number = journal::Ticket(self.next_record);
            if index == last {
                held.appends.insert(number, ticket);
            }
            let event = journal::Event::Append {
                ticket: number,
                record,
            };
            self.events.push_back(Event::Journal(slice, event));
        }
    }
}

fn drop_replies(replies: BTreeSet<owner::Reply>, actions: &mut Vec<Action>) {
    let dropped = replies.into_iter().map(|reply| Action::Dropped { reply });
    actions.extend(dropped);
}

fn authority(registry: &Registry, slice: id::Slice) -> Authority {
    Authority {
        first_grants_until: registry.first_grants_until(slice).unwrap_or_default(),
        renewals_until: registry.grant_limit(slice).unwrap_or_default(),
    }
}
