//! Tests of log output to a reader that is slow or has stopped reading.

use {
    filbertbend_process::output::Output,
    std::{
        io::{self, Write},
        sync::{mpsc, Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// A writer that blocks until `release` gets a message or is disconnected.
struct BlockingWriter {
    release: mpsc::Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockingWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.release.recv();
        self.written.lock().unwrap().extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a process that blocks because nothing reads its logs, and
/// against lines that are dropped without being counted.
#[test]
fn lines_are_dropped_and_counted_when_nothing_reads() {
    let (release, released) = mpsc::channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let target = BlockingWriter {
        release: released,
        written: written.clone(),
    };
    let mut output = Output::start(target).unwrap();

    let started = Instant::now();
    for _ in 0..20_000 {
        output.write_all(b"line\n").unwrap();
    }
    assert!(started.elapsed() < Duration::from_secs(5));
    drop(release);
    let deadline = Instant::now() + Duration::from_secs(20);
    let complete = loop {
        output.flush().unwrap();
        let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
        if text.contains("log lines left out") || Instant::now() > deadline {
            break text;
        }
    };

    let lines = complete.matches("line\n").count();
    let count = complete.split("\"count\":").nth(1).unwrap();
    let count: usize = count.split('}').next().unwrap().parse().unwrap();
    assert!(count > 0);
    assert_eq!(lines + count, 20_000);
}

/// Guards against the loss of the last lines when the process exits.
#[test]
fn flush_waits_until_queued_lines_are_written() {
    let written = Arc::new(Mutex::new(Vec::new()));
    let (release, released) = mpsc::channel();
    drop(release);
    let target = BlockingWriter {
        release: released,
        written: written.clone(),
    };
    let mut output = Output::start(target).unwrap();

    output.write_all(b"last\n").unwrap();
    output.flush().unwrap();

    assert_eq!(*written.lock().unwrap(), b"last\n");
}
