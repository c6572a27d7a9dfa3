//! Which nodes are alive and which node owns which share of a target.
