//! At any time, a few nodes watch the platform for all nodes, also when the fleet is partitioned.

use nutmegspread_model::NodeId;
use nutmegspread_policy::control::is_watcher;
use nutmegspread_policy::fleet::{FleetView, NodeView};

fn names(count: usize) -> Vec<NodeId> {
    (1..=count)
        .map(|number| format!("node-{number}").into())
        .collect()
}

fn view_of(live_nodes: &[NodeId], leaving: &[NodeId]) -> FleetView {
    let node_view = |node: &NodeId| NodeView {
        node: node.clone(),
        leaving: leaving.contains(node),
        ..NodeView::default()
    };
    FleetView {
        nodes: live_nodes.iter().map(node_view).collect(),
        ..FleetView::default()
    }
}

fn watchers(live_nodes: &[NodeId], leaving: &[NodeId]) -> Vec<NodeId> {
    let view = view_of(live_nodes, leaving);
    let watching = live_nodes.iter().filter(|node| is_watcher(node, &view));
    watching.cloned().collect()
}

#[test]
fn two_of_seven_nodes_watch() {
    assert_eq!(watchers(&names(7), &[]).len(), 2);
}

#[test]
fn a_leaving_watcher_is_replaced_by_one_other() {
    let nodes = names(7);
    let before = watchers(&nodes, &[]);
    let mut after = watchers(&nodes, &before[..1]);
    after.retain(|node| *node != before[0]);
    assert_eq!(after.len(), 2);
    assert!(after.contains(&before[1]));
}

#[test]
fn every_part_of_a_split_fleet_has_a_watcher() {
    let nodes = names(7);
    for split_position in 1..nodes.len() {
        let (left, right) = nodes.split_at(split_position);
        assert!(!watchers(left, &[]).is_empty());
        assert!(!watchers(right, &[]).is_empty());
    }
}

#[test]
fn a_node_without_peers_watches() {
    assert!(is_watcher(&"node-4".into(), &FleetView::default()));
}
