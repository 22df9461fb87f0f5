//! Applies the actions of entries and agents: messages, store calls and orders.

use {
    super::{
        entry::clock,
        text::{describe_answer, describe_command, describe_report, describe_store_call, time},
        Caller, Fault, Packet, Session, LINK_MS, ORDER_MS, STORE_TIMEOUT_MS,
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
    pub(super) fn log(&mut self, text: &str) {
        writeln!(self.messages, "{} {text}", time(self.now)).unwrap();
    }

    pub(super) fn push(&mut self, after_ms: u64, packet: Packet) {
        self.sent += 1;
        self.packets
            .insert((self.now + Millis(after_ms), self.sent), packet);
    }

    /// Sends a message between an entry and an agent.
    pub(super) fn send(&mut self, from: &str, to: &str, text: &str, packet: Packet) {
        let fault = (self.rule)(self.now, from, to, text);
        match fault {
            Fault::Drop => self.log(&format!("{from} -> {to}: {text} (dropped)")),
            Fault::Hold(ms) => {
                self.log(&format!("{from} -> {to}: {text} (held for {ms} ms)"));
                self.push(LINK_MS + ms, packet);
            }
            Fault::None | Fault::LoseAnswer => {
                self.log(&format!("{from} -> {to}: {text}"));
                self.push(LINK_MS, packet);
            }
        }
    }

    /// Applies all pending actions of an entry.
    pub(super) fn flush(&mut self, entry: &id::Entry) {
        let Some(process) = self.processes.get_mut(entry) else {
            return;
        };
        let incarnation = process.incarnation;
        for action in std::mem::take(&mut process.entry.actions) {
            self.apply_entry_action(entry, incarnation, action);
        }
    }

    pub(super) fn apply_entry_action(
        &mut self,
        entry: &id::Entry,
        incarnation: u64,
        action: Action,
    ) {
        match action {
            Action::Store {
                source,
                ticket,
                call,
            } => self.call_store(entry, incarnation, Some(source), ticket, call),
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
                self.call_store(entry, incarnation, Some(Source::Chunk(slice)), ticket, call);
            }
            Action::DeleteChunk { key } => {
                let call = StoreCall::Delete { key, version: None };
                self.call_store(entry, incarnation, None, Ticket(0), call);
            }
            Action::Command {
                worker,
                slice,
                epoch,
                attempt,
                command,
            } => {
                let text = format!("{} {attempt}", describe_command(&command));
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
            Action::Answer { reply, answer } => self.record_answer(reply.0, answer),
            Action::Redirect { reply } => self.connection_lost(reply.0),
            Action::Count(counter) => {
                *self.counters.entry(counter.to_string()).or_default() += 1;
            }
            Action::Roster(members) => {
                let names: Vec<_> = members.iter().map(|m| m.entry.to_string()).collect();
                self.log(&format!("{entry}: entries: {}", names.join(" ")));
            }
            Action::Note(note) => self.log(&format!("{entry}: {note}")),
            Action::Left => self.end_entry(entry, "has left"),
        }
    }

    pub(super) fn call_store(
        &mut self,
        entry: &id::Entry,
        incarnation: u64,
        source: Option<Source>,
        ticket: Ticket,
        call: StoreCall,
    ) {
        let caller = Caller {
            entry: entry.clone(),
            incarnation,
            source,
        };
        self.send_store_call(caller, ticket, call);
    }

    pub(super) fn record_answer(&mut self, number: u64, answer: Answer) {
        writeln!(
            self.answers,
            "{} call {number}: {}",
            time(self.now),
            describe_answer(&answer)
        )
        .unwrap();
        let exchange = self.exchanges.get_mut(&number).unwrap();
        assert!(exchange.answer.is_none(), "call {number} is answered twice");
        exchange.answer = Some((self.now, answer));
    }

    pub(super) fn send_store_call(&mut self, caller: Caller, ticket: Ticket, call: StoreCall) {
        let text = describe_store_call(&call);
        let fault = (self.rule)(self.now, caller.entry.as_str(), "store", &text);
        *self
            .store_calls
            .entry((caller.entry.to_string(), text.clone()))
            .or_default() += 1;
        match fault {
            Fault::None | Fault::Hold(_) => return self.store.send(self.now, caller, ticket, call),
            Fault::LoseAnswer => {
                self.store.memory.call(self.now, call);
            }
            Fault::Drop => {}
        }
        let what = if fault == Fault::Drop {
            "call"
        } else {
            "answer"
        };
        self.log(&format!("{} -> store: {text} ({what} lost)", caller.entry));
        self.push(STORE_TIMEOUT_MS, Packet::Lost(caller, ticket));
    }

    pub(super) fn apply_agent_actions(
        &mut self,
        worker: &id::Worker,
        actions: Vec<executor::Action>,
    ) {
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
                    let attempts_held: Vec<_> = attempts
                        .iter()
                        .map(|(attempt, phase)| format!(" {attempt} {phase:?}"))
                        .collect();
                    let (to, text) = (
                        to.clone(),
                        format!("inventory slice {slice}:{}", attempts_held.concat()),
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
                    if self.instance(worker).run_order(now, work.clone(), *send_by) {
                        self.log(&format!("{worker}: endpoint runs {attempt}"));
                        let incarnation = self.instance(worker).agent.incarnation;
                        self.push(
                            ORDER_MS,
                            Packet::OrderDone(worker.clone(), incarnation, attempt),
                        );
                    } else {
                        let delivery = Delivery::NotSent;
                        self.step_agent(worker, executor::Event::Order { attempt, delivery });
                    }
                }
                other => self.log(&format!("{worker}: {other:?}")),
            }
        }
    }

    pub(super) fn step_agent(&mut self, worker: &id::Worker, event: executor::Event) {
        let now = self.now;
        let mut actions = self.instance(worker).step(now, event);
        actions.extend(self.instance(worker).poll(now));
        self.apply_agent_actions(worker, actions);
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
                self.with_entry(&to, |entry| {
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
                self.with_entry(&to, |entry| {
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
            Packet::OrderDone(worker, incarnation, attempt) => {
                if self.instance(&worker).agent.incarnation == incarnation {
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
        let process = self.processes.get(&caller.entry);
        let is_running = process.is_some_and(|process| process.incarnation == caller.incarnation);
        let Some(source) = caller.source.filter(|_| is_running) else {
            return;
        };
        self.with_entry(&caller.entry, |entry| {
            entry.step(|slices, actions| {
                slices.handle_store_answer(clock(now), source, ticket, answer, actions);
            });
        });
    }
}
