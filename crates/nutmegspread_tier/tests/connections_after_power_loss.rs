//! Limits on connections after all nodes lost power at once, while targets still count the old
//! connections for some seconds.

use nutmegspread_tier::ConnectionAllowance;
use std::time::{Duration, Instant};

const CONNECTION_LIMIT: usize = 26;
const NODES: usize = 7;

/// Simulates 8 s in steps of 10 ms. Each node tries to open up to 3 connections, and the target
/// resets those beyond its limit. The target counts `stale` old connections for the first 7 s.
/// Without `learns`, nodes don't heed their allowance. Returns the number of resets and the number
/// of steps in which some node had no connection.
fn simulate(stale: usize, learns: bool) -> (usize, usize) {
    let start = Instant::now();
    let mut allowances = vec![ConnectionAllowance::default(); NODES];
    let mut open = [0_usize; NODES];
    let (mut resets, mut steps_without) = (0, 0);
    for step in 0..800 {
        let now = start + Duration::from_millis(10 * step);
        let stale = if step < 700 { stale } else { 0 };
        for node in 0..NODES {
            allowances[node].set_share(3);
            let may_open = if learns {
                allowances[node].may_open(now, open[node])
            } else {
                open[node] < 3
            };
            if !may_open {
                continue;
            }
            if stale + open.iter().sum::<usize>() < CONNECTION_LIMIT {
                open[node] += 1;
                allowances[node].record_answer();
            } else {
                resets += 1;
                allowances[node].record_reset(now, open[node]);
            }
        }
        steps_without += usize::from(open.contains(&0));
    }
    (resets, steps_without)
}

#[test]
fn resets_limit_the_connections_that_are_tried() {
    for stale in [14, 18] {
        let (resets, steps_without) = simulate(stale, true);
        let (naive_resets, _) = simulate(stale, false);
        assert!(
            resets * 10 <= naive_resets,
            "{stale} stale connections: {resets} resets, {naive_resets} without an allowance"
        );
        assert!(
            resets <= 100 && steps_without <= 2,
            "{stale} stale connections: {resets} resets, {steps_without} steps"
        );
    }
}

#[test]
fn a_full_target_is_tried_seldom_and_used_once_it_accepts_connections() {
    let (resets, steps_without) = simulate(CONNECTION_LIMIT, true);
    assert!(resets <= NODES * 30, "{resets} resets");
    assert!(
        (700..=735).contains(&steps_without),
        "{steps_without} steps"
    );
}

#[test]
fn the_limit_grows_back_to_the_share_after_a_reset() {
    let start = Instant::now();
    let mut allowance = ConnectionAllowance::default();
    allowance.set_share(4);
    allowance.record_reset(start, 1);
    let limits: Vec<usize> = (0..6)
        .map(|second| allowance.limit(start + Duration::from_millis(second * 1500)))
        .collect();
    assert_eq!(limits, [1, 2, 3, 4, 4, 4]);
}
