//! Task of one connection to a target: opens it, writes attempts and reads answers.

use crate::traffic::attempt_result::AttemptResult;
use crate::traffic::attempt_sender::AttemptSender;
use crate::traffic::connection_end::ConnectionEnd;
use crate::traffic::held_bytes::HeldBytes;
use crate::traffic::reply_reader::ReplyReader;
use crate::traffic::target_attempt::TargetAttempt;
use crate::traffic::target_connection::TargetConnection;
use nutmegspread_tier::{TargetKey, TargetRecord};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;

/// Longest wait for a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after a request's end for which the connection still waits for the answer. A late answer is
/// evidence on the target's health, and the connection can be used again.
const LATE_ANSWER_TIME: Duration = Duration::from_millis(400);
/// Longest idle time of a connection, also if the target states a longer timeout or none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Idle timeout on a node that is not advertised to callers; short because targets accept few
/// connections.
const UNADVERTISED_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Fraction of the target's idle timeout after which the node closes the connection, so that no
/// attempt is sent while the target closes it.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// Buffer space in bytes for one read.
const READ_BYTES: usize = 8 * 1024;

/// Reason for the end of a connection by the target.
const CLOSED_BY_TARGET: &str = "closed by the target";
/// Reason for the end of a connection without an answer or a request in time.
const TOO_LATE: &str = "no answer in time, or idle for too long";

/// Opens a connection for `attempt`, and serves it and later attempts until the connection ends.
pub async fn run_connection(
    sender: Rc<AttemptSender>,
    key: TargetKey,
    target: Arc<TargetRecord>,
    attempt: Rc<TargetAttempt>,
) {
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(target.address)).await;
    let stream = match opened {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => {
            sender.connection_failed(key, &attempt, &ConnectionEnd::from(error));
            return;
        }
        Err(_) => {
            sender.connection_failed(
                key,
                &attempt,
                &ConnectionEnd::new("TCP connection not established within 1 s"),
            );
            return;
        }
    };
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(event = "nodelay_failed", reason:% = error;
            "disabling Nagle's algorithm failed; small writes may be delayed");
    }
    let now = Instant::now();
    let (reader, writer) = stream.into_split();
    let connection = TargetConnection::new(sender.next_connection(), writer, now, IDLE_TIMEOUT);
    let connection = Rc::new(connection);
    sender.connection_opened(key, &connection, attempt, now);
    let end = serve(&sender, key, &connection, reader).await;
    let unanswered = connection.take_attempt();
    // With an attempt, the log line on its end has the reason.
    if unanswered.is_none() && !end.is_usual {
        log::info!(event = "connection_given_up", target:% = target.id,
            connection = connection.key(), reason = end.reason.as_str();
            "closed a connection to a target");
    }
    sender.connection_ended(key, &connection, unanswered, &end);
}

/// Writes pending bytes and reads answers until the connection ends; returns the cause.
async fn serve(
    sender: &Rc<AttemptSender>,
    key: TargetKey,
    connection: &Rc<TargetConnection>,
    mut bytes: OwnedReadHalf,
) -> ConnectionEnd {
    let mut reader = ReplyReader::default();
    let mut held = HeldBytes::new(Arc::clone(&sender.held_bytes), 0);
    loop {
        if connection.is_closing() {
            return ConnectionEnd::usual("closed by this node");
        }
        let wait_until = match connection.current_attempt() {
            Some(attempt) => attempt.request.end_time() + LATE_ANSWER_TIME,
            None => connection.idle_until(),
        };
        // A target that sends without a pause would keep the timer from being polled.
        if Instant::now() >= wait_until {
            return ConnectionEnd::usual(TOO_LATE);
        }
        let has_unsent = connection.has_unsent();
        if !held.set(reader.held_bytes(), &sender.memory) {
            sender.shared.metrics.count("target_answers", "given_up");
            return ConnectionEnd::new("the answers of all targets take too much memory");
        }
        reader.buffer.reserve(READ_BYTES);
        let has_ended = tokio::select! {
            biased;
            // After a read that does not fill the buffer, the socket waits for new bytes without
            // another system call. A reader that wraps the socket would read once more first.
            read = bytes.read_buf(&mut reader.buffer) => match read {
                Ok(read) => read == 0,
                Err(error) => return error.into(),
            },
            ready = connection.writable(), if has_unsent => {
                match ready.and_then(|()| connection.write_unsent()) {
                    Ok(()) => continue,
                    Err(error) => return error.into(),
                }
            }
            () = connection.changed() => continue,
            () = tokio::time::sleep_until(wait_until.into()) => {
                return ConnectionEnd::usual(TOO_LATE);
            }
        };
        let Some(attempt) = connection.current_attempt() else {
            return if has_ended {
                ConnectionEnd::usual(CLOSED_BY_TARGET)
            } else {
                ConnectionEnd::new("received bytes while no answer was awaited")
            };
        };
        reader.expect(!attempt.request.is_gather, attempt.request.is_head);
        let next = reader.next_for(&attempt.request.id, has_ended);
        let wishes = reader.take_wishes();
        if !wishes.is_empty() {
            sender.apply_wishes(key, &wishes, &attempt.request.id);
        }
        match next {
            Ok(Some(mut reply)) => {
                let held_body = HeldBytes::new(Arc::clone(&sender.held_bytes), reply.body.len());
                reply.held = Some(held_body);
                // What follows the answer is not held.
                held.set(0, &sender.memory);
                let is_named = reply.request_id.as_ref() == Some(&attempt.request.id);
                if !is_named {
                    sender.shared.metrics.count("target_answers", "unnamed");
                }
                let end = if has_ended || reply.closes {
                    Some(ConnectionEnd::usual(CLOSED_BY_TARGET))
                } else if connection.has_unsent() {
                    // The rest of the request would precede the next one on this connection.
                    Some(ConnectionEnd::new("answered before the request was sent"))
                } else if !is_named {
                    // A second copy of such an answer could not be told from the next answer.
                    Some(ConnectionEnd::new(
                        "an answer without the id of its request",
                    ))
                } else if !reader.is_empty() {
                    Some(ConnectionEnd::new("received bytes after an answer"))
                } else {
                    None
                };
                let max_idle = if sender.is_advertised() {
                    IDLE_TIMEOUT
                } else {
                    UNADVERTISED_IDLE_TIMEOUT
                };
                let idle = reply.idle.map_or(max_idle, |idle| {
                    idle.mul_f64(IDLE_TIMEOUT_FRACTION).min(max_idle)
                });
                connection.record_answer(Instant::now(), idle);
                if end.is_some() {
                    connection.close();
                }
                sender.apply_result(&attempt, AttemptResult::Reply(reply));
                if let Some(end) = end {
                    return end;
                }
                sender.connection_idle(key, connection);
            }
            Ok(None) if has_ended => return ConnectionEnd::usual(CLOSED_BY_TARGET),
            Ok(None) => {}
            Err(error) => return ConnectionEnd::new(&error.to_string()),
        }
    }
}
