//! The naive baseline: a simple gateway with which the results of the nodes are compared.
//!
//! The baseline sends one sub-request per shard to a replica chosen at random, waits for all
//! replies until the hard deadline, and neither hedges nor retries. It alone uses all slots of a
//! target; sub-requests above the slots wait in an unbounded queue.

use super::answer_check::check_answer;
use super::query_outcome::{QueryEnding, QueryOutcome};
use indexmap::IndexMap;
use nutmegspread_model::{
    CoverageReport, QueryAnswer, QueryRequest, RequestId, SearchHit, SearchReply, SearchRequest,
    ShardId, SnapshotMap, TargetId,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout_at};

/// Searchers and deadline of the baseline.
#[derive(Clone, Debug)]
pub struct BaselineSettings {
    /// Snapshot map with the replicas of each shard.
    pub map: SnapshotMap,
    /// Address of each searcher.
    pub addresses: IndexMap<TargetId, SocketAddr>,
    /// Number of slots of each searcher.
    pub slots: u32,
    /// Time after which the baseline stops waiting for replies, from when the query was due.
    pub hard_deadline: Duration,
    /// Seed of the random choice of replicas.
    pub seed: u64,
}

/// A gateway without hedges, retries, budgets or admission control.
pub struct NaiveBaseline {
    settings: BaselineSettings,
    http: reqwest::Client,
    slots: IndexMap<TargetId, Arc<Semaphore>>,
    random: Mutex<Pcg64Mcg>,
    next_request: AtomicU64,
}

impl NaiveBaseline {
    /// Creates the gateway; connections are opened on demand.
    ///
    /// # Errors
    /// When the HTTP client cannot be set up.
    pub fn new(settings: BaselineSettings) -> reqwest::Result<Self> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .http1_only()
            .pool_max_idle_per_host(settings.slots as usize)
            .build()?;
        let target_slots = |target: &TargetId| {
            (
                target.clone(),
                Arc::new(Semaphore::new(settings.slots as usize)),
            )
        };
        let slots = settings.addresses.keys().map(target_slots).collect();
        let random = Mutex::new(Pcg64Mcg::seed_from_u64(settings.seed));
        Ok(Self {
            settings,
            http,
            slots,
            random,
            next_request: AtomicU64::new(0),
        })
    }

    /// Serves one query, which was due at `start`.
    ///
    /// `due` is the same time as an offset from the start of the case.
    pub async fn query(
        self: &Arc<Self>,
        request: QueryRequest,
        due: Duration,
        start: Instant,
    ) -> QueryOutcome {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let id: RequestId = format!("baseline-{}-{number}", self.settings.seed).into();
        let sent = Instant::now();
        let deadline = start + self.settings.hard_deadline;
        let replies = self.gather(&id, &request, deadline).await;
        let answer = self.merge(&id, &request, replies);
        let faults = check_answer(&request, &answer, &self.settings.map)
            .err()
            .map(|fault| fault.to_string());
        let ending = match answer.coverage.is_complete() {
            true => QueryEnding::Complete,
            false => QueryEnding::Partial,
        };
        QueryOutcome {
            due,
            latency: start.elapsed(),
            service_time: sent.elapsed(),
            ending,
            coverage: answer.coverage.fraction(),
            request_id: Some(id),
            version: Some(answer.version.to_string()),
            faults: faults.into_iter().collect(),
        }
    }

    async fn gather(
        self: &Arc<Self>,
        id: &RequestId,
        request: &QueryRequest,
        deadline: Instant,
    ) -> Vec<SearchReply> {
        let mut searches = JoinSet::new();
        for shard in 0..self.settings.map.shards.len() {
            let Some(target) = self.choose_replica(shard) else {
                continue;
            };
            let remaining = deadline.saturating_duration_since(Instant::now());
            let search = SearchRequest {
                request_id: id.clone(),
                attempt: shard as u64,
                snapshot: self.settings.map.snapshot,
                shard: shard as ShardId,
                route: request.route.clone(),
                query: request.query.as_str().into(),
                k: request.k,
                remaining_ms: remaining.as_millis() as u64,
            };
            searches.spawn(Arc::clone(self).search(target, search));
        }
        let mut replies = Vec::new();
        while let Ok(Some(joined)) = timeout_at(deadline, searches.join_next()).await {
            replies.extend(joined.ok().flatten());
        }
        replies
    }

    async fn search(
        self: Arc<Self>,
        target: TargetId,
        search: SearchRequest,
    ) -> Option<SearchReply> {
        let address = self.settings.addresses.get(&target)?;
        let _slot = self.slots.get(&target)?.acquire().await.ok()?;
        let url = format!("http://{address}/v1/search");
        let response = self.http.post(url).json(&search).send().await.ok()?;
        let reply: SearchReply = response.error_for_status().ok()?.json().await.ok()?;
        let matches_search = reply.request_id == search.request_id
            && reply.snapshot == search.snapshot
            && reply.shard == search.shard;
        (matches_search && reply.complete).then_some(reply)
    }

    fn choose_replica(&self, shard: usize) -> Option<TargetId> {
        let replicas = &self.settings.map.shards[shard].replicas;
        if replicas.is_empty() {
            return None;
        }
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        Some(replicas[random.random_range(0..replicas.len())].clone())
    }

    fn merge(
        &self,
        id: &RequestId,
        request: &QueryRequest,
        replies: Vec<SearchReply>,
    ) -> QueryAnswer {
        let total = self.settings.map.shards.len() as u32;
        let is_missing = |shard: &ShardId| replies.iter().all(|reply| reply.shard != *shard);
        let missing: Vec<ShardId> = (0..total).filter(is_missing).collect();
        let answered = total - missing.len() as u32;
        let mut hits: Vec<SearchHit> = replies.into_iter().flat_map(|reply| reply.hits).collect();
        hits.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.id.cmp(&b.id)));
        hits.truncate(request.k as usize);
        QueryAnswer {
            request_id: id.clone(),
            snapshot: self.settings.map.snapshot,
            version: self.settings.map.version.clone(),
            coverage: CoverageReport {
                answered,
                total,
                missing,
            },
            hits,
        }
    }
}
