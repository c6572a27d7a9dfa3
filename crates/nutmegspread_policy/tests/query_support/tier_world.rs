//! Simulates three nodes and the targets that they share in virtual time.

use super::query_world::{VERSION, whole_reply};
use indexmap::IndexMap;
use nutmegspread_model::*;
use nutmegspread_policy::query::*;
use nutmegspread_policy::routing::{ServiceView, TargetShare, TargetView, VersionView};
use nutmegspread_policy::target::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

pub const NODES: usize = 3;
const NETWORK_DELAY: Duration = Duration::from_millis(1);
const CALLER_DEADLINE: Duration = Duration::from_secs(1);

/// A simulated target that counts its concurrent requests.
#[derive(Clone, Debug)]
pub struct SimulatedTarget {
    pub incarnation: Incarnation,
    pub completed: u32,
    pub running: BTreeSet<(usize, TicketId)>,
    pub last_arrival: MonotonicTime,
    /// Largest number of concurrent requests while the target was cold.
    pub cold_peak: usize,
    /// Largest number of concurrent requests.
    pub peak: usize,
}

/// An event of the simulation. The first number is the index of the node concerned; in `Submit` it
/// is the node that runs the query, followed by the owner that sends the request.
#[derive(Clone, Debug)]
enum TierEvent {
    NewQuery,
    QueryWake(usize, RequestId),
    Submit(usize, usize, AttemptId, TargetId, bool, SearchRequest),
    Outcome(usize, AttemptId, SubOutcome),
    CancelAt(usize, AttemptId),
    OwnerTick(usize, TargetId),
    Opened(usize, TargetId, ConnectionId),
    Arrive(usize, TargetId, TicketId, Incarnation),
    Done(usize, TargetId, TicketId, Incarnation),
    Mark(usize, TargetId, WarmthMark),
}

struct TierNode {
    view: ServiceView,
    table: ServiceTable,
    runs: IndexMap<RequestId, QueryRun>,
    owned: IndexMap<TargetId, OwnedTarget>,
}

/// A request that an owner handles: the node that runs the query, the request and when it was
/// submitted.
#[derive(Clone)]
struct OwnerWork {
    origin: usize,
    request: SearchRequest,
    sent_at: MonotonicTime,
}

pub struct TierWorld {
    pub now: MonotonicTime,
    pub targets: IndexMap<TargetId, SimulatedTarget>,
    pub answers: Vec<(MonotonicTime, QueryAnswer)>,
    pub refusals: u32,
    limits: TargetLimits,
    nodes: Vec<TierNode>,
    work: BTreeMap<(usize, TargetId, TicketId), OwnerWork>,
    events: BTreeMap<(MonotonicTime, u64), TierEvent>,
    next_event: u64,
    next_ticket: TicketId,
    rng: Pcg64,
}

impl TierWorld {
    /// Creates nodes and targets with two replicas of each shard. The replicas are in different
    /// halves of the targets; each half is a failure domain of `half` targets.
    pub fn new(seed: u64, half: usize, limits: TargetLimits) -> Self {
        let name = |number: usize| -> TargetId { format!("t{number}").into() };
        let shards = (0..half).map(|number| ShardPlacement {
            replicas: vec![name(number), name(half + (number + 1) % half)],
        });
        let map = Arc::new(SnapshotMap {
            version: VERSION.into(),
            snapshot: 1,
            shards: shards.collect(),
            ..Default::default()
        });
        let version = VersionView {
            share: 1.0,
            map: Some(map),
            previous_map: None,
            ..VersionView::default()
        };
        let mut world = Self {
            now: Duration::ZERO,
            targets: IndexMap::new(),
            answers: Vec::new(),
            refusals: 0,
            limits,
            nodes: Vec::new(),
            work: BTreeMap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            next_ticket: 0,
            rng: Pcg64::seed_from_u64(seed),
        };
        for node in 0..NODES {
            let mut view = ServiceView::default();
            view.versions.insert(VERSION.into(), version.clone());
            let table = ServiceTable::new(1 + 1_000_000 * node as u64);
            let (runs, owned) = (IndexMap::new(), IndexMap::new());
            world.nodes.push(TierNode {
                view,
                table,
                runs,
                owned,
            });
        }
        for number in 0..2 * half {
            let target = SimulatedTarget {
                incarnation: 1,
                completed: 0,
                running: BTreeSet::new(),
                last_arrival: Duration::ZERO,
                cold_peak: 0,
                peak: 0,
            };
            world.targets.insert(name(number), target);
            for node in 0..NODES {
                world.set_serving(node, &name(number), true, 0);
            }
        }
        world.schedule(NETWORK_DELAY, TierEvent::NewQuery);
        world
    }

