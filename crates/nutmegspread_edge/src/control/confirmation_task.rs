//! Tells the traffic thread when the store last confirmed the configuration.

use crate::control::control_clock;
use crate::control::control_node::ControlNode;
use nutmegspread_platform::ObjectKind;
use std::rc::Rc;
use std::time::Duration;

/// Time between two looks at the age of the configuration, which is short beside the seconds for which
/// a confirmation holds.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(100);
/// Delay of a look from which on it is logged. A confirmation holds for 3 s and a new one arrives each
/// second, so a delay of 2 s can make this node refuse keys that it does not know with 503.
const LOGGED_DELAY: Duration = Duration::from_secs(1);

/// Passes on confirmations of the configuration for as long as the process runs.
pub async fn pass_on_confirmations(node: Rc<ControlNode>) {
    let started = control_clock::now();
    let mut interval = tokio::time::interval(CONFIRMATION_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut last = started;
    loop {
        interval.tick().await;
        let now = control_clock::now();
        let delay = now.saturating_duration_since(last + CONFIRMATION_INTERVAL);
        if delay >= LOGGED_DELAY {
            log::warn!(event = "control_delayed", late_ms = delay.as_millis() as u64;
                "the control thread did not run in time; the machine may be overloaded");
        }
        last = now;
        let age = node
            .state
            .borrow()
            .confirmed_age(now, ObjectKind::Configuration);
        if let Some(confirmed) = age.and_then(|age| now.checked_sub(age)) {
            node.shared
                .confirmation
                .record(confirmed, confirmed > started);
        }
    }
}
