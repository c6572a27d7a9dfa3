//! Which requests are admitted while there is too little room, before any attempt is made.

mod admission_control;
mod admission_decision;
mod admission_request;
mod admission_rule;
mod admission_settings;
mod decaying_rate;
mod extra_fraction;
mod fair_share;
mod route_admission;
mod route_groups;

pub use admission_control::AdmissionControl;
pub use admission_decision::{AdmissionDecision, AdmissionRefusal, MissingRoom};
pub use admission_request::{AdmissionOffer, AdmissionRequest};
pub use admission_rule::AdmissionRule;
pub use admission_settings::AdmissionSettings;
pub use decaying_rate::DecayingRate;
pub use extra_fraction::extra_fraction;
pub use fair_share::FairShare;
pub use route_groups::RouteGroups;
