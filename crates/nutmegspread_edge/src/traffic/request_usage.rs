//! Counting of a request for its tenant.

use crate::SharedState;
use nutmegspread_tier::{AttemptNumber, CountChange, RequestCount, TenantName, TenantRecord};
use std::cell::RefCell;
use std::sync::Arc;

#[derive(Debug)]
struct TenantUsage {
    shared: Arc<SharedState>,
    tenant: TenantName,
    count: RefCell<RequestCount>,
}

/// Counting of a request for its tenant; has no effect for a request of no tenant, or if usage is not
/// reported.
#[derive(Debug)]
pub struct RequestUsage(Option<TenantUsage>);

impl RequestUsage {
    /// Creates the state of a request of which no attempt was written.
    pub fn new(shared: &Arc<SharedState>, tenant: Option<&TenantRecord>) -> Self {
        let tenant = tenant.filter(|_| shared.usage.is_some());
        Self(tenant.map(|tenant| TenantUsage {
            shared: Arc::clone(shared),
            tenant: tenant.name.clone(),
            count: RefCell::default(),
        }))
    }

    /// Records that an attempt is written now. Returns its number, if the request is counted.
    pub fn record_sent(&self) -> Option<AttemptNumber> {
        let usage = self.0.as_ref()?;
        let window = usage.shared.usage.as_ref()?.present_window();
        let (attempt, change) = usage.count.borrow_mut().record_sent(window);
        usage.apply(change);
        Some(attempt)
    }

    /// Records that the target of an attempt did not run it.
    pub fn record_not_run(&self, attempt: Option<AttemptNumber>) {
        if let Some((usage, attempt)) = self.0.as_ref().zip(attempt) {
            let change = usage.count.borrow_mut().record_not_run(attempt);
            usage.apply(change);
        }
    }
}

impl TenantUsage {
    fn apply(&self, change: CountChange) {
        if let Some(counter) = &self.shared.usage {
            counter.apply(change, &self.tenant);
        }
    }
}
