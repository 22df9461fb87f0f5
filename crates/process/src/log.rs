//! Structured logs, one JSON object a line.

pub use filbertbend_yaml::Level;

use {
    filbertbend_yaml::Log,
    spdlog::{
        formatter::JsonFormatter,
        sink::{FileSink, Sink, StdStream, StdStreamSink},
        LevelFilter, Logger,
    },
    std::sync::Arc,
};

/// Makes the logger of the whole process from the settings.
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

/// Makes the logger of a process that writes to standard output.
///
/// # Errors
///
/// Returns an error if the logger cannot be made.
pub fn to_stdout(level: Level) -> spdlog::Result<()> {
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(JsonFormatter::new())
        .build()?;
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(filter(level))
        .flush_level_filter(LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
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
