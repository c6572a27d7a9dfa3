//! Stream of a caller's connection, which ends when its caller is too slow.

use crate::{CallerConnection, HeadLimits};
use nutmegspread_tier::ConnectionPhase;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// Largest number of bytes that are read at a time. The reader's buffer grows when reads fill it.
const READ_BYTES: usize = 8 * 1024;
/// Bytes of an answer that a caller has to take within the time for it.
const ANSWER_STEP: usize = 16 * 1024;

/// Stream of a caller's connection, which ends with an error when its caller is too slow or it is closed
/// in favour of another one.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    connection: Arc<CallerConnection>,
    head_limits: HeadLimits,
    /// Bytes of the head that is being received.
    head_bytes: usize,
    /// Ends the connection if the head is not complete.
    head_timer: Option<Pin<Box<Sleep>>>,
    /// Ends the connection if the caller takes too little of an answer.
    answer_timer: Option<Pin<Box<Sleep>>>,
    /// Bytes written since the timer was set.
    answer_bytes: usize,
}

impl CallerStream {
    pub(crate) fn new(
        stream: TcpStream,
        connection: Arc<CallerConnection>,
        head_limits: HeadLimits,
    ) -> Self {
        Self {
            stream,
            connection,
            head_limits,
            head_bytes: 0,
            head_timer: None,
            answer_timer: None,
            answer_bytes: 0,
        }
    }

    /// State that the stream shares with the code which serves its requests.
    pub fn connection(&self) -> Arc<CallerConnection> {
        Arc::clone(&self.connection)
    }

    fn check_open(&self, context: &Context<'_>) -> Result<()> {
        self.connection.task.register(context.waker());
        if self.connection.is_closing() {
            let message = "closed in favour of another connection";
            return Err(Error::new(ErrorKind::ConnectionAborted, message));
        }
        Ok(())
    }

    /// Returns an error if the head of a request is late, and otherwise wakes the task when it will be.
    fn check_head(&mut self, context: &mut Context<'_>) -> Result<()> {
        // Once the head is complete, the request is served and the phase is another one.
        if self.connection.phase() != ConnectionPhase::Head {
            self.head_timer = None;
        }
        if let Some(timer) = &mut self.head_timer
            && timer.as_mut().poll(context).is_ready()
        {
            let message = "the head of a request was not complete in time";
            return Err(Error::new(ErrorKind::TimedOut, message));
        }
        Ok(())
    }

    fn count_read(&mut self, bytes: usize) -> Result<()> {
        if bytes == 0 {
            return Ok(());
        }
        if self.connection.phase() == ConnectionPhase::Idle {
            self.connection.set_phase(ConnectionPhase::Head);
            self.head_timer = Some(Box::pin(tokio::time::sleep(self.head_limits.time)));
            self.head_bytes = 0;
        }
        if self.head_timer.is_some() {
            self.head_bytes += bytes;
            if self.head_bytes > self.head_limits.bytes {
                let message = "the head of a request is too long";
                return Err(Error::new(ErrorKind::InvalidData, message));
            }
        }
        Ok(())
    }

    /// Applies the time limit of answers to the result of a write.
    fn check_write(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<Result<usize>>,
    ) -> Poll<Result<usize>> {
        match written {
            Poll::Ready(Ok(bytes)) => {
                self.answer_bytes += bytes;
                if self.answer_bytes >= ANSWER_STEP {
                    self.answer_timer = None;
                    if self.connection.phase() == ConnectionPhase::Answering {
                        self.connection.set_phase(ConnectionPhase::Answering);
                    }
                }
                Poll::Ready(Ok(bytes))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => {
                let answer_time = self.connection.gate().settings().answer_time;
                let timer = self.answer_timer.get_or_insert_with(|| {
                    self.answer_bytes = 0;
                    Box::pin(tokio::time::sleep(answer_time))
                });
                ready!(timer.as_mut().poll(context));
                let message = "the caller does not read its answer";
                Poll::Ready(Err(Error::new(ErrorKind::TimedOut, message)))
            }
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let this = self.get_mut();
        this.check_open(context)?;
        this.check_head(context)?;
        let length = buffer.remaining().min(READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
        ready!(Pin::new(&mut this.stream).poll_read(context, &mut part))?;
        let bytes = part.filled().len();
        buffer.advance(bytes);
        Poll::Ready(this.count_read(bytes))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let this = self.get_mut();
        this.check_open(context)?;
        let written = Pin::new(&mut this.stream).poll_write(context, bytes);
        this.check_write(context, written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let this = self.get_mut();
        this.check_open(context)?;
        let written = Pin::new(&mut this.stream).poll_write_vectored(context, parts);
        this.check_write(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let this = self.get_mut();
        ready!(Pin::new(&mut this.stream).poll_flush(context))?;
        // A flush follows the write of the last byte.
        this.answer_timer = None;
        if this.connection.phase() == ConnectionPhase::Answering {
            this.connection.set_phase(ConnectionPhase::Idle);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        self.connection
            .gate()
            .close_connection(self.connection.key());
    }
}
