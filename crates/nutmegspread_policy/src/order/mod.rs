//! Orders: the journal that lets each run at most once.
