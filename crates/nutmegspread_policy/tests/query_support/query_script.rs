//! Runs scenario scripts for one query.

use super::query_world::{
    LogEntry, LogEvent, QueryWorld, VERSION, no_outcomes, usable_target, warm_up, whole_reply,
};
use datadriven::TestCase;
use nutmegspread_model::*;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

/// Runs every script in a folder of `tests/scenarios` and compares the output with the script.
pub fn run_query_scripts(folder: &str) {
    datadriven::walk(&format!("tests/scenarios/{folder}"), |file| {
        let mut world = QueryWorld::new(1);
        file.run(|case| {
            let log_start = world.log.len();
            execute(&mut world, case).unwrap_or_else(|error| panic!("{case:?}: {error}"));
            render(&world.log[log_start.min(world.log.len())..])
        });
    });
}

fn execute(world: &mut QueryWorld, case: &mut TestCase) -> Result<(), datadriven::DataDrivenError> {
    if let Some(at) = case.try_take_arg::<u64>("at")? {
        world.run_until(Duration::from_millis(at), &mut no_outcomes);
    }
    match case.directive.as_str() {
        "settings" => change_settings(world, case)?,
        "map" => {
            let snapshot = case.take_arg("snapshot")?;
            let words = |line: &str| line.split_whitespace().map(Into::into).collect();
            world.publish(snapshot, case.input.lines().map(words).collect());
        }
        "target" => change_target(world, case)?,
        "warm-up" => {
            let latency = Duration::from_millis(case.take_arg("latency")?);
            let queries = case.take_arg("queries")?;
            warm_up(world, queries, latency);
        }
        "start" => {
            let k = case.try_take_arg("k")?.unwrap_or(3);
            let deadline = case.try_take_arg("deadline")?.unwrap_or(1000);
            world.start("r", k, Duration::from_millis(deadline), &mut no_outcomes);
        }
        "reply" => reply(world, case)?,
        "fail" => fail(world, case)?,
        "wait" => {}
        other => panic!("unknown directive {other}"),
    }
    case.expect_empty()
}

fn change_settings(
    world: &mut QueryWorld,
    case: &mut TestCase,
) -> Result<(), datadriven::DataDrivenError> {
    let settings = &mut world.view.settings;
    let millis = |value: Option<u64>, old| value.map_or(old, Duration::from_millis);
    let coverage = &mut settings.coverage;
    coverage.soft_deadline = millis(case.try_take_arg("soft")?, coverage.soft_deadline);
    coverage.hard_deadline = millis(case.try_take_arg("hard")?, coverage.hard_deadline);
    coverage.minimum_coverage = case
        .try_take_arg("minimum")?
        .unwrap_or(coverage.minimum_coverage);
    let budget = &mut settings.budget;
    budget.extra_fraction = case
        .try_take_arg("fraction")?
        .unwrap_or(budget.extra_fraction);
    budget.burst = case.try_take_arg("burst")?.unwrap_or(budget.burst);
    budget.minimum_hedge_delay = millis(case.try_take_arg("delay")?, budget.minimum_hedge_delay);
    Ok(())
}

fn change_target(
    world: &mut QueryWorld,
    case: &mut TestCase,
) -> Result<(), datadriven::DataDrivenError> {
    let name: String = case.take_arg("name")?;
    let accepts_work = case.try_take_arg("takes_work")?;
    let return_count = case.try_take_arg("returns")?;
    let owners: Option<Vec<String>> = case.try_take_args("owners")?;
    let targets = &mut world.view.targets;
    targets
        .entry(name.as_str().into())
        .or_insert_with(|| Arc::new(usable_target()));
    world.change_target(&name, |view| {
        view.accepts_work = accepts_work.unwrap_or(view.accepts_work);
        view.return_count = return_count.unwrap_or(view.return_count);
        if let Some(owners) = owners {
            view.owners = owners.into_iter().map(Into::into).collect();
            view.share = Default::default();
        }
    });
    Ok(())
}

fn request_of_attempt(world: &QueryWorld, attempt: AttemptId) -> SearchRequest {
    let sent = world.log.iter().find_map(|entry| match &entry.event {
        LogEvent::Sent { request, .. } if request.attempt == attempt => Some(request.clone()),
        _ => None,
    });
    sent.unwrap_or_else(|| panic!("attempt {attempt} was not sent"))
}

