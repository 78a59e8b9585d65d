//! Samples of this process: processor time and memory.

use std::{fs, time::Duration};

/// Clock ticks of the kernel's processor time, a second.
const TICKS: u64 = 100;
/// Bytes of a kibibyte.
const KIB: u64 = 1024;

/// Processor time that this process has used.
pub fn cpu() -> Duration {
    cpu_of("self")
}

/// Processor time that a process has used.
pub fn cpu_of(process: &str) -> Duration {
    let text = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let rest = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<u64> = rest
        .split_whitespace()
        .map(|f| f.parse().unwrap_or(0))
        .collect();
    let ticks = fields.get(11).unwrap_or(&0) + fields.get(12).unwrap_or(&0);
    Duration::from_millis(ticks * 1000 / TICKS)
}

/// Resident memory of a process, bytes.
pub fn resident_of(process: &str) -> u64 {
    let text = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|n| n.parse::<u64>().ok()).unwrap_or(0) * KIB
}
