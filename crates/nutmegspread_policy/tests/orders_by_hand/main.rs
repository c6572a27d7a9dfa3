//! The order journal, stepped by the tests: scripted failures, and a comparison with one global map.

mod differential;
mod order_bench;
mod scenarios;
