//! Replaces old journal entries with segments that hold the state.
//!
//! A compaction may be interrupted at any point without losing data. It writes
//! segments under new keys first, then the manifest that refers to them, and
//! deletes old values only after the write of the manifest is confirmed. The
//! first compaction of an ownership also deletes the values that interrupted
//! compactions of previous owners left behind.

use {
    super::{
        budget::Reservation,
        client::{Client, Context, Progress, Write},
        error::{Error, Fault},
        image::{Bucket, Image},
        key,
        recovery::{Recovered, TailEntry, PAGE_ENTRIES},
        value::{self, Manifest, Segment},
        Limits,
    },
    crate::store::{Answer, Call, Expect, Pair, Ticket, Version},
    filbertbend_state::{id, time::Instant},
    std::{
        collections::{BTreeSet, VecDeque},
        sync::Arc,
    },
};

/// Appends are blocked once the entries reach this multiple of the compaction
/// threshold, which bounds the length of a recovery.
const BACKPRESSURE_FACTOR: usize = 8;
/// Parts of segments in one page of the sweep.
const PAGE_PARTS: u32 = 4;

/// The result of a compaction that is not in force yet.
struct Draft {
    manifest: Manifest,
    /// Keys of the segment parts that the manifest replaces.
    replaced: Vec<Arc<str>>,
}

enum Stage {
    Idle,
    Segments(VecDeque<Write>, Box<Draft>),
    Manifest(Write, Box<Draft>),
    Delete(Option<Ticket>),
    SweepEntries(Option<Ticket>),
    SweepSegments(Option<Ticket>),
}

/// Effect of an answer on the compaction.
pub(super) enum Outcome {
    /// The answer belongs to a call that the compactor did not issue.
    Ignored,
    /// The answer was handled; the ownership goes on.
    Pending,
    /// A newer owner has written the manifest.
    Lost(id::Epoch),
    /// A stored value is damaged or missing.
    Failed(Error),
}

/// Runs the compactions of one ownership.
pub(super) struct Compactor {
    slice: id::Slice,
    owner: id::Entry,
    epoch: id::Epoch,
    limits: Limits,
    manifest: Option<(Manifest, Version)>,
    dirty: [bool; 16],
    tail: VecDeque<TailEntry>,
    tail_bytes: usize,
    stage: Stage,
    reservation: Reservation,
    to_delete: VecDeque<Arc<str>>,
    /// The last key of the previous page of the sweep, if it is not complete.
    sweep_after: Option<Arc<str>>,
    swept_entries: bool,
    swept_segments: bool,
}

impl Compactor {
    pub(super) fn new<I>(
        slice: id::Slice,
        owner: id::Entry,
        limits: Limits,
        found: &mut Recovered<I>,
    ) -> Self {
        let tail = std::mem::take(&mut found.tail);
        Self {
            slice,
            owner,
            epoch: found.epoch,
            limits,
            manifest: found.manifest.take(),
            dirty: found.dirty,
            tail_bytes: tail.iter().map(|entry| entry.bytes).sum(),
            tail,
            stage: Stage::Idle,
            reservation: Reservation::default(),
            to_delete: VecDeque::new(),
            sweep_after: None,
            swept_entries: false,
            swept_segments: false,
        }
    }

    /// Counts an entry that has become durable.
    pub(super) fn add_entry(&mut self, seq: u64, bytes: usize) {
        self.tail_bytes += bytes;
        self.tail.push_back(TailEntry {
            seq,
            bytes,
            fence: false,
        });
    }

    pub(super) fn mark_dirty(&mut self, bucket: Bucket) {
        self.dirty[bucket.index()] = true;
    }

    /// Returns whether appends must wait for a compaction.
    pub(super) fn blocks_appends(&self) -> bool {
        self.tail.len() >= BACKPRESSURE_FACTOR * self.limits.compact_entries
            || self.tail_bytes >= BACKPRESSURE_FACTOR * self.limits.compact_bytes
    }

    /// Starts a compaction if one is due.
    pub(super) fn start_if_due<I: Image>(&mut self, image: &I, client: &mut Client) {
        let due = self.tail.len() >= self.limits.compact_entries
            || self.tail_bytes >= self.limits.compact_bytes;
        if !due || !matches!(self.stage, Stage::Idle) {
            return;
        }
        let Some(base) = self.tail.back().map(|entry| entry.seq) else {
            return;
        };
        let old = self.manifest.as_ref().map(|(manifest, _)| manifest);
        let mut segments = old.map_or([None; 16], |manifest| manifest.segments);
        let mut writes = VecDeque::new();
        let mut replaced = Vec::new();
        for bucket in Bucket::all().filter(|bucket| self.dirty[bucket.index()]) {
            let segment = &mut segments[bucket.index()];
            replaced.extend(
                segment
                    .iter()
                    .flat_map(|s| part_keys(self.slice, bucket, *s)),
            );
            let bytes = image.encode(bucket);
            let fewest = bytes.len().div_ceil(usize::from(value::PART_LIMIT));
            let part_bytes = self.limits.part_bytes.max(fewest);
            *segment = (!bytes.is_empty()).then(|| Segment {
                seq: base,
                parts: bytes.chunks(part_bytes).len() as u16,
            });
            for (part, chunk) in (0..).zip(bytes.chunks(part_bytes)) {
                let key = key::segment(self.slice, bucket, base, part);
                let value = value::encode_part(self.slice, bucket, base, part, chunk);
                writes.push_back(Write::new(key, value, Expect::Absent));
            }
        }
        let manifest = Manifest {
            slice: self.slice,
            epoch: self.epoch,
            owner: self.owner.clone(),
            nonce: client.nonce(),
            base,
            segments,
            fences: self.fences(),
        };
        self.dirty = [false; 16];
        let draft = Draft { manifest, replaced };
        self.stage = Stage::Segments(writes, Box::new(draft));
        self.after_segment();
    }

