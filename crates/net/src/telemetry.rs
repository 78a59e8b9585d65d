//! Logging: one line of `key=value` pairs per event.

use {
    crate::panic,
    log::{Log, Metadata, Record},
    simplelog::{ConfigBuilder, LevelFilter, WriteLogger},
    std::{fmt, io},
    tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard},
};

/// Logs an event as a line of `key=value` pairs.
///
/// The arguments are the level, the event's name and any number of `key = value` pairs.
#[macro_export]
macro_rules! event {
    ($level:ident, $name:literal $(, $key:ident = $value:expr)* $(,)?) => {
        ::log::log!(
            ::log::Level::$level,
            concat!("level=", stringify!($level), " event=", $name $(, " ", stringify!($key), "={}")*)
            $(, $crate::telemetry::Value(&$value))*
        )
    };
}

/// Value in a log line; quoted if it is empty or contains whitespace, quotes, equals signs or control
/// characters.
pub struct Value<'a, T>(pub &'a T);

impl<T: fmt::Display> fmt::Display for Value<'_, T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.0.to_string();
        let is_plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
        if !text.is_empty() && text.chars().all(is_plain) {
            return f.write_str(&text);
        }
        write!(f, "{text:?}")
    }
}

/// Starts logging to standard error at `level`; an unknown level means info. Has no effect if a logger
/// is installed already.
pub fn start(level: &str) {
    install(level, io::stderr());
}

/// Maximum number of lines queued for standard output; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 8_192;

/// Logger to standard output with a bounded queue, so that a slow reader does not block tasks.
pub struct Output {
    /// Writes the queued lines when dropped.
    guard: WorkerGuard,
    dropped: ErrorCounter,
}

impl Output {
    /// Starts logging at `level`; an unknown level means info. Has no effect if a logger is installed
    /// already.
    pub fn start(level: &str) -> Self {
        let (writer, guard) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(MAX_QUEUED_LINES)
            .thread_name("log")
            .finish(io::stdout());
        let dropped = writer.error_counter();
        install(level, writer);
        Self { guard, dropped }
    }

    /// Counter of lines dropped because the queue was full.
    pub fn dropped(&self) -> ErrorCounter {
        self.dropped.clone()
    }

    /// Writes the queued lines and stops the writer thread.
    pub fn close(self) {
        drop(self.guard);
    }
}

fn install(level: &str, writer: impl io::Write + Send + 'static) {
    let level = match level {
        "error" => LevelFilter::Error,
        "warn" => LevelFilter::Warn,
        "debug" => LevelFilter::Debug,
        "trace" => LevelFilter::Trace,
        _ => LevelFilter::Info,
    };
    let config = ConfigBuilder::new()
        .set_time_format_custom(time::macros::format_description!(
            "time=[year]-[month]-[day]T[hour]:[minute]:[second].[subsecond digits:3]Z"
        ))
        .set_max_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("jayspread")
        .build();
    let logger = Logger(*WriteLogger::new(level, config, writer));
    // Fails if a logger is installed already, as in tests that run several instances in one process.
    if log::set_boxed_logger(Box::new(logger)).is_ok() {
        log::set_max_level(level);
        panic::install_hook();
    }
}

/// Formats the line before the writer is locked. A value that panics while it is formatted would
/// poison that lock, and the panic hook would wait for it for ever.
struct Logger<W: io::Write + Send + 'static>(WriteLogger<W>);

impl<W: io::Write + Send + 'static> Log for Logger<W> {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.0.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let line = record.args().to_string();
        self.0.log(
            &Record::builder()
                .metadata(record.metadata().clone())
                .args(format_args!("{line}"))
                .build(),
        );
    }

    fn flush(&self) {
        self.0.flush();
    }
}
