//! Structured logs, with one JSON object per line.

pub use filbertbend_yaml::Level;

use {
    crate::output::Output,
    filbertbend_yaml::Log,
    spdlog::{
        formatter::JsonFormatter,
        sink::{FileSink, Sink, StdStream, StdStreamSink, WriteSink},
        LevelFilter, Logger,
    },
    std::sync::Arc,
};

/// Installs the default logger of the process as the settings state.
///
/// # Errors
///
/// Returns an error if the log file cannot be opened.
pub fn init(log: &Log) -> spdlog::Result<()> {
    let formatter = JsonFormatter::new();
    let sink: Arc<dyn Sink> = match &log.file {
        Some(path) => Arc::new(
            FileSink::builder()
                .path(path)
                .truncate(false)
                .formatter(formatter)
                .build()?,
        ),
        None => Arc::new(
            StdStreamSink::builder()
                .std_stream(StdStream::Stderr)
                .formatter(formatter)
                .build()?,
        ),
    };
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(filter(log.level))
        .flush_level_filter(LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Installs a default logger that writes to standard output and never blocks
/// on a slow reader.
///
/// # Errors
///
/// Returns an error if the writer thread cannot be started.
pub fn init_stdout(level: Level) -> spdlog::Result<()> {
    let output = Output::start(std::io::stdout()).map_err(spdlog::Error::WriteRecord)?;
    let sink = WriteSink::builder()
        .target(output)
        .formatter(JsonFormatter::new())
        .build()?;
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(filter(level))
        .flush_level_filter(LevelFilter::Off)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Writes out buffered log lines. Call it before the process exits.
pub fn flush() {
    spdlog::default_logger().flush();
}

fn filter(level: Level) -> LevelFilter {
    let level = match level {
        Level::Error => spdlog::Level::Error,
        Level::Warn => spdlog::Level::Warn,
        Level::Info => spdlog::Level::Info,
        Level::Debug => spdlog::Level::Debug,
        Level::Trace => spdlog::Level::Trace,
    };
    LevelFilter::MoreSevereEqual(level)
}
