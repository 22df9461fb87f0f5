//! What became of each record.

use {
    super::ledger::Ledger, filbertbend_coordination::journal::Action, std::collections::BTreeMap,
};

/// The last report about a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// No final report yet, or its process died.
    Open,
    /// It is durable.
    Durable,
    /// It is certainly not written.
    NotWritten,
    /// It may be written.
    Unknown,
}

/// The fates of all records, and every contradiction among the reports.
#[derive(Debug, Default)]
pub struct Fates {
    fates: BTreeMap<u64, Fate>,
    newest: BTreeMap<(u64, u64), u64>,
    /// What should not have happened, in words.
    pub violations: Vec<String>,
}

impl Fates {
    /// Notes that a record was appended and returns its number.
    pub fn begin(&mut self) -> u64 {
        let id = self.fates.len() as u64 + 1;
        self.fates.insert(id, Fate::Open);
        id
    }

    /// Counts the records with a fate.
    pub fn count(&self, fate: Fate) -> usize {
        self.fates.values().filter(|found| **found == fate).count()
    }

    /// Takes a report of the ownership `number` of the process `life`.
    pub fn take(&mut self, life: u64, number: u64, action: &Action) {
        match action {
            Action::Durable { ticket } => {
                self.settle(ticket.0, Fate::Durable);
                let newest = self.newest.entry((life, number)).or_default();
                if *newest >= ticket.0 {
                    let text = format!("{} durable after {newest}", ticket.0);
                    self.violations.push(text);
                }
                *newest = ticket.0;
            }
            Action::NotWritten { ticket, .. } => self.settle(ticket.0, Fate::NotWritten),
            Action::Unknown { ticket } => self.settle(ticket.0, Fate::Unknown),
            Action::Failed(error) => self.violations.push(error.to_string()),
            _ => {}
        }
    }

    fn settle(&mut self, id: u64, fate: Fate) {
        let Some(found) = self.fates.get_mut(&id) else {
            return self.violations.push(format!("{id} was never appended"));
        };
        if *found != Fate::Open {
            let text = format!("{id} is {fate:?} after it was {found:?}");
            self.violations.push(text);
        }
        *found = fate;
    }

    /// Compares all fates with the final states of all slices.
    pub fn check<'a>(&mut self, states: impl Iterator<Item = &'a Ledger>) {
        let mut found: BTreeMap<u64, u32> = BTreeMap::new();
        for id in states.flat_map(Ledger::ids) {
            *found.entry(id).or_default() += 1;
        }
        for (id, fate) in &self.fates {
            let times = found.remove(id).unwrap_or(0);
            let right = match fate {
                Fate::Durable => times == 1,
                Fate::NotWritten => times == 0,
                Fate::Open | Fate::Unknown => times <= 1,
            };
            if !right {
                let text = format!("{id} is {fate:?} and applied {times} times");
                self.violations.push(text);
            }
        }
        let foreign = found.keys().map(|id| format!("{id} was never appended"));
        self.violations.extend(foreign);
    }
}
