//! Measures the memory that a node's state occupies.

use super::control_slopes::sample_document;
use super::{CapacityError, SlopeSeries};
use nutmegspread_model::{MonotonicTime, SearchHit, TargetLimits};
use nutmegspread_policy::target::OwnedTarget;
use std::fs;
use std::hint::black_box;

/// Number of copies made for each point.
///
/// The growth of memory is divided by this number, so that partly used pages and unused space of
/// the allocator have little effect.
const COPIES: usize = 20;
/// Size of a page of memory, in bytes.
const PAGE_BYTES: f64 = 4096.0;
/// Numbers of targets in the measured configuration documents.
const TARGET_COUNTS: [usize; 4] = [500, 1500, 2500, 3500];
/// Numbers of owned targets whose state is measured.
const OWNED_COUNTS: [usize; 4] = [1000, 2000, 4000, 8000];
/// Numbers of search hits measured; a node holds hits while it gathers an answer.
const HIT_COUNTS: [usize; 4] = [10_000, 20_000, 40_000, 80_000];

/// Measures the resident memory of a configuration document, of owned targets and of search hits.
///
/// # Errors
/// When `/proc/self/statm` cannot be read or parsed.
pub fn memory_slopes() -> Result<Vec<SlopeSeries>, CapacityError> {
    let make_document = |count| sample_document(count, 1).as_ref().clone();
    let make_owned = |count| -> Vec<OwnedTarget> {
        let make = |_| OwnedTarget::new(TargetLimits::default(), 8, MonotonicTime::ZERO);
        (0..count).map(make).collect()
    };
    let make_hits = |count| -> Vec<SearchHit> {
        let make = |number| SearchHit {
            id: format!("doc-{number:012}").into(),
            score: 1.0,
        };
        (0..count).map(make).collect()
    };
    Ok(vec![
        series("document-memory", "targets", &TARGET_COUNTS, make_document)?,
        series(
            "owned-target-memory",
            "owned targets",
            &OWNED_COUNTS,
            make_owned,
        )?,
        series("hit-memory", "hits held", &HIT_COUNTS, make_hits)?,
    ])
}

fn series<T>(
    name: &'static str,
    size: &'static str,
    counts: &[usize],
    make: impl Fn(usize) -> T,
) -> Result<SlopeSeries, CapacityError> {
    let mut points = Vec::new();
    let mut copies: Vec<Vec<T>> = vec![make_copies(&make, counts[0])];
    for count in counts {
        let before = resident_bytes()?;
        copies.push(make_copies(&make, *count));
        let growth = resident_bytes()? - before;
        points.push((*count as f64, growth.max(0.0) / COPIES as f64));
    }
    drop(black_box(copies));
    Ok(SlopeSeries {
        name,
        size,
        cost: "bytes of resident memory",
        points,
    })
}

/// Makes [`COPIES`] copies, which the caller keeps so that later copies cannot reuse freed memory.
fn make_copies<T>(make: &impl Fn(usize) -> T, count: usize) -> Vec<T> {
    (0..COPIES).map(|_| black_box(make(count))).collect()
}

fn resident_bytes() -> Result<f64, CapacityError> {
    let read_error = |source| CapacityError::Encoding {
        message: "/proc/self/statm",
        source,
    };
    let text = fs::read_to_string("/proc/self/statm").map_err(read_error)?;
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    let invalid = || read_error(std::io::ErrorKind::InvalidData.into());
    Ok(pages.ok_or_else(invalid)? * PAGE_BYTES)
}
