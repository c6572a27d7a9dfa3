//! Runs the cases of a load run one after the other, against the baseline and the nodes.

use super::case_figures::CaseFigures;
use super::case_runner::{CaseRun, MeasuredSystem};
use super::deployment_plan::DeploymentPlan;
use super::fault_action::FaultContext;
use super::load_case::LoadCase;
use super::load_error::LoadError;
use super::load_report::{CaseReport, LoadReport};
use super::load_settings::LoadSettings;
use super::naive_baseline::{BaselineSettings, NaiveBaseline};
use super::node_caller::{CallerSettings, NodeCaller};
use super::node_environment::NodeEnvironment;
use super::query_outcome::QueryEnding;
use super::searcher_fleet::SearcherFleet;
use super::service_plan::LOAD_ROUTES;
use nutmegspread_model::QueryRequest;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Duration of the load before each measured run; it opens connections and warms searchers.
const WARM_UP_TIME: Duration = Duration::from_secs(3);
/// Pause after each measured run.
const SETTLE_PAUSE: Duration = Duration::from_secs(2);
/// Time for which a caller waits for an answer after the hard deadline.
const CALLER_GRACE: Duration = Duration::from_secs(1);
/// Time between two checks of a node that is not ready.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Starts the stand-ins, runs all cases and returns their report.
///
/// # Errors
/// When a setting is out of range, stand-ins cannot start, or a node refuses the configuration or
/// does not become ready in time.
pub async fn run_load(settings: LoadSettings) -> Result<LoadReport, LoadError> {
    check_settings(&settings)?;
    let plan = Arc::new(settings.deployment.plan());
    let fleet = Arc::new(SearcherFleet::start(&plan, settings.seed).await?);
    let environment = match settings.nodes.is_empty() {
        true => None,
        false => Some(Arc::new(
            NodeEnvironment::start(&settings, &plan, &fleet).await?,
        )),
    };
    let session = LoadSession {
        settings,
        plan,
        fleet,
        environment,
    };
    let report = session.run().await;
    session.close().await;
    report
}

fn check_settings(settings: &LoadSettings) -> Result<(), LoadError> {
    if settings.case_time.is_zero() {
        return Err(LoadError::Setting {
            field: "case_time",
            expected: "more than 0",
        });
    }
    if settings
        .rate
        .is_some_and(|rate| !(rate > 0.0 && rate <= MAX_RATE))
    {
        return Err(LoadError::Setting {
            field: "rate",
            expected: "more than 0, up to 10000",
        });
    }
    Ok(())
}

/// Highest allowed rate, in queries per second.
const MAX_RATE: f64 = 10_000.0;

struct LoadSession {
    settings: LoadSettings,
    plan: Arc<DeploymentPlan>,
    fleet: Arc<SearcherFleet>,
    environment: Option<Arc<NodeEnvironment>>,
}

impl LoadSession {
    async fn run(&self) -> Result<LoadReport, LoadError> {
        let callers = self.build_callers()?;
        self.wait_until_ready().await?;
        let mut report = LoadReport {
            deployment: self.settings.deployment.as_str().into(),
            seed: self.settings.seed,
            cases: Vec::new(),
        };
        for case in &self.settings.cases {
            report.cases.push(self.run_case(*case, &callers).await?);
        }
        Ok(report)
    }

    async fn run_case(
        &self,
        case: LoadCase,
        callers: &[Arc<NodeCaller>],
    ) -> Result<CaseReport, LoadError> {
        let rate = self.rate(case);
        let mut report = CaseReport {
            case,
            rate,
            baseline: None,
            nodes: None,
        };
        if self.settings.with_baseline && !case.skips_baseline() {
            let system = MeasuredSystem::Baseline(Arc::new(self.build_baseline()?));
            report.baseline = Some(self.measure(case, system, "baseline", rate).await);
        }
        if self.environment.is_some() {
            let system = MeasuredSystem::Nodes(callers.to_vec());
            report.nodes = Some(self.measure(case, system, "nodes", rate).await);
        }
        Ok(report)
    }

