//! Reads the state of a slice from the store and begins a new epoch.
//!
//! A former owner may still write while this runs. Three checks keep the
//! result exact: sequence numbers must have no gap, a missing value is an error
//! only if the manifest has not changed meanwhile, and the manifest is read once
//! more after the `Epoch` entry is written. An `Epoch` entry that is not above
//! the base found there has taken the key of an entry that a compaction had
//! deleted, so it fences no former owner and the recovery starts again.

use {
    super::{
        budget::Reservation,
        client::{Client, Context, Progress, Write},
        error::{Error, Fault},
        image::{Bucket, Image},
        key,
        value::{self, Header, Kind, Manifest},
        Predecessor,
    },
    crate::store::{Answer, Call, Expect, Pair, Ticket, Version},
    filbertbend_state::{id, time::Instant},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
    },
};

/// Entries in one page of a listing, which bounds the size of the answer.
pub(super) const PAGE_ENTRIES: u32 = 32;
/// Maximum number of concurrent reads of segment parts.
const READ_WINDOW: usize = 8;

/// A journal entry after the base of the manifest.
#[derive(Clone, Copy, Debug)]
pub(super) struct TailEntry {
    pub(super) seq: u64,
    pub(super) bytes: usize,
    pub(super) fence: bool,
}

/// The result of a recovery.
pub(super) struct Recovered<I> {
    pub(super) image: I,
    pub(super) epoch: id::Epoch,
    pub(super) predecessor: Predecessor,
    pub(super) manifest: Option<(Manifest, Version)>,
    pub(super) tail: VecDeque<TailEntry>,
    /// Whether the entries after the base changed each bucket.
    pub(super) dirty: [bool; 16],
}

/// Effect of an answer on the recovery.
pub(super) enum Outcome<I> {
    /// The recovery needs more answers.
    Pending,
    /// The state is complete and the epoch has begun.
    Ready(Box<Recovered<I>>),
    /// Another owner has begun an epoch.
    Lost(id::Epoch),
    /// A stored value is damaged or missing.
    Failed(Error),
}

enum Stage {
    Manifest(Option<Ticket>),
    Segments(Segments),
    Entries(Option<Ticket>),
    Epoch(Box<Write>),
    Verify(Option<Ticket>, Version),
    /// A value is missing, which is an error unless the manifest has changed.
    Recheck(Option<Ticket>, Error),
}

#[derive(Default)]
struct Segments {
    wanted: VecDeque<(Bucket, u64, u16)>,
    reading: BTreeMap<Ticket, (Bucket, u64, u16)>,
    found: BTreeMap<(Bucket, u16), Vec<u8>>,
}

/// A recovery in progress.
pub(super) struct Recovery<I> {
    slice: id::Slice,
    owner: id::Entry,
    stage: Stage,
    reservation: Reservation,
    image: I,
    manifest: Option<(Manifest, Version)>,
    tail: VecDeque<TailEntry>,
    dirty: [bool; 16],
    /// The sequence number of the last entry that the image contains.
    last: u64,
    /// The epoch that wrote this entry.
    epoch: id::Epoch,
    predecessor: Predecessor,
}

type Step<T> = Result<T, Error>;

impl<I: Image> Recovery<I> {
    pub(super) fn new(slice: id::Slice, owner: id::Entry) -> Self {
        Self {
            slice,
            owner,
            stage: Stage::Manifest(None),
            reservation: Reservation::default(),
            image: I::default(),
            manifest: None,
            tail: VecDeque::new(),
            dirty: [false; 16],
            last: 0,
            epoch: id::Epoch(0),
            predecessor: Predecessor::None,
        }
    }

    fn restart(&mut self) {
        *self = Self::new(self.slice, self.owner.clone());
    }

