//! Keys that are withdrawn while nodes are cut off from each other, restarted, or behind.

use crate::sim_network::{SimPlace, StoreFailure};
use crate::sim_settings::SimSettings;
use crate::sim_world::SimWorld;
use crate::simulate;
use indexmap::IndexSet;
use nutmegspread_platform::ObjectKind;
use nutmegspread_platform_standin::{DraftTenant, StoreFault};
use nutmegspread_tier::{AccessDecision, AccessRule};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Key that each test withdraws.
const WITHDRAWN: &str = "withdrawn-key-5d1e";
/// Key that remains.
const KEPT: &str = "kept-key-77a0";
/// Time after the acknowledgement by which a withdrawn key has to be refused.
const REFUSE_TIME: Duration = Duration::from_secs(5);
/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// What a node decides on a request with a key; `None` if it does not run or knows no configuration.
fn decide(world: &SimWorld, number: usize, key: &str) -> Option<AccessDecision> {
    let control = world.nodes[number].control()?;
    let now = Instant::now().into_std();
    let confirmation = control.shared.confirmation.age(now);
    let view = control.shared.view.load();
    let tenants = view.table.as_ref()?.tenants.as_deref();
    Some(AccessRule::default().decide(false, tenants, Some(key), confirmation))
}

fn accepts(world: &SimWorld, number: usize, key: &str) -> bool {
    matches!(
        decide(world, number, key),
        Some(AccessDecision::Tenant(_) | AccessDecision::Open)
    )
}

/// Publishes a configuration in which two tenants have a key each, and waits until all nodes have it.
async fn publish_keys(world: &SimWorld) {
    let tenants = [("a", WITHDRAWN), ("b", KEPT)].map(|(name, key)| DraftTenant::new(name, key));
    world.tenants.replace(Some(tenants.to_vec()));
    world.publish_configuration();
    tokio::time::sleep(REFUSE_TIME).await;
    for number in 0..world.nodes.len() {
        assert!(accepts(world, number, WITHDRAWN), "node {number}");
    }
}

fn withdraw_key(world: &SimWorld) {
    let remaining = vec![DraftTenant::new("b", KEPT)];
    world.tenants.replace(Some(remaining));
    world.publish_configuration();
}

