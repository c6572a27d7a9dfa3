//! Memory of the state that nodes hold.

use super::role_slopes::document;
use super::{CapacityError, SlopeSeries};
use nutmegspread_model::{MonotonicTime, SearchHit, TargetLimits};
use nutmegspread_policy::target::OwnedTarget;
use std::fs;
use std::hint::black_box;

/// Copies that are held at a time, so that pages and allocator slack hardly count.
const COPIES: usize = 20;
/// Bytes of a page of memory.
const PAGE_BYTES: f64 = 4096.0;
/// Targets in a configuration document.
const TARGET_COUNTS: [usize; 4] = [500, 1500, 2500, 3500];
/// Targets owned by a node.
const OWNED_COUNTS: [usize; 4] = [1000, 2000, 4000, 8000];
/// Hits held for the answers under way.
const HIT_COUNTS: [usize; 4] = [10_000, 20_000, 40_000, 80_000];

/// Measures the growth of resident memory.
///
/// # Errors
/// When the system does not tell the resident memory.
pub fn memory_slopes() -> Result<Vec<SlopeSeries>, CapacityError> {
    let held_document = |count| document(count, 1).as_ref().clone();
    let owned = |count| -> Vec<OwnedTarget> {
        let make = |_| OwnedTarget::new(TargetLimits::default(), 8, MonotonicTime::ZERO);
        (0..count).map(make).collect()
    };
    let hits = |count| -> Vec<SearchHit> {
        let make = |number| SearchHit {
            id: format!("doc-{number:012}").into(),
            score: 1.0,
        };
        (0..count).map(make).collect()
    };
    Ok(vec![
        series("document-memory", "targets", &TARGET_COUNTS, held_document)?,
        series("owned-target-memory", "owned targets", &OWNED_COUNTS, owned)?,
        series("hit-memory", "hits held", &HIT_COUNTS, hits)?,
    ])
}

fn series<T>(
    name: &'static str,
    size: &'static str,
    counts: &[usize],
    make: impl Fn(usize) -> T,
) -> Result<SlopeSeries, CapacityError> {
    let mut points = Vec::new();
    let mut held: Vec<Vec<T>> = vec![make_copies(&make, counts[0])];
    for count in counts {
        let before = resident_bytes()?;
        held.push(make_copies(&make, *count));
        let grown = resident_bytes()? - before;
        points.push((*count as f64, grown.max(0.0) / COPIES as f64));
    }
    drop(black_box(held));
    Ok(SlopeSeries {
        name,
        size,
        cost: "bytes of resident memory",
        points,
    })
}

/// Makes copies that stay held, so that later ones cannot reuse freed memory.
fn make_copies<T>(make: &impl Fn(usize) -> T, count: usize) -> Vec<T> {
    (0..COPIES).map(|_| black_box(make(count))).collect()
}

fn resident_bytes() -> Result<f64, CapacityError> {
    let encoding = |source| CapacityError::Encoding {
        message: "/proc/self/statm",
        source,
    };
    let text = fs::read_to_string("/proc/self/statm").map_err(encoding)?;
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    let invalid = || encoding(std::io::ErrorKind::InvalidData.into());
    Ok(pages.ok_or_else(invalid)? * PAGE_BYTES)
}
