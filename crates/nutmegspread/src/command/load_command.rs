//! `load`: sends open-loop load to nodes and to a naive baseline while faults are injected.

use crate::command_error::CommandError;
use crate::flags::Load;
use nutmegspread_standin::load::{LoadCase, LoadSettings, run_load};
use std::fs;
use std::time::Duration;

/// Runs the load cases and prints the tables as Markdown.
///
/// # Errors
/// When a flag is invalid, the token file cannot be read, the run cannot be carried out, or answers
/// or records contradict each other.
pub fn load(flags: &Load) -> Result<(), CommandError> {
    let settings = build_settings(flags)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let report = runtime.block_on(run_load(settings))?;
    println!("{}", report.to_markdown());
    if report.has_faults() {
        Err(CommandError::LoadContradictions)
    } else {
        Ok(())
    }
}

fn build_settings(flags: &Load) -> Result<LoadSettings, CommandError> {
    let invalid_flag = |error: String| CommandError::Rejected(vec![error]);
    let defaults = LoadSettings::default();
    let operator_token = match &flags.token_file {
        Some(path) => fs::read_to_string(path)
            .map_err(|source| CommandError::ReadFile {
                path: path.clone(),
                source,
            })?
            .trim()
            .to_owned(),
        None => String::new(),
    };
    Ok(LoadSettings {
        deployment: flags.deployment.parse().map_err(invalid_flag)?,
        cases: match &flags.cases {
            Some(list) => parse_cases(list).map_err(invalid_flag)?,
            None => defaults.cases,
        },
        nodes: flags.node.clone(),
        operator: flags.operator.clone().unwrap_or(defaults.operator),
        operator_token,
        node_pids: flags.pid.clone(),
        platform_listen: flags.platform.clone().unwrap_or(defaults.platform_listen),
        with_baseline: !flags.no_baseline,
        case_time: flags
            .seconds
            .map_or(defaults.case_time, Duration::from_secs),
        rate: flags.rate,
        seed: flags.seed.unwrap_or(defaults.seed),
        ready_limit: defaults.ready_limit,
    })
}

fn parse_cases(list: &str) -> Result<Vec<LoadCase>, String> {
    list.split(',').map(|name| name.trim().parse()).collect()
}
