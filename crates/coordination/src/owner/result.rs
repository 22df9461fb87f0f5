//! Stores and reads outputs, inline in the journal or in separate chunks.

use {
    super::{
        state::{Read, Storing},
        write::{refused, STORE_RETRY_AFTER},
        Action, Context, Job, Owner, Record, Reply, Stored, Ticket, CHUNK_LIMIT_BYTES,
        INLINE_LIMIT_BYTES,
    },
    crate::{
        attempt::{Attempt, Output},
        job::{Answer, Phase},
    },
    filbertbend_state::{
        hash, id,
        outcome::{Outcome, Ran, Reason},
        unit::{Bytes, Millis},
    },
    std::{collections::BTreeSet, sync::Arc},
};

/// Returns the store key of one chunk of an output. A key is never written with
/// two values, because an attempt completes only once.
pub fn chunk_key(slice: id::Slice, attempt: Attempt, chunk: usize) -> Arc<str> {
    let id::Task { job, index } = attempt.task;
    format!(
        "slice/{slice}/result/{job}.{index}-{}-{chunk}",
        attempt.number
    )
    .into()
}

/// Returns the number of chunks of a body of `size` bytes.
fn chunk_count(size: Bytes) -> usize {
    (size.0 as usize).div_ceil(CHUNK_LIMIT_BYTES)
}

/// Returns the keys of all chunks that a job's outputs refer to.
pub(super) fn chunk_keys(slice: id::Slice, id: id::Job, job: &Job) -> Vec<Arc<str>> {
    let mut keys = Vec::new();
    for (index, task) in job.tasks.iter().enumerate() {
        let Some(Stored::Chunks { attempt, size, .. }) = &task.output else {
            continue;
        };
        let attempt = Attempt {
            task: id::Task {
                job: id,
                index: index as u32,
            },
            number: *attempt,
        };
        keys.extend((0..chunk_count(*size)).map(|chunk| chunk_key(slice, attempt, chunk)));
    }
    keys
}

impl Owner {
    /// Records the output of the current attempt. The chunks of a large output are
    /// written first.
    pub(super) fn complete(&mut self, cx: &mut Context<'_>, attempt: Attempt, output: Output) {
        if output.body.len() <= INLINE_LIMIT_BYTES {
            self.append_completed(cx, attempt, Stored::Inline(Arc::new(output)));
            return;
        }
        let slice = self.slice;
        let Some(live) = self.live.get_mut(&attempt.task) else {
            return;
        };
        if live.storing.is_some() {
            return;
        }
        let output = Arc::new(output);
        let chunks: Vec<Vec<u8>> = output
            .body
            .chunks(CHUNK_LIMIT_BYTES)
            .map(<[u8]>::to_vec)
            .collect();
        live.storing = Some(Storing {
            output,
            missing: chunks.len(),
            failed: false,
        });
        for (chunk, value) in chunks.into_iter().enumerate() {
            let ticket = self.next_ticket();
            self.chunks.insert(ticket, attempt.task);
            let key = chunk_key(slice, attempt, chunk);
            cx.actions.push(Action::StoreChunk { ticket, key, value });
        }
    }

    /// Handles the outcome of a chunk write. If a chunk failed, the agent's next
    /// report writes all chunks again.
    pub(super) fn chunk_stored(&mut self, cx: &mut Context<'_>, ticket: Ticket, written: bool) {
        let Some(task) = self.chunks.remove(&ticket) else {
            return;
        };
        let Some(live) = self.live.get_mut(&task) else {
            return;
        };
        let Some(storing) = &mut live.storing else {
            return;
        };
        storing.missing -= 1;
        storing.failed |= !written;
        if storing.missing > 0 {
            return;
        }
        let attempt = live.attempt;
        let Some(storing) = live.storing.take() else {
            return;
        };
        if storing.failed {
            self.arm_task(cx.now, task);
            return;
        }
        let output = storing.output;
        let stored = Stored::Chunks {
            attempt: attempt.number,
            status: output.status,
            content_type: Arc::clone(&output.content_type),
            size: Bytes(output.body.len() as u64),
            digest: hash::of(&output.body),
        };
        self.append_completed(cx, attempt, stored);
    }

    fn append_completed(&mut self, cx: &mut Context<'_>, attempt: Attempt, output: Stored) {
        let job = attempt.task.job;
        let Some(found) = self.image.job(job) else {
            return;
        };
        let others = found.tasks.iter().enumerate();
        let last = others
            .filter(|(index, _)| *index != attempt.task.index as usize)
            .all(|(_, task)| task.output.is_some());
        let closing = self.open.get(&job).is_none_or(|open| open.close_pending);
        let mut records = vec![Record::Completed { attempt, output }];
        if last && !closing {
            records.extend(self.order_end_records(job, Phase::Done, None));
            self.mark_close_pending(job);
        }
        self.append_end(cx, attempt, records);
    }

