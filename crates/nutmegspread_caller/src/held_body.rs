//! Complete body of a request.

use crate::CallerGate;
use nutmegspread_tier::BodyKey;
use std::sync::Arc;

/// Complete body of a request, which counts until it is dropped.
#[derive(Debug)]
pub(crate) struct HeldBody {
    pub(crate) bytes: Vec<u8>,
    pub(crate) gate: Arc<CallerGate>,
    pub(crate) key: BodyKey,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        // The memory is freed before others may take it.
        self.bytes = Vec::new();
        self.gate.close_body(self.key);
    }
}
