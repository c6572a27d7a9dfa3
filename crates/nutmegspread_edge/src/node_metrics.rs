//! Counters and latency histograms of a node.

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use std::fmt::Write;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Quantiles that are rendered for each histogram.
const RENDERED_QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];
/// Largest latency that a histogram can hold, in microseconds; larger ones count as this one.
const MAX_LATENCY_MICROS: u64 = 120_000_000;
/// Largest ratio that a histogram can hold, in thousandths; larger ones count as this one.
const MAX_RATIO_THOUSANDTHS: u64 = 1_000_000;

/// Histograms by name and label.
type Histograms = IndexMap<(&'static str, String), Histogram<u64>>;

#[derive(Debug, Default)]
struct MetricValues {
    counters: IndexMap<(&'static str, String), u64>,
    gauges: IndexMap<&'static str, f64>,
    latencies: Histograms,
    ratios: Histograms,
}

/// Counters and latency histograms of a node.
#[derive(Debug, Default)]
pub struct NodeMetrics {
    values: Mutex<MetricValues>,
}

impl NodeMetrics {
    /// Adds 1 to the counter `name` with the label `label`.
    pub fn count(&self, name: &'static str, label: &str) {
        self.add(name, label, 1);
    }

    /// Adds `amount` to the counter `name` with the label `label`.
    pub fn add(&self, name: &'static str, label: &str, amount: u64) {
        let mut values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        // Most counters exist already; the label is copied only for a new one.
        match values
            .counters
            .iter_mut()
            .find(|((known_name, known_label), _)| *known_name == name && known_label == label)
        {
            Some((_, value)) => *value += amount,
            None => {
                values.counters.insert((name, label.to_owned()), amount);
            }
        }
    }

    /// Sets the gauge `name`.
    pub fn set(&self, name: &'static str, value: f64) {
        let mut values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        values.gauges.insert(name, value);
    }

    /// Records a latency in the histogram `name` with the label `label`.
    pub fn record(&self, name: &'static str, label: &str, latency: Duration) {
        let mut values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        let micros = (latency.as_micros() as u64).clamp(1, MAX_LATENCY_MICROS);
        let max = MAX_LATENCY_MICROS;
        record_value(&mut values.latencies, (name, label), micros, max);
    }

    /// Records a ratio in the histogram `name` with the label `label`, in thousandths.
    pub fn record_ratio(&self, name: &'static str, label: &str, ratio: f64) {
        let mut values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        let value = ((ratio * 1000.0) as u64).clamp(1, MAX_RATIO_THOUSANDTHS);
        let max = MAX_RATIO_THOUSANDTHS;
        record_value(&mut values.ratios, (name, label), value, max);
    }

    /// Renders all values as lines of the form `name{of="label"} value`.
    pub fn render(&self) -> String {
        let values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        for ((name, label), value) in &values.counters {
            let _ = writeln!(text, "nutmegspread_{name}{{of={label:?}}} {value}");
        }
        for (name, value) in &values.gauges {
            let _ = writeln!(text, "nutmegspread_{name} {value}");
        }
        render_histograms(&mut text, &values.latencies, "_seconds", 1e6);
        render_histograms(&mut text, &values.ratios, "", 1e3);
        text
    }
}

/// Records a value in a histogram, which is created for values up to `max` if there is none.
fn record_value(
    histograms: &mut Histograms,
    (name, label): (&'static str, &str),
    value: u64,
    max: u64,
) {
    if let Some((_, histogram)) = histograms
        .iter_mut()
        .find(|((known_name, known_label), _)| *known_name == name && known_label == label)
    {
        histogram.saturating_record(value);
    } else if let Ok(mut histogram) = Histogram::new_with_max(max, 2) {
        histogram.saturating_record(value);
        histograms.insert((name, label.to_owned()), histogram);
    }
}

/// Renders quantiles and the number of values of each histogram, in the unit of `suffix`, which has
/// `scale` of the recorded units.
fn render_histograms(text: &mut String, histograms: &Histograms, suffix: &str, scale: f64) {
    for ((name, label), histogram) in histograms {
        for quantile in RENDERED_QUANTILES {
            let value = histogram.value_at_quantile(quantile) as f64 / scale;
            let _ = writeln!(
                text,
                "nutmegspread_{name}{suffix}{{of={label:?},quantile=\"{quantile}\"}} {value}"
            );
        }
        let _ = writeln!(
            text,
            "nutmegspread_{name}{suffix}_count{{of={label:?}}} {}",
            histogram.len()
        );
    }
}
