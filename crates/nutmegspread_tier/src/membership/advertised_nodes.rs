//! Which nodes are advertised to callers.

use crate::membership::member_record::MemberRecord;
use crate::room::LevelStage;

/// The nodes that are advertised to callers.
///
/// Load pattern: queries over many shards, which take several times as long on a small node. If there
/// are enough large nodes, only these are advertised, and the others join while half of the large ones
/// state that they are overloaded. Nodes that do not reach enough targets are left out, unless no ready
/// node reaches enough.
#[derive(Clone, Debug)]
pub struct AdvertisedNodes<'a> {
    /// Nodes that are advertised in calm times.
    pub usual: Vec<&'a MemberRecord>,
    /// Nodes that are advertised under overload.
    pub all: Vec<&'a MemberRecord>,
    /// Stage that half of the usual nodes have reached. The others are advertised unless it is calm.
    pub stage: LevelStage,
}

impl<'a> AdvertisedNodes<'a> {
    /// Chooses among the nodes that are `ready`. At least `least` nodes have to be large for the others
    /// to be left out.
    pub fn new(ready: Vec<&'a MemberRecord>, least: usize) -> Self {
        let minimum_cores = maximum(&ready, |record| record.cores) / 2.0;
        let all = prefer(ready, 1, |record| record.serves);
        let usual = prefer(all.clone(), least, |record| record.cores >= minimum_cores);
        let mut stages: Vec<LevelStage> = usual
            .iter()
            .map(|record| LevelStage::of(record.level))
            .collect();
        stages.sort_unstable();
        let stage = stages.get(stages.len() / 2).copied().unwrap_or_default();
        Self { usual, all, stage }
    }

    /// The nodes that are advertised now.
    pub fn present(&self) -> &[&'a MemberRecord] {
        if self.stage == LevelStage::Calm {
            &self.usual
        } else {
            &self.all
        }
    }

    /// Share of common limits that the node with this record gets, from 0 to 1, of `node_count` nodes.
    /// The nodes that are not advertised divide `unnamed_share`.
    ///
    /// While the set changes, nodes know different stages for a while. The usual nodes give up a part
    /// of their share one stage before the others get it, and get it back one stage after, so that the
    /// sum of all shares stays within 1 if a stage is longer than a message takes.
    pub fn limit_share(&self, own: &MemberRecord, node_count: usize, unnamed_share: f64) -> f64 {
        let is_in = |nodes: &[&MemberRecord]| nodes.iter().any(|record| record.node == own.node);
        let divide = |named: usize| {
            let others = node_count.saturating_sub(named);
            let reserved = if others == 0 { 0.0 } else { unnamed_share };
            let named_share = (1.0 - reserved) / named.max(1) as f64;
            (named_share, reserved / others.max(1) as f64)
        };
        let (usual_share, other_share) = divide(self.usual.len());
        let (present_share, _) = divide(self.present().len());
        if is_in(&self.usual) {
            usual_share.min(present_share)
        } else if is_in(&self.all) && self.stage == LevelStage::Overloaded {
            present_share
        } else {
            other_share
        }
    }
}

/// Returns the records for which `fits` holds if there are at least `least` of them; otherwise all
/// `records`.
fn prefer(
    records: Vec<&MemberRecord>,
    least: usize,
    fits: impl Fn(&MemberRecord) -> bool,
) -> Vec<&MemberRecord> {
    let fitting: Vec<&MemberRecord> = records
        .iter()
        .copied()
        .filter(|record| fits(record))
        .collect();
    if fitting.len() >= least {
        fitting
    } else {
        records
    }
}

/// Returns the largest `value` among the records; 0 if there are none.
fn maximum(records: &[&MemberRecord], value: impl Fn(&MemberRecord) -> f64) -> f64 {
    records
        .iter()
        .map(|record| value(record))
        .fold(0.0, f64::max)
}
