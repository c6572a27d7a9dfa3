//! All nodes lose power at once: targets still count their old connections for some seconds.

use nutmegspread_tier::ConnectionAllowance;
use std::time::{Duration, Instant};

const CAP: usize = 26;
const NODES: usize = 7;

/// Plays 8 s in steps of 10 ms: each node wants connections for its sends, the target resets those
/// beyond its cap. Returns resets, and steps in which some node had no connection.
fn play(stale: usize, learns: bool) -> (usize, usize) {
    let start = Instant::now();
    let mut allowances = vec![ConnectionAllowance::default(); NODES];
    let mut open = [0_usize; NODES];
    let (mut resets, mut without) = (0, 0);
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
            if stale + open.iter().sum::<usize>() < CAP {
                open[node] += 1;
                allowances[node].record_answer();
            } else {
                resets += 1;
                allowances[node].record_reset(now, open[node]);
            }
        }
        without += usize::from(open.contains(&0));
    }
    (resets, without)
}

#[test]
fn resets_teach_how_much_room_there_is() {
    for stale in [14, 18] {
        let (resets, without) = play(stale, true);
        let (naive_resets, _) = play(stale, false);
        assert!(
            resets * 10 <= naive_resets,
            "{stale} old ones: {resets} of {naive_resets}"
        );
        assert!(
            resets <= 100 && without <= 2,
            "{stale} old ones: {resets}, {without}"
        );
    }
}

#[test]
fn a_target_without_any_room_is_tried_seldom_and_used_as_soon_as_it_has_some() {
    let (resets, without) = play(CAP, true);
    assert!(resets <= NODES * 30, "{resets}");
    assert!((700..=735).contains(&without), "{without}");
}

#[test]
fn the_part_is_reached_again_after_resets() {
    let start = Instant::now();
    let mut allowance = ConnectionAllowance::default();
    allowance.set_share(4);
    allowance.record_reset(start, 1);
    let limits: Vec<usize> = (0..6)
        .map(|second| allowance.limit(start + Duration::from_millis(second * 1500)))
        .collect();
    assert_eq!(limits, [1, 2, 3, 4, 4, 4]);
}
