//! Logs as JSON lines and metrics over statsd.

use crate::NodeError;
use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;
use std::net::UdpSocket;

const METRIC_PREFIX: &str = "nutmegspread";

/// Starts logging to standard error, one JSON object a line.
///
/// # Errors
/// [`NodeError::Logging`] when the logger is set already or the level is not known.
pub fn start_logging(level: &str) -> Result<(), NodeError> {
    let failed = |reason: String| NodeError::Logging(reason);
    let level: LevelFilter = level
        .parse()
        .map_err(|_| failed(format!("unknown level {level}")))?;
    let appender = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("stderr", Box::new(appender)))
        .build(Root::builder().appender("stderr").build(level))
        .map_err(|error| failed(error.to_string()))?;
    log4rs::init_config(config).map_err(|error| failed(error.to_string()))?;
    Ok(())
}

/// Opens the metrics client; without an address every metric is dropped.
///
/// # Errors
/// [`NodeError::Metrics`] when the address cannot be used.
pub fn open_metrics(address: Option<&str>) -> Result<StatsdClient, NodeError> {
    let Some(address) = address else {
        return Ok(StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink));
    };
    let failed = |reason: String| NodeError::Metrics {
        address: address.into(),
        reason,
    };
    let socket = UdpSocket::bind("0.0.0.0:0").map_err(|error| failed(error.to_string()))?;
    socket
        .set_nonblocking(true)
        .map_err(|error| failed(error.to_string()))?;
    let sink = UdpMetricSink::from(address, socket).map_err(|error| failed(error.to_string()))?;
    Ok(StatsdClient::from_sink(
        METRIC_PREFIX,
        QueuingMetricSink::from(sink),
    ))
}
