//! Logs to a reader that is slow or has stopped reading.

use {
    filbertbend_process::output::Output,
    std::{
        io::{self, Write},
        sync::{mpsc, Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// A target that blocks until it is let go.
struct Stuck {
    release: mpsc::Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.release.recv();
        self.written.lock().unwrap().extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a process that stands still because nobody reads its logs,
/// and against lines that go missing without a trace.
#[test]
fn lines_are_left_out_and_counted_when_nobody_reads() {
    let (release, released) = mpsc::channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let stuck = Stuck {
        release: released,
        written: written.clone(),
    };
    let mut output = Output::start(stuck).unwrap();

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

/// Guards against last lines that are lost when the process ends.
#[test]
fn flush_waits_for_what_was_written() {
    let written = Arc::new(Mutex::new(Vec::new()));
    let (release, released) = mpsc::channel();
    drop(release);
    let target = Stuck {
        release: released,
        written: written.clone(),
    };
    let mut output = Output::start(target).unwrap();

    output.write_all(b"last\n").unwrap();
    output.flush().unwrap();

    assert_eq!(*written.lock().unwrap(), b"last\n");
}
