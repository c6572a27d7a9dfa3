//! The ownership comparison and the fits of the capacity page.

use nutmegspread_standin::capacity::{
    FleetSample, LineFit, OwnershipScheme, SlopeSeries, compare_ownership,
};

#[test]
fn a_line_is_found_again() {
    let points: Vec<(f64, f64)> = (0..5)
        .map(|x| (f64::from(x), 3.0 + 2.0 * f64::from(x)))
        .collect();
    let fit = LineFit::through(&points).expect("a line");
    assert!((fit.intercept - 3.0).abs() < 1e-9 && (fit.slope - 2.0).abs() < 1e-9);
    assert!((fit.r_squared - 1.0).abs() < 1e-9);
    assert!((fit.value_at(10.0) - 23.0).abs() < 1e-9);
    assert_eq!(LineFit::through(&[(1.0, 1.0), (1.0, 2.0)]), None);
}

#[test]
fn a_scattered_series_does_not_claim_a_perfect_fit() {
    let points = vec![(0.0, 1.0), (1.0, 9.0), (2.0, 2.0), (3.0, 8.0)];
    let series = SlopeSeries {
        name: "scattered",
        size: "x",
        cost: "y",
        points,
    };
    assert!(series.fit().expect("a line").r_squared < 0.5);
    assert!(series.table_row().contains("1→9.00"));
}

#[test]
fn every_scheme_gives_every_target_its_owners_in_both_fleets() {
    for sample in FleetSample::all() {
        let alive = vec![true; sample.nodes.len()];
        for scheme in OwnershipScheme::ALL {
            let plan = scheme.place(&sample, &alive, 1);
            assert_eq!(plan, scheme.place(&sample, &alive, 1), "{scheme:?}");
            for owners in &plan.owners {
                assert_eq!(owners.len(), sample.owner_count, "{scheme:?}");
                assert_ne!(owners[0], owners[1], "{scheme:?}");
            }
        }
    }
}

#[test]
fn no_target_stays_with_a_lost_node() {
    let sample = FleetSample::present();
    let mut alive = vec![true; sample.nodes.len()];
    alive[3] = false;
    for scheme in OwnershipScheme::ALL {
        let plan = scheme.place(&sample, &alive, 1);
        assert!(
            plan.owners.iter().flatten().all(|owner| *owner != 3),
            "{scheme:?}"
        );
        assert_eq!(plan.node_loads()[3], 0);
    }
}

#[test]
fn plain_rendezvous_moves_only_what_the_lost_node_held() {
    let sample = FleetSample::planned();
    let figures = compare_ownership(&sample, 1);
    let of = |scheme| {
        figures
            .iter()
            .find(|row| row.scheme == scheme)
            .expect("a row")
    };
    // Owners avoid each other's failure domain, so that a loss can shift the second owner as well.
    assert!(of(OwnershipScheme::PlainRendezvous).node_loss_move_ratio < 1.3);
    let plain = of(OwnershipScheme::PlainRendezvous).imbalance;
    assert!(of(OwnershipScheme::BoundedRendezvous).imbalance < plain);
    assert!(of(OwnershipScheme::HillClimbing).imbalance < plain);
    let blocks = of(OwnershipScheme::CellBlocks).owners_per_query;
    assert!(blocks < of(OwnershipScheme::PlainRendezvous).owners_per_query);
}
