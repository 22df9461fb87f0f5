//! Standard output that never makes its writer wait.
//!
//! Lines are left in a bounded queue, and a thread of its own writes them in
//! batches. When whoever reads standard output stops reading, lines are left
//! out and counted instead of holding up the process.

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

/// Lines that may wait to be written; some seconds of a busy process.
const LINE_LIMIT: usize = 4096;
/// How long lines are gathered, so that each takes a small part of a system
/// call.
const GATHER_TIME: Duration = Duration::from_millis(40);
/// How long a process that ends waits for its last lines to be written.
const FLUSH_LIMIT: Duration = Duration::from_millis(500);

enum Item {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// The end of the queue that lines are left at.
pub struct Output {
    items: SyncSender<Item>,
    left_out: Arc<AtomicU64>,
}

impl Output {
    /// Starts the thread that writes to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if no thread can be started.
    pub fn start(target: impl Write + Send + 'static) -> io::Result<Self> {
        let (items, queue) = sync_channel(LINE_LIMIT);
        let left_out = Arc::new(AtomicU64::new(0));
        let counter = left_out.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || drain(&queue, &counter, target))?;
        Ok(Self { items, left_out })
    }
}

impl Write for Output {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.items.try_send(Item::Line(line.to_vec())).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let (done, written) = sync_channel(1);
        // A queue that is full belongs to a reader that has stopped reading,
        // for which there is no use in waiting.
        if self.items.try_send(Item::Flush(done)).is_ok() {
            written
                .recv_timeout(FLUSH_LIMIT)
                .map_err(|error| io::Error::new(io::ErrorKind::TimedOut, error))?;
        }
        Ok(())
    }
}

/// Writes what arrives until the other end is gone or the target is closed.
fn drain(queue: &Receiver<Item>, left_out: &AtomicU64, mut target: impl Write) {
    while let Ok(first) = queue.recv() {
        if matches!(first, Item::Line(_)) {
            thread::sleep(GATHER_TIME);
        }
        let mut text = Vec::new();
        let mut flushed = Vec::new();
        for item in std::iter::once(first).chain(queue.try_iter()) {
            match item {
                Item::Line(line) => text.extend(line),
                Item::Flush(done) => flushed.push(done),
            }
        }
        let count = left_out.swap(0, Ordering::Relaxed);
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
        for done in flushed {
            // Fails only if whoever waited has given up.
            let _ = done.try_send(());
        }
    }
}
