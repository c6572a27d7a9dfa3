//! Runs one case of the review: `review_cases CASE RECORD`, from the repository's root.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With the
//! variable `TROUBLE` set to 0, the case runs without its disruption.

mod client;
mod entry;
mod orders;
mod rollouts;
mod searcher;
mod store;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    // A case that panics could not run.
    std::panic::catch_unwind(run_case).unwrap_or(ExitCode::from(2))
}

fn run_case() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(record)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review_cases CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start: {error}");
            return ExitCode::from(2);
        }
    };
    let record = PathBuf::from(record);
    let run = async {
        match case.as_str() {
            "rollouts" => rollouts::run(has_trouble, &record).await,
            "odd-entry" => entry::run(has_trouble, &record).await,
            _ => orders::run(&case, has_trouble, &record).await,
        }
    };
    // When the future is dropped, the node processes are ended.
    let outcome = runtime.block_on(async {
        tokio::select! {
            outcome = run => outcome,
            signal = stop_signal() => Err(std::io::Error::other(signal)),
        }
    });
    match outcome {
        Ok(broken) if broken.is_empty() => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            for line in broken.iter().take(10) {
                println!("{line}");
            }
            println!("the rule was broken {} times", broken.len());
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

/// Returns when the process is asked to end.
async fn stop_signal() -> &'static str {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => "ended by SIGTERM",
        _ = interrupt.recv() => "ended by SIGINT",
    }
}
