//! The choice of the node addresses that are advertised to a caller.

use super::{FleetSettings, FleetView, NodeView};
use indexmap::IndexSet;
use nutmegspread_model::{AddressAnswer, NodeAddress};
use rand::Rng;
use rand::seq::SliceRandom;

/// Chooses the addresses for one caller, best first.
///
/// Nodes of the caller's failure domain come first if that domain has at least the average number
/// of nodes. A smaller domain comes first only with a probability of its node count divided by the
/// average, so that it is not overloaded. The last of several addresses is in another domain than
/// the first if there is a node in another domain.
pub fn choose_addresses<R: Rng>(
    settings: &FleetSettings,
    view: &FleetView,
    caller_domain: Option<&str>,
    rng: &mut R,
) -> AddressAnswer {
    let mut nodes: Vec<&NodeView> = view.nodes.iter().filter(|node| !node.leaving).collect();
    nodes.shuffle(rng);
    if let Some(domain) = caller_domain
        && rng.random::<f64>() < relative_domain_size(&nodes, domain)
    {
        nodes.sort_by_key(|node| &*node.domain != domain);
    }
    let mut chosen_nodes: Vec<&NodeView> =
        nodes.iter().take(settings.answer_size).copied().collect();
    if let Some(first) = chosen_nodes.first().copied()
        && chosen_nodes.len() > 1
        && chosen_nodes.iter().all(|node| node.domain == first.domain)
        && let Some(other_domain_node) = nodes.iter().find(|node| node.domain != first.domain)
        && let Some(last) = chosen_nodes.last_mut()
    {
        *last = other_domain_node;
    }
    let addresses = chosen_nodes.into_iter().map(node_address).collect();
    AddressAnswer {
        addresses,
        keep_for: settings.keep_addresses_for,
    }
}

/// Number of nodes in `domain`, divided by the average number of nodes in a domain.
fn relative_domain_size(nodes: &[&NodeView], domain: &str) -> f64 {
    let domains: IndexSet<&str> = nodes.iter().map(|node| &*node.domain).collect();
    let domain_node_count = nodes.iter().filter(|node| &*node.domain == domain).count();
    (domain_node_count * domains.len()) as f64 / nodes.len().max(1) as f64
}

fn node_address(node: &NodeView) -> NodeAddress {
    NodeAddress {
        node: node.node.clone(),
        domain: node.domain.clone(),
        address: node.caller_address.clone(),
    }
}
