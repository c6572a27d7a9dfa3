//! Structured logs on standard output, bounded and never waited for.

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

/// Lines that wait for the writer; more are left out.
const WAITING_LINES: usize = 512;
/// Lines a second; more are left out and counted.
const LINES_PER_SECOND: u32 = 120;
/// Stack of the writing thread in bytes; it only copies lines.
const WRITER_STACK: usize = 64 * 1024;

/// Hands lines to a thread that writes them.
#[derive(Debug)]
struct BoundedAppender {
    encoder: JsonEncoder,
    lines: SyncSender<Vec<u8>>,
    allowance: Mutex<LineAllowance>,
}

#[derive(Debug)]
struct LineAllowance {
    second: Instant,
    used: u32,
    left_out: u64,
}

impl Append for BoundedAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let left_out = {
            let mut allowance = self
                .allowance
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            if allowance.second.elapsed() >= Duration::from_secs(1) {
                allowance.second = Instant::now();
                allowance.used = 0;
            }
            // Warnings have room of their own, so that a flood of requests does not hide them.
            let is_warning = record.level() <= log::Level::Warn;
            let limit = if is_warning {
                2 * LINES_PER_SECOND
            } else {
                LINES_PER_SECOND
            };
            if allowance.used >= limit {
                allowance.left_out += 1;
                return Ok(());
            }
            allowance.used += 1;
            std::mem::take(&mut allowance.left_out)
        };
        let mut line = SimpleWriter(Vec::with_capacity(256));
        self.encoder.encode(&mut line, record)?;
        if left_out > 0 {
            let note = format!("{{\"message\":\"lines left out\",\"count\":{left_out}}}\n");
            line.0.splice(0..0, note.into_bytes());
        }
        if self.lines.try_send(line.0).is_err() {
            let mut allowance = self
                .allowance
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            allowance.left_out += 1 + left_out;
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Starts the log of the process.
///
/// # Errors
/// When a log was started already, or its thread cannot be.
pub fn start_log() -> Result<(), EdgeError> {
    let (lines, waiting) = sync_channel(WAITING_LINES);
    std::thread::Builder::new()
        .name("log".to_owned())
        .stack_size(WRITER_STACK)
        .spawn(move || write_lines(&waiting))
        .map_err(|source| EdgeError::Start {
            what: "the log's thread",
            source,
        })?;
    let appender = BoundedAppender {
        encoder: JsonEncoder::new(),
        lines,
        allowance: Mutex::new(LineAllowance {
            second: Instant::now(),
            used: 0,
            left_out: 0,
        }),
    };
    let config = Config::builder()
        .appender(Appender::builder().build("out", Box::new(appender)))
        .build(Root::builder().appender("out").build(LevelFilter::Info))
        .map_err(|error| EdgeError::Log(error.to_string()))?;
    log4rs::init_config(config).map_err(|error| EdgeError::Log(error.to_string()))?;
    Ok(())
}

fn write_lines(waiting: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout();
    while let Ok(line) = waiting.recv() {
        // Nothing can be reported when standard output is gone.
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
