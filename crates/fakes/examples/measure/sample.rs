//! CPU time and memory of processes, read from `/proc`.

use std::{fs, time::Duration};

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: u64 = 100;
/// Bytes in a kibibyte.
const KIB: u64 = 1024;

/// CPU time that this process has used.
pub fn cpu() -> Duration {
    cpu_of("self")
}

/// CPU time that a process has used; `process` is a process id or "self".
pub fn cpu_of(process: &str) -> Duration {
    let text = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<u64> = after_name
        .split_whitespace()
        .map(|field| field.parse().unwrap_or(0))
        .collect();
    let ticks = fields.get(11).unwrap_or(&0) + fields.get(12).unwrap_or(&0);
    Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
}

/// Resident memory of a process, bytes; `process` is a process id or "self".
pub fn resident_of(process: &str) -> u64 {
    let text = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().nth(1));
    kibibytes
        .and_then(|text| text.parse::<u64>().ok())
        .unwrap_or(0)
        * KIB
}