    pub(super) fn result(&mut self, cx: &mut Context<'_>, reply: Reply, job: id::Job) {
        let ended = self.image.job(job).is_some_and(|job| job.end.is_some());
        if ended {
            self.answer_end(cx, reply, job);
            return;
        }
        let answer = self
            .status(cx, job)
            .map_or(Answer::NotFound, Answer::Pending);
        cx.answer(reply, answer);
    }

    /// Answers a call with the outcome of an ended job or order, and its outputs if
    /// it is done.
    pub(super) fn answer_end(&mut self, cx: &mut Context<'_>, reply: Reply, job: id::Job) {
        let Some(found) = self.image.job(job) else {
            cx.answer(reply, Answer::NotFound);
            return;
        };
        let Some(end) = &found.end else {
            return;
        };
        let outcome = match end.phase {
            Phase::Done => return self.answer_outputs(cx, reply, job),
            Phase::Cancelled => Outcome::Cancelled,
            Phase::Expired => Outcome::Expired { ran: Ran::No },
            Phase::Unknown => Outcome::Unknown,
            Phase::Refused => Outcome::Refused {
                reason: end.reason.unwrap_or(Reason::NoRoom),
                retry_after_ms: Millis::ZERO,
            },
            // A failed job has run, so it must not be reported as refused.
            Phase::Failed | Phase::Waiting | Phase::Running => {
                let answer = self
                    .status(cx, job)
                    .map_or(Answer::NotFound, Answer::Status);
                return cx.answer(reply, answer);
            }
        };
        cx.answer(reply, Answer::Outcome(outcome));
    }

    fn answer_outputs(&mut self, cx: &mut Context<'_>, reply: Reply, job: id::Job) {
        let Some(found) = self.image.job(job) else {
            return;
        };
        let keys = chunk_keys(self.slice, job, found);
        let read = Read {
            reply,
            job,
            chunks: vec![None; keys.len()],
            missing: (0..keys.len()).collect::<BTreeSet<_>>(),
        };
        if keys.is_empty() {
            self.answer_read(cx, read);
            return;
        }
        let number = self.next_ticket().0;
        self.reads.insert(number, read);
        for (index, key) in keys.into_iter().enumerate() {
            let ticket = self.next_ticket();
            self.fetches.insert(ticket, (number, index));
            cx.actions.push(Action::FetchChunk { ticket, key });
        }
    }

    pub(super) fn chunk_fetched(
        &mut self,
        cx: &mut Context<'_>,
        ticket: Ticket,
        value: Option<Vec<u8>>,
    ) {
        let Some((number, index)) = self.fetches.remove(&ticket) else {
            return;
        };
        let Some(read) = self.reads.get_mut(&number) else {
            return;
        };
        read.missing.remove(&index);
        if let Some(chunk) = read.chunks.get_mut(index) {
            *chunk = value;
        }
        if read.missing.is_empty() {
            if let Some(read) = self.reads.remove(&number) {
                self.answer_read(cx, read);
            }
        }
    }

    /// Answers with the outputs, or with a refusal if a chunk is missing. A
    /// truncated output is never returned.
    fn answer_read(&mut self, cx: &mut Context<'_>, read: Read) {
        let Some(job) = self.image.job(read.job) else {
            cx.answer(read.reply, Answer::NotFound);
            return;
        };
        let mut chunks = read.chunks.into_iter();
        let outputs: Option<Vec<Output>> = job
            .tasks
            .iter()
            .map(|task| output(task.output.as_ref()?, &mut chunks))
            .collect();
        let answer = match outputs {
            None => refused(Reason::StoreUnavailable, STORE_RETRY_AFTER),
            Some(mut outputs) if job.spec.order.is_some() => {
                outputs.pop().map_or(Answer::NotFound, Answer::Output)
            }
            Some(outputs) => Answer::Outputs(outputs),
        };
        cx.answer(read.reply, answer);
    }
}

/// Assembles an output, or returns `None` if its body is incomplete or damaged.
fn output(stored: &Stored, chunks: &mut impl Iterator<Item = Option<Vec<u8>>>) -> Option<Output> {
    match stored {
        Stored::Inline(output) => Some(Output::clone(output)),
        Stored::Chunks {
            status,
            content_type,
            size,
            digest,
            ..
        } => {
            let parts: Vec<Option<Vec<u8>>> = chunks.take(chunk_count(*size)).collect();
            let parts: Option<Vec<Vec<u8>>> = parts.into_iter().collect();
            let body = parts?.concat();
            (hash::of(&body) == *digest).then(|| Output {
                status: *status,
                content_type: Arc::clone(content_type),
                body,
            })
        }
    }
}
