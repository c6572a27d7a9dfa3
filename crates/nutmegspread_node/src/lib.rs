//! The node process: control actors, traffic tasks and listeners.