    /// Sets on one node whether a target accepts work and the target's return count.
    pub fn set_serving(&mut self, node: usize, target: &TargetId, serving: bool, returns: u64) {
        let number: usize = target[1..].parse().unwrap();
        let (first, second) = (number % NODES, (number + 1) % NODES);
        let half = self.limits.slots / 2;
        let share = match node {
            _ if !serving => TargetShare::default(),
            node if node == first => TargetShare {
                slots: half,
                connections: half + 1,
                leads: true,
            },
            node if node == second => TargetShare {
                slots: half,
                connections: half + 1,
                leads: false,
            },
            _ => TargetShare::default(),
        };
        let view = TargetView {
            version: VERSION.into(),
            accepts_work: serving,
            return_count: returns,
            owners: vec![format!("{first}").into(), format!("{second}").into()],
            share,
            ..Default::default()
        };
        self.nodes[node]
            .view
            .targets
            .insert(target.clone(), Arc::new(view));
        let input = TargetInput::Share {
            share,
            return_count: returns,
        };
        self.step_owner(node, target, input);
    }

    /// Restarts the target's process: its requests are lost and their connections break.
    pub fn restart_target(&mut self, target: &TargetId) {
        let simulated = &mut self.targets[target];
        simulated.incarnation += 1;
        simulated.completed = 0;
        let lost = std::mem::take(&mut simulated.running);
        for (node, ticket) in lost {
            self.end_request(node, target, ticket, Err(SubFailure::ConnectionLost));
        }
    }

    pub fn is_warm(&self, target: &TargetId) -> bool {
        let owners = self.nodes.iter().filter_map(|node| {
            let holds = !node.view.targets[target].share.is_empty();
            node.owned.get(target).filter(|_| holds)
        });
        owners.into_iter().all(|owner| !owner.is_cold())
    }

