//! Runs scenario scripts for one owned target.

use datadriven::{DataDrivenError, TestCase};
use nutmegspread_model::*;
use nutmegspread_policy::routing::TargetShare;
use nutmegspread_policy::target::*;
use std::fmt::Write;
use std::time::Duration;

/// Runs every script in a folder of `tests/scenarios` and compares the output with the script.
pub fn run_target_scripts(folder: &str) {
    datadriven::walk(&format!("tests/scenarios/{folder}"), |file| {
        let mut script = TargetScript::default();
        file.run(|case| {
            script
                .execute(case)
                .unwrap_or_else(|error| panic!("{case:?}: {error}"))
        });
    });
}

#[derive(Default)]
struct TargetScript {
    target: Option<OwnedTarget>,
    now: MonotonicTime,
    wake_at: Option<MonotonicTime>,
    text: String,
}

impl TargetScript {
    fn execute(&mut self, case: &mut TestCase) -> Result<String, DataDrivenError> {
        self.text.clear();
        if let Some(at) = case.try_take_arg::<f64>("at")? {
            self.run_until(Duration::from_secs_f64(at / 1000.0));
        }
        if case.directive == "new" {
            self.create(case)?;
        } else if case.directive == "reply" && case.args.contains_key("repeat") {
            self.repeat_requests(case)?;
        } else if case.directive != "wait" {
            let input = parse_input(case)?;
            self.step(input);
        }
        case.expect_empty()?;
        if self.text.is_empty() {
            self.text.push_str("nothing\n");
        }
        Ok(self.text.clone())
    }

    fn create(&mut self, case: &mut TestCase) -> Result<(), DataDrivenError> {
        let default = TargetLimits::default();
        let limits = TargetLimits {
            slots: case.try_take_arg("slots")?.unwrap_or(default.slots),
            connections: case
                .try_take_arg("connections")?
                .unwrap_or(default.connections),
            connection_cost: Duration::from_millis(case.try_take_arg("cost")?.unwrap_or(6)),
            cold_slots: case
                .try_take_arg("cold_slots")?
                .unwrap_or(default.cold_slots),
            warm_after: case
                .try_take_arg("warm_after")?
                .unwrap_or(default.warm_after),
        };
        let queue_limit = case.try_take_arg("queue")?.unwrap_or(8);
        self.target = Some(OwnedTarget::new(limits, queue_limit, self.now));
        self.text.push_str("ok\n");
        Ok(())
    }

    /// Submits requests one after another, each answered after 1 ms. Prints only the reports and
    /// whether the target is cold.
    fn repeat_requests(&mut self, case: &mut TestCase) -> Result<(), DataDrivenError> {
        let count: u64 = case.take_arg("repeat")?;
        let incarnation = case.try_take_arg("incarnation")?.unwrap_or(1);
        for number in 0..count {
            let ticket = 1_000_000 + number;
            let deadline = self.now + Duration::from_secs(1);
            self.step(TargetInput::Submit {
                ticket,
                extra: false,
                deadline,
            });
            self.now += Duration::from_millis(1);
            let latency = Duration::from_millis(1);
            let result = TicketResult::Replied {
                state: TargetState::Warm,
                incarnation,
                latency,
            };
            self.step(TargetInput::Finished { ticket, result });
        }
        let reports: Vec<&str> = self
            .text
            .lines()
            .filter(|line| line.contains("report"))
            .collect();
        let cold = self.target.as_ref().unwrap().is_cold();
        self.text = format!("{}\ncold: {cold}\n", reports.join("\n"))
            .trim_start()
            .into();
        Ok(())
    }

    fn run_until(&mut self, until: MonotonicTime) {
        while let Some(at) = self.wake_at.filter(|at| *at <= until) {
            assert!(
                at >= self.now,
                "wake_at {at:?} is before now, {:?}",
                self.now
            );
            self.now = at;
            self.step(TargetInput::Tick);
            assert!(
                self.wake_at != Some(at),
                "wake_at stays at {at:?} after a tick"
            );
        }
        self.now = until;
    }

    fn step(&mut self, input: TargetInput) {
        let output = self.target.as_mut().unwrap().step(self.now, input);
        self.wake_at = output.wake_at;
        let at = self.now.as_millis();
        for action in output.actions {
            let line = match action {
                TargetAction::Open { connection } => format!("open {connection}"),
                TargetAction::Send { ticket, connection } => {
                    format!("send {ticket} on {connection}")
                }
                TargetAction::Refuse { ticket, failure } => format!("refuse {ticket}: {failure:?}"),
                TargetAction::Close { connection } => format!("close {connection}"),
                TargetAction::Report(mark) => format!("report {mark:?}"),
            };
            writeln!(self.text, "{at} ms: {line}").unwrap();
        }
    }
}

fn parse_input(case: &mut TestCase) -> Result<TargetInput, DataDrivenError> {
    Ok(match case.directive.as_str() {
        "submit" => TargetInput::Submit {
            ticket: case.take_arg("ticket")?,
            extra: case.try_take_arg("extra")?.unwrap_or(false),
            deadline: Duration::from_millis(case.try_take_arg("deadline")?.unwrap_or(100_000)),
        },
        "submit-once" => TargetInput::SubmitOnce {
            ticket: case.take_arg("ticket")?,
            deadline: Duration::from_millis(case.try_take_arg("deadline")?.unwrap_or(100_000)),
        },
        "opened" => TargetInput::Opened {
            connection: case.take_arg("connection")?,
        },
        "open-failed" => TargetInput::OpenFailed {
            connection: case.take_arg("connection")?,
        },
        "closed" => TargetInput::Closed {
            connection: case.take_arg("connection")?,
        },
        "cancel" => TargetInput::Cancel {
            ticket: case.take_arg("ticket")?,
        },
        "share" => TargetInput::Share {
            share: TargetShare {
                slots: case.take_arg("slots")?,
                connections: case.try_take_arg("connections")?.unwrap_or(10),
                leads: case.try_take_arg("leads")?.unwrap_or(true),
            },
            return_count: case.try_take_arg("returns")?.unwrap_or(0),
        },
        "reported" => TargetInput::Reported(WarmthMark {
            return_count: case.try_take_arg("returns")?.unwrap_or(0),
            incarnation: case.take_arg("incarnation")?,
            cold_count: case.try_take_arg("cold_count")?.unwrap_or(0),
            warm: case.take_arg("warm")?,
        }),
        "reply" => TargetInput::Finished {
            ticket: case.take_arg("ticket")?,
            result: TicketResult::Replied {
                state: parse_name(case.try_take_arg("state")?.unwrap_or_else(|| "warm".into())),
                incarnation: case.try_take_arg("incarnation")?.unwrap_or(1),
                latency: Duration::from_millis(case.try_take_arg("latency")?.unwrap_or(1)),
            },
        },
        "fail" => TargetInput::Finished {
            ticket: case.take_arg("ticket")?,
            result: TicketResult::Failed(parse_name(case.take_arg("failure")?)),
        },
        other => panic!("unknown directive {other}"),
    })
}

fn parse_name<T: serde::de::DeserializeOwned>(name: String) -> T {
    serde_json::from_value(name.into()).unwrap()
}
