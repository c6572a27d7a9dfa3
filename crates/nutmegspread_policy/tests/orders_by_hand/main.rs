//! Orders moved on by hand: scripts of named failures, and the journal against a global map.

mod differential;
mod order_bench;
mod scenarios;
