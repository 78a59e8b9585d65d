//! Log lines of one request, written if it fails and for a sample of the successful ones.
//!
//! Every process samples by a hash of the request id, so all of them log the same requests.

use {jayspread_core::id, std::fmt::Write};

/// Maximum number of lines stored for one request; a resumed stream needs fewer.
const MAX_LINES: usize = 24;

/// Buffered log lines of one request.
pub struct Trace {
    request_id: Box<str>,
    sampled: bool,
    lines: Vec<String>,
}

impl Trace {
    /// Starts the trace of a request; one in `sample_interval` successful requests is logged.
    pub fn new(request_id: &str, sample_interval: u32) -> Self {
        Self {
            request_id: request_id.into(),
            sampled: id::score(b"log", request_id).is_multiple_of(u64::from(sample_interval)),
            lines: Vec::new(),
        }
    }

    /// Adds a line with an event name and its `key=value` pairs.
    pub fn add(&mut self, event: &str, fields: std::fmt::Arguments<'_>) {
        if self.lines.len() >= MAX_LINES {
            return;
        }
        let mut line = format!("level=Info event={event} request={} ", self.request_id);
        // Writing to a `String` cannot fail.
        let _ = line.write_fmt(fields);
        self.lines.push(line);
    }

    /// Logs the lines if the request failed or is sampled.
    pub fn finish(self, failed: bool) {
        if !failed && !self.sampled {
            return;
        }
        for line in &self.lines {
            log::info!("{line}");
        }
    }
}
