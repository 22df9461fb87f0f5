//! Carries out what entries and agents ask for: messages, store calls, orders.

use {
    super::{
        entry::clock,
        text::{describe, describe_call, describe_report, show, time},
        Caller, Fate, Packet, Session, LINK_MS, LOST_MS, ORDER_MS,
    },
    filbertbend_coordination::{
        executor::{self, Delivery},
        job::Answer,
        slices::{Action, Source},
        store::{Answer as StoreAnswer, Call as StoreCall, Expect, Ticket},
    },
    filbertbend_state::{id, unit::Millis},
    std::fmt::Write,
};

impl Session {
    pub(super) fn say(&mut self, text: &str) {
        writeln!(self.messages, "{} {text}", time(self.now)).unwrap();
    }

    pub(super) fn push(&mut self, after_ms: u64, packet: Packet) {
        self.sent += 1;
        self.packets
            .insert((self.now + Millis(after_ms), self.sent), packet);
    }

    /// Sends a message between an entry and an agent.
    pub(super) fn send(&mut self, from: &str, to: &str, text: &str, packet: Packet) {
        let fate = (self.rule)(self.now, from, to, text);
        match fate {
            Fate::Drop => self.say(&format!("{from} -> {to}: {text} (dropped)")),
            Fate::Hold(ms) => {
                self.say(&format!("{from} -> {to}: {text} (held for {ms} ms)"));
                self.push(LINK_MS + ms, packet);
            }
            Fate::Pass | Fate::LoseAnswer => {
                self.say(&format!("{from} -> {to}: {text}"));
                self.push(LINK_MS, packet);
            }
        }
    }

    /// Carries out what an entry has asked for.
    pub(super) fn flush(&mut self, entry: &id::Entry) {
        let Some(seat) = self.seats.get_mut(entry) else {
            return;
        };
        let life = seat.life;
        for action in std::mem::take(&mut seat.entry.actions) {
            self.act_on_entry(entry, life, action);
        }
    }

    pub(super) fn act_on_entry(&mut self, entry: &id::Entry, life: u64, action: Action) {
        match action {
            Action::Store {
                source,
                ticket,
                call,
            } => self.call_store(entry, life, Some(source), ticket, call),
            Action::StoreChunk {
                slice,
                ticket,
                key,
                value,
            } => {
                let call = StoreCall::Put {
                    key,
                    value,
                    expect: Expect::Absent,
                    lease: None,
                };
                self.call_store(entry, life, Some(Source::Chunk(slice)), ticket, call);
            }
            Action::DeleteChunk { key } => {
                let call = StoreCall::Delete { key, version: None };
                self.call_store(entry, life, None, Ticket(0), call);
            }
            Action::Command {
                worker,
                slice,
                epoch,
                attempt,
                command,
            } => {
                let text = format!("{} {attempt}", describe(&command));
                let event = executor::Event::Command {
                    from: entry.clone(),
                    slice,
                    epoch,
                    attempt,
                    command,
                };
                let packet = Packet::ToAgent(worker.clone(), event);
                self.send(entry.as_str(), worker.as_str(), &text, packet);
            }
            Action::Adopt {
                worker,
                slice,
                epoch,
            } => {
                let text = format!("adopt slice {slice} epoch {epoch}");
                let event = executor::Event::Adopt {
                    from: entry.clone(),
                    slice,
                    epoch,
                };
                let packet = Packet::ToAgent(worker.clone(), event);
                self.send(entry.as_str(), worker.as_str(), &text, packet);
            }
            Action::Answer { reply, answer } => self.answered(reply.0, answer),
            Action::Redirect { reply } => self.dropped(reply.0),
            Action::Count(counter) => {
                *self.counters.entry(counter.to_string()).or_default() += 1;
            }
            Action::Roster(members) => {
                let names: Vec<_> = members.iter().map(|m| m.entry.to_string()).collect();
                self.say(&format!("{entry}: entries: {}", names.join(" ")));
            }
            Action::Note(note) => self.say(&format!("{entry}: {note}")),
            Action::Left => self.end_entry(entry, "has left"),
        }
    }

    pub(super) fn call_store(
        &mut self,
        entry: &id::Entry,
        life: u64,
        source: Option<Source>,
        ticket: Ticket,
        call: StoreCall,
    ) {
        let caller = Caller {
            entry: entry.clone(),
            life,
            source,
        };
        self.store(caller, ticket, call);
    }

    pub(super) fn answered(&mut self, number: u64, answer: Answer) {
        writeln!(
            self.answers,
            "{} call {number}: {}",
            time(self.now),
            show(&answer)
        )
        .unwrap();
        let asked = self.asked.get_mut(&number).unwrap();
        assert!(asked.answer.is_none(), "call {number} is answered twice");
        asked.answer = Some((self.now, answer));
    }

