//! Report of a load run, written as Markdown tables.

use super::case_figures::CaseFigures;
use super::load_case::LoadCase;
use std::fmt::Write;
use std::time::Duration;

/// Figures of the baseline and of the nodes for one case.
#[derive(Clone, Debug, PartialEq)]
pub struct CaseReport {
    /// Case that was run.
    pub case: LoadCase,
    /// Queries per second.
    pub rate: f64,
    /// Figures of the naive baseline; `None` if it didn't run.
    pub baseline: Option<CaseFigures>,
    /// Figures of the nodes; `None` if they didn't run.
    pub nodes: Option<CaseFigures>,
}

/// Results of a load run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Name of the deployment.
    pub deployment: String,
    /// Seed of the run.
    pub seed: u64,
    /// Reports of the cases, in the order in which they ran.
    pub cases: Vec<CaseReport>,
}

impl LoadReport {
    /// Whether the checks found a fault in any case.
    pub fn has_faults(&self) -> bool {
        self.sides()
            .any(|(_, _, figures)| !figures.faults.is_empty())
    }

    /// Formats the report as Markdown.
    pub fn to_markdown(&self) -> String {
        let mut text = format!("Deployment {}, seed {}\n\n", self.deployment, self.seed);
        text.push_str(&self.latency_table());
        text.push('\n');
        text.push_str(&self.load_table());
        text.push('\n');
        text.push_str(&self.ratio_table());
        text.push_str(&self.fault_lines());
        text
    }

    fn latency_table(&self) -> String {
        let mut text = String::from(
            "| case | side | queries/s | queries | p50 ms | p99 ms | p99.9 ms | longest ms | \
             coverage | complete | partial | refused | failed |\n\
             |---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
        );
        for (case, side, figures) in self.sides() {
            let _ = writeln!(
                text,
                "| {} | {side} | {:.0} | {} | {} | {} | {} | {} | {:.5} | {} | {} | {} | {} |",
                case.case,
                case.rate,
                figures.queries,
                format_millis(figures.p50),
                format_millis(figures.p99),
                format_millis(figures.p999),
                format_millis(figures.longest),
                figures.coverage,
                figures.complete,
                figures.partial,
                figures.refused,
                figures.failed,
            );
        }
        text
    }

    fn load_table(&self) -> String {
        let mut text = String::from(
            "| case | side | extra load | added p50 ms | added p99 ms | above cold limit | \
             last above cold limit ms | drain to last work ms | CPU µs a sub-request | \
             other version | last other version s | orders | orders answered | faults |\n\
             |---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
        );
        for (case, side, figures) in self.sides() {
            let _ = writeln!(
                text,
                "| {} | {side} | {:.2} % | {} | {} | {} | {} | {} | {} | {:.2} % | {:.1} | {} | {} | {} |",
                case.case,
                figures.extra_fraction * 100.0,
                format_millis(figures.added_p50),
                format_millis(figures.added_p99),
                figures.cold_excess,
                format_millis(figures.last_cold_excess),
                figures.drain_time.map_or_else(|| "-".into(), format_millis),
                figures
                    .processor_time
                    .map_or_else(|| "-".into(), |time| time.as_micros().to_string()),
                figures.other_version_fraction * 100.0,
                figures.other_version_last.as_secs_f64(),
                figures.orders,
                figures.orders_answered,
                figures.faults.len(),
            );
        }
        text
    }

    fn ratio_table(&self) -> String {
        let mut text = String::from(
            "| case | p50 nodes/baseline | p99 nodes/baseline | p99.9 nodes/baseline | \
             coverage nodes − baseline |\n|---|---|---|---|---|\n",
        );
        for case in &self.cases {
            let (Some(baseline), Some(nodes)) = (&case.baseline, &case.nodes) else {
                continue;
            };
            let _ = writeln!(
                text,
                "| {} | {:.2} | {:.2} | {:.2} | {:+.5} |",
                case.case,
                ratio(nodes.p50, baseline.p50),
                ratio(nodes.p99, baseline.p99),
                ratio(nodes.p999, baseline.p999),
                nodes.coverage - baseline.coverage,
            );
        }
        text
    }

    /// One line for each fault and failure.
    fn fault_lines(&self) -> String {
        let mut text = String::new();
        for (case, side, figures) in self.sides() {
            for fault in figures.faults.iter().take(MAX_FAULT_LINES) {
                let _ = writeln!(text, "\nfault in {} ({side}): {fault}", case.case);
            }
            for failure in &figures.failures {
                let _ = writeln!(text, "\nfailure in {} ({side}): {failure}", case.case);
            }
        }
        text
    }

    fn sides(&self) -> impl Iterator<Item = (&CaseReport, &'static str, &CaseFigures)> {
        self.cases.iter().flat_map(|case| {
            let baseline = case
                .baseline
                .iter()
                .map(move |figures| (case, "baseline", figures));
            baseline.chain(
                case.nodes
                    .iter()
                    .map(move |figures| (case, "nodes", figures)),
            )
        })
    }
}

/// Maximum number of faults printed for each side of a case.
const MAX_FAULT_LINES: usize = 10;

fn format_millis(time: Duration) -> String {
    format!("{:.1}", time.as_secs_f64() * 1000.0)
}

fn ratio(value: Duration, base: Duration) -> f64 {
    value.as_secs_f64() / base.as_secs_f64().max(f64::EPSILON)
}
