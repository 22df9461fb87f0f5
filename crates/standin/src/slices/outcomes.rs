//! The reported outcome of each appended record.

use {
    super::ledger::Ledger, filbertbend_coordination::journal::Action, std::collections::BTreeMap,
};

/// The last reported outcome of a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// No final report yet, or the process crashed before it.
    Open,
    /// The record is durable.
    Durable,
    /// The record is certainly not written.
    NotWritten,
    /// The record may or may not be written.
    Unknown,
}

/// The outcomes of all records, and every contradiction among the reports.
#[derive(Debug, Default)]
pub struct Outcomes {
    outcomes: BTreeMap<u64, Outcome>,
    newest: BTreeMap<(u64, u64), u64>,
    /// Descriptions of every contradiction found so far.
    pub violations: Vec<String>,
}

impl Outcomes {
    /// Registers an appended record and returns its number.
    pub fn append(&mut self) -> u64 {
        let id = self.outcomes.len() as u64 + 1;
        self.outcomes.insert(id, Outcome::Open);
        id
    }

    /// Counts the records with this outcome.
    pub fn count(&self, outcome: Outcome) -> usize {
        self.outcomes
            .values()
            .filter(|found| **found == outcome)
            .count()
    }

    /// Records a report of the ownership `number` of the process with this
    /// `incarnation`.
    pub fn record(&mut self, incarnation: u64, number: u64, action: &Action) {
        match action {
            Action::Durable { ticket } => {
                self.settle(ticket.0, Outcome::Durable);
                let newest = self.newest.entry((incarnation, number)).or_default();
                if *newest >= ticket.0 {
                    let text = format!("{} durable after {newest}", ticket.0);
                    self.violations.push(text);
                }
                *newest = ticket.0;
            }
            Action::NotWritten { ticket, .. } => self.settle(ticket.0, Outcome::NotWritten),
            Action::Unknown { ticket } => self.settle(ticket.0, Outcome::Unknown),
            Action::Failed(error) => self.violations.push(error.to_string()),
            _ => {}
        }
    }

    fn settle(&mut self, id: u64, outcome: Outcome) {
        let Some(found) = self.outcomes.get_mut(&id) else {
            return self.violations.push(format!("{id} was never appended"));
        };
        if *found != Outcome::Open {
            let text = format!("{id} is {outcome:?} after it was {found:?}");
            self.violations.push(text);
        }
        *found = outcome;
    }

    /// Compares all outcomes with the final states of all slices.
    pub fn check<'a>(&mut self, states: impl Iterator<Item = &'a Ledger>) {
        let mut found: BTreeMap<u64, u32> = BTreeMap::new();
        for id in states.flat_map(Ledger::ids) {
            *found.entry(id).or_default() += 1;
        }
        for (id, outcome) in &self.outcomes {
            let applied = found.remove(id).unwrap_or(0);
            let consistent = match outcome {
                Outcome::Durable => applied == 1,
                Outcome::NotWritten => applied == 0,
                Outcome::Open | Outcome::Unknown => applied <= 1,
            };
            if !consistent {
                let text = format!("{id} is {outcome:?} and applied {applied} times");
                self.violations.push(text);
            }
        }
        let not_appended = found.keys().map(|id| format!("{id} was never appended"));
        self.violations.extend(not_appended);
    }
}
