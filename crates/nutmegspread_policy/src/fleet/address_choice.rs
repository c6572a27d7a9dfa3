//! Which addresses a caller is told to use.

use super::{FleetSettings, FleetView, NodeView};
use indexmap::IndexSet;
use nutmegspread_model::{AddressAnswer, NodeAddress};
use rand::Rng;
use rand::seq::SliceRandom;

/// Addresses for one caller, best first.
///
/// Nodes of the caller's failure domain come first in as many answers as that domain has its part
/// of the nodes, so that a domain with few nodes is not overrun. The last address lies in another
/// domain than the first where there is one.
pub fn choose_addresses<R: Rng>(
    settings: &FleetSettings,
    view: &FleetView,
    caller_domain: Option<&str>,
    rng: &mut R,
) -> AddressAnswer {
    let mut nodes: Vec<&NodeView> = view.nodes.iter().filter(|node| !node.leaving).collect();
    nodes.shuffle(rng);
    if let Some(domain) = caller_domain
        && rng.random::<f64>() < near_fraction(&nodes, domain)
    {
        nodes.sort_by_key(|node| &*node.domain != domain);
    }
    let mut chosen: Vec<&NodeView> = nodes.iter().take(settings.answer_size).copied().collect();
    if let Some(first) = chosen.first().copied()
        && chosen.len() > 1
        && chosen.iter().all(|node| node.domain == first.domain)
        && let Some(other) = nodes.iter().find(|node| node.domain != first.domain)
        && let Some(last) = chosen.last_mut()
    {
        *last = other;
    }
    let addresses = chosen.into_iter().map(to_address).collect();
    AddressAnswer {
        addresses,
        keep_for: settings.keep_addresses_for,
    }
}

fn near_fraction(nodes: &[&NodeView], domain: &str) -> f64 {
    let domains: IndexSet<&str> = nodes.iter().map(|node| &*node.domain).collect();
    let near = nodes.iter().filter(|node| &*node.domain == domain).count();
    (near * domains.len()) as f64 / nodes.len().max(1) as f64
}

fn to_address(node: &NodeView) -> NodeAddress {
    NodeAddress {
        node: node.node.clone(),
        domain: node.domain.clone(),
        address: node.caller_address.clone(),
    }
}
