//! A journal image that keeps every applied record, to detect lost and
//! duplicate records.

use {
    filbertbend_coordination::journal::{Bucket, Image, Malformed},
    filbertbend_state::hash,
    serde::{Deserialize, Serialize},
};

/// A record with a unique number.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The number, unique within a session.
    pub id: u64,
    /// Padding that gives the record its size.
    pub body: Vec<u8>,
}

/// The applied lines of each bucket, in the order of their application.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Ledger {
    buckets: [Vec<Line>; 16],
}

impl Ledger {
    /// Returns the numbers of all lines, repeated if a line was applied twice.
    pub fn ids(&self) -> impl Iterator<Item = u64> + '_ {
        self.buckets.iter().flatten().map(|line| line.id)
    }
}

impl Image for Ledger {
    type Record = Line;

    fn bucket(record: &Line) -> Bucket {
        Bucket::of(hash::of(record.id.to_le_bytes()))
    }

    fn apply(&mut self, record: &Line) {
        self.buckets[Self::bucket(record).index()].push(record.clone());
    }

    fn encode(&self, bucket: Bucket) -> Vec<u8> {
        let lines = &self.buckets[bucket.index()];
        if lines.is_empty() {
            return Vec::new();
        }
        serde_json::to_vec(lines).unwrap_or_default()
    }

    fn decode(&mut self, bucket: Bucket, bytes: &[u8]) -> Result<(), Malformed> {
        self.buckets[bucket.index()] = serde_json::from_slice(bytes).map_err(|_| Malformed)?;
        Ok(())
    }
}
