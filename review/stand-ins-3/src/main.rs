//! Cases of the third review. Each starts a store, searchers, clients and the project's nodes, and exits
//! with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.

mod client;
mod cold_load;
mod http;
mod json;
mod late_change;
mod node;
mod record;
mod rollout;
mod searcher;
mod store;
mod world;

use record::Record;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// Time after which a case that has not ended could not run.
const LONGEST_TIME: Duration = Duration::from_secs(115);

type Case = fn(&Arc<Record>, bool) -> std::io::Result<bool>;

const CASES: [(&str, Case); 5] = [
    ("island", cold_load::run_island),
    ("rollout", rollout::run_route),
    ("return", cold_load::run_return),
    ("queue", cold_load::run_queue),
    ("survivors", late_change::run_survivors),
];

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (words.next(), words.next().map(PathBuf::from)) else {
        eprintln!("usage: review_3 CASE FOLDER, in the repository's root");
        return ExitCode::from(2);
    };
    let Some((_, case)) = CASES.iter().find(|(known, _)| *known == name) else {
        eprintln!("there is no case {name:?}");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    // What a stand-in that panicked would have done is not known.
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("a stand-in panicked: {panic}");
        std::process::exit(2);
    }));
    let record = match Record::create(&folder) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("cannot create the record in {}: {error}", folder.display());
            return ExitCode::from(2);
        }
    };
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST_TIME);
        eprintln!("the case did not end in time");
        std::process::exit(2);
    });
    let outcome = case(&record, has_trouble);
    let code = match outcome {
        Ok(true) => {
            record.say("the rule held");
            0
        }
        Ok(false) => {
            record.say("the rule was broken");
            1
        }
        Err(error) => {
            record.say(&format!("the case could not run: {error}"));
            2
        }
    };
    record.flush();
    ExitCode::from(code)
}
