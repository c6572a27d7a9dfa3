//! Schedule of the fault actions of each case.

use super::fault_action::{FaultAction, FaultContext};
use super::load_case::LoadCase;
use std::time::{Duration, SystemTime};
use tokio::time::{Instant, sleep_until};

/// Measurements and errors of a case's fault actions.
#[derive(Clone, Debug, Default)]
pub struct FaultLog {
    /// Time from an accepted drain of a failure domain to the last start of work there.
    pub drain_time: Option<Duration>,
    /// Actions that failed, each with its error.
    pub errors: Vec<String>,
}

/// Fault actions of a case, each with its time as a fraction of the case's length.
pub fn fault_script(case: LoadCase) -> Vec<(f64, FaultAction)> {
    match case {
        LoadCase::Healthy | LoadCase::HalfLoad => vec![],
        LoadCase::Stragglers => vec![(0.0, FaultAction::SlowStragglers)],
        LoadCase::DomainLost => vec![
            (0.25, FaultAction::LoseDomain),
            (0.375, FaultAction::CallDomainDown),
            (0.625, FaultAction::ReturnDomain),
            (0.65, FaultAction::CallDomainUp),
        ],
        LoadCase::DomainDrained => vec![
            (0.25, FaultAction::DrainDomain),
            (0.45, FaultAction::LoseDomain),
            (0.625, FaultAction::ReturnDomain),
            (0.65, FaultAction::ActivateDomain),
        ],
        LoadCase::TargetCold => vec![(0.25, FaultAction::TurnCold), (0.6, FaultAction::TurnCold)],
        LoadCase::ConnectionsSilent => {
            vec![
                (0.25, FaultAction::SilenceConnections),
                (0.6, FaultAction::SilenceConnections),
            ]
        }
        LoadCase::PlatformOutage => vec![
            (0.15, FaultAction::PlatformDown),
            (0.5, FaultAction::PlatformHangs),
            (0.75, FaultAction::PlatformUp),
        ],
        LoadCase::BadVersion => vec![(0.05, FaultAction::StartBadRollout)],
        LoadCase::NodeStopped => vec![(0.25, FaultAction::StopNode)],
    }
}

/// Carries out the fault actions of a case at their times, counted from `start`.
pub async fn run_fault_script(case: LoadCase, start: Instant, context: &FaultContext) -> FaultLog {
    let mut log = FaultLog::default();
    let mut drained_at: Option<SystemTime> = None;
    for (fraction, action) in fault_script(case) {
        sleep_until(start + context.case_time.mul_f64(fraction)).await;
        if action == FaultAction::LoseDomain {
            log.drain_time = drained_at.and_then(|at| time_to_last_start(at, context));
        }
        match context.carry_out(action).await {
            Ok(at) if action == FaultAction::DrainDomain && context.environment.is_some() => {
                drained_at = Some(at);
            }
            Ok(_) => {}
            Err(error) => log.errors.push(format!("{action:?}: {error}")),
        }
    }
    log
}

fn time_to_last_start(drained_at: SystemTime, context: &FaultContext) -> Option<Duration> {
    let last_start = context.last_start_in_faulty_domain()?;
    Some(last_start.duration_since(drained_at).unwrap_or_default())
}