    pub fn run_until(&mut self, until: MonotonicTime) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.process(event);
        }
        self.now = until;
    }

    fn schedule(&mut self, delay: Duration, event: TierEvent) {
        self.events
            .insert((self.now + delay, self.next_event), event);
        self.next_event += 1;
    }

    fn process(&mut self, event: TierEvent) {
        match event {
            TierEvent::NewQuery => self.new_query(),
            TierEvent::QueryWake(node, id) => self.step_query(node, &id, QueryInput::Tick),
            TierEvent::Submit(origin, owner, ticket, target, extra, request) => {
                let deadline = self.now + Duration::from_millis(request.remaining_ms);
                let work = OwnerWork {
                    origin,
                    request,
                    sent_at: self.now,
                };
                self.work.insert((owner, target.clone(), ticket), work);
                let input = TargetInput::Submit {
                    ticket,
                    extra,
                    deadline,
                };
                self.step_owner(owner, &target, input);
            }
            TierEvent::Outcome(node, attempt, outcome) => {
                let runs = self.nodes[node].runs.keys().cloned().collect::<Vec<_>>();
                for id in runs {
                    let outcome = outcome.clone();
                    self.step_query(node, &id, QueryInput::Outcome { attempt, outcome });
                }
            }
            TierEvent::CancelAt(origin, attempt) => {
                let found = self
                    .work
                    .iter()
                    .find(|(_, work)| work.origin == origin && work.request.attempt == attempt);
                if let Some(((owner, target, ticket), _)) = found.map(|(key, _)| (key.clone(), ()))
                {
                    self.targets[&target].running.remove(&(owner, ticket));
                    self.work.remove(&(owner, target.clone(), ticket));
                    self.step_owner(owner, &target, TargetInput::Cancel { ticket });
                }
            }
            TierEvent::OwnerTick(node, target) => {
                self.step_owner(node, &target, TargetInput::Tick);
            }
            TierEvent::Opened(node, target, connection) => {
                self.step_owner(node, &target, TargetInput::Opened { connection });
            }
            TierEvent::Arrive(node, target, ticket, incarnation) => {
                self.arrive(node, &target, ticket, incarnation);
            }
            TierEvent::Done(node, target, ticket, incarnation) => {
                self.complete(node, &target, ticket, incarnation);
            }
            TierEvent::Mark(node, target, mark) => {
                self.step_owner(node, &target, TargetInput::Reported(mark));
            }
        }
    }

    fn new_query(&mut self) {
        let node = self.rng.random_range(0..NODES);
        let id: RequestId = format!("q{}", self.next_event).into();
        let map = self.nodes[node].view.versions[VERSION].map.clone().unwrap();
        let plan = QueryPlan {
            request_id: id.clone(),
            version: VERSION.into(),
            map,
            k: 1,
            deadline: CALLER_DEADLINE,
            ..Default::default()
        };
        let run = QueryRun::new(plan, self.now);
        self.nodes[node].runs.insert(id.clone(), run);
        self.step_query(node, &id, QueryInput::Start);
        let interval = Duration::from_micros(self.rng.random_range(5_000..15_000));
        self.schedule(interval, TierEvent::NewQuery);
    }

    fn step_query(&mut self, node: usize, id: &RequestId, input: QueryInput) {
        let TierNode {
            view, table, runs, ..
        } = &mut self.nodes[node];
        let Some(run) = runs.get_mut(id) else {
            return;
        };
        let output = run.step(self.now, input, view, table, &mut self.rng);
        for action in output.actions {
            self.perform_query_action(node, id, action);
        }
        if let Some(at) = output.wake_at {
            let event = TierEvent::QueryWake(node, id.clone());
            self.wake(
                at,
                event,
                |scheduled| matches!(scheduled, TierEvent::QueryWake(_, other) if other == id),
            );
        }
    }

    /// Schedules a wake-up unless an event for which `same` holds is due by then.
    fn wake(&mut self, at: MonotonicTime, event: TierEvent, same: impl Fn(&TierEvent) -> bool) {
        let scheduled = self
            .events
            .range(..=(at, u64::MAX))
            .any(|(_, scheduled)| same(scheduled));
        if !scheduled {
            self.schedule(at.saturating_sub(self.now), event);
        }
    }

    fn perform_query_action(&mut self, node: usize, id: &RequestId, action: QueryAction) {
        match action {
            QueryAction::Send {
                target,
                owner,
                extra,
                request,
            } => {
                let owner = owner.map_or(node, |owner| owner.parse().unwrap());
                let delay = if owner == node {
                    Duration::ZERO
                } else {
                    NETWORK_DELAY
                };
                self.next_ticket += 1;
                let ticket = self.next_ticket;
                self.schedule(
                    delay,
                    TierEvent::Submit(node, owner, ticket, target, extra, request),
                );
            }
            QueryAction::Cancel { attempt } => {
                self.schedule(NETWORK_DELAY, TierEvent::CancelAt(node, attempt));
            }
            QueryAction::Answer(answer) => {
                self.nodes[node].runs.swap_remove(id);
                self.answers.push((self.now, answer));
            }
            QueryAction::Refuse { .. } => {
                self.nodes[node].runs.swap_remove(id);
                self.refusals += 1;
            }
        }
    }

    fn step_owner(&mut self, node: usize, target: &TargetId, input: TargetInput) {
        let now = self.now;
        let limits = self.limits.clone();
        let owned = &mut self.nodes[node].owned;
        let owner = owned
            .entry(target.clone())
            .or_insert_with(|| OwnedTarget::new(limits, 8, now));
        let output = owner.step(now, input);
        for action in output.actions {
            self.perform_owner_action(node, target, action);
        }
        if let Some(at) = output.wake_at {
            let event = TierEvent::OwnerTick(node, target.clone());
            self.wake(at, event, |scheduled| {
                matches!(scheduled, TierEvent::OwnerTick(other, name) if *other == node && name == target)
            });
        }
    }

    fn perform_owner_action(&mut self, node: usize, target: &TargetId, action: TargetAction) {
        let name = target.clone();
        match action {
            TargetAction::Open { connection } => {
                let cost = self.limits.connection_cost;
                self.schedule(cost, TierEvent::Opened(node, name, connection));
            }
            TargetAction::Send { ticket, .. } => {
                let incarnation = self.targets[target].incarnation;
                self.schedule(
                    NETWORK_DELAY / 2,
                    TierEvent::Arrive(node, name, ticket, incarnation),
                );
            }
            TargetAction::Refuse { ticket, failure } => {
                self.report_outcome(node, target, ticket, |_| {
                    AttemptStage::Queued.failure_outcome(failure)
                });
            }
            TargetAction::Close { .. } => {}
            TargetAction::Report(mark) => {
                for other in (0..NODES).filter(|other| *other != node) {
                    let delay = Duration::from_millis(self.rng.random_range(1..50));
                    self.schedule(delay, TierEvent::Mark(other, name.clone(), mark));
                }
            }
        }
    }

    fn arrive(
        &mut self,
        node: usize,
        target: &TargetId,
        ticket: TicketId,
        incarnation: Incarnation,
    ) {
        let cancelled = !self.work.contains_key(&(node, target.clone(), ticket));
        let simulated = &mut self.targets[target];
        if cancelled {
            return;
        }
        if simulated.incarnation != incarnation {
            return self.end_request(node, target, ticket, Err(SubFailure::ConnectionLost));
        }
        simulated.running.insert((node, ticket));
        simulated.last_arrival = self.now;
        simulated.peak = simulated.peak.max(simulated.running.len());
        if simulated.completed < self.limits.warm_after {
            simulated.cold_peak = simulated.cold_peak.max(simulated.running.len());
        }
        let time = Duration::from_micros(self.rng.random_range(2_000..6_000));
        self.schedule(
            time,
            TierEvent::Done(node, target.clone(), ticket, incarnation),
        );
    }

    fn complete(
        &mut self,
        node: usize,
        target: &TargetId,
        ticket: TicketId,
        incarnation: Incarnation,
    ) {
        let simulated = &mut self.targets[target];
        let current = simulated.incarnation == incarnation;
        if current && simulated.running.remove(&(node, ticket)) {
            simulated.completed += 1;
            let cold = simulated.completed < self.limits.warm_after;
            let state = if cold {
                TargetState::Cold
            } else {
                TargetState::Warm
            };
            self.end_request(node, target, ticket, Ok((state, incarnation)));
        }
    }

    fn end_request(
        &mut self,
        node: usize,
        target: &TargetId,
        ticket: TicketId,
        end: Result<(TargetState, Incarnation), SubFailure>,
    ) {
        let Some(work) = self.work.get(&(node, target.clone(), ticket)) else {
            return;
        };
        let latency = self.now - work.sent_at;
        let result = match end {
            Ok((state, incarnation)) => TicketResult::Replied {
                state,
                incarnation,
                latency,
            },
            Err(failure) => TicketResult::Failed(failure),
        };
        self.report_outcome(node, target, ticket, |request| match end {
            Ok((state, incarnation)) => SubOutcome::Reply(SearchReply {
                state,
                incarnation,
                ..whole_reply(request, Vec::new())
            }),
            Err(failure) => AttemptStage::Sent.failure_outcome(failure),
        });
        self.step_owner(node, target, TargetInput::Finished { ticket, result });
    }

    fn report_outcome(
        &mut self,
        node: usize,
        target: &TargetId,
        ticket: TicketId,
        outcome: impl FnOnce(&SearchRequest) -> SubOutcome,
    ) {
        if let Some(work) = self.work.remove(&(node, target.clone(), ticket)) {
            let outcome = outcome(&work.request);
            let delay = if work.origin == node {
                Duration::ZERO
            } else {
                NETWORK_DELAY
            };
            let event = TierEvent::Outcome(work.origin, work.request.attempt, outcome);
            self.schedule(delay, event);
        }
    }
}
