//! How a node tells an outage of the store from being cut off itself.

use nutmegspread_tier::{ContactSettings, StoreContact};
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

fn contact(start: Instant, peers: &[(usize, usize)]) -> StoreContact {
    let mut contact = StoreContact::new(ContactSettings::default());
    for (tick, (live, known)) in peers.iter().enumerate() {
        contact.observe_peers(start + SECOND * tick as u32, *live, *known);
    }
    contact
}

#[test]
fn registrations_lapse_in_an_outage_during_which_peers_are_heard() {
    let start = Instant::now();
    let contact = contact(start, &[(6, 6), (6, 6), (5, 6), (3, 6)]);
    let now = start + SECOND * 4;
    let away = [2, 3, 4].map(|age| contact.is_store_away(now, SECOND * age));
    assert_eq!(away, [false, true, true]);
}

#[test]
fn a_node_that_is_cut_off_from_most_peers_does_not_expect_lapsed_registrations() {
    let start = Instant::now();
    let contact = contact(start, &[(6, 6), (6, 6), (2, 6), (2, 6)]);
    assert!(!contact.is_store_away(start + SECOND * 4, SECOND * 4));
}

#[test]
fn a_node_stays_cut_off_after_it_forgot_its_silent_peers() {
    let start = Instant::now();
    let contact = contact(start, &[(6, 6), (0, 6), (0, 0), (0, 0)]);
    assert!(!contact.is_store_away(start + SECOND * 4, SECOND * 4));
}

#[test]
fn an_earlier_cut_does_not_hide_a_later_outage() {
    let start = Instant::now();
    let contact = contact(start, &[(0, 6), (6, 6), (6, 6), (6, 6), (6, 6)]);
    assert!(contact.is_store_away(start + SECOND * 4, SECOND * 3));
}

/// A node may hear its peers although it reaches neither them nor the store.
#[test]
fn a_confirmation_that_a_peer_got_shows_that_the_store_was_there() {
    let start = Instant::now();
    let mut contact = contact(start, &[(6, 6); 6]);
    for second in 0..5 {
        contact.record_confirmation(start + SECOND * second);
    }
    assert!(!contact.is_store_away(start + SECOND * 5, SECOND * 4));
}

/// The first confirmation after an outage may be that of a peer.
#[test]
fn a_first_confirmation_after_an_outage_does_not_hide_it() {
    let start = Instant::now();
    let mut contact = contact(start, &[(6, 6); 6]);
    contact.record_confirmation(start);
    contact.record_confirmation(start + SECOND * 4);
    contact.record_confirmation(start + SECOND * 4 - SECOND / 2);
    let now = start + SECOND * 5;
    assert!(contact.is_store_away(now, SECOND * 5));
    assert!(!contact.is_store_away(now, SECOND / 2));
}

#[test]
fn a_node_without_peers_takes_silence_of_the_store_for_an_outage() {
    let start = Instant::now();
    let contact = contact(start, &[(0, 0), (0, 0)]);
    assert!(contact.is_store_away(start + SECOND * 4, SECOND * 3));
}
