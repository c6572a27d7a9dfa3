//! Cases of the second independent review that are scripts: `review-cases-2 CASE ROOT DIRECTORY`.
//!
//! ROOT is the root of the repository, and DIRECTORY the folder of the case, where `record.txt` is
//! written. The environment variable `TROUBLE` with the value 0 leaves the disruption out. Exit codes:
//! 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod client;
mod cold_load;
mod cold_share;
mod head_limit;
mod http;
mod node;
mod record;
mod roster;
mod searcher;
mod store;

use crate::record::Record;
use std::panic::AssertUnwindSafe;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

/// What a case needs to run.
pub struct CaseRun {
    /// Root of the repository.
    pub root: PathBuf,
    /// Temporary folder for settings and logs of nodes.
    pub directory: PathBuf,
    pub record: Arc<Record>,
    pub has_trouble: bool,
}

/// What a case has shown.
pub enum Outcome {
    Broken,
    Held,
    /// The case could not run, and why.
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, folder] = &arguments[..] else {
        eprintln!("usage: review-cases-2 CASE ROOT DIRECTORY");
        return ExitCode::from(2);
    };
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("cannot write record.txt in {folder}: {error}");
            return ExitCode::from(2);
        }
    };
    let directory = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&directory) {
        eprintln!("cannot create {}: {error}", directory.display());
        return ExitCode::from(2);
    }
    let run = CaseRun {
        root: PathBuf::from(root),
        directory,
        record: Arc::clone(&record),
        has_trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    let outcome = std::panic::catch_unwind(AssertUnwindSafe(|| match case.as_str() {
        "cold-share" => cold_share::run(&run),
        "roster" => roster::run(&run),
        "head-limit" => head_limit::run(&run),
        _ => Outcome::NotRun(format!("there is no case {case:?}")),
    }));
    let outcome = outcome.unwrap_or_else(|_| Outcome::NotRun("a stand-in failed".to_owned()));
    let code = match outcome {
        Outcome::Broken => {
            record.say("the rule was broken");
            1
        }
        Outcome::Held => {
            record.say("the rule held");
            0
        }
        Outcome::NotRun(reason) => {
            record.say(&format!("the case could not run: {reason}"));
            2
        }
    };
    record.flush();
    let _ = std::fs::remove_dir_all(&run.directory);
    ExitCode::from(code)
}
