//! For how long a node may send reports after a write to the store.

use crate::usage::duty_time::DutyTime;
use std::time::Duration;

/// Permission to send reports, which an accepted write of the usage object gives.
///
/// A successor waits for longer than this after it has read the object, and takes over only if
/// nobody has written since. The last accepted write of its predecessor therefore began before the
/// read, and the permission of that write has ended.
#[derive(Clone, Copy, Debug)]
pub struct ReportPermission {
    began: DutyTime,
    length: Duration,
}

impl ReportPermission {
    /// Creates the permission of a write that begins at `began`.
    pub fn new(began: DutyTime, length: Duration) -> Self {
        Self { began, length }
    }

    /// Whether a report may be sent at `now`. The permission ends when either clock says so, because
    /// the monotonic clock stands still while the machine is suspended.
    pub fn allows(&self, now: &DutyTime) -> bool {
        now.most_since(&self.began) < self.length
    }
}
