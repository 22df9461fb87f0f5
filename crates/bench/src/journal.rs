//! Runs the journals of several slices on a simulated store.

use {
    filbertbend_coordination::{
        journal::{Action, Bucket, Budget, Event, Image, Journal, Limits, Malformed, Ticket},
        store::Call,
    },
    filbertbend_standin::store::network::{Faults, Network},
    filbertbend_state::{hash, id, time::Instant},
    hdrhistogram::Histogram,
    rand_chacha::{rand_core::SeedableRng, ChaCha8Rng},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// A journal record that adds or removes a live task.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Record {
    /// A task starts; `payload` stands for its specification and placement.
    Start {
        /// Number of the task.
        task: u64,
        /// Bytes that are kept while the task is live.
        payload: Vec<u8>,
    },
    /// A task has ended.
    End {
        /// Number of the task.
        task: u64,
    },
}

impl Record {
    fn task(&self) -> u64 {
        match self {
            Self::Start { task, .. } | Self::End { task } => *task,
        }
    }
}

/// The live tasks of one slice.
#[derive(Clone, Debug, Default)]
pub struct Tasks {
    buckets: [BTreeMap<u64, Vec<u8>>; 16],
}

impl Tasks {
    /// Returns the number of live tasks.
    pub fn len(&self) -> usize {
        self.buckets.iter().map(BTreeMap::len).sum()
    }

    /// Returns whether no task is live.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the encoded size of the whole state in bytes.
    pub fn total_bytes(&self) -> usize {
        Bucket::all().map(|bucket| self.encode(bucket).len()).sum()
    }
}

impl Image for Tasks {
    type Record = Record;

    fn bucket(record: &Record) -> Bucket {
        Bucket::of(hash::of(record.task().to_le_bytes()))
    }

    fn apply(&mut self, record: &Record) {
        let bucket = &mut self.buckets[Self::bucket(record).index()];
        match record {
            Record::Start { task, payload } => {
                bucket.insert(*task, payload.clone());
            }
            Record::End { task } => {
                bucket.remove(task);
            }
        }
    }

    fn encode(&self, bucket: Bucket) -> Vec<u8> {
        let tasks = &self.buckets[bucket.index()];
        if tasks.is_empty() {
            return Vec::new();
        }
        let mut bytes = Vec::new();
        for (task, payload) in tasks {
            bytes.extend(task.to_le_bytes());
            bytes.extend((payload.len() as u32).to_le_bytes());
            bytes.extend(payload);
        }
        bytes
    }

    fn decode(&mut self, bucket: Bucket, mut bytes: &[u8]) -> Result<(), Malformed> {
        while !bytes.is_empty() {
            let (task, rest) = bytes.split_first_chunk().ok_or(Malformed)?;
            let (length, rest) = rest.split_first_chunk().ok_or(Malformed)?;
            let length = u32::from_le_bytes(*length) as usize;
            let (payload, rest) = rest.split_at_checked(length).ok_or(Malformed)?;
            let task = u64::from_le_bytes(*task);
            self.buckets[bucket.index()].insert(task, payload.to_vec());
            bytes = rest;
        }
        Ok(())
    }
}

/// The journals of all slices of a region, divided among its entries.
pub struct Region {
    /// The current simulated time.
    pub now: Instant,
    /// The time at which each store write was sent, in milliseconds.
    pub writes_at: Vec<u64>,
    /// Total bytes of the written values.
    pub written_bytes: u64,
    /// Number of journal entries written.
    pub appends: u64,
    /// Milliseconds from the append of a start record until it was durable.
    pub append_latencies: Histogram<u64>,
    network: Network<usize>,
    journals: Vec<Journal<Tasks>>,
    budgets: Vec<Budget>,
    appended_at: Vec<Option<u64>>,
    recovered_count: usize,
}

impl Region {
    /// Creates `slices` journals for `entries` entries, each with an equal share
    /// of `writes_per_s`, and runs until all of them have recovered.
    pub fn new(slices: usize, entries: usize, writes_per_s: u32, latency_ms: u64) -> Self {
        let faults = Faults {
            latency_ms,
            ..Faults::default()
        };
        let writes_per_s_each = writes_per_s / entries as u32;
        let mut region = Self {
            now: Instant(1),
            writes_at: Vec::new(),
            written_bytes: 0,
            appends: 0,
            append_latencies: Histogram::new(3).expect("three digits are within the limit"),
            network: Network::new(faults, ChaCha8Rng::seed_from_u64(0)),
            journals: Vec::new(),
            budgets: vec![Budget::new(writes_per_s_each, 1); entries],
            appended_at: Vec::new(),
            recovered_count: 0,
        };
        for slice in 0..slices {
            let journal = region.journal(slice, 1 + slice as u64);
            region.journals.push(journal);
            region.step(slice, Event::Recover);
        }
        region.run_until_all_recovered(slices);
        region
    }

