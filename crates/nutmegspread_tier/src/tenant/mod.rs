//! Tenants: whose key a request carries, and whether the request may pass.

mod access_rule;
mod confirmation_age;
mod key_digest;
mod key_secret;
mod tenant_fault;
mod tenant_keys;
mod tenant_record;

pub use access_rule::{AccessDecision, AccessRule};
pub use confirmation_age::ConfirmationAge;
pub use key_digest::KeyDigest;
pub use key_secret::KeySecret;
pub use tenant_fault::TenantFault;
pub use tenant_keys::TenantKeys;
pub use tenant_record::TenantRecord;