    /// Issues the calls that are due.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>, client: &mut Client) {
        let (slice, last) = (self.slice, self.last);
        if !client.ready(cx.now) {
            return;
        }
        match &mut self.stage {
            Stage::Epoch(write) => write.poll(cx, client, &mut self.reservation),
            Stage::Segments(segments) => segments.poll(cx, client, slice),
            Stage::Manifest(ticket) | Stage::Verify(ticket, _) | Stage::Recheck(ticket, _) => {
                ticket.get_or_insert_with(|| client.get(cx, key::manifest(slice)));
            }
            Stage::Entries(ticket) => {
                let call = Call::List {
                    prefix: key::journal(slice),
                    after: Some(key::entry(slice, last)),
                    limit: PAGE_ENTRIES,
                };
                ticket.get_or_insert_with(|| client.call(cx, call));
            }
        }
    }

    pub(super) fn wake(&self, client: &Client) -> Option<Instant> {
        let due = match &self.stage {
            Stage::Epoch(write) => return write.wake(client, &self.reservation),
            Stage::Segments(segments) => segments.can_read(),
            Stage::Manifest(ticket)
            | Stage::Entries(ticket)
            | Stage::Verify(ticket, _)
            | Stage::Recheck(ticket, _) => ticket.is_none(),
        };
        due.then_some(client.not_before())
    }

    pub(super) fn answer(
        &mut self,
        cx: &mut Context<'_>,
        client: &mut Client,
        ticket: Ticket,
        answer: Answer,
    ) -> Outcome<I> {
        let outcome = match &mut self.stage {
            Stage::Epoch(write) => match write.answer(ticket, &answer) {
                Some(progress) => self.epoch_progress(client, progress),
                None => Ok(Outcome::Pending),
            },
            Stage::Segments(_) => self.segment_answer(ticket, answer),
            Stage::Manifest(sent)
            | Stage::Entries(sent)
            | Stage::Verify(sent, _)
            | Stage::Recheck(sent, _) => {
                if sent.take_if(|sent| *sent == ticket).is_none() {
                    return Outcome::Pending;
                }
                match (&self.stage, answer) {
                    (Stage::Entries(_), Answer::Page(pairs)) => self.page_answer(client, &pairs),
                    (Stage::Entries(_), _) => Ok(Outcome::Pending),
                    (_, Answer::Value(pair)) => self.manifest_answer(cx, client, pair),
                    // Any other answer, including a lost one, repeats the read.
                    _ => Ok(Outcome::Pending),
                }
            }
        };
        outcome.unwrap_or_else(Outcome::Failed)
    }

    fn manifest_answer(
        &mut self,
        cx: &mut Context<'_>,
        client: &mut Client,
        pair: Option<Pair>,
    ) -> Step<Outcome<I>> {
        match &self.stage {
            Stage::Manifest(_) => self.load_manifest(pair)?,
            Stage::Verify(_, version) => {
                let version = *version;
                return self.verify(cx, client, pair, version);
            }
            Stage::Recheck(_, error) => {
                if self.manifest_version() == pair.map(|pair| pair.version) {
                    return Err(error.clone());
                }
                self.restart();
            }
            _ => {}
        }
        Ok(Outcome::Pending)
    }

    fn manifest_version(&self) -> Option<Version> {
        self.manifest.as_ref().map(|(_, version)| *version)
    }

    fn decode_manifest(&self, pair: &Pair) -> Step<Manifest> {
        value::decode_manifest(self.slice, &pair.value)
            .map_err(|fault| self.damaged(pair.key.clone(), fault))
    }

    fn damaged(&self, key: Arc<str>, fault: Fault) -> Error {
        Error::Damaged {
            slice: self.slice,
            key,
            fault,
        }
    }

    fn missing(&self, key: Arc<str>) -> Error {
        Error::Missing {
            slice: self.slice,
            key,
        }
    }

    /// Decodes the manifest and continues with its segments.
    fn load_manifest(&mut self, pair: Option<Pair>) -> Step<()> {
        self.stage = Stage::Entries(None);
        let Some(pair) = pair else { return Ok(()) };
        let manifest = self.decode_manifest(&pair)?;
        let mut segments = Segments::default();
        for bucket in Bucket::all() {
            if let Some(segment) = manifest.segments[bucket.index()] {
                let parts = (0..segment.parts).map(|part| (bucket, segment.seq, part));
                segments.wanted.extend(parts);
            }
        }
        if !segments.wanted.is_empty() {
            self.stage = Stage::Segments(segments);
        }
        self.last = manifest.base;
        self.epoch = manifest.epoch;
        self.predecessor = Predecessor::Unreleased;
        self.manifest = Some((manifest, pair.version));
        Ok(())
    }

    fn segment_answer(&mut self, ticket: Ticket, answer: Answer) -> Step<Outcome<I>> {
        let slice = self.slice;
        let Stage::Segments(segments) = &mut self.stage else {
            return Ok(Outcome::Pending);
        };
        let Some(wanted) = segments.reading.remove(&ticket) else {
            return Ok(Outcome::Pending);
        };
        let (bucket, seq, part) = wanted;
        match answer {
            Answer::Value(Some(pair)) => {
                let bytes = value::decode_part(slice, bucket, seq, part, &pair.value);
                let bytes = bytes.map(<[u8]>::to_vec);
                let bytes = bytes.map_err(|fault| Error::Damaged {
                    slice,
                    key: pair.key,
                    fault,
                })?;
                segments.found.insert((bucket, part), bytes);
                if segments.complete() {
                    self.decode_segments()?;
                }
            }
            Answer::Value(None) => {
                let error = self.missing(key::segment(slice, bucket, seq, part));
                self.stage = Stage::Recheck(None, error);
            }
            _ => segments.wanted.push_front(wanted),
        }
        Ok(Outcome::Pending)
    }

    fn decode_segments(&mut self) -> Step<()> {
        let Stage::Segments(segments) = &mut self.stage else {
            return Ok(());
        };
        let mut buckets: BTreeMap<Bucket, Vec<u8>> = BTreeMap::new();
        for ((bucket, _), bytes) in std::mem::take(&mut segments.found) {
            buckets.entry(bucket).or_default().extend(bytes);
        }
        for (bucket, bytes) in buckets {
            let decoded = self.image.decode(bucket, &bytes);
            decoded.map_err(|malformed| {
                let manifest = self.manifest.as_ref().map(|(manifest, _)| manifest);
                let segment = manifest.and_then(|manifest| manifest.segments[bucket.index()]);
                let seq = segment.map_or(0, |segment| segment.seq);
                self.damaged(key::segment(self.slice, bucket, seq, 0), malformed.into())
            })?;
        }
        self.stage = Stage::Entries(None);
        Ok(())
    }

    fn page_answer(&mut self, client: &mut Client, pairs: &[Pair]) -> Step<Outcome<I>> {
        for pair in pairs {
            let seq = key::entry_seq(self.slice, &pair.key)
                .ok_or_else(|| self.damaged(pair.key.clone(), Fault::Key))?;
            if seq != self.last + 1 {
                let error = self.missing(key::entry(self.slice, self.last + 1));
                self.stage = Stage::Recheck(None, error);
                return Ok(Outcome::Pending);
            }
            self.apply_entry(pair)?;
        }
        if pairs.len() < PAGE_ENTRIES as usize {
            self.write_epoch(client);
        }
        Ok(Outcome::Pending)
    }

    /// Applies the entry with the next sequence number.
    fn apply_entry(&mut self, pair: &Pair) -> Step<Kind> {
        let seq = self.last + 1;
        let (header, records) = value::decode_entry::<I::Record>(self.slice, seq, &pair.value)
            .map_err(|fault| self.damaged(pair.key.clone(), fault))?;
        let fence = header.kind == Kind::Epoch;
        if !fence && header.epoch != self.epoch {
            return Err(self.damaged(pair.key.clone(), Fault::Epoch));
        }
        for record in &records {
            self.dirty[I::bucket(record).index()] = true;
            self.image.apply(record);
        }
        self.epoch = header.epoch;
        self.last = seq;
        self.predecessor = match header.kind {
            Kind::Release(leases_end_in) => Predecessor::Released { leases_end_in },
            _ => Predecessor::Unreleased,
        };
        self.tail.push_back(TailEntry {
            seq,
            bytes: pair.value.len(),
            fence,
        });
        Ok(header.kind)
    }

    fn write_epoch(&mut self, client: &mut Client) {
        let seq = self.last + 1;
        let header = Header {
            slice: self.slice,
            seq,
            epoch: id::Epoch(seq),
            owner: self.owner.clone(),
            nonce: client.nonce(),
            kind: Kind::Epoch,
        };
        let value = value::encode_entry(&header, &[]);
        let write = Write::new(key::entry(self.slice, seq), value, Expect::Absent);
        self.stage = Stage::Epoch(Box::new(write));
    }

    fn epoch_progress(&mut self, client: &mut Client, progress: Progress) -> Step<Outcome<I>> {
        match progress {
            Progress::Pending | Progress::NotApplied => {}
            Progress::Done(version) => self.stage = Stage::Verify(None, version),
            Progress::Conflict(None) => self.restart(),
            Progress::Conflict(Some(pair)) => {
                // A former owner appended one more entry first.
                if self.apply_entry(&pair)? == Kind::Epoch {
                    return Ok(Outcome::Lost(self.epoch));
                }
                self.write_epoch(client);
            }
        }
        Ok(Outcome::Pending)
    }

    /// Checks whether the `Epoch` entry at `version` fences former owners.
    fn verify(
        &mut self,
        cx: &mut Context<'_>,
        client: &mut Client,
        pair: Option<Pair>,
        version: Version,
    ) -> Step<Outcome<I>> {
        let seq = self.last + 1;
        if self.manifest_version() != pair.as_ref().map(|pair| pair.version) {
            let Some(pair) = pair else {
                return Err(self.missing(key::manifest(self.slice)));
            };
            let manifest = self.decode_manifest(&pair)?;
            if manifest.epoch.0 > seq {
                return Ok(Outcome::Lost(manifest.epoch));
            }
            if manifest.base >= seq {
                let call = Call::Delete {
                    key: key::entry(self.slice, seq),
                    version: Some(version),
                };
                client.call(cx, call);
                self.restart();
                return Ok(Outcome::Pending);
            }
            // A former owner completed a compaction meanwhile. It contains only
            // entries that were read here, so the image is still correct.
            self.tail.retain(|entry| entry.seq > manifest.base);
            self.manifest = Some((manifest, pair.version));
        }
        Ok(Outcome::Ready(Box::new(self.finish(seq))))
    }

    fn finish(&mut self, seq: u64) -> Recovered<I> {
        self.tail.push_back(TailEntry {
            seq,
            bytes: value::OVERHEAD_BYTES,
            fence: true,
        });
        Recovered {
            image: std::mem::take(&mut self.image),
            epoch: id::Epoch(seq),
            predecessor: self.predecessor,
            manifest: self.manifest.take(),
            tail: std::mem::take(&mut self.tail),
            dirty: self.dirty,
        }
    }
}

impl Segments {
    fn poll(&mut self, cx: &mut Context<'_>, client: &mut Client, slice: id::Slice) {
        while self.reading.len() < READ_WINDOW {
            let Some(wanted) = self.wanted.pop_front() else {
                return;
            };
            let (bucket, seq, part) = wanted;
            let ticket = client.get(cx, key::segment(slice, bucket, seq, part));
            self.reading.insert(ticket, wanted);
        }
    }

    fn can_read(&self) -> bool {
        !self.wanted.is_empty() && self.reading.len() < READ_WINDOW
    }

    fn complete(&self) -> bool {
        self.wanted.is_empty() && self.reading.is_empty()
    }
}
