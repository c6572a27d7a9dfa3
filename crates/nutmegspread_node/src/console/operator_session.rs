//! Sessions of operators who have signed in.

use indexmap::IndexMap;
use rand::Rng;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time after which an operator has to sign in again.
const SESSION_DURATION: Duration = Duration::from_secs(8 * 3_600);
/// Largest number of sessions; the oldest session ends when another one begins.
const SESSION_LIMIT: usize = 64;

/// End time of each session by its random name. Sessions are lost when the process stops.
#[derive(Debug, Default)]
pub(super) struct OperatorSessions {
    end_times: Mutex<IndexMap<String, Instant>>,
}

impl OperatorSessions {
    /// Creates a session and returns its name.
    pub fn create(&self) -> String {
        let name = format!("{:032x}", rand::rng().random::<u128>());
        let mut end_times = self
            .end_times
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if end_times.len() >= SESSION_LIMIT {
            end_times.shift_remove_index(0);
        }
        end_times.insert(name.clone(), Instant::now() + SESSION_DURATION);
        name
    }

    /// Whether a session with this name exists and has not ended.
    pub fn is_open(&self, name: &str) -> bool {
        let end_times = self
            .end_times
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        end_times.get(name).is_some_and(|end| Instant::now() < *end)
    }
}
