//! Structured logs, one JSON object a line.

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

/// Makes the logger of a process that writes to standard output, without ever
/// waiting for whoever reads it.
///
/// # Errors
///
/// Returns an error if the logger cannot be made.
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

/// Waits for the last lines of a process that ends.
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
