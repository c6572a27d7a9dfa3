//! Condition for sending a call.

use std::fmt;
use std::rc::Rc;

/// Condition for sending a call, which is checked once the connection is open and just before the
/// first byte. Opening a connection may take long, and the process may be paused meanwhile.
#[derive(Clone)]
pub struct CallGuard(Rc<dyn Fn() -> bool>);

impl CallGuard {
    /// Creates a guard that allows a call if `may_send` returns true.
    pub fn new(may_send: impl Fn() -> bool + 'static) -> Self {
        Self(Rc::new(may_send))
    }

    /// Whether the call may be sent now.
    pub fn allows(&self) -> bool {
        (self.0)()
    }
}

impl fmt::Debug for CallGuard {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("CallGuard").finish_non_exhaustive()
    }
}
