//! Processor time of other processes.

use std::fs;
use std::time::Duration;

/// Length of a clock tick in `/proc`, in milliseconds.
const TICK_MS: u64 = 10;
/// Position of the user time after the closing parenthesis of the command name.
const USER_TIME_FIELD: usize = 11;

/// Processor time that a process has used, or `None` when it cannot be read.
pub fn process_time(pid: u32) -> Option<Duration> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let (_, fields) = text.rsplit_once(')')?;
    let mut times = fields.split_whitespace().skip(USER_TIME_FIELD);
    let user: u64 = times.next()?.parse().ok()?;
    let system: u64 = times.next()?.parse().ok()?;
    Some(Duration::from_millis((user + system) * TICK_MS))
}

/// Processor time of several processes together; those that are gone count as zero.
pub fn total_process_time(pids: &[u32]) -> Duration {
    pids.iter().filter_map(|pid| process_time(*pid)).sum()
}
