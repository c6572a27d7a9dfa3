//! Which idle connection carries an attempt.

use nutmegspread_tier::{ConnectionChoice, IdleConnection, RepeatRule, RequestConnections};
use std::time::Duration;

/// Choices for a connection that has carried the request and for one that has not, by whether it is
/// open, its idle time and the repeat rule of the request.
#[test]
fn connections_are_chosen_by_request_and_idle_time() {
    let mut connections = RequestConnections::default();
    connections.record(1);
    let mut lines = Vec::new();
    for repeat in [RepeatRule::Idempotent, RepeatRule::AtMostOnce] {
        for (is_open, idle_ms) in [(true, 20), (true, 400), (false, 20)] {
            let choices: Vec<ConnectionChoice> = [1, 2]
                .into_iter()
                .map(|key| IdleConnection {
                    key,
                    is_open,
                    idle: Duration::from_millis(idle_ms),
                })
                .map(|connection| connections.choose(&connection, repeat))
                .collect();
            lines.push(format!(
                "{repeat:?} open {is_open} idle {idle_ms} ms: {choices:?}"
            ));
        }
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    Idempotent open true idle 20 ms: [Spare, Carry]
    Idempotent open true idle 400 ms: [Spare, Carry]
    Idempotent open false idle 20 ms: [Close, Close]
    AtMostOnce open true idle 20 ms: [Spare, Carry]
    AtMostOnce open true idle 400 ms: [Spare, Spare]
    AtMostOnce open false idle 20 ms: [Close, Close]
    ");
}
