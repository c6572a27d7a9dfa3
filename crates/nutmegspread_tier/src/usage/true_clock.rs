//! Time of day that does not follow short jumps of the system's clock.

use std::time::Duration;

/// Largest change between two readings that counts as an adjustment of the rate and is followed at
/// once, in nanoseconds. Larger changes are jumps.
const MAX_ADJUSTMENT: i128 = 100_000_000;
/// Time for which a jump has to last before it is followed.
const JUMP_TIME: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug)]
struct ClockJump {
    /// Offset after the jump.
    offset: i128,
    /// Time since boot of its first observation.
    since: Duration,
}

/// Time of day, derived from the time since boot by an offset that follows a jump of the system's
/// clock only after 30 s.
///
/// The time since boot (`CLOCK_BOOTTIME`) includes suspensions and does not jump.
#[derive(Clone, Debug)]
pub struct TrueClock {
    /// Time of day minus time since boot, in nanoseconds.
    offset: i128,
    jump: Option<ClockJump>,
}

impl TrueClock {
    /// Creates a clock from a reading of both clocks; `wall` is the time of day since the start of
    /// 1970. A jump that is under way is not recognised.
    pub fn new(boot: Duration, wall: Duration) -> Self {
        Self {
            offset: offset(boot, wall),
            jump: None,
        }
    }

    /// Applies a reading of both clocks. Returns the change in nanoseconds if a jump is followed now.
    pub fn observe(&mut self, boot: Duration, wall: Duration) -> Option<i128> {
        let offset = offset(boot, wall);
        if (offset - self.offset).abs() <= MAX_ADJUSTMENT {
            self.offset = offset;
            self.jump = None;
            return None;
        }
        match &mut self.jump {
            Some(jump) if (offset - jump.offset).abs() <= MAX_ADJUSTMENT => {
                jump.offset = offset;
                if boot.saturating_sub(jump.since) < JUMP_TIME {
                    return None;
                }
                let change = offset - self.offset;
                self.offset = offset;
                self.jump = None;
                Some(change)
            }
            _ => {
                let since = boot;
                self.jump = Some(ClockJump { offset, since });
                None
            }
        }
    }

    /// Time since the start of 1970 at the time since boot `boot`.
    pub fn at(&self, boot: Duration) -> Duration {
        let nanos = (boot.as_nanos() as i128 + self.offset).max(0) as u128;
        let seconds = u64::try_from(nanos / 1_000_000_000).unwrap_or(u64::MAX);
        Duration::new(seconds, (nanos % 1_000_000_000) as u32)
    }
}

fn offset(boot: Duration, wall: Duration) -> i128 {
    wall.as_nanos() as i128 - boot.as_nanos() as i128
}
