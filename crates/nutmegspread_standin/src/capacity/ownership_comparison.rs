//! Compares the ways of giving targets to nodes over generated fleets.

use super::{FleetSample, OwnershipFigures, OwnershipScheme};
use std::fmt::Write;

/// Figures of every scheme in a fleet.
pub fn compare_ownership(sample: &FleetSample, seed: u64) -> Vec<OwnershipFigures> {
    let compute = |scheme| OwnershipFigures::compute(scheme, sample, seed);
    OwnershipScheme::ALL.into_iter().map(compute).collect()
}

/// The comparison of a fleet as a table in Markdown.
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
            row.most_targets,
            row.imbalance,
            row.mean_connections,
            row.most_connections,
            row.owners_per_query,
            row.node_loss_move_ratio,
            row.domain_loss_move_ratio,
            row.domain_loss_imbalance,
        );
    }
    text
}
