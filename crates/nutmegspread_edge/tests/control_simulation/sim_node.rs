//! A simulated node, which may be frozen or not running.

use nutmegspread_edge::control::{ControlNode, ControlTask};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// Messages that have arrived at a node.
#[derive(Debug, Default)]
pub struct SimInbox {
    pub messages: RefCell<VecDeque<(Vec<u8>, SocketAddr)>>,
    pub arrived: Notify,
}

/// A simulated node, which may not be running.
#[derive(Debug)]
pub struct SimNode {
    pub name: String,
    pub address: SocketAddr,
    pub domain: String,
    pub is_frozen: Rc<Cell<bool>>,
    pub inbox: Rc<SimInbox>,
    /// Number of times that the control thread had work to do.
    pub wakes: Rc<Cell<u64>>,
    pub cores: f64,
    pub waker: Rc<RefCell<Option<Waker>>>,
    pub running: RefCell<Option<(Rc<ControlNode>, JoinHandle<()>)>>,
    pub starts: Cell<u64>,
}

impl SimNode {
    /// Whether the node's process runs; it may be frozen.
    pub fn is_running(&self) -> bool {
        self.running.borrow().is_some()
    }

    /// State of the running process.
    pub fn control(&self) -> Option<Rc<ControlNode>> {
        let running = self.running.borrow();
        running.as_ref().map(|(control, _)| Rc::clone(control))
    }

    /// Number of the present start of the process.
    pub fn start_number(&self) -> u64 {
        self.starts.get()
    }
}

/// Tasks of a node, which make no progress while the node is frozen.
pub struct FreezableTasks {
    pub tasks: Vec<ControlTask>,
    pub is_frozen: Rc<Cell<bool>>,
    pub wakes: Rc<Cell<u64>>,
    pub waker: Rc<RefCell<Option<Waker>>>,
}

impl Future for FreezableTasks {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        self.waker.replace(Some(context.waker().clone()));
        if !self.is_frozen.get() {
            self.wakes.set(self.wakes.get() + 1);
            for task in &mut self.tasks {
                // The tasks run for as long as the process, so they are never ready.
                let _ = task.as_mut().poll(context);
            }
        }
        Poll::Pending
    }
}
