//! Reports when a level crosses a threshold.

/// Level from which a room is reported as overloaded.
const UPPER: f64 = 0.5;
/// Level below which it is reported as calm again.
const LOWER: f64 = 0.05;

/// Reports when a level crosses a threshold. Between the two thresholds nothing changes, so that a
/// level that varies is not reported again and again.
#[derive(Clone, Copy, Debug, Default)]
pub struct LevelWatch {
    is_overloaded: bool,
}

impl LevelWatch {
    /// Returns whether the room is overloaded, if that has changed with this level.
    pub fn observe(&mut self, level: f64) -> Option<bool> {
        let is_overloaded = if self.is_overloaded {
            level >= LOWER
        } else {
            level >= UPPER
        };
        let has_changed = is_overloaded != self.is_overloaded;
        self.is_overloaded = is_overloaded;
        has_changed.then_some(is_overloaded)
    }
}
