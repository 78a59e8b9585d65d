//! Logs: one line of key=value pairs per event.

use {
    simplelog::{ConfigBuilder, LevelFilter, WriteLogger},
    std::{fmt, io},
    tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard},
};

/// Logs one event as a line of key=value pairs.
///
/// The first argument is the level, the second the event's name, the others are values by key.
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

/// A value in a log line, quoted where it holds blanks, quotes or control characters.
pub struct Value<'a, T>(pub &'a T);

impl<T: fmt::Display> fmt::Display for Value<'_, T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.0.to_string();
        let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
        if !text.is_empty() && text.chars().all(plain) {
            return f.write_str(&text);
        }
        write!(f, "{text:?}")
    }
}

/// Starts logging to standard error at `level`; a second call changes nothing.
pub fn start(level: &str) {
    begin(level, io::stderr());
}

/// Lines that wait for standard output at most; further ones are dropped and counted.
const QUEUE_LINES: usize = 8_192;

/// Logs to standard output through a bounded queue, so that no task ever waits for a reader.
pub struct Output {
    /// Writes what is queued when it is dropped.
    guard: WorkerGuard,
    dropped: ErrorCounter,
}

impl Output {
    /// Starts logging at `level`; a second call changes nothing.
    pub fn start(level: &str) -> Self {
        let (writer, guard) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(QUEUE_LINES)
            .thread_name("log")
            .finish(io::stdout());
        let dropped = writer.error_counter();
        begin(level, writer);
        Self { guard, dropped }
    }

    /// Counter of lines that found the queue full.
    pub fn dropped(&self) -> ErrorCounter {
        self.dropped.clone()
    }

    /// Writes what is queued and ends.
    pub fn close(self) {
        drop(self.guard);
    }
}

fn begin(level: &str, writer: impl io::Write + Send + 'static) {
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
    // A logger that is installed already stays; the test processes start several.
    let _ = WriteLogger::init(level, config, writer);
}
