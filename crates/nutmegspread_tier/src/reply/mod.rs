//! What a target's response shows about its request.

mod caller_statement;
mod reply_facts;
mod reply_verdict;

pub use caller_statement::CallerStatement;
pub use reply_facts::ReplyFacts;
pub use reply_verdict::ReplyVerdict;
