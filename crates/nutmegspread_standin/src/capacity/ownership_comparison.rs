//! Compares the schemes of assigning targets to nodes.

use super::{FleetSample, OwnershipFigures, OwnershipScheme};
use std::fmt::Write;

/// Computes the figures of every ownership scheme for a fleet.
pub fn compare_ownership(sample: &FleetSample, seed: u64) -> Vec<OwnershipFigures> {
    let compute = |scheme| OwnershipFigures::compute(scheme, sample, seed);
    OwnershipScheme::ALL.into_iter().map(compute).collect()
}

/// Formats the figures of a fleet as a Markdown table with one row for each scheme.
pub fn render_ownership(sample: &FleetSample, figures: &[OwnershipFigures]) -> String {
    let mut text = format!(
        "{}\n\n| scheme | owners a target | targets a node, mean | most | most/mean | \
         connections a node, mean | most | owners a query | moves on a node's leave | \
         moves on a domain's leave | most/mean without the domain |\n\
         |---|---|---|---|---|---|---|---|---|---|---|\n",
        sample.name
    );
    for row in figures {
        let _ = writeln!(
            text,
            "| {} | {} | {:.1} | {} | {:.2} | {:.0} | {} | {:.0} | {:.2} | {:.2} | {:.2} |",
            row.scheme.as_str(),
            row.owners_per_target,
            row.mean_targets,
            row.max_targets,
            row.imbalance,
            row.mean_connections,
            row.max_connections,
            row.owners_per_query,
            row.node_loss_move_ratio,
            row.domain_loss_move_ratio,
            row.domain_loss_imbalance,
        );
    }
    text
}
