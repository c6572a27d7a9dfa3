//! Journal partitions driven by hand: each call and attempt waits until the test moves it on.

use indexmap::IndexMap;
use nutmegspread_policy::order::{
    AttemptEnd, CallFailure, ClaimIdentity, JournalAction, JournalInput, JournalOutput,
    JournalPartition, JournalSettings, OrderSubmission, OrderVerdict, VersionedDocument,
};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Wall time of virtual time 0, since the Unix epoch.
const WALL_START: Duration = Duration::from_secs(1_000_000);

/// What becomes of a platform call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFate {
    /// It takes effect and is answered.
    Answered,
    /// It takes effect and the answer is lost.
    AnswerLost,
    /// It has no effect and no answer.
    RequestLost,
    /// It has no answer, and takes effect when [`JournalBench::land_late`] says so.
    Late,
}

/// One process.
pub struct BenchNode {
    partition: JournalPartition,
    pub incarnation: u64,
    pub calls: VecDeque<JournalAction>,
    pub dispatches: VecDeque<JournalAction>,
}

/// Processes around one stored object.
#[derive(Default)]
pub struct JournalBench {
    pub now: Duration,
    pub nodes: IndexMap<String, BenchNode>,
    pub stored: Option<VersionedDocument>,
    pub answers: Vec<(u64, OrderVerdict)>,
    pub executions: IndexMap<Arc<str>, u32>,
    late: Vec<JournalAction>,
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
        patience: Duration,
    ) {
        self.next_submission += 1;
        let submission = OrderSubmission {
            submission: self.next_submission,
            key: key.into(),
            digest: digest.into(),
            issued_at: self.wall() - age,
            deadline: self.now + patience,
        };
        self.step(node, JournalInput::Submit(submission));
    }

    /// Moves the oldest call of a node on; returns whether there was one.
    pub fn move_call(&mut self, node: &str, fate: CallFate) -> bool {
        let Some(action) = self.nodes[node].calls.pop_front() else {
            return false;
        };
        let lost = fate != CallFate::Answered;
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
                let result = match fate {
                    CallFate::Answered | CallFate::AnswerLost => self.land(&action),
                    CallFate::RequestLost => Err(CallFailure::Unavailable),
                    CallFate::Late => {
                        self.late.push(action);
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
            other => panic!("not a call: {other:?}"),
        };
        self.step(node, input);
        true
    }

    /// Lets every late write reach the store; returns how many took effect.
    pub fn land_late(&mut self) -> usize {
        let late = std::mem::take(&mut self.late);
        late.iter()
            .filter(|action| self.land(action).is_ok())
            .count()
    }

    /// Ends the oldest dispatch of a node; returns whether there was one.
    pub fn end_dispatch(&mut self, node: &str, end: &str) -> bool {
        let Some(action) = self.nodes[node].dispatches.pop_front() else {
            return false;
        };
        let JournalAction::Dispatch { key, attempt, .. } = action else {
            panic!("not a dispatch: {action:?}");
        };
        let end = match end {
            "ran" => AttemptEnd::Ran(self.execute(&key)),
            "ran-lost" => {
                self.execute(&key);
                AttemptEnd::Lost
            }
            "shed" => AttemptEnd::NotStarted,
            other => panic!("unknown end {other:?}"),
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
        self.take(node, &mut output);
        if needs_write {
            let mut output = self.nodes[node]
                .partition
                .step(now, wall, JournalInput::Commit);
            self.take(node, &mut output);
        }
    }

    fn take(&mut self, node: &str, output: &mut JournalOutput) {
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

    fn land(&mut self, action: &JournalAction) -> Result<u64, CallFailure> {
        let JournalAction::Write { base, document, .. } = action else {
            panic!("not a write: {action:?}");
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
