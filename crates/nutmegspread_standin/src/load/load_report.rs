//! Report of a load run, as tables in Markdown.

use super::case_figures::CaseFigures;
use super::load_case::LoadCase;
use std::fmt::Write;
use std::time::Duration;

/// Both sides of one case.
#[derive(Clone, Debug, PartialEq)]
pub struct CaseReport {
    /// Case.
    pub case: LoadCase,
    /// Queries a second.
    pub rate: f64,
    /// Figures of the naive baseline.
    pub baseline: Option<CaseFigures>,
    /// Figures of the nodes.
    pub nodes: Option<CaseFigures>,
}

/// All cases of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Name of the deployment.
    pub deployment: String,
    /// Seed.
    pub seed: u64,
    /// Cases in the order of their run.
    pub cases: Vec<CaseReport>,
}

impl LoadReport {
    /// Whether a check found a contradiction in any case.
    pub fn has_faults(&self) -> bool {
        self.sides()
            .any(|(_, _, figures)| !figures.faults.is_empty())
    }

    /// The report as Markdown.
    pub fn to_markdown(&self) -> String {
        let mut text = format!("Deployment {}, seed {}\n\n", self.deployment, self.seed);
        text.push_str(&self.latency_table());
        text.push('\n');
        text.push_str(&self.load_table());
        text.push('\n');
        text.push_str(&self.ratio_table());
        text.push_str(&self.notes());
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
                millis(figures.p50),
                millis(figures.p99),
                millis(figures.p999),
                millis(figures.longest),
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
                millis(figures.added_p50),
                millis(figures.added_p99),
                figures.cold_excess,
                millis(figures.last_cold_excess),
                figures.drain_time.map_or_else(|| "-".into(), millis),
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

    /// Faults and failures as text.
    fn notes(&self) -> String {
        let mut text = String::new();
        for (case, side, figures) in self.sides() {
            for note in figures.faults.iter().take(MAX_NOTES) {
                let _ = writeln!(text, "\nfault in {} ({side}): {note}", case.case);
            }
            for note in &figures.failures {
                let _ = writeln!(text, "\nfailure in {} ({side}): {note}", case.case);
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

/// Most faults of a case that are printed.
const MAX_NOTES: usize = 10;

fn millis(time: Duration) -> String {
    format!("{:.1}", time.as_secs_f64() * 1000.0)
}

fn ratio(value: Duration, base: Duration) -> f64 {
    value.as_secs_f64() / base.as_secs_f64().max(f64::EPSILON)
}
