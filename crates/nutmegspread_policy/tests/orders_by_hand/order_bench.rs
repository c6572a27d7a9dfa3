//! Journal partitions whose platform calls and attempts stay open until the test completes them.

use indexmap::IndexMap;
use nutmegspread_policy::order::{
    AttemptEnd, CallFailure, ClaimIdentity, JournalAction, JournalInput, JournalOutput,
    JournalPartition, JournalSettings, OrderSubmission, OrderVerdict, VersionedDocument,
};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Wall-clock time at virtual time 0, since the Unix epoch.
const WALL_START: Duration = Duration::from_secs(1_000_000);

/// How a platform call is completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call takes effect and is answered.
    Answered,
    /// The call takes effect, but its answer is lost.
    AnswerLost,
    /// The call is lost: it has no effect and no answer.
    RequestLost,
    /// The call has no answer, and takes effect at the next [`JournalBench::apply_late_writes`].
    Late,
}

/// A process with its open calls and attempts.
pub struct BenchNode {
    partition: JournalPartition,
    pub incarnation: u64,
    pub calls: VecDeque<JournalAction>,
    pub dispatches: VecDeque<JournalAction>,
}

/// Processes that share one stored partition.
#[derive(Default)]
pub struct JournalBench {
    pub now: Duration,
    pub nodes: IndexMap<String, BenchNode>,
    pub stored: Option<VersionedDocument>,
    pub answers: Vec<(u64, OrderVerdict)>,
    pub executions: IndexMap<Arc<str>, u32>,
    late_writes: Vec<JournalAction>,
    next_submission: u64,
}

impl JournalBench {
    pub fn start_node(&mut self, name: &str) {
        let incarnation = self.nodes.get(name).map_or(1, |node| node.incarnation + 1);
        let identity = ClaimIdentity {
            node: name.into(),
            incarnation,
            process_token: format!("{name}.{incarnation}").into(),
        };
        let partition = JournalPartition::new(JournalSettings::default(), identity, incarnation);
        let calls = VecDeque::new();
        let node = BenchNode {
            partition,
            incarnation,
            calls,
            dispatches: VecDeque::new(),
        };
        self.nodes.insert(name.into(), node);
    }

    pub fn submit(
        &mut self,
        node: &str,
        key: &str,
        digest: &str,
        age: Duration,
        caller_timeout: Duration,
    ) {
        self.next_submission += 1;
        let submission = OrderSubmission {
            submission: self.next_submission,
            key: key.into(),
            digest: digest.into(),
            issued_at: self.wall() - age,
            deadline: self.now + caller_timeout,
        };
        self.step(node, JournalInput::Submit(submission));
    }

    /// Completes the oldest call of a node; returns whether there was one.
    pub fn complete_call(&mut self, node: &str, outcome: CallOutcome) -> bool {
        let Some(action) = self.nodes[node].calls.pop_front() else {
            return false;
        };
        let lost = outcome != CallOutcome::Answered;
        let input = match action {
            JournalAction::Read { call } => {
                let found = self.stored.clone();
                let result = if lost {
                    Err(CallFailure::Unavailable)
                } else {
                    Ok(found)
                };
                JournalInput::ReadDone { call, result }
            }
            JournalAction::Write { call, .. } => {
                let result = match outcome {
                    CallOutcome::Answered | CallOutcome::AnswerLost => self.apply_write(&action),
                    CallOutcome::RequestLost => Err(CallFailure::Unavailable),
                    CallOutcome::Late => {
                        self.late_writes.push(action);
                        Err(CallFailure::Unavailable)
                    }
                };
                let result = if lost {
                    Err(CallFailure::Unavailable)
                } else {
                    result
                };
                JournalInput::WriteDone { call, result }
            }
            other => panic!("expected a platform call, found {other:?}"),
        };
        self.step(node, input);
        true
    }

    /// Applies every late write to the store; returns how many took effect.
    pub fn apply_late_writes(&mut self) -> usize {
        let late_writes = std::mem::take(&mut self.late_writes);
        late_writes
            .iter()
            .filter(|action| self.apply_write(action).is_ok())
            .count()
    }

    /// Ends the oldest attempt of a node as `end` names it; returns whether there was one.
    pub fn end_dispatch(&mut self, node: &str, end: &str) -> bool {
        let Some(action) = self.nodes[node].dispatches.pop_front() else {
            return false;
        };
        let JournalAction::Dispatch { key, attempt, .. } = action else {
            panic!("expected a dispatch, found {action:?}");
        };
        let end = match end {
            "ran" => AttemptEnd::Ran(self.execute(&key)),
            "ran-lost" => {
                self.execute(&key);
                AttemptEnd::Lost
            }
            "shed" => AttemptEnd::NotStarted,
            other => panic!("unknown end of an attempt: {other:?}"),
        };
        self.step(node, JournalInput::AttemptEnded { key, attempt, end });
        true
    }

    pub fn wait(&mut self, time: Duration) {
        self.now += time;
        for name in self.nodes.keys().cloned().collect::<Vec<_>>() {
            self.step(&name, JournalInput::Tick);
        }
    }

    pub fn step(&mut self, node: &str, input: JournalInput) {
        let (now, wall) = (self.now, self.wall());
        let mut output = self.nodes[node].partition.step(now, wall, input);
        let needs_write = output.needs_write;
        self.collect_actions(node, &mut output);
        if needs_write {
            let mut output = self.nodes[node]
                .partition
                .step(now, wall, JournalInput::Commit);
            self.collect_actions(node, &mut output);
        }
    }

    fn collect_actions(&mut self, node: &str, output: &mut JournalOutput) {
        for action in output.actions.drain(..) {
            match action {
                JournalAction::Answer {
                    submission,
                    verdict,
                } => {
                    self.answers.push((submission, verdict));
                }
                JournalAction::Dispatch { .. } => self.nodes[node].dispatches.push_back(action),
                call => self.nodes[node].calls.push_back(call),
            }
        }
    }

    fn apply_write(&mut self, action: &JournalAction) -> Result<u64, CallFailure> {
        let JournalAction::Write { base, document, .. } = action else {
            panic!("expected a write, found {action:?}");
        };
        let current = self.stored.as_ref().map_or(0, |stored| stored.version);
        if *base != current {
            return Err(CallFailure::Conflict);
        }
        let document = Arc::clone(document);
        self.stored = Some(VersionedDocument {
            version: current + 1,
            document,
        });
        Ok(current + 1)
    }

    fn execute(&mut self, key: &Arc<str>) -> Arc<str> {
        let count = self.executions.entry(key.clone()).or_default();
        *count += 1;
        format!("{key}#{count}").into()
    }

    fn wall(&self) -> SystemTime {
        UNIX_EPOCH + WALL_START + self.now
    }
}
