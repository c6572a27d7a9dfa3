//! Each version gets its share of the queries.

mod query_support;

use indexmap::IndexMap;
use nutmegspread_policy::query::choose_version;
use nutmegspread_policy::routing::{ServiceView, VersionView};
use query_support::query_world::{LogEvent, QueryWorld, no_outcomes};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use std::time::Duration;

const DRAWS: u32 = 20_000;

fn count_draws(seed: u64, shares: &[(&str, f64)]) -> IndexMap<String, u32> {
    let mut view = ServiceView::default();
    for (name, share) in shares {
        let version = VersionView {
            share: *share,
            ..Default::default()
        };
        view.versions.insert((*name).into(), version);
    }
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut counts = IndexMap::new();
    for _ in 0..DRAWS {
        if let Some(version) = choose_version(&view, None, &mut rng) {
            *counts.entry(version.to_string()).or_default() += 1;
        }
    }
    counts
}

#[test]
fn draws_follow_the_shares() {
    for seed in 0..10 {
        let shares = [("old", 0.65), ("gone", 0.0), ("middle", 0.3), ("new", 0.05)];
        let counts = count_draws(seed, &shares);
        assert!(!counts.contains_key("gone"), "seed {seed}");
        // The ranges are five standard deviations around the expected counts.
        assert!(
            (12_662..=13_338).contains(&counts["old"]),
            "seed {seed}: {counts:?}"
        );
        assert!(
            (5_675..=6_325).contains(&counts["middle"]),
            "seed {seed}: {counts:?}"
        );
        assert!(
            (846..=1_154).contains(&counts["new"]),
            "seed {seed}: {counts:?}"
        );
    }
}

#[test]
fn no_version_is_drawn_without_a_share() {
    assert!(count_draws(1, &[]).is_empty());
    assert!(count_draws(1, &[("old", 0.0), ("new", -1.0)]).is_empty());
    assert_eq!(count_draws(1, &[("old", -1.0), ("new", 0.2)])["new"], DRAWS);
}

/// A target that now serves another version gets no attempts of a query for the old one.
#[test]
fn targets_of_another_version_get_no_work() {
    let mut world = QueryWorld::new(1);
    world.publish(1, vec![vec!["a".into(), "b".into()]; 50]);
    world.change_target("a", |view| view.version = "2".into());
    world.start("r", 1, Duration::from_secs(1), &mut no_outcomes);
    let to_b =
        |event: &LogEvent| matches!(event, LogEvent::Sent { target, .. } if &**target == "b");
    assert_eq!(world.log.len(), 50);
    assert!(world.log.iter().all(|entry| to_b(&entry.event)));
}
