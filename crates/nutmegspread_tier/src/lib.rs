//! Decision logic for the forwarding of requests, without I/O.
//!
//! Every result depends only on the time, the state and the input. The code that uses this crate
//! passes in the current time, carries out the returned decisions and reports their results. The
//! crate itself never waits, sends messages or reads a clock.
//!
//! ```
//! use nutmegspread_tier::{RetryBudget, RetryBudgetSettings};
//! use std::time::{Duration, Instant};
//!
//! let settings = RetryBudgetSettings { ratio: 0.2, slack: 1.0, ..Default::default() };
//! let mut budget = RetryBudget::new(settings);
//! let now = Instant::now();
//! budget.count_request(now);
//! assert!(budget.take_extra(now, 1.0), "the slack allows one extra attempt");
//! assert!(!budget.take_extra(now + Duration::from_millis(1), 1.0));
//! ```

mod admission;
mod answer_memory;
mod answer_timing;
mod attempt_sequence;
mod caller_memory;
mod cold_allowance;
mod configuration_check;
mod connection_allowance;
mod connection_choice;
mod cost;
mod evidence_schedule;
mod excess_evidence;
mod gather_run;
mod health_outcome;
mod latency_window;
mod membership;
mod reach_statement;
mod record_merge;
mod reply;
mod retry_budget;
mod return_time;
mod rollout_control;
mod rollout_order;
mod rollout_settings;
mod room;
mod route_table;
mod service_gate;
mod service_route;
mod store_knowledge;
mod target_choice;
mod target_health;
mod target_record;
mod target_wishes;
mod tenant;
mod usage;
mod version_chooser;
mod version_counts;
mod waiting;
mod weighted_split;

pub use admission::{
    AdmissionControl, AdmissionDecision, AdmissionOffer, AdmissionRefusal, AdmissionRequest,
    AdmissionRule, AdmissionSettings, DecayingRate, FairShare, MissingRoom, RouteGroups,
    extra_fraction,
};
pub use answer_memory::AnswerMemory;
pub use answer_timing::{AnswerTiming, TimingSettings};
pub use attempt_sequence::{
    AttemptChooser, AttemptOutcome, AttemptReason, AttemptSequence, TargetKey,
};
pub use caller_memory::{
    BodyKey, BodyProgress, CallerMemory, ConnectionPhase, ConnectionRoom, MemoryVerdict,
    ProgressSettings, RoomKey, RoomVerdict,
};
pub use cold_allowance::{ColdAllowance, cold_share};
pub use configuration_check::{
    CheckLimits, CheckedField, ConfigurationFinding, ConfigurationPart, check_table,
};
pub use connection_allowance::ConnectionAllowance;
pub use connection_choice::{ConnectionChoice, ConnectionKey, IdleConnection, RequestConnections};
pub use cost::{CostEstimate, OutstandingWork, RequestCost, TargetSpeed};
pub use evidence_schedule::{EvidenceLimits, EvidenceSchedule};
pub use excess_evidence::{SampleCounts, excess_strength};
pub use gather_run::{GatherAttempt, GatherProgress, GatherRun};
pub use health_outcome::HealthOutcome;
pub use latency_window::LatencyWindow;
pub use membership::{
    ContactSettings, FleetPlace, MemberRecord, MemberSettings, MemberTable, MemberView,
    ReadUrgency, StoreContact, TableChanges, WatchRole,
};
pub use reach_statement::{ReachSettings, ReachStatement};
pub use record_merge::{RECORD_BYTES, greatest_records};
pub use reply::{CallerStatement, ReplyFacts, ReplyVerdict};
pub use retry_budget::{RetryBudget, RetryBudgetSettings};
pub use return_time::{ReturnSchedule, return_time};
pub use rollout_control::{RolloutControl, RolloutStage};
pub use rollout_order::{RolloutOrder, RolloutState};
pub use rollout_settings::RolloutSettings;
pub use room::{
    AttemptShare, CalmLatency, DelayWindow, LevelStage, LevelWatch, NodeRoom, PRIORITY_RANKS,
    RankLevel, RoomSettings, StatedLevel, TargetRoom, priority_rank,
};
pub use route_table::{CallerLimits, RouteTable, ServiceLimits};
pub use service_gate::{GateSettings, ServiceGate};
pub use service_route::{GatherRule, RepeatRule, RouteDestination, ServiceRoute};
pub use store_knowledge::{
    EraObservation, EraTracker, EvacuationSet, EvacuationSettings, EvidenceBounds, EvidenceUse,
    KnownRollouts, RegistryChange, RegistrySettings, StatedEra, StorePosition, TargetRegistry,
};
pub use target_choice::{TargetCandidate, choose_target};
pub use target_health::{HealthSettings, TargetHealth};
pub use target_record::TargetRecord;
pub use target_wishes::TargetWishes;
pub use tenant::{
    AccessDecision, AccessRule, ConfirmationAge, KeyDigest, KeySecret, TenantFault, TenantKeys,
    TenantRecord,
};
pub use usage::{
    AttemptNumber, CountChange, DutyAction, DutyEvent, DutySettings, DutyStanding, DutyTime,
    FinalCounts, NodeRun, ReportDuty, ReportOutcome, ReportPermission, RequestCount, StoredUsage,
    TrueClock, UsageAnswer, UsageCounts, UsageLedger, UsageMerge, UsageMessage, UsageReceipt,
    UsageRecord, UsageReport, WindowNumber, WindowSchedule, WriteOutcome,
};
pub use version_chooser::{ExposureSettings, VersionChoice, VersionChooser};
pub use version_counts::{AnswerCounts, RolloutEvidence, VersionCounts};
pub use waiting::{FlightLimit, WaitingKey, WaitingQueue, WaitingTerms};
pub use weighted_split::WeightedSplit;

use std::sync::Arc;

/// Name of a service.
pub type ServiceName = Arc<str>;
/// Name of a route.
pub type RouteName = Arc<str>;
/// Id of a target.
pub type TargetId = Arc<str>;
/// Name of a failure domain.
pub type FailureDomain = Arc<str>;
/// Name of a node.
pub type NodeName = Arc<str>;
/// Name of a tenant.
pub type TenantName = Arc<str>;
