//! Checks that the figures of played days in docs/WORTH.md come from runs that finished.

use serde_json::Value;
use std::path::PathBuf;

/// The days of a row, in the order of the columns.
const DAYS: [&str; 6] = [
    "quiet-1",
    "trouble-1",
    "scale-1",
    "trouble-2",
    "scale-2",
    "trouble-3",
];
/// Difference that comes from rounding to three decimals.
const ROUNDING: f64 = 0.00055;

fn repository() -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

/// Entry of the journal whose id begins with `id`; `None` if there is not exactly one.
fn entry_of(id: &str) -> Option<Value> {
    let files = std::fs::read_dir(repository().join("journal")).ok()?;
    let mut found = files.filter_map(Result::ok).filter(|file| {
        let name = file.file_name().to_string_lossy().into_owned();
        let is_entry = name.ends_with(".json");
        is_entry
            && name
                .split('-')
                .nth(1)
                .is_some_and(|rest| rest.starts_with(id))
    });
    let entry = found.next()?;
    let text = std::fs::read_to_string(entry.path()).ok()?;
    found.next().is_none().then_some(())?;
    serde_json::from_str(&text).ok()
}

/// What differs between a row of the page and the entry that it names; `None` if nothing does.
fn difference(id: &str, figures: &[&str]) -> Option<String> {
    let Some(entry) = entry_of(id) else {
        return Some("no entry, or several".to_owned());
    };
    if entry["ok"] != true || entry["at"][1].as_str().is_none_or(str::is_empty) {
        return Some(format!("the run did not finish: {}", entry["error"]));
    }
    let days = entry["days"].as_array()?;
    DAYS.iter().zip(figures).find_map(|(day, figure)| {
        let played = days.iter().find(|played| played["name"] == *day);
        let worth = played.and_then(|played| played["G"].as_f64());
        let is_same = worth.zip(figure.parse::<f64>().ok());
        let is_same = is_same.is_some_and(|(worth, stated)| (worth - stated).abs() <= ROUNDING);
        (!is_same).then(|| format!("{day}: the page says {figure}, the entry {worth:?}"))
    })
}

/// Id of the journal entry that the first cell of a row names.
fn id_of(cell: &str) -> Option<&str> {
    let word = cell.split([' ', '(', ')']).rfind(|word| !word.is_empty())?;
    let is_id = (4..=8).contains(&word.len())
        && word
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    is_id.then_some(word)
}

/// Guards against figures on the page whose run did not finish or had others.
#[test]
fn figures_of_days_come_from_runs_that_finished() {
    let page = std::fs::read_to_string(repository().join("docs/WORTH.md")).expect("the page");
    let rows: Vec<Vec<&str>> = page
        .lines()
        .filter(|line| line.starts_with('|'))
        .map(|line| line.trim_matches('|').split('|').map(str::trim).collect())
        .filter(|cells: &Vec<&str>| cells.len() > DAYS.len() && id_of(cells[0]).is_some())
        .collect();
    assert!(rows.len() >= 20, "only {} rows name a run", rows.len());
    let differences: Vec<String> = rows
        .iter()
        .filter_map(|cells| {
            let id = id_of(cells[0])?;
            let found = difference(id, &cells[1..=DAYS.len()])?;
            Some(format!("{}: {found}", cells[0]))
        })
        .collect();
    assert!(differences.is_empty(), "{}", differences.join("\n"));
}