    /// Applies load without faults to warm up, then runs the case and returns its figures.
    async fn measure(
        &self,
        case: LoadCase,
        system: MeasuredSystem,
        side: &str,
        rate: f64,
    ) -> CaseFigures {
        eprintln!("{case}: {side} at {rate:.0} queries/s");
        let seed = self.settings.seed;
        let warm_up = CaseRun {
            case: LoadCase::Healthy,
            system: system.clone(),
            rate,
            seed: seed ^ 1,
            label: format!("{case} {side} warm-up {seed}"),
            context: self.context(WARM_UP_TIME, &system),
        };
        self.fleet.reset();
        warm_up.run().await;
        self.fleet.reset();
        let label = format!("{case} {side} {seed}");
        let context = self.context(self.settings.case_time, &system);
        let figures = CaseRun {
            case,
            system,
            rate,
            seed,
            label,
            context,
        }
        .run()
        .await;
        self.fleet.reset();
        sleep(SETTLE_PAUSE).await;
        figures
    }

    fn context(&self, case_time: Duration, system: &MeasuredSystem) -> FaultContext {
        let is_baseline = matches!(system, MeasuredSystem::Baseline(_));
        FaultContext {
            plan: Arc::clone(&self.plan),
            fleet: Arc::clone(&self.fleet),
            environment: self.environment.clone().filter(|_| !is_baseline),
            node_pids: self.settings.node_pids.clone(),
            case_time,
        }
    }

    fn rate(&self, case: LoadCase) -> f64 {
        let capacity = self.plan.services[0].capacity(self.plan.network_delay);
        self.settings
            .rate
            .unwrap_or(capacity * case.load_fraction())
    }

    fn build_baseline(&self) -> Result<NaiveBaseline, LoadError> {
        let service = &self.plan.services[0];
        let version = &service.versions[0];
        let searchers = self.fleet.searchers_of(&service.name, version);
        let settings = BaselineSettings {
            map: service.snapshot_map(version, &self.plan.domains),
            addresses: searchers
                .map(|searcher| (searcher.plan.id.clone(), searcher.standin.address()))
                .collect(),
            slots: service.limits.slots,
            hard_deadline: service.coverage.hard_deadline,
            seed: self.settings.seed,
        };
        Ok(NaiveBaseline::new(settings)?)
    }

    /// Creates one caller for each failure domain.
    fn build_callers(&self) -> Result<Vec<Arc<NodeCaller>>, LoadError> {
        let caller = |domain: &nutmegspread_model::DomainName| {
            let settings = CallerSettings {
                domain: Some(domain.clone()),
                ..self.caller_settings()
            };
            Ok(Arc::new(NodeCaller::new(settings)?))
        };
        self.plan.domains.iter().map(caller).collect()
    }

    fn caller_settings(&self) -> CallerSettings {
        let service = &self.plan.services[0];
        let version_map = |version| {
            (
                Clone::clone(version),
                service.snapshot_map(version, &self.plan.domains),
            )
        };
        CallerSettings {
            seeds: self.settings.nodes.clone(),
            domain: None,
            timeout: service.coverage.hard_deadline + CALLER_GRACE,
            maps: service.versions.iter().map(version_map).collect(),
        }
    }

    /// Waits until every node has given a complete answer to a query sent to its own address.
    async fn wait_until_ready(&self) -> Result<(), LoadError> {
        let limit = self.settings.ready_limit;
        let give_up_at = Instant::now() + limit;
        for address in &self.settings.nodes {
            while !self.is_ready(address).await? {
                if Instant::now() >= give_up_at {
                    let (address, waited_s) = (address.clone(), limit.as_secs());
                    return Err(LoadError::NotReady { address, waited_s });
                }
                sleep(READY_CHECK_INTERVAL).await;
            }
        }
        Ok(())
    }

    async fn is_ready(&self, address: &str) -> Result<bool, LoadError> {
        let caller = NodeCaller::with_fixed_address(address, self.caller_settings())?;
        let query = QueryRequest {
            route: LOAD_ROUTES[0].into(),
            query: "ready".into(),
            k: 1,
            deadline_ms: None,
        };
        let service = &self.plan.services[0].name;
        let outcome = caller
            .query(service, query, Duration::ZERO, Instant::now())
            .await;
        Ok(outcome.ending == QueryEnding::Complete)
    }

    async fn close(self) {
        if let Some(environment) = self.environment.and_then(Arc::into_inner) {
            environment.close().await;
        }
        if let Some(fleet) = Arc::into_inner(self.fleet) {
            fleet.close().await;
        }
    }
}
