//! A node that is cut off from its targets, and the load that it would otherwise hold.

use nutmegspread_tier::ServiceGate;
use std::time::{Duration, Instant};

/// Requests every 10 ms for 10 s; the targets of all services are silent from 2 s to 7 s.
#[test]
fn requests_out_of_reach_are_refused_at_once_but_for_a_few_probes() {
    let start = Instant::now();
    let mut gate = ServiceGate::default();
    let (mut held, mut refused, mut refused_in_reach) = (0, 0, 0);
    for step in 0..1000_u64 {
        let at = Duration::from_millis(10 * step);
        let silent_for = at.saturating_sub(Duration::from_secs(2));
        let is_cut = at >= Duration::from_secs(2) && at < Duration::from_secs(7);
        let in_reach = if is_cut && silent_for >= gate.silence() {
            3
        } else {
            20
        };
        match (gate.admits(start + at, in_reach, 18), is_cut) {
            (true, true) => held += 1,
            (false, true) => refused += 1,
            (false, false) => refused_in_reach += 1,
            (true, false) => {}
        }
    }
    assert_eq!(refused_in_reach, 0);
    assert!(
        held <= 35 + 35,
        "{held} held; 35 come before the silence is noticed"
    );
    assert!(refused >= 420, "{refused}");
    assert!(!gate.is_closed());
}
