//! A few nodes watch the platform for all, whatever the others hear.

use nutmegspread_model::NodeId;
use nutmegspread_policy::control::is_watcher;
use nutmegspread_policy::fleet::{FleetView, NodeView};

fn names(count: usize) -> Vec<NodeId> {
    (1..=count)
        .map(|number| format!("node-{number}").into())
        .collect()
}

fn view_of(heard: &[NodeId], leaving: &[NodeId]) -> FleetView {
    let node_view = |node: &NodeId| NodeView {
        node: node.clone(),
        leaving: leaving.contains(node),
        ..NodeView::default()
    };
    FleetView {
        nodes: heard.iter().map(node_view).collect(),
        ..FleetView::default()
    }
}

fn watchers(heard: &[NodeId], leaving: &[NodeId]) -> Vec<NodeId> {
    let view = view_of(heard, leaving);
    let watching = heard.iter().filter(|node| is_watcher(node, &view));
    watching.cloned().collect()
}

#[test]
fn two_of_seven_watch() {
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
    for cut in 1..nodes.len() {
        let (left, right) = nodes.split_at(cut);
        assert!(!watchers(left, &[]).is_empty());
        assert!(!watchers(right, &[]).is_empty());
    }
}

#[test]
fn a_node_that_hears_nobody_watches() {
    assert!(is_watcher(&"node-4".into(), &FleetView::default()));
}
