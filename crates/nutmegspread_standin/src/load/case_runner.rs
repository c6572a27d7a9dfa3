//! Runs one case against the naive baseline or the nodes.

use super::arrival_schedule::arrival_offsets;
use super::case_figures::CaseFigures;
use super::fault_action::FaultContext;
use super::fault_script::run_fault_script;
use super::load_case::LoadCase;
use super::naive_baseline::NaiveBaseline;
use super::node_caller::NodeCaller;
use super::order_load::{OrderPlan, run_orders};
use super::process_time::total_process_time;
use super::query_outcome::QueryOutcome;
use super::record_check::{check_orders, check_queries};
use super::service_plan::LOAD_ROUTES;
use nutmegspread_model::{QueryRequest, ServiceName};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

/// Number of hits that each query requests.
const HITS_PER_QUERY: u32 = 10;
/// Time between the call of [`CaseRun::run`] and the start of the case's schedule.
const START_DELAY: Duration = Duration::from_millis(50);

/// System under test, which receives the queries.
#[derive(Clone)]
pub enum MeasuredSystem {
    /// The naive baseline, called within this process.
    Baseline(Arc<NaiveBaseline>),
    /// Running nodes; the callers take turns to send queries.
    Nodes(Vec<Arc<NodeCaller>>),
}

/// One case to run, with the system under test and its load.
#[derive(Clone)]
pub struct CaseRun {
    /// Case whose faults are injected.
    pub case: LoadCase,
    /// System that receives the queries.
    pub system: MeasuredSystem,
    /// Queries per second.
    pub rate: f64,
    /// Seed of the arrival schedule.
    pub seed: u64,
    /// Start of each query text; makes the queries of this run differ from those of other runs.
    pub label: String,
    /// Stand-ins and nodes that the faults affect.
    pub context: FaultContext,
}

impl CaseRun {
    /// Sends queries and orders, injects the faults and computes the figures.
    pub async fn run(self) -> CaseFigures {
        let start = Instant::now() + START_DELAY;
        let processor_time_before = total_process_time(&self.context.node_pids);
        let arrived_before = self.context.fleet.arrived();
        let orders = async {
            match self.order_plan() {
                Some(plan) => run_orders(plan, start, self.context.case_time).await,
                None => Default::default(),
            }
        };
        let script = run_fault_script(self.case, start, &self.context);
        let (outcomes, orders, log) = tokio::join!(self.send_queries(start), orders, script);
        let mut figures = self.query_figures(&outcomes);
        let arrived = self.context.fleet.arrived() - arrived_before;
        self.add_searcher_figures(&mut figures, arrived);
        figures
            .faults
            .extend(check_queries(&outcomes, &self.context.fleet));
        figures
            .faults
            .extend(check_orders(&orders, &self.context.fleet));
        figures.orders = orders.len() as u64;
        figures.orders_answered = orders
            .values()
            .filter(|endings| has_answer(endings))
            .count() as u64;
        figures.drain_time = log.drain_time;
        figures.failures.extend(log.errors);
        let processor_time_used =
            total_process_time(&self.context.node_pids).checked_sub(processor_time_before);
        if let MeasuredSystem::Nodes(_) = self.system
            && !self.context.node_pids.is_empty()
        {
            figures.processor_time = processor_time_used
                .map(|time| time / u32::try_from(arrived.max(1)).unwrap_or(u32::MAX));
        }
        figures
    }

    async fn send_queries(&self, start: Instant) -> Vec<QueryOutcome> {
        let mut queries = JoinSet::new();
        let service = self.context.plan.services[0].name.clone();
        let offsets = arrival_offsets(self.seed, self.rate, self.context.case_time);
        for (number, due) in offsets.into_iter().enumerate() {
            sleep_until(start + due).await;
            let query = QueryRequest {
                route: LOAD_ROUTES[number % LOAD_ROUTES.len()].into(),
                query: format!("{} {number}", self.label),
                k: HITS_PER_QUERY,
                deadline_ms: None,
            };
            let system = self.system.clone();
            queries.spawn(system.query(service.clone(), query, number, due, start + due));
        }
        queries.join_all().await
    }

    fn order_plan(&self) -> Option<OrderPlan> {
        let MeasuredSystem::Nodes(callers) = &self.system else {
            return None;
        };
        let service = self
            .context
            .plan
            .services
            .iter()
            .find(|service| service.orders)?;
        Some(OrderPlan {
            service: service.name.clone(),
            callers: callers.clone(),
            key_prefix: format!("{}-{}", self.label.replace(' ', "-"), self.seed),
            seed: self.seed,
        })
    }

    fn query_figures(&self, outcomes: &[QueryOutcome]) -> CaseFigures {
        let service = &self.context.plan.services[0];
        let mut figures = CaseFigures::from_outcomes(outcomes, service.coverage.hard_deadline);
        figures.add_added_times(outcomes, &self.context.fleet.slowest_times(&service.name));
        figures.add_other_versions(outcomes, &service.versions[0]);
        figures
    }

    fn add_searcher_figures(&self, figures: &mut CaseFigures, arrived: u64) {
        let shards = u64::from(self.context.plan.services[0].shards);
        let required_requests = (figures.queries - figures.refused) * shards + figures.orders;
        figures.extra_fraction = arrived as f64 / required_requests.max(1) as f64 - 1.0;
        for searcher in self.context.fleet.searchers() {
            let counters = searcher.standin.counters();
            figures.cold_excess += counters.cold_excess;
            figures.last_cold_excess = figures.last_cold_excess.max(counters.last_cold_excess);
        }
    }
}

impl MeasuredSystem {
    async fn query(
        self,
        service: ServiceName,
        request: QueryRequest,
        number: usize,
        due: Duration,
        start: Instant,
    ) -> QueryOutcome {
        match self {
            Self::Baseline(baseline) => baseline.query(request, due, start).await,
            Self::Nodes(callers) => {
                callers[number % callers.len()]
                    .query(&service, request, due, start)
                    .await
            }
        }
    }
}

fn has_answer(endings: &[super::node_caller::OrderEnding]) -> bool {
    let is_answer = |ending| matches!(ending, &super::node_caller::OrderEnding::Answered(_));
    endings.iter().any(is_answer)
}
