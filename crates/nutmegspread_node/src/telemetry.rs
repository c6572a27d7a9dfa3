//! Logs as JSON lines, and metrics in the statsd protocol.

use crate::NodeError;
use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;
use std::net::UdpSocket;

/// Prefix of the name of every metric.
const METRIC_PREFIX: &str = "nutmegspread";

/// Starts logging to standard error, with one JSON object per line.
///
/// # Errors
/// [`NodeError::Logging`] if a logger is already set or the level is unknown.
pub fn start_logging(level: &str) -> Result<(), NodeError> {
    let logging_error = |reason: String| NodeError::Logging(reason);
    let level: LevelFilter = level
        .parse()
        .map_err(|_| logging_error(format!("unknown log level {level}")))?;
    let appender = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("stderr", Box::new(appender)))
        .build(Root::builder().appender("stderr").build(level))
        .map_err(|error| logging_error(error.to_string()))?;
    log4rs::init_config(config).map_err(|error| logging_error(error.to_string()))?;
    Ok(())
}

/// Creates the client that sends metrics to a statsd address; without an address it drops them.
///
/// # Errors
/// [`NodeError::Metrics`] if the address can't be used.
pub fn open_metrics(address: Option<&str>) -> Result<StatsdClient, NodeError> {
    let Some(address) = address else {
        return Ok(StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink));
    };
    let metrics_error = |reason: String| NodeError::Metrics {
        address: address.into(),
        reason,
    };
    let socket = UdpSocket::bind("0.0.0.0:0").map_err(|error| metrics_error(error.to_string()))?;
    socket
        .set_nonblocking(true)
        .map_err(|error| metrics_error(error.to_string()))?;
    let sink =
        UdpMetricSink::from(address, socket).map_err(|error| metrics_error(error.to_string()))?;
    Ok(StatsdClient::from_sink(
        METRIC_PREFIX,
        QueuingMetricSink::from(sink),
    ))
}