fn reply(world: &mut QueryWorld, case: &mut TestCase) -> Result<(), datadriven::DataDrivenError> {
    let attempt = case.take_arg("attempt")?;
    let request = request_of_attempt(world, attempt);
    let hits: Vec<String> = case.try_take_args("hits")?.unwrap_or_default();
    let mut reply = whole_reply(&request, hits.iter().map(|hit| parse_hit(hit)).collect());
    reply.snapshot = case.try_take_arg("snapshot")?.unwrap_or(reply.snapshot);
    reply.shard = case.try_take_arg("shard")?.unwrap_or(reply.shard);
    reply.attempt = case.try_take_arg("echo")?.unwrap_or(reply.attempt);
    reply.incarnation = case
        .try_take_arg("incarnation")?
        .unwrap_or(reply.incarnation);
    reply.complete = case.try_take_arg("complete")?.unwrap_or(true);
    if let Some(version) = case.try_take_arg::<String>("version")? {
        reply.version = version.into();
    }
    if let Some(request_id) = case.try_take_arg::<String>("request")? {
        reply.request_id = request_id.into();
    }
    if let Some(state) = case.try_take_arg::<String>("state")? {
        reply.state = serde_json::from_value(state.into()).unwrap();
    }
    let outcome = SubOutcome::Reply(reply);
    world.deliver(&"r".into(), attempt, outcome, &mut no_outcomes);
    Ok(())
}

fn parse_hit(text: &str) -> SearchHit {
    let (id, score) = text.split_once('-').unwrap();
    SearchHit {
        id: id.into(),
        score: score.parse().unwrap(),
    }
}

fn fail(world: &mut QueryWorld, case: &mut TestCase) -> Result<(), datadriven::DataDrivenError> {
    let attempt = case.take_arg("attempt")?;
    let failure: String = case.take_arg("failure")?;
    let run: String = case
        .try_take_arg("run")?
        .unwrap_or_else(|| "unknown".into());
    let outcome = SubOutcome::Failure {
        failure: serde_json::from_value(failure.into()).unwrap(),
        run: serde_json::from_value(run.into()).unwrap(),
    };
    world.deliver(&"r".into(), attempt, outcome, &mut no_outcomes);
    Ok(())
}

fn render(log: &[LogEntry]) -> String {
    let mut text = String::new();
    for entry in log {
        render_event(&mut text, entry.at.as_millis(), &entry.event);
    }
    if text.is_empty() {
        "nothing\n".into()
    } else {
        text
    }
}

fn render_event(text: &mut String, at: u128, event: &LogEvent) {
    let result = match event {
        LogEvent::Sent {
            target,
            owner,
            extra,
            request,
        } => {
            let kind = if *extra { "extra" } else { "first" };
            let owner = owner
                .as_ref()
                .map(|owner| format!(" through {owner}"))
                .unwrap_or_default();
            let SearchRequest {
                attempt,
                shard,
                snapshot,
                ..
            } = request;
            writeln!(
                text,
                "{at} ms: send {kind} {attempt} for shard {shard} of {snapshot} to {target}{owner}"
            )
        }
        LogEvent::Cancelled(attempt) => writeln!(text, "{at} ms: cancel {attempt}"),
        LogEvent::Answered(answer) => {
            let CoverageReport {
                answered,
                total,
                missing,
            } = &answer.coverage;
            let hits: Vec<String> = answer
                .hits
                .iter()
                .map(|hit| format!("{}:{}", hit.id, hit.score))
                .collect();
            assert_eq!(&*answer.version, VERSION);
            let hits = hits.join(" ");
            let snapshot = answer.snapshot;
            writeln!(
                text,
                "{at} ms: answer {snapshot} with {answered}/{total}, missing {missing:?}: {hits}"
            )
        }
        LogEvent::Refused { reason, run } => writeln!(text, "{at} ms: refuse {reason:?} {run:?}"),
        LogEvent::Delivered { .. } => Ok(()),
    };
    result.unwrap();
}
