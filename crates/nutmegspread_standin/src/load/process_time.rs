//! Processor time of other processes.

use std::fs;
use std::time::Duration;

/// Length of a clock tick in `/proc/PID/stat`, in milliseconds.
const TICK_MS: u64 = 10;
/// Index of the user time among the fields after the command name, which ends with `)`.
///
/// The system time is the next field.
const USER_TIME_FIELD: usize = 11;

/// User and system time that a process has used, or `None` if it cannot be read.
pub fn process_time(pid: u32) -> Option<Duration> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let (_, fields) = text.rsplit_once(')')?;
    let mut times = fields.split_whitespace().skip(USER_TIME_FIELD);
    let user: u64 = times.next()?.parse().ok()?;
    let system: u64 = times.next()?.parse().ok()?;
    Some(Duration::from_millis((user + system) * TICK_MS))
}

/// Sum of the processor times of several processes; a process that has ended counts as zero.
pub fn total_process_time(pids: &[u32]) -> Duration {
    pids.iter().filter_map(|pid| process_time(*pid)).sum()
}
