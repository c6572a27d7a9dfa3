//! Structured logs on standard output, limited in rate and written by a thread of their own so that
//! logging never blocks.

use crate::EdgeError;
use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::writer::simple::SimpleWriter;
use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Largest number of lines that wait for the writer thread; further lines are dropped and counted.
const QUEUED_LINES: usize = 512;
/// Largest number of lines per second, which is doubled for warnings; further lines are dropped and
/// counted.
const LINES_PER_SECOND: u32 = 120;
/// Stack of the writer thread in bytes; the thread only copies lines.
const WRITER_STACK: usize = 64 * 1024;

/// Appender that encodes lines and queues them for the writer thread.
#[derive(Debug)]
struct BoundedAppender {
    encoder: JsonEncoder,
    lines: SyncSender<Vec<u8>>,
    allowance: Mutex<LineAllowance>,
}

/// Counts the lines of the current second against the limit, and the lines dropped since the last
/// one that was queued.
#[derive(Debug)]
struct LineAllowance {
    window_start: Instant,
    line_count: u32,
    dropped: u64,
}

impl Append for BoundedAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let dropped = {
            let mut allowance = self
                .allowance
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            if allowance.window_start.elapsed() >= Duration::from_secs(1) {
                allowance.window_start = Instant::now();
                allowance.line_count = 0;
            }
            // Warnings have a higher limit, so that a flood of other lines cannot displace them.
            let is_warning = record.level() <= log::Level::Warn;
            let limit = if is_warning {
                2 * LINES_PER_SECOND
            } else {
                LINES_PER_SECOND
            };
            if allowance.line_count >= limit {
                allowance.dropped += 1;
                return Ok(());
            }
            allowance.line_count += 1;
            std::mem::take(&mut allowance.dropped)
        };
        let mut line = SimpleWriter(Vec::with_capacity(256));
        self.encoder.encode(&mut line, record)?;
        if dropped > 0 {
            let note = format!("{{\"message\":\"lines left out\",\"count\":{dropped}}}\n");
            line.0.splice(0..0, note.into_bytes());
        }
        if self.lines.try_send(line.0).is_err() {
            let mut allowance = self
                .allowance
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            allowance.dropped += 1 + dropped;
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Initialises the logger of the process.
///
/// # Errors
/// When a logger is already set, or the writer thread cannot be started.
pub fn start_log() -> Result<(), EdgeError> {
    let (lines, receiver) = sync_channel(QUEUED_LINES);
    std::thread::Builder::new()
        .name("log".to_owned())
        .stack_size(WRITER_STACK)
        .spawn(move || write_lines(&receiver))
        .map_err(|source| EdgeError::Start {
            what: "the log writer thread",
            source,
        })?;
    let appender = BoundedAppender {
        encoder: JsonEncoder::new(),
        lines,
        allowance: Mutex::new(LineAllowance {
            window_start: Instant::now(),
            line_count: 0,
            dropped: 0,
        }),
    };
    let config = Config::builder()
        .appender(Appender::builder().build("out", Box::new(appender)))
        .build(Root::builder().appender("out").build(LevelFilter::Info))
        .map_err(|error| EdgeError::Log(error.to_string()))?;
    log4rs::init_config(config).map_err(|error| EdgeError::Log(error.to_string()))?;
    Ok(())
}

fn write_lines(receiver: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout();
    while let Ok(line) = receiver.recv() {
        // There is no way to report that standard output is closed.
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