/// Returns those of `nodes` that accept the withdrawn key at some time within `time`.
async fn accepting_nodes(world: &SimWorld, nodes: &[usize], time: Duration) -> IndexSet<usize> {
    let mut accepting = IndexSet::new();
    let started = Instant::now();
    while started.elapsed() < time {
        let now = nodes
            .iter()
            .filter(|node| accepts(world, **node, WITHDRAWN));
        accepting.extend(now.copied());
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    accepting
}

/// Cuts node `number` off from the store, and from all nodes but `peer`.
fn leave_with(world: &Rc<SimWorld>, number: usize, peer: usize, time: Duration) {
    world.fail_store(number, StoreFailure::Silent, time);
    for other in (0..world.nodes.len()).filter(|other| ![number, peer].contains(other)) {
        let (own, other) = (SimPlace::Node(number), SimPlace::Node(other));
        world.cut(own, other, time);
        world.cut(other, own, time);
    }
}

/// Guards against a key that comes back with the relay of a peer that knows less: both nodes are cut
/// off from all others, and the one that had refused the key starts again.
#[test]
fn a_withdrawn_key_stays_refused_after_a_restart_beside_a_peer_that_knows_less() {
    let (_, violations) = simulate(&SimSettings::default(), async |world| {
        publish_keys(world).await;
        // Only the first watcher passes on when the store confirmed its configuration.
        let peer = world.watchers()[0];
        let node = (peer + 3) % world.nodes.len();
        let cut = Duration::from_secs(30);
        leave_with(world, peer, node, cut);
        world.cut(SimPlace::Node(peer), SimPlace::Node(node), REFUSE_TIME);
        withdraw_key(world);
        tokio::time::sleep(REFUSE_TIME).await;
        assert!(accepts(world, peer, WITHDRAWN), "the peer knows less");
        assert_eq!(
            decide(world, node, WITHDRAWN),
            Some(AccessDecision::Reject),
            "the node knows of the withdrawal"
        );
        world.kill(node);
        leave_with(world, node, peer, cut - REFUSE_TIME);
        world.spawn(node);
        let accepting = accepting_nodes(world, &[node], cut - REFUSE_TIME).await;
        assert_eq!(accepting, IndexSet::new());
        assert!(decide(world, node, KEPT).is_some(), "the peer relayed");
        tokio::time::sleep(REFUSE_TIME).await;
        for number in [peer, node] {
            let decision = decide(world, number, WITHDRAWN);
            assert_eq!(decision, Some(AccessDecision::Reject), "node {number}");
            assert!(accepts(world, number, KEPT), "node {number}");
        }
    });
    assert_eq!(violations, Vec::<String>::new());
}

/// Guards against a key that comes back with a list of the store that is seconds old.
#[test]
fn a_withdrawn_key_stays_refused_after_a_stale_list() {
    simulate(&SimSettings::default(), async |world| {
        publish_keys(world).await;
        world.store.set_stale_point();
        withdraw_key(world);
        tokio::time::sleep(REFUSE_TIME).await;
        for number in 0..world.nodes.len() {
            world.disturb(Some(number), Duration::ZERO);
            world.kill(number);
        }
        world
            .store
            .set_fault(StoreFault::Slow(Duration::from_millis(400)));
        for number in 0..world.nodes.len() {
            world.spawn(number);
        }
        let nodes: Vec<usize> = (0..world.nodes.len()).collect();
        let accepting = accepting_nodes(world, &nodes, REFUSE_TIME).await;
        assert_eq!(accepting, IndexSet::new());
        for number in 0..world.nodes.len() {
            assert!(accepts(world, number, KEPT), "node {number}");
        }
    });
}

/// Guards against a key that comes back when nodes read everything anew.
#[test]
fn a_withdrawn_key_stays_refused_after_the_store_has_dropped_its_history() {
    let (_, violations) = simulate(&SimSettings::default(), async |world| {
        publish_keys(world).await;
        withdraw_key(world);
        tokio::time::sleep(REFUSE_TIME).await;
        world.store.forget_history();
        let nodes: Vec<usize> = (0..world.nodes.len()).collect();
        let accepting = accepting_nodes(world, &nodes, REFUSE_TIME * 2).await;
        assert_eq!(accepting, IndexSet::new());
    });
    assert_eq!(violations, Vec::<String>::new());
}

/// Guards against a withdrawal that does not reach nodes which reach only a peer in time.
#[test]
fn a_withdrawn_key_is_refused_in_time_by_nodes_that_reach_only_a_peer() {
    simulate(&SimSettings::default(), async |world| {
        publish_keys(world).await;
        let time = REFUSE_TIME * 3;
        for number in world.nodes_of_domain(0) {
            world.fail_store(number, StoreFailure::Silent, time);
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        withdraw_key(world);
        tokio::time::sleep(REFUSE_TIME).await;
        for number in 0..world.nodes.len() {
            let decision = decide(world, number, WITHDRAWN);
            assert_eq!(decision, Some(AccessDecision::Reject), "node {number}");
        }
    });
}

/// Guards against keys in the state dump, and in the objects that nodes send each other.
#[test]
fn no_node_shows_or_relays_a_key() {
    simulate(&SimSettings::default(), async |world| {
        publish_keys(world).await;
        let relay_path = format!("/objects/{}/0", ObjectKind::Configuration.name());
        let mut relayed = 0;
        for node in &world.nodes {
            let control = node.control().expect("a running node");
            let state = format!("{:?} {:?}", control.state.borrow(), control.shared);
            let answer = control.answer_relay(&relay_path);
            let answer = String::from_utf8_lossy(&answer.body).into_owned();
            relayed += usize::from(answer.contains("routes"));
            for text in [state, answer] {
                assert!(!text.contains(WITHDRAWN) && !text.contains(KEPT), "{text}");
            }
        }
        assert_eq!(relayed, world.nodes.len());
    });
}
