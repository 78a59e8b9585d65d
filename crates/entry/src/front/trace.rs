//! Log lines of one request, written when it fails and for a sample of those that succeed.
//!
//! All processes sample by the request's id, so that they keep the same requests.

use {jayspread_core::id, std::fmt::Write};

/// Lines kept for one request; a resumed stream needs fewer.
const LINES_MAX: usize = 24;

/// Decisions on one request.
pub struct Trace {
    id: Box<str>,
    sampled: bool,
    lines: Vec<String>,
}

impl Trace {
    /// Starts the trace of a request; one in `sample` is written whole when it succeeds.
    pub fn new(request: &str, sample: u32) -> Self {
        Self {
            id: request.into(),
            sampled: id::score(b"log", request).is_multiple_of(u64::from(sample)),
            lines: Vec::new(),
        }
    }

    /// Notes a decision: an event and its values as key=value pairs.
    pub fn note(&mut self, event: &str, values: std::fmt::Arguments<'_>) {
        if self.lines.len() >= LINES_MAX {
            return;
        }
        let mut line = format!("level=Info event={event} request={} ", self.id);
        // Writing to a string does not fail.
        let _ = line.write_fmt(values);
        self.lines.push(line);
    }

    /// Writes the lines if the request failed or is sampled.
    pub fn close(self, failed: bool) {
        if !failed && !self.sampled {
            return;
        }
        for line in &self.lines {
            log::info!("{line}");
        }
    }
}
