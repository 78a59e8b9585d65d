//! Logs: one line of key=value pairs per event.

use {
    simplelog::{ConfigBuilder, LevelFilter, WriteLogger},
    std::{fmt, io},
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
    let _ = WriteLogger::init(level, config, io::stderr());
}