    fn journal(&self, slice: usize, seed: u64) -> Journal<Tasks> {
        let entry = id::Entry::new(format!("entry-{}", slice % self.budgets.len()));
        let entry = entry.expect("the name is valid");
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Journal::new(id::Slice(slice as u16), entry, Limits::default(), rng)
    }

    fn run_until_all_recovered(&mut self, slices: usize) {
        while self.recovered_count < slices {
            self.advance_ms();
        }
    }

    /// Returns the number of live tasks in all slices.
    pub fn live_tasks(&self) -> usize {
        let images = self.journals.iter().filter_map(Journal::image);
        images.map(Tasks::len).sum()
    }

    /// Returns the number of records that are not yet durable.
    pub fn pending_records(&self) -> usize {
        self.journals.iter().map(Journal::pending).sum()
    }

    /// Returns the state of a slice, if its journal has recovered.
    pub fn image(&self, slice: usize) -> Option<&Tasks> {
        self.journals[slice].image()
    }

    /// Appends a record to the journal of the slice that its task hashes to.
    pub fn append(&mut self, record: Record) {
        let slices = self.journals.len() as u16;
        let slice = hash::slice(record.task().to_le_bytes(), slices);
        let start = matches!(record, Record::Start { .. });
        let ticket = Ticket(self.appended_at.len() as u64);
        self.appended_at.push(start.then_some(self.now.0));
        let event = Event::Append { ticket, record };
        self.step(usize::from(slice.0), event);
    }

    /// Replaces the owner of a slice and returns the duration of the recovery in
    /// simulated milliseconds.
    pub fn replace_owner(&mut self, slice: usize) -> u64 {
        let started_ms = self.now.0;
        self.journals[slice] = self.journal(slice, 1_000_000 + started_ms);
        self.recovered_count -= 1;
        self.step(slice, Event::Recover);
        self.run_until_all_recovered(self.journals.len());
        self.now.0 - started_ms
    }

    /// Advances the simulated time by one millisecond.
    pub fn advance_ms(&mut self) {
        self.now = Instant(self.now.0 + 1);
        while let Some((slice, ticket, answer)) = self.network.receive(self.now) {
            self.step(slice, Event::Answer { ticket, answer });
        }
        for slice in 0..self.journals.len() {
            if self.journals[slice].wake().is_some_and(|at| at <= self.now) {
                self.step(slice, Event::Tick);
            }
        }
    }

    /// Returns the largest number of store writes within any second.
    pub fn peak_writes_per_s(&self) -> usize {
        let mut first = 0;
        let mut peak = 0;
        for (last, at) in self.writes_at.iter().enumerate() {
            while self.writes_at[first] + 1000 <= *at {
                first += 1;
            }
            peak = peak.max(last - first + 1);
        }
        peak
    }

    fn step(&mut self, slice: usize, event: Event<Record>) {
        let mut actions = Vec::new();
        let entry = slice % self.budgets.len();
        let budget = &mut self.budgets[entry];
        self.journals[slice].step(self.now, event, budget, &mut actions);
        for action in actions {
            match action {
                Action::Call { ticket, call } => {
                    self.count_write(&call);
                    self.network.send(self.now, slice, ticket, call);
                }
                Action::Recovered { .. } => self.recovered_count += 1,
                Action::Durable { ticket } => {
                    if let Some(at) = self.appended_at[ticket.0 as usize] {
                        self.append_latencies.saturating_record(self.now.0 - at);
                    }
                }
                other => panic!("unexpected without faults: {other:?}"),
            }
        }
    }

    fn count_write(&mut self, call: &Call) {
        match call {
            Call::Put { key, value, .. } => {
                self.written_bytes += value.len() as u64;
                self.appends += u64::from(key.contains("/journal/"));
            }
            Call::Delete { .. } => {}
            _ => return,
        }
        self.writes_at.push(self.now.0);
    }
}
