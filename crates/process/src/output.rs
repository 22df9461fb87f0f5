//! A non-blocking writer for logs on standard output.
//!
//! Lines go to a bounded queue, and a separate thread writes them in batches.
//! If the reader of standard output stops reading and the queue fills up, lines
//! are dropped and counted, so that logging never blocks the process.

use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{sync_channel, Receiver, SyncSender},
        Arc,
    },
    thread,
    time::Duration,
};

/// Capacity of the queue, which holds the lines of a busy process for some
/// seconds.
const QUEUE_CAPACITY: usize = 4096;
/// How long lines are collected, so that one system call writes many of them.
const BATCH_DELAY: Duration = Duration::from_millis(40);
/// How long a flush waits for the queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// An item of the queue: a line, or a request to acknowledge that all lines
/// before it have been written.
enum Item {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// A writer that queues each line for the writer thread.
pub struct Output {
    items: SyncSender<Item>,
    dropped: Arc<AtomicU64>,
}

impl Output {
    /// Starts the thread that writes to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if no thread can be started.
    pub fn start(target: impl Write + Send + 'static) -> io::Result<Self> {
        let (items, queue) = sync_channel(QUEUE_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = dropped.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_queue(&queue, &counter, target))?;
        Ok(Self { items, dropped })
    }
}

impl Write for Output {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.items.try_send(Item::Line(line.to_vec())).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let (done, written) = sync_channel(1);
        // A full queue means that the reader has stopped reading, so waiting
        // would not help.
        if self.items.try_send(Item::Flush(done)).is_ok() {
            written
                .recv_timeout(FLUSH_TIMEOUT)
                .map_err(|error| io::Error::new(io::ErrorKind::TimedOut, error))?;
        }
        Ok(())
    }
}

/// Writes queued lines to `target` until the [`Output`] is dropped or a write
/// fails.
fn write_queue(queue: &Receiver<Item>, dropped: &AtomicU64, mut target: impl Write) {
    while let Ok(first) = queue.recv() {
        if matches!(first, Item::Line(_)) {
            thread::sleep(BATCH_DELAY);
        }
        let mut text = Vec::new();
        let mut flushes = Vec::new();
        for item in std::iter::once(first).chain(queue.try_iter()) {
            match item {
                Item::Line(line) => text.extend(line),
                Item::Flush(done) => flushes.push(done),
            }
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            let line = format!("{{\"level\":\"warn\",\"payload\":\"log lines left out\",\"kv\":{{\"count\":{count}}}}}\n");
            text.extend(line.into_bytes());
        }
        if target
            .write_all(&text)
            .and_then(|()| target.flush())
            .is_err()
        {
            return;
        }
        for done in flushes {
            // Fails only if the flush has timed out.
            let _ = done.try_send(());
        }
    }
}
