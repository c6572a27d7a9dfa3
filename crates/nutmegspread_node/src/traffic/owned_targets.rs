//! The runners of all targets that the node knows.

use super::target_runner::{RunnerContext, TargetDump, TargetRunner};
use indexmap::IndexMap;
use nutmegspread_model::TargetId;
use nutmegspread_policy::routing::{RoutingView, ServiceView, TargetShare, TargetView};
use nutmegspread_policy::target::OwnedTarget;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError, RwLock};

/// A runner for each target of the published view. The share of a runner is empty if this node does
/// not own a share of its target.
pub struct OwnedTargets {
    context: RunnerContext,
    runners: RwLock<IndexMap<TargetId, Arc<TargetRunner>>>,
}

impl OwnedTargets {
    /// Creates an empty set.
    pub fn new(context: RunnerContext) -> Self {
        Self {
            context,
            runners: RwLock::default(),
        }
    }

    /// Runner of a target; `None` if the published view does not contain the target.
    pub fn find(&self, target: &str) -> Option<Arc<TargetRunner>> {
        let runners = self.runners.read().unwrap_or_else(PoisonError::into_inner);
        runners.get(target).cloned()
    }

    /// Applies a view: starts runners of new targets, sets the share of every runner, and removes the
    /// runners of targets that were removed or got another address. A removed runner first loses its
    /// share.
    pub fn apply(&self, view: &RoutingView) {
        let valid_until = u64::try_from(view.shares_valid_until.as_nanos()).unwrap_or(u64::MAX);
        self.context
            .shares_valid_until
            .store(valid_until, Ordering::Release);
        let mut runners = self.runners.write().unwrap_or_else(PoisonError::into_inner);
        for (target, runner) in runners.iter() {
            let known = view
                .services
                .values()
                .find_map(|service| service.targets.get(target));
            if known.is_none_or(|known| known.address != runner.address()) {
                runner.set_share(TargetShare::default(), 0);
            }
        }
        runners.retain(|target, runner| {
            view.services.values().any(|service| {
                service
                    .targets
                    .get(target)
                    .is_some_and(|known| known.address == runner.address())
            })
        });
        for service in view.services.values() {
            for (id, target) in &service.targets {
                let runner = runners
                    .entry(id.clone())
                    .or_insert_with(|| self.start_runner(id, target, service));
                let share = if target.accepts_work {
                    target.share
                } else {
                    TargetShare::default()
                };
                runner.set_share(share, target.return_count);
            }
        }
    }

    /// State of every runner, for the dump.
    pub fn dump(&self) -> IndexMap<TargetId, TargetDump> {
        let runners = self.runners.read().unwrap_or_else(PoisonError::into_inner);
        runners
            .iter()
            .map(|(target, runner)| (target.clone(), runner.dump()))
            .collect()
    }

    fn start_runner(
        &self,
        id: &TargetId,
        target: &TargetView,
        service: &ServiceView,
    ) -> Arc<TargetRunner> {
        let now = self.context.clock.now();
        let queue_limit = service.settings.queue_limit;
        let policy = OwnedTarget::new(target.limits.clone(), queue_limit, now);
        let address = target.address.clone();
        TargetRunner::start(id.clone(), address, policy, self.context.clone())
    }
}