    /// Returns the sequence numbers of the `Epoch` entries to keep. The sweep
    /// deletes older ones.
    fn fences(&self) -> Vec<u64> {
        let old = self.manifest.iter().flat_map(|(m, _)| &m.fences).copied();
        let new = self
            .tail
            .iter()
            .filter(|entry| entry.fence)
            .map(|entry| entry.seq);
        let mut all: Vec<u64> = old.chain(new).collect();
        all.split_off(all.len().saturating_sub(self.limits.fences))
    }

    /// Continues with the manifest once all segments are written.
    fn after_segment(&mut self) {
        self.stage = match std::mem::replace(&mut self.stage, Stage::Idle) {
            Stage::Segments(writes, draft) if writes.is_empty() => {
                let expect = self
                    .manifest
                    .as_ref()
                    .map_or(Expect::Absent, |(_, version)| Expect::At(*version));
                let value = value::encode_manifest(&draft.manifest);
                let write = Write::new(key::manifest(self.slice), value, expect);
                Stage::Manifest(write, draft)
            }
            stage => stage,
        };
    }

    /// Issues the call that is due.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>, client: &mut Client) {
        let slice = self.slice;
        let after = self.sweep_after.clone();
        let list = |prefix, limit| Call::List {
            prefix,
            after,
            limit,
        };
        match &mut self.stage {
            Stage::Idle => {}
            Stage::Segments(writes, _) => {
                if let Some(write) = writes.front_mut() {
                    write.poll(cx, client, &mut self.reservation);
                }
            }
            Stage::Manifest(write, _) => write.poll(cx, client, &mut self.reservation),
            _ if !client.ready(cx.now) => {}
            Stage::Delete(sent @ None) => {
                if let Some(key) = self.to_delete.front().cloned() {
                    if self.reservation.take(cx.now, cx.budget) {
                        *sent = Some(client.call(cx, Call::Delete { key, version: None }));
                    }
                }
            }
            Stage::SweepEntries(sent @ None) => {
                *sent = Some(client.call(cx, list(key::journal(slice), PAGE_ENTRIES)));
            }
            Stage::SweepSegments(sent @ None) => {
                *sent = Some(client.call(cx, list(key::segments(slice), PAGE_PARTS)));
            }
            Stage::Delete(_) | Stage::SweepEntries(_) | Stage::SweepSegments(_) => {}
        }
    }

    pub(super) fn wake(&self, client: &Client) -> Option<Instant> {
        match &self.stage {
            Stage::Segments(writes, _) => writes.front()?.wake(client, &self.reservation),
            Stage::Manifest(write, _) => write.wake(client, &self.reservation),
            Stage::Delete(None) => Some(
                self.reservation
                    .at()
                    .unwrap_or_default()
                    .max(client.not_before()),
            ),
            Stage::SweepEntries(None) | Stage::SweepSegments(None) => Some(client.not_before()),
            _ => None,
        }
    }

    pub(super) fn answer(&mut self, ticket: Ticket, answer: &Answer) -> Outcome {
        match &mut self.stage {
            Stage::Segments(writes, _) => {
                let progress = writes.front_mut().and_then(|w| w.answer(ticket, answer));
                self.segment_progress(progress)
            }
            Stage::Manifest(write, _) => {
                let progress = write.answer(ticket, answer);
                self.manifest_progress(progress)
            }
            Stage::Delete(sent) | Stage::SweepEntries(sent) | Stage::SweepSegments(sent) => {
                if sent.take_if(|sent| *sent == ticket).is_none() {
                    return Outcome::Ignored;
                }
                match (&self.stage, answer) {
                    (Stage::Delete(_), Answer::Written(_) | Answer::Conflict(_)) => {
                        self.key_deleted()
                    }
                    (Stage::Delete(_), _) => {}
                    (_, Answer::Page(pairs)) => self.page_swept(pairs),
                    // Any other answer, including a lost one, repeats the call.
                    _ => {}
                }
                Outcome::Pending
            }
            Stage::Idle => Outcome::Ignored,
        }
    }

    fn segment_progress(&mut self, progress: Option<Progress>) -> Outcome {
        match progress {
            None => return Outcome::Ignored,
            Some(Progress::Done(_)) => {
                if let Stage::Segments(writes, _) = &mut self.stage {
                    writes.pop_front();
                }
                self.after_segment();
            }
            Some(Progress::Conflict(Some(pair))) => {
                // Segment keys contain a sequence number of this epoch, so no
                // other owner can have written this one.
                return self.damaged(pair.key, Fault::Epoch);
            }
            Some(_) => {}
        }
        Outcome::Pending
    }

    fn manifest_progress(&mut self, progress: Option<Progress>) -> Outcome {
        match progress {
            None => return Outcome::Ignored,
            Some(Progress::Done(version)) => self.manifest_written(version),
            Some(Progress::Conflict(pair)) => return self.manifest_conflict(pair),
            Some(Progress::Pending | Progress::NotApplied) => {}
        }
        Outcome::Pending
    }

    /// Handles a manifest that another owner has written meanwhile.
    fn manifest_conflict(&mut self, pair: Option<Pair>) -> Outcome {
        let Some(pair) = pair else {
            return Outcome::Failed(Error::Missing {
                slice: self.slice,
                key: key::manifest(self.slice),
            });
        };
        let found = match value::decode_manifest(self.slice, &pair.value) {
            Ok(found) => found,
            Err(fault) => return self.damaged(pair.key, fault),
        };
        if found.epoch > self.epoch {
            return Outcome::Lost(found.epoch);
        }
        let Stage::Manifest(write, _) = &mut self.stage else {
            return Outcome::Pending;
        };
        if found.epoch == self.epoch || found.base >= self.epoch.0 {
            return self.damaged(pair.key, Fault::Epoch);
        }
        // The compaction of a former owner took effect late. Its base is below
        // this epoch, and this compaction also replaces the buckets that it
        // replaced, so this manifest can overwrite it. The sweep that follows
        // the first manifest of an ownership deletes its segments.
        write.retarget(pair.version);
        Outcome::Pending
    }

    fn damaged(&self, key: Arc<str>, fault: Fault) -> Outcome {
        Outcome::Failed(Error::Damaged {
            slice: self.slice,
            key,
            fault,
        })
    }

    /// Queues the values that the manifest in force no longer needs for
    /// deletion.
    fn manifest_written(&mut self, version: Version) {
        let Stage::Manifest(_, draft) = std::mem::replace(&mut self.stage, Stage::Delete(None))
        else {
            return;
        };
        let slice = self.slice;
        self.to_delete.extend(draft.replaced);
        let below = self
            .tail
            .partition_point(|entry| entry.seq <= draft.manifest.base);
        for entry in self.tail.drain(..below) {
            self.tail_bytes -= entry.bytes;
            if !entry.fence {
                self.to_delete.push_back(key::entry(slice, entry.seq));
            }
        }
        self.manifest = Some((draft.manifest, version));
        self.next_stage();
    }

    fn key_deleted(&mut self) {
        self.to_delete.pop_front();
        self.next_stage();
    }

    /// Selects the next stage after a deletion or a page of the sweep.
    fn next_stage(&mut self) {
        self.stage = if !self.to_delete.is_empty() {
            Stage::Delete(None)
        } else if !self.swept_entries {
            Stage::SweepEntries(None)
        } else if !self.swept_segments {
            Stage::SweepSegments(None)
        } else {
            Stage::Idle
        };
    }

    /// Handles a page of the sweep and queues unreferenced keys for deletion.
    ///
    /// Only keys up to the base are considered: a newer owner's segments have
    /// higher sequence numbers and may not be in a manifest yet.
    fn page_swept(&mut self, pairs: &[Pair]) {
        let Some((manifest, _)) = &self.manifest else {
            return;
        };
        let entries = matches!(self.stage, Stage::SweepEntries(_));
        let limit = if entries { PAGE_ENTRIES } else { PAGE_PARTS };
        let kept: BTreeSet<Arc<str>> = kept_keys(self.slice, manifest).collect();
        let mut complete = pairs.len() < limit as usize;
        for pair in pairs {
            let seq = if entries {
                key::entry_seq(self.slice, &pair.key)
            } else {
                key::segment_seq(self.slice, &pair.key)
            };
            let below = seq.is_some_and(|seq| seq <= manifest.base);
            if below && !kept.contains(&pair.key) {
                self.to_delete.push_back(pair.key.clone());
            }
            complete |= entries && !below;
        }
        self.sweep_after = pairs.last().map(|pair| pair.key.clone());
        if complete {
            self.sweep_after = None;
            self.swept_segments = !entries;
            self.swept_entries = true;
        }
        self.next_stage();
    }
}

fn part_keys(slice: id::Slice, bucket: Bucket, segment: Segment) -> impl Iterator<Item = Arc<str>> {
    (0..segment.parts).map(move |part| key::segment(slice, bucket, segment.seq, part))
}

/// Returns every key that `manifest` refers to.
fn kept_keys(slice: id::Slice, manifest: &Manifest) -> impl Iterator<Item = Arc<str>> + '_ {
    let fences = manifest
        .fences
        .iter()
        .map(move |seq| key::entry(slice, *seq));
    let segments = Bucket::all().filter_map(|b| Some((b, manifest.segments[b.index()]?)));
    fences.chain(segments.flat_map(move |(bucket, segment)| part_keys(slice, bucket, segment)))
}
