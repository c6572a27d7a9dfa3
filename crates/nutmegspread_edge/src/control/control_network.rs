//! How the control thread reaches the store and the other nodes.

use crate::control::call_connection::CallConnection;
use crate::control::http_connection::http_connection;
use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Size of the receive buffer in bytes; no datagram is larger, and one that did not fit would be cut
/// off without notice.
const BUFFER_BYTES: usize = 64 * 1024;

/// Completes once a message was handed to the network.
pub type SendFuture = Pin<Box<dyn Future<Output = std::io::Result<()>>>>;
/// Completes with the next message and the address of its sender.
pub type ReceiveFuture = Pin<Box<dyn Future<Output = std::io::Result<(Vec<u8>, SocketAddr)>>>>;

/// How the control thread reaches the store and the other nodes.
pub struct ControlNetwork {
    /// Creates a connection to a server, which is opened on its first call.
    pub connect: Box<dyn Fn(SocketAddr) -> CallConnection>,
    /// Sends a message to a peer. Messages may be lost.
    pub send: Box<dyn Fn(Rc<[u8]>, SocketAddr) -> SendFuture>,
    /// Receives the next message of a peer. No message is lost if the future is dropped before it
    /// completes.
    pub receive: Box<dyn Fn() -> ReceiveFuture>,
}

impl ControlNetwork {
    /// Creates a network that uses HTTP/1.1 for calls and `socket` for messages.
    pub fn new(socket: UdpSocket) -> Self {
        let socket = Rc::new(socket);
        let receiver = Rc::clone(&socket);
        let buffer = Rc::new(tokio::sync::Mutex::new(vec![0; BUFFER_BYTES]));
        Self {
            connect: Box::new(http_connection),
            send: Box::new(move |message, peer| {
                let socket = Rc::clone(&socket);
                Box::pin(async move { socket.send_to(&message, peer).await.map(drop) })
            }),
            receive: Box::new(move || {
                let (socket, buffer) = (Rc::clone(&receiver), Rc::clone(&buffer));
                Box::pin(async move {
                    let mut buffer = buffer.lock().await;
                    let (length, from) = socket.recv_from(&mut buffer).await?;
                    Ok((buffer[..length].to_vec(), from))
                })
            }),
        }
    }
}

impl fmt::Debug for ControlNetwork {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ControlNetwork")
            .finish_non_exhaustive()
    }
}
