//! Tests of the log after a panic.

use {
    jayspread_net::{panic, telemetry::Output},
    std::fmt,
};

/// Target of the lines; those of other crates are not written.
const TARGET: &str = "jayspread_test";

struct Unprintable;

impl fmt::Display for Unprintable {
    fn fmt(&self, _: &mut fmt::Formatter<'_>) -> fmt::Result {
        panic!("value that cannot be printed")
    }
}

/// Guards against a panic in a log line that makes every later line panic, and with it all tasks.
#[test]
fn log_is_usable_after_a_panic_in_a_line() {
    let output = Output::start("info");
    let before = panic::count().get();
    let caught = panic::catch(|| log::info!(target: TARGET, "event=broken value={Unprintable}"));
    assert!(caught.is_err());
    assert_eq!(panic::count().get(), before + 1, "logged by the hook");
    log::info!(target: TARGET, "event=sound");
    output.close();
}