    pub(super) fn store(&mut self, caller: Caller, ticket: Ticket, call: StoreCall) {
        let text = describe_call(&call);
        let fate = (self.rule)(self.now, caller.entry.as_str(), "store", &text);
        *self
            .stored
            .entry((caller.entry.to_string(), text.clone()))
            .or_default() += 1;
        match fate {
            Fate::Pass | Fate::Hold(_) => return self.network.send(self.now, caller, ticket, call),
            Fate::LoseAnswer => {
                self.network.memory.call(self.now, call);
            }
            Fate::Drop => {}
        }
        let what = if fate == Fate::Drop { "call" } else { "answer" };
        self.say(&format!("{} -> store: {text} ({what} lost)", caller.entry));
        self.push(LOST_MS, Packet::Lost(caller, ticket));
    }

    pub(super) fn act_on_agent(&mut self, worker: &id::Worker, actions: Vec<executor::Action>) {
        use executor::Action;
        for action in actions {
            match &action {
                Action::Report {
                    to,
                    attempt,
                    report,
                    ..
                } => {
                    let (to, text) = (to.clone(), format!("{} {attempt}", describe_report(report)));
                    let packet = Packet::ToEntry(to.clone(), action, worker.clone());
                    self.send(worker.as_str(), to.as_str(), &text, packet);
                }
                Action::Inventory {
                    to,
                    slice,
                    attempts,
                    ..
                } => {
                    let held: Vec<_> = attempts
                        .iter()
                        .map(|(attempt, phase)| format!(" {attempt} {phase:?}"))
                        .collect();
                    let (to, text) = (
                        to.clone(),
                        format!("inventory slice {slice}:{}", held.concat()),
                    );
                    let packet = Packet::ToEntry(to.clone(), action, worker.clone());
                    self.send(worker.as_str(), to.as_str(), &text, packet);
                }
                Action::SendOrder {
                    attempt,
                    work,
                    send_by,
                } => {
                    let (attempt, now) = (*attempt, self.now);
                    if self.node(worker).run_order(now, work.clone(), *send_by) {
                        self.say(&format!("{worker}: endpoint runs {attempt}"));
                        let life = self.node(worker).agent.incarnation;
                        self.push(ORDER_MS, Packet::Delivered(worker.clone(), life, attempt));
                    } else {
                        let delivery = Delivery::NotSent;
                        self.step_agent(worker, executor::Event::Order { attempt, delivery });
                    }
                }
                other => self.say(&format!("{worker}: {other:?}")),
            }
        }
    }

    pub(super) fn step_agent(&mut self, worker: &id::Worker, event: executor::Event) {
        let now = self.now;
        let mut actions = self.node(worker).step(now, event);
        actions.extend(self.node(worker).poll(now));
        self.act_on_agent(worker, actions);
    }

    pub(super) fn deliver(&mut self, packet: Packet) {
        let now = self.now;
        match packet {
            Packet::ToAgent(worker, event) => self.step_agent(&worker, event),
            Packet::ToEntry(
                to,
                executor::Action::Report {
                    slice,
                    attempt,
                    report,
                    ..
                },
                worker,
            ) => {
                self.with(&to, |entry| {
                    entry.step(|slices, actions| {
                        slices.handle_report(clock(now), worker, slice, attempt, report, actions);
                    });
                });
            }
            Packet::ToEntry(
                to,
                executor::Action::Inventory {
                    slice,
                    epoch,
                    attempts,
                    ..
                },
                worker,
            ) => {
                self.with(&to, |entry| {
                    entry.step(|slices, actions| {
                        slices.handle_inventory(
                            clock(now),
                            worker,
                            slice,
                            epoch,
                            attempts,
                            actions,
                        );
                    });
                });
            }
            Packet::ToEntry(..) => {}
            Packet::Delivered(worker, life, attempt) => {
                if self.node(&worker).agent.incarnation == life {
                    let output = filbertbend_coordination::attempt::Output {
                        status: 200,
                        content_type: "text/plain".into(),
                        body: format!("done at {worker}").into_bytes(),
                    };
                    let delivery = Delivery::Answered(output);
                    self.step_agent(&worker, executor::Event::Order { attempt, delivery });
                }
            }
            Packet::Lost(caller, ticket) => self.answer_store(caller, ticket, StoreAnswer::Lost),
        }
    }

    pub(super) fn answer_store(&mut self, caller: Caller, ticket: Ticket, answer: StoreAnswer) {
        let now = self.now;
        let seat = self.seats.get(&caller.entry);
        let lives = seat.is_some_and(|seat| seat.life == caller.life);
        let Some(source) = caller.source.filter(|_| lives) else {
            return;
        };
        self.with(&caller.entry, |entry| {
            entry.step(|slices, actions| {
                slices.handle_store_answer(clock(now), source, ticket, answer, actions);
            });
        });
    }
}
